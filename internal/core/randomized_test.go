package core_test

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
	"pgregory.net/rapid"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// The same worlds in every run, unless others are asked for:
// go test ./internal/core -run RandomizedSimulation -rapid.checks 2000 -rapid.seed 7
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "24", "rapid.nofailfile": "true", "rapid.shrinktime": "60s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// TestRandomizedSimulation draws a deployment that nobody has shown us, work for it and a pile
// of overlapping troubles. Whatever they are, no rule is broken, requests are mostly
// answered once the troubles are over, and every accepted job comes to its end.
func TestRandomizedSimulation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := drawDeployment(rt)
		s := &scenario{World: simulation.Build(rapid.Uint64().Draw(rt, "luck"), d.settings, d.types), t: rt}
		d.drawMachines(rt, s)
		d.drawUpgrade(rt, s)
		d.drawJobs(rt, s)
		s.Users.CloseLooks = rapid.IntRange(0, 3).Draw(rt, "close looks") == 3
		s.Cloud.AtOnce = rapid.IntRange(0, 3).Draw(rt, "boots at once") == 3
		var pile []string
		for range rapid.IntRange(0, 7).Draw(rt, "troubles") {
			pile = append(pile, d.drawFault(rt, s))
		}
		drawnPairs.add(pile)
		s.Run(d.lastFaultAt)
		s.Loss, s.State.LateShare, s.Users.Calm = 0, 0, s.Now
		s.requireInvariants()
		s.Run(s.Now + 3*d.lease())
		asked, served := s.Users.Asked, s.Users.Served
		s.Run(s.Now + max(2*d.lease(), 20*second))
		if asked, served = s.Users.Asked-asked, s.Users.Served-served; asked-served > max(asked/10, 1) {
			rt.Fatalf("after all troubles %d of %d requests are answered\n%s", served, asked, s.lastLogs(*logLines))
		}
		// Users give up in the end on what runs for ever or fails everywhere.
		for _, j := range d.endlessJobs {
			if j.Refused == 0 && j.Told == "" {
				s.eventually(2*d.lease()+10*second, "a job is accepted", func() bool { return j.Told != "" || j.Refused != 0 })
			}
			if j.Refused == 0 {
				s.Users.Abort(j)
			}
		}
		in := d.completionTimeout(s)
		over := s.Until(s.Now+in, s.Users.AllTold)
		s.requireInvariants()
		if !over {
			rt.Fatalf("not over within %v: %s\n%s", in, d.unfinished(s), s.lastLogs(*logLines))
		}
	})
	t.Log(drawnPairs.String())
}

// faultPairs counts how often two troubles were drawn for one world, so that what was never tried
// is seen.
type faultPairs map[[2]string]int

var drawnPairs = faultPairs{}

func (m faultPairs) add(pile []string) {
	slices.Sort(pile)
	for i, a := range pile {
		for _, b := range pile[i+1:] {
			m[[2]string{a, b}]++
		}
	}
}

func (m faultPairs) String() string {
	var never []string
	total := 0
	for i, a := range faultKinds {
		for _, b := range faultKinds[i:] {
			if total++; m[[2]string{a, b}] == 0 {
				never = append(never, a+" + "+b)
			}
		}
	}
	return fmt.Sprintf("%d of %d meetings of two troubles were drawn; among those that were not: %s",
		total-len(never), total, strings.Join(never[:min(len(never), 5)], ", "))
}

// deployment is what was drawn.
type deployment struct {
	settings    config.Settings
	types       []protocol.MachineType
	lastFaultAt time.Duration // when the last trouble is
	upgradedAt  time.Duration // when all controllers run the new version
	cpuSeconds  float64       // CPU seconds
	jobs        []*simulation.Job
	endlessJobs []*simulation.Job
}

func (d *deployment) lease() time.Duration { return config.Seconds(d.settings.Site.Workers.LeaseS) }

// completionTimeout is how long the work may take once the troubles are over: what the
// machines need for it at a quarter of their pace, and dozens of leases.
func (d *deployment) completionTimeout(s *scenario) time.Duration {
	cpus := 0.0
	for _, t := range d.types {
		for _, z := range t.Zones {
			cpus += t.CPUs * float64(s.Cloud.Capacity[t.Name+" "+z])
		}
	}
	for _, t := range d.settings.Site.Teams {
		if t.CPUsMax > 0 {
			cpus = min(cpus, t.CPUsMax)
		}
	}
	return 60*d.lease() + 600*second + config.Seconds(4*d.cpuSeconds/max(cpus, 1))
}

func (d *deployment) unfinished(s *scenario) string {
	var left []string
	for _, j := range d.jobs {
		if j.Refused == 0 && j.Told != protocol.JobDone && j.Told != protocol.JobCancelled {
			left = append(left, fmt.Sprintf("%s %s of %s, %d tasks of %g CPUs, %s: %s", j.Spec.ID, j.Spec.Kind, j.Spec.Team,
				j.Spec.Tasks, j.Spec.CPUs, j.Told, j.Answer.Reason))
		}
	}
	return strings.Join(left, ", ")
}

// drawFloat draws a number of the given steps, so that what is shrunk is plain.
func drawFloat(rt *rapid.T, what string, from, to float64) float64 {
	const steps = 16
	return from + (to-from)*float64(rapid.IntRange(0, steps).Draw(rt, what))/steps
}

func drawSpan(rt *rapid.T, what string, from, to float64) time.Duration {
	return config.Seconds(drawFloat(rt, what, from, to))
}

func drawDeployment(rt *rapid.T) *deployment {
	d := &deployment{lastFaultAt: 20 * second}
	zones := []string{"north", "south", "east", "west", "hill", "bay"}[:rapid.IntRange(1, 6).Draw(rt, "zones")]
	s := &d.settings.Site
	s.Zones = zones
	n := rapid.IntRange(1, 7).Draw(rt, "controllers")
	s.InitialSize = n
	for i := range n {
		d.settings.Siblings = append(d.settings.Siblings, config.Sibling{Label: fmt.Sprintf("ctl-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i+1),
			Zone: rapid.SampledFrom(zones).Draw(rt, "its zone")})
	}
	report := drawFloat(rt, "report_s", 1, 6)
	lease := max(report*drawFloat(rt, "lease in reports", 4.5, 9), 9)
	s.Workers = config.Workers{ReportS: report, LeaseS: lease, CancelS: lease * drawFloat(rt, "cancel in leases", 1.3, 3.6),
		GangWaitS: 1.6 * lease, GangPeerS: 2 * report}
	s.State = config.State{RPS: drawFloat(rt, "rps", 50, 500), WriteRPS: drawFloat(rt, "write_rps", 10, 150),
		ValueKB: rapid.SampledFrom([]float64{4, 8, 16, 32, 64}).Draw(rt, "value_kb"), TxnOps: rapid.IntRange(4, 32).Draw(rt, "txn_ops")}
	if rapid.Bool().Draw(rt, "limits fall") {
		s.State.Next = &config.State{WriteRPS: s.State.WriteRPS * drawFloat(rt, "to", 0.6, 1),
			ValueKB: rapid.SampledFrom([]float64{2, 4, 0}).Draw(rt, "next value_kb"), TxnOps: rapid.IntRange(0, 8).Draw(rt, "next txn_ops")}
	}
	s.Cloud = config.Cloud{RPS: drawFloat(rt, "cloud rps", 1, 10), ListLagS: drawFloat(rt, "list lag", 1, 20)}
	s.Resources = config.Resources{Cores: 0.2, RAMMB: 128, MaxSockets: 1000}
	for i := range rapid.IntRange(1, 5).Draw(rt, "types") {
		t := protocol.MachineType{Name: fmt.Sprintf("t%d", i), CPUs: float64(int(4) << rapid.IntRange(0, 4).Draw(rt, "cpus")),
			CacheGB: 30, FetchGBps: 0.5, BootS: drawFloat(rt, "boot", 5, 50), Zones: zones}
		t.MemoryGB, t.Price = t.CPUs*4, t.CPUs*0.05
		if rapid.Bool().Draw(rt, "spot") {
			t.SpotPrice = t.Price / 4
		}
		if i > 0 && rapid.Bool().Draw(rt, "gpus") {
			t.GPUs = t.CPUs / 4
		}
		if i > 0 && rapid.Bool().Draw(rt, "one zone only") {
			t.Zones = zones[len(zones)-1:]
		}
		d.types = append(d.types, t)
	}
	for i := range rapid.IntRange(0, 4).Draw(rt, "teams") {
		t := config.Team{Name: fmt.Sprintf("team-%d", i)}
		if rapid.Bool().Draw(rt, "guarantee") {
			t.CPUs = drawFloat(rt, "guaranteed", 8, 100)
		}
		if rapid.Bool().Draw(rt, "limit") {
			t.CPUsMax = max(t.CPUs, drawFloat(rt, "limit cpus", 32, 300))
		}
		s.Teams = append(s.Teams, t)
	}
	for _, class := range jobClasses {
		switch rapid.IntRange(0, 3).Draw(rt, "aim") {
		case 0:
			s.Objectives = append(s.Objectives, config.Objective{Kind: "finished", Class: class, WithinS: 120, Share: 0.9})
		case 1:
			s.Objectives = append(s.Objectives, config.Objective{Kind: "deadline", Class: class, Share: 0.9, Times: 1})
		case 2:
			s.Objectives = append(s.Objectives, config.Objective{Kind: "wait", Class: class, WithinS: 3, Share: 0.8})
		}
	}
	return d
}

var jobClasses = []string{"photos", "alerts", "reports"}

// drawMachines puts up machines: some that are there from the start, and what may be rented.
func (d *deployment) drawMachines(rt *rapid.T, s *scenario) {
	for _, t := range d.types {
		for _, z := range t.Zones {
			s.Cloud.Capacity[t.Name+" "+z] = rapid.IntRange(4, 24).Draw(rt, "capacity")
			for range rapid.IntRange(0, 3).Draw(rt, "up at the start") {
				s.Cloud.Add(t.Name, z, false)
			}
		}
	}
	if rapid.IntRange(0, 9).Draw(rt, "boots") == 9 {
		s.Cloud.NeverUp, s.Cloud.Boots = 3, 3
	}
	s.Loss = drawFloat(rt, "lost packets", 0, 0.02)
	s.State.LateShare, s.State.LateBy = drawFloat(rt, "late transactions", 0, 0.05), 12*second
}

// drawUpgrade may begin with old controllers that come back as new ones, one after another
// and before work comes that they do not know; and may lower the limits of the state
// service at some moment.
func (d *deployment) drawUpgrade(rt *rapid.T, s *scenario) {
	if rapid.Bool().Draw(rt, "upgrade") {
		back := drawRestartDelay(rt)
		for _, n := range s.Nodes {
			n.Old = true
			n.Start()
		}
		d.upgradedAt = second
		for _, n := range s.Nodes {
			d.upgradedAt += drawSpan(rt, "the next one after", 0.05, 6)
			s.At(d.upgradedAt, func() { n.Old = false; n.Crash(back) })
		}
		d.upgradedAt += back + second
		d.lastFaultAt = max(d.lastFaultAt, d.upgradedAt)
	}
	if d.settings.Site.State.Next != nil {
		at := drawSpan(rt, "limits fall", 0, 80)
		s.At(at, func() { s.State.Lowered = true })
		d.lastFaultAt = max(d.lastFaultAt, at)
	}
}

// drawJobs has users submit jobs over a minute.
func (d *deployment) drawJobs(rt *rapid.T, s *scenario) {
	mt := d.types[0]
	sizes := distuv.LogNormal{Mu: math.Log(10), Sigma: 0.9, Src: s.Rand}
	spans := distuv.LogNormal{Mu: math.Log(9), Sigma: 0.7, Src: s.Rand}
	for range rapid.IntRange(1, 14).Draw(rt, "jobs") {
		spec := simulation.Array(int(min(max(sizes.Rand(), 1), 90)))
		spec.Team = "nobody"
		if teams := d.settings.Site.Teams; len(teams) > 0 {
			spec.Team = rapid.SampledFrom(teams).Draw(rt, "team").Name
		}
		spec.Class = rapid.SampledFrom(jobClasses).Draw(rt, "class")
		spec.Urgency = rapid.SampledFrom([]string{protocol.UrgencyNormal, protocol.UrgencyLow, protocol.UrgencyHigh, protocol.UrgencyProduction}).Draw(rt, "urgency")
		spec.CPUs = rapid.SampledFrom([]float64{1, 0.5, 2, 4}).Draw(rt, "cpus")
		spec.Image = fmt.Sprintf("img-%d", rapid.IntRange(0, 3).Draw(rt, "image"))
		spec.AllowSpot = rapid.Bool().Draw(rt, "spot")
		if rapid.Bool().Draw(rt, "saves") {
			spec.CheckpointS, spec.SaveS = 4, 1
		}
		if spec.Class == "alerts" {
			spec.DeadlineS = 90
		}
		run := min(spans.Rand(), 60)
		spec.EstimateS = run * drawFloat(rt, "guess", 0.5, 2)
		forever := false
		switch rapid.IntRange(0, 9).Draw(rt, "kind") {
		case 1:
			spec.Kind, spec.EstimateS, spec.Tasks, forever = protocol.KindService, 0, min(spec.Tasks, 6), true
		case 2:
			spec.Kind, spec.Tasks, spec.CPUs = protocol.KindGang, min(spec.Tasks, 8), 1
		}
		switch rapid.IntRange(0, 7).Draw(rt, "where") {
		case 1:
			spec.OneZone = true
		case 2:
			spec.Spread = true
		case 3:
			spec.Zone = rapid.SampledFrom(mt.Zones).Draw(rt, "zone")
		case 4:
			spec.MachineTypes = []string{mt.Name}
		}
		behind := rapid.IntRange(0, 5).Draw(rt, "needs")
		mistaken := rapid.IntRange(0, 11).Draw(rt, "mistaken") == 1
		cancelled := rapid.IntRange(0, 7).Draw(rt, "cancelled") == 1
		after := drawSpan(rt, "cancelled after", 1, 50)
		s.At(max(drawSpan(rt, "submitted", 0, 60), d.upgradedAt*time.Duration(min(behind/3, 1))), func() {
			spec.Dependencies = d.newestAccepted(behind)
			j := s.Users.Submit(spec, run)
			j.Mistaken = mistaken
			d.jobs = append(d.jobs, j)
			d.cpuSeconds += run * spec.CPUs * float64(spec.Tasks)
			switch {
			case cancelled:
				s.After(after, func() { s.Users.Abort(j) })
			case forever || mistaken:
				d.endlessJobs = append(d.endlessJobs, j)
			}
		})
	}
	d.lastFaultAt = max(d.lastFaultAt, 62*second)
}

// drawRestartDelay draws how soon a process that ends is back.
func drawRestartDelay(rt *rapid.T) time.Duration {
	return rapid.SampledFrom([]time.Duration{second / 20, second / 5, second, 3 * second, 10 * second}).Draw(rt, "back")
}

// newestAccepted names up to n of the jobs that were accepted so far, the newest ones. While
// old controllers live nobody asks for that.
func (d *deployment) newestAccepted(n int) (names []string) {
	for _, j := range slices.Backward(d.jobs) {
		if j.Accepted && j.Spec.Kind != protocol.KindService && len(names) < n-2 {
			names = append(names, j.Spec.ID)
		}
	}
	return names
}

// cancelRunning has users cancel up to n of the jobs that are under way.
func (d *deployment) cancelRunning(s *scenario, n int) {
	for _, j := range d.jobs {
		if j.Told == protocol.JobRunning && n > 0 {
			s.Users.Abort(j)
			n--
		}
	}
}

// drawFault draws one trouble and returns its name.
func (d *deployment) drawFault(rt *rapid.T, s *scenario) string {
	at := drawSpan(rt, "at", 2, 100)
	span := drawSpan(rt, "for", 1, 60)
	d.lastFaultAt = max(d.lastFaultAt, at+span+second)
	n := rapid.SampledFrom(s.Nodes).Draw(rt, "node")
	some := rapid.IntRange(1, 12).Draw(rt, "some")
	keep := rapid.Bool().Draw(rt, "packets kept")
	zones := d.settings.Site.Zones
	zone := rapid.SampledFrom(zones).Draw(rt, "zone")
	during := func(begin, end func()) {
		s.At(at, begin)
		s.At(at+span, end)
	}
	links := func() { // each a direction of its own, or both, and mended in any order
		end := func(what string) string {
			return rapid.SampledFrom([]string{"state", "workers", "workers/" + zone, "workers/even", "workers/odd", "cloud", "sibling"}).Draw(rt, what)
		}
		for range rapid.IntRange(1, 4).Draw(rt, "links") {
			a, b := rapid.SampledFrom(s.Nodes).Draw(rt, "of").Label, end("to")
			if b == "sibling" {
				b = rapid.SampledFrom(s.Nodes).Draw(rt, "sibling").Label
			}
			l := rapid.SampledFrom([]simulation.Link{simulation.Dropped, simulation.Held, simulation.Refused, simulation.Resets, simulation.Unread,
				{Delay: 2 * second}, {Loss: 0.4}, {Largest: 4096}}).Draw(rt, "link")
			if rapid.IntRange(0, 3).Draw(rt, "flaps") == 3 {
				l.Period = drawSpan(rt, "period", 0.5, 12.5)
			}
			ways := rapid.IntRange(0, 2).Draw(rt, "ways")
			from, till := drawSpan(rt, "begins after", 0, 10), drawSpan(rt, "ends after", 12, 70)
			set := func(l simulation.Link) {
				if ways != 1 {
					s.Link(a, b, l)
				}
				if ways != 0 {
					s.Link(b, a, l)
				}
			}
			s.At(at+from, func() { set(l) })
			s.At(at+till, func() { set(simulation.Link{}) })
			d.lastFaultAt = max(d.lastFaultAt, at+till+second)
		}
	}
	cut := func(a, b string) { during(func() { s.Cut(a, b, keep) }, func() { s.Mend(a, b) }) }
	workers := func(f func(*simulation.Worker)) {
		s.At(at, func() {
			for _, k := range s.SomeWorkers(some) {
				f(k)
			}
		})
	}
	what := rapid.SampledFrom(faultKinds).Draw(rt, "trouble")
	switch what {
	case "answers lost":
		share := drawFloat(rt, "share", 0.1, 0.7)
		during(func() { s.State.LateShare, s.State.LateBy = share, 0 }, func() { s.State.LateShare, s.State.LateBy = 0.02, 12*second })
	case "reports kept for the next leader":
		during(func() { s.KeepReports = true }, func() { s.KeepReports = false })
		s.At(at+span+time.Duration(some)*second/12, func() { s.crashLeader(second / 5) })
	case "machines mute":
		workers(func(k *simulation.Worker) {
			k.Mute = true
			s.After(span, func() { k.Mute = false })
		})
	case "cancelled at the end":
		during(func() { s.Users.AtEnd = 0.4 }, func() { s.Users.AtEnd = 0 })
	case "cancelled as machines hang":
		hang := drawSpan(rt, "hang", 0.5, 1.5*d.lease().Seconds())
		back := drawRestartDelay(rt)
		s.At(at, func() {
			for _, j := range d.jobs {
				for i := 0; i < j.Spec.Tasks && some > 0; i++ {
					if k := s.Workers[j.On(i)]; k != nil && !k.Hung {
						some--
						k.Hung = true
						s.After(hang, func() { k.Hung = false })
					}
				}
			}
			d.cancelRunning(s, 6)
		})
		s.At(at+back/4, func() { s.crashLeader(back) })
	case "cancelled as the leader is refused":
		s.At(at, func() {
			if n := s.currentLeader(); n != nil {
				s.State.Refuses[n.Label] = true
				s.After(span, func() { delete(s.State.Refuses, n.Label) })
			}
			d.cancelRunning(s, some)
		})
		if keep {
			s.At(at+second, func() { s.State.Outage(span) })
		}
	case "cancelled while work changes hands":
		back := drawRestartDelay(rt)
		s.At(at, func() { n.Crash(back) })
		for k := range 6 {
			s.At(at+time.Duration(k)*d.lease()/8, func() { d.cancelRunning(s, 1) })
		}
	case "odd requests":
		for k := range 8 {
			s.At(at+time.Duration(k)*span/8, func() { d.sendInvalidRequests(s, k) })
		}
	case "reports held back":
		s.At(at, func() {
			for _, k := range s.SomeWorkers(some) {
				for _, n := range s.Nodes {
					s.Link(k.Info.Name, n.Label, simulation.Held)
					s.After(span, func() { s.Link(k.Info.Name, n.Label, simulation.Link{}) })
				}
			}
		})
		s.At(at+second, func() { s.crashLeader(second / 5) })
	case "all away":
		for _, n := range s.Nodes {
			s.At(at, func() { n.Crash(d.lease() + span/4) })
		}
		d.lastFaultAt = max(d.lastFaultAt, at+d.lease()+span/4+second)
	case "ten leaders":
		for k := range 10 {
			s.At(at+time.Duration(k)*12*second, func() { s.crashLeader(second / 5) })
		}
		d.lastFaultAt = max(d.lastFaultAt, at+110*second)
	case "crash":
		back := drawRestartDelay(rt)
		s.At(at, func() { n.Crash(back) })
	case "two crash":
		back, other := drawRestartDelay(rt), s.Nodes[(slices.Index(s.Nodes, n)+1)%len(s.Nodes)]
		s.At(at, func() { n.Crash(back) })
		s.At(at+back/2, func() { other.Crash(back) })
	case "all crash":
		for _, n := range s.Nodes { // and come back in any order
			back := drawRestartDelay(rt)
			s.At(at, func() { n.Crash(back) })
		}
	case "roll":
		back := drawRestartDelay(rt)
		for i, n := range s.Nodes {
			s.At(at+time.Duration(i)*span/8, func() { n.Crash(back) })
		}
	case "ends again and again":
		for i := range 10 {
			s.At(at+time.Duration(i)*second, func() { n.Crash(50 * time.Millisecond) })
		}
	case "leaders end":
		back := drawRestartDelay(rt)
		for i := range 4 { // in the middle of what the end before began
			s.At(at+time.Duration(i)*d.lease()/8, func() {
				if n := s.currentLeader(); n != nil {
					n.Crash(back)
				}
			})
		}
	case "copies":
		during(func() { s.Copies, s.CopyBy = 0.2, span }, func() { s.Copies = 0 })
	case "no state":
		cut(n.Label, "state")
	case "no workers":
		cut(n.Label, "workers")
	case "no network":
		for _, end := range []string{"state", "workers", "cloud", "users"} {
			cut(n.Label, end)
		}
		for _, x := range s.Nodes {
			if x != n {
				cut(n.Label, x.Label)
			}
		}
	case "no cloud":
		cut(n.Label, "cloud")
	case "refused by the state":
		during(func() { s.State.Refuses[n.Label] = true }, func() { delete(s.State.Refuses, n.Label) })
	case "state out":
		s.At(at, func() { s.State.Outage(span) })
	case "late writes":
		share := drawFloat(rt, "share", 0.1, 0.6)
		before := s.State.LateShare
		during(func() { s.State.LateShare, s.State.LateFrom = share, 2*second }, func() { s.State.LateShare, s.State.LateFrom = before, 0 })
	case "gap": // jobs are cancelled through those who are still served
		alone := drawSpan(rt, "the leader alone for", 0.5, 4.5)
		out := s.cancelSpan() + drawSpan(rt, "longer by", 1, 30)
		d.lastFaultAt = max(d.lastFaultAt, at+alone+out+second)
		s.At(at, func() {
			if n := s.currentLeader(); n != nil {
				s.State.Refuses[n.Label] = true
				s.After(alone+out, func() { delete(s.State.Refuses, n.Label) })
			}
			d.cancelRunning(s, some)
		})
		s.At(at+alone, func() { s.State.Outage(out) })
	case "leader cut from all but workers and users":
		s.At(at, func() {
			if n := s.currentLeader(); n != nil {
				s.partition(span, n.Label, s.otherEnds(n)...)
			}
			s.After(span/4, func() { d.cancelRunning(s, some) })
		})
	case "machines deaf":
		workers(func(k *simulation.Worker) {
			for _, n := range s.Nodes {
				s.Link(n.Label, k.Info.Name, simulation.Dropped)
				s.After(span, func() { s.Link(n.Label, k.Info.Name, simulation.Link{}) })
			}
		})
	case "commands held up":
		l := simulation.Link{Hold: true, Period: drawSpan(rt, "period", 1, 8)}
		during(func() { s.Link(n.Label, "workers", l) }, func() { s.Link(n.Label, "workers", simulation.Link{}) })
	case "state slow":
		during(func() { s.State.Slow = 300 * time.Millisecond }, func() { s.State.Slow = 0 })
	case "cloud out":
		during(func() { s.Cloud.Out = true }, func() { s.Cloud.Out = false })
	case "stands still":
		s.At(at, func() {
			if n.Alive() {
				n.StandStill(span)
			}
		})
	case "peers refuse":
		during(func() { s.PeersRefuse = true }, func() { s.PeersRefuse = false })
	case "slow links":
		during(func() { s.PeerLatency = 400 * time.Millisecond }, func() { s.PeerLatency = 0 })
	case "links", "links again": // drawn twice as often as the rest
		links()
	case "zone cut":
		during(func() { s.CutZone(zone, "", keep) }, func() { s.MendZone(zone, "") })
	case "zones apart":
		if other := rapid.SampledFrom(zones).Draw(rt, "other"); other != zone {
			during(func() { s.CutZone(zone, other, keep) }, func() { s.MendZone(zone, other) })
		}
	case "machines die":
		workers(func(k *simulation.Worker) { s.Cloud.Remove(k.Info.Name) })
	case "machines hang":
		workers(func(k *simulation.Worker) {
			k.Hung = true
			s.After(span, func() { k.Hung = false })
		})
	case "machines sick":
		workers(func(k *simulation.Worker) {
			k.Faulty = true
			s.After(span, func() { k.Faulty = false })
		})
	case "machines slow":
		workers(func(k *simulation.Worker) { k.Slow = 3 })
	case "taken back":
		workers(func(k *simulation.Worker) { k.Recall(span / 8) })
	case "no capacity":
		during(func() {
			for _, t := range d.types {
				s.Cloud.Capacity[t.Name] = 0
			}
		}, func() {
			for _, t := range d.types {
				delete(s.Cloud.Capacity, t.Name)
			}
		})
	case "polls":
		for k := range 300 {
			s.At(at+time.Duration(k)*span/300, s.Users.PollAny)
		}
	case "burst":
		s.At(at, func() {
			for k := range 25 {
				spec := simulation.Array(1 + k%3)
				spec.Team = "nobody"
				if teams := d.settings.Site.Teams; len(teams) > 0 {
					spec.Team = teams[k%len(teams)].Name
				}
				spec.AllowSpot = k%2 == 0
				d.cpuSeconds += 5
				d.jobs = append(d.jobs, s.Users.Submit(spec, 4))
			}
		})
	}
	return what
}

// sendInvalidRequests has users hand in again what is not over, cancel what is done, and send what can't run.
func (d *deployment) sendInvalidRequests(s *scenario, k int) {
	spec := simulation.Array(1)
	spec.Team = "nobody"
	if teams := d.settings.Site.Teams; len(teams) > 0 {
		spec.Team = teams[k%len(teams)].Name
	}
	switch k % 2 {
	case 0:
		spec.CPUs = 4096
	case 1:
		spec.MachineTypes = []string{"no such type"}
	}
	s.Users.Never(spec)
	for _, j := range d.jobs {
		switch {
		case j.Told == protocol.JobDone:
			s.Users.Abort(j)
		case j.Accepted:
			s.Users.Resubmit(j)
		}
	}
}

var faultKinds = slices.Sorted(slices.Values([]string{"crash", "two crash", "all crash", "roll",
	"ends again and again", "leaders end", "copies", "no state", "no workers", "no network", "no cloud",
	"answers lost", "reports kept for the next leader", "machines mute", "cancelled at the end", "cancelled as machines hang",
	"cancelled as the leader is refused", "cancelled while work changes hands", "odd requests", "reports held back", "all away", "ten leaders",
	"gap", "late writes", "leader cut from all but workers and users", "machines deaf", "commands held up",
	"refused by the state", "state out", "state slow", "cloud out", "stands still", "peers refuse", "slow links", "links", "links again", "zone cut", "zones apart",
	"machines die", "machines hang", "machines sick", "machines slow", "taken back", "no capacity", "polls", "burst"}))

// TestRandomizedFairShare draws teams whose limits bind, two to four classes for each, and a pile
// of troubles at the beginning. Whatever they are, no rule is broken, and at the end no
// class is less than half done where its team could have done half of each.
func TestRandomizedFairShare(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		d := drawDeployment(rt)
		for i := range d.types {
			d.types[i].SpotPrice = d.types[i].Price / 4 // or work without an aim is worth few machines
		}
		d.settings.Site.Teams = nil
		for i := range rapid.IntRange(1, 3).Draw(rt, "teams") {
			limit := drawFloat(rt, "limit", 8, 56)
			d.settings.Site.Teams = append(d.settings.Site.Teams, config.Team{Name: fmt.Sprintf("team-%d", i),
				CPUs: limit * drawFloat(rt, "guaranteed share", 0.1, 1), CPUsMax: limit})
		}
		s := &scenario{World: simulation.Build(rapid.Uint64().Draw(rt, "luck"), d.settings, d.types), t: rt}
		s.Policy.FloorLeases = 1.5
		for _, n := range s.Nodes {
			n.Start()
		}
		machines := 0.0
		for _, t := range d.types {
			for _, z := range t.Zones {
				s.Cloud.Capacity[t.Name+" "+z] = 24
				machines += 24 * t.CPUs
			}
		}
		for range rapid.IntRange(0, 4).Draw(rt, "troubles") {
			d.drawFault(rt, s)
		}
		s.At(d.lastFaultAt, func() {
			for _, k := range s.Workers {
				k.Slow = 0 // the machines that were slow would stay so
			}
		})
		boot := 0.0
		for _, t := range d.types {
			boot = max(boot, t.BootS)
		}
		up := d.lastFaultAt + config.Seconds(2*boot) // when there are machines at the latest
		day := up + 6*s.patience()
		limits, capacity := 0.0, map[string]float64{}
		for _, team := range d.settings.Site.Teams {
			limits += team.CPUsMax
			for k := range rapid.IntRange(2, 4).Draw(rt, "classes") {
				x := jobStream{team: team.Name, class: fmt.Sprintf("class-%d", k),
					urgency:    rapid.SampledFrom([]string{protocol.UrgencyLow, protocol.UrgencyNormal, protocol.UrgencyHigh}).Draw(rt, "urgency"),
					tasks:      rapid.IntRange(1, 8).Draw(rt, "tasks"),
					cpus:       rapid.SampledFrom([]float64{1, 2, 4}).Draw(rt, "cpus"),
					runSeconds: drawFloat(rt, "run", 4, 20)}
				wanted := team.CPUsMax * drawFloat(rt, "wanted share of the limit", 0.2, 0.8)
				x.interval = max(config.Seconds(float64(x.tasks)*x.cpus*x.runSeconds/wanted), 6*second)
				for at := 5 * second; at < day; at += x.interval {
					s.At(at, func() { s.submitFrom(x) })
				}
			}
		}
		s.Run(day)
		s.requireInvariants()
		// Half of what the limit, or its part of the machines, gives once the troubles are
		// over and machines are up: starts, fetches, boots and kept room take some.
		until := day - 2*s.patience()
		for _, team := range d.settings.Site.Teams {
			capacity[team.Name] = min(team.CPUsMax, machines*team.CPUsMax/limits) / 2 * (until - up).Seconds()
		}
		broken, judged := s.Users.FloorsBroken(until, capacity)
		fairSharesJudged += judged
		for _, a := range broken {
			x := s.Users.Shares(until)[a]
			rt.Fatalf("%s of %s: %d of %d done, %d started\n%s", a.Class, a.Team, x.Done, x.Jobs, x.Started, s.lastLogs(*logLines))
		}
	})
	if fairSharesJudged == 0 {
		t.Fatal("half of each class was possible nowhere: nothing was shown")
	}
	t.Logf("%d classes judged", fairSharesJudged)
}

// fairSharesJudged counts the classes of which half could have been done.
var fairSharesJudged int
