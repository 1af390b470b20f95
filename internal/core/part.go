package core

import (
	"slices"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// Bits of a token and of an attempt below the epoch.
const (
	tokenBits   = 20
	attemptBits = 28
)

// phase is how sure the part is that a start has reached its machine.
type phase int

const (
	phaseHeld     phase = iota // has room, waits for the rest of its gang
	phaseQueued                // not sent yet
	phaseAnswered              // sent in the response to a report
	phaseDirect                // sent by /do, outcome open
	phaseListed                // the machine lists it
)

// placed is one attempt of a task on a machine, or on its way there.
type placed struct {
	task    string
	ref     string
	index   int
	attempt uint64
	phase   phase
	doID    uint64 // of the /do that carried the start
	token   uint64 // that the start was sent with
	state   string
	why     string
	since   time.Duration // when it was seen running
	ranS    float64
	stop    bool // asked to stop
	now     bool // without time to save
	spec    *wire.Job
	stamp   uint64        // of the list it was last seen in
	ended   time.Duration // when it was first seen to have ended
	told    bool          // the leader knows of it as it is
}

// live reports whether the attempt takes room.
func (p *placed) live() bool { return p.state != wire.TaskExited }

// rig is a machine that this member owns.
type rig struct {
	name, addr, typ, zone string
	spot                  bool
	mt                    *wire.MachineType

	session, seq uint64 // newest message seen
	token        uint64 // ours for this machine
	trusted      bool   // the newest message carried our token
	answered     time.Duration
	heard        time.Duration
	silent       bool // not heard for half a lease
	lapsed       bool // silent for so long that its worker has dropped everything
	notice       bool
	draining     bool
	closing      bool   // gets no new tasks for now
	asking       uint64 // the /do under way
	askAgain     time.Duration
	urgent       bool // send commands without waiting for the next report
	registered   bool
	tasks        []*placed
	images       images
	avoid        map[string]time.Duration // jobs whose tasks failed here
	stamp        uint64

	whole   bool     // the leader needs the whole picture of it
	repaint bool     // its images have changed
	left    []string // tasks that were dropped since the leader was told
	dirty   bool     // its picture has changed since it was last told
	free    room     // what room found, while counted is set
	counted bool
}

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
	placeDue  bool          // there may be room that assigned tasks have not been held against
	placeAt   time.Duration
	assigned  []*placed // dispatched, no room found yet
	returned  []wire.TaskTry
	link      uint64 // to the leader, 0: none
	linkName  string
	full      bool // the leader needs the whole picture
	lastSent  time.Duration
	lastRead  time.Duration
	lastSeq   uint64 // of the leader's messages over the link
	doID      uint64
	fences    map[uint64]bool // the empty /do calls under way
	unfit     bool            // reaches none of its machines
	unfitTill time.Duration
	unfits    int           // in a row
	since     time.Duration // of this epoch
}

const selfLink = ^uint64(0)

func newPart(c *Core) *part { return &part{c: c, rigs: newIndex[*rig](), fences: map[uint64]bool{}} }

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
		p.fitness()
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
		p.fitness()
		p.place()
		p.sendHurried()
	}
	p.flush()
}

// mark notes that a machine's picture has changed, and with it its room.
func (p *part) mark(r *rig) {
	r.counted = false
	p.placeDue = true
	if !r.dirty {
		r.dirty = true
		p.changed = append(p.changed, r)
	}
}

// hurry has a machine's commands sent without waiting for its next report.
func (p *part) hurry(r *rig) {
	if !r.urgent {
		r.urgent = true
		p.hurried = append(p.hurried, r)
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
	p.since, p.tendAt = c.now.Steady, 0
	for name, rec := range c.ledger.machines.all() {
		p.machineKnown(name, rec)
	}
	for name, r := range p.rigs.all() {
		if !p.mine || c.members.owner(name) != c.set.Label {
			p.forget(r)
			continue
		}
		r.token = e << tokenBits
		r.trusted = false
		r.asking, r.askAgain = 0, 0
		r.draining, r.closing = false, false
		p.keep(r, func(t *placed) bool { return t.phase > phaseQueued })
		if !(stayed && r.lapsed) {
			// Whoever owned it before may have answered it until its mirror was
			// too old to.
			r.answered = max(r.answered, c.now.Steady+c.times.fresh)
			r.lapsed = false
		}
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
		r.registered, p.placeDue = true, true
		return
	}
	if !p.mine || p.c.members.owner(name) != p.c.set.Label {
		return
	}
	r := p.newRig(name)
	r.addr, r.typ, r.zone, r.spot = rec.Addr, rec.Type, rec.Zone, rec.Spot
	r.answered += p.c.times.fresh
	r.registered = true
}

func (p *part) newRig(name string) *rig {
	r := &rig{
		name: name, whole: true, token: p.epoch << tokenBits, answered: p.c.now.Steady, heard: p.c.now.Steady,
		avoid: map[string]time.Duration{},
	}
	p.rigs.set(name, r)
	p.mark(r)
	return r
}

// tend looks after a machine's clock: fencing, silence, machines that are gone.
func (p *part) tend(r *rig) {
	c := p.c
	if r.registered && c.ledger.machines.get(r.name) == nil {
		p.forget(r) // deleted: it and its tasks are gone
		return
	}
	if !r.registered && c.now.Steady-r.heard > 4*c.times.gone {
		p.forget(r)
		return
	}
	if r.mt == nil {
		if r.mt = c.types()[r.typ]; r.mt != nil {
			p.mark(r)
		}
	}
	if !r.lapsed && c.now.Steady-r.answered > c.times.gone {
		// Nobody entitled has answered this worker for longer than its lease,
		// so it has dropped its tasks, and a start still under way carries an
		// earlier session.
		r.lapsed, r.trusted, r.whole = true, false, true
		if len(r.tasks) > 0 {
			c.info("machine is silent, its tasks are lost", "machine", r.name, "tasks", len(r.tasks))
		}
		r.tasks = nil
		p.mark(r)
	}
	if silent := c.now.Steady-r.heard > c.times.lease/2; silent != r.silent {
		r.silent = silent
		p.mark(r)
	}
	// An empty /do fences a machine, or finds out that it only has trouble
	// reaching us. After a change of the map hundreds are due at once: asking all
	// of them took the processor for seconds in which their reports, which do as
	// well, were not answered.
	due := r.trusted && c.now.Steady-r.heard > 2*c.times.report || !r.trusted && r.addr != "" && !r.lapsed
	if due && r.asking == 0 && c.now.Steady >= r.askAgain && len(p.fences) < max(p.rigs.len()/askShare, askLeast) {
		p.do(r, nil)
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
	if p.fences[d.ID] {
		// The next machine is asked at once: left to the regular look at the
		// clocks, a part of a hundred machines took five seconds to fence them.
		delete(p.fences, d.ID)
		p.tendAt = 0
	}
	r := p.rigs.get(d.Machine)
	if r == nil || r.asking != d.ID {
		return
	}
	c := p.c
	r.asking = 0
	defer p.tend(r)
	switch d.Status {
	case 200:
		r.heard = c.now.Steady
		p.read(r, &d.Report, d.ID, false)
	case 409:
		// Nothing was executed. A higher token than ours means that a newer map
		// is on its way to us.
		r.heard = c.now.Steady
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
		r.askAgain = c.now.Steady + c.times.report
	}
}

func (p *part) raise(r *rig) {
	r.token++
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

// report takes a worker's report and answers it.
func (p *part) report(id RequestID, rep *wire.Report) {
	c := p.c
	if c.ledger.ready {
		if e := c.members.epoch(); e != p.epoch {
			p.newEpoch(e)
		}
	}
	if !c.members.entitled() || c.ledger.mapRec == nil {
		c.emit(Reply{ID: id, Status: 503, Body: wire.ErrorAnswer{Error: "not entitled"}})
		return
	}
	if owner := c.members.owner(rep.Machine); owner != c.set.Label || !p.mine {
		c.emit(Reply{ID: id, Status: 421, Body: wire.Redirect{ReportTo: owner}})
		return
	}
	r := p.rigs.get(rep.Machine)
	if r == nil {
		r = p.newRig(rep.Machine)
		r.addr, r.typ, r.zone, r.spot = rep.Addr, rep.Type, rep.Zone, rep.Spot
		r.mt = c.types()[r.typ]
		r.registered = c.ledger.machines.get(r.name) != nil
	}
	if rep.Token > r.token {
		// Somebody has a newer map than we do.
		c.emit(Reply{ID: id, Status: 503, Body: wire.ErrorAnswer{Error: "not entitled"}})
		return
	}
	newest := rep.Newer(r.session, r.seq)
	r.heard, r.answered = c.now.Steady, max(r.answered, c.now.Steady)
	if r.silent {
		r.silent = false
		p.mark(r)
	}
	if newest {
		p.read(r, rep, 0, true)
	}
	ans := wire.ReportAnswer{Token: r.token}
	if newest && r.trusted {
		p.place()
		ans.Commands = p.commands(r, 0)
	}
	c.emit(Reply{ID: id, Status: 200, Body: ans})
}

// read takes what a machine says of itself. Only a message with our own current
// token is believed: one with an older token may miss a start that a former
// owner's command has yet to cause.
func (p *part) read(r *rig, rep *wire.Report, doID uint64, viaReport bool) {
	c := p.c
	if !rep.Newer(r.session, r.seq) {
		return
	}
	if rep.Session > r.session {
		// The worker's lease ran out: everything from before is gone, and
		// starts still under way carry the earlier session. Its new session has a
		// whole lease, whether a report of it is answered or not: a machine that
		// was heard by /do alone was once taken for empty by the lease of its last
		// session, just after tasks had been started on it.
		r.answered = max(r.answered, p.c.now.Steady)
		p.keep(r, func(t *placed) bool { return t.phase <= phaseQueued })
		p.mark(r)
	}
	r.session, r.seq = rep.Session, rep.Seq
	if n := rep.NoticeS != nil; n != r.notice {
		r.notice = n
		p.mark(r)
		if n {
			c.info("machine will be taken back", "machine", r.name, "seconds", *rep.NoticeS)
		}
	}
	was := r.trusted
	r.trusted = rep.Token == r.token
	if r.trusted != was {
		r.whole = true
		p.mark(r)
	}
	if !r.trusted {
		return
	}
	r.lapsed = false
	r.stamp++
	at := 0
	for i := range rep.Tasks {
		at = p.seen(r, &rep.Tasks[i], at)
	}
	p.keep(r, func(t *placed) bool {
		switch {
		case t.stamp == r.stamp, t.phase <= phaseQueued:
			return true
		case t.phase == phaseAnswered:
			// Executed before this report was made, or never; a message made
			// for a /do may be older than the response that carried it.
			return !viaReport && t.token == r.token
		case t.phase == phaseDirect:
			return t.token == r.token && t.doID != doID
		}
		return false
	})
}

// seen takes one line of a trusted list. The search begins at a place, and the
// place after the one found is returned: lists keep their order, so that a
// machine of many tasks is not searched from the start for each.
func (p *part) seen(r *rig, tr *wire.TaskReport, at int) int {
	var t *placed
	for n := range r.tasks {
		i := (at + n) % len(r.tasks)
		if x := r.tasks[i]; x.attempt == tr.Attempt && x.task == tr.Task {
			t, at = x, i+1
			break
		}
	}
	if t == nil {
		ref, index, err := wire.ParseTask(tr.Task)
		if err != nil {
			p.c.emit(Log{Level: LevelError, Text: "worker lists a task with a strange name", Args: []any{"machine", r.name, "task", tr.Task}})
			return at
		}
		t = &placed{task: tr.Task, ref: ref, index: index, attempt: tr.Attempt}
		if j := p.c.ledger.accepted(ref); j != nil {
			t.spec = &j.rec.Spec
		}
		r.tasks = append(r.tasks, t)
		p.mark(r)
	}
	t.phase, t.stamp = phaseListed, r.stamp
	if t.state == tr.State && t.why == tr.Why {
		return at
	}
	p.mark(r)
	p.c.debugf("task", "task", t.task, "machine", r.name, "state", tr.State, "why", tr.Why)
	if tr.State == wire.TaskRunning && t.since == 0 {
		t.since = p.c.now.Steady
		if t.spec != nil {
			p.gotImage(r, t.spec)
		}
	}
	if tr.State == wire.TaskExited && t.state != wire.TaskExited {
		t.ended = p.c.now.Steady
		if t.since > 0 {
			t.ranS = (p.c.now.Steady - t.since).Seconds()
		}
		switch tr.Why {
		case wire.WhyError, wire.WhyNoRoom, wire.WhyUnknown:
			r.avoid[t.ref] = p.c.now.Steady + 4*p.c.times.lease
			p.c.info("task failed", "task", t.task, "machine", r.name, "why", tr.Why)
		}
	}
	t.state, t.why, t.told = tr.State, tr.Why, false
	return at
}

// gotImage notes that a machine has, or is about to fetch, a task's image.
func (p *part) gotImage(r *rig, j *wire.Job) {
	cache := 0.0
	if r.mt != nil {
		cache = r.mt.CacheGB
	}
	if r.images.use(j.Image, j.ImageGB, cache) {
		r.repaint = true
		p.mark(r)
	}
}

// commands lists what the machine must do now: kills first, then clears, then
// starts. doID is that of the /do they go with, 0 for a response to a report.
func (p *part) commands(r *rig, doID uint64) []wire.Command {
	var cmds, clears []wire.Command
	clearNow := false
	for _, t := range r.tasks {
		if t.phase != phaseListed {
			continue
		}
		j := p.c.ledger.accepted(t.ref)
		over := j == nil || j.final()
		switch {
		case t.state == wire.TaskExited:
			// A completed task is cleared only once that is durable, or a crash
			// of every controller would lose the only trace of it.
			if t.why != wire.WhyDone || over || j.isDone(t.index) || j.rec.Spec.Kind == wire.KindService {
				clears = append(clears, wire.Command{Op: wire.OpForget, Task: t.task, Attempt: t.attempt})
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
	starts := len(cmds)
	for _, t := range r.tasks {
		if t.phase != phaseQueued {
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
	// Each change of its list makes a worker report once more. Clearing alone is
	// no reason for that: it waits for other commands, but not for long.
	if clearNow || len(cmds) > 0 {
		cmds = slices.Insert(cmds, starts, clears...)
	}
	return cmds
}

// command sends what is urgent by /do.
func (p *part) command(r *rig) {
	r.urgent = false
	if cmds := p.commands(r, p.doID+1); len(cmds) > 0 {
		p.do(r, cmds)
	}
}

// jobOver sees to it that the tasks of a job that has ended are stopped.
func (p *part) jobOver(j *job) {
	ref := j.rec.Spec.ID
	for _, r := range p.rigs.all() {
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

// room is what is free on a machine, starts under way counted. It is counted
// anew only once something has changed.
func (r *rig) room() *room {
	if r.counted {
		return &r.free
	}
	m := room{cpus: r.mt.CPUs, gpus: r.mt.GPUs, mem: r.mt.MemoryGB, typ: r.typ, zone: r.zone, spot: r.spot, images: r.images.has}
	for _, t := range r.tasks {
		if t.live() && t.spec != nil {
			m.take(t.spec)
		}
	}
	r.free, r.counted = m, true
	return &r.free
}

func (r *rig) open() bool {
	return r.trusted && r.registered && !r.lapsed && !r.notice && !r.draining && !r.closing && r.mt != nil
}

// place finds room for what the leader has dispatched. A start goes out in the
// response to the machine's next report, or by /do if that is far.
func (p *part) place() {
	c := p.c
	if len(p.assigned) == 0 || !p.placeDue && c.now.Steady < p.placeAt {
		return
	}
	p.placeDue, p.placeAt = false, c.now.Steady+c.times.sort
	var open []*rig
	for _, r := range p.rigs.all() {
		if r.open() && r.room().cpus > slack {
			open = append(open, r)
		}
	}
	full := map[string]bool{} // jobs that found no room: their other tasks won't either
	waiting := p.assigned[:0]
	for _, t := range p.assigned {
		j := c.ledger.accepted(t.ref)
		if j == nil || j.final() {
			p.giveBack(t)
			continue
		}
		var best *rig
		if !full[t.ref] {
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
		best.tasks = append(best.tasks, t)
		p.mark(best)
		if best.heard+c.times.report-c.now.Steady > c.times.report/6 {
			p.hurry(best)
		}
	}
	p.assigned = waiting
	p.placeDue = false // what was marked here only lost room
}

// holdRoom keeps room on a machine for a task of a gang.
func (p *part) holdRoom(machine string, t *placed, rec *wire.JobRecord) bool {
	r := p.rigs.get(machine)
	if r == nil || !r.open() || !mayRun(rec, t.index, r.typ, r.zone, r.spot) {
		return false
	}
	if !r.room().fits(t.spec) {
		return false
	}
	t.phase, t.state = phaseHeld, wire.StateHeld
	r.tasks = append(r.tasks, t)
	p.mark(r)
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

// fitness gives the membership up when this node hears the leader but none of
// its machines: others may reach them. It tries again after a lease.
func (p *part) fitness() {
	c := p.c
	if p.unfit {
		if c.now.Steady >= p.unfitTill {
			p.unfit = false
			c.info("joining again")
		}
		return
	}
	if !p.mine || p.rigs.len() < 2 || c.now.Steady-p.since < c.times.lease/3 {
		return
	}
	for _, r := range p.rigs.all() {
		if c.now.Steady-r.heard < c.times.lease/3 {
			if r.trusted {
				p.unfits = 0
			}
			return
		}
	}
	// Each time in vain it stays away for twice as long: when it is the machines
	// that are dead, leaving and joining in turn kept every new owner from ever
	// finding that out.
	p.unfit, p.unfitTill = true, c.now.Steady+2*c.times.lease<<min(p.unfits, 6)
	p.unfits++
	c.info("none of this node's machines can be heard, leaving the map", "machines", p.rigs.len())
}

// linkUp and linkDown follow the link to the leader. A new link starts with the
// whole picture; nothing that was sent over an earlier one is read any more.
func (p *part) linkUp(session uint64) {
	p.link, p.full, p.lastSeq = session, true, 0
	for _, r := range p.rigs.all() {
		r.closing = false // until the leader says so again
	}
	p.lastRead = p.c.now.Steady
	p.c.emit(PeerSend{Session: session, Message: wire.PeerMessage{Hello: &wire.Hello{Label: p.c.set.Label, Boot: p.c.boot}}})
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
	if m.Epoch != p.epoch || !p.mine {
		return
	}
	p.full = p.full || m.Resync
	for _, d := range m.Dispatch {
		ref, index, err := wire.ParseTask(d.Task)
		j := c.ledger.accepted(ref)
		if err != nil || j == nil || j.final() || j.isDone(index) {
			p.returned = append(p.returned, wire.TaskTry{Task: d.Task, Attempt: d.Attempt})
			continue
		}
		t := &placed{task: d.Task, ref: ref, index: index, attempt: d.Attempt, spec: &j.rec.Spec}
		if d.Machine == "" {
			t.since = c.now.Steady
			p.assigned = append(p.assigned, t)
			p.placeDue = true
		} else if !p.holdRoom(d.Machine, t, &j.rec) {
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
			r.closing, p.placeDue = closing, true
		}
	}
}

// flush tells the leader what has changed.
func (p *part) flush() {
	c := p.c
	if p.link == 0 {
		return
	}
	if p.link != selfLink && c.now.Steady-p.lastRead > 2*c.times.report+c.times.round {
		c.info("the leader is silent, calling again")
		c.emit(PeerClose{Session: p.link})
		p.link = 0
		return
	}
	m := wire.PeerMessage{Epoch: p.epoch, Unfit: p.unfit}
	if p.full {
		m.Full, m.Read = true, p.lastSeq
		for _, t := range p.assigned {
			m.Assigned = append(m.Assigned, wire.TaskTry{Task: t.task, Attempt: t.attempt})
		}
	}
	told := p.changed
	if p.full {
		told = told[:0]
		for _, r := range p.rigs.all() {
			told = append(told, r)
		}
	} else {
		m.Dropped = p.dropped
		slices.SortFunc(told, func(a, b *rig) int { return strings.Compare(a.name, b.name) })
	}
	for _, r := range told {
		r.dirty = false
		r.whole = r.whole || p.full
		if p.rigs.get(r.name) == r {
			m.Machines = append(m.Machines, p.picture(r))
		}
	}
	p.changed, p.dropped = p.changed[:0], nil
	m.Returned = p.returned
	idle := !p.full && len(m.Machines) == 0 && len(m.Returned) == 0 && len(m.Dropped) == 0
	if idle && c.now.Steady-p.lastSent < c.times.round {
		return
	}
	p.full, p.returned = false, nil
	p.lastSent = c.now.Steady
	if p.link == selfLink {
		c.loop = append(c.loop, func() { c.orch.fromPart(selfLink, &m) })
		return
	}
	c.emit(PeerSend{Session: p.link, Message: m})
}

// picture is what the leader is told of a machine: all of it, or what has changed.
func (p *part) picture(r *rig) wire.MachineState {
	s := wire.MachineState{
		Name: r.name, Sure: r.trusted || r.lapsed, Up: r.trusted && !r.lapsed && r.mt != nil,
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
