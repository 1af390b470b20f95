package core

import (
	"iter"
	"time"

	"github.com/chalkhub/chalkhub/internal/orderedmap"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// fleet is the autoscaler of the leader: it rents the machines that the queued work needs (scale
// out), and drains and returns those that the work does not need (scale in). On followers it does
// nothing.
//
// The choice between spot and on-demand follows the price: a spot machine is rented as soon as the
// work is worth its boot time, an on-demand machine only for work that would otherwise miss its
// objective.
type fleet struct {
	core *Core

	// Rented machines.
	instances      *orderedmap.Map[*instance]
	deletedNames   map[string]bool // machines whose deletion the cloud has confirmed
	listing        instanceListing
	budget         cloudBudget
	createRequests map[string]*createRequest

	// Availability in the cloud.
	poolBackoffUntil map[pool]time.Duration
	poolRefusals     map[pool]int   // consecutive refusals
	failedBoots      map[string]int // by type: boots that timed out since the last one that succeeded
	requestCounter   int

	// State of the zones.
	zonePartitionedSince map[string]time.Duration // when each partitioned zone became partitioned
	zoneRecoveredAt      map[string]time.Duration // when a zone last recovered from a partition
	reachableByZone      map[string]int           // machines confirmed up
	machinesByZone       map[string]int           // all known machines

	// Results of the last maintenance round.
	usableByPool map[pool]int    // machines that are, or will be, able to run tasks
	cordoned     map[string]bool // machines that get no more tasks because of a clear surplus
	desiredCPUs  float64

	// Inflow of work, as sums that decay over time; see decayInflow.
	inflowByUrgency  map[int]float64 // CPUs
	guaranteedInflow float64         // CPUs, of teams that are not best-effort
	decayedAt        time.Duration
	lastBurstAt      time.Duration
	burstReserve     float64 // CPUs kept free for jobs with an objective for their waiting time

	// Machine types, which are read from the cloud and written to the state service.
	typesRequested     bool
	cloudTypes         *protocol.MachineTypes // machine types that the cloud returned, nil until it has returned any
	typesWriteInFlight bool
}

func newFleet(c *Core) *fleet {
	f := &fleet{core: c}
	f.reset()
	return f
}

// reset discards all state of an earlier term when a leader's term begins. Calls to the cloud that
// are in flight, and the budget for such calls, carry over.
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

// reconcile makes the calls that do not depend on scheduling rounds: those for the machine types
// and for the list of instances.
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

// cpuCapacity is the number of CPUs of machines that are up, requested or booting.
type cpuCapacity struct {
	total, spot float64
}

func (c cpuCapacity) onDemand() float64 { return c.total - c.spot }

// add counts the CPUs of an instance; a negative number removes them.
func (c *cpuCapacity) add(cpus float64, spot bool) {
	c.total += cpus
	if spot {
		c.spot += cpus
	}
}

// autoscale compares the queued work with the existing machines. It runs after each maintenance
// round. ranked has every unfinished job, waiting those that had tasks to dispatch; both are in
// rank order.
func (f *fleet) autoscale(ranked, waiting []*queuedJob) {
	f.adoptUnlistedMachines()
	f.budget.scalingDeferred = false
	f.decayInflow()
	f.trackZones()
	f.countUsable()
	planned := f.plannedCapacity()
	demand := f.computeDemand(ranked)
	f.desiredCPUs = demand.total
	f.core.logDebug("CPU demand computed", "total", demand.total, "on_time", demand.onTime, "on_time_on_demand", demand.onTimeOnDemand,
		"have", planned.total, "spot", planned.spot, "inflow", f.inflowByUrgency)
	f.scaleOut(waiting, demand, planned)
	f.scaleIn(demand, waiting)
	f.returnInstances()
}

// adoptUnlistedMachines adds the machines that the cloud's list does not show yet but that report
// to a shard and accept tasks, or that an earlier leader has registered.
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

// plannedCapacity adds up the machines that can run tasks now or later, including requested ones.
func (f *fleet) plannedCapacity() cpuCapacity {
	var planned cpuCapacity
	for p, count := range f.plannedByPool() {
		if machineType := f.core.machineTypes()[p.typeName]; machineType != nil {
			planned.add(machineType.CPUs*float64(count), p.spot)
		}
	}
	return planned
}

// plannedByPool iterates over the pools and their numbers of usable machines, then over the
// machines that are being created. A pool may occur more than once.
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
