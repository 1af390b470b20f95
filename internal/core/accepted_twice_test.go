package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// A job is accepted twice, as in TestDependentOfCancelledJobHasOneAnswerOnAllNodes, and then something happens that makes another part of a node, or another node, rest on
// the second acceptance: whatever it is, the job and what depends on it are aborted everywhere. Before
// the first acceptance counted at its root, a dependent of such a job waited for ever: the record that
// the batch held was final, and still the dependency graph called the job open.
func TestSecondAcceptanceHasNoEffect(t *testing.T) {
	for _, tt := range []struct {
		name string
		then func(s *scenario, late *simulation.Node, dependent *simulation.Job) (more []*simulation.Job)
	}{
		{"a dependent of its own", func(s *scenario, _ *simulation.Node, dependent *simulation.Job) []*simulation.Job {
			return []*simulation.Job{s.Users.Submit(dependentArray(1, dependent), 1)}
		}},
		{"the node that accepted it second restarts", func(_ *scenario, late *simulation.Node, _ *simulation.Job) []*simulation.Job {
			late.Crash(second / 20)
			return nil
		}},
		{"the node that accepted it second becomes leader", func(s *scenario, late *simulation.Node, _ *simulation.Job) []*simulation.Job {
			for _, node := range s.Nodes {
				if node != late {
					node.Crash(30 * second)
				}
			}
			return nil
		}},
		{"all restart", func(s *scenario, _ *simulation.Node, _ *simulation.Job) []*simulation.Job {
			s.crashAll(second / 20)
			return nil
		}},
		{"its user cancels it", func(s *scenario, _ *simulation.Node, dependent *simulation.Job) []*simulation.Job {
			s.Users.Cancel(dependent)
			return nil
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, batch := range []bool{false, true} {
				s := newScenario(t, 9200)
				cause := s.submitAccepted(simulation.Array(1), 300)
				s.Run(s.Now + 2*second)
				first, late := s.leader(), s.follower()
				s.SetLink("state", late.Label, simulation.Link{Delay: 500 * time.Millisecond})
				s.Users.OnlyNode = first
				s.Users.Cancel(cause)
				s.eventually(second, "the first job is cancelled", lastStateIs(protocol.JobCancelled, cause))
				s.exhaustSingleWrites(first)
				dependent := s.Users.Submit(dependentArray(1, cause), 1)
				s.Run(s.Now + 100*time.Millisecond)
				if batch {
					s.exhaustSingleWrites(late)
				}
				s.Users.OnlyNode = late
				s.Users.Resubmit(dependent)
				s.Run(s.Now + 30*time.Millisecond) // its write has left, and is not answered
				jobs := append(tt.then(s, late, dependent), dependent)
				s.Users.OnlyNode = nil
				s.Run(s.Now + 2*second)
				s.SetLink("state", late.Label, simulation.Link{})
				s.Run(s.Now + 60*second)
				for _, job := range jobs {
					if job.LastState != protocol.JobCancelled {
						t.Errorf("batch %v: %s is %s (%s)", batch, job.Spec.ID, job.LastState, job.LastResponse.Reason)
					}
					s.Users.ReadEverywhere(job)
				}
				s.Run(s.Now + 5*second)
				s.requireInvariants()
			}
		})
	}
}

// A dependent that is accepted once is answered as accepted, not as known already.
func TestNewDependentIsReportedAsAccepted(t *testing.T) {
	s := newScenario(t, 9300)
	head := s.submitAccepted(simulation.Array(1), 300)
	spec := dependentArray(1, head)
	spec.ID = "job-900000"
	var reply core.Reply
	s.leader().Request(func(id core.RequestID) core.Command { return core.SubmitJob{ID: id, Spec: spec} },
		func(r core.Reply) { reply = r })
	s.Run(s.Now + second)
	body, _ := reply.Body.(protocol.JobResponse)
	if reply.Status != core.ReplyAccepted || body.State != protocol.JobQueued {
		t.Fatalf("answered %+v", reply)
	}
}
