package core

// The lease of this node in the state service: it keeps the node's key, and the leader's.

const (
	// renewalsPerLease is how often the lease is renewed while it lasts, so that several
	// renewals in a row may be lost.
	renewalsPerLease = 6

	// renewalRetriesPerLease paces the renewals after one that was not granted.
	renewalRetriesPerLease = 12
)

// renewLease renews the lease, or asks for a new one.
func (m *membership) renewLease() {
	c := m.core
	due := m.leaseID == 0 || c.now.Monotonic-m.renewedAt >= c.intervals.memberLease/renewalsPerLease
	if m.renewing || !due || m.shouldLetLeaseExpire() {
		return
	}
	m.renewing, m.renewalSentAt = true, c.now.Monotonic
	c.emit(RenewLease{LeaseID: m.leaseID, TTL: c.intervals.memberLease})
}

// shouldLetLeaseExpire reports whether the lease is better left to expire: nothing has come back
// from the state service for so long that this node may do nothing, and its renewals may
// arrive all the same. It asks again once the lease must have expired, or when the mirror
// hears the service.
//
// Guards against a leader whose requests arrive and whose answers do not: its renewals kept
// its keys alive, so that nobody led and its machines stood still for as long as that lasted.
func (m *membership) shouldLetLeaseExpire() bool {
	c := m.core
	if m.leaseID == 0 || !m.renewalUnanswered || c.mirror.IsFresh() {
		return false
	}
	surelyExpired := c.intervals.memberLease * 5 / 4 // the service may have got the renewal late
	return c.now.Monotonic-m.renewedAt >= c.intervals.maxStaleness && c.now.Monotonic-m.renewalSentAt < surelyExpired
}

// handleLeaseResult takes the answer to a renewal.
func (m *membership) handleLeaseResult(d LeaseResult) {
	c := m.core
	m.renewing, m.renewalUnanswered = false, d.Outcome == LeaseUnknown
	c.degraded.renewalRefused = d.Outcome != LeaseGranted && d.Outcome != LeaseExpired
	switch d.Outcome {
	case LeaseGranted:
		m.leaseID = d.LeaseID
		m.renewedAt = max(m.renewedAt, d.SentAt)
	case LeaseExpired:
		c.logInfo("store lease expired")
		m.leaseID = 0
	default:
		m.renewing = true
		c.afterFunc(c.intervals.memberLease/renewalRetriesPerLease, func() { m.renewing = false })
	}
}
