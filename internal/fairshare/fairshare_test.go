package fairshare

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

var rules = Rules{MinShare: 0.5, OverdueAfter: 100, DecayTime: 800, AgingTime: 400}

func job(team, class string, age, part, work float64) Job {
	return Job{Account: Account{team, class}, Age: age, StartedShare: part, RemainingWork: work}
}

// boostedJobs lists which of the jobs have a turn, in their order.
func boostedJobs(jobs []Job) []int {
	var out []int
	for i := range jobs {
		if jobs[i].Boost != NoBoost {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(x, y int) int { return jobs[x].BoostRank - jobs[y].BoostRank })
	return out
}

// So many jobs have a turn as are missing to the share, the smallest first, once some
// have waited for too long.
func TestSmallestJobsAreBoostedUpToDeficit(t *testing.T) {
	var b Accounting
	b.RecordCompleted(Account{"red", "reports"}, 1000, &rules)
	jobs := []Job{job("red", "reports", 150, 0, 50), job("red", "reports", 150, 0, 10), job("red", "reports", 120, 0, 90),
		job("red", "reports", 130, 0, 30), job("red", "photos", 90, 0, 1)}
	s := b.Evaluate(1000, jobs, &rules)
	if got := boostedJobs(jobs); !slices.Equal(got, []int{1, 3}) || s[1].Deficit != 1.5 || s[1].Boost != BoostBelowUrgent || s[0].Boost != NoBoost {
		t.Fatal(got, s)
	}
	// Nobody is overdue, or enough was served: no turn.
	jobs[0].Age, jobs[1].Age, jobs[2].Age = 10, 10, 10
	if b.Evaluate(1000, jobs, &rules); boostedJobs(jobs) != nil {
		t.Fatal(boostedJobs(jobs))
	}
	off := rules
	off.MinShare = 0
	jobs[0].Age = 1e6
	if s := b.Evaluate(1000, jobs, &off); s != nil || boostedJobs(jobs) != nil {
		t.Fatal(s)
	}
}

// What was served long ago is worth little, and it makes no difference in which order a
// new leader reads of it.
func TestAccountingDecaysAndIgnoresOrder(t *testing.T) {
	var when []float64
	for i := range 50 {
		when = append(when, float64(i*37%800))
	}
	sum := func(now float64) float64 {
		var b Accounting
		for _, at := range when {
			b.RecordCompleted(Account{"red", "a"}, at, &rules)
		}
		jobs := []Job{job("red", "a", 0, 0, 1)}
		return b.Evaluate(now, jobs, &rules)[0].Served
	}
	one := sum(800)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(when), func(i, k int) { when[i], when[k] = when[k], when[i] })
	if two := sum(800); math.Abs(one-two) > 1e-9 || one > 50 || one < 50/math.E {
		t.Error(one, two)
	}
	if later := sum(800 + rules.DecayTime); math.Abs(later*math.E-one) > 1e-9 {
		t.Error(one, later)
	}
}

// A class that had far less than another that is short too goes first, however large its
// jobs are; and ahead of urgent work only where that takes most of what is used.
func TestBoostOrderFollowsDeficit(t *testing.T) {
	var b Accounting
	for range 4 {
		b.RecordCompleted(Account{"red", "photos"}, 1000, &rules)
	}
	jobs := []Job{job("red", "reports", 250, 0, 1000)}
	for range 6 {
		jobs = append(jobs, job("red", "photos", 120, 0, 1))
	}
	b.Evaluate(1000, jobs, &rules)
	if got := boostedJobs(jobs); got[0] != 0 || len(got) != 2 || jobs[0].Boost != BoostBelowUrgent {
		t.Fatal(got, jobs[0])
	}
	urgent := job("red", "alerts", 1, 1, 1)
	urgent.OutranksBoost, urgent.CPUsInUse = true, 10
	jobs = append(jobs, urgent)
	jobs[1].CPUsInUse = 9
	if b.Evaluate(1000, jobs, &rules); jobs[0].Boost != BoostAboveUrgent {
		t.Error("urgent work that takes most keeps its place before what is late")
	}
	jobs[2].CPUsInUse = 2
	if b.Evaluate(1000, jobs, &rules); jobs[0].Boost != BoostBelowUrgent {
		t.Error("urgent work that takes little has to wait")
	}
}

// What is under way of a class that is short is held, but only of jobs that waited long,
// and not once enough of the class is done.
func TestStartedJobsOfUnderservedAccountAreProtected(t *testing.T) {
	var b Accounting
	jobs := []Job{job("red", "reports", 150, 1, 1), job("red", "reports", 50, 1, 1), job("red", "reports", 150, 0, 1)}
	if b.Evaluate(1000, jobs, &rules); !jobs[0].Protected || jobs[1].Protected || jobs[2].Protected {
		t.Error(jobs)
	}
	for range 3 {
		b.RecordCompleted(Account{"red", "reports"}, 1000, &rules)
	}
	if b.Evaluate(1000, jobs, &rules); jobs[0].Protected {
		t.Error("held although enough is done")
	}
}

// Names that are used once are one class together, what can't be served is owed nothing,
// and names that never come back are forgotten.
func TestRareAccountsAreMergedAndForgotten(t *testing.T) {
	var b Accounting
	var jobs []Job
	for i := range 40 {
		jobs = append(jobs, job("red", "once-"+strconv.Itoa(i), 500, 0, float64(40-i)))
		b.RecordCompleted(Account{"red", "gone-" + strconv.Itoa(i)}, 1000, &rules)
	}
	jobs[39].Ineligible = true
	s := b.Evaluate(1000, jobs, &rules)
	if got := boostedJobs(jobs); len(s) != 1 || len(got) != 20 || got[0] != 38 {
		t.Fatal(len(s), got)
	}
	b.Evaluate(1000+5*rules.DecayTime, jobs, &rules)
	if len(b.accounts) != 0 {
		t.Error(len(b.accounts), "names are remembered for ever")
	}
}

// Whatever waits: no account that has its share has a turn, one that lacks it has enough
// of them to reach it, and nothing is owed for what can't be served.
func TestBoostsMatchDeficit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Accounting
		accounts := []Account{{"red", "a"}, {"red", "b"}, {"blue", "a"}}
		for range rapid.IntRange(0, 30).Draw(t, "done") {
			b.RecordCompleted(rapid.SampledFrom(accounts).Draw(t, "whose"), float64(rapid.IntRange(0, 2000).Draw(t, "at")), &rules)
		}
		jobs := make([]Job, rapid.IntRange(1, 30).Draw(t, "jobs"))
		for i := range jobs {
			a := rapid.SampledFrom(accounts).Draw(t, "whose")
			jobs[i] = job(a.Team, a.Class, float64(rapid.IntRange(0, 400).Draw(t, "age")), float64(rapid.IntRange(0, 4).Draw(t, "part"))/4,
				float64(rapid.IntRange(1, 100).Draw(t, "work")))
			jobs[i].Ineligible = rapid.IntRange(0, 5).Draw(t, "futile") == 5
		}
		ranks := map[int]bool{}
		for _, s := range b.Evaluate(2000, jobs, &rules) {
			gets, could := 0.0, 0.0
			for i := range jobs {
				j := &jobs[i]
				if j.Account != s.Account {
					continue
				}
				if !j.Ineligible {
					could += 1 - j.StartedShare
				}
				if j.Boost == NoBoost {
					continue
				}
				gets += 1 - j.StartedShare
				if j.Ineligible || j.StartedShare >= 1 || ranks[j.BoostRank] || s.Deficit == 0 {
					t.Fatalf("a turn for %+v of %+v", *j, s)
				}
				ranks[j.BoostRank] = true
			}
			if gets < min(s.Deficit, could)-1e-9 || gets >= s.Deficit+1 && s.Deficit > 0 {
				t.Fatalf("turns for %v jobs of %v that are owed", gets, s.Deficit)
			}
		}
	})
}
