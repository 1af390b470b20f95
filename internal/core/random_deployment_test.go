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

// deployment is a randomly drawn site with its machine types and jobs.
type deployment struct {
	settings     config.Settings
	types        []protocol.MachineType
	faultsOverAt time.Duration // simulated time from which on all faults and the upgrade count as over
	upgradedAt   time.Duration // simulated time from which on all controllers run the new version
	cpuSeconds   float64       // CPU time of all jobs
	jobs         []*simulation.Job
	endlessJobs  []*simulation.Job // jobs that end only when their user cancels them
}

func (d *deployment) lease() time.Duration { return config.Seconds(d.settings.Site.Workers.LeaseS) }

// completionTimeout returns how long the jobs may take to end once the faults are over: 60 leases, 600
// seconds and four times the time that the machines need for all jobs, counting no more CPUs than the
// smallest team quota allows.
func (d *deployment) completionTimeout(s *scenario) time.Duration {
	cpus := 0.0
	for _, machineType := range d.types {
		for _, zone := range machineType.Zones {
			cpus += machineType.CPUs * float64(s.Cloud.Capacity[machineType.Name+" "+zone])
		}
	}
	for _, team := range d.settings.Site.Teams {
		if team.CPUsMax > 0 {
			cpus = min(cpus, team.CPUsMax)
		}
	}
	return 60*d.lease() + 600*second + config.Seconds(4*d.cpuSeconds/max(cpus, 1))
}

// unfinished describes the jobs whose users do not know that they are done, cancelled or rejected.
func (d *deployment) unfinished() string {
	var descriptions []string
	for _, job := range d.jobs {
		if job.Rejected == 0 && job.LastState != protocol.JobDone && job.LastState != protocol.JobCancelled {
			spec := &job.Spec
			descriptions = append(descriptions, fmt.Sprintf("%s %s of %s, %d tasks of %g CPUs, %s: %s", spec.ID, spec.Kind, spec.Team,
				spec.Tasks, spec.CPUs, job.LastState, job.LastResponse.Reason))
		}
	}
	return strings.Join(descriptions, ", ")
}

// teamName returns the name of a team, selected by k, or "nobody" if the site has no teams.
func (d *deployment) teamName(k int) string {
	if teams := d.settings.Site.Teams; len(teams) > 0 {
		return teams[k%len(teams)].Name
	}
	return "nobody"
}

// drawFloat draws one of 17 evenly spaced numbers between from and to, so that a failing simulation is
// shrunk to simple values.
func drawFloat(rt *rapid.T, label string, from, to float64) float64 {
	const steps = 16
	return from + (to-from)*float64(rapid.IntRange(0, steps).Draw(rt, label))/steps
}

func drawDuration(rt *rapid.T, label string, from, to float64) time.Duration {
	return config.Seconds(drawFloat(rt, label, from, to))
}

// drawRestartDelay draws the time from the crash of a process to its restart.
func drawRestartDelay(rt *rapid.T) time.Duration {
	return rapid.SampledFrom([]time.Duration{second / 20, second / 5, second, 3 * second, 10 * second}).Draw(rt, "restart delay")
}

// drawDeployment draws the settings and machine types of a site.
func drawDeployment(rt *rapid.T) *deployment {
	d := &deployment{faultsOverAt: 20 * second}
	site := &d.settings.Site
	site.Zones = []string{"north", "south", "east", "west", "hill", "bay"}[:rapid.IntRange(1, 6).Draw(rt, "zones")]
	site.InitialControllers = rapid.IntRange(1, 7).Draw(rt, "controllers")
	for i := range site.InitialControllers {
		d.settings.Siblings = append(d.settings.Siblings, config.Sibling{Label: fmt.Sprintf("ctl-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i+1),
			Zone: rapid.SampledFrom(site.Zones).Draw(rt, "controller zone")})
	}
	heartbeat := drawFloat(rt, "heartbeat_s", 1, 6)
	lease := max(heartbeat*drawFloat(rt, "lease in heartbeats", 4.5, 9), 9)
	site.Workers = config.WorkerTiming{HeartbeatS: heartbeat, LeaseS: lease, CancelS: lease * drawFloat(rt, "cancellation deadline in leases", 1.3, 3.6),
		GangWaitS: 1.6 * lease, GangPeerS: 2 * heartbeat}
	site.Store = drawStoreLimits(rt)
	site.Cloud = config.CloudLimits{RPS: drawFloat(rt, "cloud rps", 1, 10), ListLagS: drawFloat(rt, "list lag", 1, 20)}
	site.Resources = config.Resources{Cores: 0.2, RAMMB: 128, MaxSockets: 1000}
	for i := range rapid.IntRange(1, 5).Draw(rt, "types") {
		d.types = append(d.types, drawMachineType(rt, i, site.Zones))
	}
	for i := range rapid.IntRange(0, 4).Draw(rt, "teams") {
		site.Teams = append(site.Teams, drawTeam(rt, i))
	}
	site.Objectives = drawObjectives(rt)
	return d
}

// drawStoreLimits draws the limits of the state service and, in some simulations, announced limits that are
// lower.
func drawStoreLimits(rt *rapid.T) config.StoreLimits {
	limits := config.StoreLimits{RPS: drawFloat(rt, "rps", 50, 500), WriteRPS: drawFloat(rt, "write_rps", 10, 150),
		ValueKB: rapid.SampledFrom([]float64{4, 8, 16, 32, 64}).Draw(rt, "value_kb"), MaxTxnOps: rapid.IntRange(4, 32).Draw(rt, "txn_ops")}
	if rapid.Bool().Draw(rt, "limits lowered") {
		limits.Next = &config.StoreLimits{WriteRPS: limits.WriteRPS * drawFloat(rt, "next write_rps share", 0.6, 1),
			ValueKB: rapid.SampledFrom([]float64{2, 4, 0}).Draw(rt, "next value_kb"), MaxTxnOps: rapid.IntRange(0, 8).Draw(rt, "next txn_ops")}
	}
	return limits
}

// drawMachineType draws machine type i. Type 0 has no GPUs and is available in all zones.
func drawMachineType(rt *rapid.T, i int, zones []string) protocol.MachineType {
	machineType := protocol.MachineType{Name: fmt.Sprintf("t%d", i), CPUs: float64(int(4) << rapid.IntRange(0, 4).Draw(rt, "cpus")),
		CacheGB: 30, FetchGBps: 0.5, BootS: drawFloat(rt, "boot", 5, 50), Zones: zones}
	machineType.MemoryGB, machineType.Price = machineType.CPUs*4, machineType.CPUs*0.05
	if rapid.Bool().Draw(rt, "spot") {
		machineType.SpotPrice = machineType.Price / 4
	}
	if i > 0 && rapid.Bool().Draw(rt, "gpus") {
		machineType.GPUs = machineType.CPUs / 4
	}
	if i > 0 && rapid.Bool().Draw(rt, "one zone only") {
		machineType.Zones = zones[len(zones)-1:]
	}
	return machineType
}

func drawTeam(rt *rapid.T, i int) config.Team {
	team := config.Team{Name: fmt.Sprintf("team-%d", i)}
	if rapid.Bool().Draw(rt, "guarantee") {
		team.CPUs = drawFloat(rt, "guaranteed", 8, 100)
	}
	if rapid.Bool().Draw(rt, "limit") {
		team.CPUsMax = max(team.CPUs, drawFloat(rt, "limit cpus", 32, 300))
	}
	return team
}

var jobClasses = []string{"photos", "alerts", "reports"}

func drawObjectives(rt *rapid.T) []config.Objective {
	var objectives []config.Objective
	for _, class := range jobClasses {
		switch rapid.IntRange(0, 3).Draw(rt, "objective") {
		case 0:
			objectives = append(objectives, config.Objective{Kind: "finished", Class: class, WithinS: 120, Share: 0.9})
		case 1:
			objectives = append(objectives, config.Objective{Kind: "deadline", Class: class, Share: 0.9, Times: 1})
		case 2:
			objectives = append(objectives, config.Objective{Kind: "wait", Class: class, WithinS: 3, Share: 0.8})
		}
	}
	return objectives
}

// drawMachines draws the running machines and the capacity of the cloud for each type and zone, boots
// that are slow or never end, packet loss and delayed commits.
func (d *deployment) drawMachines(rt *rapid.T, s *scenario) {
	for _, machineType := range d.types {
		for _, zone := range machineType.Zones {
			s.Cloud.Capacity[machineType.Name+" "+zone] = rapid.IntRange(4, 24).Draw(rt, "capacity")
			for range rapid.IntRange(0, 3).Draw(rt, "running at the start") {
				s.Cloud.AddRunning(machineType.Name, zone, false)
			}
		}
	}
	if rapid.IntRange(0, 9).Draw(rt, "slow boots") == 9 {
		s.Cloud.StuckBoots, s.Cloud.BootFactor = 3, 3
	}
	s.Loss = drawFloat(rt, "lost packets", 0, 0.02)
	s.Store.DelayedCommitShare, s.Store.MaxCommitDelay = drawFloat(rt, "delayed commits", 0, 0.05), 12*second
}

// drawUpgrade draws whether the simulation begins with a rolling upgrade: all controllers start with the
// previous version and restart one after another with the present one, before jobs with dependencies
// are submitted, which the previous version does not know. If lower limits of the state service are
// announced, they take effect at a random time.
func (d *deployment) drawUpgrade(rt *rapid.T, s *scenario) {
	if rapid.Bool().Draw(rt, "upgrade") {
		delay := drawRestartDelay(rt)
		s.startOldVersion()
		d.upgradedAt = second
		for _, node := range s.Nodes {
			d.upgradedAt += drawDuration(rt, "time to the next upgrade", 0.05, 6)
			s.At(d.upgradedAt, func() { node.PreviousVersion = false; node.Crash(delay) })
		}
		d.upgradedAt += delay + second
		d.faultsOverAt = max(d.faultsOverAt, d.upgradedAt)
	}
	if d.settings.Site.Store.Next != nil {
		at := drawDuration(rt, "limits lowered at", 0, 80)
		s.At(at, func() { s.Store.LimitsLowered = true })
		d.faultsOverAt = max(d.faultsOverAt, at)
	}
}

// drawnJob is a randomly drawn job, when it is submitted and how it ends.
type drawnJob struct {
	spec            protocol.Job
	seconds         float64 // run time of each task
	endless         bool    // runs until its user cancels it
	failsEverywhere bool    // its tasks fail on every machine
	dependencyDraw  int     // it depends on the dependencyDraw-2 newest accepted jobs, on none if that is not positive
	cancelled       bool
	cancelAfter     time.Duration
	submitAt        time.Duration
}

// drawJobs draws jobs and schedules their submission within the first minute, or after the upgrade.
func (d *deployment) drawJobs(rt *rapid.T, s *scenario) {
	taskCounts := distuv.LogNormal{Mu: math.Log(10), Sigma: 0.9, Src: s.Rand}
	runSeconds := distuv.LogNormal{Mu: math.Log(9), Sigma: 0.7, Src: s.Rand}
	for range rapid.IntRange(1, 14).Draw(rt, "jobs") {
		job := d.drawJob(rt, int(min(max(taskCounts.Rand(), 1), 90)), runSeconds.Rand)
		s.At(job.submitAt, func() { d.submit(s, job) })
	}
	d.faultsOverAt = max(d.faultsOverAt, 62*second)
}

// drawJob draws a job with the given number of tasks. The run time of the tasks is taken from drawSeconds
// and is at most a minute.
func (d *deployment) drawJob(rt *rapid.T, tasks int, drawSeconds func() float64) *drawnJob {
	job := &drawnJob{spec: simulation.Array(tasks)}
	spec := &job.spec
	spec.Team = "nobody"
	if teams := d.settings.Site.Teams; len(teams) > 0 {
		spec.Team = rapid.SampledFrom(teams).Draw(rt, "team").Name
	}
	spec.Class = rapid.SampledFrom(jobClasses).Draw(rt, "class")
	spec.Urgency = rapid.SampledFrom([]string{protocol.UrgencyNormal, protocol.UrgencyLow, protocol.UrgencyHigh, protocol.UrgencyProduction}).Draw(rt, "urgency")
	spec.CPUs = rapid.SampledFrom([]float64{1, 0.5, 2, 4}).Draw(rt, "cpus")
	spec.Image = fmt.Sprintf("img-%d", rapid.IntRange(0, 3).Draw(rt, "image"))
	spec.AllowSpot = rapid.Bool().Draw(rt, "spot")
	if rapid.Bool().Draw(rt, "checkpoints") {
		spec.CheckpointS, spec.SaveS = 4, 1
	}
	if spec.Class == "alerts" {
		spec.DeadlineS = 90
	}
	job.seconds = min(drawSeconds(), 60)
	spec.EstimateS = job.seconds * drawFloat(rt, "estimate factor", 0.5, 2)
	job.drawKind(rt)
	d.drawConstraint(rt, spec)
	job.dependencyDraw = rapid.IntRange(0, 5).Draw(rt, "dependencies + 2")
	job.failsEverywhere = rapid.IntRange(0, 11).Draw(rt, "fails everywhere") == 1
	job.cancelled = rapid.IntRange(0, 7).Draw(rt, "cancelled") == 1
	job.cancelAfter = drawDuration(rt, "cancelled after", 1, 50)
	job.submitAt = drawDuration(rt, "submitted at", 0, 60)
	if job.dependencyDraw >= 3 { // it has dependencies, which controllers of the previous version ignore
		job.submitAt = max(job.submitAt, d.upgradedAt)
	}
	return job
}

// drawKind makes some jobs services and some gangs.
func (j *drawnJob) drawKind(rt *rapid.T) {
	spec := &j.spec
	switch rapid.IntRange(0, 9).Draw(rt, "kind") {
	case 1:
		spec.Kind, spec.EstimateS, spec.Tasks, j.endless = protocol.KindService, 0, min(spec.Tasks, 6), true
	case 2:
		spec.Kind, spec.Tasks, spec.CPUs = protocol.KindGang, min(spec.Tasks, 8), 1
	}
}

// drawConstraint restricts some jobs to zones or to a machine type.
func (d *deployment) drawConstraint(rt *rapid.T, spec *protocol.Job) {
	machineType := &d.types[0]
	switch rapid.IntRange(0, 7).Draw(rt, "placement constraint") {
	case 1:
		spec.OneZone = true
	case 2:
		spec.Spread = true
	case 3:
		spec.Zone = rapid.SampledFrom(machineType.Zones).Draw(rt, "zone")
	case 4:
		spec.MachineTypes = []string{machineType.Name}
	}
}

// submit makes a user submit a drawn job and, if that was drawn, cancel it later.
func (d *deployment) submit(s *scenario, drawn *drawnJob) {
	drawn.spec.Dependencies = d.newestAccepted(drawn.dependencyDraw - 2)
	job := s.Users.Submit(drawn.spec, drawn.seconds)
	job.FailsEverywhere = drawn.failsEverywhere
	d.jobs = append(d.jobs, job)
	d.cpuSeconds += drawn.seconds * drawn.spec.CPUs * float64(drawn.spec.Tasks)
	switch {
	case drawn.cancelled:
		s.After(drawn.cancelAfter, func() { s.Users.Cancel(job) })
	case drawn.endless || drawn.failsEverywhere:
		d.endlessJobs = append(d.endlessJobs, job)
	}
}

// newestAccepted returns the IDs of the newest accepted jobs, except services, at most n.
func (d *deployment) newestAccepted(n int) (ids []string) {
	for _, job := range slices.Backward(d.jobs) {
		if job.Accepted && job.Spec.Kind != protocol.KindService && len(ids) < n {
			ids = append(ids, job.Spec.ID)
		}
	}
	return ids
}

// cancelRunning makes users cancel the first n jobs whose last known state is running.
func (d *deployment) cancelRunning(s *scenario, n int) {
	for _, job := range d.jobs {
		if job.LastState == protocol.JobRunning && n > 0 {
			s.Users.Cancel(job)
			n--
		}
	}
}
