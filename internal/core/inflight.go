package core

import "time"

// attemptLocation is where an attempt may be besides the machines that claim it.
//
// An attempt begins as locationDispatched, or as locationClaimed if a machine lists it before
// this leader knows of it. A shard's answer, or a machine's list, makes it locationClaimed; a
// new epoch makes it locationUnknown while it is locationDispatched, until every machine has
// been seen.
type attemptLocation int

const (
	// locationClaimed: it is on none but the machines that claim it.
	locationClaimed attemptLocation = iota
	// locationDispatched: it was sent to a shard that has not said where it is.
	locationDispatched
	// locationUnknown: the shard that it was sent to is gone. It may be on any machine that
	// has not been seen yet.
	locationUnknown
)

// inflightAttempt is the leader's record of a task attempt that was dispatched and may be on
// a machine. It counts against its team's limit until it is surely on none.
type inflightAttempt struct {
	job       *queuedJob
	taskIndex int
	number    uint64
	location  attemptLocation
	machine   string          // where it is as far as is known, empty: not known
	claimants map[string]bool // every machine that lists it, or did and may still have it
	taskState string          // on that machine
	// runningSince is when it was first seen running, 0: not yet.
	runningSince time.Duration

	// How it was dispatched.
	shard           string // the member that it was dispatched to
	dispatchSession uint64 // over this link
	dispatchSeq     uint64 // with this message
	plannedMachine  string // where the scheduling round saw capacity for it
	recordVersion   uint64 // of the job's record that the dispatch rests on, 0: on none

	// Preemption.
	stopRequested bool
	stopUrgency   int // the urgency of the work that it is stopped for
}

// trackAttempt begins to keep an attempt and counts it against its team's limit.
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

// releaseClaim takes back a machine's claim on a task: it surely is not there.
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

// handleNotPlaced notes that a shard has not placed an attempt and will not.
func (s *scheduler) handleNotPlaced(task string, attempt *inflightAttempt) {
	attempt.location = locationClaimed
	s.removeIfUnclaimed(task, attempt)
}

// removeIfUnclaimed drops an attempt, and what it counts against its team's limit, if it is
// surely on no machine and on its way to none.
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

// markDispatchedUnlocated makes what was dispatched and not yet seen on a machine unlocated: the shard
// that it was sent to may be gone, and it may be on any of its machines.
func (s *scheduler) markDispatchedUnlocated() {
	for _, attempt := range s.unplacedAttempts {
		if attempt.location == locationDispatched {
			attempt.location, s.hasUnlocated = locationUnknown, true
		}
	}
	clear(s.unplacedAttempts)
}

// resolveUnlocated frees what was unlocated once every machine has been seen.
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
