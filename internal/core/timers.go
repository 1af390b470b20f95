package core

import (
	"container/heap"
	"time"
)

// timer is a function that is called once the monotonic clock has reached a deadline.
type timer struct {
	deadline time.Duration
	sequence uint64 // timers with equal deadlines run in the order in which they were set
	run      func()
}

// afterFunc sets a timer: the first call of Apply after the delay calls run.
func (c *Core) afterFunc(delay time.Duration, run func()) {
	c.lastTimerID++
	heap.Push(&c.timers, timer{deadline: c.now.Monotonic + delay, sequence: c.lastTimerID, run: run})
}

// runTimers runs all timers that are due, including those that a timer sets without a delay.
func (c *Core) runTimers() {
	for len(c.timers) > 0 && c.timers[0].deadline <= c.now.Monotonic {
		heap.Pop(&c.timers).(timer).run()
	}
}

// NextDeadline returns the monotonic time by which Apply must be called again even if no command
// arrives: the deadline of the next timer, or earlier if periodic work is due.
func (c *Core) NextDeadline() time.Duration {
	next := c.now.Monotonic + min(c.intervals.maintenance/4, c.intervals.scheduling)
	if len(c.timers) > 0 && c.timers[0].deadline < next {
		next = c.timers[0].deadline
	}
	return next
}

// timerHeap is a heap.Interface with the earliest timer on top.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].deadline < h[j].deadline || h[i].deadline == h[j].deadline && h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{} // releases the closure, which the array would keep alive
	*h = old[:len(old)-1]
	return last
}
