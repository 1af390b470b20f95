package core_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// TestRandomizedFairShare draws teams whose limits bind, two to four classes for each, and a pile
// of troubles at the beginning. Whatever they are, no rule is broken, and at the end no
// class is less than half done where its team could have done half of each.
func TestRandomizedFairShare(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		d := drawDeployment(rt)
		for i := range d.types {
			d.types[i].SpotPrice = d.types[i].Price / 4 // or work without an aim is worth few machines
		}
		d.settings.Site.Teams = nil
		for i := range rapid.IntRange(1, 3).Draw(rt, "teams") {
			limit := drawFloat(rt, "limit", 8, 56)
			d.settings.Site.Teams = append(d.settings.Site.Teams, config.Team{Name: fmt.Sprintf("team-%d", i),
				CPUs: limit * drawFloat(rt, "guaranteed share", 0.1, 1), CPUsMax: limit})
		}
		s := &scenario{World: simulation.Build(rapid.Uint64().Draw(rt, "luck"), d.settings, d.types), t: rt}
		s.Policy.FloorLeases = 1.5
		for _, n := range s.Nodes {
			n.Start()
		}
		machines := 0.0
		for _, t := range d.types {
			for _, z := range t.Zones {
				s.Cloud.Capacity[t.Name+" "+z] = 24
				machines += 24 * t.CPUs
			}
		}
		for range rapid.IntRange(0, 4).Draw(rt, "troubles") {
			d.drawFault(rt, s)
		}
		s.At(d.lastFaultAt, func() {
			for _, k := range s.Workers {
				k.Slow = 0 // the machines that were slow would stay so
			}
		})
		boot := 0.0
		for _, t := range d.types {
			boot = max(boot, t.BootS)
		}
		up := d.lastFaultAt + config.Seconds(2*boot) // when there are machines at the latest
		day := up + 6*s.patience()
		limits, capacity := 0.0, map[string]float64{}
		for _, team := range d.settings.Site.Teams {
			limits += team.CPUsMax
			for k := range rapid.IntRange(2, 4).Draw(rt, "classes") {
				x := jobStream{team: team.Name, class: fmt.Sprintf("class-%d", k),
					urgency:    rapid.SampledFrom([]string{protocol.UrgencyLow, protocol.UrgencyNormal, protocol.UrgencyHigh}).Draw(rt, "urgency"),
					tasks:      rapid.IntRange(1, 8).Draw(rt, "tasks"),
					cpus:       rapid.SampledFrom([]float64{1, 2, 4}).Draw(rt, "cpus"),
					runSeconds: drawFloat(rt, "run", 4, 20)}
				wanted := team.CPUsMax * drawFloat(rt, "wanted share of the limit", 0.2, 0.8)
				x.interval = max(config.Seconds(float64(x.tasks)*x.cpus*x.runSeconds/wanted), 6*second)
				for at := 5 * second; at < day; at += x.interval {
					s.At(at, func() { s.submitFrom(x) })
				}
			}
		}
		s.Run(day)
		s.requireInvariants()
		// Half of what the limit, or its part of the machines, gives once the troubles are
		// over and machines are up: starts, fetches, boots and kept room take some.
		until := day - 2*s.patience()
		for _, team := range d.settings.Site.Teams {
			capacity[team.Name] = min(team.CPUsMax, machines*team.CPUsMax/limits) / 2 * (until - up).Seconds()
		}
		broken, judged := s.Users.FloorsBroken(until, capacity)
		fairSharesJudged += judged
		for _, a := range broken {
			x := s.Users.Shares(until)[a]
			rt.Fatalf("%s of %s: %d of %d done, %d started\n%s", a.Class, a.Team, x.Done, x.Jobs, x.Started, s.lastLogs(*logLines))
		}
	})
	if fairSharesJudged == 0 {
		t.Fatal("half of each class was possible nowhere: nothing was shown")
	}
	t.Logf("%d classes judged", fairSharesJudged)
}

// fairSharesJudged counts the classes of which half could have been done.
var fairSharesJudged int
