// Package regress compares new results of the users' benchmark with earlier ones. It reads the
// entries that the benchmark writes to the journal, one file for each run on a site.
package regress

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/goccy/go-json"
)

// MaxScoreDrop is how far a site's score may fall below the baseline: a smaller change is within the random variation.
const MaxScoreDrop = 0.03

// MinServedShare is the share of the jobs of each class, of each team, and of each class's largest
// jobs, that must have been served when a day ends. With a smaller share the day has failed,
// whatever its score is.
const MinServedShare = 0.5

// Entry is the journal's record of one run of the benchmark on one site.
type Entry struct {
	ID      string    `json:"id"`
	Times   [2]string `json:"at"` // start and end in UTC; the end is empty if the run was stopped by hand
	Command string    `json:"cmd"`
	Args    []string  `json:"argv"`
	Site    string    `json:"site"`
	Score   *float64  `json:"score"` // 0 to 1; nil if the command computes no score
	OK      bool      `json:"ok"`
	Error   any       `json:"error"`
	Days    []Day     `json:"days"`
}

// Day is one simulated day of a run.
type Day struct {
	Name     string         `json:"name"`
	Score    *float64       `json:"score"` // 0 to 1
	Rules    map[string]any `json:"rules"` // the rules that were broken, and how often
	Fault    any            `json:"fault"` // why the day could not be run; nil if it could
	Restarts float64        `json:"restarts"`
	Served   []ServedGroup  `json:"served"` // one for each class and each team; older entries have none
}

// ServedGroup is how much of the work of a class, of a team, or of a class's largest jobs was
// served. In the journal it is a list of three values. The entries suggest
// that one of a class's largest jobs counts as served if it started within the users' limit of four
// minutes, but the journal does not record when the jobs started.
type ServedGroup struct {
	Group       string  // a class's name, "team " and a team's name, or "largest " and a class's name
	JobShare    float64 // the group's share of the day's jobs, 0 to 1
	ServedShare float64 // the share of the group's jobs that was served, 0 to 1
}

// UnmarshalJSON decodes the list of group, share of jobs and served share.
func (s *ServedGroup) UnmarshalJSON(b []byte) error {
	if err := json.Unmarshal(b, &[]any{&s.Group, &s.JobShare, &s.ServedShare}); err != nil {
		return fmt.Errorf("decode the served share of a class or team: %w", err)
	}
	return nil
}

// LeastServed returns the group with jobs that has the smallest served share. It returns nil if the
// journal lists no such group for the day.
func (d *Day) LeastServed() *ServedGroup {
	var least *ServedGroup
	for i := range d.Served {
		if s := &d.Served[i]; s.JobShare > 0 && (least == nil || s.ServedShare < least.ServedShare) {
			least = s
		}
	}
	return least
}

// Quick reports whether the run covers only the hardest days.
func (e *Entry) Quick() bool { return slices.Contains(e.Args, "--quick") }

// ReadJournal reads the entries of the journal in dir, ordered by start time. It ignores files
// without a site, and returns an error that names the file if a file is not valid JSON.
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
			return nil, fmt.Errorf("cannot parse journal entry %s: %w", f, err)
		}
		if e.Site != "" {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b Entry) int { return strings.Compare(a.Times[0], b.Times[0]) })
	return out, nil
}

// Row is one line of the comparison: that of a site, or that of one of its days.
type Row struct {
	Site, Day       string // in the row of a site, Day is the command of the run
	Score, Baseline *float64
	LeastServed     *ServedGroup // only in the row of a day: the class or team with the smallest served share
	Problem         string       // why the change must not be merged; empty if it may be merged
}

// Change returns the score minus the baseline. ok is false if either is missing.
func (r *Row) Change() (x float64, ok bool) {
	if r.Score == nil || r.Baseline == nil {
		return 0, false
	}
	return *r.Score - *r.Baseline, true
}

// Compare compares each measured entry with the newest baseline entry that has a score and the same
// site, command and result of Quick. The baseline must be ordered oldest first.
// The row of a site precedes the rows of its days. A drop of the score is a problem only for a
// site; that of a single day is only shown, since a day's score varies by more than MaxScoreDrop.
func Compare(baseline, measured []Entry) []Row {
	var rows []Row
	for i := range measured {
		e := &measured[i]
		var previous *Entry
		for k := range baseline {
			if b := &baseline[k]; b.Site == e.Site && b.Command == e.Command && b.Quick() == e.Quick() && b.Score != nil {
				previous = b
			}
		}
		site := Row{Site: e.Site, Day: e.Command, Score: e.Score}
		previousDays := map[string]*float64{}
		if previous != nil {
			site.Baseline = previous.Score
			for _, d := range previous.Days {
				previousDays[d.Name] = d.Score
			}
		}
		if change, ok := site.Change(); ok && change < -MaxScoreDrop {
			site.Problem = fmt.Sprintf("score fell by more than %.2f", MaxScoreDrop)
		}
		if !e.OK || e.Error != nil {
			site.Problem = fmt.Sprintf("the run failed: %v", e.Error)
		}
		if len(e.Days) == 0 {
			site.Problem = "the run has no days"
		}
		rows = append(rows, site)
		for _, d := range e.Days {
			rows = append(rows, Row{Site: e.Site, Day: d.Name, Score: d.Score, Baseline: previousDays[d.Name], LeastServed: d.LeastServed(), Problem: d.problem()})
		}
	}
	return rows
}

// problem returns why a day has failed, or an empty string if it has not.
func (d *Day) problem() string {
	var out []string
	for _, rule := range sortedKeys(d.Rules) {
		out = append(out, fmt.Sprintf("broke rule %s: %v", rule, d.Rules[rule]))
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
		out = append(out, "score is 0")
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

// AnyProblem reports whether any row has a problem.
func AnyProblem(rows []Row) bool {
	return slices.ContainsFunc(rows, func(r Row) bool { return r.Problem != "" })
}
