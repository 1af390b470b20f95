// Package estimator predicts how long tasks run, from the durations of completed tasks and from
// the estimates that the owners of jobs give.
//
// It owns the history of durations and its stored form. It is pure: it knows no clock, store,
// queue or machine; who calls it passes the time of day and decides when the history is read
// and written. Not safe for concurrent use.
//
// Invariants: a prediction is positive; within a round (see BeginRound) the prediction of a key
// does not change; sums are taken in the order of the keys, so that every controller with the
// same history predicts the same.
package estimator

import (
	"iter"
	"maps"
	"slices"

	"github.com/chalkhub/chalkhub/internal/calibration"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// maxKeys bounds the keys whose durations, and owners' estimates, are followed.
	maxKeys = 1024

	// priorWeight is how many completed tasks of a job count as much as the prediction from
	// other jobs. The first tasks to complete are the shortest ones, so a few prove little.
	priorWeight = 4

	// minSeconds is predicted where neither history nor the owner knows anything.
	minSeconds = 1
)

// Estimator predicts the durations of tasks. It learns from completed tasks only: how long a
// failed task ran says nothing.
type Estimator struct {
	maxTasks         float64 // completed tasks that a mean goes back to
	history          map[Key]*RunningMean
	calibrations     map[Key]*calibration.Model // what the owners' estimates have been worth
	predictions      map[Key]float64            // of this round; 0: the history knows nothing
	predictionsStale bool                       // durations have come since predictions were cleared
	version          uint64
}

// New makes an estimator without history. A mean follows about the last maxTasks tasks.
func New(maxTasks float64) *Estimator {
	return &Estimator{
		maxTasks:     maxTasks,
		history:      map[Key]*RunningMean{},
		calibrations: map[Key]*calibration.Model{},
		predictions:  map[Key]float64{},
	}
}

// Version changes with every duration that is observed, and starts at 0.
func (e *Estimator) Version() uint64 { return e.version }

// Means walks over the mean durations in seconds, in no order.
func (e *Estimator) Means() iter.Seq2[Key, float64] {
	return func(yield func(Key, float64) bool) {
		for key, mean := range e.history {
			if !yield(key, mean.mean) {
				return
			}
		}
	}
}

// JobArrived observes the estimate that the owner of a new job gives.
func (e *Estimator) JobArrived(job *protocol.Job) {
	key := KeyOf(job)
	if e.calibrations[key] == nil {
		if len(e.calibrations) >= maxKeys {
			return // keys that never come back teach nothing
		}
		e.calibrations[key] = &calibration.Model{}
	}
	e.calibrations[key].ObserveEstimate(job.EstimateS)
}

// TaskCompleted observes how many seconds a task of a job ran; now is the time of day. The
// duration also goes into jobMean, which is of the job's own tasks. firstOfJob says that no task
// of the job had completed before: the first tells what its owner's estimate was worth.
func (e *Estimator) TaskCompleted(job *protocol.Job, jobMean *RunningMean, firstOfJob bool, seconds, now float64) {
	key := KeyOf(job)
	if model := e.calibrations[key]; model != nil && firstOfJob {
		if usual := e.predictFromHistory(key); usual > 0 {
			model.ObserveDuration(job.EstimateS, seconds/usual)
		}
	}
	jobMean.add(seconds, now, e.maxTasks)
	e.observe(key, seconds, now)
}

func (e *Estimator) observe(key Key, seconds, now float64) {
	mean := e.history[key]
	if mean == nil {
		mean = &RunningMean{}
		e.history[key] = mean
	}
	mean.add(seconds, now, e.maxTasks)
	e.predictionsStale = true
	e.version++
}

// BeginRound lets predictions take account of the durations that were observed since the last
// round. Within a round they stay: thousands of jobs share some dozens of keys.
func (e *Estimator) BeginRound() {
	if e.predictionsStale {
		e.predictionsStale = false
		clear(e.predictions)
	}
}

// Predict is how many seconds a task of a job runs: the mean of its team and class; failing that
// its team's, then that of all tasks with the same demand for GPUs (or CPUs), then its owner's
// estimate.
func (e *Estimator) Predict(job *protocol.Job) float64 {
	if seconds := e.predictFromHistory(KeyOf(job)); seconds > 0 {
		return seconds
	}
	return max(job.EstimateS, minSeconds)
}

// PredictForJob predicts a task of one job, as distinct from others of its key: prior is what is
// predicted of all of them, which the owner's estimate corrects as far as those have been worth
// something, and jobMean is of the job's own completed tasks.
func (e *Estimator) PredictForJob(job *protocol.Job, prior float64, jobMean RunningMean) float64 {
	key := KeyOf(job)
	if model := e.calibrations[key]; model != nil && e.predictFromHistory(key) > 0 {
		prior *= model.Factor(job.EstimateS)
	}
	return (prior*priorWeight + jobMean.mean*jobMean.count) / (priorWeight + jobMean.count)
}

// predictFromHistory is the prediction from completed tasks, 0 if there is none.
func (e *Estimator) predictFromHistory(key Key) float64 {
	seconds, ok := e.predictions[key]
	if !ok {
		seconds = e.computePrediction(key)
		e.predictions[key] = seconds
	}
	return seconds
}

// computePrediction works out the prediction of a key from the means of all keys that resemble it.
func (e *Estimator) computePrediction(key Key) float64 {
	var sameClass, sameTeam, sameDemand RunningMean
	for _, other := range e.sortedKeys() {
		mean := e.history[other]
		if other.Team == key.Team && other.Class == key.Class {
			sameClass.merge(mean)
		}
		if other.Team == key.Team {
			sameTeam.merge(mean)
		}
		if other.sameDemand(key) {
			sameDemand.merge(mean)
		}
	}
	for _, mean := range []RunningMean{sameClass, sameTeam, sameDemand} {
		if mean.count > 0 {
			return mean.mean
		}
	}
	return 0
}

// sortedKeys lists the keys of the history in order.
func (e *Estimator) sortedKeys() []Key {
	return slices.SortedFunc(maps.Keys(e.history), Key.compare)
}
