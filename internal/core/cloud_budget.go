package core

import "time"

// cloudBudget is a token bucket for calls to the cloud. It is shared by the list, which is asked
// for again and again, and by the calls that create and delete machines.
type cloudBudget struct {
	tokens           float64
	refilledAt       time.Duration
	scalingDeferred  bool // a call to create or delete was due in this round and found no token
	scalingSinceList int  // calls to create or delete since the last for the list
}

// scalingCallsPerList is how many deferred calls to create or delete machines go before the
// next page of the list.
const scalingCallsPerList = 2

// take takes a token, if there is one at a rate of so many a second.
func (b *cloudBudget) take(now time.Duration, rate float64) bool {
	// At least one fits in, or a cloud that takes a call a second would never get any.
	b.tokens = min(b.tokens+(now-b.refilledAt).Seconds()*rate, max(rate, 1))
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// takeCallToken takes a call to the cloud, of whose limit the leader uses three fifths.
func (f *fleet) takeCallToken() bool {
	return f.budget.take(f.core.now.Monotonic, f.core.settings.Site.Cloud.RPS*3/5)
}

// takeScalingCall takes a call to create or delete machines, or notes that one was due. The
// list then lets scalingCallsPerList of them pass.
//
// Guards against a list that took every call that a slow cloud allows, just before the round
// that had a machine to create.
func (f *fleet) takeScalingCall() bool {
	if !f.takeCallToken() {
		f.budget.scalingDeferred = true
		return false
	}
	f.budget.scalingSinceList++
	return true
}

// takeListCall takes a call for a page of the list, unless calls to create or delete go first.
func (f *fleet) takeListCall() bool {
	if f.budget.scalingDeferred && f.budget.scalingSinceList < scalingCallsPerList || !f.takeCallToken() {
		return false
	}
	f.budget.scalingSinceList = 0
	return true
}
