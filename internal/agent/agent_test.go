package agent

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// bench is an agent with a clock and a record of what runs.
type bench struct {
	t interface {
		Fatalf(string, ...any)
		Helper()
	}
	a       *Agent
	now     time.Duration
	sent    *Send
	sentAt  []time.Duration
	replies []Reply
	running map[Key]bool // launched, its end not told yet
	killed  map[Key]bool
	termed  map[Key]bool
	asked   []Key
	sentOn  bool // the last answer sent it on to another controller, at once
	seq     uint64
	session uint64
	lease   time.Duration
}

func newBench(t interface {
	Fatalf(string, ...any)
	Helper()
}) *bench {
	b := &bench{t: t, running: map[Key]bool{}, killed: map[Key]bool{}, termed: map[Key]bool{}}
	b.a = New(Settings{Machine: "n-1", Addr: "x", Type: "small", Zone: "a", CPUs: 4, MemoryGB: 8,
		Controllers: []protocol.Redirect{{ReportTo: "ctl-0"}, {ReportTo: "ctl-1"}}, Workers: config.Workers{ReportS: 1, LeaseS: 12, CancelS: 20}}, 1, 0, Memory{})
	b.run(b.a.Tick(0))
	return b
}

// run notes effects and holds them against what must always be so.
func (b *bench) run(effects []any) {
	b.t.Helper()
	heard := func(r *protocol.Heartbeat) {
		if r.Session < b.session || r.Seq <= b.seq {
			b.t.Fatalf("report %d.%d after %d.%d", r.Session, r.Seq, b.session, b.seq)
		}
		b.session, b.seq = r.Session, r.Seq
		on := map[Key]bool{}
		for _, t := range r.Tasks {
			if t.State != protocol.TaskExited {
				on[Key{t.Task, t.Attempt}] = true
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
		case Send:
			if b.sent != nil {
				b.t.Fatalf("two reports under way")
			}
			if n := len(b.sentAt); n > 0 && b.now-b.sentAt[n-1] < pause && !b.sentOn {
				b.t.Fatalf("reports %v apart", b.now-b.sentAt[n-1])
			}
			b.sentAt = append(b.sentAt, b.now)
			b.sent = &e
			heard(&e.Report)
		case Reply:
			b.replies = append(b.replies, e)
			heard(&e.Report)
		case Describe:
			b.asked = append(b.asked, e.Key)
		case Launch:
			for k := range b.running {
				if k.Task == e.Task {
					b.t.Fatalf("%v starts beside %v", e.Key, k)
				}
			}
			b.running[e.Key] = true
		case Kill:
			b.killed[e.Key] = true
		case Term:
			b.termed[e.Key] = true
		case Lease:
			b.lease = e.Until
		}
	}
}

func (b *bench) tell(e any) {
	b.t.Helper()
	switch e := e.(type) {
	case Exited:
		delete(b.running, e.Key)
	case Answered:
		b.sentOn = e.Status == 421
	}
	b.run(b.a.Handle(b.now, e))
}

// pass lets time pass, a report's answer excepted.
func (b *bench) pass(d time.Duration) {
	b.t.Helper()
	for end := b.now + d; b.now < end; {
		b.now = min(max(b.a.Wake(), b.now+time.Millisecond), end)
		b.run(b.a.Tick(b.now))
	}
}

// report waits for the next report.
func (b *bench) report() *protocol.Heartbeat {
	b.t.Helper()
	for end := b.now + 10*time.Second; b.sent == nil; {
		if b.now >= end {
			b.t.Fatalf("no report")
		}
		b.pass(10 * time.Millisecond)
	}
	return &b.sent.Report
}

// answer answers the report that is under way.
func (b *bench) answer(token uint64, cmds ...protocol.Command) {
	b.t.Helper()
	b.report()
	b.sent = nil
	b.tell(Answered{Status: 200, Answer: protocol.HeartbeatResponse{Token: token, Commands: cmds}})
}

func start(task string, try uint64) protocol.Command {
	return protocol.Command{Kind: protocol.CommandStart, Task: task, Attempt: try}
}

func (b *bench) describe(k Key, change func(*Described)) {
	b.t.Helper()
	d := Described{Key: k, Found: true}
	d.What.Job = protocol.Job{ID: "job-1", Tasks: 100, CPUs: 1, MemoryGB: 1, Image: "i"}
	d.What.Command = []string{"true"}
	if change != nil {
		change(&d)
	}
	b.tell(d)
	b.tell(Fetched{k})
}

func (b *bench) state(k Key) string {
	b.t.Helper()
	b.tell(Inspected{})
	for _, t := range b.replies[len(b.replies)-1].Report.Tasks {
		if t.Task == k.Task && t.Attempt == k.Attempt {
			return fmt.Sprintf("%s %s %v", t.State, t.ExitReason, t.Saved)
		}
	}
	return "none"
}

func (b *bench) want(k Key, state string) {
	b.t.Helper()
	if got := b.state(k); got != state {
		b.t.Fatalf("%v is %q, not %q", k, got, state)
	}
}

func TestTaskRunsAndIsCleared(t *testing.T) {
	b := newBench(t)
	k := Key{"job-1/3", 7}
	b.answer(5, start(k.Task, 7))
	b.want(k, "fetching  false")
	b.describe(k, nil)
	b.want(k, "running  false")
	b.answer(5, start(k.Task, 7)) // repeated: no effect
	b.tell(Exited{Key: k, Code: 0})
	b.want(k, "ended done false")
	b.answer(5, start(k.Task, 7)) // exited included
	b.want(k, "ended done false")
	b.answer(5, protocol.Command{Kind: protocol.CommandForget, Task: k.Task, Attempt: 7})
	b.want(k, "none")
	b.answer(5, start(k.Task, 7)) // after clear it starts once more
	b.describe(k, func(d *Described) { d.Done = true })
	b.want(k, "ended done false") // its result is kept
}

func TestRefusals(t *testing.T) {
	b := newBench(t)
	b.answer(5, start("job-1/0", 1), start("job-1/0", 2), start("job-1/1", 1), start("job-1/100", 1), start("nonsense", 1), start("job-1/2", 1))
	b.want(Key{"job-1/0", 2}, "ended busy false")
	b.want(Key{"nonsense", 1}, "ended no_such false")
	b.describe(Key{"job-1/0", 1}, func(d *Described) { d.What.Job.CPUs = 3 })
	b.describe(Key{"job-1/1", 1}, func(d *Described) { d.What.Job.CPUs = 1.5 })
	b.want(Key{"job-1/1", 1}, "ended no_room false")
	b.describe(Key{"job-1/100", 1}, nil)
	b.want(Key{"job-1/100", 1}, "ended no_such false")
	b.describe(Key{"job-1/2", 1}, func(d *Described) { d.Found = false })
	b.want(Key{"job-1/2", 1}, "ended no_such false")
}

func TestSavingHasItsTime(t *testing.T) {
	b := newBench(t)
	saves := func(d *Described) { d.What.Job.CheckpointS, d.What.Job.SaveS = 10, 2 }
	kill := func(k Key, grace float64) protocol.Command {
		return protocol.Command{Kind: protocol.CommandStop, Task: k.Task, Attempt: k.Attempt, GraceS: grace}
	}
	ks := []Key{{"job-1/0", 1}, {"job-1/1", 1}, {"job-1/2", 1}, {"job-1/3", 1}}
	for _, k := range ks {
		b.answer(5, start(k.Task, k.Attempt))
		b.describe(k, saves)
	}
	b.answer(5, kill(ks[0], 3), kill(ks[1], 3), kill(ks[2], 3), kill(ks[3], 1))
	if !b.termed[ks[0]] || b.killed[ks[0]] || b.termed[ks[3]] || !b.killed[ks[3]] {
		t.Fatalf("asked to save %v, killed %v", b.termed, b.killed)
	}
	b.want(ks[0], "saving  false")
	b.tell(Exited{Key: ks[0], Code: 75})
	b.want(ks[0], "ended halted true")
	b.answer(5, kill(ks[1], 0)) // a second order with no time ends it
	if !b.killed[ks[1]] {
		t.Fatal("the second order is not obeyed")
	}
	b.tell(Exited{Key: ks[1], Code: -1})
	b.want(ks[1], "ended halted false")
	b.answer(5)
	b.pass(time.Second)
	b.answer(5)
	b.pass(2 * time.Second)
	if !b.killed[ks[2]] {
		t.Fatal("it saves for longer than it was given")
	}
	b.tell(Exited{Key: ks[2], Code: -1})
	b.want(ks[2], "ended halted false")
}

func TestLowTokensAndLateAnswersDoNotCount(t *testing.T) {
	b := newBench(t)
	b.answer(9)
	lease := b.lease
	b.answer(8, start("job-1/0", 1)) // a lower token
	b.want(Key{"job-1/0", 1}, "none")
	b.answer(0, start("job-1/0", 1)) // none at all
	b.want(Key{"job-1/0", 1}, "none")
	b.report()
	b.pass(4100 * time.Millisecond)
	b.answer(9, start("job-1/0", 1)) // after 4 s
	b.want(Key{"job-1/0", 1}, "none")
	if b.lease != lease {
		t.Fatal("the lease was renewed by what does not count")
	}
	b.tell(Asked{ID: 1, Do: protocol.DirectCommands{Token: 8, Session: 1, Commands: []protocol.Command{start("job-1/0", 1)}}})
	b.tell(Asked{ID: 2, Do: protocol.DirectCommands{Token: 11, Session: 2, Commands: []protocol.Command{start("job-1/0", 1)}}})
	if n := len(b.replies); b.replies[n-1].Status != 409 || b.replies[n-2].Status != 409 || b.replies[n-1].Report.Token != 11 {
		t.Fatalf("%+v", b.replies[n-2:])
	}
	b.want(Key{"job-1/0", 1}, "none")
}

func TestLeaseEndsTheSession(t *testing.T) {
	b := newBench(t)
	k := Key{"job-1/0", 1}
	b.answer(5, start(k.Task, 1))
	b.describe(k, nil)
	for b.now < b.lease-2*time.Second {
		b.report()
		b.sent = nil
		b.tell(Answered{}) // no answers any more
		b.pass(100 * time.Millisecond)
	}
	b.pass(b.lease + 10*time.Millisecond - b.now)
	if !b.killed[k] {
		t.Fatal("the lease is over and the task is not killed")
	}
	// Until it is dead the agent neither reports nor obeys.
	if b.sent != nil {
		b.sent = nil
		b.tell(Answered{})
	}
	n := len(b.sentAt)
	b.pass(3 * time.Second)
	b.tell(Asked{ID: 9, Do: protocol.DirectCommands{Token: 5, Session: 1, Commands: []protocol.Command{start("job-1/9", 1)}}})
	if len(b.sentAt) > n || b.replies[len(b.replies)-1].Status != 409 {
		t.Fatal("it goes on although its last session is not over")
	}
	b.tell(Exited{Key: k, Code: -1})
	if r := b.report(); r.Session != 2 || len(r.Tasks) != 0 {
		t.Fatalf("%+v", r)
	}
}

func TestRedirects(t *testing.T) {
	b := newBench(t)
	b.report()
	first := b.sent.Controller
	other := b.a.set.Controllers[1-first].ReportTo
	b.sent = nil
	at := b.now
	b.tell(Answered{Status: 421, Redirect: protocol.Redirect{ReportTo: other}})
	b.report()
	if b.sent.Controller == first || b.now-at > pause+20*time.Millisecond {
		t.Fatalf("it went to %d after %v", b.sent.Controller, b.now-at)
	}
	b.sent = nil
	at = b.now
	b.tell(Answered{Status: 421, Redirect: protocol.Redirect{ReportTo: other}}) // its own name
	b.report()
	if b.sent.Controller != first || b.now-at < nextAfter {
		t.Fatalf("it went to %d after %v", b.sent.Controller, b.now-at)
	}
}

// Whatever comes in whatever order: no task runs twice at once, no report leaves out
// what runs, a new session begins with nothing, and reports keep their distance.
func TestAnythingGoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t)
		tasks := []string{"job-1/0", "job-1/1", "job-1/2"}
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			b.pass(time.Duration(rapid.SampledFrom([]int{1, 30, 400, 2500, 9000}).Draw(t, "ms")) * time.Millisecond)
			var cmds []protocol.Command
			for range rapid.IntRange(0, 3).Draw(t, "commands") {
				cmds = append(cmds, protocol.Command{Kind: rapid.SampledFrom([]string{protocol.CommandStart, protocol.CommandStart, protocol.CommandStop, protocol.CommandForget}).Draw(t, "op"),
					Task: rapid.SampledFrom(tasks).Draw(t, "task"), Attempt: rapid.Uint64Range(1, 3).Draw(t, "attempt"), GraceS: rapid.Float64Range(0, 5).Draw(t, "grace")})
			}
			token := rapid.Uint64Range(1, 4).Draw(t, "token")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				if b.sent != nil {
					b.sent = nil
					status := rapid.SampledFrom([]int{200, 200, 200, 421, 503, 0}).Draw(t, "status")
					b.tell(Answered{Status: status, Answer: protocol.HeartbeatResponse{Token: token, Commands: cmds}})
				}
			case 2:
				b.tell(Asked{ID: 1, Do: protocol.DirectCommands{Token: token, Session: rapid.Uint64Range(1, 3).Draw(t, "session"), Commands: cmds}})
			case 3:
				if len(b.asked) > 0 {
					k := b.asked[0]
					b.asked = b.asked[1:]
					b.describe(k, func(d *Described) {
						d.What.Job.CheckpointS, d.What.Job.SaveS = float64(rapid.IntRange(0, 1).Draw(t, "saves")), 1
					})
				}
			default:
				for _, k := range []Key{{"job-1/0", 1}, {"job-1/0", 2}, {"job-1/1", 1}, {"job-1/1", 3}, {"job-1/2", 2}} {
					if b.running[k] && (b.killed[k] || rapid.Bool().Draw(t, "ends")) {
						b.tell(Exited{Key: k, Code: rapid.SampledFrom([]int{0, 1, 75, -1}).Draw(t, "code")})
						delete(b.killed, k)
						break
					}
				}
			}
		}
	})
}
