package core_test

import (
	"slices"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// Jobs bound to one zone, by name or by their tasks, arrays and gangs, lose machines there,
// while the zone has others, or has none for a while, and the leader ends.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	for _, ends := range []bool{false, true} {
		acrossSeeds(t, 4000, 3, func(t *testing.T, k, controllers int, seed uint64) {
			s := startScenario(t, seed, controllers, nil)
			for range 6 {
				s.Cloud.Add("box", "a", true)
			}
			s.addMachines(6)
			var jobs []*simulation.Job
			for n := range 8 {
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
				jobs = append(jobs, s.Users.Submit(spec, 25))
			}
			s.Run(s.Now + 10*second)
			for _, m := range s.SomeWorkers(64) {
				if m.Info.Zone == "b" && (k > 0 || s.Rand.IntN(2) == 0) {
					s.Cloud.Remove(m.Info.Name)
				}
			}
			if k == 2 {
				s.Cloud.Capacity["box b"] = 0
				s.After(40*second, func() { delete(s.Cloud.Capacity, "box b") })
			}
			if ends {
				s.crashLeader(second / 5)
			}
			s.Run(s.Now + 45*second)
			s.recoverAndFinish(400 * second)
			if !toldState(protocol.JobDone, jobs...)() {
				t.Fatal("not all are done")
			}
		})
	}
}

// Jobs tied to zones whose zone has lost its machines and gets none go on in another one that
// has room, beside controllers that read what was written late, and through an end of the
// leader: a spread job's half in a third zone, or in the other's once that is done; a job of
// one zone once none of its tasks can be anywhere.
func TestTasksMoveToZoneWithCapacity(t *testing.T) {
	for name, change := range map[string]func(*protocol.Job){
		"spread":            func(x *protocol.Job) { x.Spread = true },
		"spread service":    func(x *protocol.Job) { x.Spread, x.Kind, x.EstimateS = true, protocol.KindService, 0 },
		"one zone":          func(x *protocol.Job) { x.OneZone = true },
		"gang of one zone":  func(x *protocol.Job) { x.OneZone, x.Kind = true, protocol.KindGang },
		"spread, two zones": func(x *protocol.Job) { x.Spread, x.MachineTypes = true, []string{"cask"} },
	} {
		t.Run(name, func(t *testing.T) {
			acrossSeeds(t, 4500, 6, func(t *testing.T, k, controllers int, seed uint64) {
				types := simulation.Types()
				types[0].Zones = []string{"a", "b", "c"}
				types = append(types, types[0])
				types[2].Name, types[2].Zones = "cask", []string{"a", "b"}
				s := &scenario{World: simulation.Build(seed, simulation.Settings(controllers), types), t: t}
				s.Run(3 * second)
				for _, z := range []string{"a", "b", "c"} {
					for _, typ := range []string{"box", "cask", "box"} {
						if typ == "box" || z != "c" {
							s.Cloud.Add(typ, z, true)
						}
					}
				}
				s.Run(s.Now + 5*second)
				spec := simulation.Array(7)
				change(&spec)
				j := s.Users.Submit(spec, 20)
				s.eventually(30*second, "some tasks run", func() bool { return j.Running() > 2 })
				if k%3 == 1 { // somebody reads the state service late
					s.Link("state", s.Nodes[k%controllers].Label, simulation.Link{Delay: 2 * second})
				}
				at := slices.IndexFunc([]int{0, 1, 2, 3, 4, 5, 6}, func(i int) bool { return s.Workers[j.On((i+k)%7)] != nil })
				lost := s.Workers[j.On((at+k)%7)].Info.Zone
				for _, m := range s.SomeWorkers(64) {
					if m.Info.Zone == lost {
						s.Cloud.Remove(m.Info.Name)
					}
				}
				for _, typ := range []string{"box", "cask", "barn"} {
					s.Cloud.Capacity[typ+" "+lost] = 0
				}
				if k%3 == 2 {
					s.After(18*second, func() { s.crashLeader(second / 5) })
				}
				s.eventually(100*second, "all its tasks have started", func() bool {
					return j.Running()+s.Users.Done(j) == 7
				})
				s.Users.Calm = s.Now
				if spec.Kind == protocol.KindService {
					s.Run(s.Now + 60*second)
					s.Users.Abort(j)
				}
				s.eventually(150*second, "it is over", s.Users.AllTold)
			})
		})
	}
}

// A job of one zone that is full stays there as long as a task of it may be there, however much
// room another zone has.
func TestSingleZoneJobStaysTogether(t *testing.T) {
	acrossSeeds(t, 4550, 3, func(t *testing.T, k, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, nil)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
		for _, z := range []string{"a", "a", "b", "b"} {
			s.Cloud.Add("box", z, true)
		}
		s.Run(s.Now + 4*second)
		spec := simulation.Array(14)
		spec.OneZone = true
		j := s.Users.Submit(spec, 50)
		s.eventually(30*second, "its zone is full", func() bool { return j.Running() == 8 })
		if s.Run(s.Now + 10*second); k == 1 {
			s.crashLeader(second / 5)
		}
		s.Users.Calm = s.Now
		s.eventually(200*second, "it is done", s.Users.AllTold)
	})
}

// The move of a job of one zone to another is carried out late, when its own zone has had
// machines again and its tasks run there, and more wait: those stay with them.
func TestLateZoneMoveOfSingleZoneJob(t *testing.T) {
	acrossSeeds(t, 4580, 6, func(t *testing.T, k, controllers int, seed uint64) {
		s := startScenario(t, seed, controllers, nil)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
		first := s.Cloud.Add("box", "a", true)
		s.Run(s.Now + 4*second)
		spec := simulation.Array(12)
		spec.OneZone = true
		j := s.Users.Submit(spec, 40)
		s.eventually(30*second, "its tasks run", func() bool { return j.Running() == 4 })
		s.Cloud.Remove(first)
		s.Cloud.Add("box", "b", true)
		s.State.LateOnly, s.State.LateShare, s.State.LateFrom, s.State.LateBy = "c/job/", 1, 6*second, time.Duration(8+k)*second
		s.eventually(90*second, "it is to move", func() bool { return s.logged("move to another zone") })
		s.Cloud.Add("box", "a", true)
		s.Run(s.Now + 5*second)
		s.State.LateShare = 0
		if k%2 == 1 { // and the leader reads everything anew
			s.State.Forgot[s.leader().Label] = true
		}
		s.Run(s.Now + 20*second)
		s.recoverAndFinish(400 * second)
	})
}

// An urgent job of one zone that is full stops nothing in another zone, where it could not run,
// and keeps no machine there from others.
func TestNoPreemptionInUnusableZone(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 4600+seed)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
		for _, z := range []string{"a", "a", "b"} {
			s.Cloud.Add("box", z, true)
		}
		s.Run(s.Now + 4*second)
		urgent := simulation.Array(12)
		urgent.Class, urgent.Urgency, urgent.OneZone, urgent.CPUs = "alerts", protocol.UrgencyHigh, true, 4
		first := s.Users.Submit(urgent, 40)
		s.eventually(30*second, "it has its zone", func() bool { return first.Running() == 2 })
		var small []*simulation.Job
		for range 8 {
			spec := simulation.Array(1)
			spec.Urgency = protocol.UrgencyLow
			small = append(small, s.Users.Submit(spec, 6))
		}
		s.eventually(40*second, "the other zone serves the rest", toldState(protocol.JobDone, small...))
		if s.logged("stopping tasks") {
			t.Fatalf("tasks were stopped in vain\n%s", s.lastLogs(*logLines))
		}
	}
}
