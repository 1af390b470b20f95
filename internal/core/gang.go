package core

import (
	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// dispatchGang has capacity reserved for all tasks of a gang if there is enough for all of them at
// once, and otherwise sets the job's reason. The tasks start once all machines have confirmed the
// reservation: see releaseGangs.
func (s *scheduler) dispatchGang(q *queuedJob, round *schedulingRound) {
	if !s.mayStartGang(q, round) {
		return
	}
	tasks := q.waitingTasks()
	limitReason := s.overLimitReason(q.spec(), float64(tasks), round)
	if limitReason != "" && q.boost == fairshare.NoBoost {
		q.reason = limitReason
		return
	}
	machines := s.findGangMachines(q, round)
	if machines == nil {
		return
	}
	if limitReason != "" {
		q.reason = limitReason
		s.reserveQuota(q, tasks, round)
		return
	}
	s.sendGang(q, machines, round)
}

// mayStartGang reports whether a gang's tasks may be dispatched, regardless of capacity. If not, it
// sets the job's reason. When a gang loses a task, the workers end the whole gang, so it is dispatched
// again only when none of its tasks is in flight any more.
func (s *scheduler) mayStartGang(q *queuedJob, round *schedulingRound) bool {
	if !s.canStart(q, round) {
		return false
	}
	if len(q.inflight) > 0 {
		q.reason = "waits until the rest of its last start has ended"
		return false
	}
	if s.isCrashLooping(q) && !s.mayStartCanary(q) {
		return false
	}
	if reason := round.quotaReservedReason(q.spec()); reason != "" {
		q.reason = reason
		return false
	}
	return true
}

// findGangMachines finds a machine for each unfinished task of a gang, keyed by task index. Each task is
// placed as if the earlier ones had already been allocated. It returns nil if there is not enough
// capacity for all, or if a task must not be retried yet.
func (s *scheduler) findGangMachines(q *queuedJob, round *schedulingRound) map[int]*candidateMachine {
	spec := q.spec()
	chosen := map[int]*candidateMachine{}
	trialMachines := make([]candidateMachine, len(round.machines))
	for i, machine := range round.machines {
		trialMachines[i] = *machine
	}
	for index := range spec.Tasks {
		if q.taskDone(index) {
			continue
		}
		if q.retryAt[index] > s.core.now.Monotonic {
			q.reason = s.failureReason(q)
			return nil
		}
		best := bestMachine(trialMachines, q, index)
		if best < 0 {
			q.reason = "waits for room for all its tasks at once"
			s.reassignZone(q, index)
			s.reserveMachines(q, q.waitingTasks(), round)
			return nil
		}
		trialMachines[best].Allocate(spec)
		chosen[index] = round.machines[best]
	}
	return chosen
}

// bestMachine returns the index of the machine that fits a task best, or -1 if none fits.
func bestMachine(machines []candidateMachine, q *queuedJob, index int) int {
	spec := q.spec()
	best := -1
	for i := range machines {
		machine := &machines[i]
		if !machine.Fits(spec) || !machine.AllowsTask(&q.entry.record, index) {
			continue
		}
		if best < 0 || binpacking.BetterFit(&machine.Capacity, &machines[best].Capacity, spec.Image) {
			best = i
		}
	}
	return best
}

// sendGang dispatches all waiting tasks of a gang to the machines that were found for them.
func (s *scheduler) sendGang(q *queuedJob, machines map[int]*candidateMachine, round *schedulingRound) {
	q.reservedAt = 0
	// The workers use the attempt number to distinguish this start of the gang from an earlier one,
	// so all of its tasks share one number. With a separate number for each task, the tasks waited
	// for one another forever.
	attempt := s.nextAttemptNumber()
	for index := range q.spec().Tasks {
		if machine := machines[index]; machine != nil {
			machine.Allocate(q.spec())
			s.queueDispatch(round, taskDispatch{job: q, index: index, attempt: attempt, machine: machine, hold: true})
		}
	}
	q.gangReleased, q.gangHeldAt = false, s.core.now.Monotonic
	if s.isCrashLooping(q) {
		q.failures.canaries++
	}
}

// releaseGangs starts the gangs for which capacity is held for all tasks. Gangs that did not get all
// their capacity in time have their held tasks dropped.
func (s *scheduler) releaseGangs() {
	// The timeout is well below GangWaitS, after which the workers stop waiting for the gang's other
	// tasks.
	timeout := config.Seconds(s.core.settings.Site.Workers.GangWaitS) / 4
	for _, q := range s.queue.All() {
		if q.spec().Kind != protocol.KindGang || q.gangReleased || len(q.inflight) == 0 || q.entry.isFinal() {
			continue
		}
		held, started := q.gangProgress()
		if started {
			q.gangReleased = true // the gang was released by an earlier leader
			continue
		}
		complete := held == len(q.inflight) && q.waitingTasks() == 0
		if complete || s.core.now.Monotonic-q.gangHeldAt > timeout {
			q.gangReleased = complete
			s.resolveGang(q, complete)
		}
	}
}

// gangProgress counts the tasks of a gang for which a machine holds capacity, and reports whether any
// task on a machine is in a later state than holding capacity.
func (q *queuedJob) gangProgress() (held int, started bool) {
	for _, attempt := range q.inflight {
		switch {
		case attempt.location != locationClaimed || attempt.machine == "":
		case attempt.taskState == peerproto.StateHeld:
			held++
		default:
			started = true
		}
	}
	return held, started
}

// resolveGang has the shards start the held tasks of a gang, or drop them if start is false.
func (s *scheduler) resolveGang(q *queuedJob, start bool) {
	for _, index := range sortedKeys(q.inflight) {
		attempt := q.inflight[index]
		member := s.shards[attempt.shard]
		if member == nil || attempt.taskState != peerproto.StateHeld {
			continue
		}
		heldTask := peerproto.TaskAttempt{Task: protocol.TaskName(q.id, index), Attempt: attempt.number, Machine: attempt.machine}
		if start {
			member.outbox.StartHeld = append(member.outbox.StartHeld, heldTask)
		} else {
			member.outbox.ReleaseHeld = append(member.outbox.ReleaseHeld, heldTask)
		}
		member.outboxDue = true
	}
}
