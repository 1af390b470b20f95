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

// TestMain runs the shim instead of the tests if the first argument is "shim", so that the tests
// can use their own program as shim.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "shim" {
		if shim.Run(os.Stdin, os.Stdout) != nil {
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// testMachine is an agent with an artifact server and a controller that responds to heartbeats.
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
	go func() { _ = srv.Serve(l) }() // returns when the cleanup shuts srv down
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

// startArtifacts starts an artifact server behind a proxy that can refuse uploads, and
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
			m.t.Errorf("artifact server: got error %v, want context.Canceled", err)
		}
	})
	return proxy
}

// startController starts a controller that responds to heartbeats, and returns its address.
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

// start starts an agent on the machine. m.stop stops it and waits until Serve has returned.
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
	go func() { defer close(served); _ = d.Serve(ctx, l) }() // its error is not checked; the tests check the agent's behavior
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
		m.t.Fatal("the agent did not respond to a request for its status")
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
	m.t.Fatalf("condition not met within 30 s: %s; last heartbeat: %+v", condition, m.heartbeat())
}

func taskIs(state, exitReason string, saved bool) func(protocol.Heartbeat) bool {
	return func(r protocol.Heartbeat) bool {
		return len(r.Tasks) == 1 && r.Tasks[0].State == state && r.Tasks[0].ExitReason == exitReason && r.Tasks[0].Saved == saved
	}
}

// A stopped command saves a checkpoint, and the task's second attempt resumes from it and is
// done. A third attempt exits as done without running the command, since the task's result is
// stored.
func TestAttemptResumesFromCheckpoint(t *testing.T) {
	m := startMachine(t, 30)
	m.describe(1, "sh", "-c", `trap 'echo half > "$CHALK_SAVES/progress"; exit 75' TERM
if [ -f "$CHALK_SAVES/progress" ]; then echo went on; exit 0; fi
echo began; while :; do sleep 0.02; done`)
	start := func(attempt uint64) {
		m.command(protocol.Command{Kind: protocol.CommandStart, Task: "job-1/0", Attempt: attempt})
	}
	start(1)
	m.waitUntil("the first attempt's output is stored", func(protocol.Heartbeat) bool { b, _ := m.store.Output("job-1", 0, 1); return string(b) == "began\n" })
	m.command(protocol.Command{Kind: protocol.CommandStop, Task: "job-1/0", Attempt: 1, GraceS: 10})
	m.waitUntil("the first attempt has saved a checkpoint", taskIs(protocol.TaskExited, protocol.ExitStopped, true))
	for attempt := uint64(2); attempt < 4; attempt++ {
		m.command(protocol.Command{Kind: protocol.CommandForget, Task: "job-1/0", Attempt: attempt - 1})
		start(attempt)
		m.waitUntil("the attempt is done", taskIs(protocol.TaskExited, protocol.ExitDone, false))
	}
	if b, _ := m.store.Output("job-1", 0, 2); string(b) != "went on\n" {
		t.Errorf("output of the second attempt: got %q, want \"went on\\n\"", b)
	}
	if _, err := m.store.Output("job-1", 0, 3); err == nil {
		t.Error("the third attempt ran the command although the task's result is stored")
	}
}

// While the artifact server refuses to store a task's result, the agent reports the task as
// running although its command has exited. It reports it as done only once the result is stored.
func TestResultIsDurableBeforeItIsReported(t *testing.T) {
	m := startMachine(t, 30)
	m.describe(0, "true")
	m.resultsRefused.Store(true)
	m.command(protocol.Command{Kind: protocol.CommandStart, Task: "job-1/0", Attempt: 1})
	m.waitUntil("the task runs", taskIs(protocol.TaskRunning, "", false))
	time.Sleep(500 * time.Millisecond)
	if r := m.heartbeat(); !taskIs(protocol.TaskRunning, "", false)(r) || m.store.Done("job-1", 0) {
		t.Fatalf("the result can't be stored: want a task that is reported as running and not stored as done, got %+v", r)
	}
	m.resultsRefused.Store(false)
	m.waitUntil("the task is done", taskIs(protocol.TaskExited, protocol.ExitDone, false))
	if !m.store.Done("job-1", 0) {
		t.Fatal("the task was reported as done before its result was stored")
	}
}

// When no controller responds, the lease expires, the agent kills all tasks and begins the next
// session with none. It refuses a command for the old session.
func TestLeaseExpiryKillsEveryTask(t *testing.T) {
	m := startMachine(t, 5)
	m.describe(0, "sh", "-c", "setsid sleep 300 & echo $!; wait")
	m.command(protocol.Command{Kind: protocol.CommandStart, Task: "job-1/0", Attempt: 1}, protocol.Command{Kind: protocol.CommandStart, Task: "job-1/1", Attempt: 1})
	m.waitUntil("both tasks run", func(r protocol.Heartbeat) bool {
		return len(r.Tasks) == 2 && r.Tasks[0].State == protocol.TaskRunning && r.Tasks[1].State == protocol.TaskRunning
	})
	time.Sleep(6 * time.Second)
	if r := m.heartbeat(); r.Session != 1 || len(r.Tasks) != 2 {
		t.Fatalf("the lease was not renewed: want session 1 with 2 tasks, got %+v", r)
	}
	m.controllerDown.Store(true)
	m.waitUntil("the next session has begun", func(r protocol.Heartbeat) bool { return r.Session > 1 && len(r.Tasks) == 0 })
	if status := m.command(protocol.Command{Kind: protocol.CommandStart, Task: "job-1/0", Attempt: 2}); status != 409 {
		t.Fatalf("a command for the old session: got status %d, want 409", status)
	}
}

// A restarted agent begins a session with a new number and refuses commands with a token below
// the highest one that the earlier agent saw. It responds to no request until all tasks of the
// earlier agent have exited, even though the earlier agent itself has exited.
func TestRestartWaitsForEarlierTasks(t *testing.T) {
	m := startMachine(t, 30)
	m.waitUntil("a token is seen", func(r protocol.Heartbeat) bool { return r.Token == 5 && r.Session == 1 })
	m.stop()
	// The test holds the lock, as a shim of the earlier agent does until its task has exited.
	lockFile, err := os.Open(m.settings.Dir + "/lock")
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Flock(int(lockFile.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		t.Fatalf("the lock is still held after the agent has exited: %v", err)
	}
	m.controllerDown.Store(true)
	m.start()
	time.Sleep(300 * time.Millisecond)
	if status := m.client.Call("GET", m.addr, "/inspect", nil, nil, 200*time.Millisecond); status != 0 {
		t.Fatalf("the agent responded with status %d while a shim of the earlier agent holds the lock", status)
	}
	if err := lockFile.Close(); err != nil {
		t.Fatal(err)
	}
	m.waitUntil("the next session has begun", func(r protocol.Heartbeat) bool { return r.Session == 2 && r.Token == 5 && len(r.Tasks) == 0 })
	if status := m.client.Call("POST", m.addr, "/do", protocol.DirectCommands{Token: 4, Session: 2}, nil, time.Second); status != 409 {
		t.Fatalf("a command with a stale token: got status %d, want 409", status)
	}
}
