package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// listTrust states how far the owner of a machine can rely on the machine's task list.
//
// Only the methods resetForEpoch, observeToken, raiseToken and expireLease of a machine change it.
type listTrust int

const (
	// listUnconfirmed: the machine has not shown its current fencing token yet. Its task list is
	// only a hint, since a start command with an earlier token may still arrive.
	listUnconfirmed listTrust = iota
	// listConfirmed: the machine's newest message carried the current token. Only the tasks that
	// it lists, and those that this owner has sent since, can be on it.
	listConfirmed
	// listExpired: no controller has renewed the worker's lease for longer than the lease lasts,
	// so the machine runs nothing.
	listExpired
)

// messageID orders the messages of a worker: by session, and by sequence number within a session.
type messageID struct{ session, seq uint64 }

// machine is a machine that this member owns.
type machine struct {
	name, addr, typeName, zone string
	spot                       bool
	machineType                *protocol.MachineType // nil while the mirror does not hold the type
	registered                 bool                  // the machine is in the machine registry

	session, seq  uint64    // of the worker's newest message of any kind
	lastHeartbeat messageID // the newest message that was a heartbeat

	trust    listTrust
	token    uint64 // the fencing token that commands to it carry
	minToken uint64 // the least token that confirms its list
	fenced   bool   // it has shown a token of this epoch
	// ownedSinceConfirmed means that its list was confirmed in an earlier epoch and that this
	// member has owned it ever since: no other controller has started anything on it.
	ownedSinceConfirmed bool

	lastHeardAt    time.Duration
	leaseRenewedAt time.Duration // the latest time at which the worker's lease may have been renewed
	// maybeRenewedUntil is the time until which a former owner may have renewed the worker's lease.
	maybeRenewedUntil time.Duration
	silent            bool // sent no message, or did not respond to calls, for too long; published to the leader
	unansweredCalls   int  // consecutive calls without a response
	callInFlight      uint64
	nextCallAt        time.Duration
	queuedForFencing  bool

	interruptionNotice bool // the cloud will reclaim it soon
	draining           bool
	cordoned           bool // gets no new tasks for now, by command of the leader
	expedited          bool // its commands do not wait for its next heartbeat

	attempts     []*taskAttempt
	listsRead    uint64 // number of confirmed lists that were applied
	images       binpacking.ImageCache
	backoffUntil map[string]time.Duration // by job: until then none of its tasks is placed here

	unpublished   bool     // its state has changed since it was last published
	fullStateDue  bool     // its complete state is to be published, not only what has changed
	imagesChanged bool     // images has changed since it was last published
	droppedTasks  []string // tasks that are no longer on it, dropped since it was last published

	cachedCapacity  binpacking.Capacity // the result of freeCapacity; out of date unless capacityValid is set
	capacityValid   bool
	capacityChanged bool // its capacity may have changed since tasks were last placed
}

// isTrusted reports whether the machine's task list is confirmed.
func (m *machine) isTrusted() bool { return m.trust == listConfirmed }

// leaseExpired reports whether the worker's lease has certainly expired.
func (m *machine) leaseExpired() bool { return m.trust == listExpired }

// resetForEpoch gives the machine the first token of an epoch, so that its list has to be
// confirmed again. ownedBefore means that this member owned it in the previous epoch as well.
//
// While this member owns the machine, no other controller starts anything on it, so no tasks but
// those that this member knows can be on it, whether it responds or not. This guards against a failover
// that waits for dead machines whose owner has not changed.
func (m *machine) resetForEpoch(epoch uint64, ownedBefore bool) {
	m.ownedSinceConfirmed = ownedBefore && (m.isTrusted() || m.ownedSinceConfirmed)
	m.token = epoch << tokenBits
	m.minToken = m.token
	m.fenced = false
	if !ownedBefore || !m.leaseExpired() {
		m.trust = listUnconfirmed
	}
	m.callInFlight, m.nextCallAt, m.unansweredCalls = 0, 0, 0
	m.draining, m.cordoned = false, false
}

// observeToken applies the token of the machine's newest message, and reports whether that has
// changed the trust in the machine's list.
func (m *machine) observeToken(token uint64) (changed bool) {
	was := m.trust
	switch {
	case token >= m.minToken && token <= m.token:
		m.trust, m.fenced = listConfirmed, true
	case m.isTrusted():
		m.trust = listUnconfirmed
	}
	return m.trust != was
}

// raiseToken invalidates, once the machine has seen the new token, every start command that was sent
// to it before. Its list is unconfirmed until it has shown the new token.
func (m *machine) raiseToken() {
	m.token++
	m.minToken = m.token
	if m.isTrusted() {
		m.trust = listUnconfirmed
	}
}

// expireLease records that the worker's lease has expired: the machine runs nothing.
func (m *machine) expireLease() {
	m.trust = listExpired
	m.attempts = nil
}

// freeCapacity returns the capacity of the machine that its live attempts leave free, including
// attempts whose start is still in flight. It is cached until something changes. The machine's type
// must be known.
func (m *machine) freeCapacity() *binpacking.Capacity {
	if m.capacityValid {
		return &m.cachedCapacity
	}
	free := binpacking.Capacity{
		CPUs: m.machineType.CPUs, GPUs: m.machineType.GPUs, MemoryGB: m.machineType.MemoryGB,
		TypeName: m.typeName, Zone: m.zone, Spot: m.spot, CachedImages: m.images.ImageSet(),
	}
	for _, a := range m.attempts {
		if a.live() && a.spec != nil {
			free.Allocate(a.spec)
		}
	}
	m.cachedCapacity, m.capacityValid = free, true
	return &m.cachedCapacity
}

// acceptsTasks reports whether new tasks may be placed on the machine.
func (m *machine) acceptsTasks() bool {
	return m.isTrusted() && m.registered && m.machineType != nil &&
		!m.interruptionNotice && !m.draining && !m.cordoned
}
