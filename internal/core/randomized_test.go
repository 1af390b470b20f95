package core_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/chalkhub/chalkhub/internal/simulation"
)

// By default, every run of the tests draws the same simulations. This command draws others:
// go test ./internal/core -run RandomizedSimulation -rapid.checks 2000 -rapid.seed 7
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "24", "rapid.nofailfile": "true", "rapid.shrinktime": "60s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// TestRandomizedSimulation draws a deployment, jobs and up to seven faults, which may overlap. No invariant
// may be violated. Once the faults are over, nine of ten requests must get a response, and every accepted
// job must be done or cancelled.
func TestRandomizedSimulation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := drawDeployment(rt)
		s := &scenario{Cluster: simulation.NewWithSettings(rapid.Uint64().Draw(rt, "simulation seed"), d.settings, d.types), t: rt}
		d.drawMachines(rt, s)
		d.drawUpgrade(rt, s)
		d.drawJobs(rt, s)
		s.Users.CheckReadYourWrites = rapid.IntRange(0, 3).Draw(rt, "check read-your-writes") == 3
		s.Cloud.InstantBoot = rapid.IntRange(0, 3).Draw(rt, "instant boot") == 3
		var kinds []string
		for range rapid.IntRange(0, 7).Draw(rt, "faults") {
			kinds = append(kinds, d.drawFault(rt, s))
		}
		drawnPairs.add(kinds)
		s.Run(d.faultsOverAt)
		s.Loss, s.Store.DelayedCommitShare, s.Users.FaultsOverAt = 0, 0, s.Now
		s.requireInvariants()
		s.Run(s.Now + 3*d.lease())
		s.requireResponses(d)
		s.cancelEndless(d)
		timeout := d.completionTimeout(s)
		allFinal := s.RunUntil(s.Now+timeout, s.Users.AllFinal)
		s.requireInvariants()
		if !allFinal {
			rt.Fatalf("jobs not done or cancelled within %v after the faults: %s\n%s", timeout, d.unfinished(), s.lastLogs(*logLines))
		}
	})
	t.Log(drawnPairs.String())
}

// requireResponses lets the simulation run for two leases, at least 20 seconds, and fails the test if more
// than a tenth of the requests in that time, and more than one of them, got no response.
func (s *scenario) requireResponses(d *deployment) {
	s.t.Helper()
	requests, answered := s.Users.Requests, s.Users.Served
	s.Run(s.Now + max(2*d.lease(), 20*second))
	requests, answered = s.Users.Requests-requests, s.Users.Served-answered
	if requests-answered > max(requests/10, 1) {
		s.t.Fatalf("after the end of all faults, %d of %d requests got a response\n%s", answered, requests, s.lastLogs(*logLines))
	}
}

// cancelEndless makes users cancel the jobs that would never end by themselves: services, and jobs that fail
// on every machine.
func (s *scenario) cancelEndless(d *deployment) {
	s.t.Helper()
	for _, job := range d.endlessJobs {
		if job.Rejected == 0 && job.LastState == "" {
			s.eventually(2*d.lease()+10*second, "an endless job is accepted or rejected", func() bool { return job.LastState != "" || job.Rejected != 0 })
		}
		if job.Rejected == 0 {
			s.Users.Cancel(job)
		}
	}
}

// faultPairs counts, by two kinds of faults, how often both were drawn for one simulation. Its String
// method names pairs that were never drawn.
type faultPairs map[[2]string]int

var drawnPairs = faultPairs{}

func (p faultPairs) add(kinds []string) {
	slices.Sort(kinds)
	for i, a := range kinds {
		for _, b := range kinds[i+1:] {
			p[[2]string{a, b}]++
		}
	}
}

func (p faultPairs) String() string {
	var notDrawn []string
	total := 0
	sorted := slices.Sorted(slices.Values(faultKinds))
	for i, a := range sorted {
		for _, b := range sorted[i:] {
			if total++; p[[2]string{a, b}] == 0 {
				notDrawn = append(notDrawn, a+" + "+b)
			}
		}
	}
	return fmt.Sprintf("%d of %d pairs of fault kinds were drawn; the first that were not: %s",
		total-len(notDrawn), total, strings.Join(notDrawn[:min(len(notDrawn), 5)], ", "))
}

func TestEveryFaultKindIsDrawnAndInjected(t *testing.T) {
	if len(faultKinds) != len(injectors) {
		t.Errorf("faultKinds lists %d kinds, injectors has %d", len(faultKinds), len(injectors))
	}
	for _, kind := range faultKinds {
		if injectors[kind] == nil {
			t.Errorf("fault kind %q is drawn but has no injector", kind)
		}
	}
}
