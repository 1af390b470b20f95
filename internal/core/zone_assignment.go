package core

import (
	"slices"
	"sort"
	"time"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// Zone assignment: all tasks of a one-zone job run in one zone, and the tasks of a spread job run
// half in one zone and half in another. The assigned zones are part of the job's record.

// spreadZones is the number of zones over which the tasks of a spread job are distributed.
const spreadZones = 2

// chooseZones assigns zones to a one-zone or spread job and stores them before its first task
// starts, so that every later leader uses the same ones. It picks the zones with the most free CPUs
// among those that the job may use.
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
		count = min(spreadZones, len(zones)) // if it may use only one zone, atLimit lets at most half of its tasks run at a time
	}
	s.writeZones(q, zones[:count])
}

// possibleZones returns a map with a zero entry for each zone in which a machine that fits a task
// of the job can be rented.
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

// zonesByFreeCPUs lists the zones by free CPUs in descending order, ties by name.
func zonesByFreeCPUs(freeCPUs map[string]float64) []string {
	zones := sortedKeys(freeCPUs)
	sort.SliceStable(zones, func(a, b int) bool { return freeCPUs[zones[a]] > freeCPUs[zones[b]] })
	return zones
}

// writeZones stores a job's zones. They take effect when the mirror shows them.
func (s *scheduler) writeZones(q *queuedJob, zones []string) {
	c, record := s.core, q.entry.record
	record.Zones = zones
	q.beginWrite(pendingZones)
	guards := []protocol.Guard{c.membership.leaderGuard(), q.entry.recordGuard()}
	op := protocol.Operation{Put: q.entry.recordKey(), Value: record}
	if protocol.JSONSize(record) > c.maxValueBytes() {
		// The record is larger than a value may be: it was written in chunks, or while the limit on
		// values was higher.
		op = protocol.Operation{Put: keyJobZones + q.id, Value: records.Job{Zones: record.Zones}}
		guards = append(guards, c.mirror.Guard(op.Put))
	}
	c.commit(guards, []protocol.Operation{op}, func(CommitResult) {
		c.mirror.Barrier(func(bool) { q.endWrite() })
	})
}

// zoneIndex is the index, among its job's zones, of the zone to which a task is tied.
func zoneIndex(q *queuedJob, task int) int { return task % max(len(q.entry.record.Zones), 1) }

// machineFilter returns a predicate on a machine's type, zone and kind (spot or on-demand): whether
// a waiting task of the job may run there.
//
// It prevents capacity from being freed or reserved where the job's zones do not let the job use
// it: the task of a gang was preempted every three seconds for an urgent job tied to another zone,
// and its machine was then reserved for that job for minutes.
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

// isConfinedToZone reports whether every task of a one-zone job is certain to be in the zone that
// the job's record names. It is true for all other jobs.
//
// It guards against a write of a new zone that is applied late: by then, tasks of the job were
// running in the former zone again, and the next ones were started in the new zone.
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

// reassignZone ties the given task, and all tasks of its job that are tied to the same zone, to
// another zone. It does so once they have found no capacity for the length of a worker lease, if
// another zone has capacity, or can get machines while theirs can't. It waits until no attempt can
// violate the job's placement rule: a one-zone job must have no task in flight, and a spread job
// must have no task of its other half that may be in the new zone.
//
// It prevents a job from waiting forever for a zone without machines while machines elsewhere are
// idle. A dispatch carries the version of the job's record that it is based on, and a shard places
// no task by any other version. Controllers whose record format (records.FormatLevel) is older than
// level 1 do not check the version, so no zone is reassigned while one of them is live. The write
// may be applied late, when tasks run in the former zone again: see isConfinedToZone.
func (s *scheduler) reassignZone(q *queuedJob, task int) {
	c, index := s.core, zoneIndex(q, task)
	if len(q.entry.record.Zones) == 0 || q.entry.record.Spec.Zone != "" || q.pendingWrite != noPendingWrite || s.hasUnlocated {
		return
	}
	if !s.isZoneFullForLong(q, index) {
		return
	}
	if c.records.olderController() != "" || protocol.JSONSize(q.entry.record) > c.maxValueBytes()-batchOverheadBytes {
		return
	}
	current := q.entry.record.Zones[index]
	for _, zone := range s.candidateZones(q, current) {
		if zone != current && s.mayReassignZone(q, index, zone) {
			zones := slices.Clone(q.entry.record.Zones)
			zones[index] = zone
			c.logInfo("job reassigned to another zone: its zone has no capacity", "job", q.id, "from", current, "to", zone)
			delete(q.zoneFullSince, index)
			s.writeZones(q, zones)
			return
		}
	}
}

// isZoneFullForLong reports whether the tasks tied to one of a job's zones have found no capacity
// for the length of a worker lease. It records when they first found none.
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

// candidateZones lists the zones to which a job's tasks may be reassigned. First come the zones
// whose machines have capacity for its next task, or for all tasks of a gang, by free CPUs in
// descending order; then, if the current zone can get no machines, the zones that can.
func (s *scheduler) candidateZones(q *queuedJob, current string) []string {
	spec := &q.entry.record.Spec
	freeCPUs, freeSlots := s.freeByZone(spec)
	zones := slices.DeleteFunc(zonesByFreeCPUs(freeCPUs), func(zone string) bool {
		return spec.Kind == protocol.KindGang && freeSlots[zone] < float64(q.waitingTasks())
	})
	rentableZones := map[string]bool{}
	for pool := range s.core.fleet.eligiblePools(spec) {
		rentableZones[pool.zone] = true
	}
	if !rentableZones[current] {
		zones = append(zones, sortedKeys(rentableZones)...)
	}
	return zones
}

// freeByZone adds up, by zone, the free CPUs of machines that currently have capacity for a task of
// a job, and the number of such tasks that fit. Unschedulable machines count as well: a machine may
// be unschedulable only because the waiting jobs are tied to other zones and could not use it.
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

// mayReassignZone reports whether the zone at the given index of a job's zones may be replaced by
// another one now.
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

// hasUnfinishedTaskElsewhere reports whether any task that is tied to another of the job's zones
// than the one at the given index is not durably completed. A completion that only this leader
// knows of does not count, because after a crash the task may be started again.
func hasUnfinishedTaskElsewhere(q *queuedJob, index int) bool {
	for task := range q.entry.record.Spec.Tasks {
		if zoneIndex(q, task) != index && !q.entry.isTaskDone(task) {
			return true
		}
	}
	return false
}
