package core

import (
	"fmt"
	"testing"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// Progress is stored in blocks of two sizes, which may be read in any order. A task that is in blocks of
// both sizes counts once.
func TestDoneTasksOfBothBlockSizesAreMerged(t *testing.T) {
	var coarse, fine records.TaskSet
	coarse.Add(0)
	coarse.Add(fineBlockTasks + 5)
	fine.Add(5) // the same task as coarse has, in a fine block
	fine.Add(7)
	j := &jobEntry{}
	j.mergeDone(progressBlockTasks+fineBlockTasks, fine)
	j.mergeDone(progressBlockTasks, coarse)
	j.mergeDone(progressBlockTasks, coarse)
	for task, want := range map[int]bool{
		0:                                       false,
		progressBlockTasks:                      true,
		progressBlockTasks + fineBlockTasks + 5: true,
		progressBlockTasks + fineBlockTasks + 7: true,
		progressBlockTasks + fineBlockTasks + 8: false,
		5 * progressBlockTasks:                  false,
	} {
		if got := j.isTaskDone(task); got != want {
			t.Errorf("isTaskDone(%d) = %v, want %v", task, got, want)
		}
	}
	if j.doneCount != 3 {
		t.Errorf("doneCount = %d, want 3", j.doneCount)
	}
	part := j.doneRange(progressBlockTasks+fineBlockTasks, fineBlockTasks)
	if !part.Has(5) || !part.Has(7) || part.Has(0) {
		t.Errorf("doneRange = %v, want tasks 5 and 7 and not 0", part)
	}
	part.Add(1) // must change a copy only
	if j.isTaskDone(progressBlockTasks + fineBlockTasks + 1) {
		t.Error("doneRange returned the set of the entry, not a copy: changing it changed the entry")
	}
}

// The archive keeps what users may still query about a finished job. Jobs whose descriptions
// differ only in the ID and the number of tasks share one stored shape, which holds the other fields.
func TestArchiveKeepsWhatUsersMayQuery(t *testing.T) {
	a := newJobArchive((&Core{}).fairShareRules)
	spec := protocol.Job{Class: "reports", Team: "blue", Kind: protocol.KindArray, Urgency: protocol.UrgencyLow, Tasks: 7, CPUs: 2, MemoryGB: 3}
	for i := range 3 {
		spec.ID = fmt.Sprintf("job-%d", i)
		record := records.Job{Spec: spec, State: protocol.JobDone, SubmittedAt: 1000.7, DoneAt: 2000}
		if i == 2 {
			record.State, record.StopReason, record.DoneAt = protocol.JobCancelled, "cancelled by its user", 0
		}
		a.add(&record, uint64(10+i))
	}
	done, cancelled := a.get("job-1"), a.get("job-2")
	if done.record.State != protocol.JobDone || done.doneCount != 7 || done.version != 11 || done.record.Spec.ID != "job-1" || done.record.Spec.Class != "reports" {
		t.Errorf("archived job that is done is %+v, want job-1 of class reports with 7 done tasks and version 11", done)
	}
	if cancelled.record.State != protocol.JobCancelled || cancelled.doneCount != 0 || cancelled.record.StopReason != "cancelled by its user" {
		t.Errorf("archived job that was cancelled is %+v, want no done tasks and the reason that its user cancelled it", cancelled)
	}
	if a.get("job-3") != nil {
		t.Error("the archive returned a job that was never added")
	}
	if len(a.shapes) != 1 || len(a.reasons) != 2 {
		t.Errorf("three jobs are stored with %d shapes and %d reasons, want 1 and 2", len(a.shapes), len(a.reasons))
	}
}

func TestPackedRecordsAreReadBack(t *testing.T) {
	record := records.Job{Spec: protocol.Job{ID: "job-1", Tasks: 3}, State: protocol.JobQueued, SubmittedAt: 5.5}
	for i := range 2000 {
		record.Spec.Dependencies = append(record.Spec.Dependencies, fmt.Sprintf("job-%09d", i))
	}
	text := packRecord(record)
	if size := protocol.JSONSize(record); len(text) >= size {
		t.Errorf("a record of %d bytes was packed into %d bytes, want fewer", size, len(text))
	}
	got, err := unpackRecord(text)
	if err != nil || len(got.Spec.Dependencies) != 2000 || got.Spec.ID != "job-1" || got.SubmittedAt != 5.5 {
		t.Errorf("unpacked record: error %v, %d dependencies, want 2000", err, len(got.Spec.Dependencies))
	}
	for _, invalid := range []string{"", "?", text[:len(text)/2]} {
		if _, err := unpackRecord(invalid); err == nil {
			t.Errorf("%d bytes that are not a whole packed record were unpacked without an error", len(invalid))
		}
	}
}

func TestJobKeysAreParsed(t *testing.T) {
	for key, want := range map[string]string{"c/job/a": "a false true", "c/run/a": "a true true", "c/prog/a/0": "c/prog/a/0 true false"} {
		id, dependent, ok := jobOfKey(key)
		if got := fmt.Sprint(id, " ", dependent, " ", ok); got != want {
			t.Errorf("key %s parsed as %s, want %s", key, got, want)
		}
	}
	if key := chunkKey("job-1", "n-2", 3); key != "c/long/job-1/n-2/0003" || jobOfChunk(key) != "job-1" {
		t.Errorf("chunk key %s, parsed as of job %s; want c/long/job-1/n-2/0003 of job-1", key, jobOfChunk(key))
	}
}
