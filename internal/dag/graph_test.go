package dag

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// scenario is a set of jobs with what they need, and how some of them ended.
type scenario struct {
	needs     map[string][]string
	done      map[string]float64
	cancelled map[string]bool
}

// replay tells a graph all of it, in the order that luck gives, and returns who is ready and
// who is aborted.
func (s *scenario) replay(luck *rand.Rand) (ready map[string]float64, aborted map[string]bool, g *Graph) {
	var order []string
	for id := range s.needs {
		order = append(order, id)
	}
	slices.Sort(order)
	luck.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
	g = New()
	ready, aborted = map[string]float64{}, map[string]bool{}
	read := map[string]bool{}
	take := func() {
		for _, v := range g.TakeEvents() {
			if v.Aborted {
				aborted[v.Job] = true
			} else {
				ready[v.Job] = v.ReadyAt
			}
		}
	}
	look := func(id string) (State, float64) {
		switch at, ok := s.done[id]; {
		case !read[id]:
			return Unknown, 0
		case ok:
			return Done, at
		case s.cancelled[id] || aborted[id]:
			return Aborted, 0
		}
		return Open, 0
	}
	for _, id := range order {
		read[id] = true
		at, done := s.done[id]
		switch {
		case done || s.cancelled[id]:
			g.MarkFinished(id, done, at)
		case len(s.needs[id]) > 0:
			g.AddJob(id, s.needs[id], look)
		default:
			g.MarkOpen(id)
		}
		if luck.IntN(2) == 0 {
			take()
		}
	}
	take()
	return ready, aborted, g
}

// In whatever order records are read, the same jobs are ready and aborted: those whose
// needs are all done, and those behind one that is cancelled.
func TestResultIsIndependentOfReadOrder(t *testing.T) {
	for seed := range uint64(400) {
		luck := rand.New(rand.NewPCG(seed, 1))
		s := scenario{needs: map[string][]string{}, done: map[string]float64{}, cancelled: map[string]bool{}}
		n := 1 + luck.IntN(40)
		wantReady, wantAborted := map[string]float64{}, map[string]bool{}
		for i := range n {
			id := fmt.Sprint("job-", i)
			s.needs[id] = nil
			ready, all, off := 0.0, true, false
			for range luck.IntN(4) {
				if i == 0 {
					break
				}
				name := fmt.Sprint("job-", luck.IntN(i))
				if slices.Contains(s.needs[id], name) {
					continue
				}
				s.needs[id] = append(s.needs[id], name)
				at, done := s.done[name]
				ready, all = max(ready, at), all && done
				off = off || s.cancelled[name] || wantAborted[name]
			}
			switch k := luck.IntN(6); {
			case k == 0:
				s.cancelled[id] = true // by its user, wherever it stands
			case off:
				wantAborted[id] = true
			case all && k < 4:
				s.done[id] = float64(100 + i)
			case all && len(s.needs[id]) > 0:
				wantReady[id] = ready
			}
		}
		ready, aborted, g := s.replay(luck)
		if fmt.Sprint(ready) != fmt.Sprint(wantReady) || fmt.Sprint(aborted) != fmt.Sprint(wantAborted) {
			t.Fatalf("seed %d: ready %v, not %v; aborted %v, not %v", seed, ready, wantReady, aborted, wantAborted)
		}
		waiting := 0
		for id := range s.needs {
			_, done := s.done[id]
			_, isReady := wantReady[id]
			open := !done && !s.cancelled[id] && !wantAborted[id] && !isReady && len(s.needs[id]) > 0
			if open {
				waiting++
			}
			if g.IsWaiting(id) != open {
				t.Fatalf("seed %d: %s waits: %v", seed, id, !open)
			}
		}
		if g.WaitingCount() != waiting {
			t.Fatalf("seed %d: %d wait, not %d", seed, g.WaitingCount(), waiting)
		}
	}
}

// A chain of a hundred thousand, a fan and a lattice are settled in time in proportion to
// their edges, and leave nothing behind.
func TestLargeGraphsSettleInLinearTime(t *testing.T) {
	open := func(string) (State, float64) { return Open, 0 }
	const n = 100_000
	id := func(i int) string { return fmt.Sprint("job-", i) }
	for name, needs := range map[string]func(i int) []string{
		"chain":   func(i int) []string { return []string{id(i - 1)} },
		"fan":     func(i int) []string { return []string{id(0)} },
		"lattice": func(i int) []string { return []string{id(max(i-1, 0)), id(max(i-300, 0))} },
	} {
		for _, done := range []bool{false, true} {
			g, begin := New(), time.Now()
			for i := 1; i < n; i++ {
				g.AddJob(id(i), slices.Compact(needs(i)), open)
			}
			g.UpdatePriorities(func(string) Priority { return Priority{Urgency: 3, LatestFinish: math.Inf(1), Duration: 1} })
			over := 0
			g.MarkFinished(id(0), done, 1)
			for todo := g.TakeEvents(); len(todo) > 0; todo = g.TakeEvents() {
				for _, v := range todo {
					if over++; done {
						g.MarkFinished(v.Job, true, 1)
					}
				}
			}
			if over != n-1 || len(g.nodes) != 0 || g.waitingCount != 0 {
				t.Errorf("%s: %d of %d settled, %d left, %d wait", name, over, n-1, len(g.nodes), g.waitingCount)
			}
			if took := time.Since(begin); took > 10*time.Second {
				t.Errorf("%s took %v", name, took)
			}
		}
	}
}

// Urgency and deadlines reach back along the longest path.
func TestPrioritiesPropagateToDependencies(t *testing.T) {
	g := New()
	open := func(string) (State, float64) { return Open, 0 }
	g.AddJob("b", []string{"a"}, open)
	g.AddJob("c", []string{"a"}, open)
	g.AddJob("d", []string{"b", "c"}, open)
	g.AddJob("e", []string{"c"}, open)
	own := map[string]Priority{
		"a": {Urgency: 3, LatestFinish: math.Inf(1), Duration: 10}, "b": {Urgency: 3, LatestFinish: math.Inf(1), Duration: 5},
		"c": {Urgency: 3, LatestFinish: math.Inf(1), Duration: 20}, "d": {Urgency: 1, LatestFinish: 100, Duration: 8},
		"e": {Urgency: 0, LatestFinish: 300, Duration: 1},
	}
	g.UpdatePriorities(func(id string) Priority { return own[id] })
	for id, want := range map[string]Priority{
		"a": {Urgency: 0, LatestFinish: 72, Duration: 10}, "b": {Urgency: 1, LatestFinish: 92, Duration: 5},
		"c": {Urgency: 0, LatestFinish: 92, Duration: 20}, "d": {Urgency: 1, LatestFinish: 100, Duration: 8},
		"e": {Urgency: 0, LatestFinish: 300, Duration: 1},
	} {
		if w, ok := g.Priority(id); !ok || w != want {
			t.Errorf("%s: %+v, not %+v", id, w, want)
		}
	}
	names, more := g.UnmetDependencies("d", 1)
	if len(names) != 1 || more != 1 {
		t.Error(names, more)
	}
	g.MarkFinished("c", true, 50)
	g.MarkFinished("b", true, 60)
	if v := g.TakeEvents(); len(v) != 2 || v[1] != (Event{Job: "d", ReadyAt: 60}) {
		t.Error(v)
	}
}
