package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// AccountState is the state of an account in one evaluation. Amounts are numbers of jobs and may
// be fractional.
type AccountState struct {
	Account
	Served      float64 // completed jobs with decayed weights, plus the started shares of unfinished jobs
	Overdue     float64 // unstarted shares of open jobs older than Rules.OverdueAfter
	LongOverdue float64 // unstarted shares of open jobs older than twice Rules.OverdueAfter
	Boost       Boost
	Deficit     float64 // jobs by which Served is below the minimum share of Served plus Overdue, at least 0

	jobs    []*Job
	boosted []*Job // smallest aged work first
}

// ServedShare returns the served part of the jobs that are served or overdue, from 0 to 1. It is 1
// if the account has neither.
func (s *AccountState) ServedShare() float64 {
	if s.Served+s.Overdue == 0 {
		return 1
	}
	return s.Served / (s.Served + s.Overdue)
}

// evaluate computes the deficit of the account and decides which of its jobs are boosted and
// protected. priorityDominates means that jobs that outrank a boost use more than half of the CPUs
// in use by the account's team or by all teams together.
func (s *AccountState) evaluate(rules *Rules, priorityDominates bool) {
	completed := s.Served
	open := s.countJobs(rules)
	if completed < rules.MinShare*(s.Served+s.Overdue) {
		s.protectStarted(rules)
	}
	s.Deficit = max(s.deficit(s.Overdue, rules), 0)
	if s.Deficit == 0 {
		return
	}
	s.Boost = BoostBelowUrgent
	if priorityDominates && s.deficit(s.LongOverdue, rules) > 0 {
		s.Boost = BoostAboveUrgent
	}
	s.boostSmallest(open, rules)
}

// countJobs adds the account's unfinished jobs to Served, Overdue and LongOverdue, and returns the
// open jobs.
func (s *AccountState) countJobs(rules *Rules) (open []*Job) {
	for _, job := range s.jobs {
		s.Served += job.StartedShare
		if !job.isOpen() {
			continue
		}
		open = append(open, job)
		if job.Age > rules.OverdueAfter {
			s.Overdue += job.unstartedShare()
		}
		if job.Age > 2*rules.OverdueAfter {
			s.LongOverdue += job.unstartedShare()
		}
	}
	return open
}

// protectStarted marks the overdue jobs that have started tasks as protected from preemption. It
// is called while the completed jobs alone are less than the minimum share.
//
// Guards against ineffective boosts: the tasks of an underserved class were repeatedly started and
// preempted by urgent work shortly afterwards, so that none of its jobs was ever completed.
func (s *AccountState) protectStarted(rules *Rules) {
	for _, job := range s.jobs {
		job.Protected = job.Age > rules.OverdueAfter && job.StartedShare > 0
	}
}

// deficit returns by how many jobs Served is below the minimum share of Served plus waiting. It is
// negative if the account has more than that share.
func (s *AccountState) deficit(waiting float64, rules *Rules) float64 {
	return rules.MinShare*(s.Served+waiting) - s.Served
}

// boostSmallest boosts the open jobs with the least aged work, as many as make up the deficit.
func (s *AccountState) boostSmallest(open []*Job, rules *Rules) {
	for _, job := range open {
		job.agedWork = job.RemainingWork / (1 + job.Age/rules.AgingTime)
	}
	slices.SortStableFunc(open, func(x, y *Job) int { return cmp.Compare(x.agedWork, y.agedWork) })
	remainingDeficit := s.Deficit
	for _, job := range open {
		if remainingDeficit <= 0 {
			break
		}
		job.Boost = s.Boost
		remainingDeficit -= job.unstartedShare()
		s.boosted = append(s.boosted, job)
	}
}

const (
	// maxDeficitLevel is the highest deficit level. An account with a sixteenth of its minimum
	// share or less ranks the same as one that was served nothing.
	maxDeficitLevel = 4

	// minServedShare replaces a served share of 0, which has no logarithm.
	minServedShare = 1e-9
)

// deficitLevel returns how far the account is below its minimum share: 0 within a factor of two,
// 1 within the next factor of two, and so on up to maxDeficitLevel.
func (s *AccountState) deficitLevel(rules *Rules) int {
	halvings := math.Log2(rules.MinShare / max(s.ServedShare(), minServedShare))
	return int(min(max(halvings, 0), maxDeficitLevel))
}

// rankBoosted sets the rank of the boosted jobs of all accounts: by the deficit level of their
// account, highest first, and within a level by aged work, smallest first.
//
// Guards against starving the account with the largest jobs: when all accounts were underserved and
// jobs were ranked by size alone, jobs of one CPU ran before jobs of four CPUs until the account of
// the small jobs had its whole share.
func rankBoosted(states []*AccountState, rules *Rules) {
	var boosted []*Job
	for _, state := range states {
		for _, job := range state.boosted {
			job.deficitLevel = state.deficitLevel(rules)
			boosted = append(boosted, job)
		}
	}
	slices.SortStableFunc(boosted, func(x, y *Job) int {
		return cmp.Or(cmp.Compare(y.deficitLevel, x.deficitLevel), cmp.Compare(x.agedWork, y.agedWork))
	})
	for rank, job := range boosted {
		job.BoostRank = rank
	}
}
