package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// startScenario begins a story with so many controllers, whose settings change may alter first.
func startScenario(t testing.TB, seed uint64, controllers int, change func(*config.Site)) *scenario {
	t.Helper()
	set := simulation.Settings(controllers)
	if change != nil {
		change(&set.Site)
	}
	s := &scenario{World: simulation.Build(seed, set, simulation.Types()), t: t}
	s.eventually(20*second, "the nodes are ready", func() bool {
		return !slices.ContainsFunc(s.Nodes, func(n *simulation.Node) bool { return !n.Ready })
	})
	return s
}

// acrossSeeds plays a story over several seeds, with three controllers and with five.
func acrossSeeds(t *testing.T, first, seeds uint64, play func(t *testing.T, k, controllers int, seed uint64)) {
	for _, controllers := range []int{3, 5} {
		t.Run(fmt.Sprint(controllers), func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				play(t, int(seed), controllers, first+seed)
			}
		})
	}
}

// startFull begins a story with twelve machines that are full: team red at its limit, a job that goes
// on for a minute, and one that is to be cancelled.
func startFull(t *testing.T, seed uint64, controllers int) (s *scenario, gone *simulation.Job) {
	s = startScenario(t, seed, controllers, nil)
	s.addMachines(12)
	spec := simulation.Array(24)
	spec.Team = "red"
	s.Users.Submit(spec, 40)
	s.Users.Submit(simulation.Array(8), 60)
	gone = s.Users.Submit(simulation.Array(16), 200)
	s.eventually(60*second, "all tasks run", func() bool { return s.Users.Running() == 48 })
	return
}

// recoverAndFinish ends a story: no trouble is left, every user hears how its job ended, and nobody waits
// for nothing.
func (s *scenario) recoverAndFinish(d time.Duration) {
	s.t.Helper()
	s.State.LateShare, s.State.Slow, s.State.Refuses = 0, 0, map[string]bool{}
	s.Copies, s.KeepReports, s.Users.AtEnd, s.Cloud.Out = 0, false, 0, false
	s.Users.Calm = s.Now
	s.eventually(d, "all is over", s.Users.AllTold)
}

// crashLeader crashes whoever leads.
func (s *scenario) crashLeader(back time.Duration) {
	if n := s.currentLeader(); n != nil {
		n.Crash(back)
	}
}

func (s *scenario) crashAll(back time.Duration) {
	for _, n := range s.Nodes {
		n.Crash(back)
	}
}

// hand submits a job and waits until it is accepted.
func (s *scenario) submitAccepted(spec protocol.Job, run float64) *simulation.Job {
	s.t.Helper()
	j := s.Users.Submit(spec, run)
	s.eventually(30*second, "a job is accepted", func() bool { return j.Accepted })
	return j
}

func toldState(state string, jobs ...*simulation.Job) func() bool {
	return func() bool {
		for _, j := range jobs {
			if j.Told != state {
				return false
			}
		}
		return true
	}
}
