// Package agentd runs an agent on a machine: HTTP to and from the controllers, a shim
// process for each task, and the depot. One goroutine owns the agent and works through
// a queue of events.
package agentd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/chalkhub/chalkhub/internal/agent"
	"github.com/chalkhub/chalkhub/internal/artifacts"
	"github.com/chalkhub/chalkhub/internal/httpserver"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/rpc"
	"github.com/chalkhub/chalkhub/internal/shim"
)

// Settings of the process. What a controller is called and where it listens stand apart:
// the agent knows them by their places in the list.
type Settings struct {
	Agent           agent.Settings
	ControllerAddrs []string // of the controllers, in the order of Agent.Controllers
	ArtifactsAddr   string
	Dir             string   // working folders and output of the machine's attempts
	CheckpointDir   string   // folder outside the machine that takes checkpoints
	ShimCommand     []string // program and arguments that run a shim
	LivenessFile    *os.File // handed down to the shims, nil: nothing
	Logger          *slog.Logger
}

// Daemon is an agent that runs.
type Daemon struct {
	settings   Settings
	agent      *agent.Agent
	events     chan agent.Event
	artifacts  *ArtifactsClient
	rpc        *rpc.Client
	ctx        context.Context
	leaseUntil time.Duration      // when it ends, owned by the loop
	lock       *os.File           // held by the agent and its shims
	durable    agent.DurableState // what is durable, owned by the loop

	mu      sync.Mutex
	nextID  int
	waiting map[int]chan agent.StatusReply

	processes map[agent.AttemptKey]*process // owned by the loop
}

// process is an attempt's process.
type process struct {
	key    agent.AttemptKey
	job    string
	index  int
	orders chan shim.Order
	exited chan struct{} // closed once nothing of it is left
	cancel context.CancelFunc
}

// New makes a daemon.
func New(set Settings) (*Daemon, error) {
	for _, dir := range []string{set.Dir, set.CheckpointDir} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, err
		}
	}
	lock, err := os.OpenFile(filepath.Join(set.Dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: set, lock: lock, events: make(chan agent.Event, 1024), artifacts: NewArtifactsClient(set.ArtifactsAddr), rpc: rpc.New(4, 2*time.Second),
		waiting: map[int]chan agent.StatusReply{}, processes: map[agent.AttemptKey]*process{}}
	return d, nil
}

// NotifyPreemption tells the agent that its machine will be taken back.
func (d *Daemon) NotifyPreemption(left time.Duration) {
	d.post(agent.PreemptionNotice{Remaining: left})
}

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
	if err := d.acquireLock(ctx); err != nil {
		return err
	}
	if err := d.loadState(); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	d.ctx = ctx
	// The machine's own name makes agents that start together report apart.
	var seed uint64
	for _, c := range d.settings.Agent.Machine {
		seed = seed*31 + uint64(c)
	}
	now := shim.Clock()
	d.agent = agent.New(d.settings.Agent, seed, now, d.durable)
	d.leaseUntil = now + time.Duration(d.settings.Agent.Workers.LeaseS*float64(time.Second))
	srv := &fasthttp.Server{Handler: d.handleRequest, Name: "chalk-agent", MaxRequestBodySize: protocol.MaxBody, IdleTimeout: time.Minute,
		ReadTimeout: time.Minute, WriteTimeout: 10 * time.Second, NoDefaultServerHeader: true, NoDefaultDate: true}
	g.Go(func() error { return d.loop(ctx) })
	g.Go(func() error { return httpserver.Serve(ctx, srv, l) })
	return g.Wait()
}

// acquireLock waits until nothing is left of an agent that ran on this machine before: its
// shims hold the lock that they inherited until all of their tasks are gone.
//
// Guards against a task that an earlier agent started and that is still dying when this
// one tells that the machine has no tasks.
func (d *Daemon) acquireLock(ctx context.Context) error {
	for told := false; ; told = true {
		err := unix.Flock(int(d.lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			return nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) {
			return fmt.Errorf("lock %s: %w", d.lock.Name(), err)
		}
		if !told {
			d.settings.Logger.Info("waiting until an earlier agent of this machine and its tasks are gone")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (d *Daemon) statePath() string { return filepath.Join(d.settings.Dir, "memory.json") }

// loadState reads what an earlier agent of this machine has kept; nothing: there was none.
func (d *Daemon) loadState() error {
	b, err := os.ReadFile(d.statePath())
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err == nil {
		err = json.Unmarshal(b, &d.durable)
	}
	if err != nil {
		return fmt.Errorf("%s tells the machine's last session: %w", d.statePath(), err)
	}
	return nil
}

// persistState makes the agent's session and token durable if they have changed.
func (d *Daemon) persistState() error {
	m := d.agent.DurableState()
	if m == d.durable {
		return nil
	}
	b, err := json.Marshal(&m)
	if err == nil {
		err = artifacts.WriteFile(d.statePath(), b, 0)
	}
	if err != nil {
		return fmt.Errorf("the machine's session must be kept before it is told: %w", err)
	}
	d.durable = m
	return nil
}

func (d *Daemon) loop(ctx context.Context) error {
	// However it ends, nothing of the machine's tasks is left then.
	defer func() {
		for _, r := range d.processes {
			r.cancel()
		}
		for _, r := range d.processes {
			<-r.exited
		}
	}()
	for {
		// Timers of the kernel stand still while the machine sleeps and the lease does
		// not, so the clock is looked at again every quarter of a second.
		t := time.NewTimer(min(max(d.agent.NextTick()-shim.Clock(), 0), 250*time.Millisecond))
		var effects []agent.Effect
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case e := <-d.events:
			if x, ok := e.(agent.AttemptExited); ok {
				delete(d.processes, x.AttemptKey)
			}
			effects = d.agent.Handle(shim.Clock(), e)
		case <-t.C:
			effects = d.agent.Tick(shim.Clock())
		}
		t.Stop()
		if len(effects) > 0 {
			if err := d.persistState(); err != nil {
				return err
			}
		}
		for _, e := range effects {
			d.apply(e)
		}
	}
}

// apply carries out an effect. Whatever waits does so in a goroutine of its own.
func (d *Daemon) apply(e agent.Effect) {
	switch e := e.(type) {
	case agent.StatusReply:
		d.mu.Lock()
		ch := d.waiting[e.ID]
		delete(d.waiting, e.ID)
		d.mu.Unlock()
		if ch != nil {
			ch <- e
		}
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
		if r := d.processes[e.AttemptKey]; r != nil {
			r.cancel()
		}
	case agent.ExtendLease:
		d.leaseUntil = e.Until
		for k := range d.processes {
			d.sendOrder(k, shim.Order{LeaseUntil: int64(e.Until)})
		}
	}
}

// sendOrder tells a shim something, unless it has stopped listening.
func (d *Daemon) sendOrder(k agent.AttemptKey, o shim.Order) {
	r := d.processes[k]
	if r == nil {
		return
	}
	select {
	case r.orders <- o:
	case <-r.exited:
	default:
		// A shim that does not read is stuck or stopped; its lease is not renewed, and
		// whether it resumes or not, nothing of it is left after that.
		if o.Terminate {
			r.cancel()
		}
	}
}

func (d *Daemon) sendHeartbeat(e agent.SendHeartbeat) {
	var out protocol.HeartbeatReply
	status := d.rpc.Call("POST", d.settings.ControllerAddrs[e.Controller], "/v1/report", e.Heartbeat, &out, 4*time.Second, 200, 421)
	d.post(agent.HeartbeatAnswered{Status: status, Response: out.HeartbeatResponse, Redirect: out.Redirect})
}

// describeJob asks the depot until it answers or the attempt is of no interest any more,
// which the agent finds out by itself when the answer comes.
func (d *Daemon) describeJob(k agent.AttemptKey) {
	job, i, err := protocol.ParseTaskName(k.Task)
	if err != nil {
		return
	}
	for pause := 100 * time.Millisecond; ; pause = min(2*pause, 5*time.Second) {
		what, found, done, ok := d.artifacts.Describe(job, i)
		if ok {
			d.post(agent.JobDescribed{AttemptKey: k, Found: found, Description: what, ResultStored: done})
			return
		}
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// launch starts an attempt's shim, or a timer for a simulated task.
func (d *Daemon) launch(e agent.LaunchAttempt) {
	job, i, _ := protocol.ParseTaskName(e.Task) // parsed at its start
	ctx, quit := context.WithCancel(d.ctx)
	r := &process{key: e.AttemptKey, job: job, index: i, orders: make(chan shim.Order, 16), exited: make(chan struct{}), cancel: quit}
	d.processes[e.AttemptKey] = r
	until := d.leaseUntil
	go func() {
		defer quit()
		x := agent.AttemptExited{AttemptKey: e.AttemptKey, ExitCode: -1}
		if len(e.Description.Command) == 0 {
			x.ExitCode = d.simulate(ctx, r, e.Description.SimulatedS)
		} else if err := d.runCommand(ctx, r, &e.Description, until, &x); err != nil {
			x.Error = err.Error()
		}
		if x.ExitCode == 0 && x.Error == "" && !d.storeResult(ctx, r) {
			x.ExitCode = -1
		}
		if x.Error != "" {
			d.settings.Logger.Error("task could not run", "task", e.Task, "attempt", e.Attempt, "error", x.Error)
		} else {
			d.settings.Logger.Info("task exited", "task", e.Task, "attempt", e.Attempt, "code", x.ExitCode)
		}
		close(r.exited)
		d.post(x)
	}()
}

func (d *Daemon) simulate(ctx context.Context, r *process, s float64) int {
	t := time.NewTimer(time.Duration(s * float64(time.Second)))
	defer t.Stop()
	for {
		select {
		case <-t.C:
			return 0
		case <-ctx.Done():
			return -1
		case o := <-r.orders:
			if o.Terminate {
				return 75 // it has saved nothing, but ends as one that has
			}
		}
	}
}

// storeResult keeps the result of a task that is done. Until that is durable, the task counts
// as running; when it is told to end first, its result is lost.
func (d *Daemon) storeResult(ctx context.Context, r *process) bool {
	for pause := 100 * time.Millisecond; !d.artifacts.StoreResult(r.job, r.index); pause = min(2*pause, 5*time.Second) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause):
		}
	}
	return true
}

// runCommand runs an attempt's command in a shim until nothing of it is left.
func (d *Daemon) runCommand(ctx context.Context, r *process, what *protocol.JobDescription, until time.Duration, x *agent.AttemptExited) error {
	name := fmt.Sprintf("%s.%d.%d", r.job, r.index, r.key.Attempt)
	folder := what.Folder
	if folder == "" {
		folder = filepath.Join(d.settings.Dir, "work", name)
		defer func() { _ = os.RemoveAll(folder) }() // it is of no more use
	}
	output := filepath.Join(d.settings.Dir, "output", name)
	saves := filepath.Join(d.settings.CheckpointDir, r.job, strconv.Itoa(r.index))
	for _, dir := range []string{folder, filepath.Dir(output), saves} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
	}
	defer func() { _ = os.Remove(output) }() // what is kept of it is in the depot
	env := []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"CHALK_JOB=" + r.job, "CHALK_TASK=" + strconv.Itoa(r.index), "CHALK_TASKS=" + strconv.Itoa(what.Job.Tasks),
		"CHALK_ATTEMPT=" + strconv.FormatUint(r.key.Attempt, 10), "CHALK_SAVES=" + saves, "CHALK_MACHINE=" + d.settings.Agent.Machine,
	}
	for k, v := range what.Env {
		env = append(env, k+"="+v)
	}
	cmd := exec.Command(d.settings.ShimCommand[0], d.settings.ShimCommand[1:]...)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	cmd.Stderr = os.Stderr
	cmd.ExtraFiles = []*os.File{d.lock}
	if d.settings.LivenessFile != nil {
		cmd.ExtraFiles = append(cmd.ExtraFiles, d.settings.LivenessFile)
	}
	// A group of its own: a signal to the agent's group is no order to its tasks.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start the shim: %w", err)
	}
	done := make(chan struct{})
	var w sync.WaitGroup
	defer w.Wait()
	defer close(done)
	w.Add(2)
	go func() {
		defer w.Done()
		d.writeOrders(ctx, r, in, done, shim.Spec{Command: what.Command, Env: env, Dir: folder, OutputPath: output, LeaseUntil: int64(until)})
	}()
	go func() {
		defer w.Done()
		d.uploadOutput(r, output, done)
	}()
	err = errors.New("the shim ended without a word")
	for s := bufio.NewScanner(out); s.Scan(); {
		var word shim.Status
		if json.Unmarshal(s.Bytes(), &word) != nil || !word.Exited {
			continue
		}
		x.ExitCode, err = word.ExitCode, nil
		if word.Error != "" {
			err = errors.New(word.Error)
		}
		if word.LeaseExpired {
			d.settings.Logger.Warn("task ended with the lease", "task", r.key.Task, "attempt", r.key.Attempt)
		}
	}
	_ = in.Close() // a shim that has ended has closed it
	if e := cmd.Wait(); e != nil && err == nil {
		err = e
	}
	return err
}

// writeOrders writes the shim's lines. Once the attempt is to end, the order to kill is all
// that follows.
func (d *Daemon) writeOrders(ctx context.Context, r *process, in io.WriteCloser, done chan struct{}, spec shim.Spec) {
	say := func(v any) {
		if b, err := json.Marshal(v); err == nil {
			_, _ = in.Write(append(b, '\n')) // a shim that has ended says so itself
		}
	}
	say(spec)
	for {
		select {
		case o := <-r.orders:
			say(o)
		case <-ctx.Done():
			say(shim.Order{Kill: true})
			return
		case <-done:
			return
		}
	}
}

// uploadOutput sends an attempt's output as it grows, and the last of it at the end.
func (d *Daemon) uploadOutput(r *process, path string, done chan struct{}) {
	var sent int64 = -1
	for last := false; !last; {
		select {
		case <-done:
			last = true
		case <-time.After(2 * time.Second):
		}
		f, err := os.Open(path)
		if err != nil {
			continue
		}
		st, err := f.Stat()
		if err == nil && st.Size() != sent {
			b := make([]byte, min(st.Size(), artifacts.MaxOutput))
			n, _ := f.ReadAt(b, st.Size()-int64(len(b))) // a file that shrank is sent shorter
			if d.artifacts.UploadOutput(r.job, r.index, r.key.Attempt, b[:n]) {
				sent = st.Size()
			}
		}
		_ = f.Close() // it was only read
	}
}

func (d *Daemon) handleRequest(ctx *fasthttp.RequestCtx) {
	reply := func(status int, body any) { httpserver.Reply(ctx, status, body) }
	var event func(id int) agent.Event
	switch path := string(ctx.Path()); {
	case path == "/do" && ctx.IsPost():
		var do protocol.DirectCommands
		if err := protocol.Decode(ctx.PostBody(), &do); err != nil || do.Token == 0 || do.Session == 0 {
			reply(400, protocol.ErrorResponse{Error: "Baton or Shift is missing"})
			return
		}
		event = func(id int) agent.Event { return agent.CommandsReceived{ID: id, Request: do} }
	case path == "/inspect" && ctx.IsGet():
		event = func(id int) agent.Event { return agent.StatusRequested{ID: id} }
	default:
		reply(404, protocol.ErrorResponse{Error: "no such page"})
		return
	}
	ch := make(chan agent.StatusReply, 1)
	d.mu.Lock()
	d.nextID++
	id := d.nextID
	d.waiting[id] = ch
	d.mu.Unlock()
	d.post(event(id))
	select {
	case r := <-ch:
		reply(r.Status, r.Heartbeat)
	case <-d.ctx.Done():
		reply(503, protocol.ErrorResponse{Error: "the machine is going"})
	}
}
