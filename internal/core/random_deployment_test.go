package core_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
	"pgregory.net/rapid"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

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

// drawRestartDelay draws how soon a process that ends is back.
func drawRestartDelay(rt *rapid.T) time.Duration {
	return rapid.SampledFrom([]time.Duration{second / 20, second / 5, second, 3 * second, 10 * second}).Draw(rt, "back")
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

var jobClasses = []string{"photos", "alerts", "reports"}

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
