package core

import (
	"slices"
	"strings"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// The link of a part to its leader.

const loopbackLink = ^uint64(0)

// leaderLinkUp and linkDown follow the link to the leader. A new link starts with the
// whole picture; nothing that was sent over an earlier one is read any more.
func (p *shard) leaderLinkUp(session uint64) {
	p.leaderLink, p.fullSnapshotDue, p.lastLeaderSeq = session, true, 0
	for _, r := range p.machines.all() {
		if r.cordoned {
			r.cordoned = false // until the leader says so again
			p.markCapacityChanged(r)
		}
	}
	p.leaderHeardAt = p.core.now.Monotonic
	p.core.emit(SendToPeer{Session: session, Message: peerproto.Message{Hello: &peerproto.Hello{Label: p.core.settings.Label, BootID: p.core.bootID}, Unreachable: p.reachability.unreachable}})
}

func (p *shard) leaderLinkDown(session uint64) {
	if p.leaderLink == session {
		p.leaderLink = 0
	}
}

// handleLeaderMessage takes the leader's orders; those of another epoch are void.
func (p *shard) handleLeaderMessage(m *peerproto.Message) {
	c := p.core
	p.leaderHeardAt, p.lastLeaderSeq = c.now.Monotonic, m.Seq
	for _, v := range m.Views {
		if j := c.records.acceptedJob(v.Job); j != nil {
			j.leaderView = v
		}
	}
	c.degraded.cancelJobs(m.Cancelled)
	if m.Epoch != p.epoch || !p.isMember {
		return
	}
	p.fullSnapshotDue = p.fullSnapshotDue || m.Resync
	for _, d := range m.Dispatch {
		ref, index, err := protocol.ParseTaskName(d.Task)
		j := c.records.acceptedJob(ref)
		if err != nil || p.mustNotRun(ref, j) || j.isTaskDone(index) {
			p.returned = append(p.returned, peerproto.TaskAttempt{Task: d.Task, Attempt: d.Attempt})
			continue
		}
		t := &taskAttempt{task: d.Task, jobID: ref, taskIndex: index, number: d.Attempt, recordVersion: d.Version, spec: &j.record.Spec}
		if d.Machine == "" {
			t.runningSince = c.now.Monotonic
			p.unplaced = append(p.unplaced, t)
			p.placementDue = true
		} else if !p.holdForGang(d.Machine, t, j) {
			p.returnTask(t)
		}
	}
	p.resolveHeld(m.StartHeld, func(r *machine, t *taskAttempt) bool {
		t.phase, t.state, t.published = phaseQueued, "", false
		p.expedite(r)
		return true
	})
	p.resolveHeld(m.ReleaseHeld, func(r *machine, t *taskAttempt) bool { return false })
	for _, s := range m.Stop {
		r := p.machines.get(s.Machine)
		if r == nil {
			continue
		}
		for _, t := range r.attempts {
			if t.task == s.Task && t.live() {
				t.stopRequested, t.stopNow = true, s.Immediately
				p.expedite(r)
				c.logDebug("stopping", "task", t.task, "machine", r.name, "why", s.Reason)
			}
		}
	}
	p.setCordoned(m.Cordon, true)
	p.setCordoned(m.Uncordon, false)
	for _, name := range m.Drain {
		if r := p.machines.get(name); r != nil && !r.draining {
			r.draining = true
			p.markChanged(r)
		}
	}
}

// setCordoned has machines kept from new tasks, or lets them have some again.
func (p *shard) setCordoned(names []string, closing bool) {
	for _, name := range names {
		if r := p.machines.get(name); r != nil {
			r.cordoned = closing
			p.markCapacityChanged(r)
		}
	}
}

// publish tells the leader what has changed.
func (p *shard) publish() {
	c := p.core
	if p.leaderLink == 0 {
		p.confirmedCancellations = nil // nobody is there to pass it on
		return
	}
	if p.leaderLink != loopbackLink && c.now.Monotonic-p.leaderHeardAt > 2*c.intervals.heartbeat+c.intervals.maintenance {
		c.logInfo("the leader is silent, calling again")
		c.emit(ClosePeer{Session: p.leaderLink})
		p.leaderLink = 0
		return
	}
	m := peerproto.Message{Epoch: p.epoch, Unreachable: p.reachability.unreachable}
	// An older leader takes any whole picture of this label for the member's.
	full := p.fullSnapshotDue && !c.membership.labelHeldByOther(c.settings.Label, c.bootID)
	if full {
		m.Snapshot, m.ReadSeq = true, p.lastLeaderSeq
		for _, t := range p.unplaced {
			m.Assigned = append(m.Assigned, peerproto.TaskAttempt{Task: t.task, Attempt: t.number})
		}
	}
	told := p.unpublished
	if full {
		told = told[:0]
		for _, r := range p.machines.all() {
			told = append(told, r)
		}
	} else {
		m.Released = p.releasedMachines
		slices.SortFunc(told, func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	}
	m.Machines = make([]peerproto.MachineState, 0, len(told))
	for _, r := range told {
		r.unpublished = false
		r.fullStateDue = r.fullStateDue || full
		if p.machines.get(r.name) == r {
			m.Machines = append(m.Machines, p.machineState(r))
		}
	}
	p.unpublished, p.releasedMachines = p.unpublished[:0], nil
	m.Returned, m.Cancelled = p.returned, p.confirmedCancellations
	idle := !full && len(m.Cancelled) == 0 && len(m.Machines) == 0 && len(m.Returned) == 0 && len(m.Released) == 0
	if idle && c.now.Monotonic-p.lastPublishedAt < c.intervals.maintenance {
		return
	}
	p.fullSnapshotDue, p.returned, p.confirmedCancellations = p.fullSnapshotDue && !full, nil, nil
	p.lastPublishedAt = c.now.Monotonic
	if p.leaderLink == loopbackLink {
		c.loopback = append(c.loopback, func() { c.scheduler.handleShardMessage(loopbackLink, &m) })
		return
	}
	for _, piece := range m.MemberChunks() {
		c.emit(SendToPeer{Session: p.leaderLink, Message: piece})
	}
}

// machineState is what the leader is told of a machine: all of it, or what has changed.
func (p *shard) machineState(r *machine) peerproto.MachineState {
	s := peerproto.MachineState{
		Name: r.name, TasksComplete: r.trusted || r.leaseExpired, TasksBounded: r.keptFromLastEpoch, AcceptsTasks: r.trusted && !r.leaseExpired && r.machineType != nil,
		InterruptionNotice: r.interruptionNotice, Draining: r.draining, Silent: r.silent, Partial: !r.fullStateDue,
	}
	if r.fullStateDue {
		s.Addr, s.Type, s.Zone, s.Spot = r.addr, r.typeName, r.zone, r.spot
	}
	if r.fullStateDue || r.imagesChanged {
		s.Images = slices.Clone(r.images.Images())
	}
	for _, t := range r.attempts {
		if r.fullStateDue || !t.published {
			t.published = true
			s.Tasks = append(s.Tasks, peerproto.TaskState{Task: t.task, Attempt: t.number, State: t.state, ExitReason: t.exitReason, RanSeconds: t.ranSeconds})
			if !t.live() {
				r.droppedTasks = append(r.droppedTasks, t.task)
			}
		}
	}
	if !r.fullStateDue {
		for _, task := range r.droppedTasks {
			if !slices.ContainsFunc(r.attempts, func(t *taskAttempt) bool { return t.task == task && t.live() }) {
				s.RemovedTasks = append(s.RemovedTasks, task)
			}
		}
	}
	r.fullStateDue, r.imagesChanged, r.droppedTasks = false, false, nil
	return s
}
