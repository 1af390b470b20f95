package core

import (
	"slices"

	"github.com/chalkhub/chalkhub/internal/orderedmap"
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// The task attempts on the machines of a shard.

// addAttempt records an attempt on a machine.
func (s *shard) addAttempt(m *machine, a *taskAttempt) {
	m.attempts = append(m.attempts, a)
	s.markChanged(m)
	if job := s.core.records.acceptedJob(a.jobID); job != nil && job.isFinal() {
		return // the machines of a final job are not searched
	}
	if s.machinesByJob[a.jobID] == nil {
		s.machinesByJob[a.jobID] = orderedmap.New[*machine]()
	}
	s.machinesByJob[a.jobID].Set(m.name, m)
}

// retainAttempts drops the attempts of a machine for which keep returns false.
func (s *shard) retainAttempts(m *machine, keep func(*taskAttempt) bool) {
	retained := m.attempts[:0]
	for _, a := range m.attempts {
		if keep(a) {
			retained = append(retained, a)
			continue
		}
		m.droppedTasks = append(m.droppedTasks, a.task)
		s.markChanged(m)
	}
	clear(m.attempts[len(retained):])
	m.attempts = retained
}

// returnTask returns an attempt that was not started to the leader's queue.
func (s *shard) returnTask(a *taskAttempt) {
	s.returned = append(s.returned, peerproto.TaskAttempt{Task: a.task, Attempt: a.number})
}

// stopJob causes the tasks of a job that has ended to be stopped. It uses the index machinesByJob,
// since on a large fleet with many jobs a search of all machines cost more than all other work.
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

// stopJobOn returns the job's attempts that were not sent to the machine yet, and expedites the
// machine if it may run other tasks of the job.
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
