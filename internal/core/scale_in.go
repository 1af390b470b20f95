package core

import (
	"slices"
	"sort"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// scaleIn returns machines that are not needed. An ordinary machine that the
// work due does not need is parked: it gets no new tasks, and goes when its last
// one ends. A cheap one is parked when there is clearly too much, and goes when
// it has been idle for a while.
//
// Only machines that are up count: parking for the sake of those that still
// boot left a full queue and empty machines.
func (f *fleet) scaleIn(d capacityDemand, waiting []*queuedJob) {
	c := f.core
	f.cordoned = map[string]bool{}
	for _, v := range c.scheduler.machines.all() {
		v.unschedulable = false
	}
	var up []*instance
	var have, spot float64
	for name, h := range f.instances.all() {
		v := c.scheduler.machines.get(name)
		if h.returnReason == "" && v != nil && v.state.AcceptsTasks && v.upSince >= 0 && c.machineTypes()[h.typeName] != nil {
			up = append(up, h)
			if f.isUsable(h) {
				have += c.machineTypes()[h.typeName].CPUs
				if h.spot {
					spot += c.machineTypes()[h.typeName].CPUs
				}
			}
		}
	}
	for _, h := range up {
		h.cpuShare = c.scheduler.machines.get(h.name).used.cpus / c.machineTypes()[h.typeName].CPUs
	}
	sort.SliceStable(up, func(a, b int) bool {
		if up[a].spot != up[b].spot {
			return up[b].spot
		}
		return up[a].cpuShare < up[b].cpuShare
	})
	enough := max(d.total, d.inUse)
	waiting = slices.DeleteFunc(slices.Clone(waiting), func(q *queuedJob) bool { return !f.isConstrained(q) })
	for _, h := range up {
		if f.isNeeded(h, waiting) {
			continue
		}
		v, mt := c.scheduler.machines.get(h.name), c.machineTypes()[h.typeName]
		// A cheap machine serves none of the work that may not run on one.
		want := have-mt.CPUs < enough && (d.totalOnDemand == 0 || spot-mt.CPUs < enough-d.totalOnDemand)
		if h.spot && want || !h.spot && (have-mt.CPUs < d.onTime || have-spot-mt.CPUs < d.onTimeOnDemand) {
			continue
		}
		idle := len(v.attempts) == 0
		surplus := have-mt.CPUs >= enough*5/4
		if h.spot {
			keep := config.Seconds(mt.BootS * c.policy.IdleBoots)
			idle = idle && (surplus || c.now.Monotonic-v.emptySince >= keep)
		}
		v.unschedulable = surplus || !h.spot
		f.cordoned[h.name] = surplus
		have -= mt.CPUs
		if h.spot {
			spot -= mt.CPUs
		}
		if idle && c.now.Monotonic-h.createdAt >= 55*time.Second {
			f.beginReturn(h, "idle")
		}
	}
	f.publishCordons()
	f.evictFromCordoned(up)
}

// isConstrained reports whether few machines can serve a job, or it needs many at once, or no
// cheap one can: the ordinary machine that was hired for a job without an aim was parked,
// and returned for a new one, for ever, where nothing is rented cheap.
func (f *fleet) isConstrained(q *queuedJob) bool {
	s := &q.entry.record.Spec
	return len(s.MachineTypes) > 0 || s.Zone != "" || s.OneZone || s.Spread || !s.AllowSpot || s.Kind == protocol.KindGang || !f.hasSpotType(s)
}

// hasSpotType reports whether a machine type that holds a task is rented cheap.
func (f *fleet) hasSpotType(s *protocol.Job) bool {
	for _, mt := range f.core.machineTypes() {
		if mt.SpotPrice > 0 && allowsType(s, mt.Name) && fitsEmptyMachine(mt, s) {
			return true
		}
	}
	return false
}

// isNeeded reports whether a waiting job that few machines can serve, or that
// needs many at once, could use a machine: however much room there is elsewhere,
// it is not given back.
func (f *fleet) isNeeded(h *instance, waiting []*queuedJob) bool {
	for _, q := range waiting {
		s := &q.entry.record.Spec
		zone := s.Zone == "" || s.Zone == h.zone
		if len(q.entry.record.Zones) > 0 {
			zone = slices.Contains(q.entry.record.Zones, h.zone)
		}
		if mt := f.core.machineTypes()[h.typeName]; zone && mt != nil && fitsEmptyMachine(mt, s) && allowsType(s, h.typeName) && (!h.spot || s.AllowSpot) {
			return true
		}
	}
	return false
}

// beginReturn drains a machine and then returns it.
func (f *fleet) beginReturn(h *instance, why string) {
	if h.returnReason != "" {
		return
	}
	h.returnReason = why
	if v := f.core.scheduler.machines.get(h.name); v != nil {
		v.leaving = true
	}
	f.core.logInfo("returning machine", "machine", h.name, "type", h.typeName, "zone", h.zone, "spot", h.spot, "why", why)
}

// returnInstances gives up machines that never came up, failed, vanished or are faulty, and
// deletes those that are empty.
func (f *fleet) returnInstances() {
	c := f.core
	var names []string
	for name, h := range f.instances.all() {
		v := c.scheduler.machines.get(name)
		mt := c.machineTypes()[h.typeName]
		up := v != nil && v.state.AcceptsTasks
		age := c.now.Monotonic - h.createdAt
		switch {
		case h.returnReason != "":
		case h.cloudState == protocol.MachineFailed:
			f.beginReturn(h, "failed")
		case h.missedLists >= 2 && !up && age > 4*f.listLag():
			f.beginReturn(h, "taken back")
			h.forced = true // the cloud's answer says that its tasks are gone
		case v != nil && v.unhealthy:
			f.beginReturn(h, "faulty")
		case mt != nil && v == nil && age > f.bootTimeout(mt) && age > time.Minute:
			f.failedBoots[h.typeName]++
			f.beginReturn(h, "did not come up")
		case v != nil && !up && v.state.TasksComplete && c.now.Monotonic-v.emptySince > f.silenceBeforeReturn(h.zone):
			f.beginReturn(h, "silent")
		case v != nil && v.state.Silent && v.upSince >= 0 && f.isZoneReachable(v):
			// Waiting for its lease to end would hold its tasks up for as long
			// again; once the cloud has deleted it they are surely gone.
			f.beginReturn(h, "dead")
			h.forced = true
		case v != nil && !v.state.TasksComplete && v.state.Silent && c.now.Monotonic-v.unsureSince > max(c.intervals.heartbeat, c.intervals.workerLease/5) && f.isZoneReachable(v):
			// After a change of the map, the last machines that do not answer
			// hold up everything that may be running on them. Each has its own
			// time to answer: counted from the change of the map alone, a quarter
			// of the machines that came up later were deleted at their first word.
			// Among a thousand cheap machines there nearly always is one that was
			// taken without a word: three report periods were 15 to 18 s in which
			// no earlier job started anything, at each change of leader.
			f.beginReturn(h, "does not answer")
			h.forced = true
		}
		if h.returnReason == "" || h.deleteInFlight {
			continue
		}
		if up && !v.state.Draining && c.records.machineRecords.get(name) != nil {
			if p := c.scheduler.shards[v.shard]; p != nil {
				p.outbox.Drain = append(p.outbox.Drain, name)
				p.outboxDue = true
			}
			if !h.forced && !v.unhealthy {
				continue
			}
		}
		if v != nil && len(v.attempts) > 0 && !h.forced && h.returnReason != "faulty" && h.cloudState != protocol.MachineFailed {
			continue
		}
		if f.mayDeregister(name) && c.records.machineRecords.get(name) != nil {
			continue // out of the register first
		}
		if len(names) < protocol.MaxDelete {
			names = append(names, name)
		}
	}
	if len(names) == 0 || !f.takeScalingCall() {
		return
	}
	for _, n := range names {
		f.instances.get(n).deleteInFlight = true
	}
	c.emit(DeleteInstances{Names: names})
}

// bootTimeout is how long a machine may boot. It doubles with each that is given up while
// none of its type comes up, up to four times as long.
//
// Guards against giving up every machine just before it is up where all boots take several
// times as long as usual, one after another for twenty minutes.
func (f *fleet) bootTimeout(mt *protocol.MachineType) time.Duration {
	return config.Seconds(mt.BootS * f.core.policy.BootPatience * float64(int(1)<<min(f.failedBoots[mt.Name], 2)))
}

// mayDeregister reports whether a machine that is returned is empty, and its part has
// said that it gives it nothing more: then it can leave the register before it is
// deleted. A new leader once waited 13 s for 35 machines that the last one had
// returned just before it ended.
func (f *fleet) mayDeregister(name string) bool {
	h, v := f.instances.get(name), f.core.scheduler.machines.get(name)
	return h != nil && h.returnReason != "" && !h.forced && v != nil && v.listedEpoch == f.core.scheduler.epoch &&
		v.state.TasksComplete && v.state.AcceptsTasks && v.state.Draining && len(v.attempts) == 0
}

func (f *fleet) handleDelete(d DeleteInstancesResult) {
	if d.Outcome != CloudDone {
		for _, n := range d.Names {
			if h := f.instances.get(n); h != nil {
				h.deleteInFlight = false
			}
		}
		return
	}
	for _, n := range d.Names {
		f.instances.delete(n)
		f.deletedNames[n] = true
		if v := f.core.scheduler.machines.get(n); v != nil {
			v.leaving = true
		}
	}
}
