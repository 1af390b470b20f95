// Command regress runs the regression test: the bench of chalkhub's users, on all of
// their deployments, against the figures that were last committed.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
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

// sites are the deployments of a mode, as patterns below the kit.
func sites(mode string) []string {
	all := []string{"change/*-next.toml", "more/*-ops.toml", "more/fleet/*-fleet.toml"}
	switch mode {
	case "quick":
		return all[:2]
	case "hunt":
		// As deployments these equal the fleet's, so they are not scored; their drawn days
		// are others.
		return append(all, "more/hunt/*-hunt.toml")
	}
	return all
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("regress"), kong.Description("Run in the repository: plays the users' days and compares them with the journal."))
	k.FatalIfErrorf(c.run())
}

func (c *cli) run() error {
	if len(c.Why) >= 120 {
		return errors.New("--why is too long: under 120 characters")
	}
	bench := filepath.Join(c.Kit, "more", "hunt", "bin", "fleetbench")
	files := c.Site
	patterns := sites(c.Mode)
	if len(files) > 0 {
		patterns = nil
	}
	for _, pattern := range patterns {
		found, err := filepath.Glob(filepath.Join(c.Kit, pattern))
		if err != nil {
			return err
		}
		if len(found) == 0 {
			return fmt.Errorf("%s holds no %s: is --kit the users' kit?", c.Kit, pattern)
		}
		files = append(files, found...)
	}
	before, err := regress.Read("journal")
	if err != nil {
		return fmt.Errorf("the journal can't be read, run this in the repository: %w", err)
	}
	committed, err := committed()
	if err != nil {
		return err
	}
	known := map[string]bool{}
	var old []regress.Entry
	for _, e := range before {
		known[e.ID] = true
		if committed[e.ID] {
			old = append(old, e)
		}
	}
	start := time.Now().UTC().Format(time.RFC3339)
	var broke error // the bench says so in the journal too
	switch {
	case c.Day != "":
		for _, f := range files {
			broke = errors.Join(broke, play(bench, "run", f, c.Day, "--why", c.Why))
		}
	case c.Mode == "hunt":
		for _, f := range files {
			args := []string{"hunt", f}
			if c.Days > 0 {
				args = append(args, "--days", fmt.Sprint(c.Days))
			}
			broke = errors.Join(broke, play(bench, append(args, "--why", c.Why)...))
		}
	default:
		args := append([]string{"score"}, files...)
		if c.Mode != "full" {
			args = append(args, "--quick")
		}
		broke = play(bench, append(args, "--why", c.Why)...)
	}
	after, err := regress.Read("journal")
	if err != nil {
		return err
	}
	var now []regress.Entry
	for _, e := range after {
		if !known[e.ID] && e.At[0] >= start { // the bench also brings back entries that were taken away
			now = append(now, e)
		}
	}
	rows := regress.Judge(old, now)
	show(rows)
	switch {
	case regress.Bad(rows):
		return errors.New("this must not land: trace what the last column says, and mend it first")
	case len(now) < len(files):
		return errors.Join(fmt.Errorf("%d of %d deployments left no entry in the journal", len(files)-len(now), len(files)), broke)
	}
	return broke
}

// play runs the bench and lets its progress be seen.
func play(bench string, args ...string) error {
	cmd := exec.Command(bench, args...)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	return cmd.Run()
}

// committed names the entries of the journal that are in the history.
func committed() (map[string]bool, error) {
	out, err := exec.Command("git", "ls-tree", "--name-only", "HEAD", "journal/").Output()
	if err != nil {
		return nil, fmt.Errorf("git does not list the committed journal: %w", err)
	}
	ids := map[string]bool{}
	for _, name := range strings.Fields(string(out)) {
		if _, id, ok := strings.Cut(strings.TrimSuffix(filepath.Base(name), ".json"), "-"); ok {
			ids[id] = true
		}
	}
	return ids, nil
}

func show(rows []regress.Row) {
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"deployment", "day", "before", "now", "change", "least served", ""})
	t.SetColumnConfigs([]table.ColumnConfig{
		{Number: 1, AutoMerge: true}, {Number: 3, Align: text.AlignRight}, {Number: 4, Align: text.AlignRight},
		{Number: 5, Align: text.AlignRight}, {Number: 7, WidthMax: 60},
	})
	figure := func(x *float64) string {
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
		if r.Least != nil {
			least = fmt.Sprintf("%s %.0f%%", r.Least.Who, 100*r.Least.Share)
		}
		t.AppendRow(table.Row{r.Site, r.Day, figure(r.Before), figure(r.Now), change, least, r.Bad})
	}
	t.Render()
}
