package mirror

import (
	"slices"
	"time"
)

// barriers holds the callbacks that wait for a read barrier. Callbacks that are added while a
// barrier request is in flight share the next barrier.
type barriers struct {
	pacer    pacer
	active   bool            // a barrier is scheduled or in flight, or its callbacks have not all returned
	inFlight []func(ok bool) // callbacks of the barrier that was sent
	waiting  []func(ok bool) // callbacks of the next barrier to be sent
}

// Barrier runs a read barrier and calls done exactly once: with true when the replica has every
// change on which any controller can have based a response before this call, and with false if
// the barrier failed or the replica is not loaded or has to be loaded again. done may run before
// Barrier returns, and may call Barrier itself.
func (m *Mirror) Barrier(done func(ok bool)) {
	if !m.IsReady() {
		done(false)
		return
	}
	m.barriers.waiting = append(m.barriers.waiting, done)
	if !m.barriers.active {
		m.startBarrier()
	}
}

// startBarrier schedules a barrier if any callback waits for one.
func (m *Mirror) startBarrier() {
	if len(m.barriers.waiting) == 0 {
		return
	}
	m.barriers.active = true
	m.barriers.pacer.send(m.host, m.options.ReadInterval, m.sendBarrier)
}

// sendBarrier sends the request on behalf of every callback that is waiting at this moment.
func (m *Mirror) sendBarrier() {
	if len(m.barriers.waiting) == 0 { // failBarriers has called them since the barrier was scheduled
		m.barriers.active = false
		return
	}
	m.barriers.inFlight, m.barriers.waiting = m.barriers.waiting, nil
	m.host.RequestChanges(m.revision, 0, true)
}

// finishBarrier runs the callbacks of the barrier in flight once its response has arrived, and
// schedules the next barrier.
//
// The barrier stays active until all its callbacks have returned. Otherwise a callback that
// requests another barrier would schedule that one at once, and the end of this function would
// schedule one more. Sending the second would overwrite the first one's callbacks, which would
// then never be called.
func (m *Mirror) finishBarrier(ok bool) {
	callbacks := m.barriers.inFlight
	m.barriers.inFlight = nil
	for _, done := range callbacks {
		done(ok)
	}
	m.barriers.active = false
	m.startBarrier()
}

// failBarriers runs all callbacks with false, because the replica is no longer complete. If a
// barrier is in flight, its response then has no callbacks to run; the next barrier is still not
// sent before that response has arrived.
func (m *Mirror) failBarriers() {
	failed := slices.Concat(m.barriers.inFlight, m.barriers.waiting)
	m.barriers.inFlight, m.barriers.waiting = nil, nil
	for _, done := range failed {
		done(false)
	}
}

// AwaitOutcome runs a barrier after a write, so that the replica shows whether the write was
// applied, and then calls done, also if the barrier failed. If the outcome is not decided, the
// write may still be applied, so the barrier is requested only after delay.
func (m *Mirror) AwaitOutcome(decided bool, delay time.Duration, done func()) {
	awaitBarrier := func() { m.Barrier(func(bool) { done() }) }
	if decided {
		awaitBarrier()
	} else {
		m.host.After(delay, awaitBarrier)
	}
}
