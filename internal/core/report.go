package core

import "github.com/chalkhub/chalkhub/internal/wire"

// report takes a worker's report and answers it.
func (p *part) report(id RequestID, rep *wire.Report) {
	c := p.c
	r := p.rigs.get(rep.Machine)
	// A worker sends its next report only when nobody waits for the answer to this one any
	// more, and counts its lease from when it was sent: an older or the same report once more
	// renews nothing, and says nothing of how the machine is now.
	//
	// Guards against copies of a dead machine's reports, each of which had its tasks waited for
	// for another lease.
	fresh := r == nil || rep.Newer(r.reported.session, r.reported.seq)
	if fresh {
		p.fit.contact = c.now.Steady
	}
	if c.ledger.ready {
		if e := c.members.epoch(); e != p.epoch {
			p.newEpoch(e)
		}
	}
	entitled := c.members.entitled()
	if !entitled && !c.outage.holds() || c.ledger.mapRec == nil {
		c.emit(Reply{ID: id, Status: ReplyUnavailable, Body: wire.ErrorAnswer{Error: "not entitled"}})
		return
	}
	if owner := c.members.owner(rep.Machine); owner != c.set.Label || !p.mine {
		c.emit(Reply{ID: id, Status: ReplyMisdirected, Body: wire.Redirect{ReportTo: owner}})
		return
	}
	if r = p.rigs.get(rep.Machine); r == nil {
		r = p.newRig(rep.Machine)
		r.addr, r.typ, r.zone, r.spot = rep.Addr, rep.Type, rep.Zone, rep.Spot
		r.mt = c.types()[r.typ]
		r.registered = c.ledger.machines.get(r.name) != nil
	}
	if rep.Token > r.token {
		// Somebody has a newer map than we do.
		c.emit(Reply{ID: id, Status: ReplyUnavailable, Body: wire.ErrorAnswer{Error: "not entitled"}})
		return
	}
	newest := rep.Newer(r.session, r.seq)
	if fresh {
		r.reported.session, r.reported.seq = rep.Session, rep.Seq
		r.heard, r.unanswered = c.now.Steady, 0
		if r.silent {
			r.silent = false
			p.mark(r)
		}
	}
	if newest {
		p.read(r, rep, 0, true)
		if !r.fenced && !r.lapsed && c.now.Steady-r.answeredBefore > c.times.gone {
			p.lapse(r)
		}
	}
	if fresh {
		r.answered = max(r.answered, c.now.Steady)
	}
	var ans wire.ReportAnswer
	if newest && r.trusted {
		if entitled {
			p.place()
		}
		ans.Commands = p.commands(r, 0, entitled)
	} else {
		ans.Commands = p.stops(rep)
	}
	ans.Token = r.token // which the commands may have raised
	c.emit(Reply{ID: id, Status: ReplyOK, Body: ans})
}

// read takes what a machine says of itself. Only a message with our own current
// token is believed: one with an older token may miss a start that a former
// owner's command has yet to cause.
func (p *part) read(r *rig, rep *wire.Report, doID uint64, viaReport bool) {
	c := p.c
	if !rep.Newer(r.session, r.seq) {
		return
	}
	if rep.Session > r.session {
		// The worker's lease ran out: everything from before is gone, and
		// starts still under way carry the earlier session. Its new session has a
		// whole lease, whether a report of it is answered or not: a machine that
		// was heard by /do alone was once taken for empty by the lease of its last
		// session, just after tasks had been started on it.
		if r.fenced || rep.Token >= r.base {
			r.answered = max(r.answered, p.c.now.Steady)
		}
		p.keep(r, func(t *placed) bool { return t.phase <= phaseQueued })
		p.mark(r)
	}
	r.session, r.seq = rep.Session, rep.Seq
	if n := rep.NoticeS != nil; n != r.notice {
		r.notice = n
		p.mark(r)
		if n {
			c.info("machine will be taken back", "machine", r.name, "seconds", *rep.NoticeS)
		}
	}
	was := r.trusted
	r.trusted = rep.Token >= r.base && rep.Token <= r.token
	r.fenced = r.fenced || r.trusted
	if r.trusted != was {
		r.whole = true
		p.mark(r)
	}
	if !r.trusted {
		return
	}
	r.lapsed = false
	r.stamp++
	at := 0
	for i := range rep.Tasks {
		at = p.seen(r, &rep.Tasks[i], at)
	}
	p.keep(r, func(t *placed) bool {
		switch {
		case t.stamp == r.stamp, t.phase <= phaseQueued:
			return true
		case t.phase == phaseAnswered:
			// Executed before this report was made, or never; a message made
			// for a /do may be older than the response that carried it.
			return !viaReport && t.token >= rep.Token
		case t.phase == phaseDirect:
			return t.token >= rep.Token && t.doID != doID
		}
		return false
	})
}

// seen takes one line of a trusted list. The search begins at a place, and the
// place after the one found is returned: lists keep their order, so that a
// machine of many tasks is not searched from the start for each.
func (p *part) seen(r *rig, tr *wire.TaskReport, at int) int {
	var t *placed
	for n := range r.tasks {
		i := (at + n) % len(r.tasks)
		if x := r.tasks[i]; x.attempt == tr.Attempt && x.task == tr.Task {
			t, at = x, i+1
			break
		}
	}
	if t == nil {
		ref, index, err := wire.ParseTask(tr.Task)
		if err != nil {
			p.c.emit(Log{Level: LevelError, Text: "worker lists a task with a strange name", Args: []any{"machine", r.name, "task", tr.Task}})
			return at
		}
		t = &placed{task: tr.Task, ref: ref, index: index, attempt: tr.Attempt, met: tr.State == wire.TaskRunning}
		if j := p.c.ledger.accepted(ref); j != nil {
			t.spec = &j.rec.Spec
		}
		p.add(r, t)
	}
	t.phase, t.stamp = phaseListed, r.stamp
	if t.state == tr.State && t.why == tr.Why {
		return at
	}
	p.mark(r)
	p.c.debugf("task", "task", t.task, "machine", r.name, "state", tr.State, "why", tr.Why)
	if tr.State == wire.TaskRunning && t.since == 0 {
		t.since = p.c.now.Steady
		if t.spec != nil {
			p.gotImage(r, t.spec)
		}
	}
	if tr.State == wire.TaskExited && t.state != wire.TaskExited {
		t.ended = p.c.now.Steady
		// Guards against durations that count from a change of owners: reports of minutes
		// were predicted to take 1.7 s, and no machine was rented for them.
		if t.since > 0 && !t.met {
			t.ranS = (p.c.now.Steady - t.since).Seconds()
		}
		if shuns(tr.Why) {
			r.avoid[t.ref] = p.c.now.Steady + p.c.times.shun
			p.c.info("task failed", "task", t.task, "machine", r.name, "why", tr.Why)
		}
	}
	t.state, t.why, t.told = tr.State, tr.Why, false
	return at
}

// shuns reports whether a job is not started on a machine again for a while after one of its
// tasks ended there like that: its part does not, and its leader does not plan for it.
//
// Guards against a leader that does: it dispatched the same tasks to the same room every round,
// got them back, and nobody else had that room for four leases.
func shuns(why string) bool {
	return why == wire.WhyError || why == wire.WhyNoRoom || why == wire.WhyUnknown
}

// gotImage notes that a machine has, or is about to fetch, a task's image.
func (p *part) gotImage(r *rig, j *wire.Job) {
	cache := 0.0
	if r.mt != nil {
		cache = r.mt.CacheGB
	}
	if r.images.use(j.Image, j.ImageGB, cache) {
		r.repaint = true
		p.mark(r)
	}
}
