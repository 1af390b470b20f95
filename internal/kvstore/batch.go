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

// ErrLeaseNotFound is returned for a lease that was never granted or that has ended.
var ErrLeaseNotFound = errors.New("no such lease")

// ErrLeaseTTL is returned for a time to live that is out of bounds. LifeMs is the name of
// that field in the protocol.
var ErrLeaseTTL = fmt.Errorf("LifeMs must be from %d to %d", minLeaseTTLMillis, maxLeaseTTLMillis)

// EntryWrite is a change to one key that must become durable with its batch.
type EntryWrite struct {
	Key    string
	Entry  Entry // the new entry, unless Delete is set
	Delete bool
}

// LeaseWrite is a change to one lease that must become durable with its batch: the lease
// was granted or, if the time to live is 0, has ended.
type LeaseWrite struct {
	ID        uint64
	TTLMillis int64
}

// Batch applies changes to a copy of a State, one after another. Each change sees the
// effects of those before it. A Batch must not be used by several goroutines at once.
type Batch struct {
	base        *State
	entries     *iradix.Txn[Entry]
	leaseTTLs   *iradix.Txn[int64]
	attachments *iradix.Txn[struct{}]
	revision    uint64
	lastLeaseID uint64
	events      []protocol.WatchEvent

	// EntryWrites and LeaseWrites are the changes that must become durable, in the order
	// in which they were made.
	EntryWrites []EntryWrite
	LeaseWrites []LeaseWrite
}

// Begin returns an empty batch that starts from the state.
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

// IsEmpty reports whether the batch has nothing that must become durable.
func (b *Batch) IsEmpty() bool {
	return len(b.EntryWrites) == 0 && len(b.LeaseWrites) == 0 && b.revision == b.base.Revision
}

// Events returns the watch events of the batch's changes, oldest first.
func (b *Batch) Events() []protocol.WatchEvent { return b.events }

// TxnResult is the outcome of a transaction.
type TxnResult struct {
	FailedKeys []string // keys whose guards did not hold; empty if the transaction committed
	Revision   uint64   // the store's revision after the transaction
}

// Committed reports whether all guards held and the changes were made.
func (r TxnResult) Committed() bool { return len(r.FailedKeys) == 0 }

// Commit applies a transaction that has passed Validate. If a guard does not hold, it
// changes nothing and reports the failed keys in the result. If a put attaches a key to a
// lease that does not exist, it changes nothing and returns ErrLeaseNotFound.
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
		// The value may point into a request's buffer, which is reused after the request, so
		// it is copied.
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

// failedGuards returns the keys whose guards do not hold. A key that does not exist has
// version 0.
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

// GrantLease grants a lease and returns its ID. It returns ErrLeaseTTL if the time to live
// is out of bounds.
func (b *Batch) GrantLease(ttlMillis int64) (uint64, error) {
	if ttlMillis < minLeaseTTLMillis || ttlMillis > maxLeaseTTLMillis {
		return 0, ErrLeaseTTL
	}
	b.lastLeaseID++
	b.leaseTTLs.Insert(leaseKey(b.lastLeaseID), ttlMillis)
	b.LeaseWrites = append(b.LeaseWrites, LeaseWrite{ID: b.lastLeaseID, TTLMillis: ttlMillis})
	return b.lastLeaseID, nil
}

// LeaseTTL returns a lease's time to live in milliseconds, and false if the lease does not
// exist.
func (b *Batch) LeaseTTL(leaseID uint64) (int64, bool) { return b.leaseTTLs.Get(leaseKey(leaseID)) }

// RevokeLease ends a lease and deletes the keys that are attached to it, all in one
// revision. It returns ErrLeaseNotFound if the lease does not exist.
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

// Next returns the state after the batch. The base state does not change.
//
// If several batches were started from one base, only the state that the latest call of
// Next returned may be used: each call may append its events to the backing array of the
// base's events and so overwrite those of the call before.
func (b *Batch) Next() *State {
	next := &State{
		Revision:        b.revision,
		LastLeaseID:     b.lastLeaseID,
		entries:         b.entries.Commit(),
		leaseTTLs:       b.leaseTTLs.Commit(),
		attachments:     b.attachments.Commit(),
		compactRevision: b.base.compactRevision,
	}
	// The store's owner derives states one after another, so no state in use refers to the
	// backing array beyond the end of the base's events. This append may overwrite events
	// of an abandoned batch there.
	next.events = append(b.base.events, b.events...)
	next.compact()
	return next
}

// compact drops the oldest events in excess of RetainedEvents. It drops all events of a
// revision or none, because a watch must never receive only a part of a revision's changes.
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
