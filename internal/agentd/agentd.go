// Package agentd runs a worker machine's agent: it carries out what package agent decides.
//
// It owns the machine's HTTP server, the heartbeats to the controllers, a shim process per
// attempt, the machine's lock and the file with the agent's durable state. It may not
// decide anything about sessions, tokens or attempts itself: whatever happens becomes an
// agent.Event, and nothing is done but agent.Effects.
//
// Invariants:
//   - One goroutine, Daemon.loop, owns the agent and works through a queue of events.
//   - The agent's session and token are durable before an effect is carried out.
//   - At most one agent of a machine acts: it holds the lock, and so does every shim until
//     nothing of its task is left.
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
	// eventQueue is how many events may wait for the loop, which never waits itself: far
	// more than a machine has attempts and commands in flight.
	eventQueue = 1024

	// clockCheckInterval bounds a wait of the loop. The kernel's timers stand still while
	// the machine sleeps and the lease doesn't, so the clock is looked at this often.
	clockCheckInterval = 250 * time.Millisecond

	// controllerConns bounds the connections to a controller: one heartbeat is in flight.
	controllerConns = 4

	// dialTimeout leaves a heartbeat that must try another address time for it.
	dialTimeout = 2 * time.Second
)

// Settings of the process. The agent knows the controllers by their indexes only.
type Settings struct {
	Agent           agent.Settings
	ControllerAddrs []string // in the order of Agent.Controllers
	ArtifactsAddr   string
	Dir             string   // working directories and output of the machine's attempts
	CheckpointDir   string   // outside the machine
	ShimCommand     []string // program and arguments that run a shim
	LivenessFile    *os.File // inherited by the shims: open as long as one runs; nil: none
	Logger          *slog.Logger
}

// Daemon is an agent that runs.
type Daemon struct {
	settings  Settings
	events    chan agent.Event
	artifacts *ArtifactsClient
	rpc       *rpc.Client
	lock      *os.File // held by the agent and its shims

	// ctx lasts from New until Serve has been told to end, so that whatever happens before the
	// agent serves is kept for it.
	ctx    context.Context
	cancel context.CancelFunc

	// Owned by loop.
	agent      *agent.Agent
	durable    agent.DurableState // as it is on disk
	leaseUntil time.Duration
	processes  map[agent.AttemptKey]*process

	mu             sync.Mutex
	nextID         int
	pendingReplies map[int]chan agent.StatusReply // by the ID of the request
}

// New makes a daemon, and its directories if they aren't there.
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

// NotifyPreemption tells the agent that the cloud takes its machine back. It may be called at any
// time after New: a notice that comes before the agent serves waits for it, and its time runs.
func (d *Daemon) NotifyPreemption(remaining time.Duration) {
	d.post(agent.PreemptionNotice{At: shim.Clock() + remaining})
}

// post queues an event, unless the daemon ends.
func (d *Daemon) post(e agent.Event) {
	select {
	case d.events <- e:
	case <-d.ctx.Done():
	}
}

// Serve runs the agent until ctx ends; then its tasks are killed and it returns once
// they are gone.
func (d *Daemon) Serve(ctx context.Context, l net.Listener) error {
	defer func() { _ = d.lock.Close() }() // nothing was written
	defer d.cancel()
	context.AfterFunc(ctx, d.cancel)
	if err := d.acquireLock(d.ctx); err != nil {
		return err
	}
	if err := d.loadState(); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(d.ctx)
	context.AfterFunc(ctx, d.cancel) // if a part of it fails, all requests that wait end
	now := shim.Clock()
	d.agent = agent.New(d.settings.Agent, seedOf(d.settings.Agent.Machine), now, d.durable)
	d.leaseUntil = now + config.Seconds(d.settings.Agent.Workers.LeaseS)
	srv := d.newServer()
	g.Go(func() error { return d.loop(ctx) })
	g.Go(func() error { return httpserver.Serve(ctx, srv, l) })
	return g.Wait()
}

// seedOf is a seed that differs between machines, so that agents that start together
// send their heartbeats at different times.
func seedOf(machine string) uint64 {
	var seed uint64
	for _, c := range machine {
		seed = seed*31 + uint64(c) // a polynomial hash
	}
	return seed
}

// loop feeds the agent with events and ticks and carries out its effects, until ctx ends
// or the state can't be made durable.
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

// step waits for the next event or tick and passes it to the agent.
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

// apply carries out an effect. Whatever may block does so in a goroutine of its own: an
// attempt's ends with killProcesses; those of heartbeats and descriptions hold nothing and
// end once their call does.
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
