package simulation

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// maxIdleWait is how long, once all faults are over, a job may wait without a start of any of its
// tasks while one and the same machine could take its next task during all that time and its team
// is under its quota.
const maxIdleWait = 90 * time.Second

// checkWaiting checks that a job which could start does not wait longer than maxIdleWait. It is
// called before each poll of the job's user. These cases are treated specially:
//
//   - A gang needs capacity for all of its tasks at once, within its limits on zones. Machines
//     that could take one of its tasks count only if together they could take all of them.
//   - A job that keeps its tasks in one zone, or spreads them over zones, may use only the zones
//     that the tasks that it has on machines at that moment still allow.
//   - A job that depends on others may wait until they are done.
//   - A job that fails everywhere is not checked, since it waits for its next retry.
//   - A machine does not count if it is faulty or a task failed on it that would not have failed
//     elsewhere, because it may be in quarantine. Nor does one that hangs, that cannot open
//     connections to controllers, or that has received notice from the cloud, because none of
//     these takes tasks. A machine does count if it is in quarantine only because tasks of
//     jobs that fail everywhere have failed on it.
func (c *checker) checkWaiting(job *Job) {
	now, faultsOverAt := c.cluster.Now, c.cluster.Users.FaultsOverAt
	if faultsOverAt == 0 || now < faultsOverAt || !c.couldStart(job) {
		job.idleSince = nil
		return
	}
	job.idleSince = c.idleMachines(job)
	for name, since := range job.idleSince {
		if now-max(since, job.lastStartAt) > maxIdleWait {
			c.recordLeftWaiting(job, name, since)
			job.lastStartAt = now // so that the violation is recorded only once
			return
		}
	}
}

// idleMachines returns the machines that could take a job's next task, each with the time since
// which it could have done so without taking any other task. For a gang it returns nil unless all
// of its tasks fit at once.
func (c *checker) idleMachines(job *Job) map[string]time.Duration {
	idleSince := map[string]time.Duration{}
	tasksInZone := map[string]int{} // number of the job's tasks that the machines could take
	for name, worker := range c.cluster.Workers {
		tasks := worker.fittingTasks(&job.Spec)
		if tasks == 0 || !c.zoneAllowed(job, worker.Info.Zone) {
			continue
		}
		tasksInZone[worker.Info.Zone] += tasks
		since, idle := job.idleSince[name]
		if !idle || worker.lastTaskStartedAt >= since {
			since = c.cluster.Now
		}
		idleSince[name] = since
	}
	if job.Spec.Kind == protocol.KindGang && !gangFits(&job.Spec, tasksInZone) {
		return nil
	}
	return idleSince
}

// recordLeftWaiting records that a job waits although a machine could have taken its next task at
// any moment since the given one.
func (c *checker) recordLeftWaiting(job *Job, machineName string, since time.Duration) {
	spec, machine := &job.Spec, c.cluster.Workers[machineName].Info
	c.recordViolation(violationLeftWaiting, "job %s (%s, %d tasks of %g CPUs, zone %q, one zone %v, spread %v, spot %v) is %s (%s), but machine %s (%s in %s, spot %v) has had capacity for its next task since %.3f s",
		spec.ID, spec.Kind, spec.Tasks, spec.CPUs, spec.Zone, spec.OneZone, spec.Spread, spec.AllowSpot, job.LastState, job.LastResponse.Reason,
		machineName, machine.Type, machine.Zone, machine.Spot, since.Seconds())
}

// gangFits reports whether all tasks of a gang fit at once, given how many of them the machines of
// each zone could take.
func gangFits(spec *protocol.Job, tasksInZone map[string]int) bool {
	largest, total := 0, 0
	for _, tasks := range tasksInZone {
		if spec.Spread {
			tasks = min(tasks, maxSpreadTasksPerZone(spec))
		}
		largest, total = max(largest, tasks), total+tasks
	}
	return largest >= spec.Tasks || total >= spec.Tasks && !spec.OneZone
}

// couldStart reports whether a job has a task that may start now. It considers the job's state,
// its dependencies and its team's quota, but not whether a machine has capacity.
func (c *checker) couldStart(job *Job) bool {
	if !job.Accepted || job.FailsEverywhere || job.cancelRequested || isFinal(job.LastState) {
		return false
	}
	if c.cancelledDependency(job) != nil || len(c.incompleteDependencies(job)) > 0 {
		return false
	}
	return c.hasUnplacedTask(job) && c.quotaAllows(job)
}

// hasUnplacedTask reports whether a task of the job is neither completed nor on a machine.
func (c *checker) hasUnplacedTask(job *Job) bool {
	placed := len(job.completed)
	for _, worker := range c.cluster.Workers {
		for _, task := range worker.Tasks {
			if task.job == job && !job.completed[task.index] && task.usesCapacity() {
				placed++
			}
		}
	}
	return placed < job.Spec.Tasks
}

// quotaAllows reports whether the team's quota has enough left for what the job starts at once: all
// tasks of a gang, one task of any other job.
func (c *checker) quotaAllows(job *Job) bool {
	spec, users := &job.Spec, c.cluster.Users
	tasks := 1.0
	if spec.Kind == protocol.KindGang {
		tasks = float64(spec.Tasks)
	}
	cpus, gpus := users.cpus[spec.Team]+tasks*spec.CPUs, users.gpus[spec.Team]+tasks*spec.GPUs
	for _, team := range c.cluster.Settings.Site.Teams {
		if team.Name == spec.Team && (team.CPUsMax > 0 && cpus > team.CPUsMax || team.GPUsMax > 0 && gpus > team.GPUsMax) {
			return false
		}
	}
	return true
}

// zoneAllowed reports whether a job's next task may be in a zone, given the zones of its tasks that
// are on machines.
func (c *checker) zoneAllowed(job *Job, zone string) bool {
	spec := &job.Spec
	if spec.Zone != "" && spec.Zone != zone {
		return false
	}
	tasksInZone, total := c.tasksByZone(job), 0
	for _, tasks := range tasksInZone {
		total += tasks
	}
	tasksInThisZone := tasksInZone[zone]
	return (!spec.OneZone || tasksInThisZone == total) && (!spec.Spread || tasksInThisZone < maxSpreadTasksPerZone(spec))
}

// fittingTasks returns how many tasks of a job the machine could take now, given its type, kind
// (spot or on-demand) and free capacity. It returns 0 if the machine has a fault or notice from
// the cloud.
func (w *Worker) fittingTasks(spec *protocol.Job) int {
	faulty := w.Hung || w.Faulty || w.hardwareFailed || w.OutboundBlocked || w.NoticeS != nil
	if faulty || !machineAllowed(spec, &w.Info) {
		return 0
	}
	free := w.freeCapacity()
	tasks := int((free.cpus + capacityEpsilon) / spec.CPUs)
	if spec.GPUs > 0 {
		tasks = min(tasks, int((free.gpus+capacityEpsilon)/spec.GPUs))
	}
	if spec.MemoryGB > 0 {
		tasks = min(tasks, int((free.memoryGB+capacityEpsilon)/spec.MemoryGB))
	}
	return tasks
}
