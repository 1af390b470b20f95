// Package engine runs a core: it gives it commands and the time, and carries out the
// effects that it decides on.
//
// It owns the queue of commands, the steady clock of a node, the requests that wait for a
// reply, and the goroutines in which outside calls run. It does not know what a command
// means or why an effect is wanted; it decides nothing but which of them goes where.
//
// Invariants:
//   - One goroutine, Engine.Run, touches the core. All else goes through the queue.
//   - Effects are carried out in the order in which the core gives them, but for outside
//     calls: these run beside each other, and their answers come back as commands.
//   - A request gets one reply at the most.
package engine

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chalkhub/chalkhub/internal/core"
)

const (
	// maxBatch is the most commands that the core applies at once: with more, the first of
	// them would wait for the last.
	maxBatch = 256
	// queueLength is how many commands may wait. With more, requests are refused, and
	// whoever posts another command waits.
	queueLength = 4096
	// minTimerDelay keeps deadlines that follow on each other from spinning.
	minTimerDelay = 2 * time.Millisecond

	// maxRecordedMillis bounds the response times that are recorded; no request waits longer.
	maxRecordedMillis = 60_000
	significantDigits = 2 // within a percent, in a few kilobytes
)

// Engine runs one core.
type Engine struct {
	core      *core.Core // belongs to Run
	clients   Clients
	logger    *slog.Logger
	queue     chan core.Command
	startedAt time.Time
	ready     atomic.Bool

	mu            sync.Mutex
	lastID        core.RequestID
	replyChannels map[core.RequestID]chan core.Reply // of the requests that wait
	responseTimes *hdrhistogram.Histogram            // milliseconds
}

// New makes an engine for a core, which belongs to it from then on. Connect follows before
// Run.
func New(c *core.Core, logger *slog.Logger) *Engine {
	return &Engine{
		core:          c,
		logger:        logger,
		queue:         make(chan core.Command, queueLength),
		startedAt:     time.Now(),
		replyChannels: map[core.RequestID]chan core.Reply{},
		responseTimes: hdrhistogram.New(1, maxRecordedMillis, significantDigits),
	}
}

// Connect gives the engine its clients, which may need the engine themselves.
func (e *Engine) Connect(clients Clients) { e.clients = clients }

// Clock is the steady clock that the core lives by.
func (e *Engine) Clock() time.Duration { return time.Since(e.startedAt) }

// Ready reports whether the node can take requests.
func (e *Engine) Ready() bool { return e.ready.Load() }

// Post puts a command into the queue and waits while that is full.
func (e *Engine) Post(command core.Command) { e.queue <- command }

// Ask posts the command that build makes for a request and waits for its reply, at most for
// the given time; ok is false if none came or the queue was full.
func (e *Engine) Ask(build func(core.RequestID) core.Command, timeout time.Duration) (reply core.Reply, ok bool) {
	begin := time.Now()
	id, replies := e.registerRequest()
	defer e.finishRequest(id, begin)
	select {
	case e.queue <- build(id):
	default:
		return core.Reply{}, false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply, true
	case <-timer.C:
		return core.Reply{}, false
	}
}

// registerRequest gives a request its number and the channel of its reply, which takes that
// without waiting.
func (e *Engine) registerRequest() (core.RequestID, <-chan core.Reply) {
	replies := make(chan core.Reply, 1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	e.replyChannels[e.lastID] = replies
	return e.lastID, replies
}

// finishRequest forgets a request that has its reply, or waits for it no longer.
func (e *Engine) finishRequest(id core.RequestID, begin time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.replyChannels, id)
	millis := min(max(time.Since(begin).Milliseconds(), 1), maxRecordedMillis)
	_ = e.responseTimes.RecordValue(millis) // it is within the bounds
}

// Status asks the core for its status and adds the response times.
func (e *Engine) Status(timeout time.Duration) (*core.Status, bool) {
	reply, ok := e.Ask(func(id core.RequestID) core.Command { return core.GetStatus{ID: id} }, timeout)
	if !ok {
		return nil, false
	}
	status := reply.Body.(*core.Status) // the only reply to GetStatus
	e.mu.Lock()
	defer e.mu.Unlock()
	status.ResponseTimes = core.Summarize(e.responseTimes)
	return status, true
}

// Run runs the core until ctx ends. Outside calls that are under way then are left to their
// timeouts; nobody takes their answers any more.
func (e *Engine) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	batch := make([]core.Command, 0, maxBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return ctx.Err()
		case command := <-e.queue:
			batch = append(batch, command)
		case <-timer.C:
		}
		batch = e.fillBatch(batch)
		for _, effect := range e.core.Apply(e.now(), batch) {
			e.perform(effect)
		}
		timer.Reset(max(e.core.NextDeadline()-e.Clock(), minTimerDelay))
	}
}

// fillBatch adds what waits in the queue to a batch, up to the most that it may have.
func (e *Engine) fillBatch(batch []core.Command) []core.Command {
	for len(batch) < maxBatch {
		select {
		case command := <-e.queue:
			batch = append(batch, command)
		default:
			return batch
		}
	}
	return batch
}

func (e *Engine) now() core.Instant {
	return core.Instant{Monotonic: e.Clock(), Wall: float64(time.Now().UnixMicro()) / 1e6}
}

// perform carries out an effect. It does not wait: calls to the outside go on in goroutines
// of their own, which end with the calls' timeouts.
func (e *Engine) perform(effect core.Effect) {
	switch effect := effect.(type) {
	case core.Reply:
		e.deliver(effect)
	case core.Log:
		e.logger.Log(context.Background(), slog.Level(effect.Level), effect.Text, effect.Args...)
	case core.SetReady:
		e.ready.Store(effect.Ready)
	case core.SendToPeer:
		e.clients.Peers.Send(effect)
	case core.ConnectPeer:
		e.clients.Peers.Connect(effect.Label)
	case core.ClosePeer:
		e.clients.Peers.CloseSession(effect.Session)
	default:
		call := e.clients.call(effect)
		if call == nil {
			// An effect was added to the core and not to this package.
			panic(fmt.Sprintf("engine: unknown effect %T", effect))
		}
		go func() { e.Post(call()) }()
	}
}

// deliver hands a reply to the request that waits for it, if it still does.
func (e *Engine) deliver(reply core.Reply) {
	e.mu.Lock()
	replies := e.replyChannels[reply.ID]
	delete(e.replyChannels, reply.ID)
	e.mu.Unlock()
	if replies != nil {
		replies <- reply
	}
}
