package core

import (
	"math"
	"slices"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// The inflow is the number of CPUs that newly arriving work takes on average. It is a sum over the
// jobs that have arrived, in which the weight of each job decays with the time since its arrival.

const (
	// inflowDecayLeases is the time constant of the decay, in worker leases.
	inflowDecayLeases = 8
	// inflowCutoffFactor is the age up to which a job is included when the inflow is recomputed, in
	// time constants.
	inflowCutoffFactor = 8
	// burstReserveLeases is how long capacity is reserved after the last arrival of a job with an
	// objective for its waiting time, in worker leases.
	burstReserveLeases = 3
)

// inflowSeconds is the time constant of the decay, in seconds.
func (f *fleet) inflowSeconds() float64 {
	return inflowDecayLeases * f.core.intervals.workerLease.Seconds()
}

// jobInflow is what a job adds to the inflow on arrival, in CPUs.
func (f *fleet) jobInflow(spec *protocol.Job) float64 {
	return float64(spec.Tasks) * spec.CPUs * f.core.estimator.Predict(spec) / f.inflowSeconds()
}

// inflowBefore is the inflow of work that is more urgent than a job, in CPUs.
func (f *fleet) inflowBefore(job *queuedJob) float64 {
	var sum float64
	for urgency, cpus := range f.inflowByUrgency {
		if urgency < job.effectiveUrgency {
			sum += cpus
		}
	}
	return sum
}

// jobArrived adds a new job to the inflow. If its class has an objective for its waiting time, it
// also reserves capacity for further jobs of the same size.
func (f *fleet) jobArrived(job *queuedJob) {
	spec := &job.entry.record.Spec
	for i := range f.core.settings.Site.Objectives {
		objective := &f.core.settings.Site.Objectives[i]
		if objective.Kind == objectiveWait && objective.Class == spec.Class {
			f.burstReserve = max(f.burstReserve, float64(spec.Tasks)*spec.CPUs)
			f.lastBurstAt = f.core.now.Monotonic
		}
	}
	cpus := f.jobInflow(spec)
	f.inflowByUrgency[job.effectiveUrgency] += cpus
	if !f.core.bestEffortTeams[spec.Team] {
		f.guaranteedInflow += cpus
	}
}

// restoreInflow recomputes, for a new leader, the inflow before its term. It restores only the
// inflow of teams that are not best-effort.
func (f *fleet) restoreInflow() {
	f.guaranteedInflow = 0
	stored := f.core.records
	for _, id := range sortedKeys(stored.jobs) {
		if entry := stored.jobs[id]; entry.version > 0 && !stored.dependencies.IsWaiting(id) {
			f.restoreJobInflow(&entry.record.Spec, entry.waitingSince())
		}
	}
	for _, id := range f.recentlyEnded() {
		ended := stored.archive.jobs[id]
		spec := stored.archive.shapes[ended.shape]
		spec.Tasks = int(ended.tasks)
		f.restoreJobInflow(&spec, float64(ended.submittedAt))
	}
}

// restoreJobInflow adds a job that arrived at a given wall-clock time, in seconds, with the weight
// that it has now. Jobs of best-effort teams are ignored.
func (f *fleet) restoreJobInflow(spec *protocol.Job, at float64) {
	if !f.core.bestEffortTeams[spec.Team] {
		age := max(f.core.now.Wall-at, 0)
		f.guaranteedInflow += f.jobInflow(spec) * math.Exp(-age/f.inflowSeconds())
	}
}

// recentlyEnded lists, in order of their ids, the ended jobs that are recent enough to count.
func (f *fleet) recentlyEnded() []string {
	var recent []string
	for id, ended := range f.core.records.archive.jobs {
		if f.core.now.Wall-float64(ended.submittedAt) < inflowCutoffFactor*f.inflowSeconds() {
			recent = append(recent, id)
		}
	}
	slices.Sort(recent)
	return recent
}

// decayInflow applies the decay since its last call to the inflow and to the burst reserve. The
// reserve ends burstReserveLeases after the last arrival of a job for which it is kept.
func (f *fleet) decayInflow() {
	now := f.core.now.Monotonic
	factor := math.Exp(-(now - f.decayedAt).Seconds() / f.inflowSeconds())
	f.decayedAt = now
	f.burstReserve *= factor
	f.guaranteedInflow *= factor
	if now-f.lastBurstAt > burstReserveLeases*f.core.intervals.workerLease {
		f.burstReserve = 0
	}
	for urgency := range f.inflowByUrgency {
		f.inflowByUrgency[urgency] *= factor
	}
}
