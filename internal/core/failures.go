package core

import (
	"fmt"
	"time"
)

const (
	// crashLoopMachines is on how many machines tasks of a job must fail for the job to count as
	// crash-looping. Fewer may be the machines' fault.
	crashLoopMachines = 3

	// maxCanaryDoublings bounds the interval between canaries: eight worker leases, or
	// maxRetryPause if that is shorter.
	maxCanaryDoublings = 4

	// maxRetryDoublings bounds the back-off of a failed task: 64 maintenance intervals.
	maxRetryDoublings = 6
)

// failureRecord is what the leader knows of a job's failures. A fault may be the job's own, when
// its owner made a mistake, or that of the machines it was on.
type failureRecord struct {
	machines     map[string]bool // on which tasks failed
	firstAt      time.Duration   // when the first did
	canaries     int             // started so far
	nextCanaryAt time.Duration
}

// provenToRun reports whether a job has shown that it can run: a task has completed, or has been
// running for a while.
func (q *queuedJob) provenToRun(t *intervals) bool {
	return q.completedTasks() > 0 || q.longestRunning > 2*t.heartbeat
}

// isCrashLooping reports whether a job seems to fail wherever it runs. Until one of its tasks works
// it is tried by one task at a time, the canary, at growing intervals, and no machines are created
// for it; its canaries never end, since the fault may be in the machines.
//
// Guards against the hundreds of starts and image pulls that each such job took, ahead of others'
// work.
func (s *scheduler) isCrashLooping(q *queuedJob) bool {
	return len(q.failures.machines) >= crashLoopMachines && !q.provenToRun(&s.core.intervals)
}

// isUnproven reports whether one more machine would make a job crash-looping. It is tried by one
// task at a time, too, but without growing intervals.
//
// Guards against the whole of a job that fails everywhere going out once more: its first tasks had
// failed on two machines, and all of them were sent to two others at once.
func (s *scheduler) isUnproven(q *queuedJob) bool {
	return len(q.failures.machines) >= crashLoopMachines-1 && !q.provenToRun(&s.core.intervals)
}

// taskFailed backs off a failed task, and looks for a faulty machine or a faulty job.
func (s *scheduler) taskFailed(view *machineView, q *queuedJob, index int) {
	now, intervals := s.core.now.Monotonic, &s.core.intervals
	if len(q.failures.machines) == 0 {
		q.failures.firstAt = now
	}
	q.failures.machines[view.state.Name] = true
	view.failedJobs[q.id] = true
	switch {
	case s.isCrashLooping(q):
		q.failures.nextCanaryAt = now + min(intervals.workerLease/2<<min(q.failures.canaries, maxCanaryDoublings), maxRetryPause)
		delete(q.retryAt, index)
	case q.provenToRun(intervals):
		q.retryAt[index] = now + intervals.maintenance // it was the machine
	default:
		q.retryAt[index] = now + intervals.maintenance<<min(len(q.failures.machines)-1, maxRetryDoublings)
	}
	s.quarantineIfUnhealthy(view)
}

// quarantineIfUnhealthy quarantines a machine on which several jobs have failed since its last
// success, if they work elsewhere, or have had two leases to fail on a third machine and have not.
//
// Guards against blaming a machine on which two faulty jobs happen to fail first: with three such
// jobs a sound machine was quarantined in nearly every simulation.
func (s *scheduler) quarantineIfUnhealthy(view *machineView) {
	if view.unhealthy || len(view.failedJobs) < s.core.policy.QuarantineJobs {
		return
	}
	jobs := 0
	for id := range view.failedJobs {
		if q := s.queue.Get(id); q != nil && s.blamesMachine(q) {
			jobs++
		}
	}
	if jobs >= s.core.policy.QuarantineJobs {
		view.unhealthy = true
		s.core.logInfo("machine is faulty, quarantined", "machine", view.state.Name, "jobs", jobs)
	}
}

// blamesMachine reports whether a job's failures speak against the machines they happened on.
func (s *scheduler) blamesMachine(q *queuedJob) bool {
	if q.provenToRun(&s.core.intervals) {
		return true
	}
	sinceFirst := s.core.now.Monotonic - q.failures.firstAt
	return len(q.failures.machines) < crashLoopMachines && sinceFirst > 2*s.core.intervals.workerLease
}

// mayStartCanary reports whether a job that is tried by one task at a time may start the next
// one now, and notes why not.
func (s *scheduler) mayStartCanary(q *queuedJob) bool {
	if len(q.inflight) > 0 || s.core.now.Monotonic < q.failures.nextCanaryAt {
		q.reason = s.failureReason(q)
		return false
	}
	return true
}

// failureReason says why a job's failed tasks wait.
func (s *scheduler) failureReason(q *queuedJob) string {
	machines := len(q.failures.machines)
	if !s.isCrashLooping(q) {
		return fmt.Sprintf("its tasks failed on %d machines, trying again soon", machines)
	}
	if len(q.inflight) > 0 {
		return fmt.Sprintf("its tasks failed on %d machines, one is being tried again", machines)
	}
	wait := max(q.failures.nextCanaryAt-s.core.now.Monotonic, 0)
	next := time.Unix(int64(s.core.now.Wall+wait.Seconds()), 0).UTC()
	return fmt.Sprintf("its tasks failed on %d machines, one is tried again at %s", machines, next.Format("15:04:05 MST"))
}
