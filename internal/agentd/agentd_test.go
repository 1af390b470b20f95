package agentd

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/chalkhub/chalkhub/internal/agent"
	"github.com/chalkhub/chalkhub/internal/artifacts"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/rpc"
	"github.com/chalkhub/chalkhub/internal/shim"
)

// TestMain lets this program be the shim.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "shim" {
		if shim.Run(os.Stdin, os.Stdout) != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// testMachine is an agent with a controller that answers its heartbeats and an artifact server.
type testMachine struct {
	t              *testing.T
	addr           string
	store          *artifacts.Store
	controllerDown atomic.Bool // the controller responds with 503
	resultsRefused atomic.Bool // the artifact server responds to uploads with 503
	client         *rpc.Client
	settings       Settings
	stop           func()
}

func serveHTTP(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	l := listen(t)
	srv := &fasthttp.Server{Handler: h}
	go func() { _ = srv.Serve(l) }() // it ends with the cleanup
	t.Cleanup(func() { _ = srv.Shutdown() })
	return l.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func startMachine(t *testing.T, leaseS float64) *testMachine {
	t.Helper()
	m := &testMachine{t: t, client: rpc.New(4, time.Second)}
	m.settings = Settings{
		ArtifactsAddr:   m.startArtifacts(),
		ControllerAddrs: []string{m.startController()},
		Dir:             t.TempDir(),
		CheckpointDir:   t.TempDir(),
		ShimCommand:     []string{os.Args[0], "shim"},
		Logger:          slog.New(slog.NewTextHandler(io.Discard, nil)),
		Agent: agent.Settings{
			Machine: "n-1", CPUs: 4, MemoryGB: 4,
			Controllers: []protocol.Redirect{{ReportTo: "ctl-0"}},
			Workers:     config.WorkerTiming{HeartbeatS: 0.3, LeaseS: leaseS},
		},
	}
	m.start()
	return m
}

// startArtifacts starts an artifact server behind a proxy that can refuse results, and
// returns the proxy's address.
func (m *testMachine) startArtifacts() string {
	m.t.Helper()
	store, err := artifacts.Open(m.t.TempDir())
	if err != nil {
		m.t.Fatal(err)
	}
	m.store = store
	l := listen(m.t)
	server := &fasthttp.HostClient{Addr: l.Addr().String()}
	proxy := serveHTTP(m.t, func(ctx *fasthttp.RequestCtx) {
		if m.resultsRefused.Load() && ctx.IsPut() {
			ctx.SetStatusCode(503)
			return
		}
		if err := server.Do(&ctx.Request, &ctx.Response); err != nil {
			ctx.SetStatusCode(502)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- store.Serve(ctx, l) }()
	m.t.Cleanup(func() {
		cancel()
		if err := <-served; !errors.Is(err, context.Canceled) {
			m.t.Errorf("the artifact server ended: %v", err)
		}
	})
	return proxy
}

// startController starts a controller that answers heartbeats, and returns its address.
func (m *testMachine) startController() string {
	m.t.Helper()
	return serveHTTP(m.t, func(ctx *fasthttp.RequestCtx) {
		if m.controllerDown.Load() {
			ctx.SetStatusCode(503)
			return
		}
		ctx.SetBody(protocol.Encode(protocol.HeartbeatResponse{Token: 5}))
	})
}

// start starts an agent on the machine; stop ends it.
func (m *testMachine) start() {
	m.t.Helper()
	d, err := New(m.settings)
	if err != nil {
		m.t.Fatal(err)
	}
	l := listen(m.t)
	m.addr = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() { defer close(served); _ = d.Serve(ctx, l) }() // tests look at what it does
	m.stop = func() { cancel(); <-served }
	m.t.Cleanup(m.stop)
}

func (m *testMachine) describe(checkpoint float64, command ...string) {
	m.t.Helper()
	d := &protocol.JobDescription{Job: protocol.Job{ID: "job-1", Tasks: 9, CPUs: 1, Team: "a", CheckpointS: checkpoint, SaveS: checkpoint}, Command: command}
	if err := m.store.PutJob(d); err != nil {
		m.t.Fatal(err)
	}
}

func (m *testMachine) command(cmds ...protocol.Command) int {
	m.t.Helper()
	return m.client.Call("POST", m.addr, "/do", protocol.DirectCommands{Token: 5, Session: 1, Commands: cmds}, nil, time.Second)
}

func (m *testMachine) heartbeat() (r protocol.Heartbeat) {
	m.t.Helper()
	if m.client.Call("GET", m.addr, "/inspect", nil, &r, 10*time.Second, 200) != 200 {
		m.t.Fatal("no report")
	}
	return r
}

func (m *testMachine) waitUntil(condition string, holds func(protocol.Heartbeat) bool) {
	m.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds(m.heartbeat()) {
			return
		}
	}
	m.t.Fatalf("not in time: %s; %+v", condition, m.heartbeat())
}

func taskIs(state, exitReason string, saved bool) func(protocol.Heartbeat) bool {
	return func(r protocol.Heartbeat) bool {
		return len(r.Tasks) == 1 && r.Tasks[0].State == state && r.Tasks[0].ExitReason == exitReason && r.Tasks[0].Saved == saved
	}
}

// A command that is stopped saves, its next attempt goes on from there and is done, and
// a third one exits at once, since its result is kept.
func TestAttemptResumesFromCheckpoint(t *testing.T) {
	m := startMachine(t, 30)
	m.describe(1, "sh", "-c", `trap 'echo half > "$CHALK_SAVES/progress"; exit 75' TERM
if [ -f "$CHALK_SAVES/progress" ]; then echo went on; exit 0; fi
echo began; while :; do sleep 0.02; done`)
	start := func(attempt uint64) {
		m.command(protocol.Command{Kind: protocol.CommandStart, Task: "job-1/0", Attempt: attempt})
	}
	start(1)
	m.waitUntil("it has written", func(protocol.Heartbeat) bool { b, _ := m.store.Output("job-1", 0, 1); return string(b) == "began\n" })
	m.command(protocol.Command{Kind: protocol.CommandStop, Task: "job-1/0", Attempt: 1, GraceS: 10})
	m.waitUntil("it has saved", taskIs(protocol.TaskExited, protocol.ExitStopped, true))
	for attempt := uint64(2); attempt < 4; attempt++ {
		m.command(protocol.Command{Kind: protocol.CommandForget, Task: "job-1/0", Attempt: attempt - 1})
		start(attempt)
		m.waitUntil("it is done", taskIs(protocol.TaskExited, protocol.ExitDone, false))
	}
	if b, _ := m.store.Output("job-1", 0, 2); string(b) != "went on\n" {
		t.Errorf("the second attempt wrote %q", b)
	}
	if _, err := m.store.Output("job-1", 0, 3); err == nil {
		t.Error("the third attempt ran although the result is kept")
	}
}

// A result that is not durable is not told: the task goes on being reported as running
// until it is stored.
func TestResultIsDurableBeforeItIsReported(t *testing.T) {
	m := startMachine(t, 30)
	m.describe(0, "true")
	m.resultsRefused.Store(true)
	m.command(protocol.Command{Kind: protocol.CommandStart, Task: "job-1/0", Attempt: 1})
	m.waitUntil("it runs", taskIs(protocol.TaskRunning, "", false))
	time.Sleep(500 * time.Millisecond)
	if r := m.heartbeat(); !taskIs(protocol.TaskRunning, "", false)(r) || m.store.Done("job-1", 0) {
		t.Fatalf("%+v", r)
	}
	m.resultsRefused.Store(false)
	m.waitUntil("it is done", taskIs(protocol.TaskExited, protocol.ExitDone, false))
	if !m.store.Done("job-1", 0) {
		t.Fatal("done was told before it was kept")
	}
}

// When no controller answers, the lease ends, all tasks with it, and the next session
// begins with none; an order for the last session is refused.
func TestLeaseExpiryKillsEveryTask(t *testing.T) {
	m := startMachine(t, 5)
	m.describe(0, "sh", "-c", "setsid sleep 300 & echo $!; wait")
	m.command(protocol.Command{Kind: protocol.CommandStart, Task: "job-1/0", Attempt: 1}, protocol.Command{Kind: protocol.CommandStart, Task: "job-1/1", Attempt: 1})
	m.waitUntil("both run", func(r protocol.Heartbeat) bool {
		return len(r.Tasks) == 2 && r.Tasks[0].State == protocol.TaskRunning && r.Tasks[1].State == protocol.TaskRunning
	})
	time.Sleep(6 * time.Second)
	if r := m.heartbeat(); r.Session != 1 || len(r.Tasks) != 2 {
		t.Fatalf("the lease is not renewed: %+v", r)
	}
	m.controllerDown.Store(true)
	m.waitUntil("the next session", func(r protocol.Heartbeat) bool { return r.Session > 1 && len(r.Tasks) == 0 })
	if status := m.command(protocol.Command{Kind: protocol.CommandStart, Task: "job-1/0", Attempt: 2}); status != 409 {
		t.Fatalf("an order for the last session is answered %d", status)
	}
}

// An agent that is started again on its machine begins a session that was never there and
// obeys no token from before, and it says nothing until the tasks of the earlier one are
// gone, be that as dead as it may.
func TestRestartWaitsForEarlierTasks(t *testing.T) {
	m := startMachine(t, 30)
	m.waitUntil("a token is seen", func(r protocol.Heartbeat) bool { return r.Token == 5 && r.Session == 1 })
	m.stop()
	// A shim of the earlier agent that takes its time.
	lockFile, err := os.Open(m.settings.Dir + "/lock")
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Flock(int(lockFile.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		t.Fatalf("the agent has ended and its lock is held: %v", err)
	}
	m.controllerDown.Store(true)
	m.start()
	time.Sleep(300 * time.Millisecond)
	if status := m.client.Call("GET", m.addr, "/inspect", nil, nil, 200*time.Millisecond); status != 0 {
		t.Fatalf("it answers %d while something of the last agent is left", status)
	}
	if err := lockFile.Close(); err != nil {
		t.Fatal(err)
	}
	m.waitUntil("the next session", func(r protocol.Heartbeat) bool { return r.Session == 2 && r.Token == 5 && len(r.Tasks) == 0 })
	if status := m.client.Call("POST", m.addr, "/do", protocol.DirectCommands{Token: 4, Session: 2}, nil, time.Second); status != 409 {
		t.Fatalf("a token from before is answered %d", status)
	}
}
