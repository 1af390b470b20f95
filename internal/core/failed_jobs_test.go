package core_test

import (
	"strings"
	"testing"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// Guards against a job that waits although a machine of another shard is idle. The first machine
// chosen for a job is in the shard with the most free capacity, or has the job's image cached. If the
// job's tasks have failed there, that machine is avoided for four worker leases. The fault was that
// the leader then looked for another machine in the same shard only. Where that shard had none, the job
// found no machine in any scheduling round until the four leases were over.
//
// Seen in TestRandomizedSimulation, seed 3, the 28th simulation, with seven controllers and therefore few
// machines per shard: job-000002 failed on n-000001 and n-000004, both of one shard, at 28.1 and 32.1 s,
// and was processed in 76 scheduling rounds with "dispatched 0 waiting 20 reason its tasks failed on 2
// machines, trying again soon", while n-000005 of another shard had free capacity from 63.6 s on, for
// more than 90 s.
//
// The time limit is that of the invariant left_waiting: no job waits for 90 s while a suitable machine
// has free capacity.
func TestFailedTaskIsRetriedOnMachineOfOtherShard(t *testing.T) {
	settings := simulation.Settings(3)
	settings.Site.Workers.LeaseS, settings.Site.Workers.CancelS = 40, 120
	settings.Site.Objectives = []config.Objective{{Kind: "wait", Class: "photos", WithinS: 3, Share: 0.8}} // so that every machine is used for the job
	s := &scenario{Cluster: simulation.NewWithSettings(9500, settings, simulation.MachineTypes()), t: t}
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0 // no machine is created
	s.Users.FaultsOverAt = 1                                 // the only faults are those of machines, which left_waiting excludes
	s.Run(s.Now + 10*second)
	s.Cloud.AddRunning("box", "a", false)
	busy := s.submitAccepted(simulation.Array(4), 600)
	s.eventually(30*second, "the first machine is full", func() bool { return busy.RunningTasks() == 4 })

	faulty := []string{s.Cloud.AddRunning("box", "a", false), s.Cloud.AddRunning("box", "a", false)}
	for _, machine := range faulty {
		s.Workers[machine].Faulty = true
	}
	job := s.submitAccepted(simulation.Array(16), 3)
	s.eventually(30*second, "tasks of the job have failed on both machines", func() bool {
		return s.logged(faulty[0]+" why error") && s.logged(faulty[1]+" why error")
	})
	s.Run(s.Now + 5*second) // until the machines have free capacity again
	healthy := s.Cloud.AddRunning("box", "a", false)
	owner := s.ownerOf(faulty[0])
	if s.ownerOf(faulty[1]) != owner || s.ownerOf(healthy) == owner {
		t.Fatal("the hash of machine names has changed: the test needs both faulty machines in one shard and the healthy one in another")
	}
	s.eventually(90*second, "the job is done on the healthy machine", lastStateIs(protocol.JobDone, job))
}

// ownerOf waits until a controller knows a machine, and returns the controller whose shard owns it.
func (s *scenario) ownerOf(machine string) (owner *simulation.Node) {
	s.t.Helper()
	s.eventually(20*second, "a controller owns the machine", func() bool {
		for _, node := range s.Nodes {
			for _, state := range node.Core.FullSnapshot().Machines {
				if state.Name == machine {
					owner = node
				}
			}
		}
		return owner != nil
	})
	return owner
}

// newFailingScenario starts a scenario with a long worker lease, the given number of machines, all of
// which fail every task, and a job whose objective justifies every machine. No machine is created.
func newFailingScenario(t *testing.T, machines int, spec protocol.Job) (s *scenario, job *simulation.Job) {
	t.Helper()
	settings := simulation.Settings(3)
	settings.Site.Workers.LeaseS, settings.Site.Workers.CancelS = 40, 120
	settings.Site.Objectives = []config.Objective{{Kind: "wait", Class: spec.Class, WithinS: 3, Share: 0.8}}
	s = &scenario{Cluster: simulation.NewWithSettings(9501, settings, simulation.MachineTypes()), t: t}
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	s.Run(s.Now + 10*second)
	for range machines {
		s.Workers[s.Cloud.AddRunning("box", "a", false)].Faulty = true
	}
	return s, s.submitAccepted(spec, 3)
}

// repairMachines makes all machines work again, and records that all faults are over.
func (s *scenario) repairMachines() {
	for _, worker := range s.Workers {
		worker.Faulty = false
	}
	s.Users.FaultsOverAt = s.Now
}

// Guards against a job that waits although the only machine for it works again. The fault was that a
// machine on which a job's tasks had failed was avoided for four worker leases, here 160 s, even where
// no other machine may run them: "left_waiting ... its tasks failed on 1 machines, trying again soon".
// Seen in TestRandomizedSimulation, seed 91004, the 150th simulation, for that half of a spread job whose
// zone had one machine.
func TestFailedTaskIsRetriedOnTheOnlyMachine(t *testing.T) {
	s, job := newFailingScenario(t, 1, simulation.Array(4))
	s.eventually(30*second, "tasks of the job have failed", func() bool { return s.logged("task failed") })
	s.repairMachines()
	s.eventually(90*second, "the job runs again", func() bool { return job.RunningTasks() > 0 })
	s.eventually(60*second, "the job is done", lastStateIs(protocol.JobDone, job))
}

// Guards against a crash-looping job that waits long after its machines were repaired. A job that failed
// on three machines, here all of them faulty, is retried with one task at growing intervals. The fault
// was that these intervals grew to eight worker leases, here 320 s, so the next retry could be 320 s away
// when the machines worked again.
func TestCrashLoopingJobIsRetriedSoonAfterRepair(t *testing.T) {
	s, job := newFailingScenario(t, 6, simulation.Array(12))
	s.Run(s.Now + 400*second)
	s.repairMachines()
	s.eventually(90*second, "the job runs again", func() bool { return job.RunningTasks() > 0 })
	s.eventually(60*second, "the job is done", lastStateIs(protocol.JobDone, job))
}

// Guards against too many starts of a job that fails everywhere. The fault was that after the first tasks
// of a job had failed on two machines, all of its tasks were sent to two other machines at once, before a
// failure on a third machine could show that the job fails everywhere. In a trace of scenario seed 63,
// with three jobs of 24 tasks, each job had 20 failures on two machines within three seconds and then 24
// more on two others, 132 in all.
//
// The limit is that of TestCrashLoopingJobsAreBackedOff, one and a half failed starts per task. This
// test checks it for 40 seeds, and so for 40 orders of failures instead of one.
func TestStartsOfJobsThatFailEverywhereAreBounded(t *testing.T) {
	const jobs, tasks, seeds = 3, 24, 40
	for seed := range uint64(seeds) {
		s := newScenario(t, 61+seed)
		for range jobs {
			s.Users.Submit(simulation.Array(tasks), 10).FailsEverywhere = true
		}
		s.Users.Submit(simulation.Array(12), 25)
		s.Run(s.Now + 180*second)
		s.requireInvariants()
		if failed := strings.Count(strings.Join(s.Logs, "\n"), "task failed"); failed > jobs*tasks*3/2 {
			t.Errorf("seed %d: %d failed starts of %d tasks, want at most 3/2 as many starts as tasks", 61+seed, failed, jobs*tasks)
		}
	}
}
