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

// victim is a task that may be preempted because little work would be lost, or that has already been
// asked to stop.
type victim struct {
	attempt  *inflightAttempt
	task     string
	machine  *candidateMachine
	lostWork float64 // CPU seconds of work that are lost if it is stopped
}

// preemption selects the tasks to preempt for one job.
type preemption struct {
	scheduler *scheduler
	job       *queuedJob
	victims   []victim
	mayUse    func(typ, zone string, spot bool) bool
	sets      map[*candidateMachine]*preemptionSet // by machine: the capacity that is being freed there
}

// preemptionSet is the capacity that is freed on one machine: the tasks to stop, and the number of the
// preempting job's tasks that then fit.
type preemptionSet struct {
	binpacking.Capacity
	victims     []*victim
	lostWork    float64
	tasksGained int
}

// preemptFor preempts tasks for a job that found no capacity: those that lose the least work, and no
// more than the job can use. For an urgent job or one with a deadline, tasks of less urgent jobs are
// preempted; for a job within its team's guarantee, tasks that other teams run beyond their guarantees.
func (s *scheduler) preemptFor(q *queuedJob, round *schedulingRound) {
	if !s.mayPreempt(q) {
		return
	}
	if !round.victimsListed {
		round.victimsListed = true
		s.findVictims(round)
	}
	p := preemption{
		scheduler: s,
		job:       q,
		victims:   round.victims,
		mayUse:    q.machineFilter(),
		sets:      map[*candidateMachine]*preemptionSet{},
	}
	needed := q.waitingTasks()
	if s.isCrashLooping(q) {
		needed = 1 // only one task of the job is tried at a time, since the others would only fail as well
	}
	needed -= p.tasksWithCapacityPending()
	for _, set := range p.cheapestSets() {
		if needed <= 0 {
			return
		}
		needed -= set.tasksGained
		for _, v := range set.victims {
			s.preempt(v, q)
		}
	}
}

// mayPreempt reports whether tasks of other jobs may be preempted for a job at all.
func (s *scheduler) mayPreempt(q *queuedJob) bool {
	if s.isUrgent(q) || s.hasDeadlineObjective(q) {
		return true
	}
	return q.withinGuarantee && (s.core.policy.PreemptForGuarantee || len(s.core.bestEffortTeams) > 0)
}

// tasksWithCapacityPending returns the number of the job's tasks that will fit once the tasks that were
// already asked to stop, for whichever job, have stopped. Without counting that capacity, far more tasks
// would be preempted than needed.
func (p *preemption) tasksWithCapacityPending() (tasks int) {
	for i := range p.victims {
		v := &p.victims[i]
		if v.attempt.stopRequested && p.isUsable(v) {
			tasks += p.setOf(v).addFreed(v.attempt.job.spec(), p.job.spec())
		}
	}
	return tasks
}

// cheapestSets lists sets of victims that each free capacity for at least one of the job's tasks,
// ordered by the lost work per task gained.
//
// Each set is on a single machine, because a task needs all its capacity on one machine. When the
// smallest losses were chosen across machines, the four smallest on four machines did not fit a task of
// four CPUs, and thousands of tasks were preempted in vain.
func (p *preemption) cheapestSets() []*preemptionSet {
	var sets []*preemptionSet
	for i := range p.victims {
		v := &p.victims[i]
		if v.attempt.stopRequested || !p.isUsable(v) {
			continue
		}
		set := p.setOf(v)
		set.victims = append(set.victims, v)
		set.lostWork += v.lostWork
		if tasks := set.addFreed(v.attempt.job.spec(), p.job.spec()); tasks > 0 {
			sets = append(sets, &preemptionSet{victims: set.victims, lostWork: set.lostWork, tasksGained: tasks})
			set.victims, set.lostWork = nil, 0
		}
	}
	slices.SortStableFunc(sets, func(a, b *preemptionSet) int {
		return cmp.Compare(a.lostWork/float64(a.tasksGained), b.lostWork/float64(b.tasksGained))
	})
	return sets
}

// isUsable reports whether the job could run on a victim's machine and may preempt the victim's job.
func (p *preemption) isUsable(v *victim) bool {
	m := v.machine
	return p.mayUse(m.TypeName, m.Zone, m.Spot) &&
		!p.scheduler.isAvoided(m, p.job) &&
		p.scheduler.isPreemptible(v.attempt.job, p.job)
}

// setOf returns the set that is being collected on a victim's machine, creating it if necessary.
func (p *preemption) setOf(v *victim) *preemptionSet {
	set := p.sets[v.machine]
	if set == nil {
		set = &preemptionSet{Capacity: v.machine.Capacity}
		p.sets[v.machine] = set
	}
	return set
}

// addFreed adds the capacity of a stopped task and allocates as many of the gained tasks as now fit. It
// returns their number.
func (p *preemptionSet) addFreed(stopped, gained *protocol.Job) (tasks int) {
	for p.Release(stopped); p.Fits(gained); tasks++ {
		p.Allocate(gained)
	}
	return tasks
}

// findVictims lists the tasks that may be preempted in this round, the smallest loss first. Tasks that
// were already asked to stop are included.
func (s *scheduler) findVictims(round *schedulingRound) {
	for _, machine := range round.machines {
		if machine.shard.session == 0 {
			continue
		}
		for task, attempt := range machine.view.attempts {
			lost, ok := s.lostWork(attempt)
			if (ok || attempt.stopRequested) && attempt.job.spec().Kind != protocol.KindService {
				round.victims = append(round.victims, victim{attempt: attempt, task: task, machine: machine, lostWork: lost})
			}
		}
	}
	slices.SortFunc(round.victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.lostWork, b.lostWork), cmp.Compare(a.task, b.task))
	})
}

// lostWork returns how many CPU seconds of work a task loses if it is stopped now. ok is false if the
// task would lose more run time than the policy allows, or if it is not running and not fetching its
// image either.
func (s *scheduler) lostWork(attempt *inflightAttempt) (cpuSeconds float64, ok bool) {
	if attempt.runningSince == 0 {
		return 0, attempt.machine != "" && attempt.taskState == protocol.TaskFetching
	}
	lost := (s.core.now.Monotonic - attempt.runningSince).Seconds()
	spec := attempt.job.spec()
	if spec.CheckpointS > 0 {
		lost = math.Mod(lost, spec.CheckpointS)
	}
	maxLost := scaleDuration(s.core.intervals.heartbeat, s.core.policy.PreemptHeartbeats)
	return lost * spec.CPUs, time.Duration(lost*float64(time.Second)) <= maxLost
}

// preempt requests that a task be stopped to free its capacity for a job.
func (s *scheduler) preempt(v *victim, q *queuedJob) {
	reason := "tasks stopped to make room for more urgent work"
	if v.attempt.job.effectiveUrgency <= q.effectiveUrgency {
		reason = "tasks stopped to give another team its guarantee"
	}
	stop := peerproto.StopTask{Task: v.task, Machine: v.machine.name, Reason: reason, Immediately: s.isUrgent(q)}
	s.requestStop(v.machine.shard, v.attempt, stop, q.effectiveUrgency)
	v.machine.preempting = true
	v.machine.preemptorUrgency = min(v.attempt.stopUrgency, v.machine.preemptorUrgency)
}

// requestStop has a shard stop a task. Until the task has stopped, feasibleMachines omits its machine
// for tasks that are best-effort or less urgent than the given urgency level. Tasks of gangs may
// still be placed on that machine.
func (s *scheduler) requestStop(member *shardView, attempt *inflightAttempt, stop peerproto.StopTask, urgency int) {
	attempt.stopRequested, attempt.stopUrgency = true, urgency
	s.stopRequests[stop.Task] = attempt
	attempt.job.stopCount++
	attempt.job.stopReason = stop.Reason
	member.outbox.Stop = append(member.outbox.Stop, stop)
	member.outboxDue = true
	if attempt.job.stopCount == 1 {
		s.core.logInfo("stopping tasks", "job", attempt.job.id, "why", stop.Reason)
	}
}

// isPreemptible reports whether the tasks of one job may be preempted for another.
func (s *scheduler) isPreemptible(victim, preemptor *queuedJob) bool {
	if victim == preemptor || victim.spec().Kind == protocol.KindService || victim.protected {
		return false
	}
	if !preemptor.ranksBefore(victim) {
		return false
	}
	if victim.effectiveUrgency > preemptor.effectiveUrgency {
		// If the victim's job could in turn preempt the preemptor's tasks, its own are not preempted.
		return (s.isUrgent(preemptor) || s.hasDeadlineObjective(preemptor)) && !s.reclaimsGuarantee(victim, preemptor)
	}
	return s.reclaimsGuarantee(preemptor, victim)
}

// reclaimsGuarantee reports whether a job may preempt tasks of another team's job because its own
// team's guarantee covers it.
func (s *scheduler) reclaimsGuarantee(q, victim *queuedJob) bool {
	spec := victim.spec()
	if !q.withinGuarantee || victim.withinGuarantee || spec.Team == q.spec().Team {
		return false
	}
	// Even if the policy does not preempt for guarantees, best-effort tasks with checkpoints may be
	// preempted: they lose little work, and no guarantee covers them.
	return s.core.policy.PreemptForGuarantee || s.core.bestEffortTeams[spec.Team] && spec.CheckpointS > 0
}

// isUrgent reports whether a job's tasks should start immediately.
func (s *scheduler) isUrgent(q *queuedJob) bool { return q.effectiveUrgency <= urgencyHigh }

// hasDeadlineObjective reports whether a job has a deadline and the settings have a deadline objective
// for its class.
func (s *scheduler) hasDeadlineObjective(q *queuedJob) bool {
	spec := q.spec()
	for _, objective := range s.core.settings.Site.Objectives {
		if objective.Class == spec.Class && objective.Kind == "deadline" {
			return spec.DeadlineS > 0
		}
	}
	return false
}
