package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/orderedmap"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/reachability"
)

// Numbers that must never repeat consist of the epoch in the high bits and a counter in the low
// bits, so that generating one needs no write to the state service.
const (
	// tokenBits is the number of bits of a fencing token below the epoch.
	tokenBits = 20
	// attemptBits is the number of bits of an attempt number below the epoch.
	attemptBits = 28
)

// shard owns the machines that the shard map assigns to this member: it responds to their
// heartbeats, places the attempts that the leader dispatches to it on them, and publishes their
// state to the leader.
//
// Invariants: no attempt is started on a machine whose task list is not confirmed; an attempt that
// may be on a machine stays in the shard until the machine's task list or the expiry of its lease
// shows that it is not there.
type shard struct {
	core       *Core
	epoch      uint64
	epochSince time.Duration
	isMember   bool // the shard map of this epoch names this process
	machines   *orderedmap.Map[*machine]
	// machinesByJob holds, for each job that is not final, the machines that have or had tasks of it.
	machinesByJob map[string]*orderedmap.Map[*machine]
	nextCheckAt   time.Duration // when all machines are checked again

	// Placement.
	unplaced             []*taskAttempt // dispatched to this shard, no capacity found yet
	capacityChanged      []*machine     // free capacity may have changed since tasks were last placed
	machinesWithCapacity *orderedmap.Map[*machine]
	placementDue         bool // a task may fit now that did not fit before
	nextPlacementAt      time.Duration
	expedited            []*machine // their commands do not wait for the next heartbeat

	// Calls to machines.
	lastCallID   uint64
	fencingCalls map[uint64]bool // IDs of calls without commands that are in flight
	fencingQueue []*machine      // machines to call as soon as one of fencingCalls ends
	reachability reachability.Tracker
	// lastHeardMachine is the machine that the last search for a recently heard machine found.
	lastHeardMachine *machine

	// The link to the leader.
	leaderLink             uint64 // session of the link, 0: none
	leaderHeardAt          time.Duration
	lastLeaderSeq          uint64 // sequence number of the leader's newest message over the link
	lastPublishedAt        time.Duration
	fullSnapshotDue        bool
	unpublished            []*machine              // changed since they were last published
	releasedMachines       []string                // no longer owned, to be published
	returned               []peerproto.TaskAttempt // returned to the leader's queue, to be published
	confirmedCancellations []string                // jobs whose cancellation this controller confirmed to a user, to be relayed
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

// reconcile follows the shard map, checks the machines, places dispatched attempts and publishes
// changes to the leader.
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

// followLeadership connects this shard to its own controller's scheduler while this controller
// leads.
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

// checkMachines checks every machine periodically, since leases also expire between heartbeats.
// Iterating over all machines with every batch of commands would cost too much.
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

// markChanged records that the state of a machine has to be published, and that its free capacity
// may have changed.
func (s *shard) markChanged(m *machine) {
	s.markCapacityChanged(m)
	if !m.unpublished {
		m.unpublished = true
		s.unpublished = append(s.unpublished, m)
	}
}

func (s *shard) markCapacityChanged(m *machine) {
	m.capacityValid = false
	s.placementDue = true
	if !m.capacityChanged {
		m.capacityChanged = true
		s.capacityChanged = append(s.capacityChanged, m)
	}
}

// owns reports whether this shard still owns the machine m, a pointer to which was stored earlier.
// It no longer does if the machine has been released since, even if a machine of the same name was
// added again, which is then another object.
func (s *shard) owns(m *machine) bool { return s.machines.Get(m.name) == m }

// expedite causes a machine's commands to be sent without waiting for its next heartbeat.
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

// sendExpedited sends commands to the expedited machines whose task list is confirmed and that have
// no call in flight. The others stay expedited.
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
