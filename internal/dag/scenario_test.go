package dag

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// scenario is a set of jobs with what they depend on, and how some of them ended.
type scenario struct {
	dependencies map[string][]string
	doneAt       map[string]float64
	cancelled    map[string]bool // by their users
}

// outcome is what follows from a scenario.
type outcome struct {
	readyAt map[string]float64
	aborted map[string]bool // because of others
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

// randomScenario draws up to forty jobs, each of which depends on earlier ones.
func randomScenario(luck *rand.Rand) (scenario, outcome) {
	s := scenario{dependencies: map[string][]string{}, doneAt: map[string]float64{}, cancelled: map[string]bool{}}
	want := newOutcome()
	jobs := 1 + luck.IntN(40)
	for i := range jobs {
		id := fmt.Sprint("job-", i)
		s.dependencies[id] = randomDependencies(luck, i)
		s.drawOutcome(luck, i, &want)
	}
	return s, want
}

func randomDependencies(luck *rand.Rand, earlier int) (names []string) {
	count := luck.IntN(4)
	if earlier == 0 {
		return nil
	}
	for range count {
		name := fmt.Sprint("job-", luck.IntN(earlier))
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// drawOutcome draws how job i ends, if it does, and adds to the outcome what follows for it.
func (s *scenario) drawOutcome(luck *rand.Rand, i int, want *outcome) {
	id := fmt.Sprint("job-", i)
	readyAt, allDone, anyAborted := 0.0, true, false
	for _, name := range s.dependencies[id] {
		doneAt, done := s.doneAt[name]
		readyAt, allDone = max(readyAt, doneAt), allDone && done
		anyAborted = anyAborted || s.cancelled[name] || want.aborted[name]
	}
	switch draw := luck.IntN(6); {
	case draw == 0:
		s.cancelled[id] = true // by its user, however its dependencies stand
	case anyAborted:
		want.aborted[id] = true
	case allDone && draw < 4:
		s.doneAt[id] = float64(100 + i)
	case allDone && len(s.dependencies[id]) > 0:
		want.readyAt[id] = readyAt
	}
}

// replay tells a graph everything, in a random order, and takes events at random moments.
func (s *scenario) replay(luck *rand.Rand) (*Graph, outcome) {
	order := slices.Sorted(maps.Keys(s.dependencies))
	luck.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
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
		if luck.IntN(2) == 0 {
			got.addEvents(g.TakeEvents())
		}
	}
	got.addEvents(g.TakeEvents())
	return g, got
}

// applyRecord tells a graph what one job's record says.
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

// waitingJobs lists the jobs that wait for others in the end.
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

// In whatever order records are read, the same jobs are ready and aborted: those whose
// dependencies are all done, and those that depend on a cancelled one.
func TestResultIsIndependentOfReadOrder(t *testing.T) {
	for seed := range uint64(400) {
		luck := rand.New(rand.NewPCG(seed, 1))
		s, want := randomScenario(luck)
		g, got := s.replay(luck)
		if !maps.Equal(got.readyAt, want.readyAt) || !maps.Equal(got.aborted, want.aborted) {
			t.Fatalf("seed %d: got %v, want %v", seed, got, want)
		}
		waiting := s.waitingJobs(&want)
		for id := range s.dependencies {
			if g.IsWaiting(id) != waiting[id] {
				t.Fatalf("seed %d: %s waits: %v", seed, id, !waiting[id])
			}
		}
		if g.WaitingCount() != len(waiting) {
			t.Fatalf("seed %d: %d wait, not %d", seed, g.WaitingCount(), len(waiting))
		}
	}
}
