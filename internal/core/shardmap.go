package core

import (
	"maps"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// The shard map names the controllers that are members; each owns a share of the machines. The
// leader writes the map, and each version of it is an epoch.

// reconcileShardMap writes a new map when the members differ from those that should be: the
// controllers with a live node key that reach machines and, except the leader itself, have a live
// link to it. If there is none, and other live controllers are disconnected from this leader, it
// steps down so that one of them can lead.
//
// This guards against a leader that reaches nothing but the state service: it stayed the only member of
// the map, and no task started, while another controller reached both the state service and the
// machines.
func (m *membership) reconcileShardMap() {
	c := m.core
	if m.mapWriteInFlight {
		return
	}
	missing, disconnected := m.surveyMembers()
	desired := m.desiredMembers
	cannotServe := len(desired) == 0 && disconnected
	if m.stepDownIfUnable(cannotServe) {
		return
	}
	// A map with this controller as its only member would take the machines from controllers that
	// may be able to serve them, just before another controller leads, or before this one knows
	// that it reaches no machine.
	if cannotServe || disconnected && c.shard.machinesSilent() && !c.shard.reachability.Unreachable() {
		return
	}
	if len(desired) == 0 {
		desired[c.settings.Label] = c.bootID
	}
	shardMap := c.records.shardMap
	// A new leader waits up to one heartbeat period for the others to connect, so that a change
	// of leader causes one new map and not several.
	electionSettled := c.now.Monotonic-m.leaderSince > c.intervals.heartbeat
	if !electionSettled && (missing || shardMap == nil && len(desired) < c.settings.Site.InitialControllers) {
		return
	}
	if m.epoch() > c.scheduler.epochAtElection && maps.Equal(shardMap.Members, desired) {
		return
	}
	m.writeShardMap(shardMap)
}

// surveyMembers sets desiredMembers to the controllers that should be members. missing reports
// whether another live controller is not among them; disconnected reports whether one of those has
// no live link to this leader, and so cannot have reported over it that it reaches no machine.
func (m *membership) surveyMembers() (missing, disconnected bool) {
	c := m.core
	clear(m.desiredMembers) // reused, since this runs with every batch of commands
	for label, node := range c.records.nodes {
		switch {
		case label == c.settings.Label:
			if !c.shard.reachability.Unreachable() || len(c.records.nodes) == 1 {
				m.desiredMembers[label] = node.BootID
			}
		case c.scheduler.reportsReachable(label, node.BootID):
			m.desiredMembers[label] = node.BootID
		default:
			missing = true
			disconnected = disconnected || !c.scheduler.reportsUnreachable(label, node.BootID)
		}
	}
	return missing, disconnected
}

// writeShardMap writes a map of the desired members as the epoch after that of the current map.
func (m *membership) writeShardMap(current *records.ShardMap) {
	c := m.core
	next := records.ShardMap{Epoch: 1, Leader: c.settings.Label, Members: maps.Clone(m.desiredMembers)}
	if current != nil {
		next.Epoch = current.Epoch + 1
	}
	m.mapWriteInFlight = true
	guards := []protocol.Guard{m.leaderGuard(), c.mirror.Guard(keyShardMap)}
	c.commit(guards, []protocol.Operation{{Put: keyShardMap, Value: next}}, func(result CommitResult) {
		pause := c.intervals.maxStaleness / outcomeChecksPerStaleness
		c.mirror.AwaitOutcome(result.Outcome == Committed, pause, func() { m.mapWriteInFlight = false })
	})
}

// logMembershipChanges logs, for the operators on call, which controllers have left or rejoined the
// shard map.
func (m *membership) logMembershipChanges() {
	c := m.core
	shardMap := c.records.shardMap
	if shardMap == nil || shardMap == m.observedMap {
		return
	}
	m.observedMap = shardMap
	for _, label := range c.controllerLabels {
		_, isMember := shardMap.Members[label]
		since, wasAbsent := m.absentSince[label]
		switch {
		case !isMember && !wasAbsent:
			m.absentSince[label] = c.now.Monotonic
			c.logInfo("controller left the shard map", "controller", label)
		case isMember && wasAbsent:
			delete(m.absentSince, label)
			c.logInfo("controller rejoined the shard map", "controller", label, "away", c.now.Monotonic-since)
		}
	}
}
