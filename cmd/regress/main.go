// Command regress runs the regression test: it runs the benchmark of chalkhub's users on their
// deployments and compares the scores with those that were last committed to the journal.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"

	"github.com/chalkhub/chalkhub/internal/regress"
)

type cli struct {
	Kit  string   `required:"" type:"existingdir" placeholder:"DIR" help:"The users' kit: their site files and their bench."`
	Why  string   `default:"Regression before a landing; expected: no change" help:"One plain sentence for the journal, under 120 characters."`
	Days int      `default:"0" help:"How many days a hunt plays on each deployment; 0: as many as the bench does."`
	Day  string   `placeholder:"DAY" help:"Instead of a score: this one day of each deployment, by its name, or a TOML file of your own."`
	Site []string `type:"existingfile" placeholder:"SITE" help:"Instead of the kit's: site files of your own (docs/fair-share.md says how to make one)."`
	Mode string   `arg:"" enum:"quick,fleet,full,hunt" help:"quick: the two roughest days of the four deployments; fleet: of the two at fleet size as well, for a change of storage, membership, timers or messages; full: every standard day of all six; hunt: drawn days on all six, and on the two of meeting troubles."`
}

// sitePatterns returns the glob patterns, relative to the kit, of the site files of a mode.
func sitePatterns(mode string) []string {
	all := []string{"change/*-next.toml", "more/*-ops.toml", "more/fleet/*-fleet.toml"}
	switch mode {
	case "quick":
		return all[:2]
	case "hunt":
		// These deployments equal those of the fleet, so the other modes don't score them, but
		// the days that are drawn for them differ.
		return append(all, "more/hunt/*-hunt.toml")
	}
	return all
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("regress"), kong.Description("Run in the repository: runs the users' benchmark days and compares their scores with the journal."))
	k.FatalIfErrorf(c.run())
}

// maxReasonLength bounds the reason of a run: the journal accepts only reasons that are shorter.
const maxReasonLength = 120

func (c *cli) run() error {
	if len(c.Why) >= maxReasonLength {
		return fmt.Errorf("--why is too long: it must have fewer than %d characters", maxReasonLength)
	}
	files, err := c.siteFiles()
	if err != nil {
		return err
	}
	before, err := regress.ReadJournal("journal")
	if err != nil {
		return fmt.Errorf("cannot read the journal, run this command in the repository: %w", err)
	}
	committed, err := committedEntries()
	if err != nil {
		return err
	}
	start := time.Now().UTC().Format(time.RFC3339)
	benchErr := c.runMode(files) // the benchmark also writes its failures to the journal
	after, err := regress.ReadJournal("journal")
	if err != nil {
		return err
	}
	baseline := entriesWhere(before, func(e regress.Entry) bool { return committed[e.ID] })
	measured := newEntries(before, after, start)
	rows := regress.Compare(baseline, measured)
	printTable(rows)
	switch {
	case regress.AnyProblem(rows):
		return errors.New("the change must not be merged: find the causes of the problems in the last column and fix them first")
	case len(measured) < len(files):
		return errors.Join(fmt.Errorf("%d of %d deployments have no new entry in the journal", len(files)-len(measured), len(files)), benchErr)
	}
	return benchErr
}

// siteFiles returns the site files of the deployments to run: those given by --site, or else those
// of the kit for the mode.
func (c *cli) siteFiles() ([]string, error) {
	if len(c.Site) > 0 {
		return c.Site, nil
	}
	var files []string
	for _, pattern := range sitePatterns(c.Mode) {
		found, err := filepath.Glob(filepath.Join(c.Kit, pattern))
		if err != nil {
			return nil, err
		}
		if len(found) == 0 {
			return nil, fmt.Errorf("%s contains no file that matches %s: is --kit the users' kit?", c.Kit, pattern)
		}
		files = append(files, found...)
	}
	return files, nil
}

// runMode runs the benchmark on the deployments with the subcommand and arguments that the flags
// select: one day, drawn days, or a score.
func (c *cli) runMode(files []string) error {
	bench := filepath.Join(c.Kit, "more", "hunt", "bin", "fleetbench")
	var errs error
	switch {
	case c.Day != "":
		for _, file := range files {
			errs = errors.Join(errs, runBench(bench, "run", file, c.Day, "--why", c.Why))
		}
	case c.Mode == "hunt":
		for _, file := range files {
			args := []string{"hunt", file}
			if c.Days > 0 {
				args = append(args, "--days", strconv.Itoa(c.Days))
			}
			errs = errors.Join(errs, runBench(bench, append(args, "--why", c.Why)...))
		}
	default:
		args := append([]string{"score"}, files...)
		if c.Mode != "full" {
			args = append(args, "--quick")
		}
		errs = runBench(bench, append(args, "--why", c.Why)...)
	}
	return errs
}

// newEntries returns the entries of after that are not in before and whose runs began at or after
// start. The benchmark also restores entries that were removed from the journal, so entries of
// runs that began earlier are left out.
func newEntries(before, after []regress.Entry, start string) []regress.Entry {
	known := map[string]bool{}
	for _, entry := range before {
		known[entry.ID] = true
	}
	return entriesWhere(after, func(e regress.Entry) bool { return !known[e.ID] && e.Times[0] >= start })
}

func entriesWhere(entries []regress.Entry, keep func(regress.Entry) bool) []regress.Entry {
	var kept []regress.Entry
	for _, entry := range entries {
		if keep(entry) {
			kept = append(kept, entry)
		}
	}
	return kept
}

// runBench runs the benchmark and passes its output on to standard error.
func runBench(bench string, args ...string) error {
	cmd := exec.Command(bench, args...)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	return cmd.Run()
}

// committedEntries returns the IDs of the journal entries that are committed in HEAD.
func committedEntries() (map[string]bool, error) {
	out, err := exec.Command("git", "ls-tree", "--name-only", "HEAD", "journal/").Output()
	if err != nil {
		return nil, fmt.Errorf("list the committed journal entries with git ls-tree: %w", err)
	}
	ids := map[string]bool{}
	for _, name := range strings.Fields(string(out)) {
		if _, id, ok := strings.Cut(strings.TrimSuffix(filepath.Base(name), ".json"), "-"); ok {
			ids[id] = true
		}
	}
	return ids, nil
}

func printTable(rows []regress.Row) {
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"deployment", "day", "before", "now", "change", "least served", ""})
	t.SetColumnConfigs([]table.ColumnConfig{
		{Number: 1, AutoMerge: true}, {Number: 3, Align: text.AlignRight}, {Number: 4, Align: text.AlignRight},
		{Number: 5, Align: text.AlignRight}, {Number: 7, WidthMax: 60},
	})
	formatScore := func(x *float64) string {
		if x == nil {
			return ""
		}
		return fmt.Sprintf("%.3f", *x)
	}
	for _, r := range rows {
		change := ""
		if x, ok := r.Change(); ok {
			change = fmt.Sprintf("%+.3f", x)
		}
		least := ""
		if r.LeastServed != nil {
			least = fmt.Sprintf("%s %.0f%%", r.LeastServed.Group, 100*r.LeastServed.ServedShare)
		}
		t.AppendRow(table.Row{r.Site, r.Day, formatScore(r.Baseline), formatScore(r.Score), change, least, r.Problem})
	}
	t.Render()
}
