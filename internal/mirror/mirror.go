// Package mirror keeps a local replica of the keys of the state service, a consensus-backed
// key-value store: it loads them page by page, follows their changes with watches, runs read
// barriers, and records the keys' versions for the guards of compare-and-swap transactions.
//
// It does not know what the keys mean: it passes what it reads to a Replica. It has no clock, no
// sockets and no goroutines of its own: it sends requests through a Host and receives their
// responses through the Handle methods. All calls must be made on one goroutine.
//
// Invariants:
//   - While IsReady holds, the replica has every change up to Revision.
//   - No key of the replica reverts to an older version.
//   - A barrier succeeds only once the replica has everything that was committed before
//     the barrier was requested.
package mirror

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Replica stores the keys that a Mirror reads.
type Replica interface {
	// Reset deletes all keys. It is called when a load begins.
	Reset()
	// Put stores a key's new value. It reports whether the mirror should record the key's
	// version; a replica that records it itself returns false.
	Put(key string, value protocol.Raw, version uint64) (recordVersion bool)
	// Delete deletes a key.
	Delete(key string)
	// EndBatch is called after each batch of Put and Delete; a load is one batch.
	EndBatch()
	// Loaded is called once the last page of a load has been stored.
	Loaded()
}

// Host is what a Mirror needs from the process that it runs in.
type Host interface {
	// Now returns the time of a monotonic clock.
	Now() time.Duration
	// After calls run once, after a delay, on the goroutine that the mirror runs on.
	After(delay time.Duration, run func())
	// Info logs a line for operators.
	Info(text string, args ...any)

	// RequestPage requests a page of all keys: those after afterKey, or the first page if that
	// is empty. The response is passed to HandlePage.
	RequestPage(afterKey string)
	// RequestChanges requests the changes that are newer than the revision since. A watch waits
	// for changes, for hold at the most; a barrier does not wait. The response is passed to
	// HandleChanges.
	RequestChanges(since uint64, hold time.Duration, barrier bool)
}

// Options are the time limits of a Mirror.
type Options struct {
	MaxStaleness time.Duration // the replica is fresh for this long after a successful read was sent
	ReadInterval time.Duration // the shortest time between two barriers, and between two watches
	PageInterval time.Duration // the shortest time between two pages of a load
}

// A watch is held open for MaxStaleness/watchHoldDivisor, so that several fit into the time for
// which the replica is fresh; a request that failed is repeated after MaxStaleness/retryDivisor.
const (
	watchHoldDivisor = 8
	retryDivisor     = 16
)

// phase is the load state of a Mirror's replica.
type phase int

const (
	needsLoad phase = iota // nothing is loaded, or the service no longer keeps changes that the replica lacks
	loading                // a page request is in flight or scheduled
	following              // the replica has every change up to revision
)

// Mirror keeps a Replica up to date with the state service. It is not safe for concurrent use.
type Mirror struct {
	host    Host
	replica Replica
	options Options

	phase       phase
	revision    uint64        // the replica has every change up to this one, while following
	freshAt     time.Duration // when the newest successful load, watch or barrier was sent
	watching    bool          // a watch is open or scheduled
	unavailable bool          // a watch or barrier failed, and none has been served since
	versions    map[string]uint64

	load       load
	watchPacer pacer
	barriers   barriers
}

// load is the state of the load in progress, or of the last one.
type load struct {
	afterKey string        // the last key read so far; empty before the first page and after the last one
	revision uint64        // revision of the first page
	sentAt   time.Duration // when the first page was requested
	pacer    pacer
}

// New returns a mirror that starts its first load when Maintain is called.
func New(host Host, replica Replica, options Options) *Mirror {
	return &Mirror{
		host: host, replica: replica, options: options,
		versions: map[string]uint64{},
	}
}

// IsReady reports whether the replica is loaded and has every change up to Revision.
func (m *Mirror) IsReady() bool { return m.phase == following }

// IsFresh reports whether the replica is recent enough to act on: it is ready, and its newest
// successful load, watch or barrier was sent less than MaxStaleness ago.
func (m *Mirror) IsFresh() bool {
	return m.IsReady() && m.host.Now()-m.freshAt < m.options.MaxStaleness
}

// FreshAt returns when the newest successful load, watch or barrier was sent, by the host's
// clock.
func (m *Mirror) FreshAt() time.Duration { return m.freshAt }

// IsUnavailable reports whether a watch or barrier failed and none has been served since.
func (m *Mirror) IsUnavailable() bool { return m.unavailable }

// Revision returns the revision up to which the replica has every change. It holds only while
// IsReady does.
func (m *Mirror) Revision() uint64 { return m.revision }

// LoadRevision returns the revision of the first page of the newest load.
func (m *Mirror) LoadRevision() uint64 { return m.load.revision }

// Version returns the version of a key; 0 if the key is missing or the replica records its
// version itself.
func (m *Mirror) Version(key string) uint64 { return m.versions[key] }

// VersionCount returns the number of keys whose version the mirror records.
func (m *Mirror) VersionCount() int { return len(m.versions) }

// Guard returns the guard of a transaction that a key still has the version that the mirror
// recorded or, without a recorded version, that the key does not exist. It is not meant for keys
// whose versions the replica records itself.
func (m *Mirror) Guard(key string) protocol.Guard {
	return protocol.Guard{Key: key, Version: m.versions[key]}
}

// Maintain starts a load if the replica needs one, and otherwise opens a watch if none is open.
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

// put passes a value to the replica unless a newer version of the key is recorded.
func (m *Mirror) put(key string, value protocol.Raw, version uint64) {
	if m.versions[key] > version {
		return
	}
	if m.replica.Put(key, value, version) {
		m.versions[key] = version
	}
}

// remove passes a deletion to the replica unless a page of a load contained a newer version of the
// key.
func (m *Mirror) remove(key string, version uint64) {
	if m.versions[key] > version {
		return
	}
	delete(m.versions, key)
	m.replica.Delete(key)
}
