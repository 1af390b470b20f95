package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// admissionBatches accepts many jobs with one write. A job of its own key costs a write when it is
// accepted; when more come in a moment than the state service takes changes, those that
// would have to wait share a key.
//
// Guards against seconds of 503 for the hundreds who submit in the first moment of a day
// or after an outage, at a service of some dozens of changes a second.
//
// A job's first own change (its zones, or its end) writes its own key, which must not be
// there yet; what its batch says of it is void from then on. Two nodes may accept one submission
// twice: the first counts (see acceptance).
type admissionBatches struct {
	core           *Core
	writeTokens    float64 // writes that submissions may take now
	refilledAt     time.Duration
	waiting        []submission
	flushScheduled bool // a flush waits for a write token
	writeCount     int  // makes the batches' keys differ
}

// admissionBatch is a stored key that holds several jobs.
type admissionBatch struct {
	version uint64
	jobs    []string
}

// guardsPerTxnOp is how many guards the protocol allows for each operation that a transaction may
// have at the most.
const guardsPerTxnOp = 4

// Sizes of a batch, in bytes as limits are counted.
const (
	maxBatchBytes   = 32 << 10 // however large a value may be
	batchFrameBytes = 16       // around the jobs
	separatorBytes  = 2        // ", " between two jobs
)

// writeRate is how many writes a second this node's submissions may take: its share of what
// progress leaves.
func (b *admissionBatches) writeRate() float64 {
	return b.core.writeRate() * (1 - b.core.policy.ProgressShare) / float64(len(b.core.settings.Siblings)+1)
}

// takeToken takes a write, or says how long until one may be taken if there is none.
func (b *admissionBatches) takeToken() (wait time.Duration) {
	now, rate := b.core.now.Monotonic, b.writeRate()
	burst := max(rate/2, 1) // half a second's writes
	b.writeTokens = min(b.writeTokens+(now-b.refilledAt).Seconds()*rate, burst)
	b.refilledAt = now
	if b.writeTokens < 1 {
		return time.Duration((1 - b.writeTokens) / rate * float64(time.Second))
	}
	b.writeTokens--
	return 0
}

// takeIndividualWrite reports whether a job may have a write of its own now, and takes it.
func (b *admissionBatches) takeIndividualWrite() bool {
	return len(b.waiting) == 0 && b.takeToken() == 0
}

// enqueue has a job accepted with the next batch.
func (b *admissionBatches) enqueue(s submission) {
	b.waiting = append(b.waiting, s)
	b.flush()
}

// flush writes what waits as soon as a write may be taken.
func (b *admissionBatches) flush() {
	if b.flushScheduled || len(b.waiting) == 0 {
		return
	}
	if wait := b.takeToken(); wait > 0 {
		b.flushScheduled = true
		b.core.afterFunc(wait, func() { b.flushScheduled = false; b.flush() })
		return
	}
	b.write(b.nextBatch())
	b.flush()
}

// nextBatch takes from the waiting submissions what fits into one value, and into the guards that
// a transaction may have. Jobs that need others go into batches of their own, which older versions
// do not read.
func (b *admissionBatches) nextBatch() []submission {
	var batch, rest []submission
	maxSize, maxGuards := min(b.core.maxValueBytes(), maxBatchBytes), guardsPerTxnOp*b.core.storeLimits.MaxTxnOps
	size, guards := batchFrameBytes, 1
	for i := range b.waiting {
		s := &b.waiting[i]
		fits := size+s.jsonSize+separatorBytes <= maxSize && guards+guardsPerJob <= maxGuards
		if len(batch) > 0 && (s.batchPrefix() != batch[0].batchPrefix() || !fits) {
			rest = append(rest, *s)
			continue
		}
		batch = append(batch, *s)
		size, guards = size+s.jsonSize+separatorBytes, guards+guardsPerJob
	}
	b.waiting = rest
	return batch
}

// batchPrefix is the prefix of the batch that a submission may go into.
func (s *submission) batchPrefix() string {
	if len(s.record.Spec.Dependencies) > 0 {
		return keyDependentBatch
	}
	return keyAdmissionBatch
}

// write writes a batch.
func (b *admissionBatches) write(batch []submission) {
	b.writeCount++
	key := fmt.Sprintf("%s%s-%d", batch[0].batchPrefix(), b.core.bootID, b.writeCount)
	guards := []protocol.Guard{{Key: key}}
	var record records.AdmissionBatch
	for i := range batch {
		own := notAcceptedGuards(batch[i].record.Spec.ID)
		if slices.Contains(guards, own[0]) {
			continue // the same submission twice
		}
		guards = append(guards, own...)
		record.Jobs = append(record.Jobs, batch[i].record)
	}
	b.core.commit(guards, []protocol.Operation{{Put: key, Value: record}}, func(result CommitResult) { b.handleWritten(batch, result) })
}

// handleWritten answers the users whose submissions were in a batch.
func (b *admissionBatches) handleWritten(batch []submission, result CommitResult) {
	queries := b.core.queries
	switch result.Outcome {
	case Committed:
		for i := range batch {
			b.core.admission.replyCommitted(&batch[i], result.Response.Revision)
		}
	case CommitConflict:
		b.retryUnaccepted(batch, result.Response.Failed)
	case CommitUnknown:
		for i := range batch {
			queries.replyAfterCommit(batch[i].requestID, batch[i].record.Spec.ID, unknownRevision)
		}
	default:
		for i := range batch {
			queries.replyRetry(batch[i].requestID, reasonStoreBusy)
		}
	}
}

// retryUnaccepted writes those of a batch again that nobody has accepted elsewhere.
func (b *admissionBatches) retryUnaccepted(batch []submission, failedKeys []string) {
	for _, s := range batch {
		id := s.record.Spec.ID
		if slices.Contains(failedKeys, keyJob+id) || slices.Contains(failedKeys, keyDependentJob+id) {
			b.core.queries.replyCurrent(s.requestID, id)
		} else {
			b.waiting = append(b.waiting, s)
		}
	}
	b.flush()
}
