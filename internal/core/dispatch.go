package core

import (
	"slices"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// jobDispatch holds the state of dispatching one job's tasks in one scheduling round.
type jobDispatch struct {
	scheduler *scheduler
	round     *schedulingRound
	job       *queuedJob
	spec      *protocol.Job
	canary    bool // the job is unproven, so only one of its tasks is tried at a time

	machines    []*candidateMachine // machines with capacity for its tasks, in the order in which they are filled
	nextMachine int                 // index into machines: those before it lack capacity or are avoided
	// avoidedMachineFits is set if a machine before nextMachine has capacity for the tasks but the job
	// avoids it.
	avoidedMachineFits bool
	fullZones          []bool // by zone index of a spread job: whether a task found no capacity in that zone in this round
	dispatched         int
	backedOff          int // number of tasks that wait for their retry time
}

// dispatch sends the waiting tasks of a job to shards that own machines with capacity for them, and
// sets the job's reason if tasks remain waiting.
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
	d.dispatchTasks()
	if s.core.debug && (d.dispatched > 0 || q.reason != "") {
		s.core.logDebug("job processed in scheduling round",
			"job", q.id, "predicted", q.predictedSeconds, "guaranteed", q.withinGuarantee,
			"dispatched", d.dispatched, "waiting", q.waitingTasks(), "machines", len(d.machines), "avoided", d.countAvoided(), "reason", q.reason)
	}
}

// countAvoided returns how many of the feasible machines the job avoids.
func (d *jobDispatch) countAvoided() (avoided int) {
	for _, machine := range d.machines {
		if d.scheduler.isAvoided(machine, d.job) {
			avoided++
		}
	}
	return avoided
}

// canStart reports whether a job's tasks may be dispatched at all, regardless of capacity. If not, it
// sets the job's reason.
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

// dispatchTasks tries to dispatch the waiting tasks in the order of their indices.
func (d *jobDispatch) dispatchTasks() {
	q := d.job
	// The waiting tasks are counted only once, because counting them again for each task of a huge
	// job used up all the processor time that the round may take.
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

// tryTask dispatches a task if it may start now and a machine has capacity for it. It reports whether
// to continue with the job's next task.
func (d *jobDispatch) tryTask(index int) bool {
	now := d.scheduler.core.now.Monotonic
	if d.job.retryAt[index] > now {
		d.backedOff++
		return true
	}
	if d.atLimit() {
		return false
	}
	machine, onlyAvoidedFit := d.findMachine(index)
	switch {
	case machine != nil:
		return d.dispatchTask(index, machine)
	case onlyAvoidedFit:
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

// atLimit reports whether the job may start no more tasks, regardless of capacity. If so, it sets the
// job's reason and, for a job of an underserved account, reserves the quota or the machines that the
// job lacks.
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

// findMachine returns the first machine that has capacity for a task and is not avoided by the job,
// or nil if there is none. onlyAvoidedFit is true if the only machines with capacity for the task are
// ones that the job avoids.
//
// It searches the machines of all shards. When an alternative to an avoided machine was looked for
// only in that machine's shard, jobs waited although machines of other shards were idle.
func (d *jobDispatch) findMachine(index int) (machine *candidateMachine, onlyAvoidedFit bool) {
	if d.spec.Spread {
		// The tasks of a spread job are tied to different zones, so a machine that does not fit one
		// task may fit the next.
		d.nextMachine, d.avoidedMachineFits = 0, false
	}
	// All tasks of any other job need the same resources, and capacity only shrinks within a round:
	// a machine without capacity for one task has none for the next.
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

// fits reports whether a machine has capacity for a task and the task may run there.
func (d *jobDispatch) fits(index int, machine *candidateMachine) bool {
	return machine.Fits(d.spec) && machine.AllowsTask(&d.job.entry.record, index)
}

// otherZoneMayHaveCapacity reports whether a task without capacity belongs to a spread job whose other
// zone has not been found full in this round.
//
// In that case the remaining tasks are still tried. Otherwise the first task without capacity would
// block all tasks of the job while machines in the other zone are idle.
func (d *jobDispatch) otherZoneMayHaveCapacity(index int) bool {
	return d.spec.Spread && !d.fullZones[(index+1)%len(d.fullZones)]
}

// markZoneFull marks a task's zone as full for this round. If the zone stays full for long enough,
// reassignZone ties its tasks to another zone.
func (d *jobDispatch) markZoneFull(index int) {
	zone := index % len(d.fullZones)
	if d.fullZones[zone] {
		return
	}
	d.fullZones[zone] = true
	d.scheduler.reassignZone(d.job, index)
}

// handleNoCapacity sets the job's reason after a task found no capacity. If the job is entitled to
// preempt tasks of other jobs, or to reserve machines, that is done for the task. If the task's zone
// stays full for long enough, reassignZone ties the zone's tasks to another zone.
func (d *jobDispatch) handleNoCapacity(index int) {
	q, s := d.job, d.scheduler
	s.reassignZone(q, index)
	if q.reason == "" {
		q.reason = s.noCapacityReason(d.spec)
	}
	if q.stopCount > 0 {
		q.reason = q.stopReason + "; " + q.reason
	}
	// A first task that starts ahead of its job's rank waits for free capacity and preempts nothing.
	if !q.startsEarly {
		s.preemptFor(q, d.round)
	}
	if d.dispatched == 0 {
		s.reserveMachines(q, 1, d.round)
	}
}

// dispatchTask dispatches a task to the shard of a machine. It reports whether to continue with the
// job's next task.
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
	hold    bool // this machine must reserve capacity for the task until its gang is released
}

// nextAttemptNumber returns an attempt number that was never used before. It combines the epoch with a
// counter within the epoch, so that no write to the state service is needed.
func (s *scheduler) nextAttemptNumber() uint64 {
	s.attemptCounter++
	return s.epoch<<attemptBits | s.attemptCounter
}

// queueDispatch adds a dispatch to the pending message of the machine's shard, tracks the attempt and
// counts it against its team's quota.
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
	dispatched := peerproto.TaskAttempt{Task: task, Attempt: d.attempt}
	if spec := q.spec(); spec.OneZone || spec.Spread {
		dispatched.Version, attempt.recordVersion = q.entry.recordVersion, q.entry.recordVersion
		delete(q.zoneFullSince, zoneIndex(q, d.index))
	}
	if d.hold {
		dispatched.Machine = d.machine.name
	}
	member.outbox.Dispatch = append(member.outbox.Dispatch, dispatched)
	member.outboxDue = true
}

// noCapacityReason returns the reason for which no machine has capacity for a task.
func (s *scheduler) noCapacityReason(spec *protocol.Job) string {
	if reason := s.core.fleet.noCapacityReason(spec); reason != "" {
		return reason
	}
	return "waits for room on a machine of its types and zone"
}
