package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
	"github.com/chalkhub/chalkhub/internal/stepdown"
)

// membership keeps this node's lease and key, and, on the leader, the map.
type membership struct {
	core *Core

	leaseID            uint64
	renewedAt          time.Duration // when the newest answered renewal left
	renewalSentAt      time.Duration // when the newest renewal left, answered or not
	renewalUnanswered  bool          // nothing came back of it
	renewing           bool
	keyWriteInFlight   bool // a write of the node key or the leader key is under way
	mapWriteInFlight   bool // a write of the map is under way
	readinessPublished bool
	ready              bool
	peerTarget         string

	stepdown       stepdown.Tracker
	leaderSeenAt   time.Duration // since when nobody leads
	leaderSince    time.Duration // since when the leader key is ours
	leading        bool
	absentSince    map[string]time.Duration // controllers outside the map, since when
	observedMap    *records.ShardMap        // the map that this was read from
	desiredMembers map[string]string        // members, as they should be
}

func newMembership(c *Core) *membership {
	return &membership{core: c, peerTarget: "\x00", absentSince: map[string]time.Duration{}, stepdown: stepdown.Tracker{BaseBackoff: c.intervals.workerLease}}
}

// mayServe reports whether this node may answer workers and users act on it:
// its lease was renewed and its mirror confirmed within fresh.
//
// Guards against two owners of a machine: a node that is cut off must fall
// silent before the others count its lease as over.
func (m *membership) mayServe() bool {
	return m.leaseID != 0 && m.core.now.Monotonic-m.renewedAt < m.core.intervals.maxStaleness && m.core.mirror.IsFresh()
}

// isMember reports whether the map in force names this very process.
func (m *membership) isMember() bool {
	rec := m.core.records.shardMap
	return rec != nil && rec.Members[m.core.settings.Label] == m.core.bootID
}

// labelHeldByOther reports whether the map in force names another process under a label
// than boot. Until the next map such a process has nothing to say of the label's machines.
//
// Guards against taking what the former process was given for lost: a process that was back
// before the map changed told that it has no machines, and all that had just been given to
// the former one was started a second time.
func (m *membership) labelHeldByOther(label, boot string) bool {
	rec := m.core.records.shardMap
	return rec != nil && rec.Members[label] != "" && rec.Members[label] != boot
}

func (m *membership) epoch() uint64 {
	if rec := m.core.records.shardMap; rec != nil {
		return rec.Epoch
	}
	return 0
}

// ownerOf is the member that rendezvous hashing gives a machine to.
func (m *membership) ownerOf(machine string) string {
	rec := m.core.records.shardMap
	if rec == nil {
		return ""
	}
	best, bestHash := "", uint64(0)
	for label := range rec.Members {
		h := xxhash.Sum64String(label + " " + machine)
		if best == "" || h > bestHash || h == bestHash && label < best {
			best, bestHash = label, h
		}
	}
	return best
}

// leaderGuard ties a write to our leadership.
func (m *membership) leaderGuard() protocol.Guard { return m.core.mirror.Guard(keyLeader) }

// letsLeaseExpire reports whether the lease is better left to end: nothing has come back from the state
// service for so long that this node may do nothing, and its renewals may arrive all the same.
// It asks again once the lease must have ended, or when the mirror hears the service.
//
// Guards against a leader whose requests arrive and whose answers do not: its renewals kept
// its keys alive, so that nobody led and its machines stood still for as long as that lasted.
func (m *membership) letsLeaseExpire() bool {
	t := &m.core.intervals
	return m.leaseID != 0 && m.renewalUnanswered && !m.core.mirror.IsFresh() && m.core.now.Monotonic-m.renewedAt >= t.maxStaleness &&
		m.core.now.Monotonic-m.renewalSentAt < t.memberLease*5/4
}

func (m *membership) reconcile() {
	c := m.core
	c.mirror.Maintain()
	if !m.renewing && (m.leaseID == 0 || c.now.Monotonic-m.renewedAt >= c.intervals.memberLease/6) && !m.letsLeaseExpire() {
		m.renewing, m.renewalSentAt = true, c.now.Monotonic
		c.emit(RenewLease{LeaseID: m.leaseID, TTL: c.intervals.memberLease})
	}
	// In an outage that all see, users are told at once to come again, by nodes that the
	// load balancer finds where they were when it is over.
	ready := m.mayServe() && !c.degraded.isIsolated() || c.degraded.isActive()
	if ready != m.ready || !m.readinessPublished {
		m.ready, m.readinessPublished = ready, true
		c.emit(SetReady{Ready: ready})
	}
	if !c.mirror.IsReady() {
		return
	}
	target := ""
	if l := c.records.leader; l != nil && l.BootID != c.bootID {
		target = l.Label
	}
	if target != m.peerTarget {
		m.peerTarget = target
		c.emit(ConnectPeer{Label: target})
	}
	was := m.leading
	m.leading = c.records.leader != nil && c.records.leader.BootID == c.bootID
	if m.leading != was {
		if m.leading {
			m.leaderSince = c.now.Monotonic
			clear(m.absentSince)
			m.observedMap = nil
			c.logInfo("this node leads", "revision", c.mirror.Version(keyLeader))
		} else {
			c.logInfo("this node no longer leads")
		}
		c.scheduler.leadershipChanged(m.leading)
	}
	if m.leaseID == 0 || m.keyWriteInFlight || !c.mirror.IsFresh() {
		return
	}
	if c.records.nodes[c.settings.Label].BootID != c.bootID {
		// Guarded against a write of this label's former process that is carried out late: it
		// took the place of the new one, whose machines were others' until it wrote again.
		key := keyNode + c.settings.Label
		m.writeKey([]protocol.Guard{c.mirror.Guard(key)}, protocol.Operation{Put: key, Value: records.Node{BootID: c.bootID, Level: records.FormatLevel}, Lease: m.leaseID})
		return
	}
	// A leader that was restarted takes its own key over at once: its former
	// process is surely dead, and whatever that one still has in flight is
	// guarded by the version this write ends.
	l := c.records.leader
	if l != nil {
		m.leaderSeenAt = c.now.Monotonic
	}
	others, empty := len(c.records.nodes) > 1, c.now.Monotonic-m.leaderSeenAt
	if l == nil && (m.stepdown.ShouldAbstain(c.now.Monotonic, others, empty, c.intervals.memberLease) || c.shard.reachability.unreachable && others && empty < c.intervals.maintenance) {
		return // one who reaches machines should lead
	}
	if l == nil || l.Label == c.settings.Label && l.BootID != c.bootID {
		op := protocol.Operation{Put: keyLeader, Value: records.Leader{Label: c.settings.Label, BootID: c.bootID}, Lease: m.leaseID}
		m.writeKey([]protocol.Guard{c.mirror.Guard(keyLeader)}, op)
		return
	}
	if m.leading {
		m.logAbsentMembers()
		m.reconcileShardMap()
	}
}

// logAbsentMembers notes which controllers are outside the map, for those on call.
func (m *membership) logAbsentMembers() {
	rec := m.core.records.shardMap
	if rec == nil || rec == m.observedMap {
		return
	}
	m.observedMap = rec
	for _, label := range m.core.controllerLabels {
		_, in := rec.Members[label]
		since, was := m.absentSince[label]
		switch {
		case !in && !was:
			m.absentSince[label] = m.core.now.Monotonic
			m.core.logInfo("a controller is outside the map", "controller", label)
		case in && was:
			delete(m.absentSince, label)
			m.core.logInfo("a controller is back in the map", "controller", label, "away", m.core.now.Monotonic-since)
		}
	}
}

func (m *membership) writeKey(guards []protocol.Guard, op protocol.Operation) {
	m.keyWriteInFlight = true
	m.core.commit(guards, []protocol.Operation{op}, func(d CommitResult) {
		if d.Outcome == CommitRejected {
			m.leaseID, m.keyWriteInFlight = 0, false // the lease has ended
			return
		}
		m.core.mirror.AwaitOutcome(d.Outcome.Decided(), m.core.intervals.maxStaleness/16, func() { m.keyWriteInFlight = false })
	})
}

// reconcileShardMap writes a new map when the members are not who they should be: those
// with a live key that this leader can hear. If nobody is left whose machines answer, and
// others live that it cannot hear, it lets one of them lead.
//
// Guards against a leader that reaches the state service alone: it kept the map to itself,
// and nothing started, while another reached both the state service and the machines.
func (m *membership) reconcileShardMap() {
	c := m.core
	if m.mapWriteInFlight {
		return
	}
	rec := c.records.shardMap
	if m.desiredMembers == nil {
		m.desiredMembers = map[string]string{}
	}
	clear(m.desiredMembers) // looked at with every batch of commands
	want := m.desiredMembers
	settled := c.now.Monotonic-m.leaderSince > c.intervals.heartbeat
	missing, unheard := false, false
	for label, n := range c.records.nodes {
		switch {
		case label == c.settings.Label:
			if !c.shard.reachability.unreachable || len(c.records.nodes) == 1 {
				want[label] = n.BootID
			}
		case c.scheduler.hearsMember(label, n.BootID):
			want[label] = n.BootID
		default:
			missing = true
			unheard = unheard || !c.scheduler.reportsUnreachable(label, n.BootID)
		}
	}
	idle := len(want) == 0 && unheard
	if m.stepdown.ShouldStepDown(c.now.Monotonic, idle, c.intervals.maintenance) && !m.keyWriteInFlight {
		c.logInfo("no machine can be heard here or by any member, another that is not heard may lead")
		m.stepdown.SteppedDown(c.now.Monotonic)
		m.writeKey([]protocol.Guard{m.leaderGuard()}, protocol.Operation{Delete: keyLeader})
		return
	}
	// A map of this node alone would take the machines from those who may well serve them,
	// just before another leads, or before this node knows that it reaches none.
	if idle || unheard && c.shard.machinesSilent() && !c.shard.reachability.unreachable {
		return
	}
	if len(want) == 0 {
		want[c.settings.Label] = c.bootID
	}
	// A new leader gives the others a moment to call, so that a change of
	// leader is one new map and not several.
	if !settled && (missing || rec == nil && len(want) < c.settings.Site.InitialSize) {
		return
	}
	if m.epoch() > c.scheduler.epochAtElection && maps.Equal(rec.Members, want) {
		return
	}
	next := records.ShardMap{Epoch: 1, Leader: c.settings.Label, Members: maps.Clone(want)}
	if rec != nil {
		next.Epoch = rec.Epoch + 1
	}
	m.mapWriteInFlight = true
	guards := []protocol.Guard{m.leaderGuard(), c.mirror.Guard(keyShardMap)}
	c.commit(guards, []protocol.Operation{{Put: keyShardMap, Value: next}}, func(d CommitResult) {
		c.mirror.AwaitOutcome(d.Outcome == Committed, c.intervals.maxStaleness/16, func() { m.mapWriteInFlight = false })
	})
}

func (m *membership) handleLeaseResult(d LeaseResult) {
	m.renewing, m.renewalUnanswered = false, d.Outcome == LeaseUnknown
	m.core.degraded.renewalRefused = d.Outcome != LeaseGranted && d.Outcome != LeaseExpired
	switch d.Outcome {
	case LeaseGranted:
		if d.LeaseID != m.leaseID {
			m.leaseID = d.LeaseID
		}
		m.renewedAt = max(m.renewedAt, d.SentAt)
	case LeaseExpired:
		m.core.logInfo("the lease has ended")
		m.leaseID = 0
	default:
		m.renewing = true
		m.core.afterFunc(m.core.intervals.memberLease/12, func() { m.renewing = false })
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
