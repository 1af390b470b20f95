package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// Jobs bound to one zone, by name or by their constraints, arrays and gangs, lose machines there,
// while the zone has others, or has none for a while, and the leader crashes.
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
				t.Fatal("not all are done")
			}
		})
	}
}

// zoneBoundSpec describes the n-th job, bound to zones in one of four ways.
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

// zoneConstraints bind a job to zones.
var zoneConstraints = map[string]func(*protocol.Job){
	"spread": func(spec *protocol.Job) { spec.Spread = true },
	"spread service": func(spec *protocol.Job) {
		spec.Spread, spec.Kind, spec.EstimateS = true, protocol.KindService, 0
	},
	"one zone":          func(spec *protocol.Job) { spec.OneZone = true },
	"gang of one zone":  func(spec *protocol.Job) { spec.OneZone, spec.Kind = true, protocol.KindGang },
	"spread, two zones": func(spec *protocol.Job) { spec.Spread, spec.MachineTypes = true, []string{"cask"} },
}

// Jobs tied to zones whose zone has lost its machines and gets none go on in another one with
// capacity, beside controllers that read what was written late, and through a failover: a spread
// job's half in a third zone, or in the other's once that is done; a job of one zone once none of
// its tasks can be anywhere.
func TestTasksMoveToZoneWithCapacity(t *testing.T) {
	for name, constrain := range zoneConstraints {
		t.Run(name, func(t *testing.T) {
			acrossSeeds(t, 4500, 6, func(t *testing.T, variant, controllers int, seed uint64) {
				const tasks = 7
				s := startInThreeZones(t, seed, controllers)
				spec := simulation.Array(tasks)
				constrain(&spec)
				job := s.Users.Submit(spec, 20)
				s.eventually(30*second, "some tasks run", func() bool { return job.RunningTasks() > 2 })
				if variant%3 == 1 { // somebody reads the state service late
					s.SetLink("state", s.Nodes[variant%controllers].Label, simulation.Link{Delay: 2 * second})
				}
				s.removeZone(s.zoneOfTask(job, variant))
				if variant%3 == 2 {
					s.After(18*second, func() { s.crashLeader(second / 5) })
				}
				s.eventually(100*second, "all its tasks have started", func() bool {
					return job.RunningTasks()+s.Users.CompletedTasks(job) == tasks
				})
				s.Users.FaultsOverAt = s.Now
				if spec.Kind == protocol.KindService {
					s.Run(s.Now + 60*second)
					s.Users.Cancel(job)
				}
				s.eventually(150*second, "it is over", s.Users.AllFinal)
			})
		})
	}
}

// startInThreeZones starts controllers with machines in three zones, those of type cask in two.
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

// zoneOfTask is the zone of the first of a job's tasks from one on that is on a machine.
func (s *scenario) zoneOfTask(job *simulation.Job, first int) string {
	for i := range job.Spec.Tasks {
		if machine := s.Workers[job.MachineOf((first+i)%job.Spec.Tasks)]; machine != nil {
			return machine.Info.Zone
		}
	}
	s.t.Fatalf("no task of %s is on a machine", job.Spec.ID)
	return ""
}

// removeZone takes all machines of a zone away and lets it have no others.
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

// startFixedMachines has a machine in each of the zones named, and a cloud that has no other.
func (s *scenario) startFixedMachines(zones ...string) {
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	for _, zone := range zones {
		s.Cloud.AddRunning("box", zone, true)
	}
	s.Run(s.Now + 4*second)
}

// A job of one zone that is full stays there as long as a task of it may be there, however much
// capacity another zone has.
func TestSingleZoneJobStaysTogether(t *testing.T) {
	acrossSeeds(t, 4550, 3, func(t *testing.T, variant, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, nil)
		s.startFixedMachines("a", "a", "b", "b")
		spec := simulation.Array(14)
		spec.OneZone = true
		job := s.Users.Submit(spec, 50)
		s.eventually(30*second, "its zone is full", func() bool { return job.RunningTasks() == 8 })
		s.Run(s.Now + 10*second)
		if variant == 1 {
			s.crashLeader(second / 5)
		}
		s.Users.FaultsOverAt = s.Now
		s.eventually(200*second, "it is done", s.Users.AllFinal)
	})
}

// The move of a job of one zone to another is committed late, when its own zone has had machines
// again and its tasks run there, and more wait: those stay with them.
func TestLateZoneMoveOfSingleZoneJob(t *testing.T) {
	acrossSeeds(t, 4580, 6, func(t *testing.T, variant, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, nil)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
		first := s.Cloud.AddRunning("box", "a", true)
		s.Run(s.Now + 4*second)
		spec := simulation.Array(12)
		spec.OneZone = true
		job := s.Users.Submit(spec, 40)
		s.eventually(30*second, "its tasks run", func() bool { return job.RunningTasks() == 4 })
		s.Cloud.Remove(first)
		s.Cloud.AddRunning("box", "b", true)
		s.Store.DelayedCommitPrefix, s.Store.DelayedCommitShare, s.Store.MinCommitDelay, s.Store.MaxCommitDelay = "c/job/", 1, 6*second, time.Duration(8+variant)*second
		s.eventually(90*second, "it is to move", func() bool { return s.logged("job reassigned to another zone") })
		s.Cloud.AddRunning("box", "a", true)
		s.Run(s.Now + 5*second)
		s.Store.DelayedCommitShare = 0
		if variant%2 == 1 { // and the leader reloads everything
			s.Store.CompactedNodes[s.leader().Label] = true
		}
		s.Run(s.Now + 20*second)
		s.recoverAndFinish(400 * second)
	})
}

// An urgent job of one zone that is full preempts nothing in another zone, where it could not
// run, and keeps no machine there from others.
func TestNoPreemptionInUnusableZone(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 4600+seed)
		s.startFixedMachines("a", "a", "b")
		spec := simulation.Array(12)
		spec.Class, spec.Urgency, spec.OneZone, spec.CPUs = "alerts", protocol.UrgencyHigh, true, 4
		urgent := s.Users.Submit(spec, 40)
		s.eventually(30*second, "it has its zone", func() bool { return urgent.RunningTasks() == 2 })
		var small []*simulation.Job
		for range 8 {
			spec := simulation.Array(1)
			spec.Urgency = protocol.UrgencyLow
			small = append(small, s.Users.Submit(spec, 6))
		}
		s.eventually(40*second, "the other zone serves the rest", lastStateIs(protocol.JobDone, small...))
		if s.logged("stopping tasks") {
			t.Fatalf("tasks were stopped in vain\n%s", s.lastLogs(*logLines))
		}
	}
}
