package dag

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// story is a set of jobs with what they need, and how some of them ended.
type story struct {
	needs map[string][]string
	done  map[string]float64
	off   map[string]bool
}

// read tells a graph all of it, in the order that luck gives, and returns who is ready and
// who is aborted.
func (s *story) read(luck *rand.Rand) (ready map[string]float64, aborted map[string]bool, g *Graph) {
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
		for _, v := range g.News() {
			if v.Aborted {
				aborted[v.Job] = true
			} else {
				ready[v.Job] = v.Ready
			}
		}
	}
	look := func(id string) (State, float64) {
		switch at, ok := s.done[id]; {
		case !read[id]:
			return Unknown, 0
		case ok:
			return Done, at
		case s.off[id] || aborted[id]:
			return Aborted, 0
		}
		return Open, 0
	}
	for _, id := range order {
		read[id] = true
		at, done := s.done[id]
		switch {
		case done || s.off[id]:
			g.Over(id, done, at)
		case len(s.needs[id]) > 0:
			g.Put(id, s.needs[id], look)
		default:
			g.Met(id)
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
func TestOrderOfReadingMakesNoDifference(t *testing.T) {
	for seed := range uint64(400) {
		luck := rand.New(rand.NewPCG(seed, 1))
		s := story{needs: map[string][]string{}, done: map[string]float64{}, off: map[string]bool{}}
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
				off = off || s.off[name] || wantAborted[name]
			}
			switch k := luck.IntN(6); {
			case k == 0:
				s.off[id] = true // by its user, wherever it stands
			case off:
				wantAborted[id] = true
			case all && k < 4:
				s.done[id] = float64(100 + i)
			case all && len(s.needs[id]) > 0:
				wantReady[id] = ready
			}
		}
		ready, aborted, g := s.read(luck)
		if fmt.Sprint(ready) != fmt.Sprint(wantReady) || fmt.Sprint(aborted) != fmt.Sprint(wantAborted) {
			t.Fatalf("seed %d: ready %v, not %v; aborted %v, not %v", seed, ready, wantReady, aborted, wantAborted)
		}
		waiting := 0
		for id := range s.needs {
			_, done := s.done[id]
			_, isReady := wantReady[id]
			open := !done && !s.off[id] && !wantAborted[id] && !isReady && len(s.needs[id]) > 0
			if open {
				waiting++
			}
			if g.Waits(id) != open {
				t.Fatalf("seed %d: %s waits: %v", seed, id, !open)
			}
		}
		if g.Waiting() != waiting {
			t.Fatalf("seed %d: %d wait, not %d", seed, g.Waiting(), waiting)
		}
	}
}

// A chain of a hundred thousand, a fan and a lattice are settled in time in proportion to
// their edges, and leave nothing behind.
func TestLargePipelines(t *testing.T) {
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
				g.Put(id(i), slices.Compact(needs(i)), open)
			}
			g.Weigh(func(string) Weight { return Weight{Urgency: 3, Latest: math.Inf(1), Takes: 1} })
			over := 0
			g.Over(id(0), done, 1)
			for todo := g.News(); len(todo) > 0; todo = g.News() {
				for _, v := range todo {
					if over++; done {
						g.Over(v.Job, true, 1)
					}
				}
			}
			if over != n-1 || len(g.nodes) != 0 || g.waiting != 0 {
				t.Errorf("%s: %d of %d settled, %d left, %d wait", name, over, n-1, len(g.nodes), g.waiting)
			}
			if took := time.Since(begin); took > 10*time.Second {
				t.Errorf("%s took %v", name, took)
			}
		}
	}
}

// Urgency and deadlines reach back along the longest path.
func TestWeights(t *testing.T) {
	g := New()
	open := func(string) (State, float64) { return Open, 0 }
	g.Put("b", []string{"a"}, open)
	g.Put("c", []string{"a"}, open)
	g.Put("d", []string{"b", "c"}, open)
	g.Put("e", []string{"c"}, open)
	own := map[string]Weight{
		"a": {Urgency: 3, Latest: math.Inf(1), Takes: 10}, "b": {Urgency: 3, Latest: math.Inf(1), Takes: 5},
		"c": {Urgency: 3, Latest: math.Inf(1), Takes: 20}, "d": {Urgency: 1, Latest: 100, Takes: 8},
		"e": {Urgency: 0, Latest: 300, Takes: 1},
	}
	g.Weigh(func(id string) Weight { return own[id] })
	for id, want := range map[string]Weight{
		"a": {Urgency: 0, Latest: 72, Takes: 10}, "b": {Urgency: 1, Latest: 92, Takes: 5},
		"c": {Urgency: 0, Latest: 92, Takes: 20}, "d": {Urgency: 1, Latest: 100, Takes: 8},
		"e": {Urgency: 0, Latest: 300, Takes: 1},
	} {
		if w, ok := g.Weight(id); !ok || w != want {
			t.Errorf("%s: %+v, not %+v", id, w, want)
		}
	}
	names, more := g.For("d", 1)
	if len(names) != 1 || more != 1 {
		t.Error(names, more)
	}
	g.Over("c", true, 50)
	g.Over("b", true, 60)
	if v := g.News(); len(v) != 2 || v[1] != (Verdict{Job: "d", Ready: 60}) {
		t.Error(v)
	}
}
