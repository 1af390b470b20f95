// Package kvserver is the state service: a store that one goroutine owns, a disk that
// every change reaches before it is answered, and the PROTOCOL's HTTP round them.
package kvserver

import (
	"errors"
	"time"

	"github.com/chalkhub/chalkhub/internal/kvfile"
	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Storage makes batches durable, as vault.Vault does.
type Storage interface {
	Write(*kvstore.Batch, *kvstore.State) error
}

// command is a request for the owner. One of its fields is set.
type command struct {
	commit         *kvstore.Txn
	grantTTLMillis int64  // life of a new lease in ms
	renewLeaseID   uint64 // a lease's number
	revokeLeaseID  uint64 // a lease's number
}

// reply is a command's answer. Status 0 means that none may be given: nobody knows
// whether the change is durable.
type reply struct {
	status  int
	txn     protocol.TransactionResult
	leaseID uint64
	reason  string // of a 400 or 503
}

// applier owns the store. It has no goroutine, clock or disk of its own: Turn is called
// with the time on a steady clock.
type applier struct {
	state          *kvstore.State
	storage        Storage
	leaseDeadlines map[uint64]time.Duration // by lease: when it ends unless it is renewed
	lastApplied    time.Duration            // when Turn was called last
	stallThreshold time.Duration
	outOfSpace     bool // the last write found no space
}

// newApplier owns a state that was read from disk at the time now. Every lease has its
// full time again: whoever holds it could not renew it while nothing ran here.
//
// gap is how long after the last turn the process is taken to have stood still.
func newApplier(s *kvstore.State, disk Storage, now, gap time.Duration) *applier {
	k := &applier{state: s, storage: disk, lastApplied: now, stallThreshold: gap}
	k.restartLeases(now)
	return k
}

func (k *applier) restartLeases(now time.Duration) {
	k.leaseDeadlines = map[uint64]time.Duration{}
	for id, life := range k.state.LeaseTTLs() {
		k.leaseDeadlines[id] = now + time.Duration(life)*time.Millisecond
	}
}

// committedState is what is durable.
func (k *applier) committedState() *kvstore.State { return k.state }

// apply applies commands in order with one write to the disk, and gives their answers.
// An error means that the disk is in doubt: the answers have status 0 where a change
// may or may not be durable, and the process must end.
func (k *applier) apply(now time.Duration, cmds []command) ([]reply, error) {
	// Guards against a process that was stopped, or a disk that hung, for longer than a
	// lease: its holders could not renew it, which is an outage, and after an outage
	// every lease has its full time again.
	if now-k.lastApplied > k.stallThreshold {
		k.restartLeases(now)
	}
	k.lastApplied = now
	b := k.state.Begin()
	answers := make([]reply, len(cmds))
	renewed := map[uint64]time.Duration{}
	granted := map[uint64]time.Duration{}
	var ended []uint64
	end := func(id uint64) bool {
		if !b.RevokeLease(id) {
			return false
		}
		ended = append(ended, id)
		delete(renewed, id)
		delete(granted, id)
		return true
	}
	// Renewals that came in time are served before leases end: the queue that they
	// stood in is ours.
	for i, c := range cmds {
		if c.renewLeaseID == 0 {
			continue
		}
		if life, ok := b.LeaseTTL(c.renewLeaseID); ok {
			renewed[c.renewLeaseID] = now + time.Duration(life)*time.Millisecond
			answers[i] = reply{status: 200}
		} else {
			answers[i] = reply{status: 404, reason: "no such lease"}
		}
	}
	for id, at := range k.leaseDeadlines {
		// In an outage no lease ends: its holder may have been refused.
		if _, ok := renewed[id]; !ok && at <= now && !k.outOfSpace {
			end(id)
		}
	}
	for i, c := range cmds {
		switch {
		case c.commit != nil:
			status, txn, why := b.Commit(c.commit)
			answers[i] = reply{status: status, txn: txn, reason: why}
		case c.grantTTLMillis != 0:
			if id := b.GrantLease(c.grantTTLMillis); id != 0 {
				granted[id] = now + time.Duration(c.grantTTLMillis)*time.Millisecond
				answers[i] = reply{status: 200, leaseID: id}
			} else {
				answers[i] = reply{status: 400, reason: "LifeMs must be from 100 to 600000"}
			}
		case c.revokeLeaseID != 0:
			answers[i] = reply{status: 404, reason: "no such lease"}
			if end(c.revokeLeaseID) {
				answers[i] = reply{status: 200}
			}
		}
	}
	if b.IsEmpty() {
		k.setDeadlines(renewed)
		return answers, nil
	}
	next := b.Next()
	switch err := k.storage.Write(b, next); {
	case err == nil:
		k.state = next
		for _, id := range ended {
			delete(k.leaseDeadlines, id)
		}
		k.setDeadlines(renewed)
		k.setDeadlines(granted)
		if k.outOfSpace {
			// The outage is over.
			k.outOfSpace = false
			k.restartLeases(now)
		}
		return answers, nil
	case errors.Is(err, kvfile.ErrNoSpace):
		// Nothing of the batch was done, so nothing of it may be answered either, and
		// a 409 may rest on what was not done.
		k.outOfSpace = true
		for i := range answers {
			answers[i] = reply{status: 503, reason: err.Error()}
		}
		return answers, nil
	default:
		for i := range answers {
			answers[i] = reply{}
		}
		return answers, err
	}
}

func (k *applier) setDeadlines(ends map[uint64]time.Duration) {
	for id, at := range ends {
		k.leaseDeadlines[id] = at
	}
}
