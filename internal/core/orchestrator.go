package core

import (
	"cmp"
	"fmt"
	"iter"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// flight is a task that has been dispatched and may be on a machine.
type flight struct {
	job     *queued
	index   int
	attempt uint64
	machine string          // where it is, as far as is known
	claims  map[string]bool // every machine that lists it, surely or perhaps
	open    bool            // dispatched, the part has not told where to
	guess   string          // where the plan saw room for it
	part    string
	session uint64 // the link that its dispatch went over
	seq     uint64 // and the message that carried it
	limbo   bool   // its part is gone and it may be on any machine not seen yet
	state   string
	runAt   time.Duration // when it was first seen running, 0: not yet
	asked   bool          // to stop
}

// queued is a job in the leader's queue.
type queued struct {
	j        *job
	id       string
	flights  map[int]*flight
	finished map[int]bool // completed, not durable yet
	low      int          // no task below it waits
	limbo    bool         // from before this leader: its tasks may be on unseen machines
	hold     map[int]time.Duration
	fails    int
	failedOn map[string]bool
	ending   bool // the final state is being written
	choosing bool // its zones are being written
	saveAt   time.Duration
	writing  bool
	reason   string
	said     wire.JobView
	pred     float64
	band     int          // its place in the order: first the band,
	size     float64      // then the size
	in       bool         // within its team's guarantee
	stopped  map[int]bool // tasks that were stopped: what is left of them says nothing of their duration
	stops    int
	stopWhy  string
	released bool // a gang's tasks were told to start
	heldAt   time.Duration
}

func newQueued(j *job) *queued {
	return &queued{
		j: j, id: j.rec.Spec.ID, flights: map[int]*flight{}, finished: map[int]bool{},
		hold: map[int]time.Duration{}, failedOn: map[string]bool{}, stopped: map[int]bool{},
	}
}

func (q *queued) waiting() int {
	return q.j.rec.Spec.Tasks - q.j.doneN - len(q.finished) - len(q.flights)
}

// complete reports whether every task has completed, durably or not.
func (q *queued) complete() bool {
	return q.j.rec.Spec.Kind != wire.KindService && q.j.doneN+len(q.finished) >= q.j.rec.Spec.Tasks
}

// next is the first task from i on that is neither over nor dispatched.
func (q *queued) next(i int) int {
	for i < q.j.rec.Spec.Tasks && (q.flights[i] != nil || q.over(i)) {
		i++
	}
	return i
}

func (q *queued) over(i int) bool { return q.finished[i] || q.j.isDone(i) }

// rigView is the leader's picture of a machine.
type rigView struct {
	state     wire.MachineState
	part      string
	mt        *wire.MachineType
	tasks     map[string]*flight
	taken     usage // by them
	images    map[string]bool
	closing   bool // as its part was told
	closingAt time.Duration
	emptyAt   time.Duration
	upAt      time.Duration
	doubtAt   time.Duration   // since when its list is not to be trusted, if it is not
	errors    map[string]bool // jobs that failed here since the last success
	sick      bool
	listed    uint64 // the epoch in which its part has listed it, 0: it no longer does
}

// take and give follow which flights a machine has a claim on.
func (v *rigView) take(name string, f *flight) {
	if v.tasks[name] != f {
		v.give(name)
		v.tasks[name] = f
		v.taken.add(&f.job.j.rec.Spec, 1)
	}
}

func (v *rigView) give(name string) {
	if f := v.tasks[name]; f != nil {
		delete(v.tasks, name)
		v.taken.add(&f.job.j.rec.Spec, -1)
	}
	if len(v.tasks) == 0 {
		v.taken = usage{} // no rounding is carried on
	}
}

// partView is a member as the leader hears it.
type partView struct {
	label, boot string
	session     uint64
	heard       time.Duration
	synced      uint64 // epoch of the last whole picture
	unfit       bool
	sent        uint64 // messages sent over the session
	outbox      wire.PeerMessage
	dirty       bool
}

// orchestrator is the leader's shared queue.
type orchestrator struct {
	c            *Core
	on           bool
	epoch        uint64 // the epoch this leader acts in, 0: none yet
	epochAtStart uint64
	epochAt      time.Duration // when this leader entered the epoch
	startRev     uint64        // jobs newer than this were never dispatched before us
	parts        map[string]*partView
	sessions     map[uint64]string // session -> label, "" before hello
	rigs         *index[*rigView]
	queue        *index[*queued]
	tasks        map[string]*flight
	used         map[string]*usage  // by team, what its tasks may be taking
	unsaved      map[string]*queued // have completed tasks that are not durable
	doubt        bool               // some job or task is in limbo
	counter      uint64
	lastRound    time.Duration
	lastSort     time.Duration
	writes       float64 // tokens for progress writes
	writesAt     time.Duration
	saveDue      bool
	saveAt       time.Duration
	waits        [4]*hdrhistogram.Histogram // ms from submission to running, by urgency
}

// usage is what tasks take.
type usage struct{ cpus, gpus, mem float64 }

func (u *usage) add(s *wire.Job, n float64) {
	u.cpus += n * s.CPUs
	u.gpus += n * s.GPUs
	u.mem += n * s.MemoryGB
}

// maxWait is the longest wait told apart, in ms.
const maxWait = 3_600_000

func newOrchestrator(c *Core) *orchestrator {
	o := &orchestrator{c: c, sessions: map[uint64]string{}, parts: map[string]*partView{}}
	o.clear()
	for i := range o.waits {
		o.waits[i] = hdrhistogram.New(1, maxWait, 2)
	}
	return o
}

func (o *orchestrator) leadership(on bool) {
	o.on = on
	o.epoch = 0
	o.epochAtStart = o.c.members.epoch()
	o.startRev = o.c.ledger.versions[keyLeader]
	o.clear()
	o.lastRound = 0
	o.writesAt = o.c.now.Steady
	o.writes = o.c.set.Site.State.WriteRPS / 4
	if on {
		for _, id := range sortedKeys(o.c.ledger.jobs) {
			o.jobChanged(o.c.ledger.jobs[id])
		}
		o.c.est.load()
		o.c.fleet.start()
	}
}

func (o *orchestrator) clear() {
	o.rigs, o.queue = newIndex[*rigView](), newIndex[*queued]()
	o.tasks, o.used, o.unsaved = map[string]*flight{}, map[string]*usage{}, map[string]*queued{}
	o.doubt = false
}

// jobChanged follows the mirror.
func (o *orchestrator) jobChanged(j *job) {
	if !o.on || j.version == 0 {
		return
	}
	id := j.rec.Spec.ID
	q := o.queue.get(id)
	if j.final() {
		delete(o.unsaved, id)
		// Its flights stay until they are surely gone: they hold quota.
		if q != nil && len(q.flights) == 0 {
			o.queue.delete(id)
		}
		return
	}
	if q == nil {
		q = newQueued(j)
		q.limbo = j.version <= o.startRev
		o.doubt = o.doubt || q.limbo
		o.queue.set(id, q)
		if !q.limbo {
			o.c.fleet.arrived(q)
		}
		if q.complete() {
			o.unsaved[id] = q // its last leader did not get to say so
		}
	}
}

// progressed follows the mirror: what is durable is no longer ours to save.
func (o *orchestrator) progressed(id string) {
	q := o.queue.get(id)
	if q == nil {
		return
	}
	for i := range q.finished {
		if q.j.isDone(i) {
			delete(q.finished, i)
		}
	}
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
		p.synced = 0
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
	p.boot, p.session, p.heard, p.synced, p.sent = h.Boot, session, o.c.now.Steady, 0, 0
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
	return p != nil && p.session != 0 && p.boot == boot && !p.unfit &&
		o.c.now.Steady-p.heard < 2*o.c.times.report+o.c.times.round
}

func (o *orchestrator) fromPart(session uint64, m *wire.PeerMessage) {
	label, ok := o.sessions[session]
	if !ok {
		return
	}
	if m.Hello != nil {
		o.hello(session, m.Hello)
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
	o.follow()
	if o.epoch == 0 || m.Epoch != o.epoch {
		return
	}
	if m.Full {
		o.whole(p, m)
		p.synced = o.epoch
		o.lastSort = 0 // its machines are waiting for work
	} else if p.synced != o.epoch {
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

// follow enters the epoch of the map in force if it is ours.
func (o *orchestrator) follow() {
	rec := o.c.ledger.mapRec
	if rec == nil || rec.Leader != o.c.set.Label || rec.Epoch <= o.epochAtStart || rec.Epoch == o.epoch {
		return
	}
	first := o.epoch == 0
	o.epoch, o.epochAt = rec.Epoch, o.c.now.Steady
	o.counter = 0
	for _, v := range o.rigs.all() {
		v.state.Sure, v.state.Up, v.doubtAt = false, false, o.c.now.Steady
		v.closing = false
	}
	for name := range o.c.ledger.machines.all() {
		o.view(name)
	}
	// What was dispatched but not yet seen on a machine may be on any machine
	// of a part that is gone; it counts as running until all are seen.
	for _, f := range o.tasks {
		if f.open {
			f.open, f.limbo, o.doubt = false, true, true
		}
	}
	for _, p := range o.parts {
		// A part may have entered this epoch, and told all, before we did.
		p.synced = 0
		p.outbox, p.dirty = wire.PeerMessage{Resync: true}, true
	}
	if first {
		o.c.debugf("taking over", "machines", o.rigs.len(), "jobs", o.queue.len())
	}
}

func (o *orchestrator) view(name string) *rigView {
	v := o.rigs.get(name)
	if v == nil {
		v = &rigView{tasks: map[string]*flight{}, errors: map[string]bool{}, emptyAt: o.c.now.Steady, upAt: -1, doubtAt: o.c.now.Steady}
		if rec := o.c.ledger.machines.get(name); rec != nil {
			v.state = wire.MachineState{Name: name, Addr: rec.Addr, Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}
			v.mt = o.c.types()[rec.Type]
		}
		o.rigs.set(name, v)
	}
	return v
}

// whole compares a part's whole picture with what was dispatched to it: what is
// neither on one of its machines nor assigned there was lost with an earlier
// link and will never be read.
//
// Guards against taking a dispatch for lost that is still on its way: a picture
// made before the part had read it once had hundreds of tasks started twice.
func (o *orchestrator) whole(p *partView, m *wire.PeerMessage) {
	for _, v := range o.rigs.all() {
		if v.part == p.label {
			v.listed = 0
		}
	}
	have := map[string]bool{}
	for _, t := range m.Assigned {
		have[t.Task] = true
	}
	for i := range m.Machines {
		for _, t := range m.Machines[i].Tasks {
			have[t.Task] = true
		}
	}
	for _, name := range sortedKeys(o.tasks) {
		if f := o.tasks[name]; f.part == p.label && f.open && !have[name] && (f.session != p.session || f.seq <= m.Read) {
			f.open = false
			o.land(name, f)
		}
	}
}

// machine takes a part's picture of one machine.
func (o *orchestrator) machine(p *partView, s *wire.MachineState) {
	if o.c.fleet.wasDeleted(s.Name) {
		return // the part has yet to hear of it
	}
	v := o.view(s.Name)
	if v.mt == nil {
		v.mt = o.c.types()[s.Type]
	}
	v.listed = o.epoch
	wasUp := v.state.Up
	if s.Partial {
		old := &v.state
		s.Addr, s.Type, s.Zone, s.Spot = old.Addr, old.Type, old.Zone, old.Spot
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
		v.emptyAt = o.c.now.Steady
	}
	for i := range tasks {
		o.listedTask(p, v, s, &tasks[i])
	}
	switch {
	case !s.Sure:
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
		if s.Sure {
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
	v.take(t.Task, f)
	if f.attempt != t.Attempt {
		if other := o.rigs.get(f.machine); f.open || !s.Sure || other != nil && other.state.Sure && f.machine != s.Name {
			return
		}
	}
	f.machine, f.part, f.limbo, f.open, f.attempt, f.state = s.Name, p.label, false, false, t.Attempt, t.State
	if t.State == wire.TaskRunning && f.runAt == 0 {
		f.runAt = o.c.now.Steady
		wait := (o.c.now.Wall - j.rec.At) * 1000
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
			o.c.est.add(&j.rec.Spec, t.RanS)
		}
		v.errors = map[string]bool{}
	case wire.WhyStopped:
		q.stopped[index] = true
	case wire.WhyError:
		if f != nil && f.attempt == t.Attempt {
			o.failed(v, q, index)
		}
	}
}

// failed spaces retries out and looks for a faulty machine or a faulty job.
func (o *orchestrator) failed(v *rigView, q *queued, index int) {
	q.fails++
	q.failedOn[v.state.Name] = true
	v.errors[q.id] = true
	wait := o.c.times.round << min(len(q.failedOn)-1, 6)
	if len(q.failedOn) >= 3 && len(q.finished)+q.j.doneN == 0 {
		wait = min(o.c.times.lease*time.Duration(len(q.failedOn)), 8*o.c.times.lease)
	}
	q.hold[index] = o.c.now.Steady + wait
	jobs := 0
	for id := range v.errors {
		if x := o.queue.get(id); x != nil && len(x.failedOn) <= 2 {
			jobs++
		}
	}
	if jobs >= o.c.policy.QuarantineJobs && !v.sick {
		v.sick = true
		o.c.info("machine is faulty, quarantined", "machine", v.state.Name, "jobs", jobs)
	}
}

// release takes back a machine's claim on a task: it surely is not there.
func (o *orchestrator) release(name string, f *flight, v *rigView) {
	v.give(name)
	delete(f.claims, v.state.Name)
	if f.machine == v.state.Name {
		f.machine, f.state = "", ""
		for _, m := range sortedKeys(f.claims) {
			f.machine = m
		}
	}
	o.land(name, f)
}

// debit counts a flight against its team's limit.
func (o *orchestrator) debit(name string, f *flight) {
	o.tasks[name] = f
	f.job.flights[f.index] = f
	s := &f.job.j.rec.Spec
	u := o.used[s.Team]
	if u == nil {
		u = &usage{}
		o.used[s.Team] = u
	}
	u.add(s, 1)
}

// land credits a flight if its task is surely on no machine and on its way to
// none.
func (o *orchestrator) land(name string, f *flight) {
	if f.open || f.limbo || len(f.claims) > 0 {
		return
	}
	q := f.job
	if o.tasks[name] == f {
		delete(o.tasks, name)
		o.used[q.j.rec.Spec.Team].add(&q.j.rec.Spec, -1)
	}
	if q.flights[f.index] == f {
		delete(q.flights, f.index)
		q.low = min(q.low, f.index)
	}
	if q.j.final() && len(q.flights) == 0 {
		o.queue.delete(q.id)
	}
}

// unseen walks over the machines that may hold tasks this leader does not know.
func (o *orchestrator) unseen() iter.Seq2[string, *wire.MachineRecord] {
	return func(yield func(string, *wire.MachineRecord) bool) {
		for name, rec := range o.c.ledger.machines.all() {
			if v := o.rigs.get(name); (v == nil || !v.state.Sure) && !o.c.fleet.wasDeleted(name) && !yield(name, rec) {
				return
			}
		}
	}
}

// settle frees what was in doubt once every machine has been seen.
func (o *orchestrator) settle() {
	if !o.doubt {
		return
	}
	for range o.unseen() {
		return
	}
	o.doubt = false
	for _, q := range o.queue.all() {
		q.limbo = false
	}
	for _, name := range sortedKeys(o.tasks) {
		if f := o.tasks[name]; f.limbo {
			f.limbo = false
			o.land(name, f)
		}
	}
	o.lastSort = 0
	o.c.info("every machine has been seen")
}

func (o *orchestrator) react() {
	if !o.on || !o.c.members.entitled() {
		return
	}
	o.follow()
	if o.epoch == 0 || o.epoch != o.c.members.epoch() {
		return
	}
	if o.saveDue || o.c.now.Steady >= o.saveAt {
		o.saveDue, o.saveAt = false, o.c.now.Steady+o.c.times.round/4
		o.save()
	}
	if o.lastSort == 0 || o.c.now.Steady-o.lastSort >= o.c.times.sort {
		o.lastSort = o.c.now.Steady
		o.forget()
		o.c.register.step()
		o.settle()
		ranked, waiting := o.round()
		if o.c.now.Steady-o.lastRound >= o.c.times.round {
			o.lastRound = o.c.now.Steady
			o.c.fleet.want(ranked, waiting)
			o.c.est.save()
			o.tell()
		}
	}
	for _, label := range sortedKeys(o.parts) {
		if p := o.parts[label]; p.dirty && p.session != 0 {
			m := p.outbox
			p.sent++
			m.Epoch, m.Seq = o.epoch, p.sent
			p.outbox, p.dirty = wire.PeerMessage{}, false
			if p.session == selfLink {
				o.c.loop = append(o.c.loop, func() { o.c.part.fromLeader(&m) })
			} else {
				o.c.emit(PeerSend{Session: p.session, Message: m})
			}
		}
	}
}

// forget drops the machines that are surely gone.
func (o *orchestrator) forget() {
	for name, v := range o.rigs.all() {
		// A machine that no part lists and that is out of the register was
		// deleted by an earlier leader; what it was thought to run once held two
		// tasks back for ever. The wait lets the mirror catch up.
		forgotten := v.listed != o.epoch && o.c.ledger.machines.get(name) == nil && o.c.now.Steady-o.epochAt > 2*o.c.times.fresh
		if forgotten || o.c.fleet.wasDeleted(name) {
			// Deleted by the cloud's word: it and its tasks are gone.
			for _, t := range sortedKeys(v.tasks) {
				o.release(t, v.tasks[t], v)
			}
			o.rigs.delete(name)
		}
	}
}

// save makes completed tasks durable: jobs that are complete first, then
// progress, as far as the write budget goes.
func (o *orchestrator) save() {
	c := o.c
	rate := c.set.Site.State.WriteRPS * c.policy.ProgressShare
	o.writes = min(o.writes+(c.now.Steady-o.writesAt).Seconds()*rate, rate)
	o.writesAt = c.now.Steady
	var partly []*queued
	for _, id := range sortedKeys(o.unsaved) {
		q := o.unsaved[id]
		switch {
		case q.j.final() || o.queue.get(id) != q || len(q.finished) == 0 && !q.complete():
			delete(o.unsaved, id)
		case q.ending || q.writing || q.choosing:
		case q.complete():
			o.end(q)
		case q.saveAt > 0 && c.now.Steady >= q.saveAt:
			partly = append(partly, q)
		}
	}
	// Those that have waited longest first, or the first names would take all.
	sort.SliceStable(partly, func(a, b int) bool { return partly[a].saveAt < partly[b].saveAt })
	for _, q := range partly {
		if o.writes < 1 {
			break
		}
		o.progress(q)
	}
}

// end writes that a job is done. The answer "done" is given only from the
// mirror, so it is durable before it is said; the guard on the job's key settles
// a race with a cancellation the same way everywhere.
func (o *orchestrator) end(q *queued) {
	q.ending = true
	j := q.j
	guards := []wire.Guard{o.c.members.leaderGuard(), {Key: keyJob + q.id, Version: j.version}}
	o.c.ledger.commit(guards, o.c.ledger.finalOps(j, finalRecord(j, wire.JobDone, "")), func(d CommitDone) {
		o.c.ledger.lookAgain(d.Status == 200 || d.Status == 409, o.c.times.round/4, func() { q.ending = false })
	})
}

func (o *orchestrator) progress(q *queued) {
	sets := map[int]wire.TaskSet{}
	for i := range q.finished {
		b := i / progressBlock
		if sets[b] == nil && b < len(q.j.done) {
			sets[b] = append(wire.TaskSet(nil), q.j.done[b]...)
		}
		s := sets[b]
		s.Add(i % progressBlock)
		sets[b] = s
	}
	q.saveAt = 0
	// The guard on the job's key keeps progress from outliving the job, those on
	// the blocks keep a write that is applied late from taking back what a later
	// one has added: a task was once missing from both and never started again.
	guards := []wire.Guard{o.c.members.leaderGuard(), {Key: keyJob + q.id, Version: q.j.version}}
	var ops []wire.Op
	for b := range wire.MaxTasks/progressBlock + 1 {
		if s := sets[b]; s != nil && len(ops) < o.c.set.Site.State.TxnOps {
			guards = append(guards, o.c.ledger.guard(progressKey(q.id, b)))
			ops = append(ops, wire.Op{Put: progressKey(q.id, b), Value: wire.ProgressRecord{Bits: s.Text()}})
		}
	}
	o.writes -= float64(len(ops))
	q.writing = true
	o.c.ledger.commit(guards, ops, func(d CommitDone) {
		q.saveAt = o.c.now.Steady + o.c.times.lease/4
		o.c.ledger.lookAgain(d.Status == 200 || d.Status == 409, o.c.times.round/2, func() { q.writing = false })
	})
}

// use is what each team's tasks may be taking. Every machine that has not been
// seen counts as full of the team's tasks.
func (o *orchestrator) use() map[string]*usage {
	var u usage
	for name, rec := range o.unseen() {
		mt := o.c.types()[rec.Type]
		if mt == nil {
			u = usage{cpus: math.Inf(1), gpus: math.Inf(1)}
			break
		}
		u.cpus += mt.CPUs
		u.gpus += mt.GPUs
		if v := o.rigs.get(name); v != nil {
			u.cpus -= v.taken.cpus // these are counted already
			u.gpus -= v.taken.gpus
		}
	}
	use := map[string]*usage{}
	for i := range o.c.set.Site.Teams {
		t := o.c.set.Site.Teams[i].Name
		x := usage{cpus: max(u.cpus, 0), gpus: max(u.gpus, 0)}
		if own := o.used[t]; own != nil {
			x.cpus += own.cpus
			x.gpus += own.gpus
		}
		use[t] = &x
	}
	return use
}

// round ranks what waits and dispatches what fits.
func (o *orchestrator) round() (ranked, waiting []*queued) {
	ranked = o.rank()
	p := o.plan()
	for _, q := range ranked {
		if q.waiting() <= 0 {
			continue
		}
		waiting = append(waiting, q)
		if q.j.rec.Spec.Kind == wire.KindGang {
			o.holdGang(q, p)
		} else {
			o.dispatch(q, p)
		}
	}
	o.releaseGangs()
	return ranked, waiting
}

// plan is what one round works with: the room on every machine that can be given
// work, and what each team uses. The round fills both up as it goes.
type plan struct {
	rooms   []*planned
	free    []*planned // those with any room left
	use     map[string]*usage
	victims []victim // what may be stopped, cheapest first
	looked  bool     // victims have been looked for
}

// planned is a machine in the leader's plan of one round.
type planned struct {
	room
	name string
	part *partView
	view *rigView
	warm bool // holds the image of the job that is looked at
}

func (o *orchestrator) plan() *plan {
	guessed := map[string][]*flight{}
	for _, f := range o.tasks {
		if f.open {
			guessed[f.guess] = append(guessed[f.guess], f)
		}
	}
	out := &plan{use: o.use()}
	for name, v := range o.rigs.all() {
		p := o.parts[v.part]
		s := &v.state
		if !s.Up || !s.Sure || s.Notice || s.Draining || v.sick || v.mt == nil || o.c.ledger.machines.get(name) == nil ||
			p == nil || p.session == 0 || p.synced != o.epoch || o.c.fleet.leaving(name) || o.c.fleet.parked[name] {
			continue
		}
		m := &planned{name: name, part: p, view: v, room: room{
			cpus: v.mt.CPUs - v.taken.cpus, gpus: v.mt.GPUs - v.taken.gpus, mem: v.mt.MemoryGB - v.taken.mem, typ: s.Type, zone: s.Zone, spot: s.Spot, images: v.images,
		}}
		for _, f := range guessed[name] {
			m.take(&f.job.j.rec.Spec)
		}
		out.rooms = append(out.rooms, m)
		if m.cpus > slack {
			out.free = append(out.free, m)
		}
	}
	return out
}

// rank sorts the unfinished jobs: services, then what is urgent, then what its
// team's guarantee covers, then by urgency, and on the ordinary path by CPUs
// (GPUs) times predicted duration of what is left of the job, which waiting shrinks.
func (o *orchestrator) rank() []*queued {
	o.guarantees()
	var jobs []*queued
	for _, q := range o.queue.all() {
		if q.j.final() || q.ending {
			continue
		}
		q.reason = ""
		if q.fails > 0 && q.j.doneN+len(q.finished) == 0 {
			q.reason = q.failedWhere()
		}
		q.pred = o.c.est.predict(&q.j.rec.Spec)
		q.band, q.size = o.order(q)
		jobs = append(jobs, q)
	}
	slices.SortStableFunc(jobs, func(a, b *queued) int {
		return cmp.Or(cmp.Compare(a.band, b.band), cmp.Compare(a.size, b.size))
	})
	return jobs
}

// order is a job's band, and its size within that.
func (o *orchestrator) order(q *queued) (band int, size float64) {
	s := &q.j.rec.Spec
	u := urgency(s.Urgency)
	switch {
	case s.Kind == wire.KindService:
		band = u - 10
	case u <= 1:
		band = u
	case q.in:
		band = 2
	default:
		band = 10 + u
	}
	size = s.CPUs
	if s.GPUs > 0 {
		size = s.GPUs
	}
	aged := 1 + max(o.c.now.Wall-q.j.rec.At, 0)/(o.c.policy.AgingLeases*o.c.times.lease.Seconds())
	if s.Kind != wire.KindService {
		// All that is left of a job, as the paper counts all GPUs of a job. By a
		// task's product alone the jobs of one name tie, their age decides, and
		// under load they all wait as long as the last one may.
		size *= float64(max(s.Tasks-q.j.doneN-len(q.finished), 1))
	}
	return band, size * q.pred / aged
}

func urgency(u string) int {
	switch u {
	case wire.UrgencyProduction:
		return 0
	case wire.UrgencyHigh:
		return 1
	case wire.UrgencyNormal:
		return 2
	}
	return 3
}

// guarantees marks the jobs that, with their team's earlier unfinished ones,
// fit into the team's guarantee.
func (o *orchestrator) guarantees() {
	byTeam := map[string][]*queued{}
	for _, q := range o.queue.all() {
		q.in = false
		if !q.j.final() {
			byTeam[q.j.rec.Spec.Team] = append(byTeam[q.j.rec.Spec.Team], q)
		}
	}
	for i := range o.c.set.Site.Teams {
		t := &o.c.set.Site.Teams[i]
		jobs := byTeam[t.Name]
		sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].j.rec.At < jobs[b].j.rec.At })
		var cpus, gpus float64
		for _, q := range jobs {
			s := &q.j.rec.Spec
			n := float64(s.Tasks)
			cpus += n * s.CPUs
			gpus += n * s.GPUs
			if cpus > t.CPUs+slack || gpus > t.GPUs+slack {
				break
			}
			q.in = true
		}
	}
}

// dispatch sends the waiting tasks of a job to parts with room, roomiest first.
func (o *orchestrator) dispatch(q *queued, p *plan) {
	c := o.c
	s := &q.j.rec.Spec
	if !o.startable(q, p) {
		return
	}
	fitting := o.fitting(s, p)
	at, held, sent := 0, 0, 0
	if c.debug {
		defer func() {
			if sent > 0 || q.reason != "" {
				c.debugf("ranked", "job", q.id, "predicted", q.pred, "guaranteed", q.in, "dispatched", sent, "waiting", q.waiting(), "reason", q.reason)
			}
		}()
	}
	// Counted once: counting anew for each task of a huge job took the round's
	// whole share of the processor.
	left := q.waiting()
	q.low = q.next(q.low)
	for i := q.low; i < s.Tasks && sent < left; i = q.next(i + 1) {
		if q.hold[i] > c.now.Steady {
			held++
			continue
		}
		if o.overLimit(s, 1, p) {
			q.reason = fmt.Sprintf("team %s is at its limit", s.Team)
			return
		}
		var m *planned
		if s.Spread {
			for _, x := range fitting {
				if x.fits(s) && mayRun(&q.j.rec, i, x.typ, x.zone, x.spot) {
					m = x
					break
				}
			}
		} else {
			for at < len(fitting) && !(fitting[at].fits(s) && mayRun(&q.j.rec, i, fitting[at].typ, fitting[at].zone, fitting[at].spot)) {
				at++
			}
			if at < len(fitting) {
				m = fitting[at]
			}
		}
		if m == nil {
			if q.reason == "" {
				q.reason = o.noRoom(s)
			}
			if q.stops > 0 {
				q.reason = q.stopWhy + "; " + q.reason
			}
			o.makeRoom(q, p)
			return
		}
		m.take(s)
		o.send(q, i, m, o.newAttempt(), false, p)
		sent++
	}
	if held > 0 {
		q.reason = q.failedWhere()
	}
}

// fitting lists the machines with room for a task, in the order in which they
// are filled. What is full by now leaves the plan's free machines.
func (o *orchestrator) fitting(s *wire.Job, p *plan) []*planned {
	var out []*planned
	room := map[*partView]float64{}
	free := p.free[:0]
	for _, m := range p.free {
		if m.cpus <= slack {
			continue
		}
		free = append(free, m)
		if m.fits(s) && mayUse(s, m.typ, m.zone, m.spot) {
			m.warm = m.has(s.Image)
			out = append(out, m)
			room[m.part] += m.cpus
		}
	}
	p.free = free
	sort.SliceStable(out, func(a, b int) bool {
		x, y := out[a], out[b]
		if x.warm != y.warm {
			return x.warm
		}
		if x.spot != y.spot {
			return x.spot
		}
		if x.part != y.part && room[x.part] != room[y.part] {
			return room[x.part] > room[y.part]
		}
		return x.tighter(&y.room)
	})
	return out
}

// startable says why a job can't be dispatched yet, whatever the room.
func (o *orchestrator) startable(q *queued, p *plan) bool {
	s := &q.j.rec.Spec
	if q.limbo {
		q.reason = "waits until every machine has been seen after a change of leader"
		return false
	}
	if (s.OneZone || s.Spread) && len(q.j.rec.Zones) == 0 {
		o.chooseZones(q, p.rooms)
		q.reason = "waits for its zone to be chosen"
		return false
	}
	return true
}

// overLimit reports whether n more tasks would take a team past its limit.
func (o *orchestrator) overLimit(s *wire.Job, n float64, p *plan) bool {
	t, u := o.c.team(s.Team), p.use[s.Team]
	return t != nil && (t.CPUsMax > 0 && u.cpus+n*s.CPUs > t.CPUsMax+slack ||
		t.GPUsMax > 0 && u.gpus+n*s.GPUs > t.GPUsMax+slack)
}

// newAttempt gives a number that no start has had, without a write: the epoch and
// a count within it.
func (o *orchestrator) newAttempt() uint64 {
	o.counter++
	return o.epoch<<attemptBits | o.counter
}

// send dispatches a task to the part that owns m; hold asks for that very
// machine to keep room. The team's quota is debited here.
func (o *orchestrator) send(q *queued, i int, m *planned, attempt uint64, hold bool, p *plan) {
	s := &q.j.rec.Spec
	if u := p.use[s.Team]; u != nil {
		u.add(s, 1)
	}
	f := &flight{job: q, index: i, attempt: attempt, guess: m.name, part: m.part.label,
		session: m.part.session, seq: m.part.sent + 1, open: true, claims: map[string]bool{}}
	name := wire.TaskName(q.id, i)
	o.debit(name, f)
	delete(q.hold, i)
	try := wire.TaskTry{Task: name, Attempt: f.attempt}
	if hold {
		try.Machine = m.name
	}
	m.part.outbox.Dispatch = append(m.part.outbox.Dispatch, try)
	m.part.dirty = true
}

func (q *queued) failedWhere() string {
	return fmt.Sprintf("its tasks failed on %d machines, trying again later", len(q.failedOn))
}

func (o *orchestrator) noRoom(s *wire.Job) string {
	if why := o.c.fleet.refused(s); why != "" {
		return why
	}
	return "waits for room on a machine of its types and zone"
}

// chooseZones writes down where the tasks of a job tied to a zone may run,
// before the first of them starts, so that every later leader keeps to it.
func (o *orchestrator) chooseZones(q *queued, rooms []*planned) {
	if q.choosing || q.ending || q.writing {
		return
	}
	s := &q.j.rec.Spec
	free := map[string]float64{}
	for _, t := range o.c.types() {
		if allows(s, t.Name) && holds(t, s) {
			for _, z := range t.Zones {
				if s.Zone == "" || s.Zone == z {
					free[z] += 0
				}
			}
		}
	}
	for _, m := range rooms {
		if _, ok := free[m.zone]; ok && allows(s, m.typ) && m.fits(s) {
			free[m.zone] += m.cpus
		}
	}
	zones := sortedKeys(free)
	sort.SliceStable(zones, func(a, b int) bool { return free[zones[a]] > free[zones[b]] })
	need := 1
	if s.Spread && s.Tasks > 1 {
		need = 2
	}
	if len(zones) < need {
		return
	}
	rec := q.j.rec
	rec.Zones = zones[:need]
	q.choosing = true
	guards := []wire.Guard{o.c.members.leaderGuard(), {Key: keyJob + q.id, Version: q.j.version}}
	o.c.ledger.commit(guards, []wire.Op{{Put: keyJob + q.id, Value: rec}}, func(CommitDone) {
		o.c.ledger.barrier(func(bool) { q.choosing = false })
	})
}

// tell lets every node know what to say about the jobs.
func (o *orchestrator) tell() {
	var views []wire.JobView
	for id, q := range o.queue.all() {
		v := wire.JobView{Job: id, Reason: q.reason}
		for _, f := range q.flights {
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
