package core

import (
	"sort"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// save makes completed tasks durable: jobs that are complete first, then
// progress, as far as the write budget goes.
func (o *orchestrator) save() {
	c := o.c
	rate := c.set.Site.State.WriteRPS * c.policy.ProgressShare
	o.writes = min(o.writes+(c.now.Steady-o.writesAt).Seconds()*rate, rate)
	o.writesAt = c.now.Steady
	var partly []*queued
	for _, id := range sortedKeys(o.unsaved) {
		q := o.unsaved[id]
		switch {
		case q.j.final() || o.queue.get(id) != q || len(q.finished) == 0 && !q.complete():
			delete(o.unsaved, id)
		case q.ending || q.writing || q.choosing:
		case q.complete():
			o.end(q)
		case q.saveAt > 0 && c.now.Steady >= q.saveAt:
			partly = append(partly, q)
		}
	}
	// Those that have waited longest first, or the first names would take all.
	sort.SliceStable(partly, func(a, b int) bool { return partly[a].saveAt < partly[b].saveAt })
	for _, q := range partly {
		if o.writes < 1 {
			break
		}
		o.progress(q)
	}
}

// end writes that a job is done. The answer "done" is given only from the
// mirror, so it is durable before it is said; the guard on the job's key settles
// a race with a cancellation the same way everywhere.
func (o *orchestrator) end(q *queued) {
	q.ending = true
	j := q.j
	guards := []wire.Guard{o.c.members.leaderGuard(), {Key: keyJob + q.id, Version: j.key}}
	o.c.ledger.commit(guards, o.c.ledger.finalOps(j, finalRecord(j, wire.JobDone, "")), func(d CommitDone) {
		o.c.ledger.lookAgain(d.Status == 200 || d.Status == 409, o.c.times.round/4, func() { q.ending = false })
	})
}

func (o *orchestrator) progress(q *queued) {
	sets := map[int]wire.TaskSet{}
	for i := range q.finished {
		b := i / progressBlock
		if sets[b] == nil && b < len(q.j.done) {
			sets[b] = append(wire.TaskSet(nil), q.j.done[b]...)
		}
		s := sets[b]
		s.Add(i % progressBlock)
		sets[b] = s
	}
	q.saveAt = 0
	// The guard on the job's key keeps progress from outliving the job, those on
	// the blocks keep a write that is applied late from taking back what a later
	// one has added: a task was once missing from both and never started again.
	guards := []wire.Guard{o.c.members.leaderGuard(), {Key: keyJob + q.id, Version: q.j.key}}
	var ops []wire.Op
	for b := range wire.MaxTasks/progressBlock + 1 {
		if s := sets[b]; s != nil && len(ops) < o.c.txnOps() {
			guards = append(guards, o.c.ledger.guard(progressKey(q.id, b)))
			ops = append(ops, wire.Op{Put: progressKey(q.id, b), Value: wire.ProgressRecord{Bits: s.Text()}})
		}
	}
	o.writes -= float64(len(ops))
	q.writing = true
	o.c.ledger.commit(guards, ops, func(d CommitDone) {
		q.saveAt = o.c.now.Steady + o.c.times.lease/4
		o.c.ledger.lookAgain(d.Status == 200 || d.Status == 409, o.c.times.round/2, func() { q.writing = false })
	})
}
