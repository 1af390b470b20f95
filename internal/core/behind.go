package core

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/chalkhub/chalkhub/internal/dag"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// Jobs that need others: how they are accepted, and what the graph of package pipeline
// says of them to the mirror and the leader.

// submitBehind accepts a job that names others. looked: the mirror holds all that was
// accepted before the request came.
func (l *ledger) submitBehind(id RequestID, rec wire.JobRecord, looked bool) {
	if l.tooEarly(id, "jobs that need others") {
		return
	}
	var open []string
	cancelled := ""
	for _, name := range rec.Spec.Needs {
		j := l.accepted(name)
		switch {
		case j == nil && !looked:
			l.barrier(func(ok bool) {
				switch {
				case !ok:
					l.later(id, "the state service does not answer")
				case l.accepted(rec.Spec.ID) != nil:
					l.known(id, rec.Spec.ID)
				default:
					l.submitBehind(id, rec, true)
				}
			})
			return
		case j == nil:
			l.c.emit(Reply{ID: id, Status: 422, Body: wire.ErrorAnswer{Error: "it needs " + name + ", which was never accepted: submit that one first"}})
			return
		case j.rec.Spec.Kind == wire.KindService:
			l.c.emit(Reply{ID: id, Status: 422, Body: wire.ErrorAnswer{Error: "it needs " + name + ", which is a service and is never done"}})
			return
		case j.rec.State == wire.JobCancelled:
			cancelled = name
		case j.rec.State != wire.JobDone:
			open = append(open, name)
		}
	}
	rec.Spec.Needs = open // what is done stays done
	if cancelled != "" {
		rec = finalRecord(&job{rec: rec}, wire.JobCancelled, because(cancelled))
	}
	l.accept(id, rec, true)
}

// tooEarly has a user come again with what only this version knows, if a controller lives
// that says that it is older.
//
// Guards against a job in the hands of a version that would not even find it, since it
// passes its key over, and call it unknown.
func (l *ledger) tooEarly(id RequestID, what string) bool {
	label := l.older()
	if label != "" {
		l.later(id, "controller "+label+" still runs a version that does not know "+what+": repeat this when all are upgraded")
	}
	return label != ""
}

// older is a live controller that says that its version is older, empty: there is none.
func (l *ledger) older() string {
	for _, label := range sortedKeys(l.nodes) {
		if l.nodes[label].Level < wire.Level {
			return label
		}
	}
	return ""
}

func because(cause string) string { return "it needs " + cause + ", which was cancelled" }

// namesSaid is how many of the jobs that one waits for are named to its user.
const namesSaid = 5

func (l *ledger) waitsFor(id string) string {
	names, more := l.pipes.UnmetDependencies(id, namesSaid)
	slices.Sort(names)
	why := "waits for " + strings.Join(names, ", ")
	if more > 0 {
		why += fmt.Sprintf(" and %d more", more)
	}
	return why
}

// met tells the graph and the leader of a record of a job.
func (l *ledger) met(j *job) {
	if !j.final() {
		if s := &j.rec.Spec; len(s.Needs) > 0 {
			l.pipes.AddJob(s.ID, s.Needs, l.look)
		} else {
			l.pipes.MarkOpen(s.ID)
		}
	}
	l.c.orch.jobChanged(j)
}

// look says how a job stands, for the graph.
func (l *ledger) look(id string) (dag.State, float64) {
	if e, ok := l.ended.jobs[id]; ok {
		if e.done {
			return dag.Done, float64(e.over)
		}
		return dag.Aborted, 0
	}
	if j := l.jobs[id]; j != nil && j.version > 0 {
		return dag.Open, 0
	}
	return dag.Unknown, 0
}

// settle takes what the graph has found out since: jobs that are ready, and those that
// are aborted because of another one.
func (l *ledger) settle() {
	for _, v := range l.pipes.TakeEvents() {
		j := l.jobs[v.Job]
		if j == nil {
			continue
		}
		if !v.Aborted {
			j.ready, j.late = v.ReadyAt, l.c.members.leading
			if l.c.members.leading {
				l.c.debugf("ready", "job", v.Job, "class", j.rec.Spec.Class, "needed", j.rec.Spec.Needs)
			}
			l.c.orch.jobChanged(j)
			l.c.orch.lastSort = 0 // its first tasks start at once
			continue
		}
		// It never had a task, so there is nothing to stop, and its own record need not
		// say so: whoever reads that of the cause comes to this again.
		j.rec = finalRecord(j, wire.JobCancelled, because(v.Cause))
		l.c.orch.jobChanged(j)
		l.derived[v.Job] = j.key == 0
		l.over(j)
	}
}

// weigh has the graph work out anew how urgent jobs are for the sake of those behind them.
func (o *orchestrator) weigh() {
	c := o.c
	if o.weighedAt > 0 && c.now.Steady-o.weighedAt < c.times.round {
		return
	}
	o.weighedAt = c.now.Steady
	c.ledger.pipes.UpdatePriorities(func(id string) dag.Priority {
		w := dag.Priority{Urgency: leastUrgent, LatestFinish: math.Inf(1)}
		j := c.ledger.jobs[id]
		if j == nil || j.version == 0 {
			return w
		}
		s := &j.rec.Spec
		w.Urgency = urgency(s.Urgency)
		if s.DeadlineS > 0 {
			w.LatestFinish = j.rec.At + s.DeadlineS
		}
		w.Duration = c.est.predict(s) + c.fleet.fetches(s)
		if q := o.queue.get(id); q != nil && q.waiting() == 0 {
			w.Duration /= 2 // all that is left of it is under way
		}
		return w
	})
}

// inherits reports whether a job of a pipeline has a deadline, or one that needs it has.
func (q *queued) inherits() bool { return !math.IsInf(q.latest, 1) }

// fetches is how many seconds a job's image takes on the machine type that is the fastest
// at that.
func (f *fleet) fetches(s *wire.Job) float64 {
	rate := 0.0
	for _, t := range f.c.types() {
		if allows(s, t.Name) && holds(t, s) {
			rate = max(rate, t.FetchGBps)
		}
	}
	if rate == 0 {
		return 0
	}
	return s.ImageGB / rate
}
