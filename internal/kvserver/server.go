// Package kvserver implements the state service, which serves a key-value store over the HTTP
// interface that the PROTOCOL specifies. It orders changes, makes each of them durable before it
// responds, and expires leases.
//
// It owns the current state, the clock of the leases, and the rate limits of requests and writes.
// It does not know what the keys mean, how a state is laid out on disk (package kvfile), or when
// a transaction commits (package kvstore).
//
// Invariants:
//   - Only one goroutine, Server.applyLoop, changes the state. All others read published states.
//   - A state is published only once it is durable, and before the clients of the commands that
//     led to it get their responses. A client that reads after a response therefore sees at
//     least that response's changes.
//   - If it is unknown whether a change is durable, its client gets no response.
//   - If a lease could not be renewed for a time, because the service was not running, its storage
//     failed or the process was stalled, the lease gets its full TTL again afterwards.
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
	// stallThreshold is the time between two rounds of applyLoop above which the process is
	// considered to have been stalled. It is far longer than a slow write takes, and
	// shorter than the TTLs of the leases in use.
	stallThreshold = time.Second
	// leaseCheckInterval is the interval at which leases are checked for expiry. It is below
	// the 100 ms by which a lease may expire late.
	leaseCheckInterval = 50 * time.Millisecond
	// maxQueuedBatches is the capacity of the queue in batches. It is above 1 so that a full
	// batch is ready whenever a write ends.
	maxQueuedBatches = 4
	// minQueueBatchSize is the smallest batch size, in commands, from which the capacity of the
	// queue is calculated, so that the queue takes a burst of requests even if MaxBatch is
	// small.
	minQueueBatchSize = 256

	serverName = "chalk-state"
	// connectionTimeout closes connections that are idle or on which a request does not arrive
	// completely, because their clients may have terminated. It is longer than the minute that
	// a watch may take.
	connectionTimeout = 2 * time.Minute
	// writeTimeout closes the connection of a client that does not read its response.
	writeTimeout = 10 * time.Second
)

// Settings are the limits of a server.
type Settings struct {
	kvstore.Limits
	RequestsPerSecond float64
	WritesPerSecond   float64 // limit of puts and deletes
	MaxBatch          int     // maximum number of commands per write to the storage; 1 disables batching
}

// Server serves a key-value store over HTTP. Use New to create one.
type Server struct {
	settings  Settings
	applier   *applier // used only by applyLoop
	queue     chan pendingCommand
	startedAt time.Time
	published atomic.Pointer[publishedState]
	http      *fasthttp.Server
	limiter   limiter
	writes    *writeRecorder
	stopped   chan struct{} // closed when applyLoop has ended
}

// pendingCommand is a command in the queue. Its channel has a buffer for the one reply, so that
// applyLoop never blocks on it.
type pendingCommand struct {
	command command
	replyTo chan reply
}

// publishedState is a durable state, which any goroutine may read.
type publishedState struct {
	*kvstore.State
	superseded chan struct{} // closed when a newer state is published
}

func newPublishedState(state *kvstore.State) *publishedState {
	return &publishedState{State: state, superseded: make(chan struct{})}
}

// New returns a server for a state that was just read from its storage. The server owns both from
// then on; the caller may still take snapshots of the storage, and closes it after Serve has
// returned.
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

// clock returns the time since the start on the monotonic clock, for leases and rate limits.
func (s *Server) clock() time.Duration { return time.Since(s.startedAt) }

// State returns the latest durable state. Any goroutine may call it.
func (s *Server) State() *kvstore.State { return s.published.Load().State }

// Serve serves requests on a listener, which it closes. It returns ctx's error when ctx ends, or
// earlier with the error of a write after which it is unknown what the storage holds, or of the
// listener. It may be called only once.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer close(s.stopped)
		return s.applyLoop(ctx)
	})
	group.Go(func() error { return httpserver.Serve(ctx, s.http, listener) })
	return group.Wait()
}

// applyLoop applies the commands in the queue and expires leases. It returns when ctx ends, or with
// an error when it is unknown what the storage holds. Nothing else changes the state.
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
			return fmt.Errorf("write to the state file: the file may lack the last write, restart the service to read it again: %w", err)
		}
	}
}

// fillBatch adds the commands waiting in the queue to a batch, up to the size MaxBatch.
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

// applyBatch applies commands, publishes the resulting state, and then sends the replies.
func (s *Server) applyBatch(batch []pendingCommand) error {
	commands := make([]command, len(batch))
	for i := range batch {
		commands[i] = batch[i].command
	}
	before, start := s.applier.committedState(), time.Now()
	replies, err := s.applier.apply(s.clock(), commands)
	if after := s.applier.committedState(); after != before {
		s.publish(after)
		s.writes.record(len(commands), time.Since(start))
	}
	for i := range batch {
		batch[i].replyTo <- replies[i]
	}
	return err
}

// publish makes a state visible to readers and wakes the waiting watches.
func (s *Server) publish(state *kvstore.State) {
	old := s.published.Swap(newPublishedState(state))
	close(old.superseded)
}

// errQueueFull is the reason for refusing a command when the queue is at capacity.
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
