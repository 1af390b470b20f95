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
	Agent  agent.Settings
	Addrs  []string // of the controllers, in the order of Agent.Controllers
	Depot  string
	Folder string   // working folders and output of the machine's attempts
	Saves  string   // folder outside the machine that takes checkpoints
	Shim   []string // program and arguments that run a shim
	Alive  *os.File // handed down to the shims, nil: nothing
	Log    *slog.Logger
}

// Daemon is an agent that runs.
type Daemon struct {
	set    Settings
	agent  *agent.Agent
	events chan any
	depot  *Depot
	rpc    *rpc.Client
	ctx    context.Context
	lease  time.Duration // when it ends, owned by the loop
	lock   *os.File      // held by the agent and its shims
	kept   agent.Memory  // what is durable, owned by the loop

	mu      sync.Mutex
	nextID  int
	waiting map[int]chan agent.Reply

	runs map[agent.Key]*run // owned by the loop
}

// run is an attempt's process.
type run struct {
	key    agent.Key
	job    string
	index  int
	orders chan shim.Order
	gone   chan struct{} // closed once nothing of it is left
	quit   context.CancelFunc
}

// New makes a daemon.
func New(set Settings) (*Daemon, error) {
	for _, dir := range []string{set.Folder, set.Saves} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, err
		}
	}
	lock, err := os.OpenFile(filepath.Join(set.Folder, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	d := &Daemon{set: set, lock: lock, events: make(chan any, 1024), depot: NewDepot(set.Depot), rpc: rpc.New(4, 2*time.Second),
		waiting: map[int]chan agent.Reply{}, runs: map[agent.Key]*run{}}
	return d, nil
}

// Notice tells the agent that its machine will be taken back.
func (d *Daemon) Notice(left time.Duration) { d.post(agent.Notice{Left: left}) }

func (d *Daemon) post(e any) {
	select {
	case d.events <- e:
	case <-d.ctx.Done():
	}
}

// Serve runs the agent until ctx ends; then its tasks are killed and it returns once
// they are gone.
func (d *Daemon) Serve(ctx context.Context, l net.Listener) error {
	defer func() { _ = d.lock.Close() }() // nothing was written
	if err := d.alone(ctx); err != nil {
		return err
	}
	if err := d.remember(); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	d.ctx = ctx
	// The machine's own name makes agents that start together report apart.
	var seed uint64
	for _, c := range d.set.Agent.Machine {
		seed = seed*31 + uint64(c)
	}
	now := shim.Clock()
	d.agent = agent.New(d.set.Agent, seed, now, d.kept)
	d.lease = now + time.Duration(d.set.Agent.Workers.LeaseS*float64(time.Second))
	srv := &fasthttp.Server{Handler: d.handle, Name: "chalk-agent", MaxRequestBodySize: protocol.MaxBody, IdleTimeout: time.Minute,
		ReadTimeout: time.Minute, WriteTimeout: 10 * time.Second, NoDefaultServerHeader: true, NoDefaultDate: true}
	g.Go(func() error { return d.loop(ctx) })
	g.Go(func() error { return httpserver.Until(ctx, srv, l) })
	return g.Wait()
}

// alone waits until nothing is left of an agent that ran on this machine before: its
// shims hold the lock that they inherited until all of their tasks are gone.
//
// Guards against a task that an earlier agent started and that is still dying when this
// one tells that the machine has no tasks.
func (d *Daemon) alone(ctx context.Context) error {
	for told := false; ; told = true {
		err := unix.Flock(int(d.lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err == nil {
			return nil
		}
		if !errors.Is(err, unix.EWOULDBLOCK) {
			return fmt.Errorf("lock %s: %w", d.lock.Name(), err)
		}
		if !told {
			d.set.Log.Info("waiting until an earlier agent of this machine and its tasks are gone")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (d *Daemon) memory() string { return filepath.Join(d.set.Folder, "memory.json") }

// remember reads what an earlier agent of this machine has kept; nothing: there was none.
func (d *Daemon) remember() error {
	b, err := os.ReadFile(d.memory())
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err == nil {
		err = json.Unmarshal(b, &d.kept)
	}
	if err != nil {
		return fmt.Errorf("%s tells the machine's last session: %w", d.memory(), err)
	}
	return nil
}

// keepMemory makes the agent's session and token durable if they have changed.
func (d *Daemon) keepMemory() error {
	m := d.agent.Memory()
	if m == d.kept {
		return nil
	}
	b, err := json.Marshal(&m)
	if err == nil {
		err = artifacts.Write(d.memory(), b, 0)
	}
	if err != nil {
		return fmt.Errorf("the machine's session must be kept before it is told: %w", err)
	}
	d.kept = m
	return nil
}

func (d *Daemon) loop(ctx context.Context) error {
	// However it ends, nothing of the machine's tasks is left then.
	defer func() {
		for _, r := range d.runs {
			r.quit()
		}
		for _, r := range d.runs {
			<-r.gone
		}
	}()
	for {
		// Timers of the kernel stand still while the machine sleeps and the lease does
		// not, so the clock is looked at again every quarter of a second.
		t := time.NewTimer(min(max(d.agent.Wake()-shim.Clock(), 0), 250*time.Millisecond))
		var effects []any
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case e := <-d.events:
			if x, ok := e.(agent.Exited); ok {
				delete(d.runs, x.Key)
			}
			effects = d.agent.Handle(shim.Clock(), e)
		case <-t.C:
			effects = d.agent.Tick(shim.Clock())
		}
		t.Stop()
		if len(effects) > 0 {
			if err := d.keepMemory(); err != nil {
				return err
			}
		}
		for _, e := range effects {
			d.do(e)
		}
	}
}

// do carries out an effect. Whatever waits does so in a goroutine of its own.
func (d *Daemon) do(e any) {
	switch e := e.(type) {
	case agent.Reply:
		d.mu.Lock()
		ch := d.waiting[e.ID]
		delete(d.waiting, e.ID)
		d.mu.Unlock()
		if ch != nil {
			ch <- e
		}
	case agent.Send:
		go d.report(e)
	case agent.Describe:
		go d.describe(e.Key)
	case agent.Fetch:
		time.AfterFunc(e.Span, func() { d.post(agent.Fetched{Key: e.Key}) })
	case agent.Launch:
		d.launch(e)
	case agent.Term:
		d.order(e.Key, shim.Order{Term: true})
	case agent.Kill:
		if r := d.runs[e.Key]; r != nil {
			r.quit()
		}
	case agent.Lease:
		d.lease = e.Until
		for k := range d.runs {
			d.order(k, shim.Order{Until: int64(e.Until)})
		}
	}
}

// order tells a shim something, unless it has stopped listening.
func (d *Daemon) order(k agent.Key, o shim.Order) {
	r := d.runs[k]
	if r == nil {
		return
	}
	select {
	case r.orders <- o:
	case <-r.gone:
	default:
		// A shim that does not read is stuck or stopped; its lease is not renewed, and
		// whether it resumes or not, nothing of it is left after that.
		if o.Term {
			r.quit()
		}
	}
}

func (d *Daemon) report(e agent.Send) {
	var out protocol.HeartbeatReply
	status := d.rpc.Call("POST", d.set.Addrs[e.Controller], "/v1/report", e.Report, &out, 4*time.Second, 200, 421)
	d.post(agent.Answered{Status: status, Answer: out.HeartbeatResponse, Redirect: out.Redirect})
}

// describe asks the depot until it answers or the attempt is of no interest any more,
// which the agent finds out by itself when the answer comes.
func (d *Daemon) describe(k agent.Key) {
	job, i, err := protocol.ParseTaskName(k.Task)
	if err != nil {
		return
	}
	for pause := 100 * time.Millisecond; ; pause = min(2*pause, 5*time.Second) {
		what, found, done, ok := d.depot.Describe(job, i)
		if ok {
			d.post(agent.Described{Key: k, Found: found, What: what, Done: done})
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
func (d *Daemon) launch(e agent.Launch) {
	job, i, _ := protocol.ParseTaskName(e.Task) // parsed at its start
	ctx, quit := context.WithCancel(d.ctx)
	r := &run{key: e.Key, job: job, index: i, orders: make(chan shim.Order, 16), gone: make(chan struct{}), quit: quit}
	d.runs[e.Key] = r
	until := d.lease
	go func() {
		defer quit()
		x := agent.Exited{Key: e.Key, Code: -1}
		if len(e.What.Command) == 0 {
			x.Code = d.simulate(ctx, r, e.What.SimulatedS)
		} else if err := d.command(ctx, r, &e.What, until, &x); err != nil {
			x.Error = err.Error()
		}
		if x.Code == 0 && x.Error == "" && !d.keep(ctx, r) {
			x.Code = -1
		}
		if x.Error != "" {
			d.set.Log.Error("task could not run", "task", e.Task, "attempt", e.Attempt, "error", x.Error)
		} else {
			d.set.Log.Info("task exited", "task", e.Task, "attempt", e.Attempt, "code", x.Code)
		}
		close(r.gone)
		d.post(x)
	}()
}

func (d *Daemon) simulate(ctx context.Context, r *run, s float64) int {
	t := time.NewTimer(time.Duration(s * float64(time.Second)))
	defer t.Stop()
	for {
		select {
		case <-t.C:
			return 0
		case <-ctx.Done():
			return -1
		case o := <-r.orders:
			if o.Term {
				return 75 // it has saved nothing, but ends as one that has
			}
		}
	}
}

// keep keeps the result of a task that is done. Until that is durable, the task counts
// as running; when it is told to end first, its result is lost.
func (d *Daemon) keep(ctx context.Context, r *run) bool {
	for pause := 100 * time.Millisecond; !d.depot.Keep(r.job, r.index); pause = min(2*pause, 5*time.Second) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause):
		}
	}
	return true
}

// command runs an attempt's command in a shim until nothing of it is left.
func (d *Daemon) command(ctx context.Context, r *run, what *protocol.JobDescription, until time.Duration, x *agent.Exited) error {
	name := fmt.Sprintf("%s.%d.%d", r.job, r.index, r.key.Attempt)
	folder := what.Folder
	if folder == "" {
		folder = filepath.Join(d.set.Folder, "work", name)
		defer func() { _ = os.RemoveAll(folder) }() // it is of no more use
	}
	output := filepath.Join(d.set.Folder, "output", name)
	saves := filepath.Join(d.set.Saves, r.job, strconv.Itoa(r.index))
	for _, dir := range []string{folder, filepath.Dir(output), saves} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
	}
	defer func() { _ = os.Remove(output) }() // what is kept of it is in the depot
	env := []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"CHALK_JOB=" + r.job, "CHALK_TASK=" + strconv.Itoa(r.index), "CHALK_TASKS=" + strconv.Itoa(what.Job.Tasks),
		"CHALK_ATTEMPT=" + strconv.FormatUint(r.key.Attempt, 10), "CHALK_SAVES=" + saves, "CHALK_MACHINE=" + d.set.Agent.Machine,
	}
	for k, v := range what.Env {
		env = append(env, k+"="+v)
	}
	cmd := exec.Command(d.set.Shim[0], d.set.Shim[1:]...)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	cmd.Stderr = os.Stderr
	cmd.ExtraFiles = []*os.File{d.lock}
	if d.set.Alive != nil {
		cmd.ExtraFiles = append(cmd.ExtraFiles, d.set.Alive)
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
		d.tell(ctx, r, in, done, shim.Spec{Command: what.Command, Env: env, Folder: folder, Output: output, Until: int64(until)})
	}()
	go func() {
		defer w.Done()
		d.upload(r, output, done)
	}()
	err = errors.New("the shim ended without a word")
	for s := bufio.NewScanner(out); s.Scan(); {
		var word shim.Word
		if json.Unmarshal(s.Bytes(), &word) != nil || !word.Over {
			continue
		}
		x.Code, err = word.Code, nil
		if word.Error != "" {
			err = errors.New(word.Error)
		}
		if word.Lease {
			d.set.Log.Warn("task ended with the lease", "task", r.key.Task, "attempt", r.key.Attempt)
		}
	}
	_ = in.Close() // a shim that has ended has closed it
	if e := cmd.Wait(); e != nil && err == nil {
		err = e
	}
	return err
}

// tell writes the shim's lines. Once the attempt is to end, the order to kill is all
// that follows.
func (d *Daemon) tell(ctx context.Context, r *run, in io.WriteCloser, done chan struct{}, spec shim.Spec) {
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

// upload sends an attempt's output as it grows, and the last of it at the end.
func (d *Daemon) upload(r *run, path string, done chan struct{}) {
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
			if d.depot.Upload(r.job, r.index, r.key.Attempt, b[:n]) {
				sent = st.Size()
			}
		}
		_ = f.Close() // it was only read
	}
}

func (d *Daemon) handle(ctx *fasthttp.RequestCtx) {
	reply := func(status int, body any) { httpserver.Reply(ctx, status, body) }
	var event func(id int) any
	switch path := string(ctx.Path()); {
	case path == "/do" && ctx.IsPost():
		var do protocol.DirectCommands
		if err := protocol.Decode(ctx.PostBody(), &do); err != nil || do.Token == 0 || do.Session == 0 {
			reply(400, protocol.ErrorResponse{Error: "Baton or Shift is missing"})
			return
		}
		event = func(id int) any { return agent.Asked{ID: id, Do: do} }
	case path == "/inspect" && ctx.IsGet():
		event = func(id int) any { return agent.Inspected{ID: id} }
	default:
		reply(404, protocol.ErrorResponse{Error: "no such page"})
		return
	}
	ch := make(chan agent.Reply, 1)
	d.mu.Lock()
	d.nextID++
	id := d.nextID
	d.waiting[id] = ch
	d.mu.Unlock()
	d.post(event(id))
	select {
	case r := <-ch:
		reply(r.Status, r.Report)
	case <-d.ctx.Done():
		reply(503, protocol.ErrorResponse{Error: "the machine is going"})
	}
}
