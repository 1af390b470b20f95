package mirror_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chalkhub/chalkhub/internal/mirror"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Every run draws the same values unless flags choose others, as in package core.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// barrierModel checks what Barrier guarantees to its callbacks. It counts the requests that the
// mirror sends and the responses that the test passes to it.
type barrierModel struct {
	*harness
	t *rapid.T

	requestsSeen      int // requests of the harness that the model has counted
	barriersSent      int
	openBarriers      int
	openWatches       int
	reloads           int           // how often the replica had to be loaded again
	requested, called int           // callbacks passed to Barrier, and calls of them
	loadSentAt        time.Duration // when the last load was requested
}

// requestBarrier requests a barrier. If depth is above 0, its callback requests further
// barriers, nested in number, each with a depth that is one less.
func (m *barrierModel) requestBarrier(nested, depth int) {
	m.requested++
	calls, sentBefore, reloadsBefore, ready := 0, m.barriersSent, m.reloads, m.IsReady()
	m.Barrier(func(ok bool) {
		if calls++; calls > 1 {
			m.t.Fatalf("a callback was called %d times, want once", calls)
		}
		m.called++
		m.observeRequests()
		if ok && (!ready || m.reloads > reloadsBefore) {
			m.t.Fatal("a callback succeeded although the replica was not loaded at its request, or had to be loaded again since")
		}
		if ok && m.barriersSent <= sentBefore {
			m.t.Fatal("a callback succeeded with a barrier that was sent before its request")
		}
		if depth > 0 {
			for range nested {
				m.requestBarrier(nested, depth-1)
			}
		}
	})
	m.observeRequests()
}

// observeRequests counts the requests that were sent since its last call.
func (m *barrierModel) observeRequests() {
	for ; m.requestsSeen < len(m.changes); m.requestsSeen++ {
		if request := m.changes[m.requestsSeen]; request.barrier {
			m.barriersSent++
			m.openBarriers++
		} else {
			m.openWatches++
		}
	}
	if m.openBarriers > 1 {
		m.t.Fatalf("%d barriers are in flight, want at most one", m.openBarriers)
	}
}

// respond passes the response to an open barrier or watch to the mirror.
func (m *barrierModel) respond(barrier bool, outcome mirror.ChangesOutcome, sentAt time.Duration) {
	if barrier {
		m.openBarriers--
	} else {
		m.openWatches--
	}
	wasReady := m.IsReady()
	if wasReady && outcome == mirror.Compacted && sentAt >= m.loadSentAt {
		m.reloads++
	}
	m.HandleChanges(mirror.Changes{Barrier: barrier, SentAt: sentAt, Outcome: outcome, Response: protocol.WatchResponse{Revision: m.Revision() + 1}})
	m.observeRequests()
	m.Maintain()
	m.observeRequests()
}

// servePage serves a page of a load, if one is requested.
func (m *barrierModel) servePage() {
	if len(m.pages) == 0 || m.IsReady() {
		return
	}
	m.pages, m.loadSentAt = nil, m.now
	m.HandlePage(mirror.Page{OK: true, SentAt: m.now, Revision: m.Revision() + 1})
	m.Maintain()
	m.observeRequests()
}

// Barriers are requested at random, also from callbacks, and served, refused or compacted in any
// order. Every callback must be called exactly once. It may get true only from a barrier that was
// sent after its request, and only if the replica was complete from the request on. At most one
// barrier may be in flight.
func TestEveryBarrierCallbackIsCalledOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &barrierModel{harness: newHarness(), t: rt}
		m.Maintain()
		m.servePage()
		var barrierSentAt, watchSentAt time.Duration
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			if m.openBarriers == 0 {
				barrierSentAt = m.now
			}
			if m.openWatches == 0 {
				watchSentAt = m.now
			}
			step := rapid.SampledFrom([]string{"ask", "ask", "nested", "pass", "pass", "barrier", "barrier", "watch", "page"}).Draw(rt, "step")
			outcome := rapid.SampledFrom([]mirror.ChangesOutcome{mirror.Served, mirror.Served, mirror.Failed, mirror.Compacted}).Draw(rt, "outcome")
			switch {
			case step == "ask":
				m.requestBarrier(0, 0)
			case step == "nested":
				m.requestBarrier(rapid.IntRange(1, 2).Draw(rt, "nested"), rapid.IntRange(1, 2).Draw(rt, "depth"))
			case step == "pass":
				m.advance(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
				m.observeRequests()
			case step == "barrier" && m.openBarriers > 0:
				m.respond(true, outcome, barrierSentAt)
			case step == "watch" && m.openWatches > 0:
				m.respond(false, outcome, watchSentAt)
			case step == "page":
				m.servePage()
			}
		}
		for range 100 { // in the end every request is served
			m.servePage()
			m.advance(readInterval)
			m.observeRequests()
			if m.openBarriers > 0 {
				m.respond(true, mirror.Served, m.now)
			}
		}
		if m.called != m.requested {
			rt.Fatalf("%d of %d callbacks were called, want all", m.called, m.requested)
		}
	})
}
