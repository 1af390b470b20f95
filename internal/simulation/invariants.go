package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// violationKind names the invariant that a violation breaks.
type violationKind string

const (
	// violationStateReverted: a job that was reported as done or cancelled is reported in another
	// state, or a job is reported as cancelled although no user cancelled it or a job that it
	// depends on.
	violationStateReverted violationKind = "went_back"
	// violationPrematureDone: a job is reported as done before all of its tasks have completed.
	violationPrematureDone violationKind = "not_done"
	// violationJobLost: a node does not know an accepted job, or requests about it get no response.
	violationJobLost violationKind = "forgotten"
	// violationUnknownJobServed: a node reports the state of a job that was never submitted.
	violationUnknownJobServed violationKind = "invented"
	// violationInvalidJobAccepted: a job that cannot run is accepted.
	violationInvalidJobAccepted violationKind = "wrongly_accepted"
	// violationDependentOrphaned: a job that depends on a cancelled job is neither done nor cancelled
	// when checker.cancelDeadline has passed since the confirmed cancellation.
	violationDependentOrphaned violationKind = "orphaned"
	// violationRanTwice: a task is on two machines at the same time.
	violationRanTwice violationKind = "ran_twice"
	// violationRanAfterCancel: a task of a cancelled job is on a machine when checker.cancelDeadline has
	// passed since the confirmed cancellation.
	violationRanAfterCancel violationKind = "ran_cancelled"
	// violationStartedTooEarly: a task starts before all tasks of the jobs that its job depends on have
	// completed.
	violationStartedTooEarly violationKind = "too_early"
	// violationWrongPlacement: a task is on a machine whose zone, type or kind (spot or on-demand)
	// its job does not allow.
	violationWrongPlacement violationKind = "wrong_place"
	// violationQuotaExceeded: a team uses more than its quota.
	violationQuotaExceeded violationKind = "quota"
	// violationLeftWaiting: a job that could start waits too long, see checkWaiting.
	violationLeftWaiting violationKind = "left_waiting"
	// violationMalformedRequest: a node sends the store a request that the store can never accept.
	violationMalformedRequest violationKind = "malformed"
)

const (
	// maxTimeWithoutResponse is how long, once all faults are over, every request about a job may
	// remain without a response.
	maxTimeWithoutResponse = 75 * time.Second
	// quotaEpsilon is the rounding error allowed in the sum of a team's CPUs or GPUs.
	quotaEpsilon = 1e-6
)

// checker is the invariant checker. It works from outside the controllers: it compares what
// happens on machines with the responses that users get. It reads the simulation's state and
// records violations. It changes nothing but its own fields of a Job, draws no random numbers and
// schedules no events, so a run takes the same course without it.
type checker struct {
	cluster *Cluster
}

// recordViolation adds a violation with the current simulated time, its kind and a description.
func (c *checker) recordViolation(kind violationKind, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	violation := fmt.Sprintf("%.3f %s: %s", c.cluster.Now.Seconds(), kind, detail)
	c.cluster.Violations = append(c.cluster.Violations, violation)
}

// recordLostJob records that a node does not know an accepted job.
func (c *checker) recordLostJob(jobID string, reply core.Reply) {
	c.recordViolation(violationJobLost, "accepted job %s: a query got status %d", jobID, reply.Status)
}

// cancelDeadline is how long after the confirmed cancellation of a job its tasks may still run: the
// setting cancel_s.
func (c *checker) cancelDeadline() time.Duration {
	return config.Seconds(c.cluster.Settings.Site.Workers.CancelS)
}

// checkAcceptance is called with the reply that accepts a job. It checks that the job can run.
func (c *checker) checkAcceptance(job *Job, reply core.Reply) {
	if job.MustBeRejected {
		c.recordViolation(violationInvalidJobAccepted, "job %s cannot run, but was accepted with status %d", job.Spec.ID, reply.Status)
	}
}

// checkFinalRejection is called with a reply that rejects a job finally, so that its user does
// not submit it again. It checks that the job was not accepted before.
func (c *checker) checkFinalRejection(job *Job, reply core.Reply) {
	if job.Accepted {
		c.recordViolation(violationJobLost, "job %s was accepted and later rejected with status %d", job.Spec.ID, reply.Status)
	}
}

// checkInvalidJobReply is called with a node's reply to the submission of a job that cannot run.
// The node may reject the job or ask for a retry.
func (c *checker) checkInvalidJobReply(job *Job, node *Node, reply core.Reply) {
	allowed := []core.ReplyStatus{core.ReplyInvalid, statusBadRequest, core.ReplyUnavailable}
	if !slices.Contains(allowed, reply.Status) {
		c.recordViolation(violationInvalidJobAccepted, "job %s cannot run, but got status %d from %s", job.Spec.ID, reply.Status, node.Label)
	}
}

// checkLastResponse checks, once all faults are over, that some request about a job got a response
// within the last maxTimeWithoutResponse.
func (c *checker) checkLastResponse(job *Job) {
	now, faultsOverAt := c.cluster.Now, c.cluster.Users.FaultsOverAt
	if faultsOverAt == 0 || now-max(job.lastResponseAt, faultsOverAt) <= maxTimeWithoutResponse {
		return
	}
	c.recordViolation(violationJobLost, "no request about job %s has got a response since %.3f s", job.Spec.ID, job.lastResponseAt.Seconds())
	job.lastResponseAt = now // so that the violation is recorded only once
}

// checkResponse checks a node's response about a job to a request that was sent at sentAt. It is
// called before the user records the response. After the first response with a final state, the
// other final state is a violation whenever the request was sent. A state that is not final is a
// violation if the request was sent after that first response had arrived, whichever node sent it.
// A final state must also agree with the completed tasks and with the users' cancellations.
func (c *checker) checkResponse(job *Job, response protocol.JobResponse, sentAt time.Duration) {
	id, final := job.Spec.ID, isFinal(response.State)
	if isFinal(job.LastState) && response.State != job.LastState && (final || sentAt > job.finalAt) {
		c.recordViolation(violationStateReverted, "job %s was reported %s at %.3f s, and is reported %s in response to a request sent at %.3f s",
			id, job.LastState, job.finalAt.Seconds(), response.State, sentAt.Seconds())
	}
	dependency := c.cancelledDependency(job)
	if dependency != nil && dependency.CancelConfirmedAt > 0 && sentAt > dependency.CancelConfirmedAt+c.cancelDeadline() && !final {
		c.recordViolation(violationDependentOrphaned, "job %s is reported %s after the cancellation deadline of %s, which it depends on", id, response.State, dependency.Spec.ID)
	}
	if response.State == protocol.JobCancelled && !job.cancelRequested && dependency == nil {
		c.recordViolation(violationStateReverted, "job %s is reported cancelled, but no user cancelled it or a job that it depends on", id)
	}
	if response.State == protocol.JobDone && len(job.completed) < job.Spec.Tasks {
		c.recordViolation(violationPrematureDone, "job %s is reported done, but %d of %d tasks have completed", id, len(job.completed), job.Spec.Tasks)
	}
}

// checkNoTaskRuns is called when cancelDeadline has passed since a job's user got the confirmation
// that it is cancelled. It checks that no task of the job is on a machine. Hung machines count
// too, because they may resume and continue the task.
func (c *checker) checkNoTaskRuns(job *Job) {
	for task, machine := range job.machines {
		c.recordViolation(violationRanAfterCancel, "task %s of a cancelled job is still on %s", task, machine)
	}
}

// cancelledDependency returns a job that the given job depends on, directly or indirectly, and
// whose user has requested its cancellation. It prefers one whose cancellation is confirmed, and
// returns nil if there is none. A dependency that was reported as done in spite of the request
// does not count, nor do the jobs that it depends on.
func (c *checker) cancelledDependency(job *Job) (found *Job) {
	visited := map[string]bool{}
	for pending := slices.Clone(job.Spec.Dependencies); len(pending) > 0; {
		id := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		dependency := c.cluster.Users.jobs[id]
		if visited[id] || dependency == nil || dependency.LastState == protocol.JobDone {
			continue
		}
		visited[id] = true
		pending = append(pending, dependency.Spec.Dependencies...)
		if dependency.cancelRequested && (found == nil || found.CancelConfirmedAt == 0) {
			found = dependency
		}
	}
	return found
}

// incompleteDependencies returns the jobs that the given job depends on directly and of which not
// all tasks have completed.
func (c *checker) incompleteDependencies(job *Job) (incomplete []*Job) {
	for _, id := range job.Spec.Dependencies {
		dependency := c.cluster.Users.jobs[id]
		if dependency != nil && len(dependency.completed) < dependency.Spec.Tasks {
			incomplete = append(incomplete, dependency)
		}
	}
	return incomplete
}

// checkStart checks the start of a task. It is called just before the task counts as being on its
// machine.
func (c *checker) checkStart(worker *Worker, task *Task) {
	job := task.job
	if machine, ok := job.machines[task.Name]; ok {
		c.recordViolation(violationRanTwice, "task %s starts on %s while it is on %s", task.Name, worker.Info.Name, machine)
	}
	if job.CancelConfirmedAt > 0 && c.cluster.Now > job.CancelConfirmedAt+c.cancelDeadline() {
		c.recordViolation(violationRanAfterCancel, "task %s starts after the cancellation deadline of its job", task.Name)
	}
	for _, dependency := range c.incompleteDependencies(job) {
		c.recordViolation(violationStartedTooEarly, "task %s starts while %s, which its job depends on, has completed %d of %d tasks",
			task.Name, dependency.Spec.ID, len(dependency.completed), dependency.Spec.Tasks)
	}
}

// checkPlacement checks that a task's job allows the machine that the task is on. The task must
// already count as being on it.
func (c *checker) checkPlacement(worker *Worker, task *Task) {
	spec, machine := &task.job.Spec, &worker.Info
	allowed := machineAllowed(spec, machine) && (spec.Zone == "" || spec.Zone == machine.Zone)
	tasksInZone := c.tasksByZone(task.job)
	if spec.OneZone && len(tasksInZone) > 1 || spec.Spread && tasksInZone[machine.Zone] > maxSpreadTasksPerZone(spec) {
		allowed = false
	}
	if !allowed {
		c.recordViolation(violationWrongPlacement, "task %s is on %s (type %s, zone %s, spot %v), which its job does not allow", task.Name, machine.Name, machine.Type, machine.Zone, machine.Spot)
	}
}

// machineAllowed reports whether a job allows a machine by its type and kind (spot or on-demand).
// It does not look at the zone.
func machineAllowed(spec *protocol.Job, machine *protocol.Instance) bool {
	typeAllowed := len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machine.Type)
	return typeAllowed && (spec.AllowSpot || !machine.Spot)
}

// maxSpreadTasksPerZone is how many tasks of a job that spreads them over zones may be in one
// zone: half of them, rounded up.
func maxSpreadTasksPerZone(spec *protocol.Job) int { return (spec.Tasks + 1) / 2 }

// tasksByZone counts a job's tasks that are on machines, by zone.
func (c *checker) tasksByZone(job *Job) map[string]int {
	tasks := map[string]int{}
	for _, machine := range job.machines {
		if worker := c.cluster.Workers[machine]; worker != nil {
			tasks[worker.Info.Zone]++
		}
	}
	return tasks
}

// checkQuota checks that a team is within its quota.
func (c *checker) checkQuota(teamName string) {
	cpus, gpus := c.cluster.Users.cpus[teamName], c.cluster.Users.gpus[teamName]
	for _, team := range c.cluster.Settings.Site.Teams {
		if team.Name != teamName {
			continue
		}
		if team.CPUsMax > 0 && cpus > team.CPUsMax+quotaEpsilon {
			c.recordViolation(violationQuotaExceeded, "team %s uses %g of %g CPUs", teamName, cpus, team.CPUsMax)
		}
		if team.GPUsMax > 0 && gpus > team.GPUsMax+quotaEpsilon {
			c.recordViolation(violationQuotaExceeded, "team %s uses %g of %g GPUs", teamName, gpus, team.GPUsMax)
		}
	}
}

// recordMalformed records that the store rejected a transaction because it exceeds a limit, which
// exceededLimit describes. Nodes of the previous version are exempt, because that version does not
// know the announced lower limits.
func (c *checker) recordMalformed(node string, previousVersion bool, exceededLimit string) {
	if !previousVersion {
		c.recordViolation(violationMalformedRequest, "%s sent the state service %s", node, exceededLimit)
	}
}

// recordInvalidLeaseTTL records that the store rejected the duration of a lease.
func (c *checker) recordInvalidLeaseTTL(node string, ttl time.Duration) {
	c.recordViolation(violationMalformedRequest, "%s requested a lease of %v", node, ttl)
}
