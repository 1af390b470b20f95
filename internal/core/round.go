package core

import (
	"fmt"
	"math"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// schedulingRound is what one round works with: the room on every machine that can be given work,
// and what each team uses. The round fills both up as it dispatches.
type schedulingRound struct {
	machines     []*candidateMachine
	withCapacity []*candidateMachine // those with any room left
	infeasible   map[taskShape]bool  // no machine has room for such a task any more
	teamUsage    map[string]*usage

	bestEffortCPUs  float64 // CPUs that the tasks of best-effort teams may be taking,
	bestEffortLimit float64 // of so many that they may take

	// What is kept for underserved accounts from the jobs that rank behind.
	quotaReservedFor    map[string]*queuedJob // by team: for whom its quota is reserved
	machineReservations int                   // for so many jobs machines are reserved
	smallestTaskCPUs    float64               // CPUs of the smallest task that waits

	victims       []victim // what may be preempted, the cheapest first
	victimsListed bool
}

// candidateMachine is a machine that a round may give work to.
type candidateMachine struct {
	binpacking.Capacity
	name             string
	shard            *shardView
	view             *machineView
	imageCached      bool // has the image of the job that is being dispatched
	reserved         bool // for an underserved account
	preempting       bool // tasks are being stopped here for another job,
	preemptorUrgency int  // which is this urgent
}

// runRound ranks the unfinished jobs and dispatches the tasks that fit. It returns all of the jobs
// and those that had tasks to dispatch, both in rank order.
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

// newRound takes stock of the machines and of the teams' usage.
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

// plannedAttempts lists, by machine, the attempts that were dispatched because of the room there
// and that their shard has not placed yet. Those that it has leave unplacedAttempts.
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

// preemptorUrgencies is, by machine, the highest urgency that tasks are being stopped for there.
// Tasks that have stopped leave stopRequests.
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

// candidate makes the machine's entry of a new round, in the place of the last one's: ten thousand
// of them for each round were most of what the leader allocated.
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

// quotaReservedReason says why a job starts nothing in this round although it could: its team's
// quota is reserved for another class. It is empty if it is not.
func (r *schedulingRound) quotaReservedReason(spec *protocol.Job) string {
	reservedFor := r.quotaReservedFor[spec.Team]
	if reservedFor == nil {
		return ""
	}
	return fmt.Sprintf("team %s is at its limit, and what is free next is for %s, of which too little was served",
		spec.Team, reservedFor.spec().Class)
}
