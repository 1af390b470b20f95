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

// The same simulations in every run, unless others are asked for:
// go test ./internal/core -run RandomizedSimulation -rapid.checks 2000 -rapid.seed 7
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "24", "rapid.nofailfile": "true", "rapid.shrinktime": "60s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// TestRandomizedSimulation draws a deployment, work for it and several overlapping faults.
// Whatever they are, no invariant is violated, requests are mostly answered once the faults are
// over, and every accepted job comes to its end.
func TestRandomizedSimulation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := drawDeployment(rt)
		s := &scenario{Cluster: simulation.NewWithSettings(rapid.Uint64().Draw(rt, "luck"), d.settings, d.types), t: rt}
		d.drawMachines(rt, s)
		d.drawUpgrade(rt, s)
		d.drawJobs(rt, s)
		s.Users.CheckReadYourWrites = rapid.IntRange(0, 3).Draw(rt, "close looks") == 3
		s.Cloud.InstantBoot = rapid.IntRange(0, 3).Draw(rt, "boots at once") == 3
		var kinds []string
		for range rapid.IntRange(0, 7).Draw(rt, "troubles") {
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
		over := s.RunUntil(s.Now+timeout, s.Users.AllFinal)
		s.requireInvariants()
		if !over {
			rt.Fatalf("not over within %v: %s\n%s", timeout, d.unfinished(), s.lastLogs(*logLines))
		}
	})
	t.Log(drawnPairs.String())
}

// requireResponses fails the test unless nine of ten requests are answered, or all but one.
func (s *scenario) requireResponses(d *deployment) {
	s.t.Helper()
	asked, served := s.Users.Requests, s.Users.Served
	s.Run(s.Now + max(2*d.lease(), 20*second))
	asked, served = s.Users.Requests-asked, s.Users.Served-served
	if asked-served > max(asked/10, 1) {
		s.t.Fatalf("after all faults %d of %d requests are answered\n%s", served, asked, s.lastLogs(*logLines))
	}
}

// cancelEndless has users give up in the end on what runs for ever or fails everywhere.
func (s *scenario) cancelEndless(d *deployment) {
	s.t.Helper()
	for _, job := range d.endlessJobs {
		if job.Rejected == 0 && job.LastState == "" {
			s.eventually(2*d.lease()+10*second, "a job is accepted", func() bool { return job.LastState != "" || job.Rejected != 0 })
		}
		if job.Rejected == 0 {
			s.Users.Cancel(job)
		}
	}
}

// faultPairs counts how often two kinds of faults were drawn for one simulation, so that what
// was never tried is seen.
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
	var never []string
	total := 0
	sorted := slices.Sorted(slices.Values(faultKinds))
	for i, a := range sorted {
		for _, b := range sorted[i:] {
			if total++; p[[2]string{a, b}] == 0 {
				never = append(never, a+" + "+b)
			}
		}
	}
	return fmt.Sprintf("%d of %d pairs of faults were drawn; among those that were not: %s",
		total-len(never), total, strings.Join(never[:min(len(never), 5)], ", "))
}

func TestEveryFaultKindIsDrawnAndInjected(t *testing.T) {
	if len(faultKinds) != len(injectors) {
		t.Errorf("%d kinds are drawn, %d can be injected", len(faultKinds), len(injectors))
	}
	for _, kind := range faultKinds {
		if injectors[kind] == nil {
			t.Errorf("%q is drawn and nothing injects it", kind)
		}
	}
}
