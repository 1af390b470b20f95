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
	// servedDecayFactor is the time constant with which the weight of a completed job decays, in
	// multiples of Rules.OverdueAfter.
	servedDecayFactor = 8

	// boostedAgingFactor is how many times longer a job must wait to gain the same rank within a
	// boosted account as in the ordinary order. Waiting is weighted less in a boosted account because
	// only about half of the account's jobs have to be served, which favors small jobs over old
	// ones.
	boostedAgingFactor = 4
)

// newFairShareRules returns the fair-share rules of the policy, with the times that it gives in
// worker leases converted to seconds.
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

// applyFairShare boosts jobs of underserved accounts and lets the first tasks of large jobs start
// early.
func (s *scheduler) applyFairShare(ranked []*queuedJob) {
	jobs := make([]fairshare.Job, 0, len(ranked))
	for _, q := range ranked {
		jobs = append(jobs, s.fairShareJob(q))
	}
	s.fairShareStates = s.core.records.archive.served.Evaluate(s.core.now.Wall, jobs, &s.core.fairShareRules)
	s.logBoosts()
	var largest map[*queuedJob]bool // computed only if a job has waited long enough
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

// fairShareJob returns what the fair-share accounting needs to know about a job.
func (s *scheduler) fairShareJob(q *queuedJob) fairshare.Job {
	spec := q.spec()
	service := spec.Kind == protocol.KindService
	unfinishedTasks := float64(max(spec.Tasks-q.completedTasks(), 0))
	return fairshare.Job{
		Account:       accountOf(spec),
		Age:           max(s.core.now.Wall-q.entry.waitingSince(), 0),
		StartedShare:  1 - float64(max(q.waitingTasks(), 0))/float64(spec.Tasks),
		RemainingWork: unfinishedTasks * taskWidth(spec) * s.core.estimator.predictForJob(q),
		CPUsInUse:     float64(len(q.inflight)) * spec.CPUs,
		OutranksBoost: q.rankBand < bandBehindGuarantee && !service, // services are excluded, since they never end, whatever other jobs wait
		Ineligible:    s.isCrashLooping(q) || service,
	}
}

// accountOf returns the account in which a job is counted.
func accountOf(spec *protocol.Job) fairshare.Account {
	return fairshare.Account{Team: spec.Team, Class: spec.Class}
}

func (s *scheduler) logBoosts() {
	if !s.core.debug {
		return
	}
	for i := range s.fairShareStates {
		if state := &s.fairShareStates[i]; state.Boost != fairshare.NoBoost {
			s.core.logDebug("class boosted by fair share",
				"team", state.Team, "class", state.Class, "served", state.Served,
				"overdue", state.Overdue, "late", state.LongOverdue, "owed", state.Deficit)
		}
	}
}

// boostedAccounts maps each account to whether it is underserved in this round.
func (s *scheduler) boostedAccounts() map[fairshare.Account]bool {
	boosted := map[fairshare.Account]bool{}
	for i := range s.fairShareStates {
		state := &s.fairShareStates[i]
		boosted[state.Account] = state.Boost != fairshare.NoBoost
	}
	return boosted
}

// applyBoost moves a job of an underserved account up, either behind the work covered by a
// guarantee and ahead of all ordinary work, or, if that was not enough, ahead of urgent work as
// well, so that only services rank before it.
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
	// largestDivisor is the number of jobs of an account divided by the number of them that count
	// as its largest.
	largestDivisor = 4

	// largestDivisorBoosted is the same for a boosted account. It is higher because there
	// completing jobs matters more than starting them.
	largestDivisorBoosted = 8
)

// largestJobs returns those unfinished jobs that are the largest of their account by number of
// tasks. They must also have more tasks than the account's median job, so an account whose jobs are
// all of one size has none.
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

// earlyStartAge is how many seconds a large job waits until its first task may start early: two
// thirds of the time within which the policy wants it to start. It is +Inf if the policy sets no
// such time.
func (s *scheduler) earlyStartAge() float64 {
	if s.core.policy.LargestStartS <= 0 {
		return math.Inf(1)
	}
	return s.core.policy.LargestStartS * 2 / 3
}

// startEarly ranks the first task of an array behind services only, if the array is among the
// largest of its account and has waited long enough. Only one task is moved up; the others keep the
// ordinary rank. As long as that task is the job's only one in flight, it is protected from
// preemption.
//
// Without the early start, the largest jobs of a class would never start while smaller jobs of the
// same class keep arriving. Fair share does not notice that, because it counts jobs, and by that
// count the class is served well.
func (s *scheduler) startEarly(q *queuedJob, age float64) {
	if age < s.earlyStartAge() || q.spec().Kind != protocol.KindArray || q.completedTasks() > 0 || s.isCrashLooping(q) {
		return
	}
	q.protected = q.protected || len(q.inflight) == 1
	if len(q.inflight) == 0 && q.rankBand > bandAheadOfUrgent {
		q.startsEarly, q.rankBand, q.rankInBand = true, bandAheadOfUrgent, -age
	}
}

// reserveQuota reserves the quota that a team's tasks release for the given number of tasks of a
// job of an underserved account, unless the job could not start even with all of the team's quota
// that services do not use.
//
// Without the reservation, tasks of four CPUs would never start, because each CPU that is released
// goes to a task of one CPU. The same would happen to gangs that need half of the quota at once.
func (s *scheduler) reserveQuota(q *queuedJob, tasks int, round *schedulingRound) {
	spec := q.spec()
	team := s.core.team(spec.Team)
	if team == nil || !s.mayReserve(q, tasks, round) {
		return
	}
	var needed usage
	needed.add(spec, float64(tasks))
	for _, other := range s.queue.All() { // services never release what they use
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

// maxMachineReservations is the maximum number of jobs for which machines are reserved in one
// round.
const maxMachineReservations = 4

// reserveMachines withholds machines from the jobs that rank behind a job of an underserved
// account. It takes the machines with the most free capacity first, and as many as the given number
// of the job's tasks need once the machines are drained.
//
// Without the reservation, a task that needs a whole machine would never start, because small tasks
// keep filling every machine.
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
// with the most free CPUs first.
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

// drainedCapacity is the capacity that a machine will have once all tasks except those of services
// have ended.
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

// mayReserve reports whether quota or machines may be reserved for the given number of a job's
// tasks in this round. The job must be boosted, or its first task must be due to start early. The
// tasks must also need more CPUs than the smallest waiting task: otherwise they need no
// reservation, because released capacity is offered to them first.
//
// A reservation lasts for Rules.OverdueAfter and is then suspended for as long again, so that one
// that can't be used for an unforeseen reason blocks the other jobs for at most half of the time.
func (s *scheduler) mayReserve(q *queuedJob, tasks int, round *schedulingRound) bool {
	if q.boost == fairshare.NoBoost && !q.startsEarly {
		return false
	}
	if float64(tasks)*q.spec().CPUs <= round.smallestTaskCPUs+binpacking.RoundingSlack {
		return false
	}
	now, reservationPeriod := s.core.now.Monotonic, config.Seconds(s.core.fairShareRules.OverdueAfter)
	if q.reservedAt == 0 || now-q.reservedAt > 2*reservationPeriod {
		q.reservedAt = max(now, time.Nanosecond) // 0 means no reservation
	}
	return now-q.reservedAt <= reservationPeriod
}
