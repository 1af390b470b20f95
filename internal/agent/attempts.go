package agent

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// capacitySlack is the tolerance of the capacity check for the rounding errors of sums of
// decimal fractions.
const capacitySlack = 1e-9

// attempt is one attempt on this machine. After its exit it is kept until a controller
// sends CommandForget for it or the session ends.
type attempt struct {
	AttemptKey
	state         string                   // protocol.TaskFetching and so on
	exitReason    string                   // protocol.ExitDone and so on; empty until it has exited
	saved         bool                     // it saved a checkpoint before it exited
	description   *protocol.JobDescription // nil until JobDescribed
	launched      bool                     // a process may exist
	graceEndsAt   time.Duration            // when it is killed if it hasn't exited, 0: never
	stopRequested bool                     // a controller has sent CommandStop
	killSent      bool                     // KillAttempt was emitted, or there was no process to kill
}

func (t *attempt) exit(reason string) { t.state, t.exitReason = protocol.TaskExited, reason }

func (t *attempt) status() protocol.TaskStatus {
	return protocol.TaskStatus{
		Task:       t.Task,
		Attempt:    t.Attempt,
		State:      t.state,
		ExitReason: t.exitReason,
		Saved:      t.saved,
	}
}

// canSave reports whether the attempt can save a checkpoint within a grace period of graceS
// seconds.
func (t *attempt) canSave(graceS float64) bool {
	if t.state != protocol.TaskRunning || t.stopRequested {
		return false
	}
	job := &t.description.Job
	return job.CheckpointS > 0 && graceS >= job.SaveS
}

// nothingToRun reports whether the attempt has neither a command nor a simulated duration,
// so that it is done as soon as its image is fetched.
func (t *attempt) nothingToRun() bool {
	return len(t.description.Command) == 0 && t.description.SimulatedS == 0
}

func (a *Agent) findAttempt(key AttemptKey) *attempt {
	for _, t := range a.attempts {
		if t.AttemptKey == key {
			return t
		}
	}
	return nil
}

// runsTask reports whether there is an attempt of the task that has not exited.
func (a *Agent) runsTask(task string) bool {
	for _, t := range a.attempts {
		if t.Task == task && t.state != protocol.TaskExited {
			return true
		}
	}
	return false
}

func (a *Agent) killAttempt(t *attempt) {
	if t.state == protocol.TaskExited || t.killSent {
		return
	}
	t.killSent = true
	if t.launched {
		a.emit(KillAttempt{t.AttemptKey})
		return
	}
	t.exit(protocol.ExitStopped)
}

func (a *Agent) handleJobDescribed(now time.Duration, e JobDescribed) {
	t := a.findAttempt(e.AttemptKey)
	if t == nil || t.state != protocol.TaskFetching || t.description != nil {
		return
	}
	a.heartbeatAfterChange(now)
	job := &e.Description.Job
	_, index, _ := protocol.ParseTaskName(t.Task) // startAttempt has validated the name
	if !e.Found || index >= job.Tasks || job.Kind == protocol.KindGang {
		t.exit(protocol.ExitUnknownTask)
		return
	}
	if !a.fits(job) {
		t.exit(protocol.ExitNoCapacity)
		return
	}
	t.description = &e.Description
	if e.ResultStored {
		// An earlier attempt has stored the task's result, so this one must not run the
		// command again. It exits as soon as its image is fetched.
		t.description.Command, t.description.SimulatedS = nil, 0
	}
	a.emit(FetchImage{AttemptKey: t.AttemptKey, Image: job.Image, Duration: a.fetchDuration(job)})
}

// fits reports whether the machine has capacity for one more task of a job. An attempt
// that is being killed takes up capacity until it has exited.
func (a *Agent) fits(job *protocol.Job) bool {
	cpus, gpus, memory := a.settings.CPUs, a.settings.GPUs, a.settings.MemoryGB
	for _, t := range a.attempts {
		if t.description != nil && t.state != protocol.TaskExited {
			cpus -= t.description.Job.CPUs
			gpus -= t.description.Job.GPUs
			memory -= t.description.Job.MemoryGB
		}
	}
	return cpus >= job.CPUs-capacitySlack && gpus >= job.GPUs-capacitySlack && memory >= job.MemoryGB-capacitySlack
}

func (a *Agent) handleImageFetched(now time.Duration, e ImageFetched) {
	t := a.findAttempt(e.AttemptKey)
	if t == nil || t.state != protocol.TaskFetching || t.description == nil || t.killSent {
		return
	}
	a.cacheImage(image{t.description.Job.Image, t.description.Job.ImageGB})
	a.heartbeatAfterChange(now)
	if t.nothingToRun() {
		t.exit(protocol.ExitDone)
		return
	}
	t.state, t.launched = protocol.TaskRunning, true
	a.emit(LaunchAttempt{AttemptKey: t.AttemptKey, Description: *t.description})
}

func (a *Agent) handleAttemptExited(now time.Duration, e AttemptExited) {
	t := a.findAttempt(e.AttemptKey)
	if t == nil || t.state == protocol.TaskExited {
		return
	}
	// A command that was asked to save and then exited by itself, with any exit code, has
	// saved a checkpoint; one that was ended by a signal has not.
	t.saved = t.stopRequested && t.state == protocol.TaskSaving && e.ExitCode >= 0 && !t.killSent
	t.graceEndsAt = 0
	switch {
	case t.stopRequested || t.killSent:
		t.exit(protocol.ExitStopped)
	case e.ExitCode == 0 && e.Error == "":
		t.exit(protocol.ExitDone)
	default:
		t.exit(protocol.ExitFailed)
	}
	a.heartbeatAfterChange(now)
}

// image is an image in the machine's cache.
type image struct {
	name string
	gb   float64
}

// fetchDuration returns how long the fetch of a job's image takes. It is 0 for a cached
// image, which becomes the most recently used one.
func (a *Agent) fetchDuration(job *protocol.Job) time.Duration {
	if a.touchImage(job.Image) || a.settings.FetchGBps <= 0 {
		return 0
	}
	return config.Seconds(job.ImageGB / a.settings.FetchGBps)
}

// touchImage makes a cached image the most recently used one. It returns false if the image
// isn't cached.
func (a *Agent) touchImage(name string) bool {
	for i, m := range a.images {
		if m.name == name {
			a.images = append(append(a.images[:i:i], a.images[i+1:]...), m)
			return true
		}
	}
	return false
}

// cacheImage adds an image and evicts the least recently used ones until the cache is
// within its size. It never evicts the new image, even if that alone exceeds the size.
func (a *Agent) cacheImage(m image) {
	if a.touchImage(m.name) {
		return
	}
	a.images = append(a.images, m)
	if a.settings.CacheGB <= 0 {
		return
	}
	size := 0.0
	for _, cached := range a.images {
		size += cached.gb
	}
	for size > a.settings.CacheGB && len(a.images) > 1 {
		size -= a.images[0].gb
		a.images = a.images[1:]
	}
}
