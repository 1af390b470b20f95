package core_test

import (
	"strings"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/simulation"
)

func TestJobsCompleteAndIdleMachinesAreReturned(t *testing.T) {
	s := newScenario(t, 1)
	for range 4 {
		s.Users.Submit(simulation.Array(10), 8)
	}
	s.eventually(120*second, "every job is final and its user was informed", s.Users.AllFinal)
	s.eventually(600*second, "idle machines are returned", func() bool { return s.Cloud.Deleted == s.Cloud.Created })
}

// A machine that fails every task is drained, returned and replaced, and the jobs whose tasks failed
// on it complete on other machines.
func TestFaultyMachineIsReplaced(t *testing.T) {
	s := newScenario(t, 60)
	job := s.Users.Submit(simulation.Array(8), 10)
	s.eventually(60*second, "tasks run", func() bool { return job.RunningTasks() > 0 })
	faulty := job.MachineOf(0)
	s.Workers[faulty].Faulty = true
	for range 5 {
		s.Users.Submit(simulation.Array(8), 10)
	}
	s.eventually(200*second, "every job is done", s.Users.AllFinal)
	s.eventually(60*second, "the faulty machine is deleted", func() bool { return s.Workers[faulty] == nil })
}

// Three jobs that crash-loop at the same time do not cause any machine to be quarantined, on whichever
// machines their tasks fail first.
func TestCrashLoopingJobsQuarantineNoMachine(t *testing.T) {
	for seed := range uint64(12) {
		s := newScenario(t, 300+seed)
		for range 3 {
			s.Users.Submit(simulation.Array(24), 10).FailsEverywhere = true
		}
		s.Users.Submit(simulation.Array(12), 25)
		s.Run(s.Now + 100*second)
		if s.logged("quarantined") {
			t.Fatalf("a healthy machine is quarantined\n%s", s.lastLogs(*logLines))
		}
	}
}

// Several machines that fail every task at the same time are distinguished from jobs that fail
// everywhere: the tasks of the jobs succeed on other machines.
func TestSeveralFaultyMachinesAreQuarantined(t *testing.T) {
	s := newScenario(t, 68)
	for range 9 {
		s.Cloud.AddRunning("box", "b", true)
	}
	job := s.Users.Submit(simulation.Array(36), 10)
	s.eventually(60*second, "tasks run", func() bool { return job.RunningTasks() > 20 })
	var faulty []*simulation.Worker
	for i := 0; i < 36 && len(faulty) < 4; i += 4 {
		if worker := s.Workers[job.MachineOf(i)]; worker != nil && !worker.Faulty {
			worker.Faulty = true
			faulty = append(faulty, worker)
		}
	}
	for i := range 10 {
		s.After(time.Duration(5*i)*second, func() { s.Users.Submit(simulation.Array(60), 10) })
	}
	crashLooping := s.Users.Submit(simulation.Array(10), 10)
	crashLooping.FailsEverywhere = true
	s.eventually(60*second, "every faulty machine is quarantined", func() bool {
		return strings.Count(strings.Join(s.Logs, "\n"), "quarantined") == len(faulty)
	})
	s.Users.Cancel(crashLooping)
	s.eventually(100*second, "every job is final", s.Users.AllFinal)
}

func TestMachinesThatNeverBootAreDeleted(t *testing.T) {
	s := newScenario(t, 62)
	s.Cloud.StuckBoots = 2
	s.Users.Submit(simulation.Array(8), 10)
	s.eventually(240*second, "the job is done", s.Users.AllFinal)
	s.eventually(300*second, "every created machine is deleted", func() bool { return s.Cloud.Deleted == s.Cloud.Created })
}

func TestUnmanagedMachinesAreUsed(t *testing.T) {
	s := newScenario(t, 63)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	job := s.Users.Submit(simulation.Array(4), 5)
	s.eventually(60*second, "the reason names the cloud", func() bool { return strings.Contains(job.LastResponse.Reason, "cloud") })
	s.Cloud.AddRunning("box", "a", true)
	s.eventually(60*second, "the job is done", s.Users.AllFinal)
}

// A controller is ready as soon as it is entitled to serve workers and users. If it waits for the
// machine types as well, the load balancer, which probes once a second, has no controller for the first
// users. Until it knows the machine types, a ready controller neither accepts nor rejects a job.
func TestControllersAreReadyBeforeTheCloudResponds(t *testing.T) {
	s := &scenario{Cluster: simulation.New(77, 3), t: t}
	for _, node := range s.Nodes {
		s.Partition(node.Label, "cloud", false)
	}
	s.eventually(second, "every controller is ready", func() bool {
		return s.Nodes[0].Ready && s.Nodes[1].Ready && s.Nodes[2].Ready
	})
	job := s.Users.Submit(simulation.Array(2), 5)
	s.Run(s.Now + 3*second)
	if job.Accepted || job.Rejected != 0 {
		t.Fatalf("a controller decided without knowing the machine types: %+v", job)
	}
	for _, node := range s.Nodes {
		s.Heal(node.Label, "cloud")
	}
	s.eventually(60*second, "the job is done", s.Users.AllFinal)
}

// A machine that has just booted has not yet reported a fencing token. It must not be returned to the
// cloud for that reason.
func TestNewMachinesAreNotReturned(t *testing.T) {
	s := newScenario(t, 32)
	for range 10 {
		s.Cloud.AddRunning("barn", "a", true)
	}
	s.Users.Submit(simulation.Array(900), 40)
	for i := range 40 {
		s.At(s.Now+20*second+time.Duration(i)*second/7, func() { s.Cloud.AddRunning("barn", "a", true) })
	}
	s.Run(s.Now + 30*second)
	s.requireInvariants()
	if s.Cloud.Deleted > 0 {
		t.Fatalf("%d machines were deleted while tasks wait", s.Cloud.Deleted)
	}
}

// After a burst, long tasks with checkpoints must not occupy a machine each: they are consolidated on
// few machines, and the other machines are returned.
func TestLongTasksAreConsolidated(t *testing.T) {
	s := newScenario(t, 35)
	for range 12 {
		s.Cloud.AddRunning("barn", "a", true)
	}
	big := simulation.Array(12)
	big.CPUs = 15
	s.Users.Submit(big, 20)
	long := simulation.Array(12)
	long.CheckpointS, long.SaveS = 5, 1
	job := s.Users.Submit(long, 400)
	s.eventually(60*second, "each machine runs a large and a long task", func() bool { return s.Users.RunningTasks() == 24 })
	s.eventually(150*second, "most machines are returned", func() bool { return len(s.Workers) <= 4 })
	s.eventually(20*second, "all long tasks run again", func() bool { return job.RunningTasks() == 12 })
}

// Machines that are known before the cloud has listed its machine types get work once the types are
// listed. The test guards against a leader that looks up a machine's type in a snapshot from before that type
// was listed.
func TestMachinesKnownBeforeTheirTypesGetWork(t *testing.T) {
	s := newScenario(t, 42)
	s.Cloud.Down = true
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	for _, node := range s.Nodes {
		node.Crash(second)
	}
	s.Store.DeleteKey("c/types")
	s.Cloud.AddRunning("barn", "a", false)
	s.Run(s.Now + 10*second)
	s.Cloud.Down = false
	s.Users.Submit(simulation.Array(4), 5)
	s.eventually(30*second, "the job is done", s.Users.AllFinal)
}

// Machines are created within the rate limit of a cloud that allows one call a second. Listing all
// machines, which takes a call for each of many pages, leaves calls for creating machines.
func TestCloudCallsStayWithinRateLimit(t *testing.T) {
	settings := simulation.Settings(3)
	settings.Site.Cloud.RPS = 1
	s := &scenario{Cluster: simulation.NewWithSettings(43, settings, simulation.MachineTypes()), t: t}
	s.Users.Submit(simulation.Array(8), 10)
	s.eventually(90*second, "the job is done", s.Users.AllFinal)
	for range 1200 {
		s.Cloud.AddRunning("box", "a", false)
	}
	s.Users.Submit(simulation.Array(2000), 20)
	s.eventually(200*second, "the job is done", s.Users.AllFinal)
	if s.Cloud.Throttled > 0 {
		t.Fatalf("the cloud refused %d calls above its rate limit", s.Cloud.Throttled)
	}
}

// Idle spot instances are returned even if much work waits that must not run on spot instances.
func TestIdleSpotMachinesAreNotKeptForIneligibleWork(t *testing.T) {
	s := newScenario(t, 50)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	for range 4 {
		s.Cloud.AddRunning("box", "b", true)
	}
	onDemandOnly := simulation.Array(40)
	onDemandOnly.AllowSpot = false
	s.Users.Submit(onDemandOnly, 10)
	s.eventually(200*second, "the spot instances are returned", func() bool { return s.Cloud.Deleted == 4 })
	s.Cloud.Capacity["box"] = 4
	s.eventually(300*second, "the job is done", s.Users.AllFinal)
}

// Where there are no spot instances, work without an objective keeps the on-demand machine that was
// created for it. The test guards against a scale-in that made this machine unschedulable after its
// first task and replaced it with a new one.
func TestWorkWithoutObjectiveKeepsOnDemandMachine(t *testing.T) {
	types := simulation.MachineTypes()[:1]
	types[0].SpotPrice = 0
	s := &scenario{Cluster: simulation.NewWithSettings(55, simulation.Settings(3), types), t: t}
	spec := simulation.Array(20)
	spec.CPUs = 4
	s.Users.Submit(spec, 5)
	s.eventually(250*second, "the job is done", s.Users.AllFinal)
}
