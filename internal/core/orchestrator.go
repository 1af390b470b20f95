package core

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// queued is a job in the leader's queue.
type queued struct {
	j        *job
	id       string
	flights  map[int]*flight
	finished map[int]bool // completed, not durable yet
	low      int          // no task below it waits
	limbo    bool         // from before this leader: its tasks may be on unseen machines
	hold     map[int]time.Duration
	blame    blame
	longest  time.Duration         // how long one of its tasks has been running, at the most
	ending   bool                  // the final state is being written
	choosing bool                  // its zones are being written
	dry      map[int]time.Duration // since when the tasks of each of them have found no room
	saveAt   time.Duration
	writing  bool
	reason   string
	said     wire.JobView
	pred     float64
	took     mean            // of its own completed tasks that this leader has seen
	band     int             // its place in the order: first the band,
	size     float64         // then the size
	in       bool            // within its team's guarantee
	turn     fairshare.Boost // its class's turn, whatever its urgency
	held     bool            // its class is short, or it has only just begun: its tasks are not stopped for others
	begins   bool            // it is to begin by now: its first task goes before its rank
	urg      int             // its urgency, or that of the most urgent job that needs it
	latest   float64         // time of day by which it is to be done for those to be in time, +Inf: no matter
	keptAt   time.Duration   // since when its limit or machines are kept for it, 0: they are not
	stopped  map[int]bool    // tasks that were stopped: what is left of them says nothing of their duration
	stops    int
	stopWhy  string
	released bool // a gang's tasks were told to start
	heldAt   time.Duration
}

func newQueued(j *job) *queued {
	return &queued{
		j: j, id: j.rec.Spec.ID, urg: urgency(j.rec.Spec.Urgency), latest: math.Inf(1), flights: map[int]*flight{}, finished: map[int]bool{},
		hold: map[int]time.Duration{}, blame: blame{on: map[string]bool{}}, stopped: map[int]bool{},
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

// orchestrator is the leader's shared queue.
type orchestrator struct {
	c            *Core
	on           bool
	epoch        uint64 // the epoch this leader acts in, 0: none yet
	epochAtStart uint64
	epochAt      time.Duration // when this leader entered the epoch
	startRev     uint64        // jobs newer than this were never dispatched before us
	againRev     uint64        // the mirror's when it was last read anew while we led
	weighedAt    time.Duration // when the weights of pipelines were last worked out
	parts        map[string]*partView
	sessions     map[uint64]string // session -> label, "" before hello
	rigs         *index[*rigView]
	queue        *index[*queued]
	tasks        map[string]*flight
	opens        map[string]*flight // those that may be open, and a few that no longer are
	asks         map[string]*flight // the same of those that are asked to stop
	used         map[string]*usage  // by team, what its tasks may be taking
	unsaved      map[string]*queued // have completed tasks that are not durable
	doubt        bool               // some job or task is in limbo
	dark         string             // a machine that was not seen yet when last looked at
	saidAt       time.Duration      // when the machines that are waited for were last named
	counter      uint64
	lastRound    time.Duration
	lastSort     time.Duration
	writes       float64 // tokens for progress writes
	writesAt     time.Duration
	saveDue      bool
	saveAt       time.Duration
	floors       []fairshare.AccountState   // how each class of each team stands, in this round
	waits        [4]*hdrhistogram.Histogram // ms from submission to running, by urgency
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
	// Guards against a leader that had to read everything anew: what came after its own
	// key was written it may have dispatched itself, before its books were gone.
	o.startRev = max(o.c.ledger.versions[keyLeader], o.againRev)
	o.weighedAt = 0
	o.clear()
	o.lastRound = 0
	o.writesAt = o.c.now.Steady
	o.writes = o.c.writeRPS() / 4
	if on {
		o.c.est.load()
		for _, id := range sortedKeys(o.c.ledger.jobs) {
			j := o.c.ledger.jobs[id]
			j.late = false // so it was to a leader before us, ourselves perhaps
			o.jobChanged(j)
		}
		o.c.fleet.start()
		o.c.fleet.recall()
	}
}

func (o *orchestrator) clear() {
	o.rigs, o.queue = newIndex[*rigView](), newIndex[*queued]()
	o.opens, o.asks = map[string]*flight{}, map[string]*flight{}
	o.tasks, o.used, o.unsaved = map[string]*flight{}, map[string]*usage{}, map[string]*queued{}
	o.doubt = false
}

// jobChanged follows the mirror.
func (o *orchestrator) jobChanged(j *job) {
	if !o.on || j.version == 0 {
		return
	}
	id := j.rec.Spec.ID
	if o.c.ledger.pipes.IsWaiting(id) {
		return // it holds nothing, and comes again once it is ready
	}
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
		q.limbo = j.version <= o.startRev && !j.late
		o.doubt = o.doubt || q.limbo
		o.queue.set(id, q)
		o.c.est.came(&j.rec.Spec)
		if s := &j.rec.Spec; o.c.debug {
			o.c.debugf("queued", "job", id, "at", j.rec.At, "team", s.Team, "class", s.Class, "tasks", s.Tasks, "cpus", s.CPUs, "guess_s", s.EstimateS)
		}
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
		v.state.Sure, v.state.Kept, v.state.Up, v.doubtAt = false, false, false, o.c.now.Steady
		v.closing = false
	}
	for name := range o.c.ledger.machines.all() {
		o.view(name)
	}
	// What was dispatched but not yet seen on a machine may be on any machine
	// of a part that is gone; it counts as running until all are seen.
	for _, f := range o.opens {
		if f.open {
			f.open, f.limbo, o.doubt = false, true, true
		}
	}
	clear(o.opens)
	for _, p := range o.parts {
		// A part may have entered this epoch, and told all, before we did.
		p.synced, p.have = 0, nil
		p.outbox, p.dirty = wire.PeerMessage{Resync: true}, true
	}
	if first {
		o.c.debugf("taking over", "machines", o.rigs.len(), "jobs", o.queue.len())
	}
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
			o.c.ledger.lots.sweep()
			o.c.ledger.long.sweep()
			o.c.ledger.sweep()
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

// round ranks what waits and dispatches what fits.
func (o *orchestrator) round() (ranked, waiting []*queued) {
	ranked = o.rank()
	p := o.plan()
	p.least = math.Inf(1)
	for _, q := range ranked {
		if q.waiting() > 0 && !o.c.outage.cancelled(q.id) {
			waiting = append(waiting, q)
			p.least = min(p.least, q.j.rec.Spec.CPUs)
		}
	}
	for _, q := range waiting {
		if q.j.rec.Spec.Kind == wire.KindGang {
			o.holdGang(q, p)
		} else {
			o.dispatch(q, p)
		}
	}
	o.releaseGangs()
	return ranked, waiting
}
