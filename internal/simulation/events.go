package simulation

import (
	"container/heap"
	"time"
)

// event is a callback that runs at a given simulated time. Events with the same time run in the
// order in which they were scheduled.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// At schedules callback to run when the simulated time reaches moment, or at the current time if
// moment is in the past. The callback runs during a call of Run or RunUntil.
func (c *Cluster) At(moment time.Duration, callback func()) {
	c.eventSeq++
	heap.Push(&c.events, event{at: max(moment, c.Now), seq: c.eventSeq, run: callback})
}

// After schedules callback to run after delay, in simulated time.
func (c *Cluster) After(delay time.Duration, callback func()) { c.At(c.Now+delay, callback) }

// Run advances the simulated time to end and runs all events that are due by then.
func (c *Cluster) Run(end time.Duration) {
	for c.hasEventBy(end) {
		c.runNextEvent()
	}
	c.Now = end
}

// RunUntil runs events until condition holds, which it checks before each event, or until no
// event is left that is due by end. It reports whether condition holds. Now is the time of the
// last event that ran.
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

// eventHeap implements heap.Interface; the next event to run is the first element.
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
