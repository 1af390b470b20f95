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

// classesChecked counts the classes of which half could have been done.
var classesChecked int

// TestRandomizedFairShare draws teams whose quotas bind, two to four classes for each, and
// several faults at the beginning. Whatever they are, no invariant is violated, and at the end
// no class is less than half done where its team could have done half of each.
func TestRandomizedFairShare(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		d := drawDeployment(rt)
		d.drawBindingQuotas(rt)
		s := &scenario{Cluster: simulation.NewWithSettings(rapid.Uint64().Draw(rt, "luck"), d.settings, d.types), t: rt}
		s.Policy.OverdueLeases = 1.5
		for _, node := range s.Nodes {
			node.Start()
		}
		machineCPUs := d.addCapacity(s)
		for range rapid.IntRange(0, 4).Draw(rt, "troubles") {
			d.drawFault(rt, s)
		}
		s.At(d.faultsOverAt, func() {
			for _, machine := range s.Workers {
				machine.SlowFactor = 0 // those that were slow would stay so
			}
		})
		up := d.faultsOverAt + config.Seconds(2*d.longestBoot()) // when there are machines at the latest
		end := up + 6*s.overdueAfter()
		for i := range d.settings.Site.Teams {
			d.drawClasses(rt, s, &d.settings.Site.Teams[i], end)
		}
		s.Run(end)
		s.requireInvariants()
		until := end - 2*s.overdueAfter()
		classesChecked += s.requireHalfOfEachClass(until, d.halfCapacity(machineCPUs, until-up))
	})
	if classesChecked == 0 {
		t.Fatal("half of each class was possible nowhere: nothing was shown")
	}
	t.Logf("%d classes judged", classesChecked)
}

// drawBindingQuotas replaces the teams by up to three with a small quota each.
func (d *deployment) drawBindingQuotas(rt *rapid.T) {
	for i := range d.types {
		d.types[i].SpotPrice = d.types[i].Price / 4 // or work without an objective is worth few machines
	}
	d.settings.Site.Teams = nil
	for i := range rapid.IntRange(1, 3).Draw(rt, "teams") {
		limit := drawFloat(rt, "limit", 8, 56)
		d.settings.Site.Teams = append(d.settings.Site.Teams, config.Team{Name: fmt.Sprintf("team-%d", i),
			CPUs: limit * drawFloat(rt, "guaranteed share", 0.1, 1), CPUsMax: limit})
	}
}

// addCapacity lets the cloud have machines of every type in every zone, and adds up their CPUs.
func (d *deployment) addCapacity(s *scenario) float64 {
	const machines = 24
	cpus := 0.0
	for _, machineType := range d.types {
		for _, zone := range machineType.Zones {
			s.Cloud.Capacity[machineType.Name+" "+zone] = machines
			cpus += machines * machineType.CPUs
		}
	}
	return cpus
}

// longestBoot is the usual boot time of the slowest type, in seconds.
func (d *deployment) longestBoot() float64 {
	boot := 0.0
	for _, machineType := range d.types {
		boot = max(boot, machineType.BootS)
	}
	return boot
}

// drawClasses draws the classes of a team and has its users submit jobs of each until the end.
func (d *deployment) drawClasses(rt *rapid.T, s *scenario, team *config.Team, end time.Duration) {
	for k := range rapid.IntRange(2, 4).Draw(rt, "classes") {
		stream := jobStream{team: team.Name, class: fmt.Sprintf("class-%d", k),
			urgency:    rapid.SampledFrom([]string{protocol.UrgencyLow, protocol.UrgencyNormal, protocol.UrgencyHigh}).Draw(rt, "urgency"),
			tasks:      rapid.IntRange(1, 8).Draw(rt, "tasks"),
			cpus:       rapid.SampledFrom([]float64{1, 2, 4}).Draw(rt, "cpus"),
			runSeconds: drawFloat(rt, "run", 4, 20)}
		wanted := team.CPUsMax * drawFloat(rt, "wanted share of the limit", 0.2, 0.8)
		stream.interval = max(config.Seconds(float64(stream.tasks)*stream.cpus*stream.runSeconds/wanted), 6*second)
		for at := 5 * second; at < end; at += stream.interval {
			s.At(at, func() { s.submitFrom(stream) })
		}
	}
}

// halfCapacity is, by team, half of the CPU seconds that its quota, or its part of the machines,
// gives in a span without faults: starts, image pulls, boots and reserved capacity take some.
func (d *deployment) halfCapacity(machineCPUs float64, span time.Duration) map[string]float64 {
	quotas, capacity := 0.0, map[string]float64{}
	for _, team := range d.settings.Site.Teams {
		quotas += team.CPUsMax
	}
	for _, team := range d.settings.Site.Teams {
		capacity[team.Name] = min(team.CPUsMax, machineCPUs*team.CPUsMax/quotas) / 2 * span.Seconds()
	}
	return capacity
}

// requireHalfOfEachClass fails the test if less than half of a class was done where the capacity
// allows it, and returns how many classes it has judged.
func (s *scenario) requireHalfOfEachClass(until time.Duration, capacity map[string]float64) (judged int) {
	s.t.Helper()
	broken, judged := s.Users.UnderservedClasses(until, capacity)
	for _, account := range broken {
		share := s.Users.ClassProgress(until)[account]
		s.t.Fatalf("%s of %s: %d of %d done, %d started\n%s", account.Class, account.Team, share.Done, share.Jobs, share.Started, s.lastLogs(*logLines))
	}
	return judged
}
