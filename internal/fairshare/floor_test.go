package fairshare

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

var rules = Rules{Share: 0.5, Patience: 100, Memory: 800, Aging: 400}

func job(team, class string, age, part, work float64) Job {
	return Job{Account: Account{team, class}, Age: age, Part: part, Work: work}
}

// turns lists which of the jobs have a turn, in their order.
func turns(jobs []Job) []int {
	var out []int
	for i := range jobs {
		if jobs[i].Turn != None {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(x, y int) int { return jobs[x].Rank - jobs[y].Rank })
	return out
}

// So many jobs have a turn as are missing to the share, the smallest first, once some
// have waited for too long.
func TestTheSmallestHaveTheTurn(t *testing.T) {
	var b Books
	b.Done(Account{"red", "reports"}, 1000, &rules)
	jobs := []Job{job("red", "reports", 150, 0, 50), job("red", "reports", 150, 0, 10), job("red", "reports", 120, 0, 90),
		job("red", "reports", 130, 0, 30), job("red", "photos", 90, 0, 1)}
	s := b.Judge(1000, jobs, &rules)
	if got := turns(jobs); !slices.Equal(got, []int{1, 3}) || s[1].Owed != 1.5 || s[1].Turn != Behind || s[0].Turn != None {
		t.Fatal(got, s)
	}
	// Nobody is overdue, or enough was served: no turn.
	jobs[0].Age, jobs[1].Age, jobs[2].Age = 10, 10, 10
	if b.Judge(1000, jobs, &rules); turns(jobs) != nil {
		t.Fatal(turns(jobs))
	}
	off := rules
	off.Share = 0
	jobs[0].Age = 1e6
	if s := b.Judge(1000, jobs, &off); s != nil || turns(jobs) != nil {
		t.Fatal(s)
	}
}

// What was served long ago is worth little, and it makes no difference in which order a
// new leader reads of it.
func TestBooksFadeAndForgetTheOrder(t *testing.T) {
	var when []float64
	for i := range 50 {
		when = append(when, float64(i*37%800))
	}
	sum := func(now float64) float64 {
		var b Books
		for _, at := range when {
			b.Done(Account{"red", "a"}, at, &rules)
		}
		jobs := []Job{job("red", "a", 0, 0, 1)}
		return b.Judge(now, jobs, &rules)[0].Served
	}
	one := sum(800)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(when), func(i, k int) { when[i], when[k] = when[k], when[i] })
	if two := sum(800); math.Abs(one-two) > 1e-9 || one > 50 || one < 50/math.E {
		t.Error(one, two)
	}
	if later := sum(800 + rules.Memory); math.Abs(later*math.E-one) > 1e-9 {
		t.Error(one, later)
	}
}

// A class that had far less than another that is short too goes first, however large its
// jobs are; and ahead of urgent work only where that takes most of what is used.
func TestWhoGoesFirst(t *testing.T) {
	var b Books
	for range 4 {
		b.Done(Account{"red", "photos"}, 1000, &rules)
	}
	jobs := []Job{job("red", "reports", 250, 0, 1000)}
	for range 6 {
		jobs = append(jobs, job("red", "photos", 120, 0, 1))
	}
	b.Judge(1000, jobs, &rules)
	if got := turns(jobs); got[0] != 0 || len(got) != 2 || jobs[0].Turn != Behind {
		t.Fatal(got, jobs[0])
	}
	urgent := job("red", "alerts", 1, 1, 1)
	urgent.First, urgent.Using = true, 10
	jobs = append(jobs, urgent)
	jobs[1].Using = 9
	if b.Judge(1000, jobs, &rules); jobs[0].Turn != Ahead {
		t.Error("urgent work that takes most keeps its place before what is late")
	}
	jobs[2].Using = 2
	if b.Judge(1000, jobs, &rules); jobs[0].Turn != Behind {
		t.Error("urgent work that takes little has to wait")
	}
}

// What is under way of a class that is short is held, but only of jobs that waited long,
// and not once enough of the class is done.
func TestWhatIsUnderWayIsHeld(t *testing.T) {
	var b Books
	jobs := []Job{job("red", "reports", 150, 1, 1), job("red", "reports", 50, 1, 1), job("red", "reports", 150, 0, 1)}
	if b.Judge(1000, jobs, &rules); !jobs[0].Held || jobs[1].Held || jobs[2].Held {
		t.Error(jobs)
	}
	for range 3 {
		b.Done(Account{"red", "reports"}, 1000, &rules)
	}
	if b.Judge(1000, jobs, &rules); jobs[0].Held {
		t.Error("held although enough is done")
	}
}

// Names that are used once are one class together, what can't be served is owed nothing,
// and names that never come back are forgotten.
func TestNamesUsedOnce(t *testing.T) {
	var b Books
	var jobs []Job
	for i := range 40 {
		jobs = append(jobs, job("red", "once-"+strconv.Itoa(i), 500, 0, float64(40-i)))
		b.Done(Account{"red", "gone-" + strconv.Itoa(i)}, 1000, &rules)
	}
	jobs[39].Futile = true
	s := b.Judge(1000, jobs, &rules)
	if got := turns(jobs); len(s) != 1 || len(got) != 20 || got[0] != 38 {
		t.Fatal(len(s), got)
	}
	b.Judge(1000+5*rules.Memory, jobs, &rules)
	if len(b.accounts) != 0 {
		t.Error(len(b.accounts), "names are remembered for ever")
	}
}

// Whatever waits: no account that has its share has a turn, one that lacks it has enough
// of them to reach it, and nothing is owed for what can't be served.
func TestTurnsAreWhatIsOwed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Books
		accounts := []Account{{"red", "a"}, {"red", "b"}, {"blue", "a"}}
		for range rapid.IntRange(0, 30).Draw(t, "done") {
			b.Done(rapid.SampledFrom(accounts).Draw(t, "whose"), float64(rapid.IntRange(0, 2000).Draw(t, "at")), &rules)
		}
		jobs := make([]Job, rapid.IntRange(1, 30).Draw(t, "jobs"))
		for i := range jobs {
			a := rapid.SampledFrom(accounts).Draw(t, "whose")
			jobs[i] = job(a.Team, a.Class, float64(rapid.IntRange(0, 400).Draw(t, "age")), float64(rapid.IntRange(0, 4).Draw(t, "part"))/4,
				float64(rapid.IntRange(1, 100).Draw(t, "work")))
			jobs[i].Futile = rapid.IntRange(0, 5).Draw(t, "futile") == 5
		}
		ranks := map[int]bool{}
		for _, s := range b.Judge(2000, jobs, &rules) {
			gets, could := 0.0, 0.0
			for i := range jobs {
				j := &jobs[i]
				if j.Account != s.Account {
					continue
				}
				if !j.Futile {
					could += 1 - j.Part
				}
				if j.Turn == None {
					continue
				}
				gets += 1 - j.Part
				if j.Futile || j.Part >= 1 || ranks[j.Rank] || s.Owed == 0 {
					t.Fatalf("a turn for %+v of %+v", *j, s)
				}
				ranks[j.Rank] = true
			}
			if gets < min(s.Owed, could)-1e-9 || gets >= s.Owed+1 && s.Owed > 0 {
				t.Fatalf("turns for %v jobs of %v that are owed", gets, s.Owed)
			}
		}
	})
}
