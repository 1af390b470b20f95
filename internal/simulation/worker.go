package simulation

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Worker is the agent on a machine.
type Worker struct {
	w       *World
	Info    protocol.Instance
	Faulty  bool    // every task it starts fails
	Hung    bool    // does nothing until it resumes; its lease ends all the same
	Mute    bool    // opens no connection to a controller
	Slow    float64 // tasks take so many times as long, 0: once
	dead    bool
	rate    float64
	session uint64
	seq     uint64
	token   uint64
	Tasks   []*Task
	images  map[string]bool
	node    int
	flying  bool
	again   bool // something changed while a report was under way
	lastOK  time.Duration
	lastRep time.Duration
	timer   uint64
	NoticeS *float64
	tookAt  time.Duration // when it took a task last
	failed  bool          // a task has failed here that would not have elsewhere
}

// Task is an attempt on a machine.
type Task struct {
	Name    string
	Attempt uint64
	State   string
	Why     string
	Saved   bool
	job     *Job
	index   int
	began   time.Duration // when it began to run
}

// on reports whether the task counts as being on its machine.
func (t *Task) on() bool {
	return t.State == protocol.TaskRunning || t.State == protocol.TaskSaving || t.State == protocol.TaskWaiting
}

func (t *Task) takesRoom() bool { return t.State != protocol.TaskExited }

func newWorker(w *World, m protocol.Instance) *Worker {
	k := &Worker{w: w, Info: m, session: 1, images: map[string]bool{}, lastOK: w.Now, lastRep: -time.Hour,
		rate: 1 + (w.Rand.Float64()*2-1)*0.00025, node: w.Rand.IntN(len(w.Nodes))}
	k.report()
	k.watchLease()
	return k
}

func (k *Worker) die() {
	k.dead = true
	for _, t := range k.Tasks {
		k.w.Users.left(k, t)
	}
	k.Tasks = nil
	delete(k.w.Workers, k.Info.Name)
}

func (k *Worker) span(d time.Duration) time.Duration { return time.Duration(float64(d) / k.rate) }

func (k *Worker) lease() time.Duration { return k.span(config.Seconds(k.w.Set.Site.Workers.LeaseS)) }

func (k *Worker) watchLease() {
	if k.dead {
		return
	}
	// A hung machine too: it may resume within its lease, not after it.
	if k.w.Now-k.lastOK > k.lease() {
		for _, t := range k.Tasks {
			k.w.Users.left(k, t)
		}
		k.Tasks = nil
		k.session++
		k.lastOK = k.w.Now
		k.changed()
	}
	k.w.After(100*time.Millisecond, k.watchLease)
}

// message is the worker's report, as of now.
func (k *Worker) message() protocol.Heartbeat {
	k.seq++
	r := protocol.Heartbeat{
		Machine: k.Info.Name, Addr: k.Info.Addr, Type: k.Info.Type, Zone: k.Info.Zone, Spot: k.Info.Spot,
		Session: k.session, Seq: k.seq, Token: k.token, NoticeS: k.NoticeS, Tasks: []protocol.TaskStatus{},
	}
	for _, t := range k.Tasks {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: t.Name, Attempt: t.Attempt, State: t.State, ExitReason: t.Why, Saved: t.Saved})
	}
	return r
}

func (k *Worker) changed() {
	if k.flying {
		k.again = true
		return
	}
	k.schedule(max(k.lastRep+500*time.Millisecond-k.w.Now, 0))
}

func (k *Worker) schedule(d time.Duration) {
	k.timer++
	id := k.timer
	k.w.After(d, func() {
		if id == k.timer && !k.dead {
			k.report()
		}
	})
}

func (k *Worker) report() {
	if k.dead || k.flying {
		return
	}
	if k.Hung {
		k.schedule(time.Second)
		return
	}
	k.flying, k.again = true, false
	k.lastRep = k.w.Now
	sent, session := k.w.Now, k.session
	rep := k.message()
	node := k.w.Nodes[k.node]
	next := func(d time.Duration) {
		k.flying = false
		if k.again {
			d = max(k.lastRep+500*time.Millisecond-k.w.Now, 0)
		}
		k.schedule(d)
	}
	elsewhere := func() {
		k.node = (k.node + 1) % len(k.w.Nodes)
		next(time.Second)
	}
	if k.Mute {
		elsewhere()
		return
	}
	k.w.keep(rep)
	var got func(core.Reply)
	got = func(r core.Reply) {
		if k.dead {
			return
		}
		if k.Hung && k.w.Now-sent < 4*time.Second {
			k.w.After(100*time.Millisecond, func() { got(r) }) // it is read once the machine goes on
			return
		}
		if k.Hung {
			elsewhere()
			return
		}
		switch body := r.Body.(type) {
		case protocol.HeartbeatResponse:
			if session == k.session && body.Token >= k.token && k.w.Now-sent < 4*time.Second {
				raised := body.Token > k.token
				k.token = body.Token
				k.lastOK = max(k.lastOK, sent)
				if k.execute(body.Commands) || raised {
					k.again = true
				}
			}
			report := config.Seconds(k.w.Set.Site.Workers.ReportS)
			next(k.span(time.Duration(float64(report) * (0.75 + k.w.Rand.Float64()/2))))
			return
		case protocol.Redirect:
			for i, n := range k.w.Nodes {
				if n.Label == body.ReportTo && i != k.node {
					k.node = i
					next(time.Duration(k.w.Rand.Int64N(int64(500 * time.Millisecond))))
					return
				}
			}
		}
		elsewhere()
	}
	call(k.w, k.Info.Name, node.Label, 4*time.Second, func(reply func(core.Reply)) {
		node.Ask(func(id core.RequestID) core.Command { return core.Heartbeat{ID: id, Report: rep} }, reply)
	}, got, elsewhere)
}

func (k *Worker) do(d protocol.DirectCommands, answer func(core.DirectOutcome, protocol.Heartbeat)) {
	if k.dead {
		return
	}
	if k.Hung {
		k.w.After(time.Second, func() { k.do(d, answer) })
		return
	}
	if d.Token < k.token || d.Session != k.session {
		if d.Token > k.token {
			k.token = d.Token
		}
		answer(core.DirectFenced, k.message())
		return
	}
	k.token = d.Token
	if k.execute(d.Commands) {
		k.changed()
	}
	answer(core.DirectExecuted, k.message())
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
	u := k.w.Users
	t := &Task{Name: c.Task, Attempt: c.Attempt, State: protocol.TaskFetching}
	for _, x := range k.Tasks {
		if x.Name == c.Task {
			if x.Attempt == c.Attempt {
				return false
			}
			if x.takesRoom() {
				t.State, t.Why = protocol.TaskExited, protocol.ExitDuplicate
			}
		}
	}
	ref, i, err := protocol.ParseTaskName(c.Task)
	t.job, t.index = u.jobs[ref], i
	if err != nil || t.job == nil || i >= t.job.Spec.Tasks {
		t.State, t.Why = protocol.TaskExited, protocol.ExitUnknownTask
	}
	if t.State == protocol.TaskFetching && !k.room(&t.job.Spec) {
		t.State, t.Why = protocol.TaskExited, protocol.ExitNoCapacity
	}
	k.Tasks = append(k.Tasks, t)
	if t.State != protocol.TaskFetching {
		return true
	}
	t.job.startedAt, k.tookAt = k.w.Now, k.w.Now
	if t.job.Cancelled > 0 {
		u.LateStarts++
	}
	fetch := time.Duration(0)
	if s := &t.job.Spec; !k.images[s.Image] {
		fetch = config.Seconds(s.ImageGB / k.w.Cloud.Type(k.Info.Type).FetchGBps)
	}
	k.later(t, fetch, func() {
		if t.State != protocol.TaskFetching {
			return
		}
		k.images[t.job.Spec.Image] = true
		if t.job.Spec.Kind == protocol.KindGang {
			t.State = protocol.TaskWaiting
			u.arrived(k, t)
			k.changed()
			u.gang(k, t)
			return
		}
		t.State = protocol.TaskRunning
		u.arrived(k, t)
		k.changed()
		t.began = k.w.Now
		runS := t.job.RunS
		if len(t.job.RunsS) > 0 {
			runS = t.job.RunsS[t.index]
		}
		run := config.Seconds(runS*max(k.Slow, 1)) - t.job.saved[t.index]
		if t.job.done[t.index] {
			run = 0
		}
		switch {
		case k.Faulty || t.job.Mistaken:
			k.later(t, 500*time.Millisecond, func() { k.exit(t, protocol.ExitFailed) })
		case t.job.Spec.Kind != protocol.KindService:
			k.later(t, run, func() { k.exit(t, protocol.ExitDone) })
		}
	})
	return true
}

// attempt is the attempt of a task that is on the machine, or 0.
func (k *Worker) attempt(task string) uint64 {
	for _, t := range k.Tasks {
		if t.Name == task && t.on() {
			return t.Attempt
		}
	}
	return 0
}

// later runs f if the task is still here by then.
func (k *Worker) later(t *Task, d time.Duration, f func()) {
	k.w.After(d, func() {
		if k.Hung {
			k.later(t, time.Second, f)
			return
		}
		for _, x := range k.Tasks {
			if x == t && !k.dead {
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
	k.w.Users.left(k, t)
	if t.job != nil && t.began > 0 && why == protocol.ExitStopped {
		ran := k.w.Now - t.began
		if step := config.Seconds(t.job.Spec.CheckpointS); step <= 0 {
			ran = 0
		} else if !t.Saved {
			ran = ran / step * step
		}
		t.job.saved[t.index] += ran
	}
	t.State, t.Why = protocol.TaskExited, why
	k.failed = k.failed || why == protocol.ExitFailed && !t.job.Mistaken
	if why == protocol.ExitDone && t.job != nil && !t.job.done[t.index] {
		t.job.done[t.index] = true
		if len(t.job.done) == t.job.Spec.Tasks {
			k.w.Users.ended(t.job)
		}
	}
	k.changed()
}

func (k *Worker) stop(t *Task, grace float64) {
	s := t.job
	if t.State == protocol.TaskRunning && s != nil && s.Spec.CheckpointS > 0 && grace >= s.Spec.SaveS {
		t.State = protocol.TaskSaving
		k.later(t, config.Seconds(s.Spec.SaveS), func() { t.Saved = true; k.exit(t, protocol.ExitStopped) })
		return
	}
	k.exit(t, protocol.ExitStopped)
}

// amounts are what a machine has left.
type amounts struct{ cpus, gpus, mem float64 }

func (k *Worker) free() amounts {
	mt := k.w.Cloud.Type(k.Info.Type)
	left := amounts{mt.CPUs, mt.GPUs, mt.MemoryGB}
	for _, t := range k.Tasks {
		if t.takesRoom() && t.job != nil {
			left.cpus -= t.job.Spec.CPUs
			left.gpus -= t.job.Spec.GPUs
			left.mem -= t.job.Spec.MemoryGB
		}
	}
	return left
}

func (k *Worker) room(s *protocol.Job) bool {
	left := k.free()
	return left.cpus >= s.CPUs-1e-9 && left.gpus >= s.GPUs-1e-9 && left.mem >= s.MemoryGB-1e-9
}

// ReportsTo is the controller that it sends its reports to.
func (k *Worker) ReportsTo() *Node { return k.w.Nodes[k.node] }
