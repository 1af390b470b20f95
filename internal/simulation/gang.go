package simulation

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// gangPollInterval is how often a task of a gang checks whether its peers are on machines.
const gangPollInterval = 200 * time.Millisecond

// gangTask is an attempt at a task of a gang on its machine. It waits until all tasks of the gang are
// on machines, then runs for the RunS of its job. It exits early if the wait takes longer than the
// setting gang_wait_s or if a peer is missing for longer than gang_peer_s while it runs.
type gangTask struct {
	worker       *Worker
	task         *Task
	waitUntil    time.Duration // simulated time until which it waits for its peers
	runningSince time.Duration
	missingSince time.Duration // when a peer was first found missing while it ran, 0: none is missing
}

func (w *Worker) runGangTask(task *Task) {
	wait := config.Seconds(w.cluster.Settings.Site.Workers.GangWaitS)
	gang := &gangTask{worker: w, task: task, waitUntil: w.cluster.Now + wait}
	gang.poll()
}

// poll advances the task every gangPollInterval until it exits or is no longer on its machine.
func (g *gangTask) poll() {
	job, cluster := g.task.job, g.worker.cluster
	if !g.task.occupiesMachine() || job.machines[g.task.Name] != g.worker.Info.Name {
		return
	}
	if reason := g.advance(); reason != "" {
		g.worker.exit(g.task, reason)
		return
	}
	cluster.After(gangPollInterval, g.poll)
}

// advance updates the state of the task from that of its peers. It returns the exit reason if the
// task ends, else an empty string.
func (g *gangTask) advance() (exitReason string) {
	cluster := g.worker.cluster
	timing := &cluster.Settings.Site.Workers
	waiting, running := g.task.State == protocol.TaskWaiting, g.task.State == protocol.TaskRunning
	switch complete := g.allPresent(); {
	case waiting && complete:
		g.task.State, g.runningSince = protocol.TaskRunning, cluster.Now
		g.worker.statusChanged()
	case waiting && cluster.Now > g.waitUntil:
		return protocol.ExitGangIncomplete
	case running && !complete:
		if g.missingSince == 0 {
			g.missingSince = cluster.Now
		}
		if cluster.Now-g.missingSince > config.Seconds(timing.GangPeerS) {
			return protocol.ExitGangPeerLost
		}
	case running && cluster.Now-g.runningSince >= config.Seconds(g.task.job.RunS):
		return protocol.ExitDone
	default:
		g.missingSince = 0
	}
	return ""
}

// allPresent reports whether each of the gang's tasks has completed or is on a machine with the same
// attempt number as this task.
func (g *gangTask) allPresent() bool {
	job := g.task.job
	present := len(job.completed)
	for name, machine := range job.machines {
		peer := g.worker.cluster.Workers[machine]
		if peer != nil && peer.currentAttempt(name) == g.task.Attempt {
			present++
		}
	}
	return present >= job.Spec.Tasks
}
