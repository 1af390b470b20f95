package core

import (
	"fmt"
	"time"
)

// failureRecord is what the leader knows of a job's failures. A fault may be the job's own,
// when its user made a mistake, or that of the machines it was on.
type failureRecord struct {
	machines     map[string]bool // machines on which tasks failed
	firstAt      time.Duration   // when the first did
	canaries     int             // canaries sent so far
	nextCanaryAt time.Duration   // when the next may be
}

// provenToRun reports whether a job has shown that it can run: a task has completed, or
// has been running for a while.
func (q *queuedJob) provenToRun(t *intervals) bool {
	return q.entry.doneCount+len(q.unsavedTasks) > 0 || q.longestRunning > 2*t.heartbeat
}

// isCrashLooping reports whether a job seems to fail wherever it runs. Until one of its
// tasks works it is tried by one task at a time, at growing intervals, and is worth
// no machines; its tries never end, since the mistake may be in the machines.
//
// Guards against the hundreds of starts and fetches that each such job took, ahead
// of others' work.
func (o *scheduler) isCrashLooping(q *queuedJob) bool {
	return len(q.failures.machines) >= 3 && !q.provenToRun(&o.core.intervals)
}

// taskFailed spaces retries out and looks for a faulty machine or a faulty job.
func (o *scheduler) taskFailed(v *machineView, q *queuedJob, index int) {
	t := &o.core.intervals
	if len(q.failures.machines) == 0 {
		q.failures.firstAt = o.core.now.Monotonic
	}
	q.failures.machines[v.state.Name] = true
	v.failedJobs[q.id] = true
	switch {
	case o.isCrashLooping(q):
		q.failures.nextCanaryAt = o.core.now.Monotonic + t.workerLease/2<<min(q.failures.canaries, 4)
		delete(q.retryAt, index)
	case q.provenToRun(t):
		q.retryAt[index] = o.core.now.Monotonic + t.maintenance // it was the machine
	default:
		q.retryAt[index] = o.core.now.Monotonic + t.maintenance<<min(len(q.failures.machines)-1, 6)
	}
	o.quarantineIfFaulty(v)
}

// quarantineIfFaulty quarantines a machine on which several jobs have failed since its last success, if they
// work elsewhere, or have had two leases to fail on a third machine and have not.
//
// Guards against blaming a machine on which two mistaken jobs happen to fail first: in stories
// of three such jobs a sound machine was quarantined with nearly every seed.
func (o *scheduler) quarantineIfFaulty(v *machineView) {
	if v.unhealthy || len(v.failedJobs) < o.core.policy.QuarantineJobs {
		return
	}
	jobs := 0
	for id := range v.failedJobs {
		if x := o.queue.get(id); x != nil && (x.provenToRun(&o.core.intervals) || len(x.failures.machines) <= 2 && o.core.now.Monotonic-x.failures.firstAt > 2*o.core.intervals.workerLease) {
			jobs++
		}
	}
	if jobs >= o.core.policy.QuarantineJobs {
		v.unhealthy = true
		o.core.logInfo("machine is faulty, quarantined", "machine", v.state.Name, "jobs", jobs)
	}
}

// mayStartCanary reports whether a suspect job may send its next canary now.
func (o *scheduler) mayStartCanary(q *queuedJob) bool {
	if len(q.inflight) > 0 || o.core.now.Monotonic < q.failures.nextCanaryAt {
		q.reason = o.failureReason(q)
		return false
	}
	return true
}

func (o *scheduler) failureReason(q *queuedJob) string {
	n := len(q.failures.machines)
	if !o.isCrashLooping(q) {
		return fmt.Sprintf("its tasks failed on %d machines, trying again soon", n)
	}
	if len(q.inflight) > 0 {
		return fmt.Sprintf("its tasks failed on %d machines, one is being tried again", n)
	}
	next := o.core.now.Wall + max(q.failures.nextCanaryAt-o.core.now.Monotonic, 0).Seconds()
	return fmt.Sprintf("its tasks failed on %d machines, one is tried again at %s", n, time.Unix(int64(next), 0).UTC().Format("15:04:05 MST"))
}
