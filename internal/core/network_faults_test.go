package core_test

import (
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/simulation"
)

// A partition that holds packets delivers old commands and heartbeats when it heals. No invariant may be
// violated by that, and every job must reach its final state.
func TestPartitionDeliversStalePackets(t *testing.T) {
	for seed := range uint64(4) {
		s := newBusyScenario(t, 20+seed, 18*second)
		s.partition(30*second, s.Nodes[seed%3].Label, "state", s.Nodes[(seed+1)%3].Label, s.Nodes[(seed+2)%3].Label)
		s.eventually(240*second, "every job is done or cancelled", s.Users.AllFinal)
	}
}

// A partitioned machine keeps running its tasks until its lease expires. They may be started on another
// machine only afterwards.
func TestPartitionedMachineKeepsTasksUntilLeaseExpiry(t *testing.T) {
	s := newScenario(t, 30)
	job := s.Users.Submit(simulation.Array(8), 50)
	s.eventually(60*second, "every task runs", func() bool { return job.RunningTasks() == 8 })
	s.partition(60*second, job.MachineOf(0), s.Nodes[0].Label, s.Nodes[1].Label, s.Nodes[2].Label)
	s.eventually(240*second, "the job is done on other machines", s.Users.AllFinal)
}

// A worker that hangs and resumes within its lease still has its tasks, even if the leader crashes in
// between.
func TestResumedMachineKeepsItsTasks(t *testing.T) {
	s := newScenario(t, 31)
	job := s.Users.Submit(simulation.Array(8), 30)
	s.eventually(60*second, "every task runs", func() bool { return job.RunningTasks() == 8 })
	worker := s.Workers[job.MachineOf(3)]
	worker.Hung = true
	s.leader().Crash(3 * second)
	s.After(12*second, func() { worker.Hung = false })
	s.eventually(200*second, "the job is done", s.Users.AllFinal)
}

// Crashes, partitions, lost machines, lost responses and outages overlap. Some seeds have found faults:
//   - 72: the stale task list of a dead machine hid the machine on which a task really ran.
//   - 2267: a machine that an earlier leader had deleted kept two tasks from being dispatched.
//   - 354: a progress write that was applied late undid the completion of a task.
//   - 1280: a machine that responded to /do calls but sent nothing else counted as having no tasks.
//   - 51759: a machine was deleted between a dispatch and the report of its placement there, and the leader
//     waited for that report forever.
func TestFaultsOverlap(t *testing.T) {
	allSeeds := []uint64{2267, 354, 1280, 51759}
	for seed := range *seeds {
		allSeeds = append(allSeeds, *firstSeed+seed)
	}
	for _, seed := range allSeeds {
		s := newScenario(t, 100+seed)
		t.Logf("seed %d", seed)
		s.Loss = 0.01
		s.Store.DelayedCommitShare, s.Store.MaxCommitDelay = 0.03, 5*second
		random := s.Rand
		for i := range 12 {
			spec := simulation.Array(4 + random.IntN(12))
			if i%4 == 0 {
				spec.Team = "red"
			}
			if i%5 == 0 {
				spec.OneZone = true
			}
			if i%7 == 3 {
				spec.Team, spec.CheckpointS, spec.SaveS = "guest", 4, 1
			}
			s.After(time.Duration(random.IntN(60))*second, func() {
				job := s.Users.Submit(spec, 3+random.Float64()*20)
				job.FailsEverywhere = i == 7
				if i%6 == 5 || job.FailsEverywhere {
					s.After(time.Duration(5+random.IntN(40))*second, func() { s.Users.Cancel(job) })
				}
			})
		}
		for range 6 {
			start := time.Duration(10+random.IntN(90)) * second
			node := s.Nodes[random.IntN(3)]
			switch random.IntN(7) {
			case 0:
				s.After(start, func() { node.Crash(time.Duration(1+random.IntN(8)) * second) })
			case 1:
				s.After(start, func() { s.Store.Outage(time.Duration(5+random.IntN(25)) * second) })
			case 2:
				endpoint := []string{"state", "workers", s.Nodes[random.IntN(3)].Label, "cloud"}[random.IntN(4)]
				keep := random.IntN(2) == 0
				s.After(start, func() { s.Partition(node.Label, endpoint, keep) })
				s.After(start+time.Duration(5+random.IntN(30))*second, func() { s.Heal(node.Label, endpoint) })
			case 3:
				s.After(start, func() {
					for _, worker := range s.RandomWorkers(2) {
						s.Cloud.Remove(worker.Info.Name)
					}
				})
			case 4:
				s.After(start, func() {
					for _, worker := range s.RandomWorkers(2) {
						worker.Hung = true
						s.After(time.Duration(3+random.IntN(25))*second, func() { worker.Hung = false })
					}
				})
			case 5:
				pause := time.Duration(3+random.IntN(40)) * second
				s.After(start, func() {
					if node.Alive() {
						node.Pause(pause)
					}
				})
			case 6:
				for k := range 200 {
					s.After(start+time.Duration(k)*50*time.Millisecond, s.Users.PollAny)
				}
			}
		}
		s.Run(110 * second)
		s.eventually(500*second, "every job is done or cancelled", s.Users.AllFinal)
	}
}

// A controller that reaches the other controllers but none of its machines leaves the shard map, also if it is
// the leader, so that the others take over its machines. It rejoins only once its machines respond again. When
// it rejoined after a fixed time, whether they responded or not, each attempt changed the shard map.
func TestControllerThatReachesNoWorkerLeavesShardMap(t *testing.T) {
	for seed, partitionLeader := range []bool{false, true} {
		s := newScenario(t, 75+uint64(seed))
		for range 12 {
			s.Cloud.AddRunning("box", "b", true)
		}
		for range 4 {
			s.Users.Submit(simulation.Array(40), 20)
		}
		s.eventually(60*second, "more than 40 tasks run", func() bool { return s.Users.RunningTasks() > 40 })
		node := s.follower()
		if partitionLeader {
			node = s.leader()
		}
		hasLogged := func(text string) func() bool {
			return func() bool { return s.logged(text) }
		}
		s.Partition(node.Label, "workers", false)
		s.eventually(15*second, "the partitioned controller leaves the shard map", hasLogged("leaving the shard map"))
		s.Logs = nil
		s.Run(s.Now + 40*second)
		if hasLogged("rejoining the shard map")() {
			t.Fatal("the controller rejoined the shard map while it reached no machine")
		}
		s.Users.Submit(simulation.Array(100), 30)
		s.Heal(node.Label, "workers")
		s.eventually(12*second, "the controller rejoins the shard map", hasLogged("rejoining the shard map"))
		s.eventually(200*second, "every job is done", s.Users.AllFinal)
	}
}

// A dispatch must not count as lost because it is missing from a full snapshot that the shard made before it
// had read the dispatch. Otherwise the leader dispatches the task again and it runs twice. The slow links
// between controllers make this crossing likely.
func TestDispatchMissingFromOlderSnapshotIsNotLost(t *testing.T) {
	s := newScenario(t, 31)
	s.PeerLatency = 400 * time.Millisecond
	for range 12 {
		s.Cloud.AddRunning("barn", "a", true)
	}
	for i := range 60 {
		s.At(s.Now+time.Duration(i)*second/2, func() {
			s.Users.Submit(simulation.Array(20), 4)
			for _, worker := range s.RandomWorkers(1) {
				if i%3 == 0 {
					s.Cloud.Remove(worker.Info.Name)
					s.Cloud.AddRunning("barn", "a", true)
				}
			}
		})
	}
	s.Run(s.Now + 60*second)
	s.requireInvariants()
}

// The machines of a zone are used again after a partition that lasts longer than a silent machine is usually
// kept. Their links heal one after another. No machine may be returned and replaced, also if the leader
// changes during the partition, except for one that became silent before the others and was considered dead.
func TestPartitionedZoneKeepsItsMachines(t *testing.T) {
	for _, changeLeader := range []bool{false, true} {
		s := newScenario(t, 59)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
		for i := range 12 {
			s.Cloud.AddRunning("box", []string{"a", "b"}[min(i/4, 1)], true)
		}
		long := simulation.Array(48)
		long.CheckpointS, long.SaveS = 4, 1
		job := s.Users.Submit(long, 400)
		s.eventually(60*second, "all 48 tasks run", func() bool { return job.RunningTasks() == 48 })
		var nodes []string
		for _, node := range s.Nodes {
			nodes = append(nodes, node.Label)
		}
		partitioned := 0
		for _, worker := range s.Workers {
			if worker.Info.Zone == "b" {
				s.partition(100*second+time.Duration(partitioned)*2*second, worker.Info.Name, nodes...)
				partitioned++
			}
		}
		if changeLeader {
			s.Run(s.Now + 3*second)
			s.leader().Crash(20 * second)
		}
		s.Run(s.Now + 150*second)
		if s.Cloud.Deleted > 1 || s.Cloud.Created > 0 {
			t.Errorf("leader changed: %v; %d machines were returned, expected at most 1, and %d created, expected 0", changeLeader, s.Cloud.Deleted, s.Cloud.Created)
		}
		s.eventually(60*second, "at least 44 tasks run again", func() bool { return job.RunningTasks() >= 44 })
	}
}

// Every message is delivered a second time, up to two minutes late. A task that a /do call started and that
// was then stopped and removed from the machine must not be started again by the duplicate of the call.
func TestDuplicatedCommandsAreNotRepeated(t *testing.T) {
	s := newScenario(t, 900)
	s.DuplicateShare, s.MaxDuplicateDelay = 1, 120*second
	job := s.Users.Submit(simulation.Array(4), 300)
	s.eventually(60*second, "the first job runs", func() bool { return job.RunningTasks() == 4 })
	var jobs []*simulation.Job
	for range 12 { // while the first job runs, so that these start by a /do call and not in a heartbeat response
		jobs = append(jobs, s.Users.Submit(simulation.Array(2), 300))
		s.Run(s.Now + 700*time.Millisecond)
	}
	s.Run(s.Now + 10*second)
	for _, job := range jobs {
		s.Users.Cancel(job)
	}
	s.Run(s.Now + 150*second)
	s.requireInvariants()
}
