package estimator

import (
	"fmt"
	"testing"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// completeTask observes the completion of the only task of a job, and begins a new round.
func completeTask(e *Estimator, job protocol.Job, seconds, now float64) {
	var jobMean RunningMean
	e.TaskCompleted(&job, &jobMean, true, seconds, now)
	e.BeginRound()
}

func TestPredictionFallsBackFromClassToEstimate(t *testing.T) {
	e := New(100)
	job := func(team, class string, cpus float64) protocol.Job {
		return protocol.Job{Team: team, Class: class, CPUs: cpus, EstimateS: 7}
	}
	expect := func(name string, job protocol.Job, seconds float64) {
		t.Helper()
		if got := e.Predict(&job); got != seconds {
			t.Errorf("%s: got %v s, want %v s", name, got, seconds)
		}
	}
	expect("no history: the owner's estimate", job("red", "photos", 1), 7)
	unestimated := protocol.Job{Team: "red"}
	expect("neither history nor estimate", unestimated, minSeconds)
	completeTask(e, job("red", "photos", 1), 10, 1)
	completeTask(e, job("red", "reports", 2), 40, 2)
	completeTask(e, job("blue", "videos", 4), 100, 3)
	expect("the class's mean", job("red", "photos", 2), 10)
	expect("the team's mean", job("red", "other", 8), 25)
	expect("the mean of tasks with the same number of CPUs", job("green", "other", 4), 100)
	expect("no matching history: the owner's estimate", job("green", "other", 8), 7)
}

func TestPredictionsAreConstantWithinRound(t *testing.T) {
	e := New(100)
	job := protocol.Job{Team: "red", Class: "photos", CPUs: 1}
	completeTask(e, job, 10, 1)
	before := e.Predict(&job)
	var jobMean RunningMean
	e.TaskCompleted(&job, &jobMean, true, 30, 2)
	if got := e.Predict(&job); got != before {
		t.Errorf("got %v s within the round, want %v s", got, before)
	}
	e.BeginRound()
	if got := e.Predict(&job); got != 20 {
		t.Errorf("got %v s in the next round, want 20 s", got)
	}
}

func TestOwnTasksShiftPredictionFromPrior(t *testing.T) {
	e := New(100)
	job := protocol.Job{Team: "red", Class: "photos", CPUs: 1}
	var jobMean RunningMean
	if got := e.PredictForJob(&job, 10, jobMean); got != 10 {
		t.Errorf("got %v s without completed tasks of the job, want 10 s", got)
	}
	for range priorWeight {
		e.TaskCompleted(&job, &jobMean, false, 20, 1)
	}
	if got := e.PredictForJob(&job, 10, jobMean); got != 15 {
		t.Errorf("got %v s after priorWeight tasks of the job, want 15 s", got)
	}
}

func TestRecordKeepsNewestMeansThatFit(t *testing.T) {
	e := New(100)
	for i := range maxKeys + 10 {
		completeTask(e, protocol.Job{Team: "red", Class: fmt.Sprint(i), CPUs: 1}, 10.123456, float64(i))
	}
	version := e.Version()
	if version != maxKeys+10 {
		t.Errorf("got version %d after %d observed durations", version, maxKeys+10)
	}
	record := e.Record(1 << 20)
	if len(record.Means) != maxKeys || record.Means[0].Class != fmt.Sprint(maxKeys+9) {
		t.Fatalf("record has %d means, the first for class %s", len(record.Means), record.Means[0].Class)
	}
	small := e.Record(500)
	if protocol.JSONSize(small) > 500 || len(small.Means) == 0 {
		t.Errorf("record takes %d bytes with %d means, want at most 500 bytes and some means", protocol.JSONSize(small), len(small.Means))
	}
	reloaded := New(100)
	reloaded.Load(&record)
	for key, mean := range reloaded.Means() {
		if mean != 10.12 {
			t.Fatalf("key %v: got mean %v, want 10.12", key, mean)
		}
	}
	reloaded.Load(nil)
	if job := (protocol.Job{Team: "red", EstimateS: 3}); reloaded.Predict(&job) != 3 {
		t.Error("Load(nil) did not clear the history")
	}
}
