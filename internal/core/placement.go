package core

import (
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// machineCommands lists what the machine must do now: kills first, then clears, then
// starts, if any may go out. doID is that of the /do they go with, 0 for a response to a
// report.
func (p *shard) machineCommands(r *machine, doID uint64, start bool) []protocol.Command {
	var cmds, clears []protocol.Command
	clearNow, direct, starts := false, false, false
	for _, t := range r.attempts {
		starts = starts || t.phase == phaseQueued && start
		if t.phase != phaseListed {
			continue
		}
		j := p.core.records.acceptedJob(t.jobID)
		over := p.mustNotRun(t.jobID, j)
		switch {
		case t.state == protocol.TaskExited:
			// A completed task is cleared only once that is durable, or a crash
			// of every controller would lose the only trace of it.
			if t.exitReason != protocol.ExitDone || over || j.isTaskDone(t.taskIndex) || j.record.Spec.Kind == protocol.KindService {
				clears = append(clears, protocol.Command{Kind: protocol.CommandForget, Task: t.task, Attempt: t.number})
				direct = direct || t.callID != 0 && t.startToken == r.token
				clearNow = clearNow || t.exitReason != protocol.ExitDone || p.core.now.Monotonic-t.endedAt > p.core.intervals.workerLease/2
			}
		case over || j.isTaskDone(t.taskIndex):
			cmds = append(cmds, protocol.Command{Kind: protocol.CommandStop, Task: t.task, Attempt: t.number})
		case t.stopRequested && (t.stopNow || t.state != protocol.TaskSaving):
			stop := protocol.Command{Kind: protocol.CommandStop, Task: t.task, Attempt: t.number}
			if !t.stopNow {
				stop.GraceS = j.record.Spec.SaveS
			}
			cmds = append(cmds, stop)
		}
	}
	// Each change of its list makes a worker report once more. Clearing alone is
	// no reason for that: it waits for other commands, but not for long.
	if len(clears) > 0 && (clearNow || len(cmds) > 0 || starts) {
		if direct {
			// Guards against a /do that was carried out and comes once more: what it
			// started is unknown to the worker once it is cleared, and it would start
			// it again. The worker takes the token and the clearing together, so
			// nothing that it lists meanwhile is in doubt.
			r.token++
		}
		cmds = append(cmds, clears...)
	}
	for _, t := range r.attempts {
		if t.phase != phaseQueued || !start || p.core.degraded.isCancelled(t.jobID) {
			continue
		}
		t.startToken = r.token
		if doID != 0 {
			t.phase, t.callID = phaseSentDirectly, doID
		} else {
			t.phase = phaseSentInReply
		}
		cmds = append(cmds, protocol.Command{Kind: protocol.CommandStart, Task: t.task, Attempt: t.number})
	}
	return cmds
}

// mustNotRun reports whether no task of a job may run; j is what the mirror holds of it.
func (p *shard) mustNotRun(ref string, j *jobEntry) bool {
	return j == nil || j.isFinal() || p.core.degraded.isCancelled(ref)
}

// stopCommands lists what a machine must stop whatever else may be on its way to it, where its list
// is not to be trusted for more.
//
// Guards against renewing a machine's lease with an answer that leaves a cancelled task on it.
func (p *shard) stopCommands(rep *protocol.Heartbeat) []protocol.Command {
	var cmds []protocol.Command
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		ref, _, err := protocol.ParseTaskName(t.Task)
		if err == nil && t.State != protocol.TaskExited && p.mustNotRun(ref, p.core.records.acceptedJob(ref)) {
			cmds = append(cmds, protocol.Command{Kind: protocol.CommandStop, Task: t.Task, Attempt: t.Attempt})
		}
	}
	return cmds
}

// sendCommands sends what is urgent by /do.
func (p *shard) sendCommands(r *machine) {
	r.expedited = false
	if cmds := p.machineCommands(r, p.lastCallID+1, true); len(cmds) > 0 {
		p.callMachine(r, cmds)
	}
}

// placeAssigned finds room for what the leader has dispatched. A start goes out in the
// response to the machine's next report, or by /do if that is far.
func (p *shard) placeAssigned() {
	c := p.core
	if len(p.unplaced) == 0 || !p.placementDue && c.now.Monotonic < p.nextPlacementAt {
		return
	}
	p.placementDue, p.nextPlacementAt = false, c.now.Monotonic+c.intervals.scheduling
	// A full part has few machines with room, and looking for them among all of
	// them for each report cost more the larger it was.
	for _, r := range p.capacityChanged {
		r.capacityChanged = false
		if p.machines.get(r.name) == r && r.acceptsTasks() && r.freeCapacity().cpus > roundingSlack {
			p.machinesWithCapacity.set(r.name, r)
		} else if p.machinesWithCapacity.get(r.name) == r {
			p.machinesWithCapacity.delete(r.name)
		}
	}
	p.capacityChanged = p.capacityChanged[:0]
	open := make([]*machine, 0, p.machinesWithCapacity.len())
	for _, r := range p.machinesWithCapacity.all() {
		open = append(open, r)
	}
	full := map[string]bool{} // jobs that found no room: their other tasks won't either
	waiting := p.unplaced[:0]
	for _, t := range p.unplaced {
		j := c.records.acceptedJob(t.jobID)
		if p.mustNotRun(t.jobID, j) {
			p.returnTask(t)
			continue
		}
		// Where its zones matter it goes by the record that the leader went by: one that is
		// older has yet to come, and by one that is newer the leader decides anew.
		if t.recordVersion != 0 && j.recordVersion > t.recordVersion {
			p.returnTask(t)
			continue
		}
		var best *machine
		if !full[t.jobID] && (t.recordVersion == 0 || j.recordVersion == t.recordVersion) {
			for _, r := range open {
				m := r.freeCapacity()
				if m.fits(t.spec) && taskMayRunOn(&j.record, t.taskIndex, r.typeName, r.zone, r.spot) && r.backoffUntil[t.jobID] <= c.now.Monotonic &&
					(best == nil || betterFit(m, best.freeCapacity(), t.spec.Image)) {
					best = r
				}
			}
		}
		if best == nil {
			full[t.jobID] = !t.spec.Spread
			// Unplaced for one round: back to the shared queue.
			if c.now.Monotonic-t.unplacedSince >= c.intervals.maintenance {
				p.returnTask(t)
				continue
			}
			waiting = append(waiting, t)
			continue
		}
		if !best.freeCapacity().hasImage(t.spec.Image) {
			p.recordImage(best, t.spec)
		}
		t.phase = phaseQueued
		c.logDebug("placed", "task", t.task, "machine", best.name)
		p.addAttempt(best, t)
		if best.lastHeardAt+c.intervals.heartbeat-c.now.Monotonic > c.intervals.heartbeat/6 {
			p.expedite(best)
		}
	}
	p.unplaced = waiting
	p.placementDue = false // what was marked here only lost room
}

// holdForGang keeps room on a machine for a task of a gang.
func (p *shard) holdForGang(machine string, t *taskAttempt, j *jobEntry) bool {
	r := p.machines.get(machine)
	if r == nil || !r.acceptsTasks() || t.recordVersion != 0 && j.recordVersion != t.recordVersion || !taskMayRunOn(&j.record, t.taskIndex, r.typeName, r.zone, r.spot) {
		return false
	}
	if !r.freeCapacity().fits(t.spec) {
		return false
	}
	t.phase, t.state = phaseHeld, peerproto.StateHeld
	p.addAttempt(r, t)
	return true
}

// resolveHeld lets f decide which of the held tasks stay.
func (p *shard) resolveHeld(list []peerproto.TaskAttempt, f func(*machine, *taskAttempt) bool) {
	for _, x := range list {
		r := p.machines.get(x.Machine)
		if r == nil {
			continue
		}
		p.retainAttempts(r, func(t *taskAttempt) bool {
			return t.phase != phaseHeld || t.task != x.Task || t.number != x.Attempt || f(r, t)
		})
		p.markChanged(r)
	}
}
