// Package estimator predicts the durations of tasks from the durations of completed tasks and from
// the estimates of the jobs' owners.
//
// It owns the history of durations and its stored form. It is pure: it must not know a clock, the
// store, the queue or machines. The caller passes the wall-clock time and decides when the history
// is read and written. The package is not safe for concurrent use.
//
// Invariants: a prediction is positive; within a round (see BeginRound) the prediction of a key
// does not change; means are merged in the order of their keys, so that every controller with the
// same history makes the same predictions.
package estimator

import (
	"iter"
	"maps"
	"slices"

	"github.com/chalkhub/chalkhub/internal/calibration"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// maxKeys limits the number of keys in the stored history, and the number of keys whose owners'
	// estimates are calibrated.
	maxKeys = 1024

	// priorWeight is the weight of the prediction from other jobs, as a number of completed tasks
	// of the job itself. The first tasks of a job to complete are the shortest ones, so a few of
	// them say little about the others.
	priorWeight = 4

	// minSeconds is the prediction if there is neither a matching history nor an estimate of the
	// owner, and the lower bound for an estimate that is used as the prediction.
	minSeconds = 1
)

// Estimator predicts the durations of tasks. It learns from completed tasks only, because the time
// that a failed task ran says nothing about the duration of others.
type Estimator struct {
	maxTasks         float64 // upper bound of the number of tasks that a mean weighs
	history          map[Key]*RunningMean
	calibrations     map[Key]*calibration.Model // accuracy of the owners' estimates
	predictions      map[Key]float64            // cached for this round; 0: no matching history
	predictionsStale bool                       // durations were observed since predictions was cleared
	version          uint64
}

// New returns an estimator without history. Each of its means covers about the last maxTasks tasks.
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

// Means iterates over the keys and their mean durations in seconds, in no particular order.
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
			return // for keys that never occur again there is nothing to learn
		}
		e.calibrations[key] = &calibration.Model{}
	}
	e.calibrations[key].ObserveEstimate(job.EstimateS)
}

// TaskCompleted observes that a task of a job ran for this many seconds; now is the wall-clock time
// in seconds. It also adds the duration to jobMean, the mean of the job's own tasks. firstOfJob
// means that no task of the job had completed before: the first one calibrates the owner's estimate.
func (e *Estimator) TaskCompleted(job *protocol.Job, jobMean *RunningMean, firstOfJob bool, seconds, now float64) {
	key := KeyOf(job)
	if model := e.calibrations[key]; model != nil && firstOfJob {
		if predicted := e.predictFromHistory(key); predicted > 0 {
			model.ObserveDuration(job.EstimateS, seconds/predicted)
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

// BeginRound starts a round, whose predictions include all durations observed before it. Within a
// round, the prediction of each key is computed once and cached, because thousands of jobs share
// some dozens of keys.
func (e *Estimator) BeginRound() {
	if e.predictionsStale {
		e.predictionsStale = false
		clear(e.predictions)
	}
}

// Predict returns the predicted duration of a task of a job in seconds: the mean of its team and
// class or, if there is none, that of its team, then that of all tasks with the same number of GPUs
// (or of CPUs, without GPUs), then its owner's estimate.
func (e *Estimator) Predict(job *protocol.Job) float64 {
	if seconds := e.predictFromHistory(KeyOf(job)); seconds > 0 {
		return seconds
	}
	return max(job.EstimateS, minSeconds)
}

// PredictForJob returns the predicted duration of a task of one particular job in seconds. prior is
// the prediction for all jobs of its key; it is corrected by the owner's estimate as far as earlier
// estimates for this key were accurate. jobMean is the mean of the job's own completed tasks.
func (e *Estimator) PredictForJob(job *protocol.Job, prior float64, jobMean RunningMean) float64 {
	key := KeyOf(job)
	if model := e.calibrations[key]; model != nil && e.predictFromHistory(key) > 0 {
		prior *= model.Factor(job.EstimateS)
	}
	return (prior*priorWeight + jobMean.mean*jobMean.count) / (priorWeight + jobMean.count)
}

// predictFromHistory returns the prediction from completed tasks in seconds, 0 if there is none.
func (e *Estimator) predictFromHistory(key Key) float64 {
	seconds, ok := e.predictions[key]
	if !ok {
		seconds = e.computePrediction(key)
		e.predictions[key] = seconds
	}
	return seconds
}

// computePrediction computes the prediction for a key from the means of the keys with the same team
// and class, of those with the same team or of those with the same demand.
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

func (e *Estimator) sortedKeys() []Key {
	return slices.SortedFunc(maps.Keys(e.history), Key.compare)
}
