// Package fairshare keeps every account, a class of jobs of one team, from being starved while
// others are served.
//
// The ordinary order starts urgent and small work first, whatever that costs the rest. A team
// whose quota binds for long then serves nothing of its idle class for as long as its other
// classes have work. So each account is owed a minimum share, counted in jobs: a job that has
// waited for longer than Rules.OverdueAfter is overdue, and an account is underserved while
// less than Rules.MinShare of what was served or is overdue has been served. As many of its
// jobs as are missing to that share, its deficit, then get a boost in the ranking, the smallest
// first, since jobs are counted and not work.
//
// At first a boosted job ranks behind urgent work and behind guarantees. If the account still
// lacks its share of what has waited for twice as long, and most of what its team or the site
// uses is used by such work, then that work is what keeps it from its share, and the boost
// takes it ahead.
//
// # What it owns
//
// The accounting of served jobs, and the rules by which an account is underserved and its jobs
// are boosted. It is pure: no clock, input or output. It must not know machines, quotas or how
// the boost changes a job's place in the queue; the caller says what waits, what is under way
// and what outranks a boost.
//
// # Invariants
//
// What was served is one number for each account that decays with time, made from the jobs'
// own durable records alone and in whatever order they are read. So every controller reaches
// the same result, and after a failover no account starts anew. No account that has its share
// is boosted; one that lacks it has boosts for its deficit and less than one job more.
//
// Rejected alternatives are in docs/fair-share.md: deficit round robin and stride scheduling
// (boosts whether any job is overdue or not), a reserved share of the quota (idle where nobody
// waits), a deadline by age (a flood of late jobs takes everything).
package fairshare

import "cmp"

// Account identifies the jobs that are counted together: a class of a team.
type Account struct{ Team, Class string }

func (a Account) compare(b Account) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
}

// Rules are the operators' choices. All times are in seconds.
type Rules struct {
	MinShare     float64 // of the jobs served or overdue, 0 to 1; 0 turns fair share off
	OverdueAfter float64 // a job that waits for longer is overdue
	DecayTime    float64 // in which the weight of a served job falls to 1/e
	AgingTime    float64 // in which waiting halves a job's size, as it counts within its account
}

// Boost is how far a job is moved up in the ranking.
type Boost int

// The boosts, weakest first.
const (
	NoBoost          Boost = iota // the ordinary order
	BoostBelowUrgent              // behind urgent work and guarantees, ahead of everything else
	BoostAboveUrgent              // ahead of urgent work and guarantees, too
)

// Job is an unfinished job.
type Job struct {
	Account
	Age           float64 // seconds since its submission
	StartedShare  float64 // share of its tasks that is under way or done, 0 to 1
	RemainingWork float64 // CPUs or GPUs, times predicted duration, times tasks
	CPUsInUse     float64 // by its tasks under way
	OutranksBoost bool    // it is urgent or guaranteed, so BoostBelowUrgent stays behind it
	Ineligible    bool    // no resources would serve it, so no share is owed to it

	// Set by Accounting.Evaluate.
	Boost     Boost
	BoostRank int  // among all boosted jobs, from 0
	Protected bool // its tasks under way are needed for the share and must not be preempted

	agedWork     float64 // RemainingWork, which waiting makes smaller
	deficitLevel int     // of its account
}

// unstartedShare is how much of the job waits, as a part of one job.
func (j *Job) unstartedShare() float64 { return 1 - j.StartedShare }

// isOpen reports whether part of the job waits and could be served.
func (j *Job) isOpen() bool { return !j.Ineligible && j.StartedShare < 1 }
