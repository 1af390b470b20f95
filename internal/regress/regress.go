// Package regress compares what the bench has just measured with what was measured
// before: it reads the entries that the bench leaves in the journal.
package regress

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/goccy/go-json"
)

// MaxScoreDrop is how far a site's figure may fall: a smaller change is noise.
const MaxScoreDrop = 0.03

// MinServedShare is the share of the jobs of each class, of each team, and of each class's largest
// jobs, that must have been served when a day ends; with less the day has failed, whatever it is worth.
const MinServedShare = 0.5

// Entry is a run of the bench on one site, as the journal tells it.
type Entry struct {
	ID      string    `json:"id"`
	Times   [2]string `json:"at"` // begin and end, in UTC; no end if it was ended by hand
	Command string    `json:"cmd"`
	Args    []string  `json:"argv"`
	Site    string    `json:"site"`
	Score   *float64  `json:"score"` // 0 to 1; nil where the command gives none
	OK      bool      `json:"ok"`
	Error   any       `json:"error"`
	Days    []Day     `json:"days"`
}

// Day is one simulated day of a run.
type Day struct {
	Name     string         `json:"name"`
	Score    *float64       `json:"score"` // 0 to 1
	Rules    map[string]any `json:"rules"` // broken rules, and how often
	Fault    any            `json:"fault"` // why it could not be played, if so
	Restarts float64        `json:"restarts"`
	Served   []ServedGroup  `json:"served"` // each class, and each team; older entries have none
}

// ServedGroup is how much of one class's or one team's work was served, a list of three in
// the journal. Of the largest jobs of a class those are served that began within the users'
// four minutes, as far as the journal tells; it does not say when they did.
type ServedGroup struct {
	Group       string  // a class's name, "team " and a team's, or "largest " and a class's
	JobShare    float64 // its share of the day's jobs, 0 to 1
	ServedShare float64 // the share of those that was served, 0 to 1
}

// UnmarshalJSON reads the list of three.
func (s *ServedGroup) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, &[]any{&s.Group, &s.JobShare, &s.ServedShare}); err != nil {
		return fmt.Errorf("what was served of a class or team: %w", err)
	}
	return nil
}

// LeastServed is the class or team of which least was served; nil if the bench did not say.
func (d *Day) LeastServed() *ServedGroup {
	var least *ServedGroup
	for i := range d.Served {
		if s := &d.Served[i]; s.JobShare > 0 && (least == nil || s.ServedShare < least.ServedShare) {
			least = s
		}
	}
	return least
}

// Quick reports whether only the roughest days were played.
func (e *Entry) Quick() bool { return slices.Contains(e.Args, "--quick") }

// ReadJournal reads the entries of a journal, oldest first. Files that are not entries are
// passed over.
func ReadJournal(dir string) ([]Entry, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	var out []Entry
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		var e Entry
		if err := json.Unmarshal(b, &e); err != nil {
			return nil, fmt.Errorf("%s: %w", f, err)
		}
		if e.Site != "" {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return strings.Compare(a.Times[0], b.Times[0]) })
	return out, nil
}

// Row is one line of the verdict.
type Row struct {
	Site, Day       string
	Score, Baseline *float64
	LeastServed     *ServedGroup // of a day: the class or team that was served least
	Problem         string       // why this must not land; empty: it may
}

// Change is how much a figure has moved; ok is false where there is nothing to compare.
func (r *Row) Change() (x float64, ok bool) {
	if r.Score == nil || r.Baseline == nil {
		return 0, false
	}
	return *r.Score - *r.Baseline, true
}

// Compare compares new entries with the newest earlier one of the same site and kind. A
// site's row comes before those of its days. Only a site's figure may not fall; a day's
// own is shown, since a single day moves by more than noise allows a site.
func Compare(before, now []Entry) []Row {
	var rows []Row
	for i := range now {
		e := &now[i]
		var old *Entry
		for k := range before {
			if b := &before[k]; b.Site == e.Site && b.Command == e.Command && b.Quick() == e.Quick() && b.Score != nil {
				old = b
			}
		}
		site := Row{Site: e.Site, Day: e.Command, Score: e.Score}
		days := map[string]*float64{}
		if old != nil {
			site.Baseline = old.Score
			for _, d := range old.Days {
				days[d.Name] = d.Score
			}
		}
		if change, ok := site.Change(); ok && change < -MaxScoreDrop {
			site.Problem = fmt.Sprintf("fell by more than %.2f", MaxScoreDrop)
		}
		if !e.OK || e.Error != nil {
			site.Problem = fmt.Sprintf("the run failed: %v", e.Error)
		}
		if len(e.Days) == 0 {
			site.Problem = "no day was played"
		}
		rows = append(rows, site)
		for _, d := range e.Days {
			rows = append(rows, Row{Site: e.Site, Day: d.Name, Score: d.Score, Baseline: days[d.Name], LeastServed: d.LeastServed(), Problem: d.problem()})
		}
	}
	return rows
}

// problem says why a day fails, if so.
func (d *Day) problem() string {
	var out []string
	for _, rule := range sortedKeys(d.Rules) {
		out = append(out, fmt.Sprintf("broke %s: %v", rule, d.Rules[rule]))
	}
	if d.Fault != nil {
		out = append(out, fmt.Sprintf("failed: %v", d.Fault))
	}
	for _, s := range d.Served {
		if s.JobShare > 0 && s.ServedShare < MinServedShare {
			out = append(out, fmt.Sprintf("failed: only %.0f%% of %s served", 100*s.ServedShare, s.Group))
		}
	}
	if d.Score != nil && *d.Score == 0 && len(out) == 0 {
		out = append(out, "is worth nothing")
	}
	return strings.Join(out, "; ")
}

func sortedKeys(m map[string]any) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// AnyProblem reports whether any row says that this must not land.
func AnyProblem(rows []Row) bool {
	return slices.ContainsFunc(rows, func(r Row) bool { return r.Problem != "" })
}
