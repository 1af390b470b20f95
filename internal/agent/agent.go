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
	responseTimeout = 4 * time.Second        // a later answer to a report is dropped
	minHeartbeatGap = 500 * time.Millisecond // between two reports, at least
	failoverDelay   = time.Second            // before another controller is tried
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

// AttemptKey names an attempt.
type AttemptKey struct {
	Task    string
	Attempt uint64
}

// Events: what happens to an agent.
type (
	// CommandsReceived is a direct command.
	CommandsReceived struct {
		ID      int
		Request protocol.DirectCommands
	}
	// StatusRequested asks for the report.
	StatusRequested struct{ ID int }
	// HeartbeatAnswered is how a report ended; status 0: no answer came.
	HeartbeatAnswered struct {
		Status   int
		Response protocol.HeartbeatResponse
		Redirect protocol.Redirect
	}
	// JobDescribed is a job's description. Nobody uploaded it: Found is false. A depot
	// that does not answer is asked again by whoever runs the agent.
	JobDescribed struct {
		AttemptKey
		Found        bool
		Description  protocol.JobDescription
		ResultStored bool // the task's result is kept already
	}
	// ImageFetched says that an attempt's image is there.
	ImageFetched struct{ AttemptKey }
	// AttemptExited says that nothing of an attempt is left on the machine. Code 0 is only
	// said once the task's result is kept.
	AttemptExited struct {
		AttemptKey
		ExitCode int
		Error    string
	}
	// PreemptionNotice is the cloud's word that it takes the machine back.
	PreemptionNotice struct{ Remaining time.Duration }
)

// Effects: what an agent wants done.
type (
	// StatusReply answers a direct command.
	StatusReply struct {
		ID        int
		Status    int
		Heartbeat protocol.Heartbeat
	}
	// SendHeartbeat sends a report to a controller, by its number in the settings.
	SendHeartbeat struct {
		Controller int
		Heartbeat  protocol.Heartbeat
	}
	// DescribeJob asks the depot for a job and the task's result.
	DescribeJob struct{ AttemptKey }
	// FetchImage gets an image.
	FetchImage struct {
		AttemptKey
		Image    string
		Duration time.Duration
	}
	// LaunchAttempt starts an attempt's command.
	LaunchAttempt struct {
		AttemptKey
		Description protocol.JobDescription
	}
	// TerminateAttempt asks an attempt to save and end.
	TerminateAttempt struct{ AttemptKey }
	// KillAttempt ends an attempt at once; Exited follows.
	KillAttempt struct{ AttemptKey }
	// ExtendLease tells when the worker's lease ends unless a report is answered.
	ExtendLease struct{ Until time.Duration }
)

type attempt struct {
	AttemptKey
	state         string
	exitReason    string
	saved         bool
	description   *protocol.JobDescription // nil: not described yet
	launched      bool                     // a process may exist
	graceEndsAt   time.Duration            // when saving has had its time, 0: never
	stopRequested bool                     // it was told to stop
	killSent      bool                     // Kill was sent
}

// Agent is one machine's agent. Handle and Tick are called by one goroutine.
type Agent struct {
	settings Settings
	rand     *rand.Rand
	effects  []any

	session           uint64
	seq               uint64
	token             uint64
	attempts          []*attempt
	images            []image // the least recently used first
	preemptionAt      time.Duration
	preemptionNoticed bool

	leaseStart        time.Duration // sending time of the last answered report, or the session's begin
	leaseExpired      bool          // the lease is over, tasks are still being killed
	controller        int
	heartbeatInFlight bool // a report is under way
	heartbeatSentAt   time.Duration
	heartbeatSession  uint64 // the session of that report
	changedInFlight   bool   // something changed while it was
	nextHeartbeatAt   time.Duration
	tokenChangeAt     time.Duration // when a higher token was last counted as a change
}

type image struct {
	name string
	gb   float64
}

// DurableState is what an agent must know again after it was started anew: its machine keeps
// its name, so a session must not come twice and a token must not be forgotten.
type DurableState struct {
	Session uint64 `json:"session"`
	Token   uint64 `json:"token"`
}

// New makes an agent that begins the session after the remembered one at the time now.
func New(set Settings, seed uint64, now time.Duration, last DurableState) *Agent {
	a := &Agent{settings: set, rand: rand.New(rand.NewPCG(seed, 1)), session: last.Session + 1, token: last.Token, leaseStart: now, nextHeartbeatAt: now, heartbeatSentAt: now - time.Hour, tokenChangeAt: now - time.Hour}
	a.controller = a.rand.IntN(max(len(set.Controllers), 1))
	return a
}

func (a *Agent) emit(e any) { a.effects = append(a.effects, e) }

func (a *Agent) takeEffects() []any {
	e := a.effects
	a.effects = nil
	return e
}

func (a *Agent) leaseDuration() time.Duration     { return config.Seconds(a.settings.Workers.LeaseS) }
func (a *Agent) heartbeatInterval() time.Duration { return config.Seconds(a.settings.Workers.ReportS) }

// DurableState is what must be durable before the agent's effects are carried out.
func (a *Agent) DurableState() DurableState { return DurableState{a.session, a.token} }

// NextTick is when Tick is to be called next.
func (a *Agent) NextTick() time.Duration {
	at := a.leaseStart + a.leaseDuration() + time.Millisecond
	if !a.heartbeatInFlight && !a.leaseExpired {
		at = min(at, a.nextHeartbeatAt)
	}
	for _, t := range a.attempts {
		if t.graceEndsAt > 0 {
			at = min(at, t.graceEndsAt)
		}
	}
	return at
}

// Tick does what is due.
func (a *Agent) Tick(now time.Duration) []any {
	a.advance(now)
	return a.takeEffects()
}

func (a *Agent) advance(now time.Duration) {
	if !a.leaseExpired && now-a.leaseStart > a.leaseDuration() {
		// The shims do the same by their own clocks; what they have ended is reported
		// as exited, and forgotten here.
		a.leaseExpired = true
		for _, t := range a.attempts {
			a.killAttempt(t)
		}
	}
	if a.leaseExpired {
		a.beginSession(now)
		if a.leaseExpired {
			return
		}
	}
	for _, t := range a.attempts {
		if t.graceEndsAt > 0 && now >= t.graceEndsAt {
			t.graceEndsAt = 0
			a.killAttempt(t)
		}
	}
	if !a.heartbeatInFlight && now >= a.nextHeartbeatAt {
		a.sendHeartbeat(now)
	}
}

// beginSession begins the next session once nothing is left of the last one. Until then the
// agent says nothing: a report without tasks would be a lie.
func (a *Agent) beginSession(now time.Duration) {
	for _, t := range a.attempts {
		if t.launched && t.state != protocol.TaskExited {
			return
		}
	}
	a.attempts = nil
	a.leaseExpired = false
	a.session++
	a.leaseStart = now
	a.emit(ExtendLease{Until: now + a.leaseDuration()})
	a.noteChange(now)
}

func (a *Agent) killAttempt(t *attempt) {
	if t.state == protocol.TaskExited || t.killSent {
		return
	}
	t.killSent = true
	if t.launched {
		a.emit(KillAttempt{t.AttemptKey})
		return
	}
	t.state, t.exitReason = protocol.TaskExited, protocol.ExitStopped
}

func (a *Agent) heartbeat(now time.Duration) protocol.Heartbeat {
	a.seq++
	r := protocol.Heartbeat{
		Machine: a.settings.Machine, Addr: a.settings.Addr, Type: a.settings.Type, Zone: a.settings.Zone, Spot: a.settings.Spot,
		Session: a.session, Seq: a.seq, Token: a.token, Tasks: []protocol.TaskStatus{},
	}
	if a.preemptionNoticed {
		left := max(a.preemptionAt-now, 0).Seconds()
		r.NoticeS = &left
	}
	for _, t := range a.attempts {
		r.Tasks = append(r.Tasks, protocol.TaskStatus{Task: t.Task, Attempt: t.Attempt, State: t.state, ExitReason: t.exitReason, Saved: t.saved})
	}
	return r
}

func (a *Agent) noteChange(now time.Duration) {
	a.changedInFlight = true
	a.nextHeartbeatAt = min(a.nextHeartbeatAt, max(a.heartbeatSentAt+minHeartbeatGap, now))
}

func (a *Agent) sendHeartbeat(now time.Duration) {
	if len(a.settings.Controllers) == 0 {
		a.nextHeartbeatAt = now + a.heartbeatInterval()
		return
	}
	a.heartbeatInFlight, a.changedInFlight = true, false
	a.heartbeatSentAt, a.heartbeatSession = now, a.session
	a.nextHeartbeatAt = now + a.heartbeatInterval()
	a.emit(SendHeartbeat{Controller: a.controller, Heartbeat: a.heartbeat(now)})
}

// Handle takes an event.
func (a *Agent) Handle(now time.Duration, event any) []any {
	switch e := event.(type) {
	case HeartbeatAnswered:
		a.handleHeartbeatAnswered(now, e)
	case CommandsReceived:
		a.handleCommands(now, e)
	case StatusRequested:
		a.emit(StatusReply{ID: e.ID, Status: 200, Heartbeat: a.heartbeat(now)})
	case JobDescribed:
		a.handleJobDescribed(now, e)
	case ImageFetched:
		a.handleImageFetched(now, e)
	case AttemptExited:
		a.handleAttemptExited(now, e)
	case PreemptionNotice:
		a.preemptionAt, a.preemptionNoticed = now+e.Remaining, true
		a.noteChange(now)
	}
	a.advance(now)
	return a.takeEffects()
}

func (a *Agent) handleHeartbeatAnswered(now time.Duration, e HeartbeatAnswered) {
	if !a.heartbeatInFlight {
		return
	}
	a.heartbeatInFlight = false
	wait := func(d time.Duration) {
		a.nextHeartbeatAt = now + d
		if a.changedInFlight {
			a.nextHeartbeatAt = min(a.nextHeartbeatAt, max(a.heartbeatSentAt+minHeartbeatGap, now))
		}
	}
	elsewhere := func() {
		a.controller = (a.controller + 1) % len(a.settings.Controllers)
		a.nextHeartbeatAt = now + failoverDelay
	}
	switch e.Status {
	case 200:
		// Dropped: from an earlier session, too late, or with a token that is too low.
		// Then nothing is executed and the lease is not renewed.
		if a.heartbeatSession == a.session && !a.leaseExpired && now-a.heartbeatSentAt <= responseTimeout && e.Response.Token >= a.token && e.Response.Token > 0 &&
			now-a.leaseStart <= a.leaseDuration() {
			a.raiseToken(now, e.Response.Token)
			a.leaseStart = max(a.leaseStart, a.heartbeatSentAt)
			a.emit(ExtendLease{Until: a.leaseStart + a.leaseDuration()})
			a.executeCommands(now, e.Response.Commands)
		}
		wait(time.Duration(float64(a.heartbeatInterval()) * (0.75 + a.rand.Float64()/2)))
	case 421:
		for i, n := range a.settings.Controllers {
			if n.ReportTo == e.Redirect.ReportTo && e.Redirect.ReportTo != "" && i != a.controller {
				a.controller = i
				wait(time.Duration(a.rand.Int64N(int64(minHeartbeatGap))))
				return
			}
		}
		elsewhere()
	default:
		elsewhere()
	}
}

// raiseToken notes a higher token. It counts as a change at most once in half a lease.
func (a *Agent) raiseToken(now time.Duration, token uint64) {
	if token <= a.token {
		return
	}
	a.token = token
	if now-a.tokenChangeAt >= a.leaseDuration()/2 {
		a.tokenChangeAt = now
		a.noteChange(now)
	}
}

func (a *Agent) handleCommands(now time.Duration, e CommandsReceived) {
	// A command may come after our lease has ended and before we noticed.
	a.advance(now)
	if a.leaseExpired || e.Request.Token < a.token || e.Request.Session != a.session {
		a.raiseToken(now, e.Request.Token)
		a.emit(StatusReply{ID: e.ID, Status: 409, Heartbeat: a.heartbeat(now)})
		return
	}
	a.raiseToken(now, e.Request.Token)
	a.executeCommands(now, e.Request.Commands)
	a.emit(StatusReply{ID: e.ID, Status: 200, Heartbeat: a.heartbeat(now)})
}

func (a *Agent) executeCommands(now time.Duration, cmds []protocol.Command) {
	for _, c := range cmds {
		switch c.Kind {
		case protocol.CommandStart:
			a.startAttempt(now, c)
		case protocol.CommandStop:
			if t := a.findAttempt(AttemptKey{c.Task, c.Attempt}); t != nil && t.state != protocol.TaskExited {
				a.stopAttempt(now, t, c.GraceS)
				a.noteChange(now)
			}
		case protocol.CommandForget:
			for i, t := range a.attempts {
				if t.Task == c.Task && t.Attempt == c.Attempt && t.state == protocol.TaskExited {
					a.attempts = append(a.attempts[:i], a.attempts[i+1:]...)
					a.noteChange(now)
					break
				}
			}
		}
	}
}

func (a *Agent) findAttempt(k AttemptKey) *attempt {
	for _, t := range a.attempts {
		if t.AttemptKey == k {
			return t
		}
	}
	return nil
}

func (a *Agent) startAttempt(now time.Duration, c protocol.Command) {
	k := AttemptKey{c.Task, c.Attempt}
	if a.findAttempt(k) != nil {
		return
	}
	t := &attempt{AttemptKey: k, state: protocol.TaskFetching}
	refuse := func(why string) { t.state, t.exitReason = protocol.TaskExited, why }
	if _, _, err := protocol.ParseTaskName(c.Task); err != nil || c.Attempt == 0 {
		refuse(protocol.ExitUnknownTask)
	}
	for _, x := range a.attempts {
		if x.Task == c.Task && x.state != protocol.TaskExited {
			refuse(protocol.ExitDuplicate)
		}
	}
	a.attempts = append(a.attempts, t)
	a.noteChange(now)
	if t.state == protocol.TaskFetching {
		a.emit(DescribeJob{k})
	}
}

// stopAttempt is the command "kill".
func (a *Agent) stopAttempt(now time.Duration, t *attempt, graceS float64) {
	if t.state == protocol.TaskRunning && !t.stopRequested && t.description.Job.CheckpointS > 0 && graceS >= t.description.Job.SaveS {
		t.stopRequested = true
		t.state = protocol.TaskSaving
		t.graceEndsAt = now + max(config.Seconds(graceS), time.Millisecond)
		a.emit(TerminateAttempt{t.AttemptKey})
		return
	}
	// A repeated order to save, with time left to do it, is the same order.
	if t.state == protocol.TaskSaving && graceS > 0 {
		return
	}
	t.stopRequested, t.graceEndsAt = true, 0
	a.killAttempt(t)
}

func (a *Agent) handleJobDescribed(now time.Duration, e JobDescribed) {
	t := a.findAttempt(e.AttemptKey)
	if t == nil || t.state != protocol.TaskFetching || t.description != nil {
		return
	}
	a.noteChange(now)
	_, i, _ := protocol.ParseTaskName(t.Task) // parsed at its start
	j := &e.Description.Job
	if !e.Found || i >= j.Tasks || j.Kind == protocol.KindGang {
		t.state, t.exitReason = protocol.TaskExited, protocol.ExitUnknownTask
		return
	}
	if !a.fits(j) {
		t.state, t.exitReason = protocol.TaskExited, protocol.ExitNoCapacity
		return
	}
	t.description = &e.Description
	if e.ResultStored {
		t.description.Command, t.description.SimulatedS = nil, 0 // its result is kept: it exits as soon as it has its image
	}
	span := time.Duration(0)
	if !a.touchImage(j.Image) && a.settings.FetchGBps > 0 {
		span = config.Seconds(j.ImageGB / a.settings.FetchGBps)
	}
	a.emit(FetchImage{AttemptKey: t.AttemptKey, Image: j.Image, Duration: span})
}

// fits reports whether a job's task has room beside what is here. Tasks that are being
// killed still take theirs.
func (a *Agent) fits(j *protocol.Job) bool {
	cpus, gpus, mem := a.settings.CPUs, a.settings.GPUs, a.settings.MemoryGB
	for _, t := range a.attempts {
		if t.description != nil && t.state != protocol.TaskExited {
			cpus -= t.description.Job.CPUs
			gpus -= t.description.Job.GPUs
			mem -= t.description.Job.MemoryGB
		}
	}
	const slack = 1e-9 // sums of decimal numbers
	return cpus >= j.CPUs-slack && gpus >= j.GPUs-slack && mem >= j.MemoryGB-slack
}

func (a *Agent) touchImage(name string) bool {
	for i, m := range a.images {
		if m.name == name {
			a.images = append(append(a.images[:i:i], a.images[i+1:]...), m)
			return true
		}
	}
	return false
}

func (a *Agent) handleImageFetched(now time.Duration, e ImageFetched) {
	t := a.findAttempt(e.AttemptKey)
	if t == nil || t.state != protocol.TaskFetching || t.description == nil || t.killSent {
		return
	}
	if !a.touchImage(t.description.Job.Image) {
		a.images = append(a.images, image{t.description.Job.Image, t.description.Job.ImageGB})
		size := 0.0
		for _, m := range a.images {
			size += m.gb
		}
		for size > a.settings.CacheGB && len(a.images) > 1 && a.settings.CacheGB > 0 {
			size -= a.images[0].gb
			a.images = a.images[1:]
		}
	}
	a.noteChange(now)
	if len(t.description.Command) == 0 && t.description.SimulatedS == 0 {
		t.state, t.exitReason = protocol.TaskExited, protocol.ExitDone
		return
	}
	t.state, t.launched = protocol.TaskRunning, true
	a.emit(LaunchAttempt{AttemptKey: t.AttemptKey, Description: *t.description})
}

func (a *Agent) handleAttemptExited(now time.Duration, e AttemptExited) {
	t := a.findAttempt(e.AttemptKey)
	if t == nil || t.state == protocol.TaskExited {
		return
	}
	// A command that was told to save and ended by itself has saved; one that a signal
	// ended has not. Exit code 0 before that word is done.
	t.saved = t.stopRequested && t.state == protocol.TaskSaving && e.ExitCode >= 0 && !t.killSent
	t.graceEndsAt = 0
	switch {
	case t.stopRequested || t.killSent:
		t.exitReason = protocol.ExitStopped
	case e.ExitCode == 0 && e.Error == "":
		t.exitReason = protocol.ExitDone
	default:
		t.exitReason = protocol.ExitFailed
	}
	t.state = protocol.TaskExited
	a.noteChange(now)
}
