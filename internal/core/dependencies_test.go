package core_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// dependentArray describes a job of n tasks that needs others.
func dependentArray(n int, needs ...*simulation.Job) protocol.Job {
	spec := simulation.Array(n)
	for _, j := range needs {
		spec.Dependencies = append(spec.Dependencies, j.Spec.ID)
	}
	return spec
}

// hand submits a job and waits until it is accepted.
func (s *scenario) submitAccepted(spec protocol.Job, run float64) *simulation.Job {
	s.t.Helper()
	j := s.Users.Submit(spec, run)
	s.eventually(30*second, "a job is accepted", func() bool { return j.Accepted })
	return j
}

// startOldVersion has all controllers run the version before, allNew ends them and has them come
// back with this one, allEnd only ends them.
func (s *scenario) startOldVersion() {
	for _, n := range s.Nodes {
		n.Old = true
		n.Start()
	}
}

func (s *scenario) upgradeAll() {
	for _, n := range s.Nodes {
		n.Old = false
	}
	s.crashAll(second / 5)
}

func (s *scenario) crashAll(back time.Duration) {
	for _, n := range s.Nodes {
		n.Crash(back)
	}
}

func toldState(state string, jobs ...*simulation.Job) func() bool {
	return func() bool {
		for _, j := range jobs {
			if j.Told != state {
				return false
			}
		}
		return true
	}
}

// submitDiamond submits a pipeline: one, two that need it, and one that needs both.
func (s *scenario) submitDiamond() []*simulation.Job {
	a := s.submitAccepted(simulation.Array(3), 6)
	b := s.submitAccepted(dependentArray(4, a), 5)
	c := s.submitAccepted(dependentArray(2, a, a), 9)
	return []*simulation.Job{a, b, c, s.submitAccepted(dependentArray(1, b, c), 2)}
}

func TestDependentJobsRunInOrder(t *testing.T) {
	s := newScenario(t, 300)
	jobs := s.submitDiamond()
	s.eventually(10*second, "the last says what it waits for", func() bool {
		return strings.HasPrefix(jobs[3].Answer.Reason, "waits for "+jobs[1].Spec.ID)
	})
	s.leader().Crash(second / 5)
	s.eventually(200*second, "all are done", toldState(protocol.JobDone, jobs...))
	// The last job of a pipeline may come when all else is over.
	last := s.submitAccepted(dependentArray(1, jobs...), 1)
	s.eventually(60*second, "that one too", toldState(protocol.JobDone, last))
}

func TestCancellationReachesAllDependents(t *testing.T) {
	s := newScenario(t, 301)
	jobs := s.submitDiamond()
	other := s.submitAccepted(simulation.Array(1), 300)
	s.Users.Abort(jobs[0])
	s.eventually(45*second, "all behind it are cancelled", toldState(protocol.JobCancelled, jobs...))
	late := s.submitAccepted(dependentArray(2, other, jobs[3]), 1)
	s.eventually(10*second, "who names a cancelled one is accepted and cancelled", toldState(protocol.JobCancelled, late))
	if !strings.Contains(late.Answer.Reason, jobs[3].Spec.ID) {
		t.Fatalf("the reason is %q", late.Answer.Reason)
	}
	s.crashAll(second / 20) // whoever reads the records comes to the same
	s.Run(s.Now + 60*second)
	for range 60 {
		s.Users.PollAny()
		s.Run(s.Now + second)
	}
	s.requireInvariants()
}

// One branch of a diamond is cancelled: the end too, the other branch goes on.
func TestCancelledBranchOfDiamond(t *testing.T) {
	s := newScenario(t, 302)
	jobs := s.submitDiamond()
	s.Users.Abort(jobs[1])
	s.eventually(60*second, "the end is cancelled", toldState(protocol.JobCancelled, jobs[1], jobs[3]))
	s.eventually(60*second, "the other branch is done", toldState(protocol.JobDone, jobs[0], jobs[2]))
}

// Whichever of done and cancelled comes first, those behind follow it, wherever they are
// asked about; the checker holds every answer against the others.
func TestCancellationRacesCompletion(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(60) {
		s := newScenario(t, 400+seed)
		a := s.submitAccepted(simulation.Array(1), 4)
		b := s.submitAccepted(dependentArray(1, a), 1)
		s.Until(s.Now+60*second, func() bool { return a.Running() > 0 })
		s.Run(s.Now + 4*second - 300*time.Millisecond + time.Duration(seed)*25*time.Millisecond)
		s.Users.Abort(a)
		c := s.Users.Submit(dependentArray(1, a, b), 1)
		if seed%4 == 0 {
			s.leader().Crash(second / 20)
		}
		s.eventually(200*second, "all come to the same end", func() bool {
			return c.Told == a.Told && b.Told == a.Told && toldState(c.Told, a)() && a.Told != "" && a.Told != protocol.JobQueued && a.Told != protocol.JobRunning
		})
		outcomes[a.Told]++
	}
	if outcomes[protocol.JobDone] == 0 || outcomes[protocol.JobCancelled] == 0 {
		t.Fatalf("the story shows one outcome only: %v", outcomes)
	}
}

func TestUnsatisfiableDependenciesAreRejected(t *testing.T) {
	s := newScenario(t, 303)
	service := simulation.Array(1)
	service.Kind, service.EstimateS = protocol.KindService, 0
	up := s.submitAccepted(service, 1)
	self := simulation.Array(1)
	self.ID, self.Dependencies = "job-777777", []string{"job-777777"}
	stranger := simulation.Array(1)
	stranger.Dependencies = []string{"job-888888"}
	s.requireRejected(self, stranger, dependentArray(1, up))
	// A repeat is answered by what was accepted, whatever it names.
	a := s.submitAccepted(simulation.Array(1), 3)
	b := s.submitAccepted(dependentArray(1, a), 3)
	b.Spec.Dependencies = []string{"job-888888"}
	s.Users.Resubmit(b)
	s.Run(s.Now + 5*second)
	s.requireInvariants()
}

// A pipeline that waits holds nothing: another team's, and its own team's, work runs as if
// it were not there.
func TestWaitingDependentsHoldNoCapacity(t *testing.T) {
	s := newScenario(t, 304)
	spec := simulation.Array(24)
	spec.Team = "red"
	first := s.submitAccepted(spec, 40) // its team's whole limit
	for range 3 {
		w := dependentArray(24, first)
		w.Team, w.Urgency = "red", protocol.UrgencyProduction
		s.submitAccepted(w, 5)
	}
	free := s.submitAccepted(simulation.Array(8), 5) // team blue's guarantee
	s.eventually(60*second, "other work is done", toldState(protocol.JobDone, free))
	s.eventually(400*second, "and in the end all", s.Users.AllTold)
}

// What an urgent job needs is treated as urgent.
func TestDependenciesInheritUrgency(t *testing.T) {
	done := func(urgent bool) time.Duration {
		s := newScenario(t, 305)
		for range 6 {
			s.submitAccepted(simulation.Array(40), 8)
		}
		spec := simulation.Array(8)
		spec.Urgency, spec.Class = protocol.UrgencyLow, "steps"
		step := s.submitAccepted(spec, 8)
		if urgent {
			last := dependentArray(1, step)
			last.Urgency = protocol.UrgencyHigh
			s.submitAccepted(last, 2)
		}
		s.eventually(900*second, "the step is done", toldState(protocol.JobDone, step))
		return s.Now
	}
	if plain, urgent := done(false), done(true); urgent*5 > plain*4 {
		t.Fatalf("done after %v with an urgent job behind it, after %v without", urgent, plain)
	}
}

// A roll: one controller after another comes back with the new version, the leader first;
// what is new is refused while an old one lives, and works at once after.
func TestRollingUpgrade(t *testing.T) {
	s := newScenario(t, 306)
	for _, n := range s.Nodes {
		n.Old = true
		n.Crash(second / 20)
	}
	s.Run(s.Now + 30*second)
	before := s.submitAccepted(simulation.Array(30), 20)
	var after *simulation.Job
	for k := range s.Nodes {
		n := s.leader()
		for i := k; !n.Old; i++ {
			n = s.Nodes[i%len(s.Nodes)]
		}
		n.Old = false
		n.Crash(second / 5)
		s.Run(s.Now + 8*second)
		if k == 1 {
			old := s.Nodes[slices.IndexFunc(s.Nodes, func(n *simulation.Node) bool { return n.Old })]
			s.Link("users", old.Label, simulation.Refused) // it would take the job without its needs
			after = s.Users.Submit(dependentArray(2, before), 3)
			s.Run(s.Now + 6*second)
			if after.Accepted {
				t.Fatal("accepted while an old controller lives")
			}
			s.Link("users", old.Label, simulation.Link{})
		}
	}
	s.eventually(200*second, "all is done", func() bool { return toldState(protocol.JobDone, before)() && after.Told == protocol.JobDone })
}

// The limits of the state service fall without notice, to sizes that what is stored is
// larger than.
func TestStoreLimitsAreLowered(t *testing.T) {
	set := simulation.Settings(3)
	set.Site.State = config.State{RPS: 200, WriteRPS: 40, ValueKB: 32, TxnOps: 20,
		Next: &config.State{WriteRPS: 28, ValueKB: 2, TxnOps: 5}}
	s := &scenario{World: simulation.Build(307, set, simulation.Types()), t: t}
	s.startOldVersion()
	for range 60 {
		s.Cloud.Add("box", "a", false)
	}
	s.Run(s.Now + 20*second) // old controllers fill large values
	var jobs []*simulation.Job
	for k := range 80 {
		spec := simulation.Array(6)
		spec.Class = fmt.Sprintf("class-%d", k)
		jobs = append(jobs, s.Users.Submit(spec, 10))
	}
	s.Run(s.Now + 20*second)
	for _, n := range s.Nodes {
		n.Old = false
		n.Crash(second / 5)
		s.Run(s.Now + 5*second)
	}
	s.State.Lowered = true
	huge := simulation.Array(40_000)
	huge.Team, huge.CPUs = "blue", 0.01
	big := s.submitAccepted(huge, 1)
	for range 40 {
		s.Cloud.Add("box", "b", false)
	}
	s.eventually(300*second, "all is done", toldState(protocol.JobDone, jobs...))
	s.Run(s.Now + 60*second)
	s.Users.Abort(big)
	s.eventually(60*second, "the huge one is cancelled", toldState(protocol.JobCancelled, big))
	s.crashAll(second / 5)
	s.Run(s.Now + 60*second)
	s.requireInvariants()
}

// A list of needs that is larger than several values, while every controller ends again
// and again: it is accepted once, whole, and nothing of the other tries is left.
func TestDependencyListLargerThanAValue(t *testing.T) {
	set := simulation.Settings(3)
	set.Site.State.Next = &config.State{ValueKB: 2, TxnOps: 5}
	s := &scenario{World: simulation.Build(308, set, simulation.Types()), t: t}
	s.State.Lowered = true
	s.Run(s.Now + 5*second)
	var needs []*simulation.Job
	for k := range 700 {
		spec := simulation.Array(1)
		spec.ID = fmt.Sprintf("job-%018d", 7_919_000_003*(k+1)*(k+7)%1_000_000_007*1_000_003)
		needs = append(needs, s.Users.Submit(spec, 2))
	}
	s.eventually(300*second, "all are accepted", func() bool {
		return !slices.ContainsFunc(needs, func(j *simulation.Job) bool { return !j.Accepted })
	})
	first := s.submitAccepted(simulation.Array(1), 90)
	last := s.Users.Submit(dependentArray(2, append(needs, first)...), 3)
	for k := range 6 {
		s.Run(s.Now + 1500*time.Millisecond)
		s.Nodes[k%3].Crash(second / 5)
	}
	s.eventually(60*second, "the list is accepted", func() bool { return last.Accepted })
	s.eventually(10*second, "it waits", func() bool { return last.Told == protocol.JobQueued })
	s.crashAll(second / 5)
	s.eventually(400*second, "all is done", s.Users.AllTold)
	s.eventually(500*second, "nothing of it is left", func() bool { return s.State.Count("c/long/") == 0 })
}

// Progress of a job whose block is larger than a value, some of it written before the
// limits fell.
func TestProgressOfHugeJob(t *testing.T) {
	set := simulation.Settings(3)
	set.Site.State.Next = &config.State{ValueKB: 2, TxnOps: 5}
	s := &scenario{World: simulation.Build(309, set, simulation.Types()), t: t}
	s.startOldVersion()
	for range 40 {
		s.Cloud.Add("box", "a", false)
	}
	s.Run(s.Now + 10*second)
	spec := simulation.Array(18_000)
	spec.CPUs, spec.MemoryGB, spec.Class = 0.25, 0.1, "grains"
	j := s.Users.Submit(spec, 4)
	s.eventually(300*second, "a third is done and written", func() bool { return j.Answer.Done > 6000 })
	s.upgradeAll()
	s.State.Lowered = true
	s.Run(s.Now + 30*second)
	was := j.Answer.Done
	s.crashAll(second / 5)
	s.Run(s.Now + 10*second)
	if j.Answer.Done < was {
		t.Fatalf("%d tasks were done, now %d", was, j.Answer.Done)
	}
	s.eventually(900*second, "it is done", toldState(protocol.JobDone, j))
	s.eventually(100*second, "nothing of it is left", func() bool { return s.State.Count("c/fine/")+s.State.Count("c/prog/") == 0 })
}

// A job whose description no longer fits into a value runs, in the zone that is chosen for
// it, and ends.
func TestJobSpecLargerThanAValue(t *testing.T) {
	set := simulation.Settings(3)
	set.Site.State.Next = &config.State{ValueKB: 2}
	s := &scenario{World: simulation.Build(310, set, simulation.Types()), t: t}
	s.Run(s.Now + 5*second)
	wide := simulation.Array(6)
	wide.OneZone, wide.MachineTypes = true, []string{"box"}
	for k := range 200 {
		wide.MachineTypes = append(wide.MachineTypes, fmt.Sprintf("a-type-of-another-cloud-%d", k))
	}
	s.startOldVersion()
	s.Run(s.Now + 5*second)
	old := s.submitAccepted(wide, 5)
	s.Cloud.Out = true // it can't start yet
	s.upgradeAll()
	s.State.Lowered = true
	s.Run(s.Now + 5*second)
	s.Cloud.Out = false
	now := s.Users.Submit(wide, 5)
	gone := s.Users.Submit(wide, 500)
	s.eventually(100*second, "it is accepted too", func() bool { return now.Accepted && gone.Accepted })
	s.Users.Abort(gone)
	s.eventually(200*second, "all come to their end", s.Users.AllTold)
	if old.Told != protocol.JobDone || now.Told != protocol.JobDone {
		t.Fatal(old.Told, now.Told)
	}
}

// The checker itself: three seeded faults must be caught, or the stories above assert
// nothing.
func TestCheckerCatchesDependencyFaults(t *testing.T) {
	caught := func(s *scenario, rule string) {
		t.Helper()
		if !slices.ContainsFunc(s.Broken, func(b string) bool { return strings.Contains(b, " "+rule+": ") }) {
			t.Errorf("%s was not caught: %v", rule, s.Broken)
		}
	}
	// Controllers that know nothing of needs start at once.
	s := newScenario(t, 311)
	s.startOldVersion()
	s.Run(s.Now + 5*second)
	first := s.submitAccepted(simulation.Array(2), 60)
	s.submitAccepted(dependentArray(2, first), 5)
	s.Run(s.Now + 60*second)
	caught(s, "too_early")

	// The record of a cancellation is lost, and everybody reads the state anew.
	s = newScenario(t, 312)
	first = s.submitAccepted(simulation.Array(2), 600)
	rest := s.submitAccepted(dependentArray(2, first), 5)
	s.Users.Abort(first)
	s.eventually(60*second, "both are cancelled", toldState(protocol.JobCancelled, first, rest))
	s.State.Reopen(first.Spec)
	s.crashAll(second)
	s.Run(s.Now + 100*second)
	caught(s, "orphaned")

	// Controllers that were not told of the limits to come write too much.
	s = newScenario(t, 313)
	s.Set.Site.State.Next = &config.State{ValueKB: 0.25}
	s.State.Lowered = true
	s.Users.Submit(simulation.Array(2), 5)
	s.Run(s.Now + 20*second)
	caught(s, "malformed")
}

// The first job of a chain fails wherever it runs: those behind it wait, say so and hold
// nothing, and go with it when its user gives up.
func TestDependencyChainWithFailingHead(t *testing.T) {
	s := newScenario(t, 314)
	head := s.submitAccepted(simulation.Array(4), 5)
	head.Mistaken = true
	rest := []*simulation.Job{s.submitAccepted(dependentArray(40, head), 5)}
	rest = append(rest, s.submitAccepted(dependentArray(3, rest[0]), 5))
	free := s.submitAccepted(simulation.Array(8), 5)
	s.eventually(100*second, "other work is done", toldState(protocol.JobDone, free))
	s.Run(s.Now + 60*second)
	if why := rest[1].Answer.Reason; why != "waits for "+rest[0].Spec.ID {
		t.Fatalf("the last says %q", why)
	}
	s.Users.Abort(head)
	s.eventually(60*second, "all are cancelled", toldState(protocol.JobCancelled, head, rest[0], rest[1]))
}

// A chain across teams, one of which is at its limit for long.
func TestDependencyChainAcrossTeams(t *testing.T) {
	s := newScenario(t, 315)
	red := func(n int, needs ...*simulation.Job) protocol.Job {
		spec := dependentArray(n, needs...)
		spec.Team = "red"
		return spec
	}
	full := s.submitAccepted(red(24), 150)
	s.eventually(60*second, "its team is at its limit", func() bool { return full.Running() == 24 })
	a := s.submitAccepted(simulation.Array(4), 4)
	b := s.submitAccepted(red(4, a), 4)
	c := s.submitAccepted(dependentArray(4, b), 4)
	s.eventually(60*second, "the first is done", toldState(protocol.JobDone, a))
	s.Run(s.Now + 8*second)
	if !strings.Contains(b.Answer.Reason, "at its limit") {
		t.Fatalf("the second is %s and says %q, %d of the first run", b.Told, b.Answer.Reason, full.Running())
	}
	s.eventually(300*second, "all are done", toldState(protocol.JobDone, full, a, b, c))
}

// Everything at once across a roll: a controller that is cut off, one that stands still,
// limits that fall during an outage, a wave of machines, and all end when half are new.
func TestRollingUpgradeDuringFaults(t *testing.T) {
	for seed := range uint64(12) {
		set := simulation.Settings(4)
		set.Site.State.Next = &config.State{WriteRPS: 30, ValueKB: 2, TxnOps: 5}
		s := &scenario{World: simulation.Build(320+seed, set, simulation.Types()), t: t}
		s.startOldVersion()
		for range 30 {
			s.Cloud.Add("box", "a", true)
		}
		s.Run(s.Now + 10*second)
		var jobs []*simulation.Job
		for range 8 {
			jobs = append(jobs, s.Users.Submit(simulation.Array(30), 12))
		}
		s.Run(s.Now + 10*second)
		s.partition(25*second, s.Nodes[0].Label, "state")
		for k, n := range s.Nodes {
			n.Old = false
			n.Crash(second / 5)
			s.Run(s.Now + 3*second)
			switch k {
			case 1:
				for i, x := range s.Nodes {
					x.Crash(second * time.Duration(1+(i+int(seed))%4) / 10)
				}
				s.State.Outage(12 * second)
				s.After(4*second, func() { s.State.Lowered = true })
				for range 60 {
					s.Cloud.Add("box", "b", true)
				}
			case 2:
				s.Run(s.Now + 2*second)
				s.Nodes[3].StandStill(20 * second)
			}
		}
		s.Run(s.Now + 30*second)
		jobs = append(jobs, s.Users.Submit(simulation.Array(5), 4))
		s.eventually(60*second, "it is accepted", func() bool { return jobs[8].Accepted })
		jobs = append(jobs, s.Users.Submit(dependentArray(5, jobs...), 4))
		s.eventually(400*second, "all is done", toldState(protocol.JobDone, jobs...))
	}
}
