package core

import (
	"math"
	"slices"
	"sort"
	"strconv"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// save makes completed tasks durable: jobs that are complete first, then
// progress, as far as the write budget goes.
func (o *orchestrator) save() {
	c := o.c
	rate := c.writeRPS() * c.policy.ProgressShare
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
	rec := finalRecord(j, wire.JobDone, "")
	rec.Over = math.Floor(o.c.now.Wall) // as the archive keeps it, so that it is the same for every leader
	guards := []wire.Guard{o.c.members.leaderGuard(), j.ownGuard()}
	o.c.ledger.commit(guards, o.c.ledger.finalOps(j, rec), func(d CommitDone) {
		o.c.ledger.lookAgain(d.Outcome.Decided(), o.c.times.round/4, func() { q.ending = false })
	})
}

// fullBlock is how many bytes a whole block of progress takes, in the form in which limits
// are counted.
const fullBlock = progressBlock/8*4/3 + 64

// doneIn is which of a job's tasks are durably done, of size from a first one on: both
// whole bytes of the sets.
func (j *job) doneIn(first, size int) wire.TaskSet {
	b, at := first/progressBlock, first%progressBlock/8
	if b >= len(j.done) || at >= len(j.done[b]) {
		return nil
	}
	s := j.done[b][at:]
	return slices.Clone(s[:min(len(s), size/8)])
}

func (o *orchestrator) progress(q *queued) {
	size, prefix := progressBlock, keyProgress
	if o.c.valueSize() < fullBlock && q.j.rec.Spec.Tasks > fineBlock {
		size, prefix = fineBlock, keyFine
	}
	sets := map[int]wire.TaskSet{}
	for i := range q.finished {
		b := i / size
		if sets[b] == nil {
			sets[b] = q.j.doneIn(b*size, size)
		}
		s := sets[b]
		s.Add(i % size)
		sets[b] = s
	}
	q.saveAt = 0
	// The guard on the job's key keeps progress from outliving the job, those on
	// the blocks keep a write that is applied late from taking back what a later
	// one has added: a task was once missing from both and never started again.
	guards := []wire.Guard{o.c.members.leaderGuard(), q.j.ownGuard()}
	var ops []wire.Op
	for _, b := range sortedKeys(sets) {
		if len(ops) < o.c.txnOps() {
			key := prefix + q.id + "/" + strconv.Itoa(b)
			guards = append(guards, o.c.ledger.guard(key))
			ops = append(ops, wire.Op{Put: key, Value: wire.ProgressRecord{Bits: sets[b].Text()}})
		}
	}
	o.writes -= float64(len(ops))
	q.writing = true
	o.c.ledger.commit(guards, ops, func(d CommitDone) {
		q.saveAt = o.c.now.Steady + o.c.times.lease/4
		o.c.ledger.lookAgain(d.Outcome.Decided(), o.c.times.round/2, func() { q.writing = false })
	})
}
