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

// dependentArray describes an array job with the given number of tasks that depends on other jobs.
func dependentArray(tasks int, dependencies ...*simulation.Job) protocol.Job {
	spec := simulation.Array(tasks)
	for _, job := range dependencies {
		spec.Dependencies = append(spec.Dependencies, job.Spec.ID)
	}
	return spec
}

// submitDiamond submits a job, two jobs that depend on it, and one that depends on both of these. It
// returns them in this order.
func (s *scenario) submitDiamond() []*simulation.Job {
	head := s.submitAccepted(simulation.Array(3), 6)
	left := s.submitAccepted(dependentArray(4, head), 5)
	right := s.submitAccepted(dependentArray(2, head, head), 9)
	return []*simulation.Job{head, left, right, s.submitAccepted(dependentArray(1, left, right), 2)}
}

func TestDependentJobsRunInOrder(t *testing.T) {
	s := newScenario(t, 300)
	jobs := s.submitDiamond()
	s.eventually(10*second, "the last job's reason names its dependency", func() bool {
		return strings.HasPrefix(jobs[3].LastResponse.Reason, "waits for "+jobs[1].Spec.ID)
	})
	s.leader().Crash(second / 5)
	s.eventually(200*second, "all jobs are done", lastStateIs(protocol.JobDone, jobs...))
	// A dependent may also be submitted when all its dependencies are done.
	last := s.submitAccepted(dependentArray(1, jobs...), 1)
	s.eventually(60*second, "a dependent of finished jobs is done", lastStateIs(protocol.JobDone, last))
}

func TestCancellationReachesAllDependents(t *testing.T) {
	s := newScenario(t, 301)
	jobs := s.submitDiamond()
	other := s.submitAccepted(simulation.Array(1), 300)
	s.Users.Cancel(jobs[0])
	s.eventually(45*second, "all dependents are cancelled", lastStateIs(protocol.JobCancelled, jobs...))
	late := s.submitAccepted(dependentArray(2, other, jobs[3]), 1)
	s.eventually(10*second, "a dependent of a cancelled job is accepted and cancelled", lastStateIs(protocol.JobCancelled, late))
	if !strings.Contains(late.LastResponse.Reason, jobs[3].Spec.ID) {
		t.Fatalf("the reason of the dependent submitted last is %q, want one that names the cancelled job", late.LastResponse.Reason)
	}
	s.crashAll(second / 20) // the controllers must reach the same result from the reloaded records
	s.Run(s.Now + 60*second)
	for range 60 {
		s.Users.PollAny()
		s.Run(s.Now + second)
	}
	s.requireInvariants()
}

// When one branch of a diamond is cancelled, the last job is cancelled with it, and the other branch
// completes.
func TestCancelledBranchOfDiamondLeavesOtherBranchRunning(t *testing.T) {
	s := newScenario(t, 302)
	jobs := s.submitDiamond()
	s.Users.Cancel(jobs[1])
	s.eventually(60*second, "the cancelled branch and the last job are cancelled", lastStateIs(protocol.JobCancelled, jobs[1], jobs[3]))
	s.eventually(60*second, "the other branch is done", lastStateIs(protocol.JobDone, jobs[0], jobs[2]))
}

// When a job's completion and its cancellation race, the job's first final state determines the states
// of its dependents, on every controller. The invariant checker compares the responses of the
// controllers.
func TestDependentsFollowRacingCancellationAndCompletion(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(60) {
		s := newScenario(t, 400+seed)
		head := s.submitAccepted(simulation.Array(1), 4)
		accepted := s.submitAccepted(dependentArray(1, head), 1)
		s.RunUntil(s.Now+60*second, func() bool { return head.RunningTasks() > 0 })
		s.Run(s.Now + 4*second - 300*time.Millisecond + time.Duration(seed)*25*time.Millisecond)
		s.Users.Cancel(head)
		late := s.Users.Submit(dependentArray(1, head, accepted), 1)
		if seed%4 == 0 {
			s.leader().Crash(second / 20)
		}
		s.eventually(200*second, "all jobs reach the same final state", func() bool {
			final := head.LastState == protocol.JobDone || head.LastState == protocol.JobCancelled
			return final && lastStateIs(head.LastState, accepted, late)()
		})
		outcomes[head.LastState]++
	}
	if outcomes[protocol.JobDone] == 0 || outcomes[protocol.JobCancelled] == 0 {
		t.Fatalf("only one of the two outcomes occurred: %v", outcomes)
	}
}

func TestUnsatisfiableDependenciesAreRejected(t *testing.T) {
	s := newScenario(t, 303)
	service := simulation.Array(1)
	service.Kind, service.EstimateS = protocol.KindService, 0
	running := s.submitAccepted(service, 1)
	self := simulation.Array(1)
	self.ID, self.Dependencies = "job-777777", []string{"job-777777"}
	unknown := simulation.Array(1)
	unknown.Dependencies = []string{"job-888888"}
	s.requireRejected(self, unknown, dependentArray(1, running))
	// The response to a repeated submission is that of the accepted job, whatever dependencies it names.
	head := s.submitAccepted(simulation.Array(1), 3)
	dependent := s.submitAccepted(dependentArray(1, head), 3)
	dependent.Spec.Dependencies = []string{"job-888888"}
	s.Users.Resubmit(dependent)
	s.Run(s.Now + 5*second)
	s.requireInvariants()
}

// Waiting dependents take up no capacity and no quota: the work of their own team and of other teams
// runs as if they had not been submitted.
func TestWaitingDependentsHoldNoCapacity(t *testing.T) {
	s := newScenario(t, 304)
	spec := simulation.Array(24)
	spec.Team = "red"
	first := s.submitAccepted(spec, 40) // uses its team's whole quota
	for range 3 {
		dependent := dependentArray(24, first)
		dependent.Team, dependent.Urgency = "red", protocol.UrgencyProduction
		s.submitAccepted(dependent, 5)
	}
	unrelated := s.submitAccepted(simulation.Array(8), 5) // within team blue's guarantee
	s.eventually(60*second, "the unrelated job is done", lastStateIs(protocol.JobDone, unrelated))
	s.eventually(400*second, "all jobs are final", s.Users.AllFinal)
}

// The dependencies of an urgent job are treated as urgent too.
func TestDependenciesInheritUrgency(t *testing.T) {
	completionTime := func(urgent bool) time.Duration {
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
		s.eventually(900*second, "the step is done", lastStateIs(protocol.JobDone, step))
		return s.Now
	}
	if plain, urgent := completionTime(false), completionTime(true); urgent*5 > plain*4 {
		t.Fatalf("the job is done after %v with an urgent dependent, after %v without; want at most 4/5 of that", urgent, plain)
	}
}

// Tests the invariant checker itself: it must detect three violations that are caused on purpose.
// Otherwise the scenarios above assert nothing.
func TestInvariantCheckerCatchesDependencyFaults(t *testing.T) {
	requireCaught := func(s *scenario, invariant string) {
		t.Helper()
		if !slices.ContainsFunc(s.Violations, func(violation string) bool { return strings.Contains(violation, " "+invariant+": ") }) {
			t.Errorf("violation %s was not detected; recorded violations: %v", invariant, s.Violations)
		}
	}
	// Controllers of the previous version ignore dependencies and start dependents at once.
	s := newScenario(t, 311)
	s.startOldVersion()
	s.Run(s.Now + 5*second)
	first := s.submitAccepted(simulation.Array(2), 60)
	s.submitAccepted(dependentArray(2, first), 5)
	s.Run(s.Now + 60*second)
	requireCaught(s, "too_early")

	// The record of a cancellation is lost, and every controller reloads its mirror.
	s = newScenario(t, 312)
	first = s.submitAccepted(simulation.Array(2), 600)
	dependent := s.submitAccepted(dependentArray(2, first), 5)
	s.Users.Cancel(first)
	s.eventually(60*second, "the first job and its dependent are cancelled", lastStateIs(protocol.JobCancelled, first, dependent))
	s.Store.ReopenJob(first.Spec)
	s.crashAll(second)
	s.Run(s.Now + 100*second)
	requireCaught(s, "orphaned")

	// Controllers that did not know of lower limits in advance write values that exceed them.
	s = newScenario(t, 313)
	s.Settings.Site.Store.Next = &config.StoreLimits{ValueKB: 0.25}
	s.Store.LimitsLowered = true
	s.Users.Submit(simulation.Array(2), 5)
	s.Run(s.Now + 20*second)
	requireCaught(s, "malformed")
}

// When the first job of a chain fails wherever it runs, its dependents wait, take up no capacity,
// and report that they wait for the job that they depend on. When its user cancels it, they are cancelled
// as well.
func TestDependentsOfFailingJobWaitUntilCancelled(t *testing.T) {
	s := newScenario(t, 314)
	head := s.submitAccepted(simulation.Array(4), 5)
	head.FailsEverywhere = true
	dependents := []*simulation.Job{s.submitAccepted(dependentArray(40, head), 5)}
	dependents = append(dependents, s.submitAccepted(dependentArray(3, dependents[0]), 5))
	unrelated := s.submitAccepted(simulation.Array(8), 5)
	s.eventually(100*second, "the unrelated job is done", lastStateIs(protocol.JobDone, unrelated))
	s.Run(s.Now + 60*second)
	if reason := dependents[1].LastResponse.Reason; reason != "waits for "+dependents[0].Spec.ID {
		t.Fatalf("the last job's reason is %q, want one that names the job that it depends on", reason)
	}
	s.Users.Cancel(head)
	s.eventually(60*second, "all jobs of the chain are cancelled", lastStateIs(protocol.JobCancelled, head, dependents[0], dependents[1]))
}

// A chain of jobs of two teams completes although one of the teams is at its quota for a long time.
func TestDependencyChainAcrossTeamsCompletes(t *testing.T) {
	s := newScenario(t, 315)
	redArray := func(tasks int, dependencies ...*simulation.Job) protocol.Job {
		spec := dependentArray(tasks, dependencies...)
		spec.Team = "red"
		return spec
	}
	full := s.submitAccepted(redArray(24), 150)
	s.eventually(60*second, "team red is at its quota", func() bool { return full.RunningTasks() == 24 })
	head := s.submitAccepted(simulation.Array(4), 4)
	middle := s.submitAccepted(redArray(4, head), 4)
	last := s.submitAccepted(dependentArray(4, middle), 4)
	s.eventually(60*second, "the first job of the chain is done", lastStateIs(protocol.JobDone, head))
	s.Run(s.Now + 8*second)
	if !strings.Contains(middle.LastResponse.Reason, "at its limit") {
		t.Fatalf("the second job of the chain is %s with the reason %q; %d tasks of the job that fills the quota run", middle.LastState, middle.LastResponse.Reason, full.RunningTasks())
	}
	s.eventually(300*second, "all jobs are done", lastStateIs(protocol.JobDone, full, head, middle, last))
}
