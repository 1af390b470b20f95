package mirror_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/mirror"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	fresh        = 8 * time.Second
	readInterval = 100 * time.Millisecond
	pageInterval = 50 * time.Millisecond
)

// harness is a Host and a Replica that records what a mirror requests of them.
type harness struct {
	*mirror.Mirror
	now    time.Duration
	timers []timer

	pages   []string         // keys after which pages were requested
	changes []changesRequest // watches and barriers
	logs    []string

	keys    map[string]string
	resets  int
	batches int
	loaded  int
}

type timer struct {
	at  time.Duration
	run func()
}

type changesRequest struct {
	since   uint64
	hold    time.Duration
	barrier bool
}

func newHarness() *harness {
	h := &harness{keys: map[string]string{}}
	h.Mirror = mirror.New(h, h, mirror.Options{MaxStaleness: fresh, ReadInterval: readInterval, PageInterval: pageInterval})
	return h
}

func (h *harness) Now() time.Duration { return h.now }

func (h *harness) After(delay time.Duration, run func()) {
	h.timers = append(h.timers, timer{h.now + delay, run})
}

func (h *harness) Info(text string, _ ...any) { h.logs = append(h.logs, text) }

func (h *harness) RequestPage(afterKey string) { h.pages = append(h.pages, afterKey) }

func (h *harness) RequestChanges(since uint64, hold time.Duration, barrier bool) {
	h.changes = append(h.changes, changesRequest{since, hold, barrier})
}

func (h *harness) Reset() { h.resets++; clear(h.keys) }

// Put reports that the replica itself records the versions of keys below "own/".
func (h *harness) Put(key string, value protocol.Raw, _ uint64) bool {
	h.keys[key] = string(value)
	return key[0] != 'o'
}

func (h *harness) Delete(key string) { delete(h.keys, key) }

func (h *harness) EndBatch() { h.batches++ }

func (h *harness) Loaded() { h.loaded++ }

// advance moves the clock on and runs the timers that become due, in order of time.
func (h *harness) advance(duration time.Duration) {
	end := h.now + duration
	for {
		next := -1
		for i := range h.timers {
			if h.timers[i].at <= end && (next < 0 || h.timers[i].at < h.timers[next].at) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		due := h.timers[next]
		h.timers = slices.Delete(h.timers, next, next+1)
		h.now = max(h.now, due.at)
		due.run()
	}
	h.now = end
}

// load serves the first page with all keys at a revision.
func (h *harness) load(revision uint64, items ...protocol.KeyValue) {
	h.Maintain()
	h.HandlePage(mirror.Page{OK: true, SentAt: h.now, Items: items, Revision: revision})
	h.Maintain() // opens the watch
}

func (h *harness) serveChanges(barrier bool, revision uint64, events ...protocol.WatchEvent) {
	h.HandleChanges(mirror.Changes{Barrier: barrier, SentAt: h.now, Outcome: mirror.Served, Response: protocol.WatchResponse{Revision: revision, Events: events}})
}

func item(key, value string, version uint64) protocol.KeyValue {
	return protocol.KeyValue{Key: key, Value: protocol.Raw(value), Version: version}
}

func put(key, value string, version uint64) protocol.WatchEvent {
	return protocol.WatchEvent{Put: key, Value: protocol.Raw(value), Version: version}
}

func requireEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: %v, want %v", what, got, want)
	}
}

func TestLoadResumesAfterFailedPage(t *testing.T) {
	h := newHarness()
	h.Maintain()
	h.Maintain() // a load is in progress: nothing more is requested
	h.HandlePage(mirror.Page{OK: true, Items: []protocol.KeyValue{item("a", "1", 3), item("b", "1", 4)}, More: true, Revision: 5})
	h.HandlePage(mirror.Page{})
	requireEqual(t, "ready after a part of the load", h.IsReady(), false)
	h.advance(fresh)
	h.HandlePage(mirror.Page{OK: true, Items: []protocol.KeyValue{item("c", "1", 7)}, Revision: 8})
	if want := []string{"", "b", "b"}; !slices.Equal(h.pages, want) {
		t.Fatalf("pages requested after keys %q, want %q", h.pages, want)
	}
	requireEqual(t, "resets", h.resets, 1)
	requireEqual(t, "loads", h.loaded, 1)
	requireEqual(t, "ready", h.IsReady(), true)
	requireEqual(t, "revision (that of the first page)", h.Revision(), 5)
	requireEqual(t, "fresh since (when the first page was requested)", h.FreshAt(), 0)
	if want := map[string]string{"a": "1", "b": "1", "c": "1"}; !maps.Equal(h.keys, want) {
		t.Fatalf("keys %v", h.keys)
	}
}

func TestNoKeyRevertsToAnOlderVersion(t *testing.T) {
	h := newHarness()
	h.load(5, item("a", "new", 9)) // changed after the first page's revision, 5
	h.serveChanges(false, 10, put("a", "old", 6), put("b", "1", 7), protocol.WatchEvent{Delete: "a", Version: 8})
	requireEqual(t, "a", h.keys["a"], "new")
	h.serveChanges(true, 7, put("b", "older", 6)) // a barrier's response, older than that of the watch
	requireEqual(t, "b", h.keys["b"], "1")
	requireEqual(t, "revision", h.Revision(), 10)
	requireEqual(t, "guard", h.Guard("a"), protocol.Guard{Key: "a", Version: 9})
	requireEqual(t, "version of a missing key", h.Version("x"), 0)
	h.serveChanges(false, 11, protocol.WatchEvent{Delete: "a", Version: 11}, put("own/x", "1", 11))
	requireEqual(t, "version of a deleted key", h.Version("a"), 0)
	requireEqual(t, "version that the replica records itself", h.Version("own/x"), 0)
}

func TestMirrorReloadsAfterCompaction(t *testing.T) {
	h := newHarness()
	h.load(5, item("a", "1", 3))
	h.HandleChanges(mirror.Changes{Outcome: mirror.Compacted})
	requireEqual(t, "ready", h.IsReady(), false)
	served := true
	h.Barrier(func(ok bool) { served = ok })
	requireEqual(t, "barrier served while the replica is not loaded", served, false)
	h.load(50, item("b", "1", 40))
	if want := map[string]string{"b": "1"}; !maps.Equal(h.keys, want) {
		t.Fatalf("keys %v, want %v", h.keys, want)
	}
	requireEqual(t, "version of a key from before the reload", h.Version("a"), 0)
	requireEqual(t, "load revision", h.LoadRevision(), 50)
}

// The watch and a barrier both get the response that their changes are compacted. The second
// response arrives while the load is in progress and must not cause another one.
func TestSeveralCompactedResponsesCauseOneLoad(t *testing.T) {
	h := newHarness()
	h.load(5)
	h.pages = nil
	h.HandleChanges(mirror.Changes{Outcome: mirror.Compacted})
	h.Maintain()
	h.HandleChanges(mirror.Changes{Barrier: true, Outcome: mirror.Compacted})
	h.Maintain()
	requireEqual(t, "pages requested", len(h.pages), 1)
}

func TestFreshnessExpiresWithoutResponses(t *testing.T) {
	h := newHarness()
	h.load(5)
	h.advance(fresh - 1)
	requireEqual(t, "fresh", h.IsFresh(), true)
	h.HandleChanges(mirror.Changes{SentAt: h.now})
	h.advance(1)
	requireEqual(t, "fresh after a failed watch", h.IsFresh(), false)
	requireEqual(t, "ready after a failed watch", h.IsReady(), true)
	requireEqual(t, "unavailable", h.IsUnavailable(), true)
	h.HandleChanges(mirror.Changes{}) // not logged again
	h.serveChanges(false, 6)
	requireEqual(t, "fresh again", h.IsFresh(), true)
	if want := []string{"state service unavailable", "state service available again"}; !slices.Equal(h.logs, want) {
		t.Fatalf("logs %q, want %q", h.logs, want)
	}
}

func TestOnlyOneWatchIsOpenPerInterval(t *testing.T) {
	h := newHarness()
	h.load(5)
	for range 3 {
		h.Maintain()
	}
	requireEqual(t, "watches", len(h.changes), 1)
	requireEqual(t, "watch", h.changes[0], changesRequest{since: 5, hold: fresh / 8})
	for revision := range uint64(10) { // served at once, each time
		h.serveChanges(false, 6+revision)
		h.Maintain()
	}
	requireEqual(t, "watches within an interval", len(h.changes), 1)
	h.advance(readInterval)
	requireEqual(t, "watches after the interval", len(h.changes), 2)
	requireEqual(t, "revision of the second watch", h.changes[1].since, 15)
}

func TestFailedWatchIsRetriedAfterDelay(t *testing.T) {
	h := newHarness()
	h.load(5)
	h.HandleChanges(mirror.Changes{})
	h.Maintain()
	requireEqual(t, "watches", len(h.changes), 1)
	h.advance(fresh)
	requireEqual(t, "watches after the delay", len(h.changes), 2)
}

func TestBarriersAreShared(t *testing.T) {
	h := newHarness()
	h.load(5)
	h.changes = nil
	var served []string
	requestBarrier := func(name string) {
		h.Barrier(func(ok bool) {
			if ok {
				served = append(served, name)
			}
		})
	}
	requestBarrier("a")
	requestBarrier("b") // while a's barrier is in flight
	requestBarrier("c")
	requireEqual(t, "barriers", len(h.changes), 1)
	h.serveChanges(true, 6)
	if want := []string{"a"}; !slices.Equal(served, want) {
		t.Fatalf("served %q, want %q: a barrier must not serve callbacks that were added after it was sent", served, want)
	}
	requestBarrier("d") // before the next barrier is sent
	h.advance(readInterval)
	requireEqual(t, "barriers", len(h.changes), 2)
	h.serveChanges(true, 6)
	if want := []string{"a", "b", "c", "d"}; !slices.Equal(served, want) {
		t.Fatalf("served %q, want %q", served, want)
	}
}

func TestFailedBarrierReportsFailure(t *testing.T) {
	h := newHarness()
	h.load(5)
	called, served := false, true
	h.Barrier(func(ok bool) { called, served = true, ok })
	h.HandleChanges(mirror.Changes{Barrier: true})
	requireEqual(t, "called", called, true)
	requireEqual(t, "served", served, false)
}

func TestUndecidedOutcomeIsReadAfterDelay(t *testing.T) {
	h := newHarness()
	h.load(5)
	h.changes = nil
	h.AwaitOutcome(false, time.Second, func() {})
	requireEqual(t, "barriers", len(h.changes), 0)
	h.advance(time.Second)
	requireEqual(t, "barriers after the delay", len(h.changes), 1)
	h.serveChanges(true, 6)
	h.advance(time.Second)
	h.AwaitOutcome(true, time.Second, func() {})
	requireEqual(t, "barriers", len(h.changes), 2)
}

// Callbacks of a barrier request another one while further callbacks wait. Each callback must be
// served, and only one barrier may be in flight, however long the responses take.
func TestBarrierRequestedByCallbackIsServed(t *testing.T) {
	h := newHarness()
	h.load(5)
	h.changes = nil
	served := 0
	for range 3 {
		h.Barrier(func(bool) { h.Barrier(func(bool) { served++ }) })
	}
	for range 4 {
		h.advance(3 * readInterval)
		requested := len(h.changes)
		if requested > 1 {
			t.Fatalf("%d barriers are in flight, want at most one", requested)
		}
		h.changes = nil
		if requested == 1 {
			h.serveChanges(true, 6)
		}
	}
	requireEqual(t, "served", served, 3)
}
