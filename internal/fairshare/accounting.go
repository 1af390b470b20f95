package fairshare

import (
	"math"
	"slices"
)

// negligibleServed is the sum below which an account without unfinished jobs is deleted. Without
// this limit, accounts of class names that are never used again would accumulate.
const negligibleServed = 1.0 / 64

// decayingSum counts completed jobs. A job has the weight 1 at its submission, and the weight
// decays exponentially from then on.
type decayingSum struct{ value, updatedAt float64 }

// valueAt returns the sum at a time that is not before its last update.
func (s *decayingSum) valueAt(at, decayTime float64) float64 {
	return s.value * math.Exp(-(at-s.updatedAt)/decayTime)
}

// add counts a job by its submission time, which may be before or after the last update.
func (s *decayingSum) add(at, decayTime float64) {
	if at > s.updatedAt {
		s.value, s.updatedAt = s.valueAt(at, decayTime), at
	}
	s.value += math.Exp(-(s.updatedAt - at) / decayTime)
}

// Accounting holds the completed jobs of each account as a decaying sum. The zero value is ready
// to use. It is not safe for concurrent use.
type Accounting struct {
	accounts map[Account]*decayingSum
}

// RecordCompleted counts a completed job. submittedAt is the wall-clock time of its submission, in
// seconds. The order of the calls makes no difference except for rounding.
func (a *Accounting) RecordCompleted(account Account, submittedAt float64, rules *Rules) {
	if a.accounts == nil {
		a.accounts = map[Account]*decayingSum{}
	}
	sum := a.accounts[account]
	if sum == nil {
		sum = &decayingSum{updatedAt: submittedAt}
		a.accounts[account] = sum
	}
	sum.add(submittedAt, rules.DecayTime)
}

// Evaluate decides which jobs are boosted and which are protected, and sets Boost, BoostRank and
// Protected in them. jobs must hold all unfinished jobs; now is the wall-clock time in seconds. It
// returns the states of the accounts that have jobs, sorted by team and class. If fair share is
// off, it returns nil and leaves the jobs unchanged.
func (a *Accounting) Evaluate(now float64, jobs []Job, rules *Rules) []AccountState {
	if rules.MinShare <= 0 {
		return nil
	}
	byAccount := groupByAccount(jobs)
	a.addServed(now, byAccount, rules)
	states := mergeRareAccounts(byAccount)
	dominated := dominatedByPriorityWork(jobs)
	for _, state := range states {
		state.evaluate(rules, dominated[allTeams] || dominated[state.Team])
	}
	rankBoosted(states, rules)
	evaluated := make([]AccountState, 0, len(states))
	for _, state := range states {
		evaluated = append(evaluated, *state)
	}
	return evaluated
}

// groupByAccount returns the jobs by account, and clears what an earlier evaluation set in them.
func groupByAccount(jobs []Job) map[Account]*AccountState {
	states := map[Account]*AccountState{}
	for i := range jobs {
		job := &jobs[i]
		job.Boost, job.Protected, job.BoostRank = NoBoost, false, 0
		state := states[job.Account]
		if state == nil {
			state = &AccountState{Account: job.Account}
			states[job.Account] = state
		}
		state.jobs = append(state.jobs, job)
	}
	return states
}

// addServed sets Served of the accounts with jobs to their decayed sums, and deletes the sums of
// other accounts that are below negligibleServed.
func (a *Accounting) addServed(now float64, states map[Account]*AccountState, rules *Rules) {
	for account, sum := range a.accounts {
		served := sum.valueAt(now, rules.DecayTime)
		if state := states[account]; state != nil {
			state.Served = served
		} else if served < negligibleServed {
			delete(a.accounts, account)
		}
	}
}

// An account with fewer than rareAccountJobs served and unfinished jobs is rare. Up to
// maxRareAccounts rare accounts of a team are evaluated separately.
const (
	rareAccountJobs = 4
	maxRareAccounts = 8
)

// mergeRareAccounts returns the accounts sorted by team and class. If a team has more than
// maxRareAccounts rare accounts, all of them are merged into one account with an empty class.
//
// Guards against a team that uses very many class names, each for a single job: every such job would
// be the only one of an account without served jobs, so each would be boosted as soon as it is
// overdue. The merged account is evaluated like any other.
func mergeRareAccounts(byAccount map[Account]*AccountState) []*AccountState {
	var states []*AccountState
	rareByTeam := map[string][]*AccountState{}
	for _, state := range byAccount {
		if state.Served+float64(len(state.jobs)) < rareAccountJobs {
			rareByTeam[state.Team] = append(rareByTeam[state.Team], state)
		} else {
			states = append(states, state)
		}
	}
	for team, rare := range rareByTeam {
		if len(rare) <= maxRareAccounts {
			states = append(states, rare...)
		} else {
			states = append(states, merge(team, rare))
		}
	}
	slices.SortFunc(states, compareAccounts)
	return states
}

// merge sorts the accounts first, so that rounding is the same every time.
func merge(team string, states []*AccountState) *AccountState {
	slices.SortFunc(states, compareAccounts)
	merged := &AccountState{Account: Account{Team: team}}
	for _, state := range states {
		merged.Served += state.Served
		merged.jobs = append(merged.jobs, state.jobs...)
	}
	return merged
}

func compareAccounts(x, y *AccountState) int { return x.compare(y.Account) }

// allTeams is the map key for all teams together.
const allTeams = ""

// dominatedByPriorityWork reports for each team, and for allTeams, whether jobs that outrank a
// boost use more than half of the CPUs in use.
//
// Guards against delaying urgent work that uses little: a class of low urgency that demands many
// times its team's quota remains below its share even if all urgent work ranks behind it.
func dominatedByPriorityWork(jobs []Job) map[string]bool {
	priorityCPUs, allCPUs := map[string]float64{}, map[string]float64{}
	for i := range jobs {
		job := &jobs[i]
		for _, team := range [...]string{allTeams, job.Team} {
			allCPUs[team] += job.CPUsInUse
			if job.OutranksBoost {
				priorityCPUs[team] += job.CPUsInUse
			}
		}
	}
	dominated := map[string]bool{}
	for team, cpus := range priorityCPUs {
		dominated[team] = cpus > allCPUs[team]/2
	}
	return dominated
}
