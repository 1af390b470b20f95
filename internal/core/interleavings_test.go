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

// Stories in which two troubles meet; docs/meetings.md says what each goes through.

func (s *scenario) cancelSpan() time.Duration { return config.Seconds(s.Set.Site.Workers.CancelS) }

// abortUnanswered has a user ask a node to cancel a job, and hear nothing of its answer.
func (s *scenario) abortUnanswered(n *simulation.Node, j *simulation.Job) {
	s.Users.Wants(j)
	n.Ask(func(id core.RequestID) core.Command { return core.CancelJob{ID: id, JobID: j.Spec.ID} }, func(core.Reply) {})
}

// otherFollower is the controller that neither leads nor is the follower of this story.
func (s *scenario) otherFollower() *simulation.Node {
	i := slices.IndexFunc(s.Nodes, func(n *simulation.Node) bool { return !n.Core.IsLeader() && n != s.follower() })
	return s.Nodes[i]
}

// cancellationThenOutage begins a story in which the state service refuses the leader alone, another controller
// confirms a cancellation as tell has it, and then nobody is served for longer than cancel_s.
func cancellationThenOutage(t *testing.T, seed uint64, tell func(s *scenario, gone *simulation.Job)) (s *scenario, long, gone *simulation.Job) {
	s = newScenario(t, seed)
	long, gone = s.Users.Submit(simulation.Array(12), 200), s.Users.Submit(simulation.Array(6), 300)
	s.eventually(60*second, "all tasks run", func() bool { return s.Users.Running() == 18 })
	n := s.leader()
	s.State.Refuses[n.Label] = true
	tell(s, gone)
	s.eventually(5*second, "its user is told", func() bool { return gone.Told == protocol.JobCancelled })
	s.State.Outage(s.cancelSpan() + 20*second)
	return s, long, gone
}

// In the gap every cancellation that any user was told of is stopped in time, whoever wrote
// it and however the one who told it knew; the other tasks live on.
func TestCancellationSurvivesStoreOutage(t *testing.T) {
	unanswered := func(s *scenario, f func()) {
		s.State.LateShare, s.State.LateBy = 1, time.Millisecond
		f()
		s.Run(s.Now + second/2)
		s.State.LateShare = 0
	}
	for name, tell := range map[string]func(*scenario, *simulation.Job){
		"by who wrote it": func(s *scenario, j *simulation.Job) { s.Users.Abort(j) },
		"by who got no answer to its write": func(s *scenario, j *simulation.Job) {
			unanswered(s, func() { s.Users.Abort(j) })
		},
		"by another whose mirror has it": func(s *scenario, j *simulation.Job) {
			unanswered(s, func() { s.abortUnanswered(s.follower(), j) })
			s.Users.Only = s.otherFollower()
			s.Users.Abort(j)
		},
		"by a poll": func(s *scenario, j *simulation.Job) {
			unanswered(s, func() { s.abortUnanswered(s.follower(), j) })
			s.Users.Only = s.otherFollower()
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				s, long, gone := cancellationThenOutage(t, 1000+seed, tell)
				least := 12
				for range 50 {
					s.Run(s.Now + second)
					least = min(least, long.Running())
				}
				s.requireInvariants()
				if gone.Running() > 0 || least < 12 {
					t.Fatalf("%d tasks of the cancelled job run, %d of 12 of the other were left", gone.Running(), least)
				}
				s.State.Refuses, s.Users.Only = map[string]bool{}, nil
				s.eventually(200*second, "the work goes on", func() bool { return long.Told == protocol.JobDone })
			}
		})
	}
}

// A controller's first write gets no answer; its process ends and the next one is back at
// once. Carried out late, the former one's write does not take the place of the new one.
func TestLateWriteOfAFormerProcessIsVoid(t *testing.T) {
	for seed := range uint64(4) {
		s := newBusyScenario(t, 1100+seed, 10*second)
		n := s.follower()
		n.Crash(second)
		s.State.LateFrom, s.State.LateBy = 4*second, 5*second
		s.eventually(5*second, "its key is being written", func() bool {
			s.State.LateShare = 0
			if n.Alive() {
				s.State.LateShare = 1
			}
			return s.State.Late > 0
		})
		s.State.LateShare = 0
		n.Crash(second / 5)
		s.eventually(5*second, "the next process is in the map", func() bool { return s.logged("controller rejoined the shard map") })
		s.Logs = nil
		s.Run(s.Now + 12*second)
		if s.logged("controller left the shard map") {
			t.Fatalf("it lost its place\n%s", s.lastLogs(*logLines))
		}
		s.eventually(120*second, "the work is done", s.Users.AllTold)
	}
}

// Most machines die and all controllers end: the next leader, which has only the register's
// word for those machines, learns from the cloud that they are gone, and waits for none.
func TestMachinesThatDiedBeforeFailover(t *testing.T) {
	for seed := range uint64(4) {
		s := startWithMachines(t, 1200+seed, 10)
		for _, k := range s.SomeWorkers(len(s.Workers) - 1) {
			s.Cloud.Remove(k.Info.Name)
		}
		for i, n := range s.Nodes {
			n.Crash(second + time.Duration(i)*3*second)
		}
		s.Logs = nil
		s.eventually(45*second, "no machine is waited for", func() bool { return s.logged("every machine has been seen") })
		s.eventually(200*second, "the work is done", s.Users.AllTold)
	}
}

// addMachines puts up so many machines, and lets them be heard.
func (s *scenario) addMachines(n int) {
	for range n {
		s.Cloud.Add("box", "b", true)
	}
	s.Run(s.Now + 6*second)
}

// otherEnds names all ends but one: the state service, and the other controllers.
func (s *scenario) otherEnds(n *simulation.Node) []string {
	out := []string{"state"}
	for _, x := range s.Nodes {
		if x != n {
			out = append(out, x.Label)
		}
	}
	return out
}

// A leader is cut from the state service and the other controllers, its workers and users
// reach it, and jobs are cancelled through the new one: the old one answers no worker any
// more soon enough for every cancelled task to be gone in time.
func TestCancellationThroughTheNewLeader(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 1300+seed)
		s.addMachines(12) // on which each controller has some tasks
		var jobs []*simulation.Job
		for range 4 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(12), 120))
		}
		s.eventually(60*second, "all tasks run", func() bool { return s.Users.Running() == 48 })
		n := s.leader()
		s.Cloud.Out = true            // or the machines that it answers would be given up and deleted
		for _, k := range s.Workers { // nor do the others reach its machines, or a raised token would end it
			for _, x := range s.Nodes {
				if k.ReportsTo() == n && x != n {
					s.partition(70*second, x.Label, k.Info.Name)
				}
			}
		}
		s.partition(70*second, n.Label, s.otherEnds(n)...)
		s.eventually(30*second, "another leads", func() bool { return s.anotherLeads(n) })
		s.Users.Only = s.Nodes[(slices.Index(s.Nodes, n)+1)%3]
		s.Users.Abort(jobs[0])
		s.Users.Abort(jobs[1])
		s.eventually(10*second, "their users are told", toldState(protocol.JobCancelled, jobs[0], jobs[1]))
		s.Users.Only = nil
		s.Run(s.Now + s.cancelSpan() + second)
		s.Cloud.Out = false
		s.eventually(300*second, "the others are done", toldState(protocol.JobDone, jobs[2], jobs[3]))
	}
}

// A third of all transactions get no answer and are carried out 2 to 12 s later, through two
// ends of the leader, while users cancel: each write is void or harmless by then.
func TestLateWritesDuringFailovers(t *testing.T) {
	for seed := range uint64(6) {
		s := newBusyScenario(t, 1400+seed, 5*second)
		s.State.LateShare, s.State.LateFrom, s.State.LateBy = 0.35, 2*second, 12*second
		var jobs []*simulation.Job
		for range 8 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(5), 8))
			s.Run(s.Now + 2*second)
		}
		s.Users.Abort(jobs[6])
		s.Users.Abort(jobs[7])
		for range 2 {
			if n := s.currentLeader(); n != nil {
				n.Crash(second / 5)
			}
			s.Run(s.Now + 15*second)
		}
		s.State.LateShare = 0
		s.Run(s.Now + 13*second)
		s.Users.Calm = s.Now
		s.eventually(300*second, "all is over", s.Users.AllTold)
		s.Run(s.Now + 20*second)
		s.requireInvariants()
	}
}

// Jobs of three tasks that end far apart, with an end of the leader between any two of them:
// done is said after the last of them and soon, and what has completed is not started again.
func TestTasksEndingAcrossFailovers(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 1500+seed)
		var jobs []*simulation.Job
		for range 5 {
			j := s.Users.Submit(simulation.Array(3), 0)
			j.RunsS = []float64{4, 20 + float64(seed), 45}
			jobs = append(jobs, j)
		}
		s.eventually(60*second, "all tasks run", func() bool { return s.Users.Running() == 15 })
		ended := 0
		for ended < 15 { // no write says so before the leader's end
			s.State.LateShare, s.State.LateFrom, s.State.LateBy = 1, 12*second, 12*second
			s.eventually(60*second, "another task ends", func() bool { return s.Users.Done(jobs...) > ended })
			s.Run(s.Now + 11*second)
			s.State.LateShare = 0
			ended = s.Users.Done(jobs...)
			if n := s.currentLeader(); n != nil {
				n.Crash(second / 5)
			}
			s.Run(s.Now + 6*second)
		}
		s.eventually(30*second, "all are done", toldState(protocol.JobDone, jobs...))
		if s.Users.Again > 0 {
			t.Fatalf("%d completed tasks were started again", s.Users.Again)
		}
	}
}

// The leader ends while its machines hear no answer, or are not heard either, and the cloud
// does not delete them: what they run is not started elsewhere, their team gets no task more at
// its limit until theirs are surely gone, and what is cancelled meanwhile is gone in time.
func TestLeaderCrashDuringOneWayPartition(t *testing.T) {
	for _, team := range []string{"red", "blue"} { // with a limit, and without
		for seed := range uint64(6) {
			s := newScenario(t, 1600+seed)
			s.addMachines(16)
			spec := simulation.Array(24) // all that team red may use
			spec.Team = team
			s.Users.Submit(spec, 60)
			gone := s.Users.Submit(simulation.Array(16), 200)
			s.eventually(90*second, "all tasks run", func() bool { return s.Users.Running() == 40 })
			leader, deaf := s.leader(), 0
			for _, k := range s.Workers {
				if k.ReportsTo() != leader {
					continue
				}
				deaf++
				for _, n := range s.Nodes {
					link, back := simulation.Dropped, simulation.Link{}
					if seed%2 == 1 {
						link, back = simulation.Held, simulation.Held
					}
					s.Link(n.Label, k.Info.Name, link)
					s.Link(k.Info.Name, n.Label, back)
					s.After(time.Duration(4+4*seed)*second, func() { s.Mend(n.Label, k.Info.Name) })
				}
			}
			if deaf < 2 {
				t.Fatalf("the leader looks after %d machines", deaf)
			}
			s.Cloud.Out = true
			leader.Crash(second / 5)
			s.Run(s.Now + second) // what comes now waits for no machine to be seen
			more := simulation.Array(6)
			more.Team = team
			s.Users.Submit(more, 10)
			s.Users.Abort(gone)
			s.Run(s.Now + s.cancelSpan() + 10*second)
			s.Cloud.Out = false
			s.eventually(400*second, "the work is done", s.Users.AllTold)
		}
	}
}

// Copies of every report arrive once more, up to two leases late, while short tasks come and
// go: they say nothing of what is there now.
func TestStaleHeartbeatsAfterNewerOnes(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 1700+seed)
		s.addMachines(6)
		s.Copies, s.CopyBy = 1, 32*second
		for k := range 16 {
			s.Users.Submit(simulation.Array(8), float64(3+k%3*8))
			s.Run(s.Now + 3*second)
		}
		s.Copies = 0
		s.eventually(200*second, "the work is done", s.Users.AllTold)
	}
}

// All controllers end while some machines can't be reached, and the first that the next ones
// hear of these is an old report from before they had tasks: what they run is not started
// elsewhere until it is surely gone.
func TestStaleHeartbeatIsTheFirstThatAnOwnerHears(t *testing.T) {
	for seed := range uint64(6) {
		s := newScenario(t, 1750+seed)
		s.addMachines(8)
		s.Copies, s.CopyBy = 1, 40*second
		s.Run(s.Now + 10*second)
		s.Copies = 0
		j := s.Users.Submit(simulation.Array(24), 60)
		s.eventually(20*second, "all tasks run", func() bool { return j.Running() == 24 })
		for i := range 24 {
			for _, n := range s.Nodes {
				s.Cut(n.Label, j.On(i), false)
			}
		}
		for _, n := range s.Nodes {
			n.Crash(second / 5)
		}
		s.addMachines(8)
		s.eventually(200*second, "the work is done", s.Users.AllTold)
	}
}

// Every command and every answer to the machines is held up for some seconds, again and
// again, while jobs are cancelled and others take their room.
func TestDelayedCommands(t *testing.T) {
	for seed := range uint64(6) {
		s := newBusyScenario(t, 1800+seed, 8*second)
		for _, n := range s.Nodes {
			s.Link(n.Label, "workers", simulation.Link{Hold: true, Period: time.Duration(2+seed) * second})
		}
		var jobs []*simulation.Job
		for k := range 8 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(5), 30))
			s.Run(s.Now + 3*second)
			if k%2 == 1 {
				s.Users.Abort(jobs[k-1])
			}
		}
		s.leader().Crash(second)
		s.Run(s.Now + s.cancelSpan())
		for _, n := range s.Nodes {
			s.Link(n.Label, "workers", simulation.Link{})
		}
		s.eventually(300*second, "the work is done", s.Users.AllTold)
	}
}

// The service is slow, refuses the leader and then everybody for longer than cancel_s, while
// users cancel and ask: they are told in the end, and what they were told holds.
func TestStoreSlowThenRefusingThenDown(t *testing.T) {
	for seed := range uint64(4) {
		s := newBusyScenario(t, 1900+seed, 4*second)
		var jobs []*simulation.Job
		for range 4 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(5), 90))
		}
		s.Run(s.Now + 15*second)
		n := s.leader()
		s.State.Slow = 400 * time.Millisecond
		s.Users.Abort(jobs[0])
		s.Run(s.Now + second)
		s.State.Refuses[n.Label] = true
		s.Users.Abort(jobs[1])
		s.Run(s.Now + time.Duration(1+seed)*second)
		s.Users.Abort(jobs[2])
		s.Run(s.Now + second/2)
		out := s.cancelSpan() + 20*second
		s.State.Outage(out)
		s.Run(s.Now + out)
		delete(s.State.Refuses, n.Label)
		s.State.Slow = 0
		s.Users.Calm = s.Now
		s.eventually(60*second, "the users are told", toldState(protocol.JobCancelled, jobs[:3]...))
		s.eventually(300*second, "the work is done", s.Users.AllTold)
	}
}

// Controllers hand over and back, all end, and one returns, within a second or some, with one
// of the production version among them or none.
func TestFailoverAndFailback(t *testing.T) {
	for seed := range uint64(8) {
		s := newBusyScenario(t, 2000+seed, 10*second)
		back := []time.Duration{50 * time.Millisecond, second / 5, second, 4 * second}[seed%4]
		s.Nodes[seed%3].Old = seed >= 4
		for range 3 {
			if n := s.currentLeader(); n != nil {
				n.Crash(back)
			}
			s.Run(s.Now + back/2)
		}
		for _, n := range s.Nodes {
			n.Crash(20 * second) // the later start is the one that counts
		}
		s.Nodes[(seed+1)%3].Start()
		s.Users.Submit(simulation.Array(6), 10)
		s.Run(s.Now + 8*second)
		for _, n := range s.Nodes {
			if !n.Alive() {
				n.Start()
			}
		}
		s.Run(s.Now + second)
		s.awaitLeader().Crash(back)
		s.eventually(300*second, "the work is done", s.Users.AllTold)
	}
}

// awaitLeader is the leader, once there is one.
func (s *scenario) awaitLeader() *simulation.Node {
	s.eventually(30*second, "somebody leads", func() bool { return s.currentLeader() != nil })
	return s.leader()
}

// Machines whose reports arrive and that hear nothing hold up a take-over until their leases
// must have ended, not for as long as they are deaf.
func TestOneWayPartitionDoesNotDelayFailover(t *testing.T) {
	for seed := range uint64(6) {
		s := newScenario(t, 2200+seed)
		s.addMachines(16)
		j := s.Users.Submit(simulation.Array(64), 90)
		s.eventually(90*second, "all tasks run", func() bool { return j.Running() == 64 })
		s.Cloud.Out = true
		for _, k := range s.SomeWorkers(6) {
			for _, n := range s.Nodes {
				s.Link(n.Label, k.Info.Name, simulation.Dropped)
			}
		}
		for _, n := range s.Nodes {
			n.Crash(second / 5)
		}
		s.Logs = nil
		s.eventually(45*second, "no machine is waited for", func() bool { return s.logged("every machine has been seen") })
		for _, k := range s.Workers {
			for _, n := range s.Nodes {
				s.Mend(n.Label, k.Info.Name)
			}
		}
		s.Cloud.Out = false
		s.eventually(300*second, "the job is done", s.Users.AllTold)
	}
}

// A report that is not believed, here an old one, is answered with stops of what is cancelled,
// and with nothing else: no answer renews the lease of a machine and leaves such a task there.
func TestEveryHeartbeatResponseStopsCancelledTasks(t *testing.T) {
	s := newScenario(t, 2300)
	gone, stays := s.Users.Submit(simulation.Array(4), 100), s.Users.Submit(simulation.Array(4), 100)
	s.eventually(60*second, "all tasks run", func() bool { return s.Users.Running() == 8 })
	k := s.Workers[gone.On(0)]
	s.Users.Abort(gone)
	s.eventually(10*second, "it is cancelled", toldState(protocol.JobCancelled, gone))
	old := protocol.Heartbeat{Machine: k.Info.Name, Addr: k.Info.Addr, Type: k.Info.Type, Zone: k.Info.Zone, Spot: k.Info.Spot, Session: 1,
		Tasks: []protocol.TaskStatus{
			{Task: protocol.TaskName(gone.Spec.ID, 0), Attempt: 1, State: protocol.TaskRunning},
			{Task: protocol.TaskName(gone.Spec.ID, 1), Attempt: 1, State: protocol.TaskExited, ExitReason: protocol.ExitDone},
			{Task: protocol.TaskName(stays.Spec.ID, 0), Attempt: 1, State: protocol.TaskRunning},
		}}
	var answer protocol.HeartbeatResponse
	k.ReportsTo().Ask(func(id core.RequestID) core.Command { return core.Heartbeat{ID: id, Report: old} }, func(r core.Reply) {
		answer, _ = r.Body.(protocol.HeartbeatResponse)
	})
	s.Run(s.Now + second)
	stop := protocol.Command{Kind: protocol.CommandStop, Task: old.Tasks[0].Task, Attempt: 1}
	if len(answer.Commands) != 1 || answer.Commands[0] != stop {
		t.Fatalf("the answer has %+v", answer.Commands)
	}
}

// What was learnt of others is not forgotten while this node is entitled by a mirror from
// before: the rounds may end, since a controller does, just when that is over.
func TestLearntCancellationsOutliveAStaleMirror(t *testing.T) {
	for k := range 24 {
		set := simulation.Settings(3)
		set.Site.Workers.CancelS = 24 // little more than two spans and a lease
		s := &scenario{World: simulation.Build(2400, set, simulation.Types()), t: t}
		s.Run(2 * second)
		s.addMachines(12)
		gone := s.Users.Submit(simulation.Array(40), 100)
		s.eventually(60*second, "all tasks run", func() bool { return gone.Running() == 40 })
		n, third := s.leader(), s.otherFollower()
		s.State.Refuses[n.Label] = true
		s.Users.Only = s.follower()
		s.Users.Abort(gone)
		s.eventually(5*second, "its user is told", toldState(protocol.JobCancelled, gone))
		s.State.Outage(60 * second)
		s.After(3*second+time.Duration(k)*second/10, func() { third.Crash(0) })
		s.Run(s.Now + s.cancelSpan() + second)
		s.requireInvariants()
	}
}

// The checker can fail: each of its rules notices a fault that is seeded.
func TestCheckerCatchesInterleavingFaults(t *testing.T) {
	// reopened is a job that was done and that one node, with a slow way to the users, has
	// queued again; forgets it altogether if that node has lost it.
	reopened := func(s *scenario, forgets bool) {
		j := s.Users.Submit(simulation.Array(2), 3)
		s.eventually(40*second, "it is done", toldState(protocol.JobDone, j))
		s.Run(s.Now + 4*second) // its lot is gone
		if forgets {
			s.State.Forget("c/job/" + j.Spec.ID)
		} else {
			s.State.Reopen(j.Spec)
		}
		n := s.follower()
		n.Crash(second / 5)
		s.Run(s.Now + 5*second)
		s.Link(n.Label, "users", simulation.Link{Delay: second})
		s.Users.Look(j) // the others' answers come first
		s.Run(s.Now + 3*second)
	}
	for name, fault := range map[string]struct {
		rule string
		seed func(s *scenario, red *simulation.Job)
	}{
		"nobody answers": {"forgotten", func(s *scenario, red *simulation.Job) {
			s.Users.Calm = s.Now
			for _, n := range s.Nodes {
				s.Cut(n.Label, "users", false)
			}
			s.Run(s.Now + 90*second)
		}},
		"a start long after": {"ran_cancelled", func(s *scenario, red *simulation.Job) {
			s.Users.Abort(red)
			s.Run(s.Now + s.cancelSpan() + 10*second)
			s.Workers[s.Cloud.Add("box", "b", true)].Force(protocol.TaskName(red.Spec.ID, 3), 99)
			s.Run(s.Now + 5*second)
		}},
		"a task goes on as its machine does": {"ran_cancelled", func(s *scenario, red *simulation.Job) {
			s.Users.Abort(red)
			s.Run(s.Now + s.cancelSpan() - 5*second)
			k := s.Workers[s.Cloud.Add("box", "b", true)]
			k.Force(protocol.TaskName(red.Spec.ID, 3), 99)
			s.Run(s.Now + 2*second/10)
			k.Hung = true // before it could be stopped, and beyond cancel_s
			s.Run(s.Now + 10*second)
			k.Hung = false
			s.Run(s.Now + second)
		}},
		"a start after the word": {"late starts", func(s *scenario, red *simulation.Job) {
			s.Users.Abort(red)
			s.eventually(10*second, "it is cancelled", toldState(protocol.JobCancelled, red))
			s.Workers[s.Cloud.Add("box", "b", true)].Force(protocol.TaskName(red.Spec.ID, 3), 99)
			if s.Users.LateStarts == 1 {
				s.Broken = append(s.Broken, "late starts: one")
			}
		}},
		"past the limit": {"quota", func(s *scenario, red *simulation.Job) {
			s.addMachines(8)
			more := simulation.Array(12)
			more.Team = "red"
			j := s.Users.Submit(more, 60)
			for i, k := range s.SomeWorkers(8) {
				k.Force(protocol.TaskName(j.Spec.ID, i), 99)
			}
			s.Run(s.Now + 5*second)
		}},
		"an older word that comes last": {"went_back", func(s *scenario, red *simulation.Job) { reopened(s, false) }},
		"unknown at one node":           {"forgotten", func(s *scenario, red *simulation.Job) { reopened(s, true) }},
		"accepted though it can't run": {"wrongly_accepted", func(s *scenario, red *simulation.Job) {
			s.Users.Never(simulation.Array(1))
			s.Run(s.Now + second)
		}},
		"room, and a limit that only the checker lifts": {"left_waiting", func(s *scenario, red *simulation.Job) {
			s.Set.Site.Teams = []config.Team{{Name: "red", CPUsMax: 100}}
			most := simulation.Array(6) // of which each leaves a CPU of its machine
			most.CPUs = 3
			s.Users.Submit(most, 300)
			more := simulation.Array(2)
			more.Team = "red"
			s.Users.Submit(more, 10)
			s.Run(s.Now + 30*second)
			s.Users.Calm = s.Now
			s.Run(s.Now + 100*second)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t, 2500)
			spec := simulation.Array(24) // all that the team may use
			spec.Team = "red"
			spec.ImageGB = 0 // or it would be stopped before it has its image
			red := s.Users.Submit(spec, 300)
			s.eventually(60*second, "all tasks run", func() bool { return red.Running() == 24 })
			fault.seed(s, red)
			if !slices.ContainsFunc(s.Broken, func(b string) bool { return strings.Contains(b, fault.rule+":") }) {
				t.Errorf("%s is not noticed: %v", fault.rule, s.Broken)
			}
		})
	}
}

// A task that an owner first sees under way says nothing of its duration when it ends.
func TestTasksFoundRunningAreNotTimed(t *testing.T) {
	s := newScenario(t, 2600)
	s.addMachines(8)
	j := s.Users.Submit(simulation.Array(24), 40)
	s.eventually(60*second, "all tasks run", func() bool { return j.Running() == 24 })
	s.Run(s.Now + 30*second)
	for _, n := range s.Nodes {
		n.Crash(second / 5)
	}
	ended := 0
	for range 100 {
		s.Run(s.Now + second/5)
		for _, n := range s.Nodes {
			for _, m := range n.Core.FullSnapshot().Machines {
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
