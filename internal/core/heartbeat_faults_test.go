package core_test

import (
	"slices"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// partitionMachine partitions a machine from all controllers. Packets in both directions are dropped.
func (s *scenario) partitionMachine(machine *simulation.Worker) {
	for _, node := range s.Nodes {
		s.Partition(node.Label, machine.Info.Name, false)
	}
}

// healMachine ends the partition of a machine from all controllers.
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

const machinesTerminatedWithLeader = "machines are terminated when the leader crashes"

// staleHeartbeats are the events between the time at which a heartbeat was sent and the failover during
// which it arrives.
var staleHeartbeats = map[string]func(s *scenario){
	"from before the tasks started": func(*scenario) {},
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
	"of partitioned machines": func(s *scenario) { // the stale heartbeat is the first that the new leader receives
		busy := slices.DeleteFunc(s.RandomWorkers(64), func(machine *simulation.Worker) bool { return len(machine.Tasks) == 0 })
		s.addMachines(12)   // with free capacity for all tasks of the busy machines
		s.Cloud.Down = true // otherwise the busy machines would be considered dead and deleted
		for _, machine := range busy {
			s.partitionMachine(machine)
			s.After(7*second, func() { s.healMachine(machine) })
		}
	},
	"from several epochs earlier": func(s *scenario) {
		for range 3 {
			s.follower().Crash(second / 5)
			s.Run(s.Now + 4*second)
		}
	},
}

// The same stale heartbeat of each machine reaches all controllers several times, up to 2 s after a new
// leader has been elected. No task may run twice and no quota may be exceeded. Neither a terminated machine nor a stale
// heartbeat of one may delay the failover or the jobs.
func TestStaleHeartbeatsAtFailoverLoseNoTasks(t *testing.T) {
	for name, between := range staleHeartbeats {
		t.Run(name, func(t *testing.T) {
			acrossSeeds(t, 3500, 3, func(t *testing.T, variant, controllers int, seed uint64) {
				s := startScenario(t, seed, controllers, nil)
				s.addMachines(12)
				s.RetainHeartbeats = true
				s.Run(s.Now + 4*second) // one heartbeat of each machine is kept
				s.RetainHeartbeats = false
				spec := simulation.Array(24)
				spec.Team = "red" // the job uses the whole quota of this team
				red, blue := s.Users.Submit(spec, 60), s.Users.Submit(simulation.Array(20), 60)
				s.eventually(30*second, "all tasks run", func() bool { return red.RunningTasks() == 24 && blue.RunningTasks() == 20 })
				between(s)
				tasksBefore := red.RunningTasks() + s.Users.CompletedTasks(red)
				s.Logs = nil
				if variant%2 == 0 {
					s.crashLeader(second / 5)
				} else {
					s.crashAll(second / 5)
				}
				more := simulation.Array(4)
				more.Team = "red"
				s.Users.Submit(more, 10)
				s.eventually(35*second, "every machine has been seen", func() bool { return s.logged("every machine has been seen") })
				if lostTasks := tasksBefore - red.RunningTasks() - s.Users.CompletedTasks(red); name != machinesTerminatedWithLeader && lostTasks > 0 {
					t.Fatalf("%d tasks were lost because of a stale heartbeat\n%s", lostTasks, s.lastLogs(*logLines))
				}
				s.recoverAndFinish(300 * second)
			})
		})
	}
}

// Some machines cannot connect to a controller, while the controllers' direct calls reach them. Their tasks
// are lost when their leases expire, and must be started elsewhere only once. Tasks of a cancelled job must
// stop. This also holds during a failover.
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
				t.Fatalf("the job that was not cancelled is %s, want it done", red.LastState)
			}
		})
	}
}

// Heartbeats of some machines are held for 2 to 32 s after the leader crashed, and so arrive at the new
// leader before or after it has decided whether the machines' tasks are lost. The machines' next
// heartbeats follow.
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
		setLinks(simulation.Held) // heartbeats are held, while what controllers send to the machines arrives
		s.Run(s.Now + second)
		s.Users.Cancel(toCancel)
		s.crashLeader(second / 5)
		s.Users.Submit(simulation.Array(12), 10)
		s.Run(s.Now + time.Duration(2+variant*6)*second) // from before the new leader has acted to long after
		setLinks(simulation.Link{})
		s.Run(s.Now + s.cancelTimeout())
		s.recoverAndFinish(300 * second)
	})
}

// A machine is terminated, and copies of its heartbeats keep arriving. They must not count as new
// heartbeats, and must not prevent its tasks from being started elsewhere after its lease has expired.
func TestDuplicatedHeartbeatsDoNotKeepDeadMachine(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 4700+seed)
		s.addMachines(8)
		s.DuplicateShare, s.MaxDuplicateDelay = 1, 60*second
		job := s.Users.Submit(simulation.Array(16), 300)
		s.Run(s.Now + 60*second)
		s.Cloud.Down = true // otherwise the machine would be deleted, and its lease would not have to expire
		s.Cloud.Remove(s.Workers[job.MachineOf(0)].Info.Name)
		s.DuplicateShare = 0
		workers := s.Settings.Site.Workers
		s.eventually(config.Seconds(workers.LeaseS+2*workers.HeartbeatS), "the machine's lease expires and its tasks are lost", func() bool {
			return s.logged("machine lease expired, its tasks are lost")
		})
	}
}
