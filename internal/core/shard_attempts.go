package core

import (
	"slices"

	"github.com/chalkhub/chalkhub/internal/orderedmap"
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// Which task attempts a shard has on its machines.

// addAttempt puts an attempt on a machine.
func (s *shard) addAttempt(m *machine, a *taskAttempt) {
	m.attempts = append(m.attempts, a)
	s.markChanged(m)
	if job := s.core.records.acceptedJob(a.jobID); job != nil && job.isFinal() {
		return // nobody will look for the machines of a job that is over
	}
	if s.machinesByJob[a.jobID] == nil {
		s.machinesByJob[a.jobID] = orderedmap.New[*machine]()
	}
	s.machinesByJob[a.jobID].Set(m.name, m)
}

// retainAttempts drops those attempts of a machine for which keep is false.
func (s *shard) retainAttempts(m *machine, keep func(*taskAttempt) bool) {
	kept := m.attempts[:0]
	for _, a := range m.attempts {
		if keep(a) {
			kept = append(kept, a)
			continue
		}
		m.droppedTasks = append(m.droppedTasks, a.task)
		s.markChanged(m)
	}
	clear(m.attempts[len(kept):])
	m.attempts = kept
}

// returnTask gives an attempt that was not started back to the leader's queue.
func (s *shard) returnTask(a *taskAttempt) {
	s.returned = append(s.returned, peerproto.TaskAttempt{Task: a.task, Attempt: a.number})
}

// stopJob sees to it that the tasks of a job that has ended are stopped. The machines of
// each job are on record for this: searching all machines cost more than anything else on
// a large fleet with many jobs.
func (s *shard) stopJob(job *jobEntry) {
	jobID := job.record.Spec.ID
	machines := s.machinesByJob[jobID]
	delete(s.machinesByJob, jobID)
	if machines != nil {
		for _, m := range machines.All() {
			if s.owns(m) {
				s.stopJobOn(m, jobID)
			}
		}
	}
	s.unplaced = slices.DeleteFunc(s.unplaced, func(a *taskAttempt) bool {
		if a.jobID == jobID {
			s.returnTask(a)
		}
		return a.jobID == jobID
	})
}

// stopJobOn returns the tasks of a job that were not sent to a machine yet, and expedites
// the machine if it may run others.
func (s *shard) stopJobOn(m *machine, jobID string) {
	s.retainAttempts(m, func(a *taskAttempt) bool {
		switch {
		case a.jobID != jobID:
		case a.phase <= phaseQueued:
			s.returnTask(a)
			return false
		case a.live():
			s.expedite(m)
		}
		return true
	})
}
