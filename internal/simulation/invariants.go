package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// violationKind names a rule of the protocol in a violation.
type violationKind string

const (
	// ruleWentBack: done and cancelled exclude one another and are final, and only what a
	// user cancelled, or what depends on it, is called cancelled.
	violationStateReverted violationKind = "went_back"
	// ruleNotDone: a job is called done only once all of its tasks are.
	violationPrematureDone violationKind = "not_done"
	// ruleForgotten: an accepted job is known to every node, and questions are answered.
	violationJobLost violationKind = "forgotten"
	// ruleInvented: no node knows a job that was never handed in.
	violationUnknownJobServed violationKind = "invented"
	// ruleWronglyAccepted: a job that can't run is never accepted.
	violationInvalidJobAccepted violationKind = "wrongly_accepted"
	// ruleOrphaned: a job that depends on a cancelled one ends soon after it.
	violationDependentOrphaned violationKind = "orphaned"
	// ruleRanTwice: a task is on one machine at a time.
	violationRanTwice violationKind = "ran_twice"
	// ruleRanCancelled: no task of a cancelled job runs after the deadline of its stops.
	violationRanAfterCancel violationKind = "ran_cancelled"
	// ruleTooEarly: a task starts only when all jobs that its own depends on are done.
	violationStartedTooEarly violationKind = "too_early"
	// ruleWrongPlace: a task runs where its job's zone, types and kind of machine allow.
	violationWrongPlacement violationKind = "wrong_place"
	// ruleQuota: a team stays under its quota.
	violationQuotaExceeded violationKind = "quota"
	// ruleLeftWaiting: see checkWaiting.
	violationLeftWaiting violationKind = "left_waiting"
	// ruleMalformed: the store is sent nothing that it can never accept.
	violationMalformedRequest violationKind = "malformed"
)

const (
	// maxTimeWithoutResponse is how long a job may go without an answer to any question about it
	// once all faults are over.
	maxTimeWithoutResponse = 75 * time.Second
	// quotaEpsilon is the rounding that a team's sum of CPUs or GPUs may have.
	quotaEpsilon = 1e-6
)

// checker checks that the rules of the protocol hold, from outside the controllers: it
// compares what happens on machines with what users are told. It reads the simulation's
// state, records violations and changes nothing but its own records of a Job; it draws no
// random numbers and schedules nothing, so that a run goes the same way without it.
type checker struct {
	cluster *Cluster
}

// recordViolation notes that a rule was broken, and how.
func (c *checker) recordViolation(broken violationKind, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	violation := fmt.Sprintf("%.3f %s: %s", c.cluster.Now.Seconds(), broken, detail)
	c.cluster.Violations = append(c.cluster.Violations, violation)
}

// recordLostJob notes that a node does not know an accepted job.
func (c *checker) recordLostJob(jobID string, reply core.Reply) {
	c.recordViolation(violationJobLost, "%s is answered %d", jobID, reply.Status)
}

// cancelDeadline is how long a cancelled job's tasks may still run.
func (c *checker) cancelDeadline() time.Duration {
	return config.Seconds(c.cluster.Settings.Site.Workers.CancelS)
}

// checkAcceptance is called when a job is accepted.
func (c *checker) checkAcceptance(job *Job, reply core.Reply) {
	if job.MustBeRejected {
		c.recordViolation(violationInvalidJobAccepted, "%s is answered %d", job.Spec.ID, reply.Status)
	}
}

// checkFinalRejection is called when a job is rejected for good.
func (c *checker) checkFinalRejection(job *Job, reply core.Reply) {
	if job.Accepted {
		c.recordViolation(violationJobLost, "%s was accepted and then refused with %d", job.Spec.ID, reply.Status)
	}
}

// checkInvalidJobReply is called with a node's answer to a job that can't run.
func (c *checker) checkInvalidJobReply(job *Job, node *Node, reply core.Reply) {
	allowed := []core.ReplyStatus{core.ReplyInvalid, statusBadRequest, core.ReplyUnavailable}
	if !slices.Contains(allowed, reply.Status) {
		c.recordViolation(violationInvalidJobAccepted, "%s is answered %d by %s", job.Spec.ID, reply.Status, node.Label)
	}
}

// checkLastResponse checks that some question about a job was answered lately.
func (c *checker) checkLastResponse(job *Job) {
	now, faultsOverAt := c.cluster.Now, c.cluster.Users.FaultsOverAt
	if faultsOverAt == 0 || now-max(job.lastResponseAt, faultsOverAt) <= maxTimeWithoutResponse {
		return
	}
	c.recordViolation(violationJobLost, "no question about %s has been answered since %.3f", job.Spec.ID, job.lastResponseAt.Seconds())
	job.lastResponseAt = now // recorded once
}

// checkResponse checks what a node says of a job in answer to a question that was sent at
// sentAt. It is called before the user takes the answer in. Done and cancelled exclude one
// another whenever the question was sent. Any other state is stale if the question was sent
// after the first final answer had come, whichever node gave that.
func (c *checker) checkResponse(job *Job, answer protocol.JobResponse, sentAt time.Duration) {
	id, final := job.Spec.ID, isFinal(answer.State)
	if isFinal(job.LastState) && answer.State != job.LastState && (final || sentAt > job.finalAt) {
		c.recordViolation(violationStateReverted, "%s was %s at %.3f and is called %s, asked at %.3f",
			id, job.LastState, job.finalAt.Seconds(), answer.State, sentAt.Seconds())
	}
	dependency := c.cancelledDependency(job)
	if dependency != nil && dependency.CancelConfirmedAt > 0 && sentAt > dependency.CancelConfirmedAt+c.cancelDeadline() && !final {
		c.recordViolation(violationDependentOrphaned, "%s is called %s long after %s was cancelled", id, answer.State, dependency.Spec.ID)
	}
	if answer.State == protocol.JobCancelled && !job.cancelRequested && dependency == nil {
		c.recordViolation(violationStateReverted, "%s is called cancelled, nobody cancelled it or one that it needs", id)
	}
	if answer.State == protocol.JobDone && len(job.completed) < job.Spec.Tasks {
		c.recordViolation(violationPrematureDone, "%s is called done with %d of %d tasks", id, len(job.completed), job.Spec.Tasks)
	}
}

// checkNoTaskRuns is called at the deadline after a job's user was told that it is cancelled.
// Tasks on hung machines count too: these may resume.
func (c *checker) checkNoTaskRuns(job *Job) {
	for task, machine := range job.machines {
		c.recordViolation(violationRanAfterCancel, "%s is still on %s", task, machine)
	}
}

// cancelledDependency is a job that this one needs, directly or through others, and whose
// user has asked to cancel it; one whose user was told that it is cancelled, if there is one.
// A dependency that was done all the same does not count.
func (c *checker) cancelledDependency(job *Job) (found *Job) {
	seen := map[string]bool{}
	for pending := slices.Clone(job.Spec.Dependencies); len(pending) > 0; {
		id := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		dependency := c.cluster.Users.jobs[id]
		if seen[id] || dependency == nil || dependency.LastState == protocol.JobDone {
			continue
		}
		seen[id] = true
		pending = append(pending, dependency.Spec.Dependencies...)
		if dependency.cancelRequested && (found == nil || found.CancelConfirmedAt == 0) {
			found = dependency
		}
	}
	return found
}

// incompleteDependencies are the jobs that this one needs directly and that have not
// completed all of their tasks.
func (c *checker) incompleteDependencies(job *Job) (incomplete []*Job) {
	for _, id := range job.Spec.Dependencies {
		dependency := c.cluster.Users.jobs[id]
		if dependency != nil && len(dependency.completed) < dependency.Spec.Tasks {
			incomplete = append(incomplete, dependency)
		}
	}
	return incomplete
}

// checkStart is called just before a task counts as being on its machine.
func (c *checker) checkStart(worker *Worker, task *Task) {
	job := task.job
	if machine, ok := job.machines[task.Name]; ok {
		c.recordViolation(violationRanTwice, "%s starts on %s while it is on %s", task.Name, worker.Info.Name, machine)
	}
	if job.CancelConfirmedAt > 0 && c.cluster.Now > job.CancelConfirmedAt+c.cancelDeadline() {
		c.recordViolation(violationRanAfterCancel, "%s starts", task.Name)
	}
	for _, dependency := range c.incompleteDependencies(job) {
		c.recordViolation(violationStartedTooEarly, "%s starts while %s has %d of %d tasks done",
			task.Name, dependency.Spec.ID, len(dependency.completed), dependency.Spec.Tasks)
	}
}

// checkPlacement checks that a task may be on its machine.
func (c *checker) checkPlacement(worker *Worker, task *Task) {
	spec, machine := &task.job.Spec, &worker.Info
	allowed := machineAllowed(spec, machine) && (spec.Zone == "" || spec.Zone == machine.Zone)
	tasksInZone := c.tasksByZone(task.job)
	if spec.OneZone && len(tasksInZone) > 1 || spec.Spread && tasksInZone[machine.Zone] > maxSpreadTasksPerZone(spec) {
		allowed = false
	}
	if !allowed {
		c.recordViolation(violationWrongPlacement, "%s on %s (%s, %s, spot %v)", task.Name, machine.Name, machine.Type, machine.Zone, machine.Spot)
	}
}

// machineAllowed reports whether a job allows a machine, by its type and kind.
func machineAllowed(spec *protocol.Job, machine *protocol.Instance) bool {
	typeAllowed := len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machine.Type)
	return typeAllowed && (spec.AllowSpot || !machine.Spot)
}

// maxSpreadTasksPerZone is how many tasks of a job that spreads them may be in one zone.
func maxSpreadTasksPerZone(spec *protocol.Job) int { return (spec.Tasks + 1) / 2 }

// tasksByZone counts a job's tasks that are on machines.
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

// recordMalformed notes what is wrong with a transaction that the store rejects.
// Nodes of the previous version do not know the limits to come and are let off.
func (c *checker) recordMalformed(node string, previousVersion bool, fault string) {
	if !previousVersion {
		c.recordViolation(violationMalformedRequest, "%s sends the state service %s", node, fault)
	}
}

// recordInvalidLeaseTTL notes that the store rejects the duration of a lease.
func (c *checker) recordInvalidLeaseTTL(node string, ttl time.Duration) {
	c.recordViolation(violationMalformedRequest, "%s asks for a lease of %v", node, ttl)
}
