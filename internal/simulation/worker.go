package simulation

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Worker is the agent on a machine.
type Worker struct {
	cluster           *World
	Info              protocol.Instance
	Faulty            bool    // every task it starts fails
	Hung              bool    // does nothing until it resumes; its lease ends all the same
	Mute              bool    // opens no connection to a controller
	Slow              float64 // tasks take so many times as long, 0: once
	removed           bool
	clockRate         float64
	session           uint64
	reportSeq         uint64
	leaderToken       uint64
	Tasks             []*Task
	images            map[string]bool
	nodeIndex         int
	heartbeatInFlight bool
	changedInFlight   bool // something changed while a report was under way
	leaseRenewedAt    time.Duration
	lastHeartbeatAt   time.Duration
	heartbeatTimer    uint64
	NoticeS           *float64
	lastTaskAt        time.Duration // when it took a task last
	hardwareFailed    bool          // a task has failed here that would not have elsewhere
}

// Task is an attempt on a machine.
type Task struct {
	Name         string
	Attempt      uint64
	State        string
	Why          string
	Saved        bool
	job          *Job
	index        int
	runningSince time.Duration // when it began to run
}

// occupiesMachine reports whether the task counts as being on its machine.
func (t *Task) occupiesMachine() bool {
	return t.State == protocol.TaskRunning || t.State == protocol.TaskSaving || t.State == protocol.TaskWaiting
}

func (t *Task) usesCapacity() bool { return t.State != protocol.TaskExited }

func newWorker(w *World, m protocol.Instance) *Worker {
	k := &Worker{cluster: w, Info: m, session: 1, images: map[string]bool{}, leaseRenewedAt: w.Now, lastHeartbeatAt: -time.Hour,
		clockRate: 1 + (w.Rand.Float64()*2-1)*0.00025, nodeIndex: w.Rand.IntN(len(w.Nodes))}
	k.sendHeartbeat()
	k.watchLease()
	return k
}

func (k *Worker) remove() {
	k.removed = true
	for _, t := range k.Tasks {
		k.cluster.Users.taskLeft(k, t)
	}
	k.Tasks = nil
	delete(k.cluster.Workers, k.Info.Name)
}

func (k *Worker) localDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / k.clockRate)
}

func (k *Worker) lease() time.Duration {
	return k.localDuration(config.Seconds(k.cluster.Set.Site.Workers.LeaseS))
}

func (k *Worker) watchLease() {
	if k.removed {
		return
	}
	// A hung machine too: it may resume within its lease, not after it.
	if k.cluster.Now-k.leaseRenewedAt > k.lease() {
		for _, t := range k.Tasks {
			k.cluster.Users.taskLeft(k, t)
		}
		k.Tasks = nil
		k.session++
		k.leaseRenewedAt = k.cluster.Now
		k.statusChanged()
	}
	k.cluster.After(100*time.Millisecond, k.watchLease)
}

// heartbeat is the worker's report, as of now.
func (k *Worker) heartbeat() protocol.Heartbeat {
	k.reportSeq++
	r := protocol.Heartbeat{
		Machine: k.Info.Name, Addr: k.Info.Addr, Type: k.Info.Type, Zone: k.Info.Zone, Spot: k.Info.Spot,
		Session: k.session, Seq: k.reportSeq, Token: k.leaderToken, NoticeS: k.NoticeS, Tasks: []protocol.TaskStatus{},
	}
	for _, t := range k.Tasks {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: t.Name, Attempt: t.Attempt, State: t.State, ExitReason: t.Why, Saved: t.Saved})
	}
	return r
}

func (k *Worker) statusChanged() {
	if k.heartbeatInFlight {
		k.changedInFlight = true
		return
	}
	k.scheduleHeartbeat(max(k.lastHeartbeatAt+500*time.Millisecond-k.cluster.Now, 0))
}

func (k *Worker) scheduleHeartbeat(d time.Duration) {
	k.heartbeatTimer++
	id := k.heartbeatTimer
	k.cluster.After(d, func() {
		if id == k.heartbeatTimer && !k.removed {
			k.sendHeartbeat()
		}
	})
}

func (k *Worker) sendHeartbeat() {
	if k.removed || k.heartbeatInFlight {
		return
	}
	if k.Hung {
		k.scheduleHeartbeat(time.Second)
		return
	}
	k.heartbeatInFlight, k.changedInFlight = true, false
	k.lastHeartbeatAt = k.cluster.Now
	sent, session := k.cluster.Now, k.session
	rep := k.heartbeat()
	node := k.cluster.Nodes[k.nodeIndex]
	next := func(d time.Duration) {
		k.heartbeatInFlight = false
		if k.changedInFlight {
			d = max(k.lastHeartbeatAt+500*time.Millisecond-k.cluster.Now, 0)
		}
		k.scheduleHeartbeat(d)
	}
	elsewhere := func() {
		k.nodeIndex = (k.nodeIndex + 1) % len(k.cluster.Nodes)
		next(time.Second)
	}
	if k.Mute {
		elsewhere()
		return
	}
	k.cluster.retain(rep)
	var got func(core.Reply)
	got = func(r core.Reply) {
		if k.removed {
			return
		}
		if k.Hung && k.cluster.Now-sent < 4*time.Second {
			k.cluster.After(100*time.Millisecond, func() { got(r) }) // it is read once the machine goes on
			return
		}
		if k.Hung {
			elsewhere()
			return
		}
		switch body := r.Body.(type) {
		case protocol.HeartbeatResponse:
			if session == k.session && body.Token >= k.leaderToken && k.cluster.Now-sent < 4*time.Second {
				raised := body.Token > k.leaderToken
				k.leaderToken = body.Token
				k.leaseRenewedAt = max(k.leaseRenewedAt, sent)
				if k.execute(body.Commands) || raised {
					k.changedInFlight = true
				}
			}
			report := config.Seconds(k.cluster.Set.Site.Workers.ReportS)
			next(k.localDuration(time.Duration(float64(report) * (0.75 + k.cluster.Rand.Float64()/2))))
			return
		case protocol.Redirect:
			for i, n := range k.cluster.Nodes {
				if n.Label == body.ReportTo && i != k.nodeIndex {
					k.nodeIndex = i
					next(time.Duration(k.cluster.Rand.Int64N(int64(500 * time.Millisecond))))
					return
				}
			}
		}
		elsewhere()
	}
	call(k.cluster, k.Info.Name, node.Label, 4*time.Second, func(reply func(core.Reply)) {
		node.Ask(func(id core.RequestID) core.Command { return core.Heartbeat{ID: id, Report: rep} }, reply)
	}, got, elsewhere)
}

func (k *Worker) handleDirect(d protocol.DirectCommands, answer func(core.DirectOutcome, protocol.Heartbeat)) {
	if k.removed {
		return
	}
	if k.Hung {
		k.cluster.After(time.Second, func() { k.handleDirect(d, answer) })
		return
	}
	if d.Token < k.leaderToken || d.Session != k.session {
		if d.Token > k.leaderToken {
			k.leaderToken = d.Token
		}
		answer(core.DirectFenced, k.heartbeat())
		return
	}
	k.leaderToken = d.Token
	if k.execute(d.Commands) {
		k.statusChanged()
	}
	answer(core.DirectExecuted, k.heartbeat())
}

// execute carries out commands in order and reports whether anything changed.
func (k *Worker) execute(cmds []protocol.Command) bool {
	some := false
	for _, c := range cmds {
		switch c.Kind {
		case protocol.CommandStart:
			some = k.start(c) || some
		case protocol.CommandStop:
			for _, t := range k.Tasks {
				if t.Name == c.Task && t.Attempt == c.Attempt && t.State != protocol.TaskExited {
					k.stop(t, c.GraceS)
					some = true
				}
			}
		case protocol.CommandForget:
			kept := k.Tasks[:0]
			for _, t := range k.Tasks {
				if t.Name == c.Task && t.Attempt == c.Attempt && t.State == protocol.TaskExited {
					some = true
					continue
				}
				kept = append(kept, t)
			}
			k.Tasks = kept
		}
	}
	return some
}

func (k *Worker) start(c protocol.Command) bool {
	u := k.cluster.Users
	t := &Task{Name: c.Task, Attempt: c.Attempt, State: protocol.TaskFetching}
	for _, x := range k.Tasks {
		if x.Name == c.Task {
			if x.Attempt == c.Attempt {
				return false
			}
			if x.usesCapacity() {
				t.State, t.Why = protocol.TaskExited, protocol.ExitDuplicate
			}
		}
	}
	ref, i, err := protocol.ParseTaskName(c.Task)
	t.job, t.index = u.jobs[ref], i
	if err != nil || t.job == nil || i >= t.job.Spec.Tasks {
		t.State, t.Why = protocol.TaskExited, protocol.ExitUnknownTask
	}
	if t.State == protocol.TaskFetching && !k.hasCapacity(&t.job.Spec) {
		t.State, t.Why = protocol.TaskExited, protocol.ExitNoCapacity
	}
	k.Tasks = append(k.Tasks, t)
	if t.State != protocol.TaskFetching {
		return true
	}
	t.job.lastStartAt, k.lastTaskAt = k.cluster.Now, k.cluster.Now
	if t.job.Cancelled > 0 {
		u.LateStarts++
	}
	fetch := time.Duration(0)
	if s := &t.job.Spec; !k.images[s.Image] {
		fetch = config.Seconds(s.ImageGB / k.cluster.Cloud.Type(k.Info.Type).FetchGBps)
	}
	k.afterIfPresent(t, fetch, func() {
		if t.State != protocol.TaskFetching {
			return
		}
		k.images[t.job.Spec.Image] = true
		if t.job.Spec.Kind == protocol.KindGang {
			t.State = protocol.TaskWaiting
			u.taskStarted(k, t)
			k.statusChanged()
			u.runGangTask(k, t)
			return
		}
		t.State = protocol.TaskRunning
		u.taskStarted(k, t)
		k.statusChanged()
		t.runningSince = k.cluster.Now
		runS := t.job.RunS
		if len(t.job.RunsS) > 0 {
			runS = t.job.RunsS[t.index]
		}
		run := config.Seconds(runS*max(k.Slow, 1)) - t.job.savedRun[t.index]
		if t.job.completed[t.index] {
			run = 0
		}
		switch {
		case k.Faulty || t.job.Mistaken:
			k.afterIfPresent(t, 500*time.Millisecond, func() { k.exit(t, protocol.ExitFailed) })
		case t.job.Spec.Kind != protocol.KindService:
			k.afterIfPresent(t, run, func() { k.exit(t, protocol.ExitDone) })
		}
	})
	return true
}

// currentAttempt is the attempt of a task that is on the machine, or 0.
func (k *Worker) currentAttempt(task string) uint64 {
	for _, t := range k.Tasks {
		if t.Name == task && t.occupiesMachine() {
			return t.Attempt
		}
	}
	return 0
}

// afterIfPresent runs f if the task is still here by then.
func (k *Worker) afterIfPresent(t *Task, d time.Duration, f func()) {
	k.cluster.After(d, func() {
		if k.Hung {
			k.afterIfPresent(t, time.Second, f)
			return
		}
		for _, x := range k.Tasks {
			if x == t && !k.removed {
				f()
				return
			}
		}
	})
}

func (k *Worker) exit(t *Task, why string) {
	if t.State == protocol.TaskExited {
		return
	}
	k.cluster.Users.taskLeft(k, t)
	if t.job != nil && t.runningSince > 0 && why == protocol.ExitStopped {
		ran := k.cluster.Now - t.runningSince
		if step := config.Seconds(t.job.Spec.CheckpointS); step <= 0 {
			ran = 0
		} else if !t.Saved {
			ran = ran / step * step
		}
		t.job.savedRun[t.index] += ran
	}
	t.State, t.Why = protocol.TaskExited, why
	k.hardwareFailed = k.hardwareFailed || why == protocol.ExitFailed && !t.job.Mistaken
	if why == protocol.ExitDone && t.job != nil && !t.job.completed[t.index] {
		t.job.completed[t.index] = true
		if len(t.job.completed) == t.job.Spec.Tasks {
			k.cluster.Users.jobCompleted(t.job)
		}
	}
	k.statusChanged()
}

func (k *Worker) stop(t *Task, grace float64) {
	s := t.job
	if t.State == protocol.TaskRunning && s != nil && s.Spec.CheckpointS > 0 && grace >= s.Spec.SaveS {
		t.State = protocol.TaskSaving
		k.afterIfPresent(t, config.Seconds(s.Spec.SaveS), func() { t.Saved = true; k.exit(t, protocol.ExitStopped) })
		return
	}
	k.exit(t, protocol.ExitStopped)
}

// capacity are what a machine has left.
type capacity struct{ cpus, gpus, memoryGB float64 }

func (k *Worker) free() capacity {
	mt := k.cluster.Cloud.Type(k.Info.Type)
	left := capacity{mt.CPUs, mt.GPUs, mt.MemoryGB}
	for _, t := range k.Tasks {
		if t.usesCapacity() && t.job != nil {
			left.cpus -= t.job.Spec.CPUs
			left.gpus -= t.job.Spec.GPUs
			left.memoryGB -= t.job.Spec.MemoryGB
		}
	}
	return left
}

func (k *Worker) hasCapacity(s *protocol.Job) bool {
	left := k.free()
	return left.cpus >= s.CPUs-1e-9 && left.gpus >= s.GPUs-1e-9 && left.memoryGB >= s.MemoryGB-1e-9
}

// ReportsTo is the controller that it sends its reports to.
func (k *Worker) ReportsTo() *Node { return k.cluster.Nodes[k.nodeIndex] }
