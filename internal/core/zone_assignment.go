package core

import (
	"slices"
	"sort"
	"time"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// Jobs tied to zones: the tasks of a job of one zone run in a single one, those of a spread job by
// halves in two. Which zones these are is part of the job's record.

// spreadZones is over how many zones the tasks of a spread job are distributed.
const spreadZones = 2

// chooseZones writes down where the tasks of a job tied to a zone may run,
// before the first of them starts, so that every later leader keeps to it: the zones with the most
// free CPUs that the job may use.
func (s *scheduler) chooseZones(q *queuedJob, machines []*candidateMachine) {
	if q.pendingWrite != noPendingWrite {
		return
	}
	spec := &q.entry.record.Spec
	freeCPUs := s.possibleZones(spec)
	for _, m := range machines {
		if _, ok := freeCPUs[m.Zone]; ok && binpacking.AllowsType(spec, m.TypeName) && m.Fits(spec) {
			freeCPUs[m.Zone] += m.CPUs
		}
	}
	zones := zonesByFreeCPUs(freeCPUs)
	if len(zones) == 0 {
		return
	}
	count := 1
	if spec.Spread && spec.Tasks > 1 {
		count = min(spreadZones, len(zones)) // with one zone it runs by halves
	}
	s.writeZones(q, zones[:count])
}

// possibleZones has a zero for each zone in which a machine could be hired that a task of a job
// fits on.
func (s *scheduler) possibleZones(spec *protocol.Job) map[string]float64 {
	zones := map[string]float64{}
	for _, machineType := range s.core.machineTypes() {
		if !binpacking.AllowsType(spec, machineType.Name) || !binpacking.FitsMachineType(machineType, spec) {
			continue
		}
		for _, zone := range machineType.Zones {
			if spec.Zone == "" || spec.Zone == zone {
				zones[zone] = 0
			}
		}
	}
	return zones
}

// zonesByFreeCPUs lists zones, those with the most free CPUs first, by name where they have as
// many.
func zonesByFreeCPUs(freeCPUs map[string]float64) []string {
	zones := sortedKeys(freeCPUs)
	sort.SliceStable(zones, func(a, b int) bool { return freeCPUs[zones[a]] > freeCPUs[zones[b]] })
	return zones
}

// writeZones writes a job's zones; the mirror says when they hold.
func (s *scheduler) writeZones(q *queuedJob, zones []string) {
	c, record := s.core, q.entry.record
	record.Zones = zones
	q.beginWrite(pendingZones)
	guards := []protocol.Guard{c.membership.leaderGuard(), q.entry.recordGuard()}
	op := protocol.Operation{Put: q.entry.recordKey(), Value: record}
	if protocol.JSONSize(record) > c.maxValueBytes() {
		// It was written when values could be larger, or in chunks.
		op = protocol.Operation{Put: keyJobZones + q.id, Value: records.Job{Zones: record.Zones}}
		guards = append(guards, c.mirror.Guard(op.Put))
	}
	c.commit(guards, []protocol.Operation{op}, func(CommitResult) {
		c.mirror.Barrier(func(bool) { q.endWrite() })
	})
}

// zoneIndex is which of its job's zones a task is tied to.
func zoneIndex(q *queuedJob, task int) int { return task % max(len(q.entry.record.Zones), 1) }

// machineFilter tells for which machines' type, zone and kind a job has a waiting task.
//
// Guards against room that is made, or kept, where the job's zones don't let it be used: the
// task of a gang was stopped every three seconds for an urgent job of another zone, and then
// its machine was kept for that one for minutes.
func (q *queuedJob) machineFilter() func(typeName, zone string, spot bool) bool {
	spec := &q.entry.record.Spec
	if !spec.OneZone && !spec.Spread {
		return func(typeName, zone string, spot bool) bool {
			return binpacking.AllowsMachine(spec, typeName, zone, spot)
		}
	}
	zones := map[string]bool{}
	for task := q.nextWaiting(q.firstWaiting); task < spec.Tasks && len(zones) < len(q.entry.record.Zones); task = q.nextWaiting(task + 1) {
		zones[q.entry.record.Zones[zoneIndex(q, task)]] = true
	}
	return func(typeName, zone string, spot bool) bool {
		return zones[zone] && binpacking.AllowsMachine(spec, typeName, zone, spot)
	}
}

// isConfinedToZone reports whether no task of a job of one zone can be in another than its record
// names.
//
// Guards against a reassignment that is carried out late: the job's tasks ran in the former zone
// again, and the next ones were started in the new one.
func (s *scheduler) isConfinedToZone(q *queuedJob) bool {
	if !q.entry.record.Spec.OneZone || len(q.entry.record.Zones) != 1 {
		return true
	}
	for _, attempt := range q.inflight {
		if attempt.location == locationDispatched && attempt.recordVersion != q.entry.recordVersion {
			return false
		}
		for machine := range attempt.claimants {
			if v := s.machines.Get(machine); v == nil || v.state.Zone != q.entry.record.Zones[0] {
				return false
			}
		}
	}
	return true
}

// reassignZone ties the tasks that share a zone with a given one to another zone, once they have
// found no room for a lease and another has some, or could get machines while theirs can't. It
// waits until none of them can break the job's rule there: for a job of one zone until no task of
// it can be anywhere, for a spread one until none of the other half can be in the new zone.
//
// Guards against waiting for ever for a zone without machines, beside machines that stand idle.
// What is dispatched names the version of the record that it rests on, and shards place nothing by
// another one; a version before Level 1 does not look at that, and nothing moves beside it. The
// write may be carried out late, when tasks run in the former zone again: see isWithinItsZone.
func (s *scheduler) reassignZone(q *queuedJob, task int) {
	c, index := s.core, zoneIndex(q, task)
	if len(q.entry.record.Zones) == 0 || q.entry.record.Spec.Zone != "" || q.pendingWrite != noPendingWrite || s.hasUnlocated {
		return
	}
	if !s.isZoneFullForLong(q, index) {
		return
	}
	if c.records.olderController() != "" || protocol.JSONSize(q.entry.record) > c.maxValueBytes()-batchOverhead {
		return
	}
	current := q.entry.record.Zones[index]
	for _, zone := range s.candidateZones(q, current) {
		if zone != current && s.mayReassignZone(q, index, zone) {
			zones := slices.Clone(q.entry.record.Zones)
			zones[index] = zone
			c.logInfo("job reassigned to another zone: its zone has no room", "job", q.id, "from", current, "to", zone)
			delete(q.zoneFullSince, index)
			s.writeZones(q, zones)
			return
		}
	}
}

// isZoneFullForLong reports whether the tasks of one of a job's zones have found no room for a
// lease, and notes when they first found none.
func (s *scheduler) isZoneFullForLong(q *queuedJob, index int) bool {
	if q.zoneFullSince == nil {
		q.zoneFullSince = map[int]time.Duration{}
	}
	since, known := q.zoneFullSince[index]
	if !known {
		q.zoneFullSince[index] = s.core.now.Monotonic
		return false
	}
	return s.core.now.Monotonic-since >= s.core.intervals.workerLease
}

// candidateZones lists where a job's tasks might go: the zones whose machines have room for the
// next of them, or for all of a gang, the roomiest first; then, if the former zone can get no
// machines, those that can.
func (s *scheduler) candidateZones(q *queuedJob, current string) []string {
	spec := &q.entry.record.Spec
	freeCPUs, freeSlots := s.freeByZone(spec)
	zones := slices.DeleteFunc(zonesByFreeCPUs(freeCPUs), func(zone string) bool {
		return spec.Kind == protocol.KindGang && freeSlots[zone] < float64(q.waitingTasks())
	})
	rentable := map[string]bool{}
	for pool := range s.core.fleet.eligiblePools(spec) {
		rentable[pool.zone] = true
	}
	if !rentable[current] {
		zones = append(zones, sortedKeys(rentable)...)
	}
	return zones
}

// freeByZone sums up, by zone, what is free on machines that a task of a job fits on now: CPUs,
// and for how many tasks there is room. Unschedulable machines count too: nobody could use them as
// it was.
func (s *scheduler) freeByZone(spec *protocol.Job) (freeCPUs, freeSlots map[string]float64) {
	freeCPUs, freeSlots = map[string]float64{}, map[string]float64{}
	for _, v := range s.machines.All() {
		state := &v.state
		if !v.acceptsTasks() || !binpacking.AllowsMachine(spec, state.Type, state.Zone, state.Spot) {
			continue
		}
		free := v.free()
		if binpacking.FitsMachineType(&free, spec) {
			freeCPUs[state.Zone] += free.CPUs
			freeSlots[state.Zone] += tasksPerMachine(&free, spec)
		}
	}
	return freeCPUs, freeSlots
}

// mayReassignZone reports whether one of a job's zones, by its index, may be another one from now
// on.
func (s *scheduler) mayReassignZone(q *queuedJob, index int, zone string) bool {
	if len(q.entry.record.Zones) == 1 {
		return len(q.inflight) == 0
	}
	if slices.Contains(q.entry.record.Zones, zone) && hasUnfinishedTaskElsewhere(q, index) {
		return false
	}
	for task, attempt := range q.inflight {
		if zoneIndex(q, task) == index {
			continue
		}
		if attempt.location != locationClaimed {
			return false
		}
		for machine := range attempt.claimants {
			if v := s.machines.Get(machine); v == nil || v.state.Zone == zone || v.state.Zone == "" {
				return false
			}
		}
	}
	return true
}

// hasUnfinishedTaskElsewhere reports whether a task that is tied to another of its job's zones is not
// done durably: if it is done only for this leader, a crash may start it again.
func hasUnfinishedTaskElsewhere(q *queuedJob, index int) bool {
	for task := range q.entry.record.Spec.Tasks {
		if zoneIndex(q, task) != index && !q.entry.isTaskDone(task) {
			return true
		}
	}
	return false
}
