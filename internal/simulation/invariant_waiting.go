package simulation

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// maxIdleWait is how long a job may wait, once all faults are over, while one and the same
// machine could take its next task all the time and its team is under its quota.
const maxIdleWait = 90 * time.Second

// checkWaiting checks that a job which could start does not wait too long; it is called
// before each poll of its user. Jobs that are not plain arrays are judged as follows:
//
//   - A gang needs capacity for all of its tasks at once, within its zones' rule, so it waits
//     for something unless the machines that could take one task could take all.
//   - A job that keeps its tasks in one zone, or spreads them, may use the zones that its
//     other tasks on machines at that moment leave it.
//   - A job that depends on others waits for them until they are done.
//   - A machine that was faulty may be in quarantine, one that hangs or will be taken back
//     takes nothing, and a job that fails everywhere waits for its next try: none of these
//     count. A machine that is in quarantine for such a job's sake does.
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
			job.lastStartAt = now // recorded once
			return
		}
	}
}

// idleMachines are the machines that could take a job's next task, and since when without
// having taken any other.
func (c *checker) idleMachines(job *Job) map[string]time.Duration {
	idleSince := map[string]time.Duration{}
	tasksInZone := map[string]int{} // that the machines could take
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

func (c *checker) recordLeftWaiting(job *Job, machineName string, since time.Duration) {
	spec, machine := &job.Spec, c.cluster.Workers[machineName].Info
	c.recordViolation(violationLeftWaiting, "%s (%s, %d tasks of %g CPUs, zone %q, one zone %v, spread %v, spot %v) is %s (%s); %s (%s in %s, spot %v) has had room for it since %.3f",
		spec.ID, spec.Kind, spec.Tasks, spec.CPUs, spec.Zone, spec.OneZone, spec.Spread, spec.AllowSpot, job.LastState, job.LastResponse.Reason,
		machineName, machine.Type, machine.Zone, machine.Spot, since.Seconds())
}

// gangFits reports whether all tasks of a gang fit at once, given how many do in each zone.
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

// couldStart reports whether a job has a task that may start now, as far as its user, its
// team's quota and its dependencies go.
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

// quotaAllows reports whether the job's team may use as much more as the job starts at once.
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

// zoneAllowed reports whether a job's next task may be in a zone, given its others.
func (c *checker) zoneAllowed(job *Job, zone string) bool {
	spec := &job.Spec
	if spec.Zone != "" && spec.Zone != zone {
		return false
	}
	tasksInZone, total := c.tasksByZone(job), 0
	for _, tasks := range tasksInZone {
		total += tasks
	}
	here := tasksInZone[zone]
	return (!spec.OneZone || here == total) && (!spec.Spread || here < maxSpreadTasksPerZone(spec))
}

// fittingTasks is how many tasks of a job the machine could take now, by its type, kind and
// free capacity; none if it has a fault.
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
