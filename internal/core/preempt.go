package core

import (
	"math"
	"sort"
	"time"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// makeRoom stops tasks for the sake of a job that found no room: those that lose
// least, and no more than the job can use. The tasks of lower urgency go for an
// urgent job; for a job within its team's guarantee, what other teams run beyond
// theirs.
func (o *orchestrator) makeRoom(q *queued, rooms []*planned) {
	c := o.c
	s := &q.j.rec.Spec
	need := float64(q.waiting()) * s.CPUs
	type victim struct {
		f    *flight
		name string
		loss float64
	}
	var victims []victim
	for _, m := range rooms {
		if !allows(s, m.typ) || s.Zone != "" && s.Zone != m.zone || m.spot && !s.Spot {
			continue
		}
		for name, f := range m.view.tasks {
			if !o.yields(f.job, q) {
				continue
			}
			if f.asked {
				need -= f.job.j.rec.Spec.CPUs // room that is on its way
				continue
			}
			if loss, ok := o.loss(f); ok {
				victims = append(victims, victim{f, name, loss})
			}
		}
	}
	sort.Slice(victims, func(a, b int) bool {
		if victims[a].loss != victims[b].loss {
			return victims[a].loss < victims[b].loss
		}
		return victims[a].name < victims[b].name
	})
	for _, v := range victims {
		if need <= slack {
			return
		}
		p := o.parts[v.f.part]
		if p == nil || p.session == 0 {
			continue
		}
		vs := &v.f.job.j.rec.Spec
		need -= vs.CPUs
		v.f.asked = true
		v.f.job.stops++
		v.f.job.stopWhy = "tasks stopped to make room for more urgent work"
		if urgency(vs.Urgency) <= urgency(s.Urgency) {
			v.f.job.stopWhy = "tasks stopped to give another team its guarantee"
		}
		p.outbox.Stop = append(p.outbox.Stop, wire.TaskStop{Task: v.name, Why: v.f.job.stopWhy, Now: o.hurries(q)})
		p.dirty = true
		if v.f.job.stops == 1 {
			c.info("stopping tasks", "job", v.f.job.id, "for", q.id, "why", v.f.job.stopWhy)
		}
	}
}

// yields reports whether the tasks of one job may be stopped for another.
func (o *orchestrator) yields(victim, q *queued) bool {
	v, s := &victim.j.rec.Spec, &q.j.rec.Spec
	if victim == q || v.Kind == wire.KindService {
		return false
	}
	if urgency(v.Urgency) > urgency(s.Urgency) {
		return o.hurries(q) || o.promised(q)
	}
	return o.c.policy.PreemptForGuarantee && q.in && !victim.in && v.Team != s.Team
}

// hurries reports whether a job's tasks should start at once.
func (o *orchestrator) hurries(q *queued) bool { return urgency(q.j.rec.Spec.Urgency) <= 1 }

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
