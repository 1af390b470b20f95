package core

import "time"

// attemptLocation says where an attempt may be, apart from the machines that claim it.
//
// An attempt begins as locationDispatched, or as locationClaimed if a machine lists it before this
// leader knows of it. It becomes locationClaimed when a machine lists it, when its shard returns it, or
// when a snapshot shows that the shard never received it. If a new epoch begins while it is
// locationDispatched, it becomes locationUnknown until every machine has been seen.
type attemptLocation int

const (
	// locationClaimed: the attempt can only be on machines that claim it.
	locationClaimed attemptLocation = iota
	// locationDispatched: the attempt was sent to a shard that has neither placed nor returned it yet.
	locationDispatched
	// locationUnknown: the epoch in which the attempt was dispatched has ended, and its shard may no
	// longer exist. The attempt may be on any machine that has not been seen yet.
	locationUnknown
)

// inflightAttempt is the leader's record of a task attempt that was dispatched and may be on a machine.
// The attempt counts against its team's limit until it is known to be on no machine.
type inflightAttempt struct {
	job       *queuedJob
	taskIndex int
	number    uint64
	location  attemptLocation
	machine   string          // the machine it is believed to be on, empty if not known
	claimants map[string]bool // machines that list it, or listed it and may still run it
	taskState string          // its state on the machine named by machine
	// runningSince is when this leader first saw it running, 0: not yet.
	runningSince time.Duration

	// How it was dispatched.
	shard           string // label of the member to which it was dispatched
	dispatchSession uint64 // the session of the link used
	dispatchSeq     uint64 // sequence number of the message on that link
	plannedMachine  string // the machine on which the scheduling round allocated capacity for it
	recordVersion   uint64 // version of the job's record that the dispatch is based on, 0: the placement does not depend on it

	// Preemption.
	stopRequested bool
	stopUrgency   int // the urgency level of the work for which it is stopped
}

// trackAttempt starts tracking an attempt and counts it against its team's limit.
func (s *scheduler) trackAttempt(task string, attempt *inflightAttempt) {
	s.attempts[task] = attempt
	attempt.job.inflight[attempt.taskIndex] = attempt
	spec := &attempt.job.entry.record.Spec
	teamUsage := s.teamUsage[spec.Team]
	if teamUsage == nil {
		teamUsage = &usage{}
		s.teamUsage[spec.Team] = teamUsage
	}
	teamUsage.add(spec, 1)
}

// releaseClaim removes a machine's claim on a task that is known not to be on that machine.
func (s *scheduler) releaseClaim(task string, attempt *inflightAttempt, view *machineView) {
	view.unclaim(task)
	name := view.state.Name
	delete(attempt.claimants, name)
	if attempt.machine == name {
		attempt.machine, attempt.taskState = "", ""
		for _, claimant := range sortedKeys(attempt.claimants) {
			attempt.machine = claimant
		}
	}
	s.removeIfUnclaimed(task, attempt)
}

// handleNotPlaced handles an attempt that its shard has not placed and will not place.
func (s *scheduler) handleNotPlaced(task string, attempt *inflightAttempt) {
	attempt.location = locationClaimed
	s.removeIfUnclaimed(task, attempt)
}

// removeIfUnclaimed stops tracking an attempt, which then no longer counts against its team's limit, if
// no machine claims it and its location rules out all other machines.
func (s *scheduler) removeIfUnclaimed(task string, attempt *inflightAttempt) {
	if attempt.location != locationClaimed || len(attempt.claimants) > 0 {
		return
	}
	job := attempt.job
	if s.attempts[task] == attempt {
		delete(s.attempts, task)
		s.teamUsage[job.entry.record.Spec.Team].add(&job.entry.record.Spec, -1)
	}
	if job.inflight[attempt.taskIndex] == attempt {
		delete(job.inflight, attempt.taskIndex)
		job.firstWaiting = min(job.firstWaiting, attempt.taskIndex)
	}
	if job.entry.isFinal() && len(job.inflight) == 0 {
		s.queue.Delete(job.id)
	}
}

// markDispatchedUnlocated marks all attempts that were dispatched but not yet seen on a machine as
// unlocated: the shard to which an attempt was sent may no longer exist, and the attempt may be on any
// of that shard's machines.
func (s *scheduler) markDispatchedUnlocated() {
	for _, attempt := range s.unplacedAttempts {
		if attempt.location == locationDispatched {
			attempt.location, s.hasUnlocated = locationUnknown, true
		}
	}
	clear(s.unplacedAttempts)
}

// resolveUnlocated ends the unlocated state of jobs and attempts once every machine has been seen. An
// unlocated attempt that no machine claims does not exist and is removed.
func (s *scheduler) resolveUnlocated() {
	if !s.hasUnlocated {
		return
	}
	if s.anyUnseen() {
		s.logUnseen()
		return
	}
	s.hasUnlocated = false
	for _, job := range s.queue.All() {
		job.unlocated = false
	}
	for _, task := range sortedKeys(s.attempts) {
		if attempt := s.attempts[task]; attempt.location == locationUnknown {
			attempt.location = locationClaimed
			s.removeIfUnclaimed(task, attempt)
		}
	}
	s.lastScheduling = 0
	s.core.logInfo("every machine has been seen")
}
