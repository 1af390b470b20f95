package core

import (
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// holdGang has room held for all tasks of a gang, if there is room for all. A
// gang that lost a task ends as a whole on its workers, so it is held anew only
// when none of its tasks is left anywhere.
func (o *orchestrator) holdGang(q *queued, p *plan) {
	s := &q.j.rec.Spec
	if !o.startable(q, p) {
		return
	}
	if len(q.flights) > 0 {
		q.reason = "waits until the rest of its last start has ended"
		return
	}
	if o.suspect(q) && !o.tryOne(q) {
		return
	}
	if why := o.yieldsTurn(q, p); why != "" {
		q.reason = why
		return
	}
	n := q.waiting()
	over := o.overLimit(s, float64(n), p)
	if over != "" && q.turn == fairshare.NoBoost {
		q.reason = over
		return
	}
	chosen := map[int]*planned{}
	trial := make([]planned, len(p.rooms))
	for i, m := range p.rooms {
		trial[i] = *m
	}
	for i := range s.Tasks {
		if q.over(i) {
			continue
		}
		if q.hold[i] > o.c.now.Steady {
			q.reason = o.failedWhere(q)
			return
		}
		best := -1
		for k := range trial {
			m := &trial[k]
			if m.fits(s) && mayRun(&q.j.rec, i, m.typ, m.zone, m.spot) && (best < 0 || better(&m.room, &trial[best].room, s.Image)) {
				best = k
			}
		}
		if best < 0 {
			q.reason = "waits for room for all its tasks at once"
			o.rezone(q, i)
			o.keepRoom(q, n, p)
			return
		}
		trial[best].take(s)
		chosen[i] = p.rooms[best]
	}
	if over != "" {
		q.reason = over
		o.keepLimit(q, n, p)
		return
	}
	q.keptAt = 0
	// The workers tell a gang's start from an earlier one by the attempt, so all
	// of its tasks share one: with a number each they waited for one another for
	// ever.
	attempt := o.newAttempt()
	for i := range s.Tasks {
		if m := chosen[i]; m != nil {
			m.take(s)
			o.send(q, i, m, attempt, true, p)
		}
	}
	q.released, q.heldAt = false, o.c.now.Steady
	if o.suspect(q) {
		q.blame.tries++
	}
}

// releaseGangs starts the gangs whose room is held in full, and lets go of those
// that did not get it in time.
func (o *orchestrator) releaseGangs() {
	for id, q := range o.queue.all() {
		if q.j.rec.Spec.Kind != wire.KindGang || q.released || len(q.flights) == 0 || q.j.final() {
			continue
		}
		held := 0
		for _, f := range q.flights {
			switch {
			case f.limbo || f.open || f.machine == "":
			case f.state == wire.StateHeld:
				held++
			default:
				q.released = true // an earlier leader has started it
			}
		}
		if q.released {
			continue
		}
		late := o.c.now.Steady-q.heldAt > config.Seconds(o.c.set.Site.Workers.GangWaitS)/4
		all := held == len(q.flights) && q.waiting() == 0
		if !all && !late {
			continue
		}
		q.released = all
		for _, i := range sortedKeys(q.flights) {
			f := q.flights[i]
			p := o.parts[f.part]
			if p == nil || f.state != wire.StateHeld {
				continue
			}
			try := wire.TaskTry{Task: wire.TaskName(id, i), Attempt: f.attempt, Machine: f.machine}
			if all {
				p.outbox.Release = append(p.outbox.Release, try)
			} else {
				p.outbox.Drop = append(p.outbox.Drop, try)
			}
			p.dirty = true
		}
	}
}
