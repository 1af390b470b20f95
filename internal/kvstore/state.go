// Package kvstore is the state service's store, without input, output or clock: keys with
// revisions, conditional transactions, leases and the last changes, as the PROTOCOL's
// "Controller nodes -> state service" has them.
//
// A State never changes. A Batch starts from one, applies commands and holds the next
// State and what must be written for it; whoever owns the store shows the next State to
// others only once that is durable, and keeps the earlier one if it never is.
package kvstore

import (
	"encoding/binary"
	"fmt"
	"sort"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// RetainedEvents is how many changes a follower may be behind (PROTOCOL, GET /follow).
const RetainedEvents = 10_000

// Limits of the PROTOCOL on pages and leases.
const (
	maxKeyBytes       = 200
	maxPageItems      = 1000
	maxPageBytes      = 512 << 10 // bytes
	minLeaseTTLMillis = 100       // ms
	maxLeaseTTLMillis = 600_000   // ms
)

// Limits are the settings of a site.
type Limits struct {
	MaxValueKiB float64 // of one value, in KiB
	MaxTxnOps   int     // puts and deletes in a transaction; four times as many conditions
}

// Entry is what is stored under a key.
type Entry struct {
	Value   protocol.Raw `msgpack:"v"`
	Version uint64       `msgpack:"r"`           // the revision of its last change
	LeaseID uint64       `msgpack:"l,omitempty"` // 0: none
}

// State is the store at one revision. Everything in it may be read by any number of
// goroutines; nothing in it is ever changed.
type State struct {
	Revision        uint64
	LastLeaseID     uint64 // the last lease's number
	entries         *iradix.Tree[Entry]
	leaseTTLs       *iradix.Tree[int64]    // life in ms, by the lease's number
	attachments     *iradix.Tree[struct{}] // lease's number + key
	events          []protocol.WatchEvent  // the last changes, oldest first
	compactRevision uint64                 // follows from before this revision are too old
}

// NewState is the store before its first change.
func NewState() *State {
	return &State{entries: iradix.New[Entry](), leaseTTLs: iradix.New[int64](), attachments: iradix.New[struct{}]()}
}

// Restore builds a State from what was saved. Events are sorted by revision; first is
// the oldest revision that can still be followed from.
func Restore(revision, nextID, first uint64, keys map[string]Entry, leases map[uint64]int64, events []protocol.WatchEvent) (*State, error) {
	k, l, h := iradix.New[Entry]().Txn(), iradix.New[int64]().Txn(), iradix.New[struct{}]().Txn()
	for id, life := range leases {
		if id == 0 || id > nextID {
			return nil, fmt.Errorf("lease %d is beyond the last one, %d", id, nextID)
		}
		l.Insert(leaseKey(id), life)
	}
	for key, e := range keys {
		if e.Version == 0 || e.Version > revision {
			return nil, fmt.Errorf("key %s has version %d beyond the store's revision %d", key, e.Version, revision)
		}
		if e.LeaseID != 0 {
			if _, ok := leases[e.LeaseID]; !ok {
				return nil, fmt.Errorf("key %s hangs on lease %d, which is not there", key, e.LeaseID)
			}
			h.Insert(attachmentKey(e.LeaseID, key), struct{}{})
		}
		k.Insert([]byte(key), e)
	}
	for i := range events {
		if v := events[i].Version; v <= first && v != 0 || v > revision || i > 0 && v < events[i-1].Version {
			return nil, fmt.Errorf("change %d of the log has revision %d out of order", i, v)
		}
	}
	return &State{Revision: revision, LastLeaseID: nextID, compactRevision: first, entries: k.Commit(), leaseTTLs: l.Commit(), attachments: h.Commit(), events: events}, nil
}

// leaseKey puts lease numbers in order as keys.
func leaseKey(id uint64) []byte { return binary.BigEndian.AppendUint64(nil, id) }

func attachmentKey(id uint64, key string) []byte { return append(leaseKey(id), key...) }

// Len is how many keys there are.
func (s *State) Len() int { return s.entries.Len() }

// CompactRevision is the oldest revision that can still be followed from.
func (s *State) CompactRevision() uint64 { return s.compactRevision }

// Events is the last changes, oldest first.
func (s *State) Events() []protocol.WatchEvent { return s.events }

// Get is the entry of a key.
func (s *State) Get(key string) (Entry, bool) { return s.entries.Get([]byte(key)) }

// LeaseTTLs are the leases with their lives in ms.
func (s *State) LeaseTTLs() map[uint64]int64 {
	out := map[uint64]int64{}
	s.leaseTTLs.Root().Walk(func(k []byte, life int64) bool {
		out[binary.BigEndian.Uint64(k)] = life
		return false
	})
	return out
}

// Each calls f with every key in order until f returns false.
func (s *State) Each(f func(key string, e Entry) bool) {
	s.entries.Root().Walk(func(k []byte, e Entry) bool { return !f(string(k), e) })
}

// Range is a page of the keys with a prefix, beginning after since.
func (s *State) Range(prefix, since string, page int) protocol.KeyPage {
	if page <= 0 || page > maxPageItems {
		page = maxPageItems
	}
	out := protocol.KeyPage{Items: []protocol.KeyValue{}, Revision: s.Revision}
	from := prefix
	if since != "" && since+"\x00" > from {
		from = since + "\x00" // the first key that can follow
	}
	it := s.entries.Root().Iterator()
	it.SeekLowerBound([]byte(from))
	size := 0
	for {
		k, e, ok := it.Next()
		if !ok || !strings.HasPrefix(string(k), prefix) {
			return out
		}
		// Sizes count as text, which is at most a quarter longer for the numbers and
		// quotes that our values have; a page with one item is always given.
		size += len(k) + len(e.Value)*5/4 + 32
		if len(out.Items) == page || size > maxPageBytes && len(out.Items) > 0 {
			out.More = true
			return out
		}
		out.Items = append(out.Items, protocol.KeyValue{Key: string(k), Value: e.Value, Version: e.Version})
	}
}

// EventsSince is all changes with a prefix after a revision; ok is false if that is too old
// for the changes that are kept.
func (s *State) EventsSince(prefix string, rev uint64) (protocol.WatchResponse, bool) {
	if rev < s.compactRevision {
		return protocol.WatchResponse{}, false
	}
	out := protocol.WatchResponse{Revision: s.Revision, Events: []protocol.WatchEvent{}}
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > rev })
	for _, e := range s.events[i:] {
		if strings.HasPrefix(e.Put, prefix) && e.Put != "" || strings.HasPrefix(e.Delete, prefix) && e.Delete != "" {
			out.Events = append(out.Events, e)
		}
	}
	return out, true
}

// Op is one change of a transaction, its value still as it came.
type Op struct {
	Put     string       `msgpack:"Set"`
	Value   protocol.Raw `msgpack:"Data"`
	LeaseID uint64       `msgpack:"Permit"`
	Delete  string       `msgpack:"Delete"`
}

// Txn is a transaction as it came.
type Txn struct {
	If   []protocol.Guard `msgpack:"Guards"`
	Then []Op             `msgpack:"Then"`
}

// Validate says what makes a transaction malformed, "" if nothing does.
func (t *Txn) Validate(lim Limits) string {
	if n := len(t.Then); n > lim.MaxTxnOps {
		return fmt.Sprintf("%d changes in one transaction, at most %d", n, lim.MaxTxnOps)
	}
	if n := len(t.If); n > 4*lim.MaxTxnOps {
		return fmt.Sprintf("%d conditions in one transaction, at most %d", n, 4*lim.MaxTxnOps)
	}
	for _, g := range t.If {
		if why := validateKey(g.Key); why != "" {
			return why
		}
	}
	changed := map[string]bool{}
	for _, o := range t.Then {
		key := o.Put + o.Delete
		if o.Put != "" && o.Delete != "" {
			return "a change both sets and deletes"
		}
		if why := validateKey(key); why != "" {
			return why
		}
		if changed[key] {
			return fmt.Sprintf("key %s is changed twice", key)
		}
		changed[key] = true
		if o.Put != "" && len(o.Value) == 0 {
			return fmt.Sprintf("key %s is set without a value", key)
		}
		if float64(len(o.Value)) > lim.MaxValueKiB*1024 {
			return fmt.Sprintf("the value of %s has %d bytes, at most %g KiB", key, len(o.Value), lim.MaxValueKiB)
		}
	}
	return ""
}

func validateKey(key string) string {
	if key == "" || len(key) > maxKeyBytes {
		return fmt.Sprintf("a key must have 1 to %d bytes", maxKeyBytes)
	}
	if strings.ContainsAny(key, " \t\r\n\x00") {
		return "a key must not contain spaces"
	}
	return ""
}

// EntryWrite is one record that must become durable with a batch.
type EntryWrite struct {
	Key    string
	Entry  Entry // of a put
	Delete bool
}

// LeaseWrite is a lease that begins or, with life 0, ends.
type LeaseWrite struct {
	ID        uint64
	TTLMillis int64
}

// Batch applies commands one after another to a copy.
type Batch struct {
	base        *State
	entries     *iradix.Txn[Entry]
	leaseTTLs   *iradix.Txn[int64]
	attachments *iradix.Txn[struct{}]
	revision    uint64
	lastLeaseID uint64
	events      []protocol.WatchEvent

	EntryWrites []EntryWrite
	LeaseWrites []LeaseWrite
}

// Begin starts a batch on a state.
func (s *State) Begin() *Batch {
	return &Batch{base: s, entries: s.entries.Txn(), leaseTTLs: s.leaseTTLs.Txn(), attachments: s.attachments.Txn(), revision: s.Revision, lastLeaseID: s.LastLeaseID}
}

// IsEmpty reports whether nothing needs to be written.
func (b *Batch) IsEmpty() bool {
	return len(b.EntryWrites) == 0 && len(b.LeaseWrites) == 0 && b.revision == b.base.Revision
}

// Events are the changes of the batch.
func (b *Batch) Events() []protocol.WatchEvent { return b.events }

// Commit applies a transaction that Check has found well formed: 200, 409 with the
// conditions that failed, or 400 for a lease that is not there.
func (b *Batch) Commit(t *Txn) (int, protocol.TransactionResult, string) {
	for _, o := range t.Then {
		if o.Put != "" && o.LeaseID != 0 {
			if _, ok := b.leaseTTLs.Get(leaseKey(o.LeaseID)); !ok {
				return 400, protocol.TransactionResult{}, "no such lease"
			}
		}
	}
	var failed []string
	for _, g := range t.If {
		if e, _ := b.entries.Get([]byte(g.Key)); e.Version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return 409, protocol.TransactionResult{Failed: failed, Revision: b.revision}, ""
	}
	if len(t.Then) > 0 {
		b.revision++
	}
	for _, o := range t.Then {
		if o.Delete != "" {
			b.remove(o.Delete)
			continue
		}
		b.put(o.Put, Entry{Value: append(protocol.Raw(nil), o.Value...), Version: b.revision, LeaseID: o.LeaseID})
	}
	return 200, protocol.TransactionResult{Revision: b.revision}, ""
}

func (b *Batch) put(key string, e Entry) {
	old, had := b.entries.Insert([]byte(key), e)
	if had && old.LeaseID != 0 && old.LeaseID != e.LeaseID {
		b.attachments.Delete(attachmentKey(old.LeaseID, key))
	}
	if e.LeaseID != 0 {
		b.attachments.Insert(attachmentKey(e.LeaseID, key), struct{}{})
	}
	b.EntryWrites = append(b.EntryWrites, EntryWrite{Key: key, Entry: e})
	b.events = append(b.events, protocol.WatchEvent{Put: key, Value: e.Value, Version: e.Version})
}

func (b *Batch) remove(key string) {
	old, had := b.entries.Delete([]byte(key))
	if !had {
		return
	}
	if old.LeaseID != 0 {
		b.attachments.Delete(attachmentKey(old.LeaseID, key))
	}
	b.EntryWrites = append(b.EntryWrites, EntryWrite{Key: key, Delete: true})
	b.events = append(b.events, protocol.WatchEvent{Delete: key, Version: b.revision})
}

// GrantLease begins a lease; 0 means that its life is outside what the PROTOCOL allows.
func (b *Batch) GrantLease(lifeMS int64) uint64 {
	if lifeMS < minLeaseTTLMillis || lifeMS > maxLeaseTTLMillis {
		return 0
	}
	b.lastLeaseID++
	b.leaseTTLs.Insert(leaseKey(b.lastLeaseID), lifeMS)
	b.LeaseWrites = append(b.LeaseWrites, LeaseWrite{ID: b.lastLeaseID, TTLMillis: lifeMS})
	return b.lastLeaseID
}

// LeaseTTL is a lease's life in ms.
func (b *Batch) LeaseTTL(id uint64) (int64, bool) { return b.leaseTTLs.Get(leaseKey(id)) }

// RevokeLease ends a lease and removes its keys, all with one revision; false if it is not there.
func (b *Batch) RevokeLease(id uint64) bool {
	if _, ok := b.leaseTTLs.Delete(leaseKey(id)); !ok {
		return false
	}
	b.LeaseWrites = append(b.LeaseWrites, LeaseWrite{ID: id})
	var keys []string
	b.attachments.Root().WalkPrefix(leaseKey(id), func(k []byte, _ struct{}) bool {
		keys = append(keys, string(k[8:]))
		return false
	})
	if len(keys) > 0 {
		b.revision++
	}
	for _, k := range keys {
		b.remove(k)
	}
	return true
}

// Next is the state after the batch. The base stays as it was.
func (b *Batch) Next() *State {
	s := &State{Revision: b.revision, LastLeaseID: b.lastLeaseID, entries: b.entries.Commit(), leaseTTLs: b.leaseTTLs.Commit(), attachments: b.attachments.Commit(), compactRevision: b.base.compactRevision}
	// The owner makes one state after another, so what lies behind the end of the base's
	// log is nobody's: a batch that was given up is written over.
	s.events = append(b.base.events, b.events...)
	if over := len(s.events) - RetainedEvents; over > 0 {
		// Changes of one revision stay together: half of them would be a change that
		// no follower may see.
		s.compactRevision = s.events[over-1].Version
		for over < len(s.events) && s.events[over].Version == s.compactRevision {
			over++
		}
		s.events = s.events[over:]
	}
	return s
}

// EncodeEntry and DecodeEntry are how an entry is saved.
func EncodeEntry(e Entry) []byte { return protocol.Encode(e) }

// DecodeEntry reads what EncodeEntry wrote.
func DecodeEntry(b []byte) (e Entry, err error) {
	err = msgpack.Unmarshal(b, &e)
	return e, err
}
