package core_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

const second = time.Second

// seeds is raised by hand to look for rarer interleavings:
// go test ./internal/core -run FaultsOverlap -seeds 1000
var (
	seeds     = flag.Uint64("seeds", 80, "how many overlapping days are drawn")
	firstSeed = flag.Uint64("seed", 0, "the first of them")
	logLines  = flag.Int("loglines", 40, "how many log lines a story that fails shows")
)

func init() { flag.BoolVar(&simulation.Debug, "debuglogs", false, "stories log at level debug") }

// scenario runs a world and fails on any broken rule.
type scenario struct {
	*simulation.World
	t testReporter
}

// testReporter is what a story needs of a test, a benchmark or a property.
type testReporter interface {
	Helper()
	Logf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

func newScenario(t testing.TB, seed uint64) *scenario {
	t.Helper()
	s := &scenario{World: simulation.New(seed, 3), t: t}
	if !s.Until(20*second, func() bool {
		for _, n := range s.Nodes {
			if !n.Ready {
				return false
			}
		}
		return true
	}) {
		t.Fatal("the nodes do not become ready")
	}
	return s
}

// newBusyScenario begins a story in which three jobs have been under way for a while.
func newBusyScenario(t *testing.T, seed uint64, d time.Duration) *scenario {
	t.Helper()
	s := newScenario(t, seed)
	for range 3 {
		s.Users.Submit(simulation.Array(12), 15)
	}
	s.Run(s.Now + d)
	return s
}

func (s *scenario) requireInvariants() {
	s.t.Helper()
	if len(s.Broken) > 0 {
		s.t.Fatalf("%d broken rules:\n%s\n%s", len(s.Broken), strings.Join(s.Broken[:min(len(s.Broken), 12)], "\n"), s.lastLogs(5**logLines))
	}
}

// eventually lets time pass until cond holds and fails if it does not in time.
func (s *scenario) eventually(d time.Duration, what string, cond func() bool) {
	s.t.Helper()
	if !s.Until(s.Now+d, cond) {
		s.requireInvariants()
		s.t.Fatalf("not within %v: %s\n%s", d, what, s.lastLogs(*logLines))
	}
	s.requireInvariants()
}

func (s *scenario) lastLogs(n int) string {
	return strings.Join(s.Logs[max(0, len(s.Logs)-n):], "\n")
}

// partition cuts one end from others for a while; packets are kept.
func (s *scenario) partition(d time.Duration, end string, others ...string) {
	for _, o := range others {
		s.Cut(end, o, true)
	}
	s.After(d, func() {
		for _, o := range others {
			s.Mend(end, o)
		}
	})
}

// logged reports whether a node has logged a line that holds this.
func (s *scenario) logged(what string) bool {
	return slices.ContainsFunc(s.Logs, func(l string) bool { return strings.Contains(l, what) })
}

// currentLeader is the node that leads, nil if none does.
func (s *scenario) currentLeader() *simulation.Node {
	for _, n := range s.Nodes {
		if n.Alive() && n.Core.IsLeader() {
			return n
		}
	}
	return nil
}

func (s *scenario) leader() *simulation.Node {
	n := s.currentLeader()
	if n == nil {
		s.t.Fatal("no leader")
	}
	return n
}

func (s *scenario) follower() *simulation.Node {
	for _, n := range s.Nodes {
		if n.Alive() && !n.Core.IsLeader() {
			return n
		}
	}
	s.t.Fatal("no follower")
	return nil
}

func TestJobsCompleteAndIdleMachinesAreReturned(t *testing.T) {
	s := newScenario(t, 1)
	for range 4 {
		s.Users.Submit(simulation.Array(10), 8)
	}
	s.eventually(120*second, "every job is done and its user knows", s.Users.AllTold)
	// Idle machines go back in the end.
	s.eventually(600*second, "idle machines are returned", func() bool { return s.Cloud.Deleted == s.Cloud.Hired })
}

// The checker itself: a story in which a rule is broken must be caught, or every
// other story asserts nothing.
func TestInvariantCheckerCatchesDoubleRun(t *testing.T) {
	s := newScenario(t, 2)
	j := s.Users.Submit(simulation.Array(1), 60)
	s.eventually(60*second, "the task runs", func() bool { return j.Running() == 1 })
	other := s.Cloud.Add("box", "b", false)
	s.Workers[other].Force(protocol.TaskName(j.Spec.ID, 0), 99)
	s.Run(s.Now + 5*second)
	if len(s.Broken) == 0 || !strings.Contains(s.Broken[0], "ran_twice") {
		t.Fatalf("the checker saw %q", s.Broken)
	}
}

func TestLeaderCrash(t *testing.T) {
	s := newScenario(t, 3)
	a, b := s.Users.Submit(simulation.Array(12), 20), s.Users.Submit(simulation.Array(12), 20)
	s.eventually(60*second, "tasks run", func() bool { return a.Running()+b.Running() > 6 })
	s.leader().Crash(8 * second)
	s.eventually(120*second, "the work goes on", s.Users.AllTold)
}

func TestEveryControllerCrashes(t *testing.T) {
	s := newScenario(t, 4)
	for range 3 {
		s.Users.Submit(simulation.Array(12), 15)
	}
	s.Run(s.Now + 25*second)
	for _, n := range s.Nodes {
		n.Crash(5 * second)
	}
	s.eventually(180*second, "nothing accepted is lost", s.Users.AllTold)
}

func TestRollingRestart(t *testing.T) {
	s := newScenario(t, 5)
	for range 4 {
		s.Users.Submit(simulation.Array(15), 12)
	}
	for i, n := range s.Nodes {
		s.After(time.Duration(10+15*i)*second, func() { n.Crash(4 * second) })
	}
	s.eventually(200*second, "the work goes on", s.Users.AllTold)
}

// An outage longer than the workers' lease: nodes must fall silent, workers drop
// their tasks, and none of them may run twice afterwards.
func TestStoreOutageBeyondWorkerLease(t *testing.T) {
	s := newScenario(t, 6)
	j := s.Users.Submit(simulation.Array(16), 40)
	s.eventually(60*second, "tasks run", func() bool { return j.Running() > 8 })
	s.State.Outage(40 * second)
	s.Run(s.Now + 39*second)
	s.requireInvariants()
	s.eventually(180*second, "the work is done again", s.Users.AllTold)
}

// A node refused by the state service alone keeps hearing its workers; it must
// stop answering them before the others give their tasks away.
func TestControllerRefusedByStore(t *testing.T) {
	for seed := range uint64(4) {
		s := newBusyScenario(t, 10+seed, 20*second)
		n := s.Nodes[seed%3]
		s.State.Refuses[n.Label] = true
		s.After(40*second, func() { delete(s.State.Refuses, n.Label) })
		s.eventually(240*second, "the work goes on", s.Users.AllTold)
	}
}

// A cut that keeps packets delivers old commands and reports when it ends.
func TestPartitionDeliversStalePackets(t *testing.T) {
	for seed := range uint64(4) {
		s := newBusyScenario(t, 20+seed, 18*second)
		s.partition(30*second, s.Nodes[seed%3].Label, "state", s.Nodes[(seed+1)%3].Label, s.Nodes[(seed+2)%3].Label)
		s.eventually(240*second, "the work goes on", s.Users.AllTold)
	}
}

// A machine behind a cut keeps running its tasks until its lease ends; they are
// started elsewhere only afterwards.
func TestPartitionedMachineKeepsTasksUntilLeaseExpiry(t *testing.T) {
	s := newScenario(t, 30)
	j := s.Users.Submit(simulation.Array(8), 50)
	s.eventually(60*second, "every task runs", func() bool { return j.Running() == 8 })
	s.partition(60*second, j.On(0), s.Nodes[0].Label, s.Nodes[1].Label, s.Nodes[2].Label)
	s.eventually(240*second, "its tasks run elsewhere", s.Users.AllTold)
}

// A worker that hangs and resumes within its lease still has its tasks.
func TestHungMachineResumes(t *testing.T) {
	s := newScenario(t, 31)
	j := s.Users.Submit(simulation.Array(8), 30)
	s.eventually(60*second, "every task runs", func() bool { return j.Running() == 8 })
	k := s.Workers[j.On(3)]
	k.Hung = true
	s.leader().Crash(3 * second)
	s.After(12*second, func() { k.Hung = false })
	s.eventually(200*second, "the job is done", s.Users.AllTold)
}

// A node that stands still and wakes has full queues, old timers and an old answer
// on its tongue; nothing of it may be acted on by anybody.
func TestPausedControllerResumes(t *testing.T) {
	for seed := range uint64(6) {
		s := newBusyScenario(t, 80+seed, 15*second)
		n := s.leader()
		if seed%2 == 1 {
			n = s.follower()
		}
		d := time.Duration(5+15*seed) * second
		n.StandStill(d)
		s.After(d/2, func() { s.Users.Submit(simulation.Array(6), 10) })
		s.eventually(300*second, "the work goes on", s.Users.AllTold)
	}
}

// Users who ask many times as often, and a wave of small jobs, must not use up the
// state service's requests: renewals and submissions need them.
func TestPollsDoNotExhaustStoreRateLimit(t *testing.T) {
	s := newScenario(t, 90)
	j := s.Users.Submit(simulation.Array(4), 60)
	s.eventually(30*second, "the job is accepted", func() bool { return j.Accepted })
	s.Run(s.Now + 5*second)
	s.State.Refused = 0
	asked, answered := 0, 0
	for i := range 3000 {
		s.At(s.Now+time.Duration(i)*5*time.Millisecond, func() {
			n := s.Nodes[i%3]
			asked++
			n.Ask(func(id core.RequestID) core.Command { return core.QueryJob{ID: id, JobID: j.Spec.ID} }, func(r core.Reply) {
				if r.Status == 200 {
					answered++
				}
			})
		})
	}
	for i := range 300 {
		s.At(s.Now+time.Duration(i)*50*time.Millisecond, func() {
			small := simulation.Array(1)
			small.CPUs = 0.25
			s.Users.Submit(small, 8)
		})
	}
	s.Run(s.Now + 16*second)
	if s.State.Refused > 0 || answered < asked {
		t.Fatalf("%d requests were refused, %d of %d polls answered", s.State.Refused, answered, asked)
	}
	s.eventually(200*second, "every job is done", s.Users.AllTold)
}

// Transactions without an answer that are applied late must not accept a job
// twice, lose one or undo a cancellation.
func TestLateTransactionsAndLostResponses(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 40+seed)
		s.State.LateShare, s.State.LateBy = 0.15, 6*second
		s.Loss = 0.03
		jobs := []*simulation.Job{}
		for range 6 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(6), 8))
		}
		s.After(12*second, func() { s.Users.Abort(jobs[0]); s.Users.Abort(jobs[1]) })
		s.eventually(400*second, "every job is over", s.Users.AllTold)
		for _, j := range jobs {
			s.Users.Resubmit(j) // however late, the answer is its state
		}
		s.Run(s.Now + 20*second)
		s.requireInvariants()
	}
}

func TestCancellationStopsEveryTask(t *testing.T) {
	s := newScenario(t, 50)
	spec := simulation.Array(20)
	spec.CheckpointS, spec.SaveS = 5, 4
	j := s.Users.Submit(spec, 300)
	s.eventually(60*second, "tasks run", func() bool { return j.Running() > 5 })
	s.Users.Abort(j)
	s.leader().Crash(5 * second)
	s.eventually(40*second, "no task is left", func() bool { return j.Told == protocol.JobCancelled && j.Running() == 0 })
	s.Run(s.Now + 60*second)
	s.requireInvariants()
	if !strings.Contains(j.Answer.Reason, "cancelled") {
		t.Fatalf("the reason is %q", j.Answer.Reason)
	}
}

// Quota holds across a take-over: machines that have not been seen count as
// full of the team's tasks.
func TestQuotaHoldsAcrossFailover(t *testing.T) {
	s := newScenario(t, 51)
	spec := simulation.Array(60)
	spec.Team, spec.EstimateS = "red", 100
	j := s.Users.Submit(spec, 20)
	s.eventually(90*second, "the team is at its limit", func() bool { return j.Running() == 24 })
	for _, n := range s.Nodes {
		n.Crash(4 * second)
	}
	s.eventually(300*second, "the job is done", s.Users.AllTold)
}

func TestQuotaLimitIsGivenAsReason(t *testing.T) {
	s := newScenario(t, 52)
	spec := simulation.Array(40)
	spec.Team, spec.EstimateS = "red", 100
	j := s.Users.Submit(spec, 200)
	s.eventually(90*second, "the reason names the limit", func() bool {
		return strings.Contains(j.Answer.Reason, "team red is at its limit")
	})
}

func TestZoneConstraints(t *testing.T) {
	s := newScenario(t, 53)
	together, apart, pinned := simulation.Array(9), simulation.Array(9), simulation.Array(5)
	together.OneZone, apart.Spread, pinned.Zone = true, true, "b"
	pinned.AllowSpot = false
	pinned.MachineTypes = []string{"box"}
	s.Users.Submit(together, 15)
	s.Users.Submit(apart, 15)
	s.Users.Submit(pinned, 15)
	s.After(25*second, func() { s.leader().Crash(3 * second) })
	s.eventually(240*second, "all are done", s.Users.AllTold)
}

func TestServiceRunsUntilCancelled(t *testing.T) {
	s := newScenario(t, 54)
	spec := simulation.Array(4)
	spec.Kind, spec.EstimateS = protocol.KindService, 0
	j := s.Users.Submit(spec, 0)
	s.eventually(60*second, "all replicas run", func() bool { return j.Running() == 4 })
	s.Cloud.Remove(j.On(0))
	s.eventually(90*second, "lost replicas run again", func() bool { return j.Running() == 4 })
	s.Run(s.Now + 60*second)
	s.Users.Abort(j)
	s.eventually(60*second, "it is over", s.Users.AllTold)
}

// A machine that fails every task is drained, returned and replaced, and the
// jobs it failed are done elsewhere.
func TestFaultyMachineIsReplaced(t *testing.T) {
	s := newScenario(t, 60)
	a := s.Users.Submit(simulation.Array(8), 10)
	s.eventually(60*second, "tasks run", func() bool { return a.Running() > 0 })
	bad := a.On(0)
	s.Workers[bad].Faulty = true
	for range 5 {
		s.Users.Submit(simulation.Array(8), 10)
	}
	s.eventually(200*second, "every job is done", s.Users.AllTold)
	s.eventually(60*second, "the machine is gone", func() bool { return s.Workers[bad] == nil })
}

// Jobs submitted with a mistake fail everywhere: they say so and when they are tried
// next, one task at a time; no machine is blamed, and other work goes on.
func TestCrashLoopingJobsAreBackedOff(t *testing.T) {
	s := newScenario(t, 61)
	var bad []*simulation.Job
	for range 3 {
		j := s.Users.Submit(simulation.Array(24), 10)
		j.Mistaken = true
		bad = append(bad, j)
	}
	good := s.Users.Submit(simulation.Array(12), 25)
	s.eventually(120*second, "the good job is done", func() bool { return good.Told == protocol.JobDone })
	s.eventually(60*second, "a bad one says why", func() bool { return strings.Contains(bad[0].Answer.Reason, "one is tried again at") })
	s.Run(s.Now + 100*second)
	failed := 0
	for _, l := range s.Logs {
		if strings.Contains(l, "quarantined") {
			t.Fatalf("a machine is blamed: %s", l)
		}
		if strings.Contains(l, "task failed") {
			failed++
		}
	}
	if failed > 3*24*3/2 {
		t.Fatalf("%d failed starts of 72 tasks", failed)
	}
	bad[1].Mistaken = false // it was the machines after all
	s.eventually(200*second, "a job that has been mended is done", func() bool { return bad[1].Told == protocol.JobDone })
	s.Users.Abort(bad[0])
	s.Users.Abort(bad[2])
	s.eventually(60*second, "all are over", s.Users.AllTold)
}

// Three mistaken jobs at once blame no machine, whichever they fail on first.
func TestCrashLoopingJobsQuarantineNoMachine(t *testing.T) {
	for seed := range uint64(12) {
		s := newScenario(t, 300+seed)
		for range 3 {
			s.Users.Submit(simulation.Array(24), 10).Mistaken = true
		}
		s.Users.Submit(simulation.Array(12), 25)
		s.Run(s.Now + 100*second)
		if s.logged("quarantined") {
			t.Fatalf("a machine is blamed\n%s", s.lastLogs(*logLines))
		}
	}
}

// Several machines that fail everything at once are told from faulty jobs: the jobs
// work elsewhere.
func TestSeveralFaultyMachinesAreQuarantined(t *testing.T) {
	s := newScenario(t, 68)
	for range 9 {
		s.Cloud.Add("box", "b", true)
	}
	a := s.Users.Submit(simulation.Array(36), 10)
	s.eventually(60*second, "tasks run", func() bool { return a.Running() > 20 })
	var sick []*simulation.Worker
	for i := 0; i < 36 && len(sick) < 4; i += 4 {
		if k := s.Workers[a.On(i)]; k != nil && !k.Faulty {
			k.Faulty = true
			sick = append(sick, k)
		}
	}
	for i := range 10 {
		s.After(time.Duration(5*i)*second, func() { s.Users.Submit(simulation.Array(60), 10) })
	}
	mistaken := s.Users.Submit(simulation.Array(10), 10)
	mistaken.Mistaken = true
	s.eventually(60*second, "every faulty machine is quarantined", func() bool {
		return strings.Count(strings.Join(s.Logs, "\n"), "quarantined") == len(sick)
	})
	s.Users.Abort(mistaken)
	s.eventually(100*second, "every job is over", s.Users.AllTold)
}

func TestMachinesThatNeverBootAreGivenUp(t *testing.T) {
	s := newScenario(t, 62)
	s.Cloud.NeverUp = 2
	s.Users.Submit(simulation.Array(8), 10)
	s.eventually(240*second, "the job is done", s.Users.AllTold)
	s.eventually(300*second, "nothing is left", func() bool { return s.Cloud.Deleted == s.Cloud.Hired })
}

func TestUnmanagedMachinesAreUsed(t *testing.T) {
	s := newScenario(t, 63)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	j := s.Users.Submit(simulation.Array(4), 5)
	s.eventually(60*second, "the reason names the cloud", func() bool { return strings.Contains(j.Answer.Reason, "cloud") })
	s.Cloud.Add("box", "a", true)
	s.eventually(60*second, "the job is done", s.Users.AllTold)
}

func TestInfeasibleJobsAreRejected(t *testing.T) {
	s := newScenario(t, 64)
	team, size, zone, limit := simulation.Array(1), simulation.Array(1), simulation.Array(1), simulation.Array(1)
	team.Team = "green"
	size.CPUs = 17
	zone.Zone, zone.MachineTypes = "b", []string{"barn"}
	limit.Team, limit.Kind, limit.Tasks = "red", protocol.KindService, 25
	s.requireRejected(team, size, zone, limit)
}

// requireRejected submits jobs that can never run.
func (s *scenario) requireRejected(specs ...protocol.Job) {
	s.t.Helper()
	var jobs []*simulation.Job
	for _, spec := range specs {
		jobs = append(jobs, s.Users.Submit(spec, 1))
	}
	s.eventually(10*second, "all are refused", func() bool {
		return !slices.ContainsFunc(jobs, func(j *simulation.Job) bool { return j.Refused != 422 })
	})
}

func TestUrgentJobsStartFirst(t *testing.T) {
	s := newScenario(t, 65)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 1
	low, high := simulation.Array(30), simulation.Array(10)
	low.Urgency, high.Urgency = protocol.UrgencyLow, protocol.UrgencyHigh
	l, h := s.Users.Submit(low, 10), s.Users.Submit(high, 10)
	s.eventually(200*second, "the urgent job is done", func() bool { return h.Told == protocol.JobDone })
	if l.Answer.Done > 10 {
		t.Fatalf("%d tasks of the report are done before the urgent job", l.Answer.Done)
	}
}

// A job of more tasks than one value of the state service can hold.
func TestJobWithMaxTasksIsAccepted(t *testing.T) {
	s := newScenario(t, 66)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 1
	j := s.Users.Submit(simulation.Array(protocol.MaxTasks), 1)
	s.eventually(120*second, "progress is told", func() bool { return j.Answer.Done > 100 })
}

// Whatever overlaps: crashes, cuts, lost machines, lost answers, outages. Seed 72 is
// the day on which the old list of a dead machine hid where a task really ran, and
// 2267 the one on which a machine deleted by an earlier leader held two back. On
// 354 progress that was applied late took back a completed task; on 1280 a machine
// that was heard by /do alone was taken for empty. On 51759 a machine was deleted
// between a dispatch and the word of where it went, and the leader waited for ever.
func TestFaultsOverlap(t *testing.T) {
	days := []uint64{2267, 354, 1280, 51759}
	for seed := range *seeds {
		days = append(days, *firstSeed+seed)
	}
	for _, seed := range days {
		s := newScenario(t, 100+seed)
		t.Logf("seed %d", seed)
		s.Loss = 0.01
		s.State.LateShare, s.State.LateBy = 0.03, 5*second
		r := s.Rand
		for i := range 12 {
			spec := simulation.Array(4 + r.IntN(12))
			if i%4 == 0 {
				spec.Team = "red"
			}
			if i%5 == 0 {
				spec.OneZone = true
			}
			if i%7 == 3 {
				spec.Team, spec.CheckpointS, spec.SaveS = "guest", 4, 1
			}
			s.After(time.Duration(r.IntN(60))*second, func() {
				j := s.Users.Submit(spec, 3+r.Float64()*20)
				j.Mistaken = i == 7
				if i%6 == 5 || j.Mistaken {
					s.After(time.Duration(5+r.IntN(40))*second, func() { s.Users.Abort(j) })
				}
			})
		}
		for range 6 {
			at := time.Duration(10+r.IntN(90)) * second
			n := s.Nodes[r.IntN(3)]
			switch r.IntN(7) {
			case 0:
				s.After(at, func() { n.Crash(time.Duration(1+r.IntN(8)) * second) })
			case 1:
				s.After(at, func() { s.State.Outage(time.Duration(5+r.IntN(25)) * second) })
			case 2:
				end := []string{"state", "workers", s.Nodes[r.IntN(3)].Label, "cloud"}[r.IntN(4)]
				keep := r.IntN(2) == 0
				s.After(at, func() { s.Cut(n.Label, end, keep) })
				s.After(at+time.Duration(5+r.IntN(30))*second, func() { s.Mend(n.Label, end) })
			case 3:
				s.After(at, func() {
					for _, k := range s.SomeWorkers(2) {
						s.Cloud.Remove(k.Info.Name)
					}
				})
			case 4:
				s.After(at, func() {
					for _, k := range s.SomeWorkers(2) {
						k.Hung = true
						s.After(time.Duration(3+r.IntN(25))*second, func() { k.Hung = false })
					}
				})
			case 5:
				d := time.Duration(3+r.IntN(40)) * second
				s.After(at, func() {
					if n.Alive() {
						n.StandStill(d)
					}
				})
			case 6:
				for k := range 200 {
					s.After(at+time.Duration(k)*50*time.Millisecond, s.Users.PollAny)
				}
			}
		}
		s.Run(110 * second)
		s.eventually(500*second, "every job is over", s.Users.AllTold)
	}
}

// Urgent work does not wait behind a low report run: reports that save are
// stopped, and say why.
func TestUrgentJobPreemptsCheckpointedWork(t *testing.T) {
	s := newScenario(t, 67)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 1
	low := simulation.Array(16)
	low.Urgency, low.CheckpointS, low.SaveS = protocol.UrgencyLow, 4, 2
	l := s.Users.Submit(low, 300)
	s.eventually(60*second, "the report fills the machine", func() bool { return l.Running() == 16 })
	high := simulation.Array(8)
	high.Urgency = protocol.UrgencyHigh
	h := s.Users.Submit(high, 20)
	s.eventually(10*second, "the urgent tasks run", func() bool { return h.Running() == 8 })
	s.eventually(10*second, "the report says why", func() bool { return strings.Contains(l.Answer.Reason, "more urgent work") })
}

// A gang starts only once room for all of its tasks is held; when one is lost,
// the whole gang starts again.
func TestGangStartsTogether(t *testing.T) {
	for seed := range uint64(3) {
		s := newScenario(t, 70+seed)
		spec := simulation.Array(20)
		spec.Kind, spec.EstimateS = protocol.KindGang, 30
		spec.OneZone = seed == 1
		spec.Spread = seed == 2
		if seed == 1 {
			spec.Zone = "a"
		}
		j := s.Users.Submit(spec, 30)
		s.Users.Submit(simulation.Array(10), 20)
		s.eventually(120*second, "all tasks run", func() bool { return j.Running() == 20 })
		s.Run(s.Now + 5*second)
		if seed == 0 {
			s.leader().Crash(3 * second)
		} else {
			s.Cloud.Remove(j.On(7))
		}
		s.eventually(300*second, "both jobs are done", s.Users.AllTold)
	}
}

// A node that hears its leader but none of its machines leaves the map, so that
// the work goes on through the others, and joins again once they answer: joining
// after a while, whether they do or not, took the map along each time.
func TestControllerThatReachesNoWorkerLeavesShardMap(t *testing.T) {
	for seed, leads := range []bool{false, true} {
		s := newScenario(t, 75+uint64(seed))
		for range 12 {
			s.Cloud.Add("box", "b", true)
		}
		for range 4 {
			s.Users.Submit(simulation.Array(40), 20)
		}
		s.eventually(60*second, "tasks run", func() bool { return s.Users.Running() > 40 })
		n := s.follower()
		if leads {
			n = s.leader()
		}
		said := func(what string) func() bool {
			return func() bool { return s.logged(what) }
		}
		s.Cut(n.Label, "workers", false)
		s.eventually(15*second, "it leaves the map", said("leaving the shard map"))
		s.Logs = nil
		s.Run(s.Now + 40*second)
		if said("rejoining the shard map")() {
			t.Fatal("it joins again while it reaches no machine")
		}
		s.Users.Submit(simulation.Array(100), 30)
		s.Mend(n.Label, "workers")
		s.eventually(12*second, "it joins again", said("rejoining the shard map"))
		s.eventually(200*second, "every job is done", s.Users.AllTold)
	}
}

// A dead machine must not hold up a take-over for a whole lease: the cloud is
// asked to delete it, and then its tasks are surely gone.
func TestDeadMachineDoesNotDelayFailover(t *testing.T) {
	s := newScenario(t, 76)
	s.Cloud.Capacity["barn"] = 0
	for range 4 {
		s.Users.Submit(simulation.Array(8), 40)
	}
	s.eventually(60*second, "several machines run tasks", func() bool { return len(s.Workers) >= 5 })
	s.Run(s.Now + 5*second)
	for _, k := range s.SomeWorkers(1) {
		s.Cloud.Remove(k.Info.Name)
	}
	for _, n := range s.Nodes {
		n.Crash(2 * second)
	}
	s.Logs = nil
	s.eventually(9*second, "every machine is seen or gone", func() bool { return s.logged("every machine has been seen") })
	s.eventually(300*second, "every job is done", s.Users.AllTold)
}

// What may be on a machine whose owner has not changed is known, whether it answers
// or not: a dead one must not hold up the queue after a change of leader.
func TestFailoverDoesNotWaitForRetainedMachines(t *testing.T) {
	s := newScenario(t, 78)
	for range 6 {
		s.Cloud.Add("barn", "a", true)
	}
	for range 3 {
		s.Users.Submit(simulation.Array(60), 30)
	}
	s.eventually(60*second, "the machines are full", func() bool { return s.Users.Running() >= 90 })
	old := s.leader()
	dead := ""
	s.follower().Ask(func(id core.RequestID) core.Command { return core.GetStatus{ID: id} }, func(r core.Reply) {
		for name, m := range r.Body.(*core.Status).Machines {
			if m.Trusted && (dead == "" || name < dead) {
				dead = name
			}
		}
	})
	s.eventually(second, "a follower owns a machine", func() bool { return dead != "" })
	s.Cloud.Remove(dead)
	old.Crash(0)
	s.Logs = nil
	s.eventually(9*second, "every other machine has been seen", func() bool {
		return s.logged("every machine has been seen")
	})
	s.eventually(300*second, "every job is done", s.Users.AllTold)
}

// A node is ready as soon as it is entitled. It once waited for the machine types
// as well, and the load balancer, which looks once a second, had no node for the
// first users of the day.
func TestReadyBeforeTheCloudAnswers(t *testing.T) {
	s := &scenario{World: simulation.New(77, 3), t: t}
	for _, n := range s.Nodes {
		s.Cut(n.Label, "cloud", false)
	}
	s.eventually(second, "every node is ready", func() bool {
		return s.Nodes[0].Ready && s.Nodes[1].Ready && s.Nodes[2].Ready
	})
	j := s.Users.Submit(simulation.Array(2), 5)
	s.Run(s.Now + 3*second)
	if j.Accepted || j.Refused != 0 {
		t.Fatalf("a node decided without knowing the machine types: %+v", j)
	}
	for _, n := range s.Nodes {
		s.Mend(n.Label, "cloud")
	}
	s.eventually(60*second, "the job is done", s.Users.AllTold)
}

// A whole picture that a part made before it had read a dispatch must not pass
// for the loss of that dispatch.
func TestSnapshotCrossesDispatch(t *testing.T) {
	s := newScenario(t, 31)
	s.PeerLatency = 400 * time.Millisecond
	for range 12 {
		s.Cloud.Add("barn", "a", true)
	}
	for i := range 60 {
		s.At(s.Now+time.Duration(i)*second/2, func() {
			s.Users.Submit(simulation.Array(20), 4)
			for _, k := range s.SomeWorkers(1) {
				if i%3 == 0 {
					s.Cloud.Remove(k.Info.Name)
					s.Cloud.Add("barn", "a", true)
				}
			}
		})
	}
	s.Run(s.Now + 60*second)
	s.requireInvariants()
}

// A machine that has just come up has not shown its token yet. That is no reason
// to give it back.
func TestNewMachinesAreKept(t *testing.T) {
	s := newScenario(t, 32)
	for range 10 {
		s.Cloud.Add("barn", "a", true)
	}
	s.Users.Submit(simulation.Array(900), 40)
	for i := range 40 {
		s.At(s.Now+20*second+time.Duration(i)*second/7, func() { s.Cloud.Add("barn", "a", true) })
	}
	s.Run(s.Now + 30*second)
	s.requireInvariants()
	if s.Cloud.Deleted > 0 {
		t.Fatalf("%d machines were deleted while work waits", s.Cloud.Deleted)
	}
}

// After a burst, long tasks that save must not hold a machine each: they are moved
// together and the rest of the machines go back.
func TestLongTasksAreConsolidated(t *testing.T) {
	s := newScenario(t, 35)
	for range 12 {
		s.Cloud.Add("barn", "a", true)
	}
	big := simulation.Array(12)
	big.CPUs = 15
	s.Users.Submit(big, 20)
	long := simulation.Array(12)
	long.CheckpointS, long.SaveS = 5, 1
	j := s.Users.Submit(long, 400)
	s.eventually(60*second, "each machine has one of both", func() bool { return s.Users.Running() == 24 })
	s.eventually(150*second, "most machines are returned", func() bool { return len(s.Workers) <= 4 })
	s.eventually(20*second, "the long tasks go on", func() bool { return j.Running() == 12 })
}

// A team without a guarantee uses what is idle, but its long tasks are stopped, if
// they save, to give another team its guarantee.
func TestBestEffortTeamYieldsToGuarantee(t *testing.T) {
	s := newScenario(t, 37)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	s.Cloud.Add("barn", "a", true)
	long := simulation.Array(40)
	long.Team, long.CheckpointS, long.SaveS, long.Urgency = "guest", 4, 1, protocol.UrgencyLow
	g := s.Users.Submit(long, 300)
	s.eventually(30*second, "the guest fills the machine", func() bool { return g.Running() == 16 })
	own := simulation.Array(8)
	own.Urgency = protocol.UrgencyLow
	j := s.Users.Submit(own, 10)
	s.eventually(15*second, "the other team has its guarantee", func() bool { return j.Running() == 8 })
	s.eventually(10*second, "the guest is told why", func() bool { return strings.Contains(g.Answer.Reason, "its guarantee") })
	s.eventually(40*second, "the guest goes on", func() bool { return g.Running() >= 14 })
}

// Room is made machine by machine: as many small tasks are stopped as a large one
// needs on its machine, and the guest does not take the room while it is being made.
func TestPreemptionMakesRoomForLargeTasks(t *testing.T) {
	s := newScenario(t, 39)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	for range 8 {
		s.Cloud.Add("box", "a", true)
	}
	one, other := simulation.Array(8), simulation.Array(8) // a task of each on every machine
	one.Team, one.CheckpointS, one.SaveS, one.CPUs, one.MemoryGB = "guest", 4, 3, 2, 12
	other.Team, other.CheckpointS, other.SaveS, other.CPUs = "guest", 4, 3, 2
	a, b := s.Users.Submit(one, 300), s.Users.Submit(other, 300)
	s.eventually(30*second, "the guest fills the machines", func() bool { return a.Running()+b.Running() >= 14 })
	own := simulation.Array(2)
	own.CPUs = 4
	j := s.Users.Submit(own, 30)
	s.eventually(6*second, "the large tasks run", func() bool { return j.Running() == 2 })
	if n := a.Running() + b.Running(); n < 10 {
		t.Fatalf("only %d of 16 small tasks are left", n)
	}
}

// Stopping one large task makes room for several small ones: no more are stopped than
// that.
func TestPreemptingOneLargeTaskServesSeveral(t *testing.T) {
	s := newScenario(t, 40)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	for range 4 {
		s.Cloud.Add("barn", "a", true)
	}
	low := simulation.Array(16)
	low.Urgency, low.CPUs, low.CheckpointS, low.SaveS = protocol.UrgencyLow, 4, 4, 2
	l := s.Users.Submit(low, 300)
	s.eventually(60*second, "the reports fill the machines", func() bool { return l.Running() == 16 })
	high := simulation.Array(16)
	high.Urgency = protocol.UrgencyHigh
	h := s.Users.Submit(high, 20)
	s.eventually(10*second, "the urgent tasks run", func() bool { return h.Running() == 16 })
	if n := l.Running(); n < 11 {
		t.Fatalf("%d of 16 reports are left, four had to go", n)
	}
}

// An urgent job that fails everywhere stops others' tasks for one task of its own, not
// for all of them.
func TestCrashLoopingJobPreemptsLittle(t *testing.T) {
	s := newScenario(t, 41)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	for range 4 {
		s.Cloud.Add("barn", "a", true)
	}
	bad := simulation.Array(60)
	bad.Urgency = protocol.UrgencyHigh
	h := s.Users.Submit(bad, 10)
	h.Mistaken = true
	s.eventually(60*second, "it is known to fail", func() bool { return strings.Contains(h.Answer.Reason, "one is tried again at") })
	low := simulation.Array(80)
	low.Urgency, low.CheckpointS, low.SaveS = protocol.UrgencyLow, 4, 2
	l := s.Users.Submit(low, 600)
	s.eventually(30*second, "the reports fill the machines", func() bool { return l.Running() >= 62 })
	least := 64
	for range 100 {
		s.Run(s.Now + second)
		least = min(least, l.Running())
	}
	if least < 58 {
		t.Fatalf("%d of 64 reports were left", least)
	}
}

// Long tasks of a guest must not take, in a quiet moment, all that the others' work
// needs as it comes in; nor does the guest starve.
func TestBestEffortTeamLeavesHeadroom(t *testing.T) {
	s := newScenario(t, 38)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 4
	for i := range 6 {
		s.After(time.Duration(20*i)*second, func() { s.Users.Submit(simulation.Array(60), 18) })
	}
	s.Run(s.Now + 125*second) // now nothing of the others runs
	long := simulation.Array(64)
	long.Team = "guest"
	g := s.Users.Submit(long, 100)
	most := 0
	for range 25 {
		s.Run(s.Now + second)
		most = max(most, g.Running())
	}
	if most < 8 || most > 56 {
		t.Fatalf("the guest took %d of 64 CPUs", most)
	}
	s.Users.Submit(simulation.Array(16), 18)
	s.eventually(600*second, "every job is done", s.Users.AllTold)
}

// What the others have left idle for two leases a guest may have, however much of their work
// came in before.
func TestBestEffortTeamUsesIdleCapacity(t *testing.T) {
	s := newScenario(t, 39)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 1
	burst := simulation.Array(800)
	burst.EstimateS = 60 // or so it seems
	s.Users.Submit(burst, 1)
	s.eventually(200*second, "the others' work is done", s.Users.AllTold)
	spec := simulation.Array(3)
	spec.Team, spec.CPUs = "guest", 4 // more than an eighth of the only machine
	g := s.Users.Submit(spec, 10)
	s.eventually(45*second, "the guest starts", func() bool { return g.Running() > 0 })
	s.eventually(60*second, "it is done", s.Users.AllTold)
}

// Of two jobs of one name, the one with less left comes first.
func TestSmallerJobOfSameClassRunsFirst(t *testing.T) {
	s := newScenario(t, 36)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	s.Cloud.Add("barn", "a", true)
	large := s.Users.Submit(simulation.Array(300), 10)
	s.Run(s.Now + 5*second)
	small := s.Users.Submit(simulation.Array(16), 10)
	s.eventually(40*second, "the small job is done", func() bool { return small.Told == protocol.JobDone })
	if large.Told == protocol.JobDone {
		t.Fatal("the large job was done first")
	}
}

// Machines that are heard of before the cloud has named its types get work once it has:
// the leader once looked their type up in a picture that did not name it.
func TestMachinesKnownBeforeTheirTypes(t *testing.T) {
	s := newScenario(t, 42)
	s.Cloud.Out = true
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	for _, n := range s.Nodes {
		n.Crash(second)
	}
	s.State.Forget("c/types")
	s.Cloud.Add("barn", "a", false)
	s.Run(s.Now + 10*second)
	s.Cloud.Out = false
	s.Users.Submit(simulation.Array(4), 5)
	s.eventually(30*second, "the job is done", s.Users.AllTold)
}

// A cloud that takes one call a second is still called, and one list of many pages does
// not use up its calls.
func TestRateLimitedCloud(t *testing.T) {
	set := simulation.Settings(3)
	set.Site.Cloud.RPS = 1
	s := &scenario{World: simulation.Build(43, set, simulation.Types()), t: t}
	s.Users.Submit(simulation.Array(8), 10)
	s.eventually(90*second, "the job is done", s.Users.AllTold)
	for range 1200 {
		s.Cloud.Add("box", "a", false)
	}
	s.Users.Submit(simulation.Array(2000), 20)
	s.eventually(200*second, "the job is done", s.Users.AllTold)
	if s.Cloud.Refused > 0 {
		t.Fatalf("%d calls of the cloud were refused", s.Cloud.Refused)
	}
}

// A job to be spread over two zones runs by halves where there is only one; one whose
// tasks must run together can't.
func TestSpreadWithOneZone(t *testing.T) {
	types := simulation.Types()[:1]
	types[0].Zones = []string{"a"}
	s := &scenario{World: simulation.Build(44, simulation.Settings(3), types), t: t}
	halves, gang := simulation.Array(9), simulation.Array(4)
	halves.Spread, gang.Spread, gang.Kind = true, true, protocol.KindGang
	h, g := s.Users.Submit(halves, 10), s.Users.Submit(gang, 10)
	s.eventually(60*second, "half of it runs", func() bool { return h.Running() == 5 })
	s.eventually(120*second, "it is done", func() bool { return h.Told == protocol.JobDone })
	if g.Refused != 422 {
		t.Fatalf("the gang is answered %d", g.Refused)
	}
}

// A site that names no team limits none.
func TestSiteWithoutTeams(t *testing.T) {
	set := simulation.Settings(1)
	set.Site.Teams = nil
	s := &scenario{World: simulation.Build(45, set, simulation.Types()), t: t}
	s.Users.Submit(simulation.Array(8), 10)
	s.eventually(90*second, "the job is done", s.Users.AllTold)
}

// More machine types than one value holds.
func TestManyMachineTypes(t *testing.T) {
	set := simulation.Settings(3)
	set.Site.State.ValueKB, set.Site.State.TxnOps, set.Site.State.WriteRPS = 4, 4, 10
	types := simulation.Types()
	for i := range 60 {
		extra := types[0]
		extra.Name = fmt.Sprintf("box-%d", i)
		types = append(types, extra)
	}
	s := &scenario{World: simulation.Build(46, set, types), t: t}
	last := simulation.Array(6)
	last.MachineTypes = []string{"box-59"}
	s.Users.Submit(last, 10)
	s.eventually(90*second, "the job is done", s.Users.AllTold)
}

// A controller that was away for more changes than the state service keeps reads all
// keys anew, by pages some of which are refused, and knows every job.
func TestPagedLoadAfterCompaction(t *testing.T) {
	s := newScenario(t, 47)
	s.State.Ended(4500)
	open := s.Users.Submit(simulation.Array(4), 200)
	s.eventually(60*second, "it runs", func() bool { return open.Running() == 4 })
	n := s.leader()
	s.State.Refuses[n.Label] = true
	s.After(6*second, func() { delete(s.State.Refuses, n.Label) })
	n.Crash(second)
	s.After(6*second+40*time.Millisecond, func() { s.State.Refuses[n.Label] = true })
	s.After(8*second, func() { delete(s.State.Refuses, n.Label) })
	s.eventually(20*second, "it is ready", func() bool { return n.Ready })
	for i, want := range map[int]string{0: protocol.JobCancelled, 51: protocol.JobDone, 4499: protocol.JobDone} {
		n.Ask(func(id core.RequestID) core.Command { return core.QueryJob{ID: id, JobID: fmt.Sprintf("job-9%08d", i)} }, func(r core.Reply) {
			if a := r.Body.(protocol.JobResponse); r.Status != 200 || a.State != want || a.Done == 0 && want == protocol.JobDone {
				t.Errorf("%d: %+v", i, r)
			}
		})
	}
	s.Run(s.Now + second)
	s.requireInvariants()
}

// Room made for an urgent task of four CPUs is not taken bit by bit by small tasks that
// are less urgent: those were stopped in turn, once a round, and neither ever ended.
func TestPreemptedCapacityIsKeptForUrgentJob(t *testing.T) {
	s := newScenario(t, 48)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	s.Cloud.Add("box", "a", false)
	long := simulation.Array(3)
	long.CheckpointS, long.SaveS = 4, 1
	l := s.Users.Submit(long, 300)
	s.eventually(30*second, "it leaves one CPU free", func() bool { return l.Running() == 3 })
	big, small := simulation.Array(1), simulation.Array(1)
	big.CPUs, big.Urgency = 4, protocol.UrgencyHigh
	small.CheckpointS, small.SaveS = 4, 1
	h := s.Users.Submit(big, 5)
	s.Users.Submit(small, 300)
	s.eventually(20*second, "the urgent job is done", func() bool { return h.Told == protocol.JobDone })
}

// A guest's urgent tasks that save, and another team's urgent ones within its guarantee,
// do not stop one another in turn.
func TestBestEffortAndGuaranteedTeamsDoNotPreemptInTurn(t *testing.T) {
	s := newScenario(t, 49)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	s.Cloud.Add("barn", "a", true)
	guest, own := simulation.Array(40), simulation.Array(2)
	guest.Team, guest.Urgency, guest.CheckpointS, guest.SaveS = "guest", protocol.UrgencyProduction, 4, 1
	own.Urgency, own.CPUs = protocol.UrgencyHigh, 4
	s.Users.Submit(guest, 20)
	s.Run(s.Now + 8*second)
	j := s.Users.Submit(own, 10)
	s.eventually(25*second, "the guaranteed job is done", func() bool { return j.Told == protocol.JobDone })
	s.eventually(200*second, "the guest's too", s.Users.AllTold)
}

// Cheap machines that idle are returned, however much work waits that may not use them.
func TestIdleSpotMachinesAreNotKeptForIneligibleWork(t *testing.T) {
	s := newScenario(t, 50)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	for range 4 {
		s.Cloud.Add("box", "b", true)
	}
	solid := simulation.Array(40)
	solid.AllowSpot = false
	s.Users.Submit(solid, 10)
	s.eventually(200*second, "they are returned", func() bool { return s.Cloud.Deleted == 4 })
	s.Cloud.Capacity["box"] = 4
	s.eventually(300*second, "the job is done", s.Users.AllTold)
}

// An outage of the state service that all controllers see ends no task, however long it
// is; a job whose user was told just before it that it is cancelled is stopped all the
// same, and when it is over the work goes on at once.
func TestStoreOutageSeenByAllEndsNoTask(t *testing.T) {
	for seed := range uint64(6) {
		s := newScenario(t, 520+seed)
		long, gone := s.Users.Submit(simulation.Array(12), 150), s.Users.Submit(simulation.Array(6), 300)
		s.eventually(60*second, "all tasks run", func() bool { return s.Users.Running() == 18 })
		s.Users.Abort(gone)
		s.eventually(second, "its user is told", func() bool { return gone.Told == protocol.JobCancelled })
		s.State.Outage(70 * second) // the others have not seen it
		s.Run(s.Now + 12*second)
		if n := gone.Running(); n > 0 {
			t.Fatalf("%d tasks of the cancelled job run", n)
		}
		least := 12
		for range 56 {
			s.Run(s.Now + second)
			least = min(least, long.Running())
		}
		if least < 12 {
			t.Fatalf("%d of 12 tasks were left", least)
		}
		s.requireInvariants()
		s.eventually(120*second, "the job is done", func() bool { return long.Told == protocol.JobDone })
	}
}

// Where one controller is away, or is served while the others are not, or is of a version that
// does not list all that it may have told of, the vigil is none: nobody may go on.
func TestDegradedModeRequiresEveryController(t *testing.T) {
	for away := range 3 {
		s := newScenario(t, 530+uint64(away))
		j := s.Users.Submit(simulation.Array(12), 150)
		s.eventually(60*second, "all tasks run", func() bool { return j.Running() == 12 })
		one := s.follower()
		switch away {
		case 0:
			for _, n := range s.Nodes {
				s.State.Refuses[n.Label] = n != one
			}
		case 1:
			one.Crash(0)
			s.State.Outage(60 * second)
		case 2:
			one.Old = true
			one.Crash(second / 5)
			s.Run(s.Now + 15*second)
			s.State.Outage(60 * second)
		}
		s.Logs = nil
		s.Run(s.Now + 30*second)
		if s.logged("workers are kept alive") {
			t.Fatal("a vigil was kept")
		}
		s.State.Refuses = map[string]bool{}
		s.eventually(500*second, "the job is done", s.Users.AllTold)
	}
}

// Many who submit at once share writes: all are accepted within a second or two at a
// state service of ten changes a second, whatever node they ask and however often, and
// what they share is gone when their jobs are over.
func TestSubmissionBurstSharesWrites(t *testing.T) {
	set := simulation.Settings(3)
	set.Site.State.WriteRPS = 10
	s := &scenario{World: simulation.Build(54, set, simulation.Types()), t: t}
	for range 8 {
		s.Cloud.Add("barn", "a", true)
	}
	s.Run(s.Now + 5*second)
	writes := s.State.Writes
	var jobs []*simulation.Job
	for i := range 120 {
		spec := simulation.Array(1)
		spec.OneZone = i%9 == 0
		jobs = append(jobs, s.Users.Submit(spec, 5))
		if i%3 == 0 {
			s.Users.Resubmit(jobs[i]) // at another node, at the same time
		}
	}
	all := func() bool { return !slices.ContainsFunc(jobs, func(j *simulation.Job) bool { return !j.Accepted }) }
	s.eventually(4*second, "all are accepted", all)
	if n := s.State.Writes - writes; n > 40 {
		t.Fatalf("%d writes for 120 jobs", n)
	}
	s.Users.Abort(jobs[7])
	s.Users.Abort(jobs[18])
	s.leader().Crash(2 * second)
	for _, j := range jobs[:20] {
		s.Users.Resubmit(j)
	}
	s.eventually(200*second, "every job is over", s.Users.AllTold)
	s.eventually(60*second, "the shared keys are gone", func() bool { return s.State.Count("c/accepted/") == 0 })
	for _, j := range jobs {
		s.Users.Resubmit(j) // the answer is its state, however late
	}
	s.Run(s.Now + 20*second)
	s.requireInvariants()
}

// What shares a write fits into a value, however large that may be: a lot was filled by a byte
// too many for each job, and refused as malformed.
func TestAdmissionBatchesFitValueLimit(t *testing.T) {
	for i := range 24 {
		set := simulation.Settings(3)
		set.Site.State.WriteRPS, set.Site.State.ValueKB = 10, 5+float64(i*23)/1024
		s := &scenario{World: simulation.Build(58, set, simulation.Types()), t: t}
		s.Run(5 * second)
		var jobs []*simulation.Job
		for range 120 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(1), 5))
		}
		s.eventually(8*second, "all are accepted", func() bool {
			return !slices.ContainsFunc(jobs, func(j *simulation.Job) bool { return !j.Accepted })
		})
	}
}

// Where nothing is rented cheap, work without an aim keeps the ordinary machine that was
// hired for it: it was parked after its first task, and returned for a new one.
func TestWorkWithoutObjectiveKeepsOnDemandMachine(t *testing.T) {
	types := simulation.Types()[:1]
	types[0].SpotPrice = 0
	s := &scenario{World: simulation.Build(55, simulation.Settings(3), types), t: t}
	spec := simulation.Array(20)
	spec.CPUs = 4
	s.Users.Submit(spec, 5)
	s.eventually(250*second, "the job is done", s.Users.AllTold)
}

// Where the zone of a spread job's first task has no room, those of the other zone start.
func TestSpreadJobUsesZoneWithCapacity(t *testing.T) {
	s := newScenario(t, 56)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	s.Cloud.Add("box", "a", true)
	s.Cloud.Add("box", "b", true)
	spec := simulation.Array(40)
	spec.Spread = true
	j := s.Users.Submit(spec, 8)
	s.eventually(30*second, "both zones are used", func() bool { return j.Running() == 8 })
	for i := range 40 {
		if m := j.On(i); m != "" && s.Workers[m].Info.Zone == "a" {
			s.Cloud.Remove(m)
		}
	}
	before := j.Answer.Done
	s.eventually(60*second, "the other zone goes on", func() bool { return j.Answer.Done >= before+12 })
}

// Long after the others' work has ended, a guest's gang may take every machine.
func TestBestEffortGangUsesAllIdleCapacity(t *testing.T) {
	s := newScenario(t, 57)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	for range 2 {
		s.Cloud.Add("box", "a", true)
	}
	s.Users.Submit(simulation.Array(2), 5)
	s.eventually(40*second, "the others' work is done", s.Users.AllTold)
	gang := simulation.Array(8)
	gang.Team, gang.Kind = "guest", protocol.KindGang
	s.Users.Submit(gang, 10)
	s.eventually(600*second, "the gang is done", s.Users.AllTold)
}

// Idle work within its team's guarantee ranks before another team's promised work, so it
// is not stopped for that: it would take the room again itself, once a round for ever.
func TestLowerRankedWorkDoesNotPreempt(t *testing.T) {
	set := simulation.Settings(3)
	set.Site.Objectives = []config.Objective{{Kind: "deadline", Class: "alerts", Share: 0.9, Times: 1}}
	s := &scenario{World: simulation.Build(58, set, simulation.Types()), t: t}
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
	s.Cloud.Add("box", "a", true)
	idle, late := simulation.Array(8), simulation.Array(40)
	idle.Urgency = protocol.UrgencyLow
	late.Team, late.Class, late.DeadlineS = "red", "alerts", 5
	s.Users.Submit(idle, 9)
	s.Run(s.Now + 12*second)
	s.Users.Submit(late, 9)
	s.eventually(400*second, "both are done", s.Users.AllTold)
}

// Machines of a zone that is cut off for longer than a silent machine is usually kept are
// there when it comes back, one after another, also if the leader changed meanwhile: none
// is returned and booted anew, but for one that fell silent before the others and was
// taken for dead.
func TestPartitionedZoneKeepsItsMachines(t *testing.T) {
	for _, change := range []bool{false, true} {
		s := newScenario(t, 59)
		s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = 0, 0
		for i := range 12 {
			s.Cloud.Add("box", []string{"a", "b"}[min(i/4, 1)], true)
		}
		long := simulation.Array(48)
		long.CheckpointS, long.SaveS = 4, 1
		l := s.Users.Submit(long, 400)
		s.eventually(60*second, "all of it runs", func() bool { return l.Running() == 48 })
		var nodes []string
		for _, n := range s.Nodes {
			nodes = append(nodes, n.Label)
		}
		cut := 0
		for _, k := range s.Workers {
			if k.Info.Zone == "b" {
				s.partition(100*second+time.Duration(cut)*2*second, k.Info.Name, nodes...)
				cut++
			}
		}
		if change {
			s.Run(s.Now + 3*second)
			s.leader().Crash(20 * second)
		}
		s.Run(s.Now + 150*second)
		if s.Cloud.Deleted > 1 || s.Cloud.Hired > 0 {
			t.Errorf("leader changed %v: %d machines were returned and %d hired", change, s.Cloud.Deleted, s.Cloud.Hired)
		}
		s.eventually(60*second, "all of it runs again", func() bool { return l.Running() >= 44 })
	}
}

// Whatever was sent arrives once more, up to two minutes late: what a /do started, was
// stopped and cleared is not started again by its copy.
func TestDuplicatedCommandsAreNotRepeated(t *testing.T) {
	s := newScenario(t, 900)
	s.Copies, s.CopyBy = 1, 120*second
	j := s.Users.Submit(simulation.Array(4), 300)
	s.eventually(60*second, "a machine is up", func() bool { return j.Running() == 4 })
	var jobs []*simulation.Job
	for range 12 { // beside it, so that they start by /do
		jobs = append(jobs, s.Users.Submit(simulation.Array(2), 300))
		s.Run(s.Now + 700*time.Millisecond)
	}
	s.Run(s.Now + 10*second)
	for _, j := range jobs {
		s.Users.Abort(j)
	}
	s.Run(s.Now + 150*second)
	s.requireInvariants()
}

// A leader that has to read everything anew does not know what it dispatched before: what
// may be on a machine that it can't reach does not start elsewhere.
func TestLeaderReloadsState(t *testing.T) {
	for seed := range uint64(4) {
		s := newScenario(t, 910+seed)
		j := s.Users.Submit(simulation.Array(60), 60)
		s.eventually(90*second, "all run", func() bool { return j.Running() == 60 })
		n, machine := s.leader(), j.On(int(seed)*16)
		for _, x := range s.Nodes {
			s.Cut(x.Label, machine, false)
		}
		s.State.Forgot[n.Label] = true
		for _, x := range s.Nodes {
			if x != n { // nor do those who looked after the machine
				x.Crash(second / 5)
			}
		}
		s.eventually(20*second, "it reads anew", func() bool { return !s.State.Forgot[n.Label] })
		s.Run(s.Now + 10*second)
		for _, x := range s.Nodes {
			s.Mend(x.Label, machine)
		}
		s.eventually(300*second, "all is done", s.Users.AllTold)
	}
}
