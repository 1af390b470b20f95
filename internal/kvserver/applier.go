package kvserver

import (
	"errors"
	"maps"
	"time"

	"github.com/chalkhub/chalkhub/internal/kvfile"
	"github.com/chalkhub/chalkhub/internal/kvstore"
)

// Storage makes batches durable, as kvfile.File does.
type Storage interface {
	// Write returns once a batch, which leads to the state next, is durable. An error that
	// wraps kvfile.ErrNoSpace means that nothing was done and that the next write may
	// succeed; after any other error nobody knows what is durable.
	Write(batch *kvstore.Batch, next *kvstore.State) error
}

// applier owns the store: it applies commands, expires leases, and replaces the state once
// the next one is durable. It has no goroutine and no clock of its own: apply is called
// with the time on a steady clock.
type applier struct {
	state          *kvstore.State // what is durable
	storage        Storage
	leaseDeadlines map[uint64]time.Duration // when leases expire unless they are renewed
	lastApplied    time.Duration
	stallThreshold time.Duration
	outOfSpace     bool // the last write found no space
}

// newApplier owns a state that was read from its storage at the time now. Every lease has
// its full time again: whoever holds it could not renew it while nothing ran here.
//
// stallThreshold is how long after the last call of apply the process is taken to have
// stood still.
func newApplier(state *kvstore.State, storage Storage, now, stallThreshold time.Duration) *applier {
	a := &applier{state: state, storage: storage, lastApplied: now, stallThreshold: stallThreshold}
	a.restartLeases(now)
	return a
}

// restartLeases gives every lease its full time again.
func (a *applier) restartLeases(now time.Duration) {
	a.leaseDeadlines = map[uint64]time.Duration{}
	for leaseID, ttl := range a.state.LeaseTTLs() {
		a.leaseDeadlines[leaseID] = deadline(now, ttl)
	}
}

func deadline(now time.Duration, ttlMillis int64) time.Duration {
	return now + time.Duration(ttlMillis)*time.Millisecond
}

// committedState is what is durable.
func (a *applier) committedState() *kvstore.State { return a.state }

// apply applies commands in order with one write to the storage, and returns their
// replies. An error means that the storage is in doubt: the outcome of all commands is
// unknown, and the process must end.
func (a *applier) apply(now time.Duration, commands []command) ([]reply, error) {
	// Guards against a process that was stopped, or a disk that hung, for longer than a
	// lease: its holders could not renew it, which is an outage, and after an outage
	// every lease has its full time again.
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
	// Renewals that came in time are served before leases expire: the queue that they
	// stood in is the server's.
	r.renewLeases(commands)
	// In an outage no lease expires: its holder may have been refused.
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

// persist writes a round's batch and takes its state over if that is durable.
func (a *applier) persist(r *applyRound) ([]reply, error) {
	next := r.batch.Next()
	switch err := a.storage.Write(r.batch, next); {
	case err == nil:
		a.adopt(next, r)
		return r.replies, nil
	case errors.Is(err, kvfile.ErrNoSpace):
		a.outOfSpace = true
		// Nothing of the batch was done, so nothing of it may be answered either, and a
		// conflict may rest on what was not done.
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

// adopt takes over the state that a round has made durable.
func (a *applier) adopt(next *kvstore.State, r *applyRound) {
	a.state = next
	for _, leaseID := range r.endedLeases {
		delete(a.leaseDeadlines, leaseID)
	}
	maps.Copy(a.leaseDeadlines, r.newDeadlines)
	if a.outOfSpace {
		a.outOfSpace = false
		a.restartLeases(r.now) // the outage is over
	}
}

// applyRound is one call of apply: what its commands would change.
type applyRound struct {
	now          time.Duration
	batch        *kvstore.Batch
	replies      []reply                  // by command
	newDeadlines map[uint64]time.Duration // of leases that are renewed or granted
	endedLeases  []uint64                 // expired or revoked
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

// expireLeases ends the leases that are due and not just renewed.
func (r *applyRound) expireLeases(deadlines map[uint64]time.Duration) {
	for leaseID, due := range deadlines {
		if _, renewed := r.newDeadlines[leaseID]; !renewed && due <= r.now {
			// Every lease with a deadline exists, so there is no error.
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

// execute executes all commands but renewals, in order.
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
