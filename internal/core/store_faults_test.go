package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// The state service is down for longer than a worker's lease. No task may run twice, during the outage or
// after it, and the job must be final in the end.
func TestNoTaskRunsTwiceAfterStoreOutageBeyondWorkerLease(t *testing.T) {
	s := newScenario(t, 6)
	job := s.Users.Submit(simulation.Array(16), 40)
	s.eventually(60*second, "tasks run", func() bool { return job.RunningTasks() > 8 })
	s.Store.Outage(40 * second)
	s.Run(s.Now + 39*second)
	s.requireInvariants()
	s.eventually(180*second, "the job is final", s.Users.AllFinal)
}

// The state service refuses the requests of only one controller, which still receives its workers'
// heartbeats. It must stop responding to them before other controllers start the workers' tasks elsewhere.
func TestControllerRefusedByStoreStopsResponding(t *testing.T) {
	for seed := range uint64(4) {
		s := newBusyScenario(t, 10+seed, 20*second)
		node := s.Nodes[seed%3]
		s.Store.RefusedNodes[node.Label] = true
		s.After(40*second, func() { delete(s.Store.RefusedNodes, node.Label) })
		s.eventually(240*second, "all jobs are final", s.Users.AllFinal)
	}
}

// 200 polls per second, many times as many as usual, and 20 submissions of small jobs per second must not
// exhaust the state service's rate limit, which lease renewals and submissions depend on.
func TestPollsDoNotExhaustStoreRateLimit(t *testing.T) {
	s := newScenario(t, 90)
	job := s.Users.Submit(simulation.Array(4), 60)
	s.eventually(30*second, "the job is accepted", func() bool { return job.Accepted })
	s.Run(s.Now + 5*second)
	s.Store.Throttled = 0
	polls, responses := 0, 0
	for i := range 3000 {
		s.At(s.Now+time.Duration(i)*5*time.Millisecond, func() {
			node := s.Nodes[i%3]
			polls++
			node.Request(func(id core.RequestID) core.Command { return core.QueryJob{ID: id, JobID: job.Spec.ID} }, func(reply core.Reply) {
				if reply.Status == 200 {
					responses++
				}
			})
		})
	}
	for i := range 300 {
		s.At(s.Now+time.Duration(i)*50*time.Millisecond, func() {
			small := simulation.Array(1)
			small.CPUs = 0.25
			s.Users.Submit(small, 8)
		})
	}
	s.Run(s.Now + 16*second)
	if s.Store.Throttled > 0 || responses < polls {
		t.Fatalf("%d requests exceeded the rate limit, want none; %d of %d polls got a response, want all", s.Store.Throttled, responses, polls)
	}
	s.eventually(200*second, "all jobs are final", s.Users.AllFinal)
}

// Transactions that get no response and are applied late must not accept a job twice, lose a job or undo
// a cancellation.
func TestLateTransactionsAndLostResponsesAreHarmless(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 40+seed)
		s.Store.DelayedCommitShare, s.Store.MaxCommitDelay = 0.15, 6*second
		s.Loss = 0.03
		jobs := []*simulation.Job{}
		for range 6 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(6), 8))
		}
		s.After(12*second, func() { s.Users.Cancel(jobs[0]); s.Users.Cancel(jobs[1]) })
		s.eventually(400*second, "all jobs are final", s.Users.AllFinal)
		for _, job := range jobs {
			s.Users.Resubmit(job) // however late the submission is repeated, the response must be the job's state
		}
		s.Run(s.Now + 20*second)
		s.requireInvariants()
	}
}

// A restarted controller loads all keys from the state service, page by page, and the state service
// refuses some of these requests. Afterwards the controller must know every job, also those that have
// ended.
func TestPagedLoadFindsEveryJob(t *testing.T) {
	s := newScenario(t, 47)
	s.Store.AddFinishedJobs(4500)
	open := s.Users.Submit(simulation.Array(4), 200)
	s.eventually(60*second, "all tasks of the open job run", func() bool { return open.RunningTasks() == 4 })
	restarted := s.leader()
	s.Store.RefusedNodes[restarted.Label] = true
	s.After(6*second, func() { delete(s.Store.RefusedNodes, restarted.Label) })
	restarted.Crash(second)
	s.After(6*second+40*time.Millisecond, func() { s.Store.RefusedNodes[restarted.Label] = true })
	s.After(8*second, func() { delete(s.Store.RefusedNodes, restarted.Label) })
	s.eventually(20*second, "the restarted controller is ready", func() bool { return restarted.Ready })
	for i, want := range map[int]string{0: protocol.JobCancelled, 51: protocol.JobDone, 4499: protocol.JobDone} {
		restarted.Request(func(id core.RequestID) core.Command { return core.QueryJob{ID: id, JobID: fmt.Sprintf("job-9%08d", i)} }, func(reply core.Reply) {
			if response := reply.Body.(protocol.JobResponse); reply.Status != 200 || response.State != want || response.Done == 0 && want == protocol.JobDone {
				t.Errorf("the reply about finished job %d is %+v", i, reply)
			}
		})
	}
	s.Run(s.Now + second)
	s.requireInvariants()
}

// An outage of the state service that affects all controllers ends no task, however long it lasts. The
// tasks of a job whose cancellation was confirmed just before the outage are still stopped, and the other
// job is done after the outage.
func TestStoreOutageSeenByAllEndsNoTask(t *testing.T) {
	for seed := range uint64(6) {
		s := newScenario(t, 520+seed)
		long, cancelled := s.Users.Submit(simulation.Array(12), 150), s.Users.Submit(simulation.Array(6), 300)
		s.eventually(60*second, "all tasks run", func() bool { return s.Users.RunningTasks() == 18 })
		s.Users.Cancel(cancelled)
		s.eventually(second, "the cancellation is confirmed to the user", func() bool { return cancelled.LastState == protocol.JobCancelled })
		s.Store.Outage(70 * second) // before the other controllers have read the cancellation
		s.Run(s.Now + 12*second)
		if n := cancelled.RunningTasks(); n > 0 {
			t.Fatalf("%d tasks of the cancelled job are running, want none", n)
		}
		leastRunning := 12
		for range 56 {
			s.Run(s.Now + second)
			leastRunning = min(leastRunning, long.RunningTasks())
		}
		if leastRunning < 12 {
			t.Fatalf("at one time only %d of 12 tasks were running, want all", leastRunning)
		}
		s.requireInvariants()
		s.eventually(120*second, "the job is done", func() bool { return long.LastState == protocol.JobDone })
	}
}

// Degraded mode requires votes of all controllers. No controller enters it if one of them is down, is
// still served by the state service, or has a version that does not list all cancellations that it may
// have confirmed.
func TestDegradedModeRequiresEveryController(t *testing.T) {
	for variant := range 3 {
		s := newScenario(t, 530+uint64(variant))
		job := s.Users.Submit(simulation.Array(12), 150)
		s.eventually(60*second, "all tasks run", func() bool { return job.RunningTasks() == 12 })
		follower := s.follower()
		switch variant {
		case 0:
			for _, node := range s.Nodes {
				s.Store.RefusedNodes[node.Label] = node != follower
			}
		case 1:
			follower.Crash(0)
			s.Store.Outage(60 * second)
		case 2:
			follower.PreviousVersion = true
			follower.Crash(second / 5)
			s.Run(s.Now + 15*second)
			s.Store.Outage(60 * second)
		}
		s.Logs = nil
		s.Run(s.Now + 30*second)
		if s.logged("workers are kept alive") {
			t.Fatal("degraded mode was entered without the votes of all controllers")
		}
		s.Store.RefusedNodes = map[string]bool{}
		s.eventually(500*second, "the job is final", s.Users.AllFinal)
	}
}
