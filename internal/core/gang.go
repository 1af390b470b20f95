package core

import (
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// dispatchGang has room held for all tasks of a gang, if there is room for all. A
// gang that lost a task ends as a whole on its workers, so it is held anew only
// when none of its tasks is left anywhere.
func (o *scheduler) dispatchGang(q *queuedJob, p *schedulingRound) {
	s := &q.entry.record.Spec
	if !o.canStart(q, p) {
		return
	}
	if len(q.inflight) > 0 {
		q.reason = "waits until the rest of its last start has ended"
		return
	}
	if o.isCrashLooping(q) && !o.mayStartCanary(q) {
		return
	}
	if why := o.quotaReservedReason(q, p); why != "" {
		q.reason = why
		return
	}
	n := q.waitingTasks()
	over := o.overLimitReason(s, float64(n), p)
	if over != "" && q.boost == fairshare.NoBoost {
		q.reason = over
		return
	}
	chosen := map[int]*candidateMachine{}
	trial := make([]candidateMachine, len(p.machines))
	for i, m := range p.machines {
		trial[i] = *m
	}
	for i := range s.Tasks {
		if q.taskDone(i) {
			continue
		}
		if q.retryAt[i] > o.core.now.Monotonic {
			q.reason = o.failureReason(q)
			return
		}
		best := -1
		for k := range trial {
			m := &trial[k]
			if m.fits(s) && taskMayRunOn(&q.entry.record, i, m.typeName, m.zone, m.spot) && (best < 0 || betterFit(&m.freeCapacity, &trial[best].freeCapacity, s.Image)) {
				best = k
			}
		}
		if best < 0 {
			q.reason = "waits for room for all its tasks at once"
			o.reassignZone(q, i)
			o.reserveMachines(q, n, p)
			return
		}
		trial[best].allocate(s)
		chosen[i] = p.machines[best]
	}
	if over != "" {
		q.reason = over
		o.reserveQuota(q, n, p)
		return
	}
	q.reservedAt = 0
	// The workers tell a gang's start from an earlier one by the attempt, so all
	// of its tasks share one: with a number each they waited for one another for
	// ever.
	attempt := o.nextAttemptNumber()
	for i := range s.Tasks {
		if m := chosen[i]; m != nil {
			m.allocate(s)
			o.dispatchTask(q, i, m, attempt, true, p)
		}
	}
	q.gangReleased, q.gangHeldAt = false, o.core.now.Monotonic
	if o.isCrashLooping(q) {
		q.failures.canaries++
	}
}

// releaseGangs starts the gangs whose room is held in full, and lets go of those
// that did not get it in time.
func (o *scheduler) releaseGangs() {
	for id, q := range o.queue.all() {
		if q.entry.record.Spec.Kind != protocol.KindGang || q.gangReleased || len(q.inflight) == 0 || q.entry.isFinal() {
			continue
		}
		held := 0
		for _, f := range q.inflight {
			switch {
			case f.location != locationClaimed || f.machine == "":
			case f.taskState == peerproto.StateHeld:
				held++
			default:
				q.gangReleased = true // an earlier leader has started it
			}
		}
		if q.gangReleased {
			continue
		}
		late := o.core.now.Monotonic-q.gangHeldAt > config.Seconds(o.core.settings.Site.Workers.GangWaitS)/4
		all := held == len(q.inflight) && q.waitingTasks() == 0
		if !all && !late {
			continue
		}
		q.gangReleased = all
		for _, i := range sortedKeys(q.inflight) {
			f := q.inflight[i]
			p := o.shards[f.shard]
			if p == nil || f.taskState != peerproto.StateHeld {
				continue
			}
			try := peerproto.TaskAttempt{Task: protocol.TaskName(id, i), Attempt: f.number, Machine: f.machine}
			if all {
				p.outbox.StartHeld = append(p.outbox.StartHeld, try)
			} else {
				p.outbox.ReleaseHeld = append(p.outbox.ReleaseHeld, try)
			}
			p.outboxDue = true
		}
	}
}
