package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/estimator"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// estimatesSaveRounds is the minimum interval between two writes of the history, in maintenance
// rounds.
const estimatesSaveRounds = 10

// taskEstimator predicts the durations of tasks. The leader saves its history of durations in the
// state service, so that the next leader starts from it.
type taskEstimator struct {
	*estimator.Estimator
	core         *Core
	savedVersion uint64 // version of the history in the last write
	saving       bool
	savedAt      time.Duration
}

func newTaskEstimator(c *Core) *taskEstimator {
	return &taskEstimator{Estimator: estimator.New(c.policy.HistoryTasks), core: c}
}

// load loads the stored history when this controller becomes the leader.
func (e *taskEstimator) load() {
	e.Load(e.core.records.estimates)
	e.savedAt = e.core.now.Monotonic
}

// taskCompleted records how long a completed task ran, in seconds.
func (e *taskEstimator) taskCompleted(q *queuedJob, seconds float64) {
	isFirstOfJob := q.durations.Empty() && q.entry.doneCount == 0
	e.TaskCompleted(&q.entry.record.Spec, &q.durations, isFirstOfJob, seconds, e.core.now.Wall)
}

// predictForJob predicts, in seconds, how long a task of this particular job runs.
func (e *taskEstimator) predictForJob(q *queuedJob) float64 {
	return e.PredictForJob(&q.entry.record.Spec, q.predictedSeconds, q.durations)
}

// save writes the history as one value if it has changed and the last write was long enough ago.
func (e *taskEstimator) save() {
	c := e.core
	if e.Version() == e.savedVersion || e.saving || c.now.Monotonic-e.savedAt < estimatesSaveRounds*c.intervals.maintenance {
		return
	}
	e.savedVersion, e.saving, e.savedAt = e.Version(), true, c.now.Monotonic
	// The guard on the key's version prevents a write that is applied late from replacing a newer
	// one.
	guards := []protocol.Guard{c.membership.leaderGuard(), c.mirror.Guard(keyEstimates)}
	ops := []protocol.Operation{{Put: keyEstimates, Value: e.Record(c.maxValueBytes())}}
	c.commit(guards, ops, func(result CommitResult) {
		e.saving = false
		if result.Outcome != Committed {
			e.savedVersion = 0 // differs from every version of a written history, so the next save writes again
		}
	})
}
