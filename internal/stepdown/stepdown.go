// Package stepdown decides when a leader that keeps its lease but can serve nobody gives up
// the lead, and for how long it then leaves the lead to others.
//
// A leader that holds its lease but reaches too little must step down by itself: that is
// check-quorum (Ongaro, Consensus: Bridging Theory and Practice, 2014, §6.2). Here the
// key-value store elects the leader, so what counts is not a majority of votes but whether any
// work can start through this leader.
//
// The package owns the patience with such a leader and the back-off after a step-down. It has
// no clock, input or output, and must not know what a link is: the caller says whether the
// leader can serve anybody, who else lives, and writes the election record.
//
// Invariants: a condition that flaps faster than the caller's patience never causes a
// step-down; whatever the links do, a controller steps down at most MaxStepDownsPerHour times
// an hour as long as others take the lead; a site whose lead nobody else takes is not left
// without a leader.
package stepdown

import "time"

// maxDoublings is how often the back-off doubles. With a base of seconds the longest one lasts
// minutes: a link that goes on flapping costs little, and one that is mended is soon used again.
const maxDoublings = 6

// Tracker is a controller's record of its own step-downs. Only BaseBackoff need be set.
type Tracker struct {
	// BaseBackoff is how long a controller leaves the lead to others after it has stepped down
	// for the first time. The time doubles with each further step-down, maxDoublings times. It
	// also bounds how often step-downs happen: see MaxStepDownsPerHour.
	BaseBackoff time.Duration

	cannotServe      bool          // it leads and can serve nobody
	cannotServeSince time.Duration // when unable last changed
	canServeSince    time.Duration // when unable last changed, or when the last back-off ended
	stepDowns        int           // since it last led well for long
	backoffUntil     time.Duration
}

// ShouldStepDown records whether this leader can serve nobody, and reports whether that has
// lasted for patience.
func (t *Tracker) ShouldStepDown(now time.Duration, unable bool, patience time.Duration) bool {
	if unable != t.cannotServe {
		t.cannotServe, t.cannotServeSince, t.canServeSince = unable, now, now
	}
	if !unable && now-t.canServeSince >= t.maxBackoff() {
		t.stepDowns = 0
	}
	return unable && now-t.cannotServeSince >= patience
}

// SteppedDown records that the controller has stepped down, which starts its back-off.
func (t *Tracker) SteppedDown(now time.Duration) {
	t.backoffUntil = now + t.BaseBackoff<<min(t.stepDowns, maxDoublings)
	t.stepDowns++
	t.cannotServe, t.canServeSince = false, t.backoffUntil
}

// ShouldAbstain reports whether this controller should leave a vacant lead to others. It
// should not if no other lives, or if the lead has been vacant for longer than others need to
// take it.
func (t *Tracker) ShouldAbstain(now time.Duration, othersAlive bool, vacantFor, takeoverTime time.Duration) bool {
	return now < t.backoffUntil && othersAlive && vacantFor < takeoverTime
}

// MaxStepDownsPerHour is how often a controller steps down in an hour at most, whatever its
// links do, as long as others take the lead: once for each length of the back-off, once more
// at the start of the hour, and then once in each longest back-off.
func (t *Tracker) MaxStepDownsPerHour() int {
	return maxDoublings + 2 + int(time.Hour/t.maxBackoff())
}

func (t *Tracker) maxBackoff() time.Duration { return t.BaseBackoff << maxDoublings }
