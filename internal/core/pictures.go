package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/degraded"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// What the parts tell the leader of their machines, and what it lets them know.

// partView is a member as the leader hears it.
type partView struct {
	label, boot string
	session     uint64
	heard       time.Duration
	synced      uint64          // epoch of the last whole picture
	have        map[string]bool // tasks that the pieces of one have named so far, nil: none is under way
	piece       int             // the last of them
	read        uint64          // the last of our messages that it takes account of
	unfit       bool
	sent        uint64 // messages sent over the session
	outbox      wire.PeerMessage
	dirty       bool
}

func (o *orchestrator) linkUp(session uint64) {
	o.sessions[session] = ""
	if session == selfLink {
		o.hello(session, &wire.Hello{Label: o.c.set.Label, Boot: o.c.boot})
	}
}

func (o *orchestrator) linkDown(session uint64) {
	label, ok := o.sessions[session]
	if !ok {
		return
	}
	delete(o.sessions, session)
	if p := o.parts[label]; p != nil && p.session == session {
		p.session = 0
		p.synced, p.have = 0, nil
	}
}

func (o *orchestrator) hello(session uint64, h *wire.Hello) {
	o.sessions[session] = h.Label
	p := o.parts[h.Label]
	if p == nil {
		p = &partView{label: h.Label}
		o.parts[h.Label] = p
	}
	if p.session != 0 && p.session != session && p.session != selfLink {
		o.c.emit(PeerClose{Session: p.session})
		delete(o.sessions, p.session)
	}
	p.boot, p.session, p.heard, p.synced, p.sent, p.have = h.Boot, session, o.c.now.Steady, 0, 0, nil
	p.outbox, p.dirty = wire.PeerMessage{}, false
	for _, v := range o.rigs.all() {
		v.closing = v.closing && v.part != p.label
	}
	for _, q := range o.queue.all() {
		q.said = wire.JobView{} // a new listener knows nothing yet
	}
}

// hears reports whether a member's link stands and is alive.
func (o *orchestrator) hears(label, boot string) bool {
	p := o.parts[label]
	return p.alive(o.c, boot) && !p.unfit
}

// saysUnfit reports whether a controller is heard and says that it reaches no machine.
func (o *orchestrator) saysUnfit(label, boot string) bool {
	p := o.parts[label]
	return p.alive(o.c, boot) && p.unfit
}

func (p *partView) alive(c *Core, boot string) bool {
	return p != nil && p.session != 0 && p.boot == boot && c.now.Steady-p.heard < 2*c.times.report+c.times.round
}

// word takes what a controller says in a round of the vigil.
func (o *orchestrator) word(session uint64, w *degraded.Vote) {
	label := o.sessions[session]
	p := o.parts[label]
	if p == nil || p.session != session || !o.on {
		return
	}
	p.heard = o.c.now.Steady
	o.c.outage.heard(label, *w)
}

func (o *orchestrator) fromPart(session uint64, m *wire.PeerMessage) {
	label, ok := o.sessions[session]
	if !ok {
		return
	}
	if m.Hello != nil {
		o.hello(session, m.Hello)
		o.parts[m.Hello.Label].unfit = m.Unfit
		return
	}
	p := o.parts[label]
	if p == nil || p.session != session {
		return
	}
	p.heard = o.c.now.Steady
	p.unfit = m.Unfit
	if !o.on {
		return
	}
	if len(m.Cancelled) > 0 {
		o.c.outage.cancel(m.Cancelled)
		o.passOn(m.Cancelled, label)
	}
	o.follow()
	if o.epoch == 0 || m.Epoch != o.epoch || o.c.members.speaksForAnother(label, p.boot) {
		return
	}
	switch {
	case m.Full:
		if m.Piece > 0 && (p.have == nil || m.Piece != p.piece+1) {
			return // its first pieces came before we were in this epoch: it is asked again
		}
		o.whole(p, m)
	case p.synced != o.epoch:
		return // its whole picture is still to come
	}
	for _, name := range m.Dropped {
		if v := o.rigs.get(name); v != nil && v.part == p.label {
			v.listed = 0
		}
	}
	for i := range m.Machines {
		o.machine(p, &m.Machines[i])
	}
	for _, t := range m.Returned {
		if f := o.tasks[t.Task]; f != nil && f.attempt == t.Attempt && f.open {
			f.open = false
			o.land(t.Task, f)
		}
	}
	o.settle()
}

// passOn lets all members but one know of jobs that are cancelled.
func (o *orchestrator) passOn(jobs []string, but string) {
	for label, p := range o.parts {
		if label != but && label != o.c.set.Label && p.session != 0 {
			p.outbox.Cancelled, p.dirty = append(p.outbox.Cancelled, jobs...), true
		}
	}
}

// whole takes a piece of a part's whole picture. Once it has all of them it compares
// the picture with what was dispatched to the part: what is neither on one of its
// machines nor assigned there was lost with an earlier link and will never be read.
//
// Guards against taking a dispatch for lost that is still on its way: a picture
// made before the part had read it once had hundreds of tasks started twice.
func (o *orchestrator) whole(p *partView, m *wire.PeerMessage) {
	p.piece = m.Piece
	if m.Piece == 0 {
		p.have, p.read = map[string]bool{}, m.Read
		for _, v := range o.rigs.all() {
			if v.part == p.label {
				v.listed = 0
			}
		}
	}
	for _, t := range m.Assigned {
		p.have[t.Task] = true
	}
	for i := range m.Machines {
		for _, t := range m.Machines[i].Tasks {
			p.have[t.Task] = true
		}
	}
	if m.More {
		return
	}
	for _, name := range sortedKeys(o.opens) {
		if f := o.opens[name]; f.part == p.label && f.open && !p.have[name] && (f.session != p.session || f.seq <= p.read) {
			f.open = false
			o.land(name, f)
		}
	}
	p.have = nil
	p.synced = o.epoch
	o.lastSort = 0 // its machines are waiting for work
}

// machine takes a part's picture of one machine.
func (o *orchestrator) machine(p *partView, s *wire.MachineState) {
	if o.c.fleet.wasDeleted(s.Name) {
		return // the part has yet to hear of it
	}
	v := o.view(s.Name)
	v.listed = o.epoch
	wasUp := v.state.Up
	if s.Partial {
		old := &v.state
		s.Addr, s.Type, s.Zone, s.Spot = old.Addr, old.Type, old.Zone, old.Spot
		if s.Type == "" {
			// We have no whole picture of it, and it would never be told again: the
			// machine was up and got no work for ever.
			p.outbox.Resync, p.dirty = true, true
		}
	}
	// Only now: a partial picture names no type, and a machine that was first told of
	// before the types were known got no work for ever.
	if v.mt == nil {
		v.mt = o.c.types()[s.Type]
	}
	if s.Images != nil || !s.Partial {
		v.images = map[string]bool{}
		for _, image := range s.Images {
			v.images[image] = true
		}
	}
	if v.state.Sure && !s.Sure {
		v.doubtAt = o.c.now.Steady
	}
	tasks := s.Tasks
	v.state, v.part = *s, p.label
	v.state.Tasks, v.state.Left, v.state.Images = nil, nil, nil
	if s.Up && !wasUp && v.upAt < 0 {
		v.upAt = o.c.now.Steady
		delete(o.c.fleet.given, s.Type)
		v.emptyAt = o.c.now.Steady
	}
	for i := range tasks {
		o.listedTask(p, v, s, &tasks[i])
	}
	switch {
	case !v.known():
	case s.Partial:
		for _, name := range s.Left {
			if f := v.tasks[name]; f != nil {
				o.release(name, f, v)
			}
		}
	default:
		listed := map[string]bool{}
		for i := range tasks {
			if tasks[i].State != wire.TaskExited {
				listed[tasks[i].Task] = true
			}
		}
		for _, name := range sortedKeys(v.tasks) {
			if !listed[name] {
				o.release(name, v.tasks[name], v)
			}
		}
	}
	if len(v.tasks) > 0 {
		v.emptyAt = o.c.now.Steady
	}
}

func (o *orchestrator) listedTask(p *partView, v *rigView, s *wire.MachineState, t *wire.TaskState) {
	ref, index, err := wire.ParseTask(t.Task)
	if err != nil {
		return
	}
	j := o.c.ledger.accepted(ref)
	if j == nil {
		// The part's mirror is ahead of ours. It tells a task once, so it must
		// be asked again.
		p.outbox.Resync, p.dirty = true, true
		return
	}
	f := o.tasks[t.Task]
	if t.State == wire.TaskExited {
		if f != nil && f.attempt != t.Attempt && f.machine != "" {
			f = nil // the remains of an earlier attempt
		}
		if v.known() {
			o.exited(v, j, index, t, f)
		}
		return
	}
	if f == nil {
		q := o.queue.get(ref)
		if q == nil {
			if j.final() {
				q = newQueued(j)
				o.queue.set(ref, q)
			} else {
				return
			}
		}
		f = &flight{job: q, index: index, attempt: t.Attempt, claims: map[string]bool{}}
		o.debit(t.Task, f)
	}
	// Whatever lists a task holds it, even if another machine is thought to have
	// it: an old list of a dead machine once hid the machine that really ran it,
	// and the task was started again when the dead one was deleted.
	f.claims[s.Name] = true
	v.take(t.Task, f, o.c.now.Steady)
	if f.attempt != t.Attempt {
		if other := o.rigs.get(f.machine); f.open || !s.Sure || other != nil && other.state.Sure && f.machine != s.Name {
			return
		}
	}
	f.machine, f.part, f.limbo, f.open, f.attempt, f.state = s.Name, p.label, false, false, t.Attempt, t.State
	if t.State == wire.TaskRunning && f.runAt == 0 {
		f.runAt = o.c.now.Steady
		wait := (o.c.now.Wall - j.since()) * 1000
		_ = o.waits[urgency(j.rec.Spec.Urgency)].RecordValue(min(max(int64(wait), 1), maxWait)) // within bounds
	}
}

// exited takes a task that has ended on its machine.
func (o *orchestrator) exited(v *rigView, j *job, index int, t *wire.TaskState, f *flight) {
	q := o.queue.get(j.rec.Spec.ID)
	if q == nil || j.final() {
		return
	}
	switch t.Why {
	case wire.WhyDone:
		if j.rec.Spec.Kind == wire.KindService || q.over(index) {
			return
		}
		q.finished[index] = true
		o.unsaved[q.id] = q
		o.saveDue = o.saveDue || q.complete()
		if q.saveAt == 0 {
			q.saveAt = o.c.now.Steady + o.c.times.lease/4
		}
		if t.RanS > 0 && !q.stopped[index] {
			o.c.est.took(q, t.RanS)
		}
		v.errors = map[string]bool{}
	case wire.WhyStopped:
		q.stopped[index] = true
	case wire.WhyError:
		if f != nil && f.attempt == t.Attempt {
			o.failed(v, q, index)
		}
	}
	if shuns(t.Why) {
		v.avoid[q.id] = o.c.now.Steady + o.c.times.shun
	}
}

// tell lets every node know what to say about the jobs.
func (o *orchestrator) tell() {
	var views []wire.JobView
	for id, q := range o.queue.all() {
		v := wire.JobView{Job: id, Reason: q.reason}
		q.longest = 0
		for _, f := range q.flights {
			if f.runAt > 0 {
				q.longest = max(q.longest, o.c.now.Steady-f.runAt)
			}
			if f.state == wire.TaskRunning || f.state == wire.TaskSaving {
				v.Running++
			}
		}
		if v != q.said {
			q.said = v
			views = append(views, v)
		}
	}
	for _, p := range o.parts {
		if p.session != 0 {
			p.outbox.Views = append(p.outbox.Views, views...)
			p.dirty = true // also tells the part that its leader lives
		}
	}
}
