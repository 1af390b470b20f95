package core

import (
	"fmt"
	"time"
)

const (
	// crashLoopMachines is the number of machines on which tasks of a job must fail for the job to
	// count as crash-looping. Failures on fewer machines may be the fault of the machines.
	crashLoopMachines = 3

	// maxCanaryDoublings limits the interval between canaries to eight worker leases, or to
	// maxRetryPause if that is shorter.
	maxCanaryDoublings = 4

	// maxRetryDoublings limits the backoff of a failed task to 64 maintenance intervals.
	maxRetryDoublings = 6
)

// failureRecord is the leader's record of a job's failures. The cause may be the job itself, if its
// owner made a mistake, or the machines on which it ran.
type failureRecord struct {
	machines     map[string]bool // machines on which tasks of the job failed
	firstAt      time.Duration   // time of the first failure
	canaries     int             // number of canaries started so far
	nextCanaryAt time.Duration
}

// provenToRun reports whether a job has shown that it can run: one of its tasks has completed, or
// has been running for more than two heartbeats.
func (q *queuedJob) provenToRun(t *intervals) bool {
	return q.completedTasks() > 0 || q.longestRunning > 2*t.heartbeat
}

// isCrashLooping reports whether a job seems to fail wherever it runs. Until one of its tasks
// works, it is tried by one task at a time, the canary, at growing intervals, and the demand for
// machines includes no more than one task of an array. Canaries are never given up, since the
// machines may be at fault.
//
// Without this limit, each such job caused hundreds of starts and image pulls, ahead of others'
// work.
func (s *scheduler) isCrashLooping(q *queuedJob) bool {
	return len(q.failures.machines) >= crashLoopMachines && !q.provenToRun(&s.core.intervals)
}

// isUnproven reports whether a failure on one more machine would make a job crash-looping. Such a
// job is tried by one task at a time as well, but not at growing intervals.
//
// Without this, all tasks of a job that fails everywhere are started once more: the first tasks of
// such a job had failed on two machines, and then all its tasks were sent to two other machines at
// once.
func (s *scheduler) isUnproven(q *queuedJob) bool {
	return len(q.failures.machines) >= crashLoopMachines-1 && !q.provenToRun(&s.core.intervals)
}

// taskFailed sets the backoff of a failed task and checks whether the machine or the job is at
// fault.
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
		q.retryAt[index] = now + intervals.maintenance // the machine was at fault
	default:
		q.retryAt[index] = now + intervals.maintenance<<min(len(q.failures.machines)-1, maxRetryDoublings)
	}
	s.quarantineIfUnhealthy(view)
}

// quarantineIfUnhealthy quarantines a machine on which several jobs have failed since its last
// success. Only those jobs count that work elsewhere, or that within two leases have not failed on
// a third machine.
//
// This prevents a machine from being quarantined because two faulty jobs happened to fail there
// first. With three such jobs, a healthy machine was quarantined in nearly every simulation.
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
		s.core.logInfo("unhealthy machine quarantined", "machine", view.state.Name, "jobs", jobs)
	}
}

// blamesMachine reports whether a job's failures count against the machines on which they occurred.
func (s *scheduler) blamesMachine(q *queuedJob) bool {
	if q.provenToRun(&s.core.intervals) {
		return true
	}
	sinceFirstFailure := s.core.now.Monotonic - q.failures.firstAt
	return len(q.failures.machines) < crashLoopMachines && sinceFirstFailure > 2*s.core.intervals.workerLease
}

// mayStartCanary reports whether a job that is tried by one task at a time may start the next one
// now. If not, it sets the job's waiting reason.
func (s *scheduler) mayStartCanary(q *queuedJob) bool {
	if len(q.inflight) > 0 || s.core.now.Monotonic < q.failures.nextCanaryAt {
		q.reason = s.failureReason(q)
		return false
	}
	return true
}

// failureReason is the reason shown to users for why a job's failed tasks wait.
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
