package core

import (
	"slices"
	"sort"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// chooseZones writes down where the tasks of a job tied to a zone may run,
// before the first of them starts, so that every later leader keeps to it.
func (o *scheduler) chooseZones(q *queuedJob, rooms []*candidateMachine) {
	if q.choosingZones || q.finalizing || q.savingProgress {
		return
	}
	s := &q.entry.record.Spec
	free := map[string]float64{}
	for _, t := range o.core.machineTypes() {
		if allowsType(s, t.Name) && fitsEmptyMachine(t, s) {
			for _, z := range t.Zones {
				if s.Zone == "" || s.Zone == z {
					free[z] += 0
				}
			}
		}
	}
	for _, m := range rooms {
		if _, ok := free[m.zone]; ok && allowsType(s, m.typeName) && m.fits(s) {
			free[m.zone] += m.cpus
		}
	}
	zones := sortedKeys(free)
	sort.SliceStable(zones, func(a, b int) bool { return free[zones[a]] > free[zones[b]] })
	if len(zones) == 0 {
		return
	}
	need := 1
	if s.Spread && s.Tasks > 1 {
		need = min(2, len(zones)) // with one zone it runs by halves
	}
	o.writeZones(q, zones[:need])
}

// writeZones writes a job's zones; the mirror says when they hold.
func (o *scheduler) writeZones(q *queuedJob, zones []string) {
	rec := q.entry.record
	rec.Zones = zones
	q.choosingZones = true
	guards := []protocol.Guard{o.core.membership.leaderGuard(), q.entry.recordGuard()}
	op := protocol.Operation{Put: q.entry.recordKey(), Value: rec}
	if protocol.JSONSize(rec) > o.core.maxValueBytes() {
		// It was written when values could be larger, or in pieces.
		op = protocol.Operation{Put: keyJobZones + q.id, Value: records.Job{Zones: rec.Zones}}
		guards = append(guards, o.core.mirror.guard(op.Put))
	}
	o.core.mirror.commit(guards, []protocol.Operation{op}, func(CommitResult) {
		o.core.mirror.barrier(func(bool) { q.choosingZones = false })
	})
}

// zoneIndex is which of its job's zones a task is tied to.
func zoneIndex(q *queuedJob, i int) int { return i % max(len(q.entry.record.Zones), 1) }

// machineFilter tells for which machines' type, zone and kind a job has a waiting task.
//
// Guards against room that is made, or kept, where the job's zones don't let it be used: the
// task of a gang was stopped every three seconds for an urgent job of another zone, and then
// its machine was kept for that one for minutes.
func (q *queuedJob) machineFilter() func(typ, zone string, spot bool) bool {
	s := &q.entry.record.Spec
	if !s.OneZone && !s.Spread {
		return func(typ, zone string, spot bool) bool { return allowsMachine(s, typ, zone, spot) }
	}
	zones := map[string]bool{}
	for i := q.nextWaiting(q.firstWaiting); i < s.Tasks && len(zones) < len(q.entry.record.Zones); i = q.nextWaiting(i + 1) {
		zones[q.entry.record.Zones[zoneIndex(q, i)]] = true
	}
	return func(typ, zone string, spot bool) bool { return zones[zone] && allowsMachine(s, typ, zone, spot) }
}

// isWithinItsZone reports whether no task of a job of one zone can be in another than its record names.
//
// Guards against a move that is carried out late: the job's tasks ran in the former zone again,
// and the next ones were started in the new one.
func (o *scheduler) isWithinItsZone(q *queuedJob) bool {
	if !q.entry.record.Spec.OneZone || len(q.entry.record.Zones) != 1 {
		return true
	}
	for _, f := range q.inflight {
		if f.location == locationDispatched && f.recordVersion != q.entry.recordVersion {
			return false
		}
		for m := range f.claimants {
			if v := o.machines.get(m); v == nil || v.state.Zone != q.entry.record.Zones[0] {
				return false
			}
		}
	}
	return true
}

// reassignZone ties the tasks that share a zone with task i to another one, once they have found no
// room for a lease and another has some, or could get machines while theirs can't. It waits
// until none of them can break the job's rule there: for a job of one zone until no task of it
// can be anywhere, for a spread one until none of the other half can be in the new zone.
//
// Guards against waiting for ever for a zone without machines, beside machines that stand idle.
// What is dispatched names the version of the record that it rests on, and parts place nothing by
// another one; a version before Level 1 does not look at that, and nothing moves beside it. The
// write may be carried out late, when tasks run in the former zone again: see together.
func (o *scheduler) reassignZone(q *queuedJob, i int) {
	c, s, n := o.core, &q.entry.record.Spec, zoneIndex(q, i)
	if len(q.entry.record.Zones) == 0 || s.Zone != "" || q.choosingZones || q.finalizing || q.savingProgress || o.hasUnlocated {
		return
	}
	if q.zoneFullSince == nil {
		q.zoneFullSince = map[int]time.Duration{}
	}
	since, dry := q.zoneFullSince[n]
	if !dry {
		q.zoneFullSince[n] = c.now.Monotonic
	}
	if !dry || c.now.Monotonic-since < c.intervals.workerLease {
		return
	}
	if c.mirror.olderController() != "" || protocol.JSONSize(q.entry.record) > c.maxValueBytes()-batchOverhead {
		return
	}
	for _, z := range o.candidateZones(q, n) {
		if z != q.entry.record.Zones[n] && o.mayReassignZone(q, n, z) {
			next := slices.Clone(q.entry.record.Zones)
			next[n] = z
			c.logInfo("a job's tasks move to another zone, theirs has no room", "job", q.id, "from", q.entry.record.Zones[n], "to", z)
			delete(q.zoneFullSince, n)
			o.writeZones(q, next)
			return
		}
	}
}

// candidateZones lists where a job's tasks might go: the zones whose machines have room for the next
// of them, or for all of a gang, the roomiest first; then, if its n-th zone can get no
// machines, those that can.
func (o *scheduler) candidateZones(q *queuedJob, n int) []string {
	s := &q.entry.record.Spec
	free, fits := map[string]float64{}, map[string]float64{}
	for _, v := range o.machines.all() { // parked ones too: nobody could use them as it was
		x := &v.state
		if !v.acceptsTasks() || !allowsMachine(s, x.Type, x.Zone, x.Spot) {
			continue
		}
		m := v.free()
		if fitsEmptyMachine(&m, s) {
			free[x.Zone] += m.CPUs
			fits[x.Zone] += tasksPerMachine(&m, s)
		}
	}
	zones := slices.DeleteFunc(sortedKeys(free), func(z string) bool {
		return s.Kind == protocol.KindGang && fits[z] < float64(q.waitingTasks())
	})
	sort.SliceStable(zones, func(a, b int) bool { return free[zones[a]] > free[zones[b]] })
	rents := map[string]bool{}
	for x := range o.core.fleet.eligiblePools(s) {
		rents[x.zone] = true
	}
	if !rents[q.entry.record.Zones[n]] {
		zones = append(zones, sortedKeys(rents)...)
	}
	return zones
}

// mayReassignZone reports whether the n-th of a job's zones may be another one from now on.
func (o *scheduler) mayReassignZone(q *queuedJob, n int, zone string) bool {
	if len(q.entry.record.Zones) == 1 {
		return len(q.inflight) == 0
	}
	waits := false // some other task
	for i := range q.entry.record.Spec.Tasks {
		waits = waits || zoneIndex(q, i) != n && !q.entry.isTaskDone(i) // durably, or a crash may start it again
	}
	if waits && slices.Contains(q.entry.record.Zones, zone) {
		return false
	}
	for i, f := range q.inflight {
		if zoneIndex(q, i) == n {
			continue
		}
		if f.location != locationClaimed {
			return false
		}
		for m := range f.claimants {
			if v := o.machines.get(m); v == nil || v.state.Zone == zone || v.state.Zone == "" {
				return false
			}
		}
	}
	return true
}
