package core

import (
	"maps"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// The shard map: which controllers are members, each the owner of a share of the machines.
// The leader writes it; each version is an epoch.

// reconcileShardMap writes a new map when the members are not who they should be: those with
// a live key that this leader can hear. If nobody is left whose machines answer, and others
// live that it cannot hear, it lets one of them lead.
//
// Guards against a leader that reaches the state service alone: it kept the map to itself,
// and nothing started, while another reached both the state service and the machines.
func (m *membership) reconcileShardMap() {
	c := m.core
	if m.mapWriteInFlight {
		return
	}
	missing, unheard := m.surveyMembers()
	desired := m.desiredMembers
	idle := len(desired) == 0 && unheard
	if m.stepDownIfUnable(idle) {
		return
	}
	// A map of this node alone would take the machines from those who may well serve them,
	// just before another leads, or before this node knows that it reaches none.
	if idle || unheard && c.shard.machinesSilent() && !c.shard.reachability.Unreachable() {
		return
	}
	if len(desired) == 0 {
		desired[c.settings.Label] = c.bootID
	}
	shardMap := c.records.shardMap
	// A new leader gives the others a moment to call, so that a change of leader is one new
	// map and not several.
	settled := c.now.Monotonic-m.leaderSince > c.intervals.heartbeat
	if !settled && (missing || shardMap == nil && len(desired) < c.settings.Site.InitialSize) {
		return
	}
	if m.epoch() > c.scheduler.epochAtElection && maps.Equal(shardMap.Members, desired) {
		return
	}
	m.writeShardMap(shardMap)
}

// surveyMembers lists in desiredMembers the controllers that should be members. It reports
// whether a live controller is missing among them, and whether one is that did not say itself
// that it reaches no machine.
func (m *membership) surveyMembers() (missing, unheard bool) {
	c := m.core
	clear(m.desiredMembers) // not made anew, as this runs with every batch of commands
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
			unheard = unheard || !c.scheduler.reportsUnreachable(label, node.BootID)
		}
	}
	return missing, unheard
}

// writeShardMap writes the map of the desired members as the epoch after the one in force.
func (m *membership) writeShardMap(inForce *records.ShardMap) {
	c := m.core
	next := records.ShardMap{Epoch: 1, Leader: c.settings.Label, Members: maps.Clone(m.desiredMembers)}
	if inForce != nil {
		next.Epoch = inForce.Epoch + 1
	}
	m.mapWriteInFlight = true
	guards := []protocol.Guard{m.leaderGuard(), c.mirror.Guard(keyShardMap)}
	c.commit(guards, []protocol.Operation{{Put: keyShardMap, Value: next}}, func(d CommitResult) {
		pause := c.intervals.maxStaleness / outcomeChecksPerStaleness
		c.mirror.AwaitOutcome(d.Outcome == Committed, pause, func() { m.mapWriteInFlight = false })
	})
}

// logMembershipChanges notes which controllers are outside the shard map, for those on call.
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
