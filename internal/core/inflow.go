package core

import (
	"math"
	"slices"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// The inflow is how many CPUs the work that comes in takes. It is a sum over the jobs that
// have arrived, each of which counts for less with the time since then.

const (
	// inflowDecayLeases is the time constant of the inflow, in worker leases.
	inflowDecayLeases = 8
	// inflowCutoffFactor is how many time constants back a job still counts when the inflow is worked
	// out anew.
	inflowCutoffFactor = 8
	// burstReserveLeases is for how many worker leases after the last such job capacity is kept for
	// jobs that must not wait.
	burstReserveLeases = 3
)

// inflowSeconds is the time constant of the inflow.
func (f *fleet) inflowSeconds() float64 {
	return inflowDecayLeases * f.core.intervals.workerLease.Seconds()
}

// jobInflow is what a job adds to the inflow as it arrives.
func (f *fleet) jobInflow(spec *protocol.Job) float64 {
	return float64(spec.Tasks) * spec.CPUs * f.core.estimator.Predict(spec) / f.inflowSeconds()
}

// inflowBefore is how many CPUs the work takes that keeps coming in and is more urgent than a
// job.
func (f *fleet) inflowBefore(job *queuedJob) float64 {
	var sum float64
	for urgency, cpus := range f.inflowByUrgency {
		if urgency < job.effectiveUrgency {
			sum += cpus
		}
	}
	return sum
}

// jobArrived counts a new job into the inflow, and keeps capacity for more like it if its class
// must not wait.
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

// restoreInflow works out, for a new leader, what came in before it led. Only that of teams
// that are not best-effort is restored.
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

// restoreJobInflow counts a job that arrived at a time of day.
func (f *fleet) restoreJobInflow(spec *protocol.Job, at float64) {
	if !f.core.bestEffortTeams[spec.Team] {
		age := max(f.core.now.Wall-at, 0)
		f.guaranteedInflow += f.jobInflow(spec) * math.Exp(-age/f.inflowSeconds())
	}
}

// recentlyEnded lists the jobs that have ended and still count, in order of their names.
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

// decayInflow lets the inflow fall with the time since it came.
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
