package simulation

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// failureDelay is how long a task runs that fails.
	failureDelay = 500 * time.Millisecond
	// capacityEpsilon is the rounding that sums of CPUs, GPUs and GB may have.
	capacityEpsilon = 1e-9
)

// Task is an attempt at a task on a machine.
type Task struct {
	Name       string
	Attempt    uint64
	State      string // protocol.TaskFetching and others
	ExitReason string // the reason of its exit
	Saved      bool   // it saved its progress before it was stopped

	job          *Job // nil if the name is of no job
	index        int
	runningSince time.Duration
}

// occupiesMachine reports whether the task counts as being on its machine.
func (t *Task) occupiesMachine() bool {
	return t.State == protocol.TaskRunning || t.State == protocol.TaskSaving || t.State == protocol.TaskWaiting
}

// usesCapacity reports whether the machine sets capacity aside for the task.
func (t *Task) usesCapacity() bool { return t.State != protocol.TaskExited }

// matches reports whether a command names this attempt.
func (t *Task) matches(command protocol.Command) bool {
	return t.Name == command.Task && t.Attempt == command.Attempt
}

// execute carries out commands in order and reports whether anything changed.
func (w *Worker) execute(commands []protocol.Command) bool {
	changed := false
	for _, command := range commands {
		switch command.Kind {
		case protocol.CommandStart:
			changed = w.start(command) || changed
		case protocol.CommandStop:
			changed = w.stopAttempt(command) || changed
		case protocol.CommandForget:
			changed = w.forget(command) || changed
		}
	}
	return changed
}

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

// forget drops an attempt that has exited from the worker's list.
func (w *Worker) forget(command protocol.Command) bool {
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

// start takes a new attempt, which exits at once if it can't run here, and reports whether
// that changed anything.
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

// startRejection is the exit reason of a new attempt that can't run here, empty if it can.
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

// fetchDuration is how long it takes to fetch a job's image, unless it is cached.
func (w *Worker) fetchDuration(spec *protocol.Job) time.Duration {
	if w.images[spec.Image] {
		return 0
	}
	return config.Seconds(spec.ImageGB / w.cluster.Cloud.Type(w.Info.Type).FetchGBps)
}

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

// run lets a task that is no gang's run to its end.
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

// remainingRunTime is how long a task has yet to run.
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

// currentAttempt is the attempt of a task that is on the machine, or 0.
func (w *Worker) currentAttempt(name string) uint64 {
	for _, task := range w.Tasks {
		if task.Name == name && task.occupiesMachine() {
			return task.Attempt
		}
	}
	return 0
}

// afterIfPresent runs f after delay if the task is still here by then; a hung machine runs it
// once it resumes.
func (w *Worker) afterIfPresent(task *Task, delay time.Duration, f func()) {
	w.cluster.After(delay, func() {
		if w.Hung {
			w.afterIfPresent(task, hungPollInterval, f)
			return
		}
		for _, present := range w.Tasks {
			if present == task && !w.removed {
				f()
				return
			}
		}
	})
}

// stop ends a task before its time, after it has saved its progress if the grace allows that.
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

// exit ends a task for a reason, once.
func (w *Worker) exit(task *Task, reason string) {
	if task.State == protocol.TaskExited {
		return
	}
	w.cluster.Users.taskLeft(w, task)
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

// progressKept is how much of its run a stopped task need not repeat: all if it saved its
// progress, else what the last checkpoint holds.
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

// capacity is what a machine has left.
type capacity struct{ cpus, gpus, memoryGB float64 }

// freeCapacity is the machine's capacity that no task uses.
func (w *Worker) freeCapacity() capacity {
	machineType := w.cluster.Cloud.Type(w.Info.Type)
	left := capacity{machineType.CPUs, machineType.GPUs, machineType.MemoryGB}
	for _, task := range w.Tasks {
		if task.usesCapacity() && task.job != nil {
			left.cpus -= task.job.Spec.CPUs
			left.gpus -= task.job.Spec.GPUs
			left.memoryGB -= task.job.Spec.MemoryGB
		}
	}
	return left
}

// hasCapacity reports whether one more task of a job fits.
func (w *Worker) hasCapacity(spec *protocol.Job) bool {
	left := w.freeCapacity()
	return left.cpus >= spec.CPUs-capacityEpsilon &&
		left.gpus >= spec.GPUs-capacityEpsilon &&
		left.memoryGB >= spec.MemoryGB-capacityEpsilon
}
