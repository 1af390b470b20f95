package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// servedDecayFactor is for how many times the span after which an account is overdue what was
	// served is remembered.
	servedDecayFactor = 8

	// boostedAgingFactor is how many times as slowly waiting counts within a boosted account as in the
	// ordinary order, since half of the account's jobs is what counts.
	boostedAgingFactor = 4
)

// newFairShareRules turns the operators' policy into spans of seconds.
func (c *Core) newFairShareRules() fairshare.Rules {
	lease := c.intervals.workerLease.Seconds()
	overdueAfter := c.policy.OverdueLeases * lease
	return fairshare.Rules{
		MinShare:     c.policy.FairShare,
		OverdueAfter: overdueAfter,
		DecayTime:    servedDecayFactor * overdueAfter,
		AgingTime:    boostedAgingFactor * c.policy.AgingLeases * lease,
	}
}

// applyFairShare boosts the jobs of accounts that are underserved, and lets the first tasks of
// large jobs start early.
func (s *scheduler) applyFairShare(ranked []*queuedJob) {
	jobs := make([]fairshare.Job, 0, len(ranked))
	for _, q := range ranked {
		jobs = append(jobs, s.fairShareJob(q))
	}
	s.fairShareStates = s.core.records.archive.served.Evaluate(s.core.now.Wall, jobs, &s.core.fairShareRules)
	s.logBoosts()
	var largest map[*queuedJob]bool // looked for only where a job has waited for long enough
	if age := s.earlyStartAge(); slices.ContainsFunc(jobs, func(j fairshare.Job) bool { return j.Age >= age }) {
		largest = largestJobs(ranked, s.boostedAccounts())
	}
	for i, q := range ranked {
		q.applyBoost(&jobs[i])
		if largest[q] {
			s.startEarly(q, jobs[i].Age)
		}
	}
}

// fairShareJob is what the account of a job is judged by.
func (s *scheduler) fairShareJob(q *queuedJob) fairshare.Job {
	spec := q.spec()
	service := spec.Kind == protocol.KindService
	left := float64(max(spec.Tasks-q.completedTasks(), 0))
	return fairshare.Job{
		Account:       accountOf(spec),
		Age:           max(s.core.now.Wall-q.entry.waitingSince(), 0),
		StartedShare:  1 - float64(max(q.waitingTasks(), 0))/float64(spec.Tasks),
		RemainingWork: left * taskWidth(spec) * s.core.estimator.predictForJob(q),
		CPUsInUse:     float64(len(q.inflight)) * spec.CPUs,
		OutranksBoost: q.rankBand < bandBehindGuarantee && !service, // services never end, whoever else waits
		Ineligible:    s.isCrashLooping(q) || service,
	}
}

// accountOf is the account that a job is served from.
func accountOf(spec *protocol.Job) fairshare.Account {
	return fairshare.Account{Team: spec.Team, Class: spec.Class}
}

func (s *scheduler) logBoosts() {
	if !s.core.debug {
		return
	}
	for i := range s.fairShareStates {
		if state := &s.fairShareStates[i]; state.Boost != fairshare.NoBoost {
			s.core.logDebug("fair-share boost",
				"team", state.Team, "class", state.Class, "served", state.Served,
				"overdue", state.Overdue, "late", state.LongOverdue, "owed", state.Deficit)
		}
	}
}

// boostedAccounts are those that are underserved in this round.
func (s *scheduler) boostedAccounts() map[fairshare.Account]bool {
	boosted := map[fairshare.Account]bool{}
	for i := range s.fairShareStates {
		state := &s.fairShareStates[i]
		boosted[state.Account] = state.Boost != fairshare.NoBoost
	}
	return boosted
}

// applyBoost moves a job of an underserved account up: behind what a guarantee covers and before
// all ordinary work; or, if that did not help, before urgent work too, and behind services only.
func (q *queuedJob) applyBoost(job *fairshare.Job) {
	q.protected, q.startsEarly = job.Protected, false
	q.boost = job.Boost
	switch {
	case job.Boost == fairshare.BoostBelowUrgent && q.rankBand > bandBehindGuarantee:
		q.rankBand, q.rankInBand = bandBehindGuarantee, float64(job.BoostRank)
	case job.Boost == fairshare.BoostAboveUrgent && q.rankBand > bandAheadOfUrgent:
		q.rankBand, q.rankInBand = bandAheadOfUrgent, float64(job.BoostRank)
	}
}

const (
	// largestPart: one in so many jobs of an account is among its largest,
	largestDivisor = 4

	// largestDivisorBoosted is the same where the account is boosted: jobs that are completed count
	// for more there than jobs that have begun.
	largestDivisorBoosted = 8
)

// largestJobs tells which of the unfinished jobs are the largest of their account, by tasks. An
// account whose jobs are alike has none.
func largestJobs(jobs []*queuedJob, boosted map[fairshare.Account]bool) map[*queuedJob]bool {
	byAccount := map[fairshare.Account][]*queuedJob{}
	for _, q := range jobs {
		account := accountOf(q.spec())
		byAccount[account] = append(byAccount[account], q)
	}
	largest := map[*queuedJob]bool{}
	for account, list := range byAccount {
		slices.SortStableFunc(list, func(a, b *queuedJob) int { return cmp.Compare(b.spec().Tasks, a.spec().Tasks) })
		divisor := largestDivisor
		if boosted[account] {
			divisor = largestDivisorBoosted
		}
		median := list[len(list)/2].spec().Tasks
		for _, q := range list[:(len(list)+divisor-1)/divisor] {
			largest[q] = q.spec().Tasks > median
		}
	}
	return largest
}

// earlyStartAge is how many seconds a large job waits until its first task goes ahead: two thirds
// of the time within which it is to begin.
func (s *scheduler) earlyStartAge() float64 {
	if s.core.policy.LargestStartS <= 0 {
		return math.Inf(1)
	}
	return s.core.policy.LargestStartS * 2 / 3
}

// startEarly lets the first task of an array that is among the largest of its account go before all
// but services once its job has waited for long enough. It is one task; the rest has its ordinary
// rank, and the first is not preempted.
//
// Guards against the largest jobs of a class that never begin, since smaller ones of the same class
// come all the time: counted by jobs the class is served well.
func (s *scheduler) startEarly(q *queuedJob, age float64) {
	if age < s.earlyStartAge() || q.spec().Kind != protocol.KindArray || q.completedTasks() > 0 || s.isCrashLooping(q) {
		return
	}
	q.protected = q.protected || len(q.inflight) == 1
	if len(q.inflight) == 0 && q.rankBand > bandAheadOfUrgent {
		q.startsEarly, q.rankBand, q.rankInBand = true, bandAheadOfUrgent, -age
	}
}

// reserveQuota keeps what gets free of a team's limit for so many tasks of a job of an underserved
// account, if that can ever be enough.
//
// Guards against tasks of four CPUs that never start because each CPU that gets free goes to a task
// of one, and against gangs that would need half of the limit at once.
func (s *scheduler) reserveQuota(q *queuedJob, tasks int, round *schedulingRound) {
	spec := q.spec()
	team := s.core.team(spec.Team)
	if team == nil || !s.mayReserve(q, tasks, round) {
		return
	}
	var needed usage
	needed.add(spec, float64(tasks))
	for _, other := range s.queue.All() { // what endless services use never gets free
		if other.spec().Kind == protocol.KindService && other.spec().Team == spec.Team {
			needed.add(other.spec(), float64(len(other.inflight)))
		}
	}
	if needed.exceeds(team) {
		return
	}
	if round.quotaReservedFor == nil {
		round.quotaReservedFor = map[string]*queuedJob{}
	}
	round.quotaReservedFor[spec.Team] = q
}

// maxMachineReservations bounds for how many jobs machines are reserved in one round.
const maxMachineReservations = 4

// reserveMachines keeps the machines with most room from the jobs that rank behind one of an
// underserved account, as many as so many of its tasks need once the machines are drained.
//
// Guards against a task that needs a whole machine and never starts because there is always
// something small to fill each of them up with.
func (s *scheduler) reserveMachines(q *queuedJob, tasks int, round *schedulingRound) {
	if round.machineReservations >= maxMachineReservations || !s.mayReserve(q, tasks, round) {
		return
	}
	round.machineReservations++
	machines := s.reservableMachines(q, round)
	for i, machine := range machines {
		for free := machine.drainedCapacity(); free.Fits(q.spec()) && tasks > 0; tasks-- {
			free.Allocate(q.spec())
		}
		if tasks == 0 {
			for _, reserved := range machines[:i+1] {
				reserved.reserved, reserved.CPUs = true, 0
			}
			return
		}
	}
}

// reservableMachines lists the machines that a job's tasks could use once they are drained, those
// with most room first.
func (s *scheduler) reservableMachines(q *queuedJob, round *schedulingRound) []*candidateMachine {
	var machines []*candidateMachine
	mayUse := q.machineFilter()
	for _, m := range round.machines {
		if mayUse(m.TypeName, m.Zone, m.Spot) && !s.isAvoided(m, q) && !m.reserved && m.drainedCapacity().Fits(q.spec()) {
			machines = append(machines, m)
		}
	}
	slices.SortFunc(machines, func(a, b *candidateMachine) int {
		return cmp.Or(cmp.Compare(b.CPUs, a.CPUs), cmp.Compare(a.name, b.name))
	})
	return machines
}

// drainedCapacity is the room that a machine will have once all tasks but those of services have
// left it.
func (m *candidateMachine) drainedCapacity() *binpacking.Capacity {
	free := m.Capacity
	free.CPUs, free.GPUs, free.MemoryGB = m.view.machineType.CPUs, m.view.machineType.GPUs, m.view.machineType.MemoryGB
	for _, attempt := range m.view.attempts {
		if spec := attempt.job.spec(); spec.Kind == protocol.KindService {
			free.Allocate(spec)
		}
	}
	return &free
}

// mayReserve reports whether anything is to be reserved for so many tasks of a job in this round:
// if its account is boosted, or its first task is to start early, and if they need more at once
// than any other task that waits, since whatever gets free is offered to them first. They have it
// reserved for as long as an account takes to be overdue, and then not for as long again, so that
// a reservation that can't be used for a reason nobody foresaw holds up the others for half of the
// time at most.
func (s *scheduler) mayReserve(q *queuedJob, tasks int, round *schedulingRound) bool {
	if q.boost == fairshare.NoBoost && !q.startsEarly {
		return false
	}
	if float64(tasks)*q.spec().CPUs <= round.smallestTaskCPUs+binpacking.RoundingSlack {
		return false
	}
	now, span := s.core.now.Monotonic, config.Seconds(s.core.fairShareRules.OverdueAfter)
	if q.reservedAt == 0 || now-q.reservedAt > 2*span {
		q.reservedAt = max(now, time.Nanosecond) // 0 is for none
	}
	return now-q.reservedAt <= span
}
