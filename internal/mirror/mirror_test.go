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

// harness is a Host and a Replica, and records what a mirror asks of them.
type harness struct {
	*mirror.Mirror
	now    time.Duration
	timers []timer

	pages   []string         // keys after which pages were asked for
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

func (h *harness) After(span time.Duration, run func()) {
	h.timers = append(h.timers, timer{h.now + span, run})
}

func (h *harness) Info(text string, _ ...any) { h.logs = append(h.logs, text) }

func (h *harness) RequestPage(afterKey string) { h.pages = append(h.pages, afterKey) }

func (h *harness) RequestChanges(since uint64, hold time.Duration, barrier bool) {
	h.changes = append(h.changes, changesRequest{since, hold, barrier})
}

func (h *harness) Reset() { h.resets++; clear(h.keys) }

// Put leaves versions of keys below "own/" to the replica.
func (h *harness) Put(key string, value protocol.Raw, _ uint64) bool {
	h.keys[key] = string(value)
	return key[0] != 'o'
}

func (h *harness) Delete(key string) { delete(h.keys, key) }

func (h *harness) EndBatch() { h.batches++ }

func (h *harness) Loaded() { h.loaded++ }

// advance lets time pass and runs the timers that are due.
func (h *harness) advance(span time.Duration) {
	end := h.now + span
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

// load answers the first page with all keys at a revision.
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
	h.Maintain() // a load is under way: nothing more is asked
	h.HandlePage(mirror.Page{OK: true, Items: []protocol.KeyValue{item("a", "1", 3), item("b", "1", 4)}, More: true, Revision: 5})
	h.HandlePage(mirror.Page{})
	requireEqual(t, "ready after half a load", h.IsReady(), false)
	h.advance(fresh)
	h.HandlePage(mirror.Page{OK: true, Items: []protocol.KeyValue{item("c", "1", 7)}, Revision: 8})
	if want := []string{"", "b", "b"}; !slices.Equal(h.pages, want) {
		t.Fatalf("pages after %q, want %q", h.pages, want)
	}
	requireEqual(t, "resets", h.resets, 1)
	requireEqual(t, "loads", h.loaded, 1)
	requireEqual(t, "ready", h.IsReady(), true)
	requireEqual(t, "revision is that of the first page", h.Revision(), 5)
	requireEqual(t, "fresh since the first page left", h.FreshAt(), 0)
	if want := map[string]string{"a": "1", "b": "1", "c": "1"}; !maps.Equal(h.keys, want) {
		t.Fatalf("keys %v", h.keys)
	}
}

func TestNoKeyRevertsToAnOlderVersion(t *testing.T) {
	h := newHarness()
	h.load(5, item("a", "new", 9)) // a later page brought what came after the first
	h.serveChanges(false, 10, put("a", "old", 6), put("b", "1", 7), protocol.WatchEvent{Delete: "a", Version: 8})
	requireEqual(t, "a", h.keys["a"], "new")
	h.serveChanges(true, 7, put("b", "older", 6)) // a barrier that a watch has overtaken
	requireEqual(t, "b", h.keys["b"], "1")
	requireEqual(t, "revision", h.Revision(), 10)
	requireEqual(t, "guard", h.Guard("a"), protocol.Guard{Key: "a", Version: 9})
	requireEqual(t, "version of a missing key", h.Version("x"), 0)
	h.serveChanges(false, 11, protocol.WatchEvent{Delete: "a", Version: 11}, put("own/x", "1", 11))
	requireEqual(t, "version of a deleted key", h.Version("a"), 0)
	requireEqual(t, "version that the replica keeps", h.Version("own/x"), 0)
}

func TestMirrorReloadsAfterCompaction(t *testing.T) {
	h := newHarness()
	h.load(5, item("a", "1", 3))
	h.HandleChanges(mirror.Changes{Outcome: mirror.Compacted})
	requireEqual(t, "ready", h.IsReady(), false)
	served := true
	h.Barrier(func(ok bool) { served = ok })
	requireEqual(t, "barrier without a replica", served, false)
	h.load(50, item("b", "1", 40))
	if want := map[string]string{"b": "1"}; !maps.Equal(h.keys, want) {
		t.Fatalf("keys %v, want %v", h.keys, want)
	}
	requireEqual(t, "version of a key from before", h.Version("a"), 0)
	requireEqual(t, "load revision", h.LoadRevision(), 50)
}

// The watch and a barrier both come too late; one load makes up for it.
func TestSeveralCompactedResponsesCauseOneLoad(t *testing.T) {
	h := newHarness()
	h.load(5)
	h.pages = nil
	h.HandleChanges(mirror.Changes{Outcome: mirror.Compacted})
	h.Maintain()
	h.HandleChanges(mirror.Changes{Barrier: true, Outcome: mirror.Compacted})
	h.Maintain()
	requireEqual(t, "pages asked for", len(h.pages), 1)
}

func TestFreshnessExpiresWithoutResponses(t *testing.T) {
	h := newHarness()
	h.load(5)
	h.advance(fresh - 1)
	requireEqual(t, "fresh", h.IsFresh(), true)
	h.HandleChanges(mirror.Changes{SentAt: h.now})
	h.advance(1)
	requireEqual(t, "fresh after a failed watch", h.IsFresh(), false)
	requireEqual(t, "ready all the same", h.IsReady(), true)
	requireEqual(t, "unavailable", h.IsUnavailable(), true)
	h.HandleChanges(mirror.Changes{}) // is logged once
	h.serveChanges(false, 6)
	requireEqual(t, "fresh again", h.IsFresh(), true)
	if want := []string{"state service does not answer", "state service is back"}; !slices.Equal(h.logs, want) {
		t.Fatalf("logs %q, want %q", h.logs, want)
	}
}

func TestOneWatchIsOpen(t *testing.T) {
	h := newHarness()
	h.load(5)
	for range 3 {
		h.Maintain()
	}
	requireEqual(t, "watches", len(h.changes), 1)
	requireEqual(t, "watch", h.changes[0], changesRequest{since: 5, hold: fresh / 8})
	for revision := range uint64(10) { // answered at once, each time
		h.serveChanges(false, 6+revision)
		h.Maintain()
	}
	requireEqual(t, "watches within an interval", len(h.changes), 1)
	h.advance(readInterval)
	requireEqual(t, "watches after it", len(h.changes), 2)
	requireEqual(t, "watch", h.changes[1].since, 15)
}

func TestFailedWatchIsRetriedAfterDelay(t *testing.T) {
	h := newHarness()
	h.load(5)
	h.HandleChanges(mirror.Changes{})
	h.Maintain()
	requireEqual(t, "watches", len(h.changes), 1)
	h.advance(fresh)
	requireEqual(t, "watches after the pause", len(h.changes), 2)
}

func TestBarriersAreShared(t *testing.T) {
	h := newHarness()
	h.load(5)
	h.changes = nil
	var served []string
	ask := func(name string) {
		h.Barrier(func(ok bool) {
			if ok {
				served = append(served, name)
			}
		})
	}
	ask("a")
	ask("b") // while a's is on its way
	ask("c")
	requireEqual(t, "barriers", len(h.changes), 1)
	h.serveChanges(true, 6)
	if want := []string{"a"}; !slices.Equal(served, want) {
		t.Fatalf("served %q, want %q: who asked later needs a later barrier", served, want)
	}
	ask("d") // before the next one leaves
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
	requireEqual(t, "barriers after the pause", len(h.changes), 1)
	h.serveChanges(true, 6)
	h.advance(time.Second)
	h.AwaitOutcome(true, time.Second, func() {})
	requireEqual(t, "barriers", len(h.changes), 2)
}

// Callbacks of a barrier that ask for another one, while a third waits. Each is served, by one
// barrier at a time, however long the answers take.
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
		asked := len(h.changes)
		if asked > 1 {
			t.Fatalf("%d barriers are under way", asked)
		}
		h.changes = nil
		if asked == 1 {
			h.serveChanges(true, 6)
		}
	}
	requireEqual(t, "served", served, 3)
}
