package core

import (
	"cmp"
	"math"
	"slices"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// rank sorts the unfinished jobs: services, then what is urgent, then what its
// team's guarantee covers, then by urgency, and on the ordinary path by CPUs
// (GPUs) times predicted duration of what is left of the job, which waiting shrinks.
func (o *orchestrator) rank() []*queued {
	o.guarantees()
	o.c.est.refresh()
	o.weigh()
	var jobs []*queued
	for _, q := range o.queue.all() {
		if q.j.final() || q.ending {
			continue
		}
		q.reason = ""
		if len(q.blame.on) > 0 && !q.works(&o.c.times) {
			q.reason = o.failedWhere(q)
		}
		// A task that has outlived the prediction twice over disproves it: a name
		// without history once took the mean of its team's tiny tasks, so that
		// hours of work seemed to be worth no machine.
		q.pred = o.c.est.predict(&q.j.rec.Spec)
		if ran := q.longest.Seconds(); ran > 2*q.pred && q.j.rec.Spec.Kind != wire.KindService {
			q.pred = ran
		}
		q.urg, q.latest = urgency(q.j.rec.Spec.Urgency), math.Inf(1)
		if w, ok := o.c.ledger.pipes.Priority(q.id); ok {
			q.urg, q.latest = min(q.urg, w.Urgency), w.LatestFinish
		}
		q.band, q.size = o.order(q)
		jobs = append(jobs, q)
	}
	o.turns(jobs)
	slices.SortStableFunc(jobs, (*queued).compare)
	return jobs
}

// compare orders jobs by their rank, the first to start first.
func (q *queued) compare(b *queued) int {
	return cmp.Or(cmp.Compare(q.band, b.band), cmp.Compare(q.size, b.size))
}

// before reports whether a job takes free room before another one does.
//
// Guards against stopping tasks whose job then takes the room itself: one in its
// guarantee ranks before another's promised work, was stopped for that although it was
// less urgent, and started its next tasks there, once a round for half an hour.
func (q *queued) before(b *queued) bool { return q.compare(b) < 0 }

// order is a job's band, and its size within that. A guest's work comes after what a
// guarantee covers, however urgent it is: it took the room that its own tasks had been
// stopped for, and was stopped again, once a round.
func (o *orchestrator) order(q *queued) (band int, size float64) {
	s := &q.j.rec.Spec
	u := q.urg
	switch {
	case s.Kind == wire.KindService:
		band = u - 10
	case u <= 1 && !o.c.guests[s.Team]:
		band = u
	case q.in:
		band = 2
	default:
		band = 10 + u
	}
	size = width(s)
	aged := 1 + max(o.c.now.Wall-q.j.since(), 0)/(o.c.policy.AgingLeases*o.c.times.lease.Seconds())
	if s.Kind != wire.KindService {
		// All that is left of a job, as the paper counts all GPUs of a job. By a
		// task's product alone the jobs of one name tie, their age decides, and
		// under load they all wait as long as the last one may.
		size *= float64(max(s.Tasks-q.j.doneN-len(q.finished), 1))
	}
	return band, size * q.pred / aged
}

// width is what a task counts with in the paper's product.
func width(s *wire.Job) float64 {
	if s.GPUs > 0 {
		return s.GPUs
	}
	return s.CPUs
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
	return leastUrgent
}

const leastUrgent = 3
