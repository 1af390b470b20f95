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
	running          map[AttemptKey]bool // launched, its end not told yet
	killed           map[AttemptKey]bool
	terminated       map[AttemptKey]bool
	describeRequests []AttemptKey
	redirected       bool // the last answer sent it on to another controller, at once
	seq              uint64
	session          uint64
	leaseUntil       time.Duration
}

func newHarness(t interface {
	Fatalf(string, ...any)
	Helper()
}) *harness {
	b := &harness{t: t, running: map[AttemptKey]bool{}, killed: map[AttemptKey]bool{}, terminated: map[AttemptKey]bool{}}
	b.agent = New(Settings{Machine: "n-1", Addr: "x", Type: "small", Zone: "a", CPUs: 4, MemoryGB: 8,
		Controllers: []protocol.Redirect{{ReportTo: "ctl-0"}, {ReportTo: "ctl-1"}}, Workers: config.Workers{ReportS: 1, LeaseS: 12, CancelS: 20}}, 1, 0, DurableState{})
	b.apply(b.agent.Tick(0))
	return b
}

// apply notes effects and holds them against what must always be so.
func (b *harness) apply(effects []any) {
	b.t.Helper()
	heard := func(r *protocol.Heartbeat) {
		if r.Session < b.session || r.Seq <= b.seq {
			b.t.Fatalf("report %d.%d after %d.%d", r.Session, r.Seq, b.session, b.seq)
		}
		b.session, b.seq = r.Session, r.Seq
		on := map[AttemptKey]bool{}
		for _, t := range r.Tasks {
			if t.State != protocol.TaskExited {
				on[AttemptKey{t.Task, t.Attempt}] = true
			}
		}
		for k := range b.running {
			if !on[k] {
				b.t.Fatalf("%v is on the machine and not in the report", k)
			}
		}
	}
	for _, e := range effects {
		switch e := e.(type) {
		case SendHeartbeat:
			if b.inFlight != nil {
				b.t.Fatalf("two reports under way")
			}
			if n := len(b.sentAt); n > 0 && b.now-b.sentAt[n-1] < minHeartbeatGap && !b.redirected {
				b.t.Fatalf("reports %v apart", b.now-b.sentAt[n-1])
			}
			b.sentAt = append(b.sentAt, b.now)
			b.inFlight = &e
			heard(&e.Heartbeat)
		case StatusReply:
			b.replies = append(b.replies, e)
			heard(&e.Heartbeat)
		case DescribeJob:
			b.describeRequests = append(b.describeRequests, e.AttemptKey)
		case LaunchAttempt:
			for k := range b.running {
				if k.Task == e.Task {
					b.t.Fatalf("%v starts beside %v", e.AttemptKey, k)
				}
			}
			b.running[e.AttemptKey] = true
		case KillAttempt:
			b.killed[e.AttemptKey] = true
		case TerminateAttempt:
			b.terminated[e.AttemptKey] = true
		case ExtendLease:
			b.leaseUntil = e.Until
		}
	}
}

func (b *harness) handle(e any) {
	b.t.Helper()
	switch e := e.(type) {
	case AttemptExited:
		delete(b.running, e.AttemptKey)
	case HeartbeatAnswered:
		b.redirected = e.Status == 421
	}
	b.apply(b.agent.Handle(b.now, e))
}

// advance lets time pass, a report's answer excepted.
func (b *harness) advance(d time.Duration) {
	b.t.Helper()
	for end := b.now + d; b.now < end; {
		b.now = min(max(b.agent.NextTick(), b.now+time.Millisecond), end)
		b.apply(b.agent.Tick(b.now))
	}
}

// awaitHeartbeat waits for the next report.
func (b *harness) awaitHeartbeat() *protocol.Heartbeat {
	b.t.Helper()
	for end := b.now + 10*time.Second; b.inFlight == nil; {
		if b.now >= end {
			b.t.Fatalf("no report")
		}
		b.advance(10 * time.Millisecond)
	}
	return &b.inFlight.Heartbeat
}

// respond answers the report that is under way.
func (b *harness) respond(token uint64, cmds ...protocol.Command) {
	b.t.Helper()
	b.awaitHeartbeat()
	b.inFlight = nil
	b.handle(HeartbeatAnswered{Status: 200, Response: protocol.HeartbeatResponse{Token: token, Commands: cmds}})
}

func startCommand(task string, try uint64) protocol.Command {
	return protocol.Command{Kind: protocol.CommandStart, Task: task, Attempt: try}
}

func (b *harness) describe(k AttemptKey, change func(*JobDescribed)) {
	b.t.Helper()
	d := JobDescribed{AttemptKey: k, Found: true}
	d.Description.Job = protocol.Job{ID: "job-1", Tasks: 100, CPUs: 1, MemoryGB: 1, Image: "i"}
	d.Description.Command = []string{"true"}
	if change != nil {
		change(&d)
	}
	b.handle(d)
	b.handle(ImageFetched{k})
}

func (b *harness) state(k AttemptKey) string {
	b.t.Helper()
	b.handle(StatusRequested{})
	for _, t := range b.replies[len(b.replies)-1].Heartbeat.Tasks {
		if t.Task == k.Task && t.Attempt == k.Attempt {
			return fmt.Sprintf("%s %s %v", t.State, t.ExitReason, t.Saved)
		}
	}
	return "none"
}

func (b *harness) wantState(k AttemptKey, state string) {
	b.t.Helper()
	if got := b.state(k); got != state {
		b.t.Fatalf("%v is %q, not %q", k, got, state)
	}
}

func TestTaskRunsAndIsForgotten(t *testing.T) {
	b := newHarness(t)
	k := AttemptKey{"job-1/3", 7}
	b.respond(5, startCommand(k.Task, 7))
	b.wantState(k, "fetching  false")
	b.describe(k, nil)
	b.wantState(k, "running  false")
	b.respond(5, startCommand(k.Task, 7)) // repeated: no effect
	b.handle(AttemptExited{AttemptKey: k, ExitCode: 0})
	b.wantState(k, "ended done false")
	b.respond(5, startCommand(k.Task, 7)) // exited included
	b.wantState(k, "ended done false")
	b.respond(5, protocol.Command{Kind: protocol.CommandForget, Task: k.Task, Attempt: 7})
	b.wantState(k, "none")
	b.respond(5, startCommand(k.Task, 7)) // after clear it starts once more
	b.describe(k, func(d *JobDescribed) { d.ResultStored = true })
	b.wantState(k, "ended done false") // its result is kept
}

func TestInvalidStartsAreRefused(t *testing.T) {
	b := newHarness(t)
	b.respond(5, startCommand("job-1/0", 1), startCommand("job-1/0", 2), startCommand("job-1/1", 1), startCommand("job-1/100", 1), startCommand("nonsense", 1), startCommand("job-1/2", 1))
	b.wantState(AttemptKey{"job-1/0", 2}, "ended busy false")
	b.wantState(AttemptKey{"nonsense", 1}, "ended no_such false")
	b.describe(AttemptKey{"job-1/0", 1}, func(d *JobDescribed) { d.Description.Job.CPUs = 3 })
	b.describe(AttemptKey{"job-1/1", 1}, func(d *JobDescribed) { d.Description.Job.CPUs = 1.5 })
	b.wantState(AttemptKey{"job-1/1", 1}, "ended no_room false")
	b.describe(AttemptKey{"job-1/100", 1}, nil)
	b.wantState(AttemptKey{"job-1/100", 1}, "ended no_such false")
	b.describe(AttemptKey{"job-1/2", 1}, func(d *JobDescribed) { d.Found = false })
	b.wantState(AttemptKey{"job-1/2", 1}, "ended no_such false")
}

func TestCheckpointGracePeriod(t *testing.T) {
	b := newHarness(t)
	saves := func(d *JobDescribed) { d.Description.Job.CheckpointS, d.Description.Job.SaveS = 10, 2 }
	kill := func(k AttemptKey, grace float64) protocol.Command {
		return protocol.Command{Kind: protocol.CommandStop, Task: k.Task, Attempt: k.Attempt, GraceS: grace}
	}
	ks := []AttemptKey{{"job-1/0", 1}, {"job-1/1", 1}, {"job-1/2", 1}, {"job-1/3", 1}}
	for _, k := range ks {
		b.respond(5, startCommand(k.Task, k.Attempt))
		b.describe(k, saves)
	}
	b.respond(5, kill(ks[0], 3), kill(ks[1], 3), kill(ks[2], 3), kill(ks[3], 1))
	if !b.terminated[ks[0]] || b.killed[ks[0]] || b.terminated[ks[3]] || !b.killed[ks[3]] {
		t.Fatalf("asked to save %v, killed %v", b.terminated, b.killed)
	}
	b.wantState(ks[0], "saving  false")
	b.handle(AttemptExited{AttemptKey: ks[0], ExitCode: 75})
	b.wantState(ks[0], "ended halted true")
	b.respond(5, kill(ks[1], 0)) // a second order with no time ends it
	if !b.killed[ks[1]] {
		t.Fatal("the second order is not obeyed")
	}
	b.handle(AttemptExited{AttemptKey: ks[1], ExitCode: -1})
	b.wantState(ks[1], "ended halted false")
	b.respond(5)
	b.advance(time.Second)
	b.respond(5)
	b.advance(2 * time.Second)
	if !b.killed[ks[2]] {
		t.Fatal("it saves for longer than it was given")
	}
	b.handle(AttemptExited{AttemptKey: ks[2], ExitCode: -1})
	b.wantState(ks[2], "ended halted false")
}

func TestStaleTokensAndLateResponsesAreIgnored(t *testing.T) {
	b := newHarness(t)
	b.respond(9)
	lease := b.leaseUntil
	b.respond(8, startCommand("job-1/0", 1)) // a lower token
	b.wantState(AttemptKey{"job-1/0", 1}, "none")
	b.respond(0, startCommand("job-1/0", 1)) // none at all
	b.wantState(AttemptKey{"job-1/0", 1}, "none")
	b.awaitHeartbeat()
	b.advance(4100 * time.Millisecond)
	b.respond(9, startCommand("job-1/0", 1)) // after 4 s
	b.wantState(AttemptKey{"job-1/0", 1}, "none")
	if b.leaseUntil != lease {
		t.Fatal("the lease was renewed by what does not count")
	}
	b.handle(CommandsReceived{ID: 1, Request: protocol.DirectCommands{Token: 8, Session: 1, Commands: []protocol.Command{startCommand("job-1/0", 1)}}})
	b.handle(CommandsReceived{ID: 2, Request: protocol.DirectCommands{Token: 11, Session: 2, Commands: []protocol.Command{startCommand("job-1/0", 1)}}})
	if n := len(b.replies); b.replies[n-1].Status != 409 || b.replies[n-2].Status != 409 || b.replies[n-1].Heartbeat.Token != 11 {
		t.Fatalf("%+v", b.replies[n-2:])
	}
	b.wantState(AttemptKey{"job-1/0", 1}, "none")
}

func TestLeaseExpiryEndsSession(t *testing.T) {
	b := newHarness(t)
	k := AttemptKey{"job-1/0", 1}
	b.respond(5, startCommand(k.Task, 1))
	b.describe(k, nil)
	for b.now < b.leaseUntil-2*time.Second {
		b.awaitHeartbeat()
		b.inFlight = nil
		b.handle(HeartbeatAnswered{}) // no answers any more
		b.advance(100 * time.Millisecond)
	}
	b.advance(b.leaseUntil + 10*time.Millisecond - b.now)
	if !b.killed[k] {
		t.Fatal("the lease is over and the task is not killed")
	}
	// Until it is dead the agent neither reports nor obeys.
	if b.inFlight != nil {
		b.inFlight = nil
		b.handle(HeartbeatAnswered{})
	}
	n := len(b.sentAt)
	b.advance(3 * time.Second)
	b.handle(CommandsReceived{ID: 9, Request: protocol.DirectCommands{Token: 5, Session: 1, Commands: []protocol.Command{startCommand("job-1/9", 1)}}})
	if len(b.sentAt) > n || b.replies[len(b.replies)-1].Status != 409 {
		t.Fatal("it goes on although its last session is not over")
	}
	b.handle(AttemptExited{AttemptKey: k, ExitCode: -1})
	if r := b.awaitHeartbeat(); r.Session != 2 || len(r.Tasks) != 0 {
		t.Fatalf("%+v", r)
	}
}

func TestHeartbeatRedirects(t *testing.T) {
	b := newHarness(t)
	b.awaitHeartbeat()
	first := b.inFlight.Controller
	other := b.agent.settings.Controllers[1-first].ReportTo
	b.inFlight = nil
	at := b.now
	b.handle(HeartbeatAnswered{Status: 421, Redirect: protocol.Redirect{ReportTo: other}})
	b.awaitHeartbeat()
	if b.inFlight.Controller == first || b.now-at > minHeartbeatGap+20*time.Millisecond {
		t.Fatalf("it went to %d after %v", b.inFlight.Controller, b.now-at)
	}
	b.inFlight = nil
	at = b.now
	b.handle(HeartbeatAnswered{Status: 421, Redirect: protocol.Redirect{ReportTo: other}}) // its own name
	b.awaitHeartbeat()
	if b.inFlight.Controller != first || b.now-at < failoverDelay {
		t.Fatalf("it went to %d after %v", b.inFlight.Controller, b.now-at)
	}
}

// Whatever comes in whatever order: no task runs twice at once, no report leaves out
// what runs, a new session begins with nothing, and reports keep their distance.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newHarness(t)
		tasks := []string{"job-1/0", "job-1/1", "job-1/2"}
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			b.advance(time.Duration(rapid.SampledFrom([]int{1, 30, 400, 2500, 9000}).Draw(t, "ms")) * time.Millisecond)
			var cmds []protocol.Command
			for range rapid.IntRange(0, 3).Draw(t, "commands") {
				cmds = append(cmds, protocol.Command{Kind: rapid.SampledFrom([]string{protocol.CommandStart, protocol.CommandStart, protocol.CommandStop, protocol.CommandForget}).Draw(t, "op"),
					Task: rapid.SampledFrom(tasks).Draw(t, "task"), Attempt: rapid.Uint64Range(1, 3).Draw(t, "attempt"), GraceS: rapid.Float64Range(0, 5).Draw(t, "grace")})
			}
			token := rapid.Uint64Range(1, 4).Draw(t, "token")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				if b.inFlight != nil {
					b.inFlight = nil
					status := rapid.SampledFrom([]int{200, 200, 200, 421, 503, 0}).Draw(t, "status")
					b.handle(HeartbeatAnswered{Status: status, Response: protocol.HeartbeatResponse{Token: token, Commands: cmds}})
				}
			case 2:
				b.handle(CommandsReceived{ID: 1, Request: protocol.DirectCommands{Token: token, Session: rapid.Uint64Range(1, 3).Draw(t, "session"), Commands: cmds}})
			case 3:
				if len(b.describeRequests) > 0 {
					k := b.describeRequests[0]
					b.describeRequests = b.describeRequests[1:]
					b.describe(k, func(d *JobDescribed) {
						d.Description.Job.CheckpointS, d.Description.Job.SaveS = float64(rapid.IntRange(0, 1).Draw(t, "saves")), 1
					})
				}
			default:
				for _, k := range []AttemptKey{{"job-1/0", 1}, {"job-1/0", 2}, {"job-1/1", 1}, {"job-1/1", 3}, {"job-1/2", 2}} {
					if b.running[k] && (b.killed[k] || rapid.Bool().Draw(t, "ends")) {
						b.handle(AttemptExited{AttemptKey: k, ExitCode: rapid.SampledFrom([]int{0, 1, 75, -1}).Draw(t, "code")})
						delete(b.killed, k)
						break
					}
				}
			}
		}
	})
}
