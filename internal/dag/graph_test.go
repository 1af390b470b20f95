package dag

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// allOpen is a Lookup that reports every job as unfinished.
func allOpen(string) (State, float64) { return Open, 0 }

// finishAll marks the first job as done or cancelled and, if it is done, every job that becomes ready,
// until there are no more events. It returns how many jobs became ready or were aborted.
func finishAll(g *Graph, first string, done bool) (settled int) {
	g.MarkFinished(first, done, 1)
	for events := g.TakeEvents(); len(events) > 0; events = g.TakeEvents() {
		for _, event := range events {
			settled++
			if done {
				g.MarkFinished(event.Job, true, 1)
			}
		}
	}
	return settled
}

// Large graphs are resolved in time proportional to their number of edges, and no node is left in
// the graph.
func TestLargeGraphsSettleInLinearTime(t *testing.T) {
	const (
		jobs    = 100_000
		maxTime = 10 * time.Second // generous, for a busy machine under the race detector
	)
	id := func(i int) string { return fmt.Sprint("job-", i) }
	for _, test := range []struct {
		shape        string
		dependencies func(i int) []string
	}{
		{"chain", func(i int) []string { return []string{id(i - 1)} }},
		{"fan", func(i int) []string { return []string{id(0)} }},
		{"lattice", func(i int) []string { return []string{id(max(i-1, 0)), id(max(i-300, 0))} }},
	} {
		for _, done := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/done=%v", test.shape, done), func(t *testing.T) {
				g, begin := New(), time.Now()
				for i := 1; i < jobs; i++ {
					g.AddJob(id(i), slices.Compact(test.dependencies(i)), allOpen)
				}
				g.UpdatePriorities(func(string) Priority { return Priority{Urgency: 3, LatestFinish: math.Inf(1), Duration: 1} })
				settled := finishAll(g, id(0), done)
				if settled != jobs-1 || len(g.nodes) != 0 || g.waitingCount != 0 {
					t.Errorf("%d of %d jobs became ready or aborted, %d nodes are left, %d jobs still wait", settled, jobs-1, len(g.nodes), g.waitingCount)
				}
				if took := time.Since(begin); took > maxTime {
					t.Errorf("resolving the graph took too long: %v", took)
				}
			})
		}
	}
}

// newDiamond returns a graph in which b and c depend on a, d depends on b and c, and e depends on c.
func newDiamond() *Graph {
	g := New()
	g.AddJob("b", []string{"a"}, allOpen)
	g.AddJob("c", []string{"a"}, allOpen)
	g.AddJob("d", []string{"b", "c"}, allOpen)
	g.AddJob("e", []string{"c"}, allOpen)
	return g
}

// Urgency and deadlines propagate along the longest path.
func TestPrioritiesPropagateToDependencies(t *testing.T) {
	g := newDiamond()
	none := math.Inf(1)
	jobs := map[string]struct{ own, effective Priority }{
		"a": {Priority{3, none, 10}, Priority{0, 72, 10}},
		"b": {Priority{3, none, 5}, Priority{1, 92, 5}},
		"c": {Priority{3, none, 20}, Priority{0, 92, 20}},
		"d": {Priority{1, 100, 8}, Priority{1, 100, 8}},
		"e": {Priority{0, 300, 1}, Priority{0, 300, 1}},
	}
	g.UpdatePriorities(func(id string) Priority { return jobs[id].own })
	for id, want := range jobs {
		if priority, ok := g.Priority(id); !ok || priority != want.effective {
			t.Errorf("job %s: got priority %+v, want %+v", id, priority, want.effective)
		}
	}
}

func TestUnmetDependenciesAreNamedUpToLimit(t *testing.T) {
	names, more := newDiamond().UnmetDependencies("d", 1)
	if len(names) != 1 || more != 1 {
		t.Error(names, more)
	}
}

func TestJobsBecomeReadyWhenLastDependencyIsDone(t *testing.T) {
	g := newDiamond()
	g.MarkFinished("c", true, 50)
	g.MarkFinished("b", true, 60)
	want := []Event{{Job: "e", ReadyAt: 50}, {Job: "d", ReadyAt: 60}}
	if events := g.TakeEvents(); !slices.Equal(events, want) {
		t.Errorf("got events %+v, want %+v", events, want)
	}
}
