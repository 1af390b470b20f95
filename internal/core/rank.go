package core

import (
	"cmp"
	"math"
	"slices"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// rankJobs sorts the unfinished jobs: services, then what is urgent, then what its
// team's guarantee covers, then by urgency, and on the ordinary path by CPUs
// (GPUs) times predicted duration of what is left of the job, which waiting shrinks.
func (o *scheduler) rankJobs() []*queuedJob {
	o.markWithinGuarantee()
	o.core.estimator.beginRound()
	o.updateDependencyWeights()
	var jobs []*queuedJob
	for _, q := range o.queue.all() {
		if q.entry.isFinal() || q.finalizing {
			continue
		}
		q.reason = ""
		if len(q.failures.machines) > 0 && !q.provenToRun(&o.core.intervals) {
			q.reason = o.failureReason(q)
		}
		// A task that has outlived the prediction twice over disproves it: a name
		// without history once took the mean of its team's tiny tasks, so that
		// hours of work seemed to be worth no machine.
		q.predictedSeconds = o.core.estimator.predict(&q.entry.record.Spec)
		if ran := q.longestRunning.Seconds(); ran > 2*q.predictedSeconds && q.entry.record.Spec.Kind != protocol.KindService {
			q.predictedSeconds = ran
		}
		q.effectiveUrgency, q.dependentsDeadline = urgencyLevel(q.entry.record.Spec.Urgency), math.Inf(1)
		if w, ok := o.core.records.dependencies.Priority(q.id); ok {
			q.effectiveUrgency, q.dependentsDeadline = min(q.effectiveUrgency, w.Urgency), w.LatestFinish
		}
		q.rankBand, q.rankInBand = o.rankOf(q)
		jobs = append(jobs, q)
	}
	o.applyFairShare(jobs)
	slices.SortStableFunc(jobs, (*queuedJob).compareRank)
	return jobs
}

// compareRank orders jobs by their rank, the first to start first.
func (q *queuedJob) compareRank(b *queuedJob) int {
	return cmp.Or(cmp.Compare(q.rankBand, b.rankBand), cmp.Compare(q.rankInBand, b.rankInBand))
}

// ranksBefore reports whether a job takes free room before another one does.
//
// Guards against stopping tasks whose job then takes the room itself: one in its
// guarantee ranks before another's promised work, was stopped for that although it was
// less urgent, and started its next tasks there, once a round for half an hour.
func (q *queuedJob) ranksBefore(b *queuedJob) bool { return q.compareRank(b) < 0 }

// rankOf is a job's band, and its size within that. A guest's work comes after what a
// guarantee covers, however urgent it is: it took the room that its own tasks had been
// stopped for, and was stopped again, once a round.
func (o *scheduler) rankOf(q *queuedJob) (band int, size float64) {
	s := &q.entry.record.Spec
	u := q.effectiveUrgency
	switch {
	case s.Kind == protocol.KindService:
		band = u - 10
	case u <= 1 && !o.core.bestEffortTeams[s.Team]:
		band = u
	case q.withinGuarantee:
		band = 2
	default:
		band = 10 + u
	}
	size = taskWidth(s)
	aged := 1 + max(o.core.now.Wall-q.entry.waitingSince(), 0)/(o.core.policy.AgingLeases*o.core.intervals.workerLease.Seconds())
	if s.Kind != protocol.KindService {
		// All that is left of a job, as the paper counts all GPUs of a job. By a
		// task's product alone the jobs of one name tie, their age decides, and
		// under load they all wait as long as the last one may.
		size *= float64(max(s.Tasks-q.entry.doneCount-len(q.unsavedTasks), 1))
	}
	return band, size * q.predictedSeconds / aged
}

// taskWidth is what a task counts with in the paper's product.
func taskWidth(s *protocol.Job) float64 {
	if s.GPUs > 0 {
		return s.GPUs
	}
	return s.CPUs
}

func urgencyLevel(u string) int {
	switch u {
	case protocol.UrgencyProduction:
		return 0
	case protocol.UrgencyHigh:
		return 1
	case protocol.UrgencyNormal:
		return 2
	}
	return lowestUrgency
}

const lowestUrgency = 3
