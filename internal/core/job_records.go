package core

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// How stored records of jobs are applied: those under a job's own key, and its progress and zones.
// Batches are in acceptance.go, chunks in chunked_records.go.

// applyJob applies the record under a job's own key.
func (r *storedRecords) applyJob(id string, dependent bool, value protocol.Raw, version uint64) error {
	var record records.Job
	if err := protocol.Decode(value, &record); err != nil {
		return err
	}
	if record.State == protocol.JobCancelled {
		r.core.cancellation.recordObserved(id, version)
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
		// This version is applied already. A chunked record can't be assembled again, because
		// the texts of its chunks are dropped afterwards.
		return nil
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

// updateJob applies a newer version of a job's own record, and archives the job if it is final.
func (r *storedRecords) updateJob(j *jobEntry, record records.Job, dependent bool, version uint64) {
	if len(record.Zones) == 0 {
		record.Zones = j.record.Zones // the zones may be stored under a separate key, see applyZones
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

// archiveJob moves a finished job to the archive, stops its tasks on this controller's machines and
// hands its remaining keys to the garbage collector.
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

// addOwnedKey records a key that is to be deleted when the job ends, and returns the job's entry. If
// the job has ended already it hands the key to the garbage collector and returns nil.
func (r *storedRecords) addOwnedKey(id, key string) *jobEntry {
	if _, ended := r.archive.jobs[id]; ended {
		r.core.garbage.add(key)
		return nil
	}
	j := r.entry(id)
	j.addOwnedKey(key)
	return j
}

// applyProgress applies the completed tasks of one block of a job. name has the form "job/block
// number", and a block covers blockTasks tasks.
func (r *storedRecords) applyProgress(key, name string, blockTasks int, value protocol.Raw) error {
	id, number, _ := strings.Cut(name, "/")
	block, err := strconv.Atoi(number)
	if err != nil || block < 0 || block > protocol.MaxTasks/blockTasks {
		return fmt.Errorf("parse progress key: invalid block number in %q", name)
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

// applyZones applies the zones of a job that are stored under a separate key, because the job's
// record with its zones is larger than a value may be.
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
