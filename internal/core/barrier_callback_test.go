package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/simulation"
)

// Guards against a read barrier whose callbacks were never called. A controller looks up the dependencies
// of several submissions after one shared barrier. It then finds that the submitted jobs themselves have
// been accepted by another controller, and requests one more barrier for each. The first of these was
// sent while the callbacks of the other submissions had yet to run. After they had run, another barrier
// was sent, which overwrote the callbacks of the one in flight. The first submission got no response, and
// its user timed out after 5 s. In this test, that happened to one of four users.
func TestEverySubmissionBehindSharedBarriersGetsResponse(t *testing.T) {
	s := newScenario(t, 9400)
	s.Run(s.Now + 2*second)
	first, lagging := s.leader(), s.follower()
	s.SetLink("state", lagging.Label, simulation.Link{Delay: 500 * time.Millisecond})
	s.Users.OnlyNode = first
	head := s.submitAccepted(simulation.Array(1), 300)
	var dependents []*simulation.Job
	for range 4 {
		dependents = append(dependents, s.Users.Submit(dependentArray(1, head), 1))
	}
	s.Run(s.Now + 100*time.Millisecond) // all jobs are accepted, and the lagging node has read none of that
	s.Users.OnlyNode = lagging
	timedOut := s.Users.TimedOut
	for _, dependent := range dependents {
		s.Users.Resubmit(dependent)
	}
	s.Run(s.Now + 8*second)
	s.requireInvariants()
	if lost := s.Users.TimedOut - timedOut; lost > 0 {
		t.Fatalf("%d requests got no response", lost)
	}
}
