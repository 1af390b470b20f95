package core_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/chalkhub/chalkhub/internal/simulation"
)

// The same worlds in every run, unless others are asked for:
// go test ./internal/core -run RandomizedSimulation -rapid.checks 2000 -rapid.seed 7
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "24", "rapid.nofailfile": "true", "rapid.shrinktime": "60s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// TestRandomizedSimulation draws a deployment that nobody has shown us, work for it and a pile
// of overlapping troubles. Whatever they are, no rule is broken, requests are mostly
// answered once the troubles are over, and every accepted job comes to its end.
func TestRandomizedSimulation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := drawDeployment(rt)
		s := &scenario{World: simulation.Build(rapid.Uint64().Draw(rt, "luck"), d.settings, d.types), t: rt}
		d.drawMachines(rt, s)
		d.drawUpgrade(rt, s)
		d.drawJobs(rt, s)
		s.Users.CloseLooks = rapid.IntRange(0, 3).Draw(rt, "close looks") == 3
		s.Cloud.AtOnce = rapid.IntRange(0, 3).Draw(rt, "boots at once") == 3
		var pile []string
		for range rapid.IntRange(0, 7).Draw(rt, "troubles") {
			pile = append(pile, d.drawFault(rt, s))
		}
		drawnPairs.add(pile)
		s.Run(d.lastFaultAt)
		s.Loss, s.State.LateShare, s.Users.Calm = 0, 0, s.Now
		s.requireInvariants()
		s.Run(s.Now + 3*d.lease())
		asked, served := s.Users.Asked, s.Users.Served
		s.Run(s.Now + max(2*d.lease(), 20*second))
		if asked, served = s.Users.Asked-asked, s.Users.Served-served; asked-served > max(asked/10, 1) {
			rt.Fatalf("after all troubles %d of %d requests are answered\n%s", served, asked, s.lastLogs(*logLines))
		}
		// Users give up in the end on what runs for ever or fails everywhere.
		for _, j := range d.endlessJobs {
			if j.Refused == 0 && j.Told == "" {
				s.eventually(2*d.lease()+10*second, "a job is accepted", func() bool { return j.Told != "" || j.Refused != 0 })
			}
			if j.Refused == 0 {
				s.Users.Abort(j)
			}
		}
		in := d.completionTimeout(s)
		over := s.Until(s.Now+in, s.Users.AllTold)
		s.requireInvariants()
		if !over {
			rt.Fatalf("not over within %v: %s\n%s", in, d.unfinished(s), s.lastLogs(*logLines))
		}
	})
	t.Log(drawnPairs.String())
}

// faultPairs counts how often two troubles were drawn for one world, so that what was never tried
// is seen.
type faultPairs map[[2]string]int

var drawnPairs = faultPairs{}

func (m faultPairs) add(pile []string) {
	slices.Sort(pile)
	for i, a := range pile {
		for _, b := range pile[i+1:] {
			m[[2]string{a, b}]++
		}
	}
}

func (m faultPairs) String() string {
	var never []string
	total := 0
	for i, a := range faultKinds {
		for _, b := range faultKinds[i:] {
			if total++; m[[2]string{a, b}] == 0 {
				never = append(never, a+" + "+b)
			}
		}
	}
	return fmt.Sprintf("%d of %d meetings of two troubles were drawn; among those that were not: %s",
		total-len(never), total, strings.Join(never[:min(len(never), 5)], ", "))
}
