package core

import (
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// Bits of a token and of an attempt below the epoch.
const (
	tokenBits   = 20
	attemptBits = 28
)

// part owns the machines that the map gives this member.
type part struct {
	c         *Core
	epoch     uint64
	mine      bool // a member in this epoch
	rigs      *index[*rig]
	changed   []*rig        // their pictures are due to the leader
	hurried   []*rig        // have commands that should not wait for a report
	dropped   []string      // no longer looked after, to be told
	tendAt    time.Duration // when every machine's clock is looked at again
	touched   []*rig        // may have room now, or none any more
	roomy     *index[*rig]  // take new tasks and have room left, but for what is touched
	placeDue  bool          // there may be room that assigned tasks have not been held against
	placeAt   time.Duration
	assigned  []*placed               // dispatched, no room found yet
	where     map[string]*index[*rig] // by job: machines that have or had its tasks
	returned  []wire.TaskTry
	confirmed []string // jobs of which this node has told a user that they are cancelled, to be passed on
	link      uint64   // to the leader, 0: none
	linkName  string
	full      bool // the leader needs the whole picture
	lastSent  time.Duration
	lastRead  time.Duration
	lastSeq   uint64 // of the leader's messages over the link
	doID      uint64
	fences    map[uint64]bool // the empty /do calls under way
	toAsk     []*rig          // wait for one of these to end
	fit       fitness
	since     time.Duration // of this epoch
}

func newPart(c *Core) *part {
	return &part{c: c, rigs: newIndex[*rig](), roomy: newIndex[*rig](), where: map[string]*index[*rig]{}, fences: map[uint64]bool{}}
}

// react follows the map, drops what can't be there any more, places and sends.
func (p *part) react() {
	c := p.c
	if !c.ledger.ready {
		return
	}
	if e := c.members.epoch(); e != p.epoch {
		p.newEpoch(e)
	}
	if c.members.leading && p.link != selfLink {
		p.link, p.full, p.lastSeq = selfLink, true, 0
		c.orch.linkUp(selfLink)
	} else if !c.members.leading && p.link == selfLink {
		p.link = 0
	}
	if !p.mine {
		p.checkFitness()
		p.flush()
		return
	}
	if p.c.members.entitled() {
		// Clocks run on between reports too, but not so fast that every batch
		// of commands should walk over every machine.
		if c.now.Steady >= p.tendAt {
			p.tendAt = c.now.Steady + min(c.times.round/4, c.times.sort)
			for _, r := range p.rigs.all() {
				p.tend(r)
			}
		}
		p.checkFitness()
		p.place()
		p.sendHurried()
	}
	p.flush()
}

// mark notes that a machine's picture has changed, and with it its room.
func (p *part) mark(r *rig) {
	p.touch(r)
	if !r.dirty {
		r.dirty = true
		p.changed = append(p.changed, r)
	}
}

// touch notes that a machine's room may have changed.
func (p *part) touch(r *rig) {
	r.counted = false
	p.placeDue = true
	if !r.touched {
		r.touched = true
		p.touched = append(p.touched, r)
	}
}

// hurry has a machine's commands sent without waiting for its next report.
func (p *part) hurry(r *rig) {
	if !r.urgent {
		r.urgent = true
		p.hurried = append(p.hurried, r)
	}
}

// hurryJob has the machines that may have a job's tasks told what to do at once.
func (p *part) hurryJob(ref string) {
	if was := p.where[ref]; was != nil {
		for name, r := range was.all() {
			if p.rigs.get(name) == r {
				p.hurry(r)
			}
		}
	}
}

// sendHurried sends what is urgent to the machines that can take it now.
func (p *part) sendHurried() {
	var later []*rig
	for _, r := range p.hurried {
		switch {
		case !r.urgent || p.rigs.get(r.name) != r:
		case r.asking == 0 && r.trusted:
			p.command(r)
		default:
			later = append(later, r)
		}
	}
	p.hurried = later
}

// keep drops the tasks of a machine that f does not want kept.
func (p *part) keep(r *rig, f func(*placed) bool) {
	kept := r.tasks[:0]
	for _, t := range r.tasks {
		if f(t) {
			kept = append(kept, t)
			continue
		}
		r.left = append(r.left, t.task)
		p.mark(r)
	}
	clear(r.tasks[len(kept):])
	r.tasks = kept
}

// giveBack returns a task to the shared queue.
func (p *part) giveBack(t *placed) {
	p.returned = append(p.returned, wire.TaskTry{Task: t.task, Attempt: t.attempt})
}

// forget drops a machine.
func (p *part) forget(r *rig) {
	p.rigs.delete(r.name)
	p.roomy.delete(r.name)
	p.dropped = append(p.dropped, r.name)
}

// newEpoch drops everything that was dispatched but not sent, and fences every
// machine that is ours now: until it answers with the new token, what it lists
// is only a hint.
//
// Guards against a start by the former owner that arrives after we have looked.
func (p *part) newEpoch(e uint64) {
	c := p.c
	stayed := p.mine && e == p.epoch+1
	p.epoch, p.mine = e, c.members.member()
	p.assigned, p.returned, p.full = nil, nil, true
	p.fit.lost, p.fit.doubt = 0, 0 // what was lost under an earlier map says nothing of this one
	p.since, p.tendAt = c.now.Steady, 0
	for name, rec := range c.ledger.machines.all() {
		p.machineKnown(name, rec)
	}
	for name, r := range p.rigs.all() {
		if !p.mine || c.members.owner(name) != c.set.Label {
			p.forget(r)
			continue
		}
		// While it is ours nobody else starts anything on it: what can be there
		// is what we know of, whether it answers or not. A take-over once waited
		// 13 s for two dead machines of 900 whose owner had never changed.
		r.kept = stayed && (r.trusted || r.kept)
		r.token = e << tokenBits
		r.base = r.token
		r.trusted = false
		r.asking, r.askAgain, r.unanswered = 0, 0, 0
		r.draining, r.closing = false, false
		p.keep(r, func(t *placed) bool { return t.phase > phaseQueued })
		if !(stayed && r.lapsed) {
			// Whoever owned it before may have answered it until its mirror was
			// too old to.
			r.answered = max(r.answered, c.now.Steady+c.times.fresh)
			r.lapsed = false
		}
		r.answeredBefore, r.fenced = r.answered, false
		r.whole = true
		p.mark(r)
	}
	if c.ledger.mapRec != nil {
		c.info("new map", "epoch", e, "leader", c.ledger.mapRec.Leader, "members", sortedKeys(c.ledger.mapRec.Members), "machines", p.rigs.len())
	}
}

// machineKnown takes a machine of the register.
func (p *part) machineKnown(name string, rec *wire.MachineRecord) {
	if r := p.rigs.get(name); r != nil {
		r.registered = true
		p.touch(r)
		return
	}
	if !p.mine || p.c.members.owner(name) != p.c.set.Label {
		return
	}
	r := p.newRig(name)
	r.addr, r.typ, r.zone, r.spot = rec.Addr, rec.Type, rec.Zone, rec.Spot
	r.answered += p.c.times.fresh
	r.answeredBefore = r.answered
	r.registered = true
}

func (p *part) newRig(name string) *rig {
	r := &rig{
		name: name, whole: true, token: p.epoch << tokenBits, base: p.epoch << tokenBits, answered: p.c.now.Steady, heard: p.c.now.Steady,
		answeredBefore: p.c.now.Steady + p.c.times.fresh, avoid: map[string]time.Duration{},
	}
	p.rigs.set(name, r)
	p.mark(r)
	return r
}

// add puts a task on a machine.
func (p *part) add(r *rig, t *placed) {
	r.tasks = append(r.tasks, t)
	p.mark(r)
	if j := p.c.ledger.accepted(t.ref); j != nil && j.final() {
		return // it is over already
	}
	if p.where[t.ref] == nil {
		p.where[t.ref] = newIndex[*rig]()
	}
	p.where[t.ref].set(r.name, r)
}

// jobOver sees to it that the tasks of a job that has ended are stopped. Looking for
// them on every machine cost more than anything else on a large fleet with many jobs.
func (p *part) jobOver(j *job) {
	ref := j.rec.Spec.ID
	was := p.where[ref]
	delete(p.where, ref)
	if was == nil {
		was = newIndex[*rig]()
	}
	for name, r := range was.all() {
		if p.rigs.get(name) != r {
			continue
		}
		p.keep(r, func(t *placed) bool {
			switch {
			case t.ref != ref:
			case t.phase <= phaseQueued:
				p.giveBack(t)
				return false
			case t.live():
				p.hurry(r)
			}
			return true
		})
	}
	p.assigned = slices.DeleteFunc(p.assigned, func(t *placed) bool {
		if t.ref == ref {
			p.giveBack(t)
		}
		return t.ref == ref
	})
}
