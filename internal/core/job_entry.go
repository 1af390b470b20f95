package core

import (
	"slices"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// jobEntry is what the mirror holds of a job that is not over.
type jobEntry struct {
	record        records.Job
	version       uint64            // of the newest key whose word on the job counts, 0: it is not accepted
	recordVersion uint64            // of the job's own key, 0: there is none yet
	acceptance    acceptance        // which stored record accepted it
	doneBlocks    []records.TaskSet // durably completed tasks, by progressBlockTasks
	doneCount     int               // of tasks in doneBlocks
	ownedKeys     []string          // keys to delete when the job is over: progress, chunks, zones
	leaderView    peerproto.JobView // as the leader published it last
	dependent     bool              // its own key is below keyDependentJob
	readyThisTerm bool              // it became ready while this node led, so no earlier leader started a task of it
	readyAt       float64           // time of day, in seconds, when the last job that it needs was done
}

// recordKey is where the job's own record is, or will be.
func (j *jobEntry) recordKey() string {
	if j.dependent {
		return keyDependentJob + j.record.Spec.ID
	}
	return keyJob + j.record.Spec.ID
}

// recordGuard ties a write to what the mirror holds of the job's own record.
func (j *jobEntry) recordGuard() protocol.Guard {
	return protocol.Guard{Key: j.recordKey(), Version: j.recordVersion}
}

// waitingSince is the time of day, in seconds, from which a job's waiting counts: its submission,
// or when the last job that it needs was done.
func (j *jobEntry) waitingSince() float64 { return max(j.record.SubmittedAt, j.readyAt) }

// isFinal reports whether the job is done or cancelled; it stays so.
func (j *jobEntry) isFinal() bool { return j.record.State != protocol.JobQueued }

// isTaskDone reports whether a task's completion is durable.
func (j *jobEntry) isTaskDone(index int) bool {
	block := index / progressBlockTasks
	return block < len(j.doneBlocks) && j.doneBlocks[block].Has(index%progressBlockTasks)
}

// doneRange is which of a job's tasks are durably done, of size from a first one on: both
// whole bytes of the sets.
func (j *jobEntry) doneRange(first, size int) records.TaskSet {
	block, offset := first/progressBlockTasks, first%progressBlockTasks/8
	if block >= len(j.doneBlocks) || offset >= len(j.doneBlocks[block]) {
		return nil
	}
	set := j.doneBlocks[block][offset:]
	return slices.Clone(set[:min(len(set), size/8)])
}

// mergeDone adds completed tasks from a first one on. A task that was done stays so, whichever
// key says it.
func (j *jobEntry) mergeDone(first int, set records.TaskSet) {
	block, offset := first/progressBlockTasks, first%progressBlockTasks/8
	for block >= len(j.doneBlocks) {
		j.doneBlocks = append(j.doneBlocks, nil)
	}
	j.doneCount += j.doneBlocks[block].Merge(set, offset)
}

// addOwnedKey notes a key that is to be deleted when the job is over.
func (j *jobEntry) addOwnedKey(key string) {
	if !slices.Contains(j.ownedKeys, key) {
		j.ownedKeys = append(j.ownedKeys, key)
	}
}

// finalRecord is what is kept of a job that is over.
func finalRecord(j *jobEntry, state, reason string) records.Job {
	spec := j.record.Spec
	return records.Job{
		Spec: protocol.Job{ID: spec.ID, Class: spec.Class, Team: spec.Team, Kind: spec.Kind, Urgency: spec.Urgency, Tasks: spec.Tasks,
			CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB},
		State: state, SubmittedAt: j.record.SubmittedAt, StopReason: reason,
	}
}

// finalOps writes a job's final state and deletes what else is kept of it, as far as one
// transaction of so many operations goes; the garbage collector deletes the rest.
func finalOps(j *jobEntry, final records.Job, maxOps int) []protocol.Operation {
	ops := []protocol.Operation{{Put: j.recordKey(), Value: final}}
	for _, key := range j.ownedKeys[:min(len(j.ownedKeys), maxOps-1)] {
		ops = append(ops, protocol.Operation{Delete: key})
	}
	return ops
}
