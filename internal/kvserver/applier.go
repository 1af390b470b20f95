package kvserver

import (
	"errors"
	"maps"
	"time"

	"github.com/chalkhub/chalkhub/internal/kvfile"
	"github.com/chalkhub/chalkhub/internal/kvstore"
)

// Storage makes batches of changes durable, as kvfile.File does. The server calls it from one
// goroutine.
type Storage interface {
	// Write makes a batch durable before it returns; next is the state after the batch. An
	// error that wraps kvfile.ErrNoSpace means that nothing was written and that a later
	// write may succeed. After any other error it is unknown whether the batch is durable.
	Write(batch *kvstore.Batch, next *kvstore.State) error
}

// applier owns the store: it applies commands, expires leases, and replaces the state once
// the next one is durable. It has no goroutine and no clock: its caller passes the time of a
// monotonic clock to apply. It must not be used by several goroutines at once.
type applier struct {
	state          *kvstore.State // the durable state
	storage        Storage
	leaseDeadlines map[uint64]time.Duration // when leases expire unless they are renewed
	lastApplied    time.Duration            // time of the last call of apply
	stallThreshold time.Duration
	outOfSpace     bool // the last write failed for lack of disk space
}

// newApplier returns an applier that owns a state read from its storage at the time now. Every
// lease starts again with its full TTL, because its holder could not renew it while the service
// was not running.
//
// If more than stallThreshold passes between two calls of apply, the process is considered to
// have been stalled.
func newApplier(state *kvstore.State, storage Storage, now, stallThreshold time.Duration) *applier {
	a := &applier{state: state, storage: storage, lastApplied: now, stallThreshold: stallThreshold}
	a.restartLeases(now)
	return a
}

// restartLeases makes every lease expire one full TTL after now.
func (a *applier) restartLeases(now time.Duration) {
	a.leaseDeadlines = map[uint64]time.Duration{}
	for leaseID, ttl := range a.state.LeaseTTLs() {
		a.leaseDeadlines[leaseID] = deadline(now, ttl)
	}
}

func deadline(now time.Duration, ttlMillis int64) time.Duration {
	return now + time.Duration(ttlMillis)*time.Millisecond
}

// committedState returns the latest durable state.
func (a *applier) committedState() *kvstore.State { return a.state }

// apply applies commands in order with one write to the storage, and returns their replies by
// command. After an error it is unknown what the storage holds and whether any of the commands
// was applied; the process must end and read the storage again.
func (a *applier) apply(now time.Duration, commands []command) ([]reply, error) {
	// If the process was stopped or the disk hung for longer than a lease's TTL, the holder
	// could not renew the lease, so the lease must not expire because of that. As after any outage,
	// every lease gets its full TTL again.
	if now-a.lastApplied > a.stallThreshold {
		a.restartLeases(now)
	}
	a.lastApplied = now
	r := &applyRound{
		now:          now,
		batch:        a.state.Begin(),
		replies:      make([]reply, len(commands)),
		newDeadlines: map[uint64]time.Duration{},
	}
	// Renewals are applied before leases expire: a renewal that arrived in time must not
	// fail because it waited in the server's queue.
	r.renewLeases(commands)
	// No lease expires while the disk is full: a renewal in a batch whose write failed was
	// refused together with that batch.
	if !a.outOfSpace {
		r.expireLeases(a.leaseDeadlines)
	}
	r.execute(commands)
	if r.batch.IsEmpty() {
		maps.Copy(a.leaseDeadlines, r.newDeadlines)
		return r.replies, nil
	}
	return a.persist(r)
}

// persist writes a round's batch to the storage and adopts its state if the write succeeded.
func (a *applier) persist(r *applyRound) ([]reply, error) {
	next := r.batch.Next()
	switch err := a.storage.Write(r.batch, next); {
	case err == nil:
		a.adopt(next, r)
		return r.replies, nil
	case errors.Is(err, kvfile.ErrNoSpace):
		a.outOfSpace = true
		// Nothing of the batch was written, so no command may be reported as done. Nor may
		// one be reported as a conflict: the conflict may be with an earlier transaction of
		// this batch, which was not written either.
		for i := range r.replies {
			r.replies[i] = reply{outcome: outcomeUnavailable, err: err}
		}
		return r.replies, nil
	default:
		for i := range r.replies {
			r.replies[i] = reply{outcome: outcomeUnknown}
		}
		return r.replies, err
	}
}

// adopt replaces the state by the one that a round has made durable.
func (a *applier) adopt(next *kvstore.State, r *applyRound) {
	a.state = next
	for _, leaseID := range r.endedLeases {
		delete(a.leaseDeadlines, leaseID)
	}
	maps.Copy(a.leaseDeadlines, r.newDeadlines)
	if a.outOfSpace {
		a.outOfSpace = false
		a.restartLeases(r.now) // no lease could be renewed reliably while the disk was full
	}
}

// applyRound holds what one call of apply is going to change. It takes effect only once its batch is
// durable, or at once if the batch is empty.
type applyRound struct {
	now          time.Duration
	batch        *kvstore.Batch
	replies      []reply                  // indexed like the commands
	newDeadlines map[uint64]time.Duration // by ID of the leases that are renewed or granted
	endedLeases  []uint64                 // IDs of the leases that expire or are revoked
}

func (r *applyRound) renewLeases(commands []command) {
	for i, c := range commands {
		renewal, ok := c.(renewLease)
		if !ok {
			continue
		}
		ttl, exists := r.batch.LeaseTTL(renewal.leaseID)
		if !exists {
			r.replies[i] = reply{outcome: outcomeNotFound, err: kvstore.ErrLeaseNotFound}
			continue
		}
		r.newDeadlines[renewal.leaseID] = deadline(r.now, ttl)
		r.replies[i] = reply{outcome: outcomeDone}
	}
}

// expireLeases ends the leases whose deadline has passed, except those renewed in this round.
func (r *applyRound) expireLeases(deadlines map[uint64]time.Duration) {
	for leaseID, due := range deadlines {
		if _, renewed := r.newDeadlines[leaseID]; !renewed && due <= r.now {
			// There is no error, because every lease with a deadline exists.
			_ = r.endLease(leaseID)
		}
	}
}

func (r *applyRound) endLease(leaseID uint64) error {
	if err := r.batch.RevokeLease(leaseID); err != nil {
		return err
	}
	r.endedLeases = append(r.endedLeases, leaseID)
	delete(r.newDeadlines, leaseID)
	return nil
}

// execute executes the commands in order, except for renewals, which renewLeases has handled.
func (r *applyRound) execute(commands []command) {
	for i, c := range commands {
		switch c := c.(type) {
		case commitTxn:
			r.replies[i] = r.commit(c.txn)
		case grantLease:
			r.replies[i] = r.grant(c.ttlMillis)
		case revokeLease:
			r.replies[i] = r.revoke(c.leaseID)
		}
	}
}

func (r *applyRound) commit(txn *kvstore.Txn) reply {
	result, err := r.batch.Commit(txn)
	switch {
	case err != nil:
		return reply{outcome: outcomeInvalid, err: err}
	case !result.Committed():
		return reply{outcome: outcomeConflict, txn: result}
	default:
		return reply{outcome: outcomeDone, txn: result}
	}
}

func (r *applyRound) grant(ttlMillis int64) reply {
	leaseID, err := r.batch.GrantLease(ttlMillis)
	if err != nil {
		return reply{outcome: outcomeInvalid, err: err}
	}
	r.newDeadlines[leaseID] = deadline(r.now, ttlMillis)
	return reply{outcome: outcomeDone, leaseID: leaseID}
}

func (r *applyRound) revoke(leaseID uint64) reply {
	if err := r.endLease(leaseID); err != nil {
		return reply{outcome: outcomeNotFound, err: err}
	}
	return reply{outcome: outcomeDone}
}
