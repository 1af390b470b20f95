package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/orderedmap"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/reachability"
)

// Numbers that must never repeat hold the epoch in their high bits and a count in the low
// ones, so that no write is needed to draw one.
const (
	// tokenBits are the bits of a fencing token below the epoch.
	tokenBits = 20
	// attemptBits are the bits of an attempt's number below the epoch.
	attemptBits = 28
)

// shard owns the machines that the shard map gives this member: it answers their
// heartbeats, places on them what the leader dispatches to it, and publishes their state
// to the leader.
//
// Nothing is started on a machine whose list is not confirmed, and what may be on a machine
// stays in the shard until the machine's list, or the end of its lease, shows that it is not.
type shard struct {
	core       *Core
	epoch      uint64
	epochSince time.Duration
	isMember   bool // in this epoch
	machines   *orderedmap.Map[*machine]
	// machinesByJob holds the machines that have or had tasks of a job that is not over.
	machinesByJob map[string]*orderedmap.Map[*machine]
	nextCheckAt   time.Duration // when all machines are checked again

	// Placement.
	unplaced             []*taskAttempt // dispatched, no capacity found yet
	capacityChanged      []*machine     // since tasks were last placed
	machinesWithCapacity *orderedmap.Map[*machine]
	placementDue         bool // something may fit that did not fit before
	nextPlacementAt      time.Duration
	expedited            []*machine // have commands that do not wait for a heartbeat

	// Calls to machines.
	lastCallID   uint64
	fencingCalls map[uint64]bool // calls without commands that are under way
	fencingQueue []*machine      // wait for one of these to end
	reachability reachability.Tracker
	// lastHeardMachine is one that was heard when that was last asked.
	lastHeardMachine *machine

	// The link to the leader.
	leaderLink             uint64 // its session, 0: none
	leaderHeardAt          time.Duration
	lastLeaderSeq          uint64 // of the leader's messages over the link
	lastPublishedAt        time.Duration
	fullSnapshotDue        bool
	unpublished            []*machine              // have changed since they were last published
	releasedMachines       []string                // no longer owned, to be published
	returned               []peerproto.TaskAttempt // given back to the leader's queue, to be published
	confirmedCancellations []string                // jobs of which a user was told here that they are cancelled, to be relayed
}

func newShard(c *Core) *shard {
	return &shard{
		core:                 c,
		machines:             orderedmap.New[*machine](),
		machinesByJob:        map[string]*orderedmap.Map[*machine]{},
		machinesWithCapacity: orderedmap.New[*machine](),
		fencingCalls:         map[uint64]bool{},
		reachability:         reachability.Tracker{Lease: c.intervals.workerLease, Heartbeat: c.intervals.heartbeat},
	}
}

// reconcile follows the shard map, checks the machines, places what was dispatched and
// publishes what has changed.
func (s *shard) reconcile() {
	c := s.core
	if !c.mirror.IsReady() {
		return
	}
	s.followEpoch()
	s.followLeadership()
	if !s.isMember {
		s.checkReachability()
		s.publish()
		return
	}
	if c.membership.mayServe() {
		s.checkMachines()
		s.checkReachability()
		s.placeAssigned()
		s.sendExpedited()
	}
	s.publish()
}

// followLeadership connects this shard to the scheduler of its own node while that leads.
func (s *shard) followLeadership() {
	leading := s.core.membership.leading
	switch {
	case leading && s.leaderLink != loopbackLink:
		s.leaderLink, s.fullSnapshotDue, s.lastLeaderSeq = loopbackLink, true, 0
		s.core.scheduler.memberLinkUp(loopbackLink)
	case !leading && s.leaderLink == loopbackLink:
		s.leaderLink = 0
	}
}

// checkMachines checks every machine from time to time. Leases run out between heartbeats
// too, but walking over all machines with every batch of commands would cost too much.
func (s *shard) checkMachines() {
	c := s.core
	if c.now.Monotonic < s.nextCheckAt {
		return
	}
	s.nextCheckAt = c.now.Monotonic + min(c.intervals.maintenance/4, c.intervals.scheduling)
	for _, m := range s.machines.All() {
		s.checkMachine(m)
	}
}

// markChanged notes that the state of a machine has to be published, and that its capacity
// may have changed.
func (s *shard) markChanged(m *machine) {
	s.markCapacityChanged(m)
	if !m.unpublished {
		m.unpublished = true
		s.unpublished = append(s.unpublished, m)
	}
}

// markCapacityChanged notes that the free capacity of a machine may have changed.
func (s *shard) markCapacityChanged(m *machine) {
	m.capacityValid = false
	s.placementDue = true
	if !m.capacityChanged {
		m.capacityChanged = true
		s.capacityChanged = append(s.capacityChanged, m)
	}
}

// owns reports whether a machine that was noted earlier still is this shard's.
func (s *shard) owns(m *machine) bool { return s.machines.Get(m.name) == m }

// expedite has a machine's commands sent without waiting for its next heartbeat.
func (s *shard) expedite(m *machine) {
	if !m.expedited {
		m.expedited = true
		s.expedited = append(s.expedited, m)
	}
}

// expediteJob expedites the machines that may have tasks of a job.
func (s *shard) expediteJob(jobID string) {
	machines := s.machinesByJob[jobID]
	if machines == nil {
		return
	}
	for _, m := range machines.All() {
		if s.owns(m) {
			s.expedite(m)
		}
	}
}

// sendExpedited sends the commands of the expedited machines that can be called now.
func (s *shard) sendExpedited() {
	var later []*machine
	for _, m := range s.expedited {
		switch {
		case !m.expedited || !s.owns(m):
		case m.callInFlight == 0 && m.isTrusted():
			s.sendCommands(m)
		default:
			later = append(later, m)
		}
	}
	s.expedited = later
}
