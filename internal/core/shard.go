package core

import (
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/records"
)

// Bits of a token and of an attempt below the epoch.
const (
	tokenBits   = 20
	attemptBits = 28
)

// shard owns the machines that the map gives this member.
type shard struct {
	core                   *Core
	epoch                  uint64
	isMember               bool // a member in this epoch
	machines               *orderedMap[*machine]
	unpublished            []*machine            // their pictures are due to the leader
	expedited              []*machine            // have commands that should not wait for a report
	releasedMachines       []string              // no longer looked after, to be told
	nextCheckAt            time.Duration         // when every machine's clock is looked at again
	capacityChanged        []*machine            // may have room now, or none any more
	machinesWithCapacity   *orderedMap[*machine] // take new tasks and have room left, but for what is touched
	placementDue           bool                  // there may be room that assigned tasks have not been held against
	nextPlacementAt        time.Duration
	unplaced               []*taskAttempt                   // dispatched, no room found yet
	machinesByJob          map[string]*orderedMap[*machine] // by job: machines that have or had its tasks
	returned               []peerproto.TaskAttempt
	confirmedCancellations []string // jobs of which this node has told a user that they are cancelled, to be passed on
	leaderLink             uint64   // to the leader, 0: none
	linkName               string
	fullSnapshotDue        bool // the leader needs the whole picture
	lastPublishedAt        time.Duration
	leaderHeardAt          time.Duration
	lastLeaderSeq          uint64 // of the leader's messages over the link
	lastCallID             uint64
	fencingCalls           map[uint64]bool // the empty /do calls under way
	fencingQueue           []*machine      // wait for one of these to end
	reachability           reachability
	epochSince             time.Duration // of this epoch
}

func newShard(c *Core) *shard {
	return &shard{core: c, machines: newOrderedMap[*machine](), machinesWithCapacity: newOrderedMap[*machine](), machinesByJob: map[string]*orderedMap[*machine]{}, fencingCalls: map[uint64]bool{}}
}

// reconcile follows the map, drops what can't be there any more, places and sends.
func (p *shard) reconcile() {
	c := p.core
	if !c.mirror.IsReady() {
		return
	}
	if e := c.membership.epoch(); e != p.epoch {
		p.enterEpoch(e)
	}
	if c.membership.leading && p.leaderLink != loopbackLink {
		p.leaderLink, p.fullSnapshotDue, p.lastLeaderSeq = loopbackLink, true, 0
		c.scheduler.memberLinkUp(loopbackLink)
	} else if !c.membership.leading && p.leaderLink == loopbackLink {
		p.leaderLink = 0
	}
	if !p.isMember {
		p.checkReachability()
		p.publish()
		return
	}
	if p.core.membership.mayServe() {
		// Clocks run on between reports too, but not so fast that every batch
		// of commands should walk over every machine.
		if c.now.Monotonic >= p.nextCheckAt {
			p.nextCheckAt = c.now.Monotonic + min(c.intervals.maintenance/4, c.intervals.scheduling)
			for _, r := range p.machines.all() {
				p.checkMachine(r)
			}
		}
		p.checkReachability()
		p.placeAssigned()
		p.sendExpedited()
	}
	p.publish()
}

// markChanged notes that a machine's picture has changed, and with it its room.
func (p *shard) markChanged(r *machine) {
	p.markCapacityChanged(r)
	if !r.unpublished {
		r.unpublished = true
		p.unpublished = append(p.unpublished, r)
	}
}

// markCapacityChanged notes that a machine's room may have changed.
func (p *shard) markCapacityChanged(r *machine) {
	r.capacityValid = false
	p.placementDue = true
	if !r.capacityChanged {
		r.capacityChanged = true
		p.capacityChanged = append(p.capacityChanged, r)
	}
}

// expedite has a machine's commands sent without waiting for its next report.
func (p *shard) expedite(r *machine) {
	if !r.expedited {
		r.expedited = true
		p.expedited = append(p.expedited, r)
	}
}

// expediteJob has the machines that may have a job's tasks told what to do at once.
func (p *shard) expediteJob(ref string) {
	if was := p.machinesByJob[ref]; was != nil {
		for name, r := range was.all() {
			if p.machines.get(name) == r {
				p.expedite(r)
			}
		}
	}
}

// sendExpedited sends what is urgent to the machines that can take it now.
func (p *shard) sendExpedited() {
	var later []*machine
	for _, r := range p.expedited {
		switch {
		case !r.expedited || p.machines.get(r.name) != r:
		case r.callInFlight == 0 && r.trusted:
			p.sendCommands(r)
		default:
			later = append(later, r)
		}
	}
	p.expedited = later
}

// retainAttempts drops the tasks of a machine that f does not want kept.
func (p *shard) retainAttempts(r *machine, f func(*taskAttempt) bool) {
	kept := r.attempts[:0]
	for _, t := range r.attempts {
		if f(t) {
			kept = append(kept, t)
			continue
		}
		r.droppedTasks = append(r.droppedTasks, t.task)
		p.markChanged(r)
	}
	clear(r.attempts[len(kept):])
	r.attempts = kept
}

// returnTask returns a task to the shared queue.
func (p *shard) returnTask(t *taskAttempt) {
	p.returned = append(p.returned, peerproto.TaskAttempt{Task: t.task, Attempt: t.number})
}

// releaseMachine drops a machine.
func (p *shard) releaseMachine(r *machine) {
	p.machines.delete(r.name)
	p.machinesWithCapacity.delete(r.name)
	p.releasedMachines = append(p.releasedMachines, r.name)
}

// enterEpoch drops everything that was dispatched but not sent, and fences every
// machine that is ours now: until it answers with the new token, what it lists
// is only a hint.
//
// Guards against a start by the former owner that arrives after we have looked.
func (p *shard) enterEpoch(e uint64) {
	c := p.core
	stayed := p.isMember && e == p.epoch+1
	p.epoch, p.isMember = e, c.membership.isMember()
	p.unplaced, p.returned, p.fullSnapshotDue = nil, nil, true
	p.reachability.callsLost, p.reachability.doubtfulSince = 0, 0 // what was lost under an earlier map says nothing of this one
	p.epochSince, p.nextCheckAt = c.now.Monotonic, 0
	for name, rec := range c.records.machineRecords.all() {
		p.adoptRegistered(name, rec)
	}
	for name, r := range p.machines.all() {
		if !p.isMember || c.membership.ownerOf(name) != c.settings.Label {
			p.releaseMachine(r)
			continue
		}
		// While it is ours nobody else starts anything on it: what can be there
		// is what we know of, whether it answers or not. A take-over once waited
		// 13 s for two dead machines of 900 whose owner had never changed.
		r.keptFromLastEpoch = stayed && (r.trusted || r.keptFromLastEpoch)
		r.token = e << tokenBits
		r.minToken = r.token
		r.trusted = false
		r.callInFlight, r.nextCallAt, r.unansweredCalls = 0, 0, 0
		r.draining, r.cordoned = false, false
		p.retainAttempts(r, func(t *taskAttempt) bool { return t.phase > phaseQueued })
		if !(stayed && r.leaseExpired) {
			// Whoever owned it before may have answered it until its mirror was
			// too old to.
			r.lastAnsweredAt = max(r.lastAnsweredAt, c.now.Monotonic+c.intervals.maxStaleness)
			r.leaseExpired = false
		}
		r.maybeAnsweredUntil, r.fenced = r.lastAnsweredAt, false
		r.fullStateDue = true
		p.markChanged(r)
	}
	if c.records.shardMap != nil {
		c.logInfo("new map", "epoch", e, "leader", c.records.shardMap.Leader, "members", sortedKeys(c.records.shardMap.Members), "machines", p.machines.len())
	}
}

// adoptRegistered takes a machine of the register.
func (p *shard) adoptRegistered(name string, rec *records.Machine) {
	if r := p.machines.get(name); r != nil {
		r.registered = true
		p.markCapacityChanged(r)
		return
	}
	if !p.isMember || p.core.membership.ownerOf(name) != p.core.settings.Label {
		return
	}
	r := p.addMachine(name)
	r.addr, r.typeName, r.zone, r.spot = rec.Addr, rec.Type, rec.Zone, rec.Spot
	r.lastAnsweredAt += p.core.intervals.maxStaleness
	r.maybeAnsweredUntil = r.lastAnsweredAt
	r.registered = true
}

func (p *shard) addMachine(name string) *machine {
	r := &machine{
		name: name, fullStateDue: true, token: p.epoch << tokenBits, minToken: p.epoch << tokenBits, lastAnsweredAt: p.core.now.Monotonic, lastHeardAt: p.core.now.Monotonic,
		maybeAnsweredUntil: p.core.now.Monotonic + p.core.intervals.maxStaleness, backoffUntil: map[string]time.Duration{},
	}
	p.machines.set(name, r)
	p.markChanged(r)
	return r
}

// addAttempt puts a task on a machine.
func (p *shard) addAttempt(r *machine, t *taskAttempt) {
	r.attempts = append(r.attempts, t)
	p.markChanged(r)
	if j := p.core.records.acceptedJob(t.jobID); j != nil && j.isFinal() {
		return // it is over already
	}
	if p.machinesByJob[t.jobID] == nil {
		p.machinesByJob[t.jobID] = newOrderedMap[*machine]()
	}
	p.machinesByJob[t.jobID].set(r.name, r)
}

// stopJob sees to it that the tasks of a job that has ended are stopped. Looking for
// them on every machine cost more than anything else on a large fleet with many jobs.
func (p *shard) stopJob(j *jobEntry) {
	ref := j.record.Spec.ID
	was := p.machinesByJob[ref]
	delete(p.machinesByJob, ref)
	if was == nil {
		was = newOrderedMap[*machine]()
	}
	for name, r := range was.all() {
		if p.machines.get(name) != r {
			continue
		}
		p.retainAttempts(r, func(t *taskAttempt) bool {
			switch {
			case t.jobID != ref:
			case t.phase <= phaseQueued:
				p.returnTask(t)
				return false
			case t.live():
				p.expedite(r)
			}
			return true
		})
	}
	p.unplaced = slices.DeleteFunc(p.unplaced, func(t *taskAttempt) bool {
		if t.jobID == ref {
			p.returnTask(t)
		}
		return t.jobID == ref
	})
}
