package core

import (
	"strings"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// acceptance records which of a job's stored records accepted it. Two controllers may accept one
// submission, in two batches, or in a batch and then under the job's own key, because neither write
// is guarded by the other. On every controller the first acceptance counts and later ones are void.
// A record under the job's own key that is no acceptance (see records.Job.IsAcceptance) is a change
// that was derived from the first acceptance, so it always counts.
type acceptance struct {
	version    uint64 // version of the key that holds the first acceptance; 0 if a later change of the job's own key replaced it
	ownKeyVoid bool   // the job's own key holds a later acceptance, which is void
}

// isAcceptedBefore reports whether the job was accepted before the given version, so that an
// acceptance of that version is void.
func (j *jobEntry) isAcceptedBefore(version uint64) bool {
	return j.version > 0 && j.acceptance.version < version
}

// hasOwnRecord reports whether the record that counts is the one under the job's own key.
func (j *jobEntry) hasOwnRecord() bool { return j.recordVersion > 0 && !j.acceptance.ownKeyVoid }

// applyBatch applies a stored admission batch.
func (r *storedRecords) applyBatch(key string, value protocol.Raw, version uint64) error {
	var record records.AdmissionBatch
	if err := protocol.Decode(value, &record); err != nil {
		return err
	}
	batch := &admissionBatch{version: version}
	dependent := strings.HasPrefix(key, keyDependentBatch)
	for i := range record.Jobs {
		batch.jobs = append(batch.jobs, record.Jobs[i].Spec.ID)
		r.applyBatchedJob(&record.Jobs[i], dependent, version)
	}
	r.batches[key] = batch
	return nil
}

// applyBatchedJob applies the record of one job in a batch. A load reads batches in the order of
// their keys, so an earlier acceptance may be read after a later one, and then replaces it.
func (r *storedRecords) applyBatchedJob(record *records.Job, dependent bool, version uint64) {
	id := record.Spec.ID
	if _, ended := r.archive.jobs[id]; ended {
		return
	}
	j := r.entry(id)
	if j.isAcceptedBefore(version) {
		r.logVoidAcceptance(j, version)
		return
	}
	j.acceptance = acceptance{version: version, ownKeyVoid: j.recordVersion > 0}
	j.record, j.version = *record, version
	if j.recordVersion == 0 {
		j.dependent = dependent
	}
	r.jobUpdated(j)
	if j.isFinal() { // older versions accept a job with a cancelled dependency as already cancelled
		r.derivedAborts[id] = true
		r.archiveJob(j)
	}
}

func (r *storedRecords) logVoidAcceptance(j *jobEntry, version uint64) {
	r.core.logDebug("job accepted twice: the first record counts",
		"job", j.record.Spec.ID, "first", j.acceptance.version, "void", version)
}
