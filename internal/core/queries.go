package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// jobQueries responds to users' requests about their jobs.
//
// Invariant: reads are linearizable across controllers. No response contradicts an earlier one,
// whichever controllers sent them. A state that may still change is therefore reported only after a
// read barrier.
type jobQueries struct{ core *Core }

// query responds with the current state of a job.
func (q *jobQueries) query(id RequestID, jobID string) {
	if !protocol.ValidJobID(jobID) {
		q.replyUnknownJob(id)
		return
	}
	q.replyCurrent(id, jobID)
}

// replyCurrent responds with a job's state, at once if it is final and otherwise after a read
// barrier, so that no other controller can have reported a newer one before.
func (q *jobQueries) replyCurrent(id RequestID, jobID string) {
	stored := q.core.records
	if j := stored.acceptedJob(jobID); j != nil && j.isFinal() {
		q.replyJob(id, j) // a final state never changes
		return
	}
	q.core.mirror.Barrier(func(ok bool) {
		j := stored.acceptedJob(jobID)
		switch {
		case !ok:
			q.replyRetry(id, reasonStoreDown)
		case j == nil:
			q.replyUnknownJob(id)
		default:
			q.replyJob(id, j)
		}
	})
}

// unknownRevision is passed to replyAfterCommit if the response to the write was lost.
const unknownRevision = 0

// replyAfterCommit responds to a submission that was written at the given revision, after a read
// barrier. If another acceptance of the job came first, the response describes that one. If the
// barrier fails or the mirror has no acceptance, the user is asked to repeat the request.
func (q *jobQueries) replyAfterCommit(id RequestID, jobID string, revision uint64) {
	q.core.mirror.Barrier(func(ok bool) {
		j := q.core.records.acceptedJob(jobID)
		switch {
		case !ok || j == nil:
			q.replyRetry(id, reasonStoreDown)
		case revision != unknownRevision && j.acceptance.version == revision:
			q.replyAccepted(id, &j.record)
		default:
			q.replyJob(id, j)
		}
	})
}

// replyAccepted responds that a job is accepted.
func (q *jobQueries) replyAccepted(id RequestID, record *records.Job) {
	spec := &record.Spec
	q.core.logDebug("job accepted", "job", spec.ID, "class", spec.Class, "team", spec.Team, "urgency", spec.Urgency,
		"tasks", spec.Tasks, "cpus", spec.CPUs, "estimate", spec.EstimateS, "checkpoint", spec.CheckpointS)
	q.core.emit(Reply{ID: id, Status: ReplyAccepted, Body: protocol.JobResponse{ID: spec.ID, State: record.State, Reason: record.StopReason}})
}

// replyJob responds with a job's state from the mirror. For an unfinished job it adds what the
// leader last published about it: the number of running tasks, and why the job waits.
func (q *jobQueries) replyJob(id RequestID, j *jobEntry) {
	response := protocol.JobResponse{ID: j.record.Spec.ID, State: j.record.State, Done: j.doneCount, Reason: j.record.StopReason}
	if !j.isFinal() {
		response.Running = j.leaderView.Running
		response.Reason = j.leaderView.Reason
		if q.core.records.dependencies.IsWaiting(response.ID) {
			response.Reason = q.core.records.dependencyReason(response.ID)
		}
		if response.Running > 0 {
			response.State = protocol.JobRunning
		}
		if response.Reason == "" && response.Running == 0 {
			response.Reason = "waits for the scheduler's next round"
		}
	}
	q.core.emit(Reply{ID: id, Status: ReplyOK, Body: response})
}

// retryAfter is how long a user is asked to wait before repeating a request that could not be
// served.
const retryAfter = time.Second

// replyRetry responds with 503 that the request must be repeated after retryAfter.
func (q *jobQueries) replyRetry(id RequestID, reason string) {
	q.core.emit(Reply{ID: id, Status: ReplyUnavailable, Body: protocol.ErrorResponse{Error: reason}, RetryAfter: retryAfter})
}

func (q *jobQueries) replyUnknownJob(id RequestID) { q.replyError(id, ReplyNotFound, "no such job") }

func (q *jobQueries) replyError(id RequestID, status ReplyStatus, reason string) {
	q.core.emit(Reply{ID: id, Status: status, Body: protocol.ErrorResponse{Error: reason}})
}
