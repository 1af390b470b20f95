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

// Scenarios in which two faults meet; docs/fault-interleavings.md says what each goes through.

// cancelTimeout is the time in which the tasks of a cancelled job must have ended.
func (s *scenario) cancelTimeout() time.Duration {
	return config.Seconds(s.Settings.Site.Workers.CancelS)
}

// cancelIgnoringReply has a user ask a node to cancel a job, and hear nothing of its answer.
func (s *scenario) cancelIgnoringReply(node *simulation.Node, job *simulation.Job) {
	s.Users.NoteCancelRequested(job)
	node.Request(func(id core.RequestID) core.Command { return core.CancelJob{ID: id, JobID: job.Spec.ID} }, func(core.Reply) {})
}

// otherFollower is the controller that neither leads nor is the follower of this scenario.
func (s *scenario) otherFollower() *simulation.Node {
	i := slices.IndexFunc(s.Nodes, func(node *simulation.Node) bool { return !node.Core.IsLeader() && node != s.follower() })
	return s.Nodes[i]
}

// cancellationThenOutage begins a scenario in which the state service refuses the leader alone,
// a user is told that a job is cancelled, in the way that confirm brings about, and then no
// controller is served for longer than cancel_s.
func cancellationThenOutage(t *testing.T, seed uint64, confirm func(s *scenario, gone *simulation.Job)) (s *scenario, long, gone *simulation.Job) {
	s = newScenario(t, seed)
	long, gone = s.Users.Submit(simulation.Array(12), 200), s.Users.Submit(simulation.Array(6), 300)
	s.eventually(60*second, "all tasks run", func() bool { return s.Users.RunningTasks() == 18 })
	leader := s.leader()
	s.Store.RefusedNodes[leader.Label] = true
	confirm(s, gone)
	s.eventually(5*second, "its user is told", func() bool { return gone.LastState == protocol.JobCancelled })
	s.Store.Outage(s.cancelTimeout() + 20*second)
	return s, long, gone
}

// Through an outage of the state service the tasks of every job that any user was told is
// cancelled are stopped in time, whoever wrote the cancellation and however the one who confirmed
// it knew; the other tasks run on.
func TestCancellationSurvivesStoreOutage(t *testing.T) {
	unanswered := func(s *scenario, f func()) {
		s.Store.DelayedCommitShare, s.Store.MaxCommitDelay = 1, time.Millisecond
		f()
		s.Run(s.Now + second/2)
		s.Store.DelayedCommitShare = 0
	}
	for name, confirm := range map[string]func(*scenario, *simulation.Job){
		"by who wrote it": func(s *scenario, job *simulation.Job) { s.Users.Cancel(job) },
		"by who got no answer to its write": func(s *scenario, job *simulation.Job) {
			unanswered(s, func() { s.Users.Cancel(job) })
		},
		"by another whose mirror holds it": func(s *scenario, job *simulation.Job) {
			unanswered(s, func() { s.cancelIgnoringReply(s.follower(), job) })
			s.Users.OnlyNode = s.otherFollower()
			s.Users.Cancel(job)
		},
		"by a poll": func(s *scenario, job *simulation.Job) {
			unanswered(s, func() { s.cancelIgnoringReply(s.follower(), job) })
			s.Users.OnlyNode = s.otherFollower()
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				s, long, gone := cancellationThenOutage(t, 1000+seed, confirm)
				leastRunning := 12
				for range 50 {
					s.Run(s.Now + second)
					leastRunning = min(leastRunning, long.RunningTasks())
				}
				s.requireInvariants()
				if gone.RunningTasks() > 0 || leastRunning < 12 {
					t.Fatalf("%d tasks of the cancelled job run, %d of 12 of the other were left", gone.RunningTasks(), leastRunning)
				}
				s.Store.RefusedNodes, s.Users.OnlyNode = map[string]bool{}, nil
				s.eventually(200*second, "the work goes on", func() bool { return long.LastState == protocol.JobDone })
			}
		})
	}
}

// A controller's first write gets no answer; its process crashes and the next one is back at
// once. Applied late, the former process's write does not displace the new one.
func TestLateWriteOfPreviousProcessHasNoEffect(t *testing.T) {
	for seed := range uint64(4) {
		s := newBusyScenario(t, 1100+seed, 10*second)
		node := s.follower()
		node.Crash(second)
		s.Store.MinCommitDelay, s.Store.MaxCommitDelay = 4*second, 5*second
		s.eventually(5*second, "its key is being written", func() bool {
			s.Store.DelayedCommitShare = 0
			if node.Alive() {
				s.Store.DelayedCommitShare = 1
			}
			return s.Store.DelayedCommits > 0
		})
		s.Store.DelayedCommitShare = 0
		node.Crash(second / 5)
		s.eventually(5*second, "the next process is in the map", func() bool { return s.logged("controller rejoined the shard map") })
		s.Logs = nil
		s.Run(s.Now + 12*second)
		if s.logged("controller left the shard map") {
			t.Fatalf("it lost its place\n%s", s.lastLogs(*logLines))
		}
		s.eventually(120*second, "the work is done", s.Users.AllFinal)
	}
}

// Most machines die and all controllers crash: the next leader, which knows of those machines
// from the registry alone, learns from the cloud that they are gone, and waits for none.
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
		s.eventually(45*second, "no machine is waited for", func() bool { return s.logged("every machine has been seen") })
		s.eventually(200*second, "the work is done", s.Users.AllFinal)
	}
}

// addMachines adds machines, and runs until they are heard.
func (s *scenario) addMachines(count int) {
	for range count {
		s.Cloud.AddRunning("box", "b", true)
	}
	s.Run(s.Now + 6*second)
}

// otherEndpoints are the labels of the state service and of all controllers but one.
func (s *scenario) otherEndpoints(except *simulation.Node) []string {
	out := []string{"state"}
	for _, node := range s.Nodes {
		if node != except {
			out = append(out, node.Label)
		}
	}
	return out
}

// A leader is cut from the state service and the other controllers while its workers and users
// reach it, and jobs are cancelled through the new leader: the old one ceases to answer workers
// soon enough for every cancelled task to be gone in time.
func TestCancellationThroughNewLeaderStopsTasksInTime(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 1300+seed)
		s.addMachines(12) // on which each controller has some tasks
		var jobs []*simulation.Job
		for range 4 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(12), 120))
		}
		s.eventually(60*second, "all tasks run", func() bool { return s.Users.RunningTasks() == 48 })
		leader := s.leader()
		s.Cloud.Down = true                // or the machines that it answers would be given up and deleted
		for _, worker := range s.Workers { // nor do the others reach its machines, or a raised token would end it
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
		s.eventually(10*second, "their users are told", lastStateIs(protocol.JobCancelled, jobs[0], jobs[1]))
		s.Users.OnlyNode = nil
		s.Run(s.Now + s.cancelTimeout() + second)
		s.Cloud.Down = false
		s.eventually(300*second, "the others are done", lastStateIs(protocol.JobDone, jobs[2], jobs[3]))
	}
}

// A third of all transactions get no answer and are applied 2 to 12 s later, through two crashes
// of the leader, while users cancel: each write is void or harmless by then.
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
		s.eventually(300*second, "all is over", s.Users.AllFinal)
		s.Run(s.Now + 20*second)
		s.requireInvariants()
	}
}

// Jobs of three tasks that end far apart, with a crash of the leader between any two of them: a
// job is done soon after the last of them, and what has completed is not started again.
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
		for ended < 15 { // no write records it before the leader crashes
			s.Store.DelayedCommitShare, s.Store.MinCommitDelay, s.Store.MaxCommitDelay = 1, 12*second, 12*second
			s.eventually(60*second, "another task ends", func() bool { return s.Users.CompletedTasks(jobs...) > ended })
			s.Run(s.Now + 11*second)
			s.Store.DelayedCommitShare = 0
			ended = s.Users.CompletedTasks(jobs...)
			if leader := s.currentLeader(); leader != nil {
				leader.Crash(second / 5)
			}
			s.Run(s.Now + 6*second)
		}
		s.eventually(30*second, "all are done", lastStateIs(protocol.JobDone, jobs...))
		if s.Users.RepeatedStarts > 0 {
			t.Fatalf("%d completed tasks were started again", s.Users.RepeatedStarts)
		}
	}
}

// The leader crashes while its machines hear no answer, or are not heard either, and the cloud
// does not delete them: what they run is not started elsewhere, their team gets no further task
// at its limit until theirs are surely gone, and what is cancelled meanwhile is gone in time.
func TestLeaderCrashDuringOneWayPartitionKeepsInvariants(t *testing.T) {
	for _, team := range []string{"red", "blue"} { // with a limit, and without
		for seed := range uint64(6) {
			s := newScenario(t, 1600+seed)
			s.addMachines(16)
			spec := simulation.Array(24) // all that team red may use
			spec.Team = team
			s.Users.Submit(spec, 60)
			gone := s.Users.Submit(simulation.Array(16), 200)
			s.eventually(90*second, "all tasks run", func() bool { return s.Users.RunningTasks() == 40 })
			leader, unreachable := s.leader(), 0
			for _, worker := range s.Workers {
				if worker.Controller() != leader {
					continue
				}
				unreachable++
				for _, node := range s.Nodes {
					link, back := simulation.Dropped, simulation.Link{}
					if seed%2 == 1 {
						link, back = simulation.Held, simulation.Held
					}
					s.SetLink(node.Label, worker.Info.Name, link)
					s.SetLink(worker.Info.Name, node.Label, back)
					s.After(time.Duration(4+4*seed)*second, func() { s.Heal(node.Label, worker.Info.Name) })
				}
			}
			if unreachable < 2 {
				t.Fatalf("the leader owns %d machines", unreachable)
			}
			s.Cloud.Down = true
			leader.Crash(second / 5)
			s.Run(s.Now + second) // what comes now waits for no machine to be seen
			more := simulation.Array(6)
			more.Team = team
			s.Users.Submit(more, 10)
			s.Users.Cancel(gone)
			s.Run(s.Now + s.cancelTimeout() + 10*second)
			s.Cloud.Down = false
			s.eventually(400*second, "the work is done", s.Users.AllFinal)
		}
	}
}

// A copy of every heartbeat arrives up to two leases late, while short tasks come and go: it
// tells nothing of the machine's present state.
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
		s.eventually(200*second, "the work is done", s.Users.AllFinal)
	}
}

// All controllers crash while some machines can't be reached, and the first that the next ones
// hear of these is a stale heartbeat from before they had tasks: what they run is not started
// elsewhere until it is surely gone.
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
		s.eventually(200*second, "the work is done", s.Users.AllFinal)
	}
}

// Every command and every answer to the machines is delayed by some seconds, again and again,
// while jobs are cancelled and others take their capacity.
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
		s.eventually(300*second, "the work is done", s.Users.AllFinal)
	}
}

// The state service is slow, refuses the leader and then everybody for longer than cancel_s,
// while users cancel and query: they are answered in the end, and what they were told holds.
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
		out := s.cancelTimeout() + 20*second
		s.Store.Outage(out)
		s.Run(s.Now + out)
		delete(s.Store.RefusedNodes, leader.Label)
		s.Store.ResponseDelay = 0
		s.Users.FaultsOverAt = s.Now
		s.eventually(60*second, "the users are told", lastStateIs(protocol.JobCancelled, jobs[:3]...))
		s.eventually(300*second, "the work is done", s.Users.AllFinal)
	}
}

// Leaders fail over and back, all controllers crash, and one returns, within a second or some,
// with one of the production version among them or none.
func TestWorkCompletesAcrossFailoverAndFailback(t *testing.T) {
	for seed := range uint64(8) {
		s := newBusyScenario(t, 2000+seed, 10*second)
		back := []time.Duration{50 * time.Millisecond, second / 5, second, 4 * second}[seed%4]
		s.Nodes[seed%3].PreviousVersion = seed >= 4
		for range 3 {
			if leader := s.currentLeader(); leader != nil {
				leader.Crash(back)
			}
			s.Run(s.Now + back/2)
		}
		for _, node := range s.Nodes {
			node.Crash(20 * second) // the later start is the one that counts
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
		s.awaitLeader().Crash(back)
		s.eventually(300*second, "the work is done", s.Users.AllFinal)
	}
}

// awaitLeader runs until there is a leader, and returns it.
func (s *scenario) awaitLeader() *simulation.Node {
	s.eventually(30*second, "somebody leads", func() bool { return s.currentLeader() != nil })
	return s.leader()
}

// Machines whose heartbeats arrive and that hear nothing delay a failover until their leases must
// have expired, not for as long as the one-way partition lasts.
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
		s.eventually(45*second, "no machine is waited for", func() bool { return s.logged("every machine has been seen") })
		for _, worker := range s.Workers {
			for _, node := range s.Nodes {
				s.Heal(node.Label, worker.Info.Name)
			}
		}
		s.Cloud.Down = false
		s.eventually(300*second, "the job is done", s.Users.AllFinal)
	}
}

// A heartbeat that is not believed, here a stale one, is answered with stops of what is cancelled,
// and with nothing else: no answer renews the lease of a machine and leaves such a task there.
func TestEveryHeartbeatResponseStopsCancelledTasks(t *testing.T) {
	s := newScenario(t, 2300)
	gone, stays := s.Users.Submit(simulation.Array(4), 100), s.Users.Submit(simulation.Array(4), 100)
	s.eventually(60*second, "all tasks run", func() bool { return s.Users.RunningTasks() == 8 })
	worker := s.Workers[gone.MachineOf(0)]
	s.Users.Cancel(gone)
	s.eventually(10*second, "it is cancelled", lastStateIs(protocol.JobCancelled, gone))
	old := protocol.Heartbeat{Machine: worker.Info.Name, Addr: worker.Info.Addr, Type: worker.Info.Type, Zone: worker.Info.Zone, Spot: worker.Info.Spot, Session: 1,
		Tasks: []protocol.TaskStatus{
			{Task: protocol.TaskName(gone.Spec.ID, 0), Attempt: 1, State: protocol.TaskRunning},
			{Task: protocol.TaskName(gone.Spec.ID, 1), Attempt: 1, State: protocol.TaskExited, ExitReason: protocol.ExitDone},
			{Task: protocol.TaskName(stays.Spec.ID, 0), Attempt: 1, State: protocol.TaskRunning},
		}}
	var answer protocol.HeartbeatResponse
	worker.Controller().Request(func(id core.RequestID) core.Command { return core.Heartbeat{ID: id, Report: old} }, func(r core.Reply) {
		answer, _ = r.Body.(protocol.HeartbeatResponse)
	})
	s.Run(s.Now + second)
	stop := protocol.Command{Kind: protocol.CommandStop, Task: old.Tasks[0].Task, Attempt: 1}
	if len(answer.Commands) != 1 || answer.Commands[0] != stop {
		t.Fatalf("the answer has %+v", answer.Commands)
	}
}

// Cancellations that were learnt in the degraded mode are not forgotten while this node may serve
// by a mirror from before: the rounds may end, by a crash of a controller, just when that is over.
func TestLearntCancellationsOutliveStaleMirror(t *testing.T) {
	for tenths := range 24 {
		set := simulation.Settings(3)
		set.Site.Workers.CancelS = 24 // little more than two times the staleness limit and a lease
		s := &scenario{Cluster: simulation.NewWithSettings(2400, set, simulation.MachineTypes()), t: t}
		s.Run(2 * second)
		s.addMachines(12)
		gone := s.Users.Submit(simulation.Array(40), 100)
		s.eventually(60*second, "all tasks run", func() bool { return gone.RunningTasks() == 40 })
		leader, third := s.leader(), s.otherFollower()
		s.Store.RefusedNodes[leader.Label] = true
		s.Users.OnlyNode = s.follower()
		s.Users.Cancel(gone)
		s.eventually(5*second, "its user is told", lastStateIs(protocol.JobCancelled, gone))
		s.Store.Outage(60 * second)
		s.After(3*second+time.Duration(tenths)*second/10, func() { third.Crash(0) })
		s.Run(s.Now + s.cancelTimeout() + second)
		s.requireInvariants()
	}
}

// The invariant checker can fail: each of its rules notices a seeded violation.
func TestCheckerDetectsSeededViolations(t *testing.T) {
	// reopened brings about that one node, with a slow link to the users, holds a job that was
	// done as queued again, or does not hold it any more.
	reopened := func(s *scenario, forgets bool) {
		job := s.Users.Submit(simulation.Array(2), 3)
		s.eventually(40*second, "it is done", lastStateIs(protocol.JobDone, job))
		s.Run(s.Now + 4*second) // its admission batch is gone
		if forgets {
			s.Store.DeleteKey("c/job/" + job.Spec.ID)
		} else {
			s.Store.ReopenJob(job.Spec)
		}
		node := s.follower()
		node.Crash(second / 5)
		s.Run(s.Now + 5*second)
		s.SetLink(node.Label, "users", simulation.Link{Delay: second})
		s.Users.ReadEverywhere(job) // the others' answers come first
		s.Run(s.Now + 3*second)
	}
	for name, fault := range map[string]struct {
		rule string
		seed func(s *scenario, red *simulation.Job)
	}{
		"nobody answers": {"forgotten", func(s *scenario, red *simulation.Job) {
			s.Users.FaultsOverAt = s.Now
			for _, node := range s.Nodes {
				s.Partition(node.Label, "users", false)
			}
			s.Run(s.Now + 90*second)
		}},
		"a start long after": {"ran_cancelled", func(s *scenario, red *simulation.Job) {
			s.Users.Cancel(red)
			s.Run(s.Now + s.cancelTimeout() + 10*second)
			s.Workers[s.Cloud.AddRunning("box", "b", true)].ForceStart(protocol.TaskName(red.Spec.ID, 3), 99)
			s.Run(s.Now + 5*second)
		}},
		"a task goes on as its machine does": {"ran_cancelled", func(s *scenario, red *simulation.Job) {
			s.Users.Cancel(red)
			s.Run(s.Now + s.cancelTimeout() - 5*second)
			worker := s.Workers[s.Cloud.AddRunning("box", "b", true)]
			worker.ForceStart(protocol.TaskName(red.Spec.ID, 3), 99)
			s.Run(s.Now + 2*second/10)
			worker.Hung = true // before it could be stopped, and beyond cancel_s
			s.Run(s.Now + 10*second)
			worker.Hung = false
			s.Run(s.Now + second)
		}},
		"a start after the word": {"late starts", func(s *scenario, red *simulation.Job) {
			s.Users.Cancel(red)
			s.eventually(10*second, "it is cancelled", lastStateIs(protocol.JobCancelled, red))
			s.Workers[s.Cloud.AddRunning("box", "b", true)].ForceStart(protocol.TaskName(red.Spec.ID, 3), 99)
			if s.Users.StartsAfterCancel == 1 {
				s.Violations = append(s.Violations, "late starts: one")
			}
		}},
		"past the limit": {"quota", func(s *scenario, red *simulation.Job) {
			s.addMachines(8)
			more := simulation.Array(12)
			more.Team = "red"
			job := s.Users.Submit(more, 60)
			for i, worker := range s.RandomWorkers(8) {
				worker.ForceStart(protocol.TaskName(job.Spec.ID, i), 99)
			}
			s.Run(s.Now + 5*second)
		}},
		"an older word that comes last": {"went_back", func(s *scenario, red *simulation.Job) { reopened(s, false) }},
		"unknown at one node":           {"forgotten", func(s *scenario, red *simulation.Job) { reopened(s, true) }},
		"accepted though it can't run": {"wrongly_accepted", func(s *scenario, red *simulation.Job) {
			s.Users.SubmitInvalid(simulation.Array(1))
			s.Run(s.Now + second)
		}},
		"room, and a limit that only the checker lifts": {"left_waiting", func(s *scenario, red *simulation.Job) {
			s.Settings.Site.Teams = []config.Team{{Name: "red", CPUsMax: 100}}
			most := simulation.Array(6) // of which each leaves a CPU of its machine
			most.CPUs = 3
			s.Users.Submit(most, 300)
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
			spec := simulation.Array(24) // all that the team may use
			spec.Team = "red"
			spec.ImageGB = 0 // or it would be stopped before it has its image
			red := s.Users.Submit(spec, 300)
			s.eventually(60*second, "all tasks run", func() bool { return red.RunningTasks() == 24 })
			fault.seed(s, red)
			if !slices.ContainsFunc(s.Violations, func(b string) bool { return strings.Contains(b, fault.rule+":") }) {
				t.Errorf("%s is not noticed: %v", fault.rule, s.Violations)
			}
		})
	}
}

// The duration of a task that its owner found running is not known when it ends.
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
						t.Fatalf("%s is said to have run for %.1f s", task.Task, task.RanSeconds)
					}
				}
			}
		}
	}
	if ended == 0 {
		t.Fatal("no task was seen to end: nothing was shown")
	}
}
