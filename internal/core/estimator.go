package core

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/calibration"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// mean is a running mean of durations.
type mean struct {
	mean, n, last float64
}

func (m *mean) add(x, wall, cap float64) {
	m.n = min(m.n+1, cap)
	m.mean += (x - m.mean) / m.n
	m.last = wall
}

// meanKey is whose durations a running mean is of.
type meanKey struct {
	team, class string
	cpus, gpus  float64
}

func keyOf(s *wire.Job) meanKey { return meanKey{s.Team, s.Class, s.CPUs, s.GPUs} }

func (k meanKey) String() string { return fmt.Sprintf("%s %s %g %g", k.team, k.class, k.cpus, k.gpus) }

func (k meanKey) compare(b meanKey) int {
	return cmp.Or(cmp.Compare(k.team, b.team), cmp.Compare(k.class, b.class), cmp.Compare(k.cpus, b.cpus), cmp.Compare(k.gpus, b.gpus))
}

// estimator predicts a task's duration from completed ones only: a task that
// failed ran for a time that says nothing.
type estimator struct {
	c       *Core
	names   map[meanKey]*mean
	memo    map[meanKey]float64            // predictions of this round, 0: nothing is known
	fits    map[meanKey]*calibration.Model // what the owners' estimates have been worth
	stale   bool                           // durations have come since
	changed bool
	saving  bool
	savedAt time.Duration
}

func newEstimator(c *Core) *estimator {
	return &estimator{c: c, names: map[meanKey]*mean{}, memo: map[meanKey]float64{}, fits: map[meanKey]*calibration.Model{}}
}

func (e *estimator) load() {
	clear(e.names)
	clear(e.memo)
	clear(e.fits)
	e.savedAt = e.c.now.Steady
	if e.c.ledger.estimate == nil {
		return
	}
	for _, r := range e.c.ledger.estimate.Means {
		e.names[meanKey{r.Team, r.Class, r.CPUs, r.GPUs}] = &mean{mean: r.Mean, n: r.N, last: r.Last}
	}
}

func (e *estimator) add(s *wire.Job, seconds float64) {
	k := keyOf(s)
	m := e.names[k]
	if m == nil {
		m = &mean{}
		e.names[k] = m
	}
	m.add(seconds, e.c.now.Wall, e.c.policy.HistoryTasks)
	e.changed, e.stale = true, true
}

// came counts a new job's estimate by its owner among those of its name.
func (e *estimator) came(s *wire.Job) {
	k := keyOf(s)
	if e.fits[k] == nil {
		if len(e.fits) >= mostFits {
			return // names that never come back teach nothing
		}
		e.fits[k] = &calibration.Model{}
	}
	e.fits[k].ObserveEstimate(s.EstimateS)
}

// took counts a completed task. The first of a job tells what its owner's estimate was
// worth.
func (e *estimator) took(q *queued, seconds float64) {
	s := &q.j.rec.Spec
	if f := e.fits[keyOf(s)]; f != nil && q.took.n == 0 && q.j.doneN == 0 {
		if usual := e.usual(keyOf(s)); usual > 0 {
			f.ObserveDuration(s.EstimateS, seconds/usual)
		}
	}
	q.took.add(seconds, e.c.now.Wall, e.c.policy.HistoryTasks)
	e.add(s, seconds)
}

// own predicts a task of one job, as distinct from others of its name: by the owner's
// estimate as far as those have been worth something, and by its own completed tasks.
func (e *estimator) own(q *queued) float64 {
	x := q.pred
	if f := e.fits[keyOf(&q.j.rec.Spec)]; f != nil && e.usual(keyOf(&q.j.rec.Spec)) > 0 {
		x *= f.Factor(q.j.rec.Spec.EstimateS)
	}
	// The first tasks to complete are the shortest ones, so a few prove little.
	return (x*ownWeight + q.took.mean*q.took.n) / (ownWeight + q.took.n)
}

// mostFits bounds the names whose durations, and owners' estimates, are followed.
const mostFits = 1024

// ownWeight is how many completed tasks of a job count as much as what is known of others.
const ownWeight = 4

// refresh lets predictions take account of what has come since the last round.
// Within one they stay as they are: thousands of open jobs share some dozens of names.
func (e *estimator) refresh() {
	if e.stale {
		e.stale = false
		clear(e.memo)
	}
}

// predict gives the mean of the team and class; failing that the team's, then
// that of all with the same GPU (CPU) demand, then the owner's own estimate.
func (e *estimator) predict(s *wire.Job) float64 {
	if x := e.usual(keyOf(s)); x > 0 {
		return x
	}
	return max(s.EstimateS, 1)
}

// usual is the prediction from history, 0 if there is none.
func (e *estimator) usual(k meanKey) float64 {
	x, ok := e.memo[k]
	if !ok {
		x = e.known(k)
		e.memo[k] = x
	}
	return x
}

// known works that out anew.
func (e *estimator) known(k meanKey) float64 {
	var name, team, demand mean
	for _, x := range e.sorted() {
		m := e.names[x]
		merge := func(into *mean) {
			into.mean = (into.mean*into.n + m.mean*m.n) / (into.n + m.n)
			into.n += m.n
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
	for _, m := range []mean{name, team, demand} {
		if m.n > 0 {
			return m.mean
		}
	}
	return 0
}

// sorted lists whose means there are, so that sums come out the same every time.
func (e *estimator) sorted() []meanKey {
	return slices.SortedFunc(maps.Keys(e.names), meanKey.compare)
}

// save writes the history as one value, the oldest names dropped to fit.
func (e *estimator) save() {
	c := e.c
	if !e.changed || e.saving || c.now.Steady-e.savedAt < 10*c.times.round {
		return
	}
	e.changed, e.saving, e.savedAt = false, true, c.now.Steady
	var rec wire.EstimateRecord
	for _, k := range e.sorted() {
		m := e.names[k]
		// Rounded, so that more of them fit: a prediction is not that good.
		rec.Means = append(rec.Means, wire.MeanRecord{Team: k.team, Class: k.class, CPUs: k.cpus, GPUs: k.gpus,
			Mean: math.Round(m.mean*100) / 100, N: m.n, Last: math.Floor(m.last)})
	}
	slices.SortStableFunc(rec.Means, func(a, b wire.MeanRecord) int { return cmp.Compare(b.Last, a.Last) })
	// Names that never come back would pile up here too.
	for len(rec.Means) > mostFits {
		r := rec.Means[len(rec.Means)-1]
		delete(e.names, meanKey{r.Team, r.Class, r.CPUs, r.GPUs})
		rec.Means = rec.Means[:len(rec.Means)-1]
	}
	// What does not fit is known to this leader only.
	size, fit := 16, 0
	for ; fit < len(rec.Means); fit++ {
		if size += wire.TextSize(rec.Means[fit]) + 2; size > c.valueSize() {
			break
		}
	}
	rec.Means = rec.Means[:fit]
	// Late, an older value must not take a newer one's place.
	c.ledger.commit([]wire.Guard{c.members.leaderGuard(), c.ledger.guard(keyEstimate)}, []wire.Op{{Put: keyEstimate, Value: rec}}, func(d CommitDone) {
		e.saving = false
		if d.Status != 200 {
			e.changed = true
		}
	})
}
