package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// victim is a task that may be stopped for others at a small loss.
type victim struct {
	f    *flight
	name string
	m    *planned
	loss float64
}

// makeRoom stops tasks for the sake of a job that found no room: those that lose
// least, and no more than the job can use. The tasks of lower urgency go for an
// urgent job; for a job within its team's guarantee, what other teams run beyond
// theirs.
func (o *orchestrator) makeRoom(q *queued, p *plan) {
	c := o.c
	s := &q.j.rec.Spec
	may := o.hurries(q) || o.promised(q) || q.in && (c.policy.PreemptForGuarantee || len(c.guests) > 0)
	if !may {
		return
	}
	if !p.looked {
		p.looked = true
		o.findVictims(p)
	}
	need := q.waiting()
	if o.suspect(q) {
		need = 1 // the rest of it would only fail
	}
	rooms := map[*planned]*making{}
	mayUse := q.usable()
	usable := func(v *victim) bool {
		return mayUse(v.m.typ, v.m.zone, v.m.spot) && !o.shuns(v.m, q) && o.yields(v.f.job, q)
	}
	room := func(v *victim) *making {
		if rooms[v.m] == nil {
			rooms[v.m] = &making{room: v.m.room}
		}
		return rooms[v.m]
	}
	// What was asked for already is room on its way, whoever it was asked for:
	// counting it for one job alone stopped far more than was needed.
	for i := range p.victims {
		if v := &p.victims[i]; v.f.asked && usable(v) {
			need -= room(v).gain(&v.f.job.j.rec.Spec, s)
		}
	}
	// Room counts machine by machine: the four smallest losses on four machines
	// made no room for a task of four CPUs, and thousands were stopped in vain.
	var found []*making
	for i := range p.victims {
		v := &p.victims[i]
		if v.f.asked || !usable(v) {
			continue
		}
		r := room(v)
		r.stop = append(r.stop, v)
		r.loss += v.loss
		if n := r.gain(&v.f.job.j.rec.Spec, s); n > 0 {
			found = append(found, &making{stop: r.stop, loss: r.loss, tasks: n})
			r.stop, r.loss = nil, 0
		}
	}
	slices.SortStableFunc(found, func(a, b *making) int {
		return cmp.Compare(a.loss/float64(a.tasks), b.loss/float64(b.tasks))
	})
	for _, r := range found {
		if need <= 0 {
			return
		}
		need -= r.tasks
		for _, v := range r.stop {
			o.stop(v, q)
		}
	}
}

// making is room that is made on a machine: whose tasks are to be stopped, and for
// how many others that makes room.
type making struct {
	room
	stop  []*victim
	loss  float64
	tasks int
}

// gain adds the room of a task that is stopped and says how many more of s now fit.
func (m *making) gain(stopped, s *wire.Job) (n int) {
	for m.give(stopped); m.fits(s); n++ {
		m.take(s)
	}
	return n
}

// findVictims lists what may be stopped in this round.
func (o *orchestrator) findVictims(p *plan) {
	for _, m := range p.rooms {
		if m.part.session == 0 {
			continue
		}
		for name, f := range m.view.tasks {
			vs := &f.job.j.rec.Spec
			loss, ok := o.loss(f)
			if (ok || f.asked) && vs.Kind != wire.KindService {
				p.victims = append(p.victims, victim{f, name, m, loss})
			}
		}
	}
	slices.SortFunc(p.victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.name, b.name))
	})
}

// stop asks for a task to be stopped for the sake of a job.
func (o *orchestrator) stop(v *victim, q *queued) {
	why := "tasks stopped to make room for more urgent work"
	if v.f.job.urg <= q.urg {
		why = "tasks stopped to give another team its guarantee"
	}
	o.ask(v.m.part, v.f, wire.TaskStop{Task: v.name, Machine: v.m.name, Why: why, Now: o.hurries(q)}, q.urg)
	v.m.made, v.m.due = true, min(v.f.askedFor, v.m.due)
}

// ask has a part stop a task. Until it has, work that is less urgent than due does not
// take its room.
func (o *orchestrator) ask(p *partView, f *flight, stop wire.TaskStop, due int) {
	f.asked, f.askedFor = true, due
	o.asks[stop.Task] = f
	f.job.stops++
	f.job.stopWhy = stop.Why
	p.outbox.Stop = append(p.outbox.Stop, stop)
	p.dirty = true
	if f.job.stops == 1 {
		o.c.info("stopping tasks", "job", f.job.id, "why", stop.Why)
	}
}

// yields reports whether the tasks of one job may be stopped for another.
func (o *orchestrator) yields(victim, q *queued) bool {
	v := &victim.j.rec.Spec
	if victim == q || v.Kind == wire.KindService || victim.held || !q.before(victim) {
		return false
	}
	if victim.urg > q.urg {
		// Never those that may stop its own tasks in turn.
		return (o.hurries(q) || o.promised(q)) && !o.reclaims(victim, q)
	}
	return o.reclaims(q, victim)
}

// reclaims reports whether a job may have tasks of another team stopped for the sake of
// its own team's guarantee.
func (o *orchestrator) reclaims(q, victim *queued) bool {
	v, s := &victim.j.rec.Spec, &q.j.rec.Spec
	if !q.in || victim.in || v.Team == s.Team {
		return false
	}
	// A guest's task that saves loses little, and a guest was promised nothing.
	return o.c.policy.PreemptForGuarantee || o.c.guests[v.Team] && v.CheckpointS > 0
}

// hurries reports whether a job's tasks should start at once.
func (o *orchestrator) hurries(q *queued) bool { return q.urg <= 1 }

// promised reports whether a job has a deadline that its class is held to.
func (o *orchestrator) promised(q *queued) bool {
	s := &q.j.rec.Spec
	for _, a := range o.c.set.Site.Objectives {
		if a.Class == s.Class && a.Kind == "deadline" {
			return s.DeadlineS > 0
		}
	}
	return false
}

// loss is how many seconds of work a task loses if it is stopped now; not ok if
// that is too much to ask.
func (o *orchestrator) loss(f *flight) (float64, bool) {
	if f.runAt == 0 {
		return 0, f.machine != "" && f.state == wire.TaskFetching
	}
	ran := (o.c.now.Steady - f.runAt).Seconds()
	s := &f.job.j.rec.Spec
	if s.CheckpointS > 0 {
		ran = math.Mod(ran, s.CheckpointS)
	}
	return ran * s.CPUs, time.Duration(ran*float64(time.Second)) <= scaled(o.c.times.report, o.c.policy.PreemptReports)
}
