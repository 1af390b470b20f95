package core

import (
	"slices"
	"strings"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// plan is what one round works with: the room on every machine that can be given
// work, and what each team uses. The round fills both up as it goes.
type plan struct {
	rooms   []*planned
	free    []*planned // those with any room left
	use     map[string]*usage
	guests  float64            // CPUs that guests' tasks may be taking,
	spare   float64            // of so many that they may take
	none    map[shape]bool     // no machine has room for a task like this any more
	kept    map[string]*queued // team -> whose turn it is, what gets free of the limit is kept for that
	turns   int                // for so many jobs machines are kept in this round
	least   float64            // CPUs of the smallest task that waits
	victims []victim           // what may be stopped, cheapest first
	looked  bool               // victims have been looked for
}

// planned is a machine in the leader's plan of one round.
type planned struct {
	room
	name string
	part *partView
	view *rigView
	warm bool // holds the image of the job that is looked at
	kept bool // for a job whose turn it is
	made bool // tasks are being stopped here for somebody else,
	due  int  // as urgent as this
}

func (o *orchestrator) plan() *plan {
	guessed := map[string][]*flight{}
	made := map[string]int{} // machine -> the urgency that room is made for
	for name, f := range o.opens {
		if f.open {
			guessed[f.guess] = append(guessed[f.guess], f)
		} else {
			delete(o.opens, name)
		}
	}
	for name, f := range o.asks {
		if o.tasks[name] == f {
			if due, ok := made[f.machine]; !ok || f.askedFor < due {
				made[f.machine] = f.askedFor
			}
		} else {
			delete(o.asks, name)
		}
	}
	out := &plan{use: o.use(), none: map[shape]bool{}}
	out.rooms = make([]*planned, 0, o.rigs.len())
	for name, v := range o.rigs.all() {
		s := &v.state
		if !v.takesWork() || v.parked {
			continue
		}
		p := o.parts[v.part]
		if p == nil || p.session == 0 || p.synced != o.epoch {
			continue
		}
		// The machine's own, made anew: ten thousand of them for each round were
		// most of what the leader allocated.
		m := &v.plan
		*m = planned{name: name, part: p, view: v, due: leastUrgent, room: room{
			cpus: v.mt.CPUs - v.taken.cpus, gpus: v.mt.GPUs - v.taken.gpus, mem: v.mt.MemoryGB - v.taken.mem, typ: s.Type, zone: s.Zone, spot: s.Spot, images: v.images,
		}}
		if due, ok := made[name]; ok {
			m.made, m.due = true, due
		}
		if len(guessed) > 0 {
			for _, f := range guessed[name] {
				m.take(&f.job.j.rec.Spec)
			}
		}
		out.rooms = append(out.rooms, m)
		if m.cpus > slack {
			out.free = append(out.free, m)
		}
	}
	o.leave(out)
	return out
}

// dispatch sends the waiting tasks of a job to parts with room, roomiest first.
func (o *orchestrator) dispatch(q *queued, p *plan) {
	c := o.c
	s := &q.j.rec.Spec
	if !o.startable(q, p) {
		return
	}
	if why := o.yieldsTurn(q, p); why != "" {
		q.reason = why
		return
	}
	canary := o.suspect(q)
	if canary && !o.tryOne(q) {
		return
	}
	fitting := o.fitting(q, p)
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
	full := make([]bool, max(len(q.j.rec.Zones), 1)) // zones of a spread job
	q.low = q.next(q.low)
	for i := q.low; i < s.Tasks && sent < left; i = q.next(i + 1) {
		if q.hold[i] > c.now.Steady {
			held++
			continue
		}
		if why := o.overLimit(s, 1, p); why != "" {
			q.reason = why
			if slices.ContainsFunc(fitting, func(m *planned) bool { return m.fits(s) }) {
				o.keepLimit(q, 1, p)
			} else if sent == 0 {
				o.keepRoom(q, 1, p)
			}
			return
		}
		if s.Spread && len(q.j.rec.Zones) == 1 && len(q.flights) >= (s.Tasks+1)/2 {
			q.reason = "only half of its tasks may be in one zone at a time, and it may use no other"
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
		if m == nil && s.Spread && !full[(i+1)%len(full)] {
			// Its zone is full; tasks that belong into the other one go on. The first
			// task without room once held up all, with machines idle in that zone.
			if n := i % len(full); !full[n] {
				full[n] = true
				o.rezone(q, i)
			}
			continue
		}
		if m == nil {
			o.rezone(q, i)
			if q.reason == "" {
				q.reason = o.noRoom(s)
			}
			if q.stops > 0 {
				q.reason = q.stopWhy + "; " + q.reason
			}
			if !q.begins { // a first task waits for room, nothing is stopped for it
				o.makeRoom(q, p)
			}
			if sent == 0 {
				o.keepRoom(q, 1, p)
			}
			return
		}
		if o.shuns(m, q) {
			// Its part would look for another of its machines, and give the task back.
			n := slices.IndexFunc(fitting, func(x *planned) bool {
				return x.part == m.part && !o.shuns(x, q) && x.fits(s) && mayRun(&q.j.rec, i, x.typ, x.zone, x.spot)
			})
			if n < 0 {
				q.hold[i] = c.now.Steady + c.times.round
				held++
				continue
			}
			m = fitting[n]
		}
		m.take(s)
		o.send(q, i, m, o.newAttempt(), false, p)
		sent++
		q.keptAt = 0
		if canary {
			q.blame.tries++
			q.reason = o.failedWhere(q)
			return
		}
		if q.begins {
			q.reason = "its first task has started, the others wait for their turn"
			return
		}
	}
	switch {
	case held > 0:
		q.reason = o.failedWhere(q)
	case slices.Contains(full, true) && q.reason == "":
		q.reason = o.noRoom(s)
	}
}

// fitting lists the machines with room for a task, in the order in which they
// are filled. What is full by now leaves the plan's free machines.
//
// Guards against small tasks that take, bit by bit, the room that others were stopped
// for: a guest's next ones did, and those of two less urgent jobs that were stopped in
// turn on the only machine that an urgent one could use, once a round for half an hour.
func (o *orchestrator) fitting(q *queued, p *plan) []*planned {
	s := &q.j.rec.Spec
	like := shape{s.CPUs, s.GPUs, s.MemoryGB, s.Zone, s.Spot, o.c.guests[s.Team], strings.Join(s.Types, " "), q.urg}
	if p.none[like] {
		return nil // within a round room only shrinks
	}
	var out []*planned
	room := map[*partView]float64{}
	free := p.free[:0]
	for _, m := range p.free {
		if m.cpus <= slack {
			continue
		}
		free = append(free, m)
		if m.fits(s) && mayUse(s, m.typ, m.zone, m.spot) && !(m.made && (o.c.guests[s.Team] || q.urg > m.due)) {
			m.warm = m.has(s.Image)
			out = append(out, m)
			room[m.part] += m.cpus
		}
	}
	p.free = free
	if len(out) == 0 {
		p.none[like] = true
	}
	slices.SortStableFunc(out, func(x, y *planned) int {
		switch {
		case x.warm != y.warm:
			return first(x.warm)
		case x.spot != y.spot:
			return first(x.spot)
		case x.part != y.part && room[x.part] != room[y.part]:
			return first(room[x.part] > room[y.part])
		}
		return x.compare(&y.room)
	})
	return out
}

// shuns reports whether the part of a machine puts none of a job there, since it has failed.
func (o *orchestrator) shuns(m *planned, q *queued) bool { return m.view.avoid[q.id] > o.c.now.Steady }

// shape is what decides which machines a task fits on.
type shape struct {
	cpus, gpus, mem float64
	zone            string
	spot, guest     bool
	types           string
	urgency         int
}

// first is what a comparison returns when its left side does, or does not, come first.
func first(left bool) int {
	if left {
		return -1
	}
	return 1
}

// startable says why a job can't be dispatched yet, whatever the room.
func (o *orchestrator) startable(q *queued, p *plan) bool {
	s := &q.j.rec.Spec
	if q.limbo {
		q.reason = "waits until every machine has been seen after a change of leader"
		return false
	}
	if !o.together(q) {
		q.reason = "waits until its tasks in another zone have ended"
		return false
	}
	if (s.OneZone || s.Spread) && len(q.j.rec.Zones) == 0 {
		o.chooseZones(q, p.rooms)
		q.reason = "waits for its zone to be chosen"
		return false
	}
	return true
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
	if o.c.guests[s.Team] {
		p.guests += s.CPUs
	}
	f := &flight{job: q, index: i, attempt: attempt, guess: m.name, part: m.part.label,
		session: m.part.session, seq: m.part.sent + 1, open: true, claims: map[string]bool{}}
	name := wire.TaskName(q.id, i)
	o.debit(name, f)
	o.opens[name] = f
	delete(q.hold, i)
	try := wire.TaskTry{Task: name, Attempt: f.attempt}
	if s.OneZone || s.Spread {
		try.Version, f.version = q.j.key, q.j.key
		delete(q.dry, slot(q, i))
	}
	if hold {
		try.Machine = m.name
	}
	m.part.outbox.Dispatch = append(m.part.outbox.Dispatch, try)
	m.part.dirty = true
}

func (o *orchestrator) noRoom(s *wire.Job) string {
	if why := o.c.fleet.refused(s); why != "" {
		return why
	}
	return "waits for room on a machine of its types and zone"
}
