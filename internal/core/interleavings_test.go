package core_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// Scenarios of fault interleavings, in which two faults overlap. docs/fault-interleavings.md describes
// each of them.

// cancelTimeout is the time within which the tasks of a cancelled job must have ended.
func (s *scenario) cancelTimeout() time.Duration {
	return config.Seconds(s.Settings.Site.Workers.CancelS)
}

// cancelIgnoringReply has a user ask a node to cancel a job. The user does not receive the reply.
func (s *scenario) cancelIgnoringReply(node *simulation.Node, job *simulation.Job) {
	s.Users.NoteCancelRequested(job)
	node.Request(func(id core.RequestID) core.Command { return core.CancelJob{ID: id, JobID: job.Spec.ID} }, func(core.Reply) {})
}

// otherFollower returns a controller that is neither the leader nor the one that follower returns.
func (s *scenario) otherFollower() *simulation.Node {
	i := slices.IndexFunc(s.Nodes, func(node *simulation.Node) bool { return !node.Core.IsLeader() && node != s.follower() })
	return s.Nodes[i]
}

// cancellationThenOutage starts a scenario in which the state service refuses only the leader's
// requests. Then it calls confirm, which must make a controller confirm to a user that its job argument is
// cancelled. After that the state service is down for 20 s longer than cancel_s. It returns the job that
// was cancelled, and another one, long, that was not.
func cancellationThenOutage(t *testing.T, seed uint64, confirm func(s *scenario, cancelled *simulation.Job)) (s *scenario, long, cancelled *simulation.Job) {
	s = newScenario(t, seed)
	long, cancelled = s.Users.Submit(simulation.Array(12), 200), s.Users.Submit(simulation.Array(6), 300)
	s.eventually(60*second, "all tasks run", func() bool { return s.Users.RunningTasks() == 18 })
	leader := s.leader()
	s.Store.RefusedNodes[leader.Label] = true
	confirm(s, cancelled)
	s.eventually(5*second, "the cancellation is confirmed to the user", func() bool { return cancelled.LastState == protocol.JobCancelled })
	s.Store.Outage(s.cancelTimeout() + 20*second)
	return s, long, cancelled
}

// During an outage of the state service, the tasks of every job whose cancellation was confirmed to a
// user are stopped in time. This holds whichever controller wrote the cancellation, and however the
// controller that confirmed it had learnt of it. All other tasks continue to run.
func TestCancellationSurvivesStoreOutage(t *testing.T) {
	withoutResponse := func(s *scenario, f func()) {
		s.Store.DelayedCommitShare, s.Store.MaxCommitDelay = 1, time.Millisecond
		f()
		s.Run(s.Now + second/2)
		s.Store.DelayedCommitShare = 0
	}
	for name, confirm := range map[string]func(*scenario, *simulation.Job){
		"confirmed by the controller that wrote it": func(s *scenario, job *simulation.Job) { s.Users.Cancel(job) },
		"confirmed by the controller whose write got no response": func(s *scenario, job *simulation.Job) {
			withoutResponse(s, func() { s.Users.Cancel(job) })
		},
		"confirmed by another controller whose mirror has it": func(s *scenario, job *simulation.Job) {
			withoutResponse(s, func() { s.cancelIgnoringReply(s.follower(), job) })
			s.Users.OnlyNode = s.otherFollower()
			s.Users.Cancel(job)
		},
		"confirmed in response to a poll": func(s *scenario, job *simulation.Job) {
			withoutResponse(s, func() { s.cancelIgnoringReply(s.follower(), job) })
			s.Users.OnlyNode = s.otherFollower()
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				s, long, cancelled := cancellationThenOutage(t, 1000+seed, confirm)
				leastRunning := 12
				for range 50 {
					s.Run(s.Now + second)
					leastRunning = min(leastRunning, long.RunningTasks())
				}
				s.requireInvariants()
				if cancelled.RunningTasks() > 0 || leastRunning < 12 {
					t.Fatalf("%d tasks of the cancelled job are running, want none; at one time only %d of the 12 tasks of the other job were running", cancelled.RunningTasks(), leastRunning)
				}
				s.Store.RefusedNodes, s.Users.OnlyNode = map[string]bool{}, nil
				s.eventually(200*second, "the other job is done", func() bool { return long.LastState == protocol.JobDone })
			}
		})
	}
}

// The first write of a restarted controller, which registers its process, gets no response. The
// process crashes, and the next one starts at once. The write is applied late, when the new process
// is already in the shard map, and must not remove the new process from it.
func TestLateWriteOfPreviousProcessHasNoEffect(t *testing.T) {
	for seed := range uint64(4) {
		s := newBusyScenario(t, 1100+seed, 10*second)
		node := s.follower()
		node.Crash(second)
		s.Store.MinCommitDelay, s.Store.MaxCommitDelay = 4*second, 5*second
		s.eventually(5*second, "the restarted controller writes its key", func() bool {
			s.Store.DelayedCommitShare = 0
			if node.Alive() {
				s.Store.DelayedCommitShare = 1
			}
			return s.Store.DelayedCommits > 0
		})
		s.Store.DelayedCommitShare = 0
		node.Crash(second / 5)
		s.eventually(5*second, "the next process is in the shard map", func() bool { return s.logged("controller rejoined the shard map") })
		s.Logs = nil
		s.Run(s.Now + 12*second)
		if s.logged("controller left the shard map") {
			t.Fatalf("a controller was removed from the shard map\n%s", s.lastLogs(*logLines))
		}
		s.eventually(120*second, "all jobs are final", s.Users.AllFinal)
	}
}

// All machines but one are terminated, and all controllers crash. The next leader knows of those
// machines only from the machine registry. It learns from the cloud that they no longer exist, and must
// not wait for any of them.
func TestFailoverDoesNotWaitForTerminatedMachines(t *testing.T) {
	for seed := range uint64(4) {
		s := startWithMachines(t, 1200+seed, 10)
		for _, worker := range s.RandomWorkers(len(s.Workers) - 1) {
			s.Cloud.Remove(worker.Info.Name)
		}
		for i, node := range s.Nodes {
			node.Crash(second + time.Duration(i)*3*second)
		}
		s.Logs = nil
		s.eventually(45*second, "every machine has been seen", func() bool { return s.logged("every machine has been seen") })
		s.eventually(200*second, "all jobs are final", s.Users.AllFinal)
	}
}

// addMachines adds running machines, and runs the scenario until their heartbeats have arrived.
func (s *scenario) addMachines(count int) {
	for range count {
		s.Cloud.AddRunning("box", "b", true)
	}
	s.Run(s.Now + 6*second)
}

// otherEndpoints returns the labels of the state service and of all controllers except one.
func (s *scenario) otherEndpoints(except *simulation.Node) []string {
	labels := []string{"state"}
	for _, node := range s.Nodes {
		if node != except {
			labels = append(labels, node.Label)
		}
	}
	return labels
}

// A leader is partitioned from the state service and the other controllers, while its workers and
// users still reach it. Jobs are cancelled through the new leader. The old leader must stop responding
// to its workers early enough that every task of a cancelled job has ended in time.
func TestCancellationThroughNewLeaderStopsTasksInTime(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 1300+seed)
		s.addMachines(12) // enough that each controller owns machines that run tasks
		var jobs []*simulation.Job
		for range 4 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(12), 120))
		}
		s.eventually(60*second, "all tasks run", func() bool { return s.Users.RunningTasks() == 48 })
		leader := s.leader()
		s.Cloud.Down = true // otherwise the old leader's machines would be deleted
		// The others don't reach the old leader's machines either. Otherwise they would fence these with
		// a newer token, and the old leader's responses would have no effect.
		for _, worker := range s.Workers {
			for _, other := range s.Nodes {
				if worker.Controller() == leader && other != leader {
					s.partition(70*second, other.Label, worker.Info.Name)
				}
			}
		}
		s.partition(70*second, leader.Label, s.otherEndpoints(leader)...)
		s.eventually(30*second, "another leads", func() bool { return s.anotherLeads(leader) })
		s.Users.OnlyNode = s.Nodes[(slices.Index(s.Nodes, leader)+1)%3]
		s.Users.Cancel(jobs[0])
		s.Users.Cancel(jobs[1])
		s.eventually(10*second, "the cancellations are confirmed to the users", lastStateIs(protocol.JobCancelled, jobs[0], jobs[1]))
		s.Users.OnlyNode = nil
		s.Run(s.Now + s.cancelTimeout() + second)
		s.Cloud.Down = false
		s.eventually(300*second, "the other jobs are done", lastStateIs(protocol.JobDone, jobs[2], jobs[3]))
	}
}

// 35 % of all transactions get no response and are applied 2 to 12 s later, while users cancel jobs and
// the leader crashes twice. When such a write is applied, either its guards reject it or it violates no
// invariant.
func TestLateWritesDuringFailoversAreHarmless(t *testing.T) {
	for seed := range uint64(6) {
		s := newBusyScenario(t, 1400+seed, 5*second)
		s.Store.DelayedCommitShare, s.Store.MinCommitDelay, s.Store.MaxCommitDelay = 0.35, 2*second, 12*second
		var jobs []*simulation.Job
		for range 8 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(5), 8))
			s.Run(s.Now + 2*second)
		}
		s.Users.Cancel(jobs[6])
		s.Users.Cancel(jobs[7])
		for range 2 {
			if leader := s.currentLeader(); leader != nil {
				leader.Crash(second / 5)
			}
			s.Run(s.Now + 15*second)
		}
		s.Store.DelayedCommitShare = 0
		s.Run(s.Now + 13*second)
		s.Users.FaultsOverAt = s.Now
		s.eventually(300*second, "all jobs are final", s.Users.AllFinal)
		s.Run(s.Now + 20*second)
		s.requireInvariants()
	}
}

// The three tasks of each job end far apart, and the leader crashes between any two of these ends. A
// job must be done soon after its last task has ended, and completed tasks must not be started again.
func TestCompletedTasksAreNotRestartedAfterFailovers(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 1500+seed)
		var jobs []*simulation.Job
		for range 5 {
			job := s.Users.Submit(simulation.Array(3), 0)
			job.TaskRunS = []float64{4, 20 + float64(seed), 45}
			jobs = append(jobs, job)
		}
		s.eventually(60*second, "all tasks run", func() bool { return s.Users.RunningTasks() == 15 })
		ended := 0
		for ended < 15 { // the leader crashes before a write that records an end is applied
			s.Store.DelayedCommitShare, s.Store.MinCommitDelay, s.Store.MaxCommitDelay = 1, 12*second, 12*second
			s.eventually(60*second, "another task completes", func() bool { return s.Users.CompletedTasks(jobs...) > ended })
			s.Run(s.Now + 11*second)
			s.Store.DelayedCommitShare = 0
			ended = s.Users.CompletedTasks(jobs...)
			if leader := s.currentLeader(); leader != nil {
				leader.Crash(second / 5)
			}
			s.Run(s.Now + 6*second)
		}
		s.eventually(30*second, "all jobs are done", lastStateIs(protocol.JobDone, jobs...))
		if s.Users.RepeatedStarts > 0 {
			t.Fatalf("completed tasks were started again %d times", s.Users.RepeatedStarts)
		}
	}
}

// The leader crashes while its machines are partitioned, and the cloud deletes no machines. In half of
// the runs the partition is one-way: the machines receive nothing, but what they send arrives. In the
// others it is in both directions. The machines' tasks must not be started elsewhere. A team at its quota
// must not start further tasks until those on the machines have certainly ended. Tasks of a job that is
// cancelled meanwhile must end in time.
func TestLeaderCrashDuringOneWayPartitionKeepsInvariants(t *testing.T) {
	for _, team := range []string{"red", "blue"} { // red has a quota, blue has none
		for seed := range uint64(6) {
			s := newScenario(t, 1600+seed)
			s.addMachines(16)
			spec := simulation.Array(24) // uses all of team red's quota
			spec.Team = team
			s.Users.Submit(spec, 60)
			cancelled := s.Users.Submit(simulation.Array(16), 200)
			s.eventually(90*second, "all tasks run", func() bool { return s.Users.RunningTasks() == 40 })
			leader, unreachable := s.leader(), 0
			for _, worker := range s.Workers {
				if worker.Controller() != leader {
					continue
				}
				unreachable++
				for _, node := range s.Nodes {
					link, reverse := simulation.Dropped, simulation.Link{}
					if seed%2 == 1 {
						link, reverse = simulation.Held, simulation.Held
					}
					s.SetLink(node.Label, worker.Info.Name, link)
					s.SetLink(worker.Info.Name, node.Label, reverse)
					s.After(time.Duration(4+4*seed)*second, func() { s.Heal(node.Label, worker.Info.Name) })
				}
			}
			if unreachable < 2 {
				t.Fatalf("the leader owns %d machines, want at least 2", unreachable)
			}
			s.Cloud.Down = true
			leader.Crash(second / 5)
			s.Run(s.Now + second) // a job submitted from here on does not wait until every machine has been seen
			more := simulation.Array(6)
			more.Team = team
			s.Users.Submit(more, 10)
			s.Users.Cancel(cancelled)
			s.Run(s.Now + s.cancelTimeout() + 10*second)
			s.Cloud.Down = false
			s.eventually(400*second, "all jobs are final", s.Users.AllFinal)
		}
	}
}

// A copy of every heartbeat arrives up to two leases (32 s) late, while short tasks start and end. The
// copy says nothing about the machine's current state, and controllers must not act on it.
func TestStaleHeartbeatsAfterNewerOnesAreIgnored(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 1700+seed)
		s.addMachines(6)
		s.DuplicateShare, s.MaxDuplicateDelay = 1, 32*second
		for round := range 16 {
			s.Users.Submit(simulation.Array(8), float64(3+round%3*8))
			s.Run(s.Now + 3*second)
		}
		s.DuplicateShare = 0
		s.eventually(200*second, "all jobs are final", s.Users.AllFinal)
	}
}

// All controllers crash while some machines are unreachable. The first heartbeat of these machines that
// the restarted controllers receive is a stale one, from before the machines had tasks. The machines'
// tasks must not be started elsewhere until they have certainly ended.
func TestStaleFirstHeartbeatStartsNoTaskTwice(t *testing.T) {
	for seed := range uint64(6) {
		s := newScenario(t, 1750+seed)
		s.addMachines(8)
		s.DuplicateShare, s.MaxDuplicateDelay = 1, 40*second
		s.Run(s.Now + 10*second)
		s.DuplicateShare = 0
		job := s.Users.Submit(simulation.Array(24), 60)
		s.eventually(20*second, "all tasks run", func() bool { return job.RunningTasks() == 24 })
		for i := range 24 {
			for _, node := range s.Nodes {
				s.Partition(node.Label, job.MachineOf(i), false)
			}
		}
		for _, node := range s.Nodes {
			node.Crash(second / 5)
		}
		s.addMachines(8)
		s.eventually(200*second, "all jobs are final", s.Users.AllFinal)
	}
}

// All commands and responses to the machines are delayed by some seconds, again and again, while jobs are
// cancelled and other jobs take the capacity that this frees.
func TestDelayedCommandsKeepInvariants(t *testing.T) {
	for seed := range uint64(6) {
		s := newBusyScenario(t, 1800+seed, 8*second)
		for _, node := range s.Nodes {
			s.SetLink(node.Label, "workers", simulation.Link{Hold: true, FlapPeriod: time.Duration(2+seed) * second})
		}
		var jobs []*simulation.Job
		for round := range 8 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(5), 30))
			s.Run(s.Now + 3*second)
			if round%2 == 1 {
				s.Users.Cancel(jobs[round-1])
			}
		}
		s.leader().Crash(second)
		s.Run(s.Now + s.cancelTimeout())
		for _, node := range s.Nodes {
			s.SetLink(node.Label, "workers", simulation.Link{})
		}
		s.eventually(300*second, "all jobs are final", s.Users.AllFinal)
	}
}

// The state service is slow, then also refuses the leader's requests, and then is down for 20 s longer
// than cancel_s, while users cancel and query jobs. In the end every user gets a response, and every
// cancellation that was confirmed holds.
func TestCancellationsHoldThroughSlowThenUnavailableStore(t *testing.T) {
	for seed := range uint64(4) {
		s := newBusyScenario(t, 1900+seed, 4*second)
		var jobs []*simulation.Job
		for range 4 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(5), 90))
		}
		s.Run(s.Now + 15*second)
		leader := s.leader()
		s.Store.ResponseDelay = 400 * time.Millisecond
		s.Users.Cancel(jobs[0])
		s.Run(s.Now + second)
		s.Store.RefusedNodes[leader.Label] = true
		s.Users.Cancel(jobs[1])
		s.Run(s.Now + time.Duration(1+seed)*second)
		s.Users.Cancel(jobs[2])
		s.Run(s.Now + second/2)
		outage := s.cancelTimeout() + 20*second
		s.Store.Outage(outage)
		s.Run(s.Now + outage)
		delete(s.Store.RefusedNodes, leader.Label)
		s.Store.ResponseDelay = 0
		s.Users.FaultsOverAt = s.Now
		s.eventually(60*second, "the cancellations are confirmed to the users", lastStateIs(protocol.JobCancelled, jobs[:3]...))
		s.eventually(300*second, "all jobs are final", s.Users.AllFinal)
	}
}

// Leaders crash and return up to three times in a row, then all controllers crash, one of them starts
// again before the others, and the leader crashes once more. A crashed leader returns after 50 ms to 4 s.
// In half of the runs one controller has the previous version.
func TestWorkCompletesAcrossFailoverAndFailback(t *testing.T) {
	for seed := range uint64(8) {
		s := newBusyScenario(t, 2000+seed, 10*second)
		restartDelay := []time.Duration{50 * time.Millisecond, second / 5, second, 4 * second}[seed%4]
		s.Nodes[seed%3].PreviousVersion = seed >= 4
		for range 3 {
			if leader := s.currentLeader(); leader != nil {
				leader.Crash(restartDelay)
			}
			s.Run(s.Now + restartDelay/2)
		}
		for _, node := range s.Nodes {
			node.Crash(20 * second) // this start replaces a process that was started in the meantime
		}
		s.Nodes[(seed+1)%3].Start()
		s.Users.Submit(simulation.Array(6), 10)
		s.Run(s.Now + 8*second)
		for _, node := range s.Nodes {
			if !node.Alive() {
				node.Start()
			}
		}
		s.Run(s.Now + second)
		s.awaitLeader().Crash(restartDelay)
		s.eventually(300*second, "all jobs are final", s.Users.AllFinal)
	}
}

// awaitLeader runs the scenario until a controller leads, and returns that controller.
func (s *scenario) awaitLeader() *simulation.Node {
	s.eventually(30*second, "a controller leads", func() bool { return s.currentLeader() != nil })
	return s.leader()
}

// Machines behind a one-way partition send heartbeats that arrive, but receive nothing. They delay a
// failover only until their leases must have expired, and not for as long as the partition lasts.
func TestOneWayPartitionDoesNotDelayFailover(t *testing.T) {
	for seed := range uint64(6) {
		s := newScenario(t, 2200+seed)
		s.addMachines(16)
		job := s.Users.Submit(simulation.Array(64), 90)
		s.eventually(90*second, "all tasks run", func() bool { return job.RunningTasks() == 64 })
		s.Cloud.Down = true
		for _, worker := range s.RandomWorkers(6) {
			for _, node := range s.Nodes {
				s.SetLink(node.Label, worker.Info.Name, simulation.Dropped)
			}
		}
		for _, node := range s.Nodes {
			node.Crash(second / 5)
		}
		s.Logs = nil
		s.eventually(45*second, "every machine has been seen", func() bool { return s.logged("every machine has been seen") })
		for _, worker := range s.Workers {
			for _, node := range s.Nodes {
				s.Heal(node.Label, worker.Info.Name)
			}
		}
		s.Cloud.Down = false
		s.eventually(300*second, "the job is done", s.Users.AllFinal)
	}
}

// The response to a heartbeat that a controller does not trust, here a stale one, stops the tasks of
// cancelled jobs and contains no other command. Otherwise the response would renew the lease of a
// machine that goes on running such a task.
func TestEveryHeartbeatResponseStopsCancelledTasks(t *testing.T) {
	s := newScenario(t, 2300)
	cancelled, other := s.Users.Submit(simulation.Array(4), 100), s.Users.Submit(simulation.Array(4), 100)
	s.eventually(60*second, "all tasks run", func() bool { return s.Users.RunningTasks() == 8 })
	worker := s.Workers[cancelled.MachineOf(0)]
	s.Users.Cancel(cancelled)
	s.eventually(10*second, "the job is cancelled", lastStateIs(protocol.JobCancelled, cancelled))
	stale := protocol.Heartbeat{Machine: worker.Info.Name, Addr: worker.Info.Addr, Type: worker.Info.Type, Zone: worker.Info.Zone, Spot: worker.Info.Spot, Session: 1,
		Tasks: []protocol.TaskStatus{
			{Task: protocol.TaskName(cancelled.Spec.ID, 0), Attempt: 1, State: protocol.TaskRunning},
			{Task: protocol.TaskName(cancelled.Spec.ID, 1), Attempt: 1, State: protocol.TaskExited, ExitReason: protocol.ExitDone},
			{Task: protocol.TaskName(other.Spec.ID, 0), Attempt: 1, State: protocol.TaskRunning},
		}}
	var response protocol.HeartbeatResponse
	worker.Controller().Request(func(id core.RequestID) core.Command { return core.Heartbeat{ID: id, Report: stale} }, func(r core.Reply) {
		response, _ = r.Body.(protocol.HeartbeatResponse)
	})
	s.Run(s.Now + second)
	stop := protocol.Command{Kind: protocol.CommandStop, Task: stale.Tasks[0].Task, Attempt: 1}
	if len(response.Commands) != 1 || response.Commands[0] != stop {
		t.Fatalf("the response has commands %+v, want only the stop of the cancelled job's running task", response.Commands)
	}
}

// A controller must not forget the cancellations that it learnt in degraded mode while it may still
// serve from a mirror that is older than they are. The crash of another controller may end the rounds of
// degraded mode at any time, also just when the mirror becomes too stale to serve from.
func TestLearntCancellationsAreKeptWhileMirrorIsStale(t *testing.T) {
	for tenths := range 24 {
		set := simulation.Settings(3)
		set.Site.Workers.CancelS = 24 // slightly more than the staleness limit, which is then 5.44 s, plus a lease of 16 s
		s := &scenario{Cluster: simulation.NewWithSettings(2400, set, simulation.MachineTypes()), t: t}
		s.Run(2 * second)
		s.addMachines(12)
		cancelled := s.Users.Submit(simulation.Array(40), 100)
		s.eventually(60*second, "all tasks run", func() bool { return cancelled.RunningTasks() == 40 })
		leader, third := s.leader(), s.otherFollower()
		s.Store.RefusedNodes[leader.Label] = true
		s.Users.OnlyNode = s.follower()
		s.Users.Cancel(cancelled)
		s.eventually(5*second, "the cancellation is confirmed to the user", lastStateIs(protocol.JobCancelled, cancelled))
		s.Store.Outage(60 * second)
		s.After(3*second+time.Duration(tenths)*second/10, func() { third.Crash(0) })
		s.Run(s.Now + s.cancelTimeout() + second)
		s.requireInvariants()
	}
}

// For each rule of the invariant checker that the table names, the test causes a violation on purpose, and
// the checker must record it.
func TestCheckerDetectsSeededViolations(t *testing.T) {
	// reopen makes one node, whose link to the users is slow, report a job as queued although the
	// job was done before. If forgets is set, the node reports the job as unknown instead.
	reopen := func(s *scenario, forgets bool) {
		job := s.Users.Submit(simulation.Array(2), 3)
		s.eventually(40*second, "the job is done", lastStateIs(protocol.JobDone, job))
		s.Run(s.Now + 4*second) // its admission batch has been deleted
		if forgets {
			s.Store.DeleteKey("c/job/" + job.Spec.ID)
		} else {
			s.Store.ReopenJob(job.Spec)
		}
		node := s.follower()
		node.Crash(second / 5)
		s.Run(s.Now + 5*second)
		s.SetLink(node.Label, "users", simulation.Link{Delay: second})
		s.Users.ReadEverywhere(job) // the other nodes' responses arrive first
		s.Run(s.Now + 3*second)
	}
	for name, fault := range map[string]struct {
		rule string
		seed func(s *scenario, red *simulation.Job)
	}{
		"no controller responds to users": {"forgotten", func(s *scenario, red *simulation.Job) {
			s.Users.FaultsOverAt = s.Now
			for _, node := range s.Nodes {
				s.Partition(node.Label, "users", false)
			}
			s.Run(s.Now + 90*second)
		}},
		"a start long after the cancellation": {"ran_cancelled", func(s *scenario, red *simulation.Job) {
			s.Users.Cancel(red)
			s.Run(s.Now + s.cancelTimeout() + 10*second)
			s.Workers[s.Cloud.AddRunning("box", "b", true)].ForceStart(protocol.TaskName(red.Spec.ID, 3), 99)
			s.Run(s.Now + 5*second)
		}},
		"a task that resumes with its hung machine": {"ran_cancelled", func(s *scenario, red *simulation.Job) {
			s.Users.Cancel(red)
			s.Run(s.Now + s.cancelTimeout() - 5*second)
			worker := s.Workers[s.Cloud.AddRunning("box", "b", true)]
			worker.ForceStart(protocol.TaskName(red.Spec.ID, 3), 99)
			s.Run(s.Now + 2*second/10)
			worker.Hung = true // before the task could be stopped, and until after cancel_s
			s.Run(s.Now + 10*second)
			worker.Hung = false
			s.Run(s.Now + second)
		}},
		"a start after the cancellation was confirmed": {"late starts", func(s *scenario, red *simulation.Job) {
			s.Users.Cancel(red)
			s.eventually(10*second, "the job is cancelled", lastStateIs(protocol.JobCancelled, red))
			s.Workers[s.Cloud.AddRunning("box", "b", true)].ForceStart(protocol.TaskName(red.Spec.ID, 3), 99)
			if s.Users.StartsAfterCancel == 1 {
				s.Violations = append(s.Violations, "late starts: one")
			}
		}},
		"starts beyond the quota": {"quota", func(s *scenario, red *simulation.Job) {
			s.addMachines(8)
			more := simulation.Array(12)
			more.Team = "red"
			job := s.Users.Submit(more, 60)
			for i, worker := range s.RandomWorkers(8) {
				worker.ForceStart(protocol.TaskName(job.Spec.ID, i), 99)
			}
			s.Run(s.Now + 5*second)
		}},
		"an older state that is reported last": {"went_back", func(s *scenario, red *simulation.Job) { reopen(s, false) }},
		"a job that is unknown at one node":    {"forgotten", func(s *scenario, red *simulation.Job) { reopen(s, true) }},
		"an accepted job that can never run": {"wrongly_accepted", func(s *scenario, red *simulation.Job) {
			s.Users.SubmitInvalid(simulation.Array(1))
			s.Run(s.Now + second)
		}},
		"free capacity, and a quota that is raised only for the checker": {"left_waiting", func(s *scenario, red *simulation.Job) {
			s.Settings.Site.Teams = []config.Team{{Name: "red", CPUsMax: 100}}
			filler := simulation.Array(6) // each task leaves one CPU of its machine free
			filler.CPUs = 3
			s.Users.Submit(filler, 300)
			more := simulation.Array(2)
			more.Team = "red"
			s.Users.Submit(more, 10)
			s.Run(s.Now + 30*second)
			s.Users.FaultsOverAt = s.Now
			s.Run(s.Now + 100*second)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t, 2500)
			spec := simulation.Array(24) // uses all of the team's quota
			spec.Team = "red"
			spec.ImageGB = 0 // otherwise a forced start would be stopped while the image is still being fetched
			red := s.Users.Submit(spec, 300)
			s.eventually(60*second, "all tasks run", func() bool { return red.RunningTasks() == 24 })
			fault.seed(s, red)
			if !slices.ContainsFunc(s.Violations, func(violation string) bool { return strings.Contains(violation, fault.rule+":") }) {
				t.Errorf("no violation of %s was recorded: %v", fault.rule, s.Violations)
			}
		})
	}
}

// All controllers crash and restart while tasks run. A restarted controller that finds a task running
// does not know when the task started, and must not report a duration that is too short when it ends.
func TestNoDurationIsReportedForTasksFoundRunning(t *testing.T) {
	s := newScenario(t, 2600)
	s.addMachines(8)
	job := s.Users.Submit(simulation.Array(24), 40)
	s.eventually(60*second, "all tasks run", func() bool { return job.RunningTasks() == 24 })
	s.Run(s.Now + 30*second)
	for _, node := range s.Nodes {
		node.Crash(second / 5)
	}
	ended := 0
	for range 100 {
		s.Run(s.Now + second/5)
		for _, node := range s.Nodes {
			for _, m := range node.Core.FullSnapshot().Machines {
				for _, task := range m.Tasks {
					if task.State == protocol.TaskExited {
						ended++
					}
					if task.RanSeconds > 0 && task.RanSeconds < 39 {
						t.Fatalf("%s is reported to have run for %.1f s", task.Task, task.RanSeconds)
					}
				}
			}
		}
	}
	if ended == 0 {
		t.Fatal("no task was seen to end, so the test checked nothing")
	}
}
