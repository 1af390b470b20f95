package simulation

import (
	"container/heap"
	"time"
)

// At runs f at a moment of simulated time.
func (w *World) At(t time.Duration, f func()) {
	w.eventSeq++
	heap.Push(&w.events, event{at: max(t, w.Now), seq: w.eventSeq, run: f})
}

// After runs f after a span of simulated time.
func (w *World) After(d time.Duration, f func()) { w.At(w.Now+d, f) }

// Run lets simulated time pass up to t.
func (w *World) Run(t time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= t {
		e := heap.Pop(&w.events).(event)
		w.Now = e.at
		e.run()
	}
	w.Now = t
}

// Until runs until cond holds, at most up to t, and reports whether it does.
func (w *World) Until(t time.Duration, cond func() bool) bool {
	for !cond() {
		if len(w.events) == 0 || w.events[0].at > t {
			return false
		}
		e := heap.Pop(&w.events).(event)
		w.Now = e.at
		e.run()
	}
	return true
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
