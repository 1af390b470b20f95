package core

import (
	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// machineCommands lists what a machine must do now: stops first, then clears of tasks that have
// ended, then starts, if any may go out. callID is that of the call they go with, 0 for a response
// to a heartbeat.
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
	// Each change of its list makes a worker report once more. Clearing alone is no reason for
	// that: it waits for other commands, but not for long.
	if len(clears.commands) > 0 && (clears.urgent || len(commands) > 0 || startDue) {
		if clears.sentDirectly {
			// Guards against a call that was carried out and comes once more: what it started
			// is unknown to the worker once it is cleared, and it would start it again. The
			// worker takes the token and the clear together, so nothing that it lists
			// meanwhile is in doubt.
			m.token++
		}
		commands = append(commands, clears.commands...)
	}
	if mayStart {
		commands = s.appendStarts(commands, m, callID)
	}
	return commands
}

// pendingClears gathers the commands to clear a machine's tasks that have ended.
type pendingClears struct {
	commands     []protocol.Command
	urgent       bool // not to wait for other commands
	sentDirectly bool // one of the tasks was started by a call with the present token
}

// clearIfDurable has an attempt that has ended cleared. A completed task is cleared only once that
// is durable, or a crash of every controller would lose the only trace of it.
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

// isDurablyDone reports whether nothing is lost with the trace of a completed attempt. Replicas of a
// service are never recorded as done.
func isDurablyDone(attempt *taskAttempt, entry *jobEntry) bool {
	return entry.isTaskDone(attempt.taskIndex) || entry.record.Spec.Kind == protocol.KindService
}

// stopCommand is the command to stop an attempt that runs, if it is due.
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

// appendStarts adds the commands to start what is queued on a machine.
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

// mustNotRun reports whether no task of a job may run; entry is what the mirror holds of it.
func (s *shard) mustNotRun(jobID string, entry *jobEntry) bool {
	return entry == nil || entry.isFinal() || s.core.degraded.isCancelled(jobID)
}

// stopCommands lists what a machine must stop whatever else may be on its way to it, where its list
// is not to be trusted for more.
//
// Guards against renewing a machine's lease with an answer that leaves a cancelled task on it.
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

// sendCommands sends a machine what is urgent by a call.
func (s *shard) sendCommands(m *machine) {
	m.expedited = false
	if commands := s.machineCommands(m, s.lastCallID+1, true); len(commands) > 0 {
		s.callMachine(m, commands)
	}
}

// placeAssigned finds machines for the attempts that the leader has dispatched to this shard, if
// that is due.
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
	jobsWithoutCapacity := map[string]bool{} // jobs of which a task found no room: their others won't either
	unplaced := s.unplaced[:0]
	for _, attempt := range s.unplaced {
		if !s.place(attempt, withCapacity, jobsWithoutCapacity) {
			unplaced = append(unplaced, attempt)
		}
	}
	s.unplaced = unplaced
	s.placementDue = false // what was marked meanwhile only lost room
}

// updateMachinesWithCapacity follows the machines whose room may have changed. A full shard has few
// machines with room, and looking for them among all of them for each heartbeat cost more the
// larger it was.
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

// place finds a machine for an attempt, or returns the attempt to the leader's queue, and reports
// whether either is done. The start goes out in the response to the machine's next heartbeat, or by
// a call if that is far.
func (s *shard) place(attempt *taskAttempt, withCapacity []*machine, jobsWithoutCapacity map[string]bool) bool {
	now, intervals := s.core.now.Monotonic, &s.core.intervals
	entry := s.core.records.acceptedJob(attempt.jobID)
	// Where its zones matter an attempt goes by the record that the leader went by: an older
	// one has yet to be followed by that, and by a newer one the leader decides anew.
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
	s.core.logDebug("placed", "task", attempt.task, "machine", best.name)
	s.addAttempt(best, attempt)
	if nextHeartbeat := best.lastHeardAt + intervals.heartbeat; nextHeartbeat-now > intervals.heartbeat/6 {
		s.expedite(best)
	}
	return true
}

// bestMachine is the machine that fits an attempt best, nil if none does.
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

// allowsTask reports whether a task of a job may be on a machine, whatever the room.
func (m *machine) allowsTask(entry *jobEntry, index int) bool {
	return binpacking.TaskMayRunOn(&entry.record, index, m.typeName, m.zone, m.spot)
}

// holdForGang holds room on a machine for a task of a gang, and reports whether there is room.
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

// resolveHeld lets keep decide which of the listed tasks that room is held for stay.
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
