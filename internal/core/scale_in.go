package core

import (
	"slices"
	"sort"
	"time"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// minInstanceAge is how old a machine must be before it is returned for being idle. The cloud
// charges for at least a minute.
const minInstanceAge = 55 * time.Second

// isClearSurplus reports whether a number of CPUs exceeds what is wanted by a quarter or more.
func isClearSurplus(cpus, wanted float64) bool { return cpus >= wanted*5/4 }

// scaleIn returns machines that are not needed. An on-demand machine that is not needed to meet
// objectives is made unschedulable: the leader plans no tasks for it, and it is returned when its
// last task ends. A spot machine is made unschedulable only if there is a clear surplus, and is
// returned after it has been idle for a while.
//
// Only machines that are up count as capacity. When booting machines counted as well, machines that
// were up were made unschedulable or returned as surplus before the others had booted, which left a
// full queue beside empty machines.
func (f *fleet) scaleIn(demand capacityDemand, waiting []*queuedJob) {
	f.cordoned = map[string]bool{}
	for _, view := range f.core.scheduler.machines.All() {
		view.unschedulable = false
	}
	running, capacity := f.runningInstances()
	f.sortForReturn(running)
	wantedCPUs := max(demand.total, demand.inUse)
	planned := f.core.scheduler.plannedAttempts()
	constrained := slices.DeleteFunc(slices.Clone(waiting), func(job *queuedJob) bool { return !f.isConstrained(job) })
	for _, inst := range running {
		cpus := f.core.machineTypes()[inst.typeName].CPUs
		if f.isNeeded(inst, constrained) || !demand.canSpare(cpus, inst.spot, capacity, wantedCPUs) {
			continue
		}
		f.cordonOrReturn(inst, len(planned[inst.name]) > 0, isClearSurplus(capacity.total-cpus, wantedCPUs))
		capacity.add(-cpus, inst.spot)
	}
	f.publishCordons()
	f.evictFromCordoned(running)
}

// runningInstances lists the machines that are up and of a known type, and adds up the CPUs of
// those that can run tasks.
func (f *fleet) runningInstances() ([]*instance, cpuCapacity) {
	var running []*instance
	var capacity cpuCapacity
	for name, inst := range f.instances.All() {
		view, machineType := f.core.scheduler.machines.Get(name), f.core.machineTypes()[inst.typeName]
		if inst.returnReason != "" || view == nil || !view.state.AcceptsTasks || view.upSince < 0 || machineType == nil {
			continue
		}
		running = append(running, inst)
		if f.isUsable(inst) {
			capacity.add(machineType.CPUs, inst.spot)
		}
	}
	return running, capacity
}

// sortForReturn sorts the machines so that those to be returned first come first: on-demand before
// spot, and within each kind by CPU utilization, lowest first.
func (f *fleet) sortForReturn(running []*instance) {
	for _, inst := range running {
		inst.cpuUtilization = f.core.scheduler.machines.Get(inst.name).used.cpus / f.core.machineTypes()[inst.typeName].CPUs
	}
	sort.SliceStable(running, func(a, b int) bool {
		if running[a].spot != running[b].spot {
			return running[b].spot
		}
		return running[a].cpuUtilization < running[b].cpuUtilization
	})
}

// canSpare reports whether the demand is met without a machine that has the given number of CPUs.
// Spot machines do not count for work that must not run on them.
func (d *capacityDemand) canSpare(cpus float64, spot bool, capacity cpuCapacity, wanted float64) bool {
	if !spot {
		return capacity.total-cpus >= d.onTime && capacity.onDemand()-cpus >= d.onTimeOnDemand
	}
	needed := capacity.total-cpus < wanted && (d.totalOnDemand == 0 || capacity.spot-cpus < wanted-d.totalOnDemand)
	return !needed
}

// cordonOrReturn keeps new tasks off a machine that can be spared, and returns the machine if it is
// idle. In a clear surplus its shard is ordered to place no tasks on it, and an idle spot machine
// is not kept for work that may arrive. planned means that the leader has dispatched tasks to the
// shard because of the free capacity on this machine, and that the shard has not placed them yet.
//
// It guards against returning a machine in the round in which the last tasks of a job are
// dispatched to it: no task of the job waits any more, and none is on the machine yet.
func (f *fleet) cordonOrReturn(inst *instance, planned, surplus bool) {
	c := f.core
	view := c.scheduler.machines.Get(inst.name)
	idle := len(view.attempts) == 0 && !planned
	if inst.spot {
		idleTime := config.Seconds(c.machineTypes()[inst.typeName].BootS * c.policy.IdleBoots)
		idle = idle && (surplus || c.now.Monotonic-view.emptySince >= idleTime)
	}
	view.unschedulable = surplus || !inst.spot
	f.cordoned[inst.name] = surplus
	if idle && c.now.Monotonic-inst.createdAt >= minInstanceAge {
		f.beginReturn(inst, returnIdle)
	}
}

// isConstrained reports whether only few machines can serve a job, or it needs many at once, or no
// spot machine can serve it.
//
// The last case prevents an endless cycle where no machine type is rented as spot: an on-demand
// machine that was rented for a job without an objective was made unschedulable or returned, and
// replaced by a new one.
func (f *fleet) isConstrained(job *queuedJob) bool {
	spec := &job.entry.record.Spec
	return len(spec.MachineTypes) > 0 || spec.Zone != "" || spec.OneZone || spec.Spread || !spec.AllowSpot ||
		spec.Kind == protocol.KindGang || !f.hasSpotType(spec)
}

// hasSpotType reports whether any machine type that fits a task of a job is rented as spot.
func (f *fleet) hasSpotType(spec *protocol.Job) bool {
	for _, machineType := range f.core.machineTypes() {
		if machineType.SpotPrice > 0 && binpacking.AllowsType(spec, machineType.Name) && binpacking.FitsMachineType(machineType, spec) {
			return true
		}
	}
	return false
}

// isNeeded reports whether a waiting constrained job could use a machine. The machine is then not
// returned, however much free capacity there is elsewhere.
func (f *fleet) isNeeded(inst *instance, constrained []*queuedJob) bool {
	machineType := f.core.machineTypes()[inst.typeName]
	if machineType == nil {
		return false
	}
	for _, job := range constrained {
		spec := &job.entry.record.Spec
		inZone := spec.Zone == "" || spec.Zone == inst.zone
		if zones := job.entry.record.Zones; len(zones) > 0 {
			inZone = slices.Contains(zones, inst.zone)
		}
		if !inZone || inst.spot && !spec.AllowSpot {
			continue
		}
		if binpacking.FitsMachineType(machineType, spec) && binpacking.AllowsType(spec, inst.typeName) {
			return true
		}
	}
	return false
}
