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
	s.eventually(120*second, "the work goes on", s.Users.AllFinal)
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
	s.eventually(180*second, "nothing accepted is lost", s.Users.AllFinal)
}

func TestWorkCompletesThroughRollingRestart(t *testing.T) {
	s := newScenario(t, 5)
	for range 4 {
		s.Users.Submit(simulation.Array(15), 12)
	}
	for i, node := range s.Nodes {
		s.After(time.Duration(10+15*i)*second, func() { node.Crash(4 * second) })
	}
	s.eventually(200*second, "the work goes on", s.Users.AllFinal)
}

// A controller process that is paused and resumes has full queues, old timers and an answer that
// it was about to send; nobody may act on any of it.
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
		s.eventually(300*second, "the work goes on", s.Users.AllFinal)
	}
}

// Quota holds across a failover: machines that have not been seen count as
// full of the team's tasks.
func TestQuotaHoldsAcrossFailover(t *testing.T) {
	s := newScenario(t, 51)
	spec := simulation.Array(60)
	spec.Team, spec.EstimateS = "red", 100
	job := s.Users.Submit(spec, 20)
	s.eventually(90*second, "the team is at its limit", func() bool { return job.RunningTasks() == 24 })
	for _, node := range s.Nodes {
		node.Crash(4 * second)
	}
	s.eventually(300*second, "the job is done", s.Users.AllFinal)
}

// A dead machine must not delay a failover for a whole lease: the cloud is
// asked to delete it, and then its tasks are surely gone.
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
	s.eventually(9*second, "every machine is seen or gone", func() bool { return s.logged("every machine has been seen") })
	s.eventually(300*second, "every job is done", s.Users.AllFinal)
}

// What may be on a machine whose owner has not changed is known, whether it answers
// or not: a dead one must not block the queue after a change of leader.
func TestFailoverDoesNotWaitForRetainedMachines(t *testing.T) {
	s := newScenario(t, 78)
	for range 6 {
		s.Cloud.AddRunning("barn", "a", true)
	}
	for range 3 {
		s.Users.Submit(simulation.Array(60), 30)
	}
	s.eventually(60*second, "the machines are full", func() bool { return s.Users.RunningTasks() >= 90 })
	old := s.leader()
	dead := ""
	s.follower().Request(func(id core.RequestID) core.Command { return core.GetStatus{ID: id} }, func(reply core.Reply) {
		for name, status := range reply.Body.(*core.Status).Machines {
			if status.Trusted && (dead == "" || name < dead) {
				dead = name
			}
		}
	})
	s.eventually(second, "a follower owns a machine", func() bool { return dead != "" })
	s.Cloud.Remove(dead)
	old.Crash(0)
	s.Logs = nil
	s.eventually(9*second, "every other machine has been seen", func() bool {
		return s.logged("every machine has been seen")
	})
	s.eventually(300*second, "every job is done", s.Users.AllFinal)
}

// A leader that has to reload the state does not know what it dispatched before: what
// may be on a machine that it can't reach does not start elsewhere.
func TestLeaderThatReloadsStateStartsNoTaskTwice(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 910+seed)
		job := s.Users.Submit(simulation.Array(60), 60)
		s.eventually(90*second, "all run", func() bool { return job.RunningTasks() == 60 })
		n, machine := s.leader(), job.MachineOf(int(seed)*16)
		for _, other := range s.Nodes {
			s.Partition(other.Label, machine, false)
		}
		s.Store.CompactedNodes[n.Label] = true
		for _, other := range s.Nodes {
			if other != n { // nor do those who looked after the machine
				other.Crash(second / 5)
			}
		}
		s.eventually(20*second, "it reloads the state", func() bool { return !s.Store.CompactedNodes[n.Label] })
		s.Run(s.Now + 10*second)
		for _, other := range s.Nodes {
			s.Heal(other.Label, machine)
		}
		s.eventually(300*second, "all is done", s.Users.AllFinal)
	}
}
