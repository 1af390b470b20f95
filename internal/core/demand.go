package core

import (
	"math"
	"slices"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Kinds of objectives in the settings.
const (
	objectiveGuarantee = "guarantee" // guaranteed work starts at once
	objectiveFinished  = "finished"  // jobs of a class are done within a time
	objectiveDeadline  = "deadline"  // jobs of a class are done by their own deadlines
	objectiveWait      = "wait"      // jobs of a class start within a time
)

// capacityDemand is how many CPUs the unfinished work should have.
type capacityDemand struct {
	inUse          float64 // what tasks take now
	total          float64 // for work to be done as soon as a spot machine pays
	totalOnDemand  float64 // the share of total that must not run on spot machines
	onTime         float64 // for work to meet its objectives, which is worth an on-demand machine
	onTimeOnDemand float64 // the share of onTime that must not rest on spot machines

	// onTimeByType is what to rent on-demand machines of a type up to: a machine helps only
	// once it has booted, and types differ in that.
	onTimeByType map[string]float64
}

// demandSum adds up a capacityDemand over the jobs in rank order.
type demandSum struct {
	capacityDemand
	totalByTeam map[string]float64
	workAhead   float64 // CPU seconds of work that ranks before the job at hand, and its own
	onDemand    float64 // CPUs for jobs that must not run on spot machines
}

// computeDemand adds up what each unfinished job needs. Work is done in rank order, so what a
// job waits for is all that ranks before it, and what of that kind still comes in while it
// waits: onTime is the capacity at which the worst-off job is just in time.
func (f *fleet) computeDemand(ranked []*queuedJob) capacityDemand {
	sum := demandSum{
		capacityDemand: capacityDemand{onTimeByType: map[string]float64{}},
		totalByTeam:    map[string]float64{},
	}
	for _, job := range ranked {
		f.addJobDemand(&sum, job)
	}
	demand := sum.capacityDemand
	demand.total += f.burstReserve
	demand.onTime = min(demand.onTime, demand.total)
	for name, cpus := range demand.onTimeByType {
		demand.onTimeByType[name] = min(cpus, demand.total)
	}
	demand.onTimeOnDemand = sum.onDemand + (demand.onTime-sum.onDemand)*(1-f.core.policy.SpotShare)
	return demand
}

// addJobDemand adds what one job needs.
func (f *fleet) addJobDemand(sum *demandSum, job *queuedJob) {
	spec := &job.entry.record.Spec
	waiting, inflight := float64(max(job.waitingTasks(), 0)), float64(len(job.inflight))
	seconds := job.predictedSeconds
	cpus := (waiting + inflight) * spec.CPUs
	work := (waiting*seconds + inflight*seconds/2) * spec.CPUs // what runs is half done on average
	sum.inUse += inflight * spec.CPUs
	if spec.Kind == protocol.KindArray {
		if f.core.scheduler.isCrashLooping(job) {
			waiting = min(waiting, 1) // it is only tried
			work = waiting * seconds * spec.CPUs
		}
		cpus = min(waiting+inflight, math.Ceil(work/spec.CPUs/max(f.minUsefulSeconds(spec), seconds, 1))) * spec.CPUs
	}
	if team := f.core.team(spec.Team); team != nil && team.CPUsMax > 0 {
		cpus = max(min(cpus, team.CPUsMax-sum.totalByTeam[spec.Team]), 0)
		sum.totalByTeam[spec.Team] += cpus
	}
	sum.total += cpus
	if !spec.AllowSpot {
		sum.totalOnDemand += cpus
	}
	if spec.Kind != protocol.KindArray {
		sum.onTime += cpus // replicas run for ever: their room is never free
		if !spec.AllowSpot {
			sum.onDemand += cpus
		}
		return
	}
	sum.workAhead += work
	if !spec.AllowSpot {
		sum.onDemand += min(cpus, work/f.completionHorizon(job))
	}
	// What has no objective is worth spot machines only.
	if waiting > 0 && (job.withinGuarantee || f.hasObjective(spec) || job.hasDeadline()) {
		f.addOnTimeDemand(sum, job)
	}
}

// addOnTimeDemand raises the capacity to what lets a job be done in time.
func (f *fleet) addOnTimeDemand(sum *demandSum, job *queuedJob) {
	left := f.completionHorizon(job)
	cpus := sum.workAhead/left + f.inflowBefore(job)
	sum.onTime = max(sum.onTime, cpus)
	for name, machineType := range f.core.machineTypes() {
		if left >= machineType.BootS*f.core.policy.RushBoots {
			sum.onTimeByType[name] = max(sum.onTimeByType[name], cpus)
		}
	}
}

// minUsefulSeconds is the shortest time in which queued work is worth a spot machine: its boot
// is paid for as well.
func (f *fleet) minUsefulSeconds(spec *protocol.Job) float64 {
	boot := math.Inf(1)
	for _, machineType := range f.core.machineTypes() {
		if binpacking.AllowsType(spec, machineType.Name) && binpacking.FitsMachineType(machineType, spec) {
			boot = min(boot, machineType.BootS)
		}
	}
	if math.IsInf(boot, 1) {
		return 0
	}
	return boot * f.core.policy.SoonBoots
}

// Spans of completionHorizon.
const (
	// horizonPerMissShare is how much of a job's time one miss in a hundred gives back: an objective
	// that allows more misses is worth less haste.
	horizonPerMissShare = 6
	// defaultHorizonLeases is in how many worker leases work without an objective is to be done.
	defaultHorizonLeases = 10
	// guaranteeHorizonFactor is in how many of the shortest useful times guaranteed work is to be done.
	// It starts late whatever is rented; it should not wait much longer than a boot.
	guaranteeHorizonFactor = 2
)

// completionHorizon is the time in which a job's queued work must be done to be in time, in
// seconds. Once it is too late for that, a spot machine is all that it is worth.
func (f *fleet) completionHorizon(job *queuedJob) float64 {
	spec, policy := &job.entry.record.Spec, &f.core.policy
	horizon := math.Inf(1)
	for i := range f.core.settings.Site.Objectives {
		objective := &f.core.settings.Site.Objectives[i]
		if objective.Kind == objectiveGuarantee && job.withinGuarantee {
			horizon = min(horizon, guaranteeHorizonFactor*f.minUsefulSeconds(spec))
		}
		if objective.Class != spec.Class {
			continue
		}
		if left := f.timeLeft(objective, job); left > 0 {
			horizon = min(horizon, left*min(policy.HorizonShare+horizonPerMissShare*(1-objective.Share), 1))
		}
	}
	// What others depend on has what is left before the last of them is late.
	if left := job.dependentsDeadline - f.core.now.Wall; left > 0 && job.hasDeadline() {
		horizon = min(horizon, left*policy.HorizonShare)
	}
	if math.IsInf(horizon, 1) {
		horizon = defaultHorizonLeases * f.core.intervals.workerLease.Seconds()
	}
	return max(horizon, f.minUsefulSeconds(spec))
}

// timeLeft is how many seconds a job has left to meet an objective of its class, +Inf if that
// sets no time for it.
func (f *fleet) timeLeft(objective *config.Objective, job *queuedJob) float64 {
	spec, now := &job.entry.record.Spec, f.core.now.Wall
	switch objective.Kind {
	case objectiveFinished:
		return objective.WithinS - max(now-job.entry.waitingSince(), 0)
	case objectiveDeadline:
		if spec.DeadlineS > 0 {
			return spec.DeadlineS*max(objective.Times, 1) - (now - job.entry.record.SubmittedAt)
		}
	case objectiveWait:
		return job.predictedSeconds
	}
	return math.Inf(1)
}

// hasObjective reports whether the users have set an objective for a job's class.
func (f *fleet) hasObjective(spec *protocol.Job) bool {
	return slices.ContainsFunc(f.core.settings.Site.Objectives, func(o config.Objective) bool { return o.Class == spec.Class })
}
