package core

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// The records of jobs: a job's own key, and the keys of its progress and its zones. Those that
// accept jobs are in acceptance.go and chunked_records.go.

// applyJob takes a job's own record.
func (r *storedRecords) applyJob(id string, dependent bool, value protocol.Raw, version uint64) error {
	var record records.Job
	if err := protocol.Decode(value, &record); err != nil {
		return err
	}
	if record.State == protocol.JobCancelled {
		r.core.cancellation.observed(id, version)
	}
	if archived, ok := r.archive.jobs[id]; ok {
		if version > archived.version && record.State != protocol.JobQueued {
			r.archive.add(&record, version)
			delete(r.derivedAborts, id)
		}
		return nil
	}
	j := r.entry(id)
	if j.recordVersion >= version {
		return nil // nothing new: the chunks of a long record are read once
	}
	if record.IsAcceptance() && j.isAcceptedBefore(version) {
		r.logVoidAcceptance(j, version)
		j.recordVersion, j.dependent, j.acceptance.ownKeyVoid = version, dependent, true
		return nil
	}
	if record.Chunks > 0 {
		if err := r.assembleRecord(&record); err != nil {
			return err
		}
	}
	r.updateJob(j, record, dependent, version)
	return nil
}

// updateJob takes a newer version of a job's own record, and archives the job if that is final.
func (r *storedRecords) updateJob(j *jobEntry, record records.Job, dependent bool, version uint64) {
	if len(record.Zones) == 0 {
		record.Zones = j.record.Zones // they may have a key of their own
	}
	ends := !j.isFinal() && record.State != protocol.JobQueued
	j.record, j.version, j.recordVersion, j.dependent = record, version, version, dependent
	j.acceptance = acceptance{}
	if record.IsAcceptance() {
		j.acceptance.version = version
	}
	if j.isFinal() {
		if record.State == protocol.JobDone {
			j.doneCount = record.Spec.Tasks
		}
		j.doneBlocks = nil
	}
	r.jobUpdated(j)
	if ends {
		r.archiveJob(j)
	}
}

// archiveJob moves a job that has ended to the archive.
func (r *storedRecords) archiveJob(j *jobEntry) {
	c, id := r.core, j.record.Spec.ID
	for _, key := range j.ownedKeys {
		c.garbage.add(key)
	}
	if c.membership.leading {
		c.logDebug("job ended", "job", id, "state", j.record.State, "reason", j.record.StopReason)
	}
	c.shard.stopJob(j)
	r.archive.add(&j.record, j.version)
	delete(r.jobs, id)
	r.dependencies.MarkFinished(id, j.record.State == protocol.JobDone, j.record.DoneAt)
}

// addOwnedKey notes a key that is to be deleted when a job is over. It returns nil, and leaves the key
// to the garbage collector, if the job is over already.
func (r *storedRecords) addOwnedKey(id, key string) *jobEntry {
	if _, over := r.archive.jobs[id]; over {
		r.core.garbage.add(key)
		return nil
	}
	j := r.entry(id)
	j.addOwnedKey(key)
	return j
}

// applyProgress takes a block of a job's completed tasks, so many to a block. name is the job and
// the number of the block.
func (r *storedRecords) applyProgress(key, name string, blockTasks int, value protocol.Raw) error {
	id, number, _ := strings.Cut(name, "/")
	block, err := strconv.Atoi(number)
	if err != nil || block < 0 || block > protocol.MaxTasks/blockTasks {
		return fmt.Errorf("progress key %q", name)
	}
	var record records.Progress
	if err := protocol.Decode(value, &record); err != nil {
		return err
	}
	set, err := records.ParseTaskSet(record.Bits)
	if err != nil {
		return err
	}
	if j := r.addOwnedKey(id, key); j != nil {
		j.mergeDone(block*blockTasks, set)
		r.core.scheduler.progressSaved(id)
	}
	return nil
}

// applyZones takes the zones of a job whose record could not be written again.
func (r *storedRecords) applyZones(key string, value protocol.Raw) error {
	var record records.Job
	if err := protocol.Decode(value, &record); err != nil {
		return err
	}
	if j := r.addOwnedKey(key[len(keyJobZones):], key); j != nil {
		j.record.Zones = record.Zones
	}
	return nil
}
