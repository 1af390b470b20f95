package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// listTrust is what the task list of a machine is worth to its owner.
//
// Its transitions are the methods resetForEpoch, observeToken, raiseToken and expireLease
// of a machine, and nothing else changes it.
type listTrust int

const (
	// listUnconfirmed: the machine has not shown its current fencing token yet. Its list
	// is a hint only, since a start that was sent under an earlier token may still arrive.
	listUnconfirmed listTrust = iota
	// listConfirmed: its newest message carried the current token. Nothing but what it
	// lists, and what this owner has sent since, can be on it.
	listConfirmed
	// listExpired: nobody has answered its worker for longer than the worker's lease, so
	// it runs nothing.
	listExpired
)

// messageID orders the messages of a worker: by its session, and within it by a sequence
// number.
type messageID struct{ session, seq uint64 }

// machine is a machine that this member owns.
type machine struct {
	name, addr, typeName, zone string
	spot                       bool
	machineType                *protocol.MachineType // nil while the mirror does not hold the type
	registered                 bool                  // in the machine registry

	session, seq  uint64    // of the newest message of any kind
	lastHeartbeat messageID // the newest message that was a heartbeat

	trust    listTrust
	token    uint64 // the fencing token that commands to it carry
	minToken uint64 // the least token that confirms its list
	fenced   bool   // it has shown a token of this epoch
	// ownedSinceConfirmed says that its list was confirmed in the last epoch, in which this
	// member owned it too: no other controller has started anything on it since.
	ownedSinceConfirmed bool

	lastHeardAt    time.Duration
	leaseRenewedAt time.Duration // when its worker's lease was last renewed, at the latest
	// maybeRenewedUntil is until when a former owner may have renewed the worker's lease.
	maybeRenewedUntil time.Duration
	silent            bool // not heard for a while, as published to the leader
	unansweredCalls   int  // in a row
	callInFlight      uint64
	nextCallAt        time.Duration
	queuedForFencing  bool

	interruptionNotice bool // the cloud will reclaim it soon
	draining           bool
	cordoned           bool // gets no new tasks for now, by the leader's order
	expedited          bool // its commands do not wait for its next heartbeat

	attempts     []*taskAttempt
	listsRead    uint64 // how many confirmed lists were read
	images       binpacking.ImageCache
	backoffUntil map[string]time.Duration // by job: no task of it is placed here before

	unpublished   bool     // something of it has changed since it was last published
	fullStateDue  bool     // the leader needs all of its state, not only what has changed
	imagesChanged bool     // since it was last published
	droppedTasks  []string // tasks that have left it since it was last published

	cachedCapacity  binpacking.Capacity // what freeCapacity returns while capacityValid
	capacityValid   bool
	capacityChanged bool // since tasks were last placed
}

// isTrusted reports whether the machine's task list is confirmed.
func (m *machine) isTrusted() bool { return m.trust == listConfirmed }

// leaseExpired reports whether the worker's lease has surely run out.
func (m *machine) leaseExpired() bool { return m.trust == listExpired }

// resetForEpoch gives the machine the first token of an epoch, so that its list has to be
// confirmed anew. ownedBefore says that this member owned it in the epoch before as well.
//
// While it is ours nobody else starts anything on it: what can be there is what we know of,
// whether it answers or not. Guards against a failover that waits for dead machines whose
// owner has never changed.
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

// observeToken takes the token of the machine's newest message and reports whether its list
// has become confirmed by it, or ceased to be.
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

// raiseToken invalidates every start that was sent to the machine so far. Its list is
// unconfirmed until it has shown the new token.
func (m *machine) raiseToken() {
	m.token++
	m.minToken = m.token
	if m.isTrusted() {
		m.trust = listUnconfirmed
	}
}

// expireLease notes that the worker's lease has run out: the machine runs nothing.
func (m *machine) expireLease() {
	m.trust = listExpired
	m.attempts = nil
}

// freeCapacity is what is free on the machine, starts under way counted. It is computed
// anew only once something has changed. The machine's type must be known.
func (m *machine) freeCapacity() *binpacking.Capacity {
	if m.capacityValid {
		return &m.cachedCapacity
	}
	free := binpacking.Capacity{
		CPUs: m.machineType.CPUs, GPUs: m.machineType.GPUs, MemoryGB: m.machineType.MemoryGB,
		TypeName: m.typeName, Zone: m.zone, Spot: m.spot, CachedImages: m.images.Set(),
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
