package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// exhaustSingleWrites submits so many jobs to one node that it accepts the jobs that follow in
// admission batches instead of with one write per job. Later requests go to this node only.
func (s *scenario) exhaustSingleWrites(node *simulation.Node) {
	s.Users.OnlyNode = node
	for range 12 {
		s.Users.Submit(simulation.Array(1), 300)
	}
	s.Run(s.Now + 10*time.Millisecond) // until all submissions have arrived
}

// A job that depends on a cancelled job is submitted to a node that knows of the cancellation. This
// node accepts the job in a batch and responds that it is cancelled. The job is then submitted to a
// node that has read neither the cancellation nor the batch, and that accepts it again. The first
// acceptance counts, so the second node must respond that the job is cancelled too, whatever its own
// record of the job says.
func TestAllNodesReportDependentOfCancelledJobAsCancelled(t *testing.T) {
	t.Run("accepted again in a batch", func(t *testing.T) {
		testAcceptedTwice(t, (*scenario).exhaustSingleWrites)
	})
	t.Run("accepted again with an individual write", func(t *testing.T) {
		testAcceptedTwice(t, func(s *scenario, _ *simulation.Node) { s.Run(s.Now + 10*time.Millisecond) })
	})
}

// testAcceptedTwice makes two nodes accept the same dependent of a cancelled job. It calls prepare
// before it submits the dependent to late, the node that learns of the cancellation late.
func testAcceptedTwice(t *testing.T, prepare func(s *scenario, late *simulation.Node)) {
	t.Helper()
	s := newScenario(t, 9100)
	dependency := s.submitAccepted(simulation.Array(1), 300)
	s.Run(s.Now + 2*second) // until every node has read the first job
	informed, late := s.leader(), s.follower()

	// Responses of the state service reach one node late.
	s.SetLink("state", late.Label, simulation.Link{Delay: 500 * time.Millisecond})
	s.Users.OnlyNode = informed
	s.Users.Cancel(dependency)
	s.eventually(second, "the first job is cancelled", lastStateIs(protocol.JobCancelled, dependency))

	s.exhaustSingleWrites(informed)
	dependent := s.Users.Submit(dependentArray(1, dependency), 1)
	s.eventually(200*time.Millisecond, "its dependent is cancelled", lastStateIs(protocol.JobCancelled, dependent))

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
