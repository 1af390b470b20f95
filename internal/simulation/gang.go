package simulation

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// gangPollInterval is how often a gang's task polls its peers.
const gangPollInterval = 200 * time.Millisecond

// gangTask is a gang's task on its machine: it runs once all tasks of the gang are on
// machines, and ends if that takes too long or a peer is lost.
type gangTask struct {
	worker       *Worker
	task         *Task
	waitUntil    time.Duration // for the peers
	runningSince time.Duration
	missingSince time.Duration // when a peer was found missing while it ran, 0: none is
}

func (w *Worker) runGangTask(task *Task) {
	wait := config.Seconds(w.cluster.Settings.Site.Workers.GangWaitS)
	gang := &gangTask{worker: w, task: task, waitUntil: w.cluster.Now + wait}
	gang.poll()
}

// poll polls the peers until the task is over.
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

// advance moves the task on as its peers allow, and gives the reason of its exit if it is over.
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

// allPresent reports whether all of the gang's tasks are on machines with this very attempt,
// or have completed.
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
