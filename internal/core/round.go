package core

import (
	"fmt"
	"math"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// schedulingRound is the working state of one scheduling round: the free capacity of every machine
// that accepts tasks, and the usage of each team. Each dispatch in the round updates both.
type schedulingRound struct {
	machines     []*candidateMachine
	withCapacity []*candidateMachine // those with free capacity left
	infeasible   map[taskShape]bool  // tasks of this shape fit on no machine any more
	teamUsage    map[string]*usage

	bestEffortCPUs  float64 // CPUs that count as in use by tasks of best-effort teams
	bestEffortLimit float64 // upper limit of bestEffortCPUs

	// Reservations for underserved accounts (an account is a class of a team), which jobs of lower rank
	// must not use.
	quotaReservedFor    map[string]*queuedJob // by team: the job for which its quota is reserved
	machineReservations int                   // number of jobs for which machines are reserved
	smallestTaskCPUs    float64               // CPUs of the smallest waiting task

	victims       []victim // tasks that may be preempted or were already asked to stop, the smallest loss first
	victimsListed bool     // victims has been filled in this round
}

// candidateMachine is a machine to which a scheduling round may dispatch tasks, with the capacity that
// is still free on it.
type candidateMachine struct {
	binpacking.Capacity
	name             string
	shard            *shardView
	view             *machineView
	imageCached      bool // it has the image of the job that is being dispatched
	reserved         bool // it is reserved for a job of an underserved account
	preempting       bool // tasks are being stopped here for another job
	preemptorUrgency int  // the highest urgency level of such a job
}

// runRound ranks the unfinished jobs and dispatches the tasks that fit. It returns all unfinished
// jobs and those that had tasks to dispatch, both in rank order.
func (s *scheduler) runRound() (ranked, waiting []*queuedJob) {
	ranked = s.rankJobs()
	round := s.newRound()
	round.smallestTaskCPUs = math.Inf(1)
	for _, q := range ranked {
		if q.waitingTasks() > 0 && !s.core.degraded.isCancelled(q.id) {
			waiting = append(waiting, q)
			round.smallestTaskCPUs = min(round.smallestTaskCPUs, q.spec().CPUs)
		}
	}
	for _, q := range waiting {
		if q.spec().Kind == protocol.KindGang {
			s.dispatchGang(q, round)
		} else {
			s.dispatch(q, round)
		}
	}
	s.releaseGangs()
	return ranked, waiting
}

// newRound collects the machines that accept tasks, with their free capacity, and the usage of each
// team. Only machines of members that are connected and have sent their snapshot of this epoch are
// included.
func (s *scheduler) newRound() *schedulingRound {
	planned := s.plannedAttempts()
	preemptors := s.preemptorUrgencies()
	round := &schedulingRound{teamUsage: s.computeTeamUsage(), infeasible: map[taskShape]bool{}}
	round.machines = make([]*candidateMachine, 0, s.machines.Len())
	for name, view := range s.machines.All() {
		if !view.acceptsTasks() || view.unschedulable {
			continue
		}
		member := s.shards[view.shard]
		if member == nil || member.session == 0 || member.syncedEpoch != s.epoch {
			continue
		}
		machine := view.candidate(name, member)
		if urgency, ok := preemptors[name]; ok {
			machine.preempting, machine.preemptorUrgency = true, urgency
		}
		for _, attempt := range planned[name] {
			machine.Allocate(attempt.job.spec())
		}
		round.machines = append(round.machines, machine)
		if machine.CPUs > binpacking.RoundingSlack {
			round.withCapacity = append(round.withCapacity, machine)
		}
	}
	s.limitBestEffort(round)
	return round
}

// plannedAttempts lists, by planned machine, the dispatched attempts that their shard has not placed
// yet. It removes from unplacedAttempts those that no longer await placement.
func (s *scheduler) plannedAttempts() map[string][]*inflightAttempt {
	planned := map[string][]*inflightAttempt{}
	for task, attempt := range s.unplacedAttempts {
		if attempt.location == locationDispatched {
			planned[attempt.plannedMachine] = append(planned[attempt.plannedMachine], attempt)
		} else {
			delete(s.unplacedAttempts, task)
		}
	}
	return planned
}

// preemptorUrgencies returns, by machine, the highest urgency level for which tasks are being stopped
// there. It removes from stopRequests the tasks that have stopped.
func (s *scheduler) preemptorUrgencies() map[string]int {
	urgencies := map[string]int{}
	for task, attempt := range s.stopRequests {
		if s.attempts[task] != attempt {
			delete(s.stopRequests, task)
			continue
		}
		if urgency, ok := urgencies[attempt.machine]; !ok || attempt.stopUrgency < urgency {
			urgencies[attempt.machine] = attempt.stopUrgency
		}
	}
	return urgencies
}

// candidate returns the machine's entry for a new round. It reuses the memory of the previous round's
// entry: allocating ten thousand entries in each round made up most of the leader's allocations.
func (v *machineView) candidate(name string, member *shardView) *candidateMachine {
	v.roundCandidate = candidateMachine{
		name:             name,
		shard:            member,
		view:             v,
		preemptorUrgency: lowestUrgency,
		Capacity: binpacking.Capacity{
			CPUs:         v.machineType.CPUs - v.used.cpus,
			GPUs:         v.machineType.GPUs - v.used.gpus,
			MemoryGB:     v.machineType.MemoryGB - v.used.memoryGB,
			TypeName:     v.state.Type,
			Zone:         v.state.Zone,
			Spot:         v.state.Spot,
			CachedImages: v.images,
		},
	}
	return &v.roundCandidate
}

// quotaReservedReason returns the reason for which a job may not start tasks in this round if its
// team's quota is reserved for a job of an underserved class, and an empty string otherwise.
func (r *schedulingRound) quotaReservedReason(spec *protocol.Job) string {
	reservedFor := r.quotaReservedFor[spec.Team]
	if reservedFor == nil {
		return ""
	}
	return fmt.Sprintf("team %s is at its limit, and what is free next is for %s, of which too little was served",
		spec.Team, reservedFor.spec().Class)
}
