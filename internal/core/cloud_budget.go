package core

import "time"

// cloudBudget is a token bucket that limits the rate of calls to the cloud. The repeated calls that
// list instances share it with the calls that create and delete instances.
type cloudBudget struct {
	tokens           float64
	refilledAt       time.Duration
	scalingDeferred  bool // in this round a call to create or delete was due and there was no token
	scalingSinceList int  // calls to create or delete since the last call to list
}

// scalingCallsPerList is how many calls to create or delete instances go ahead of the next call for
// a page of the list, if such calls were deferred.
const scalingCallsPerList = 2

// takeToken takes a token if there is one. Tokens are added at the given rate per second.
func (b *cloudBudget) takeToken(now time.Duration, rate float64) bool {
	// The bucket holds at least one token. Otherwise a cloud that allows one call per second would
	// never be called, since the rate is then below 1.
	b.tokens = min(b.tokens+(now-b.refilledAt).Seconds()*rate, max(rate, 1))
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// takeCallToken takes a token for a call to the cloud. The leader uses three fifths of the cloud's
// rate limit.
func (f *fleet) takeCallToken() bool {
	return f.budget.takeToken(f.core.now.Monotonic, f.core.settings.Site.Cloud.RPS*3/5)
}

// takeScalingCall takes a token for a call to create or delete instances. If there is none, it
// notes that such a call is due, and the list then lets scalingCallsPerList of them go ahead.
//
// Without this, the list used up every call that a slow cloud allows, just before the round that
// had an instance to create.
func (f *fleet) takeScalingCall() bool {
	if !f.takeCallToken() {
		f.budget.scalingDeferred = true
		return false
	}
	f.budget.scalingSinceList++
	return true
}

// takeListCall takes a token for a page of the list, unless calls to create or delete go ahead of
// it.
func (f *fleet) takeListCall() bool {
	if f.budget.scalingDeferred && f.budget.scalingSinceList < scalingCallsPerList || !f.takeCallToken() {
		return false
	}
	f.budget.scalingSinceList = 0
	return true
}
