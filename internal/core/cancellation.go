package core

import (
	"github.com/chalkhub/chalkhub/internal/degraded"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// cancellation cancels users' jobs, and remembers the cancellations that this controller may have
// confirmed to users. Degraded mode needs those that the mirrors of other controllers may have
// missed.
//
// A job is cancelled once its final record is durable. If the job completes at the same time, the
// guard on the job's own key lets exactly one of the two writes succeed, so all controllers see the
// same outcome.
type cancellation struct {
	core *Core
	log  degraded.CancellationLog
}

func newCancellation(c *Core) *cancellation {
	return &cancellation{core: c, log: degraded.NewCancellationLog(c.cancelsPerLease())}
}

// cancelsPerLease returns an upper bound of the number of jobs that can be cancelled during one worker
// lease: each cancellation takes at least one change, and the store limits the changes per second. One
// lease is enough, because no mirror that degraded mode takes into account is further behind than that.
// The bound uses the present write rate, so it does not hold if a higher rate has been announced.
func (c *Core) cancelsPerLease() int {
	return int(c.settings.Site.Store.WriteRPS * c.intervals.workerLease.Seconds())
}

// maxCancelAttempts is how often a cancellation is tried whose write failed a guard or has an
// unknown outcome, before the user is asked to repeat the request.
const maxCancelAttempts = 4

// cancel cancels a job and responds to the user.
func (x *cancellation) cancel(id RequestID, jobID string) { x.attemptCancel(id, jobID, 1) }

func (x *cancellation) attemptCancel(id RequestID, jobID string, attempt int) {
	queries := x.core.queries
	if !protocol.ValidJobID(jobID) {
		queries.replyUnknownJob(id)
		return
	}
	x.core.mirror.Barrier(func(ok bool) {
		j := x.core.records.acceptedJob(jobID)
		switch {
		case !ok:
			queries.replyRetry(id, reasonStoreDown)
		case j == nil:
			queries.replyUnknownJob(id)
		case j.isFinal():
			queries.replyJob(id, j)
		default:
			x.write(id, j, attempt)
		}
	})
}

// write writes the final record of a cancelled job and responds to the user.
func (x *cancellation) write(id RequestID, j *jobEntry, attempt int) {
	c, jobID := x.core, j.record.Spec.ID
	final := finalRecord(j, protocol.JobCancelled, "cancelled by its user")
	ops := finalOps(j, final, c.maxTxnOps())
	c.commit([]protocol.Guard{j.recordGuard()}, ops, func(result CommitResult) {
		switch {
		case result.Outcome == Committed:
			x.log.Record(jobID, result.Response.Revision)
			c.degraded.cancellationConfirmed(jobID)
			c.emit(Reply{ID: id, Status: ReplyOK, Body: protocol.JobResponse{ID: jobID, State: protocol.JobCancelled, Done: j.doneCount}})
		case (result.Outcome == CommitConflict || result.Outcome == CommitUnknown) && attempt < maxCancelAttempts:
			x.attemptCancel(id, jobID, attempt+1) // another write came first, or the outcome is unknown: read the job again
		default:
			c.queries.replyRetry(id, reasonStoreDown)
		}
	})
}

// recordObserved records a cancellation that the mirror has read. Cancellations up to the revision of the
// last load need no record: a vote in degraded mode contains that revision, which covers them.
func (x *cancellation) recordObserved(jobID string, version uint64) {
	if version > x.core.mirror.LoadRevision() {
		x.log.Record(jobID, version)
	}
}
