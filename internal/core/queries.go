package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// jobQueries answers users about their jobs.
//
// Invariant: reads are linearizable across controllers. What a user was told, by whichever
// controller, no later answer takes back; so a state that may still change is answered after a
// read barrier only.
type jobQueries struct{ core *Core }

// query answers how a job stands.
func (q *jobQueries) query(id RequestID, jobID string) {
	if !protocol.ValidJobID(jobID) {
		q.replyUnknownJob(id)
		return
	}
	q.replyCurrent(id, jobID)
}

// replyCurrent answers for a job once nothing newer can have been said elsewhere.
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

// unknownRevision is the revision of a write that had no answer.
const unknownRevision = 0

// replyAfterCommit answers a submission that was written at a revision, once the mirror has read
// what became of it: another acceptance of the job may have been the first.
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

// replyAccepted tells a user that a job is accepted.
func (q *jobQueries) replyAccepted(id RequestID, record *records.Job) {
	spec := &record.Spec
	q.core.logDebug("job accepted", "job", spec.ID, "class", spec.Class, "team", spec.Team, "urgency", spec.Urgency,
		"tasks", spec.Tasks, "cpus", spec.CPUs, "estimate", spec.EstimateS, "checkpoint", spec.CheckpointS)
	q.core.emit(Reply{ID: id, Status: ReplyAccepted, Body: protocol.JobResponse{ID: spec.ID, State: record.State, Reason: record.StopReason}})
}

// replyJob answers with a job as the mirror and the leader's view of it have it.
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

// retryAfter is when a user whose request could not be decided is asked to come again.
const retryAfter = time.Second

// replyRetry answers that the request must be repeated, and when.
func (q *jobQueries) replyRetry(id RequestID, reason string) {
	q.core.emit(Reply{ID: id, Status: ReplyUnavailable, Body: protocol.ErrorResponse{Error: reason}, RetryAfter: retryAfter})
}

func (q *jobQueries) replyUnknownJob(id RequestID) { q.replyError(id, ReplyNotFound, "no such job") }

func (q *jobQueries) replyError(id RequestID, status ReplyStatus, reason string) {
	q.core.emit(Reply{ID: id, Status: status, Body: protocol.ErrorResponse{Error: reason}})
}
