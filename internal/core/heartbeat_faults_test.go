package core_test

import (
	"slices"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// partitionMachine cuts a machine off from all controllers, dropping what is under way.
func (s *scenario) partitionMachine(machine *simulation.Worker) {
	for _, node := range s.Nodes {
		s.Partition(node.Label, machine.Info.Name, false)
	}
}

// healMachine ends partitionMachine.
func (s *scenario) healMachine(machine *simulation.Worker) {
	for _, node := range s.Nodes {
		s.Heal(node.Label, machine.Info.Name)
	}
}

func (s *scenario) removeSomeMachines(count int) {
	for _, machine := range s.RandomWorkers(count) {
		s.Cloud.Remove(machine.Info.Name)
	}
}

const machinesTerminatedWithLeader = "machines die with the leader"

// staleHeartbeats are what happens between a heartbeat and the failover at which it arrives.
var staleHeartbeats = map[string]func(s *scenario){
	"from before the tasks": func(*scenario) {},
	"from an earlier session": func(s *scenario) {
		for _, machine := range s.RandomWorkers(4) {
			s.partitionMachine(machine)
			s.After(18*second, func() { s.healMachine(machine) })
		}
		s.Run(s.Now + 24*second)
	},
	"of machines that were deleted": func(s *scenario) {
		s.removeSomeMachines(6)
		s.Run(s.Now + 20*second)
	},
	machinesTerminatedWithLeader: func(s *scenario) { s.removeSomeMachines(6) },
	"of partitioned machines": func(s *scenario) { // so that it is the first that anybody hears
		busy := slices.DeleteFunc(s.RandomWorkers(64), func(machine *simulation.Worker) bool { return len(machine.Tasks) == 0 })
		s.addMachines(12)   // with room for all that they run
		s.Cloud.Down = true // or they would be taken for dead, and deleted
		for _, machine := range busy {
			s.partitionMachine(machine)
			s.After(7*second, func() { s.healMachine(machine) })
		}
	},
	"from epochs ago": func(s *scenario) {
		for range 3 {
			s.follower().Crash(second / 5)
			s.Run(s.Now + 4*second)
		}
	},
}

// The same old heartbeat of each machine reaches all controllers just as a leader begins.
// Nothing runs twice, no quota is exceeded, and neither a machine that is gone nor what was said
// of one holds the failover or the work up.
func TestStaleHeartbeatsAtFailoverLoseNoTasks(t *testing.T) {
	for name, between := range staleHeartbeats {
		t.Run(name, func(t *testing.T) {
			acrossSeeds(t, 3500, 3, func(t *testing.T, variant, controllers int, seed uint64) {
				s := startScenario(t, seed, controllers, nil)
				s.addMachines(12)
				s.RetainHeartbeats = true
				s.Run(s.Now + 4*second) // one of each machine is kept
				s.RetainHeartbeats = false
				spec := simulation.Array(24)
				spec.Team = "red" // all that it may use
				red, blue := s.Users.Submit(spec, 60), s.Users.Submit(simulation.Array(20), 60)
				s.eventually(30*second, "all tasks run", func() bool { return red.RunningTasks() == 24 && blue.RunningTasks() == 20 })
				between(s)
				kept := red.RunningTasks() + s.Users.CompletedTasks(red)
				s.Logs = nil
				if variant%2 == 0 {
					s.crashLeader(second / 5)
				} else {
					s.crashAll(second / 5)
				}
				more := simulation.Array(4)
				more.Team = "red"
				s.Users.Submit(more, 10)
				s.eventually(35*second, "no machine is waited for", func() bool { return s.logged("every machine has been seen") })
				if lost := kept - red.RunningTasks() - s.Users.CompletedTasks(red); name != machinesTerminatedWithLeader && lost > 0 {
					t.Fatalf("%d tasks were lost by a stale heartbeat\n%s", lost, s.lastLogs(*logLines))
				}
				s.recoverAndFinish(300 * second)
			})
		})
	}
}

// Some machines can open no connection to a controller, while direct calls reach them: their
// tasks are lost with their leases and started elsewhere, and cancelled ones stop, once, also
// through a failover.
func TestMachinesThatCannotReachControllersLoseTheirTasksOnce(t *testing.T) {
	for _, failover := range []bool{false, true} {
		acrossSeeds(t, 3900, 3, func(t *testing.T, variant, controllers int, seed uint64) {
			s := startScenario(t, seed, controllers, nil)
			s.addMachines(12)
			s.Cloud.Down = variant%2 == 0
			spec := simulation.Array(24)
			spec.Team = "red"
			red, toCancel := s.Users.Submit(spec, 60), s.Users.Submit(simulation.Array(16), 200)
			s.eventually(60*second, "all tasks run", func() bool { return s.Users.RunningTasks() == 40 })
			for _, machine := range s.RandomWorkers(7) {
				machine.OutboundBlocked = true
				s.After(time.Duration(20+variant*20)*second, func() { machine.OutboundBlocked = false })
			}
			s.Run(s.Now + time.Duration(variant*5)*second)
			if failover {
				s.crashLeader(second / 5)
			}
			s.Users.Cancel(toCancel)
			s.Run(s.Now + s.cancelTimeout() + 20*second)
			s.recoverAndFinish(300 * second)
			if red.LastState != protocol.JobDone {
				t.Fatalf("the other job is %s", red.LastState)
			}
		})
	}
}

// Heartbeats are held back until a new leader has acted, and arrive there then, after the
// machine's tasks were given up or kept; its own next ones follow.
func TestHeartbeatsDelayedPastFailoverKeepInvariants(t *testing.T) {
	acrossSeeds(t, 4100, 6, func(t *testing.T, variant, controllers int, seed uint64) {
		s, toCancel := startFullCluster(t, seed, controllers)
		delayed := s.RandomWorkers(9)
		setLinks := func(link simulation.Link) {
			for _, machine := range delayed {
				for _, node := range s.Nodes {
					s.SetLink(machine.Info.Name, node.Label, link)
				}
			}
		}
		setLinks(simulation.Held) // what the machines send is kept, what they are told arrives
		s.Run(s.Now + second)
		s.Users.Cancel(toCancel)
		s.crashLeader(second / 5)
		s.Users.Submit(simulation.Array(12), 10)
		s.Run(s.Now + time.Duration(2+variant*6)*second) // from before it has acted to long after
		setLinks(simulation.Link{})
		s.Run(s.Now + s.cancelTimeout())
		s.recoverAndFinish(300 * second)
	})
}

// A machine dies, and copies of its heartbeats go on arriving: they neither keep its tasks from
// being started elsewhere after its lease, nor count as hearing it.
func TestDuplicatedHeartbeatsDoNotKeepDeadMachine(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 4700+seed)
		s.addMachines(8)
		s.DuplicateShare, s.MaxDuplicateDelay = 1, 60*second
		job := s.Users.Submit(simulation.Array(16), 300)
		s.Run(s.Now + 60*second)
		s.Cloud.Down = true // or it would be deleted, which settles it
		s.Cloud.Remove(s.Workers[job.MachineOf(0)].Info.Name)
		s.DuplicateShare = 0
		workers := s.Settings.Site.Workers
		s.eventually(config.Seconds(workers.LeaseS+2*workers.HeartbeatS), "its tasks are known to be lost", func() bool {
			return s.logged("machine lease expired, its tasks are lost")
		})
	}
}
