package core

import (
	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// machineCommands lists the commands that a machine must carry out now: first stops, then clears of
// tasks that have ended, then, if mayStart is set, starts. callID identifies the direct call that
// carries the commands; it is 0 for the response to a heartbeat.
func (s *shard) machineCommands(m *machine, callID uint64, mayStart bool) []protocol.Command {
	var commands []protocol.Command
	var clears pendingClears
	startDue := false
	for _, attempt := range m.attempts {
		startDue = startDue || attempt.phase == phaseQueued && mayStart
		if attempt.phase != phaseListed {
			continue
		}
		entry := s.core.records.acceptedJob(attempt.jobID)
		if attempt.state == protocol.TaskExited {
			s.clearIfDurable(&clears, m, attempt, entry)
		} else if stop, due := s.stopCommand(attempt, entry); due {
			commands = append(commands, stop)
		}
	}
	// A worker sends an additional heartbeat whenever its task list changes. To avoid one for clears
	// alone, clears are sent together with other commands, or alone once they are urgent.
	if len(clears.commands) > 0 && (clears.urgent || len(commands) > 0 || startDue) {
		if clears.sentDirectly {
			// A call that was carried out may be delivered again. Once the worker has cleared a
			// task that this call started, it no longer knows the task and would start it again,
			// so the token is raised to invalidate the call. The worker applies the token and the
			// clear together, so its list stays confirmed in the meantime.
			m.token++
		}
		commands = append(commands, clears.commands...)
	}
	if mayStart {
		commands = s.appendStarts(commands, m, callID)
	}
	return commands
}

// pendingClears collects the commands that clear a machine's ended tasks.
type pendingClears struct {
	commands     []protocol.Command
	urgent       bool // send the clears even without other commands
	sentDirectly bool // one of the tasks was started by a direct call with the current token
}

// clearIfDurable adds a command that clears an ended attempt from the worker's list. A completed task
// is cleared only once its completion is stored durably; until then the worker's list is the only
// record that would survive a crash of every controller.
func (s *shard) clearIfDurable(clears *pendingClears, m *machine, attempt *taskAttempt, entry *jobEntry) {
	failed := attempt.exitReason != protocol.ExitDone
	if !failed && !s.mustNotRun(attempt.jobID, entry) && !isDurablyDone(attempt, entry) {
		return
	}
	clearCommand := protocol.Command{Kind: protocol.CommandForget, Task: attempt.task, Attempt: attempt.number}
	clears.commands = append(clears.commands, clearCommand)
	if attempt.callID != 0 && attempt.startToken == m.token {
		clears.sentDirectly = true
	}
	if failed || s.core.now.Monotonic-attempt.endedAt > s.core.intervals.workerLease/2 {
		clears.urgent = true
	}
}

// isDurablyDone reports whether a completed attempt can be cleared without losing its completion.
// Replicas of a service can always be cleared, since they are never recorded as done.
func isDurablyDone(attempt *taskAttempt, entry *jobEntry) bool {
	return entry.isTaskDone(attempt.taskIndex) || entry.record.Spec.Kind == protocol.KindService
}

// stopCommand returns the command that stops a running attempt, and whether it must be sent.
func (s *shard) stopCommand(attempt *taskAttempt, entry *jobEntry) (stop protocol.Command, due bool) {
	stop = protocol.Command{Kind: protocol.CommandStop, Task: attempt.task, Attempt: attempt.number}
	switch {
	case s.mustNotRun(attempt.jobID, entry) || entry.isTaskDone(attempt.taskIndex):
		return stop, true
	case attempt.stopRequested && (attempt.stopNow || attempt.state != protocol.TaskSaving):
		if !attempt.stopNow {
			stop.GraceS = entry.record.Spec.SaveS
		}
		return stop, true
	}
	return protocol.Command{}, false
}

// appendStarts appends the commands that start the attempts queued on a machine, and records how and
// with which token each start was sent.
func (s *shard) appendStarts(commands []protocol.Command, m *machine, callID uint64) []protocol.Command {
	for _, attempt := range m.attempts {
		if attempt.phase != phaseQueued || s.core.degraded.isCancelled(attempt.jobID) {
			continue
		}
		attempt.startToken = m.token
		if callID != 0 {
			attempt.phase, attempt.callID = phaseSentDirectly, callID
		} else {
			attempt.phase = phaseSentInReply
		}
		commands = append(commands, protocol.Command{Kind: protocol.CommandStart, Task: attempt.task, Attempt: attempt.number})
	}
	return commands
}

// mustNotRun reports whether no task of a job may run. entry is the job's entry in the mirror, nil if
// there is none.
func (s *shard) mustNotRun(jobID string, entry *jobEntry) bool {
	return entry == nil || entry.isFinal() || s.core.degraded.isCancelled(jobID)
}

// stopCommands lists the reported tasks that must stop in any case. It is used when the report is not
// confirmed or not the newest, so that no other commands can be derived from it.
//
// Each response renews the worker's lease; without these commands, it could keep a cancelled task
// running.
func (s *shard) stopCommands(report *protocol.Heartbeat) []protocol.Command {
	var commands []protocol.Command
	for i := range report.Tasks {
		task := &report.Tasks[i]
		jobID, _, err := protocol.ParseTaskName(task.Task)
		if err == nil && task.State != protocol.TaskExited && s.mustNotRun(jobID, s.core.records.acceptedJob(jobID)) {
			commands = append(commands, protocol.Command{Kind: protocol.CommandStop, Task: task.Task, Attempt: task.Attempt})
		}
	}
	return commands
}

// sendCommands sends a machine its pending commands by a direct call.
func (s *shard) sendCommands(m *machine) {
	m.expedited = false
	if commands := s.machineCommands(m, s.lastCallID+1, true); len(commands) > 0 {
		s.callMachine(m, commands)
	}
}

// placeAssigned finds machines for the attempts that the leader has dispatched to this shard. It does
// nothing unless something may fit that did not fit before (placementDue) or the next periodic
// placement is due.
func (s *shard) placeAssigned() {
	now := s.core.now.Monotonic
	if len(s.unplaced) == 0 || !s.placementDue && now < s.nextPlacementAt {
		return
	}
	s.placementDue, s.nextPlacementAt = false, now+s.core.intervals.scheduling
	s.updateMachinesWithCapacity()
	withCapacity := make([]*machine, 0, s.machinesWithCapacity.Len())
	for _, m := range s.machinesWithCapacity.All() {
		withCapacity = append(withCapacity, m)
	}
	jobsWithoutCapacity := map[string]bool{} // by job: a task of it found no capacity, so its other tasks will find none either
	unplaced := s.unplaced[:0]
	for _, attempt := range s.unplaced {
		if !s.place(attempt, withCapacity, jobsWithoutCapacity) {
			unplaced = append(unplaced, attempt)
		}
	}
	s.unplaced = unplaced
	s.placementDue = false // placement itself marks machines as changed, but only reduces their capacity
}

// updateMachinesWithCapacity updates machinesWithCapacity for the machines whose capacity may have
// changed. A full shard has few machines with free capacity; searching all machines for them on every
// heartbeat had a cost that grew with the size of the shard.
func (s *shard) updateMachinesWithCapacity() {
	for _, m := range s.capacityChanged {
		m.capacityChanged = false
		if s.machines.Get(m.name) == m && m.acceptsTasks() && m.freeCapacity().CPUs > binpacking.RoundingSlack {
			s.machinesWithCapacity.Set(m.name, m)
		} else if s.machinesWithCapacity.Get(m.name) == m {
			s.machinesWithCapacity.Delete(m.name)
		}
	}
	s.capacityChanged = s.capacityChanged[:0]
}

// place puts an attempt on a machine or returns it to the leader's queue, and reports whether it did
// either. The start is sent in the response to the machine's next heartbeat, or by a direct call if
// that heartbeat is expected too late.
func (s *shard) place(attempt *taskAttempt, withCapacity []*machine, jobsWithoutCapacity map[string]bool) bool {
	now, intervals := s.core.now.Monotonic, &s.core.intervals
	entry := s.core.records.acceptedJob(attempt.jobID)
	// An attempt of a job with zone constraints must be placed by the same version of the job's record
	// on which the leader based the dispatch. If this shard's version is older, the attempt waits until
	// the mirror catches up; if it is newer, the attempt is returned for the leader to decide again.
	if s.mustNotRun(attempt.jobID, entry) || attempt.recordVersion != 0 && entry.recordVersion > attempt.recordVersion {
		s.returnTask(attempt)
		return true
	}
	var best *machine
	if !jobsWithoutCapacity[attempt.jobID] && (attempt.recordVersion == 0 || entry.recordVersion == attempt.recordVersion) {
		best = s.bestMachine(attempt, entry, withCapacity)
	}
	if best == nil {
		jobsWithoutCapacity[attempt.jobID] = !attempt.spec.Spread
		if now-attempt.unplacedSince < intervals.maintenance {
			return false
		}
		s.returnTask(attempt)
		return true
	}
	if !best.freeCapacity().HasImage(attempt.spec.Image) {
		s.recordImage(best, attempt.spec)
	}
	attempt.phase = phaseQueued
	s.core.logDebug("task placed on a machine", "task", attempt.task, "machine", best.name)
	s.addAttempt(best, attempt)
	if nextHeartbeat := best.lastHeardAt + intervals.heartbeat; nextHeartbeat-now > intervals.heartbeat/6 {
		s.expedite(best)
	}
	return true
}

// bestMachine returns the machine that fits an attempt best, or nil if none fits.
func (s *shard) bestMachine(attempt *taskAttempt, entry *jobEntry, withCapacity []*machine) *machine {
	var best *machine
	for _, m := range withCapacity {
		free := m.freeCapacity()
		if !free.Fits(attempt.spec) || !m.allowsTask(entry, attempt.taskIndex) || m.backoffUntil[attempt.jobID] > s.core.now.Monotonic {
			continue
		}
		if best == nil || binpacking.BetterFit(free, best.freeCapacity(), attempt.spec.Image) {
			best = m
		}
	}
	return best
}

// allowsTask reports whether a task of a job may run on a machine, regardless of capacity.
func (m *machine) allowsTask(entry *jobEntry, index int) bool {
	return binpacking.TaskMayRunOn(&entry.record, index, m.typeName, m.zone, m.spot)
}

// holdForGang reserves capacity on a machine for a task of a gang. It reports false if the machine
// cannot take the task.
func (s *shard) holdForGang(name string, attempt *taskAttempt, entry *jobEntry) bool {
	m := s.machines.Get(name)
	if m == nil || !m.acceptsTasks() || attempt.recordVersion != 0 && entry.recordVersion != attempt.recordVersion {
		return false
	}
	if !m.allowsTask(entry, attempt.taskIndex) || !m.freeCapacity().Fits(attempt.spec) {
		return false
	}
	attempt.phase, attempt.state = phaseHeld, peerproto.StateHeld
	s.addAttempt(m, attempt)
	return true
}

// resolveHeld calls keep for each listed attempt that holds capacity for a gang, and removes the attempt
// from its machine if keep returns false.
func (s *shard) resolveHeld(list []peerproto.TaskAttempt, keep func(*machine, *taskAttempt) bool) {
	for _, listed := range list {
		m := s.machines.Get(listed.Machine)
		if m == nil {
			continue
		}
		s.retainAttempts(m, func(attempt *taskAttempt) bool {
			return attempt.phase != phaseHeld || attempt.task != listed.Task || attempt.number != listed.Attempt || keep(m, attempt)
		})
		s.markChanged(m)
	}
}
