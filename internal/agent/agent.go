// Package agent decides what one worker machine does: when it sends heartbeats and to
// which controller, which commands it obeys, and when the attempts on it must end.
//
// It owns the machine's session, its highest fencing token, the worker's lease, the
// attempts and the image cache. It may not know of processes, files, the network or the
// clock: time comes in as an argument, what happened comes in as an Event, and what is to
// be done goes out as an Effect. Package agentd carries the effects out.
//
// Invariants:
//   - One process per task: an attempt isn't launched beside another of the same task.
//   - A heartbeat names every attempt that may have a process.
//   - A session starts with no attempts; after a lease expiry the agent sends nothing
//     until the last attempt of the old session has exited.
//   - A command with a token below the highest one seen, or for another session, has no
//     effect.
package agent

import (
	"math/rand/v2"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// longAgo stands for "never" in times that are compared with a time span; it exceeds
// all of them.
const longAgo = time.Hour

// Settings of a machine's agent. CPUs, GPUs and MemoryGB are what tasks may take.
type Settings struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	CPUs, GPUs, MemoryGB      float64
	CacheGB, FetchGBps        float64 // of images; no rate: an image is there at once
	Controllers               []protocol.Redirect
	Workers                   config.WorkerTiming
}

// DurableState is what an agent that is started again must still know. The machine keeps
// its name, so a session must not come twice and a token must not be forgotten.
type DurableState struct {
	Session uint64 `json:"session"`
	Token   uint64 `json:"token"`
}

// Agent is one machine's agent. Its methods are called by one goroutine.
type Agent struct {
	settings Settings
	rand     *rand.Rand
	effects  []Effect // to be returned by the current Handle or Tick

	session  uint64
	token    uint64 // the highest fencing token seen
	attempts []*attempt
	images   []image // the least recently used first

	preemptionNoticed bool
	preemptionAt      time.Duration

	leaseStart   time.Duration // when the last answered heartbeat was sent, or the session began
	leaseExpired bool          // attempts of the session are still being killed

	seq               uint64        // of the last heartbeat
	controller        int           // index of the one that gets the next heartbeat
	nextHeartbeatAt   time.Duration // unless one is in flight
	heartbeatInFlight bool
	heartbeatSentAt   time.Duration
	heartbeatSession  uint64        // the session of the heartbeat that was sent last
	changedInFlight   bool          // something changed since that was sent
	tokenChangeAt     time.Duration // when a higher token was last counted as a change
}

// New makes an agent that begins the session after the last one at the time now.
func New(settings Settings, seed uint64, now time.Duration, last DurableState) *Agent {
	a := &Agent{
		settings:        settings,
		rand:            rand.New(rand.NewPCG(seed, 1)),
		session:         last.Session + 1,
		token:           last.Token,
		leaseStart:      now,
		nextHeartbeatAt: now,
		heartbeatSentAt: now - longAgo,
		tokenChangeAt:   now - longAgo,
	}
	// Agents that start together spread over the controllers.
	a.controller = a.rand.IntN(max(len(settings.Controllers), 1))
	return a
}

// DurableState is what must be durable before the agent's effects are carried out.
func (a *Agent) DurableState() DurableState { return DurableState{a.session, a.token} }

// NextTick is when Tick is to be called next, unless an event comes first.
func (a *Agent) NextTick() time.Duration {
	at := a.leaseStart + a.leaseDuration() + time.Millisecond // a lease expires after its end
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

// Tick does what is due at the time now.
func (a *Agent) Tick(now time.Duration) []Effect {
	a.advance(now)
	return a.takeEffects()
}

// Handle takes an event, and does what is due at the time now.
func (a *Agent) Handle(now time.Duration, event Event) []Effect {
	switch e := event.(type) {
	case HeartbeatCompleted:
		a.handleHeartbeatCompleted(now, e)
	case CommandsReceived:
		a.handleCommands(now, e)
	case StatusRequested:
		a.emit(StatusReply{ID: e.ID, Status: statusOK, Heartbeat: a.heartbeat(now)})
	case JobDescribed:
		a.handleJobDescribed(now, e)
	case ImageFetched:
		a.handleImageFetched(now, e)
	case AttemptExited:
		a.handleAttemptExited(now, e)
	case PreemptionNotice:
		a.handlePreemptionNotice(now, e)
	}
	a.advance(now)
	return a.takeEffects()
}

// handlePreemptionNotice notes when the machine is taken back. A repeat, or a notice of a later
// moment than one before, changes nothing.
func (a *Agent) handlePreemptionNotice(now time.Duration, notice PreemptionNotice) {
	if a.preemptionNoticed && notice.At >= a.preemptionAt {
		return
	}
	a.preemptionAt, a.preemptionNoticed = notice.At, true
	a.noteChange(now)
}

// advance does what is due: it ends a lease, begins a session, kills attempts whose grace
// period is over, and sends a heartbeat.
func (a *Agent) advance(now time.Duration) {
	a.checkLease(now)
	if a.leaseExpired {
		return
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

func (a *Agent) emit(e Effect) { a.effects = append(a.effects, e) }

func (a *Agent) takeEffects() []Effect {
	effects := a.effects
	a.effects = nil
	return effects
}
