package agent

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Durations that the protocol fixes.
const (
	responseTimeout = 4 * time.Second        // a later response to a heartbeat has no effect
	minHeartbeatGap = 500 * time.Millisecond // minimum time between sending two heartbeats
	failoverDelay   = time.Second            // delay before a heartbeat to the next controller
)

// HTTP statuses that the protocol uses. They are defined here because this package must not
// import a network package.
const (
	statusOK          = 200
	statusConflict    = 409 // the command's token or session is stale
	statusMisdirected = 421 // another controller is responsible for this machine
)

// The delay between heartbeats is chosen at random from [0.75, 1.25) of the interval.
// Without this jitter, machines that started at the same time would send all their
// heartbeats at the same time.
const (
	minIntervalFactor  = 0.75
	intervalFactorSpan = 0.5
)

func (a *Agent) heartbeatInterval() time.Duration {
	return config.Seconds(a.settings.Workers.HeartbeatS)
}

func (a *Agent) jitteredInterval() time.Duration {
	factor := minIntervalFactor + a.rand.Float64()*intervalFactorSpan
	return time.Duration(float64(a.heartbeatInterval()) * factor)
}

// heartbeat returns the machine's status with the next sequence number.
func (a *Agent) heartbeat(now time.Duration) protocol.Heartbeat {
	a.seq++
	h := protocol.Heartbeat{
		Machine: a.settings.Machine,
		Addr:    a.settings.Addr,
		Type:    a.settings.Type,
		Zone:    a.settings.Zone,
		Spot:    a.settings.Spot,
		Session: a.session,
		Seq:     a.seq,
		Token:   a.token,
		Tasks:   []protocol.TaskStatus{},
	}
	if a.preemptionNoticed {
		remaining := max(a.preemptionAt-now, 0).Seconds()
		h.NoticeS = &remaining
	}
	for _, t := range a.attempts {
		h.Tasks = append(h.Tasks, t.status())
	}
	return h
}

// heartbeatAfterChange schedules the next heartbeat for the earliest time that minHeartbeatGap
// allows, since the machine's status has changed.
func (a *Agent) heartbeatAfterChange(now time.Duration) {
	a.changedInFlight = true
	a.nextHeartbeatAt = min(a.nextHeartbeatAt, a.earliestHeartbeat(now))
}

func (a *Agent) earliestHeartbeat(now time.Duration) time.Duration {
	return max(a.heartbeatSentAt+minHeartbeatGap, now)
}

func (a *Agent) sendHeartbeat(now time.Duration) {
	a.nextHeartbeatAt = now + a.heartbeatInterval()
	if len(a.settings.Controllers) == 0 {
		return
	}
	a.heartbeatInFlight, a.changedInFlight = true, false
	a.heartbeatSentAt, a.heartbeatSession = now, a.session
	a.emit(SendHeartbeat{Controller: a.controller, Heartbeat: a.heartbeat(now)})
}

func (a *Agent) handleHeartbeatCompleted(now time.Duration, e HeartbeatCompleted) {
	if !a.heartbeatInFlight {
		return
	}
	a.heartbeatInFlight = false
	switch e.Status {
	case statusOK:
		if a.acceptsResponse(now, e.Response) {
			a.raiseToken(now, e.Response.Token)
			a.renewLease()
			a.executeCommands(now, e.Response.Commands)
		}
		a.scheduleHeartbeat(now, a.jitteredInterval())
	case statusMisdirected:
		a.followRedirect(now, e.Redirect)
	default:
		a.tryNextController(now)
	}
}

// acceptsResponse reports whether a heartbeat's response is valid. A response to a heartbeat
// of an earlier session, one that arrived too late, and one without a token or with a stale
// one are dropped: they don't renew the lease and their commands are not executed.
func (a *Agent) acceptsResponse(now time.Duration, r protocol.HeartbeatResponse) bool {
	sessionValid := a.heartbeatSession == a.session && !a.leaseExpired && now-a.leaseStart <= a.leaseDuration()
	inTime := now-a.heartbeatSentAt <= responseTimeout
	return sessionValid && inTime && r.Token > 0 && r.Token >= a.token
}

// scheduleHeartbeat schedules the next heartbeat after a delay, or earlier if the machine's
// status changed while the last heartbeat was in flight.
func (a *Agent) scheduleHeartbeat(now, delay time.Duration) {
	a.nextHeartbeatAt = now + delay
	if a.changedInFlight {
		a.nextHeartbeatAt = min(a.nextHeartbeatAt, a.earliestHeartbeat(now))
	}
}

// followRedirect switches to the controller that the response names. If that controller is
// unknown, or is the one that sent the redirect, it switches to the next one in the list.
func (a *Agent) followRedirect(now time.Duration, to protocol.Redirect) {
	for i, c := range a.settings.Controllers {
		if to.ReportTo != "" && c.ReportTo == to.ReportTo && i != a.controller {
			a.controller = i
			// A random delay prevents machines that are redirected at the same time from
			// reaching the new controller at the same time.
			a.scheduleHeartbeat(now, time.Duration(a.rand.Int64N(int64(minHeartbeatGap))))
			return
		}
	}
	a.tryNextController(now)
}

func (a *Agent) tryNextController(now time.Duration) {
	a.controller = (a.controller + 1) % len(a.settings.Controllers)
	a.nextHeartbeatAt = now + failoverDelay
}
