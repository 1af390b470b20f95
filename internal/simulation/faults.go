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

// NetworkFaults are the faults of the whole network. Faults of single paths are set with
// Cluster.SetLink.
type NetworkFaults struct {
	// Latency is the mean one-way latency; that of each packet is between half of it and one and a
	// half.
	Latency time.Duration
	// PeerLatency is added to the latency of every message between controllers. It simulates busy
	// nodes that are slow to read their messages.
	PeerLatency time.Duration
	// PeersRefuseConnections makes controllers refuse new connections from each other.
	PeersRefuseConnections bool
	// Loss is the share of requests that are lost, and independently that of responses. Messages
	// between controllers are not lost by it.
	Loss float64
	// DuplicateShare is the share of requests that arrive twice. The duplicate arrives twice the
	// Latency plus a random time of at most MaxDuplicateDelay after the request was sent, and its
	// response is dropped.
	DuplicateShare    float64
	MaxDuplicateDelay time.Duration
}

// StoreFaults are the faults of the state service.
type StoreFaults struct {
	// Down is an outage: every request is refused.
	Down bool
	// RefusedNodes are the nodes whose requests are refused while those of the others are served.
	RefusedNodes map[string]bool
	// CompactedNodes are the nodes whose next watch gets the response that its revision has been
	// compacted.
	CompactedNodes map[string]bool
	// DelayedCommitShare is the share of transactions that get no response and are applied between
	// MinCommitDelay and MaxCommitDelay later, or at once if MaxCommitDelay is 0.
	DelayedCommitShare float64
	MinCommitDelay     time.Duration
	MaxCommitDelay     time.Duration
	// DelayedCommitPrefix limits DelayedCommitShare to transactions that change a key with this
	// prefix, empty: to all that change a key.
	DelayedCommitPrefix string
	// ResponseDelay is added to the response time of every request.
	ResponseDelay time.Duration
	// LimitsLowered makes the store enforce the lower limits that the settings announce.
	LimitsLowered bool
}

// CloudFaults are the faults of the cloud.
type CloudFaults struct {
	// Down is an outage: every request is refused.
	Down bool
	// Capacity is how many machines can exist at the same time, by type ("box") or by type and zone
	// ("box a"). Those without an entry are not limited.
	Capacity map[string]int
	// StuckBoots is how many of the machines created next on request never finish booting.
	StuckBoots int
	// BootFactor is the factor by which boots take longer; below 1 it has no effect.
	BootFactor float64
	// InstantBoot makes machines finish booting within two seconds.
	InstantBoot bool
}

// WorkerFaults are the faults of a machine and its worker.
type WorkerFaults struct {
	// Faulty makes every task fail that the worker starts.
	Faulty bool
	// Hung makes the worker do nothing until it resumes. Its lease expires nevertheless.
	Hung bool
	// OutboundBlocked keeps the worker from opening connections to controllers. It still serves the
	// connections that controllers open.
	OutboundBlocked bool
	// SlowFactor is the factor by which the worker's tasks take longer; below 1 it has no effect.
	SlowFactor float64
	// NoticeS is the notice, in seconds, that the cloud gave before it terminates the machine, nil:
	// it gave none.
	NoticeS *float64
}

// retainedHeartbeatDelaysMS are the times after a change of the leader at which retained heartbeats
// are sent, in milliseconds. They are sent several times while the new leader takes over, because
// it does not process heartbeats until it knows which machines belong to it.
var retainedHeartbeatDelaysMS = []time.Duration{0, 60, 130, 250, 500, 1000, 2000}

// leaderPollInterval is how often releaseHeartbeatsAtFailover checks for a new leader.
const leaderPollInterval = 5 * time.Millisecond

// retainHeartbeat keeps the first heartbeat of each machine for delivery after the next failover, if
// RetainHeartbeats is set. The worker sends it as usual too.
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

// releaseHeartbeatsAtFailover waits until another process leads and then delivers the retained
// heartbeats to all controllers, with latencies that change their order.
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

// Partition cuts the network between two endpoints in both directions. If hold is set, packets are
// kept and delivered when the partition is healed; otherwise they are lost.
func (c *Cluster) Partition(a, b string, hold bool) {
	if hold {
		c.SetLinks(a, b, Held)
	} else {
		c.SetLinks(a, b, Dropped)
	}
}

// Heal ends a partition of two endpoints and sends the packets that it held once more, in their
// original order. Each gets a new random latency, so packets of different calls may arrive in
// another order.
func (c *Cluster) Heal(a, b string) { c.SetLinks(a, b, Link{}) }

// PartitionZone partitions a zone from the zone other or, if other is empty, from everything
// outside the zone. That includes the regional services, which are in no zone.
func (c *Cluster) PartitionZone(zone, other string, hold bool) {
	c.Partition(zoneEndpoint(zone), zoneEndpoint(other), hold)
}

// HealZone ends a partition made by PartitionZone with the same zones.
func (c *Cluster) HealZone(zone, other string) { c.Heal(zoneEndpoint(zone), zoneEndpoint(other)) }

// ForceStart makes the worker start an attempt that no controller commanded, for tests of the
// checker.
func (w *Worker) ForceStart(task string, attempt uint64) {
	w.execute([]protocol.Command{{Kind: protocol.CommandStart, Task: task, Attempt: attempt}})
}

// Reclaim makes the cloud delete the machine when the period of notice has passed. If notice is 0,
// the cloud deletes it without notice.
func (w *Worker) Reclaim(notice time.Duration) {
	if notice > 0 {
		seconds := notice.Seconds()
		w.NoticeS = &seconds
		w.statusChanged()
	}
	w.cluster.After(notice, func() { w.cluster.Cloud.Remove(w.Info.Name) })
}

// Outage makes the store refuse all requests for the given duration. No lease expires during the
// outage, and every lease has its full duration again when it ends.
func (s *Store) Outage(duration time.Duration) {
	s.Down = true
	s.cluster.After(duration, func() {
		s.Down = false
		for _, id := range slices.Sorted(maps.Keys(s.state.LeaseTTLs())) {
			s.armLease(id)
		}
		s.finishChangedWatches()
	})
}

// DeleteKey deletes a key directly in the store, without a request of a controller.
func (s *Store) DeleteKey(key string) {
	s.commitDirectly(&kvstore.Txn{Then: []kvstore.Op{{Delete: key}}})
}

// ReopenJob writes the record of a just accepted job directly into the store, without a request of a
// controller. A job that was done is then queued again.
func (s *Store) ReopenJob(spec protocol.Job) {
	s.commitDirectly(&kvstore.Txn{Then: []kvstore.Op{putJob(jobKeyPrefix, queuedRecord(spec))}})
}

// queuedRecord returns the record of a job that was just accepted.
func queuedRecord(spec protocol.Job) records.Job {
	return records.Job{Spec: spec, State: protocol.JobQueued, SubmittedAt: wallClockOffset}
}

// Pause pauses the process for the given duration without ending it. The core still applies commands
// until it returns effects. These are performed when the process resumes, and commands that arrive
// after that step are queued until then.
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

// Crash ends the process and breaks its connections to other controllers. If restartAfter is above
// 0, a new process starts after that time.
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
