package core

import (
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// Who leads: the controller whose lease holds the leader key in the state service.

// outcomeChecksPerStaleness paces the looks at the mirror after a write that got no answer: what
// became of it is known long before this node may no longer serve.
const outcomeChecksPerStaleness = 16

// followLeader takes note of whether this node leads.
func (m *membership) followLeader() {
	c := m.core
	leading := c.records.leader != nil && c.records.leader.BootID == c.bootID
	if leading == m.leading {
		return
	}
	m.leading = leading
	if leading {
		m.leaderSince = c.now.Monotonic
		clear(m.absentSince)
		m.observedMap = nil
		c.logInfo("became leader", "revision", c.mirror.Version(keyLeader))
	} else {
		c.logInfo("lost leadership")
	}
	c.scheduler.leadershipChanged(leading)
}

// registerNode writes this node's key if the key does not name this process, and reports
// whether it does so.
//
// The version of the key guards against a write of this label's former process that is
// carried out late: it took the place of the new one, whose machines were others' until it
// wrote again.
func (m *membership) registerNode() bool {
	c := m.core
	if c.records.nodes[c.settings.Label].BootID == c.bootID {
		return false
	}
	key := keyNode + c.settings.Label
	node := records.Node{BootID: c.bootID, Level: records.FormatLevel}
	m.writeKey(c.mirror.Guard(key), protocol.Operation{Put: key, Value: node, Lease: m.leaseID})
	return true
}

// standForElection takes the leader key if nobody has it, or a former process of this node,
// and reports whether this node waits for the outcome or stays back.
//
// A leader that was restarted takes its own key over at once: its former process is surely
// dead, and whatever that one still has in flight is guarded by the version that this write
// ends.
func (m *membership) standForElection() bool {
	c := m.core
	leader := c.records.leader
	if leader != nil {
		m.leaderSeenAt = c.now.Monotonic
	}
	if leader == nil && m.abstainsFromElection() {
		return true
	}
	if leader != nil && (leader.Label != c.settings.Label || leader.BootID == c.bootID) {
		return false
	}
	record := records.Leader{Label: c.settings.Label, BootID: c.bootID}
	m.writeKey(c.mirror.Guard(keyLeader), protocol.Operation{Put: keyLeader, Value: record, Lease: m.leaseID})
	return true
}

// abstainsFromElection reports whether this node leaves the leader's place to others for a while: it has
// just stepped down, or one who reaches machines should lead.
func (m *membership) abstainsFromElection() bool {
	c := m.core
	others, vacant := len(c.records.nodes) > 1, c.now.Monotonic-m.leaderSeenAt
	return m.stepdown.ShouldAbstain(c.now.Monotonic, others, vacant, c.intervals.memberLease) ||
		c.shard.reachability.Unreachable() && others && vacant < c.intervals.maintenance
}

// stepDownIfUnable gives the leader key up once this leader has been able to serve nobody for a
// while, and reports whether it does so.
func (m *membership) stepDownIfUnable(idle bool) bool {
	c := m.core
	if !m.stepdown.ShouldStepDown(c.now.Monotonic, idle, c.intervals.maintenance) || m.keyWriteInFlight {
		return false
	}
	c.logInfo("leader reaches no machine and no member that does, stepping down")
	m.stepdown.SteppedDown(c.now.Monotonic)
	m.writeKey(m.leaderGuard(), protocol.Operation{Delete: keyLeader})
	return true
}

// leaderGuard ties a write to our leadership.
func (m *membership) leaderGuard() protocol.Guard { return m.core.mirror.Guard(keyLeader) }

// writeKey writes the node key or the leader key. The next write waits until the mirror shows
// what became of this one.
func (m *membership) writeKey(guard protocol.Guard, op protocol.Operation) {
	c := m.core
	m.keyWriteInFlight = true
	c.commit([]protocol.Guard{guard}, []protocol.Operation{op}, func(d CommitResult) {
		if d.Outcome == CommitRejected {
			m.leaseID, m.keyWriteInFlight = 0, false // the lease has expired
			return
		}
		pause := c.intervals.maxStaleness / outcomeChecksPerStaleness
		c.mirror.AwaitOutcome(d.Outcome.Decided(), pause, func() { m.keyWriteInFlight = false })
	})
}
