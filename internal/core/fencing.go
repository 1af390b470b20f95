package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// How a shard fences its machines, calls them, and expires their leases.

const (
	// machinesPerFencingCall and minFencingCalls bound the calls without commands that are under way
	// at once: one for so many machines of the shard, but so many at least.
	machinesPerFencingCall = 16
	minFencingCalls        = 4

	// maxUnansweredCalls is how many calls in a row an unconfirmed machine may leave
	// unanswered before it counts as silent: it is most likely dead, and holds up all that
	// may be running on it.
	maxUnansweredCalls = 2

	// maxMissedHeartbeats is after how many heartbeat periods without a message a machine is
	// called.
	maxMissedHeartbeats = 2

	// callRetriesPerHeartbeat paces the calls to a machine that has yet to be fenced.
	callRetriesPerHeartbeat = 8
)

// checkMachine does what is due for a machine as time passes: it drops one that is gone,
// expires the lease of one that was not answered for too long, and calls one that has to be
// fenced or was not heard.
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

// releaseIfMissing releases a machine that has left the registry, or that was never in it and is
// no longer heard.
func (s *shard) releaseIfMissing(m *machine) bool {
	c := s.core
	switch {
	case m.registered && c.records.machineRecords.Get(m.name) == nil:
		// Deleted with its tasks. The leader would wait for ever for those that were not
		// published to it yet.
		for _, a := range m.attempts {
			s.returnTask(a)
		}
	case !m.registered && c.now.Monotonic-m.lastHeardAt > c.intervals.machineLeaseExpiry:
		// It was never given anything, or was taken out of the registry and deleted.
	default:
		return false
	}
	s.releaseMachine(m)
	return true
}

// expireLease takes a machine for empty. Nobody has validly answered its worker for longer
// than the worker's lease, so the worker has dropped its tasks, and a start that is still
// under way carries an earlier session. An answer with our token that the machine's next
// heartbeat does not show was not accepted, and renewed nothing: of a machine that has shown
// no token of this epoch only the answers from before the epoch count.
//
// Guards against one-way partitions: a machine that is heard and hears nothing would have
// each heartbeat answered anew, and a failover would wait for it as long as that lasts.
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

// fenceIfDue calls a machine without commands if its list has to be confirmed, or to find
// out whether one that was not heard only has trouble reaching us.
//
// Guards against calling hundreds of machines at once after a change of the shard map: that
// took the processor for seconds in which their heartbeats, which serve as well, were not
// answered.
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

// needsFencing reports whether a machine should be called without commands.
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

// mayFence reports whether one more call without commands may be under way.
func (s *shard) mayFence() bool {
	return len(s.fencingCalls) < max(s.machines.Len()/machinesPerFencingCall, minFencingCalls)
}

// fenceNext calls the machines that had to wait, as one has answered.
//
// Guards against waiting for the next regular check in each round of calls, and against
// checking every machine for every answer: with ten thousand machines that took a third of
// a failover.
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

// callMachine sends commands straight to a worker; without commands the call only fences.
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

// handleCallResult takes the outcome of a call to a machine.
func (s *shard) handleCallResult(d *CallWorkerResult) {
	s.reachability.CallEnded(s.core.now.Monotonic, d.Outcome != DirectUnknown)
	if s.fencingCalls[d.CallID] {
		delete(s.fencingCalls, d.CallID)
		defer s.fenceNext()
	}
	m := s.machines.Get(d.Machine)
	if m == nil || m.callInFlight != d.CallID {
		return
	}
	m.callInFlight = 0
	switch d.Outcome {
	case DirectExecuted:
		s.callExecuted(m, d)
	case DirectFenced:
		s.callRefused(m, d)
	default:
		s.callUnanswered(m, d.CallID)
	}
	s.checkMachine(m)
}

// callExecuted takes the report of a worker that has executed a call.
func (s *shard) callExecuted(m *machine, d *CallWorkerResult) {
	m.lastHeardAt, m.unansweredCalls = s.core.now.Monotonic, 0
	s.applyReport(m, &d.Report, d.CallID, false)
}

// callRefused takes the report of a worker that has executed nothing of a call, since its
// session or its token is another one. A higher token than ours means that a newer shard
// map is on its way to us.
func (s *shard) callRefused(m *machine, d *CallWorkerResult) {
	now := s.core.now.Monotonic
	m.lastHeardAt, m.unansweredCalls = now, 0
	sessionChanged := d.Report.Session != m.session && d.Report.Token <= m.token
	s.dropRefusedStarts(m, d.CallID)
	s.applyReport(m, &d.Report, d.CallID, false)
	m.nextCallAt = now + s.core.intervals.heartbeat
	if sessionChanged {
		m.nextCallAt = 0
	}
}

// callUnanswered notes that the outcome of a call is unknown. A start that it carried may be
// executed at any time while token and session match: it stays on the machine here until
// the machine has shown a raised token.
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

// callRetryAfter is how long an unanswered machine is left alone. One that has yet to be
// fenced holds up what may be running on it, and is called again sooner.
func (s *shard) callRetryAfter(m *machine) time.Duration {
	if m.isTrusted() {
		return s.core.intervals.heartbeat
	}
	return s.core.intervals.heartbeat / callRetriesPerHeartbeat
}

// raiseToken fences a machine anew.
func (s *shard) raiseToken(m *machine) {
	m.raiseToken()
	m.fullStateDue = true
	s.markChanged(m)
}

// dropRefusedStarts returns the tasks whose starts a refused call carried.
func (s *shard) dropRefusedStarts(m *machine, callID uint64) {
	s.retainAttempts(m, func(a *taskAttempt) bool {
		if a.phase != phaseSentDirectly || a.callID != callID {
			return true
		}
		s.returnTask(a)
		return false
	})
}
