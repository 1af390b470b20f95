package core

import (
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// checkMachine looks after a machine's clock: fencing, silence, machines that are gone.
func (p *shard) checkMachine(r *machine) {
	c := p.core
	if r.registered && c.records.machineRecords.get(r.name) == nil {
		// Deleted: it and its tasks are gone. What the leader has not been told of
		// yet it would wait for for ever: seed 51759.
		for _, t := range r.attempts {
			p.returnTask(t)
		}
		p.releaseMachine(r)
		return
	}
	if !r.registered && c.now.Monotonic-r.lastHeardAt > c.intervals.machineLeaseExpiry {
		p.releaseMachine(r) // it was never given anything, or was withdrawn and deleted
		return
	}
	if r.machineType == nil {
		if r.machineType = c.machineTypes()[r.typeName]; r.machineType != nil {
			p.markChanged(r)
		}
	}
	if !r.leaseExpired && c.now.Monotonic-r.lastAnsweredAt > c.intervals.machineLeaseExpiry {
		p.expireLease(r)
	}
	// One that has let two questions pass after a change of the map most likely is
	// dead, and holds up all that may be running on it.
	mute := !r.trusted && r.unansweredCalls >= 2
	if silent := mute || c.now.Monotonic-r.lastHeardAt > c.intervals.workerLease/2; silent != r.silent {
		r.silent = silent
		p.markChanged(r)
	}
	// An empty /do fences a machine, or finds out that it only has trouble
	// reaching us. After a change of the map hundreds are due at once: asking all
	// of them took the processor for seconds in which their reports, which do as
	// well, were not answered.
	due := r.trusted && c.now.Monotonic-r.lastHeardAt > 2*c.intervals.heartbeat || !r.trusted && r.addr != "" && !r.leaseExpired
	switch {
	case !due || r.callInFlight != 0 || c.now.Monotonic < r.nextCallAt:
	case p.mayFence():
		p.callMachine(r, nil)
	case !r.queuedForFencing:
		r.queuedForFencing = true
		p.fencingQueue = append(p.fencingQueue, r)
	}
}

// expireLease takes a machine for empty. Nobody entitled has answered its worker for longer than its
// lease, so it has dropped its tasks, and a start still under way carries an earlier session.
// An answer with our token that its next report does not show was not accepted, and renewed
// nothing: of a machine that has shown none in this epoch only the answers from before count.
//
// Guards against machines that are heard and hear nothing: each report was answered anew, so
// that a take-over waited for them for as long as they were deaf.
func (p *shard) expireLease(r *machine) {
	r.leaseExpired, r.trusted, r.fullStateDue = true, false, true
	lost := 0
	for _, t := range r.attempts {
		if t.live() {
			lost++
		}
	}
	if lost > 0 {
		p.core.logInfo("machine is silent, its tasks are lost", "machine", r.name, "tasks", lost)
	}
	r.attempts = nil
	p.markChanged(r)
}

// mayFence reports whether one more machine may be asked by /do without commands.
func (p *shard) mayFence() bool {
	return len(p.fencingCalls) < max(p.machines.len()/fencingShare, minFencingCalls)
}

// fenceNext asks the machines that had to wait, as one has answered.
//
// Guards against a second for each round of asking, which a wait for the regular look
// at the clocks would take, and against looking at every machine for every answer: at
// ten thousand machines that took a third of a take-over.
func (p *shard) fenceNext() {
	for len(p.fencingQueue) > 0 && p.mayFence() {
		r := p.fencingQueue[0]
		p.fencingQueue = p.fencingQueue[1:]
		r.queuedForFencing = false
		if p.machines.get(r.name) == r {
			p.checkMachine(r)
		}
	}
}

// So many machines of a part are asked at once by /do without commands.
const (
	fencingShare    = 16 // one in so many
	minFencingCalls = 4
)

// callMachine sends commands straight to a worker; without commands it only fences.
func (p *shard) callMachine(r *machine, cmds []protocol.Command) {
	p.lastCallID++
	r.callInFlight = p.lastCallID
	r.expedited = false
	if len(cmds) == 0 {
		p.fencingCalls[r.callInFlight] = true
	}
	p.core.emit(CallWorker{Machine: r.name, CallID: p.lastCallID, Addr: r.addr, Body: protocol.DirectCommands{Token: r.token, Session: max(r.session, 1), Commands: cmds}})
}

func (p *shard) handleCallResult(d *CallWorkerResult) {
	p.recordCall(d.Outcome != DirectUnknown)
	if p.fencingCalls[d.CallID] {
		delete(p.fencingCalls, d.CallID)
		defer p.fenceNext()
	}
	r := p.machines.get(d.Machine)
	if r == nil || r.callInFlight != d.CallID {
		return
	}
	c := p.core
	r.callInFlight = 0
	defer p.checkMachine(r)
	switch d.Outcome {
	case DirectExecuted:
		r.lastHeardAt, r.unansweredCalls = c.now.Monotonic, 0
		p.applyReport(r, &d.Report, d.CallID, false)
	case DirectFenced:
		// Nothing was executed. A higher token than ours means that a newer map
		// is on its way to us.
		r.lastHeardAt, r.unansweredCalls = c.now.Monotonic, 0
		again := d.Report.Session != r.session && d.Report.Token <= r.token
		p.dropRefusedStarts(r, d.CallID)
		p.applyReport(r, &d.Report, d.CallID, false)
		if again {
			r.nextCallAt = 0
		} else {
			r.nextCallAt = c.now.Monotonic + c.intervals.heartbeat
		}
	default:
		// A start without an answer may be executed at any time while token and
		// session match: it stays pinned here until the machine has shown a
		// raised token.
		for _, t := range r.attempts {
			if t.phase == phaseSentDirectly && t.callID == d.CallID {
				p.raiseToken(r)
				break
			}
		}
		r.unansweredCalls++
		r.nextCallAt = c.now.Monotonic + c.intervals.heartbeat
		if !r.trusted {
			r.nextCallAt = c.now.Monotonic + c.intervals.heartbeat/8
		}
	}
}

func (p *shard) raiseToken(r *machine) {
	r.token++
	r.minToken = r.token
	r.trusted, r.fullStateDue = false, true
	p.markChanged(r)
}

// dropRefusedStarts forgets starts that a refused /do carried.
func (p *shard) dropRefusedStarts(r *machine, id uint64) {
	p.retainAttempts(r, func(t *taskAttempt) bool {
		if t.phase != phaseSentDirectly || t.callID != id {
			return true
		}
		p.returnTask(t)
		return false
	})
}
