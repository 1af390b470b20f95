package fairshare

import (
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// In hardly ten of a hundred random cases is any job boosted, so rapid runs 3000 checks instead of
// its default. The fixed seed makes it draw the same cases every time.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var testRules = Rules{MinShare: 0.5, OverdueAfter: 100, DecayTime: 800, AgingTime: 400}

// now is the wall-clock time of most evaluations, in seconds.
const now = 1000.0

func newJob(team, class string, age, startedShare, work float64) Job {
	return Job{Account: Account{team, class}, Age: age, StartedShare: startedShare, RemainingWork: work}
}

// boostedJobs returns the indices of the boosted jobs, sorted by rank.
func boostedJobs(jobs []Job) []int {
	var boosted []int
	for i := range jobs {
		if jobs[i].Boost != NoBoost {
			boosted = append(boosted, i)
		}
	}
	slices.SortFunc(boosted, func(x, y int) int { return jobs[x].BoostRank - jobs[y].BoostRank })
	return boosted
}

func recordCompleted(accounting *Accounting, account Account, count int) {
	for range count {
		accounting.RecordCompleted(account, now, &testRules)
	}
}

// newReportsAndPhotos returns four overdue jobs of one class and one of another class that is not
// overdue.
func newReportsAndPhotos() []Job {
	return []Job{
		newJob("red", "reports", 150, 0, 50),
		newJob("red", "reports", 150, 0, 10),
		newJob("red", "reports", 120, 0, 90),
		newJob("red", "reports", 130, 0, 30),
		newJob("red", "photos", 90, 0, 1),
	}
}

func TestSmallestJobsAreBoostedUpToDeficit(t *testing.T) {
	var accounting Accounting
	recordCompleted(&accounting, Account{"red", "reports"}, 1)
	jobs := newReportsAndPhotos()
	states := accounting.Evaluate(now, jobs, &testRules)
	photos, reports := states[0], states[1]
	if boosted := boostedJobs(jobs); !slices.Equal(boosted, []int{1, 3}) {
		t.Error("want jobs 1 and 3 boosted, got:", boosted)
	}
	if reports.Deficit != 1.5 || reports.Boost != BoostBelowUrgent || photos.Boost != NoBoost {
		t.Errorf("want deficit 1.5 and a boost below urgent work for reports and none for photos, got reports: %+v, photos: %+v", reports, photos)
	}
}

// One job was served and one is overdue, so the served share is exactly one half, the minimum.
func TestNoBoostAtMinimumShare(t *testing.T) {
	var accounting Accounting
	recordCompleted(&accounting, Account{"red", "reports"}, 1)
	jobs := newReportsAndPhotos()
	jobs[0].Age, jobs[1].Age, jobs[2].Age = 10, 10, 10
	if accounting.Evaluate(now, jobs, &testRules); boostedJobs(jobs) != nil {
		t.Error("want no job boosted, got:", boostedJobs(jobs))
	}
}

func TestNoBoostWhenFairShareIsOff(t *testing.T) {
	var accounting Accounting
	recordCompleted(&accounting, Account{"red", "reports"}, 1)
	rules := testRules
	rules.MinShare = 0
	jobs := newReportsAndPhotos()
	jobs[0].Age = 1e6
	if states := accounting.Evaluate(now, jobs, &rules); states != nil || boostedJobs(jobs) != nil {
		t.Errorf("want neither states nor boosted jobs, got states %+v, boosted jobs %v", states, boostedJobs(jobs))
	}
}

// A new leader reads the records of completed jobs in any order, and must compute the same sums as
// the earlier one.
func TestAccountingDecaysAndIgnoresOrder(t *testing.T) {
	var submitted []float64
	for i := range 50 {
		submitted = append(submitted, float64(i*37%800))
	}
	servedAt := func(now float64) float64 {
		var accounting Accounting
		for _, at := range submitted {
			accounting.RecordCompleted(Account{"red", "a"}, at, &testRules)
		}
		jobs := []Job{newJob("red", "a", 0, 0, 1)}
		return accounting.Evaluate(now, jobs, &testRules)[0].Served
	}
	inOrder := servedAt(800)
	rng := rand.New(rand.NewPCG(1, 1))
	rng.Shuffle(len(submitted), func(i, k int) { submitted[i], submitted[k] = submitted[k], submitted[i] })
	if shuffled := servedAt(800); math.Abs(inOrder-shuffled) > 1e-9 || inOrder > 50 || inOrder < 50/math.E {
		t.Error("served, recorded in order:", inOrder, "recorded in random order:", shuffled)
	}
	if later := servedAt(800 + testRules.DecayTime); math.Abs(later*math.E-inOrder) > 1e-9 {
		t.Error("served at first:", inOrder, "after the decay time:", later)
	}
}

// Of two underserved accounts, the one with the far smaller served share is boosted first, however
// large its jobs are. It ranks ahead of urgent work only if urgent work uses more than half of the
// CPUs in use.
func TestBoostOrderFollowsDeficit(t *testing.T) {
	var accounting Accounting
	recordCompleted(&accounting, Account{"red", "photos"}, 4)
	jobs := []Job{newJob("red", "reports", 250, 0, 1000)}
	for range 6 {
		jobs = append(jobs, newJob("red", "photos", 120, 0, 1))
	}
	accounting.Evaluate(now, jobs, &testRules)
	if boosted := boostedJobs(jobs); boosted[0] != 0 || len(boosted) != 2 || jobs[0].Boost != BoostBelowUrgent {
		t.Fatal(boosted, jobs[0])
	}
	urgent := newJob("red", "alerts", 1, 1, 1)
	urgent.OutranksBoost, urgent.CPUsInUse = true, 10
	jobs = append(jobs, urgent)
	jobs[1].CPUsInUse = 9
	if accounting.Evaluate(now, jobs, &testRules); jobs[0].Boost != BoostAboveUrgent {
		t.Error("long overdue job is not ahead of urgent work that uses most of the CPUs in use")
	}
	jobs[2].CPUsInUse = 2
	if accounting.Evaluate(now, jobs, &testRules); jobs[0].Boost != BoostBelowUrgent {
		t.Error("long overdue job is ahead of urgent work that uses less than half of the CPUs in use")
	}
}

// A boosted job stays behind urgent work until its account lacks its share even when only the jobs
// that have waited for twice Rules.OverdueAfter are counted as overdue.
func TestBoostAboveUrgentNeedsLongOverdueJobs(t *testing.T) {
	var accounting Accounting
	urgent := newJob("red", "alerts", 1, 1, 1)
	urgent.OutranksBoost, urgent.CPUsInUse = true, 10
	for _, test := range []struct {
		age  float64
		want Boost
	}{{90, NoBoost}, {110, BoostBelowUrgent}, {190, BoostBelowUrgent}, {210, BoostAboveUrgent}} {
		jobs := []Job{newJob("red", "reports", test.age, 0, 1), urgent}
		accounting.Evaluate(now, jobs, &testRules)
		if jobs[0].Boost != test.want {
			t.Errorf("job waiting for %v seconds: got boost %v, want %v", test.age, jobs[0].Boost, test.want)
		}
	}
}

func TestStartedPartsOfJobsCountAsServed(t *testing.T) {
	var accounting Accounting
	jobs := []Job{newJob("red", "reports", 150, 0.5, 1), newJob("red", "reports", 150, 0.5, 1)}
	state := accounting.Evaluate(now, jobs, &testRules)[0]
	if state.Served != 1 || state.Overdue != 1 || state.Boost != NoBoost {
		t.Errorf("want 1 job served, 1 overdue and no boost, got %+v", state)
	}
}

func TestStartedJobsOfUnderservedAccountAreProtected(t *testing.T) {
	var accounting Accounting
	jobs := []Job{
		newJob("red", "reports", 150, 1, 1),
		newJob("red", "reports", 50, 1, 1),
		newJob("red", "reports", 150, 0, 1),
	}
	accounting.Evaluate(now, jobs, &testRules)
	if !jobs[0].Protected || jobs[1].Protected || jobs[2].Protected {
		t.Errorf("want only the started overdue job protected, got %+v", jobs)
	}
	recordCompleted(&accounting, Account{"red", "reports"}, 3)
	if accounting.Evaluate(now, jobs, &testRules); jobs[0].Protected {
		t.Error("job is protected although the completed jobs alone reach the minimum share")
	}
}

// The classes of a team that are each used once are evaluated as one account, ineligible jobs do
// not count towards its deficit, and sums that have decayed below negligibleServed are deleted.
func TestRareAccountsAreMergedAndDiscarded(t *testing.T) {
	var accounting Accounting
	var jobs []Job
	for i := range 40 {
		jobs = append(jobs, newJob("red", "once-"+strconv.Itoa(i), 500, 0, float64(40-i)))
		recordCompleted(&accounting, Account{"red", "completed-" + strconv.Itoa(i)}, 1)
	}
	jobs[39].Ineligible = true
	states := accounting.Evaluate(now, jobs, &testRules)
	if boosted := boostedJobs(jobs); len(states) != 1 || len(boosted) != 20 || boosted[0] != 38 {
		t.Fatal(len(states), boosted)
	}
	accounting.Evaluate(now+5*testRules.DecayTime, jobs, &testRules)
	if len(accounting.accounts) != 0 {
		t.Error(len(accounting.accounts), "accounts are still stored after five decay times, want none")
	}
}

// checkBoosts checks that only open jobs of an underserved account are boosted, that no two boosted
// jobs have the same rank, and that they make up the account's deficit and less than one job more.
func checkBoosts(t *rapid.T, state *AccountState, jobs []Job, ranks map[int]bool) {
	boosted, open := 0.0, 0.0
	for i := range jobs {
		job := &jobs[i]
		if job.Account != state.Account {
			continue
		}
		if !job.Ineligible {
			open += 1 - job.StartedShare
		}
		if job.Boost == NoBoost {
			continue
		}
		boosted += 1 - job.StartedShare
		if job.Ineligible || job.StartedShare >= 1 || ranks[job.BoostRank] || state.Deficit == 0 {
			t.Fatalf("job %+v is boosted although it is not open, its rank is used or its account has no deficit: %+v", *job, state)
		}
		ranks[job.BoostRank] = true
	}
	if boosted < min(state.Deficit, open)-1e-9 || boosted >= state.Deficit+1 && state.Deficit > 0 {
		t.Fatalf("%v jobs are boosted for a deficit of %v", boosted, state.Deficit)
	}
}

func TestBoostsMatchDeficit(t *testing.T) {
	accounts := []Account{{"red", "a"}, {"red", "b"}, {"blue", "a"}}
	rapid.Check(t, func(t *rapid.T) {
		drawAccount := func() Account { return rapid.SampledFrom(accounts).Draw(t, "account") }
		drawInt := func(low, high int, label string) float64 {
			return float64(rapid.IntRange(low, high).Draw(t, label))
		}
		var accounting Accounting
		for range rapid.IntRange(0, 30).Draw(t, "completed") {
			accounting.RecordCompleted(drawAccount(), drawInt(0, 2000, "at"), &testRules)
		}
		jobs := make([]Job, rapid.IntRange(1, 30).Draw(t, "jobs"))
		for i := range jobs {
			account := drawAccount()
			jobs[i] = newJob(account.Team, account.Class, drawInt(0, 400, "age"), drawInt(0, 4, "quarters started")/4, drawInt(1, 100, "work"))
			jobs[i].Ineligible = rapid.IntRange(0, 5).Draw(t, "ineligible") == 5
		}
		ranks := map[int]bool{}
		states := accounting.Evaluate(2000, jobs, &testRules)
		for i := range states {
			checkBoosts(t, &states[i], jobs, ranks)
		}
	})
}
