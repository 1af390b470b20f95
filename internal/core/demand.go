package core

import (
	"math"
	"slices"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// capacityDemand is how many CPUs the unfinished work should have. soon is for work to be
// done as soon as a cheap machine pays; due for it to be done in time, which is
// worth an ordinary machine; firm is the share of due that may not run on cheap
// machines at all. rush is what to hire ordinary machines of a type up to: one
// helps only once it has booted, and types differ in that. busy is what tasks take
// now.
type capacityDemand struct {
	total, onTime, onTimeOnDemand, inUse float64
	totalOnDemand                        float64 // the share of soon that may not run on cheap machines
	onTimeByType                         map[string]float64
}

// computeDemand adds up what each unfinished job needs. Work is done in rank order, so
// what a job waits for is all that ranks before it, and what of that kind is
// still to come while it waits: due is the capacity at which the worst-off job
// is just in time.
func (f *fleet) computeDemand(ranked []*queuedJob) capacityDemand {
	c := f.core
	d := capacityDemand{onTimeByType: map[string]float64{}}
	soon := map[string]float64{}
	var ahead, firm float64
	for _, q := range ranked {
		s := &q.entry.record.Spec
		waiting := float64(max(q.waitingTasks(), 0))
		flying := float64(len(q.inflight))
		pred := q.predictedSeconds
		cpus := (waiting + flying) * s.CPUs
		d.inUse += flying * s.CPUs
		work := (waiting*pred + flying*pred/2) * s.CPUs
		if s.Kind == protocol.KindArray {
			if c.scheduler.isCrashLooping(q) {
				waiting = min(waiting, 1)
				work = waiting * pred * s.CPUs
			}
			cpus = min(waiting+flying, math.Ceil(work/s.CPUs/max(f.minUsefulSeconds(s), pred, 1))) * s.CPUs
		}
		if t := c.team(s.Team); t != nil && t.CPUsMax > 0 {
			cpus = max(min(cpus, t.CPUsMax-soon[s.Team]), 0)
			soon[s.Team] += cpus
		}
		d.total += cpus
		if !s.AllowSpot {
			d.totalOnDemand += cpus
		}
		if s.Kind != protocol.KindArray {
			d.onTime += cpus // replicas run for ever: their room is never free
			if !s.AllowSpot {
				firm += cpus
			}
			continue
		}
		ahead += work
		if !s.AllowSpot {
			firm += min(cpus, work/f.completionHorizon(q, pred))
		}
		// What no aim is set for is worth cheap machines only.
		if waiting > 0 && (q.withinGuarantee || f.hasObjective(s) || q.hasDeadline()) {
			left := f.completionHorizon(q, pred)
			need := ahead/left + f.inflowBefore(q)
			d.onTime = max(d.onTime, need)
			for name, mt := range c.machineTypes() {
				if left >= mt.BootS*c.policy.RushBoots {
					d.onTimeByType[name] = max(d.onTimeByType[name], need)
				}
			}
		}
	}
	d.total += f.burstReserve
	d.onTime = min(d.onTime, d.total)
	for name, need := range d.onTimeByType {
		d.onTimeByType[name] = min(need, d.total)
	}
	d.onTimeOnDemand = firm + (d.onTime-firm)*(1-c.policy.SpotShare)
	return d
}

// inflowBefore is how many CPUs the work that keeps coming in, and ranks before a job,
// takes.
func (f *fleet) inflowBefore(q *queuedJob) float64 {
	u := q.effectiveUrgency
	var sum float64
	for v, x := range f.inflowByUrgency {
		if v < u {
			sum += x
		}
	}
	return sum
}

// jobArrived counts a new job's work into the inflow of its urgency.
func (f *fleet) jobArrived(q *queuedJob) {
	s := &q.entry.record.Spec
	span := 8 * f.core.intervals.workerLease.Seconds()
	for _, a := range f.core.settings.Site.Objectives {
		if a.Kind == "wait" && a.Class == s.Class {
			f.burstReserve = max(f.burstReserve, float64(s.Tasks)*s.CPUs)
			f.burstAt = f.core.now.Monotonic
		}
	}
	work := float64(s.Tasks) * s.CPUs * f.core.estimator.predict(s) / span
	f.inflowByUrgency[q.effectiveUrgency] += work
	if !f.core.bestEffortTeams[s.Team] {
		f.guaranteedInflow += work
	}
}

// restoreInflow works out, for a new leader, what came in before it led.
func (f *fleet) restoreInflow() {
	span := 8 * f.core.intervals.workerLease.Seconds()
	f.guaranteedInflow = 0
	count := func(s *protocol.Job, at float64) {
		if !f.core.bestEffortTeams[s.Team] {
			f.guaranteedInflow += float64(s.Tasks) * s.CPUs * f.core.estimator.predict(s) / span * math.Exp(-max(f.core.now.Wall-at, 0)/span)
		}
	}
	l := f.core.records
	for _, id := range sortedKeys(l.jobs) {
		if j := l.jobs[id]; j.version > 0 && !l.dependencies.IsWaiting(id) {
			count(&j.record.Spec, j.waitingSince())
		}
	}
	var recent []string
	for id, e := range l.archive.jobs {
		if f.core.now.Wall-float64(e.submittedAt) < 8*span {
			recent = append(recent, id)
		}
	}
	slices.Sort(recent)
	for _, id := range recent {
		e := l.archive.jobs[id]
		s := l.archive.shapes[e.shape]
		s.Tasks = int(e.tasks)
		count(&s, float64(e.submittedAt))
	}
}

// decayInflow lets the inflow fall with the time since it came.
func (f *fleet) decayInflow() {
	span := 8 * f.core.intervals.workerLease.Seconds()
	dt := (f.core.now.Monotonic - f.decayedAt).Seconds()
	f.decayedAt = f.core.now.Monotonic
	f.burstReserve *= math.Exp(-dt / span)
	f.guaranteedInflow *= math.Exp(-dt / span)
	if f.core.now.Monotonic-f.burstAt > 3*f.core.intervals.workerLease {
		f.burstReserve = 0
	}
	for u, x := range f.inflowByUrgency {
		f.inflowByUrgency[u] = x * math.Exp(-dt/span)
	}
}

// minUsefulSeconds is the shortest time in which queued work is worth a cheap machine:
// its boot is paid as well.
func (f *fleet) minUsefulSeconds(s *protocol.Job) float64 {
	boot := math.Inf(1)
	for _, t := range f.core.machineTypes() {
		if allowsType(s, t.Name) && fitsEmptyMachine(t, s) {
			boot = min(boot, t.BootS)
		}
	}
	if math.IsInf(boot, 1) {
		return 0
	}
	return boot * f.core.policy.SoonBoots
}

// completionHorizon is the time in which a job's queued work must be done to be in time.
// Once it is too late for that, a cheap machine is all that it is worth.
func (f *fleet) completionHorizon(q *queuedJob, pred float64) float64 {
	s := &q.entry.record.Spec
	age := max(f.core.now.Wall-q.entry.waitingSince(), 0)
	patient := 10 * f.core.intervals.workerLease.Seconds()
	h := math.Inf(1)
	for _, a := range f.core.settings.Site.Objectives {
		if a.Kind == "guarantee" && q.withinGuarantee {
			// Guaranteed work that waits will start late whatever is hired; it
			// should not wait much longer than a boot.
			h = min(h, 2*f.minUsefulSeconds(s))
		}
		if a.Class != s.Class {
			continue
		}
		left := math.Inf(1)
		switch a.Kind {
		case "finished":
			left = a.WithinS - age
		case "deadline":
			if s.DeadlineS > 0 {
				left = s.DeadlineS*max(a.Times, 1) - (f.core.now.Wall - q.entry.record.SubmittedAt)
			}
		case "wait":
			left = pred
		}
		// An aim that allows more misses is worth less haste.
		if left > 0 {
			h = min(h, left*min(f.core.policy.HorizonShare+hastePerMiss*(1-a.Share), 1))
		}
	}
	// What others need has what is left before the last of them is late.
	if left := q.dependentsDeadline - f.core.now.Wall; left > 0 && q.hasDeadline() {
		h = min(h, left*f.core.policy.HorizonShare)
	}
	if math.IsInf(h, 1) {
		h = patient
	}
	return max(h, f.minUsefulSeconds(s))
}

// hasObjective reports whether the users have set an aim for a job's class.
func (f *fleet) hasObjective(s *protocol.Job) bool {
	return slices.ContainsFunc(f.core.settings.Site.Objectives, func(a config.Objective) bool { return a.Class == s.Class })
}

// hastePerMiss is how much of a job's time one miss in a hundred gives back.
const hastePerMiss = 6
