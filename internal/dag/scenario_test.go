package dag

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// scenario is a set of jobs with their dependencies, of which some are done or cancelled.
type scenario struct {
	dependencies map[string][]string
	doneAt       map[string]float64
	cancelled    map[string]bool // jobs that their users cancelled
}

// outcome holds the jobs of a scenario that become ready or are aborted.
type outcome struct {
	readyAt map[string]float64
	aborted map[string]bool // jobs aborted because a dependency was aborted or cancelled
}

func newOutcome() outcome {
	return outcome{readyAt: map[string]float64{}, aborted: map[string]bool{}}
}

func (o *outcome) addEvents(events []Event) {
	for _, event := range events {
		if event.Aborted {
			o.aborted[event.Job] = true
		} else {
			o.readyAt[event.Job] = event.ReadyAt
		}
	}
}

// randomScenario returns up to forty random jobs, each of which depends on up to three earlier ones,
// and the expected outcome.
func randomScenario(rng *rand.Rand) (scenario, outcome) {
	s := scenario{dependencies: map[string][]string{}, doneAt: map[string]float64{}, cancelled: map[string]bool{}}
	want := newOutcome()
	jobs := 1 + rng.IntN(40)
	for i := range jobs {
		id := fmt.Sprint("job-", i)
		s.dependencies[id] = randomDependencies(rng, i)
		s.drawOutcome(rng, i, &want)
	}
	return s, want
}

func randomDependencies(rng *rand.Rand, earlier int) (names []string) {
	count := rng.IntN(4)
	if earlier == 0 {
		return nil
	}
	for range count {
		name := fmt.Sprint("job-", rng.IntN(earlier))
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// drawOutcome randomly marks job i as done, cancelled or unfinished, and adds it to the expected
// outcome if it becomes ready or is aborted.
func (s *scenario) drawOutcome(rng *rand.Rand, i int, want *outcome) {
	id := fmt.Sprint("job-", i)
	readyAt, allDone, anyAborted := 0.0, true, false
	for _, name := range s.dependencies[id] {
		doneAt, done := s.doneAt[name]
		readyAt, allDone = max(readyAt, doneAt), allDone && done
		anyAborted = anyAborted || s.cancelled[name] || want.aborted[name]
	}
	switch draw := rng.IntN(6); {
	case draw == 0:
		s.cancelled[id] = true // a user may cancel a job whatever the states of its dependencies
	case anyAborted:
		want.aborted[id] = true
	case allDone && draw < 4:
		s.doneAt[id] = float64(100 + i)
	case allDone && len(s.dependencies[id]) > 0:
		want.readyAt[id] = readyAt
	}
}

// replay applies the records of all jobs to a new graph in random order, takes events after a random
// half of them, and returns the graph and the outcome.
func (s *scenario) replay(rng *rand.Rand) (*Graph, outcome) {
	order := slices.Sorted(maps.Keys(s.dependencies))
	rng.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
	g, got, read := New(), newOutcome(), map[string]bool{}
	lookup := func(id string) (State, float64) {
		switch doneAt, done := s.doneAt[id]; {
		case !read[id]:
			return Unknown, 0
		case done:
			return Done, doneAt
		case s.cancelled[id] || got.aborted[id]:
			return Aborted, 0
		}
		return Open, 0
	}
	for _, id := range order {
		read[id] = true
		s.applyRecord(g, id, lookup)
		if rng.IntN(2) == 0 {
			got.addEvents(g.TakeEvents())
		}
	}
	got.addEvents(g.TakeEvents())
	return g, got
}

// applyRecord applies the record of one job to a graph.
func (s *scenario) applyRecord(g *Graph, id string, lookup Lookup) {
	doneAt, done := s.doneAt[id]
	switch {
	case done || s.cancelled[id]:
		g.MarkFinished(id, done, doneAt)
	case len(s.dependencies[id]) > 0:
		g.AddJob(id, s.dependencies[id], lookup)
	default:
		g.MarkOpen(id)
	}
}

// waitingJobs returns the jobs that still wait for others after all records are applied.
func (s *scenario) waitingJobs(want *outcome) map[string]bool {
	waiting := map[string]bool{}
	for id, dependencies := range s.dependencies {
		_, done := s.doneAt[id]
		_, ready := want.readyAt[id]
		if len(dependencies) > 0 && !done && !ready && !s.cancelled[id] && !want.aborted[id] {
			waiting[id] = true
		}
	}
	return waiting
}

// In whatever order the records are read, the same jobs become ready and aborted: those whose
// dependencies are all done become ready, and those that depend on a cancelled one are aborted.
func TestResultIsIndependentOfReadOrder(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s, want := randomScenario(rng)
		g, got := s.replay(rng)
		if !maps.Equal(got.readyAt, want.readyAt) || !maps.Equal(got.aborted, want.aborted) {
			t.Fatalf("seed %d: got %v, want %v", seed, got, want)
		}
		waiting := s.waitingJobs(&want)
		for id := range s.dependencies {
			if g.IsWaiting(id) != waiting[id] {
				t.Fatalf("seed %d: IsWaiting of %s is %v, want the opposite", seed, id, !waiting[id])
			}
		}
		if g.WaitingCount() != len(waiting) {
			t.Fatalf("seed %d: %d jobs wait, want %d", seed, g.WaitingCount(), len(waiting))
		}
	}
}
