package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// How a shard fences its machines, calls them, and expires their leases. A fencing call is a call
// without commands: it shows the worker the machine's current fencing token.

const (
	// The limit of fencing calls in flight is one per machinesPerFencingCall machines of the shard,
	// but at least minFencingCalls.
	machinesPerFencingCall = 16
	minFencingCalls        = 4

	// maxUnansweredCalls is the number of calls in a row without a response after which an
	// unconfirmed machine counts as silent: it is most likely dead, and delays the restart of
	// all tasks that may be running on it.
	maxUnansweredCalls = 2

	// maxMissedHeartbeats is the number of heartbeat periods without a message after which a
	// machine is called.
	maxMissedHeartbeats = 2

	// callRetriesPerHeartbeat is how many times in a heartbeat period an unconfirmed machine that
	// does not respond is called.
	callRetriesPerHeartbeat = 8
)

// checkMachine does the periodic work for a machine: it releases one that is missing, expires a
// lease that was not renewed for too long, and calls a machine that has to be fenced or whose
// heartbeats are missing.
func (s *shard) checkMachine(m *machine) {
	c := s.core
	if s.releaseIfMissing(m) {
		return
	}
	if m.machineType == nil {
		if m.machineType = c.machineTypes()[m.typeName]; m.machineType != nil {
			s.markChanged(m)
		}
	}
	if !m.leaseExpired() && c.now.Monotonic-m.leaseRenewedAt > c.intervals.machineLeaseExpiry {
		s.expireLease(m)
	}
	unresponsive := !m.isTrusted() && m.unansweredCalls >= maxUnansweredCalls
	if silent := unresponsive || c.now.Monotonic-m.lastHeardAt > c.intervals.workerLease/2; silent != m.silent {
		m.silent = silent
		s.markChanged(m)
	}
	s.fenceIfDue(m)
}

// releaseIfMissing releases a machine that was deleted from the machine registry, or that is not in
// the registry and sends no messages any more. It reports whether it did so.
func (s *shard) releaseIfMissing(m *machine) bool {
	c := s.core
	switch {
	case m.registered && c.records.machineRecords.Get(m.name) == nil:
		// The machine was terminated, and its tasks with it. All its attempts are returned, since
		// the leader would wait forever for those that were not published yet.
		for _, a := range m.attempts {
			s.returnTask(a)
		}
	case !m.registered && c.now.Monotonic-m.lastHeardAt > c.intervals.machineLeaseExpiry:
		// The machine was never assigned a task, or was deleted from the registry and terminated.
	default:
		return false
	}
	s.releaseMachine(m)
	return true
}

// expireLease records that a machine runs nothing. No controller has renewed the worker's lease for
// longer than the lease lasts, so the worker has killed its tasks, and a start command that is
// still in flight carries an earlier session and will be refused.
//
// A worker that accepts a response shows the response's token in its next heartbeat. A machine that
// has shown no token of this epoch has therefore accepted no response of this epoch, and only
// responses from before the epoch can have renewed its lease.
//
// This guards against a one-way partition in which a machine's heartbeats arrive but the responses are
// lost: if each response counted as a renewal, a failover would wait for the machine for as long as
// the partition lasts.
func (s *shard) expireLease(m *machine) {
	lost := 0
	for _, a := range m.attempts {
		if a.live() {
			lost++
		}
	}
	m.expireLease()
	m.fullStateDue = true
	if lost > 0 {
		s.core.logInfo("machine lease expired, its tasks are lost", "machine", m.name, "tasks", lost)
	}
	s.markChanged(m)
}

// fenceIfDue makes a fencing call to a machine whose task list has to be confirmed, or whose
// heartbeats are missing: it may be alive and only unable to reach this controller.
//
// It limits the calls in flight. This guards against calling hundreds of machines at once after a
// change of the shard map: the calls used the processor for seconds, during which there was no
// response to the machines' heartbeats, which would have confirmed the lists as well.
func (s *shard) fenceIfDue(m *machine) {
	if m.callInFlight != 0 || s.core.now.Monotonic < m.nextCallAt || !s.needsFencing(m) {
		return
	}
	switch {
	case s.mayFence():
		s.callMachine(m, nil)
	case !m.queuedForFencing:
		m.queuedForFencing = true
		s.fencingQueue = append(s.fencingQueue, m)
	}
}

func (s *shard) needsFencing(m *machine) bool {
	switch m.trust {
	case listConfirmed:
		return s.core.now.Monotonic-m.lastHeardAt > maxMissedHeartbeats*s.core.intervals.heartbeat
	case listUnconfirmed:
		return m.addr != ""
	default:
		return false
	}
}

// mayFence reports whether the limit allows one more fencing call in flight.
func (s *shard) mayFence() bool {
	return len(s.fencingCalls) < max(s.machines.Len()/machinesPerFencingCall, minFencingCalls)
}

// fenceNext checks the queued machines when a fencing call has ended, up to the limit.
//
// This guards against two delays: waiting for the next periodic check after each round of calls, and
// checking every machine after every response. With ten thousand machines that took a third of a
// failover.
func (s *shard) fenceNext() {
	for len(s.fencingQueue) > 0 && s.mayFence() {
		m := s.fencingQueue[0]
		s.fencingQueue = s.fencingQueue[1:]
		m.queuedForFencing = false
		if s.owns(m) {
			s.checkMachine(m)
		}
	}
}

// callMachine sends commands directly to a worker; without commands it is a fencing call.
func (s *shard) callMachine(m *machine, commands []protocol.Command) {
	s.lastCallID++
	m.callInFlight = s.lastCallID
	m.expedited = false
	if len(commands) == 0 {
		s.fencingCalls[m.callInFlight] = true
	}
	s.core.emit(CallWorker{
		Machine: m.name, CallID: s.lastCallID, Addr: m.addr,
		Body: protocol.DirectCommands{Token: m.token, Session: max(m.session, 1), Commands: commands},
	})
}

func (s *shard) handleCallResult(result *CallWorkerResult) {
	s.reachability.CallEnded(s.core.now.Monotonic, result.Outcome != DirectUnknown)
	if s.fencingCalls[result.CallID] {
		delete(s.fencingCalls, result.CallID)
		defer s.fenceNext()
	}
	m := s.machines.Get(result.Machine)
	if m == nil || m.callInFlight != result.CallID {
		return
	}
	m.callInFlight = 0
	switch result.Outcome {
	case DirectExecuted:
		s.callExecuted(m, result)
	case DirectFenced:
		s.callRefused(m, result)
	default:
		s.callUnanswered(m, result.CallID)
	}
	s.checkMachine(m)
}

// callExecuted applies the report of a worker that has executed a call.
func (s *shard) callExecuted(m *machine, result *CallWorkerResult) {
	m.lastHeardAt, m.unansweredCalls = s.core.now.Monotonic, 0
	s.applyReport(m, &result.Report, result.CallID, false)
}

// callRefused applies the report of a worker that has executed nothing of a call, since its session
// or its token did not match. A token higher than the shard's means that this controller's mirror
// has yet to receive a newer shard map.
func (s *shard) callRefused(m *machine, result *CallWorkerResult) {
	now := s.core.now.Monotonic
	m.lastHeardAt, m.unansweredCalls = now, 0
	sessionChanged := result.Report.Session != m.session && result.Report.Token <= m.token
	s.dropRefusedStarts(m, result.CallID)
	s.applyReport(m, &result.Report, result.CallID, false)
	m.nextCallAt = now + s.core.intervals.heartbeat
	if sessionChanged {
		m.nextCallAt = 0
	}
}

// callUnanswered handles a call whose outcome is unknown. A start command that it carried may be
// executed at any time while token and session match, so the attempt stays on the machine in this
// shard until the machine has shown a raised token.
func (s *shard) callUnanswered(m *machine, callID uint64) {
	for _, a := range m.attempts {
		if a.phase == phaseSentDirectly && a.callID == callID {
			s.raiseToken(m)
			break
		}
	}
	m.unansweredCalls++
	m.nextCallAt = s.core.now.Monotonic + s.callRetryAfter(m)
}

// callRetryAfter is the pause before a machine that did not respond is called again. It is shorter
// for an unconfirmed machine, which delays the restart of the tasks that may be running on it.
func (s *shard) callRetryAfter(m *machine) time.Duration {
	if m.isTrusted() {
		return s.core.intervals.heartbeat
	}
	return s.core.intervals.heartbeat / callRetriesPerHeartbeat
}

// raiseToken fences a machine again, with a higher token.
func (s *shard) raiseToken(m *machine) {
	m.raiseToken()
	m.fullStateDue = true
	s.markChanged(m)
}

// dropRefusedStarts returns the attempts whose start commands were part of a refused call.
func (s *shard) dropRefusedStarts(m *machine, callID uint64) {
	s.retainAttempts(m, func(a *taskAttempt) bool {
		if a.phase != phaseSentDirectly || a.callID != callID {
			return true
		}
		s.returnTask(a)
		return false
	})
}
