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

// jobStream describes jobs of one class that are submitted at regular intervals.
type jobStream struct {
	team, class, urgency string
	interval             time.Duration
	tasks                int
	cpus, runSeconds     float64
	customize            func(*protocol.Job) // changes the description of each job; may be nil
}

// The streams of team red, whose limit is 24 CPUs: photos and alerts need 22 CPUs on average, and
// reports, which rank last, need 4.8.
func photoJobs() jobStream {
	return jobStream{team: "red", class: "photos", urgency: protocol.UrgencyNormal, interval: 6 * second, tasks: 12, cpus: 1, runSeconds: 10}
}

func alertJobs() jobStream {
	return jobStream{team: "red", class: "alerts", urgency: protocol.UrgencyHigh, interval: 8 * second, tasks: 2, cpus: 1, runSeconds: 8}
}

func reportJobs() jobStream {
	return jobStream{team: "red", class: "reports", urgency: protocol.UrgencyLow, interval: 40 * second, tasks: 4, cpus: 4, runSeconds: 12}
}

// startContended starts a scenario on twelve machines in which the streams submit jobs until the given
// time. policy may be nil; otherwise it changes the policy of all controllers.
func startContended(t testing.TB, seed uint64, until time.Duration, policy func(*config.Policy), settings config.Settings, streams ...jobStream) *scenario {
	t.Helper()
	cluster := simulation.NewWithSettings(seed, settings, simulation.MachineTypes())
	cluster.Policy.OverdueLeases = 2.5 // makes jobs overdue within the few minutes that are simulated
	if policy != nil {
		policy(&cluster.Policy)
	}
	for _, n := range cluster.Nodes {
		n.Start() // restarts the controller with this policy
	}
	s := &scenario{Cluster: cluster, t: t}
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

// submitBetween schedules the submissions of a stream from one time, inclusive, to another, exclusive.
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

// overdueAfter returns the waiting time after which a job counts as overdue for its account.
func (s *scenario) overdueAfter() time.Duration {
	return config.Seconds(s.Policy.OverdueLeases * s.Settings.Site.Workers.LeaseS)
}

// checkFairShare fails if less than half of a class's jobs are done, counting the jobs that were
// submitted at least twice overdueAfter ago. It checks the classes of those teams for which the given
// limit, in CPUs, would have been enough to complete half of each class.
func (s *scenario) checkFairShare(limit float64) {
	s.t.Helper()
	s.requireInvariants()
	until := s.Now - 2*s.overdueAfter()
	capacity := map[string]float64{}
	for _, team := range s.Settings.Site.Teams {
		capacity[team.Name] = limit * until.Seconds()
	}
	underserved, judged := s.Users.UnderservedClasses(until, capacity)
	if judged == 0 {
		s.t.Fatal("half of each class could not be served within the limit of any team: the scenario tests nothing")
	}
	for _, account := range underserved {
		share := s.Users.ClassProgress(until)[account]
		s.t.Fatalf("class %s of team %s: %d of %d jobs are done, %d have started\n%s", account.Class, account.Team, share.Done, share.Jobs, share.Started, s.lastLogs(*logLines))
	}
}

// classShare returns how many jobs of a class of team red are done, of those that were submitted at
// least twice overdueAfter ago.
func (s *scenario) classShare(class string) *simulation.ClassProgress {
	s.t.Helper()
	share := s.Users.ClassProgress(s.Now - 2*s.overdueAfter())[fairshare.Account{Team: "red", Class: class}]
	if share == nil {
		s.t.Fatalf("no job of class %s was submitted early enough", class)
	}
	return share
}

// checkHalfServed fails if less than half of a class's jobs of team red are done. See classShare.
func (s *scenario) checkHalfServed(class string) {
	s.t.Helper()
	if share := s.classShare(class); 2*share.Done < share.Jobs {
		s.t.Fatalf("class %s: %d of %d jobs are done, %d have started\n%s", class, share.Done, share.Jobs, share.Started, s.lastLogs(*logLines))
	}
}

// Half of the jobs of a class are served even if the team's other work takes up the team's limit, and
// urgent work keeps its precedence. Without fair share, less than half of the class is served.
func TestFairShareUnderTeamQuota(t *testing.T) {
	t.Parallel()
	const span = 400 * second
	withoutFairShare := func(p *config.Policy) { p.FairShare = 0 }
	for _, policy := range []func(*config.Policy){withoutFairShare, nil} {
		s := startContended(t, 501, span, policy, simulation.Settings(3), photoJobs(), alertJobs(), reportJobs())
		s.Run(span)
		reports := s.classShare("reports")
		if policy == nil {
			s.checkFairShare(18)
			if alerts := s.classShare("alerts"); alerts.Done < alerts.Jobs {
				t.Errorf("%d of %d alerts are done", alerts.Done, alerts.Jobs)
			}
		} else if 2*reports.Done >= reports.Jobs {
			t.Errorf("the scenario tests nothing: without fair share %d of %d reports are done", reports.Done, reports.Jobs)
		}
	}
}

// The fair-share accounts survive a leader that crashes every quarter of a minute, because they are
// computed from the jobs' own records.
func TestFairShareSurvivesFailovers(t *testing.T) {
	t.Parallel()
	const span = 450 * second
	s := startContended(t, 502, span, nil, simulation.Settings(3), photoJobs(), alertJobs(), reportJobs())
	for at := 30 * second; at < span; at += 15 * second {
		s.At(at, func() {
			for _, n := range s.Nodes {
				if n.Alive() && n.Core.IsLeader() {
					n.Crash(4 * second)
				}
			}
		})
	}
	s.Run(span)
	s.requireInvariants()
	// During a failover no task of a team near its limit starts, so the test cannot require that half of
	// every class is served.
	reports, photos := s.classShare("reports"), s.classShare("photos")
	if photos.Done == 0 || 2*reports.Done*photos.Jobs < photos.Done*reports.Jobs {
		t.Errorf("%d of %d reports are done, but %d of %d photos", reports.Done, reports.Jobs, photos.Done, photos.Jobs)
	}
}

// While a team is at its limit for a long time, the service that a class received long ago does not reduce
// its share forever.
func TestFairShareUnderPersistentQuota(t *testing.T) {
	t.Parallel()
	const span = 24 * time.Minute
	s := startContended(t, 503, span, nil, simulation.Settings(3), reportJobs())
	// For six minutes there are only reports, all of which are served. Then the other streams begin.
	for _, stream := range []jobStream{photoJobs(), alertJobs()} {
		s.submitBetween(stream, 6*time.Minute, span)
	}
	for at := 12 * time.Minute; at <= span; at += 4 * time.Minute {
		s.Run(at)
		s.checkFairShare(18)
	}
}

// Half of each class is served although the jobs of each class are submitted six times as often for one
// minute.
func TestFairShareServesHalfOfEachClassAfterBurst(t *testing.T) {
	t.Parallel()
	const span = 520 * second
	settings := simulation.Settings(3)
	s := startContended(t, 504, 200*second, nil, settings, photoJobs(), alertJobs(), reportJobs())
	for _, stream := range []jobStream{photoJobs(), alertJobs(), reportJobs()} {
		for k := range 6 * int(60*second/stream.interval) {
			s.At(60*second+time.Duration(k)*stream.interval/6, func() { s.submitFrom(stream) })
		}
	}
	s.Run(span)
	s.checkFairShare(18)
}

// Half of each class is served for forty teams with three classes each that are all at their limits.
func TestFairShareAcrossFortyTeams(t *testing.T) {
	t.Parallel()
	const span = 260 * second
	settings := simulation.Settings(5)
	settings.Site.Teams = nil
	var streams []jobStream
	for i := range 40 {
		team := fmt.Sprintf("team-%02d", i)
		settings.Site.Teams = append(settings.Site.Teams, config.Team{Name: team, CPUs: 2, CPUsMax: 4})
		streams = append(streams,
			jobStream{team: team, class: "photos", urgency: protocol.UrgencyNormal, interval: 24 * second, tasks: 8, cpus: 1, runSeconds: 10},
			jobStream{team: team, class: "alerts", urgency: protocol.UrgencyHigh, interval: 30 * second, tasks: 2, cpus: 1, runSeconds: 6},
			jobStream{team: team, class: "reports", urgency: protocol.UrgencyLow, interval: 60 * second, tasks: 3, cpus: 2, runSeconds: 10})
	}
	s := startContended(t, 505, span, nil, settings, streams...)
	s.Run(span)
	s.checkFairShare(3)
}

// Jobs that cannot be served do not reduce the share of classes that can: jobs that fail wherever they run, jobs
// whose only zone is partitioned, jobs whose only machine type is sold out, and services, which never
// end.
func TestFairShareBesideUnservableJobs(t *testing.T) {
	t.Parallel()
	const span = 360 * second
	unservable := jobStream{team: "red", class: "unservable", urgency: protocol.UrgencyLow, interval: 30 * second, tasks: 4, cpus: 4, runSeconds: 12}
	for name, disturb := range map[string]func(*scenario){
		"fails everywhere": func(s *scenario) {
			s.Cloud.Capacity["barn"] = 0 // otherwise two machines run all tasks, and each failure affects too many of them
			for at := 5 * second; at < span; at += unservable.interval {
				s.At(at, func() { s.submitFrom(unservable).FailsEverywhere = true })
			}
		},
		"zone partitioned": func(s *scenario) {
			s.At(second, func() { s.PartitionZone("b", "", false) })
			inZone := unservable
			inZone.customize = func(spec *protocol.Job) { spec.Zone = "b" }
			s.submitBetween(inZone, 5*second, span)
		},
		"machine type sold out": func(s *scenario) {
			s.Cloud.Capacity["barn"] = 0
			ofType := unservable
			ofType.customize = func(spec *protocol.Job) { spec.MachineTypes = []string{"barn"} }
			s.submitBetween(ofType, 5*second, span)
		},
		"services": func(s *scenario) {
			service := jobStream{team: "red", class: "gateway", urgency: protocol.UrgencyNormal, tasks: 6, cpus: 1}
			service.customize = func(spec *protocol.Job) { spec.Kind = protocol.KindService }
			s.At(5*second, func() { s.submitFrom(service) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startContended(t, 506, span, nil, simulation.Settings(3), photoJobs(), alertJobs(), reportJobs())
			disturb(s)
			s.Run(span)
			s.requireInvariants()
			for _, class := range []string{"photos", "alerts", "reports"} {
				s.checkHalfServed(class)
			}
		})
	}
}

// Guards against large tasks that never start because each CPU that is released goes to a task of one
// CPU. Tests tasks of four CPUs, and gangs that need half of the team's limit, or of the machines, at
// once.
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
				t.Errorf("%s: the scenario tests nothing: without fair share %d of %d %s are done", c.name, served.Done, served.Jobs, c.large.class)
			}
		}
	}
}

// contention describes large jobs that compete with a constant stream of small jobs of the same team.
type contention struct {
	name     string
	large    jobStream
	limit    float64 // CPUs of the team
	machines int
	small    int           // tasks per small job
	interval time.Duration // between two small jobs of a stream
}

// simulate runs the contention for five minutes under a policy with the given fair share.
func (c *contention) simulate(t *testing.T, share float64) *scenario {
	t.Helper()
	const span = 300 * second
	settings := simulation.Settings(3)
	settings.Site.Teams = []config.Team{{Name: "red", CPUsMax: c.limit}}
	streams := []jobStream{c.large}
	for i := range 4 { // several jobs run at a time and end one after another
		streams = append(streams, jobStream{team: "red", class: "photos", urgency: protocol.UrgencyNormal,
			interval: c.interval * time.Duration(20+i) / 20, tasks: c.small, cpus: 1, runSeconds: float64(9 + i)})
	}
	s := startContended(t, 507, span, func(p *config.Policy) {
		p.FairShare = share
		p.LargestStartS = 0 // an early start would run one of these large tasks even without fair share
		p.IdleBoots = 1000  // idle machines are kept, as they are where other teams need them
	}, settings, streams...)
	s.Cloud.Capacity["box"], s.Cloud.Capacity["barn"] = c.machines, 0
	s.Run(span)
	s.requireInvariants()
	return s
}

// All classes that are used only once count as one account. Together they take no more than the share of
// one account, and recurring classes are served.
func TestFairShareWithManySingleUseClasses(t *testing.T) {
	t.Parallel()
	const span = 360 * second
	s := startContended(t, 509, span, nil, simulation.Settings(3), photoJobs(), alertJobs(), reportJobs())
	for k := range 80 {
		s.At(time.Duration(10+4*k)*second, func() {
			s.submitFrom(jobStream{team: "red", class: fmt.Sprintf("once-%d", k), urgency: protocol.UrgencyLow, tasks: 2, cpus: 1, runSeconds: 10})
		})
	}
	s.Run(span)
	s.requireInvariants()
	for _, class := range []string{"photos", "alerts", "reports"} {
		s.checkHalfServed(class)
	}
}

// The reason of a job that waits because quota is reserved for another class names that class.
func TestFairShareReservationIsGivenAsReason(t *testing.T) {
	t.Parallel()
	const span = 300 * second
	s := startContended(t, 510, span, nil, simulation.Settings(3), photoJobs(), reportJobs())
	reasons := map[string]bool{}
	for at := 5 * second; at < span; at += 3 * second {
		s.At(at, func() {
			for _, reason := range s.Users.LastReasons() {
				reasons[reason] = true
			}
		})
	}
	s.Run(span)
	for _, want := range []string{
		"team red is at its limit, and what is free next is for reports, of which too little was served",
		"team red is at its limit",
	} {
		if !reasons[want] {
			t.Errorf("no job had the reason %q", want)
		}
	}
}

// The largest jobs of a class start in time although smaller ones keep arriving and take all capacity
// that is released: one task of a large job that has waited long enough is started first, and is not
// preempted.
func TestLargestJobsStartEarly(t *testing.T) {
	small := photoJobs()
	small.interval, small.tasks = 4*second, 10 // more than the team's limit allows to run
	s := startContended(t, 2100, 300*second, func(p *config.Policy) { p.OverdueLeases, p.LargestStartS = 5, 100 }, simulation.Settings(3), small, alertJobs())
	var large []*simulation.Job
	startedAt := map[*simulation.Job]time.Duration{}
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
				if _, ok := startedAt[j]; !ok && j.RunningTasks() > 0 {
					startedAt[j] = s.Now
				}
			}
		})
	}
	s.Run(250 * second)
	s.requireInvariants()
	for k, j := range large {
		if submittedAt := time.Duration(30+10*k) * second; startedAt[j] == 0 || startedAt[j]-submittedAt > 100*second {
			t.Errorf("job %d with tasks of %g CPUs was submitted at %v and started at %v, want a start within 100 s", k, j.Spec.CPUs, submittedAt, startedAt[j])
		}
	}
}
