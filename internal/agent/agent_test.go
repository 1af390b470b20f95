package agent

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// harness is an agent with a clock and a record of what runs.
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
	running          map[AttemptKey]bool // launched, its exit not handled yet
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

// apply records effects and checks the invariants that hold for each of them.
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

// checkSend checks that heartbeats neither overlap nor follow each other too fast.
func (h *harness) checkSend() {
	h.t.Helper()
	if h.inFlight != nil {
		h.t.Fatalf("two heartbeats in flight")
	}
	if n := len(h.sentAt); n > 0 && h.now-h.sentAt[n-1] < minHeartbeatGap && !h.redirected {
		h.t.Fatalf("heartbeats %v apart", h.now-h.sentAt[n-1])
	}
}

// checkHeartbeat checks that a heartbeat is newer than the last and names what runs.
func (h *harness) checkHeartbeat(r *protocol.Heartbeat) {
	h.t.Helper()
	if r.Session < h.session || r.Seq <= h.seq {
		h.t.Fatalf("heartbeat %d.%d after %d.%d", r.Session, r.Seq, h.session, h.seq)
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
			h.t.Fatalf("%v runs and is not in the heartbeat", k)
		}
	}
}

// checkLaunch checks that no other attempt of the task runs.
func (h *harness) checkLaunch(launched AttemptKey) {
	h.t.Helper()
	for k := range h.running {
		if k.Task == launched.Task {
			h.t.Fatalf("%v starts beside %v", launched, k)
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

// advance lets time pass, a report's answer excepted.
func (h *harness) advance(d time.Duration) {
	h.t.Helper()
	for end := h.now + d; h.now < end; {
		h.now = min(max(h.agent.NextTick(), h.now+time.Millisecond), end)
		h.apply(h.agent.Tick(h.now))
	}
}

// awaitHeartbeat waits for the next report.
func (h *harness) awaitHeartbeat() *protocol.Heartbeat {
	h.t.Helper()
	for end := h.now + 10*time.Second; h.inFlight == nil; {
		if h.now >= end {
			h.t.Fatalf("no report")
		}
		h.advance(10 * time.Millisecond)
	}
	return &h.inFlight.Heartbeat
}

// respond answers the report that is under way.
func (h *harness) respond(token uint64, cmds ...protocol.Command) {
	h.t.Helper()
	h.awaitHeartbeat()
	h.inFlight = nil
	h.handle(HeartbeatCompleted{Status: 200, Response: protocol.HeartbeatResponse{Token: token, Commands: cmds}})
}

func startCommand(task string, try uint64) protocol.Command {
	return protocol.Command{Kind: protocol.CommandStart, Task: task, Attempt: try}
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
		h.t.Fatalf("%v is %q, not %q", k, got, state)
	}
}

func TestTaskRunsAndIsForgotten(t *testing.T) {
	h := newHarness(t)
	k := AttemptKey{"job-1/3", 7}
	h.respond(5, startCommand(k.Task, 7))
	h.wantState(k, "fetching  false")
	h.describe(k, nil)
	h.wantState(k, "running  false")
	h.respond(5, startCommand(k.Task, 7)) // repeated: no effect
	h.handle(AttemptExited{AttemptKey: k, ExitCode: 0})
	h.wantState(k, "ended done false")
	h.respond(5, startCommand(k.Task, 7)) // exited included
	h.wantState(k, "ended done false")
	h.respond(5, protocol.Command{Kind: protocol.CommandForget, Task: k.Task, Attempt: 7})
	h.wantState(k, "none")
	h.respond(5, startCommand(k.Task, 7)) // after clear it starts once more
	h.describe(k, func(d *JobDescribed) { d.ResultStored = true })
	h.wantState(k, "ended done false") // its result is kept
}

func TestInvalidStartsAreRefused(t *testing.T) {
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
	kill := func(k AttemptKey, grace float64) protocol.Command {
		return protocol.Command{Kind: protocol.CommandStop, Task: k.Task, Attempt: k.Attempt, GraceS: grace}
	}
	ks := []AttemptKey{{"job-1/0", 1}, {"job-1/1", 1}, {"job-1/2", 1}, {"job-1/3", 1}}
	for _, k := range ks {
		h.respond(5, startCommand(k.Task, k.Attempt))
		h.describe(k, saves)
	}
	h.respond(5, kill(ks[0], 3), kill(ks[1], 3), kill(ks[2], 3), kill(ks[3], 1))
	if !h.terminated[ks[0]] || h.killed[ks[0]] || h.terminated[ks[3]] || !h.killed[ks[3]] {
		t.Fatalf("asked to save %v, killed %v", h.terminated, h.killed)
	}
	h.wantState(ks[0], "saving  false")
	h.handle(AttemptExited{AttemptKey: ks[0], ExitCode: 75})
	h.wantState(ks[0], "ended halted true")
	h.respond(5, kill(ks[1], 0)) // a second order with no time ends it
	if !h.killed[ks[1]] {
		t.Fatal("the second order is not obeyed")
	}
	h.handle(AttemptExited{AttemptKey: ks[1], ExitCode: -1})
	h.wantState(ks[1], "ended halted false")
	h.respond(5)
	h.advance(time.Second)
	h.respond(5)
	h.advance(2 * time.Second)
	if !h.killed[ks[2]] {
		t.Fatal("it saves for longer than it was given")
	}
	h.handle(AttemptExited{AttemptKey: ks[2], ExitCode: -1})
	h.wantState(ks[2], "ended halted false")
}

func TestStaleTokensAndLateResponsesAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.respond(9)
	lease := h.leaseUntil
	h.respond(8, startCommand("job-1/0", 1)) // a lower token
	h.wantState(AttemptKey{"job-1/0", 1}, "none")
	h.respond(0, startCommand("job-1/0", 1)) // none at all
	h.wantState(AttemptKey{"job-1/0", 1}, "none")
	h.awaitHeartbeat()
	h.advance(4100 * time.Millisecond)
	h.respond(9, startCommand("job-1/0", 1)) // after 4 s
	h.wantState(AttemptKey{"job-1/0", 1}, "none")
	if h.leaseUntil != lease {
		t.Fatal("the lease was renewed by what does not count")
	}
	h.handle(CommandsReceived{ID: 1, Request: protocol.DirectCommands{Token: 8, Session: 1, Commands: []protocol.Command{startCommand("job-1/0", 1)}}})
	h.handle(CommandsReceived{ID: 2, Request: protocol.DirectCommands{Token: 11, Session: 2, Commands: []protocol.Command{startCommand("job-1/0", 1)}}})
	if n := len(h.replies); h.replies[n-1].Status != 409 || h.replies[n-2].Status != 409 || h.replies[n-1].Heartbeat.Token != 11 {
		t.Fatalf("%+v", h.replies[n-2:])
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
		h.handle(HeartbeatCompleted{}) // no answers any more
		h.advance(100 * time.Millisecond)
	}
	h.advance(h.leaseUntil + 10*time.Millisecond - h.now)
	if !h.killed[k] {
		t.Fatal("the lease is over and the task is not killed")
	}
	// Until it is dead the agent neither reports nor obeys.
	if h.inFlight != nil {
		h.inFlight = nil
		h.handle(HeartbeatCompleted{})
	}
	n := len(h.sentAt)
	h.advance(3 * time.Second)
	h.handle(CommandsReceived{ID: 9, Request: protocol.DirectCommands{Token: 5, Session: 1, Commands: []protocol.Command{startCommand("job-1/9", 1)}}})
	if len(h.sentAt) > n || h.replies[len(h.replies)-1].Status != 409 {
		t.Fatal("it goes on although its last session is not over")
	}
	h.handle(AttemptExited{AttemptKey: k, ExitCode: -1})
	if r := h.awaitHeartbeat(); r.Session != 2 || len(r.Tasks) != 0 {
		t.Fatalf("%+v", r)
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
		t.Fatalf("it went to %d after %v", h.inFlight.Controller, h.now-at)
	}
	h.inFlight = nil
	at = h.now
	h.handle(HeartbeatCompleted{Status: 421, Redirect: protocol.Redirect{ReportTo: other}}) // its own name
	h.awaitHeartbeat()
	if h.inFlight.Controller != first || h.now-at < failoverDelay {
		t.Fatalf("it went to %d after %v", h.inFlight.Controller, h.now-at)
	}
}

// Whatever comes in whatever order, the invariants that the harness checks hold.
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
	switch rapid.IntRange(0, 5).Draw(t, "what") {
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
			Kind:    rapid.SampledFrom(kinds).Draw(t, "op"),
			Task:    rapid.SampledFrom(tasks).Draw(t, "task"),
			Attempt: rapid.Uint64Range(1, 3).Draw(t, "attempt"),
			GraceS:  rapid.Float64Range(0, 5).Draw(t, "grace"),
		})
	}
	return commands
}

// randomExit ends one attempt, always one that was killed.
func (h *harness) randomExit(t *rapid.T) {
	for _, k := range []AttemptKey{{"job-1/0", 1}, {"job-1/0", 2}, {"job-1/1", 1}, {"job-1/1", 3}, {"job-1/2", 2}} {
		if h.running[k] && (h.killed[k] || rapid.Bool().Draw(t, "ends")) {
			h.handle(AttemptExited{AttemptKey: k, ExitCode: rapid.SampledFrom([]int{0, 1, 75, -1}).Draw(t, "code")})
			delete(h.killed, k)
			return
		}
	}
}
