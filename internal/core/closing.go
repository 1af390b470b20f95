package core

import (
	"github.com/chalkhub/chalkhub/internal/wire"
)

// A machine is closing while there is clearly more than the work needs and it is
// the dearest or the emptiest: it gets no new tasks and is returned once its last
// one has ended.

// tellClosing lets the parts know which of their machines are closing.
//
// Only the leader knew it once, and parts went on filling them: long after a burst
// twice the machines that were needed stayed, each with a few tasks.
func (f *fleet) tellClosing() {
	c := f.c
	for name, v := range c.orch.rigs.all() {
		is := f.closing[name]
		p := c.orch.parts[v.part]
		if v.closing == is || p == nil || p.session == 0 || p.synced != c.orch.epoch {
			continue
		}
		v.closing, p.dirty = is, true
		if is {
			v.closingAt = c.now.Steady
			p.outbox.Close = append(p.outbox.Close, name)
		} else {
			p.outbox.Reopen = append(p.outbox.Reopen, name)
		}
	}
}

// moveOff stops the last tasks on closing machines if all of them save their
// progress and there is room for them elsewhere: a machine of dozens of CPUs is
// paid for as long as its longest task runs, and moving costs a save and a fetch.
func (f *fleet) moveOff(up []*hold) {
	c := f.c
	room := 0.0
	for _, h := range up {
		if v := c.orch.rigs.get(h.name); !v.closing && !v.parked && h.leaving == "" && !v.state.Notice && !v.sick {
			room += c.types()[h.typ].CPUs - v.taken.cpus
		}
	}
	for _, h := range up {
		v := c.orch.rigs.get(h.name)
		p := c.orch.parts[v.part]
		// The wait lets short tasks end by themselves, and a load that comes back
		// finds the machine as it was.
		if !v.closing || c.now.Steady-v.closingAt < c.times.lease || p == nil || p.session == 0 || v.taken.cpus > room || !movable(v) {
			continue
		}
		room -= v.taken.cpus
		for _, name := range sortedKeys(v.tasks) {
			if t := v.tasks[name]; !t.asked {
				c.orch.ask(p, t, wire.TaskStop{Task: name, Machine: h.name, Why: "tasks moved off a machine that is no longer needed"}, leastUrgent)
			}
		}
	}
}

// movable reports whether every task on a machine can be stopped without loss.
func movable(v *rigView) bool {
	for _, t := range v.tasks {
		s := &t.job.j.rec.Spec
		if s.Kind != wire.KindArray || s.CheckpointS <= 0 || t.state != wire.TaskRunning && !t.asked {
			return false
		}
	}
	return len(v.tasks) > 0
}
