package mirror_test

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chalkhub/chalkhub/internal/mirror"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// The same draws in every run, unless others are asked for, as in package core.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// barrierModel follows what callbacks of barriers may expect, from outside.
type barrierModel struct {
	*harness
	t *rapid.T

	requestsSeen      int // requests of the harness that the model has looked at
	barriersSent      int
	openBarriers      int
	openWatches       int
	reloads           int // how often the replica had to be loaded anew
	requested, called int
	loadSentAt        time.Duration // when the last load began
}

// requestBarrier asks for a barrier; its callback asks for more of them, nested to a depth.
func (m *barrierModel) requestBarrier(nested, depth int) {
	m.requested++
	calls, sentBefore, lossesBefore, ready := 0, m.barriersSent, m.reloads, m.IsReady()
	m.Barrier(func(ok bool) {
		if calls++; calls > 1 {
			m.t.Fatalf("a callback is called %d times", calls)
		}
		m.called++
		m.observeRequests()
		if ok && (!ready || m.reloads > lossesBefore) {
			m.t.Fatal("a callback is served although the replica was loaded anew meanwhile")
		}
		if ok && m.barriersSent <= sentBefore {
			m.t.Fatal("a callback is served by a barrier that left before it asked")
		}
		if depth > 0 {
			for range nested {
				m.requestBarrier(nested, depth-1)
			}
		}
	})
	m.observeRequests()
}

// observeRequests counts the requests that have left since it was called last.
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
		m.t.Fatalf("%d barriers are under way", m.openBarriers)
	}
}

// respond answers an open barrier or watch.
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

// servePage answers a page of a load, if one is asked for.
func (m *barrierModel) servePage() {
	if len(m.pages) == 0 || m.IsReady() {
		return
	}
	m.pages, m.loadSentAt = nil, m.now
	m.HandlePage(mirror.Page{OK: true, SentAt: m.now, Revision: m.Revision() + 1})
	m.Maintain()
	m.observeRequests()
}

// Whatever is asked for, from callbacks too, answered, refused or compacted in whatever order: every
// callback is called exactly once, by a barrier that left after it asked, with ok only if the replica
// was complete all the while; and one barrier at a time is under way.
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
		for range 100 { // all is answered in the end
			m.servePage()
			m.advance(readInterval)
			m.observeRequests()
			if m.openBarriers > 0 {
				m.respond(true, mirror.Served, m.now)
			}
		}
		if m.called != m.requested {
			rt.Fatalf("%d of %d callbacks were called", m.called, m.requested)
		}
	})
}
