// Package kvstore is the state machine of the key-value store: keys with revisions,
// compare-and-swap transactions, leases with the keys that are attached to them, and the
// latest events for watches, as specified in the PROTOCOL's "Controller nodes -> state
// service".
//
// It owns the contents of the store and the rules by which they change. It does no input or
// output, reads no clock and starts no goroutine: it does not know when a lease expires,
// whether a change is durable, or which client sent a request. Packages kvserver and kvfile
// are responsible for those.
//
// Invariants:
//   - A State never changes and may be read by any number of goroutines.
//   - A Batch starts from one State, applies changes one after another, and holds the next
//     State and the writes that must reach the disk for it. The store's owner publishes the
//     next State only once these writes are durable, and keeps the earlier State if they
//     fail.
//   - Each transaction with changes has a revision of its own, which is the previous revision
//     plus one. The end of a lease deletes all keys that are attached to it in one revision.
//   - Events of one revision are retained or dropped together.
package kvstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
	"sort"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// RetainedEvents is the number of events that are retained for watches (PROTOCOL, GET
// /follow).
const RetainedEvents = 10_000

// Bounds of a page of keys (PROTOCOL, GET /store).
const (
	maxPageItems = 1000
	maxPageBytes = 512 << 10
)

// itemOverheadBytes is the encoded size of a page's item without its key and value: field
// names and numbers.
const itemOverheadBytes = 32

// ErrCompacted is returned to a watch that starts from a revision whose later events are no
// longer all retained. The caller must read the keys again.
var ErrCompacted = errors.New("the revision is older than the retained events")

// ErrInconsistent is returned for saved contents that contradict themselves.
var ErrInconsistent = errors.New("the saved contents are inconsistent")

// Entry is a key's value, its version and the lease that it is attached to.
type Entry struct {
	Value   protocol.Raw `msgpack:"v"`
	Version uint64       `msgpack:"r"`           // revision of the last change to the key
	LeaseID uint64       `msgpack:"l,omitempty"` // lease that the key is attached to; 0 means none
}

// EncodeEntry encodes an entry for storage.
func EncodeEntry(entry Entry) []byte { return protocol.Encode(entry) }

// DecodeEntry decodes the output of EncodeEntry.
func DecodeEntry(encoded []byte) (entry Entry, err error) {
	err = msgpack.Unmarshal(encoded, &entry)
	return entry, err
}

// State is the contents of the store at one revision. It is immutable.
type State struct {
	Revision    uint64
	LastLeaseID uint64 // the ID granted last; IDs start at 1
	entries     *iradix.Tree[Entry]
	leaseTTLs   *iradix.Tree[int64]    // milliseconds, by leaseKey
	attachments *iradix.Tree[struct{}] // by attachmentKey
	events      []protocol.WatchEvent  // the retained events, oldest first
	// compactRevision is the oldest revision that a watch can start from: all events after
	// it are retained.
	compactRevision uint64
}

// NewState returns an empty store at revision 0.
func NewState() *State {
	return &State{entries: iradix.New[Entry](), leaseTTLs: iradix.New[int64](), attachments: iradix.New[struct{}]()}
}

// Contents is everything that a State holds, in the form in which it is saved.
type Contents struct {
	Revision        uint64
	LastLeaseID     uint64
	CompactRevision uint64
	Entries         map[string]Entry
	LeaseTTLs       map[uint64]int64      // milliseconds
	Events          []protocol.WatchEvent // oldest first
}

// Restore creates a State from saved contents, whose events it takes over. The error wraps
// ErrInconsistent if no sequence of changes could have produced the contents.
func Restore(contents Contents) (*State, error) {
	leaseTTLs, err := restoreLeases(&contents)
	if err != nil {
		return nil, err
	}
	entries, attachments, err := restoreEntries(&contents)
	if err != nil {
		return nil, err
	}
	if err := checkEvents(&contents); err != nil {
		return nil, err
	}
	return &State{
		Revision:        contents.Revision,
		LastLeaseID:     contents.LastLeaseID,
		entries:         entries,
		leaseTTLs:       leaseTTLs,
		attachments:     attachments,
		events:          contents.Events,
		compactRevision: contents.CompactRevision,
	}, nil
}

func restoreLeases(contents *Contents) (*iradix.Tree[int64], error) {
	leaseTTLs := iradix.New[int64]().Txn()
	for id, ttl := range contents.LeaseTTLs {
		if id == 0 || id > contents.LastLeaseID {
			return nil, fmt.Errorf("%w: lease ID %d is not between 1 and %d", ErrInconsistent, id, contents.LastLeaseID)
		}
		leaseTTLs.Insert(leaseKey(id), ttl)
	}
	return leaseTTLs.Commit(), nil
}

func restoreEntries(contents *Contents) (*iradix.Tree[Entry], *iradix.Tree[struct{}], error) {
	entries, attachments := iradix.New[Entry]().Txn(), iradix.New[struct{}]().Txn()
	for key, entry := range contents.Entries {
		if entry.Version == 0 || entry.Version > contents.Revision {
			return nil, nil, fmt.Errorf("%w: key %s has version %d, want 1 to the store's revision %d",
				ErrInconsistent, key, entry.Version, contents.Revision)
		}
		if entry.LeaseID != 0 {
			if _, ok := contents.LeaseTTLs[entry.LeaseID]; !ok {
				return nil, nil, fmt.Errorf("%w: key %s is attached to lease %d, which does not exist",
					ErrInconsistent, key, entry.LeaseID)
			}
			attachments.Insert(attachmentKey(entry.LeaseID, key), struct{}{})
		}
		entries.Insert([]byte(key), entry)
	}
	return entries.Commit(), attachments.Commit(), nil
}

// checkEvents checks that the events' versions never decrease, are above the compact
// revision (0 if no events were dropped yet) and are at most the store's revision.
func checkEvents(contents *Contents) error {
	previous := uint64(0)
	for i := range contents.Events {
		version := contents.Events[i].Version
		compacted := version != 0 && version <= contents.CompactRevision
		if compacted || version > contents.Revision || version < previous {
			return fmt.Errorf("%w: event %d has version %d, which is compacted, above the store's revision or below the version of the event before",
				ErrInconsistent, i, version)
		}
		previous = version
	}
	return nil
}

// leaseKey encodes a lease ID so that keys sort by ID.
func leaseKey(leaseID uint64) []byte { return binary.BigEndian.AppendUint64(nil, leaseID) }

// leaseKeyBytes is the length of a leaseKey.
const leaseKeyBytes = 8

// attachmentKey begins with the lease's key, so that one prefix walk finds all keys that
// are attached to a lease.
func attachmentKey(leaseID uint64, key string) []byte { return append(leaseKey(leaseID), key...) }

// Len returns the number of keys.
func (s *State) Len() int { return s.entries.Len() }

// CompactRevision returns the oldest revision that a watch can start from.
func (s *State) CompactRevision() uint64 { return s.compactRevision }

// Events returns the retained events, oldest first. The caller must not change them.
func (s *State) Events() []protocol.WatchEvent { return s.events }

// Get returns the entry of a key, and false if the key does not exist.
func (s *State) Get(key string) (Entry, bool) { return s.entries.Get([]byte(key)) }

// LeaseTTLs returns the times to live of all leases in milliseconds, by lease ID.
func (s *State) LeaseTTLs() map[uint64]int64 {
	ttls := map[uint64]int64{}
	s.leaseTTLs.Root().Walk(func(key []byte, ttl int64) bool {
		ttls[binary.BigEndian.Uint64(key)] = ttl
		return false
	})
	return ttls
}

// LeaseTTL returns a lease's time to live in milliseconds, and false if the lease does not
// exist.
func (s *State) LeaseTTL(leaseID uint64) (int64, bool) { return s.leaseTTLs.Get(leaseKey(leaseID)) }

// All iterates over all keys and their entries in key order.
func (s *State) All() iter.Seq2[string, Entry] {
	return func(yield func(string, Entry) bool) {
		s.entries.Root().Walk(func(key []byte, entry Entry) bool { return !yield(string(key), entry) })
	}
}

// Range returns one page of the keys that begin with a prefix, in order. It skips the keys up
// to and including the parameter after, which is empty for the first page. A limit that is not
// positive or is above the maximum number of items per page means that maximum. A page also
// ends at the maximum size, but holds at least one item if there is one.
func (s *State) Range(prefix, after string, limit int) protocol.KeyPage {
	if limit <= 0 || limit > maxPageItems {
		limit = maxPageItems
	}
	page := protocol.KeyPage{Items: []protocol.KeyValue{}, Revision: s.Revision}
	iterator := s.entries.Root().Iterator()
	iterator.SeekLowerBound([]byte(firstKey(prefix, after)))
	size := 0
	for {
		key, entry, ok := iterator.Next()
		if !ok || !strings.HasPrefix(string(key), prefix) {
			return page
		}
		size += itemBytes(key, entry)
		if len(page.Items) == limit || size > maxPageBytes && len(page.Items) > 0 {
			page.More = true
			return page
		}
		page.Items = append(page.Items, protocol.KeyValue{Key: string(key), Value: entry.Value, Version: entry.Version})
	}
}

// firstKey returns the lower bound of the keys that begin with a prefix and sort after the
// parameter after, which is empty for the first page.
func firstKey(prefix, after string) string {
	if after == "" {
		return prefix
	}
	return max(prefix, after+"\x00")
}

// itemBytes estimates the size of an item in a page. A value counts with the size of its
// text form, which for the controllers' values is at most a quarter longer than the stored
// form, because of their numbers and quotes.
func itemBytes(key []byte, entry Entry) int {
	return len(key) + len(entry.Value)*5/4 + itemOverheadBytes
}

// EventsSince returns all events after a revision that are about keys with a prefix. It
// returns ErrCompacted if not all events after that revision are retained.
func (s *State) EventsSince(prefix string, revision uint64) (protocol.WatchResponse, error) {
	if revision < s.compactRevision {
		return protocol.WatchResponse{}, ErrCompacted
	}
	response := protocol.WatchResponse{Revision: s.Revision, Events: []protocol.WatchEvent{}}
	begin := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > revision })
	for _, event := range s.events[begin:] {
		if matchesPrefix(event, prefix) {
			response.Events = append(response.Events, event)
		}
	}
	return response, nil
}

// matchesPrefix reports whether an event is about a key with a prefix. One of Put and Delete
// is empty; without the checks for that, it would match an empty prefix.
func matchesPrefix(event protocol.WatchEvent, prefix string) bool {
	return event.Put != "" && strings.HasPrefix(event.Put, prefix) ||
		event.Delete != "" && strings.HasPrefix(event.Delete, prefix)
}
