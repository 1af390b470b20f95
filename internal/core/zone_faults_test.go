package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// Arrays and gangs that are bound to a zone by its name or to zones by a constraint lose machines in zone b.
// The zone keeps some of its machines or can rent others, except in one variant, in which it loses all and can
// rent none for 40 seconds. In half of the runs the leader crashes as well. All jobs must be done in the end.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	for _, failover := range []bool{false, true} {
		acrossSeeds(t, 4000, 3, func(t *testing.T, variant, controllers int, seed uint64) {
			s := startScenario(t, seed, controllers, nil)
			for range 6 {
				s.Cloud.AddRunning("box", "a", true)
			}
			s.addMachines(6)
			var jobs []*simulation.Job
			for n := range 8 {
				jobs = append(jobs, s.Users.Submit(zoneBoundSpec(n), 25))
			}
			s.Run(s.Now + 10*second)
			for _, machine := range s.RandomWorkers(64) {
				if machine.Info.Zone == "b" && (variant > 0 || s.Rand.IntN(2) == 0) {
					s.Cloud.Remove(machine.Info.Name)
				}
			}
			if variant == 2 {
				s.Cloud.Capacity["box b"] = 0
				s.After(40*second, func() { delete(s.Cloud.Capacity, "box b") })
			}
			if failover {
				s.crashLeader(second / 5)
			}
			s.Run(s.Now + 45*second)
			s.recoverAndFinish(400 * second)
			if !lastStateIs(protocol.JobDone, jobs...)() {
				t.Fatal("not all jobs are done")
			}
		})
	}
}

// zoneBoundSpec returns the n-th job, bound to zones in one of four ways.
func zoneBoundSpec(n int) protocol.Job {
	spec := simulation.Array(6)
	switch n % 4 {
	case 0:
		spec.Zone = "b"
	case 1:
		spec.OneZone = true
	case 2:
		spec.Spread = true
	case 3:
		spec.OneZone, spec.Kind = true, protocol.KindGang
	}
	return spec
}

// zoneConstraints holds, by name, functions that bind a job to zones.
var zoneConstraints = map[string]func(*protocol.Job){
	"spread": func(spec *protocol.Job) { spec.Spread = true },
	"spread service": func(spec *protocol.Job) {
		spec.Spread, spec.Kind, spec.EstimateS = true, protocol.KindService, 0
	},
	"one zone":          func(spec *protocol.Job) { spec.OneZone = true },
	"gang of one zone":  func(spec *protocol.Job) { spec.OneZone, spec.Kind = true, protocol.KindGang },
	"spread, two zones": func(spec *protocol.Job) { spec.Spread, spec.MachineTypes = true, []string{"cask"} },
}

// Tasks whose zone has lost its machines and gets no others move to another zone with capacity. Half of a
// spread job moves to a third zone, or to the zone of the other half once that half is done. A one-zone job
// moves once none of its tasks can be on any machine. In some variants a controller reads the state service
// late, in others the leader fails over.
func TestTasksMoveToZoneWithCapacity(t *testing.T) {
	for name, constrain := range zoneConstraints {
		t.Run(name, func(t *testing.T) {
			acrossSeeds(t, 4500, 6, func(t *testing.T, variant, controllers int, seed uint64) {
				const tasks = 7
				s := startInThreeZones(t, seed, controllers)
				spec := simulation.Array(tasks)
				constrain(&spec)
				job := s.Users.Submit(spec, 20)
				s.eventually(30*second, "more than two tasks run", func() bool { return job.RunningTasks() > 2 })
				if variant%3 == 1 { // one controller reads the state service two seconds late
					s.SetLink("state", s.Nodes[variant%controllers].Label, simulation.Link{Delay: 2 * second})
				}
				s.removeZone(s.zoneOfTask(job, variant))
				if variant%3 == 2 {
					s.After(18*second, func() { s.crashLeader(second / 5) })
				}
				s.eventually(100*second, "all its tasks are running or completed", func() bool {
					return job.RunningTasks()+s.Users.CompletedTasks(job) == tasks
				})
				s.Users.FaultsOverAt = s.Now
				if spec.Kind == protocol.KindService {
					s.Run(s.Now + 60*second)
					s.Users.Cancel(job)
				}
				s.eventually(150*second, "the job is done or cancelled", s.Users.AllFinal)
			})
		})
	}
}

// startInThreeZones starts controllers with machines in zones a, b and c. Machines of type cask exist in zones
// a and b only.
func startInThreeZones(t *testing.T, seed uint64, controllers int) *scenario {
	types := simulation.MachineTypes()
	types[0].Zones = []string{"a", "b", "c"}
	types = append(types, types[0])
	types[2].Name, types[2].Zones = "cask", []string{"a", "b"}
	s := &scenario{Cluster: simulation.NewWithSettings(seed, simulation.Settings(controllers), types), t: t}
	s.Run(3 * second)
	for _, zone := range []string{"a", "b", "c"} {
		for _, typeName := range []string{"box", "cask", "box"} {
			if typeName == "box" || zone != "c" {
				s.Cloud.AddRunning(typeName, zone, true)
			}
		}
	}
	s.Run(s.Now + 5*second)
	return s
}

// zoneOfTask returns the zone of the first task that is on a machine, searching the job's tasks cyclically
// from index first. It fails the test if there is none.
func (s *scenario) zoneOfTask(job *simulation.Job, first int) string {
	for i := range job.Spec.Tasks {
		if machine := s.Workers[job.MachineOf((first+i)%job.Spec.Tasks)]; machine != nil {
			return machine.Info.Zone
		}
	}
	s.t.Fatalf("no task of %s is on a machine", job.Spec.ID)
	return ""
}

// removeZone removes all machines of a zone and the capacity to rent others there.
func (s *scenario) removeZone(zone string) {
	for _, machine := range s.RandomWorkers(64) {
		if machine.Info.Zone == zone {
			s.Cloud.Remove(machine.Info.Name)
		}
	}
	for _, typeName := range []string{"box", "cask", "barn"} {
		s.Cloud.Capacity[typeName+" "+zone] = 0
	}
}

// startFixedMachines starts one machine for each of the given zones, which may repeat, and removes the
// capacity to rent others.
func (s *scenario) startFixedMachines(zones ...string) {
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	for _, zone := range zones {
		s.Cloud.AddRunning("box", zone, true)
	}
	s.Run(s.Now + 4*second)
}

// A one-zone job whose zone is full stays there as long as one of its tasks may be there, however much
// capacity another zone has.
func TestOneZoneJobStaysInItsZoneWhileTasksMayBeThere(t *testing.T) {
	acrossSeeds(t, 4550, 3, func(t *testing.T, variant, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, nil)
		s.startFixedMachines("a", "a", "b", "b")
		spec := simulation.Array(14)
		spec.OneZone = true
		job := s.Users.Submit(spec, 50)
		s.eventually(30*second, "the tasks fill the zone", func() bool { return job.RunningTasks() == 8 })
		s.Run(s.Now + 10*second)
		if variant == 1 {
			s.crashLeader(second / 5)
		}
		s.Users.FaultsOverAt = s.Now
		s.eventually(200*second, "the job is done", s.Users.AllFinal)
	})
}

// The write that moves a one-zone job to another zone is committed late, when the former zone has machines
// again and some of the job's tasks run there. The waiting tasks must then stay in the zone of the running
// ones.
func TestLateZoneMoveOfSingleZoneJob(t *testing.T) {
	acrossSeeds(t, 4580, 6, func(t *testing.T, variant, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, nil)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
		first := s.Cloud.AddRunning("box", "a", true)
		s.Run(s.Now + 4*second)
		spec := simulation.Array(12)
		spec.OneZone = true
		job := s.Users.Submit(spec, 40)
		s.eventually(30*second, "four tasks run", func() bool { return job.RunningTasks() == 4 })
		s.Cloud.Remove(first)
		s.Cloud.AddRunning("box", "b", true)
		s.Store.DelayedCommitPrefix, s.Store.DelayedCommitShare, s.Store.MinCommitDelay, s.Store.MaxCommitDelay = "c/job/", 1, 6*second, time.Duration(8+variant)*second
		s.eventually(90*second, "the leader reassigns the job to another zone", func() bool { return s.logged("job reassigned to another zone") })
		s.Cloud.AddRunning("box", "a", true)
		s.Run(s.Now + 5*second)
		s.Store.DelayedCommitShare = 0
		if variant%2 == 1 { // the leader reloads everything, because its watch is compacted
			s.Store.CompactedNodes[s.leader().Label] = true
		}
		s.Run(s.Now + 20*second)
		s.recoverAndFinish(400 * second)
	})
}

// An urgent one-zone job whose zone is full preempts no task in another zone, where it could not run, and
// reserves no machine there, so that other jobs can use it.
func TestNoPreemptionInUnusableZone(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 4600+seed)
		s.startFixedMachines("a", "a", "b")
		spec := simulation.Array(12)
		spec.Class, spec.Urgency, spec.OneZone, spec.CPUs = "alerts", protocol.UrgencyHigh, true, 4
		urgent := s.Users.Submit(spec, 40)
		s.eventually(30*second, "two tasks of the urgent job fill its zone", func() bool { return urgent.RunningTasks() == 2 })
		var small []*simulation.Job
		for range 8 {
			spec := simulation.Array(1)
			spec.Urgency = protocol.UrgencyLow
			small = append(small, s.Users.Submit(spec, 6))
		}
		s.eventually(40*second, "the small jobs are done in the other zone", lastStateIs(protocol.JobDone, small...))
		if s.logged("stopping tasks") {
			t.Fatalf("tasks were stopped in a zone that the urgent job cannot use\n%s", s.lastLogs(*logLines))
		}
	}
}
