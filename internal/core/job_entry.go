package core

import (
	"slices"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// jobEntry is what the mirror holds of an unfinished job. For a finished job, jobArchive.get makes
// one on request.
type jobEntry struct {
	record        records.Job
	version       uint64            // version of the key that record was read from, which is that of a batch or the job's own key; 0: the job is not accepted
	recordVersion uint64            // version of the job's own key; 0: the key does not exist yet
	acceptance    acceptance        // which stored record accepted it
	doneBlocks    []records.TaskSet // durably completed tasks, progressBlockTasks tasks to a set
	doneCount     int               // number of tasks in doneBlocks
	ownedKeys     []string          // keys to delete when the job ends: progress, chunks, zones
	leaderView    peerproto.JobView // running tasks and waiting reason that the leader published last
	dependent     bool              // its own key has the prefix keyDependentJob
	readyThisTerm bool              // it became ready while this controller led, so no earlier leader started a task of it
	readyAt       float64           // time of day, in seconds, when the last of its dependencies was done
}

// recordKey returns the job's own key, whether or not it exists yet.
func (j *jobEntry) recordKey() string {
	if j.dependent {
		return keyDependentJob + j.record.Spec.ID
	}
	return keyJob + j.record.Spec.ID
}

// recordGuard returns a guard that holds as long as the job's own key has the version that the
// mirror holds.
func (j *jobEntry) recordGuard() protocol.Guard {
	return protocol.Guard{Key: j.recordKey(), Version: j.recordVersion}
}

// waitingSince returns the time of day, in seconds, from which a job's waiting time counts: when it
// was submitted or when the last of its dependencies was done, whichever is later.
func (j *jobEntry) waitingSince() float64 { return max(j.record.SubmittedAt, j.readyAt) }

// isFinal reports whether the job is done or cancelled. A final state never changes.
func (j *jobEntry) isFinal() bool { return j.record.State != protocol.JobQueued }

// isTaskDone reports whether a task's completion is durable.
func (j *jobEntry) isTaskDone(index int) bool {
	block := index / progressBlockTasks
	return block < len(j.doneBlocks) && j.doneBlocks[block].Has(index%progressBlockTasks)
}

// doneRange returns the durably completed tasks among the size tasks that start at first, as a set
// relative to first. Both must be multiples of 8, and the range must lie in one block of
// progressBlockTasks.
func (j *jobEntry) doneRange(first, size int) records.TaskSet {
	block, offset := first/progressBlockTasks, first%progressBlockTasks/8
	if block >= len(j.doneBlocks) || offset >= len(j.doneBlocks[block]) {
		return nil
	}
	set := j.doneBlocks[block][offset:]
	return slices.Clone(set[:min(len(set), size/8)])
}

// mergeDone adds a set of completed tasks, whose numbers are relative to first. A completed task
// stays completed, even if another progress key of the job does not contain it.
func (j *jobEntry) mergeDone(first int, set records.TaskSet) {
	block, offset := first/progressBlockTasks, first%progressBlockTasks/8
	for block >= len(j.doneBlocks) {
		j.doneBlocks = append(j.doneBlocks, nil)
	}
	j.doneCount += j.doneBlocks[block].Merge(set, offset)
}

// addOwnedKey records a key that is to be deleted when the job ends.
func (j *jobEntry) addOwnedKey(key string) {
	if !slices.Contains(j.ownedKeys, key) {
		j.ownedKeys = append(j.ownedKeys, key)
	}
}

// finalRecord returns the record that is stored for a job that has ended, with only those fields of
// its description that are still needed.
func finalRecord(j *jobEntry, state, reason string) records.Job {
	spec := j.record.Spec
	return records.Job{
		Spec: protocol.Job{ID: spec.ID, Class: spec.Class, Team: spec.Team, Kind: spec.Kind, Urgency: spec.Urgency, Tasks: spec.Tasks,
			CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB},
		State: state, SubmittedAt: j.record.SubmittedAt, StopReason: reason,
	}
}

// finalOps returns the operations that write a job's final record and delete its other keys, at
// most maxOps in total. The garbage collector deletes the remaining keys.
func finalOps(j *jobEntry, final records.Job, maxOps int) []protocol.Operation {
	ops := []protocol.Operation{{Put: j.recordKey(), Value: final}}
	for _, key := range j.ownedKeys[:min(len(j.ownedKeys), maxOps-1)] {
		ops = append(ops, protocol.Operation{Delete: key})
	}
	return ops
}
