package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/simulation"
)

// What happens without the mend: a controller looks for the jobs that some submissions name behind a
// barrier, finds with its answer that the submissions themselves were accepted elsewhere, and asks
// for another barrier for each. The first of these leaves while the others still wait, and the end of
// the answer starts one more, which takes its place: the first submission is never answered, its user
// waits for 5 s. Of four users here one times out.
func TestEverySubmissionBehindSharedBarriersIsAnswered(t *testing.T) {
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
	s.Run(s.Now + 100*time.Millisecond) // all are accepted, and the other node has read none of it
	s.Users.OnlyNode = lagging
	timedOut := s.Users.TimedOut
	for _, dependent := range dependents {
		s.Users.Resubmit(dependent)
	}
	s.Run(s.Now + 8*second)
	s.requireInvariants()
	if lost := s.Users.TimedOut - timedOut; lost > 0 {
		t.Fatalf("%d requests have no answer", lost)
	}
}
