package agent

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

func (a *Agent) leaseDuration() time.Duration {
	return config.Seconds(a.settings.Workers.LeaseS)
}

// checkLease kills all attempts once the lease is over, and begins the next session once
// none of them is left.
func (a *Agent) checkLease(now time.Duration) {
	if !a.leaseExpired && now-a.leaseStart > a.leaseDuration() {
		// The shims do the same by their own clocks; the attempts that they have ended are
		// reported as exited, and dropped when the session ends.
		a.leaseExpired = true
		for _, t := range a.attempts {
			a.killAttempt(t)
		}
	}
	if a.leaseExpired && !a.hasProcesses() {
		a.beginSession(now)
	}
}

// hasProcesses reports whether a process of any attempt may be left. As long as it does
// after a lease expiry, the agent sends no heartbeat: one without attempts would be false.
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
	a.noteChange(now)
}

// renewLease counts the lease from the sending of the heartbeat that was answered, since
// the controller counts it from there at the earliest.
func (a *Agent) renewLease() {
	a.leaseStart = max(a.leaseStart, a.heartbeatSentAt)
	a.emit(ExtendLease{Until: a.leaseStart + a.leaseDuration()})
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
