package core

import (
	"math"
	"slices"
	"sort"
	"strconv"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// saveProgress makes completed tasks durable: jobs that are complete first, then
// progress, as far as the write budget goes.
func (o *scheduler) saveProgress() {
	c := o.core
	rate := c.writeRate() * c.policy.ProgressShare
	o.progressWriteTokens = min(o.progressWriteTokens+(c.now.Monotonic-o.progressTokensAt).Seconds()*rate, rate)
	o.progressTokensAt = c.now.Monotonic
	var partly []*queuedJob
	for _, id := range sortedKeys(o.unsavedJobs) {
		q := o.unsavedJobs[id]
		switch {
		case q.entry.isFinal() || o.queue.get(id) != q || len(q.unsavedTasks) == 0 && !q.complete():
			delete(o.unsavedJobs, id)
		case q.finalizing || q.savingProgress || q.choosingZones:
		case q.complete():
			o.writeCompletion(q)
		case q.saveDueAt > 0 && c.now.Monotonic >= q.saveDueAt:
			partly = append(partly, q)
		}
	}
	// Those that have waited longest first, or the first names would take all.
	sort.SliceStable(partly, func(a, b int) bool { return partly[a].saveDueAt < partly[b].saveDueAt })
	for _, q := range partly {
		if o.progressWriteTokens < 1 {
			break
		}
		o.writeProgress(q)
	}
}

// writeCompletion writes that a job is done. The answer "done" is given only from the
// mirror, so it is durable before it is said; the guard on the job's key settles
// a race with a cancellation the same way everywhere.
func (o *scheduler) writeCompletion(q *queuedJob) {
	q.finalizing = true
	j := q.entry
	rec := finalRecord(j, protocol.JobDone, "")
	rec.DoneAt = math.Floor(o.core.now.Wall) // as the archive keeps it, so that it is the same for every leader
	guards := []protocol.Guard{o.core.membership.leaderGuard(), j.recordGuard()}
	o.core.mirror.commit(guards, o.core.mirror.finalOps(j, rec), func(d CommitResult) {
		o.core.mirror.awaitOutcome(d.Outcome.Decided(), o.core.intervals.maintenance/4, func() { q.finalizing = false })
	})
}

// fullBlockBytes is how many bytes a whole block of progress takes, in the form in which limits
// are counted.
const fullBlockBytes = progressBlockTasks/8*4/3 + 64

// doneRange is which of a job's tasks are durably done, of size from a first one on: both
// whole bytes of the sets.
func (j *jobEntry) doneRange(first, size int) records.TaskSet {
	b, at := first/progressBlockTasks, first%progressBlockTasks/8
	if b >= len(j.doneBlocks) || at >= len(j.doneBlocks[b]) {
		return nil
	}
	s := j.doneBlocks[b][at:]
	return slices.Clone(s[:min(len(s), size/8)])
}

func (o *scheduler) writeProgress(q *queuedJob) {
	size, prefix := progressBlockTasks, keyProgress
	if o.core.maxValueBytes() < fullBlockBytes && q.entry.record.Spec.Tasks > fineBlockTasks {
		size, prefix = fineBlockTasks, keyFineProgress
	}
	sets := map[int]records.TaskSet{}
	for i := range q.unsavedTasks {
		b := i / size
		if sets[b] == nil {
			sets[b] = q.entry.doneRange(b*size, size)
		}
		s := sets[b]
		s.Add(i % size)
		sets[b] = s
	}
	q.saveDueAt = 0
	// The guard on the job's key keeps progress from outliving the job, those on
	// the blocks keep a write that is applied late from taking back what a later
	// one has added: a task was once missing from both and never started again.
	guards := []protocol.Guard{o.core.membership.leaderGuard(), q.entry.recordGuard()}
	var ops []protocol.Operation
	for _, b := range sortedKeys(sets) {
		if len(ops) < o.core.maxTxnOps() {
			key := prefix + q.id + "/" + strconv.Itoa(b)
			guards = append(guards, o.core.mirror.guard(key))
			ops = append(ops, protocol.Operation{Put: key, Value: records.Progress{Bits: sets[b].Text()}})
		}
	}
	o.progressWriteTokens -= float64(len(ops))
	q.savingProgress = true
	o.core.mirror.commit(guards, ops, func(d CommitResult) {
		q.saveDueAt = o.core.now.Monotonic + o.core.intervals.workerLease/4
		o.core.mirror.awaitOutcome(d.Outcome.Decided(), o.core.intervals.maintenance/2, func() { q.savingProgress = false })
	})
}
