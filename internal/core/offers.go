package core

import (
	"iter"
	"math"
	"sort"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// offer is a pool in which a machine for a job could be rented, and what running the job's tasks
// costs there.
type offer struct {
	pool
	machineType *protocol.MachineType
	cost        float64 // hourly price per task that fits on a machine, with a share of the boot and image pull
}

// typicalLifetimeLeases is how long a machine is typically rented, in worker leases. The cost of
// its boot and its first image pull is spread over that time.
const typicalLifetimeLeases = 6

// offers lists the pools that could serve a job, cheapest first. Pools of the same cost are ordered
// by the number of usable machines in their zone, lowest first.
func (f *fleet) offers(spec *protocol.Job, onDemandOnly bool) []offer {
	lifetimeSeconds := typicalLifetimeLeases * f.core.intervals.workerLease.Seconds()
	machinesInZone := map[string]int{}
	for p, count := range f.usableByPool {
		machinesInZone[p.zone] += count
	}
	var offers []offer
	for p, machineType := range f.eligiblePools(spec) {
		if p.spot && onDemandOnly {
			continue
		}
		price := machineType.Price
		if p.spot {
			price = machineType.SpotPrice
		}
		pullSeconds := spec.ImageGB / max(machineType.FetchGBps, minFetchGBps)
		overhead := 1 + (machineType.BootS+pullSeconds)/lifetimeSeconds
		offers = append(offers, offer{pool: p, machineType: machineType, cost: price / tasksPerMachine(machineType, spec) * overhead})
	}
	sort.SliceStable(offers, func(a, b int) bool {
		if offers[a].cost != offers[b].cost {
			return offers[a].cost < offers[b].cost
		}
		return machinesInZone[offers[a].zone] < machinesInZone[offers[b].zone]
	})
	return offers
}

// minFetchGBps is the image pull rate, in gigabytes per second, of a machine type without a set
// rate. It is also the lowest rate that is assumed.
const minFetchGBps = 0.01

// eligiblePools iterates over the pools that could serve a job and are not in backoff after a
// refusal.
func (f *fleet) eligiblePools(spec *protocol.Job) iter.Seq2[pool, *protocol.MachineType] {
	return func(yield func(pool, *protocol.MachineType) bool) {
		for _, name := range sortedKeys(f.core.machineTypes()) {
			machineType := f.core.machineTypes()[name]
			if !binpacking.FitsMachineType(machineType, spec) {
				continue
			}
			for p := range poolsOf(machineType) {
				eligible := binpacking.AllowsMachine(spec, p.typeName, p.zone, p.spot) && f.poolBackoffUntil[p] <= f.core.now.Monotonic
				if eligible && !yield(p, machineType) {
					return
				}
			}
		}
	}
}

// poolsOf iterates over the pools of a type, in each zone spot before on-demand. A type without a
// spot price is not rented as spot.
func poolsOf(machineType *protocol.MachineType) iter.Seq[pool] {
	return func(yield func(pool) bool) {
		for _, zone := range machineType.Zones {
			if machineType.SpotPrice > 0 && !yield(pool{machineType.Name, zone, true}) {
				return
			}
			if !yield(pool{machineType.Name, zone, false}) {
				return
			}
		}
	}
}

// tasksPerMachine is the number of a job's tasks that fit on an empty machine.
func tasksPerMachine(machineType *protocol.MachineType, spec *protocol.Job) float64 {
	slots := math.Inf(1)
	limit := func(has, needs float64) {
		if needs > 0 {
			slots = min(slots, math.Floor(has/needs+binpacking.RoundingSlack))
		}
	}
	limit(machineType.CPUs, spec.CPUs)
	limit(machineType.GPUs, spec.GPUs)
	limit(machineType.MemoryGB, spec.MemoryGB)
	if math.IsInf(slots, 1) {
		return 1
	}
	return slots
}

// A pool that has refused a request is skipped for poolBackoffRounds maintenance rounds. Each
// further refusal doubles that, up to 1<<maxBackoffDoublings times as long.
const (
	poolBackoffRounds   = 5
	maxBackoffDoublings = 3
)

// backOffPool skips a pool for a while after a refusal.
func (f *fleet) backOffPool(p pool) {
	f.poolRefusals[p]++
	wait := poolBackoffRounds * f.core.intervals.maintenance << min(f.poolRefusals[p]-1, maxBackoffDoublings)
	f.poolBackoffUntil[p] = f.core.now.Monotonic + wait
	f.core.logDebug("cloud refused capacity, pool skipped for a while", "type", p.typeName, "zone", p.zone, "spot", p.spot, "wait", wait)
}

// noCapacityReason returns the waiting reason that is shown to users if every pool that could serve
// a job is in backoff after a refusal, and an empty string otherwise.
func (f *fleet) noCapacityReason(spec *protocol.Job) string {
	for range f.eligiblePools(spec) {
		return ""
	}
	return "the cloud has no machine of the allowed types to give"
}
