package core

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// floorRules turns the operators' choices into spans: what was served is remembered for
// eight times the patience, and within a class waiting tells four times as slowly as in
// the ordinary order, since half of the jobs counts.
func (c *Core) floorRules() fairshare.Rules {
	patience := c.policy.FloorLeases * c.times.lease.Seconds()
	return fairshare.Rules{MinShare: c.policy.FloorShare, OverdueAfter: patience, DecayTime: 8 * patience,
		AgingTime: 4 * c.policy.AgingLeases * c.times.lease.Seconds()}
}

// Where a job stands that has its class's turn: behind what a guarantee covers and before
// all ordinary work; or, if that did not help, before urgent work too, and behind services
// only.
const (
	bandBehind = 3
	bandAhead  = -1
)

// turns lets the jobs of classes that were served too little go first.
func (o *orchestrator) turns(ranked []*queued) {
	jobs := make([]fairshare.Job, 0, len(ranked))
	for _, q := range ranked {
		s := &q.j.rec.Spec
		service := s.Kind == wire.KindService
		left := float64(max(s.Tasks-q.j.doneN-len(q.finished), 0))
		jobs = append(jobs, fairshare.Job{
			Account:       fairshare.Account{Team: s.Team, Class: s.Class},
			Age:           max(o.c.now.Wall-q.j.since(), 0),
			StartedShare:  1 - float64(max(q.waiting(), 0))/float64(s.Tasks),
			RemainingWork: left * width(s) * o.c.est.own(q),
			CPUsInUse:     float64(len(q.flights)) * s.CPUs,
			OutranksBoost: q.band < bandBehind && !service, // services never end, whoever else waits
			Ineligible:    o.suspect(q) || service,
		})
	}
	o.floors = o.c.ledger.ended.books.Evaluate(o.c.now.Wall, jobs, &o.c.floors)
	if o.c.debug {
		for i := range o.floors {
			if x := &o.floors[i]; x.Boost != fairshare.NoBoost {
				o.c.debugf("turn", "team", x.Team, "class", x.Class, "served", x.Served, "overdue", x.Overdue, "late", x.LongOverdue, "owed", x.Deficit)
			}
		}
	}
	due := map[fairshare.Account]bool{}
	for i := range o.floors {
		due[o.floors[i].Account] = o.floors[i].Boost != fairshare.NoBoost
	}
	var large map[*queued]bool // looked for only where somebody has waited for long enough
	if from := o.beginsFrom(); slices.ContainsFunc(jobs, func(j fairshare.Job) bool { return j.Age >= from }) {
		large = largest(ranked, due)
	}
	for i, q := range ranked {
		j := &jobs[i]
		q.held, q.begins = j.Protected, false
		switch q.turn = j.Boost; {
		case j.Boost == fairshare.BoostBelowUrgent && q.band > bandBehind:
			q.band, q.size = bandBehind, float64(j.BoostRank)
		case j.Boost == fairshare.BoostAboveUrgent && q.band > bandAhead:
			q.band, q.size = bandAhead, float64(j.BoostRank)
		}
		if large[q] {
			o.begin(q, j.Age)
		}
	}
}

// largest tells which of the jobs that are not over are the largest of their class of a team,
// by tasks: a quarter of them, or an eighth where the class is due. A class whose jobs are alike
// has none.
func largest(jobs []*queued, due map[fairshare.Account]bool) map[*queued]bool {
	open := map[fairshare.Account][]*queued{}
	for _, q := range jobs {
		a := fairshare.Account{Team: q.j.rec.Spec.Team, Class: q.j.rec.Spec.Class}
		open[a] = append(open[a], q)
	}
	out := map[*queued]bool{}
	for a, list := range open {
		slices.SortStableFunc(list, func(x, y *queued) int { return cmp.Compare(y.j.rec.Spec.Tasks, x.j.rec.Spec.Tasks) })
		part := 4
		if due[a] {
			part = 8
		}
		for _, q := range list[:(len(list)+part-1)/part] {
			out[q] = q.j.rec.Spec.Tasks > list[len(list)/2].j.rec.Spec.Tasks
		}
	}
	return out
}

// beginsFrom is how long a large job waits, in seconds, until its first task goes ahead.
func (o *orchestrator) beginsFrom() float64 {
	if o.c.policy.BeginS <= 0 {
		return math.Inf(1)
	}
	return o.c.policy.BeginS * 2 / 3
}

// begin lets the first task of an array that is among the largest of its class go before all but
// services once its job has waited for two thirds of the time in which it is to begin. It is one
// task; the rest has its ordinary rank, and the first is not stopped for others.
//
// Guards against the largest jobs of a class that never begin, since smaller ones of the same
// class come all the time: counted by jobs the class is served well. Where it is due, jobs that
// are completed count for more than jobs that are begun.
func (o *orchestrator) begin(q *queued, age float64) {
	if age < o.beginsFrom() || q.j.rec.Spec.Kind != wire.KindArray || q.j.doneN+len(q.finished) > 0 || o.suspect(q) {
		return
	}
	q.held = q.held || len(q.flights) == 1
	if len(q.flights) == 0 && q.band > bandAhead {
		q.begins, q.band, q.size = true, bandAhead, -age
	}
}

// yieldsTurn says why a job starts nothing in this round although it could: its team's
// limit is kept for another class.
func (o *orchestrator) yieldsTurn(q *queued, p *plan) string {
	if by := p.kept[q.j.rec.Spec.Team]; by != nil {
		return fmt.Sprintf("team %s is at its limit, and what is free next is for %s, of which too little was served", q.j.rec.Spec.Team, by.j.rec.Spec.Class)
	}
	return ""
}

// keepLimit keeps what gets free of a team's limit for n tasks of a job whose turn it
// is, if that can ever be enough.
//
// Guards against tasks of four CPUs that never start because each CPU that gets free goes
// to a task of one, and against gangs that would need half of the limit at once.
func (o *orchestrator) keepLimit(q *queued, n int, p *plan) {
	s := &q.j.rec.Spec
	t := o.c.team(s.Team)
	if t == nil || !o.keeps(q, n, p) {
		return
	}
	need := usage{}
	need.add(s, float64(n))
	for _, x := range o.queue.all() { // what endless services use never gets free
		if xs := &x.j.rec.Spec; xs.Kind == wire.KindService && xs.Team == s.Team {
			need.add(xs, float64(len(x.flights)))
		}
	}
	if t.CPUsMax > 0 && need.cpus > t.CPUsMax+slack || t.GPUsMax > 0 && need.gpus > t.GPUsMax+slack {
		return
	}
	if p.kept == nil {
		p.kept = map[string]*queued{}
	}
	p.kept[s.Team] = q
}

// turnsKept bounds for how many jobs machines are kept in one round.
const turnsKept = 4

// keepRoom keeps the machines with most room from the jobs that rank behind one whose
// turn it is, as many as n of its tasks need once they are empty.
//
// Guards against a task that needs a whole machine and never starts because there is
// always something small to fill each of them up with.
func (o *orchestrator) keepRoom(q *queued, n int, p *plan) {
	if p.turns >= turnsKept || !o.keeps(q, n, p) {
		return
	}
	p.turns++
	s := &q.j.rec.Spec
	var usable []*planned
	mayUse := q.usable()
	for _, m := range p.rooms {
		if mayUse(m.typ, m.zone, m.spot) && !o.shuns(m, q) && !m.kept && o.emptied(m).fits(s) {
			usable = append(usable, m)
		}
	}
	slices.SortFunc(usable, func(x, y *planned) int {
		return cmp.Or(cmp.Compare(y.cpus, x.cpus), cmp.Compare(x.name, y.name))
	})
	for i, m := range usable {
		for r := o.emptied(m); r.fits(s) && n > 0; n-- {
			r.take(s)
		}
		if n == 0 {
			for _, m := range usable[:i+1] {
				m.kept, m.cpus = true, 0
			}
			return
		}
	}
}

// emptied is the room that a machine will have once all but services have left it.
func (o *orchestrator) emptied(m *planned) *room {
	r := m.room
	r.cpus, r.gpus, r.mem = m.view.mt.CPUs, m.view.mt.GPUs, m.view.mt.MemoryGB
	for _, f := range m.view.tasks {
		if s := &f.job.j.rec.Spec; s.Kind == wire.KindService {
			r.take(s)
		}
	}
	return &r
}

// keeps reports whether anything is to be kept for n tasks of a job in this round: if it
// is their turn, or that of its first, and if they need more at once than any other task
// that waits, since whatever gets free is offered to them first. They have it kept for as
// long as a patience lasts, and after as long a pause again, so that a turn that can't be
// taken for a reason nobody foresaw holds up the others for half of the time at most.
func (o *orchestrator) keeps(q *queued, n int, p *plan) bool {
	if q.turn == fairshare.NoBoost && !q.begins || float64(n)*q.j.rec.Spec.CPUs <= p.least+slack {
		return false
	}
	patience := config.Seconds(o.c.floors.OverdueAfter)
	if q.keptAt == 0 || o.c.now.Steady-q.keptAt > 2*patience {
		q.keptAt = max(o.c.now.Steady, time.Nanosecond)
	}
	return o.c.now.Steady-q.keptAt <= patience
}
