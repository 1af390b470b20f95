package core

import (
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// Leader election: the leader is the controller whose lease holds the leader key in the state
// service.

// outcomeChecksPerStaleness: after a write that got no response, the controller waits for maxStaleness
// divided by this number before it reads the mirror. It therefore learns the outcome long before it
// must stop serving.
const outcomeChecksPerStaleness = 16

// followLeader updates whether this controller leads, as the leader key in the mirror shows it.
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

// registerNode writes this controller's node key unless the key already names this process, and
// reports whether it does so.
//
// The write is guarded by the version of the key. Without the guard a delayed write of the former
// process with this label replaced the key of the new process, whose machines then belonged to
// other controllers until it wrote its key again.
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

// standForElection writes the leader key if no controller holds it, or if a former process of this
// controller does. It reports whether this controller has written the key, or abstains.
//
// A leader that was restarted takes its own key over at once: its former process has certainly
// ended, and the writes that the former process still has in flight are guarded by the version of
// the key that this write replaces, so that they have no effect.
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

// abstainsFromElection reports whether this controller leaves a vacant leader key to other
// controllers for a limited time: it has just stepped down, or it reaches no machine and another
// controller may reach some.
func (m *membership) abstainsFromElection() bool {
	c := m.core
	othersAlive, vacantFor := len(c.records.nodes) > 1, c.now.Monotonic-m.leaderSeenAt
	return m.stepdown.ShouldAbstain(c.now.Monotonic, othersAlive, vacantFor, c.intervals.memberLease) ||
		c.shard.reachability.Unreachable() && othersAlive && vacantFor < c.intervals.maintenance
}

// stepDownIfUnable deletes the leader key once this leader has been unable to serve any machine for
// a maintenance period, and reports whether it does so.
func (m *membership) stepDownIfUnable(cannotServe bool) bool {
	c := m.core
	if !m.stepdown.ShouldStepDown(c.now.Monotonic, cannotServe, c.intervals.maintenance) || m.keyWriteInFlight {
		return false
	}
	c.logInfo("leader reaches no machine and no member that does, stepping down")
	m.stepdown.SteppedDown(c.now.Monotonic)
	m.writeKey(m.leaderGuard(), protocol.Operation{Delete: keyLeader})
	return true
}

// leaderGuard is the precondition that this controller still leads when a write is applied.
func (m *membership) leaderGuard() protocol.Guard { return m.core.mirror.Guard(keyLeader) }

// writeKey writes the node key or the leader key. The next write waits until the mirror shows the
// outcome of this one.
func (m *membership) writeKey(guard protocol.Guard, op protocol.Operation) {
	c := m.core
	m.keyWriteInFlight = true
	c.commit([]protocol.Guard{guard}, []protocol.Operation{op}, func(result CommitResult) {
		if result.Outcome == CommitRejected {
			m.leaseID, m.keyWriteInFlight = 0, false // the lease has expired
			return
		}
		pause := c.intervals.maxStaleness / outcomeChecksPerStaleness
		c.mirror.AwaitOutcome(result.Outcome.Decided(), pause, func() { m.keyWriteInFlight = false })
	})
}
