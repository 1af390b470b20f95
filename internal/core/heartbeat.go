package core

import (
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// How a shard handles the heartbeats of workers and the task lists in them.

// handleHeartbeat handles a worker's heartbeat and replies to it.
//
// A worker sends its next heartbeat only when it no longer waits for the response to the previous
// one, and it counts its lease from the sending of the heartbeat. Therefore only a current
// heartbeat, one that is newer than all received before, renews the lease and shows the present
// state of the machine.
//
// This guards against duplicates of a dead machine's heartbeats that arrive late: each of them delayed
// the restart of the machine's tasks by another lease.
func (s *shard) handleHeartbeat(id RequestID, report *protocol.Heartbeat) {
	c := s.core
	m := s.machines.Get(report.Machine)
	current := m == nil || report.Newer(m.lastHeartbeat.session, m.lastHeartbeat.seq)
	if current {
		s.reachability.Contact(c.now.Monotonic)
	}
	if c.mirror.IsReady() {
		s.followEpoch()
	}
	mayServe := c.membership.mayServe()
	if !mayServe && !c.degraded.isActive() || c.records.shardMap == nil {
		s.refuseHeartbeat(id)
		return
	}
	if owner := c.membership.ownerOf(report.Machine); owner != c.settings.Label || !s.isMember {
		c.emit(Reply{ID: id, Status: ReplyMisdirected, Body: protocol.Redirect{ReportTo: owner}})
		return
	}
	if m = s.machines.Get(report.Machine); m == nil {
		m = s.addReported(report)
	}
	if report.Token > m.token {
		s.refuseHeartbeat(id) // another controller has a newer shard map than this one
		return
	}
	s.respondToHeartbeat(id, m, report, current, mayServe)
}

// respondToHeartbeat applies the heartbeat of a machine that this shard owns, and replies with the
// commands for the worker.
func (s *shard) respondToHeartbeat(id RequestID, m *machine, report *protocol.Heartbeat, current, mayServe bool) {
	c := s.core
	newest := report.Newer(m.session, m.seq)
	if current {
		s.recordHeartbeat(m, report)
	}
	if newest {
		s.applyReport(m, report, 0, true)
		if !m.fenced && !m.leaseExpired() && c.now.Monotonic-m.maybeRenewedUntil > c.intervals.machineLeaseExpiry {
			s.expireLease(m)
		}
	}
	if current {
		m.leaseRenewedAt = max(m.leaseRenewedAt, c.now.Monotonic)
	}
	response := protocol.HeartbeatResponse{Commands: s.heartbeatCommands(m, report, newest, mayServe)}
	response.Token = m.token // set after the commands, since heartbeatCommands may raise the token
	c.emit(Reply{ID: id, Status: ReplyOK, Body: response})
}

// refuseHeartbeat replies to a worker that this controller may not serve it now.
func (s *shard) refuseHeartbeat(id RequestID) {
	s.core.emit(Reply{ID: id, Status: ReplyUnavailable, Body: protocol.ErrorResponse{Error: "not entitled"}})
}

// addReported adds a machine that is known to this shard only by its heartbeat.
func (s *shard) addReported(report *protocol.Heartbeat) *machine {
	m := s.addMachine(report.Machine)
	m.addr, m.typeName, m.zone, m.spot = report.Addr, report.Type, report.Zone, report.Spot
	m.machineType = s.core.machineTypes()[m.typeName]
	m.registered = s.core.records.machineRecords.Get(m.name) != nil
	return m
}

// recordHeartbeat records the ID of a machine's newest heartbeat and the time at which it arrived.
func (s *shard) recordHeartbeat(m *machine, report *protocol.Heartbeat) {
	m.lastHeartbeat = messageID{report.Session, report.Seq}
	m.lastHeardAt, m.unansweredCalls = s.core.now.Monotonic, 0
	if m.silent {
		m.silent = false
		s.markChanged(m)
	}
}

// heartbeatCommands returns the commands for the response to a heartbeat. If the report is not the
// newest, or the machine's task list is not confirmed, they only stop tasks that must not run.
func (s *shard) heartbeatCommands(m *machine, report *protocol.Heartbeat, newest, mayServe bool) []protocol.Command {
	if !newest || !m.isTrusted() {
		return s.stopCommands(report)
	}
	if mayServe {
		s.placeAssigned()
	}
	return s.machineCommands(m, 0, mayServe)
}

// applyReport applies the report of a machine, which came in a heartbeat or in the response to the
// call callID. Its task list counts only if the report shows the machine's current token: with an
// older token, a start command of a former owner may still be in flight and take effect later.
func (s *shard) applyReport(m *machine, report *protocol.Heartbeat, callID uint64, fromHeartbeat bool) {
	if !report.Newer(m.session, m.seq) {
		return
	}
	if report.Session > m.session {
		s.beginSession(m, report)
	}
	m.session, m.seq = report.Session, report.Seq
	s.observeInterruptionNotice(m, report)
	if m.observeToken(report.Token) {
		m.fullStateDue = true
		s.markChanged(m)
	}
	if !m.isTrusted() {
		return
	}
	s.applyTaskList(m, report)
	s.retainAttempts(m, func(a *taskAttempt) bool {
		return s.mayStillStart(m, a, report, callID, fromHeartbeat)
	})
}

// beginSession handles the first report of a new session of a worker. Its lease has expired: all
// tasks of the former session have ended, and start commands still in flight carry that session and
// will be refused. The new session begins with a full lease, whether a heartbeat of it gets a
// response or not.
//
// This guards against expiring the lease of a machine that can be reached only by calls: counted from
// the former session, the lease expired just after tasks had been started in the new one.
func (s *shard) beginSession(m *machine, report *protocol.Heartbeat) {
	if m.fenced || report.Token >= m.minToken {
		m.leaseRenewedAt = max(m.leaseRenewedAt, s.core.now.Monotonic)
	}
	s.retainAttempts(m, func(a *taskAttempt) bool { return a.phase <= phaseQueued })
	s.markChanged(m)
}

// observeInterruptionNotice updates whether the cloud is about to reclaim a machine.
func (s *shard) observeInterruptionNotice(m *machine, report *protocol.Heartbeat) {
	notice := report.NoticeS != nil
	if notice == m.interruptionNotice {
		return
	}
	m.interruptionNotice = notice
	s.markChanged(m)
	if notice {
		s.core.logInfo("interruption notice: machine will be reclaimed", "machine", m.name, "seconds", *report.NoticeS)
	}
}

// mayStillStart reports whether an attempt stays on a machine after a confirmed task list was
// applied: the list has it, it was not sent yet, or its start command may still take effect.
func (s *shard) mayStillStart(m *machine, a *taskAttempt, report *protocol.Heartbeat, callID uint64, fromHeartbeat bool) bool {
	switch {
	case a.lastListed == m.listsRead, a.phase <= phaseQueued:
		return true
	case a.phase == phaseSentInReply:
		// A worker executes a response before it makes its next heartbeat, or never. The report
		// in the response to a call may be older than the heartbeat response that carried the
		// start command.
		return !fromHeartbeat && a.startToken >= report.Token
	case a.phase == phaseSentDirectly:
		return a.startToken >= report.Token && a.callID != callID
	}
	return false
}

// applyTaskList applies a confirmed task list.
func (s *shard) applyTaskList(m *machine, report *protocol.Heartbeat) {
	m.listsRead++
	next := 0
	for i := range report.Tasks {
		next = s.applyTaskReport(m, &report.Tasks[i], next)
	}
}

// applyTaskReport applies one entry of a confirmed task list. The search for its attempt begins at
// index start, and next is the index after the attempt found: task lists keep their order, so the
// attempts of a machine need not be searched from the beginning for each entry.
func (s *shard) applyTaskReport(m *machine, report *protocol.TaskStatus, start int) (next int) {
	a, next := findAttempt(m.attempts, report, start)
	if a == nil {
		if a = s.discoverAttempt(m, report); a == nil {
			return next
		}
	}
	a.phase, a.lastListed = phaseListed, m.listsRead
	if a.state != report.State || a.exitReason != report.ExitReason {
		s.updateAttempt(m, a, report)
	}
	return next
}

// findAttempt returns the attempt that an entry of a task list names, and the index after it, or
// nil and start if there is none.
func findAttempt(attempts []*taskAttempt, report *protocol.TaskStatus, start int) (found *taskAttempt, next int) {
	for n := range attempts {
		i := (start + n) % len(attempts)
		if a := attempts[i]; a.number == report.Attempt && a.task == report.Task {
			return a, i + 1
		}
	}
	return nil, start
}

// discoverAttempt adds an attempt that a machine lists and that this shard did not know, or returns
// nil if its task name is malformed.
func (s *shard) discoverAttempt(m *machine, report *protocol.TaskStatus) *taskAttempt {
	jobID, taskIndex, err := protocol.ParseTaskName(report.Task)
	if err != nil {
		args := []any{"machine", m.name, "task", report.Task}
		s.core.emit(Log{Level: LevelError, Text: "worker reported a malformed task name", Args: args})
		return nil
	}
	a := &taskAttempt{
		task: report.Task, jobID: jobID, taskIndex: taskIndex, number: report.Attempt,
		foundRunning: report.State == protocol.TaskRunning,
	}
	if job := s.core.records.acceptedJob(jobID); job != nil {
		a.spec = &job.record.Spec
	}
	s.addAttempt(m, a)
	return a
}

// updateAttempt applies a change of an attempt's state.
func (s *shard) updateAttempt(m *machine, a *taskAttempt, report *protocol.TaskStatus) {
	now := s.core.now.Monotonic
	s.markChanged(m)
	s.core.logDebug("task changed its state", "task", a.task, "machine", m.name, "state", report.State, "why", report.ExitReason)
	if report.State == protocol.TaskRunning && a.runningSince == 0 {
		a.runningSince = now
		if a.spec != nil {
			s.recordImage(m, a.spec)
		}
	}
	if report.State == protocol.TaskExited && a.live() {
		a.endedAt = now
		// The run time is unknown if the attempt was already running when this shard first saw
		// it. Counted from a change of the machine's owner, run times of minutes were estimated
		// as seconds, and no machine was rented for such jobs.
		if a.runningSince > 0 && !a.foundRunning {
			a.runSeconds = (now - a.runningSince).Seconds()
		}
		if causesBackoff(report.ExitReason) {
			m.backoffUntil[a.jobID] = now + s.core.intervals.machineBackoff
			s.core.logInfo("task failed", "task", a.task, "machine", m.name, "why", report.ExitReason)
		}
	}
	a.state, a.exitReason, a.published = report.State, report.ExitReason, false
}

// causesBackoff reports whether, after a task ended on a machine for this reason, no task of its
// job is started there for the backoff period: the shard places none there, and the leader plans
// none for it.
//
// This guards against a leader that still plans tasks for such a machine: in every scheduling round it
// dispatched the same tasks to the same machine, the shard returned them, and no other job was
// given that capacity for four leases.
func causesBackoff(exitReason string) bool {
	return exitReason == protocol.ExitFailed || exitReason == protocol.ExitNoCapacity || exitReason == protocol.ExitUnknownTask
}

// recordImage records that a machine has, or is about to fetch, the image of a job.
func (s *shard) recordImage(m *machine, job *protocol.Job) {
	cacheGB := 0.0
	if m.machineType != nil {
		cacheGB = m.machineType.CacheGB
	}
	if m.images.Use(job.Image, job.ImageGB, cacheGB) {
		m.imagesChanged = true
		s.markChanged(m)
	}
}
