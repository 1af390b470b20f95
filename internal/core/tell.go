package core

import (
	"slices"
	"strings"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// The link of a part to its leader.

const selfLink = ^uint64(0)

// linkUp and linkDown follow the link to the leader. A new link starts with the
// whole picture; nothing that was sent over an earlier one is read any more.
func (p *part) linkUp(session uint64) {
	p.link, p.full, p.lastSeq = session, true, 0
	for _, r := range p.rigs.all() {
		if r.closing {
			r.closing = false // until the leader says so again
			p.touch(r)
		}
	}
	p.lastRead = p.c.now.Steady
	p.c.emit(PeerSend{Session: session, Message: wire.PeerMessage{Hello: &wire.Hello{Label: p.c.set.Label, Boot: p.c.boot}, Unfit: p.fit.unfit}})
}

func (p *part) linkDown(session uint64) {
	if p.link == session {
		p.link = 0
	}
}

// fromLeader takes the leader's orders; those of another epoch are void.
func (p *part) fromLeader(m *wire.PeerMessage) {
	c := p.c
	p.lastRead, p.lastSeq = c.now.Steady, m.Seq
	for _, v := range m.Views {
		if j := c.ledger.accepted(v.Job); j != nil {
			j.view = v
		}
	}
	c.outage.cancel(m.Cancelled)
	if m.Epoch != p.epoch || !p.mine {
		return
	}
	p.full = p.full || m.Resync
	for _, d := range m.Dispatch {
		ref, index, err := wire.ParseTask(d.Task)
		j := c.ledger.accepted(ref)
		if err != nil || p.over(ref, j) || j.isDone(index) {
			p.returned = append(p.returned, wire.TaskTry{Task: d.Task, Attempt: d.Attempt})
			continue
		}
		t := &placed{task: d.Task, ref: ref, index: index, attempt: d.Attempt, version: d.Version, spec: &j.rec.Spec}
		if d.Machine == "" {
			t.since = c.now.Steady
			p.assigned = append(p.assigned, t)
			p.placeDue = true
		} else if !p.holdRoom(d.Machine, t, j) {
			p.giveBack(t)
		}
	}
	p.settleHeld(m.Release, func(r *rig, t *placed) bool {
		t.phase, t.state, t.told = phaseQueued, "", false
		p.hurry(r)
		return true
	})
	p.settleHeld(m.Drop, func(r *rig, t *placed) bool { return false })
	for _, s := range m.Stop {
		r := p.rigs.get(s.Machine)
		if r == nil {
			continue
		}
		for _, t := range r.tasks {
			if t.task == s.Task && t.live() {
				t.stop, t.now = true, s.Now
				p.hurry(r)
				c.debugf("stopping", "task", t.task, "machine", r.name, "why", s.Why)
			}
		}
	}
	p.close(m.Close, true)
	p.close(m.Reopen, false)
	for _, name := range m.Drain {
		if r := p.rigs.get(name); r != nil && !r.draining {
			r.draining = true
			p.mark(r)
		}
	}
}

// close has machines kept from new tasks, or lets them have some again.
func (p *part) close(names []string, closing bool) {
	for _, name := range names {
		if r := p.rigs.get(name); r != nil {
			r.closing = closing
			p.touch(r)
		}
	}
}

// flush tells the leader what has changed.
func (p *part) flush() {
	c := p.c
	if p.link == 0 {
		p.confirmed = nil // nobody is there to pass it on
		return
	}
	if p.link != selfLink && c.now.Steady-p.lastRead > 2*c.times.report+c.times.round {
		c.info("the leader is silent, calling again")
		c.emit(PeerClose{Session: p.link})
		p.link = 0
		return
	}
	m := wire.PeerMessage{Epoch: p.epoch, Unfit: p.fit.unfit}
	// An older leader takes any whole picture of this label for the member's.
	full := p.full && !c.members.speaksForAnother(c.set.Label, c.boot)
	if full {
		m.Full, m.Read = true, p.lastSeq
		for _, t := range p.assigned {
			m.Assigned = append(m.Assigned, wire.TaskTry{Task: t.task, Attempt: t.attempt})
		}
	}
	told := p.changed
	if full {
		told = told[:0]
		for _, r := range p.rigs.all() {
			told = append(told, r)
		}
	} else {
		m.Dropped = p.dropped
		slices.SortFunc(told, func(a, b *rig) int { return strings.Compare(a.name, b.name) })
	}
	m.Machines = make([]wire.MachineState, 0, len(told))
	for _, r := range told {
		r.dirty = false
		r.whole = r.whole || full
		if p.rigs.get(r.name) == r {
			m.Machines = append(m.Machines, p.picture(r))
		}
	}
	p.changed, p.dropped = p.changed[:0], nil
	m.Returned, m.Cancelled = p.returned, p.confirmed
	idle := !full && len(m.Cancelled) == 0 && len(m.Machines) == 0 && len(m.Returned) == 0 && len(m.Dropped) == 0
	if idle && c.now.Steady-p.lastSent < c.times.round {
		return
	}
	p.full, p.returned, p.confirmed = p.full && !full, nil, nil
	p.lastSent = c.now.Steady
	if p.link == selfLink {
		c.loop = append(c.loop, func() { c.orch.fromPart(selfLink, &m) })
		return
	}
	for _, piece := range m.Pieces() {
		c.emit(PeerSend{Session: p.link, Message: piece})
	}
}

// picture is what the leader is told of a machine: all of it, or what has changed.
func (p *part) picture(r *rig) wire.MachineState {
	s := wire.MachineState{
		Name: r.name, Sure: r.trusted || r.lapsed, Kept: r.kept, Up: r.trusted && !r.lapsed && r.mt != nil,
		Notice: r.notice, Draining: r.draining, Silent: r.silent, Partial: !r.whole,
	}
	if r.whole {
		s.Addr, s.Type, s.Zone, s.Spot = r.addr, r.typ, r.zone, r.spot
	}
	if r.whole || r.repaint {
		s.Images = slices.Clone(r.images.names)
	}
	for _, t := range r.tasks {
		if r.whole || !t.told {
			t.told = true
			s.Tasks = append(s.Tasks, wire.TaskState{Task: t.task, Attempt: t.attempt, State: t.state, Why: t.why, RanS: t.ranS})
			if !t.live() {
				r.left = append(r.left, t.task)
			}
		}
	}
	if !r.whole {
		for _, task := range r.left {
			if !slices.ContainsFunc(r.tasks, func(t *placed) bool { return t.task == task && t.live() }) {
				s.Left = append(s.Left, task)
			}
		}
	}
	r.whole, r.repaint, r.left = false, false, nil
	return s
}
