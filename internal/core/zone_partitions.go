package core

import "time"

// Zones whose machines fall silent together: then the network between them and the controllers has
// failed, not the machines.

// A zone counts as partitioned while more than half of its machines are lost, and no longer once
// less than a quarter is: it does not go back and forth as machines come back one after another.
const (
	partitionDivisor = 2
	recoveryDivisor  = 4
	// minPartitionMachines keeps one silent machine from passing for a silent zone.
	minPartitionMachines = 2
)

// isLost reports whether a machine is neither heard nor able to do work.
func (f *fleet) isLost(v *machineView) bool {
	return v.state.Silent || v.state.TasksComplete && !v.state.AcceptsTasks
}

// isZonePartitioned reports whether most of a zone went silent a short while ago: then it is
// the network that fails, and machines hired instead would boot for longer than
// most partitions last.
func (f *fleet) isZonePartitioned(zone string) bool {
	since, ok := f.zonePartitionedSince[zone]
	return ok && f.core.now.Monotonic-since < 4*f.core.intervals.workerLease
}

// trackZones follows which zones are partitioned.
func (f *fleet) trackZones() {
	lost, all := f.countByZone()
	for zone, machines := range all {
		_, partitioned := f.zonePartitionedSince[zone]
		mostLost := machines >= minPartitionMachines && lost[zone]*partitionDivisor > machines
		switch {
		case mostLost && !partitioned:
			f.zonePartitionedSince[zone] = f.core.now.Monotonic
			f.core.logInfo("zone partitioned: most of its machines are silent", "zone", zone, "silent", lost[zone], "machines", machines)
		case partitioned && lost[zone]*recoveryDivisor < machines:
			delete(f.zonePartitionedSince, zone)
			f.zoneRecoveredAt[zone] = f.core.now.Monotonic
		}
	}
}

// countByZone counts the machines of each zone: those that were ever up, how many of them are lost,
// and for isZoneReachable those that are known and heard.
func (f *fleet) countByZone() (lost, all map[string]int) {
	lost, all = map[string]int{}, map[string]int{}
	f.reachableByZone, f.machinesByZone = map[string]int{}, map[string]int{}
	for _, v := range f.core.scheduler.machines.All() {
		f.machinesByZone[v.state.Zone]++
		if isConfirmedUp(v) {
			f.reachableByZone[v.state.Zone]++
		}
		// Machines in the registry have been up, whoever led then. Guards against a leader
		// that has never seen a zone's machines: it took the partition for 382 dead machines.
		if v.state.Type == "" || v.upSince < 0 && !v.registered {
			continue
		}
		all[v.state.Zone]++
		if f.isLost(v) {
			lost[v.state.Zone]++
		}
	}
	return lost, all
}

// isConfirmedUp reports whether a machine is known for sure to be up.
func isConfirmedUp(v *machineView) bool {
	return v.state.TasksComplete && v.state.AcceptsTasks && !v.state.Silent
}

// isZoneRecovering reports whether a zone is partitioned, or was until its machines can only just
// have come back one after another.
//
// Guards against giving up machines that are about to be heard again: when a partition of 95 s
// ended, 266 of a zone's 387 machines were returned within five seconds, some for having
// been silent so long, the others because half of their zone was heard before them, and
// were rented and booted anew.
func (f *fleet) isZoneRecovering(zone string) bool {
	if _, partitioned := f.zonePartitionedSince[zone]; partitioned {
		return true
	}
	recoveredAt, ok := f.zoneRecoveredAt[zone]
	return ok && f.core.now.Monotonic-recoveredAt < f.core.intervals.machineLeaseExpiry
}

// silenceBeforeReturn is how long a machine of a zone may be silent after it has dropped its tasks
// before it is returned. In a zone that is partitioned another one would be as silent.
func (f *fleet) silenceBeforeReturn(zone string) time.Duration {
	if f.isZoneRecovering(zone) {
		return 10 * f.core.intervals.machineLeaseExpiry
	}
	return 3 * f.core.intervals.machineLeaseExpiry
}

// isZoneReachable reports whether most of a machine's zone is heard, so that its
// own silence means that it is dead and not that the network is.
func (f *fleet) isZoneReachable(v *machineView) bool {
	if f.isZoneRecovering(v.state.Zone) {
		return false
	}
	reachable, others := f.reachableByZone[v.state.Zone], f.machinesByZone[v.state.Zone]-1
	if isConfirmedUp(v) {
		reachable--
	}
	return reachable > 0 && reachable*2 >= others
}
