package core

import (
	"iter"
	"time"

	"github.com/chalkhub/chalkhub/internal/orderedmap"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// fleet is the autoscaler: it rents machines that the queued work needs (scale out) and drains
// and returns those that it does not (scale in). Only the leader's acts.
//
// Prices decide how: a spot machine is rented as soon as it pays, an on-demand machine only for
// work that would else miss its objective.
type fleet struct {
	core *Core

	// What is rented.
	instances      *orderedmap.Map[*instance]
	deletedNames   map[string]bool // deleted, by the cloud's word
	listing        instanceListing
	budget         cloudBudget
	createRequests map[string]*createRequest

	// Where new machines can be had.
	poolBackoffUntil map[pool]time.Duration
	poolRefusals     map[pool]int   // in a row
	failedBoots      map[string]int // by type: boots given up since one was up
	requestCounter   int

	// What is known of the zones.
	zonePartitionedSince map[string]time.Duration // zones most of which is silent, since when
	zoneRecoveredAt      map[string]time.Duration // zones that were silent, when they came back
	reachableByZone      map[string]int           // machines that are heard and up,
	machinesByZone       map[string]int           // of so many

	// The last round's results.
	usableByPool map[pool]int    // machines that are or will be of use
	cordoned     map[string]bool // machines that are to get no more tasks, as there is clearly too much
	desiredCPUs  float64

	// The work that comes in, as decaying sums; see decayInflow.
	inflowByUrgency  map[int]float64 // CPUs
	guaranteedInflow float64         // CPUs, of teams that are not best-effort
	decayedAt        time.Duration
	lastBurstAt      time.Duration
	burstReserve     float64 // CPUs to keep free for jobs that must not wait

	// The machine types, on their way from the cloud to the state service.
	typesRequested     bool
	cloudTypes         *protocol.MachineTypes // as the cloud told them, nil: not yet
	typesWriteInFlight bool
}

func newFleet(c *Core) *fleet {
	f := &fleet{core: c}
	f.reset()
	return f
}

// reset begins a leader's term without any memory of an earlier one. Calls to the cloud that are
// under way, and its call budget, outlast the term.
func (f *fleet) reset() {
	f.instances = orderedmap.New[*instance]()
	f.createRequests = map[string]*createRequest{}
	f.deletedNames = map[string]bool{}
	f.zonePartitionedSince, f.zoneRecoveredAt = map[string]time.Duration{}, map[string]time.Duration{}
	f.inflowByUrgency = map[int]float64{}
	f.burstReserve = 0
	f.poolBackoffUntil = map[pool]time.Duration{}
	f.poolRefusals = map[pool]int{}
	f.failedBoots = map[string]int{}
	f.listing.restart()
	f.desiredCPUs = 0
	f.cloudTypes = nil
}

// reconcile makes the calls that do not wait for a scheduling round: for the machine types and
// for the list of instances.
func (f *fleet) reconcile() {
	c := f.core
	if !c.membership.leading || !c.membership.mayServe() {
		return
	}
	f.storeMachineTypes()
	if len(c.records.machineTypes) == 0 || c.scheduler.epoch == 0 {
		return
	}
	f.requestList()
}

// cpuCapacity is how many CPUs there are, or will be once all that is under way is up.
type cpuCapacity struct {
	total, spot float64
}

func (c cpuCapacity) onDemand() float64 { return c.total - c.spot }

// add counts an instance, or with a negative number of CPUs takes one out.
func (c *cpuCapacity) add(cpus float64, spot bool) {
	c.total += cpus
	if spot {
		c.spot += cpus
	}
}

// autoscale compares the work that is queued with the machines there are, after each
// maintenance round. ranked is every unfinished job and waiting those that had tasks to
// dispatch, both in rank order.
func (f *fleet) autoscale(ranked, waiting []*queuedJob) {
	f.adoptUnlistedMachines()
	f.budget.scalingDeferred = false
	f.decayInflow()
	f.trackZones()
	f.countUsable()
	planned := f.plannedCapacity()
	demand := f.computeDemand(ranked)
	f.desiredCPUs = demand.total
	f.core.logDebug("demand", "total", demand.total, "on_time", demand.onTime, "on_time_on_demand", demand.onTimeOnDemand,
		"have", planned.total, "spot", planned.spot, "inflow", f.inflowByUrgency)
	f.scaleOut(waiting, demand, planned)
	f.scaleIn(demand, waiting)
	f.returnInstances()
}

// adoptUnlistedMachines takes over machines that the list does not show yet: those that report, or
// that an earlier leader has registered.
func (f *fleet) adoptUnlistedMachines() {
	c := f.core
	for name, view := range c.scheduler.machines.All() {
		unknown := f.instances.Get(name) == nil && !f.deletedNames[name]
		if unknown && (view.state.AcceptsTasks || c.records.machineRecords.Get(name) != nil) {
			inst := f.adopt(name, pool{view.state.Type, view.state.Zone, view.state.Spot})
			inst.cloudState = protocol.MachineRunning
		}
	}
}

func (f *fleet) countUsable() {
	f.usableByPool = map[pool]int{}
	for _, inst := range f.instances.All() {
		if f.isUsable(inst) {
			f.usableByPool[inst.pool]++
		}
	}
}

// plannedCapacity adds up the machines that are or will be of use.
func (f *fleet) plannedCapacity() cpuCapacity {
	var planned cpuCapacity
	for p, count := range f.plannedByPool() {
		if machineType := f.core.machineTypes()[p.typeName]; machineType != nil {
			planned.add(machineType.CPUs*float64(count), p.spot)
		}
	}
	return planned
}

// plannedByPool iterates over the pools with their usable machines, and then over those that are
// being created. A pool may come several times.
func (f *fleet) plannedByPool() iter.Seq2[pool, int] {
	return func(yield func(pool, int) bool) {
		for p, count := range f.usableByPool {
			if !yield(p, count) {
				return
			}
		}
		for _, request := range f.createRequests {
			if !yield(request.pool(), request.body.Count) {
				return
			}
		}
	}
}
