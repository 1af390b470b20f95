package core

import (
	"github.com/chalkhub/chalkhub/internal/degraded"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// cancellation cancels users' jobs, and remembers the cancellations that this node may have told
// somebody of: degraded mode needs those that other controllers' mirrors may have missed.
//
// A job is cancelled once its final record is durable. The guard on the job's own key settles a
// race with its completion the same way everywhere.
type cancellation struct {
	core *Core
	log  degraded.CancellationLog
}

func newCancellation(c *Core) *cancellation {
	return &cancellation{core: c, log: degraded.NewCancellationLog(c.cancelsPerLease())}
}

// cancelsPerLease is how many jobs can be cancelled, a change each, while a mirror falls behind
// by a worker's lease: longer than any that degraded mode takes account of. The limit in force
// is the larger one.
func (c *Core) cancelsPerLease() int {
	return int(c.settings.Site.Store.WriteRPS * c.intervals.workerLease.Seconds())
}

// maxCancelAttempts is how often a cancellation is tried that lost a race, or whose outcome is
// open, before its user is asked to repeat it.
const maxCancelAttempts = 4

// cancel cancels a job for its user.
func (x *cancellation) cancel(id RequestID, jobID string) { x.try(id, jobID, 1) }

func (x *cancellation) try(id RequestID, jobID string, attempt int) {
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

// write writes a job's final record.
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
			x.try(id, jobID, attempt+1) // done came first, or the outcome is open: look again
		default:
			c.queries.replyRetry(id, reasonStoreDown)
		}
	})
}

// observed notes a cancellation that the mirror has brought. What a load brought need not be noted:
// whoever asks compares the load's revision.
func (x *cancellation) observed(jobID string, version uint64) {
	if version > x.core.mirror.LoadRevision() {
		x.log.Record(jobID, version)
	}
}
