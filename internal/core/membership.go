package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chalkhub/chalkhub/internal/records"
	"github.com/chalkhub/chalkhub/internal/stepdown"
)

// membership holds this node's place among the controllers: its lease in the state service
// and the key that this lease keeps, who leads, and, on the leader, the shard map.
//
// Every write of it is guarded by the versions of what it was decided by, so that one that
// is carried out late is void.
type membership struct {
	core *Core

	// The lease, see lease.go.
	leaseID           uint64        // 0: none
	renewedAt         time.Duration // when the newest answered renewal was sent
	renewalSentAt     time.Duration // when the newest renewal was sent, answered or not
	renewalUnanswered bool          // that one
	renewing          bool          // a renewal is under way, or to be repeated after a pause

	// What was published of this node.
	ready              bool
	readinessPublished bool
	peerTarget         string

	// The election, see election.go.
	keyWriteInFlight bool // of the node key or the leader key
	leading          bool
	leaderSince      time.Duration // when this node became the leader last
	leaderSeenAt     time.Duration // when any node was last seen to lead
	stepdown         stepdown.Tracker

	// The shard map, see shardmap.go.
	mapWriteInFlight bool
	desiredMembers   map[string]string        // by label, the process that should be a member
	absentSince      map[string]time.Duration // controllers outside the shard map
	observedMap      *records.ShardMap        // that this was read from
}

// noPeerTarget differs from every label and from none, so that the first target is published.
const noPeerTarget = "\x00"

func newMembership(c *Core) *membership {
	return &membership{
		core:           c,
		peerTarget:     noPeerTarget,
		stepdown:       stepdown.Tracker{BaseBackoff: c.intervals.workerLease},
		desiredMembers: map[string]string{},
		absentSince:    map[string]time.Duration{},
	}
}

// reconcile keeps the lease and this node's key, follows who leads, and does the leader's
// part for the shard map.
func (m *membership) reconcile() {
	m.core.mirror.Maintain()
	m.renewLease()
	m.publishReadiness()
	if !m.core.mirror.IsReady() {
		return
	}
	m.publishPeerTarget()
	m.followLeader()
	if m.leaseID == 0 || m.keyWriteInFlight || !m.core.mirror.IsFresh() {
		return
	}
	if m.registerNode() || m.standForElection() {
		return
	}
	if m.leading {
		m.logMembershipChanges()
		m.reconcileShardMap()
	}
}

// publishReadiness says whether this node can take requests. In an outage that all see, users
// are told at once to come again, by nodes that the load balancer finds where they were when
// it is over.
func (m *membership) publishReadiness() {
	ready := m.mayServe() && !m.core.degraded.isIsolated() || m.core.degraded.isActive()
	if ready != m.ready || !m.readinessPublished {
		m.ready, m.readinessPublished = ready, true
		m.core.emit(SetReady{Ready: ready})
	}
}

// publishPeerTarget says which sibling this node keeps a link to: the leader.
func (m *membership) publishPeerTarget() {
	target := ""
	if leader := m.core.records.leader; leader != nil && leader.BootID != m.core.bootID {
		target = leader.Label
	}
	if target != m.peerTarget {
		m.peerTarget = target
		m.core.emit(ConnectPeer{Label: target})
	}
}

// mayServe reports whether this node may answer workers and users act on it: its lease was
// renewed and its mirror confirmed within the time that bounds both.
//
// Guards against two owners of a machine: a node that is cut off must fall silent before the
// others count its lease as over.
func (m *membership) mayServe() bool {
	return m.leaseID != 0 && m.core.now.Monotonic-m.renewedAt < m.core.intervals.maxStaleness && m.core.mirror.IsFresh()
}

// isMember reports whether the shard map in force names this very process.
func (m *membership) isMember() bool {
	shardMap := m.core.records.shardMap
	return shardMap != nil && shardMap.Members[m.core.settings.Label] == m.core.bootID
}

// labelHeldByOther reports whether the shard map in force names another process under a label
// than boot. Until the next map such a process has nothing to say of the label's machines.
//
// Guards against taking what the former process was given for lost: a process that was back
// before the map changed said that it has no machines, and all that had just been given to
// the former one was started a second time.
func (m *membership) labelHeldByOther(label, boot string) bool {
	shardMap := m.core.records.shardMap
	return shardMap != nil && shardMap.Members[label] != "" && shardMap.Members[label] != boot
}

// epoch is the one of the shard map in force, 0 without a map.
func (m *membership) epoch() uint64 {
	if shardMap := m.core.records.shardMap; shardMap != nil {
		return shardMap.Epoch
	}
	return 0
}

// ownerOf is the member that a machine belongs to, by rendezvous hashing.
func (m *membership) ownerOf(machine string) string {
	shardMap := m.core.records.shardMap
	if shardMap == nil {
		return ""
	}
	owner, highest := "", uint64(0)
	for label := range shardMap.Members {
		hash := xxhash.Sum64String(label + " " + machine)
		if owner == "" || hash > highest || hash == highest && label < owner {
			owner, highest = label, hash
		}
	}
	return owner
}

// sortedKeys are the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
