package core

import "time"

// isLost reports whether a machine is neither heard nor able to do work.
func (f *fleet) isLost(v *machineView) bool {
	return v.state.Silent || v.state.TasksComplete && !v.state.AcceptsTasks
}

// isZonePartitioned reports whether most of a zone went silent a short while ago: then it is
// the network that fails, and machines hired instead would boot for longer than
// most cuts last.
func (f *fleet) isZonePartitioned(zone string) bool {
	since, ok := f.silentZones[zone]
	return ok && f.core.now.Monotonic-since < 4*f.core.intervals.workerLease
}

// trackZones follows which zones are cut off.
func (f *fleet) trackZones() {
	lost, all := map[string]int{}, map[string]int{}
	f.reachableByZone, f.machinesByZone = map[string]int{}, map[string]int{}
	for _, v := range f.core.scheduler.machines.all() {
		f.machinesByZone[v.state.Zone]++
		if v.state.TasksComplete && v.state.AcceptsTasks && !v.state.Silent {
			f.reachableByZone[v.state.Zone]++
		}
		// Machines in the register have been up, whoever led then. Guards against a leader
		// that has never seen a zone's machines: it took the cut for 382 dead machines.
		if v.state.Type == "" || v.upSince < 0 && !v.registered {
			continue
		}
		all[v.state.Zone]++
		if f.isLost(v) {
			lost[v.state.Zone]++
		}
	}
	for zone, n := range all {
		_, was := f.silentZones[zone]
		switch is := n >= 2 && lost[zone]*2 > n; {
		case is && !was:
			f.silentZones[zone] = f.core.now.Monotonic
			f.core.logInfo("most of a zone is silent", "zone", zone, "silent", lost[zone], "machines", n)
		case was && lost[zone]*4 < n:
			delete(f.silentZones, zone)
			f.recoveredZones[zone] = f.core.now.Monotonic
		}
	}
}

// isZoneRecovering reports whether a zone is cut off, or was until its machines can only just
// have come back one after another.
//
// Guards against giving up machines that are about to be heard again: when a cut of 95 s
// ended, 266 of a zone's 387 machines were returned within five seconds, some for having
// been silent so long, the others because half of their zone was heard before them, and
// were rented and booted anew.
func (f *fleet) isZoneRecovering(zone string) bool {
	if _, cut := f.silentZones[zone]; cut {
		return true
	}
	at, ok := f.recoveredZones[zone]
	return ok && f.core.now.Monotonic-at < f.core.intervals.machineLeaseExpiry
}

// silenceBeforeReturn is how long a machine of a zone may be silent after it has dropped its tasks
// before it is returned. In a zone that is cut off another one would be as silent.
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
	seen, all := f.reachableByZone[v.state.Zone], f.machinesByZone[v.state.Zone]-1
	if v.state.TasksComplete && v.state.AcceptsTasks && !v.state.Silent {
		seen--
	}
	return seen > 0 && seen*2 >= all
}
