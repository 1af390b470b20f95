package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

func TestWorkCompletesAfterLeaderCrash(t *testing.T) {
	s := newScenario(t, 3)
	first, other := s.Users.Submit(simulation.Array(12), 20), s.Users.Submit(simulation.Array(12), 20)
	s.eventually(60*second, "tasks run", func() bool { return first.RunningTasks()+other.RunningTasks() > 6 })
	s.leader().Crash(8 * second)
	s.eventually(120*second, "all jobs are final", s.Users.AllFinal)
}

func TestNoAcceptedJobIsLostWhenEveryControllerCrashes(t *testing.T) {
	s := newScenario(t, 4)
	for range 3 {
		s.Users.Submit(simulation.Array(12), 15)
	}
	s.Run(s.Now + 25*second)
	for _, node := range s.Nodes {
		node.Crash(5 * second)
	}
	s.eventually(180*second, "all accepted jobs are final", s.Users.AllFinal)
}

func TestWorkCompletesThroughRollingRestart(t *testing.T) {
	s := newScenario(t, 5)
	for range 4 {
		s.Users.Submit(simulation.Array(15), 12)
	}
	for i, node := range s.Nodes {
		s.After(time.Duration(10+15*i)*second, func() { node.Crash(4 * second) })
	}
	s.eventually(200*second, "all jobs are final", s.Users.AllFinal)
}

// A controller process is paused and resumes. It then has full queues, old timers and a response that it
// was about to send, and neither it nor a receiver may act on any of these.
func TestResumedControllerDoesNotActOnStaleState(t *testing.T) {
	for seed := range uint64(6) {
		s := newBusyScenario(t, 80+seed, 15*second)
		node := s.leader()
		if seed%2 == 1 {
			node = s.follower()
		}
		pause := time.Duration(5+15*seed) * second
		node.Pause(pause)
		s.After(pause/2, func() { s.Users.Submit(simulation.Array(6), 10) })
		s.eventually(300*second, "all jobs are final", s.Users.AllFinal)
	}
}

// A team's quota holds across a failover. A machine that the next leader has not seen yet counts against
// the quota as if the team's tasks used all of its capacity.
func TestQuotaHoldsAcrossFailover(t *testing.T) {
	s := newScenario(t, 51)
	spec := simulation.Array(60)
	spec.Team, spec.EstimateS = "red", 100
	job := s.Users.Submit(spec, 20)
	s.eventually(90*second, "the team uses all of its quota", func() bool { return job.RunningTasks() == 24 })
	for _, node := range s.Nodes {
		node.Crash(4 * second)
	}
	s.eventually(300*second, "the job is final", s.Users.AllFinal)
}

// A terminated machine must not delay a failover for a whole lease. The leader asks the cloud to delete
// the machine, after which its tasks have certainly ended.
func TestDeadMachineDoesNotDelayFailover(t *testing.T) {
	s := newScenario(t, 76)
	s.Cloud.Capacity["barn"] = 0
	for range 4 {
		s.Users.Submit(simulation.Array(8), 40)
	}
	s.eventually(60*second, "several machines run tasks", func() bool { return len(s.Workers) >= 5 })
	s.Run(s.Now + 5*second)
	for _, worker := range s.RandomWorkers(1) {
		s.Cloud.Remove(worker.Info.Name)
	}
	for _, node := range s.Nodes {
		node.Crash(2 * second)
	}
	s.Logs = nil
	s.eventually(9*second, "every machine has been seen or is deleted", func() bool { return s.logged("every machine has been seen") })
	s.eventually(300*second, "all jobs are final", s.Users.AllFinal)
}

// A machine that keeps its owner through a failover is terminated. The owner knows which tasks may be on
// the machine, whether or not the machine responds, so the new leader must not block its queue until the
// machine has been seen.
func TestFailoverDoesNotWaitForRetainedMachines(t *testing.T) {
	s := newScenario(t, 78)
	for range 6 {
		s.Cloud.AddRunning("barn", "a", true)
	}
	for range 3 {
		s.Users.Submit(simulation.Array(60), 30)
	}
	s.eventually(60*second, "at least 90 tasks run, so that the machines are full", func() bool { return s.Users.RunningTasks() >= 90 })
	oldLeader := s.leader()
	terminated := ""
	s.follower().Request(func(id core.RequestID) core.Command { return core.GetStatus{ID: id} }, func(reply core.Reply) {
		for name, status := range reply.Body.(*core.Status).Machines {
			if status.Trusted && (terminated == "" || name < terminated) {
				terminated = name
			}
		}
	})
	s.eventually(second, "a follower owns a machine", func() bool { return terminated != "" })
	s.Cloud.Remove(terminated)
	oldLeader.Crash(0)
	s.Logs = nil
	s.eventually(9*second, "every other machine has been seen", func() bool {
		return s.logged("every machine has been seen")
	})
	s.eventually(300*second, "all jobs are final", s.Users.AllFinal)
}

// A leader that has to reload the state from the state service does not know which tasks it dispatched
// before. It must not start a task elsewhere that may be on a machine that it cannot reach.
func TestLeaderThatReloadsStateStartsNoTaskTwice(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 910+seed)
		job := s.Users.Submit(simulation.Array(60), 60)
		s.eventually(90*second, "all tasks run", func() bool { return job.RunningTasks() == 60 })
		leader, machine := s.leader(), job.MachineOf(int(seed)*16)
		for _, other := range s.Nodes {
			s.Partition(other.Label, machine, false)
		}
		s.Store.CompactedNodes[leader.Label] = true
		for _, other := range s.Nodes {
			if other != leader { // so that the machine's owner does not know its tasks either
				other.Crash(second / 5)
			}
		}
		s.eventually(20*second, "the leader begins to reload the state", func() bool { return !s.Store.CompactedNodes[leader.Label] })
		s.Run(s.Now + 10*second)
		for _, other := range s.Nodes {
			s.Heal(other.Label, machine)
		}
		s.eventually(300*second, "the job is final", s.Users.AllFinal)
	}
}
