package core

import (
	"slices"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// jobDispatch is the dispatch of one job's tasks in one round.
type jobDispatch struct {
	scheduler *scheduler
	round     *schedulingRound
	job       *queuedJob
	spec      *protocol.Job
	canary    bool // of an unproven job one task is tried at a time

	machines    []*candidateMachine // feasible for its tasks, in the order in which they are filled
	nextMachine int                 // the machines before this one have no room for its tasks, or it avoids them
	// avoidedHaveRoom: one of the machines before next has room for its tasks and is avoided.
	avoidedMachineFits bool
	fullZones          []bool // by zone of a spread job: a task found no room there
	dispatched         int
	backedOff          int // tasks that wait because they failed
}

// dispatch sends the waiting tasks of a job to shards that own machines with room for them, and
// notes why the others wait.
func (s *scheduler) dispatch(q *queuedJob, round *schedulingRound) {
	spec := q.spec()
	if !s.canStart(q, round) {
		return
	}
	if reason := round.quotaReservedReason(spec); reason != "" {
		q.reason = reason
		return
	}
	canary := s.isUnproven(q)
	if canary && !s.mayStartCanary(q) {
		return
	}
	d := jobDispatch{
		scheduler: s,
		round:     round,
		job:       q,
		spec:      spec,
		canary:    canary,
		machines:  s.feasibleMachines(q, round),
		fullZones: make([]bool, max(len(q.entry.record.Zones), 1)),
	}
	d.run()
	if s.core.debug && (d.dispatched > 0 || q.reason != "") {
		s.core.logDebug("ranked",
			"job", q.id, "predicted", q.predictedSeconds, "guaranteed", q.withinGuarantee,
			"dispatched", d.dispatched, "waiting", q.waitingTasks(), "machines", len(d.machines), "avoided", d.countAvoided(), "reason", q.reason)
	}
}

// countAvoided is how many of the feasible machines the job avoids.
func (d *jobDispatch) countAvoided() (avoided int) {
	for _, machine := range d.machines {
		if d.scheduler.isAvoided(machine, d.job) {
			avoided++
		}
	}
	return avoided
}

// canStart reports whether a job's tasks may be dispatched at all, whatever the room, and notes
// why not.
func (s *scheduler) canStart(q *queuedJob, round *schedulingRound) bool {
	spec := q.spec()
	switch {
	case q.unlocated:
		q.reason = "waits until every machine has been seen after a change of leader"
	case !s.isConfinedToZone(q):
		q.reason = "waits until its tasks in another zone have ended"
	case (spec.OneZone || spec.Spread) && len(q.entry.record.Zones) == 0:
		s.chooseZones(q, round.machines)
		q.reason = "waits for its zone to be chosen"
	default:
		return true
	}
	return false
}

// run tries the waiting tasks in their order.
func (d *jobDispatch) run() {
	q := d.job
	// Counted once: counting anew for each task of a huge job took the round's whole share of
	// the processor.
	waiting := q.waitingTasks()
	q.firstWaiting = q.nextWaiting(q.firstWaiting)
	for index := q.firstWaiting; index < d.spec.Tasks && d.dispatched < waiting; index = q.nextWaiting(index + 1) {
		if !d.tryTask(index) {
			return
		}
	}
	switch {
	case d.backedOff > 0:
		q.reason = d.scheduler.failureReason(q)
	case slices.Contains(d.fullZones, true) && q.reason == "":
		q.reason = d.scheduler.noCapacityReason(d.spec)
	}
}

// tryTask dispatches a task if it may start now and has room, and reports whether the job's next
// tasks are to be tried.
func (d *jobDispatch) tryTask(index int) bool {
	now := d.scheduler.core.now.Monotonic
	if d.job.retryAt[index] > now {
		d.backedOff++
		return true
	}
	if d.atLimit() {
		return false
	}
	machine, roomIsAvoided := d.findMachine(index)
	switch {
	case machine != nil:
		return d.dispatchTask(index, machine)
	case roomIsAvoided:
		d.job.retryAt[index] = now + d.scheduler.core.intervals.maintenance
		d.backedOff++
		return true
	case d.otherZoneMayHaveCapacity(index):
		d.markZoneFull(index)
		return true
	}
	d.handleNoCapacity(index)
	return false
}

// atLimit reports whether the job may have no more tasks whatever the room, and notes why. What
// an underserved account lacks is then reserved for it.
func (d *jobDispatch) atLimit() bool {
	q := d.job
	if reason := d.scheduler.overLimitReason(d.spec, 1, d.round); reason != "" {
		q.reason = reason
		if slices.ContainsFunc(d.machines, func(m *candidateMachine) bool { return m.Fits(d.spec) }) {
			d.scheduler.reserveQuota(q, 1, d.round)
		} else if d.dispatched == 0 {
			d.scheduler.reserveMachines(q, 1, d.round)
		}
		return true
	}
	if d.spec.Spread && len(q.entry.record.Zones) == 1 && len(q.inflight) >= (d.spec.Tasks+1)/2 {
		q.reason = "only half of its tasks may be in one zone at a time, and it may use no other"
		return true
	}
	return false
}

// findMachine is the first machine with room for a task that the job does not avoid, nil if there
// is none; roomIsAvoided: the only machines with room for it are those that the job avoids.
//
// Guards against a job that waits for them beside idle machines: another one was looked for in the
// shard of the first only.
func (d *jobDispatch) findMachine(index int) (machine *candidateMachine, roomIsAvoided bool) {
	if d.spec.Spread {
		d.nextMachine, d.avoidedMachineFits = 0, false // its tasks may use different machines
	}
	// The tasks of other jobs are alike, and within a round room only shrinks: a machine
	// without room for one task has none for the next.
	for ; d.nextMachine < len(d.machines); d.nextMachine++ {
		switch machine := d.machines[d.nextMachine]; {
		case !d.fits(index, machine):
		case d.scheduler.isAvoided(machine, d.job):
			d.avoidedMachineFits = true
		default:
			return machine, false
		}
	}
	return nil, d.avoidedMachineFits
}

// fits reports whether a machine has room for a task and the task may be there.
func (d *jobDispatch) fits(index int, machine *candidateMachine) bool {
	return machine.Fits(d.spec) && machine.AllowsTask(&d.job.entry.record, index)
}

// otherZoneMayHaveCapacity reports whether tasks of a spread job that are tied to its other zone may go on
// although one has found no room.
//
// Guards against the first task without room holding up all, with machines idle in the other zone.
func (d *jobDispatch) otherZoneMayHaveCapacity(index int) bool {
	return d.spec.Spread && !d.fullZones[(index+1)%len(d.fullZones)]
}

// markZoneFull notes that a task's zone has no room, and ties its tasks to another one if that
// lasts.
func (d *jobDispatch) markZoneFull(index int) {
	zone := index % len(d.fullZones)
	if d.fullZones[zone] {
		return
	}
	d.fullZones[zone] = true
	d.scheduler.reassignZone(d.job, index)
}

// handleNoCapacity notes that a task has found no room, and has room made or reserved for it if its
// job may have that.
func (d *jobDispatch) handleNoCapacity(index int) {
	q, s := d.job, d.scheduler
	s.reassignZone(q, index)
	if q.reason == "" {
		q.reason = s.noCapacityReason(d.spec)
	}
	if q.stopCount > 0 {
		q.reason = q.stopReason + "; " + q.reason
	}
	if !q.startsEarly { // a first task that goes before its rank waits for room, nothing is preempted for it
		s.preemptFor(q, d.round)
	}
	if d.dispatched == 0 {
		s.reserveMachines(q, 1, d.round)
	}
}

// dispatchTask dispatches a task and reports whether the job's next tasks are to be tried.
func (d *jobDispatch) dispatchTask(index int, machine *candidateMachine) bool {
	q, s := d.job, d.scheduler
	machine.Allocate(d.spec)
	s.queueDispatch(d.round, taskDispatch{job: q, index: index, attempt: s.nextAttemptNumber(), machine: machine})
	d.dispatched++
	q.reservedAt = 0
	switch {
	case d.canary:
		if s.isCrashLooping(q) {
			q.failures.canaries++
		}
		q.reason = s.failureReason(q)
		return false
	case q.startsEarly:
		q.reason = "its first task has started, the others wait for their turn"
		return false
	}
	return true
}

// taskDispatch is the decision to send a task to the shard of a machine.
type taskDispatch struct {
	job     *queuedJob
	index   int
	attempt uint64
	machine *candidateMachine
	hold    bool // that very machine is to hold room for it, until its gang is released
}

// nextAttemptNumber gives a number that no start has had, without a write: the epoch and a count
// within it.
func (s *scheduler) nextAttemptNumber() uint64 {
	s.attemptCounter++
	return s.epoch<<attemptBits | s.attemptCounter
}

// queueDispatch dispatches a task and counts it against its team's quota.
func (s *scheduler) queueDispatch(round *schedulingRound, d taskDispatch) {
	q, member := d.job, d.machine.shard
	round.addUsage(q.spec(), s.core.bestEffortTeams[q.spec().Team])
	attempt := &inflightAttempt{
		job:             q,
		taskIndex:       d.index,
		number:          d.attempt,
		plannedMachine:  d.machine.name,
		shard:           member.label,
		dispatchSession: member.session,
		dispatchSeq:     member.messagesSent + 1,
		location:        locationDispatched,
		claimants:       map[string]bool{},
	}
	task := protocol.TaskName(q.id, d.index)
	s.trackAttempt(task, attempt)
	s.unplacedAttempts[task] = attempt
	delete(q.retryAt, d.index)
	try := peerproto.TaskAttempt{Task: task, Attempt: d.attempt}
	if spec := q.spec(); spec.OneZone || spec.Spread {
		try.Version, attempt.recordVersion = q.entry.recordVersion, q.entry.recordVersion
		delete(q.zoneFullSince, zoneIndex(q, d.index))
	}
	if d.hold {
		try.Machine = d.machine.name
	}
	member.outbox.Dispatch = append(member.outbox.Dispatch, try)
	member.outboxDue = true
}

// noCapacityReason says why no machine has room for a task.
func (s *scheduler) noCapacityReason(spec *protocol.Job) string {
	if reason := s.core.fleet.noCapacityReason(spec); reason != "" {
		return reason
	}
	return "waits for room on a machine of its types and zone"
}
