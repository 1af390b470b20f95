package core_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/simulation"
)

// classesChecked counts the classes, over all simulations, for which the capacity of their team was enough
// to complete half of the jobs.
var classesChecked int

// TestRandomizedFairShare draws teams whose quotas limit them, two to four classes of jobs for each team, and
// up to four faults, which begin early. No invariant may be violated. At the end, at least half of the jobs
// of each class must be done, except recent ones, if the capacity of its team was enough for half of the
// jobs of each of its classes.
func TestRandomizedFairShare(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		d := drawDeployment(rt)
		d.drawBindingQuotas(rt)
		s := &scenario{Cluster: simulation.NewWithSettings(rapid.Uint64().Draw(rt, "simulation seed"), d.settings, d.types), t: rt}
		s.Policy.OverdueLeases = 1.5
		for _, node := range s.Nodes {
			node.Start()
		}
		machineCPUs := d.addCapacity(s)
		for range rapid.IntRange(0, 4).Draw(rt, "faults") {
			d.drawFault(rt, s)
		}
		s.At(d.faultsOverAt, func() {
			for _, machine := range s.Workers {
				machine.SlowFactor = 0 // the fault "slow machines" does not end by itself
			}
		})
		machinesUpAt := d.faultsOverAt + config.Seconds(2*d.longestBoot()) // time by which machines have booted at the latest
		end := machinesUpAt + 6*s.overdueAfter()
		for i := range d.settings.Site.Teams {
			d.drawClasses(rt, s, &d.settings.Site.Teams[i], end)
		}
		s.Run(end)
		s.requireInvariants()
		until := end - 2*s.overdueAfter()
		classesChecked += s.requireHalfOfEachClass(until, d.halfCapacity(machineCPUs, until-machinesUpAt))
	})
	if classesChecked == 0 {
		t.Fatal("no class was checked: in no simulation was the capacity enough for half of the jobs")
	}
	t.Logf("%d classes checked", classesChecked)
}

// drawBindingQuotas replaces the teams of the site by one to three teams with a small quota each.
func (d *deployment) drawBindingQuotas(rt *rapid.T) {
	for i := range d.types {
		d.types[i].SpotPrice = d.types[i].Price / 4 // at a higher price, jobs without an objective would justify few machines
	}
	d.settings.Site.Teams = nil
	for i := range rapid.IntRange(1, 3).Draw(rt, "teams") {
		limit := drawFloat(rt, "limit", 8, 56)
		d.settings.Site.Teams = append(d.settings.Site.Teams, config.Team{Name: fmt.Sprintf("team-%d", i),
			CPUs: limit * drawFloat(rt, "guaranteed share", 0.1, 1), CPUsMax: limit})
	}
}

// addCapacity sets the capacity of the cloud to 24 machines for each type and zone, and returns the CPUs of
// all of them.
func (d *deployment) addCapacity(s *scenario) float64 {
	const machinesPerZone = 24
	cpus := 0.0
	for _, machineType := range d.types {
		for _, zone := range machineType.Zones {
			s.Cloud.Capacity[machineType.Name+" "+zone] = machinesPerZone
			cpus += machinesPerZone * machineType.CPUs
		}
	}
	return cpus
}

// longestBoot returns the usual boot time of the machine type that boots slowest, in seconds.
func (d *deployment) longestBoot() float64 {
	boot := 0.0
	for _, machineType := range d.types {
		boot = max(boot, machineType.BootS)
	}
	return boot
}

// drawClasses draws two to four classes for a team and schedules submissions of their jobs until end.
func (d *deployment) drawClasses(rt *rapid.T, s *scenario, team *config.Team, end time.Duration) {
	for k := range rapid.IntRange(2, 4).Draw(rt, "classes") {
		stream := jobStream{team: team.Name, class: fmt.Sprintf("class-%d", k),
			urgency:    rapid.SampledFrom([]string{protocol.UrgencyLow, protocol.UrgencyNormal, protocol.UrgencyHigh}).Draw(rt, "urgency"),
			tasks:      rapid.IntRange(1, 8).Draw(rt, "tasks"),
			cpus:       rapid.SampledFrom([]float64{1, 2, 4}).Draw(rt, "cpus"),
			runSeconds: drawFloat(rt, "run", 4, 20)}
		demandCPUs := team.CPUsMax * drawFloat(rt, "wanted share of the limit", 0.2, 0.8)
		stream.interval = max(config.Seconds(float64(stream.tasks)*stream.cpus*stream.runSeconds/demandCPUs), 6*second)
		for at := 5 * second; at < end; at += stream.interval {
			s.At(at, func() { s.submitFrom(stream) })
		}
	}
}

// halfCapacity returns, by team, half of the CPU seconds that the team can use without faults in the given
// duration, limited by its quota and by its share of the machines. The other half allows for task starts,
// image pulls, boots and reserved capacity.
func (d *deployment) halfCapacity(machineCPUs float64, duration time.Duration) map[string]float64 {
	quotas, capacity := 0.0, map[string]float64{}
	for _, team := range d.settings.Site.Teams {
		quotas += team.CPUsMax
	}
	for _, team := range d.settings.Site.Teams {
		capacity[team.Name] = min(team.CPUsMax, machineCPUs*team.CPUsMax/quotas) / 2 * duration.Seconds()
	}
	return capacity
}

// requireHalfOfEachClass fails the test if less than half of the jobs of a class were done although the
// capacity of its team, in CPU seconds, allowed that. Only jobs submitted up to the given time count. It
// returns the number of classes that it has checked.
func (s *scenario) requireHalfOfEachClass(until time.Duration, capacity map[string]float64) (checked int) {
	s.t.Helper()
	underserved, checked := s.Users.UnderservedClasses(until, capacity)
	for _, account := range underserved {
		share := s.Users.ClassProgress(until)[account]
		s.t.Fatalf("class %s of team %s: %d of %d jobs done, %d started\n%s", account.Class, account.Team, share.Done, share.Jobs, share.Started, s.lastLogs(*logLines))
	}
	return checked
}
