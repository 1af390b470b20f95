package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// Users query all nodes within milliseconds about a job that was just accepted, has ended or is reported
// as cancelled, and submit it again. Meanwhile nodes restart and reload the state, and the state service
// is slow. No node may report an older state of a job than another node has reported before. The jobs
// have 1 to 40 tasks, some depend on another job, and some are accepted in batches or stored as chunked
// records.
func TestReadsAreMonotonicAcrossNodes(t *testing.T) {
	acrossSeeds(t, 3000, 3, func(t *testing.T, _, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, nil)
		s.addMachines(8)
		s.Users.CheckReadYourWrites, s.Users.CancelAtEndShare = true, 0.3
		kinds := []protocol.Job{simulation.Array(1), simulation.Array(3), simulation.Array(40), simulation.Array(2), simulation.Array(1)}
		kinds[3].MachineTypes = []string{"box", "barn"}
		kinds[4] = withManyTypes(kinds[4]) // its description is stored as a chunked record
		var last *simulation.Job
		for k := range 24 {
			spec := kinds[k%len(kinds)]
			if k%6 == 5 && last != nil && last.Accepted {
				spec.Dependencies = []string{last.Spec.ID}
			}
			job := s.Users.Submit(spec, float64(1+k%4))
			for range 6 * (k % 3 / 2) { // six more jobs for every third k, so that the jobs are accepted in batches
				s.Users.Submit(simulation.Array(1), 2)
			}
			last = job
			switch k % 8 {
			case 1:
				s.RunUntil(s.Now+5*second, func() bool { return job.Accepted })
				s.Users.Cancel(job)
			case 3:
				s.After(3*second, func() { s.Users.Cancel(job) })
			case 5:
				s.Store.CompactedNodes[s.Nodes[k%controllers].Label] = true
			case 6:
				s.Nodes[k%controllers].Crash(second / 5)
			case 7:
				s.Store.ResponseDelay = time.Duration(k%3) * 100 * time.Millisecond
			}
			s.Run(s.Now + 2*second)
		}
		s.recoverAndFinish(200 * second)
		if s.Users.ReadEverywhereReplies < 1000 {
			t.Fatalf("only %d reads at all nodes got a response, want at least 1000", s.Users.ReadEverywhereReplies)
		}
	})
}

// A cancellation, queries at all nodes and a repeated submission arrive just when a job's last task
// completes, or up to 361 ms later, without any fault. All nodes must report the same final state at once.
func TestAllNodesAgreeOnFinalStateAtJobCompletion(t *testing.T) {
	done, cancelled := 0, 0
	for seed := range uint64(12) {
		s := newScenario(t, 3800+seed)
		s.addMachines(8)
		s.Users.CheckReadYourWrites = true
		for k := range 20 {
			job := s.Users.Submit(simulation.Array(1+k%3), 5)
			if !s.RunUntil(s.Now+40*second, func() bool { return s.Users.CompletedTasks(job) == job.Spec.Tasks }) {
				t.Fatal("the tasks of a job did not complete within 40 s")
			}
			s.Run(s.Now + time.Duration(k*k)*time.Millisecond)
			s.Users.ReadEverywhere(job)
			s.Users.Cancel(job)
			s.Users.Resubmit(job)
			s.eventually(3*second, "the job is final", func() bool { return job.LastState == protocol.JobDone || job.LastState == protocol.JobCancelled })
			if job.LastState == protocol.JobDone {
				done++
			} else {
				cancelled++
			}
		}
		s.recoverAndFinish(20 * second)
	}
	if done == 0 || cancelled == 0 {
		t.Fatalf("%d jobs were done and %d were cancelled, want some of each", done, cancelled)
	}
}

// A job is accepted at one node. Then it is submitted at all nodes with a change that makes it
// impossible to run, while the mirror of one node is stale. Each node must respond with the state of the
// accepted job. Only the node with the stale mirror may respond that it is unavailable instead.
func TestAcceptedJobIsNotRejectedByStaleMirror(t *testing.T) {
	for seed := range uint64(3) {
		s := newScenario(t, 4800+seed)
		slow := s.follower()
		s.SetLink("state", slow.Label, simulation.Link{Delay: 6 * second / 10})
		s.Run(s.Now + 5*second)
		s.Users.OnlyNode = s.leader()
		job := s.Users.Submit(simulation.Array(2), 15)
		s.eventually(10*second, "the job is accepted", func() bool { return job.Accepted })
		s.Users.OnlyNode = nil
		resubmitted, statuses := job.Spec, map[string]core.ReplyStatus{}
		resubmitted.CPUs = 4096
		for _, node := range s.Nodes {
			submit := func(id core.RequestID) core.Command { return core.SubmitJob{ID: id, Spec: resubmitted} }
			node.Request(submit, func(reply core.Reply) { statuses[node.Label] = reply.Status })
		}
		s.Run(s.Now + 5*second)
		for _, node := range s.Nodes {
			if got := statuses[node.Label]; got != core.ReplyOK && (got != core.ReplyUnavailable || node != slow) {
				t.Fatalf("%s responded with status %d, want the state of the accepted job", node.Label, got)
			}
		}
		s.SetLink("state", slow.Label, simulation.Link{})
		s.eventually(60*second, "the job is final", s.Users.AllFinal)
	}
}
