// Package agentd runs a worker machine's agent: it carries out what package agent decides.
//
// It owns the machine's HTTP server, the sending of heartbeats to the controllers, a shim
// process per attempt, the machine's lock and the file with the agent's durable state. It
// may not decide anything about sessions, tokens or attempts itself: it passes every input
// to the agent as an agent.Event, and carries out only agent.Effects.
//
// Invariants:
//   - One goroutine, Daemon.loop, owns the agent and processes a queue of events.
//   - The agent's session and token are durable before an effect is carried out.
//   - At most one agent of a machine is active: it holds the lock, and so does every shim
//     until no process of its task is left.
//   - When Serve returns, no process of an attempt is left.
package agentd

import (
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chalkhub/chalkhub/internal/agent"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/httpserver"
	"github.com/chalkhub/chalkhub/internal/rpc"
	"github.com/chalkhub/chalkhub/internal/shim"
)

const (
	// eventQueue is the capacity of the queue of events. It is far larger than the number of
	// attempts and requests in flight on a machine, and loop never waits for the senders of
	// events, so a sender is hardly ever blocked.
	eventQueue = 1024

	// clockCheckInterval is the longest time that loop waits before it reads the clock again.
	// Kernel timers stop while the machine is suspended, but the lease still runs, so a timer
	// alone would notice a lease expiry too late after a resume.
	clockCheckInterval = 250 * time.Millisecond

	// controllerConns is the maximum number of connections to a controller. At most one
	// heartbeat is in flight at a time.
	controllerConns = 4

	// dialTimeout is shorter than heartbeatTimeout, so that a heartbeat to a controller that
	// can't be reached fails early and the agent tries the next controller sooner.
	dialTimeout = 2 * time.Second
)

// Settings of the agent's process. Package agent addresses a heartbeat to the index of a
// controller; ControllerAddrs maps the index to an address (host:port).
type Settings struct {
	Agent           agent.Settings
	ControllerAddrs []string // in the order of Agent.Controllers
	ArtifactsAddr   string
	Dir             string   // lock, durable state, and working directories and output of attempts
	CheckpointDir   string   // on storage that outlives the machine
	ShimCommand     []string // program and arguments that run a shim
	LivenessFile    *os.File // inherited by the shims, so it stays open while a shim runs; nil: none
	Logger          *slog.Logger
}

// Daemon runs one machine's agent. Serve may be called once.
type Daemon struct {
	settings  Settings
	events    chan agent.Event
	artifacts *ArtifactsClient
	rpc       *rpc.Client
	lock      *os.File // held by the agent and its shims

	// ctx lasts from New until Serve's context is cancelled or Serve returns, so that events
	// that arrive before Serve is called are queued.
	ctx    context.Context
	cancel context.CancelFunc

	// Owned by loop.
	agent      *agent.Agent
	durable    agent.DurableState // the state on disk
	leaseUntil time.Duration
	processes  map[agent.AttemptKey]*process

	mu             sync.Mutex
	nextID         int
	pendingReplies map[int]chan agent.StatusReply // reply channels by the ID of the request
}

// New returns a daemon. It creates the directories and the lock file if they don't exist, but
// doesn't acquire the lock. An error says which file or directory could not be created.
func New(settings Settings) (*Daemon, error) {
	for _, dir := range []string{settings.Dir, settings.CheckpointDir} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, err
		}
	}
	lock, err := os.OpenFile(filepath.Join(settings.Dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Daemon{
		ctx:            ctx,
		cancel:         cancel,
		settings:       settings,
		events:         make(chan agent.Event, eventQueue),
		artifacts:      NewArtifactsClient(settings.ArtifactsAddr),
		rpc:            rpc.New(controllerConns, dialTimeout),
		lock:           lock,
		processes:      map[agent.AttemptKey]*process{},
		pendingReplies: map[int]chan agent.StatusReply{},
	}, nil
}

// NotifyPreemption passes the agent a notice that the cloud terminates the machine when the
// remaining time, counted from the call, is over. It is safe for concurrent use and may be called
// at any time after New: a notice that arrives before Serve is queued, one after Serve has no effect.
func (d *Daemon) NotifyPreemption(remaining time.Duration) {
	d.post(agent.PreemptionNotice{At: shim.Clock() + remaining})
}

// post queues an event. It blocks while the queue is full, and drops the event if the daemon
// shuts down.
func (d *Daemon) post(e agent.Event) {
	select {
	case d.events <- e:
	case <-d.ctx.Done():
	}
}

// Serve runs the agent until ctx is cancelled or an error occurs, for example if the state on
// disk can't be read or written. It then kills all attempts, and returns once no process of
// them is left. It waits first until the shims of an earlier agent of the machine have exited.
func (d *Daemon) Serve(ctx context.Context, l net.Listener) error {
	defer func() { _ = d.lock.Close() }() // nothing was written to it, so an error has no consequence
	defer d.cancel()
	context.AfterFunc(ctx, d.cancel)
	if err := d.acquireLock(d.ctx); err != nil {
		return err
	}
	if err := d.loadState(); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(d.ctx)
	context.AfterFunc(ctx, d.cancel) // if loop or the server fails, all waiting requests end
	now := shim.Clock()
	d.agent = agent.New(d.settings.Agent, seedOf(d.settings.Agent.Machine), now, d.durable)
	d.leaseUntil = now + config.Seconds(d.settings.Agent.Workers.LeaseS)
	srv := d.newServer()
	g.Go(func() error { return d.loop(ctx) })
	g.Go(func() error { return httpserver.Serve(ctx, srv, l) })
	return g.Wait()
}

// seedOf derives a random seed from a machine's name, so that agents that start at the same
// time send their heartbeats at different times.
func seedOf(machine string) uint64 {
	var seed uint64
	for _, c := range machine {
		seed = seed*31 + uint64(c) // a polynomial hash
	}
	return seed
}

// loop passes events and ticks to the agent and carries out its effects, until ctx is
// cancelled or the state can't be made durable. It kills all attempts before it returns.
func (d *Daemon) loop(ctx context.Context) error {
	defer d.killProcesses()
	for {
		effects, err := d.step(ctx)
		if err != nil {
			return err
		}
		if len(effects) == 0 {
			continue
		}
		if err := d.persistState(); err != nil {
			return err
		}
		for _, e := range effects {
			d.apply(e)
		}
	}
}

// step waits for the next event or tick, passes it to the agent and returns the effects.
func (d *Daemon) step(ctx context.Context) ([]agent.Effect, error) {
	timer := time.NewTimer(min(max(d.agent.NextTick()-shim.Clock(), 0), clockCheckInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case e := <-d.events:
		if exited, ok := e.(agent.AttemptExited); ok {
			delete(d.processes, exited.AttemptKey)
		}
		return d.agent.Handle(shim.Clock(), e), nil
	case <-timer.C:
		return d.agent.Tick(shim.Clock()), nil
	}
}

// apply carries out an effect without blocking. Calls that may block run in their own
// goroutines: killProcesses waits for those of attempts; those of heartbeats and job
// descriptions own no resources and end with their call.
func (d *Daemon) apply(effect agent.Effect) {
	switch e := effect.(type) {
	case agent.StatusReply:
		d.deliverReply(e)
	case agent.SendHeartbeat:
		go d.sendHeartbeat(e)
	case agent.DescribeJob:
		go d.describeJob(e.AttemptKey)
	case agent.FetchImage:
		time.AfterFunc(e.Duration, func() { d.post(agent.ImageFetched{AttemptKey: e.AttemptKey}) })
	case agent.LaunchAttempt:
		d.launch(e)
	case agent.TerminateAttempt:
		d.sendOrder(e.AttemptKey, shim.Order{Terminate: true})
	case agent.KillAttempt:
		if p := d.processes[e.AttemptKey]; p != nil {
			p.cancel()
		}
	case agent.ExtendLease:
		d.leaseUntil = e.Until
		for key := range d.processes {
			d.sendOrder(key, shim.Order{LeaseUntil: int64(e.Until)})
		}
	}
}
