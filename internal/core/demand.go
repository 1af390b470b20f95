package core

import (
	"math"
	"slices"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// need is how many CPUs the unfinished work should have. soon is for work to be
// done as soon as a cheap machine pays; due for it to be done in time, which is
// worth an ordinary machine; firm is the share of due that may not run on cheap
// machines at all. rush is what to hire ordinary machines of a type up to: one
// helps only once it has booted, and types differ in that. busy is what tasks take
// now.
type need struct {
	soon, due, firm, busy float64
	solid                 float64 // the share of soon that may not run on cheap machines
	rush                  map[string]float64
}

// demand adds up what each unfinished job needs. Work is done in rank order, so
// what a job waits for is all that ranks before it, and what of that kind is
// still to come while it waits: due is the capacity at which the worst-off job
// is just in time.
func (f *fleet) demand(ranked []*queued) need {
	c := f.c
	d := need{rush: map[string]float64{}}
	soon := map[string]float64{}
	var ahead, firm float64
	for _, q := range ranked {
		s := &q.j.rec.Spec
		waiting := float64(max(q.waiting(), 0))
		flying := float64(len(q.flights))
		pred := q.pred
		cpus := (waiting + flying) * s.CPUs
		d.busy += flying * s.CPUs
		work := (waiting*pred + flying*pred/2) * s.CPUs
		if s.Kind == wire.KindArray {
			if c.orch.suspect(q) {
				waiting = min(waiting, 1)
				work = waiting * pred * s.CPUs
			}
			cpus = min(waiting+flying, math.Ceil(work/s.CPUs/max(f.soonest(s), pred, 1))) * s.CPUs
		}
		if t := c.team(s.Team); t != nil && t.CPUsMax > 0 {
			cpus = max(min(cpus, t.CPUsMax-soon[s.Team]), 0)
			soon[s.Team] += cpus
		}
		d.soon += cpus
		if !s.Spot {
			d.solid += cpus
		}
		if s.Kind != wire.KindArray {
			d.due += cpus // replicas run for ever: their room is never free
			if !s.Spot {
				firm += cpus
			}
			continue
		}
		ahead += work
		if !s.Spot {
			firm += min(cpus, work/f.horizon(q, pred))
		}
		// What no aim is set for is worth cheap machines only.
		if waiting > 0 && (q.in || f.aimed(s) || q.inherits()) {
			left := f.horizon(q, pred)
			need := ahead/left + f.inflow(q)
			d.due = max(d.due, need)
			for name, mt := range c.types() {
				if left >= mt.BootS*c.policy.RushBoots {
					d.rush[name] = max(d.rush[name], need)
				}
			}
		}
	}
	d.soon += f.burst
	d.due = min(d.due, d.soon)
	for name, need := range d.rush {
		d.rush[name] = min(need, d.soon)
	}
	d.firm = firm + (d.due-firm)*(1-c.policy.SpotShare)
	return d
}

// inflow is how many CPUs the work that keeps coming in, and ranks before a job,
// takes.
func (f *fleet) inflow(q *queued) float64 {
	u := q.urg
	var sum float64
	for v, x := range f.coming {
		if v < u {
			sum += x
		}
	}
	return sum
}

// arrived counts a new job's work into the inflow of its urgency.
func (f *fleet) arrived(q *queued) {
	s := &q.j.rec.Spec
	span := 8 * f.c.times.lease.Seconds()
	for _, a := range f.c.set.Site.Objectives {
		if a.Kind == "wait" && a.Class == s.Class {
			f.burst = max(f.burst, float64(s.Tasks)*s.CPUs)
			f.burstAt = f.c.now.Steady
		}
	}
	work := float64(s.Tasks) * s.CPUs * f.c.est.predict(s) / span
	f.coming[q.urg] += work
	if !f.c.guests[s.Team] {
		f.hosts += work
	}
}

// recall works out, for a new leader, what came in before it led.
func (f *fleet) recall() {
	span := 8 * f.c.times.lease.Seconds()
	f.hosts = 0
	count := func(s *wire.Job, at float64) {
		if !f.c.guests[s.Team] {
			f.hosts += float64(s.Tasks) * s.CPUs * f.c.est.predict(s) / span * math.Exp(-max(f.c.now.Wall-at, 0)/span)
		}
	}
	l := f.c.ledger
	for _, id := range sortedKeys(l.jobs) {
		if j := l.jobs[id]; j.version > 0 && !l.pipes.IsWaiting(id) {
			count(&j.rec.Spec, j.since())
		}
	}
	var recent []string
	for id, e := range l.ended.jobs {
		if f.c.now.Wall-float64(e.at) < 8*span {
			recent = append(recent, id)
		}
	}
	slices.Sort(recent)
	for _, id := range recent {
		e := l.ended.jobs[id]
		s := l.ended.kinds[e.kind]
		s.Tasks = int(e.tasks)
		count(&s, float64(e.at))
	}
}

// fade lets the inflow fall with the time since it came.
func (f *fleet) fade() {
	span := 8 * f.c.times.lease.Seconds()
	dt := (f.c.now.Steady - f.fadedAt).Seconds()
	f.fadedAt = f.c.now.Steady
	f.burst *= math.Exp(-dt / span)
	f.hosts *= math.Exp(-dt / span)
	if f.c.now.Steady-f.burstAt > 3*f.c.times.lease {
		f.burst = 0
	}
	for u, x := range f.coming {
		f.coming[u] = x * math.Exp(-dt/span)
	}
}

// soonest is the shortest time in which queued work is worth a cheap machine:
// its boot is paid as well.
func (f *fleet) soonest(s *wire.Job) float64 {
	boot := math.Inf(1)
	for _, t := range f.c.types() {
		if allows(s, t.Name) && holds(t, s) {
			boot = min(boot, t.BootS)
		}
	}
	if math.IsInf(boot, 1) {
		return 0
	}
	return boot * f.c.policy.SoonBoots
}

// horizon is the time in which a job's queued work must be done to be in time.
// Once it is too late for that, a cheap machine is all that it is worth.
func (f *fleet) horizon(q *queued, pred float64) float64 {
	s := &q.j.rec.Spec
	age := max(f.c.now.Wall-q.j.since(), 0)
	patient := 10 * f.c.times.lease.Seconds()
	h := math.Inf(1)
	for _, a := range f.c.set.Site.Objectives {
		if a.Kind == "guarantee" && q.in {
			// Guaranteed work that waits will start late whatever is hired; it
			// should not wait much longer than a boot.
			h = min(h, 2*f.soonest(s))
		}
		if a.Class != s.Class {
			continue
		}
		left := math.Inf(1)
		switch a.Kind {
		case "finished":
			left = a.WithinS - age
		case "deadline":
			if s.DeadlineS > 0 {
				left = s.DeadlineS*max(a.Times, 1) - (f.c.now.Wall - q.j.rec.At)
			}
		case "wait":
			left = pred
		}
		// An aim that allows more misses is worth less haste.
		if left > 0 {
			h = min(h, left*min(f.c.policy.HorizonShare+haste*(1-a.Share), 1))
		}
	}
	// What others need has what is left before the last of them is late.
	if left := q.latest - f.c.now.Wall; left > 0 && q.inherits() {
		h = min(h, left*f.c.policy.HorizonShare)
	}
	if math.IsInf(h, 1) {
		h = patient
	}
	return max(h, f.soonest(s))
}

// aimed reports whether the users have set an aim for a job's class.
func (f *fleet) aimed(s *wire.Job) bool {
	return slices.ContainsFunc(f.c.set.Site.Objectives, func(a config.Objective) bool { return a.Class == s.Class })
}

// haste is how much of a job's time one miss in a hundred gives back.
const haste = 6
