package core_test

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

const second = time.Second

// A larger number of seeds finds rarer interleavings:
// go test ./internal/core -run FaultsOverlap -seeds 1000
var (
	seeds     = flag.Uint64("seeds", 80, "number of seeds that TestFaultsOverlap simulates")
	firstSeed = flag.Uint64("seed", 0, "first seed that TestFaultsOverlap simulates")
	logLines  = flag.Int("loglines", 40, "number of log lines in the message of a failed scenario")
)

func init() { flag.BoolVar(&simulation.Debug, "debuglogs", false, "log at level debug in scenarios") }

// scenario is a simulated cluster in a test. Its methods requireInvariants and eventually fail the test if an
// invariant has been violated.
type scenario struct {
	*simulation.Cluster
	t testReporter
}

// testReporter is the part of testing.T, testing.B and rapid.T that a scenario uses.
type testReporter interface {
	Helper()
	Logf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// newScenario starts a simulated cluster of three controllers and waits until they are ready.
func newScenario(t testing.TB, seed uint64) *scenario {
	t.Helper()
	s := &scenario{Cluster: simulation.New(seed, 3), t: t}
	if !s.RunUntil(20*second, func() bool {
		for _, node := range s.Nodes {
			if !node.Ready {
				return false
			}
		}
		return true
	}) {
		t.Fatal("the controllers did not become ready within 20 s")
	}
	return s
}

// newBusyScenario starts a scenario, submits three jobs and lets them run for the given duration.
func newBusyScenario(t *testing.T, seed uint64, duration time.Duration) *scenario {
	t.Helper()
	s := newScenario(t, seed)
	for range 3 {
		s.Users.Submit(simulation.Array(12), 15)
	}
	s.Run(s.Now + duration)
	return s
}

// requireInvariants fails the test if an invariant has been violated so far.
func (s *scenario) requireInvariants() {
	s.t.Helper()
	if len(s.Violations) > 0 {
		s.t.Fatalf("%d violations of invariants:\n%s\n%s", len(s.Violations), strings.Join(s.Violations[:min(len(s.Violations), 12)], "\n"), s.lastLogs(5**logLines))
	}
}

// eventually advances the simulated time until a condition holds. It fails the test if the condition does
// not hold within the timeout or an invariant has been violated.
func (s *scenario) eventually(timeout time.Duration, expectation string, holds func() bool) {
	s.t.Helper()
	if !s.RunUntil(s.Now+timeout, holds) {
		s.requireInvariants()
		s.t.Fatalf("condition not met within %v: %s\n%s", timeout, expectation, s.lastLogs(*logLines))
	}
	s.requireInvariants()
}

// lastLogs returns the last lines that the controllers have logged, at most count.
func (s *scenario) lastLogs(count int) string {
	return strings.Join(s.Logs[max(0, len(s.Logs)-count):], "\n")
}

// partition separates one endpoint from others for the given duration. Packets sent meanwhile are held and
// delivered when the partition heals.
func (s *scenario) partition(duration time.Duration, endpoint string, others ...string) {
	for _, other := range others {
		s.Partition(endpoint, other, true)
	}
	s.After(duration, func() {
		for _, other := range others {
			s.Heal(endpoint, other)
		}
	})
}

// logged reports whether a line that contains the given text has been logged.
func (s *scenario) logged(text string) bool {
	return slices.ContainsFunc(s.Logs, func(line string) bool { return strings.Contains(line, text) })
}

// currentLeader returns the controller that is the leader, or nil if none is.
func (s *scenario) currentLeader() *simulation.Node {
	for _, node := range s.Nodes {
		if node.Alive() && node.Core.IsLeader() {
			return node
		}
	}
	return nil
}

// leader returns the controller that is the leader. It fails the test if there is none.
func (s *scenario) leader() *simulation.Node {
	node := s.currentLeader()
	if node == nil {
		s.t.Fatal("no controller is the leader")
	}
	return node
}

// follower returns the first controller that is alive and not the leader. It fails the test if there is none.
func (s *scenario) follower() *simulation.Node {
	for _, node := range s.Nodes {
		if node.Alive() && !node.Core.IsLeader() {
			return node
		}
	}
	s.t.Fatal("no live controller is a follower")
	return nil
}

// The invariant checker must report a task that runs on two machines at once. If it missed violations,
// every other scenario would pass without asserting anything.
func TestInvariantCheckerDetectsTaskOnTwoMachines(t *testing.T) {
	s := newScenario(t, 2)
	job := s.Users.Submit(simulation.Array(1), 60)
	s.eventually(60*second, "the task runs", func() bool { return job.RunningTasks() == 1 })
	other := s.Cloud.AddRunning("box", "b", false)
	s.Workers[other].ForceStart(protocol.TaskName(job.Spec.ID, 0), 99)
	s.Run(s.Now + 5*second)
	if len(s.Violations) == 0 || !strings.Contains(s.Violations[0], "ran_twice") {
		t.Fatalf("the first violation is not ran_twice; violations: %q", s.Violations)
	}
}

// requireRejected submits jobs that can never run. It fails the test unless each of them is rejected with
// status 422 within ten seconds.
func (s *scenario) requireRejected(specs ...protocol.Job) {
	s.t.Helper()
	var jobs []*simulation.Job
	for _, spec := range specs {
		jobs = append(jobs, s.Users.Submit(spec, 1))
	}
	s.eventually(10*second, "all jobs are rejected", func() bool {
		return !slices.ContainsFunc(jobs, func(job *simulation.Job) bool { return job.Rejected != 422 })
	})
}
