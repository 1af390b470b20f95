package core

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/calibration"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// runningMean is a running mean of durations.
type runningMean struct {
	mean, count, lastAt float64
}

func (m *runningMean) add(x, wall, cap float64) {
	m.count = min(m.count+1, cap)
	m.mean += (x - m.mean) / m.count
	m.lastAt = wall
}

// historyKey is whose durations a running mean is of.
type historyKey struct {
	team, class string
	cpus, gpus  float64
}

func historyKeyOf(s *protocol.Job) historyKey { return historyKey{s.Team, s.Class, s.CPUs, s.GPUs} }

func (k historyKey) String() string {
	return fmt.Sprintf("%s %s %g %g", k.team, k.class, k.cpus, k.gpus)
}

func (k historyKey) compare(b historyKey) int {
	return cmp.Or(cmp.Compare(k.team, b.team), cmp.Compare(k.class, b.class), cmp.Compare(k.cpus, b.cpus), cmp.Compare(k.gpus, b.gpus))
}

// estimator predicts a task's duration from completed ones only: a task that
// failed ran for a time that says nothing.
type estimator struct {
	core         *Core
	history      map[historyKey]*runningMean
	predictions  map[historyKey]float64            // predictions of this round, 0: nothing is known
	calibrations map[historyKey]*calibration.Model // what the owners' estimates have been worth
	stale        bool                              // durations have come since
	unsaved      bool
	saving       bool
	savedAt      time.Duration
}

func newEstimator(c *Core) *estimator {
	return &estimator{core: c, history: map[historyKey]*runningMean{}, predictions: map[historyKey]float64{}, calibrations: map[historyKey]*calibration.Model{}}
}

func (e *estimator) load() {
	clear(e.history)
	clear(e.predictions)
	clear(e.calibrations)
	e.savedAt = e.core.now.Monotonic
	if e.core.records.estimates == nil {
		return
	}
	for _, r := range e.core.records.estimates.Means {
		e.history[historyKey{r.Team, r.Class, r.CPUs, r.GPUs}] = &runningMean{mean: r.Mean, count: r.Count, lastAt: r.LastAt}
	}
}

func (e *estimator) observe(s *protocol.Job, seconds float64) {
	k := historyKeyOf(s)
	m := e.history[k]
	if m == nil {
		m = &runningMean{}
		e.history[k] = m
	}
	m.add(seconds, e.core.now.Wall, e.core.policy.HistoryTasks)
	e.unsaved, e.stale = true, true
}

// jobArrived counts a new job's estimate by its owner among those of its name.
func (e *estimator) jobArrived(s *protocol.Job) {
	k := historyKeyOf(s)
	if e.calibrations[k] == nil {
		if len(e.calibrations) >= maxHistoryKeys {
			return // names that never come back teach nothing
		}
		e.calibrations[k] = &calibration.Model{}
	}
	e.calibrations[k].ObserveEstimate(s.EstimateS)
}

// taskCompleted counts a completed task. The first of a job tells what its owner's estimate was
// worth.
func (e *estimator) taskCompleted(q *queuedJob, seconds float64) {
	s := &q.entry.record.Spec
	if f := e.calibrations[historyKeyOf(s)]; f != nil && q.durations.count == 0 && q.entry.doneCount == 0 {
		if usual := e.predictFromHistory(historyKeyOf(s)); usual > 0 {
			f.ObserveDuration(s.EstimateS, seconds/usual)
		}
	}
	q.durations.add(seconds, e.core.now.Wall, e.core.policy.HistoryTasks)
	e.observe(s, seconds)
}

// predictForJob predicts a task of one job, as distinct from others of its name: by the owner's
// estimate as far as those have been worth something, and by its own completed tasks.
func (e *estimator) predictForJob(q *queuedJob) float64 {
	x := q.predictedSeconds
	if f := e.calibrations[historyKeyOf(&q.entry.record.Spec)]; f != nil && e.predictFromHistory(historyKeyOf(&q.entry.record.Spec)) > 0 {
		x *= f.Factor(q.entry.record.Spec.EstimateS)
	}
	// The first tasks to complete are the shortest ones, so a few prove little.
	return (x*priorWeight + q.durations.mean*q.durations.count) / (priorWeight + q.durations.count)
}

// maxHistoryKeys bounds the names whose durations, and owners' estimates, are followed.
const maxHistoryKeys = 1024

// priorWeight is how many completed tasks of a job count as much as what is known of others.
const priorWeight = 4

// beginRound lets predictions take account of what has come since the last round.
// Within one they stay as they are: thousands of open jobs share some dozens of names.
func (e *estimator) beginRound() {
	if e.stale {
		e.stale = false
		clear(e.predictions)
	}
}

// predict gives the mean of the team and class; failing that the team's, then
// that of all with the same GPU (CPU) demand, then the owner's own estimate.
func (e *estimator) predict(s *protocol.Job) float64 {
	if x := e.predictFromHistory(historyKeyOf(s)); x > 0 {
		return x
	}
	return max(s.EstimateS, 1)
}

// predictFromHistory is the prediction from history, 0 if there is none.
func (e *estimator) predictFromHistory(k historyKey) float64 {
	x, ok := e.predictions[k]
	if !ok {
		x = e.computeFromHistory(k)
		e.predictions[k] = x
	}
	return x
}

// computeFromHistory works that out anew.
func (e *estimator) computeFromHistory(k historyKey) float64 {
	var name, team, demand runningMean
	for _, x := range e.sortedKeys() {
		m := e.history[x]
		merge := func(into *runningMean) {
			into.mean = (into.mean*into.count + m.mean*m.count) / (into.count + m.count)
			into.count += m.count
		}
		if x.team == k.team && x.class == k.class {
			merge(&name)
		}
		if x.team == k.team {
			merge(&team)
		}
		if x.gpus == k.gpus && (k.gpus > 0 || x.cpus == k.cpus) {
			merge(&demand)
		}
	}
	for _, m := range []runningMean{name, team, demand} {
		if m.count > 0 {
			return m.mean
		}
	}
	return 0
}

// sortedKeys lists whose means there are, so that sums come out the same every time.
func (e *estimator) sortedKeys() []historyKey {
	return slices.SortedFunc(maps.Keys(e.history), historyKey.compare)
}

// save writes the history as one value, the oldest names dropped to fit.
func (e *estimator) save() {
	c := e.core
	if !e.unsaved || e.saving || c.now.Monotonic-e.savedAt < 10*c.intervals.maintenance {
		return
	}
	e.unsaved, e.saving, e.savedAt = false, true, c.now.Monotonic
	var rec records.Estimates
	for _, k := range e.sortedKeys() {
		m := e.history[k]
		// Rounded, so that more of them fit: a prediction is not that good.
		rec.Means = append(rec.Means, records.Mean{Team: k.team, Class: k.class, CPUs: k.cpus, GPUs: k.gpus,
			Mean: math.Round(m.mean*100) / 100, Count: m.count, LastAt: math.Floor(m.lastAt)})
	}
	slices.SortStableFunc(rec.Means, func(a, b records.Mean) int { return cmp.Compare(b.LastAt, a.LastAt) })
	// Names that never come back would pile up here too.
	for len(rec.Means) > maxHistoryKeys {
		r := rec.Means[len(rec.Means)-1]
		delete(e.history, historyKey{r.Team, r.Class, r.CPUs, r.GPUs})
		rec.Means = rec.Means[:len(rec.Means)-1]
	}
	// What does not fit is known to this leader only.
	size, fit := 16, 0
	for ; fit < len(rec.Means); fit++ {
		if size += protocol.JSONSize(rec.Means[fit]) + 2; size > c.maxValueBytes() {
			break
		}
	}
	rec.Means = rec.Means[:fit]
	// Late, an older value must not take a newer one's place.
	c.commit([]protocol.Guard{c.membership.leaderGuard(), c.mirror.Guard(keyEstimate)}, []protocol.Operation{{Put: keyEstimate, Value: rec}}, func(d CommitResult) {
		e.saving = false
		if d.Outcome != Committed {
			e.unsaved = true
		}
	})
}
