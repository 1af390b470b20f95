// Package agent is the worker's side of the PROTOCOL ("Workers -> controller nodes" and
// "Controller nodes -> workers"), without input, output or clock: sessions, tokens,
// leases and the machine's tasks. Package agentd runs it with real processes.
package agent

import (
	"math/rand/v2"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Spans that the PROTOCOL gives as they are.
const (
	answerWithin = 4 * time.Second        // a later answer to a report is dropped
	pause        = 500 * time.Millisecond // between two reports, at least
	nextAfter    = time.Second            // before another controller is tried
)

// Settings of a machine's agent. CPUs, GPUs and MemoryGB are what tasks may take.
type Settings struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	CPUs, GPUs, MemoryGB      float64
	CacheGB, FetchGBps        float64 // images; no rate: they are there at once
	Controllers               []protocol.Redirect
	Workers                   config.Workers
}

// Key names an attempt.
type Key struct {
	Task    string
	Attempt uint64
}

// Events: what happens to an agent.
type (
	// Asked is a direct command.
	Asked struct {
		ID int
		Do protocol.DirectCommands
	}
	// Inspected asks for the report.
	Inspected struct{ ID int }
	// Answered is how a report ended; status 0: no answer came.
	Answered struct {
		Status   int
		Answer   protocol.HeartbeatResponse
		Redirect protocol.Redirect
	}
	// Described is a job's description. Nobody uploaded it: Found is false. A depot
	// that does not answer is asked again by whoever runs the agent.
	Described struct {
		Key
		Found bool
		What  protocol.JobDescription
		Done  bool // the task's result is kept already
	}
	// Fetched says that an attempt's image is there.
	Fetched struct{ Key }
	// Exited says that nothing of an attempt is left on the machine. Code 0 is only
	// said once the task's result is kept.
	Exited struct {
		Key
		Code  int
		Error string
	}
	// Notice is the cloud's word that it takes the machine back.
	Notice struct{ Left time.Duration }
)

// Effects: what an agent wants done.
type (
	// Reply answers a direct command.
	Reply struct {
		ID     int
		Status int
		Report protocol.Heartbeat
	}
	// Send sends a report to a controller, by its number in the settings.
	Send struct {
		Controller int
		Report     protocol.Heartbeat
	}
	// Describe asks the depot for a job and the task's result.
	Describe struct{ Key }
	// Fetch gets an image.
	Fetch struct {
		Key
		Image string
		Span  time.Duration
	}
	// Launch starts an attempt's command.
	Launch struct {
		Key
		What protocol.JobDescription
	}
	// Term asks an attempt to save and end.
	Term struct{ Key }
	// Kill ends an attempt at once; Exited follows.
	Kill struct{ Key }
	// Lease tells when the worker's lease ends unless a report is answered.
	Lease struct{ Until time.Duration }
)

type task struct {
	Key
	state    string
	why      string
	saved    bool
	what     *protocol.JobDescription // nil: not described yet
	launched bool                     // a process may exist
	killAt   time.Duration            // when saving has had its time, 0: never
	told     bool                     // it was told to stop
	ending   bool                     // Kill was sent
}

// Agent is one machine's agent. Handle and Tick are called by one goroutine.
type Agent struct {
	set     Settings
	rand    *rand.Rand
	effects []any

	session uint64
	seq     uint64
	token   uint64
	tasks   []*task
	images  []image // the least recently used first
	notice  time.Duration
	noticed bool

	lastOK  time.Duration // sending time of the last answered report, or the session's begin
	ended   bool          // the lease is over, tasks are still being killed
	node    int
	flying  bool // a report is under way
	sentAt  time.Duration
	sentIn  uint64 // the session of that report
	again   bool   // something changed while it was
	next    time.Duration
	toldTok time.Duration // when a higher token was last counted as a change
}

type image struct {
	name string
	gb   float64
}

// Memory is what an agent must know again after it was started anew: its machine keeps
// its name, so a session must not come twice and a token must not be forgotten.
type Memory struct {
	Session uint64 `json:"session"`
	Token   uint64 `json:"token"`
}

// New makes an agent that begins the session after the remembered one at the time now.
func New(set Settings, seed uint64, now time.Duration, last Memory) *Agent {
	a := &Agent{set: set, rand: rand.New(rand.NewPCG(seed, 1)), session: last.Session + 1, token: last.Token, lastOK: now, next: now, sentAt: now - time.Hour, toldTok: now - time.Hour}
	a.node = a.rand.IntN(max(len(set.Controllers), 1))
	return a
}

func (a *Agent) emit(e any) { a.effects = append(a.effects, e) }

func (a *Agent) take() []any {
	e := a.effects
	a.effects = nil
	return e
}

func (a *Agent) lease() time.Duration  { return config.Seconds(a.set.Workers.LeaseS) }
func (a *Agent) period() time.Duration { return config.Seconds(a.set.Workers.ReportS) }

// Memory is what must be durable before the agent's effects are carried out.
func (a *Agent) Memory() Memory { return Memory{a.session, a.token} }

// Wake is when Tick is to be called next.
func (a *Agent) Wake() time.Duration {
	at := a.lastOK + a.lease() + time.Millisecond
	if !a.flying && !a.ended {
		at = min(at, a.next)
	}
	for _, t := range a.tasks {
		if t.killAt > 0 {
			at = min(at, t.killAt)
		}
	}
	return at
}

// Tick does what is due.
func (a *Agent) Tick(now time.Duration) []any {
	a.due(now)
	return a.take()
}

func (a *Agent) due(now time.Duration) {
	if !a.ended && now-a.lastOK > a.lease() {
		// The shims do the same by their own clocks; what they have ended is reported
		// as exited, and forgotten here.
		a.ended = true
		for _, t := range a.tasks {
			a.kill(t)
		}
	}
	if a.ended {
		a.begin(now)
		if a.ended {
			return
		}
	}
	for _, t := range a.tasks {
		if t.killAt > 0 && now >= t.killAt {
			t.killAt = 0
			a.kill(t)
		}
	}
	if !a.flying && now >= a.next {
		a.report(now)
	}
}

// begin begins the next session once nothing is left of the last one. Until then the
// agent says nothing: a report without tasks would be a lie.
func (a *Agent) begin(now time.Duration) {
	for _, t := range a.tasks {
		if t.launched && t.state != protocol.TaskExited {
			return
		}
	}
	a.tasks = nil
	a.ended = false
	a.session++
	a.lastOK = now
	a.emit(Lease{Until: now + a.lease()})
	a.changed(now)
}

func (a *Agent) kill(t *task) {
	if t.state == protocol.TaskExited || t.ending {
		return
	}
	t.ending = true
	if t.launched {
		a.emit(Kill{t.Key})
		return
	}
	t.state, t.why = protocol.TaskExited, protocol.ExitStopped
}

func (a *Agent) message(now time.Duration) protocol.Heartbeat {
	a.seq++
	r := protocol.Heartbeat{
		Machine: a.set.Machine, Addr: a.set.Addr, Type: a.set.Type, Zone: a.set.Zone, Spot: a.set.Spot,
		Session: a.session, Seq: a.seq, Token: a.token, Tasks: []protocol.TaskStatus{},
	}
	if a.noticed {
		left := max(a.notice-now, 0).Seconds()
		r.NoticeS = &left
	}
	for _, t := range a.tasks {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: t.Task, Attempt: t.Attempt, State: t.state, ExitReason: t.why, Saved: t.saved})
	}
	return r
}

func (a *Agent) changed(now time.Duration) {
	a.again = true
	a.next = min(a.next, max(a.sentAt+pause, now))
}

func (a *Agent) report(now time.Duration) {
	if len(a.set.Controllers) == 0 {
		a.next = now + a.period()
		return
	}
	a.flying, a.again = true, false
	a.sentAt, a.sentIn = now, a.session
	a.next = now + a.period()
	a.emit(Send{Controller: a.node, Report: a.message(now)})
}

// Handle takes an event.
func (a *Agent) Handle(now time.Duration, event any) []any {
	switch e := event.(type) {
	case Answered:
		a.answered(now, e)
	case Asked:
		a.asked(now, e)
	case Inspected:
		a.emit(Reply{ID: e.ID, Status: 200, Report: a.message(now)})
	case Described:
		a.described(now, e)
	case Fetched:
		a.fetched(now, e)
	case Exited:
		a.exited(now, e)
	case Notice:
		a.notice, a.noticed = now+e.Left, true
		a.changed(now)
	}
	a.due(now)
	return a.take()
}

func (a *Agent) answered(now time.Duration, e Answered) {
	if !a.flying {
		return
	}
	a.flying = false
	wait := func(d time.Duration) {
		a.next = now + d
		if a.again {
			a.next = min(a.next, max(a.sentAt+pause, now))
		}
	}
	elsewhere := func() {
		a.node = (a.node + 1) % len(a.set.Controllers)
		a.next = now + nextAfter
	}
	switch e.Status {
	case 200:
		// Dropped: from an earlier session, too late, or with a token that is too low.
		// Then nothing is executed and the lease is not renewed.
		if a.sentIn == a.session && !a.ended && now-a.sentAt <= answerWithin && e.Answer.Token >= a.token && e.Answer.Token > 0 &&
			now-a.lastOK <= a.lease() {
			a.raise(now, e.Answer.Token)
			a.lastOK = max(a.lastOK, a.sentAt)
			a.emit(Lease{Until: a.lastOK + a.lease()})
			a.execute(now, e.Answer.Commands)
		}
		wait(time.Duration(float64(a.period()) * (0.75 + a.rand.Float64()/2)))
	case 421:
		for i, n := range a.set.Controllers {
			if n.ReportTo == e.Redirect.ReportTo && e.Redirect.ReportTo != "" && i != a.node {
				a.node = i
				wait(time.Duration(a.rand.Int64N(int64(pause))))
				return
			}
		}
		elsewhere()
	default:
		elsewhere()
	}
}

// raise notes a higher token. It counts as a change at most once in half a lease.
func (a *Agent) raise(now time.Duration, token uint64) {
	if token <= a.token {
		return
	}
	a.token = token
	if now-a.toldTok >= a.lease()/2 {
		a.toldTok = now
		a.changed(now)
	}
}

func (a *Agent) asked(now time.Duration, e Asked) {
	// A command may come after our lease has ended and before we noticed.
	a.due(now)
	if a.ended || e.Do.Token < a.token || e.Do.Session != a.session {
		a.raise(now, e.Do.Token)
		a.emit(Reply{ID: e.ID, Status: 409, Report: a.message(now)})
		return
	}
	a.raise(now, e.Do.Token)
	a.execute(now, e.Do.Commands)
	a.emit(Reply{ID: e.ID, Status: 200, Report: a.message(now)})
}

func (a *Agent) execute(now time.Duration, cmds []protocol.Command) {
	for _, c := range cmds {
		switch c.Kind {
		case protocol.CommandStart:
			a.start(now, c)
		case protocol.CommandStop:
			if t := a.find(Key{c.Task, c.Attempt}); t != nil && t.state != protocol.TaskExited {
				a.stop(now, t, c.GraceS)
				a.changed(now)
			}
		case protocol.CommandForget:
			for i, t := range a.tasks {
				if t.Task == c.Task && t.Attempt == c.Attempt && t.state == protocol.TaskExited {
					a.tasks = append(a.tasks[:i], a.tasks[i+1:]...)
					a.changed(now)
					break
				}
			}
		}
	}
}

func (a *Agent) find(k Key) *task {
	for _, t := range a.tasks {
		if t.Key == k {
			return t
		}
	}
	return nil
}

func (a *Agent) start(now time.Duration, c protocol.Command) {
	k := Key{c.Task, c.Attempt}
	if a.find(k) != nil {
		return
	}
	t := &task{Key: k, state: protocol.TaskFetching}
	refuse := func(why string) { t.state, t.why = protocol.TaskExited, why }
	if _, _, err := protocol.ParseTaskName(c.Task); err != nil || c.Attempt == 0 {
		refuse(protocol.ExitUnknownTask)
	}
	for _, x := range a.tasks {
		if x.Task == c.Task && x.state != protocol.TaskExited {
			refuse(protocol.ExitDuplicate)
		}
	}
	a.tasks = append(a.tasks, t)
	a.changed(now)
	if t.state == protocol.TaskFetching {
		a.emit(Describe{k})
	}
}

// stop is the command "kill".
func (a *Agent) stop(now time.Duration, t *task, graceS float64) {
	if t.state == protocol.TaskRunning && !t.told && t.what.Job.CheckpointS > 0 && graceS >= t.what.Job.SaveS {
		t.told = true
		t.state = protocol.TaskSaving
		t.killAt = now + max(config.Seconds(graceS), time.Millisecond)
		a.emit(Term{t.Key})
		return
	}
	// A repeated order to save, with time left to do it, is the same order.
	if t.state == protocol.TaskSaving && graceS > 0 {
		return
	}
	t.told, t.killAt = true, 0
	a.kill(t)
}

func (a *Agent) described(now time.Duration, e Described) {
	t := a.find(e.Key)
	if t == nil || t.state != protocol.TaskFetching || t.what != nil {
		return
	}
	a.changed(now)
	_, i, _ := protocol.ParseTaskName(t.Task) // parsed at its start
	j := &e.What.Job
	if !e.Found || i >= j.Tasks || j.Kind == protocol.KindGang {
		t.state, t.why = protocol.TaskExited, protocol.ExitUnknownTask
		return
	}
	if !a.fits(j) {
		t.state, t.why = protocol.TaskExited, protocol.ExitNoCapacity
		return
	}
	t.what = &e.What
	if e.Done {
		t.what.Command, t.what.SimulatedS = nil, 0 // its result is kept: it exits as soon as it has its image
	}
	span := time.Duration(0)
	if !a.cached(j.Image) && a.set.FetchGBps > 0 {
		span = config.Seconds(j.ImageGB / a.set.FetchGBps)
	}
	a.emit(Fetch{Key: t.Key, Image: j.Image, Span: span})
}

// fits reports whether a job's task has room beside what is here. Tasks that are being
// killed still take theirs.
func (a *Agent) fits(j *protocol.Job) bool {
	cpus, gpus, mem := a.set.CPUs, a.set.GPUs, a.set.MemoryGB
	for _, t := range a.tasks {
		if t.what != nil && t.state != protocol.TaskExited {
			cpus -= t.what.Job.CPUs
			gpus -= t.what.Job.GPUs
			mem -= t.what.Job.MemoryGB
		}
	}
	const slack = 1e-9 // sums of decimal numbers
	return cpus >= j.CPUs-slack && gpus >= j.GPUs-slack && mem >= j.MemoryGB-slack
}

func (a *Agent) cached(name string) bool {
	for i, m := range a.images {
		if m.name == name {
			a.images = append(append(a.images[:i:i], a.images[i+1:]...), m)
			return true
		}
	}
	return false
}

func (a *Agent) fetched(now time.Duration, e Fetched) {
	t := a.find(e.Key)
	if t == nil || t.state != protocol.TaskFetching || t.what == nil || t.ending {
		return
	}
	if !a.cached(t.what.Job.Image) {
		a.images = append(a.images, image{t.what.Job.Image, t.what.Job.ImageGB})
		size := 0.0
		for _, m := range a.images {
			size += m.gb
		}
		for size > a.set.CacheGB && len(a.images) > 1 && a.set.CacheGB > 0 {
			size -= a.images[0].gb
			a.images = a.images[1:]
		}
	}
	a.changed(now)
	if len(t.what.Command) == 0 && t.what.SimulatedS == 0 {
		t.state, t.why = protocol.TaskExited, protocol.ExitDone
		return
	}
	t.state, t.launched = protocol.TaskRunning, true
	a.emit(Launch{Key: t.Key, What: *t.what})
}

func (a *Agent) exited(now time.Duration, e Exited) {
	t := a.find(e.Key)
	if t == nil || t.state == protocol.TaskExited {
		return
	}
	// A command that was told to save and ended by itself has saved; one that a signal
	// ended has not. Exit code 0 before that word is done.
	t.saved = t.told && t.state == protocol.TaskSaving && e.Code >= 0 && !t.ending
	t.killAt = 0
	switch {
	case t.told || t.ending:
		t.why = protocol.ExitStopped
	case e.Code == 0 && e.Error == "":
		t.why = protocol.ExitDone
	default:
		t.why = protocol.ExitFailed
	}
	t.state = protocol.TaskExited
	a.changed(now)
}
