package core

import (
	"cmp"
	"math"
	"time"

	"github.com/chalkhub/chalkhub/internal/estimator"
	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// queuedJob is an unfinished job in the leader's queue, with the leader's state of its tasks. It lives
// only for one term of the leader; everything that must survive the term is in the state service.
type queuedJob struct {
	id    string
	entry *jobEntry

	// The tasks of the job, by task index.
	inflight     map[int]*inflightAttempt
	unsavedTasks map[int]bool          // tasks that have completed, but whose completion is not stored durably yet
	stoppedTasks map[int]bool          // tasks that were stopped, so that the next run time is not their full duration
	retryAt      map[int]time.Duration // earliest time at which a task is tried again
	firstWaiting int                   // no task with a smaller index is waiting

	// The tasks of the job as a whole.
	unlocated      bool // it predates this leader's term: its tasks may be on machines not seen yet
	failures       failureRecord
	longestRunning time.Duration         // longest time for which one of its tasks has been running so far
	durations      estimator.RunningMean // durations of those of its tasks whose completion this leader has seen

	pendingWrite pendingWrite
	saveDueAt    time.Duration // when its completed tasks are to be written, 0: no write is due

	zoneFullSince map[int]time.Duration // by zone index: since when the tasks tied to that zone have found no capacity

	// The rank of the job, computed again in each scheduling round.
	predictedSeconds   float64 // predicted duration of one of its tasks
	effectiveUrgency   int     // level of its own urgency, or that of the most urgent job that depends on it
	dependentsDeadline float64 // wall-clock time (s) by which it must be done for its dependents' deadlines or its own, +Inf: none
	withinGuarantee    bool    // it fits into its team's guarantee, together with the team's earlier jobs
	rankBand           int     // primary sort key, the smallest first
	rankInBand         float64 // secondary sort key, the smallest first

	// Fair share.
	boost       fairshare.Boost // the boost of its class, regardless of its urgency
	protected   bool            // its tasks must not be preempted: its class is underserved, or it has only just begun
	startsEarly bool            // its first task starts ahead of its ordinary rank
	reservedAt  time.Duration   // since when quota or machines are reserved for it, 0: nothing is reserved

	// Preemption.
	stopCount  int // number of stop requests for its tasks
	stopReason string

	// Gangs.
	gangReleased bool          // the shards were instructed to start its held tasks
	gangHeldAt   time.Duration // when capacity for its tasks was last requested

	reason        string            // why it waits, as shown to its owner
	publishedView peerproto.JobView // the view of it that was last sent to the controllers
}

// pendingWrite is the kind of write that is in progress for a job. At most one write per job is in
// progress at a time.
type pendingWrite int

const (
	noPendingWrite pendingWrite = iota
	pendingCompletion
	pendingZones
	pendingProgress
)

// beginWrite records that a write of the job has begun. No other write of the job may be pending.
func (q *queuedJob) beginWrite(write pendingWrite) { q.pendingWrite = write }

// endWrite records that the outcome of the pending write is known and reflected in the mirror.
func (q *queuedJob) endWrite() { q.pendingWrite = noPendingWrite }

func newQueuedJob(entry *jobEntry) *queuedJob {
	return &queuedJob{
		id:                 entry.record.Spec.ID,
		entry:              entry,
		inflight:           map[int]*inflightAttempt{},
		unsavedTasks:       map[int]bool{},
		stoppedTasks:       map[int]bool{},
		retryAt:            map[int]time.Duration{},
		failures:           failureRecord{machines: map[string]bool{}},
		effectiveUrgency:   urgencyLevel(entry.record.Spec.Urgency),
		dependentsDeadline: math.Inf(1),
	}
}

// spec returns the job's description as submitted by its owner.
func (q *queuedJob) spec() *protocol.Job { return &q.entry.record.Spec }

// completedTasks returns the number of completed tasks, whether stored durably or not.
func (q *queuedJob) completedTasks() int { return q.entry.doneCount + len(q.unsavedTasks) }

// waitingTasks returns the number of tasks that are neither completed nor dispatched.
func (q *queuedJob) waitingTasks() int {
	return q.spec().Tasks - q.completedTasks() - len(q.inflight)
}

// complete reports whether every task has completed, whether stored durably or not. A service is never
// complete.
func (q *queuedJob) complete() bool {
	return q.spec().Kind != protocol.KindService && q.completedTasks() >= q.spec().Tasks
}

// nextWaiting returns the first task index, starting at index, that is neither completed nor
// dispatched. It returns at least the number of tasks if there is none.
func (q *queuedJob) nextWaiting(index int) int {
	for index < q.spec().Tasks && (q.inflight[index] != nil || q.taskDone(index)) {
		index++
	}
	return index
}

// taskDone reports whether a task has completed, whether stored durably or not.
func (q *queuedJob) taskDone(index int) bool {
	return q.unsavedTasks[index] || q.entry.isTaskDone(index)
}

// compareRank orders jobs by their rank, the first to start first.
func (q *queuedJob) compareRank(other *queuedJob) int {
	return cmp.Or(cmp.Compare(q.rankBand, other.rankBand), cmp.Compare(q.rankInBand, other.rankInBand))
}

// ranksBefore reports whether a job is offered free capacity before another one.
//
// A job must not preempt tasks of a job that ranks before it, since that job would take the freed
// capacity itself. This happened once per round for half an hour: a job within its team's guarantee was
// preempted for another team's job with a deadline because it was less urgent, but ranked before that
// job and started its next tasks on the freed capacity.
func (q *queuedJob) ranksBefore(other *queuedJob) bool { return q.compareRank(other) < 0 }
