// Package kvstore is the state machine of the key-value store: keys with revisions,
// compare-and-swap transactions, leases with the keys that are attached to them, and the
// last events for watches, as the PROTOCOL's "Controller nodes -> state service" has them.
//
// It owns what the store holds and the rules by which that changes. It has no input,
// output, clock or goroutine: it does not know when a lease expires, whether a change is
// durable, or who asks. Those are the business of packages kvserver and kvfile.
//
// Invariants:
//   - A State never changes and may be read by any number of goroutines.
//   - A Batch starts from one State, applies changes one after another, and holds the next
//     State and what must be written to disk for it. Whoever owns the store publishes the
//     next State only once that is durable, and keeps the earlier one if it never is.
//   - Each change has a revision of its own, one above the last. A lease's end removes all
//     keys that are attached to it with one revision.
//   - Events of one revision are kept or forgotten together.
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

// RetainedEvents is how many events are kept for watches (PROTOCOL, GET /follow).
const RetainedEvents = 10_000

// Bounds of a page of keys (PROTOCOL, GET /store).
const (
	maxPageItems = 1000
	maxPageBytes = 512 << 10
)

// itemOverheadBytes is what an item of a page takes beside its key and value: field names
// and numbers.
const itemOverheadBytes = 32

// ErrCompacted says that a watch asked for events from before the ones that are kept: the
// caller must read the keys again.
var ErrCompacted = errors.New("the revision is older than the events that are kept")

// ErrInconsistent says that saved contents contradict themselves.
var ErrInconsistent = errors.New("the contents are inconsistent")

// Entry is what is stored under a key.
type Entry struct {
	Value   protocol.Raw `msgpack:"v"`
	Version uint64       `msgpack:"r"`           // the revision of its last change
	LeaseID uint64       `msgpack:"l,omitempty"` // the lease that it is attached to, 0: none
}

// EncodeEntry turns an entry into the form in which it is saved.
func EncodeEntry(entry Entry) []byte { return protocol.Encode(entry) }

// DecodeEntry reads what EncodeEntry made.
func DecodeEntry(encoded []byte) (entry Entry, err error) {
	err = msgpack.Unmarshal(encoded, &entry)
	return entry, err
}

// State is the store at one revision. It is immutable.
type State struct {
	Revision    uint64
	LastLeaseID uint64 // leases are numbered from 1
	entries     *iradix.Tree[Entry]
	leaseTTLs   *iradix.Tree[int64]    // milliseconds, by leaseKey
	attachments *iradix.Tree[struct{}] // by attachmentKey
	events      []protocol.WatchEvent  // the last ones, oldest first
	// compactRevision is the oldest revision that a watch can start from: all events after
	// it are kept.
	compactRevision uint64
}

// NewState is the store before its first change.
func NewState() *State {
	return &State{entries: iradix.New[Entry](), leaseTTLs: iradix.New[int64](), attachments: iradix.New[struct{}]()}
}

// Contents are all that a State holds, as it is saved.
type Contents struct {
	Revision        uint64
	LastLeaseID     uint64
	CompactRevision uint64
	Entries         map[string]Entry
	LeaseTTLs       map[uint64]int64      // milliseconds
	Events          []protocol.WatchEvent // oldest first
}

// Restore makes a State of saved contents. The error wraps ErrInconsistent if no sequence
// of changes could have led to them.
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
			return nil, fmt.Errorf("%w: lease %d is beyond the last one, %d", ErrInconsistent, id, contents.LastLeaseID)
		}
		leaseTTLs.Insert(leaseKey(id), ttl)
	}
	return leaseTTLs.Commit(), nil
}

func restoreEntries(contents *Contents) (*iradix.Tree[Entry], *iradix.Tree[struct{}], error) {
	entries, attachments := iradix.New[Entry]().Txn(), iradix.New[struct{}]().Txn()
	for key, entry := range contents.Entries {
		if entry.Version == 0 || entry.Version > contents.Revision {
			return nil, nil, fmt.Errorf("%w: key %s has version %d, the store has revision %d",
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

// checkEvents checks that versions of events rise, from after the compact revision (0
// stands for a store that has forgotten none) up to the store's revision.
func checkEvents(contents *Contents) error {
	previous := uint64(0)
	for i := range contents.Events {
		version := contents.Events[i].Version
		compacted := version != 0 && version <= contents.CompactRevision
		if compacted || version > contents.Revision || version < previous {
			return fmt.Errorf("%w: event %d has revision %d out of order", ErrInconsistent, i, version)
		}
		previous = version
	}
	return nil
}

// leaseKey orders leases by their numbers.
func leaseKey(leaseID uint64) []byte { return binary.BigEndian.AppendUint64(nil, leaseID) }

// leaseKeyBytes is the length of a leaseKey.
const leaseKeyBytes = 8

// attachmentKey puts the keys of a lease behind each other.
func attachmentKey(leaseID uint64, key string) []byte { return append(leaseKey(leaseID), key...) }

// Len is how many keys there are.
func (s *State) Len() int { return s.entries.Len() }

// CompactRevision is the oldest revision that a watch can start from.
func (s *State) CompactRevision() uint64 { return s.compactRevision }

// Events are the events that are kept, oldest first.
func (s *State) Events() []protocol.WatchEvent { return s.events }

// Get is the entry of a key.
func (s *State) Get(key string) (Entry, bool) { return s.entries.Get([]byte(key)) }

// LeaseTTLs are the times to live of all leases, in milliseconds by number.
func (s *State) LeaseTTLs() map[uint64]int64 {
	ttls := map[uint64]int64{}
	s.leaseTTLs.Root().Walk(func(key []byte, ttl int64) bool {
		ttls[binary.BigEndian.Uint64(key)] = ttl
		return false
	})
	return ttls
}

// LeaseTTL is a lease's time to live in milliseconds; false if there is no such lease.
func (s *State) LeaseTTL(leaseID uint64) (int64, bool) { return s.leaseTTLs.Get(leaseKey(leaseID)) }

// All gives every key in order.
func (s *State) All() iter.Seq2[string, Entry] {
	return func(yield func(string, Entry) bool) {
		s.entries.Root().Walk(func(key []byte, entry Entry) bool { return !yield(string(key), entry) })
	}
}

// Range is a page of the keys with a prefix, beginning after the key given as after. A
// limit of 0, or above the most that a page may hold, stands for that.
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

// firstKey is the least key with a prefix that can follow after another key.
func firstKey(prefix, after string) string {
	if after == "" {
		return prefix
	}
	return max(prefix, after+"\x00")
}

// itemBytes is what an item counts in a page. Sizes count as text, which is at most a
// quarter longer for the numbers and quotes that the controllers' values have.
func itemBytes(key []byte, entry Entry) int {
	return len(key) + len(entry.Value)*5/4 + itemOverheadBytes
}

// EventsSince is all events with a prefix after a revision. It returns ErrCompacted if not
// all of them are kept.
func (s *State) EventsSince(prefix string, revision uint64) (protocol.WatchResponse, error) {
	if revision < s.compactRevision {
		return protocol.WatchResponse{}, ErrCompacted
	}
	found := protocol.WatchResponse{Revision: s.Revision, Events: []protocol.WatchEvent{}}
	begin := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > revision })
	for _, event := range s.events[begin:] {
		if matchesPrefix(event, prefix) {
			found.Events = append(found.Events, event)
		}
	}
	return found, nil
}

// matchesPrefix reports whether an event is about a key with a prefix. One of Put and Delete
// is empty, and that one must not match an empty prefix.
func matchesPrefix(event protocol.WatchEvent, prefix string) bool {
	return event.Put != "" && strings.HasPrefix(event.Put, prefix) ||
		event.Delete != "" && strings.HasPrefix(event.Delete, prefix)
}
