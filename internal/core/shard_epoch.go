package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/records"
)

// How a shard follows the epochs of the shard map, and which machines it owns.

// followEpoch enters the epoch of the shard map in force, if that is another one.
func (s *shard) followEpoch() {
	if epoch := s.core.membership.epoch(); epoch != s.epoch {
		s.enterEpoch(epoch)
	}
}

// enterEpoch drops everything that was dispatched but not sent, and fences every machine
// that is ours now: until it answers with the new token its list is unconfirmed.
//
// Guards against a start by the former owner that arrives after we have looked.
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

// resetMachine begins an epoch for a machine that stays or becomes ours.
func (s *shard) resetMachine(m *machine, ownedBefore bool) {
	c := s.core
	m.resetForEpoch(s.epoch, ownedBefore)
	s.retainAttempts(m, func(a *taskAttempt) bool { return a.phase > phaseQueued })
	if !m.leaseExpired() {
		// Whoever owned it before may have answered it until its mirror was too old to.
		m.leaseRenewedAt = max(m.leaseRenewedAt, c.now.Monotonic+c.intervals.maxStaleness)
	}
	m.maybeRenewedUntil = m.leaseRenewedAt
	m.fullStateDue = true
	s.markChanged(m)
}

// adoptRegistered takes note of a machine of the registry, and owns it if the shard map
// gives it to this member.
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

// addMachine begins to own a machine.
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

// releaseMachine ceases to own a machine.
func (s *shard) releaseMachine(m *machine) {
	s.machines.Delete(m.name)
	s.machinesWithCapacity.Delete(m.name)
	s.releasedMachines = append(s.releasedMachines, m.name)
}
