package kvstore

import (
	"errors"
	"fmt"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Bounds of a lease's time to live in milliseconds (PROTOCOL, POST /holds).
const (
	minLeaseTTLMillis = 100
	maxLeaseTTLMillis = 600_000
)

// ErrLeaseNotFound says that a lease does not exist, or no longer.
var ErrLeaseNotFound = errors.New("no such lease")

// ErrLeaseTTL says that a time to live is outside the bounds. LifeMs is the protocol's
// name for it.
var ErrLeaseTTL = fmt.Errorf("LifeMs must be from %d to %d", minLeaseTTLMillis, maxLeaseTTLMillis)

// EntryWrite is an entry that must become durable with a batch.
type EntryWrite struct {
	Key    string
	Entry  Entry // of a put
	Delete bool
}

// LeaseWrite is a granted lease or, with a time to live of 0, one that has ended.
type LeaseWrite struct {
	ID        uint64
	TTLMillis int64
}

// Batch applies changes one after another to a copy of a State, each to what the ones
// before it have made. One goroutine may use it.
type Batch struct {
	base        *State
	entries     *iradix.Txn[Entry]
	leaseTTLs   *iradix.Txn[int64]
	attachments *iradix.Txn[struct{}]
	revision    uint64
	lastLeaseID uint64
	events      []protocol.WatchEvent

	// EntryWrites and LeaseWrites are what must become durable, in order.
	EntryWrites []EntryWrite
	LeaseWrites []LeaseWrite
}

// Begin starts a batch on a state.
func (s *State) Begin() *Batch {
	return &Batch{
		base:        s,
		entries:     s.entries.Txn(),
		leaseTTLs:   s.leaseTTLs.Txn(),
		attachments: s.attachments.Txn(),
		revision:    s.Revision,
		lastLeaseID: s.LastLeaseID,
	}
}

// IsEmpty reports whether nothing needs to be written.
func (b *Batch) IsEmpty() bool {
	return len(b.EntryWrites) == 0 && len(b.LeaseWrites) == 0 && b.revision == b.base.Revision
}

// Events are the events of the batch.
func (b *Batch) Events() []protocol.WatchEvent { return b.events }

// TxnResult is what became of a transaction.
type TxnResult struct {
	FailedKeys []string // of conditions that did not hold; none: it is committed
	Revision   uint64   // the store's revision after it
}

// Committed reports whether the changes of the transaction were made.
func (r TxnResult) Committed() bool { return len(r.FailedKeys) == 0 }

// Commit applies a transaction that Validate has found well formed. It returns
// ErrLeaseNotFound, and changes nothing, if a key is attached to a lease that does not
// exist.
func (b *Batch) Commit(txn *Txn) (TxnResult, error) {
	for i := range txn.Then {
		if err := b.checkLease(&txn.Then[i]); err != nil {
			return TxnResult{}, err
		}
	}
	if failed := b.failedGuards(txn.If); len(failed) > 0 {
		return TxnResult{FailedKeys: failed, Revision: b.revision}, nil
	}
	if len(txn.Then) > 0 {
		b.revision++
	}
	for _, op := range txn.Then {
		if op.Delete != "" {
			b.remove(op.Delete)
			continue
		}
		// The value is copied, for it may lie in the buffer of a request.
		value := append(protocol.Raw(nil), op.Value...)
		b.put(op.Put, Entry{Value: value, Version: b.revision, LeaseID: op.LeaseID})
	}
	return TxnResult{Revision: b.revision}, nil
}

func (b *Batch) checkLease(op *Op) error {
	if op.Put == "" || op.LeaseID == 0 {
		return nil
	}
	if _, ok := b.LeaseTTL(op.LeaseID); !ok {
		return ErrLeaseNotFound
	}
	return nil
}

// failedGuards are the keys of the conditions that do not hold. A key that does not exist
// has version 0.
func (b *Batch) failedGuards(guards []protocol.Guard) []string {
	var failed []string
	for _, guard := range guards {
		if entry, _ := b.entries.Get([]byte(guard.Key)); entry.Version != guard.Version {
			failed = append(failed, guard.Key)
		}
	}
	return failed
}

func (b *Batch) put(key string, entry Entry) {
	old, existed := b.entries.Insert([]byte(key), entry)
	if existed && old.LeaseID != 0 && old.LeaseID != entry.LeaseID {
		b.attachments.Delete(attachmentKey(old.LeaseID, key))
	}
	if entry.LeaseID != 0 {
		b.attachments.Insert(attachmentKey(entry.LeaseID, key), struct{}{})
	}
	b.EntryWrites = append(b.EntryWrites, EntryWrite{Key: key, Entry: entry})
	b.events = append(b.events, protocol.WatchEvent{Put: key, Value: entry.Value, Version: entry.Version})
}

func (b *Batch) remove(key string) {
	old, existed := b.entries.Delete([]byte(key))
	if !existed {
		return
	}
	if old.LeaseID != 0 {
		b.attachments.Delete(attachmentKey(old.LeaseID, key))
	}
	b.EntryWrites = append(b.EntryWrites, EntryWrite{Key: key, Delete: true})
	b.events = append(b.events, protocol.WatchEvent{Delete: key, Version: b.revision})
}

// GrantLease begins a lease and returns its number, or ErrLeaseTTL.
func (b *Batch) GrantLease(ttlMillis int64) (uint64, error) {
	if ttlMillis < minLeaseTTLMillis || ttlMillis > maxLeaseTTLMillis {
		return 0, ErrLeaseTTL
	}
	b.lastLeaseID++
	b.leaseTTLs.Insert(leaseKey(b.lastLeaseID), ttlMillis)
	b.LeaseWrites = append(b.LeaseWrites, LeaseWrite{ID: b.lastLeaseID, TTLMillis: ttlMillis})
	return b.lastLeaseID, nil
}

// LeaseTTL is a lease's time to live in milliseconds; false if there is no such lease.
func (b *Batch) LeaseTTL(leaseID uint64) (int64, bool) { return b.leaseTTLs.Get(leaseKey(leaseID)) }

// RevokeLease ends a lease and removes its keys, all with one revision. It returns
// ErrLeaseNotFound if there is no such lease.
func (b *Batch) RevokeLease(leaseID uint64) error {
	if _, existed := b.leaseTTLs.Delete(leaseKey(leaseID)); !existed {
		return ErrLeaseNotFound
	}
	b.LeaseWrites = append(b.LeaseWrites, LeaseWrite{ID: leaseID})
	keys := b.attachedKeys(leaseID)
	if len(keys) > 0 {
		b.revision++
	}
	for _, key := range keys {
		b.remove(key)
	}
	return nil
}

func (b *Batch) attachedKeys(leaseID uint64) []string {
	var keys []string
	b.attachments.Root().WalkPrefix(leaseKey(leaseID), func(attachment []byte, _ struct{}) bool {
		keys = append(keys, string(attachment[leaseKeyBytes:]))
		return false
	})
	return keys
}

// Next is the state after the batch. The base stays as it was.
//
// Of several batches on one base, only the last one's Next may be used: they share the
// memory behind the base's events.
func (b *Batch) Next() *State {
	next := &State{
		Revision:        b.revision,
		LastLeaseID:     b.lastLeaseID,
		entries:         b.entries.Commit(),
		leaseTTLs:       b.leaseTTLs.Commit(),
		attachments:     b.attachments.Commit(),
		compactRevision: b.base.compactRevision,
	}
	// The owner makes one state after another, so what lies behind the end of the base's
	// events is nobody's: those of a batch that was given up are written over.
	next.events = append(b.base.events, b.events...)
	next.compact()
	return next
}

// compact forgets the oldest events above the number that is kept. Those of one revision
// go together: half of them would be a change that no watch may see.
func (s *State) compact() {
	excess := len(s.events) - RetainedEvents
	if excess <= 0 {
		return
	}
	s.compactRevision = s.events[excess-1].Version
	for excess < len(s.events) && s.events[excess].Version == s.compactRevision {
		excess++
	}
	s.events = s.events[excess:]
}
