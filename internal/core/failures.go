package core

import (
	"fmt"
	"time"
)

// failed spaces retries out and looks for a faulty machine or a faulty job.
func (o *orchestrator) failed(v *rigView, q *queued, index int) {
	q.fails++
	q.failedOn[v.state.Name] = true
	v.errors[q.id] = true
	wait := o.c.times.round << min(len(q.failedOn)-1, 6)
	if len(q.failedOn) >= 3 && len(q.finished)+q.j.doneN == 0 {
		wait = min(o.c.times.lease*time.Duration(len(q.failedOn)), 8*o.c.times.lease)
	}
	q.hold[index] = o.c.now.Steady + wait
	jobs := 0
	for id := range v.errors {
		if x := o.queue.get(id); x != nil && len(x.failedOn) <= 2 {
			jobs++
		}
	}
	if jobs >= o.c.policy.QuarantineJobs && !v.sick {
		v.sick = true
		o.c.info("machine is faulty, quarantined", "machine", v.state.Name, "jobs", jobs)
	}
}

func (q *queued) failedWhere() string {
	return fmt.Sprintf("its tasks failed on %d machines, trying again later", len(q.failedOn))
}
