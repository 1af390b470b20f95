package agent

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// harness runs an agent on a simulated clock and records its effects.
type harness struct {
	t interface {
		Fatalf(string, ...any)
		Helper()
	}
	agent            *Agent
	now              time.Duration
	inFlight         *SendHeartbeat
	sentAt           []time.Duration
	replies          []StatusReply
	running          map[AttemptKey]bool // launched, and the agent has not handled its exit yet
	killed           map[AttemptKey]bool
	terminated       map[AttemptKey]bool
	describeRequests []AttemptKey
	redirected       bool // the last response redirected the heartbeat
	seq              uint64
	session          uint64
	leaseUntil       time.Duration
}

func newHarness(t interface {
	Fatalf(string, ...any)
	Helper()
}) *harness {
	h := &harness{t: t, running: map[AttemptKey]bool{}, killed: map[AttemptKey]bool{}, terminated: map[AttemptKey]bool{}}
	h.agent = New(Settings{Machine: "n-1", Addr: "x", Type: "small", Zone: "a", CPUs: 4, MemoryGB: 8,
		Controllers: []protocol.Redirect{{ReportTo: "ctl-0"}, {ReportTo: "ctl-1"}}, Workers: config.WorkerTiming{HeartbeatS: 1, LeaseS: 12, CancelS: 20}}, 1, 0, DurableState{})
	h.apply(h.agent.Tick(0))
	return h
}

// apply records effects and checks the invariants of each of them.
func (h *harness) apply(effects []Effect) {
	h.t.Helper()
	for _, e := range effects {
		switch e := e.(type) {
		case SendHeartbeat:
			h.checkSend()
			h.sentAt = append(h.sentAt, h.now)
			h.inFlight = &e
			h.checkHeartbeat(&e.Heartbeat)
		case StatusReply:
			h.replies = append(h.replies, e)
			h.checkHeartbeat(&e.Heartbeat)
		case DescribeJob:
			h.describeRequests = append(h.describeRequests, e.AttemptKey)
		case LaunchAttempt:
			h.checkLaunch(e.AttemptKey)
			h.running[e.AttemptKey] = true
		case KillAttempt:
			h.killed[e.AttemptKey] = true
		case TerminateAttempt:
			h.terminated[e.AttemptKey] = true
		case ExtendLease:
			h.leaseUntil = e.Until
		}
	}
}

// checkSend checks that at most one heartbeat is in flight and that heartbeats are at least
// minHeartbeatGap apart. A heartbeat that follows a redirect may be sent earlier.
func (h *harness) checkSend() {
	h.t.Helper()
	if h.inFlight != nil {
		h.t.Fatalf("a second heartbeat was sent while one was in flight")
	}
	if n := len(h.sentAt); n > 0 && h.now-h.sentAt[n-1] < minHeartbeatGap && !h.redirected {
		h.t.Fatalf("two heartbeats were sent only %v apart", h.now-h.sentAt[n-1])
	}
}

// checkHeartbeat checks that a heartbeat is newer than the last one and lists every running
// attempt.
func (h *harness) checkHeartbeat(r *protocol.Heartbeat) {
	h.t.Helper()
	if r.Session < h.session || r.Seq <= h.seq {
		h.t.Fatalf("heartbeat with session and sequence number %d.%d follows %d.%d", r.Session, r.Seq, h.session, h.seq)
	}
	h.session, h.seq = r.Session, r.Seq
	reported := map[AttemptKey]bool{}
	for _, t := range r.Tasks {
		if t.State != protocol.TaskExited {
			reported[AttemptKey{t.Task, t.Attempt}] = true
		}
	}
	for k := range h.running {
		if !reported[k] {
			h.t.Fatalf("attempt %v runs and is not in the heartbeat", k)
		}
	}
}

// checkLaunch checks that no other attempt of the launched attempt's task runs.
func (h *harness) checkLaunch(launched AttemptKey) {
	h.t.Helper()
	for k := range h.running {
		if k.Task == launched.Task {
			h.t.Fatalf("attempt %v was launched while %v runs", launched, k)
		}
	}
}

func (h *harness) handle(e Event) {
	h.t.Helper()
	switch e := e.(type) {
	case AttemptExited:
		delete(h.running, e.AttemptKey)
	case HeartbeatCompleted:
		h.redirected = e.Status == 421
	}
	h.apply(h.agent.Handle(h.now, e))
}

// advance moves the clock forward and calls Tick when it is due. It does not complete a
// heartbeat that is in flight.
func (h *harness) advance(d time.Duration) {
	h.t.Helper()
	for end := h.now + d; h.now < end; {
		h.now = min(max(h.agent.NextTick(), h.now+time.Millisecond), end)
		h.apply(h.agent.Tick(h.now))
	}
}

// awaitHeartbeat advances the clock until a heartbeat is in flight, and returns it.
func (h *harness) awaitHeartbeat() *protocol.Heartbeat {
	h.t.Helper()
	for end := h.now + 10*time.Second; h.inFlight == nil; {
		if h.now >= end {
			h.t.Fatalf("no heartbeat was sent within 10 s")
		}
		h.advance(10 * time.Millisecond)
	}
	return &h.inFlight.Heartbeat
}

// respond waits for a heartbeat and passes the agent a response with status 200 to it.
func (h *harness) respond(token uint64, cmds ...protocol.Command) {
	h.t.Helper()
	h.awaitHeartbeat()
	h.inFlight = nil
	h.handle(HeartbeatCompleted{Status: 200, Response: protocol.HeartbeatResponse{Token: token, Commands: cmds}})
}

func startCommand(task string, attemptNumber uint64) protocol.Command {
	return protocol.Command{Kind: protocol.CommandStart, Task: task, Attempt: attemptNumber}
}

func (h *harness) describe(k AttemptKey, change func(*JobDescribed)) {
	h.t.Helper()
	d := JobDescribed{AttemptKey: k, Found: true}
	d.Description.Job = protocol.Job{ID: "job-1", Tasks: 100, CPUs: 1, MemoryGB: 1, Image: "i"}
	d.Description.Command = []string{"true"}
	if change != nil {
		change(&d)
	}
	h.handle(d)
	h.handle(ImageFetched{k})
}

func (h *harness) state(k AttemptKey) string {
	h.t.Helper()
	h.handle(StatusRequested{})
	for _, t := range h.replies[len(h.replies)-1].Heartbeat.Tasks {
		if t.Task == k.Task && t.Attempt == k.Attempt {
			return fmt.Sprintf("%s %s %v", t.State, t.ExitReason, t.Saved)
		}
	}
	return "none"
}

func (h *harness) wantState(k AttemptKey, state string) {
	h.t.Helper()
	if got := h.state(k); got != state {
		h.t.Fatalf("attempt %v: got state %q, want %q", k, got, state)
	}
}

func TestTaskRunsAndIsForgotten(t *testing.T) {
	h := newHarness(t)
	k := AttemptKey{"job-1/3", 7}
	h.respond(5, startCommand(k.Task, 7))
	h.wantState(k, "fetching  false")
	h.describe(k, nil)
	h.wantState(k, "running  false")
	h.respond(5, startCommand(k.Task, 7)) // a second start of a running attempt has no effect
	h.handle(AttemptExited{AttemptKey: k, ExitCode: 0})
	h.wantState(k, "ended done false")
	h.respond(5, startCommand(k.Task, 7)) // nor does one of an exited attempt
	h.wantState(k, "ended done false")
	h.respond(5, protocol.Command{Kind: protocol.CommandForget, Task: k.Task, Attempt: 7})
	h.wantState(k, "none")
	h.respond(5, startCommand(k.Task, 7)) // after it was forgotten the attempt is started again
	h.describe(k, func(d *JobDescribed) { d.ResultStored = true })
	h.wantState(k, "ended done false") // without a launch, since its result is stored
}

func TestInvalidStartCommandsAreRefused(t *testing.T) {
	h := newHarness(t)
	h.respond(5, startCommand("job-1/0", 1), startCommand("job-1/0", 2), startCommand("job-1/1", 1), startCommand("job-1/100", 1), startCommand("nonsense", 1), startCommand("job-1/2", 1))
	h.wantState(AttemptKey{"job-1/0", 2}, "ended busy false")
	h.wantState(AttemptKey{"nonsense", 1}, "ended no_such false")
	h.describe(AttemptKey{"job-1/0", 1}, func(d *JobDescribed) { d.Description.Job.CPUs = 3 })
	h.describe(AttemptKey{"job-1/1", 1}, func(d *JobDescribed) { d.Description.Job.CPUs = 1.5 })
	h.wantState(AttemptKey{"job-1/1", 1}, "ended no_room false")
	h.describe(AttemptKey{"job-1/100", 1}, nil)
	h.wantState(AttemptKey{"job-1/100", 1}, "ended no_such false")
	h.describe(AttemptKey{"job-1/2", 1}, func(d *JobDescribed) { d.Found = false })
	h.wantState(AttemptKey{"job-1/2", 1}, "ended no_such false")
}

func TestStoppedAttemptSavesWithinGracePeriod(t *testing.T) {
	h := newHarness(t)
	saves := func(d *JobDescribed) { d.Description.Job.CheckpointS, d.Description.Job.SaveS = 10, 2 }
	stop := func(k AttemptKey, grace float64) protocol.Command {
		return protocol.Command{Kind: protocol.CommandStop, Task: k.Task, Attempt: k.Attempt, GraceS: grace}
	}
	keys := []AttemptKey{{"job-1/0", 1}, {"job-1/1", 1}, {"job-1/2", 1}, {"job-1/3", 1}}
	for _, k := range keys {
		h.respond(5, startCommand(k.Task, k.Attempt))
		h.describe(k, saves)
	}
	h.respond(5, stop(keys[0], 3), stop(keys[1], 3), stop(keys[2], 3), stop(keys[3], 1))
	if !h.terminated[keys[0]] || h.killed[keys[0]] || h.terminated[keys[3]] || !h.killed[keys[3]] {
		t.Fatalf("attempt 0 must be asked to save and attempt 3 be killed; asked to save: %v, killed: %v", h.terminated, h.killed)
	}
	h.wantState(keys[0], "saving  false")
	h.handle(AttemptExited{AttemptKey: keys[0], ExitCode: 75})
	h.wantState(keys[0], "ended halted true")
	h.respond(5, stop(keys[1], 0)) // a second command without a grace period kills the attempt
	if !h.killed[keys[1]] {
		t.Fatal("a stop command without a grace period did not kill an attempt that was saving")
	}
	h.handle(AttemptExited{AttemptKey: keys[1], ExitCode: -1})
	h.wantState(keys[1], "ended halted false")
	h.respond(5)
	h.advance(time.Second)
	h.respond(5)
	h.advance(2 * time.Second)
	if !h.killed[keys[2]] {
		t.Fatal("the attempt was not killed at the end of its grace period")
	}
	h.handle(AttemptExited{AttemptKey: keys[2], ExitCode: -1})
	h.wantState(keys[2], "ended halted false")
}

func TestStaleTokensAndLateResponsesAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.respond(9)
	lease := h.leaseUntil
	h.respond(8, startCommand("job-1/0", 1)) // a lower token
	h.wantState(AttemptKey{"job-1/0", 1}, "none")
	h.respond(0, startCommand("job-1/0", 1)) // no token
	h.wantState(AttemptKey{"job-1/0", 1}, "none")
	h.awaitHeartbeat()
	h.advance(4100 * time.Millisecond)
	h.respond(9, startCommand("job-1/0", 1)) // later than the timeout of 4 s
	h.wantState(AttemptKey{"job-1/0", 1}, "none")
	if h.leaseUntil != lease {
		t.Fatal("a stale or late response renewed the lease")
	}
	h.handle(CommandsReceived{ID: 1, Request: protocol.DirectCommands{Token: 8, Session: 1, Commands: []protocol.Command{startCommand("job-1/0", 1)}}})
	h.handle(CommandsReceived{ID: 2, Request: protocol.DirectCommands{Token: 11, Session: 2, Commands: []protocol.Command{startCommand("job-1/0", 1)}}})
	if n := len(h.replies); h.replies[n-1].Status != 409 || h.replies[n-2].Status != 409 || h.replies[n-1].Heartbeat.Token != 11 {
		t.Fatalf("want status 409 for a stale token and for another session, and token 11 in the second reply; got %+v", h.replies[n-2:])
	}
	h.wantState(AttemptKey{"job-1/0", 1}, "none")
}

func TestLeaseExpiryEndsSession(t *testing.T) {
	h := newHarness(t)
	k := AttemptKey{"job-1/0", 1}
	h.respond(5, startCommand(k.Task, 1))
	h.describe(k, nil)
	for h.now < h.leaseUntil-2*time.Second {
		h.awaitHeartbeat()
		h.inFlight = nil
		h.handle(HeartbeatCompleted{}) // no controller responds any more
		h.advance(100 * time.Millisecond)
	}
	h.advance(h.leaseUntil + 10*time.Millisecond - h.now)
	if !h.killed[k] {
		t.Fatal("the lease has expired and the attempt was not killed")
	}
	// Until the attempt has exited, the agent sends no heartbeats and executes no commands.
	if h.inFlight != nil {
		h.inFlight = nil
		h.handle(HeartbeatCompleted{})
	}
	n := len(h.sentAt)
	h.advance(3 * time.Second)
	h.handle(CommandsReceived{ID: 9, Request: protocol.DirectCommands{Token: 5, Session: 1, Commands: []protocol.Command{startCommand("job-1/9", 1)}}})
	if len(h.sentAt) > n || h.replies[len(h.replies)-1].Status != 409 {
		t.Fatal("the agent sent a heartbeat or accepted a command before the old session's attempt had exited")
	}
	h.handle(AttemptExited{AttemptKey: k, ExitCode: -1})
	if r := h.awaitHeartbeat(); r.Session != 2 || len(r.Tasks) != 0 {
		t.Fatalf("want a heartbeat of session 2 without attempts, got %+v", r)
	}
}

func TestHeartbeatFollowsRedirect(t *testing.T) {
	h := newHarness(t)
	h.awaitHeartbeat()
	first := h.inFlight.Controller
	other := h.agent.settings.Controllers[1-first].ReportTo
	h.inFlight = nil
	at := h.now
	h.handle(HeartbeatCompleted{Status: 421, Redirect: protocol.Redirect{ReportTo: other}})
	h.awaitHeartbeat()
	if h.inFlight.Controller == first || h.now-at > minHeartbeatGap+20*time.Millisecond {
		t.Fatalf("after a redirect to the other controller, the heartbeat went to controller %d after %v", h.inFlight.Controller, h.now-at)
	}
	h.inFlight = nil
	at = h.now
	h.handle(HeartbeatCompleted{Status: 421, Redirect: protocol.Redirect{ReportTo: other}}) // the controller names itself
	h.awaitHeartbeat()
	if h.inFlight.Controller != first || h.now-at < failoverDelay {
		t.Fatalf("after a redirect to the same controller, the heartbeat went to controller %d after %v", h.inFlight.Controller, h.now-at)
	}
}

// The harness checks its invariants while events arrive in random order.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			h.advance(time.Duration(rapid.SampledFrom([]int{1, 30, 400, 2500, 9000}).Draw(t, "ms")) * time.Millisecond)
			h.randomEvent(t)
		}
	})
}

func (h *harness) randomEvent(t *rapid.T) {
	commands := randomCommands(t)
	token := rapid.Uint64Range(1, 4).Draw(t, "token")
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0, 1:
		if h.inFlight != nil {
			h.inFlight = nil
			status := rapid.SampledFrom([]int{200, 200, 200, 421, 503, 0}).Draw(t, "status")
			h.handle(HeartbeatCompleted{Status: status, Response: protocol.HeartbeatResponse{Token: token, Commands: commands}})
		}
	case 2:
		session := rapid.Uint64Range(1, 3).Draw(t, "session")
		h.handle(CommandsReceived{ID: 1, Request: protocol.DirectCommands{Token: token, Session: session, Commands: commands}})
	case 3:
		if len(h.describeRequests) > 0 {
			k := h.describeRequests[0]
			h.describeRequests = h.describeRequests[1:]
			h.describe(k, func(d *JobDescribed) {
				d.Description.Job.CheckpointS, d.Description.Job.SaveS = float64(rapid.IntRange(0, 1).Draw(t, "saves")), 1
			})
		}
	default:
		h.randomExit(t)
	}
}

func randomCommands(t *rapid.T) []protocol.Command {
	kinds := []string{protocol.CommandStart, protocol.CommandStart, protocol.CommandStop, protocol.CommandForget}
	tasks := []string{"job-1/0", "job-1/1", "job-1/2"}
	var commands []protocol.Command
	for range rapid.IntRange(0, 3).Draw(t, "commands") {
		commands = append(commands, protocol.Command{
			Kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
			Task:    rapid.SampledFrom(tasks).Draw(t, "task"),
			Attempt: rapid.Uint64Range(1, 3).Draw(t, "attempt"),
			GraceS:  rapid.Float64Range(0, 5).Draw(t, "grace"),
		})
	}
	return commands
}

// randomExit lets at most one attempt of a fixed list exit: the first one that runs and was
// killed, or that runs and is chosen by a random draw.
func (h *harness) randomExit(t *rapid.T) {
	for _, k := range []AttemptKey{{"job-1/0", 1}, {"job-1/0", 2}, {"job-1/1", 1}, {"job-1/1", 3}, {"job-1/2", 2}} {
		if h.running[k] && (h.killed[k] || rapid.Bool().Draw(t, "exits")) {
			h.handle(AttemptExited{AttemptKey: k, ExitCode: rapid.SampledFrom([]int{0, 1, 75, -1}).Draw(t, "code")})
			delete(h.killed, k)
			return
		}
	}
}
