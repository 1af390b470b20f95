package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// storeBurstSeconds is how many seconds' worth of requests may come at once.
	storeBurstSeconds = 1
	// guardsPerOperation is how many conditions a transaction may have for each
	// operation that it may have.
	guardsPerOperation = 4
	// maxTransactionBytes is the largest size of all values of a transaction together.
	maxTransactionBytes = 64 << 10
	bytesPerKB          = 1024
)

// Store is the state service around the real kvstore, with its limits and faults.
type Store struct {
	StoreFaults

	DelayedCommits int // transactions that were answered or applied late
	Writes         int // operations applied
	Throttled      int // requests above the limits

	cluster       *Cluster
	checker       *checker
	state         *kvstore.State
	leaseExpiry   map[uint64]time.Duration // by lease
	watches       []*watch                 // open ones, in the order in which they came
	requestBucket leakyBucket
	writeBucket   leakyBucket
}

// watch is a request that waits for changes.
type watch struct {
	node          string
	sinceRevision uint64
	respond       func(core.WatchOutcome, protocol.WatchResponse)
	closed        bool
}

func newStore(cluster *Cluster) *Store {
	return &Store{
		StoreFaults: StoreFaults{RefusedNodes: map[string]bool{}, CompactedNodes: map[string]bool{}},
		cluster:     cluster, checker: cluster.checker, state: kvstore.NewState(), leaseExpiry: map[uint64]time.Duration{},
	}
}

// refuses reports whether a node's requests are refused.
func (s *Store) refuses(node string) bool { return s.Down || s.RefusedNodes[node] }

// limits are those in force.
func (s *Store) limits() config.StoreLimits {
	if s.LimitsLowered {
		return s.cluster.Settings.Site.Store.Lowest()
	}
	return s.cluster.Settings.Site.Store
}

// throttle reports whether a request with the given number of writes is above the limits.
func (s *Store) throttle(writes int) bool {
	limits, now := s.limits(), s.cluster.Now
	if s.requestBucket.take(now, 1, limits.RPS, storeBurstSeconds) &&
		s.writeBucket.take(now, float64(writes), limits.WriteRPS, storeBurstSeconds) {
		return false
	}
	s.Throttled++
	return true
}

// updateState makes the next state and wakes the watches that wait for one.
func (s *Store) updateState(apply func(*kvstore.Batch)) {
	batch := s.state.Begin()
	apply(batch)
	s.state = batch.Next()
	s.wakeWatches()
}

// commitDirectly commits a transaction without the knowledge of any controller.
func (s *Store) commitDirectly(txn *kvstore.Txn) {
	s.updateState(func(batch *kvstore.Batch) {
		if _, err := batch.Commit(txn); err != nil {
			panic(fmt.Sprintf("simulation: commit: %v", err)) // only a lease that is not there
		}
	})
}

// armLease starts a lease's full time anew.
func (s *Store) armLease(id uint64) {
	ttlMilliseconds, _ := s.state.LeaseTTL(id)
	expiry := s.cluster.Now + time.Duration(ttlMilliseconds)*time.Millisecond
	s.leaseExpiry[id] = expiry
	s.cluster.At(expiry, func() {
		if s.leaseExpiry[id] != expiry || s.Down { // renewed, or frozen by an outage
			return
		}
		s.updateState(func(batch *kvstore.Batch) { _ = batch.RevokeLease(id) }) // it may have ended
	})
}

// handleLease renews a node's lease, or grants one if it names none.
func (s *Store) handleLease(node string, request core.RenewLease) (uint64, core.LeaseOutcome) {
	if s.refuses(node) || s.throttle(0) {
		return request.LeaseID, core.LeaseRefused
	}
	if request.LeaseID != 0 {
		if _, exists := s.state.LeaseTTL(request.LeaseID); !exists {
			return request.LeaseID, core.LeaseExpired
		}
		s.armLease(request.LeaseID)
		return request.LeaseID, core.LeaseGranted
	}
	var id uint64
	var err error
	s.updateState(func(batch *kvstore.Batch) { id, err = batch.GrantLease(request.TTL.Milliseconds()) })
	if err != nil {
		s.checker.recordInvalidLeaseTTL(node, request.TTL)
		return 0, core.LeaseRefused
	}
	s.armLease(id)
	return id, core.LeaseGranted
}

// Commit runs a transaction of a node, perhaps one of the previous version. CommitUnknown
// stands for an answer that never comes.
func (s *Store) Commit(node string, previousVersion bool, txn protocol.Transaction) (core.CommitOutcome, protocol.TransactionResult) {
	if s.refuses(node) {
		return core.CommitUnavailable, protocol.TransactionResult{}
	}
	if s.throttle(len(txn.Then)) {
		return core.CommitThrottled, protocol.TransactionResult{}
	}
	if fault := s.limitViolation(txn); fault != "" {
		s.checker.recordMalformed(node, previousVersion, fault)
		return core.CommitRejected, protocol.TransactionResult{}
	}
	if s.drawDelayedCommit(txn) {
		s.applyDelayed(txn)
		return core.CommitUnknown, protocol.TransactionResult{}
	}
	return s.apply(txn)
}

// drawDelayedCommit reports whether a transaction is one of those that get no answer.
func (s *Store) drawDelayedCommit(txn protocol.Transaction) bool {
	concerned := func(operation protocol.Operation) bool {
		return strings.HasPrefix(operation.Put+operation.Delete, s.DelayedCommitPrefix)
	}
	return s.DelayedCommitShare > 0 && slices.ContainsFunc(txn.Then, concerned) && s.cluster.Rand.Float64() < s.DelayedCommitShare
}

func (s *Store) applyDelayed(txn protocol.Transaction) {
	s.DelayedCommits++
	if s.MaxCommitDelay == 0 { // applied at once: only the answer is lost
		s.apply(txn)
		return
	}
	delay := s.MinCommitDelay + time.Duration(s.cluster.Rand.Int64N(int64(s.MaxCommitDelay-s.MinCommitDelay)+1))
	s.cluster.After(delay, func() { s.apply(txn) })
}

func (s *Store) apply(txn protocol.Transaction) (core.CommitOutcome, protocol.TransactionResult) {
	s.Writes += len(txn.Then)
	encoded := encodeTransaction(txn)
	var result kvstore.TxnResult
	var err error
	s.updateState(func(batch *kvstore.Batch) { result, err = batch.Commit(&encoded) })
	answer := protocol.TransactionResult{Failed: result.FailedKeys, Revision: result.Revision}
	switch {
	case err != nil:
		return core.CommitRejected, answer
	case !result.Committed():
		return core.CommitConflict, answer
	default:
		return core.Committed, answer
	}
}

// encodeTransaction is a transaction as the store takes it.
func encodeTransaction(txn protocol.Transaction) kvstore.Txn {
	encoded := kvstore.Txn{If: txn.If}
	for _, operation := range txn.Then {
		op := kvstore.Op{Put: operation.Put, LeaseID: operation.Lease, Delete: operation.Delete}
		if operation.Put != "" {
			op.Value = protocol.Encode(operation.Value)
		}
		encoded.Then = append(encoded.Then, op)
	}
	return encoded
}

// limitViolation says which limit a transaction is over, empty: none. A node that sends such a
// transaction would send it for ever.
func (s *Store) limitViolation(txn protocol.Transaction) string {
	limits := s.limits()
	if operations := len(txn.Then); operations > limits.MaxTxnOps {
		return fmt.Sprintf("%d changes in one transaction", operations)
	}
	if conditions := len(txn.If); conditions > guardsPerOperation*limits.MaxTxnOps {
		return fmt.Sprintf("%d conditions in one transaction", conditions)
	}
	total := 0
	for _, operation := range txn.Then {
		size := protocol.JSONSize(operation.Value)
		total += size
		if float64(size) > limits.ValueKB*bytesPerKB {
			return fmt.Sprintf("a value of %d bytes for %s", size, operation.Put)
		}
	}
	if total > maxTransactionBytes {
		return fmt.Sprintf("a transaction of %d bytes", total)
	}
	return ""
}

// loadPage answers with a page of keys, those after the given one.
func (s *Store) loadPage(node string, after string, sentAt time.Duration) core.LoadResult {
	result := core.LoadResult{SentAt: sentAt, Revision: s.state.Revision}
	if s.refuses(node) || s.throttle(0) {
		return result
	}
	page := s.state.Range(core.KeyPrefix, after, 0)
	result.OK, result.Items, result.More = true, page.Items, page.More
	return result
}

// handleWatch answers a watch at once if there is a change or it does not wait, else once
// there is a change or its time is over. In an outage watches that are open stay open.
func (s *Store) handleWatch(node string, request core.Watch, respond func(core.WatchOutcome, protocol.WatchResponse)) {
	if s.refuses(node) {
		if request.Hold == 0 {
			respond(core.WatchUnavailable, protocol.WatchResponse{})
		}
		return
	}
	if s.throttle(0) {
		respond(core.WatchThrottled, protocol.WatchResponse{})
		return
	}
	if s.CompactedNodes[node] {
		delete(s.CompactedNodes, node)
		respond(core.WatchCompacted, protocol.WatchResponse{})
		return
	}
	if request.Hold == 0 || s.state.Revision > request.Since {
		s.respondToWatch(request.Since, respond)
		return
	}
	open := &watch{node: node, sinceRevision: request.Since, respond: respond}
	s.watches = append(s.watches, open)
	s.cluster.After(request.Hold, func() { s.finishWatch(open) })
}

// respondToWatch answers with the changes since a revision.
func (s *Store) respondToWatch(revision uint64, respond func(core.WatchOutcome, protocol.WatchResponse)) {
	events, err := s.state.EventsSince(core.KeyPrefix, revision)
	if err != nil {
		respond(core.WatchCompacted, events)
		return
	}
	respond(core.WatchServed, events)
}

func (s *Store) finishWatch(open *watch) {
	if !open.closed && !s.refuses(open.node) {
		open.closed = true
		s.respondToWatch(open.sinceRevision, open.respond)
	}
}

// wakeWatches answers the open watches that there is a change for.
func (s *Store) wakeWatches() {
	watches := s.watches
	s.watches = nil
	for _, open := range watches {
		if !open.closed && s.state.Revision > open.sinceRevision {
			s.finishWatch(open)
		}
		if !open.closed {
			s.watches = append(s.watches, open)
		}
	}
}

// CountKeys counts the keys with a prefix.
func (s *Store) CountKeys(prefix string) (keys int) {
	for key := range s.state.All() {
		if strings.HasPrefix(key, prefix) {
			keys++
		}
	}
	return keys
}
