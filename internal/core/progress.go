package core

import (
	"math"
	"sort"
	"strconv"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// saveProgress makes completed tasks durable: jobs that are complete first, then
// progress, as far as the write budget goes.
func (s *scheduler) saveProgress() {
	s.refillWriteTokens()
	due := s.saveCompleted()
	// Those that have waited longest first, or the first names would take all.
	sort.SliceStable(due, func(a, b int) bool { return due[a].saveDueAt < due[b].saveDueAt })
	for _, q := range due {
		if s.progressWriteTokens < 1 {
			break
		}
		s.writeProgress(q)
	}
}

// refillWriteTokens adds the writes that progress may take since the last call, a second's at the most.
func (s *scheduler) refillWriteTokens() {
	rate := s.core.writeRate() * s.core.policy.ProgressShare
	s.progressWriteTokens = min(s.progressWriteTokens+(s.core.now.Monotonic-s.progressTokensAt).Seconds()*rate, rate)
	s.progressTokensAt = s.core.now.Monotonic
}

// saveCompleted writes the completion of jobs all of whose tasks are done, and returns those whose
// progress is due.
func (s *scheduler) saveCompleted() (due []*queuedJob) {
	for _, id := range sortedKeys(s.unsavedJobs) {
		q := s.unsavedJobs[id]
		switch {
		case q.entry.isFinal() || s.queue.Get(id) != q || len(q.unsavedTasks) == 0 && !q.complete():
			delete(s.unsavedJobs, id)
		case q.pendingWrite != noPendingWrite:
		case q.complete():
			s.writeCompletion(q)
		case q.saveDueAt > 0 && s.core.now.Monotonic >= q.saveDueAt:
			due = append(due, q)
		}
	}
	return due
}

// writeCompletion writes that a job is done. The answer "done" is given only from the
// mirror, so it is durable before it is said; the guard on the job's key settles
// a race with a cancellation the same way everywhere.
func (s *scheduler) writeCompletion(q *queuedJob) {
	c, j := s.core, q.entry
	q.beginWrite(pendingCompletion)
	final := finalRecord(j, protocol.JobDone, "")
	final.DoneAt = math.Floor(c.now.Wall) // as the archive keeps it, so that it is the same for every leader
	guards := []protocol.Guard{c.membership.leaderGuard(), j.recordGuard()}
	c.commit(guards, finalOps(j, final, c.maxTxnOps()), func(result CommitResult) {
		c.mirror.AwaitOutcome(result.Outcome.Decided(), c.intervals.maintenance/4, q.endWrite)
	})
}

// writeProgress writes the completed tasks of a job that are not durable yet.
func (s *scheduler) writeProgress(q *queuedJob) {
	c := s.core
	blockTasks, prefix := progressBlockTasks, keyProgress
	if c.maxValueBytes() < fullBlockBytes && q.entry.record.Spec.Tasks > fineBlockTasks {
		blockTasks, prefix = fineBlockTasks, keyFineProgress
	}
	blocks := unsavedBlocks(q, blockTasks)
	q.saveDueAt = 0
	// The guard on the job's key keeps progress from outliving the job, those on
	// the blocks keep a write that is applied late from taking back what a later
	// one has added: a task was once missing from both and never started again.
	guards := []protocol.Guard{c.membership.leaderGuard(), q.entry.recordGuard()}
	var ops []protocol.Operation
	for _, block := range sortedKeys(blocks) {
		if len(ops) < c.maxTxnOps() {
			key := prefix + q.id + "/" + strconv.Itoa(block)
			guards = append(guards, c.mirror.Guard(key))
			ops = append(ops, protocol.Operation{Put: key, Value: records.Progress{Bits: blocks[block].Text()}})
		}
	}
	s.progressWriteTokens -= float64(len(ops))
	q.beginWrite(pendingProgress)
	c.commit(guards, ops, func(result CommitResult) {
		q.saveDueAt = c.now.Monotonic + c.intervals.workerLease/4
		c.mirror.AwaitOutcome(result.Outcome.Decided(), c.intervals.maintenance/2, q.endWrite)
	})
}

// unsavedBlocks are the blocks of a job's tasks, by number, that have completed tasks which are not
// durable yet, each together with those that are.
func unsavedBlocks(q *queuedJob, blockTasks int) map[int]records.TaskSet {
	blocks := map[int]records.TaskSet{}
	for index := range q.unsavedTasks {
		block := index / blockTasks
		if blocks[block] == nil {
			blocks[block] = q.entry.doneRange(block*blockTasks, blockTasks)
		}
		set := blocks[block]
		set.Add(index % blockTasks)
		blocks[block] = set
	}
	return blocks
}
