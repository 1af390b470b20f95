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

// Kept is how many changes a follower may be behind (PROTOCOL, GET /follow).
const Kept = 10_000

// Limits of the PROTOCOL on pages and leases.
const (
	maxKey   = 200
	maxItems = 1000
	maxPage  = 512 << 10 // bytes
	minLife  = 100       // ms
	maxLife  = 600_000   // ms
)

// Limits are the settings of a site.
type Limits struct {
	ValueKB float64 // of one value, in KiB
	TxnOps  int     // puts and deletes in a transaction; four times as many conditions
}

// Entry is what is stored under a key.
type Entry struct {
	Value   protocol.Raw `msgpack:"v"`
	Version uint64       `msgpack:"r"`           // the revision of its last change
	Lease   uint64       `msgpack:"l,omitempty"` // 0: none
}

// State is the store at one revision. Everything in it may be read by any number of
// goroutines; nothing in it is ever changed.
type State struct {
	Revision uint64
	NextID   uint64 // the last lease's number
	keys     *iradix.Tree[Entry]
	leases   *iradix.Tree[int64]    // life in ms, by the lease's number
	held     *iradix.Tree[struct{}] // lease's number + key
	log      []protocol.WatchEvent  // the last changes, oldest first
	first    uint64                 // follows from before this revision are too old
}

// Empty is the store before its first change.
func Empty() *State {
	return &State{keys: iradix.New[Entry](), leases: iradix.New[int64](), held: iradix.New[struct{}]()}
}

// Restore builds a State from what was saved. Events are sorted by revision; first is
// the oldest revision that can still be followed from.
func Restore(revision, nextID, first uint64, keys map[string]Entry, leases map[uint64]int64, events []protocol.WatchEvent) (*State, error) {
	k, l, h := iradix.New[Entry]().Txn(), iradix.New[int64]().Txn(), iradix.New[struct{}]().Txn()
	for id, life := range leases {
		if id == 0 || id > nextID {
			return nil, fmt.Errorf("lease %d is beyond the last one, %d", id, nextID)
		}
		l.Insert(number(id), life)
	}
	for key, e := range keys {
		if e.Version == 0 || e.Version > revision {
			return nil, fmt.Errorf("key %s has version %d beyond the store's revision %d", key, e.Version, revision)
		}
		if e.Lease != 0 {
			if _, ok := leases[e.Lease]; !ok {
				return nil, fmt.Errorf("key %s hangs on lease %d, which is not there", key, e.Lease)
			}
			h.Insert(held(e.Lease, key), struct{}{})
		}
		k.Insert([]byte(key), e)
	}
	for i := range events {
		if v := events[i].Version; v <= first && v != 0 || v > revision || i > 0 && v < events[i-1].Version {
			return nil, fmt.Errorf("change %d of the log has revision %d out of order", i, v)
		}
	}
	return &State{Revision: revision, NextID: nextID, first: first, keys: k.Commit(), leases: l.Commit(), held: h.Commit(), log: events}, nil
}

// number puts lease numbers in order as keys.
func number(id uint64) []byte { return binary.BigEndian.AppendUint64(nil, id) }

func held(id uint64, key string) []byte { return append(number(id), key...) }

// Len is how many keys there are.
func (s *State) Len() int { return s.keys.Len() }

// First is the oldest revision that can still be followed from.
func (s *State) First() uint64 { return s.first }

// Log is the last changes, oldest first.
func (s *State) Log() []protocol.WatchEvent { return s.log }

// Get is the entry of a key.
func (s *State) Get(key string) (Entry, bool) { return s.keys.Get([]byte(key)) }

// Leases are the leases with their lives in ms.
func (s *State) Leases() map[uint64]int64 {
	out := map[uint64]int64{}
	s.leases.Root().Walk(func(k []byte, life int64) bool {
		out[binary.BigEndian.Uint64(k)] = life
		return false
	})
	return out
}

// Each calls f with every key in order until f returns false.
func (s *State) Each(f func(key string, e Entry) bool) {
	s.keys.Root().Walk(func(k []byte, e Entry) bool { return !f(string(k), e) })
}

// Range is a page of the keys with a prefix, beginning after since.
func (s *State) Range(prefix, since string, page int) protocol.KeyPage {
	if page <= 0 || page > maxItems {
		page = maxItems
	}
	out := protocol.KeyPage{Items: []protocol.KeyValue{}, Revision: s.Revision}
	from := prefix
	if since != "" && since+"\x00" > from {
		from = since + "\x00" // the first key that can follow
	}
	it := s.keys.Root().Iterator()
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
		if len(out.Items) == page || size > maxPage && len(out.Items) > 0 {
			out.More = true
			return out
		}
		out.Items = append(out.Items, protocol.KeyValue{Key: string(k), Value: e.Value, Version: e.Version})
	}
}

// Since is all changes with a prefix after a revision; ok is false if that is too old
// for the changes that are kept.
func (s *State) Since(prefix string, rev uint64) (protocol.WatchResponse, bool) {
	if rev < s.first {
		return protocol.WatchResponse{}, false
	}
	out := protocol.WatchResponse{Revision: s.Revision, Events: []protocol.WatchEvent{}}
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > rev })
	for _, e := range s.log[i:] {
		if strings.HasPrefix(e.Put, prefix) && e.Put != "" || strings.HasPrefix(e.Delete, prefix) && e.Delete != "" {
			out.Events = append(out.Events, e)
		}
	}
	return out, true
}

// Op is one change of a transaction, its value still as it came.
type Op struct {
	Put    string       `msgpack:"Set"`
	Value  protocol.Raw `msgpack:"Data"`
	Lease  uint64       `msgpack:"Permit"`
	Delete string       `msgpack:"Delete"`
}

// Txn is a transaction as it came.
type Txn struct {
	If   []protocol.Guard `msgpack:"Guards"`
	Then []Op             `msgpack:"Then"`
}

// Check says what makes a transaction malformed, "" if nothing does.
func (t *Txn) Check(lim Limits) string {
	if n := len(t.Then); n > lim.TxnOps {
		return fmt.Sprintf("%d changes in one transaction, at most %d", n, lim.TxnOps)
	}
	if n := len(t.If); n > 4*lim.TxnOps {
		return fmt.Sprintf("%d conditions in one transaction, at most %d", n, 4*lim.TxnOps)
	}
	for _, g := range t.If {
		if why := badKey(g.Key); why != "" {
			return why
		}
	}
	changed := map[string]bool{}
	for _, o := range t.Then {
		key := o.Put + o.Delete
		if o.Put != "" && o.Delete != "" {
			return "a change both sets and deletes"
		}
		if why := badKey(key); why != "" {
			return why
		}
		if changed[key] {
			return fmt.Sprintf("key %s is changed twice", key)
		}
		changed[key] = true
		if o.Put != "" && len(o.Value) == 0 {
			return fmt.Sprintf("key %s is set without a value", key)
		}
		if float64(len(o.Value)) > lim.ValueKB*1024 {
			return fmt.Sprintf("the value of %s has %d bytes, at most %g KiB", key, len(o.Value), lim.ValueKB)
		}
	}
	return ""
}

func badKey(key string) string {
	if key == "" || len(key) > maxKey {
		return fmt.Sprintf("a key must have 1 to %d bytes", maxKey)
	}
	if strings.ContainsAny(key, " \t\r\n\x00") {
		return "a key must not contain spaces"
	}
	return ""
}

// Write is one record that must become durable with a batch.
type Write struct {
	Key    string
	Entry  Entry // of a put
	Delete bool
}

// LeaseWrite is a lease that begins or, with life 0, ends.
type LeaseWrite struct {
	ID     uint64
	LifeMS int64
}

// Batch applies commands one after another to a copy.
type Batch struct {
	base   *State
	keys   *iradix.Txn[Entry]
	leases *iradix.Txn[int64]
	held   *iradix.Txn[struct{}]
	rev    uint64
	nextID uint64
	events []protocol.WatchEvent

	Writes []Write
	Leases []LeaseWrite
}

// Begin starts a batch on a state.
func (s *State) Begin() *Batch {
	return &Batch{base: s, keys: s.keys.Txn(), leases: s.leases.Txn(), held: s.held.Txn(), rev: s.Revision, nextID: s.NextID}
}

// Empty reports whether nothing needs to be written.
func (b *Batch) Empty() bool {
	return len(b.Writes) == 0 && len(b.Leases) == 0 && b.rev == b.base.Revision
}

// Events are the changes of the batch.
func (b *Batch) Events() []protocol.WatchEvent { return b.events }

// Commit applies a transaction that Check has found well formed: 200, 409 with the
// conditions that failed, or 400 for a lease that is not there.
func (b *Batch) Commit(t *Txn) (int, protocol.TransactionResult, string) {
	for _, o := range t.Then {
		if o.Put != "" && o.Lease != 0 {
			if _, ok := b.leases.Get(number(o.Lease)); !ok {
				return 400, protocol.TransactionResult{}, "no such lease"
			}
		}
	}
	var failed []string
	for _, g := range t.If {
		if e, _ := b.keys.Get([]byte(g.Key)); e.Version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return 409, protocol.TransactionResult{Failed: failed, Revision: b.rev}, ""
	}
	if len(t.Then) > 0 {
		b.rev++
	}
	for _, o := range t.Then {
		if o.Delete != "" {
			b.remove(o.Delete)
			continue
		}
		b.put(o.Put, Entry{Value: append(protocol.Raw(nil), o.Value...), Version: b.rev, Lease: o.Lease})
	}
	return 200, protocol.TransactionResult{Revision: b.rev}, ""
}

func (b *Batch) put(key string, e Entry) {
	old, had := b.keys.Insert([]byte(key), e)
	if had && old.Lease != 0 && old.Lease != e.Lease {
		b.held.Delete(held(old.Lease, key))
	}
	if e.Lease != 0 {
		b.held.Insert(held(e.Lease, key), struct{}{})
	}
	b.Writes = append(b.Writes, Write{Key: key, Entry: e})
	b.events = append(b.events, protocol.WatchEvent{Put: key, Value: e.Value, Version: e.Version})
}

func (b *Batch) remove(key string) {
	old, had := b.keys.Delete([]byte(key))
	if !had {
		return
	}
	if old.Lease != 0 {
		b.held.Delete(held(old.Lease, key))
	}
	b.Writes = append(b.Writes, Write{Key: key, Delete: true})
	b.events = append(b.events, protocol.WatchEvent{Delete: key, Version: b.rev})
}

// Grant begins a lease; 0 means that its life is outside what the PROTOCOL allows.
func (b *Batch) Grant(lifeMS int64) uint64 {
	if lifeMS < minLife || lifeMS > maxLife {
		return 0
	}
	b.nextID++
	b.leases.Insert(number(b.nextID), lifeMS)
	b.Leases = append(b.Leases, LeaseWrite{ID: b.nextID, LifeMS: lifeMS})
	return b.nextID
}

// Alive is a lease's life in ms.
func (b *Batch) Alive(id uint64) (int64, bool) { return b.leases.Get(number(id)) }

// End ends a lease and removes its keys, all with one revision; false if it is not there.
func (b *Batch) End(id uint64) bool {
	if _, ok := b.leases.Delete(number(id)); !ok {
		return false
	}
	b.Leases = append(b.Leases, LeaseWrite{ID: id})
	var keys []string
	b.held.Root().WalkPrefix(number(id), func(k []byte, _ struct{}) bool {
		keys = append(keys, string(k[8:]))
		return false
	})
	if len(keys) > 0 {
		b.rev++
	}
	for _, k := range keys {
		b.remove(k)
	}
	return true
}

// Next is the state after the batch. The base stays as it was.
func (b *Batch) Next() *State {
	s := &State{Revision: b.rev, NextID: b.nextID, keys: b.keys.Commit(), leases: b.leases.Commit(), held: b.held.Commit(), first: b.base.first}
	// The owner makes one state after another, so what lies behind the end of the base's
	// log is nobody's: a batch that was given up is written over.
	s.log = append(b.base.log, b.events...)
	if over := len(s.log) - Kept; over > 0 {
		// Changes of one revision stay together: half of them would be a change that
		// no follower may see.
		s.first = s.log[over-1].Version
		for over < len(s.log) && s.log[over].Version == s.first {
			over++
		}
		s.log = s.log[over:]
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
