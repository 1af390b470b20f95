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

// maxBatch is the most commands applied at once.
const maxBatch = 256

// Clients is everything beyond the core. Calls that wait are run in goroutines
// of their own.
type Clients struct {
	Store interface {
		Commit(core.Commit) core.CommitResult
		LoadPage(core.LoadPage) core.LoadResult
		Watch(core.Watch) core.WatchResult
		RenewLease(core.RenewLease) core.LeaseResult
	}
	Cloud interface {
		ListMachineTypes() core.MachineTypesResult
		ListInstances(core.ListInstances) core.ListInstancesResult
		CreateInstances(core.CreateInstances) core.CreateInstancesResult
		DeleteInstances(core.DeleteInstances) core.DeleteInstancesResult
	}
	Workers interface {
		Call(core.CallWorker) core.CallWorkerResult
		Probe(core.ProbeWorker) core.ProbeResult
	}
	Peers interface {
		Connect(label string)
		Send(core.SendToPeer)
		CloseSession(session uint64)
	}
}

// Engine owns a core.
type Engine struct {
	core      *core.Core
	clients   Clients
	logger    *slog.Logger
	queue     chan core.Command
	startedAt time.Time
	ready     atomic.Bool

	mu            sync.Mutex
	nextID        core.RequestID
	replyChannels map[core.RequestID]chan core.Reply
	responseTimes *hdrhistogram.Histogram // ms
}

// New makes an engine. Outside is set before Run.
func New(c *core.Core, log *slog.Logger) *Engine {
	return &Engine{
		core: c, logger: log, queue: make(chan core.Command, 4096), startedAt: time.Now(),
		replyChannels: map[core.RequestID]chan core.Reply{}, responseTimes: hdrhistogram.New(1, 60_000, 2),
	}
}

// Connect gives the engine its outside.
func (e *Engine) Connect(out Clients) { e.clients = out }

// Clock is the steady clock that the core lives by.
func (e *Engine) Clock() time.Duration { return time.Since(e.startedAt) }

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
	e.replyChannels[id] = ch
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.replyChannels, id)
		_ = e.responseTimes.RecordValue(min(max(time.Since(begin).Milliseconds(), 1), 60_000)) // within bounds
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
	s.ResponseTimes = core.Summarize(e.responseTimes)
	e.mu.Unlock()
	return s, true
}

// Run works until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	cmds := make([]core.Command, 0, maxBatch)
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
		for len(cmds) < maxBatch {
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
		ch := e.replyChannels[f.ID]
		delete(e.replyChannels, f.ID)
		e.mu.Unlock()
		if ch != nil {
			ch <- f
		}
	case core.Log:
		e.logger.Log(context.Background(), slog.Level(f.Level), f.Text, f.Args...)
	case core.SetReady:
		e.ready.Store(f.Ready)
	case core.SendToPeer:
		e.clients.Peers.Send(f)
	case core.ConnectPeer:
		e.clients.Peers.Connect(f.Label)
	case core.ClosePeer:
		e.clients.Peers.CloseSession(f.Session)
	case core.Commit:
		go func() { e.Post(e.clients.Store.Commit(f)) }()
	case core.LoadPage:
		go func() { e.Post(e.clients.Store.LoadPage(f)) }()
	case core.Watch:
		go func() { e.Post(e.clients.Store.Watch(f)) }()
	case core.RenewLease:
		go func() { e.Post(e.clients.Store.RenewLease(f)) }()
	case core.CallWorker:
		go func() { e.Post(e.clients.Workers.Call(f)) }()
	case core.ProbeWorker:
		go func() { e.Post(e.clients.Workers.Probe(f)) }()
	case core.ListMachineTypes:
		go func() { e.Post(e.clients.Cloud.ListMachineTypes()) }()
	case core.ListInstances:
		go func() { e.Post(e.clients.Cloud.ListInstances(f)) }()
	case core.CreateInstances:
		go func() { e.Post(e.clients.Cloud.CreateInstances(f)) }()
	case core.DeleteInstances:
		go func() { e.Post(e.clients.Cloud.DeleteInstances(f)) }()
	default:
		panic("engine: unknown effect")
	}
}
