package mirror

import (
	"slices"
	"time"
)

// barriers are the callbacks that wait for a barrier. Those that come while one is under way
// share the next.
type barriers struct {
	pacer    pacer
	active   bool            // a barrier waits for its turn, or was sent and its callbacks have not all run
	inFlight []func(ok bool) // served by the barrier that was sent
	waiting  []func(ok bool) // served by the next one to leave
}

// Barrier calls done, once, when the replica holds everything that any controller can have answered
// before now; ok is false if that could not be found out, or if the replica has to be loaded anew
// before.
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

// startBarrier has a barrier leave for those that wait for one, if there are any.
func (m *Mirror) startBarrier() {
	if len(m.barriers.waiting) == 0 {
		return
	}
	m.barriers.active = true
	m.barriers.pacer.send(m.host, m.options.ReadInterval, m.sendBarrier)
}

// sendBarrier sends the request. Whoever asked before it leaves is served by it.
func (m *Mirror) sendBarrier() {
	if len(m.barriers.waiting) == 0 { // failed meanwhile
		m.barriers.active = false
		return
	}
	m.barriers.inFlight, m.barriers.waiting = m.barriers.waiting, nil
	m.host.RequestChanges(m.revision, 0, true)
}

// finishBarrier calls those that the barrier serves that was answered, and starts the next.
//
// The barrier counts as under way until all of them have been called. Guards against a callback
// that asks for another one: it started that one before its turn, and the end of the answer
// started one more, in which those that the first was to serve were lost.
func (m *Mirror) finishBarrier(ok bool) {
	served := m.barriers.inFlight
	m.barriers.inFlight = nil
	for _, done := range served {
		done(ok)
	}
	m.barriers.active = false
	m.startBarrier()
}

// failBarriers calls everyone that asked: the replica is no longer complete. The answer to a
// request that is under way serves nobody then, and the next one waits for it.
func (m *Mirror) failBarriers() {
	failed := slices.Concat(m.barriers.inFlight, m.barriers.waiting)
	m.barriers.inFlight, m.barriers.waiting = nil, nil
	for _, done := range failed {
		done(false)
	}
}

// AwaitOutcome calls done once the replica holds what became of a write: at once if the
// outcome of the write is decided, after a pause if it is not.
func (m *Mirror) AwaitOutcome(decided bool, pause time.Duration, done func()) {
	look := func() { m.Barrier(func(bool) { done() }) }
	if decided {
		look()
	} else {
		m.host.After(pause, look)
	}
}
