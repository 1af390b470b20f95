package agent

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Time spans that the protocol gives as they are.
const (
	responseTimeout = 4 * time.Second        // a later response to a heartbeat has no effect
	minHeartbeatGap = 500 * time.Millisecond // between the sending of two heartbeats
	failoverDelay   = time.Second            // before another controller is tried
)

// HTTP statuses with a meaning in the protocol. They are written out here since the agent
// must not depend on a network package.
const (
	statusOK          = 200
	statusConflict    = 409 // the command's token or session is stale
	statusMisdirected = 421 // another controller takes this machine's heartbeats
)

// Heartbeats are spread over [0.75, 1.25) of their interval, so that machines which
// started together don't send together for good.
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

// heartbeat is the machine's status under the next sequence number.
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

// noteChange makes the next heartbeat due as soon as the gap between two allows.
func (a *Agent) noteChange(now time.Duration) {
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

// acceptsResponse reports whether a response counts. One to a heartbeat of an earlier session,
// one that came too late, and one with a stale token or none are dropped: they renew no
// lease and their commands are not executed.
func (a *Agent) acceptsResponse(now time.Duration, r protocol.HeartbeatResponse) bool {
	sessionGoesOn := a.heartbeatSession == a.session && !a.leaseExpired && now-a.leaseStart <= a.leaseDuration()
	inTime := now-a.heartbeatSentAt <= responseTimeout
	return sessionGoesOn && inTime && r.Token > 0 && r.Token >= a.token
}

// scheduleHeartbeat sets the time of the next heartbeat, earlier if something changed
// while the last one was in flight.
func (a *Agent) scheduleHeartbeat(now, delay time.Duration) {
	a.nextHeartbeatAt = now + delay
	if a.changedInFlight {
		a.nextHeartbeatAt = min(a.nextHeartbeatAt, a.earliestHeartbeat(now))
	}
}

// followRedirect goes on with the controller that the response names, or with the next
// one if that is unknown or the one that was asked.
func (a *Agent) followRedirect(now time.Duration, to protocol.Redirect) {
	for i, c := range a.settings.Controllers {
		if to.ReportTo != "" && c.ReportTo == to.ReportTo && i != a.controller {
			a.controller = i
			// Machines that are redirected together don't arrive together.
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
