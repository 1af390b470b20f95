package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/records"
)

// How a shard follows the epochs of the shard map, and which machines it owns.

// followEpoch enters the epoch of the current shard map if the shard is in a different one.
func (s *shard) followEpoch() {
	if epoch := s.core.membership.epoch(); epoch != s.epoch {
		s.enterEpoch(epoch)
	}
}

// enterEpoch drops all attempts that were dispatched but not sent to a machine, and fences every
// machine that this shard owns now: a machine's task list is unconfirmed until a message of the
// machine carries the new token.
//
// This guards against a start command of the former owner that reaches a machine after the new owner has
// read the machine's task list.
func (s *shard) enterEpoch(epoch uint64) {
	c := s.core
	ownedBefore := s.isMember && epoch == s.epoch+1
	s.epoch, s.isMember = epoch, c.membership.isMember()
	s.unplaced, s.returned, s.fullSnapshotDue = nil, nil, true
	s.reachability.EnterEpoch()
	s.epochSince, s.nextCheckAt = c.now.Monotonic, 0
	for name, record := range c.records.machineRecords.All() {
		s.adoptRegistered(name, record)
	}
	for name, m := range s.machines.All() {
		if !s.isMember || c.membership.ownerOf(name) != c.settings.Label {
			s.releaseMachine(m)
			continue
		}
		s.resetMachine(m, ownedBefore)
	}
	if shardMap := c.records.shardMap; shardMap != nil {
		c.logInfo("new shard map", "epoch", epoch, "leader", shardMap.Leader,
			"members", sortedKeys(shardMap.Members), "machines", s.machines.Len())
	}
}

// resetMachine begins an epoch for a machine that this shard still owns, or owns from now on.
func (s *shard) resetMachine(m *machine, ownedBefore bool) {
	c := s.core
	m.resetForEpoch(s.epoch, ownedBefore)
	s.retainAttempts(m, func(a *taskAttempt) bool { return a.phase > phaseQueued })
	if !m.leaseExpired() {
		// A former owner may go on renewing the worker's lease until its mirror becomes stale,
		// which is at most maxStaleness from now.
		m.leaseRenewedAt = max(m.leaseRenewedAt, c.now.Monotonic+c.intervals.maxStaleness)
	}
	m.maybeRenewedUntil = m.leaseRenewedAt
	m.fullStateDue = true
	s.markChanged(m)
}

// adoptRegistered records that a machine is in the machine registry, and adds it to the shard if
// the shard map assigns it to this member.
func (s *shard) adoptRegistered(name string, record *records.Machine) {
	if m := s.machines.Get(name); m != nil {
		m.registered = true
		s.markCapacityChanged(m)
		return
	}
	if !s.isMember || s.core.membership.ownerOf(name) != s.core.settings.Label {
		return
	}
	m := s.addMachine(name)
	m.addr, m.typeName, m.zone, m.spot = record.Addr, record.Type, record.Zone, record.Spot
	m.leaseRenewedAt += s.core.intervals.maxStaleness
	m.maybeRenewedUntil = m.leaseRenewedAt
	m.registered = true
}

// addMachine adds a machine to those that this shard owns, with an unconfirmed task list.
func (s *shard) addMachine(name string) *machine {
	now := s.core.now.Monotonic
	m := &machine{
		name:              name,
		fullStateDue:      true,
		token:             s.epoch << tokenBits,
		minToken:          s.epoch << tokenBits,
		lastHeardAt:       now,
		leaseRenewedAt:    now,
		maybeRenewedUntil: now + s.core.intervals.maxStaleness,
		backoffUntil:      map[string]time.Duration{},
	}
	s.machines.Set(name, m)
	s.markChanged(m)
	return m
}

// releaseMachine removes a machine from those that this shard owns. The next message to the leader
// lists it as released, or is a full snapshot without it.
func (s *shard) releaseMachine(m *machine) {
	s.machines.Delete(m.name)
	s.machinesWithCapacity.Delete(m.name)
	s.releasedMachines = append(s.releasedMachines, m.name)
}
