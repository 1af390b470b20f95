// Package engine runs a core: it passes commands and the current time to it, and carries out
// the effects that it returns.
//
// It owns the command queue, the monotonic clock of a controller, the requests that wait for a
// reply, and the goroutines in which outside calls (calls to other systems) run. It does not
// know what a command means or why an effect is wanted; it decides only which client carries
// out which effect.
//
// Invariants:
//   - Only the goroutine of Engine.Run accesses the core. All other goroutines post commands to the
//     queue.
//   - Effects are carried out in the order in which the core returns them, except for outside
//     calls: these run concurrently, and their results come back as commands.
//   - A request gets at most one reply.
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
	// maxBatch is the maximum number of commands that the core applies at once. The effects
	// of a batch are carried out after its last command, so a larger batch would delay the
	// replies to its first commands.
	maxBatch = 256
	// queueLength is the capacity of the command queue. When it is full, Ask refuses requests
	// and Post blocks.
	queueLength = 4096
	// minTimerDelay keeps Run from spinning when one deadline closely follows another.
	minTimerDelay = 2 * time.Millisecond

	// maxRecordedMillis is the longest response time that is recorded; no request waits longer.
	maxRecordedMillis = 60_000
	significantDigits = 2 // accurate within a percent; takes a few kilobytes
)

// Engine runs one core. Apart from Connect and Run, its methods may be called from any goroutine.
type Engine struct {
	core      *core.Core // accessed only by Run
	clients   Clients
	logger    *slog.Logger
	queue     chan core.Command
	startedAt time.Time
	ready     atomic.Bool

	mu            sync.Mutex
	lastID        core.RequestID
	replyChannels map[core.RequestID]chan core.Reply // reply channels of the requests that wait for a reply
	responseTimes *hdrhistogram.Histogram            // milliseconds
}

// New returns an engine for a core and takes ownership of the core. Connect must be called
// before Run.
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

// Connect sets the engine's clients. They are not arguments of New because they may need the
// engine themselves.
func (e *Engine) Connect(clients Clients) { e.clients = clients }

// Clock returns the time of the monotonic clock that the core uses: the time since New.
func (e *Engine) Clock() time.Duration { return time.Since(e.startedAt) }

// Ready reports whether the controller can take requests.
func (e *Engine) Ready() bool { return e.ready.Load() }

// Post adds a command to the queue and blocks while the queue is full.
func (e *Engine) Post(command core.Command) { e.queue <- command }

// Ask posts the command that build returns for a new request and waits for its reply, at most
// for timeout. ok is false if the queue was full or no reply came in time.
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

// registerRequest assigns a request its ID and the channel for its reply. The channel is
// buffered, so that the engine never blocks on a request that no longer waits.
func (e *Engine) registerRequest() (core.RequestID, <-chan core.Reply) {
	replies := make(chan core.Reply, 1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	e.replyChannels[e.lastID] = replies
	return e.lastID, replies
}

// finishRequest removes a request that has its reply or no longer waits for one, and records how
// long it took.
func (e *Engine) finishRequest(id core.RequestID, begin time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.replyChannels, id)
	millis := min(max(time.Since(begin).Milliseconds(), 1), maxRecordedMillis)
	_ = e.responseTimes.RecordValue(millis) // fails only for values out of bounds
}

// Status asks the core for its status and adds the response times of requests. It returns false
// under the same conditions as Ask.
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

// Run runs the core until ctx ends, and returns the error of ctx. Outside calls that are in
// flight then are not cancelled: they end with their timeouts, and their results are ignored.
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

// fillBatch adds the commands that wait in the queue to a batch, up to maxBatch.
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

// perform carries out an effect. It does not wait for outside calls: each runs in a goroutine of
// its own, and ends with its timeout at the latest.
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
			// An effect was added to package core but not to this package.
			panic(fmt.Sprintf("engine: unknown effect %T", effect))
		}
		go func() { e.Post(call()) }()
	}
}

// deliver passes a reply to the request that waits for it, or drops it if the request no longer
// waits.
func (e *Engine) deliver(reply core.Reply) {
	e.mu.Lock()
	replies := e.replyChannels[reply.ID]
	delete(e.replyChannels, reply.ID)
	e.mu.Unlock()
	if replies != nil {
		replies <- reply
	}
}
