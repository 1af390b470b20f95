// Package stepdown decides when a leader that keeps its lease steps down because no work can start
// through it ("it can serve nobody"), and for how long it then abstains from leading.
//
// A leader that holds its lease but reaches too few others must step down by itself; this is
// check-quorum (Ongaro, Consensus: Bridging Theory and Practice, 2014, §6.2). Here the state
// service elects the leader, so the condition is not a majority of votes but whether any work can
// start through this leader.
//
// The package owns how long such a leader is tolerated and the backoff after it has stepped down.
// It has no clock, input or output, and must not know what a link is: the caller reports whether
// the leader can serve anybody and whether other controllers are alive, and writes the election
// record.
//
// Invariants:
//   - A condition that flaps faster than the caller's grace period never causes a step-down.
//   - However often its links break, a controller steps down at most MaxStepDownsPerHour times an hour,
//     as long as others take over leadership.
//   - A site in which no other controller takes over leadership is not left without a leader.
package stepdown

import "time"

// maxDoublings is how often the backoff doubles. With a base of seconds the longest backoff lasts
// minutes: a link that keeps flapping causes few changes of leader, and a link that is repaired is
// soon used again.
const maxDoublings = 6

// Tracker records a controller's own step-downs. Only BaseBackoff has to be set. All times are of
// one monotonic clock. It is not safe for concurrent use.
type Tracker struct {
	// BaseBackoff is how long a controller abstains from leading after its first step-down. The
	// time doubles with each further step-down, at most maxDoublings times. It also bounds how
	// often step-downs happen: see MaxStepDownsPerHour.
	BaseBackoff time.Duration

	cannotServe      bool          // it leads, but no work can start through it
	cannotServeSince time.Duration // when cannotServe last changed
	canServeSince    time.Duration // when cannotServe last changed, or when the last backoff ends
	stepDowns        int           // since it last led for maxBackoff while able to serve
	backoffUntil     time.Duration
}

// ShouldStepDown records whether no work can start through this leader, and reports whether that has
// lasted for gracePeriod.
func (t *Tracker) ShouldStepDown(now time.Duration, cannotServe bool, gracePeriod time.Duration) bool {
	if cannotServe != t.cannotServe {
		t.cannotServe, t.cannotServeSince, t.canServeSince = cannotServe, now, now
	}
	if !cannotServe && now-t.canServeSince >= t.maxBackoff() {
		t.stepDowns = 0
	}
	return cannotServe && now-t.cannotServeSince >= gracePeriod
}

// SteppedDown records that the controller has stepped down, which starts its backoff.
func (t *Tracker) SteppedDown(now time.Duration) {
	t.backoffUntil = now + t.BaseBackoff<<min(t.stepDowns, maxDoublings)
	t.stepDowns++
	t.cannotServe, t.canServeSince = false, t.backoffUntil
}

// ShouldAbstain reports whether this controller should leave vacant leadership to others because
// its backoff has not ended. It does not abstain if no other controller is alive, or if
// leadership has been vacant for takeoverTime, the time that others need to take over.
func (t *Tracker) ShouldAbstain(now time.Duration, othersAlive bool, vacantFor, takeoverTime time.Duration) bool {
	return now < t.backoffUntil && othersAlive && vacantFor < takeoverTime
}

// MaxStepDownsPerHour returns how often a controller steps down in an hour at most, however often
// its links break, as long as others take over leadership: once for each length of the backoff, once
// more at the start of the hour, and then once in each backoff of the longest length.
func (t *Tracker) MaxStepDownsPerHour() int {
	return maxDoublings + 2 + int(time.Hour/t.maxBackoff())
}

func (t *Tracker) maxBackoff() time.Duration { return t.BaseBackoff << maxDoublings }
