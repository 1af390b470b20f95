package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chalkhub/chalkhub/internal/records"
	"github.com/chalkhub/chalkhub/internal/stepdown"
)

// membership is this controller's part in the cluster: its lease in the state service and the node
// key attached to it, which controller leads, and, on the leader, the shard map.
//
// Each of its writes is guarded by the versions of the keys that the decision was based on, so that
// a delayed write has no effect.
type membership struct {
	core *Core

	// The lease, see lease.go.
	leaseID           uint64        // 0: none
	renewedAt         time.Duration // when the newest renewal that was granted was sent
	renewalSentAt     time.Duration // when the newest renewal was sent, granted or not
	renewalUnanswered bool          // the newest renewal that has ended got no response
	renewing          bool          // a renewal is in flight, or waits for its retry

	// What was published last.
	ready              bool // the value in the last SetReady
	readinessPublished bool // ready has been published at all
	peerTarget         string

	// The election, see election.go.
	keyWriteInFlight bool // a write of the node key or the leader key
	leading          bool
	leaderSince      time.Duration // when this controller last became the leader
	leaderSeenAt     time.Duration // when the mirror last showed any leader
	stepdown         stepdown.Tracker

	// The shard map, see shardmap.go.
	mapWriteInFlight bool
	desiredMembers   map[string]string        // by label, the boot ID of the process that should be a member
	absentSince      map[string]time.Duration // by label, since when a controller is outside the shard map
	observedMap      *records.ShardMap        // the shard map that absentSince was updated from
}

// noPeerTarget differs from every label and from the empty label, which means no peer, so that the
// first target is always published.
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

// reconcile renews the lease, writes this controller's node key, follows the leader key and stands
// for election. On the leader it also reconciles the shard map.
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

// publishReadiness publishes whether this controller accepts requests. It stays ready in degraded
// mode: users get an immediate response that asks them to retry, and when the outage is over the
// load balancer still has all controllers in rotation.
func (m *membership) publishReadiness() {
	ready := m.mayServe() && !m.core.degraded.isIsolated() || m.core.degraded.isActive()
	if ready != m.ready || !m.readinessPublished {
		m.ready, m.readinessPublished = ready, true
		m.core.emit(SetReady{Ready: ready})
	}
}

// publishPeerTarget publishes which sibling this controller keeps a link to: the leader.
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

// mayServe reports whether this controller is entitled to serve workers and users: its lease was
// renewed, and its mirror confirmed, less than maxStaleness ago.
//
// This guards against two owners of a machine: a controller that is partitioned from the state service
// must stop serving before its lease expires there and other controllers take its machines over.
func (m *membership) mayServe() bool {
	return m.leaseID != 0 && m.core.now.Monotonic-m.renewedAt < m.core.intervals.maxStaleness && m.core.mirror.IsFresh()
}

// isMember reports whether the current shard map names this process, not only its label.
func (m *membership) isMember() bool {
	shardMap := m.core.records.shardMap
	return shardMap != nil && shardMap.Members[m.core.settings.Label] == m.core.bootID
}

// labelHeldByOther reports whether the current shard map names a process other than boot under a
// label. Until the next shard map, what boot publishes about the label's machines is ignored.
//
// This guards against starting tasks twice after a restart: a process that was restarted before the map
// changed published that it has no machines, and every task that had just been dispatched to its
// former process was considered lost and started a second time.
func (m *membership) labelHeldByOther(label, boot string) bool {
	shardMap := m.core.records.shardMap
	return shardMap != nil && shardMap.Members[label] != "" && shardMap.Members[label] != boot
}

// epoch is the epoch of the current shard map, or 0 if there is no map.
func (m *membership) epoch() uint64 {
	if shardMap := m.core.records.shardMap; shardMap != nil {
		return shardMap.Epoch
	}
	return 0
}

// ownerOf returns the label of the member that owns a machine, by rendezvous hashing, or "" if
// there is no shard map.
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

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
