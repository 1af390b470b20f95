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

// startScenario starts the given number of controllers and waits until they are ready. The function
// change, if not nil, modifies their settings before they start.
func startScenario(t testing.TB, seed uint64, controllers int, change func(*config.Site)) *scenario {
	t.Helper()
	settings := simulation.Settings(controllers)
	if change != nil {
		change(&settings.Site)
	}
	s := &scenario{Cluster: simulation.NewWithSettings(seed, settings, simulation.MachineTypes()), t: t}
	s.eventually(20*second, "all controllers are ready", func() bool {
		return !slices.ContainsFunc(s.Nodes, func(n *simulation.Node) bool { return !n.Ready })
	})
	return s
}

// acrossSeeds runs a scenario with consecutive seeds, beginning with first, for three controllers and
// for five. The argument variant is the index of the seed, by which a scenario may vary.
func acrossSeeds(t *testing.T, first, seeds uint64, run func(t *testing.T, variant, controllers int, seed uint64)) {
	for _, controllers := range []int{3, 5} {
		t.Run(fmt.Sprint(controllers), func(t *testing.T) {
			t.Parallel()
			for variant := range seeds {
				run(t, int(variant), controllers, first+variant)
			}
		})
	}
}

// startFullCluster starts controllers with twelve fully occupied machines. They run 24 tasks of a team that
// is at its quota, 8 tasks of a job that takes a minute, and 16 tasks of a long job for the test to
// cancel, which it returns.
func startFullCluster(t *testing.T, seed uint64, controllers int) (s *scenario, toCancel *simulation.Job) {
	s = startScenario(t, seed, controllers, nil)
	s.addMachines(12)
	spec := simulation.Array(24)
	spec.Team = "red"
	s.Users.Submit(spec, 40)
	s.Users.Submit(simulation.Array(8), 60)
	toCancel = s.Users.Submit(simulation.Array(16), 200)
	s.eventually(60*second, "all 48 tasks run", func() bool { return s.Users.RunningTasks() == 48 })
	return s, toCancel
}

// recoverAndFinish ends the faults of the store, duplicated and retained messages, cancellations at
// completion and the cloud outage, and waits until every user knows the final state of each job. From the
// end of the faults on, the invariant checker also requires that users get responses and that no job waits
// long while a machine could run its next task.
func (s *scenario) recoverAndFinish(timeout time.Duration) {
	s.t.Helper()
	s.Store.DelayedCommitShare, s.Store.ResponseDelay, s.Store.RefusedNodes = 0, 0, map[string]bool{}
	s.DuplicateShare, s.RetainHeartbeats, s.Users.CancelAtEndShare, s.Cloud.Down = 0, false, 0, false
	s.Users.FaultsOverAt = s.Now
	s.eventually(timeout, "every job is done or cancelled", s.Users.AllFinal)
}

// crashLeader crashes the current leader, if there is one.
func (s *scenario) crashLeader(restartDelay time.Duration) {
	if node := s.currentLeader(); node != nil {
		node.Crash(restartDelay)
	}
}

func (s *scenario) crashAll(restartDelay time.Duration) {
	for _, node := range s.Nodes {
		node.Crash(restartDelay)
	}
}

// submitAccepted submits a job and waits until it is accepted.
func (s *scenario) submitAccepted(spec protocol.Job, seconds float64) *simulation.Job {
	s.t.Helper()
	job := s.Users.Submit(spec, seconds)
	s.eventually(30*second, "the submitted job is accepted", func() bool { return job.Accepted })
	return job
}

// lastStateIs returns a condition that holds if the given state is the last one that the user of each of
// the jobs has received.
func lastStateIs(state string, jobs ...*simulation.Job) func() bool {
	return func() bool {
		return !slices.ContainsFunc(jobs, func(job *simulation.Job) bool { return job.LastState != state })
	}
}
