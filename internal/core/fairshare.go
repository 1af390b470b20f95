package core

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// newFairShareRules turns the operators' choices into spans: what was served is remembered for
// eight times the patience, and within a class waiting tells four times as slowly as in
// the ordinary order, since half of the jobs counts.
func (c *Core) newFairShareRules() fairshare.Rules {
	patience := c.policy.FloorLeases * c.intervals.workerLease.Seconds()
	return fairshare.Rules{MinShare: c.policy.FloorShare, OverdueAfter: patience, DecayTime: 8 * patience,
		AgingTime: 4 * c.policy.AgingLeases * c.intervals.workerLease.Seconds()}
}

// Where a job stands that has its class's turn: behind what a guarantee covers and before
// all ordinary work; or, if that did not help, before urgent work too, and behind services
// only.
const (
	bandBehindGuarantee = 3
	bandAheadOfUrgent   = -1
)

// applyFairShare lets the jobs of classes that were served too little go first.
func (o *scheduler) applyFairShare(ranked []*queuedJob) {
	jobs := make([]fairshare.Job, 0, len(ranked))
	for _, q := range ranked {
		s := &q.entry.record.Spec
		service := s.Kind == protocol.KindService
		left := float64(max(s.Tasks-q.entry.doneCount-len(q.unsavedTasks), 0))
		jobs = append(jobs, fairshare.Job{
			Account:       fairshare.Account{Team: s.Team, Class: s.Class},
			Age:           max(o.core.now.Wall-q.entry.waitingSince(), 0),
			StartedShare:  1 - float64(max(q.waitingTasks(), 0))/float64(s.Tasks),
			RemainingWork: left * taskWidth(s) * o.core.estimator.predictForJob(q),
			CPUsInUse:     float64(len(q.inflight)) * s.CPUs,
			OutranksBoost: q.rankBand < bandBehindGuarantee && !service, // services never end, whoever else waits
			Ineligible:    o.isCrashLooping(q) || service,
		})
	}
	o.fairShareStates = o.core.records.archive.served.Evaluate(o.core.now.Wall, jobs, &o.core.fairShareRules)
	if o.core.debug {
		for i := range o.fairShareStates {
			if x := &o.fairShareStates[i]; x.Boost != fairshare.NoBoost {
				o.core.logDebug("turn", "team", x.Team, "class", x.Class, "served", x.Served, "overdue", x.Overdue, "late", x.LongOverdue, "owed", x.Deficit)
			}
		}
	}
	due := map[fairshare.Account]bool{}
	for i := range o.fairShareStates {
		due[o.fairShareStates[i].Account] = o.fairShareStates[i].Boost != fairshare.NoBoost
	}
	var large map[*queuedJob]bool // looked for only where somebody has waited for long enough
	if from := o.earlyStartAge(); slices.ContainsFunc(jobs, func(j fairshare.Job) bool { return j.Age >= from }) {
		large = largestJobs(ranked, due)
	}
	for i, q := range ranked {
		j := &jobs[i]
		q.protected, q.startsEarly = j.Protected, false
		switch q.boost = j.Boost; {
		case j.Boost == fairshare.BoostBelowUrgent && q.rankBand > bandBehindGuarantee:
			q.rankBand, q.rankInBand = bandBehindGuarantee, float64(j.BoostRank)
		case j.Boost == fairshare.BoostAboveUrgent && q.rankBand > bandAheadOfUrgent:
			q.rankBand, q.rankInBand = bandAheadOfUrgent, float64(j.BoostRank)
		}
		if large[q] {
			o.startEarly(q, j.Age)
		}
	}
}

// largestJobs tells which of the jobs that are not over are the largest of their class of a team,
// by tasks: a quarter of them, or an eighth where the class is due. A class whose jobs are alike
// has none.
func largestJobs(jobs []*queuedJob, due map[fairshare.Account]bool) map[*queuedJob]bool {
	open := map[fairshare.Account][]*queuedJob{}
	for _, q := range jobs {
		a := fairshare.Account{Team: q.entry.record.Spec.Team, Class: q.entry.record.Spec.Class}
		open[a] = append(open[a], q)
	}
	out := map[*queuedJob]bool{}
	for a, list := range open {
		slices.SortStableFunc(list, func(x, y *queuedJob) int { return cmp.Compare(y.entry.record.Spec.Tasks, x.entry.record.Spec.Tasks) })
		part := 4
		if due[a] {
			part = 8
		}
		for _, q := range list[:(len(list)+part-1)/part] {
			out[q] = q.entry.record.Spec.Tasks > list[len(list)/2].entry.record.Spec.Tasks
		}
	}
	return out
}

// earlyStartAge is how long a large job waits, in seconds, until its first task goes ahead.
func (o *scheduler) earlyStartAge() float64 {
	if o.core.policy.BeginS <= 0 {
		return math.Inf(1)
	}
	return o.core.policy.BeginS * 2 / 3
}

// startEarly lets the first task of an array that is among the largest of its class go before all but
// services once its job has waited for two thirds of the time in which it is to begin. It is one
// task; the rest has its ordinary rank, and the first is not stopped for others.
//
// Guards against the largest jobs of a class that never begin, since smaller ones of the same
// class come all the time: counted by jobs the class is served well. Where it is due, jobs that
// are completed count for more than jobs that are begun.
func (o *scheduler) startEarly(q *queuedJob, age float64) {
	if age < o.earlyStartAge() || q.entry.record.Spec.Kind != protocol.KindArray || q.entry.doneCount+len(q.unsavedTasks) > 0 || o.isCrashLooping(q) {
		return
	}
	q.protected = q.protected || len(q.inflight) == 1
	if len(q.inflight) == 0 && q.rankBand > bandAheadOfUrgent {
		q.startsEarly, q.rankBand, q.rankInBand = true, bandAheadOfUrgent, -age
	}
}

// quotaReservedReason says why a job starts nothing in this round although it could: its team's
// limit is kept for another class.
func (o *scheduler) quotaReservedReason(q *queuedJob, p *schedulingRound) string {
	if by := p.quotaReservedFor[q.entry.record.Spec.Team]; by != nil {
		return fmt.Sprintf("team %s is at its limit, and what is free next is for %s, of which too little was served", q.entry.record.Spec.Team, by.entry.record.Spec.Class)
	}
	return ""
}

// reserveQuota keeps what gets free of a team's limit for n tasks of a job whose turn it
// is, if that can ever be enough.
//
// Guards against tasks of four CPUs that never start because each CPU that gets free goes
// to a task of one, and against gangs that would need half of the limit at once.
func (o *scheduler) reserveQuota(q *queuedJob, n int, p *schedulingRound) {
	s := &q.entry.record.Spec
	t := o.core.team(s.Team)
	if t == nil || !o.mayReserve(q, n, p) {
		return
	}
	need := usage{}
	need.add(s, float64(n))
	for _, x := range o.queue.all() { // what endless services use never gets free
		if xs := &x.entry.record.Spec; xs.Kind == protocol.KindService && xs.Team == s.Team {
			need.add(xs, float64(len(x.inflight)))
		}
	}
	if t.CPUsMax > 0 && need.cpus > t.CPUsMax+roundingSlack || t.GPUsMax > 0 && need.gpus > t.GPUsMax+roundingSlack {
		return
	}
	if p.quotaReservedFor == nil {
		p.quotaReservedFor = map[string]*queuedJob{}
	}
	p.quotaReservedFor[s.Team] = q
}

// maxMachineReservations bounds for how many jobs machines are kept in one round.
const maxMachineReservations = 4

// reserveMachines keeps the machines with most room from the jobs that rank behind one whose
// turn it is, as many as n of its tasks need once they are empty.
//
// Guards against a task that needs a whole machine and never starts because there is
// always something small to fill each of them up with.
func (o *scheduler) reserveMachines(q *queuedJob, n int, p *schedulingRound) {
	if p.machineReservations >= maxMachineReservations || !o.mayReserve(q, n, p) {
		return
	}
	p.machineReservations++
	s := &q.entry.record.Spec
	var usable []*candidateMachine
	mayUse := q.machineFilter()
	for _, m := range p.machines {
		if mayUse(m.typeName, m.zone, m.spot) && !o.isAvoided(m, q) && !m.reserved && o.drainedCapacity(m).fits(s) {
			usable = append(usable, m)
		}
	}
	slices.SortFunc(usable, func(x, y *candidateMachine) int {
		return cmp.Or(cmp.Compare(y.cpus, x.cpus), cmp.Compare(x.name, y.name))
	})
	for i, m := range usable {
		for r := o.drainedCapacity(m); r.fits(s) && n > 0; n-- {
			r.allocate(s)
		}
		if n == 0 {
			for _, m := range usable[:i+1] {
				m.reserved, m.cpus = true, 0
			}
			return
		}
	}
}

// drainedCapacity is the room that a machine will have once all but services have left it.
func (o *scheduler) drainedCapacity(m *candidateMachine) *freeCapacity {
	r := m.freeCapacity
	r.cpus, r.gpus, r.memoryGB = m.view.machineType.CPUs, m.view.machineType.GPUs, m.view.machineType.MemoryGB
	for _, f := range m.view.attempts {
		if s := &f.job.entry.record.Spec; s.Kind == protocol.KindService {
			r.allocate(s)
		}
	}
	return &r
}

// mayReserve reports whether anything is to be kept for n tasks of a job in this round: if it
// is their turn, or that of its first, and if they need more at once than any other task
// that waits, since whatever gets free is offered to them first. They have it kept for as
// long as a patience lasts, and after as long a pause again, so that a turn that can't be
// taken for a reason nobody foresaw holds up the others for half of the time at most.
func (o *scheduler) mayReserve(q *queuedJob, n int, p *schedulingRound) bool {
	if q.boost == fairshare.NoBoost && !q.startsEarly || float64(n)*q.entry.record.Spec.CPUs <= p.smallestTaskCPUs+roundingSlack {
		return false
	}
	patience := config.Seconds(o.core.fairShareRules.OverdueAfter)
	if q.reservedAt == 0 || o.core.now.Monotonic-q.reservedAt > 2*patience {
		q.reservedAt = max(o.core.now.Monotonic, time.Nanosecond)
	}
	return o.core.now.Monotonic-q.reservedAt <= patience
}
