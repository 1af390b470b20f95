// Package fairshare sees to it that no class of jobs of a team is left nearly unserved while
// others are. It is pure: what was served and what waits go in, turns come out.
//
// The ordinary order starts urgent and small work first, whatever that costs the rest. A
// team whose limit binds for long then serves nothing of its idle class for as long as
// the others have work. So each account, a class of a team, has a floor: a job that has
// waited for longer than a patience is overdue, and while less than a share of what was
// served or is overdue has been served, the account is due. It then gets a turn for so
// many jobs as are missing, the smallest first, since jobs are counted and not work.
//
// First a turn ranks behind urgent work and behind guarantees. If there is still too
// little served of what has waited for twice the patience, and most of what its team or
// the site uses is used by those, then they are what keeps it from its share, and it ranks
// before them.
//
// What was served is kept as one number per account that fades with time, made from the
// jobs' own durable records alone. So every controller reaches the same verdict, and a
// new leader begins no account anew. Weighed against this in docs/floors.md: deficit
// round robin and stride scheduling (turns whether anybody is overdue or not), a share of
// the limit that is kept (idle where nobody waits), a deadline by age (a flood of late
// jobs takes all).
package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// Account is whose jobs are counted together: a class of a team.
type Account struct{ Team, Class string }

func (a Account) compare(b Account) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
}

// Rules are the spans and the share of the promise. All spans are in seconds.
type Rules struct {
	MinShare     float64 // of what is served or overdue, 0 to 1; 0: there is no floor
	OverdueAfter float64 // a job that waits for longer is overdue
	DecayTime    float64 // what was served fades to 1/e in this time
	AgingTime    float64 // waiting this long halves a job's size within its account
}

// Boost is the verdict on a job.
type Boost int

const (
	NoBoost          Boost = iota // the ordinary order
	BoostBelowUrgent              // behind urgent work and guarantees, before all else
	BoostAboveUrgent              // before them too
)

// Job is an unfinished job.
type Job struct {
	Account
	Age           float64 // seconds since its submission
	StartedShare  float64 // the share of its tasks that is under way or done, 0 to 1
	RemainingWork float64 // what is left of it: CPUs (GPUs) × predicted duration × tasks
	CPUsInUse     float64 // CPUs that its tasks under way take
	OutranksBoost bool    // it ranks before turns: it is urgent, or guaranteed
	Ineligible    bool    // nothing that it could be given would serve it, so it is owed nothing

	// Filled in by Judge.
	Boost     Boost
	Protected bool // what is under way of it is needed for the share, and is not to be stopped for others
	BoostRank int  // among the jobs that have a turn, from 0

	agedWork     float64 // Work, that waiting shrinks
	deficitLevel int     // of its account
}

// Accounting counts what was served. The zero value is ready.
type Accounting struct {
	accounts map[Account]*decayingSum
}

// decayingSum is a sum of jobs that are done, each worth 1 when it was submitted and fading
// from then on.
type decayingSum struct{ value, updatedAt float64 }

func (s *decayingSum) valueAt(at, memory float64) float64 {
	return s.value * math.Exp(-(at-s.updatedAt)/memory)
}

// negligible is the least weight that is remembered: names that never come back would pile
// up otherwise.
const negligible = 1.0 / 64

// RecordCompleted counts a job that is done, by the time of day of its submission, in seconds. The
// order of the calls makes no difference but for rounding.
func (b *Accounting) RecordCompleted(a Account, at float64, r *Rules) {
	if b.accounts == nil {
		b.accounts = map[Account]*decayingSum{}
	}
	s := b.accounts[a]
	if s == nil {
		s = &decayingSum{updatedAt: at}
		b.accounts[a] = s
	}
	if at > s.updatedAt {
		s.value, s.updatedAt = s.valueAt(at, r.DecayTime), at
	}
	s.value += math.Exp(-(s.updatedAt - at) / r.DecayTime)
}

// AccountState is how an account stands.
type AccountState struct {
	Account
	Served      float64 // jobs done, faded, and the parts under way of the others
	Overdue     float64 // the parts of jobs that wait for longer than the patience,
	LongOverdue float64 // and for longer than twice the patience
	Boost       Boost
	Deficit     float64 // so many jobs are missing to the share

	jobs    []*Job
	boosted []*Job // that have a turn
}

// ServedShare is the share that was served of what is served or overdue, 1 where nothing is.
func (s *AccountState) ServedShare() float64 {
	if s.Served+s.Overdue == 0 {
		return 1
	}
	return s.Served / (s.Served + s.Overdue)
}

// rareJobs is how many jobs a name needs to be told apart where a team has many names, and
// names how many of those with fewer are.
//
// Guards against a flood of names that are each used once: every job would be the only
// one of its account, none of which is served, and all of them would have a turn, oldest
// or not. Together they are one account like any other.
const (
	rareJobs        = 4
	maxRareAccounts = 8
)

// Evaluate fills in the turn and the rank of each job. The jobs are those that are not over;
// now is the time of day in seconds. It returns the accounts that have jobs, sorted.
func (b *Accounting) Evaluate(now float64, jobs []Job, r *Rules) []AccountState {
	states := map[Account]*AccountState{}
	if r.MinShare <= 0 {
		return nil
	}
	at := func(a Account) *AccountState {
		s := states[a]
		if s == nil {
			s = &AccountState{Account: a}
			states[a] = s
		}
		return s
	}
	for i := range jobs {
		j := &jobs[i]
		j.Boost, j.Protected, j.BoostRank = NoBoost, false, 0
		s := at(j.Account)
		s.jobs = append(s.jobs, j)
	}
	for a, x := range b.accounts {
		w := x.valueAt(now, r.DecayTime)
		if w < negligible && states[a] == nil {
			delete(b.accounts, a)
		} else if s := states[a]; s != nil {
			s.Served = w
		}
	}
	all := mergeRareAccounts(states)
	led := dominatedByPriorityWork(jobs)
	for _, s := range all {
		s.evaluate(r, led[""] || led[s.Team])
	}
	rankBoosted(all, r)
	out := make([]AccountState, 0, len(all))
	for _, s := range all {
		out = append(out, *s)
	}
	return out
}

// mergeRareAccounts puts the names of a team that has too many rare ones into one account.
func mergeRareAccounts(states map[Account]*AccountState) []*AccountState {
	var all []*AccountState
	few := map[string][]*AccountState{}
	for _, s := range states {
		if s.Served+float64(len(s.jobs)) < rareJobs {
			few[s.Team] = append(few[s.Team], s)
		} else {
			all = append(all, s)
		}
	}
	for team, list := range few {
		if len(list) <= maxRareAccounts {
			all = append(all, list...)
			continue
		}
		slices.SortFunc(list, func(x, y *AccountState) int { return x.compare(y.Account) }) // sums come out the same every time
		one := &AccountState{Account: Account{Team: team}}
		for _, s := range list {
			one.Served += s.Served
			one.jobs = append(one.jobs, s.jobs...)
		}
		all = append(all, one)
	}
	slices.SortFunc(all, func(x, y *AccountState) int { return x.compare(y.Account) })
	return all
}

// dominatedByPriorityWork tells of which teams, and under the empty name whether of the site, more than
// half of what is used is used by work that ranks before turns.
//
// Guards against urgent work that waits although it takes little: an idle class that
// wants many times its team's limit stays short of its share whatever ranks behind it.
func dominatedByPriorityWork(jobs []Job) map[string]bool {
	first, all := map[string]float64{}, map[string]float64{}
	for i := range jobs {
		j := &jobs[i]
		for _, who := range []string{"", j.Team} {
			all[who] += j.CPUsInUse
			if j.OutranksBoost {
				first[who] += j.CPUsInUse
			}
		}
	}
	out := map[string]bool{}
	for who, x := range first {
		out[who] = x > all[who]/2
	}
	return out
}

func (s *AccountState) evaluate(r *Rules, pressed bool) {
	var open []*Job
	done := s.Served
	for _, j := range s.jobs {
		s.Served += j.StartedShare
		if j.Ineligible || j.StartedShare >= 1 {
			continue
		}
		open = append(open, j)
		if j.Age > r.OverdueAfter {
			s.Overdue += 1 - j.StartedShare
		}
		if j.Age > 2*r.OverdueAfter {
			s.LongOverdue += 1 - j.StartedShare
		}
	}
	// Guards against turns in vain: the tasks of a class that was short were started, and
	// stopped for urgent work after a moment, again and again, so that none of its jobs was
	// ever done.
	if done < r.MinShare*(s.Served+s.Overdue) {
		for _, j := range s.jobs {
			j.Protected = j.Age > r.OverdueAfter && j.StartedShare > 0
		}
	}
	owed := func(waits float64) float64 { return r.MinShare*(s.Served+waits) - s.Served }
	if s.Deficit = max(owed(s.Overdue), 0); s.Deficit == 0 {
		return
	}
	s.Boost = BoostBelowUrgent
	if pressed && owed(s.LongOverdue) > 0 {
		s.Boost = BoostAboveUrgent
	}
	for _, j := range open {
		j.agedWork = j.RemainingWork / (1 + j.Age/r.AgingTime)
	}
	slices.SortStableFunc(open, func(x, y *Job) int { return cmp.Compare(x.agedWork, y.agedWork) })
	left := s.Deficit
	for _, j := range open {
		if left <= 0 {
			break
		}
		j.Boost = s.Boost
		left -= 1 - j.StartedShare
		s.boosted = append(s.boosted, j)
	}
}

// deficitLevel tells how far an account is from its share: 0 within a factor of two, 1 within
// the next, and so on.
func (s *AccountState) deficitLevel(r *Rules) int {
	return int(min(max(math.Log2(r.MinShare/max(s.ServedShare(), 1e-9)), 0), maxDeficitLevel))
}

// maxDeficitLevel is how many of them are told apart.
const maxDeficitLevel = 4

// rankBoosted ranks all jobs that have a turn: those of accounts that had less than half of the
// share of others first, then the smallest.
//
// Guards against the account with the largest jobs being the last again: among accounts
// that are all due, by size alone photos of one CPU went before reports of four until they
// had their whole share.
func rankBoosted(all []*AccountState, r *Rules) {
	var turns []*Job
	for _, s := range all {
		for _, j := range s.boosted {
			j.deficitLevel = s.deficitLevel(r)
			turns = append(turns, j)
		}
	}
	slices.SortStableFunc(turns, func(x, y *Job) int {
		return cmp.Or(cmp.Compare(y.deficitLevel, x.deficitLevel), cmp.Compare(x.agedWork, y.agedWork))
	})
	for i, j := range turns {
		j.BoostRank = i
	}
}
