package simulation

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// runGangTask lets a gang run once all of its tasks are on machines, and ends the task
// if that takes too long or a peer is lost.
func (u *Users) runGangTask(k *Worker, t *Task) {
	j := t.job
	w := u.cluster
	all := func() bool { // of this very start
		n := len(j.completed)
		for name, m := range j.machines {
			if other := w.Workers[m]; other != nil && other.currentAttempt(name) == t.Attempt {
				n++
			}
		}
		return n >= j.Spec.Tasks
	}
	wait := w.Now + config.Seconds(w.Set.Site.Workers.GangWaitS)
	var watch func()
	started, missing := time.Duration(0), time.Duration(0)
	watch = func() {
		if !t.occupiesMachine() || j.machines[t.Name] != k.Info.Name {
			return
		}
		switch {
		case t.State == protocol.TaskWaiting && all():
			t.State, started = protocol.TaskRunning, w.Now
			k.statusChanged()
		case t.State == protocol.TaskWaiting && w.Now > wait:
			k.exit(t, protocol.ExitGangIncomplete)
			return
		case t.State == protocol.TaskRunning && !all():
			if missing == 0 {
				missing = w.Now
			}
			if w.Now-missing > config.Seconds(w.Set.Site.Workers.GangPeerS) {
				k.exit(t, protocol.ExitGangPeerLost)
				return
			}
		case t.State == protocol.TaskRunning && w.Now-started >= config.Seconds(j.RunS):
			k.exit(t, protocol.ExitDone)
			return
		default:
			missing = 0
		}
		w.After(200*time.Millisecond, watch)
	}
	watch()
}
