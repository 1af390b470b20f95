// Package kvserver is the service round a key-value store: it orders changes, makes each
// durable before it answers, expires leases, and speaks the PROTOCOL's HTTP.
//
// It owns the current state, the clock of the leases, and the limits of requests a second.
// It does not know what the keys mean, how a state is laid out on disk (package kvfile),
// or what makes a transaction hold (package kvstore).
//
// Invariants:
//   - One goroutine, Server.applyLoop, changes the state. All others read published ones.
//   - A state is published only when it is durable, and before the commands that led to it
//     are answered: whoever has an answer reads at least what that says.
//   - When nobody knows whether a change is durable, its client gets no answer at all.
//   - No lease expires before its full time since the last moment at which it could not be
//     renewed: a start, an outage of the storage, or a stall of this process.
package kvserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/chalkhub/chalkhub/internal/httpserver"
	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// stallThreshold is how long the owner of the state must stand still for that to count
	// as an outage: far more than a slow write takes, less than the leases that are used.
	stallThreshold = time.Second
	// leaseCheckInterval is how often leases are looked at; they may expire 100 ms late.
	leaseCheckInterval = 50 * time.Millisecond
	// maxQueuedBatches is how many batches may wait in the queue, so that one is full whenever
	// a write ends.
	maxQueuedBatches = 4
	// minQueueBatchSize is what a batch counts for the queue at least: with small batches, it
	// still takes a burst of requests.
	minQueueBatchSize = 256

	serverName = "chalk-state"
	// connectionTimeout ends connections of clients that are gone. Watches are held for a
	// minute at most.
	connectionTimeout = 2 * time.Minute
	// writeTimeout ends a watch whose client does not read its answer.
	writeTimeout = 10 * time.Second
)

// Settings of a service.
type Settings struct {
	kvstore.Limits
	RequestsPerSecond float64
	WritesPerSecond   float64 // puts and deletes
	MaxBatch          int     // most commands that share a write to the storage, 1: no batches
}

// Server serves a store. It is made by New.
type Server struct {
	settings  Settings
	applier   *applier // belongs to applyLoop
	queue     chan pendingCommand
	startedAt time.Time
	published atomic.Pointer[publishedState]
	http      *fasthttp.Server
	limiter   limiter
	writes    *writeRecorder
	stopped   chan struct{} // is closed when applyLoop has ended
}

// pendingCommand is a command in the queue. Its channel takes one reply without waiting.
type pendingCommand struct {
	command command
	replyTo chan reply
}

// publishedState is a durable state, which anybody may read.
type publishedState struct {
	*kvstore.State
	superseded chan struct{} // is closed when there is a newer one
}

func newPublishedState(state *kvstore.State) *publishedState {
	return &publishedState{State: state, superseded: make(chan struct{})}
}

// New makes a server of a state that was just read from its storage. It owns both from
// then on, but for the storage's snapshots.
func New(settings Settings, state *kvstore.State, storage Storage) *Server {
	s := &Server{
		settings:  settings,
		applier:   newApplier(state, storage, 0, stallThreshold),
		queue:     make(chan pendingCommand, maxQueuedBatches*max(settings.MaxBatch, minQueueBatchSize)),
		startedAt: time.Now(),
		limiter:   limiter{requestsPerSecond: settings.RequestsPerSecond, writesPerSecond: settings.WritesPerSecond},
		writes:    newWriteRecorder(),
		stopped:   make(chan struct{}),
	}
	s.published.Store(newPublishedState(state))
	s.http = &fasthttp.Server{
		Handler: s.handle,
		ErrorHandler: func(ctx *fasthttp.RequestCtx, _ error) {
			replyError(ctx, fasthttp.StatusBadRequest, "malformed request")
		},
		Name:                  serverName,
		MaxRequestBodySize:    protocol.MaxBody,
		IdleTimeout:           connectionTimeout,
		ReadTimeout:           connectionTimeout,
		WriteTimeout:          writeTimeout,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
	}
	return s
}

// clock is the steady clock of leases and limits.
func (s *Server) clock() time.Duration { return time.Since(s.startedAt) }

// State is what is durable. Any goroutine may call it.
func (s *Server) State() *kvstore.State { return s.published.Load().State }

// Serve answers on a listener, which it closes, until ctx ends or the storage is in doubt.
// It may be called once.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer close(s.stopped)
		return s.applyLoop(ctx)
	})
	group.Go(func() error { return httpserver.Serve(ctx, s.http, listener) })
	return group.Wait()
}

// applyLoop applies what is in the queue, and expires leases, until ctx ends or the
// storage is in doubt. It alone changes the state.
func (s *Server) applyLoop(ctx context.Context) error {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	var pending []pendingCommand
	for {
		pending = pending[:0]
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case first := <-s.queue:
			pending = s.fillBatch(append(pending, first))
		}
		if err := s.applyBatch(pending); err != nil {
			return fmt.Errorf("the state file may not hold the last write, start again to read it anew: %w", err)
		}
	}
}

// fillBatch adds what waits in the queue to a batch, up to the most that it may have.
func (s *Server) fillBatch(batch []pendingCommand) []pendingCommand {
	for len(batch) < s.settings.MaxBatch {
		select {
		case next := <-s.queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// applyBatch applies commands, publishes the state that they lead to, and answers them.
func (s *Server) applyBatch(batch []pendingCommand) error {
	commands := make([]command, len(batch))
	for i := range batch {
		commands[i] = batch[i].command
	}
	before, begin := s.applier.committedState(), time.Now()
	replies, err := s.applier.apply(s.clock(), commands)
	if after := s.applier.committedState(); after != before {
		s.publish(after)
		s.writes.record(len(commands), time.Since(begin))
	}
	for i := range batch {
		batch[i].replyTo <- replies[i]
	}
	return err
}

// publish shows a state to readers and wakes the watches.
func (s *Server) publish(state *kvstore.State) {
	old := s.published.Swap(newPublishedState(state))
	close(old.superseded)
}

// errQueueFull refuses a command that finds no room in the queue.
var errQueueFull = errors.New("the queue is full")

// submit puts a command into the queue and waits for its reply.
func (s *Server) submit(c command) reply {
	pending := pendingCommand{command: c, replyTo: make(chan reply, 1)}
	select {
	case s.queue <- pending:
	default:
		return reply{outcome: outcomeUnavailable, err: errQueueFull}
	}
	select {
	case r := <-pending.replyTo:
		return r
	case <-s.stopped:
		return reply{outcome: outcomeUnknown}
	}
}
