package estimator

import (
	"fmt"
	"testing"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// completeTask observes a completed task of a job that has only this one.
func completeTask(e *Estimator, job protocol.Job, seconds, now float64) {
	var own RunningMean
	e.TaskCompleted(&job, &own, true, seconds, now)
	e.BeginRound()
}

func TestPredictionFallsBackFromClassToEstimate(t *testing.T) {
	e := New(100)
	job := func(team, class string, cpus float64) protocol.Job {
		return protocol.Job{Team: team, Class: class, CPUs: cpus, EstimateS: 7}
	}
	expect := func(what string, job protocol.Job, seconds float64) {
		t.Helper()
		if got := e.Predict(&job); got != seconds {
			t.Errorf("%s: %v, not %v", what, got, seconds)
		}
	}
	expect("no history: the owner's estimate", job("red", "photos", 1), 7)
	unestimated := protocol.Job{Team: "red"}
	expect("nothing is known", unestimated, minSeconds)
	completeTask(e, job("red", "photos", 1), 10, 1)
	completeTask(e, job("red", "reports", 2), 40, 2)
	completeTask(e, job("blue", "videos", 4), 100, 3)
	expect("the class's mean", job("red", "photos", 2), 10)
	expect("the team's mean", job("red", "other", 8), 25)
	expect("the mean of the same CPUs", job("green", "other", 4), 100)
	expect("none of it: the owner's estimate", job("green", "other", 8), 7)
}

func TestPredictionsAreConstantWithinRound(t *testing.T) {
	e := New(100)
	job := protocol.Job{Team: "red", Class: "photos", CPUs: 1}
	completeTask(e, job, 10, 1)
	before := e.Predict(&job)
	var own RunningMean
	e.TaskCompleted(&job, &own, true, 30, 2)
	if got := e.Predict(&job); got != before {
		t.Errorf("%v within the round, not %v", got, before)
	}
	e.BeginRound()
	if got := e.Predict(&job); got != 20 {
		t.Errorf("%v in the next round, not 20", got)
	}
}

func TestOwnTasksShiftPredictionFromPrior(t *testing.T) {
	e := New(100)
	job := protocol.Job{Team: "red", Class: "photos", CPUs: 1}
	var own RunningMean
	if got := e.PredictForJob(&job, 10, own); got != 10 {
		t.Errorf("%v without tasks of its own, not 10", got)
	}
	for range priorWeight {
		e.TaskCompleted(&job, &own, false, 20, 1)
	}
	if got := e.PredictForJob(&job, 10, own); got != 15 {
		t.Errorf("%v after as many tasks as the prior weighs, not 15", got)
	}
}

func TestRecordKeepsNewestMeansThatFit(t *testing.T) {
	e := New(100)
	for i := range maxKeys + 10 {
		completeTask(e, protocol.Job{Team: "red", Class: fmt.Sprint(i), CPUs: 1}, 10.123456, float64(i))
	}
	version := e.Version()
	if version != maxKeys+10 {
		t.Errorf("version %d after %d durations", version, maxKeys+10)
	}
	record := e.Record(1 << 20)
	if len(record.Means) != maxKeys || record.Means[0].Class != fmt.Sprint(maxKeys+9) {
		t.Fatalf("%d means, the first of class %s", len(record.Means), record.Means[0].Class)
	}
	small := e.Record(500)
	if protocol.JSONSize(small) > 500 || len(small.Means) == 0 {
		t.Errorf("%d bytes with %d means", protocol.JSONSize(small), len(small.Means))
	}
	reloaded := New(100)
	reloaded.Load(&record)
	for key, mean := range reloaded.Means() {
		if mean != 10.12 {
			t.Fatalf("%v: %v", key, mean)
		}
	}
	reloaded.Load(nil)
	if job := (protocol.Job{Team: "red", EstimateS: 3}); reloaded.Predict(&job) != 3 {
		t.Error("a history that was dropped is still known")
	}
}
