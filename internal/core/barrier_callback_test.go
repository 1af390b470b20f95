package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/simulation"
)

// Guards against a read barrier whose callbacks were never called. Several submissions share a barrier.
// Once it is complete, a controller looks up their dependencies, finds for each submission that another
// controller has accepted the job, and requests one more barrier. The one for the first submission was sent
// before the callbacks of the other submissions had run. When these had run, a further barrier was sent,
// which overwrote the callbacks of the one in flight. The first submission got no response, and its user,
// one of four in this test, timed out after 5 s.
func TestEverySubmissionBehindSharedBarriersGetsResponse(t *testing.T) {
	s := newScenario(t, 9400)
	s.Run(s.Now + 2*second)
	informed, lagging := s.leader(), s.follower()
	s.SetLink("state", lagging.Label, simulation.Link{Delay: 500 * time.Millisecond})
	s.Users.OnlyNode = informed
	head := s.submitAccepted(simulation.Array(1), 300)
	var dependents []*simulation.Job
	for range 4 {
		dependents = append(dependents, s.Users.Submit(dependentArray(1, head), 1))
	}
	s.Run(s.Now + 100*time.Millisecond) // all jobs are accepted, and the lagging node has read none of the acceptances
	s.Users.OnlyNode = lagging
	timedOut := s.Users.TimedOut
	for _, dependent := range dependents {
		s.Users.Resubmit(dependent)
	}
	s.Run(s.Now + 8*second)
	s.requireInvariants()
	if newTimeouts := s.Users.TimedOut - timedOut; newTimeouts > 0 {
		t.Fatalf("%d requests got no response", newTimeouts)
	}
}
