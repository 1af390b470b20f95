package core

// The lease of this controller in the state service. The controller's node key, and the leader key
// if it leads, exist only as long as the lease.

const (
	// renewalsPerLease is how many times the lease is renewed within its duration, so that it
	// survives several lost renewals in a row.
	renewalsPerLease = 6

	// renewalRetriesPerLease: after a renewal that was not granted, the controller waits for the
	// duration of the lease divided by this number before it tries again.
	renewalRetriesPerLease = 12
)

// renewLease renews the lease when that is due, or requests a new one.
func (m *membership) renewLease() {
	c := m.core
	due := m.leaseID == 0 || c.now.Monotonic-m.renewedAt >= c.intervals.memberLease/renewalsPerLease
	if m.renewing || !due || m.shouldLetLeaseExpire() {
		return
	}
	m.renewing, m.renewalSentAt = true, c.now.Monotonic
	c.emit(RenewLease{LeaseID: m.leaseID, TTL: c.intervals.memberLease})
}

// shouldLetLeaseExpire reports whether renewals pause so that the lease can expire: no response has
// come from the state service for so long that this controller may not serve, although its renewals
// may still reach the service. The next renewal is sent once the lease must have expired, or when
// the mirror gets a response.
//
// This guards against a one-way partition in which a leader's requests reach the state service but the
// responses are lost: its renewals kept its keys alive, so that no other controller could lead and
// no task was started on its machines for as long as the partition lasted.
func (m *membership) shouldLetLeaseExpire() bool {
	c := m.core
	if m.leaseID == 0 || !m.renewalUnanswered || c.mirror.IsFresh() {
		return false
	}
	latestExpiry := c.intervals.memberLease * 5 / 4 // includes a margin for a renewal that reached the state service late
	return c.now.Monotonic-m.renewedAt >= c.intervals.maxStaleness && c.now.Monotonic-m.renewalSentAt < latestExpiry
}

// handleLeaseResult handles the result of a renewal, whether or not a response arrived.
func (m *membership) handleLeaseResult(result LeaseResult) {
	c := m.core
	m.renewing, m.renewalUnanswered = false, result.Outcome == LeaseUnknown
	c.degraded.renewalFailed = result.Outcome != LeaseGranted && result.Outcome != LeaseExpired
	switch result.Outcome {
	case LeaseGranted:
		m.leaseID = result.LeaseID
		m.renewedAt = max(m.renewedAt, result.SentAt)
	case LeaseExpired:
		c.logInfo("lease in the state service expired")
		m.leaseID = 0
	default:
		m.renewing = true
		c.afterFunc(c.intervals.memberLease/renewalRetriesPerLease, func() { m.renewing = false })
	}
}
