package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// exhaustSingleWrites submits so many jobs at one node that those which follow are accepted
// in batches, and not with a write for each.
func (s *scenario) exhaustSingleWrites(node *simulation.Node) {
	s.Users.OnlyNode = node
	for range 12 {
		s.Users.Submit(simulation.Array(1), 300)
	}
	s.Run(s.Now + 10*time.Millisecond) // all have arrived
}

// A job that needs a cancelled one is submitted at a node that knows of the cancellation: it
// accepts the job in a batch and answers that it is aborted. Then the job is submitted at a
// node that has read neither the cancellation nor that batch, and which accepts it again. The
// first record counts, so that node too must answer that the job is aborted, not what its own
// record says.
func TestDependentOfCancelledJobHasOneAnswerOnAllNodes(t *testing.T) {
	t.Run("accepted again in a batch", func(t *testing.T) {
		testAcceptedTwice(t, (*scenario).exhaustSingleWrites)
	})
	t.Run("accepted again with a write of its own", func(t *testing.T) {
		testAcceptedTwice(t, func(s *scenario, _ *simulation.Node) { s.Run(s.Now + 10*time.Millisecond) })
	})
}

// testAcceptedTwice has a dependent of a cancelled job accepted by two nodes; prepare is called
// before it is submitted at the one that learns of the cancellation late.
func testAcceptedTwice(t *testing.T, prepare func(s *scenario, late *simulation.Node)) {
	t.Helper()
	s := newScenario(t, 9100)
	cause := s.submitAccepted(simulation.Array(1), 300)
	s.Run(s.Now + 2*second) // every node has read it
	informed, late := s.leader(), s.follower()

	// What the state service says reaches one node late.
	s.SetLink("state", late.Label, simulation.Link{Delay: 500 * time.Millisecond})
	s.Users.OnlyNode = informed
	s.Users.Cancel(cause)
	s.eventually(second, "the first job is cancelled", lastStateIs(protocol.JobCancelled, cause))

	s.exhaustSingleWrites(informed)
	dependent := s.Users.Submit(dependentArray(1, cause), 1)
	s.eventually(200*time.Millisecond, "its dependent is aborted", lastStateIs(protocol.JobCancelled, dependent))

	prepare(s, late)
	s.Users.OnlyNode = late
	s.Users.Resubmit(dependent)
	s.Run(s.Now + 5*second)
	s.requireInvariants()

	s.Users.OnlyNode = nil
	s.Users.ReadEverywhere(dependent)
	s.Run(s.Now + 5*second)
	s.requireInvariants()
}
