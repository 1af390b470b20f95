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

// Tracker is a controller's part in who leads.
type Tracker struct {
	// BaseBackoff is how long a controller that has handed over stays back the first time, and
	// each time again twice as long, up to 64 times. It also bounds how often that happens:
	// see MostInAnHour.
	BaseBackoff time.Duration

	unable       bool          // it leads and can serve nobody
	unableSince  time.Duration // since when it is so
	ableSince    time.Duration // since when it is not
	stepDowns    int
	backoffUntil time.Duration // it stays back
}

// maxDoublings is how often the time to stay back doubles.
const maxDoublings = 6

// ShouldStepDown takes note of whether this leader can serve nobody, and reports whether it has been
// so for patience: then it should hand over. What flaps faster than that never counts.
func (h *Tracker) ShouldStepDown(now time.Duration, idle bool, patience time.Duration) bool {
	if idle != h.unable {
		h.unable, h.unableSince, h.ableSince = idle, now, now
	}
	if !idle && now-h.ableSince >= h.BaseBackoff<<maxDoublings {
		h.stepDowns = 0
	}
	return idle && now-h.unableSince >= patience
}

// SteppedDown notes that it has handed over.
func (h *Tracker) SteppedDown(now time.Duration) {
	h.backoffUntil = now + h.BaseBackoff<<min(h.stepDowns, maxDoublings)
	h.stepDowns++
	h.unable, h.ableSince = false, h.backoffUntil
}

// ShouldAbstain reports whether it should leave an empty place to others. It does not if no
// other lives, or if the place has been empty for longer than others need to take it.
func (h *Tracker) ShouldAbstain(now time.Duration, others bool, empty, need time.Duration) bool {
	return now < h.backoffUntil && others && empty < need
}

// MaxStepDownsPerHour is how often a controller hands over in an hour at most, whatever its links
// do, as long as others take the place.
func (h *Tracker) MaxStepDownsPerHour() int {
	return maxDoublings + 2 + int(time.Hour/(h.BaseBackoff<<maxDoublings))
}
