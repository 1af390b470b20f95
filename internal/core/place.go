package core

import (
	"github.com/chalkhub/chalkhub/internal/wire"
)

// commands lists what the machine must do now: kills first, then clears, then
// starts, if any may go out. doID is that of the /do they go with, 0 for a response to a
// report.
func (p *part) commands(r *rig, doID uint64, start bool) []wire.Command {
	var cmds, clears []wire.Command
	clearNow, direct, starts := false, false, false
	for _, t := range r.tasks {
		starts = starts || t.phase == phaseQueued && start
		if t.phase != phaseListed {
			continue
		}
		j := p.c.ledger.accepted(t.ref)
		over := p.over(t.ref, j)
		switch {
		case t.state == wire.TaskExited:
			// A completed task is cleared only once that is durable, or a crash
			// of every controller would lose the only trace of it.
			if t.why != wire.WhyDone || over || j.isDone(t.index) || j.rec.Spec.Kind == wire.KindService {
				clears = append(clears, wire.Command{Op: wire.OpForget, Task: t.task, Attempt: t.attempt})
				direct = direct || t.doID != 0 && t.token == r.token
				clearNow = clearNow || t.why != wire.WhyDone || p.c.now.Steady-t.ended > p.c.times.lease/2
			}
		case over || j.isDone(t.index):
			cmds = append(cmds, wire.Command{Op: wire.OpStop, Task: t.task, Attempt: t.attempt})
		case t.stop && (t.now || t.state != wire.TaskSaving):
			stop := wire.Command{Op: wire.OpStop, Task: t.task, Attempt: t.attempt}
			if !t.now {
				stop.GraceS = j.rec.Spec.SaveS
			}
			cmds = append(cmds, stop)
		}
	}
	// Each change of its list makes a worker report once more. Clearing alone is
	// no reason for that: it waits for other commands, but not for long.
	if len(clears) > 0 && (clearNow || len(cmds) > 0 || starts) {
		if direct {
			// Guards against a /do that was carried out and comes once more: what it
			// started is unknown to the worker once it is cleared, and it would start
			// it again. The worker takes the token and the clearing together, so
			// nothing that it lists meanwhile is in doubt.
			r.token++
		}
		cmds = append(cmds, clears...)
	}
	for _, t := range r.tasks {
		if t.phase != phaseQueued || !start || p.c.outage.cancelled(t.ref) {
			continue
		}
		t.token = r.token
		if doID != 0 {
			t.phase, t.doID = phaseDirect, doID
		} else {
			t.phase = phaseAnswered
		}
		cmds = append(cmds, wire.Command{Op: wire.OpStart, Task: t.task, Attempt: t.attempt})
	}
	return cmds
}

// over reports whether no task of a job may run; j is what the mirror holds of it.
func (p *part) over(ref string, j *job) bool {
	return j == nil || j.final() || p.c.outage.cancelled(ref)
}

// stops lists what a machine must stop whatever else may be on its way to it, where its list
// is not to be trusted for more.
//
// Guards against renewing a machine's lease with an answer that leaves a cancelled task on it.
func (p *part) stops(rep *wire.Report) []wire.Command {
	var cmds []wire.Command
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		ref, _, err := wire.ParseTask(t.Task)
		if err == nil && t.State != wire.TaskExited && p.over(ref, p.c.ledger.accepted(ref)) {
			cmds = append(cmds, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt})
		}
	}
	return cmds
}

// command sends what is urgent by /do.
func (p *part) command(r *rig) {
	r.urgent = false
	if cmds := p.commands(r, p.doID+1, true); len(cmds) > 0 {
		p.do(r, cmds)
	}
}

// place finds room for what the leader has dispatched. A start goes out in the
// response to the machine's next report, or by /do if that is far.
func (p *part) place() {
	c := p.c
	if len(p.assigned) == 0 || !p.placeDue && c.now.Steady < p.placeAt {
		return
	}
	p.placeDue, p.placeAt = false, c.now.Steady+c.times.sort
	// A full part has few machines with room, and looking for them among all of
	// them for each report cost more the larger it was.
	for _, r := range p.touched {
		r.touched = false
		if p.rigs.get(r.name) == r && r.open() && r.room().cpus > slack {
			p.roomy.set(r.name, r)
		} else if p.roomy.get(r.name) == r {
			p.roomy.delete(r.name)
		}
	}
	p.touched = p.touched[:0]
	open := make([]*rig, 0, p.roomy.len())
	for _, r := range p.roomy.all() {
		open = append(open, r)
	}
	full := map[string]bool{} // jobs that found no room: their other tasks won't either
	waiting := p.assigned[:0]
	for _, t := range p.assigned {
		j := c.ledger.accepted(t.ref)
		if p.over(t.ref, j) {
			p.giveBack(t)
			continue
		}
		// Where its zones matter it goes by the record that the leader went by: one that is
		// older has yet to come, and by one that is newer the leader decides anew.
		if t.version != 0 && j.key > t.version {
			p.giveBack(t)
			continue
		}
		var best *rig
		if !full[t.ref] && (t.version == 0 || j.key == t.version) {
			for _, r := range open {
				m := r.room()
				if m.fits(t.spec) && mayRun(&j.rec, t.index, r.typ, r.zone, r.spot) && r.avoid[t.ref] <= c.now.Steady &&
					(best == nil || better(m, best.room(), t.spec.Image)) {
					best = r
				}
			}
		}
		if best == nil {
			full[t.ref] = !t.spec.Spread
			// Unplaced for one round: back to the shared queue.
			if c.now.Steady-t.since >= c.times.round {
				p.giveBack(t)
				continue
			}
			waiting = append(waiting, t)
			continue
		}
		if !best.room().has(t.spec.Image) {
			p.gotImage(best, t.spec)
		}
		t.phase, t.since = phaseQueued, 0
		c.debugf("placed", "task", t.task, "machine", best.name)
		p.add(best, t)
		if best.heard+c.times.report-c.now.Steady > c.times.report/6 {
			p.hurry(best)
		}
	}
	p.assigned = waiting
	p.placeDue = false // what was marked here only lost room
}

// holdRoom keeps room on a machine for a task of a gang.
func (p *part) holdRoom(machine string, t *placed, j *job) bool {
	r := p.rigs.get(machine)
	if r == nil || !r.open() || t.version != 0 && j.key != t.version || !mayRun(&j.rec, t.index, r.typ, r.zone, r.spot) {
		return false
	}
	if !r.room().fits(t.spec) {
		return false
	}
	t.phase, t.state = phaseHeld, wire.StateHeld
	p.add(r, t)
	return true
}

// settleHeld lets f decide which of the held tasks stay.
func (p *part) settleHeld(list []wire.TaskTry, f func(*rig, *placed) bool) {
	for _, x := range list {
		r := p.rigs.get(x.Machine)
		if r == nil {
			continue
		}
		p.keep(r, func(t *placed) bool {
			return t.phase != phaseHeld || t.task != x.Task || t.attempt != x.Attempt || f(r, t)
		})
		p.mark(r)
	}
}
