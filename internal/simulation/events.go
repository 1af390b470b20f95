package simulation

import (
	"container/heap"
	"time"
)

// event is a callback at a moment of simulated time. Events of the same moment run in the
// order in which they were scheduled.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// At runs callback at a moment of simulated time, now if that is past.
func (c *Cluster) At(moment time.Duration, callback func()) {
	c.eventSeq++
	heap.Push(&c.events, event{at: max(moment, c.Now), seq: c.eventSeq, run: callback})
}

// After runs callback after a span of simulated time.
func (c *Cluster) After(delay time.Duration, callback func()) { c.At(c.Now+delay, callback) }

// Run lets simulated time pass up to end.
func (c *Cluster) Run(end time.Duration) {
	for c.hasEventBy(end) {
		c.runNextEvent()
	}
	c.Now = end
}

// RunUntil lets simulated time pass until condition holds, at most up to end, and reports
// whether it does.
func (c *Cluster) RunUntil(end time.Duration, condition func() bool) bool {
	for !condition() {
		if !c.hasEventBy(end) {
			return false
		}
		c.runNextEvent()
	}
	return true
}

func (c *Cluster) hasEventBy(end time.Duration) bool {
	return len(c.events) > 0 && c.events[0].at <= end
}

func (c *Cluster) runNextEvent() {
	next := heap.Pop(&c.events).(event)
	c.Now = next.at
	next.run()
}

// eventHeap is a heap.Interface with the next event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
