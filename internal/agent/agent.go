// Package agent decides what one worker machine does: when it sends heartbeats and to
// which controller, which commands it executes, and when the attempts on it must end.
//
// It owns the machine's session, its highest fencing token, the worker's lease, the
// attempts and the image cache. It may not know of processes, files, the network or the
// clock: the current time is an argument, each input is an Event, and each action to be
// taken is returned as an Effect. Package agentd carries the effects out.
//
// Invariants:
//   - One process per task: an attempt isn't launched while another attempt of the same
//     task runs.
//   - A heartbeat lists every attempt that may have a process.
//   - A session starts with no attempts; after a lease expiry the agent sends no heartbeat
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

// longAgo is subtracted from the current time to initialize the time of an event that has
// never happened. It is longer than every interval that the age of such an event is
// compared with.
const longAgo = time.Hour

// Settings of a machine's agent. CPUs, GPUs and MemoryGB are the capacity for tasks.
type Settings struct {
	Machine, Addr, Type, Zone string
	Spot                      bool
	CPUs, GPUs, MemoryGB      float64
	CacheGB, FetchGBps        float64 // size of the image cache and rate of image fetches, 0: unlimited
	Controllers               []protocol.Redirect
	Workers                   config.WorkerTiming
}

// DurableState is what must survive a restart of the agent. The restarted agent reports
// under the same machine name, so it must not reuse a session number, and it must go on
// refusing commands with a token below the highest one seen.
type DurableState struct {
	Session uint64 `json:"session"`
	Token   uint64 `json:"token"`
}

// Agent is one machine's agent. It is not safe for concurrent use.
type Agent struct {
	settings Settings
	rand     *rand.Rand
	effects  []Effect // to be returned by the current call of Handle or Tick

	session  uint64
	token    uint64 // the highest fencing token seen
	attempts []*attempt
	images   []image // in the cache, least recently used first

	preemptionNoticed bool
	preemptionAt      time.Duration

	leaseStart   time.Duration // when the last heartbeat with an accepted response was sent, or the session began
	leaseExpired bool          // the lease has expired, and attempts of the session are still being killed

	seq               uint64        // of the last heartbeat
	controller        int           // index of the controller that the next heartbeat is sent to
	nextHeartbeatAt   time.Duration // if a heartbeat is in flight then, the next one waits for its completion
	heartbeatInFlight bool
	heartbeatSentAt   time.Duration
	heartbeatSession  uint64        // session of the last heartbeat
	changedInFlight   bool          // the machine's status changed after the last heartbeat was sent
	tokenChangeAt     time.Duration // when a higher token last caused an early heartbeat
}

// New returns an agent that begins a session at the time now. last is the durable state of
// the machine's previous agent, or zero; the new session's number is one above its session.
// The seed determines the first controller and the jitter of the heartbeats.
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
	// Agents that start at the same time distribute their first heartbeats over the
	// controllers.
	a.controller = a.rand.IntN(max(len(settings.Controllers), 1))
	return a
}

// DurableState returns the state that the caller must make durable before it carries out
// the effects of Handle or Tick.
func (a *Agent) DurableState() DurableState { return DurableState{a.session, a.token} }

// NextTick returns the time at which the caller must call Tick, unless it calls Handle
// before.
func (a *Agent) NextTick() time.Duration {
	at := a.leaseStart + a.leaseDuration() + time.Millisecond // the lease counts as expired only after its end
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

// Tick carries out what is due at the time now and returns the resulting effects.
func (a *Agent) Tick(now time.Duration) []Effect {
	a.advance(now)
	return a.takeEffects()
}

// Handle processes an event, carries out what is due at the time now and returns the
// resulting effects.
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

// handlePreemptionNotice records when the cloud terminates the machine. If there are several
// notices, the earliest termination time counts.
func (a *Agent) handlePreemptionNotice(now time.Duration, notice PreemptionNotice) {
	if a.preemptionNoticed && notice.At >= a.preemptionAt {
		return
	}
	a.preemptionAt, a.preemptionNoticed = notice.At, true
	a.heartbeatAfterChange(now)
}

// advance carries out what is due: it expires the lease, begins a session, kills attempts
// whose grace period is over, and sends a heartbeat.
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
