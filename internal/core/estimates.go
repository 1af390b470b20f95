package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/estimator"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// estimatesSaveRounds is how many maintenance rounds lie between two writes of the history.
const estimatesSaveRounds = 10

// taskEstimator predicts the durations of tasks and keeps the leader's history of them in the
// store, so that the next leader begins with it.
type taskEstimator struct {
	*estimator.Estimator
	core         *Core
	savedVersion uint64 // the version of the history that was written last
	saving       bool
	savedAt      time.Duration
}

func newTaskEstimator(c *Core) *taskEstimator {
	return &taskEstimator{Estimator: estimator.New(c.policy.HistoryTasks), core: c}
}

// load takes over the stored history when this controller becomes the leader.
func (e *taskEstimator) load() {
	e.Load(e.core.records.estimates)
	e.savedAt = e.core.now.Monotonic
}

// taskCompleted observes how long a task of a queued job ran.
func (e *taskEstimator) taskCompleted(q *queuedJob, seconds float64) {
	first := q.durations.Empty() && q.entry.doneCount == 0
	e.TaskCompleted(&q.entry.record.Spec, &q.durations, first, seconds, e.core.now.Wall)
}

// predictForJob predicts a task of one job, as distinct from others like it.
func (e *taskEstimator) predictForJob(q *queuedJob) float64 {
	return e.PredictForJob(&q.entry.record.Spec, q.predictedSeconds, q.durations)
}

// save writes the history as one value, if it has changed and the last write is long enough ago.
func (e *taskEstimator) save() {
	c := e.core
	if e.Version() == e.savedVersion || e.saving || c.now.Monotonic-e.savedAt < estimatesSaveRounds*c.intervals.maintenance {
		return
	}
	e.savedVersion, e.saving, e.savedAt = e.Version(), true, c.now.Monotonic
	// A write that is carried out late must not take the place of a newer one.
	guards := []protocol.Guard{c.membership.leaderGuard(), c.mirror.Guard(keyEstimates)}
	ops := []protocol.Operation{{Put: keyEstimates, Value: e.Record(c.maxValueBytes())}}
	c.commit(guards, ops, func(result CommitResult) {
		e.saving = false
		if result.Outcome != Committed {
			e.savedVersion = 0 // it is written again: a history that was written has a later version
		}
	})
}
