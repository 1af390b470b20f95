// Package mirror keeps a replica of the keys of the state service, a consensus-backed
// key-value store: it loads them page by page, follows their changes by watches, runs read
// barriers, and knows the keys' versions for the guards of compare-and-swap transactions.
//
// It does not know what the keys mean: what it reads goes to a Replica. It has no clock, no
// sockets and no goroutines of its own: requests leave through a Host, and their answers come
// back through the Handle methods, all of them on one goroutine.
//
// Invariants:
//   - While IsReady holds, the replica has every change up to Revision.
//   - No key of the replica steps back to an older version.
//   - A barrier succeeds only once the replica has everything that was committed before
//     the barrier was asked for.
package mirror

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Replica takes the keys that a Mirror reads.
type Replica interface {
	// Reset forgets all keys: a load begins.
	Reset()
	// Put takes a key's new value. It reports whether the mirror is to remember the key's
	// version; a replica that remembers it itself returns false.
	Put(key string, value protocol.Raw, version uint64) (rememberVersion bool)
	// Delete takes the deletion of a key.
	Delete(key string)
	// EndBatch follows each batch of Put and Delete; a load is one batch.
	EndBatch()
	// Loaded follows the last page of a load.
	Loaded()
}

// Host is what a Mirror needs of the process that it runs in.
type Host interface {
	// Now is the steady clock.
	Now() time.Duration
	// After runs a function once a span has passed.
	After(span time.Duration, run func())
	// Info logs a line for operators.
	Info(text string, args ...any)

	// RequestPage reads a page of all keys, those after a key; HandlePage takes the answer.
	RequestPage(afterKey string)
	// RequestChanges waits for changes that are newer than a revision, for the span hold at the
	// most; a barrier does not wait. HandleChanges takes the answer.
	RequestChanges(since uint64, hold time.Duration, barrier bool)
}

// Options are the spans that a Mirror keeps to.
type Options struct {
	MaxStaleness time.Duration // how long an answered watch lets the replica count as fresh
	ReadInterval time.Duration // the shortest time between two barriers, and between two watches
	PageInterval time.Duration // the shortest time between two pages of a load
}

// A watch is held open for Fresh/watchHoldDivisor, so that several fit into the span for which
// the replica counts as fresh; a request that failed is repeated after Fresh/retryDivisor.
const (
	watchHoldDivisor = 8
	retryDivisor     = 16
)

// phase is how far a Mirror has come.
type phase int

const (
	needsLoad phase = iota // nothing is loaded, or the mirror fell too far behind the service
	loading                // a page is under way, or its request waits for a timer
	following              // the replica has everything up to revision
)

// Mirror keeps a Replica in step with the state service.
type Mirror struct {
	host    Host
	replica Replica
	options Options

	phase       phase
	revision    uint64        // up to which the replica has everything, while following
	freshAt     time.Duration // when the newest answered watch or barrier left
	watching    bool          // a watch is open, or about to be
	unavailable bool          // the state service did not answer the last watch or barrier
	versions    map[string]uint64

	load       load
	watchPacer pacer
	barriers   barriers
}

// load is the load that is under way, or the last one.
type load struct {
	afterKey string        // the last key read so far, empty: none yet
	revision uint64        // of the first page
	sentAt   time.Duration // when the request for the first page left
	pacer    pacer
}

// New makes a mirror that begins with a load at the first Maintain.
func New(host Host, replica Replica, options Options) *Mirror {
	return &Mirror{
		host: host, replica: replica, options: options,
		versions: map[string]uint64{},
	}
}

// IsReady reports whether the replica holds everything up to Revision.
func (m *Mirror) IsReady() bool { return m.phase == following }

// IsFresh reports whether the replica is young enough to act on.
func (m *Mirror) IsFresh() bool {
	return m.IsReady() && m.host.Now()-m.freshAt < m.options.MaxStaleness
}

// FreshAt is when the newest answered watch or barrier left.
func (m *Mirror) FreshAt() time.Duration { return m.freshAt }

// IsUnavailable reports whether the state service did not answer last time.
func (m *Mirror) IsUnavailable() bool { return m.unavailable }

// Revision is the one up to which the replica holds every change.
func (m *Mirror) Revision() uint64 { return m.revision }

// LoadRevision is the revision at which the last load began.
func (m *Mirror) LoadRevision() uint64 { return m.load.revision }

// Version is the version of a key, 0 if there is none or the replica remembers it itself.
func (m *Mirror) Version(key string) uint64 { return m.versions[key] }

// VersionCount is of how many keys the mirror remembers the version.
func (m *Mirror) VersionCount() int { return len(m.versions) }

// Guard ties a write to a key's version in the mirror.
func (m *Mirror) Guard(key string) protocol.Guard {
	return protocol.Guard{Key: key, Version: m.versions[key]}
}

// Maintain keeps the replica loaded and a watch open.
func (m *Mirror) Maintain() {
	switch m.phase {
	case needsLoad:
		m.phase = loading
		m.requestPage()
	case following:
		m.openWatch()
	}
}

func (m *Mirror) requestPage() { m.host.RequestPage(m.load.afterKey) }

func (m *Mirror) openWatch() {
	if m.watching {
		return
	}
	m.watching = true
	m.watchPacer.send(m.host, m.options.ReadInterval, func() {
		m.host.RequestChanges(m.revision, m.options.MaxStaleness/watchHoldDivisor, false)
	})
}

// put passes a key on unless a newer version of it is known.
func (m *Mirror) put(key string, value protocol.Raw, version uint64) {
	if m.versions[key] > version {
		return
	}
	if m.replica.Put(key, value, version) {
		m.versions[key] = version
	}
}

// remove passes a deletion on unless a page of a load brought a newer version of the key.
func (m *Mirror) remove(key string, version uint64) {
	if m.versions[key] > version {
		return
	}
	delete(m.versions, key)
	m.replica.Delete(key)
}
