package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// AccountState is how an account stands in one evaluation. Its amounts are jobs, and parts of
// jobs.
type AccountState struct {
	Account
	Served      float64 // jobs done, decayed, and of the others what is under way
	Overdue     float64 // what waits of jobs older than OverdueAfter
	LongOverdue float64 // what waits of jobs older than twice that
	Boost       Boost
	Deficit     float64 // so many jobs are missing to the minimum share

	jobs    []*Job
	boosted []*Job // smallest first
}

// ServedShare is the share of what is served or overdue that was served; 1 where nothing is.
func (s *AccountState) ServedShare() float64 {
	if s.Served+s.Overdue == 0 {
		return 1
	}
	return s.Served / (s.Served + s.Overdue)
}

// evaluate decides on one account. priorityDominates says that most of what its team or the
// site uses is used by jobs that outrank a boost.
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

// countJobs adds up what is served and overdue, and lists the open jobs.
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

// protectStarted keeps what is under way of overdue jobs from being preempted, while too few
// jobs of the account are completed.
//
// Guards against boosts in vain: the tasks of an underserved class were started, and preempted
// by urgent work a moment later, again and again, so that none of its jobs was ever done.
func (s *AccountState) protectStarted(rules *Rules) {
	for _, job := range s.jobs {
		job.Protected = job.Age > rules.OverdueAfter && job.StartedShare > 0
	}
}

// deficit is how many jobs are missing to the minimum share of what was served or waits.
func (s *AccountState) deficit(waiting float64, rules *Rules) float64 {
	return rules.MinShare*(s.Served+waiting) - s.Served
}

// boostSmallest boosts as many open jobs as make up the deficit.
func (s *AccountState) boostSmallest(open []*Job, rules *Rules) {
	for _, job := range open {
		job.agedWork = job.RemainingWork / (1 + job.Age/rules.AgingTime)
	}
	slices.SortStableFunc(open, func(x, y *Job) int { return cmp.Compare(x.agedWork, y.agedWork) })
	missing := s.Deficit
	for _, job := range open {
		if missing <= 0 {
			break
		}
		job.Boost = s.Boost
		missing -= job.unstartedShare()
		s.boosted = append(s.boosted, job)
	}
}

const (
	// maxDeficitLevel is the highest level that is told apart: a sixteenth of the minimum share
	// is as bad as nothing.
	maxDeficitLevel = 4

	// minServedShare stands for a served share of 0, which has no logarithm.
	minServedShare = 1e-9
)

// deficitLevel is how far the account is from its share: 0 within a factor of two, 1 within
// the next, and so on.
func (s *AccountState) deficitLevel(rules *Rules) int {
	halvings := math.Log2(rules.MinShare / max(s.ServedShare(), minServedShare))
	return int(min(max(halvings, 0), maxDeficitLevel))
}

// rankBoosted ranks the boosted jobs of all accounts: by the level of their account's deficit,
// highest first, and the smallest first within a level.
//
// Guards against the account with the largest jobs being the last again: among accounts that
// are all underserved, by size alone jobs of one CPU went ahead of jobs of four until their
// account had its whole share.
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
