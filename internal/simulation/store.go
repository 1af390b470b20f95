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
	"github.com/chalkhub/chalkhub/internal/records"
)

// State is the state service.
type State struct {
	cluster     *World
	state       *kvstore.State           // the store itself is the product's
	leaseExpiry map[uint64]time.Duration // by lease
	Out         bool                     // an outage: every node gets 503
	Refuses     map[string]bool          // nodes that alone get 503
	Forgot      map[string]bool          // nodes whose next watch is told that its revision is too old
	// LateShare is the share of transactions that get no answer and are applied
	// from LateFrom up to LateBy afterwards.
	LateShare     float64
	LateFrom      time.Duration
	LateBy        time.Duration
	LateOnly      string        // only of those that change a key with this prefix, empty: of all
	Late          int           // transactions that were
	Slow          time.Duration // is added to every answer
	Lowered       bool          // the limits that were announced hold
	Writes        int
	Refused       int // requests above the limits
	watches       []*watch
	requestBucket tokenBucket
	writeBucket   tokenBucket
}

// tokenBucket is a limit by the second that allows bursts of one second's worth.
type tokenBucket struct {
	used      float64
	updatedAt time.Duration
}

func (b *tokenBucket) take(now time.Duration, n, rate float64) bool {
	b.used = max(b.used-(now-b.updatedAt).Seconds()*rate, 0)
	b.updatedAt = now
	if b.used+n > rate {
		return false
	}
	b.used += n
	return true
}

// limited reports whether a request with so many writes is above the limits.
func (s *State) limited(writes int) bool {
	set := s.limits()
	if s.requestBucket.take(s.cluster.Now, 1, set.RPS) && s.writeBucket.take(s.cluster.Now, float64(writes), set.WriteRPS) {
		return false
	}
	s.Refused++
	return true
}

// limits are those in force.
func (s *State) limits() config.State {
	if s.Lowered {
		return s.cluster.Set.Site.State.Least()
	}
	return s.cluster.Set.Site.State
}

type watch struct {
	node          string
	sinceRevision uint64
	respond       func(core.WatchOutcome, protocol.WatchResponse)
	closed        bool
}

func newStore(w *World) *State {
	return &State{cluster: w, state: kvstore.NewState(), leaseExpiry: map[uint64]time.Duration{}, Refuses: map[string]bool{}, Forgot: map[string]bool{}}
}

func (s *State) refuses(node string) bool { return s.Out || s.Refuses[node] }

func (s *State) armLease(id uint64) {
	life, _ := s.state.LeaseTTL(id)
	ends := s.cluster.Now + time.Duration(life)*time.Millisecond
	s.leaseExpiry[id] = ends
	s.cluster.At(ends, func() {
		if s.leaseExpiry[id] != ends || s.Out {
			return
		}
		s.change(func(b *kvstore.Batch) { _ = b.RevokeLease(id) }) // it may have ended
	})
}

// change makes the next state and wakes those who wait for one.
func (s *State) change(f func(*kvstore.Batch)) {
	b := s.state.Begin()
	f(b)
	s.state = b.Next()
	s.wakeWatches()
}

// commitUnseen commits a transaction behind everybody's back.
func (s *State) commitUnseen(txn *kvstore.Txn) {
	s.change(func(b *kvstore.Batch) {
		if _, err := b.Commit(txn); err != nil {
			panic(fmt.Sprintf("simulation: commit: %v", err)) // only a lease that is not there
		}
	})
}

func (s *State) handleLease(node string, e core.RenewLease) (uint64, core.LeaseOutcome) {
	if s.refuses(node) {
		return e.LeaseID, core.LeaseRefused
	}
	if s.limited(0) {
		return e.LeaseID, core.LeaseRefused
	}
	if e.LeaseID != 0 {
		if _, ok := s.state.LeaseTTL(e.LeaseID); !ok {
			return e.LeaseID, core.LeaseExpired
		}
		s.armLease(e.LeaseID)
		return e.LeaseID, core.LeaseGranted
	}
	var id uint64
	var err error
	s.change(func(b *kvstore.Batch) { id, err = b.GrantLease(e.TTL.Milliseconds()) })
	if err != nil {
		s.cluster.recordViolation("malformed", "%s asks for a lease of %v", node, e.TTL)
		return 0, core.LeaseRefused
	}
	s.armLease(id)
	return id, core.LeaseGranted
}

// Commit runs a transaction of a node, an old one perhaps. CommitUnknown stands for an
// answer that never comes.
func (s *State) Commit(node string, old bool, t protocol.Transaction) (core.CommitOutcome, protocol.TransactionResult) {
	if s.refuses(node) {
		return core.CommitUnavailable, protocol.TransactionResult{}
	}
	if s.limited(len(t.Then)) {
		return core.CommitThrottled, protocol.TransactionResult{}
	}
	if why := s.malformed(t); why != "" {
		if !old { // that one does not know the limits to come
			s.cluster.recordViolation("malformed", "%s sends the state service %s", node, why)
		}
		return core.CommitRejected, protocol.TransactionResult{}
	}
	if s.LateShare > 0 && slices.ContainsFunc(t.Then, func(op protocol.Operation) bool { return strings.HasPrefix(op.Put+op.Delete, s.LateOnly) }) &&
		s.cluster.Rand.Float64() < s.LateShare {
		s.Late++
		if s.LateBy == 0 { // carried out at once: only the answer is lost
			s.apply(t)
			return core.CommitUnknown, protocol.TransactionResult{}
		}
		s.cluster.After(s.LateFrom+time.Duration(s.cluster.Rand.Int64N(int64(s.LateBy-s.LateFrom)+1)), func() { s.apply(t) })
		return core.CommitUnknown, protocol.TransactionResult{}
	}
	return s.apply(t)
}

func (s *State) apply(t protocol.Transaction) (core.CommitOutcome, protocol.TransactionResult) {
	s.Writes += len(t.Then)
	txn := kvstore.Txn{If: t.If}
	for _, op := range t.Then {
		o := kvstore.Op{Put: op.Put, LeaseID: op.Lease, Delete: op.Delete}
		if op.Put != "" {
			o.Value = protocol.Encode(op.Value)
		}
		txn.Then = append(txn.Then, o)
	}
	var result kvstore.TxnResult
	var err error
	s.change(func(b *kvstore.Batch) { result, err = b.Commit(&txn) })
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

// loadPage answers with a page of keys.
func (s *State) loadPage(node string, since string, sent time.Duration) core.LoadResult {
	d := core.LoadResult{SentAt: sent, Revision: s.state.Revision}
	if s.refuses(node) || s.limited(0) {
		return d
	}
	p := s.state.Range(core.KeyPrefix, since, 0)
	d.OK, d.Items, d.More = true, p.Items, p.More
	return d
}

// answerWatch answers a watch.
func (s *State) answerWatch(rev uint64, done func(core.WatchOutcome, protocol.WatchResponse)) {
	e, err := s.state.EventsSince(core.KeyPrefix, rev)
	if err != nil {
		done(core.WatchCompacted, e)
		return
	}
	done(core.WatchServed, e)
}

func (s *State) handleWatch(node string, e core.Watch, done func(core.WatchOutcome, protocol.WatchResponse)) {
	if s.refuses(node) {
		if e.Hold == 0 {
			done(core.WatchUnavailable, protocol.WatchResponse{})
		}
		return // open watches stay open
	}
	if s.limited(0) {
		done(core.WatchThrottled, protocol.WatchResponse{})
		return
	}
	if s.Forgot[node] {
		delete(s.Forgot, node)
		done(core.WatchCompacted, protocol.WatchResponse{})
		return
	}
	if e.Hold == 0 || s.state.Revision > e.Since {
		s.answerWatch(e.Since, done)
		return
	}
	x := &watch{node: node, sinceRevision: e.Since, respond: done}
	s.watches = append(s.watches, x)
	s.cluster.After(e.Hold, func() { s.finishWatch(x) })
}

func (s *State) finishWatch(x *watch) {
	if !x.closed && !s.refuses(x.node) {
		x.closed = true
		s.answerWatch(x.sinceRevision, x.respond)
	}
}

func (s *State) wakeWatches() {
	open := s.watches
	s.watches = nil
	for _, x := range open {
		if !x.closed && s.state.Revision > x.sinceRevision {
			s.finishWatch(x)
		}
		if !x.closed {
			s.watches = append(s.watches, x)
		}
	}
}

// Ended puts n jobs into the store that were done or cancelled long ago.
func (s *State) Ended(n int) {
	var txn kvstore.Txn
	for i := range n {
		id := fmt.Sprintf("job-9%08d", i)
		spec := Array(1 + i%40)
		spec.ID = id
		rec := records.Job{Spec: spec, State: protocol.JobDone, SubmittedAt: 9e8 + float64(i)}
		if i%50 == 0 {
			rec.State, rec.StopReason = protocol.JobCancelled, "cancelled by its user"
		}
		txn.Then = append(txn.Then, kvstore.Op{Put: "c/job/" + id, Value: protocol.Encode(rec)})
	}
	s.commitUnseen(&txn)
}

// Behind puts a job into the store and n jobs that wait for it: half of them for it alone,
// half in chains of a hundred.
func (s *State) Behind(first protocol.Job, n int) {
	first.EstimateS = 100_000
	txn := kvstore.Txn{Then: []kvstore.Op{{Put: "c/job/" + first.ID, Value: protocol.Encode(records.Job{Spec: first, State: protocol.JobQueued, SubmittedAt: 1e9})}}}
	before := ""
	for i := range n {
		spec := Array(1 + i%40)
		spec.ID = fmt.Sprintf("job-8%08d", i)
		if spec.Dependencies = []string{first.ID}; i%200 > 100 {
			spec.Dependencies = []string{before}
		}
		before = spec.ID
		txn.Then = append(txn.Then, kvstore.Op{Put: "c/run/" + spec.ID, Value: protocol.Encode(records.Job{Spec: spec, State: protocol.JobQueued, SubmittedAt: 1e9})})
	}
	s.commitUnseen(&txn)
}

// malformed says what is wrong with a transaction: it is over a limit of the
// settings. A service that sends one would send it for ever.
func (s *State) malformed(t protocol.Transaction) string {
	set := s.limits()
	if n := len(t.Then); n > set.TxnOps {
		return fmt.Sprintf("%d changes in one transaction", n)
	}
	if n := len(t.If); n > 4*set.TxnOps {
		return fmt.Sprintf("%d conditions in one transaction", n)
	}
	total := 0
	for _, op := range t.Then {
		size := protocol.JSONSize(op.Value)
		if total += size; float64(size) > set.ValueKB*1024 {
			return fmt.Sprintf("a value of %d bytes for %s", size, op.Put)
		}
	}
	if total > 64<<10 {
		return fmt.Sprintf("a transaction of %d bytes", total)
	}
	return ""
}

// Count counts the keys with a prefix.
func (s *State) Count(prefix string) (n int) {
	for key := range s.state.All() {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}
