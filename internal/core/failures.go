package core

import (
	"fmt"
	"time"
)

// blame is what the leader knows of a job's failures. A fault may be the job's own,
// when its user made a mistake, or that of the machines it was on.
type blame struct {
	on    map[string]bool // machines on which tasks failed
	since time.Duration   // when the first did
	tries int             // canaries sent so far
	next  time.Duration   // when the next may be
}

// works reports whether a job has shown that it can run: a task has completed, or
// has been running for a while.
func (q *queued) works(t *times) bool {
	return q.j.doneN+len(q.finished) > 0 || q.longest > 2*t.report
}

// suspect reports whether a job seems to fail wherever it runs. Until one of its
// tasks works it is tried by one task at a time, at growing intervals, and is worth
// no machines; its tries never end, since the mistake may be in the machines.
//
// Guards against the hundreds of starts and fetches that each such job took, ahead
// of others' work.
func (o *orchestrator) suspect(q *queued) bool {
	return len(q.blame.on) >= 3 && !q.works(&o.c.times)
}

// failed spaces retries out and looks for a faulty machine or a faulty job.
func (o *orchestrator) failed(v *rigView, q *queued, index int) {
	t := &o.c.times
	if len(q.blame.on) == 0 {
		q.blame.since = o.c.now.Steady
	}
	q.blame.on[v.state.Name] = true
	v.errors[q.id] = true
	switch {
	case o.suspect(q):
		q.blame.next = o.c.now.Steady + t.lease/2<<min(q.blame.tries, 4)
		delete(q.hold, index)
	case q.works(t):
		q.hold[index] = o.c.now.Steady + t.round // it was the machine
	default:
		q.hold[index] = o.c.now.Steady + t.round<<min(len(q.blame.on)-1, 6)
	}
	o.judge(v)
}

// judge quarantines a machine on which several jobs have failed since its last success, if they
// work elsewhere, or have had two leases to fail on a third machine and have not.
//
// Guards against blaming a machine on which two mistaken jobs happen to fail first: in stories
// of three such jobs a sound machine was quarantined with nearly every seed.
func (o *orchestrator) judge(v *rigView) {
	if v.sick || len(v.errors) < o.c.policy.QuarantineJobs {
		return
	}
	jobs := 0
	for id := range v.errors {
		if x := o.queue.get(id); x != nil && (x.works(&o.c.times) || len(x.blame.on) <= 2 && o.c.now.Steady-x.blame.since > 2*o.c.times.lease) {
			jobs++
		}
	}
	if jobs >= o.c.policy.QuarantineJobs {
		v.sick = true
		o.c.info("machine is faulty, quarantined", "machine", v.state.Name, "jobs", jobs)
	}
}

// tryOne reports whether a suspect job may send its next canary now.
func (o *orchestrator) tryOne(q *queued) bool {
	if len(q.flights) > 0 || o.c.now.Steady < q.blame.next {
		q.reason = o.failedWhere(q)
		return false
	}
	return true
}

func (o *orchestrator) failedWhere(q *queued) string {
	n := len(q.blame.on)
	if !o.suspect(q) {
		return fmt.Sprintf("its tasks failed on %d machines, trying again soon", n)
	}
	if len(q.flights) > 0 {
		return fmt.Sprintf("its tasks failed on %d machines, one is being tried again", n)
	}
	next := o.c.now.Wall + max(q.blame.next-o.c.now.Steady, 0).Seconds()
	return fmt.Sprintf("its tasks failed on %d machines, one is tried again at %s", n, time.Unix(int64(next), 0).UTC().Format("15:04:05 MST"))
}
