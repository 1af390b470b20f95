package core_test

import (
	"slices"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// The same old report of each machine reaches all controllers just as a leader begins: from
// before the machine had its tasks, from an earlier session, from before it was deleted, or with
// a notice that is no longer true. Nothing runs twice, no limit is passed, and neither a machine
// that is gone nor what was said of one holds the take-over or the work up.
func TestStaleHeartbeatsAtFailover(t *testing.T) {
	for how, between := range map[string]func(s *scenario){
		"before its tasks": func(s *scenario) {},
		"earlier session": func(s *scenario) {
			for _, k := range s.SomeWorkers(4) {
				for _, n := range s.Nodes {
					s.Cut(n.Label, k.Info.Name, false)
				}
				s.After(18*second, func() {
					for _, n := range s.Nodes {
						s.Mend(n.Label, k.Info.Name)
					}
				})
			}
			s.Run(s.Now + 24*second)
		},
		"machines deleted": func(s *scenario) {
			for _, k := range s.SomeWorkers(6) {
				s.Cloud.Remove(k.Info.Name)
			}
			s.Run(s.Now + 20*second)
		},
		"machines die with the leader": func(s *scenario) {
			for _, k := range s.SomeWorkers(6) {
				s.Cloud.Remove(k.Info.Name)
			}
		},
		"while they are cut off": func(s *scenario) { // so that it is the first that anybody hears
			busy := slices.DeleteFunc(s.SomeWorkers(64), func(m *simulation.Worker) bool { return len(m.Tasks) == 0 })
			s.addMachines(12)  // with room for all that they run
			s.Cloud.Out = true // or they would be taken for dead, and deleted
			for _, m := range busy {
				for _, n := range s.Nodes {
					s.Cut(n.Label, m.Info.Name, false)
					s.After(7*second, func() { s.Mend(n.Label, m.Info.Name) })
				}
			}
		},
		"epochs ago": func(s *scenario) {
			for range 3 {
				s.follower().Crash(second / 5)
				s.Run(s.Now + 4*second)
			}
		},
	} {
		t.Run(how, func(t *testing.T) {
			acrossSeeds(t, 3500, 3, func(t *testing.T, k, controllers int, seed uint64) {
				s := startScenario(t, seed, controllers, nil)
				s.addMachines(12)
				s.KeepReports = true
				s.Run(s.Now + 4*second) // one of each machine is kept
				s.KeepReports = false
				spec := simulation.Array(24)
				spec.Team = "red" // all that it may use
				red, blue := s.Users.Submit(spec, 60), s.Users.Submit(simulation.Array(20), 60)
				s.eventually(30*second, "all tasks run", func() bool { return red.Running() == 24 && blue.Running() == 20 })
				between(s)
				running := red.Running() + s.Users.Done(red)
				s.Logs = nil
				if k%2 == 0 {
					s.crashLeader(second / 5)
				} else {
					for _, n := range s.Nodes {
						n.Crash(second / 5)
					}
				}
				more := simulation.Array(4)
				more.Team = "red"
				s.Users.Submit(more, 10)
				s.eventually(35*second, "no machine is waited for", func() bool { return s.logged("every machine has been seen") })
				if lost := running - red.Running() - s.Users.Done(red); how != "machines die with the leader" && lost > 0 {
					t.Fatalf("%d tasks were lost by an old report\n%s", lost, s.lastLogs(*logLines))
				}
				s.recoverAndFinish(300 * second)
			})
		})
	}
}

// Some machines can open no connection to a controller, while direct commands reach them: their
// tasks are lost with their leases and started elsewhere, cancelled ones stop, once, and
// through an end of the leader.
func TestMachinesThatCannotReachControllers(t *testing.T) {
	for _, ends := range []bool{false, true} {
		acrossSeeds(t, 3900, 3, func(t *testing.T, k, controllers int, seed uint64) {
			s := startScenario(t, seed, controllers, nil)
			s.addMachines(12)
			s.Cloud.Out = k%2 == 0
			spec := simulation.Array(24)
			spec.Team = "red"
			red, gone := s.Users.Submit(spec, 60), s.Users.Submit(simulation.Array(16), 200)
			s.eventually(60*second, "all tasks run", func() bool { return s.Users.Running() == 40 })
			for _, m := range s.SomeWorkers(7) {
				m.Mute = true
				s.After(time.Duration(20+k*20)*second, func() { m.Mute = false })
			}
			if s.Run(s.Now + time.Duration(k*5)*second); ends {
				s.crashLeader(second / 5)
			}
			s.Users.Abort(gone)
			s.Run(s.Now + s.cancelSpan() + 20*second)
			s.recoverAndFinish(300 * second)
			if red.Told != protocol.JobDone {
				t.Fatalf("the other job is %s", red.Told)
			}
		})
	}
}

// Reports are held back until a new leader has acted, and arrive there then, after the machine's
// tasks were given up or kept; its own next ones follow.
func TestHeartbeatsDelayedPastFailover(t *testing.T) {
	acrossSeeds(t, 4100, 6, func(t *testing.T, k, controllers int, seed uint64) {
		s, gone := startFull(t, seed, controllers)
		held := s.SomeWorkers(9)
		for _, k := range held {
			for _, n := range s.Nodes {
				s.Link(k.Info.Name, n.Label, simulation.Held) // what it sends is kept, what it is told arrives
			}
		}
		s.Run(s.Now + second)
		s.Users.Abort(gone)
		s.crashLeader(second / 5)
		s.Users.Submit(simulation.Array(12), 10)
		s.Run(s.Now + time.Duration(2+k*6)*second) // from before it has acted to long after
		for _, k := range held {
			for _, n := range s.Nodes {
				s.Link(k.Info.Name, n.Label, simulation.Link{})
			}
		}
		s.Run(s.Now + s.cancelSpan())
		s.recoverAndFinish(300 * second)
	})
}

// A machine dies, and copies of its reports go on arriving: they neither keep its tasks from
// being started elsewhere after its lease, nor count as hearing it.
func TestDuplicatedHeartbeatsDoNotKeepDeadMachine(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 4700+seed)
		s.addMachines(8)
		s.Copies, s.CopyBy = 1, 60*second
		j := s.Users.Submit(simulation.Array(16), 300)
		s.Run(s.Now + 60*second)
		s.Cloud.Out = true // or it would be deleted, which settles it
		s.Cloud.Remove(s.Workers[j.On(0)].Info.Name)
		s.Copies = 0
		s.eventually(config.Seconds(s.Set.Site.Workers.LeaseS+2*s.Set.Site.Workers.ReportS), "its tasks are known to be lost", func() bool {
			return s.logged("machine is silent, its tasks are lost")
		})
	}
}
