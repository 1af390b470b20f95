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

// queuedJob is an unfinished job in the leader's queue, and what this leader knows of its tasks.
// It ends with the leader's term: what must outlive that is in the store.
type queuedJob struct {
	id    string
	entry *jobEntry

	// Its tasks, by index.
	inflight     map[int]*inflightAttempt
	unsavedTasks map[int]bool          // have completed, which is not durable yet
	stoppedTasks map[int]bool          // were stopped: what is left of them says nothing of their duration
	retryAt      map[int]time.Duration // failed: no earlier than this
	firstWaiting int                   // no task with a smaller index waits

	// Its tasks as a whole.
	unlocated      bool // from before this leader: its tasks may be on machines not seen yet
	failures       failureRecord
	longestRunning time.Duration         // how long one of its tasks has been running, at most
	durations      estimator.RunningMean // of its own completed tasks that this leader has seen

	pendingWrite pendingWrite
	saveDueAt    time.Duration // when its completed tasks are to be written, 0: they are not

	zoneFullSince map[int]time.Duration // since when the tasks of each of its zones have found no room

	// Its rank, worked out anew in each round.
	predictedSeconds   float64 // how long a task of it runs
	effectiveUrgency   int     // its urgency, or that of the most urgent job that depends on it
	dependentsDeadline float64 // time of day by which it must be done for those to be in time, +Inf for none
	withinGuarantee    bool    // fits into its team's guarantee, with the team's earlier jobs
	rankBand           int     // its place in the order: first the band,
	rankInBand         float64 // then what it has within that, the smallest first

	// Fair share.
	boost       fairshare.Boost // of its class, whatever its urgency
	protected   bool            // its tasks are not preempted: its class is underserved, or it has only just begun
	startsEarly bool            // its first task goes before its rank
	reservedAt  time.Duration   // since when quota or machines are reserved for it, 0: they are not

	// Preemption.
	stopCount  int // of its tasks that were asked to stop
	stopReason string

	// Gangs.
	gangReleased bool          // its tasks were told to start
	gangHeldAt   time.Duration // when room for its tasks was last asked for

	reason        string            // why it waits, for its owner
	publishedView peerproto.JobView // what all controllers were last told of it
}

// pendingWrite is what is being written of a job. While it is, nothing else of the job is written.
type pendingWrite int

const (
	noPendingWrite pendingWrite = iota
	pendingCompletion
	pendingZones
	pendingProgress
)

// beginWrite notes that a write of the job has begun; none may be pending.
func (q *queuedJob) beginWrite(write pendingWrite) { q.pendingWrite = write }

// endWrite notes that what became of the pending write is known, and in the mirror.
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

// spec is what its owner asked for.
func (q *queuedJob) spec() *protocol.Job { return &q.entry.record.Spec }

// completedTasks counts the tasks that have completed, durably or not.
func (q *queuedJob) completedTasks() int { return q.entry.doneCount + len(q.unsavedTasks) }

// waitingTasks counts the tasks that are neither completed nor dispatched.
func (q *queuedJob) waitingTasks() int {
	return q.spec().Tasks - q.completedTasks() - len(q.inflight)
}

// complete reports whether every task has completed, durably or not. A service never is.
func (q *queuedJob) complete() bool {
	return q.spec().Kind != protocol.KindService && q.completedTasks() >= q.spec().Tasks
}

// nextWaiting is the first task from index on that is neither completed nor dispatched.
func (q *queuedJob) nextWaiting(index int) int {
	for index < q.spec().Tasks && (q.inflight[index] != nil || q.taskDone(index)) {
		index++
	}
	return index
}

// taskDone reports whether a task has completed, durably or not.
func (q *queuedJob) taskDone(index int) bool {
	return q.unsavedTasks[index] || q.entry.isTaskDone(index)
}

// compareRank orders jobs by their rank, the first to start first.
func (q *queuedJob) compareRank(other *queuedJob) int {
	return cmp.Or(cmp.Compare(q.rankBand, other.rankBand), cmp.Compare(q.rankInBand, other.rankInBand))
}

// ranksBefore reports whether a job takes free room before another one does.
//
// Guards against preempting tasks whose job then takes the room itself: one within its guarantee
// ranks before another's job with a deadline, was preempted for that because it was less urgent,
// and started its next tasks there, once a round for half an hour.
func (q *queuedJob) ranksBefore(other *queuedJob) bool { return q.compareRank(other) < 0 }
