package core

import (
	"math"
	"sort"
	"strconv"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// saveProgress makes completed tasks durable. It writes the final records of complete jobs first,
// and then progress of other jobs while write tokens are left.
func (s *scheduler) saveProgress() {
	s.refillWriteTokens()
	dueJobs := s.saveCompleted()
	// The jobs that have waited longest come first. If the jobs were written in the order of their
	// ids, those with the lowest ids would use all write tokens.
	sort.SliceStable(dueJobs, func(a, b int) bool { return dueJobs[a].saveDueAt < dueJobs[b].saveDueAt })
	for _, q := range dueJobs {
		if s.progressWriteTokens < 1 {
			break
		}
		s.writeProgress(q)
	}
}

// refillWriteTokens adds the write tokens for progress that have accrued since the last call. At most
// those of one second accumulate.
func (s *scheduler) refillWriteTokens() {
	rate := s.core.writeRate() * s.core.policy.ProgressShare
	s.progressWriteTokens = min(s.progressWriteTokens+(s.core.now.Monotonic-s.progressTokensAt).Seconds()*rate, rate)
	s.progressTokensAt = s.core.now.Monotonic
}

// saveCompleted writes the final records of jobs whose tasks are all done, and returns the jobs whose
// progress is due to be written.
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

// writeCompletion writes that a job is done. A response to a user contains "done" only once the mirror
// has read the record, so the record is durable by then. If the job is cancelled at the same time, the
// guard on the job's own key lets exactly one of the two writes succeed, so all controllers see the
// same outcome.
func (s *scheduler) writeCompletion(q *queuedJob) {
	c, j := s.core, q.entry
	q.beginWrite(pendingCompletion)
	final := finalRecord(j, protocol.JobDone, "")
	final.DoneAt = math.Floor(c.now.Wall) // whole seconds, as in the archive, so that every leader has the same value
	guards := []protocol.Guard{c.membership.leaderGuard(), j.recordGuard()}
	c.commit(guards, finalOps(j, final, c.maxTxnOps()), func(result CommitResult) {
		c.mirror.AwaitOutcome(result.Outcome.Decided(), c.intervals.maintenance/4, q.endWrite)
	})
}

// writeProgress writes the blocks of a job that contain completed tasks which are not durable yet.
func (s *scheduler) writeProgress(q *queuedJob) {
	c := s.core
	blockTasks, prefix := progressBlockTasks, keyProgress
	if c.maxValueBytes() < fullBlockBytes && q.entry.record.Spec.Tasks > fineBlockTasks {
		blockTasks, prefix = fineBlockTasks, keyFineProgress
	}
	blocks := unsavedBlocks(q, blockTasks)
	q.saveDueAt = 0
	// The guard on the job's own key prevents progress from being written after the job has ended.
	// The guards on the blocks prevent a write that is applied late from overwriting a newer one:
	// without them a completed task was missing from both the stored block and unsavedTasks, and was
	// never started again.
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

// unsavedBlocks returns, by block number, the blocks of a job that contain completed tasks which are
// not durable yet. Each set also contains the tasks of the block that are durable.
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
