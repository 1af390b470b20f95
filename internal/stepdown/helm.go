// Package stepdown decides what follows from the links that a controller has and those that it
// lacks: so far, when a leader that can serve nobody lets another lead. It has no clock,
// input or output.
//
// The idea that a leader which keeps its lease but reaches too little must step down of
// itself is check-quorum (Ongaro, Consensus: Bridging Theory and Practice, 2014, §6.2). Here
// the state service elects, so what counts is not a majority of votes: it is whether any
// work can start through this leader.
package stepdown

import "time"

// Helm is a controller's part in who leads.
type Helm struct {
	// Span is how long a controller that has handed over stays back the first time, and
	// each time again twice as long, up to 64 times. It also bounds how often that happens:
	// see MostInAnHour.
	Span time.Duration

	idle  bool          // it leads and can serve nobody
	since time.Duration // since when it is so
	well  time.Duration // since when it is not
	times int
	until time.Duration // it stays back
}

// doublings is how often the time to stay back doubles.
const doublings = 6

// Idle takes note of whether this leader can serve nobody, and reports whether it has been
// so for patience: then it should hand over. What flaps faster than that never counts.
func (h *Helm) Idle(now time.Duration, idle bool, patience time.Duration) bool {
	if idle != h.idle {
		h.idle, h.since, h.well = idle, now, now
	}
	if !idle && now-h.well >= h.Span<<doublings {
		h.times = 0
	}
	return idle && now-h.since >= patience
}

// HandedOver notes that it has handed over.
func (h *Helm) HandedOver(now time.Duration) {
	h.until = now + h.Span<<min(h.times, doublings)
	h.times++
	h.idle, h.well = false, h.until
}

// StaysBack reports whether it should leave an empty place to others. It does not if no
// other lives, or if the place has been empty for longer than others need to take it.
func (h *Helm) StaysBack(now time.Duration, others bool, empty, need time.Duration) bool {
	return now < h.until && others && empty < need
}

// MostInAnHour is how often a controller hands over in an hour at most, whatever its links
// do, as long as others take the place.
func (h *Helm) MostInAnHour() int { return doublings + 2 + int(time.Hour/(h.Span<<doublings)) }
