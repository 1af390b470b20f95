package fairshare

import (
	"math"
	"slices"
)

// negligibleServed is the least sum that is kept for an account without jobs. Guards against names
// that never come back and would pile up otherwise.
const negligibleServed = 1.0 / 64

// decayingSum counts completed jobs, each worth 1 at its submission and decaying from then on.
type decayingSum struct{ value, updatedAt float64 }

// valueAt is the sum at a time that is not before its last update.
func (s *decayingSum) valueAt(at, decayTime float64) float64 {
	return s.value * math.Exp(-(at-s.updatedAt)/decayTime)
}

// add counts a job that was submitted at any time.
func (s *decayingSum) add(at, decayTime float64) {
	if at > s.updatedAt {
		s.value, s.updatedAt = s.valueAt(at, decayTime), at
	}
	s.value += math.Exp(-(s.updatedAt - at) / decayTime)
}

// Accounting is what each account was served. The zero value is ready.
type Accounting struct {
	accounts map[Account]*decayingSum
}

// RecordCompleted counts a completed job by the time of day of its submission, in seconds.
// The order of the calls makes no difference but for rounding.
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

// Evaluate decides which jobs are boosted and which are protected, and sets that in them. The
// jobs are all that are not over; now is the time of day in seconds. It returns the accounts
// that have jobs, sorted; none if fair share is off.
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

// groupByAccount clears what an earlier evaluation set in the jobs.
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

// addServed sets what the accounts with jobs were served, and forgets negligible sums of the
// others.
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

// An account with fewer than rareJobs jobs, served or open, is rare; a team may have
// maxRareAccounts of them that are told apart.
const (
	rareAccountJobs = 4
	maxRareAccounts = 8
)

// mergeRareAccounts lists the accounts in order, with all rare ones of a team that has too
// many merged into one of an empty class.
//
// Guards against a flood of class names that are each used once: every job would be the only
// one of its account, of which nothing is served, and each would be boosted, old or not.
// Together they are one account like any other.
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

// allTeams stands for all teams together where teams are named.
const allTeams = ""

// dominatedByPriorityWork tells of which teams, and whether of the whole site, more than half
// of the CPUs in use are used by jobs that outrank a boost.
//
// Guards against urgent work that waits although it takes little: an idle class that wants
// many times its team's quota stays short of its share whatever ranks behind it.
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
