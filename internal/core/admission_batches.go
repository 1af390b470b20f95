package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// admissionBatches accepts several jobs with one write. A job that gets a key of its own costs one
// write. When jobs arrive faster than the state service accepts writes, the submissions that would
// have to wait are stored together under one key.
//
// Without batches, hundreds of users who submit at once at the start of a day or after an outage
// would get 503 for seconds, since the state service accepts only some dozens of changes a second.
//
// The first change of a batched job (its zones are chosen, or it ends) writes the job's own key,
// guarded by the absence of that key. From then on the job's entry in the batch no longer counts.
// Two controllers may both accept one submission; the first acceptance counts (see acceptance).
type admissionBatches struct {
	core           *Core
	writeTokens    float64 // number of writes that submissions may use now
	refilledAt     time.Duration
	waiting        []submission
	flushScheduled bool // a timer is set that calls flush once a write token is available
	writeCount     int  // makes the keys of batches unique within this process
}

// admissionBatch describes a stored key that holds several accepted jobs.
type admissionBatch struct {
	version uint64
	jobs    []string // ids
}

// guardsPerTxnOp is how many guards the state service allows in a transaction for each operation
// that it allows: with a limit of n operations, a transaction may have guardsPerTxnOp * n guards.
const guardsPerTxnOp = 4

// Sizes of a batch's value, in bytes of JSON, the encoding to which the store's limits apply.
const (
	maxBatchBytes       = 32 << 10 // upper bound even if the store accepts larger values
	batchEnclosureBytes = 16       // the JSON around the list of jobs
	separatorBytes      = 2        // ", " between two jobs
)

// writeRate returns how many writes a second this controller may use for submissions. The part of
// the store's write rate that is not reserved for progress is divided evenly among all controllers.
func (b *admissionBatches) writeRate() float64 {
	return b.core.writeRate() * (1 - b.core.policy.ProgressShare) / float64(len(b.core.settings.Siblings)+1)
}

// takeToken takes a write token and returns 0. If none is left it takes nothing and returns the time
// until the next one is available.
func (b *admissionBatches) takeToken() (wait time.Duration) {
	now, rate := b.core.now.Monotonic, b.writeRate()
	burst := max(rate/2, 1) // the writes of half a second
	b.writeTokens = min(b.writeTokens+(now-b.refilledAt).Seconds()*rate, burst)
	b.refilledAt = now
	if b.writeTokens < 1 {
		return time.Duration((1 - b.writeTokens) / rate * float64(time.Second))
	}
	b.writeTokens--
	return 0
}

// takeIndividualWrite takes a write token for a job that is to be written under its own key. It
// reports false if no token is left or if earlier submissions still wait for a batch.
func (b *admissionBatches) takeIndividualWrite() bool {
	return len(b.waiting) == 0 && b.takeToken() == 0
}

// enqueue adds a submission to those that the next batches accept.
func (b *admissionBatches) enqueue(s submission) {
	b.waiting = append(b.waiting, s)
	b.flush()
}

// flush writes the waiting submissions in batches, one for each write token. If no token is left it
// sets a timer to continue.
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

// nextBatch removes from the waiting submissions as many as fit into one value and into the guards
// of one transaction, and returns them. Jobs with dependencies go into separate batches, whose keys
// older versions of the controller ignore.
func (b *admissionBatches) nextBatch() []submission {
	var batch, remaining []submission
	maxSize, maxGuards := min(b.core.maxValueBytes(), maxBatchBytes), guardsPerTxnOp*b.core.storeLimits.MaxTxnOps
	size, guards := batchEnclosureBytes, 1
	for i := range b.waiting {
		s := &b.waiting[i]
		fits := size+s.jsonSize+separatorBytes <= maxSize && guards+guardsPerJob <= maxGuards
		if len(batch) > 0 && (s.batchPrefix() != batch[0].batchPrefix() || !fits) {
			remaining = append(remaining, *s)
			continue
		}
		batch = append(batch, *s)
		size, guards = size+s.jsonSize+separatorBytes, guards+guardsPerJob
	}
	b.waiting = remaining
	return batch
}

// batchPrefix returns the key prefix of the batches that may hold the submission.
func (s *submission) batchPrefix() string {
	if len(s.record.Spec.Dependencies) > 0 {
		return keyDependentBatch
	}
	return keyAdmissionBatch
}

func (b *admissionBatches) write(batch []submission) {
	b.writeCount++
	key := fmt.Sprintf("%s%s-%d", batch[0].batchPrefix(), b.core.bootID, b.writeCount)
	guards := []protocol.Guard{{Key: key}}
	var record records.AdmissionBatch
	for i := range batch {
		jobGuards := notAcceptedGuards(batch[i].record.Spec.ID)
		if slices.Contains(guards, jobGuards[0]) {
			continue // the batch has this job already: it was submitted twice
		}
		guards = append(guards, jobGuards...)
		record.Jobs = append(record.Jobs, batch[i].record)
	}
	b.core.commit(guards, []protocol.Operation{{Put: key, Value: record}}, func(result CommitResult) { b.handleWritten(batch, result) })
}

// handleWritten responds to the users whose submissions were in a batch.
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

// retryUnaccepted handles a batch that was not written because some of its jobs have keys of their
// own: those jobs are accepted already, and the others go into the next batch.
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
