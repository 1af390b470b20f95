// Package engine runs a core: one goroutine owns all state and works through a
// queue of commands in batches; what the core wants done outside is done by
// others, whose answers come back through the same queue.
package engine

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chalkhub/chalkhub/internal/core"
)

// batch is the most commands applied at once.
const batch = 256

// Outside is everything beyond the core. Calls that wait are run in goroutines
// of their own.
type Outside struct {
	State interface {
		Commit(core.Commit) core.CommitResult
		Load(core.LoadPage) core.LoadResult
		Follow(core.Watch) core.WatchResult
		Lease(core.RenewLease) core.LeaseResult
	}
	Cloud interface {
		Types() core.MachineTypesResult
		List(core.ListInstances) core.ListInstancesResult
		Hire(core.CreateInstances) core.CreateInstancesResult
		Delete(core.DeleteInstances) core.DeleteInstancesResult
	}
	Worker interface {
		Do(core.CallWorker) core.CallWorkerResult
		Inspect(core.ProbeWorker) core.ProbeResult
	}
	Peer interface {
		Target(label string)
		Send(core.SendToPeer)
		Close(session uint64)
	}
}

// Engine owns a core.
type Engine struct {
	core  *core.Core
	out   Outside
	log   *slog.Logger
	queue chan core.Command
	start time.Time
	ready atomic.Bool

	mu      sync.Mutex
	nextID  core.RequestID
	waiting map[core.RequestID]chan core.Reply
	answers *hdrhistogram.Histogram // ms
}

// New makes an engine. Outside is set before Run.
func New(c *core.Core, log *slog.Logger) *Engine {
	return &Engine{
		core: c, log: log, queue: make(chan core.Command, 4096), start: time.Now(),
		waiting: map[core.RequestID]chan core.Reply{}, answers: hdrhistogram.New(1, 60_000, 2),
	}
}

// Connect gives the engine its outside.
func (e *Engine) Connect(out Outside) { e.out = out }

// Clock is the steady clock that the core lives by.
func (e *Engine) Clock() time.Duration { return time.Since(e.start) }

// Ready reports whether the node can take requests.
func (e *Engine) Ready() bool { return e.ready.Load() }

// Post puts a command into the queue and waits while that is full.
func (e *Engine) Post(c core.Command) { e.queue <- c }

// Ask posts the command that make builds and waits for its reply, at most for
// the given time; ok is false if none came or the queue was full.
func (e *Engine) Ask(build func(core.RequestID) core.Command, timeout time.Duration) (r core.Reply, ok bool) {
	ch := make(chan core.Reply, 1)
	begin := time.Now()
	e.mu.Lock()
	e.nextID++
	id := e.nextID
	e.waiting[id] = ch
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.waiting, id)
		_ = e.answers.RecordValue(min(max(time.Since(begin).Milliseconds(), 1), 60_000)) // within bounds
		e.mu.Unlock()
	}()
	select {
	case e.queue <- build(id):
	default:
		return r, false
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case r = <-ch:
		return r, true
	case <-t.C:
		return r, false
	}
}

// Status asks the core for its picture and adds the answer times.
func (e *Engine) Status(timeout time.Duration) (*core.Status, bool) {
	r, ok := e.Ask(func(id core.RequestID) core.Command { return core.GetStatus{ID: id} }, timeout)
	if !ok {
		return nil, false
	}
	s := r.Body.(*core.Status)
	e.mu.Lock()
	s.ResponseTimes = core.Summarize(e.answers)
	e.mu.Unlock()
	return s, true
}

// Run works until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	cmds := make([]core.Command, 0, batch)
	for {
		cmds = cmds[:0]
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-e.queue:
			cmds = append(cmds, c)
		case <-timer.C:
		}
	more:
		for len(cmds) < batch {
			select {
			case c := <-e.queue:
				cmds = append(cmds, c)
			default:
				break more
			}
		}
		now := core.Instant{Monotonic: e.Clock(), Wall: float64(time.Now().UnixMicro()) / 1e6}
		for _, eff := range e.core.Apply(now, cmds) {
			e.perform(eff)
		}
		timer.Reset(max(e.core.NextDeadline()-e.Clock(), 2*time.Millisecond))
	}
}

func (e *Engine) perform(eff core.Effect) {
	switch f := eff.(type) {
	case core.Reply:
		e.mu.Lock()
		ch := e.waiting[f.ID]
		delete(e.waiting, f.ID)
		e.mu.Unlock()
		if ch != nil {
			ch <- f
		}
	case core.Log:
		e.log.Log(context.Background(), slog.Level(f.Level), f.Text, f.Args...)
	case core.SetReady:
		e.ready.Store(f.Ready)
	case core.SendToPeer:
		e.out.Peer.Send(f)
	case core.ConnectPeer:
		e.out.Peer.Target(f.Label)
	case core.ClosePeer:
		e.out.Peer.Close(f.Session)
	case core.Commit:
		go func() { e.Post(e.out.State.Commit(f)) }()
	case core.LoadPage:
		go func() { e.Post(e.out.State.Load(f)) }()
	case core.Watch:
		go func() { e.Post(e.out.State.Follow(f)) }()
	case core.RenewLease:
		go func() { e.Post(e.out.State.Lease(f)) }()
	case core.CallWorker:
		go func() { e.Post(e.out.Worker.Do(f)) }()
	case core.ProbeWorker:
		go func() { e.Post(e.out.Worker.Inspect(f)) }()
	case core.ListMachineTypes:
		go func() { e.Post(e.out.Cloud.Types()) }()
	case core.ListInstances:
		go func() { e.Post(e.out.Cloud.List(f)) }()
	case core.CreateInstances:
		go func() { e.Post(e.out.Cloud.Hire(f)) }()
	case core.DeleteInstances:
		go func() { e.Post(e.out.Cloud.Delete(f)) }()
	default:
		panic("engine: unknown effect")
	}
}
