package core

import (
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// How a shard takes the heartbeats of workers and the task lists in them.

// handleHeartbeat takes a worker's heartbeat and answers it.
//
// A worker sends its next heartbeat only when nobody waits for the answer to this one any
// more, and counts its lease from when it was sent. Only a current heartbeat, one newer than
// all before, renews anything or tells how the machine is now.
//
// Guards against copies of a dead machine's heartbeats, each of which had its tasks waited
// for for another lease.
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
		s.refuseHeartbeat(id) // somebody has a newer shard map than we do
		return
	}
	s.respondToHeartbeat(id, m, report, current, mayServe)
}

// respondToHeartbeat takes what a heartbeat says of a machine of ours, and answers it with what the
// worker must do.
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
	answer := protocol.HeartbeatResponse{Commands: s.heartbeatCommands(m, report, newest, mayServe)}
	answer.Token = m.token // which the commands may have raised
	c.emit(Reply{ID: id, Status: ReplyOK, Body: answer})
}

// refuseHeartbeat answers a worker that this node may not serve it now.
func (s *shard) refuseHeartbeat(id RequestID) {
	s.core.emit(Reply{ID: id, Status: ReplyUnavailable, Body: protocol.ErrorResponse{Error: "not entitled"}})
}

// addReported begins to own a machine that is known by its heartbeat alone.
func (s *shard) addReported(report *protocol.Heartbeat) *machine {
	m := s.addMachine(report.Machine)
	m.addr, m.typeName, m.zone, m.spot = report.Addr, report.Type, report.Zone, report.Spot
	m.machineType = s.core.machineTypes()[m.typeName]
	m.registered = s.core.records.machineRecords.Get(m.name) != nil
	return m
}

// recordHeartbeat notes that a machine was heard.
func (s *shard) recordHeartbeat(m *machine, report *protocol.Heartbeat) {
	m.lastHeartbeat = messageID{report.Session, report.Seq}
	m.lastHeardAt, m.unansweredCalls = s.core.now.Monotonic, 0
	if m.silent {
		m.silent = false
		s.markChanged(m)
	}
}

// heartbeatCommands lists what the worker must do by the response to its heartbeat. A report
// that is not the newest, or not confirmed, is answered only with stops of what must not run.
func (s *shard) heartbeatCommands(m *machine, report *protocol.Heartbeat, newest, mayServe bool) []protocol.Command {
	if !newest || !m.isTrusted() {
		return s.stopCommands(report)
	}
	if mayServe {
		s.placeAssigned()
	}
	return s.machineCommands(m, 0, mayServe)
}

// applyReport takes what a machine says of itself, in a heartbeat or in the answer to the
// call callID. Only a message with our current token is believed: one with an older token
// may miss a start that a former owner's command has yet to cause.
func (s *shard) applyReport(m *machine, report *protocol.Heartbeat, callID uint64, heartbeat bool) {
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
		return s.mayStillStart(m, a, report, callID, heartbeat)
	})
}

// beginSession takes a new session of a worker. Its lease ran out: everything from before is
// gone, and starts still under way carry the earlier session. The new session has a whole
// lease, whether a heartbeat of it is answered or not.
//
// Guards against taking a machine that is heard by calls alone for empty by the lease of its
// last session, just after tasks have been started on it.
func (s *shard) beginSession(m *machine, report *protocol.Heartbeat) {
	if m.fenced || report.Token >= m.minToken {
		m.leaseRenewedAt = max(m.leaseRenewedAt, s.core.now.Monotonic)
	}
	s.retainAttempts(m, func(a *taskAttempt) bool { return a.phase <= phaseQueued })
	s.markChanged(m)
}

// observeInterruptionNotice follows whether the cloud is about to reclaim a machine.
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

// mayStillStart reports whether an attempt belongs to a machine after a confirmed list: it
// is listed, or its start may still have an effect.
func (s *shard) mayStillStart(m *machine, a *taskAttempt, report *protocol.Heartbeat, callID uint64, heartbeat bool) bool {
	switch {
	case a.lastListed == m.listsRead, a.phase <= phaseQueued:
		return true
	case a.phase == phaseSentInReply:
		// Executed before this heartbeat was made, or never; the answer to a call may be
		// older than the response that carried it.
		return !heartbeat && a.startToken >= report.Token
	case a.phase == phaseSentDirectly:
		return a.startToken >= report.Token && a.callID != callID
	}
	return false
}

// applyTaskList takes a confirmed list.
func (s *shard) applyTaskList(m *machine, report *protocol.Heartbeat) {
	m.listsRead++
	next := 0
	for i := range report.Tasks {
		next = s.applyTaskReport(m, &report.Tasks[i], next)
	}
}

// applyTaskReport takes one line of a confirmed list. The search for its attempt begins at
// index start, and the index after the one found is returned: lists keep their order, so
// that the attempts of a machine are not searched from the first for each line.
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

// findAttempt finds the attempt that a line of a list names, and returns the index after it;
// start if there is none.
func findAttempt(attempts []*taskAttempt, report *protocol.TaskStatus, start int) (found *taskAttempt, next int) {
	for n := range attempts {
		i := (start + n) % len(attempts)
		if a := attempts[i]; a.number == report.Attempt && a.task == report.Task {
			return a, i + 1
		}
	}
	return nil, start
}

// discoverAttempt adds an attempt that a machine lists and that this owner did not know.
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

// updateAttempt takes a change of an attempt's state.
func (s *shard) updateAttempt(m *machine, a *taskAttempt, report *protocol.TaskStatus) {
	now := s.core.now.Monotonic
	s.markChanged(m)
	s.core.logDebug("task", "task", a.task, "machine", m.name, "state", report.State, "why", report.ExitReason)
	if report.State == protocol.TaskRunning && a.runningSince == 0 {
		a.runningSince = now
		if a.spec != nil {
			s.recordImage(m, a.spec)
		}
	}
	if report.State == protocol.TaskExited && a.live() {
		a.endedAt = now
		// Guards against durations that count from a change of owners: jobs of minutes
		// were predicted to take seconds, and no machine was rented for them.
		if a.runningSince > 0 && !a.foundRunning {
			a.ranSeconds = (now - a.runningSince).Seconds()
		}
		if causesBackoff(report.ExitReason) {
			m.backoffUntil[a.jobID] = now + s.core.intervals.machineBackoff
			s.core.logInfo("task failed", "task", a.task, "machine", m.name, "why", report.ExitReason)
		}
	}
	a.state, a.exitReason, a.published = report.State, report.ExitReason, false
}

// causesBackoff reports whether a job is not started on a machine again for a while after
// one of its tasks ended there for this reason: its shard places none, and the leader plans
// none.
//
// Guards against a leader that plans for it: it dispatched the same tasks to the same
// machine every round, got them back, and nobody else was given that capacity for four
// leases.
func causesBackoff(why string) bool {
	return why == protocol.ExitFailed || why == protocol.ExitNoCapacity || why == protocol.ExitUnknownTask
}

// recordImage notes that a machine has, or is about to fetch, the image of a job.
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
