package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// There is more work than room, urgent and not, over slow links between all ends, and with a
// change of leader: urgent work goes first, and in the end all is served.
func TestOverloadOverSlowLinks(t *testing.T) {
	acrossSeeds(t, 4200, 3, func(t *testing.T, k, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, nil)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 6, 0
		s.addMachines(6)
		for i, n := range s.Nodes {
			s.Between(n.Label, "workers", simulation.Link{Delay: time.Duration(1+i%3) * second / 2})
		}
		s.PeerLatency = 400 * time.Millisecond
		var urgent, idle []*simulation.Job
		for k := range 16 {
			spec := simulation.Array(12)
			spec.Class, spec.Urgency = "reports", protocol.UrgencyLow
			if k%2 == 0 {
				spec.Class, spec.Urgency = "alerts", protocol.UrgencyHigh
			}
			j := s.Users.Submit(spec, 8)
			if k%2 == 0 {
				urgent = append(urgent, j)
			} else {
				idle = append(idle, j)
			}
			if k%6 == 5 {
				s.Users.Abort(j)
			}
			if k == 9 {
				s.crashLeader(second)
			}
			s.Run(s.Now + 3*second)
		}
		s.eventually(32*second, "urgent work is done", toldState(protocol.JobDone, urgent...))
		s.Mend("node-0", "workers")
		s.PeerLatency = 0
		for _, n := range s.Nodes {
			s.Mend(n.Label, "workers")
		}
		s.recoverAndFinish(300 * second)
	})
}

// A job that has failed on the only machines with room does not hold that room up, round after
// round, while its part puts none of it there.
func TestFailedJobDoesNotBlockCapacity(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 4900+seed)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
		s.addMachines(2)
		bad := simulation.Array(8)
		bad.Urgency = protocol.UrgencyHigh
		s.Users.Submit(bad, 5).Mistaken = true
		s.Run(s.Now + 6*second)
		j := s.Users.Submit(simulation.Array(4), 5)
		s.eventually(25*second, "the other job is done", toldState(protocol.JobDone, j))
	}
}
