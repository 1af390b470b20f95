package agent

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

func (a *Agent) leaseDuration() time.Duration {
	return config.Seconds(a.settings.Workers.LeaseS)
}

// checkLease kills all attempts once the lease has expired, and begins the next session
// once no process of them is left.
func (a *Agent) checkLease(now time.Duration) {
	if !a.leaseExpired && now-a.leaseStart > a.leaseDuration() {
		// Each shim also kills its attempt at lease expiry, without waiting for the agent. Such
		// an attempt is recorded as exited like any other, and dropped when the session ends.
		a.leaseExpired = true
		for _, t := range a.attempts {
			a.killAttempt(t)
		}
	}
	if a.leaseExpired && !a.hasProcesses() {
		a.beginSession(now)
	}
}

// hasProcesses reports whether a process of any attempt may be left. After a lease expiry
// the agent sends no heartbeat while this is true: a heartbeat of the next session lists no
// attempts, which would be wrong while one of them still runs.
func (a *Agent) hasProcesses() bool {
	for _, t := range a.attempts {
		if t.launched && t.state != protocol.TaskExited {
			return true
		}
	}
	return false
}

func (a *Agent) beginSession(now time.Duration) {
	a.attempts = nil
	a.leaseExpired = false
	a.session++
	a.leaseStart = now
	a.emit(ExtendLease{Until: now + a.leaseDuration()})
	a.heartbeatAfterChange(now)
}

// renewLease restarts the lease at the time the accepted heartbeat was sent, not when its
// response arrived: the controller counts the lease from the sending at the earliest, so the
// lease expires here no later than by the controller's count.
func (a *Agent) renewLease() {
	a.leaseStart = max(a.leaseStart, a.heartbeatSentAt)
	a.emit(ExtendLease{Until: a.leaseStart + a.leaseDuration()})
}

// raiseToken records a higher token. A higher token causes an early heartbeat at most once in
// half a lease.
func (a *Agent) raiseToken(now time.Duration, token uint64) {
	if token <= a.token {
		return
	}
	a.token = token
	if now-a.tokenChangeAt >= a.leaseDuration()/2 {
		a.tokenChangeAt = now
		a.heartbeatAfterChange(now)
	}
}
