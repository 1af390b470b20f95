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

// jobStream is jobs of one class that are submitted again and again.
type jobStream struct {
	team, class, urgency string
	interval             time.Duration
	tasks                int
	cpus, runSeconds     float64
	customize            func(*protocol.Job) // nil: nothing
}

// The work of team red, whose limit is 24 CPUs: photos and alerts want 22 of them, and
// the reports, which rank last, 4.8.
func photoJobs() jobStream {
	return jobStream{team: "red", class: "photos", urgency: protocol.UrgencyNormal, interval: 6 * second, tasks: 12, cpus: 1, runSeconds: 10}
}

func alertJobs() jobStream {
	return jobStream{team: "red", class: "alerts", urgency: protocol.UrgencyHigh, interval: 8 * second, tasks: 2, cpus: 1, runSeconds: 8}
}

func reportJobs() jobStream {
	return jobStream{team: "red", class: "reports", urgency: protocol.UrgencyLow, interval: 40 * second, tasks: 4, cpus: 4, runSeconds: 12}
}

// startContended begins a scenario on twelve machines in which the streams submit jobs until a time.
func startContended(t testing.TB, seed uint64, until time.Duration, policy func(*config.Policy), set config.Settings, streams ...jobStream) *scenario {
	t.Helper()
	w := simulation.NewWithSettings(seed, set, simulation.MachineTypes())
	w.Policy.OverdueLeases = 2.5 // a day of minutes shows as much as one of hours
	if policy != nil {
		policy(&w.Policy)
	}
	for _, n := range w.Nodes {
		n.Start() // with this policy
	}
	s := &scenario{Cluster: w, t: t}
	for _, zone := range []string{"a", "b"} {
		for range 6 {
			s.Cloud.AddRunning("box", zone, false)
		}
	}
	for _, stream := range streams {
		s.submitBetween(stream, 5*second, until)
	}
	return s
}

// submitBetween submits the jobs of a stream from one time on until another.
func (s *scenario) submitBetween(stream jobStream, from, until time.Duration) {
	for at := from; at < until; at += stream.interval {
		s.At(at, func() { s.submitFrom(stream) })
	}
}

// submitFrom submits one job of a stream.
func (s *scenario) submitFrom(stream jobStream) *simulation.Job {
	spec := simulation.Array(stream.tasks)
	spec.Team, spec.Class, spec.Urgency = stream.team, stream.class, stream.urgency
	spec.CPUs, spec.EstimateS = stream.cpus, stream.runSeconds
	spec.Image = "img-" + stream.class
	if stream.customize != nil {
		stream.customize(&spec)
	}
	return s.Users.Submit(spec, stream.runSeconds)
}

// overdueAfter is after how long an account is overdue.
func (s *scenario) overdueAfter() time.Duration {
	return config.Seconds(s.Policy.OverdueLeases * s.Settings.Site.Workers.LeaseS)
}

// checkFairShare fails if less than half is done of the jobs of a class that came at least two
// patiences ago, where there was room for that in so many CPUs of each team's limit.
func (s *scenario) checkFairShare(limit float64) {
	s.t.Helper()
	s.requireInvariants()
	until := s.Now - 2*s.overdueAfter()
	capacity := map[string]float64{}
	for _, t := range s.Settings.Site.Teams {
		capacity[t.Name] = limit * until.Seconds()
	}
	broken, judged := s.Users.UnderservedClasses(until, capacity)
	if judged == 0 {
		s.t.Fatal("half for all was not possible: the scenario shows nothing")
	}
	for _, a := range broken {
		x := s.Users.ClassProgress(until)[a]
		s.t.Fatalf("%s of %s: %d of %d done, %d started\n%s", a.Class, a.Team, x.Done, x.Jobs, x.Started, s.lastLogs(*logLines))
	}
}

// classShare is how much is done of a class of team red, of what came at least two patiences ago.
func (s *scenario) classShare(class string) *simulation.ClassProgress {
	s.t.Helper()
	share := s.Users.ClassProgress(s.Now - 2*s.overdueAfter())[fairshare.Account{Team: "red", Class: class}]
	if share == nil {
		s.t.Fatalf("no job of %s", class)
	}
	return share
}

// checkHalfServed fails if less than half of a class of team red is done.
func (s *scenario) checkHalfServed(class string) {
	s.t.Helper()
	if share := s.classShare(class); 2*share.Done < share.Jobs {
		s.t.Fatalf("%s: %d of %d are done, %d started\n%s", class, share.Done, share.Jobs, share.Started, s.lastLogs(*logLines))
	}
}

// A class whose team's limit is taken by the team's other work is half served, and urgent work
// keeps its place; without fair share it is not.
func TestFairShareUnderTeamQuota(t *testing.T) {
	t.Parallel()
	const day = 400 * second
	none := func(p *config.Policy) { p.FairShare = 0 }
	for _, policy := range []func(*config.Policy){none, nil} {
		s := startContended(t, 501, day, policy, simulation.Settings(3), photoJobs(), alertJobs(), reportJobs())
		s.Run(day)
		reports := s.classShare("reports")
		if policy == nil {
			s.checkFairShare(18)
			if alerts := s.classShare("alerts"); alerts.Done < alerts.Jobs {
				t.Errorf("%d of %d alerts are done", alerts.Done, alerts.Jobs)
			}
		} else if 2*reports.Done >= reports.Jobs {
			t.Errorf("the scenario shows nothing: without fair share %d of %d reports are done", reports.Done, reports.Jobs)
		}
	}
}

// A leader that crashes every quarter of a minute does not lose the accounts: what was served is in
// the jobs' own records.
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
	// A failover stands still near a limit, so half for all is not possible.
	reports, photos := s.classShare("reports"), s.classShare("photos")
	if photos.Done == 0 || 2*reports.Done*photos.Jobs < photos.Done*reports.Jobs {
		t.Errorf("%d of %d reports, but %d of %d photos are done", reports.Done, reports.Jobs, photos.Done, photos.Jobs)
	}
}

// A limit that binds for long: what was served long ago is no credit for ever.
func TestFairShareUnderPersistentQuota(t *testing.T) {
	t.Parallel()
	const day = 24 * time.Minute
	s := startContended(t, 503, day, nil, simulation.Settings(3), reportJobs())
	// For six minutes the reports are alone, and all served; then the rest comes.
	for _, stream := range []jobStream{photoJobs(), alertJobs()} {
		s.submitBetween(stream, 6*time.Minute, day)
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
	for _, stream := range []jobStream{photoJobs(), alertJobs(), reportJobs()} {
		for k := range 6 * int(60*second/stream.interval) {
			s.At(60*second+time.Duration(k)*stream.interval/6, func() { s.submitFrom(stream) })
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
		streams = append(streams,
			jobStream{team: team, class: "photos", urgency: protocol.UrgencyNormal, interval: 24 * second, tasks: 8, cpus: 1, runSeconds: 10},
			jobStream{team: team, class: "alerts", urgency: protocol.UrgencyHigh, interval: 30 * second, tasks: 2, cpus: 1, runSeconds: 6},
			jobStream{team: team, class: "reports", urgency: protocol.UrgencyLow, interval: 60 * second, tasks: 3, cpus: 2, runSeconds: 10})
	}
	s := startContended(t, 505, day, nil, set, streams...)
	s.Run(day)
	s.checkFairShare(3)
}

// What can't be served takes no share, and what can is served beside it: jobs that fail wherever
// they run, those whose only zone is partitioned, whose only machine type is sold out, and services
// that never end.
func TestFairShareBesideUnservableJobs(t *testing.T) {
	t.Parallel()
	const day = 360 * second
	unservable := jobStream{team: "red", class: "unservable", urgency: protocol.UrgencyLow, interval: 30 * second, tasks: 4, cpus: 4, runSeconds: 12}
	for name, disturb := range map[string]func(*scenario){
		"fails everywhere": func(s *scenario) {
			s.Cloud.Capacity["barn"] = 0 // where two machines hold all, each failure would count for much
			for at := 5 * second; at < day; at += unservable.interval {
				s.At(at, func() { s.submitFrom(unservable).FailsEverywhere = true })
			}
		},
		"zone cut off": func(s *scenario) {
			s.At(second, func() { s.PartitionZone("b", "", false) })
			inZone := unservable
			inZone.customize = func(spec *protocol.Job) { spec.Zone = "b" }
			s.submitBetween(inZone, 5*second, day)
		},
		"type not to be had": func(s *scenario) {
			s.Cloud.Capacity["barn"] = 0
			ofType := unservable
			ofType.customize = func(spec *protocol.Job) { spec.MachineTypes = []string{"barn"} }
			s.submitBetween(ofType, 5*second, day)
		},
		"services": func(s *scenario) {
			service := jobStream{team: "red", class: "gateway", urgency: protocol.UrgencyNormal, tasks: 6, cpus: 1}
			service.customize = func(spec *protocol.Job) { spec.Kind = protocol.KindService }
			s.At(5*second, func() { s.submitFrom(service) })
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

// Tasks of four CPUs, and a gang that needs half of a limit, or of the machines that there are, at
// once, where each CPU that gets free would go to a task of one.
func TestFairShareForLargeTasksAndGangs(t *testing.T) {
	t.Parallel()
	large := jobStream{team: "red", class: "large", urgency: protocol.UrgencyLow, interval: 50 * second, tasks: 1, cpus: 4, runSeconds: 15}
	gang := func(tasks int) jobStream {
		return jobStream{team: "red", class: "gangs", urgency: protocol.UrgencyLow, interval: 30 * second, tasks: tasks, cpus: 1, runSeconds: 10,
			customize: func(spec *protocol.Job) { spec.Kind = protocol.KindGang }}
	}
	for _, c := range []contention{
		{"machines are full", large, 60, 7, 3, 4 * second},
		{"machines are full", gang(14), 60, 7, 3, 4 * second},
		{"the limit binds", large, 5, 4, 1, 7 * second},
		{"the limit binds", gang(8), 16, 8, 1, 3 * second / 2},
	} {
		for _, share := range []float64{0, config.DefaultPolicy().FairShare} {
			s := c.simulate(t, share)
			if served := s.classShare(c.large.class); share > 0 {
				s.checkHalfServed(c.large.class)
			} else if 2*served.Done >= served.Jobs {
				t.Errorf("%s: the scenario shows nothing: without fair share %d of %d %s are done", c.name, served.Done, served.Jobs, c.large.class)
			}
		}
	}
}

// contention is large jobs beside small ones of the same team that come all the time.
type contention struct {
	name     string
	large    jobStream
	limit    float64 // CPUs of the team
	machines int
	small    int           // tasks of a small job
	interval time.Duration // between the small jobs of a stream
}

// simulate plays five minutes of it with a fair share.
func (c *contention) simulate(t *testing.T, share float64) *scenario {
	t.Helper()
	const day = 300 * second
	set := simulation.Settings(3)
	set.Site.Teams = []config.Team{{Name: "red", CPUsMax: c.limit}}
	streams := []jobStream{c.large}
	for i := range 4 { // some at a time, that end one by one
		streams = append(streams, jobStream{team: "red", class: "photos", urgency: protocol.UrgencyNormal,
			interval: c.interval * time.Duration(20+i) / 20, tasks: c.small, cpus: 1, runSeconds: float64(9 + i)})
	}
	s := startContended(t, 507, day, func(p *config.Policy) {
		p.FairShare = share
		p.LargestStartS = 0 // it starts one of these large tasks early, with or without fair share
		p.IdleBoots = 1000  // machines with room are there, as where other teams need them
	}, set, streams...)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = c.machines, 0
	s.Run(day)
	s.requireInvariants()
	return s
}

// Classes that are each used once count as one account like any other: together they take no more
// than its share, and what recurs is served.
func TestFairShareWithManySingleUseClasses(t *testing.T) {
	t.Parallel()
	const day = 360 * second
	s := startContended(t, 509, day, nil, simulation.Settings(3), photoJobs(), alertJobs(), reportJobs())
	for k := range 80 {
		s.At(time.Duration(10+4*k)*second, func() {
			s.submitFrom(jobStream{team: "red", class: fmt.Sprintf("once-%d", k), urgency: protocol.UrgencyLow, tasks: 2, cpus: 1, runSeconds: 10})
		})
	}
	s.Run(day)
	s.requireInvariants()
	for _, class := range []string{"photos", "alerts", "reports"} {
		s.checkHalfServed(class)
	}
}

// A job that waits because quota is reserved for another class says so.
func TestFairShareReservationIsGivenAsReason(t *testing.T) {
	t.Parallel()
	const day = 300 * second
	s := startContended(t, 510, day, nil, simulation.Settings(3), photoJobs(), reportJobs())
	reasons := map[string]bool{}
	for at := 5 * second; at < day; at += 3 * second {
		s.At(at, func() {
			for _, reason := range s.Users.LastReasons() {
				reasons[reason] = true
			}
		})
	}
	s.Run(day)
	for _, want := range []string{
		"team red is at its limit, and what is free next is for reports, of which too little was served",
		"team red is at its limit",
	} {
		if !reasons[want] {
			t.Errorf("no job says %q", want)
		}
	}
}

// The largest jobs of a class begin in time although smaller ones come for ever and take all that
// gets free: one task of a job that has waited for long goes first, and is not preempted.
func TestLargestJobsStartEarly(t *testing.T) {
	small := photoJobs()
	small.interval, small.tasks = 4*second, 10 // more than the limit lets run
	s := startContended(t, 2100, 300*second, func(p *config.Policy) { p.OverdueLeases, p.LargestStartS = 5, 100 }, simulation.Settings(3), small, alertJobs())
	var large []*simulation.Job
	began := map[*simulation.Job]time.Duration{}
	for k := range 6 {
		s.At(time.Duration(30+10*k)*second, func() {
			stream := small
			stream.tasks, stream.cpus, stream.runSeconds = 60, float64(1+k%2*3), 30
			large = append(large, s.submitFrom(stream))
		})
	}
	for at := 30 * second; at < 250*second; at += second {
		s.At(at, func() {
			for _, j := range large {
				if _, ok := began[j]; !ok && j.RunningTasks() > 0 {
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
