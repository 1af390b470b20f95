// Package fairshare prevents the starvation of accounts. An account is a class of jobs of one team.
//
// The default order of the queue starts urgent and small jobs first. If a team is at its quota for
// a long time, no job of its least urgent class starts as long as its other classes have jobs
// waiting. Each account is therefore entitled to a minimum share, counted in jobs. A job that has
// waited for longer than Rules.OverdueAfter is overdue, and an account is underserved while less
// than Rules.MinShare of its served and overdue jobs have been served. The number of jobs by which
// it is below that share is the account's deficit. That many of its jobs are boosted in the ranking,
// the smallest first, because the share counts jobs and not the amount of work.
//
// A boosted job ranks behind urgent and guaranteed work at first. It ranks ahead of that work if two
// conditions hold: the account also lacks its share when only the jobs that have waited for twice
// Rules.OverdueAfter are counted as overdue, and urgent and guaranteed work uses more than half of
// the CPUs in use by the account's team or by all teams. That work is then what keeps the account
// below its share.
//
// # What it owns
//
// The accounting of served jobs, and the rules that decide when an account is underserved and which
// of its jobs are boosted. The package is pure: it has no clock, input or output. It must not know
// machines, quotas or how a boost changes a job's position in the queue. The caller passes which
// jobs wait, which are started and which outrank a boost.
//
// # Invariants
//
// The served jobs of an account are one number that decays with time. It is computed from the
// jobs' own durable records alone, in whatever order they are read. So every controller gets the
// same result, and a failover does not reset any account. An account that has its share gets no
// boosts. In an underserved account, the boosted jobs make up the deficit and exceed it by less
// than one job.
//
// docs/fair-share.md lists the rejected alternatives: deficit round robin and stride scheduling
// (they boost whether or not any job is overdue), a reserved share of the quota (idle while no job
// waits for it), and a deadline by age (many late jobs at once take all resources).
package fairshare

import "cmp"

// Account identifies a class of a team, whose jobs are counted together.
type Account struct{ Team, Class string }

func (a Account) compare(b Account) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.Class, b.Class))
}

// Rules are the parameters that operators choose. All times are in seconds.
type Rules struct {
	MinShare     float64 // minimum served part of the served and overdue jobs, 0 to 1; 0 turns fair share off
	OverdueAfter float64 // a job that has waited for longer than this is overdue
	DecayTime    float64 // time in which the weight of a served job falls to 1/e
	AgingTime    float64 // waiting time that halves a job's size in the choice and the order of boosted jobs
}

// Boost specifies how far a job is moved up in the ranking.
type Boost int

// The boosts, weakest first.
const (
	NoBoost          Boost = iota // the default order
	BoostBelowUrgent              // behind urgent and guaranteed work, ahead of all other work
	BoostAboveUrgent              // ahead of urgent and guaranteed work as well
)

// Job is an unfinished job, as the caller describes it for one evaluation.
type Job struct {
	Account
	Age           float64 // seconds since its submission or, if later, since its last dependency was done
	StartedShare  float64 // share of its tasks that are in flight or done, 0 to 1
	RemainingWork float64 // CPUs or GPUs of a task, times predicted seconds, times remaining tasks
	CPUsInUse     float64 // CPUs of its tasks in flight
	OutranksBoost bool    // it is urgent or guaranteed, so a job with BoostBelowUrgent ranks behind it
	Ineligible    bool    // more resources would not serve it, so it is neither counted as overdue nor boosted

	// Set by Accounting.Evaluate.
	Boost     Boost
	BoostRank int  // position among all boosted jobs, from 0
	Protected bool // its tasks in flight are needed for the minimum share and must not be preempted

	agedWork     float64 // RemainingWork, reduced with the waiting time; see Rules.AgingTime
	deficitLevel int     // deficit level of its account
}

// unstartedShare returns the share of the job's tasks that wait, 0 to 1.
func (j *Job) unstartedShare() float64 { return 1 - j.StartedShare }

// isOpen reports whether some of the job's tasks wait and the job is eligible.
func (j *Job) isOpen() bool { return !j.Ineligible && j.StartedShare < 1 }
