package core

import (
	"strings"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// acceptance tells which of a job's stored records accepted it. Two nodes may accept one
// submission, in two batches, or in a batch and then with the job's own key, since neither write
// is guarded by the other. The first of them counts, on every node; a later one is void. What a
// later record of the job's own key says (see records.Job.IsAcceptance) rests on the first one,
// so it counts whatever was stored before.
type acceptance struct {
	version    uint64 // of the record that counts, 0: the job's own key has been changed since
	ownKeyVoid bool   // the job's own key holds a later acceptance, which does not count
}

// isAcceptedBefore reports whether an accepting record of a version comes after the one that
// counts, so that it is void.
func (j *jobEntry) isAcceptedBefore(version uint64) bool {
	return j.version > 0 && j.acceptance.version < version
}

// hasOwnRecord reports whether the job's own key holds the record that counts.
func (j *jobEntry) hasOwnRecord() bool { return j.recordVersion > 0 && !j.acceptance.ownKeyVoid }

// applyBatch takes a key that holds several jobs.
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

// applyBatchedJob takes what a batch says of one of its jobs. Batches are loaded in the order of
// their names, so an earlier acceptance may come after a later one.
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
	if j.isFinal() { // an older version accepts the dependent of a cancelled job like that
		r.derivedAborts[id] = true
		r.archiveJob(j)
	}
}

// logVoidAcceptance says that a job was accepted once more by a later record.
func (r *storedRecords) logVoidAcceptance(j *jobEntry, version uint64) {
	r.core.logDebug("job accepted twice: the first record counts",
		"job", j.record.Spec.ID, "first", j.acceptance.version, "void", version)
}
