package core

import (
	"slices"
	"sort"
	"time"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// minInstanceAge is how old a machine gets before it is returned for being idle: the cloud
// charges a minute at least.
const minInstanceAge = 55 * time.Second

// isClearSurplus reports whether so many CPUs are a quarter more than what is wanted, or above.
func isClearSurplus(cpus, wanted float64) bool { return cpus >= wanted*5/4 }

// scaleIn returns machines that are not needed. An on-demand machine that the work due does not
// need is made unschedulable: the leader plans nothing for it, and it is returned when its last
// task ends. A spot machine is made unschedulable when there is clearly too much, and returned
// when it has been idle for a while.
//
// Guards against machines that were taken out for the sake of those that still booted, which
// left a full queue and empty machines: only machines that are up count.
func (f *fleet) scaleIn(demand capacityDemand, waiting []*queuedJob) {
	f.cordoned = map[string]bool{}
	for _, view := range f.core.scheduler.machines.All() {
		view.unschedulable = false
	}
	running, capacity := f.runningInstances()
	f.sortForReturn(running)
	wanted := max(demand.total, demand.inUse)
	planned := f.core.scheduler.plannedAttempts()
	constrained := slices.DeleteFunc(slices.Clone(waiting), func(job *queuedJob) bool { return !f.isConstrained(job) })
	for _, inst := range running {
		cpus := f.core.machineTypes()[inst.typeName].CPUs
		if f.isNeeded(inst, constrained) || !demand.canSpare(cpus, inst.spot, capacity, wanted) {
			continue
		}
		f.cordonOrReturn(inst, len(planned[inst.name]) > 0, isClearSurplus(capacity.total-cpus, wanted))
		capacity.add(-cpus, inst.spot)
	}
	f.publishCordons()
	f.evictFromCordoned(running)
}

// runningInstances lists the machines that are up and of a known type, and adds up those of use.
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

// sortForReturn puts the machines to be returned first in front: on-demand before spot, and the
// emptiest first.
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

// canSpare reports whether the demand is met without a machine of so many CPUs. A spot machine
// serves none of the work that must not run on one.
func (d *capacityDemand) canSpare(cpus float64, spot bool, capacity cpuCapacity, wanted float64) bool {
	if !spot {
		return capacity.total-cpus >= d.onTime && capacity.onDemand()-cpus >= d.onTimeOnDemand
	}
	needed := capacity.total-cpus < wanted && (d.totalOnDemand == 0 || capacity.spot-cpus < wanted-d.totalOnDemand)
	return !needed
}

// cordonOrReturn has a machine that can be spared get no new tasks, and returns it if it is idle. With
// a clear surplus its shard is told not to fill it, and an idle spot machine is not kept for
// work that may come. planned: tasks have been dispatched for the room on it.
//
// Guards against a machine that is returned in the round in which a job's last tasks were dispatched
// to it: nothing of the job waited any more, and nothing of it was there yet.
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

// isConstrained reports whether few machines can serve a job, or it needs many at once, or no
// spot machine can serve it.
//
// Guards against an on-demand machine that was rented for a job without an objective, taken out
// and replaced by a new one, for ever, where nothing is rented as spot.
func (f *fleet) isConstrained(job *queuedJob) bool {
	spec := &job.entry.record.Spec
	return len(spec.MachineTypes) > 0 || spec.Zone != "" || spec.OneZone || spec.Spread || !spec.AllowSpot ||
		spec.Kind == protocol.KindGang || !f.hasSpotType(spec)
}

// hasSpotType reports whether a machine type that holds a task of a job is rented as spot.
func (f *fleet) hasSpotType(spec *protocol.Job) bool {
	for _, machineType := range f.core.machineTypes() {
		if machineType.SpotPrice > 0 && binpacking.AllowsType(spec, machineType.Name) && binpacking.FitsMachineType(machineType, spec) {
			return true
		}
	}
	return false
}

// isNeeded reports whether a waiting constrained job could use a machine: however much room
// there is elsewhere, it is not returned then.
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
