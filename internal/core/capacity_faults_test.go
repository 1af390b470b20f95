package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// Urgent and other jobs need more than the capacity, the links of the controllers to each other and to the
// workers are slow, and the leader fails over. The urgent jobs start first and must be done soon after the last
// submission. In the end every job must be done that its user has not cancelled.
func TestOverloadOverSlowLinks(t *testing.T) {
	acrossSeeds(t, 4200, 3, func(t *testing.T, _, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, nil)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 6, 0
		s.addMachines(6)
		for i, node := range s.Nodes {
			s.SetLinks(node.Label, "workers", simulation.Link{Delay: time.Duration(1+i%3) * second / 2})
		}
		s.PeerLatency = 400 * time.Millisecond
		var urgent, other []*simulation.Job
		for k := range 16 {
			spec := simulation.Array(12)
			spec.Class, spec.Urgency = "reports", protocol.UrgencyLow
			if k%2 == 0 {
				spec.Class, spec.Urgency = "alerts", protocol.UrgencyHigh
			}
			job := s.Users.Submit(spec, 8)
			switch {
			case k%2 == 0:
				urgent = append(urgent, job)
			case k%6 == 5:
				s.Users.Cancel(job)
			default:
				other = append(other, job)
			}
			if k == 9 {
				s.crashLeader(second)
			}
			s.Run(s.Now + 3*second)
		}
		s.eventually(32*second, "all urgent jobs are done", lastStateIs(protocol.JobDone, urgent...))
		s.Heal("node-0", "workers")
		s.PeerLatency = 0
		for _, node := range s.Nodes {
			s.Heal(node.Label, "workers")
		}
		s.recoverAndFinish(300 * second)
		if !lastStateIs(protocol.JobDone, other...)() {
			t.Fatal("a job that is not urgent and that nobody cancelled ended without being done")
		}
	})
}

// A job that has failed on the only machines with capacity must not block that capacity for other jobs. The
// shard of the machines starts none of its tasks there during a backoff, so a leader that dispatched them in
// every round would keep the capacity idle.
func TestFailedJobDoesNotBlockCapacity(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 4900+seed)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
		s.addMachines(2)
		failing := simulation.Array(8)
		failing.Urgency = protocol.UrgencyHigh
		s.Users.Submit(failing, 5).FailsEverywhere = true
		s.Run(s.Now + 6*second)
		job := s.Users.Submit(simulation.Array(4), 5)
		s.eventually(25*second, "the other job is done", lastStateIs(protocol.JobDone, job))
	}
}
