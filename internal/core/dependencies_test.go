package core_test

import (
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
