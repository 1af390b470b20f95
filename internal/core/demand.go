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
	objectiveGuarantee = "guarantee" // work within a guarantee starts at once
	objectiveFinished  = "finished"  // jobs of a class complete within a given time
	objectiveDeadline  = "deadline"  // jobs of a class complete by their own deadlines
	objectiveWait      = "wait"      // jobs of a class start within a given time
)

// capacityDemand is the number of CPUs that the unfinished work needs.
type capacityDemand struct {
	inUse          float64 // CPUs used by tasks in flight
	total          float64 // for all work, up to the number that is worth renting as spot machines
	totalOnDemand  float64 // the part of total that must not run on spot machines
	onTime         float64 // for work to meet its objectives, up to the number that is worth renting as on-demand machines
	onTimeOnDemand float64 // the part of onTime that must not depend on spot machines

	// onTimeByType is, by machine type, the number of CPUs up to which on-demand machines of that
	// type are rented. It differs between types because a machine can run tasks only once it has
	// booted, and boot times differ.
	onTimeByType map[string]float64
}

// demandSum accumulates a capacityDemand over the jobs in rank order.
type demandSum struct {
	capacityDemand
	totalByTeam map[string]float64
	workAhead   float64 // CPU seconds of the current job and of all array jobs that rank before it
	onDemand    float64 // CPUs for jobs that must not run on spot machines
}

// computeDemand adds up what each unfinished job needs. Work is done in rank order, so a job waits
// for all work that ranks before it, and for more such work that arrives while it waits. onTime is
// the capacity at which the job that is closest to missing its objective just meets it.
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

// addJobDemand adds the demand of one job.
func (f *fleet) addJobDemand(sum *demandSum, job *queuedJob) {
	spec := &job.entry.record.Spec
	waiting, inflight := float64(max(job.waitingTasks(), 0)), float64(len(job.inflight))
	seconds := job.predictedSeconds
	cpus := (waiting + inflight) * spec.CPUs
	work := (waiting*seconds + inflight*seconds/2) * spec.CPUs // tasks in flight are half done on average
	sum.inUse += inflight * spec.CPUs
	if spec.Kind == protocol.KindArray {
		if f.core.scheduler.isCrashLooping(job) {
			waiting = min(waiting, 1) // only its canary is started
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
		sum.onTime += cpus // the tasks of a gang run all at once, and those of a service never end
		if !spec.AllowSpot {
			sum.onDemand += cpus
		}
		return
	}
	sum.workAhead += work
	if !spec.AllowSpot {
		sum.onDemand += min(cpus, work/f.completionHorizon(job))
	}
	// Only spot machines are rented for work without an objective.
	if waiting > 0 && (job.withinGuarantee || f.hasObjective(spec) || job.hasDeadline()) {
		f.addOnTimeDemand(sum, job)
	}
}

// addOnTimeDemand raises the demand to the capacity at which a job completes in time.
func (f *fleet) addOnTimeDemand(sum *demandSum, job *queuedJob) {
	secondsLeft := f.completionHorizon(job)
	cpus := sum.workAhead/secondsLeft + f.inflowBefore(job)
	sum.onTime = max(sum.onTime, cpus)
	for name, machineType := range f.core.machineTypes() {
		if secondsLeft >= machineType.BootS*f.core.policy.OnDemandMinBoots {
			sum.onTimeByType[name] = max(sum.onTimeByType[name], cpus)
		}
	}
}

// minUsefulSeconds is the shortest time, in seconds, for which a spot machine is worth renting to
// serve queued work, considering that its boot is paid for as well.
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
	return boot * f.core.policy.SpotMinBoots
}

// Parameters of completionHorizon.
const (
	// horizonPerMissShare: for each percent of jobs that may miss an objective, the horizon grows
	// by this many percent of the time left. An objective that allows more misses justifies less
	// capacity.
	horizonPerMissShare = 6
	// defaultHorizonLeases is the horizon of work without an objective, in worker leases.
	defaultHorizonLeases = 10
	// guaranteeHorizonFactor is the horizon of work within a guarantee, in multiples of
	// minUsefulSeconds. Such work starts late if a machine has to boot for it, whichever it is,
	// but it should not wait much longer than one boot.
	guaranteeHorizonFactor = 2
)

// completionHorizon is the time, in seconds, within which a job's queued work must be done for the
// job to meet its objectives. Objectives that it has already missed do not count. If the horizon is
// shorter than Policy.OnDemandMinBoots boot times of a machine type, it is too late for on-demand
// machines of that type, and the job does not raise onTimeByType for it: see addOnTimeDemand.
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
		if secondsLeft := f.timeLeft(objective, job); secondsLeft > 0 {
			horizon = min(horizon, secondsLeft*min(policy.HorizonShare+horizonPerMissShare*(1-objective.Share), 1))
		}
	}
	// A job that others depend on must complete early enough for them to meet their deadlines.
	if secondsLeft := job.dependentsDeadline - f.core.now.Wall; secondsLeft > 0 && job.hasDeadline() {
		horizon = min(horizon, secondsLeft*policy.HorizonShare)
	}
	if math.IsInf(horizon, 1) {
		horizon = defaultHorizonLeases * f.core.intervals.workerLease.Seconds()
	}
	return max(horizon, f.minUsefulSeconds(spec))
}

// timeLeft is the number of seconds that a job has left to meet an objective of its class, +Inf if
// the objective sets no time for the job. For an objective for the waiting time, it is instead the
// predicted duration of one of the job's tasks, however long the job has waited.
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

// hasObjective reports whether the settings have an objective for a job's class.
func (f *fleet) hasObjective(spec *protocol.Job) bool {
	return slices.ContainsFunc(f.core.settings.Site.Objectives, func(o config.Objective) bool { return o.Class == spec.Class })
}
