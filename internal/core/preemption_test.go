package core_test

import (
	"strings"
	"testing"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

func TestUrgentJobsStartFirst(t *testing.T) {
	s := newScenario(t, 65)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 1
	low, high := simulation.Array(30), simulation.Array(10)
	low.Urgency, high.Urgency = protocol.UrgencyLow, protocol.UrgencyHigh
	lowJob, urgentJob := s.Users.Submit(low, 10), s.Users.Submit(high, 10)
	s.eventually(200*second, "the urgent job is done", func() bool { return urgentJob.LastState == protocol.JobDone })
	if lowJob.LastResponse.Done > 10 {
		t.Fatalf("%d tasks of the low-urgency job are done before the urgent job", lowJob.LastResponse.Done)
	}
}

// Urgent tasks do not wait until tasks of low urgency end: those with checkpoints are preempted, and the
// reason in the responses about their job names the more urgent work.
func TestUrgentJobPreemptsCheckpointedWork(t *testing.T) {
	s := newScenario(t, 67)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 1
	low := simulation.Array(16)
	low.Urgency, low.CheckpointS, low.SaveS = protocol.UrgencyLow, 4, 2
	lowJob := s.Users.Submit(low, 300)
	s.eventually(60*second, "the low-urgency job fills the machine", func() bool { return lowJob.RunningTasks() == 16 })
	high := simulation.Array(8)
	high.Urgency = protocol.UrgencyHigh
	urgentJob := s.Users.Submit(high, 20)
	s.eventually(10*second, "the urgent tasks run", func() bool { return urgentJob.RunningTasks() == 8 })
	s.eventually(10*second, "the low-urgency job's reason names the more urgent work", func() bool { return strings.Contains(lowJob.LastResponse.Reason, "more urgent work") })
}

// A best-effort team, one without a guarantee, uses idle machines, but its long tasks with checkpoints
// are preempted to give another team its guarantee.
func TestBestEffortTeamYieldsToGuarantee(t *testing.T) {
	s := newScenario(t, 37)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	s.Cloud.AddRunning("barn", "a", true)
	long := simulation.Array(40)
	long.Team, long.CheckpointS, long.SaveS, long.Urgency = "guest", 4, 1, protocol.UrgencyLow
	bestEffortJob := s.Users.Submit(long, 300)
	s.eventually(30*second, "the best-effort team fills the machine", func() bool { return bestEffortJob.RunningTasks() == 16 })
	guaranteed := simulation.Array(8)
	guaranteed.Urgency = protocol.UrgencyLow
	guaranteedJob := s.Users.Submit(guaranteed, 10)
	s.eventually(15*second, "the other team has its guarantee", func() bool { return guaranteedJob.RunningTasks() == 8 })
	s.eventually(10*second, "the best-effort job's reason names the guarantee", func() bool { return strings.Contains(bestEffortJob.LastResponse.Reason, "its guarantee") })
	s.eventually(40*second, "the best-effort job uses the remaining capacity", func() bool { return bestEffortJob.RunningTasks() >= 14 })
}

// Preemption frees capacity on one machine at a time: it stops as many small tasks as a large task needs
// on its machine, and the best-effort team does not take the freed capacity meanwhile.
func TestPreemptionFreesCapacityForLargeTasks(t *testing.T) {
	s := newScenario(t, 39)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	for range 8 {
		s.Cloud.AddRunning("box", "a", true)
	}
	memoryHeavy, memoryLight := simulation.Array(8), simulation.Array(8) // so every machine runs one task of each job
	memoryHeavy.Team, memoryHeavy.CheckpointS, memoryHeavy.SaveS, memoryHeavy.CPUs, memoryHeavy.MemoryGB = "guest", 4, 3, 2, 12
	memoryLight.Team, memoryLight.CheckpointS, memoryLight.SaveS, memoryLight.CPUs = "guest", 4, 3, 2
	memoryHeavyJob, memoryLightJob := s.Users.Submit(memoryHeavy, 300), s.Users.Submit(memoryLight, 300)
	s.eventually(30*second, "the best-effort team fills the machines", func() bool { return memoryHeavyJob.RunningTasks()+memoryLightJob.RunningTasks() >= 14 })
	large := simulation.Array(2)
	large.CPUs = 4
	largeJob := s.Users.Submit(large, 30)
	s.eventually(6*second, "the large tasks run", func() bool { return largeJob.RunningTasks() == 2 })
	if n := memoryHeavyJob.RunningTasks() + memoryLightJob.RunningTasks(); n < 10 {
		t.Fatalf("%d of 16 small tasks still run, want at least 10", n)
	}
}

// Stopping one large task frees capacity for several small ones. No more large tasks are stopped than
// the small ones need.
func TestPreemptingOneLargeTaskServesSeveralSmallTasks(t *testing.T) {
	s := newScenario(t, 40)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	for range 4 {
		s.Cloud.AddRunning("barn", "a", true)
	}
	low := simulation.Array(16)
	low.Urgency, low.CPUs, low.CheckpointS, low.SaveS = protocol.UrgencyLow, 4, 4, 2
	lowJob := s.Users.Submit(low, 300)
	s.eventually(60*second, "the low-urgency job fills the machines", func() bool { return lowJob.RunningTasks() == 16 })
	high := simulation.Array(16)
	high.Urgency = protocol.UrgencyHigh
	urgentJob := s.Users.Submit(high, 20)
	s.eventually(10*second, "the urgent tasks run", func() bool { return urgentJob.RunningTasks() == 16 })
	if n := lowJob.RunningTasks(); n < 11 {
		t.Fatalf("%d of 16 low-urgency tasks still run, want at least 11: only four had to be preempted", n)
	}
}

// An urgent job that fails everywhere preempts tasks of other jobs for one of its tasks at a time, not
// for all of them.
func TestCrashLoopingJobPreemptsForOneTaskAtATime(t *testing.T) {
	s := newScenario(t, 41)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	for range 4 {
		s.Cloud.AddRunning("barn", "a", true)
	}
	failing := simulation.Array(60)
	failing.Urgency = protocol.UrgencyHigh
	crashLooping := s.Users.Submit(failing, 10)
	crashLooping.FailsEverywhere = true
	s.eventually(60*second, "the failing job is treated as crash-looping", func() bool { return strings.Contains(crashLooping.LastResponse.Reason, "one is tried again at") })
	low := simulation.Array(80)
	low.Urgency, low.CheckpointS, low.SaveS = protocol.UrgencyLow, 4, 2
	lowJob := s.Users.Submit(low, 600)
	s.eventually(30*second, "the low-urgency job fills the machines", func() bool { return lowJob.RunningTasks() >= 62 })
	fewest := 64
	for range 100 {
		s.Run(s.Now + second)
		fewest = min(fewest, lowJob.RunningTasks())
	}
	if fewest < 58 {
		t.Fatalf("at the lowest, %d of 64 low-urgency tasks ran, want at least 58", fewest)
	}
}

// Capacity that preemption freed for an urgent task of four CPUs is not taken by small, less urgent
// tasks. Otherwise these would be preempted in turn, once per round, and neither job would ever complete.
func TestPreemptedCapacityIsKeptForUrgentJob(t *testing.T) {
	s := newScenario(t, 48)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	s.Cloud.AddRunning("box", "a", false)
	long := simulation.Array(3)
	long.CheckpointS, long.SaveS = 4, 1
	longJob := s.Users.Submit(long, 300)
	s.eventually(30*second, "the long job leaves one CPU free", func() bool { return longJob.RunningTasks() == 3 })
	big, small := simulation.Array(1), simulation.Array(1)
	big.CPUs, big.Urgency = 4, protocol.UrgencyHigh
	small.CheckpointS, small.SaveS = 4, 1
	urgentJob := s.Users.Submit(big, 5)
	s.Users.Submit(small, 300)
	s.eventually(20*second, "the urgent job is done", func() bool { return urgentJob.LastState == protocol.JobDone })
}

// Urgent tasks with checkpoints of a best-effort team, and urgent tasks of another team within its
// guarantee, do not preempt one another in turn.
func TestBestEffortAndGuaranteedTeamsDoNotPreemptInTurn(t *testing.T) {
	s := newScenario(t, 49)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	s.Cloud.AddRunning("barn", "a", true)
	bestEffort, guaranteed := simulation.Array(40), simulation.Array(2)
	bestEffort.Team, bestEffort.Urgency, bestEffort.CheckpointS, bestEffort.SaveS = "guest", protocol.UrgencyProduction, 4, 1
	guaranteed.Urgency, guaranteed.CPUs = protocol.UrgencyHigh, 4
	s.Users.Submit(bestEffort, 20)
	s.Run(s.Now + 8*second)
	job := s.Users.Submit(guaranteed, 10)
	s.eventually(25*second, "the guaranteed job is done", func() bool { return job.LastState == protocol.JobDone })
	s.eventually(200*second, "the best-effort job is final as well", s.Users.AllFinal)
}

// Low-urgency work within its team's guarantee ranks before another team's work with an objective, so it
// is not preempted for that work. Otherwise it would take the freed capacity again, once per round,
// forever.
func TestLowerRankedWorkDoesNotPreempt(t *testing.T) {
	settings := simulation.Settings(3)
	settings.Site.Objectives = []config.Objective{{Kind: "deadline", Class: "alerts", Share: 0.9, Times: 1}}
	s := &scenario{Cluster: simulation.NewWithSettings(58, settings, simulation.MachineTypes()), t: t}
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	s.Cloud.AddRunning("box", "a", true)
	lowUrgency, withObjective := simulation.Array(8), simulation.Array(40)
	lowUrgency.Urgency = protocol.UrgencyLow
	withObjective.Team, withObjective.Class, withObjective.DeadlineS = "red", "alerts", 5
	s.Users.Submit(lowUrgency, 9)
	s.Run(s.Now + 12*second)
	s.Users.Submit(withObjective, 9)
	s.eventually(400*second, "both jobs are done", s.Users.AllFinal)
}
