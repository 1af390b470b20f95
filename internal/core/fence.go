package core

import "github.com/chalkhub/chalkhub/internal/wire"

// tend looks after a machine's clock: fencing, silence, machines that are gone.
func (p *part) tend(r *rig) {
	c := p.c
	if r.registered && c.ledger.machines.get(r.name) == nil {
		// Deleted: it and its tasks are gone. What the leader has not been told of
		// yet it would wait for for ever: seed 51759.
		for _, t := range r.tasks {
			p.giveBack(t)
		}
		p.forget(r)
		return
	}
	if !r.registered && c.now.Steady-r.heard > c.times.gone {
		p.forget(r) // it was never given anything, or was withdrawn and deleted
		return
	}
	if r.mt == nil {
		if r.mt = c.types()[r.typ]; r.mt != nil {
			p.mark(r)
		}
	}
	if !r.lapsed && c.now.Steady-r.answered > c.times.gone {
		p.lapse(r)
	}
	// One that has let two questions pass after a change of the map most likely is
	// dead, and holds up all that may be running on it.
	mute := !r.trusted && r.unanswered >= 2
	if silent := mute || c.now.Steady-r.heard > c.times.lease/2; silent != r.silent {
		r.silent = silent
		p.mark(r)
	}
	// An empty /do fences a machine, or finds out that it only has trouble
	// reaching us. After a change of the map hundreds are due at once: asking all
	// of them took the processor for seconds in which their reports, which do as
	// well, were not answered.
	due := r.trusted && c.now.Steady-r.heard > 2*c.times.report || !r.trusted && r.addr != "" && !r.lapsed
	switch {
	case !due || r.asking != 0 || c.now.Steady < r.askAgain:
	case p.mayAsk():
		p.do(r, nil)
	case !r.waits:
		r.waits = true
		p.toAsk = append(p.toAsk, r)
	}
}

// lapse takes a machine for empty. Nobody entitled has answered its worker for longer than its
// lease, so it has dropped its tasks, and a start still under way carries an earlier session.
// An answer with our token that its next report does not show was not accepted, and renewed
// nothing: of a machine that has shown none in this epoch only the answers from before count.
//
// Guards against machines that are heard and hear nothing: each report was answered anew, so
// that a take-over waited for them for as long as they were deaf.
func (p *part) lapse(r *rig) {
	r.lapsed, r.trusted, r.whole = true, false, true
	lost := 0
	for _, t := range r.tasks {
		if t.live() {
			lost++
		}
	}
	if lost > 0 {
		p.c.info("machine is silent, its tasks are lost", "machine", r.name, "tasks", lost)
	}
	r.tasks = nil
	p.mark(r)
}

// mayAsk reports whether one more machine may be asked by /do without commands.
func (p *part) mayAsk() bool { return len(p.fences) < max(p.rigs.len()/askShare, askLeast) }

// askNext asks the machines that had to wait, as one has answered.
//
// Guards against a second for each round of asking, which a wait for the regular look
// at the clocks would take, and against looking at every machine for every answer: at
// ten thousand machines that took a third of a take-over.
func (p *part) askNext() {
	for len(p.toAsk) > 0 && p.mayAsk() {
		r := p.toAsk[0]
		p.toAsk = p.toAsk[1:]
		r.waits = false
		if p.rigs.get(r.name) == r {
			p.tend(r)
		}
	}
}

// So many machines of a part are asked at once by /do without commands.
const (
	askShare = 16 // one in so many
	askLeast = 4
)

// do sends commands straight to a worker; without commands it only fences.
func (p *part) do(r *rig, cmds []wire.Command) {
	p.doID++
	r.asking = p.doID
	r.urgent = false
	if len(cmds) == 0 {
		p.fences[r.asking] = true
	}
	p.c.emit(Do{Machine: r.name, ID: p.doID, Addr: r.addr, Body: wire.Do{Token: r.token, Session: max(r.session, 1), Commands: cmds}})
}

func (p *part) didDo(d *DoDone) {
	p.called(d.Outcome != DirectUnknown)
	if p.fences[d.ID] {
		delete(p.fences, d.ID)
		defer p.askNext()
	}
	r := p.rigs.get(d.Machine)
	if r == nil || r.asking != d.ID {
		return
	}
	c := p.c
	r.asking = 0
	defer p.tend(r)
	switch d.Outcome {
	case DirectExecuted:
		r.heard, r.unanswered = c.now.Steady, 0
		p.read(r, &d.Report, d.ID, false)
	case DirectFenced:
		// Nothing was executed. A higher token than ours means that a newer map
		// is on its way to us.
		r.heard, r.unanswered = c.now.Steady, 0
		again := d.Report.Session != r.session && d.Report.Token <= r.token
		p.dropDirect(r, d.ID)
		p.read(r, &d.Report, d.ID, false)
		if again {
			r.askAgain = 0
		} else {
			r.askAgain = c.now.Steady + c.times.report
		}
	default:
		// A start without an answer may be executed at any time while token and
		// session match: it stays pinned here until the machine has shown a
		// raised token.
		for _, t := range r.tasks {
			if t.phase == phaseDirect && t.doID == d.ID {
				p.raise(r)
				break
			}
		}
		r.unanswered++
		r.askAgain = c.now.Steady + c.times.report
		if !r.trusted {
			r.askAgain = c.now.Steady + c.times.report/8
		}
	}
}

func (p *part) raise(r *rig) {
	r.token++
	r.base = r.token
	r.trusted, r.whole = false, true
	p.mark(r)
}

// dropDirect forgets starts that a refused /do carried.
func (p *part) dropDirect(r *rig, id uint64) {
	p.keep(r, func(t *placed) bool {
		if t.phase != phaseDirect || t.doID != id {
			return true
		}
		p.giveBack(t)
		return false
	})
}
