package simulation

import (
	"maps"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// NetworkFaults are the faults of the whole network. Those of single paths are set with
// Cluster.SetLink.
type NetworkFaults struct {
	// Latency is the usual one-way latency.
	Latency time.Duration
	// PeerLatency is added to every message between controllers, as by a busy node that is
	// slow to read.
	PeerLatency time.Duration
	// PeersRefuseConnections makes controllers refuse one another's new connections.
	PeersRefuseConnections bool
	// Loss is the share of calls whose request or answer is lost, each by itself.
	Loss float64
	// DuplicateShare is the share of requests that arrive a second time, up to MaxDuplicateDelay
	// after the first.
	DuplicateShare    float64
	MaxDuplicateDelay time.Duration
}

// StoreFaults are the faults of the state service.
type StoreFaults struct {
	// Down is an outage: every request is refused.
	Down bool
	// RefusedNodes are nodes whose requests alone are refused.
	RefusedNodes map[string]bool
	// CompactedNodes are nodes whose next watch is told that its revision has been compacted.
	CompactedNodes map[string]bool
	// DelayedCommitShare is the share of transactions that get no answer and are applied
	// from MinCommitDelay up to MaxCommitDelay afterwards, at once if MaxCommitDelay is 0.
	DelayedCommitShare float64
	MinCommitDelay     time.Duration
	MaxCommitDelay     time.Duration
	// DelayedCommitPrefix limits that to transactions that change a key with this prefix, empty: all.
	DelayedCommitPrefix string
	// ResponseDelay is added to the time that every answer takes.
	ResponseDelay time.Duration
	// LimitsLowered puts the announced lower limits in force.
	LimitsLowered bool
}

// CloudFaults are the faults of the cloud.
type CloudFaults struct {
	// Down is an outage: every request is refused.
	Down bool
	// Capacity is how many machines there are of a type, or of a type in a zone ("box a");
	// absent: any number.
	Capacity map[string]int
	// StuckBoots is how many of the next machines that are created stay booting for ever.
	StuckBoots int
	// BootFactor is the factor by which boots are slower, 0: none.
	BootFactor float64
	// InstantBoot has machines run within two seconds.
	InstantBoot bool
}

// WorkerFaults are the faults of a machine and its worker.
type WorkerFaults struct {
	// Faulty makes every task fail that it starts.
	Faulty bool
	// Hung makes it do nothing until it resumes; its lease expires all the same.
	Hung bool
	// OutboundBlocked makes it open no connection to a controller, while it still serves theirs.
	OutboundBlocked bool
	// SlowFactor is the factor by which its tasks take longer, 0: none.
	SlowFactor float64
	// NoticeS is the notice, in seconds, of the cloud that takes it back, nil: none.
	NoticeS *float64
}

// retainedHeartbeatDelaysMS are the times after a change of the leader at which retained heartbeats
// arrive, in milliseconds. They arrive again and again while the new leader takes over, for
// it reads no heartbeat until it knows which machines are its own.
var retainedHeartbeatDelaysMS = []time.Duration{0, 60, 130, 250, 500, 1000, 2000}

// leaderPollInterval is how often the retained heartbeats' release polls for a new leader.
const leaderPollInterval = 5 * time.Millisecond

// retainHeartbeat keeps a heartbeat for the next leader, if that is switched on.
func (c *Cluster) retainHeartbeat(report protocol.Heartbeat) {
	if _, retained := c.retainedHeartbeats[report.Machine]; retained || !c.RetainHeartbeats {
		return
	}
	if len(c.retainedHeartbeats) == 0 {
		c.leaderAtRetention = c.currentLeader()
		c.releaseHeartbeatsAtFailover()
	}
	c.retainedHeartbeats[report.Machine] = report
}

// releaseHeartbeatsAtFailover delivers the retained heartbeats to all controllers, with latencies that
// mix their order, once another process leads.
func (c *Cluster) releaseHeartbeatsAtFailover() {
	leader := c.currentLeader()
	if leader == "" || leader == c.leaderAtRetention {
		c.After(leaderPollInterval, c.releaseHeartbeatsAtFailover)
		return
	}
	retained := c.retainedHeartbeats
	c.retainedHeartbeats = map[string]protocol.Heartbeat{}
	for _, machine := range slices.Sorted(maps.Keys(retained)) {
		for _, node := range c.Nodes {
			c.deliverRetainedHeartbeat(node, retained[machine])
		}
	}
}

func (c *Cluster) deliverRetainedHeartbeat(node *Node, report protocol.Heartbeat) {
	for _, delay := range retainedHeartbeatDelaysMS {
		c.After(delay*time.Millisecond+c.networkDelay(), func() {
			node.Request(func(id core.RequestID) core.Command { return core.Heartbeat{ID: id, Report: report} }, func(core.Reply) {})
		})
	}
}

// Partition partitions two endpoints from one another. With hold, packets are kept and delivered
// when the partition is healed.
func (c *Cluster) Partition(a, b string, hold bool) {
	if hold {
		c.SetLinks(a, b, Held)
	} else {
		c.SetLinks(a, b, Dropped)
	}
}

// Heal heals a partition and lets held packets go, in order.
func (c *Cluster) Heal(a, b string) { c.SetLinks(a, b, Link{}) }

// PartitionZone partitions a zone from the rest or, if other names a zone, from that one. The
// regional services are in no zone.
func (c *Cluster) PartitionZone(zone, other string, hold bool) {
	c.Partition(zoneEndpoint(zone), zoneEndpoint(other), hold)
}

// HealZone heals such a partition.
func (c *Cluster) HealZone(zone, other string) { c.Heal(zoneEndpoint(zone), zoneEndpoint(other)) }

// ForceStart makes the worker start a task that nobody commanded, for tests of the checker.
func (w *Worker) ForceStart(task string, attempt uint64) {
	w.execute([]protocol.Command{{Kind: protocol.CommandStart, Task: task, Attempt: attempt}})
}

// Reclaim has the cloud take the machine back after a notice, or with none.
func (w *Worker) Reclaim(notice time.Duration) {
	if notice > 0 {
		seconds := notice.Seconds()
		w.NoticeS = &seconds
		w.statusChanged()
	}
	w.cluster.After(notice, func() { w.cluster.Cloud.Remove(w.Info.Name) })
}

// Outage makes the store refuse everybody for a while; leases are frozen and have their full
// time afterwards.
func (s *Store) Outage(duration time.Duration) {
	s.Down = true
	s.cluster.After(duration, func() {
		s.Down = false
		for _, id := range slices.Sorted(maps.Keys(s.state.LeaseTTLs())) {
			s.armLease(id)
		}
		s.wakeWatches()
	})
}

// DeleteKey removes a key without the knowledge of any controller.
func (s *Store) DeleteKey(key string) {
	s.commitDirectly(&kvstore.Txn{Then: []kvstore.Op{{Delete: key}}})
}

// ReopenJob puts a job back to where it was when it was accepted, without the knowledge of any
// controller.
func (s *Store) ReopenJob(spec protocol.Job) {
	s.commitDirectly(&kvstore.Txn{Then: []kvstore.Op{putJob(jobKeyPrefix, queuedRecord(spec))}})
}

// queuedRecord is the record of a job that was just accepted.
func queuedRecord(spec protocol.Job) records.Job {
	return records.Job{Spec: spec, State: protocol.JobQueued, SubmittedAt: wallClockOffset}
}

// Pause pauses the process without ending it: the effects that it was about to perform
// are performed when it resumes, and commands pile up meanwhile.
func (n *Node) Pause(duration time.Duration) {
	n.paused = true
	n.cluster.After(duration, n.ifSameProcess(func() {
		n.paused = false
		effects := n.pendingEffects
		n.pendingEffects = nil
		n.performAll(effects)
		n.wakeScheduled = false
		n.wake(0)
	}))
}

// Crash ends the process, and starts it again after a while if restartAfter is above 0.
func (n *Node) Crash(restartAfter time.Duration) {
	n.incarnation++
	n.Core, n.Ready = nil, false
	for _, link := range n.cluster.sortedPeerLinks() {
		if link.dialer == n || link.acceptor == n {
			link.close()
		}
	}
	if restartAfter > 0 {
		n.cluster.After(restartAfter, n.Start)
	}
}
