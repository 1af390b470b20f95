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

// startScenario starts so many controllers, whose settings change may alter first, and waits
// until they are ready.
func startScenario(t testing.TB, seed uint64, controllers int, change func(*config.Site)) *scenario {
	t.Helper()
	settings := simulation.Settings(controllers)
	if change != nil {
		change(&settings.Site)
	}
	s := &scenario{Cluster: simulation.NewWithSettings(seed, settings, simulation.MachineTypes()), t: t}
	s.eventually(20*second, "the nodes are ready", func() bool {
		return !slices.ContainsFunc(s.Nodes, func(n *simulation.Node) bool { return !n.Ready })
	})
	return s
}

// acrossSeeds plays a scenario over several seeds, with three controllers and with five. The
// scenario gets the number of the seed among them, by which it may vary.
func acrossSeeds(t *testing.T, first, seeds uint64, play func(t *testing.T, variant, controllers int, seed uint64)) {
	for _, controllers := range []int{3, 5} {
		t.Run(fmt.Sprint(controllers), func(t *testing.T) {
			t.Parallel()
			for variant := range seeds {
				play(t, int(variant), controllers, first+variant)
			}
		})
	}
}

// startFullCluster starts controllers with twelve machines that are full: of a team at its quota, of a
// job that goes on for a minute, and of one that is to be cancelled, which it returns.
func startFullCluster(t *testing.T, seed uint64, controllers int) (s *scenario, toCancel *simulation.Job) {
	s = startScenario(t, seed, controllers, nil)
	s.addMachines(12)
	spec := simulation.Array(24)
	spec.Team = "red"
	s.Users.Submit(spec, 40)
	s.Users.Submit(simulation.Array(8), 60)
	toCancel = s.Users.Submit(simulation.Array(16), 200)
	s.eventually(60*second, "all tasks run", func() bool { return s.Users.RunningTasks() == 48 })
	return s, toCancel
}

// recoverAndFinish ends all faults and waits until every user has heard how each job ended. From
// then on nobody may be left without an answer.
func (s *scenario) recoverAndFinish(timeout time.Duration) {
	s.t.Helper()
	s.Store.DelayedCommitShare, s.Store.ResponseDelay, s.Store.RefusedNodes = 0, 0, map[string]bool{}
	s.DuplicateShare, s.RetainHeartbeats, s.Users.CancelAtEndShare, s.Cloud.Down = 0, false, 0, false
	s.Users.FaultsOverAt = s.Now
	s.eventually(timeout, "all is over", s.Users.AllFinal)
}

// crashLeader crashes whoever leads.
func (s *scenario) crashLeader(restartDelay time.Duration) {
	if node := s.currentLeader(); node != nil {
		node.Crash(restartDelay)
	}
}

// crashAll crashes all controllers.
func (s *scenario) crashAll(restartDelay time.Duration) {
	for _, node := range s.Nodes {
		node.Crash(restartDelay)
	}
}

// submitAccepted submits a job and waits until it is accepted.
func (s *scenario) submitAccepted(spec protocol.Job, seconds float64) *simulation.Job {
	s.t.Helper()
	job := s.Users.Submit(spec, seconds)
	s.eventually(30*second, "a job is accepted", func() bool { return job.Accepted })
	return job
}

// lastStateIs tells whether the users of all jobs were told a state last.
func lastStateIs(state string, jobs ...*simulation.Job) func() bool {
	return func() bool {
		return !slices.ContainsFunc(jobs, func(job *simulation.Job) bool { return job.LastState != state })
	}
}
