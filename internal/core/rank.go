package core

import (
	"math"
	"slices"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Urgency levels, the most urgent first. Jobs of the first two levels should start immediately.
const (
	urgencyProduction = iota
	urgencyHigh
	urgencyNormal
	urgencyLow
	numUrgencyLevels // the number of levels

	lowestUrgency = urgencyLow
)

// urgencyLevel returns the level for the name of an urgency. An unknown name has the lowest urgency.
func urgencyLevel(name string) int {
	switch name {
	case protocol.UrgencyProduction:
		return urgencyProduction
	case protocol.UrgencyHigh:
		return urgencyHigh
	case protocol.UrgencyNormal:
		return urgencyNormal
	}
	return lowestUrgency
}

// Rank bands; jobs of a lower band start first. Services, urgent jobs and all others are further
// divided by adding the urgency level to the band. An underserved account is first boosted to
// bandBehindGuarantee and, if it stays underserved, to bandAheadOfUrgent.
const (
	bandServices        = -10
	bandAheadOfUrgent   = -1
	bandUrgent          = 0
	bandGuaranteed      = 2
	bandBehindGuarantee = 3
	bandOthers          = 10
)

// rankJobs returns the unfinished jobs sorted by band, and within a band by agedWork: the CPUs (GPUs)
// of the remaining tasks times their predicted duration, reduced by the time that the job has waited.
func (s *scheduler) rankJobs() []*queuedJob {
	s.markWithinGuarantee()
	s.core.estimator.BeginRound()
	s.updateDependencyWeights()
	var jobs []*queuedJob
	for _, q := range s.queue.All() {
		if q.entry.isFinal() || q.pendingWrite == pendingCompletion {
			continue
		}
		s.updateRank(q)
		jobs = append(jobs, q)
	}
	s.applyFairShare(jobs)
	slices.SortStableFunc(jobs, (*queuedJob).compareRank)
	return jobs
}

// updateRank recomputes a job's rank, without the fair-share boost.
func (s *scheduler) updateRank(q *queuedJob) {
	q.reason = ""
	if len(q.failures.machines) > 0 && !q.provenToRun(&s.core.intervals) {
		q.reason = s.failureReason(q)
	}
	q.predictedSeconds = s.predictTask(q)
	q.effectiveUrgency, q.dependentsDeadline = urgencyLevel(q.spec().Urgency), math.Inf(1)
	if priority, ok := s.core.records.dependencies.Priority(q.id); ok {
		q.effectiveUrgency = min(q.effectiveUrgency, priority.Urgency)
		q.dependentsDeadline = priority.LatestFinish
	}
	q.rankBand, q.rankInBand = s.bandOf(q), s.agedWork(q)
}

// predictTask returns the predicted duration of one of the job's tasks in seconds. If a task has
// already run for more than twice the prediction, its running time is used instead. Without this, a
// class without history was once predicted from the mean of its team's tiny tasks, so that hours of
// work did not appear to justify creating a machine.
func (s *scheduler) predictTask(q *queuedJob) float64 {
	predicted := s.core.estimator.Predict(q.spec())
	longestSeconds := q.longestRunning.Seconds()
	if longestSeconds > 2*predicted && q.spec().Kind != protocol.KindService {
		return longestSeconds
	}
	return predicted
}

// bandOf returns a job's band. Jobs of best-effort teams rank behind jobs within a guarantee, however
// urgent they are. Otherwise they would take the capacity for which their own tasks have just been
// preempted, and would be preempted again in every round.
func (s *scheduler) bandOf(q *queuedJob) int {
	spec, urgency := q.spec(), q.effectiveUrgency
	switch {
	case spec.Kind == protocol.KindService:
		return bandServices + urgency
	case urgency <= urgencyHigh && !s.core.bestEffortTeams[spec.Team]:
		return bandUrgent + urgency
	case q.withinGuarantee:
		return bandGuaranteed
	default:
		return bandOthers + urgency
	}
}

// agedWork returns the remaining work of a job, in CPU (GPU) seconds, divided by a factor that grows
// with its waiting time.
//
// All remaining tasks count, as the Lucid paper ("Lucid: A Non-intrusive, Scalable and Interpretable
// Scheduler for Deep Learning Training Jobs", ASPLOS 2023) counts all GPUs of a job in the product
// of GPUs and duration. If only a single task counted, all jobs of a class would tie and be ordered by
// age, and under load each would wait about as long as the last one.
func (s *scheduler) agedWork(q *queuedJob) float64 {
	spec := q.spec()
	width := taskWidth(spec)
	if spec.Kind != protocol.KindService {
		width *= float64(max(spec.Tasks-q.completedTasks(), 1))
	}
	agingSeconds := s.core.policy.AgingLeases * s.core.intervals.workerLease.Seconds()
	aging := 1 + max(s.core.now.Wall-q.entry.waitingSince(), 0)/agingSeconds
	return width * q.predictedSeconds / aging
}

// taskWidth returns the GPUs of a task, or its CPUs if it uses no GPUs. This is the resource factor in
// the product of resources and duration by which jobs are ranked, as in the Lucid paper.
func taskWidth(spec *protocol.Job) float64 {
	if spec.GPUs > 0 {
		return spec.GPUs
	}
	return spec.CPUs
}
