package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// jobStream is jobs of one class that come again and again.
type jobStream struct {
	team, class, urgency string
	interval             time.Duration
	tasks                int
	cpus, runSeconds     float64
	customize            func(*protocol.Job)
}

// The work of team red, whose limit is 24 CPUs: photos and alerts want 22 of them, and
// the reports, which rank last, 4.8.
func photoJobs() jobStream {
	return jobStream{"red", "photos", protocol.UrgencyNormal, 6 * second, 12, 1, 10, nil}
}
func alertJobs() jobStream {
	return jobStream{"red", "alerts", protocol.UrgencyHigh, 8 * second, 2, 1, 8, nil}
}
func reportJobs() jobStream {
	return jobStream{"red", "reports", protocol.UrgencyLow, 40 * second, 4, 4, 12, nil}
}

// startContended begins a story of three controllers in which work comes for a while.
func startContended(t testing.TB, seed uint64, till time.Duration, policy func(*config.Policy), set config.Settings, streams ...jobStream) *scenario {
	t.Helper()
	w := simulation.Build(seed, set, simulation.Types())
	w.Policy.FloorLeases = 2.5 // a day of minutes shows as much as one of hours
	if policy != nil {
		policy(&w.Policy)
	}
	for _, n := range w.Nodes {
		n.Start() // with these choices
	}
	s := &scenario{World: w, t: t}
	for _, zone := range []string{"a", "b"} {
		for range 6 {
			s.Cloud.Add("box", zone, false)
		}
	}
	for _, x := range streams {
		for at := 5 * second; at < till; at += x.interval {
			s.At(at, func() { s.submitFrom(x) })
		}
	}
	return s
}

func (s *scenario) submitFrom(x jobStream) *simulation.Job {
	spec := simulation.Array(x.tasks)
	spec.Team, spec.Class, spec.Urgency, spec.CPUs, spec.EstimateS = x.team, x.class, x.urgency, x.cpus, x.runSeconds
	spec.Image = "img-" + x.class
	if x.customize != nil {
		x.customize(&spec)
	}
	return s.Users.Submit(spec, x.runSeconds)
}

// patience is after how long a job is overdue.
func (s *scenario) patience() time.Duration {
	return config.Seconds(s.Policy.FloorLeases * s.Set.Site.Workers.LeaseS)
}

// checkFairShare fails if a class is less than half done of what came at least two patiences
// ago, where there was room for that in so much of the team's limit.
func (s *scenario) checkFairShare(limit float64) {
	s.t.Helper()
	s.requireInvariants()
	until := s.Now - 2*s.patience()
	capacity := map[string]float64{}
	for _, t := range s.Set.Site.Teams {
		capacity[t.Name] = limit * until.Seconds()
	}
	broken, judged := s.Users.FloorsBroken(until, capacity)
	if judged == 0 {
		s.t.Fatal("half for all was not possible: the story shows nothing")
	}
	for _, a := range broken {
		x := s.Users.Shares(until)[a]
		s.t.Fatalf("%s of %s: %d of %d done, %d started\n%s", a.Class, a.Team, x.Done, x.Jobs, x.Started, s.lastLogs(*logLines))
	}
}

func (s *scenario) classShare(team, class string) *simulation.Share {
	s.t.Helper()
	x := s.Users.Shares(s.Now - 2*s.patience())[fairshare.Account{Team: team, Class: class}]
	if x == nil {
		s.t.Fatalf("no job of %s", class)
	}
	return x
}

// checkHalfServed fails if less than half of a class of team red is done.
func (s *scenario) checkHalfServed(class string) {
	s.t.Helper()
	if x := s.classShare("red", class); 2*x.Done < x.Jobs {
		s.t.Fatalf("%s: %d of %d are done, %d started\n%s", class, x.Done, x.Jobs, x.Started, s.lastLogs(*logLines))
	}
}

// An idle class whose team's limit is taken by the team's other work is half served, and
// urgent work keeps its place; without the floor it was not served at all.
func TestFairShareUnderTeamQuota(t *testing.T) {
	t.Parallel()
	const day = 400 * second
	none := func(p *config.Policy) { p.FloorShare = 0 }
	for _, policy := range []func(*config.Policy){none, nil} {
		s := startContended(t, 501, day, policy, simulation.Settings(3), photoJobs(), alertJobs(), reportJobs())
		s.Run(day)
		x := s.classShare("red", "reports")
		if policy == nil {
			s.checkFairShare(18)
			if a := s.classShare("red", "alerts"); a.Done < a.Jobs {
				t.Errorf("%d of %d alerts are done", a.Done, a.Jobs)
			}
		} else if 2*x.Done >= x.Jobs {
			t.Errorf("the story shows nothing: without a floor %d of %d reports are done", x.Done, x.Jobs)
		}
	}
}

// A leader that ends every quarter of a minute begins no accounts anew: what was served
// is in the jobs' own records.
func TestFairShareSurvivesFailovers(t *testing.T) {
	t.Parallel()
	const day = 450 * second
	s := startContended(t, 502, day, nil, simulation.Settings(3), photoJobs(), alertJobs(), reportJobs())
	for at := 30 * second; at < day; at += 15 * second {
		s.At(at, func() {
			for _, n := range s.Nodes {
				if n.Alive() && n.Core.IsLeader() {
					n.Crash(4 * second)
				}
			}
		})
	}
	s.Run(day)
	s.requireInvariants()
	// A change of leader stands still near a limit, so half for all is not possible.
	x, y := s.classShare("red", "reports"), s.classShare("red", "photos")
	if y.Done == 0 || 2*x.Done*y.Jobs < y.Done*x.Jobs {
		t.Errorf("%d of %d reports, but %d of %d photos are done", x.Done, x.Jobs, y.Done, y.Jobs)
	}
}

// A limit that binds for long: what was served long ago is no credit for ever.
func TestFairShareUnderPersistentQuota(t *testing.T) {
	t.Parallel()
	const day = 24 * time.Minute
	s := startContended(t, 503, day, nil, simulation.Settings(3), reportJobs())
	// For six minutes the reports are alone, and all served; then the rest comes.
	for _, x := range []jobStream{photoJobs(), alertJobs()} {
		for at := 6 * time.Minute; at < day; at += x.interval {
			s.At(at, func() { s.submitFrom(x) })
		}
	}
	for at := 12 * time.Minute; at <= day; at += 4 * time.Minute {
		s.Run(at)
		s.checkFairShare(18)
	}
}

// Every class comes six times as often for a minute.
func TestFairShareDuringBurst(t *testing.T) {
	t.Parallel()
	const day = 520 * second
	set := simulation.Settings(3)
	s := startContended(t, 504, 200*second, nil, set, photoJobs(), alertJobs(), reportJobs())
	for _, x := range []jobStream{photoJobs(), alertJobs(), reportJobs()} {
		for k := range 6 * int(60*second/x.interval) {
			s.At(60*second+time.Duration(k)*x.interval/6, func() { s.submitFrom(x) })
		}
	}
	s.Run(day)
	s.checkFairShare(18)
}

// Forty teams with three classes each, all at their limits.
func TestFairShareAcrossFortyTeams(t *testing.T) {
	t.Parallel()
	const day = 260 * second
	set := simulation.Settings(5)
	set.Site.Teams = nil
	var streams []jobStream
	for i := range 40 {
		team := fmt.Sprintf("team-%02d", i)
		set.Site.Teams = append(set.Site.Teams, config.Team{Name: team, CPUs: 2, CPUsMax: 4})
		for _, x := range []jobStream{{class: "photos", urgency: protocol.UrgencyNormal, interval: 24 * second, tasks: 8, cpus: 1, runSeconds: 10},
			{class: "alerts", urgency: protocol.UrgencyHigh, interval: 30 * second, tasks: 2, cpus: 1, runSeconds: 6},
			{class: "reports", urgency: protocol.UrgencyLow, interval: 60 * second, tasks: 3, cpus: 2, runSeconds: 10}} {
			x.team = team
			streams = append(streams, x)
		}
	}
	s := startContended(t, 505, day, nil, set, streams...)
	s.Run(day)
	s.checkFairShare(3)
}

// What can't be served holds no share, and what can is served beside it: jobs that fail
// wherever they run, those whose only zone is cut off, whose only type is not to be had,
// and services that never end.
func TestFairShareBesideUnservableJobs(t *testing.T) {
	t.Parallel()
	const day = 360 * second
	for name, disturb := range map[string]func(*scenario){
		"fails everywhere": func(s *scenario) {
			s.Cloud.Capacity["barn"] = 0 // where two machines hold all, each failure would count for much
			for at := 5 * second; at < day; at += 30 * second {
				s.At(at, func() {
					j := s.submitFrom(jobStream{"red", "broken", protocol.UrgencyLow, 0, 4, 4, 12, nil})
					j.Mistaken = true
				})
			}
		},
		"zone cut off": func(s *scenario) {
			s.At(second, func() { s.CutZone("b", "", false) })
			for at := 5 * second; at < day; at += 30 * second {
				s.At(at, func() {
					s.submitFrom(jobStream{"red", "far", protocol.UrgencyLow, 0, 4, 4, 12, func(j *protocol.Job) { j.Zone = "b" }})
				})
			}
		},
		"type not to be had": func(s *scenario) {
			s.Cloud.Capacity["barn"] = 0
			for at := 5 * second; at < day; at += 30 * second {
				s.At(at, func() {
					s.submitFrom(jobStream{"red", "large", protocol.UrgencyLow, 0, 4, 4, 12, func(j *protocol.Job) { j.MachineTypes = []string{"barn"} }})
				})
			}
		},
		"services": func(s *scenario) {
			s.At(5*second, func() {
				s.submitFrom(jobStream{"red", "gateway", protocol.UrgencyNormal, 0, 6, 1, 0, func(j *protocol.Job) { j.Kind, j.EstimateS = protocol.KindService, 0 }})
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startContended(t, 506, day, nil, simulation.Settings(3), photoJobs(), alertJobs(), reportJobs())
			disturb(s)
			s.Run(day)
			s.requireInvariants()
			for _, class := range []string{"photos", "alerts", "reports"} {
				s.checkHalfServed(class)
			}
		})
	}
}

// Tasks of four CPUs, and a gang that needs half of a limit, or of the machines that
// there are, at once, where each CPU that gets free would go to a task of one.
func TestFairShareForLargeTasksAndGangs(t *testing.T) {
	t.Parallel()
	const day = 300 * second
	large := jobStream{"red", "large", protocol.UrgencyLow, 50 * second, 1, 4, 15, nil}
	gang := func(n int) jobStream {
		return jobStream{"red", "gangs", protocol.UrgencyLow, 30 * second, n, 1, 10, func(j *protocol.Job) { j.Kind = protocol.KindGang }}
	}
	for _, c := range []struct {
		what  string
		limit float64
		boxes int
		small int           // tasks of a job of the others
		every time.Duration // and how often one comes
		x     jobStream
	}{{"machines are full", 60, 7, 3, 4 * second, large}, {"machines are full", 60, 7, 3, 4 * second, gang(14)},
		{"the limit binds", 5, 4, 1, 7 * second, large}, {"the limit binds", 16, 8, 1, 3 * second / 2, gang(8)}} {
		for _, share := range []float64{0, config.DefaultPolicy().FloorShare} {
			set := simulation.Settings(3)
			set.Site.Teams = []config.Team{{Name: "red", CPUsMax: c.limit}}
			streams := []jobStream{c.x}
			for i := range 4 { // some at a time, that end one by one
				streams = append(streams, jobStream{"red", "photos", protocol.UrgencyNormal,
					c.every * time.Duration(20+i) / 20, c.small, 1, float64(9 + i), nil})
			}
			s := startContended(t, 507, day, func(p *config.Policy) {
				p.FloorShare = share
				p.BeginS = 0       // it starts one of these large tasks, floor or none
				p.IdleBoots = 1000 // machines with room are there, as where other teams need them
			}, set, streams...)
			s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = c.boxes, 0
			s.Run(day)
			s.requireInvariants()
			if x := s.classShare("red", c.x.class); share > 0 {
				s.checkHalfServed(c.x.class)
			} else if 2*x.Done >= x.Jobs {
				t.Errorf("%s: the story shows nothing: without a floor %d of %d %s are done", c.what, x.Done, x.Jobs, c.x.class)
			}
		}
	}
}

// A flood of names that are each used once is one class like any other: it takes no more
// than its turns, and what recurs is served.
func TestFairShareWithManySingleUseClasses(t *testing.T) {
	t.Parallel()
	const day = 360 * second
	s := startContended(t, 509, day, nil, simulation.Settings(3), photoJobs(), alertJobs(), reportJobs())
	for k := range 80 {
		s.At(time.Duration(10+4*k)*second, func() {
			s.submitFrom(jobStream{"red", fmt.Sprintf("once-%d", k), protocol.UrgencyLow, 0, 2, 1, 10, nil})
		})
	}
	s.Run(day)
	s.requireInvariants()
	for _, class := range []string{"photos", "alerts", "reports"} {
		s.checkHalfServed(class)
	}
}

// A job that waits for its class's turn, or for another's, says so.
func TestFairShareReservationIsTheReason(t *testing.T) {
	t.Parallel()
	const day = 300 * second
	s := startContended(t, 510, day, nil, simulation.Settings(3), photoJobs(), reportJobs())
	said := map[string]bool{}
	for at := 5 * second; at < day; at += 3 * second {
		s.At(at, func() {
			for _, r := range s.Users.Reasons() {
				said[r] = true
			}
		})
	}
	s.Run(day)
	for _, want := range []string{
		"team red is at its limit, and what is free next is for reports, of which too little was served",
		"team red is at its limit",
	} {
		if !said[want] {
			t.Errorf("no job says %q", want)
		}
	}
}

// The largest jobs of a class begin in time although smaller ones come for ever and take all
// that gets free: one task of a job that has waited for long goes first, and it is kept.
func TestLargestJobsStartEarly(t *testing.T) {
	small := photoJobs()
	small.interval, small.tasks = 4*second, 10 // more than the limit lets run
	s := startContended(t, 2100, 300*second, func(p *config.Policy) { p.FloorLeases, p.BeginS = 5, 100 }, simulation.Settings(3), small, alertJobs())
	var large []*simulation.Job
	began := map[*simulation.Job]time.Duration{}
	for k := range 6 {
		s.At(time.Duration(30+10*k)*second, func() {
			x := small
			x.tasks, x.cpus, x.runSeconds = 60, float64(1+k%2*3), 30
			large = append(large, s.submitFrom(x))
		})
	}
	for at := 30 * second; at < 250*second; at += second {
		s.At(at, func() {
			for _, j := range large {
				if _, ok := began[j]; !ok && j.Running() > 0 {
					began[j] = s.Now
				}
			}
		})
	}
	s.Run(250 * second)
	s.requireInvariants()
	for k, j := range large {
		if came := time.Duration(30+10*k) * second; began[j] == 0 || began[j]-came > 100*second {
			t.Errorf("job %d of %g CPUs came at %v and began at %v", k, j.Spec.CPUs, came, began[j])
		}
	}
}
