package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// As in TestAllNodesReportDependentOfCancelledJobAsCancelled, a dependent of a cancelled job is accepted
// at the leader, and again at a node that has read neither the cancellation nor the first acceptance. Then
// followUp submits a dependent of this job, cancels it, restarts nodes or changes the leader. None of that
// may make a node use the second acceptance: the job and its own dependents must be cancelled on all nodes.
//
// Guards against the fault that a dependent of such a job waited forever. A node ignored the second
// acceptance in the admission batch, where the job's record was final, but not in its dependency graph,
// where the job was open.
func TestSecondAcceptanceHasNoEffect(t *testing.T) {
	for _, tt := range []struct {
		name     string
		followUp func(s *scenario, lagging *simulation.Node, dependent *simulation.Job) (more []*simulation.Job)
	}{
		{"a dependent of its own", func(s *scenario, _ *simulation.Node, dependent *simulation.Job) []*simulation.Job {
			return []*simulation.Job{s.Users.Submit(dependentArray(1, dependent), 1)}
		}},
		{"the node that accepted it second restarts", func(_ *scenario, lagging *simulation.Node, _ *simulation.Job) []*simulation.Job {
			lagging.Crash(second / 20)
			return nil
		}},
		{"the node that accepted it second becomes leader", func(s *scenario, lagging *simulation.Node, _ *simulation.Job) []*simulation.Job {
			for _, node := range s.Nodes {
				if node != lagging {
					node.Crash(30 * second)
				}
			}
			return nil
		}},
		{"all nodes restart", func(s *scenario, _ *simulation.Node, _ *simulation.Job) []*simulation.Job {
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
				cancelled := s.submitAccepted(simulation.Array(1), 300)
				s.Run(s.Now + 2*second)
				first, lagging := s.leader(), s.follower()
				s.SetLink("state", lagging.Label, simulation.Link{Delay: 500 * time.Millisecond})
				s.Users.OnlyNode = first
				s.Users.Cancel(cancelled)
				s.eventually(second, "the dependency is cancelled", lastStateIs(protocol.JobCancelled, cancelled))
				s.exhaustSingleWrites(first)
				dependent := s.Users.Submit(dependentArray(1, cancelled), 1)
				s.Run(s.Now + 100*time.Millisecond)
				if batch {
					s.exhaustSingleWrites(lagging)
				}
				s.Users.OnlyNode = lagging
				s.Users.Resubmit(dependent)
				s.Run(s.Now + 30*time.Millisecond) // the write of the second acceptance has been sent and has no response yet
				jobs := append(tt.followUp(s, lagging, dependent), dependent)
				s.Users.OnlyNode = nil
				s.Run(s.Now + 2*second)
				s.SetLink("state", lagging.Label, simulation.Link{})
				s.Run(s.Now + 60*second)
				for _, job := range jobs {
					if job.LastState != protocol.JobCancelled {
						t.Errorf("accepted again in a batch: %v; %s is %s (%s), want it cancelled", batch, job.Spec.ID, job.LastState, job.LastResponse.Reason)
					}
					s.Users.ReadEverywhere(job)
				}
				s.Run(s.Now + 5*second)
				s.requireInvariants()
			}
		})
	}
}

// The response to the first submission of a job with a dependency must say that the job was accepted, and
// not that it was already known.
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
		t.Fatalf("the reply is %+v, want an accepted job that is queued", reply)
	}
}
