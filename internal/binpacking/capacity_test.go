package binpacking

import (
	"testing"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

func TestReleaseRestoresAllocatedCapacity(t *testing.T) {
	free := Capacity{CPUs: 0.3, GPUs: 1, MemoryGB: 4}
	job := &protocol.Job{CPUs: 0.1, MemoryGB: 1}
	for n := range 3 { // in floating point, three times 0.1 is more than 0.3
		if !free.Fits(job) {
			t.Fatalf("task %d does not fit", n)
		}
		free.Allocate(job)
	}
	if free.Fits(job) {
		t.Error("a fourth task fits on a machine with capacity for three")
	}
	free.Release(job)
	if !free.Fits(job) {
		t.Error("a task does not fit after the release of one of the same size")
	}
}

func TestJobConstraintsLimitMachines(t *testing.T) {
	onDemand := Capacity{TypeName: "barn", Zone: "a"}
	spot := Capacity{TypeName: "box", Zone: "b", Spot: true}
	for _, c := range []struct {
		name           string
		job            protocol.Job
		onDemand, spot bool
	}{
		{"any on-demand machine", protocol.Job{}, true, false},
		{"any machine", protocol.Job{AllowSpot: true}, true, true},
		{"one type", protocol.Job{AllowSpot: true, MachineTypes: []string{"box"}}, false, true},
		{"one zone", protocol.Job{AllowSpot: true, Zone: "a"}, true, false},
	} {
		if got := onDemand.AllowsJob(&c.job); got != c.onDemand {
			t.Errorf("%s: on-demand machine allowed: %v, want the opposite", c.name, got)
		}
		if got := spot.AllowsJob(&c.job); got != c.spot {
			t.Errorf("%s: spot instance allowed: %v, want the opposite", c.name, got)
		}
	}
}

func TestTasksRunOnlyInZonesOfJobRecord(t *testing.T) {
	inA, inB := Capacity{Zone: "a"}, Capacity{Zone: "b"}
	for _, c := range []struct {
		name     string
		record   records.Job
		index    int
		inA, inB bool
	}{
		{"job without zone constraint", records.Job{}, 0, true, true},
		{"zone of a job in one zone not chosen yet", records.Job{Spec: protocol.Job{OneZone: true}}, 0, false, false},
		{"zone of a job in one zone chosen", records.Job{Spec: protocol.Job{OneZone: true}, Zones: []string{"b"}}, 0, false, true},
		{"zones of a spread job not chosen yet", records.Job{Spec: protocol.Job{Spread: true}}, 0, false, false},
		{"spread, even task", records.Job{Spec: protocol.Job{Spread: true}, Zones: []string{"a", "b"}}, 2, true, false},
		{"spread, odd task", records.Job{Spec: protocol.Job{Spread: true}, Zones: []string{"a", "b"}}, 3, false, true},
	} {
		if got := inA.AllowsTask(&c.record, c.index); got != c.inA {
			t.Errorf("%s: allowed in zone a: %v, want the opposite", c.name, got)
		}
		if got := inB.AllowsTask(&c.record, c.index); got != c.inB {
			t.Errorf("%s: allowed in zone b: %v, want the opposite", c.name, got)
		}
	}
}

func TestBetterFitPrefersImageThenSpotThenLeastFree(t *testing.T) {
	cached := map[string]bool{"img": true}
	for _, c := range []struct {
		name   string
		better Capacity
		worse  Capacity
	}{
		{"a cached image outweighs the lower price of a spot instance", Capacity{CachedImages: cached}, Capacity{Spot: true}},
		{"a spot instance outweighs consolidation", Capacity{Spot: true, CPUs: 8}, Capacity{CPUs: 1}},
		{"fewer CPUs are free", Capacity{CPUs: 1}, Capacity{CPUs: 2}},
		{"less memory is free", Capacity{CPUs: 1, MemoryGB: 1}, Capacity{CPUs: 1, MemoryGB: 2}},
	} {
		if !BetterFit(&c.better, &c.worse, "img") || BetterFit(&c.worse, &c.better, "img") {
			t.Errorf("%s: the better machine is not preferred, or the worse one is", c.name)
		}
	}
}
