package mirror

import "time"

// barriers are the callbacks that wait for a barrier. Those that come while one is under way
// share the next.
type barriers struct {
	pacer    pacer
	underWay bool            // a barrier was sent, or waits for its turn
	sent     []func(ok bool) // served by the barrier that was sent
	waiting  []func(ok bool) // served by the next one to leave
}

// Barrier calls done once the replica holds everything that any controller can have answered
// before now; ok is false if that could not be found out.
func (m *Mirror) Barrier(done func(ok bool)) {
	if !m.IsReady() {
		done(false)
		return
	}
	m.barriers.waiting = append(m.barriers.waiting, done)
	if !m.barriers.underWay {
		m.startBarrier()
	}
}

func (m *Mirror) startBarrier() {
	if len(m.barriers.waiting) == 0 {
		return
	}
	// Whoever asks before the request leaves is served by it too.
	m.barriers.underWay, m.barriers.sent = true, nil
	m.barriers.pacer.send(m.host, m.options.ReadInterval, func() {
		m.barriers.sent, m.barriers.waiting = m.barriers.waiting, nil
		m.host.RequestChanges(m.revision, 0, true)
	})
}

func (m *Mirror) finishBarrier(ok bool) {
	served := m.barriers.sent
	m.barriers.underWay, m.barriers.sent = false, nil
	for _, done := range served {
		done(ok)
	}
	m.startBarrier()
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
