package core

import (
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// handleHeartbeat takes a worker's report and answers it.
func (p *shard) handleHeartbeat(id RequestID, rep *protocol.Heartbeat) {
	c := p.core
	r := p.machines.get(rep.Machine)
	// A worker sends its next report only when nobody waits for the answer to this one any
	// more, and counts its lease from when it was sent: an older or the same report once more
	// renews nothing, and says nothing of how the machine is now.
	//
	// Guards against copies of a dead machine's reports, each of which had its tasks waited for
	// for another lease.
	fresh := r == nil || rep.Newer(r.lastHeartbeat.session, r.lastHeartbeat.seq)
	if fresh {
		p.reachability.lastContactAt = c.now.Monotonic
	}
	if c.mirror.IsReady() {
		if e := c.membership.epoch(); e != p.epoch {
			p.enterEpoch(e)
		}
	}
	entitled := c.membership.mayServe()
	if !entitled && !c.degraded.isActive() || c.records.shardMap == nil {
		c.emit(Reply{ID: id, Status: ReplyUnavailable, Body: protocol.ErrorResponse{Error: "not entitled"}})
		return
	}
	if owner := c.membership.ownerOf(rep.Machine); owner != c.settings.Label || !p.isMember {
		c.emit(Reply{ID: id, Status: ReplyMisdirected, Body: protocol.Redirect{ReportTo: owner}})
		return
	}
	if r = p.machines.get(rep.Machine); r == nil {
		r = p.addMachine(rep.Machine)
		r.addr, r.typeName, r.zone, r.spot = rep.Addr, rep.Type, rep.Zone, rep.Spot
		r.machineType = c.machineTypes()[r.typeName]
		r.registered = c.records.machineRecords.get(r.name) != nil
	}
	if rep.Token > r.token {
		// Somebody has a newer map than we do.
		c.emit(Reply{ID: id, Status: ReplyUnavailable, Body: protocol.ErrorResponse{Error: "not entitled"}})
		return
	}
	newest := rep.Newer(r.session, r.seq)
	if fresh {
		r.lastHeartbeat.session, r.lastHeartbeat.seq = rep.Session, rep.Seq
		r.lastHeardAt, r.unansweredCalls = c.now.Monotonic, 0
		if r.silent {
			r.silent = false
			p.markChanged(r)
		}
	}
	if newest {
		p.applyReport(r, rep, 0, true)
		if !r.fenced && !r.leaseExpired && c.now.Monotonic-r.maybeAnsweredUntil > c.intervals.machineLeaseExpiry {
			p.expireLease(r)
		}
	}
	if fresh {
		r.lastAnsweredAt = max(r.lastAnsweredAt, c.now.Monotonic)
	}
	var ans protocol.HeartbeatResponse
	if newest && r.trusted {
		if entitled {
			p.placeAssigned()
		}
		ans.Commands = p.machineCommands(r, 0, entitled)
	} else {
		ans.Commands = p.stopCommands(rep)
	}
	ans.Token = r.token // which the commands may have raised
	c.emit(Reply{ID: id, Status: ReplyOK, Body: ans})
}

// applyReport takes what a machine says of itself. Only a message with our own current
// token is believed: one with an older token may miss a start that a former
// owner's command has yet to cause.
func (p *shard) applyReport(r *machine, rep *protocol.Heartbeat, doID uint64, viaReport bool) {
	c := p.core
	if !rep.Newer(r.session, r.seq) {
		return
	}
	if rep.Session > r.session {
		// The worker's lease ran out: everything from before is gone, and
		// starts still under way carry the earlier session. Its new session has a
		// whole lease, whether a report of it is answered or not: a machine that
		// was heard by /do alone was once taken for empty by the lease of its last
		// session, just after tasks had been started on it.
		if r.fenced || rep.Token >= r.minToken {
			r.lastAnsweredAt = max(r.lastAnsweredAt, p.core.now.Monotonic)
		}
		p.retainAttempts(r, func(t *taskAttempt) bool { return t.phase <= phaseQueued })
		p.markChanged(r)
	}
	r.session, r.seq = rep.Session, rep.Seq
	if n := rep.NoticeS != nil; n != r.interruptionNotice {
		r.interruptionNotice = n
		p.markChanged(r)
		if n {
			c.logInfo("machine will be taken back", "machine", r.name, "seconds", *rep.NoticeS)
		}
	}
	was := r.trusted
	r.trusted = rep.Token >= r.minToken && rep.Token <= r.token
	r.fenced = r.fenced || r.trusted
	if r.trusted != was {
		r.fullStateDue = true
		p.markChanged(r)
	}
	if !r.trusted {
		return
	}
	r.leaseExpired = false
	r.listsRead++
	at := 0
	for i := range rep.Tasks {
		at = p.applyTaskReport(r, &rep.Tasks[i], at)
	}
	p.retainAttempts(r, func(t *taskAttempt) bool {
		switch {
		case t.lastListed == r.listsRead, t.phase <= phaseQueued:
			return true
		case t.phase == phaseSentInReply:
			// Executed before this report was made, or never; a message made
			// for a /do may be older than the response that carried it.
			return !viaReport && t.startToken >= rep.Token
		case t.phase == phaseSentDirectly:
			return t.startToken >= rep.Token && t.callID != doID
		}
		return false
	})
}

// applyTaskReport takes one line of a trusted list. The search begins at a place, and the
// place after the one found is returned: lists keep their order, so that a
// machine of many tasks is not searched from the start for each.
func (p *shard) applyTaskReport(r *machine, tr *protocol.TaskStatus, at int) int {
	var t *taskAttempt
	for n := range r.attempts {
		i := (at + n) % len(r.attempts)
		if x := r.attempts[i]; x.number == tr.Attempt && x.task == tr.Task {
			t, at = x, i+1
			break
		}
	}
	if t == nil {
		ref, index, err := protocol.ParseTaskName(tr.Task)
		if err != nil {
			p.core.emit(Log{Level: LevelError, Text: "worker lists a task with a strange name", Args: []any{"machine", r.name, "task", tr.Task}})
			return at
		}
		t = &taskAttempt{task: tr.Task, jobID: ref, taskIndex: index, number: tr.Attempt, foundRunning: tr.State == protocol.TaskRunning}
		if j := p.core.records.acceptedJob(ref); j != nil {
			t.spec = &j.record.Spec
		}
		p.addAttempt(r, t)
	}
	t.phase, t.lastListed = phaseListed, r.listsRead
	if t.state == tr.State && t.exitReason == tr.ExitReason {
		return at
	}
	p.markChanged(r)
	p.core.logDebug("task", "task", t.task, "machine", r.name, "state", tr.State, "why", tr.ExitReason)
	if tr.State == protocol.TaskRunning && t.runningSince == 0 {
		t.runningSince = p.core.now.Monotonic
		if t.spec != nil {
			p.recordImage(r, t.spec)
		}
	}
	if tr.State == protocol.TaskExited && t.state != protocol.TaskExited {
		t.endedAt = p.core.now.Monotonic
		// Guards against durations that count from a change of owners: reports of minutes
		// were predicted to take 1.7 s, and no machine was rented for them.
		if t.runningSince > 0 && !t.foundRunning {
			t.ranSeconds = (p.core.now.Monotonic - t.runningSince).Seconds()
		}
		if causesBackoff(tr.ExitReason) {
			r.backoffUntil[t.jobID] = p.core.now.Monotonic + p.core.intervals.machineBackoff
			p.core.logInfo("task failed", "task", t.task, "machine", r.name, "why", tr.ExitReason)
		}
	}
	t.state, t.exitReason, t.published = tr.State, tr.ExitReason, false
	return at
}

// causesBackoff reports whether a job is not started on a machine again for a while after one of its
// tasks ended there like that: its part does not, and its leader does not plan for it.
//
// Guards against a leader that does: it dispatched the same tasks to the same room every round,
// got them back, and nobody else had that room for four leases.
func causesBackoff(why string) bool {
	return why == protocol.ExitFailed || why == protocol.ExitNoCapacity || why == protocol.ExitUnknownTask
}

// recordImage notes that a machine has, or is about to fetch, a task's image.
func (p *shard) recordImage(r *machine, j *protocol.Job) {
	cache := 0.0
	if r.machineType != nil {
		cache = r.machineType.CacheGB
	}
	if r.images.Use(j.Image, j.ImageGB, cache) {
		r.imagesChanged = true
		p.markChanged(r)
	}
}
