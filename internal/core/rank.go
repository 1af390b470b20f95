package core

import (
	"math"
	"slices"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Levels of urgency, the most urgent first. Jobs of the first two should start at once.
const (
	urgencyProduction = iota
	urgencyHigh
	urgencyNormal
	urgencyLow
	numUrgencyLevels // how many there are

	lowestUrgency = urgencyLow
)

// urgencyLevel is the level of an urgency's name.
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

// Bands of the rank, the first to start first: services by urgency, what an account that stays
// underserved is boosted to, urgent jobs, those within a guarantee, what an underserved account is
// boosted to first, and all others by urgency.
const (
	bandServices        = -10
	bandAheadOfUrgent   = -1
	bandUrgent          = 0
	bandGuaranteed      = 2
	bandBehindGuarantee = 3
	bandOthers          = 10
)

// rankJobs sorts the unfinished jobs by bands, and within one by CPUs (GPUs) times predicted
// duration of what is left of the job, which waiting shrinks.
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

// updateRank works out a job's rank anew, fair share aside.
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

// predictTask is how many seconds a task of a job runs. A task that has run for twice the
// prediction disproves it: a class without history once took the mean of its team's tiny tasks, so
// that hours of work seemed to be worth no machine.
func (s *scheduler) predictTask(q *queuedJob) float64 {
	predicted := s.core.estimator.Predict(q.spec())
	ran := q.longestRunning.Seconds()
	if ran > 2*predicted && q.spec().Kind != protocol.KindService {
		return ran
	}
	return predicted
}

// bandOf is a job's band. A best-effort team's work comes after what a guarantee covers, however
// urgent it is: it took the room that its own tasks had been preempted for, and was preempted
// again, once a round.
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

// agedWork is the work that is left of a job, less the longer it has waited.
//
// All tasks that are left count, as the paper counts all GPUs of a job. By the product of one task
// the jobs of one class tie, their age decides, and under load they all wait for as long as the
// last one may.
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

// taskWidth is what a task counts for in the paper's product: its GPUs, or its CPUs if it has none.
func taskWidth(spec *protocol.Job) float64 {
	if spec.GPUs > 0 {
		return spec.GPUs
	}
	return spec.CPUs
}
