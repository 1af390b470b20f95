package core

import (
	"fmt"
	"math"
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
	since   time.Duration
	runAt   time.Duration // when it was first seen running, 0: not yet
	asked   bool          // to stop
}

// queued is a job in the leader's queue.
type queued struct {
	j        *job
	id       string
	flights  map[int]*flight
	finished map[int]bool // completed, not durable yet
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
	return q.j.rec.Spec.Tasks - q.j.doneN - q.undurable() - len(q.flights)
}

func (q *queued) undurable() int {
	n := 0
	for i := range q.finished {
		if !q.j.isDone(i) {
			n++
		}
	}
	return n
}

func (q *queued) over(i int) bool { return q.finished[i] || q.j.isDone(i) }

// rigView is the leader's picture of a machine.
type rigView struct {
	state   wire.MachineState
	part    string
	mt      *wire.MachineType
	tasks   map[string]*flight
	strays  float64 // CPUs of listed tasks that are no flights
	emptyAt time.Duration
	upAt    time.Duration
	errors  map[string]bool // jobs that failed here since the last success
	sick    bool
	listed  uint64 // the epoch in which its part has listed it, 0: it no longer does
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
	rigs         map[string]*rigView
	queue        map[string]*queued
	tasks        map[string]*flight
	counter      uint64
	lastRound    time.Duration
	lastSort     time.Duration
	writes       float64 // tokens for progress writes
	writesAt     time.Duration
	saveDue      bool
	saveAt       time.Duration
	registering  bool
	waits        [4]*hdrhistogram.Histogram // ms from submission to running, by urgency
}

// maxWait is the longest wait told apart, in ms.
const maxWait = 3_600_000

func newOrchestrator(c *Core) *orchestrator {
	o := &orchestrator{c: c, sessions: map[uint64]string{}, parts: map[string]*partView{}}
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
	o.rigs = map[string]*rigView{}
	o.queue = map[string]*queued{}
	o.tasks = map[string]*flight{}
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

// jobChanged follows the mirror.
func (o *orchestrator) jobChanged(j *job) {
	if !o.on || j.version == 0 {
		return
	}
	id := j.rec.Spec.ID
	q := o.queue[id]
	if j.final() {
		// Its flights stay until they are surely gone: they hold quota.
		if q != nil && len(q.flights) == 0 {
			delete(o.queue, id)
		}
		return
	}
	if q == nil {
		q = newQueued(j)
		q.limbo = j.version <= o.startRev
		o.queue[id] = q
		if !q.limbo {
			o.c.fleet.arrived(q)
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
	for _, q := range o.queue {
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
	} else if p.synced != o.epoch {
		return // its whole picture is still to come
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
	for _, v := range o.rigs {
		v.state.Sure, v.state.Up = false, false
	}
	for name := range o.c.ledger.machines {
		o.view(name)
	}
	// What was dispatched but not yet seen on a machine may be on any machine
	// of a part that is gone; it counts as running until all are seen.
	for _, f := range o.tasks {
		if f.open {
			f.open, f.limbo = false, true
		}
	}
	for _, p := range o.parts {
		// A part may have entered this epoch, and told all, before we did.
		p.synced = 0
		p.outbox, p.dirty = wire.PeerMessage{Resync: true}, true
	}
	if first {
		o.c.debugf("taking over", "machines", len(o.rigs), "jobs", len(o.queue))
	}
}

func (o *orchestrator) view(name string) *rigView {
	v := o.rigs[name]
	if v == nil {
		v = &rigView{tasks: map[string]*flight{}, errors: map[string]bool{}, emptyAt: o.c.now.Steady, upAt: -1}
		if rec := o.c.ledger.machines[name]; rec != nil {
			v.state = wire.MachineState{Name: name, Addr: rec.Addr, Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}
			v.mt = o.c.types()[rec.Type]
		}
		o.rigs[name] = v
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
	for _, v := range o.rigs {
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
	v.state, v.part = *s, p.label
	if s.Up && !wasUp && v.upAt < 0 {
		v.upAt = o.c.now.Steady
		v.emptyAt = o.c.now.Steady
	}
	listed := map[string]bool{}
	v.strays = 0
	for i := range s.Tasks {
		t := &s.Tasks[i]
		o.listedTask(p, v, s, t, listed)
	}
	if s.Sure {
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

func (o *orchestrator) listedTask(p *partView, v *rigView, s *wire.MachineState, t *wire.TaskState, listed map[string]bool) {
	ref, index, err := wire.ParseTask(t.Task)
	if err != nil {
		return
	}
	j := o.c.ledger.accepted(ref)
	if j == nil {
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
	listed[t.Task] = true
	if f == nil {
		q := o.queue[ref]
		if q == nil {
			if j.final() {
				q = newQueued(j)
				o.queue[ref] = q
			} else {
				return
			}
		}
		f = &flight{job: q, index: index, attempt: t.Attempt, since: o.c.now.Steady, claims: map[string]bool{}}
		o.tasks[t.Task] = f
		q.flights[index] = f
	}
	// Whatever lists a task holds it, even if another machine is thought to have
	// it: an old list of a dead machine once hid the machine that really ran it,
	// and the task was started again when the dead one was deleted.
	f.claims[s.Name] = true
	v.tasks[t.Task] = f
	if f.attempt != t.Attempt {
		if other := o.rigs[f.machine]; f.open || !s.Sure || other != nil && other.state.Sure && f.machine != s.Name {
			return
		}
	}
	f.machine, f.part, f.limbo, f.open, f.attempt, f.state = s.Name, p.label, false, false, t.Attempt, t.State
	if t.State == wire.TaskRunning && f.runAt == 0 {
		f.runAt = o.c.now.Steady
		wait := (o.c.now.Wall - j.rec.At) * 1000
		_ = o.waits[urgency(j.rec.Spec.Urgency)].RecordValue(min(max(int64(wait), 1), maxWait)) // within bounds
	}
	v.tasks[t.Task] = f
}

// exited takes a task that has ended on its machine.
func (o *orchestrator) exited(v *rigView, j *job, index int, t *wire.TaskState, f *flight) {
	q := o.queue[j.rec.Spec.ID]
	if q == nil || j.final() {
		return
	}
	switch t.Why {
	case wire.WhyDone:
		if j.rec.Spec.Kind == wire.KindService || q.over(index) {
			return
		}
		q.finished[index] = true
		o.saveDue = true
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
		if o.queue[id] != nil && len(o.queue[id].failedOn) <= 2 {
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
	delete(v.tasks, name)
	delete(f.claims, v.state.Name)
	if f.machine == v.state.Name {
		f.machine, f.state = "", ""
		for _, m := range sortedKeys(f.claims) {
			f.machine = m
		}
	}
	o.land(name, f)
}

// land credits a flight if its task is surely on no machine and on its way to
// none.
func (o *orchestrator) land(name string, f *flight) {
	if f.open || f.limbo || len(f.claims) > 0 {
		return
	}
	delete(o.tasks, name)
	q := f.job
	if q.flights[f.index] == f {
		delete(q.flights, f.index)
	}
	if q.j.final() && len(q.flights) == 0 {
		delete(o.queue, q.id)
	}
}

// unseen lists the machines that may hold tasks this leader does not know.
func (o *orchestrator) unseen() []string {
	var out []string
	for _, name := range sortedKeys(o.c.ledger.machines) {
		if v := o.rigs[name]; (v == nil || !v.state.Sure) && !o.c.fleet.wasDeleted(name) {
			out = append(out, name)
		}
	}
	return out
}

// settle frees what was in doubt once every machine has been seen.
func (o *orchestrator) settle() {
	doubt := false
	for _, q := range o.queue {
		doubt = doubt || q.limbo
	}
	for _, f := range o.tasks {
		doubt = doubt || f.limbo
	}
	if !doubt || len(o.unseen()) > 0 {
		return
	}
	for _, q := range o.queue {
		q.limbo = false
	}
	for _, name := range sortedKeys(o.tasks) {
		if f := o.tasks[name]; f.limbo {
			f.limbo = false
			o.land(name, f)
		}
	}
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
	for name, v := range o.rigs {
		// A machine that no part lists and that is out of the register was
		// deleted by an earlier leader; what it was thought to run once held two
		// tasks back for ever. The wait lets the mirror catch up.
		forgotten := v.listed != o.epoch && o.c.ledger.machines[name] == nil && o.c.now.Steady-o.epochAt > 2*o.c.times.fresh
		if forgotten || o.c.fleet.wasDeleted(name) {
			// Deleted by the cloud's word: it and its tasks are gone.
			for _, t := range sortedKeys(v.tasks) {
				o.release(t, v.tasks[t], v)
			}
			delete(o.rigs, name)
		}
	}
	o.register()
	if o.saveDue || o.c.now.Steady >= o.saveAt {
		o.saveDue, o.saveAt = false, o.c.now.Steady+o.c.times.round/4
		o.save()
	}
	if o.c.now.Steady-o.lastSort >= o.c.times.sort {
		o.lastSort = o.c.now.Steady
		o.settle()
		jobs := o.round()
		if o.c.now.Steady-o.lastRound >= o.c.times.round {
			o.lastRound = o.c.now.Steady
			o.c.fleet.want(jobs)
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

// register writes machines that have reported into the register: only those are
// given work, so that a take-over knows which machines it must see.
func (o *orchestrator) register() {
	if o.registering {
		return
	}
	var ops []wire.Op
	for _, name := range sortedKeys(o.rigs) {
		v := o.rigs[name]
		if !v.state.Up || o.c.ledger.machines[name] != nil || o.c.fleet.leaving(name) {
			continue
		}
		s := v.state
		ops = append(ops, wire.Op{Put: keyMachine + name, Value: wire.MachineRecord{Addr: s.Addr, Type: s.Type, Zone: s.Zone, Spot: s.Spot}})
		if len(ops) == o.c.set.Site.State.TxnOps {
			break
		}
	}
	if len(ops) == 0 {
		return
	}
	o.registering = true
	o.c.ledger.commit([]wire.Guard{o.c.members.leaderGuard()}, ops, func(d CommitDone) {
		wait := time.Duration(0)
		if d.Status != 200 {
			wait = o.c.times.round / 4
		}
		o.c.after(wait, func() { o.c.ledger.barrier(func(bool) { o.registering = false }) })
	})
}

// save makes completed tasks durable: jobs that are complete first, then
// progress, as far as the write budget goes.
func (o *orchestrator) save() {
	c := o.c
	rate := c.set.Site.State.WriteRPS * c.policy.ProgressShare
	o.writes = min(o.writes+(c.now.Steady-o.writesAt).Seconds()*rate, rate)
	o.writesAt = c.now.Steady
	for _, id := range sortedKeys(o.queue) {
		q := o.queue[id]
		if q.ending || q.writing || q.j.final() || q.choosing || len(q.finished) == 0 && q.j.doneN < q.j.rec.Spec.Tasks {
			continue
		}
		if q.j.rec.Spec.Kind != wire.KindService && q.j.doneN+q.undurable() >= q.j.rec.Spec.Tasks {
			o.end(q)
		}
	}
	for _, id := range sortedKeys(o.queue) {
		q := o.queue[id]
		if q.ending || q.writing || q.choosing || q.j.final() || q.saveAt == 0 || c.now.Steady < q.saveAt || o.writes < 1 {
			continue
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
		again := func(bool) { q.ending = false }
		if d.Status == 200 || d.Status == 409 {
			o.c.ledger.barrier(again)
		} else {
			o.c.after(o.c.times.round/4, func() { o.c.ledger.barrier(again) })
		}
	})
}

func (o *orchestrator) progress(q *queued) {
	sets := map[int]wire.TaskSet{}
	for i := range q.finished {
		if q.j.isDone(i) {
			delete(q.finished, i)
			continue
		}
		b := i / progressBlock
		if sets[b] == nil && b < len(q.j.done) {
			sets[b] = append(wire.TaskSet(nil), q.j.done[b]...)
		}
		s := sets[b]
		s.Add(i % progressBlock)
		sets[b] = s
	}
	q.saveAt = 0
	if len(sets) == 0 {
		return
	}
	// The guard on the job's key keeps progress from outliving the job.
	guards := []wire.Guard{o.c.members.leaderGuard(), {Key: keyJob + q.id, Version: q.j.version}}
	var ops []wire.Op
	for b := range wire.MaxTasks/progressBlock + 1 {
		if s := sets[b]; s != nil && len(ops) < o.c.set.Site.State.TxnOps {
			ops = append(ops, wire.Op{Put: progressKey(q.id, b), Value: wire.ProgressRecord{Bits: s.Text()}})
		}
	}
	o.writes -= float64(len(ops))
	q.writing = true
	o.c.ledger.commit(guards, ops, func(d CommitDone) {
		q.saveAt = o.c.now.Steady + o.c.times.lease/4
		again := func(bool) { q.writing = false }
		if d.Status == 200 || d.Status == 409 {
			o.c.ledger.barrier(again)
		} else {
			o.c.after(o.c.times.round/2, func() { o.c.ledger.barrier(again) })
		}
	})
}

// use is what each team's tasks may be taking. Every machine that has not been
// seen counts as full of the team's tasks.
func (o *orchestrator) use() (cpus, gpus map[string]float64) {
	cpus, gpus = map[string]float64{}, map[string]float64{}
	for _, f := range o.tasks {
		s := &f.job.j.rec.Spec
		cpus[s.Team] += s.CPUs
		gpus[s.Team] += s.GPUs
	}
	var uc, ug float64
	for _, name := range o.unseen() {
		mt := o.c.types()[o.c.ledger.machines[name].Type]
		if mt == nil {
			uc, ug = math.Inf(1), math.Inf(1)
			break
		}
		uc += mt.CPUs
		ug += mt.GPUs
		if v := o.rigs[name]; v != nil {
			for _, f := range v.tasks { // these are counted already
				uc -= f.job.j.rec.Spec.CPUs
				ug -= f.job.j.rec.Spec.GPUs
			}
		}
	}
	for i := range o.c.set.Site.Teams {
		t := o.c.set.Site.Teams[i].Name
		cpus[t] += max(uc, 0)
		gpus[t] += max(ug, 0)
	}
	return cpus, gpus
}

// round ranks what waits and dispatches what fits.
func (o *orchestrator) round() []*queued {
	jobs := o.rank()
	rooms := o.rooms()
	cpus, gpus := o.use()
	for _, q := range jobs {
		if q.j.rec.Spec.Kind == wire.KindGang {
			o.holdGang(q, rooms, cpus, gpus)
		} else {
			o.dispatch(q, rooms, cpus, gpus)
		}
	}
	o.releaseGangs()
	return jobs
}

// planned is a machine in the leader's plan of one round.
type planned struct {
	room
	name string
	part *partView
	view *rigView
}

// rooms is the room on every machine that can be given work.
func (o *orchestrator) rooms() []*planned {
	guessed := map[string][]*flight{}
	for _, f := range o.tasks {
		if f.open {
			guessed[f.guess] = append(guessed[f.guess], f)
		}
	}
	var out []*planned
	for _, name := range sortedKeys(o.rigs) {
		v := o.rigs[name]
		p := o.parts[v.part]
		s := &v.state
		if !s.Up || !s.Sure || s.Notice || s.Draining || v.sick || v.mt == nil || o.c.ledger.machines[name] == nil ||
			p == nil || p.session == 0 || p.synced != o.epoch || o.c.fleet.leaving(name) || o.c.fleet.parked[name] {
			continue
		}
		m := &planned{name: name, part: p, view: v, room: room{
			cpus: v.mt.CPUs, gpus: v.mt.GPUs, mem: v.mt.MemoryGB, typ: s.Type, zone: s.Zone, spot: s.Spot, images: s.Images,
		}}
		for _, f := range v.tasks {
			m.take(&f.job.j.rec.Spec)
		}
		for _, f := range guessed[name] {
			m.take(&f.job.j.rec.Spec)
		}
		out = append(out, m)
	}
	return out
}

// rank sorts the jobs that have waiting tasks: services, then what is urgent,
// then what its team's guarantee covers, then by urgency, and on the ordinary
// path by CPUs (GPUs) times predicted duration, which waiting shrinks.
func (o *orchestrator) rank() []*queued {
	o.guarantees()
	var jobs []*queued
	for _, q := range o.ranked() {
		q.reason = ""
		if q.fails > 0 && q.j.doneN+len(q.finished) == 0 {
			q.reason = q.failedWhere()
		}
		if q.waiting() > 0 {
			jobs = append(jobs, q)
		}
	}
	return jobs
}

// ranked is every unfinished job, in rank order.
func (o *orchestrator) ranked() []*queued {
	var jobs []*queued
	for _, id := range sortedKeys(o.queue) {
		q := o.queue[id]
		if !q.j.final() && !q.ending {
			q.pred = o.c.est.predict(&q.j.rec.Spec)
			jobs = append(jobs, q)
		}
	}
	key := func(q *queued) (int, float64) {
		s := &q.j.rec.Spec
		u := urgency(s.Urgency)
		band := 10 + u
		switch {
		case s.Kind == wire.KindService:
			band = u - 10
		case u <= 1:
			band = u
		case q.in:
			band = 2
		}
		size := s.CPUs
		if s.GPUs > 0 {
			size = s.GPUs
		}
		aged := 1 + max(o.c.now.Wall-q.j.rec.At, 0)/(o.c.policy.AgingLeases*o.c.times.lease.Seconds())
		return band, size * q.pred / aged
	}
	sort.SliceStable(jobs, func(a, b int) bool {
		ba, pa := key(jobs[a])
		bb, pb := key(jobs[b])
		if ba != bb {
			return ba < bb
		}
		return pa < pb
	})
	return jobs
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
	for _, id := range sortedKeys(o.queue) {
		q := o.queue[id]
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
func (o *orchestrator) dispatch(q *queued, rooms []*planned, cpus, gpus map[string]float64) {
	c := o.c
	s := &q.j.rec.Spec
	if !o.startable(q, rooms) {
		return
	}
	var fitting []*planned
	free := map[*partView]float64{}
	for _, m := range rooms {
		if m.fits(s) && allows(s, m.typ) && (s.Zone == "" || s.Zone == m.zone) && (!m.spot || s.Spot) {
			fitting = append(fitting, m)
			free[m.part] += m.cpus
		}
	}
	sort.SliceStable(fitting, func(a, b int) bool {
		x, y := fitting[a], fitting[b]
		if hx, hy := x.has(s.Image), y.has(s.Image); hx != hy {
			return hx
		}
		if x.spot != y.spot {
			return x.spot
		}
		if x.part != y.part && free[x.part] != free[y.part] {
			return free[x.part] > free[y.part]
		}
		return better(&x.room, &y.room, s.Image)
	})
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
	for i := 0; i < s.Tasks && sent < left; i++ {
		if q.flights[i] != nil || q.over(i) {
			continue
		}
		if q.hold[i] > c.now.Steady {
			held++
			continue
		}
		if o.overLimit(s, 1, cpus, gpus) {
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
			o.makeRoom(q, rooms)
			return
		}
		m.take(s)
		o.send(q, i, m, o.newAttempt(), false, cpus, gpus)
		sent++
	}
	if held > 0 {
		q.reason = q.failedWhere()
	}
}

// startable says why a job can't be dispatched yet, whatever the room.
func (o *orchestrator) startable(q *queued, rooms []*planned) bool {
	s := &q.j.rec.Spec
	if q.limbo {
		q.reason = "waits until every machine has been seen after a change of leader"
		return false
	}
	if (s.OneZone || s.Spread) && len(q.j.rec.Zones) == 0 {
		o.chooseZones(q, rooms)
		q.reason = "waits for its zone to be chosen"
		return false
	}
	return true
}

// overLimit reports whether n more tasks would take a team past its limit.
func (o *orchestrator) overLimit(s *wire.Job, n float64, cpus, gpus map[string]float64) bool {
	t := o.c.team(s.Team)
	return t != nil && (t.CPUsMax > 0 && cpus[s.Team]+n*s.CPUs > t.CPUsMax+slack ||
		t.GPUsMax > 0 && gpus[s.Team]+n*s.GPUs > t.GPUsMax+slack)
}

// newAttempt gives a number that no start has had, without a write: the epoch and
// a count within it.
func (o *orchestrator) newAttempt() uint64 {
	o.counter++
	return o.epoch<<attemptBits | o.counter
}

// send dispatches a task to the part that owns m; hold asks for that very
// machine to keep room. The team's quota is debited here.
func (o *orchestrator) send(q *queued, i int, m *planned, attempt uint64, hold bool, cpus, gpus map[string]float64) {
	s := &q.j.rec.Spec
	cpus[s.Team] += s.CPUs
	gpus[s.Team] += s.GPUs
	f := &flight{job: q, index: i, attempt: attempt, guess: m.name, part: m.part.label, since: o.c.now.Steady,
		session: m.part.session, seq: m.part.sent + 1, open: true, claims: map[string]bool{}}
	name := wire.TaskName(q.id, i)
	o.tasks[name] = f
	q.flights[i] = f
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
	for _, id := range sortedKeys(o.queue) {
		q := o.queue[id]
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
