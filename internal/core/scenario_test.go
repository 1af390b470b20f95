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

// seeds is raised by hand to search for rarer interleavings:
// go test ./internal/core -run FaultsOverlap -seeds 1000
var (
	seeds     = flag.Uint64("seeds", 80, "how many runs of overlapping faults are drawn")
	firstSeed = flag.Uint64("seed", 0, "the first of them")
	logLines  = flag.Int("loglines", 40, "how many log lines a scenario that fails shows")
)

func init() { flag.BoolVar(&simulation.Debug, "debuglogs", false, "scenarios log at level debug") }

// scenario runs a simulated cluster and fails on any violated invariant.
type scenario struct {
	*simulation.Cluster
	t testReporter
}

// testReporter is what a scenario needs of a test, a benchmark or a property.
type testReporter interface {
	Helper()
	Logf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// newScenario begins a scenario with three controllers that are ready.
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
		t.Fatal("the controllers do not become ready")
	}
	return s
}

// newBusyScenario begins a scenario in which three jobs have been under way for a while.
func newBusyScenario(t *testing.T, seed uint64, duration time.Duration) *scenario {
	t.Helper()
	s := newScenario(t, seed)
	for range 3 {
		s.Users.Submit(simulation.Array(12), 15)
	}
	s.Run(s.Now + duration)
	return s
}

// requireInvariants fails if an invariant was violated so far.
func (s *scenario) requireInvariants() {
	s.t.Helper()
	if len(s.Violations) > 0 {
		s.t.Fatalf("%d violated invariants:\n%s\n%s", len(s.Violations), strings.Join(s.Violations[:min(len(s.Violations), 12)], "\n"), s.lastLogs(5**logLines))
	}
}

// eventually lets time pass until a condition holds, and fails if it does not within a span.
func (s *scenario) eventually(timeout time.Duration, expectation string, holds func() bool) {
	s.t.Helper()
	if !s.RunUntil(s.Now+timeout, holds) {
		s.requireInvariants()
		s.t.Fatalf("not within %v: %s\n%s", timeout, expectation, s.lastLogs(*logLines))
	}
	s.requireInvariants()
}

// lastLogs are the last lines that the controllers have logged.
func (s *scenario) lastLogs(count int) string {
	return strings.Join(s.Logs[max(0, len(s.Logs)-count):], "\n")
}

// partition cuts one end off from others for a while; packets are kept and delivered late.
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

// logged reports whether a controller has logged a line that contains a text.
func (s *scenario) logged(text string) bool {
	return slices.ContainsFunc(s.Logs, func(line string) bool { return strings.Contains(line, text) })
}

// currentLeader is the controller that leads, nil if none does.
func (s *scenario) currentLeader() *simulation.Node {
	for _, node := range s.Nodes {
		if node.Alive() && node.Core.IsLeader() {
			return node
		}
	}
	return nil
}

// leader is the controller that leads; there must be one.
func (s *scenario) leader() *simulation.Node {
	node := s.currentLeader()
	if node == nil {
		s.t.Fatal("no leader")
	}
	return node
}

// follower is a controller that does not lead; there must be one.
func (s *scenario) follower() *simulation.Node {
	for _, node := range s.Nodes {
		if node.Alive() && !node.Core.IsLeader() {
			return node
		}
	}
	s.t.Fatal("no follower")
	return nil
}

// The invariant checker itself: a scenario that violates an invariant must be caught, or every
// other scenario asserts nothing.
func TestInvariantCheckerCatchesDoubleRun(t *testing.T) {
	s := newScenario(t, 2)
	job := s.Users.Submit(simulation.Array(1), 60)
	s.eventually(60*second, "the task runs", func() bool { return job.RunningTasks() == 1 })
	other := s.Cloud.AddRunning("box", "b", false)
	s.Workers[other].ForceStart(protocol.TaskName(job.Spec.ID, 0), 99)
	s.Run(s.Now + 5*second)
	if len(s.Violations) == 0 || !strings.Contains(s.Violations[0], "ran_twice") {
		t.Fatalf("the checker saw %q", s.Violations)
	}
}

// requireRejected submits jobs that can never run.
func (s *scenario) requireRejected(specs ...protocol.Job) {
	s.t.Helper()
	var jobs []*simulation.Job
	for _, spec := range specs {
		jobs = append(jobs, s.Users.Submit(spec, 1))
	}
	s.eventually(10*second, "all are refused", func() bool {
		return !slices.ContainsFunc(jobs, func(job *simulation.Job) bool { return job.Rejected != 422 })
	})
}
