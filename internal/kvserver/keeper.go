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

// Disk makes batches durable, as vault.Vault does.
type Disk interface {
	Write(*kvstore.Batch, *kvstore.State) error
}

// Command is a request for the owner. One of its fields is set.
type Command struct {
	Commit *kvstore.Txn
	Grant  int64  // life of a new lease in ms
	Extend uint64 // a lease's number
	Drop   uint64 // a lease's number
}

// Answer is a command's answer. Status 0 means that none may be given: nobody knows
// whether the change is durable.
type Answer struct {
	Status int
	Txn    protocol.TransactionResult
	Lease  uint64
	Why    string // of a 400 or 503
}

// Keeper owns the store. It has no goroutine, clock or disk of its own: Turn is called
// with the time on a steady clock.
type Keeper struct {
	state *kvstore.State
	disk  Disk
	ends  map[uint64]time.Duration // by lease: when it ends unless it is renewed
	last  time.Duration            // when Turn was called last
	gap   time.Duration
	out   bool // the last write found no space
}

// NewKeeper owns a state that was read from disk at the time now. Every lease has its
// full time again: whoever holds it could not renew it while nothing ran here.
//
// gap is how long after the last turn the process is taken to have stood still.
func NewKeeper(s *kvstore.State, disk Disk, now, gap time.Duration) *Keeper {
	k := &Keeper{state: s, disk: disk, last: now, gap: gap}
	k.rearm(now)
	return k
}

func (k *Keeper) rearm(now time.Duration) {
	k.ends = map[uint64]time.Duration{}
	for id, life := range k.state.Leases() {
		k.ends[id] = now + time.Duration(life)*time.Millisecond
	}
}

// State is what is durable.
func (k *Keeper) State() *kvstore.State { return k.state }

// Turn applies commands in order with one write to the disk, and gives their answers.
// An error means that the disk is in doubt: the answers have status 0 where a change
// may or may not be durable, and the process must end.
func (k *Keeper) Turn(now time.Duration, cmds []Command) ([]Answer, error) {
	// Guards against a process that was stopped, or a disk that hung, for longer than a
	// lease: its holders could not renew it, which is an outage, and after an outage
	// every lease has its full time again.
	if now-k.last > k.gap {
		k.rearm(now)
	}
	k.last = now
	b := k.state.Begin()
	answers := make([]Answer, len(cmds))
	renewed := map[uint64]time.Duration{}
	granted := map[uint64]time.Duration{}
	var ended []uint64
	end := func(id uint64) bool {
		if !b.End(id) {
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
		if c.Extend == 0 {
			continue
		}
		if life, ok := b.Alive(c.Extend); ok {
			renewed[c.Extend] = now + time.Duration(life)*time.Millisecond
			answers[i] = Answer{Status: 200}
		} else {
			answers[i] = Answer{Status: 404, Why: "no such lease"}
		}
	}
	for id, at := range k.ends {
		// In an outage no lease ends: its holder may have been refused.
		if _, ok := renewed[id]; !ok && at <= now && !k.out {
			end(id)
		}
	}
	for i, c := range cmds {
		switch {
		case c.Commit != nil:
			status, txn, why := b.Commit(c.Commit)
			answers[i] = Answer{Status: status, Txn: txn, Why: why}
		case c.Grant != 0:
			if id := b.Grant(c.Grant); id != 0 {
				granted[id] = now + time.Duration(c.Grant)*time.Millisecond
				answers[i] = Answer{Status: 200, Lease: id}
			} else {
				answers[i] = Answer{Status: 400, Why: "LifeMs must be from 100 to 600000"}
			}
		case c.Drop != 0:
			answers[i] = Answer{Status: 404, Why: "no such lease"}
			if end(c.Drop) {
				answers[i] = Answer{Status: 200}
			}
		}
	}
	if b.Empty() {
		k.adopt(renewed)
		return answers, nil
	}
	next := b.Next()
	switch err := k.disk.Write(b, next); {
	case err == nil:
		k.state = next
		for _, id := range ended {
			delete(k.ends, id)
		}
		k.adopt(renewed)
		k.adopt(granted)
		if k.out {
			// The outage is over.
			k.out = false
			k.rearm(now)
		}
		return answers, nil
	case errors.Is(err, kvfile.ErrFull):
		// Nothing of the batch was done, so nothing of it may be answered either, and
		// a 409 may rest on what was not done.
		k.out = true
		for i := range answers {
			answers[i] = Answer{Status: 503, Why: err.Error()}
		}
		return answers, nil
	default:
		for i := range answers {
			answers[i] = Answer{}
		}
		return answers, err
	}
}

func (k *Keeper) adopt(ends map[uint64]time.Duration) {
	for id, at := range ends {
		k.ends[id] = at
	}
}
