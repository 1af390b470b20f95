package core

import (
	"fmt"
	"testing"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// Progress comes in blocks of two sizes, in any order, and some tasks in both: each counts once.
func TestDoneTasksOfBothBlockSizesAreMerged(t *testing.T) {
	var coarse, fine records.TaskSet
	coarse.Add(0)
	coarse.Add(fineBlockTasks + 5)
	fine.Add(5) // the same task, in the block that begins with it
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
			t.Errorf("task %d is done: %v, want %v", task, got, want)
		}
	}
	if j.doneCount != 3 {
		t.Errorf("%d tasks are done, want 3", j.doneCount)
	}
	part := j.doneRange(progressBlockTasks+fineBlockTasks, fineBlockTasks)
	if !part.Has(5) || !part.Has(7) || part.Has(0) {
		t.Errorf("the range holds %v", part)
	}
	part.Add(1) // a copy
	if j.isTaskDone(progressBlockTasks + fineBlockTasks + 1) {
		t.Error("a change of the range changes the entry")
	}
}

// What is kept of a job that is over is what its users may still ask, and jobs of one shape share it.
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
		t.Errorf("a done job: %+v", done)
	}
	if cancelled.record.State != protocol.JobCancelled || cancelled.doneCount != 0 || cancelled.record.StopReason != "cancelled by its user" {
		t.Errorf("a cancelled job: %+v", cancelled)
	}
	if a.get("job-3") != nil {
		t.Error("a job that never was")
	}
	if len(a.shapes) != 1 || len(a.reasons) != 2 {
		t.Errorf("%d shapes and %d reasons of three jobs", len(a.shapes), len(a.reasons))
	}
}

func TestPackedRecordsAreReadBack(t *testing.T) {
	record := records.Job{Spec: protocol.Job{ID: "job-1", Tasks: 3}, State: protocol.JobQueued, SubmittedAt: 5.5}
	for i := range 2000 {
		record.Spec.Dependencies = append(record.Spec.Dependencies, fmt.Sprintf("job-%09d", i))
	}
	text := packRecord(record)
	if size := protocol.JSONSize(record); len(text) >= size {
		t.Errorf("%d bytes are packed into %d", size, len(text))
	}
	got, err := unpackRecord(text)
	if err != nil || len(got.Spec.Dependencies) != 2000 || got.Spec.ID != "job-1" || got.SubmittedAt != 5.5 {
		t.Errorf("read back: %v, %d dependencies", err, len(got.Spec.Dependencies))
	}
	for _, broken := range []string{"", "?", text[:len(text)/2]} {
		if _, err := unpackRecord(broken); err == nil {
			t.Errorf("%d bytes of a packed record are taken for a whole one", len(broken))
		}
	}
}

func TestJobKeysAreParsed(t *testing.T) {
	for key, want := range map[string]string{"c/job/a": "a false true", "c/run/a": "a true true", "c/prog/a/0": "c/prog/a/0 true false"} {
		id, dependent, ok := jobOfKey(key)
		if got := fmt.Sprint(id, " ", dependent, " ", ok); got != want {
			t.Errorf("%s: %s, want %s", key, got, want)
		}
	}
	if key := chunkKey("job-1", "n-2", 3); key != "c/long/job-1/n-2/0003" || jobOfChunk(key) != "job-1" {
		t.Errorf("a chunk's key is %s, of job %s", key, jobOfChunk(key))
	}
}
