package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// victim is a task that may be stopped for others at a small loss.
type victim struct {
	attempt  *inflightAttempt
	task     string
	machine  *candidateMachine
	lostWork float64
}

// preemptFor stops tasks for the sake of a job that found no room: those that lose
// least, and no more than the job can use. The tasks of lower urgency go for an
// urgent job; for a job within its team's guarantee, what other teams run beyond
// theirs.
func (o *scheduler) preemptFor(q *queuedJob, p *schedulingRound) {
	c := o.core
	s := &q.entry.record.Spec
	may := o.isUrgent(q) || o.hasDeadlineObjective(q) || q.withinGuarantee && (c.policy.PreemptForGuarantee || len(c.bestEffortTeams) > 0)
	if !may {
		return
	}
	if !p.victimsListed {
		p.victimsListed = true
		o.findVictims(p)
	}
	need := q.waitingTasks()
	if o.isCrashLooping(q) {
		need = 1 // the rest of it would only fail
	}
	rooms := map[*candidateMachine]*preemptionSet{}
	mayUse := q.machineFilter()
	usable := func(v *victim) bool {
		return mayUse(v.machine.TypeName, v.machine.Zone, v.machine.Spot) && !o.isAvoided(v.machine, q) && o.isPreemptible(v.attempt.job, q)
	}
	room := func(v *victim) *preemptionSet {
		if rooms[v.machine] == nil {
			rooms[v.machine] = &preemptionSet{Capacity: v.machine.Capacity}
		}
		return rooms[v.machine]
	}
	// What was asked for already is room on its way, whoever it was asked for:
	// counting it for one job alone stopped far more than was needed.
	for i := range p.victims {
		if v := &p.victims[i]; v.attempt.stopRequested && usable(v) {
			need -= room(v).addFreed(&v.attempt.job.entry.record.Spec, s)
		}
	}
	// Room counts machine by machine: the four smallest losses on four machines
	// made no room for a task of four CPUs, and thousands were stopped in vain.
	var found []*preemptionSet
	for i := range p.victims {
		v := &p.victims[i]
		if v.attempt.stopRequested || !usable(v) {
			continue
		}
		r := room(v)
		r.victims = append(r.victims, v)
		r.lostWork += v.lostWork
		if n := r.addFreed(&v.attempt.job.entry.record.Spec, s); n > 0 {
			found = append(found, &preemptionSet{victims: r.victims, lostWork: r.lostWork, tasksGained: n})
			r.victims, r.lostWork = nil, 0
		}
	}
	slices.SortStableFunc(found, func(a, b *preemptionSet) int {
		return cmp.Compare(a.lostWork/float64(a.tasksGained), b.lostWork/float64(b.tasksGained))
	})
	for _, r := range found {
		if need <= 0 {
			return
		}
		need -= r.tasksGained
		for _, v := range r.victims {
			o.preempt(v, q)
		}
	}
}

// preemptionSet is room that is made on a machine: whose tasks are to be stopped, and for
// how many others that makes room.
type preemptionSet struct {
	binpacking.Capacity
	victims     []*victim
	lostWork    float64
	tasksGained int
}

// addFreed adds the room of a task that is stopped and says how many more of s now fit.
func (m *preemptionSet) addFreed(stopped, s *protocol.Job) (n int) {
	for m.Release(stopped); m.Fits(s); n++ {
		m.Allocate(s)
	}
	return n
}

// findVictims lists what may be stopped in this round.
func (o *scheduler) findVictims(p *schedulingRound) {
	for _, m := range p.machines {
		if m.shard.session == 0 {
			continue
		}
		for name, f := range m.view.attempts {
			vs := &f.job.entry.record.Spec
			loss, ok := o.lostWork(f)
			if (ok || f.stopRequested) && vs.Kind != protocol.KindService {
				p.victims = append(p.victims, victim{f, name, m, loss})
			}
		}
	}
	slices.SortFunc(p.victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.lostWork, b.lostWork), cmp.Compare(a.task, b.task))
	})
}

// preempt asks for a task to be stopped for the sake of a job.
func (o *scheduler) preempt(v *victim, q *queuedJob) {
	why := "tasks stopped to make room for more urgent work"
	if v.attempt.job.effectiveUrgency <= q.effectiveUrgency {
		why = "tasks stopped to give another team its guarantee"
	}
	o.requestStop(v.machine.shard, v.attempt, peerproto.StopTask{Task: v.task, Machine: v.machine.name, Reason: why, Immediately: o.isUrgent(q)}, q.effectiveUrgency)
	v.machine.preempting, v.machine.preemptorUrgency = true, min(v.attempt.stopUrgency, v.machine.preemptorUrgency)
}

// requestStop has a part stop a task. Until it has, work that is less urgent than due does not
// take its room.
func (o *scheduler) requestStop(p *shardView, f *inflightAttempt, stop peerproto.StopTask, due int) {
	f.stopRequested, f.stopUrgency = true, due
	o.stopRequests[stop.Task] = f
	f.job.stopCount++
	f.job.stopReason = stop.Reason
	p.outbox.Stop = append(p.outbox.Stop, stop)
	p.outboxDue = true
	if f.job.stopCount == 1 {
		o.core.logInfo("stopping tasks", "job", f.job.id, "why", stop.Reason)
	}
}

// isPreemptible reports whether the tasks of one job may be stopped for another.
func (o *scheduler) isPreemptible(victim, q *queuedJob) bool {
	v := &victim.entry.record.Spec
	if victim == q || v.Kind == protocol.KindService || victim.protected || !q.ranksBefore(victim) {
		return false
	}
	if victim.effectiveUrgency > q.effectiveUrgency {
		// Never those that may stop its own tasks in turn.
		return (o.isUrgent(q) || o.hasDeadlineObjective(q)) && !o.reclaimsGuarantee(victim, q)
	}
	return o.reclaimsGuarantee(q, victim)
}

// reclaimsGuarantee reports whether a job may have tasks of another team stopped for the sake of
// its own team's guarantee.
func (o *scheduler) reclaimsGuarantee(q, victim *queuedJob) bool {
	v, s := &victim.entry.record.Spec, &q.entry.record.Spec
	if !q.withinGuarantee || victim.withinGuarantee || v.Team == s.Team {
		return false
	}
	// A guest's task that saves loses little, and a guest was promised nothing.
	return o.core.policy.PreemptForGuarantee || o.core.bestEffortTeams[v.Team] && v.CheckpointS > 0
}

// isUrgent reports whether a job's tasks should start at once.
func (o *scheduler) isUrgent(q *queuedJob) bool { return q.effectiveUrgency <= 1 }

// hasDeadlineObjective reports whether a job has a deadline that its class is held to.
func (o *scheduler) hasDeadlineObjective(q *queuedJob) bool {
	s := &q.entry.record.Spec
	for _, a := range o.core.settings.Site.Objectives {
		if a.Class == s.Class && a.Kind == "deadline" {
			return s.DeadlineS > 0
		}
	}
	return false
}

// lostWork is how many seconds of work a task loses if it is stopped now; not ok if
// that is too much to ask.
func (o *scheduler) lostWork(f *inflightAttempt) (float64, bool) {
	if f.runningSince == 0 {
		return 0, f.machine != "" && f.taskState == protocol.TaskFetching
	}
	ran := (o.core.now.Monotonic - f.runningSince).Seconds()
	s := &f.job.entry.record.Spec
	if s.CheckpointS > 0 {
		ran = math.Mod(ran, s.CheckpointS)
	}
	return ran * s.CPUs, time.Duration(ran*float64(time.Second)) <= scaleDuration(o.core.intervals.heartbeat, o.core.policy.PreemptReports)
}
