package simulation

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// failureDelay is the time that a failing task runs before it fails.
	failureDelay = 500 * time.Millisecond
	// capacityEpsilon is the tolerance for rounding errors in sums of CPUs, GPUs and GB.
	capacityEpsilon = 1e-9
)

// Task is an attempt of a task on a machine.
type Task struct {
	Name       string
	Attempt    uint64
	State      string // protocol.TaskFetching and others
	ExitReason string // protocol.ExitDone and others, empty until the task has exited
	Saved      bool   // whether the task saved its progress before it was stopped

	job          *Job // nil if no job has a task of this name
	index        int  // of the task in its job
	runningSince time.Duration
}

// occupiesMachine reports whether the task counts as being on its machine: it has started there
// and has not exited.
func (t *Task) occupiesMachine() bool {
	return t.State == protocol.TaskRunning || t.State == protocol.TaskSaving || t.State == protocol.TaskWaiting
}

// usesCapacity reports whether capacity of the machine is reserved for the task.
func (t *Task) usesCapacity() bool { return t.State != protocol.TaskExited }

// matches reports whether a command names this attempt.
func (t *Task) matches(command protocol.Command) bool {
	return t.Name == command.Task && t.Attempt == command.Attempt
}

// execute executes commands in order and reports whether any of them changed the worker's tasks.
func (w *Worker) execute(commands []protocol.Command) bool {
	changed := false
	for _, command := range commands {
		switch command.Kind {
		case protocol.CommandStart:
			changed = w.start(command) || changed
		case protocol.CommandStop:
			changed = w.stopAttempt(command) || changed
		case protocol.CommandForget:
			changed = w.removeExited(command) || changed
		}
	}
	return changed
}

// stopAttempt executes a stop command and reports whether it changed anything.
func (w *Worker) stopAttempt(command protocol.Command) bool {
	changed := false
	for _, task := range w.Tasks {
		if task.matches(command) && task.State != protocol.TaskExited {
			w.stop(task, command.GraceS)
			changed = true
		}
	}
	return changed
}

// removeExited removes an attempt that has exited from the worker's tasks, so that it is not reported
// any more, and reports whether it changed anything.
func (w *Worker) removeExited(command protocol.Command) bool {
	kept := w.Tasks[:0]
	for _, task := range w.Tasks {
		if !task.matches(command) || task.State != protocol.TaskExited {
			kept = append(kept, task)
		}
	}
	changed := len(kept) < len(w.Tasks)
	w.Tasks = kept
	return changed
}

// start adds a new attempt, which exits at once if it can't run on this machine, and reports
// whether it changed anything. It ignores an attempt that the worker has already.
func (w *Worker) start(command protocol.Command) bool {
	task := &Task{Name: command.Task, Attempt: command.Attempt, State: protocol.TaskFetching}
	for _, present := range w.Tasks {
		if present.matches(command) {
			return false
		}
	}
	job, index, err := protocol.ParseTaskName(command.Task)
	task.job, task.index = w.cluster.Users.jobs[job], index
	unknown := err != nil || task.job == nil || index >= task.job.Spec.Tasks
	if reason := w.startRejection(task, unknown); reason != "" {
		task.State, task.ExitReason = protocol.TaskExited, reason
		w.Tasks = append(w.Tasks, task)
		return true
	}
	w.Tasks = append(w.Tasks, task)
	task.job.lastStartAt, w.lastTaskStartedAt = w.cluster.Now, w.cluster.Now
	if task.job.CancelConfirmedAt > 0 {
		w.cluster.Users.StartsAfterCancel++
	}
	w.afterIfPresent(task, w.fetchDuration(&task.job.Spec), func() { w.imageFetched(task) })
	return true
}

// startRejection returns the exit reason of a new attempt that can't run on this machine, empty if
// it can.
func (w *Worker) startRejection(task *Task, unknown bool) string {
	if unknown {
		return protocol.ExitUnknownTask
	}
	for _, present := range w.Tasks {
		if present.Name == task.Name && present.usesCapacity() {
			return protocol.ExitDuplicate
		}
	}
	if !w.hasCapacity(&task.job.Spec) {
		return protocol.ExitNoCapacity
	}
	return ""
}

// fetchDuration returns how long it takes to fetch a job's image, 0 if the image is cached.
func (w *Worker) fetchDuration(spec *protocol.Job) time.Duration {
	if w.images[spec.Image] {
		return 0
	}
	return config.Seconds(spec.ImageGB / w.cluster.Cloud.Type(w.Info.Type).FetchGBps)
}

// imageFetched runs a task once its image is on the machine, unless it was stopped in the meantime.
// A gang's task first waits for its peers.
func (w *Worker) imageFetched(task *Task) {
	if task.State != protocol.TaskFetching {
		return
	}
	w.images[task.job.Spec.Image] = true
	if task.job.Spec.Kind == protocol.KindGang {
		task.State = protocol.TaskWaiting
		w.cluster.Users.taskStarted(w, task)
		w.statusChanged()
		w.runGangTask(task)
		return
	}
	w.run(task)
}

// run sets a task that belongs to no gang to running and schedules its end. A task of a service
// runs until it is stopped, unless it fails.
func (w *Worker) run(task *Task) {
	task.State = protocol.TaskRunning
	w.cluster.Users.taskStarted(w, task)
	w.statusChanged()
	task.runningSince = w.cluster.Now
	switch {
	case w.Faulty || task.job.FailsEverywhere:
		w.afterIfPresent(task, failureDelay, func() { w.exit(task, protocol.ExitFailed) })
	case task.job.Spec.Kind != protocol.KindService:
		w.afterIfPresent(task, w.remainingRunTime(task), func() { w.exit(task, protocol.ExitDone) })
	}
}

// remainingRunTime returns how long a task still has to run on this machine, less the progress that
// its earlier attempts have saved. It returns 0 for a task that has completed before.
func (w *Worker) remainingRunTime(task *Task) time.Duration {
	job := task.job
	if job.completed[task.index] {
		return 0
	}
	runS := job.RunS
	if len(job.TaskRunS) > 0 {
		runS = job.TaskRunS[task.index]
	}
	return config.Seconds(runS*max(w.SlowFactor, 1)) - job.savedRun[task.index]
}

// currentAttempt returns the attempt of a task that occupies the machine, 0 if there is none.
func (w *Worker) currentAttempt(name string) uint64 {
	for _, task := range w.Tasks {
		if task.Name == name && task.occupiesMachine() {
			return task.Attempt
		}
	}
	return 0
}

// afterIfPresent runs callback after delay if the task is still on the worker's list by then. If
// the machine is hung at that time, the callback runs after the machine has resumed.
func (w *Worker) afterIfPresent(task *Task, delay time.Duration, callback func()) {
	w.cluster.After(delay, func() {
		if w.Hung {
			w.afterIfPresent(task, hungPollInterval, callback)
			return
		}
		for _, present := range w.Tasks {
			if present == task && !w.removed {
				callback()
				return
			}
		}
	})
}

// stop ends a task early. A running task that takes checkpoints first saves its progress if the
// grace period is long enough for that.
func (w *Worker) stop(task *Task, graceS float64) {
	job := task.job
	if task.State == protocol.TaskRunning && job != nil && job.Spec.CheckpointS > 0 && graceS >= job.Spec.SaveS {
		task.State = protocol.TaskSaving
		w.afterIfPresent(task, config.Seconds(job.Spec.SaveS), func() {
			task.Saved = true
			w.exit(task, protocol.ExitStopped)
		})
		return
	}
	w.exit(task, protocol.ExitStopped)
}

// exit ends a task with a reason and schedules a report of that. It does nothing if the task has
// exited already.
func (w *Worker) exit(task *Task, reason string) {
	if task.State == protocol.TaskExited {
		return
	}
	w.cluster.Users.taskRemoved(w, task)
	if task.job != nil && task.runningSince > 0 && reason == protocol.ExitStopped {
		task.job.savedRun[task.index] += w.progressKept(task)
	}
	task.State, task.ExitReason = protocol.TaskExited, reason
	w.hardwareFailed = w.hardwareFailed || reason == protocol.ExitFailed && !task.job.FailsEverywhere
	if reason == protocol.ExitDone && task.job != nil {
		w.cluster.Users.taskCompleted(task)
	}
	w.statusChanged()
}

// progressKept returns the part of its run time that a stopped task need not repeat: all of it if
// the task saved its progress, else the part up to its last checkpoint, and none if it takes no
// checkpoints.
func (w *Worker) progressKept(task *Task) time.Duration {
	interval := config.Seconds(task.job.Spec.CheckpointS)
	ran := w.cluster.Now - task.runningSince
	switch {
	case interval <= 0:
		return 0
	case task.Saved:
		return ran
	default:
		return ran / interval * interval
	}
}

type capacity struct{ cpus, gpus, memoryGB float64 }

// freeCapacity returns the capacity of the machine that no task uses.
func (w *Worker) freeCapacity() capacity {
	machineType := w.cluster.Cloud.Type(w.Info.Type)
	remaining := capacity{machineType.CPUs, machineType.GPUs, machineType.MemoryGB}
	for _, task := range w.Tasks {
		if task.usesCapacity() && task.job != nil {
			remaining.cpus -= task.job.Spec.CPUs
			remaining.gpus -= task.job.Spec.GPUs
			remaining.memoryGB -= task.job.Spec.MemoryGB
		}
	}
	return remaining
}

// hasCapacity reports whether the machine has enough free capacity for one more task of a job.
func (w *Worker) hasCapacity(spec *protocol.Job) bool {
	free := w.freeCapacity()
	return free.cpus >= spec.CPUs-capacityEpsilon &&
		free.gpus >= spec.GPUs-capacityEpsilon &&
		free.memoryGB >= spec.MemoryGB-capacityEpsilon
}
