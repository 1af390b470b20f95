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
	// storeBurstSeconds is the size of the largest burst of requests or writes, in seconds at the
	// rate limit.
	storeBurstSeconds = 1
	// guardsPerOperation, times the maximum number of operations of a transaction, is the maximum
	// number of its guards.
	guardsPerOperation = 4
	// maxTransactionBytes is the maximum total size of all values of a transaction.
	maxTransactionBytes = 64 << 10
	bytesPerKB          = 1024
)

// Store simulates the state service: it keeps its data in a real kvstore.State, enforces the
// service's limits and injects its faults.
type Store struct {
	StoreFaults

	DelayedCommits int // transactions without a response, which were applied at once or later
	Writes         int // operations of the transactions that nodes sent, also of those whose guards failed
	Throttled      int // requests above the rate limits

	cluster       *Cluster
	checker       *checker
	state         *kvstore.State
	leaseExpiry   map[uint64]time.Duration // by lease ID
	watches       []*watch                 // open ones, in order of arrival
	requestBucket leakyBucket
	writeBucket   leakyBucket
}

// watch is an open watch request, which waits for changes after sinceRevision.
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

// refuses reports whether the store refuses all requests of a node.
func (s *Store) refuses(node string) bool { return s.Down || s.RefusedNodes[node] }

// limits returns the limits that are currently in force.
func (s *Store) limits() config.StoreLimits {
	if s.LimitsLowered {
		return s.cluster.Settings.Site.Store.Lowest()
	}
	return s.cluster.Settings.Site.Store
}

// throttle reports whether a request with the given number of writes exceeds the rate limits, and
// counts it either towards these limits or in Throttled.
func (s *Store) throttle(writes int) bool {
	limits, now := s.limits(), s.cluster.Now
	if s.requestBucket.allow(now, 1, limits.RPS, storeBurstSeconds) &&
		s.writeBucket.allow(now, float64(writes), limits.WriteRPS, storeBurstSeconds) {
		return false
	}
	s.Throttled++
	return true
}

// updateState replaces the state by one with the changes of modify, and responds to the open
// watches that have waited for a change.
func (s *Store) updateState(modify func(*kvstore.Batch)) {
	batch := s.state.Begin()
	modify(batch)
	s.state = batch.Next()
	s.finishChangedWatches()
}

// commitDirectly commits a transaction that no controller has sent. Limits and faults do not apply
// to it.
func (s *Store) commitDirectly(txn *kvstore.Txn) {
	s.updateState(func(batch *kvstore.Batch) {
		if _, err := batch.Commit(txn); err != nil {
			panic(fmt.Sprintf("simulation: commit a transaction directly: %v", err)) // the only error is a missing lease
		}
	})
}

// armLease restarts a lease: it expires when its full time to live has passed from now.
func (s *Store) armLease(id uint64) {
	ttlMilliseconds, _ := s.state.LeaseTTL(id)
	expiry := s.cluster.Now + time.Duration(ttlMilliseconds)*time.Millisecond
	s.leaseExpiry[id] = expiry
	s.cluster.At(expiry, func() {
		if s.leaseExpiry[id] != expiry || s.Down { // renewed, or frozen by an outage, whose end restarts it
			return
		}
		s.updateState(func(batch *kvstore.Batch) { _ = batch.RevokeLease(id) }) // the lease may no longer exist
	})
}

// handleLease renews the lease that a node's request names, or grants a new one if it names none.
// It returns the lease's ID, which is 0 if a new lease was refused.
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

// Commit handles a transaction that a node has sent; previousVersion says whether the node runs
// the previous version. With the outcome CommitUnknown, the caller must send no response.
func (s *Store) Commit(node string, previousVersion bool, txn protocol.Transaction) (core.CommitOutcome, protocol.TransactionResult) {
	if s.refuses(node) {
		return core.CommitUnavailable, protocol.TransactionResult{}
	}
	if s.throttle(len(txn.Then)) {
		return core.CommitThrottled, protocol.TransactionResult{}
	}
	if violation := s.limitViolation(txn); violation != "" {
		s.checker.recordMalformed(node, previousVersion, violation)
		return core.CommitRejected, protocol.TransactionResult{}
	}
	if s.drawDelayedCommit(txn) {
		s.applyDelayed(txn)
		return core.CommitUnknown, protocol.TransactionResult{}
	}
	return s.apply(txn)
}

// drawDelayedCommit draws whether a transaction gets no response.
func (s *Store) drawDelayedCommit(txn protocol.Transaction) bool {
	delayable := func(operation protocol.Operation) bool {
		return strings.HasPrefix(operation.Put+operation.Delete, s.DelayedCommitPrefix)
	}
	return s.DelayedCommitShare > 0 && slices.ContainsFunc(txn.Then, delayable) && s.cluster.Rand.Float64() < s.DelayedCommitShare
}

func (s *Store) applyDelayed(txn protocol.Transaction) {
	s.DelayedCommits++
	if s.MaxCommitDelay == 0 { // applied at once: only the response is lost
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
	response := protocol.TransactionResult{Failed: result.FailedKeys, Revision: result.Revision}
	switch {
	case err != nil:
		return core.CommitRejected, response
	case !result.Committed():
		return core.CommitConflict, response
	default:
		return core.Committed, response
	}
}

// encodeTransaction converts a transaction to that of kvstore, with encoded values.
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

// limitViolation describes the limit that a transaction exceeds; it is empty if there is none.
// The store rejects such a transaction at every retry, so a node that sends it would retry for ever.
func (s *Store) limitViolation(txn protocol.Transaction) string {
	limits := s.limits()
	if operations := len(txn.Then); operations > limits.MaxTxnOps {
		return fmt.Sprintf("%d changes in one transaction", operations)
	}
	if guards := len(txn.If); guards > guardsPerOperation*limits.MaxTxnOps {
		return fmt.Sprintf("%d conditions in one transaction", guards)
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

// loadPage returns a page of keys and values, beginning after the given key. OK is not set if the
// request is refused or throttled.
func (s *Store) loadPage(node string, after string, sentAt time.Duration) core.LoadResult {
	result := core.LoadResult{SentAt: sentAt, Revision: s.state.Revision}
	if s.refuses(node) || s.throttle(0) {
		return result
	}
	page := s.state.Range(core.KeyPrefix, after, 0)
	result.OK, result.Items, result.More = true, page.Items, page.More
	return result
}

// handleWatch responds to a watch at once if it does not wait, if there is a change already, or if
// it is throttled or its revision is compacted; otherwise once there is a change or its time is
// over. If the store refuses the node, open watches stay open, and a new watch gets a response only
// if it does not wait.
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

// respondToWatch responds with the changes since a revision, or with WatchCompacted if the store no
// longer keeps them.
func (s *Store) respondToWatch(revision uint64, respond func(core.WatchOutcome, protocol.WatchResponse)) {
	events, err := s.state.EventsSince(core.KeyPrefix, revision)
	if err != nil {
		respond(core.WatchCompacted, events)
		return
	}
	respond(core.WatchServed, events)
}

// finishWatch responds to an open watch and closes it, unless the store refuses its node.
func (s *Store) finishWatch(open *watch) {
	if !open.closed && !s.refuses(open.node) {
		open.closed = true
		s.respondToWatch(open.sinceRevision, open.respond)
	}
}

// finishChangedWatches finishes the open watches that a change has occurred for.
func (s *Store) finishChangedWatches() {
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

// CountKeys returns the number of keys that begin with a prefix.
func (s *Store) CountKeys(prefix string) (keys int) {
	for key := range s.state.All() {
		if strings.HasPrefix(key, prefix) {
			keys++
		}
	}
	return keys
}
