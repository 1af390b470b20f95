package core

import "time"

// cloudBudget is a token bucket that limits the rate of calls to the cloud. The repeated calls that
// list instances share it with the calls that create and delete instances.
type cloudBudget struct {
	tokens           float64
	refilledAt       time.Duration
	scalingDeferred  bool // a call to create or delete instances found no token in this round
	scalingSinceList int  // calls to create or delete since the last call to list
}

// scalingCallsPerList is how many calls to create or delete instances are made before the next call
// for a page of the list, if a call to create or delete has been deferred for lack of a token.
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
// records that such a call is deferred. Then no page of the list is requested until
// scalingCallsPerList calls to create or delete instances have been made, or the next round begins.
//
// Without this, the requests for the list used every call that the rate limit of a slow cloud allows,
// just before the round in which an instance had to be created.
func (f *fleet) takeScalingCall() bool {
	if !f.takeCallToken() {
		f.budget.scalingDeferred = true
		return false
	}
	f.budget.scalingSinceList++
	return true
}

// takeListCall takes a token for a page of the list, unless deferred calls to create or delete
// instances have to be made first (see scalingCallsPerList).
func (f *fleet) takeListCall() bool {
	if f.budget.scalingDeferred && f.budget.scalingSinceList < scalingCallsPerList || !f.takeCallToken() {
		return false
	}
	f.budget.scalingSinceList = 0
	return true
}
