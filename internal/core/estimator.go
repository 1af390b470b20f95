package core

import (
	"fmt"
	"sort"
	"time"

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

// estimator predicts a task's duration from completed ones only: a task that
// failed ran for a time that says nothing.
type estimator struct {
	c       *Core
	names   map[string]*mean // team and class
	recs    map[string]wire.MeanRecord
	changed bool
	saving  bool
	savedAt time.Duration
}

func newEstimator(c *Core) *estimator {
	return &estimator{c: c, names: map[string]*mean{}, recs: map[string]wire.MeanRecord{}}
}

func meanKey(team, class string, cpus, gpus float64) string {
	return fmt.Sprintf("%s %s %g %g", team, class, cpus, gpus)
}

func (e *estimator) load() {
	e.names = map[string]*mean{}
	e.recs = map[string]wire.MeanRecord{}
	e.savedAt = e.c.now.Steady
	if e.c.ledger.estimate == nil {
		return
	}
	for _, r := range e.c.ledger.estimate.Means {
		k := meanKey(r.Team, r.Class, r.CPUs, r.GPUs)
		e.names[k] = &mean{mean: r.Mean, n: r.N, last: r.Last}
		e.recs[k] = r
	}
}

func (e *estimator) add(s *wire.Job, seconds float64) {
	k := meanKey(s.Team, s.Class, s.CPUs, s.GPUs)
	m := e.names[k]
	if m == nil {
		m = &mean{}
		e.names[k] = m
		e.recs[k] = wire.MeanRecord{Team: s.Team, Class: s.Class, CPUs: s.CPUs, GPUs: s.GPUs}
	}
	m.add(seconds, e.c.now.Wall, e.c.policy.HistoryTasks)
	e.changed = true
}

// predict gives the mean of the team and class; failing that the team's, then
// that of all with the same GPU (CPU) demand, then the owner's own estimate.
func (e *estimator) predict(s *wire.Job) float64 {
	var name, team, demand mean
	for k, m := range e.names {
		r := e.recs[k]
		merge := func(into *mean) {
			into.mean = (into.mean*into.n + m.mean*m.n) / (into.n + m.n)
			into.n += m.n
		}
		if r.Team == s.Team && r.Class == s.Class {
			merge(&name)
		}
		if r.Team == s.Team {
			merge(&team)
		}
		if r.GPUs == s.GPUs && (s.GPUs > 0 || r.CPUs == s.CPUs) {
			merge(&demand)
		}
	}
	for _, m := range []mean{name, team, demand} {
		if m.n > 0 {
			return m.mean
		}
	}
	return max(s.EstimateS, 1)
}

// save writes the history as one value, the oldest names dropped to fit.
func (e *estimator) save() {
	c := e.c
	if !e.changed || e.saving || c.now.Steady-e.savedAt < 10*c.times.round {
		return
	}
	e.changed, e.saving, e.savedAt = false, true, c.now.Steady
	var rec wire.EstimateRecord
	for _, k := range sortedKeys(e.names) {
		r, m := e.recs[k], e.names[k]
		r.Mean, r.N, r.Last = m.mean, m.n, m.last
		rec.Means = append(rec.Means, r)
	}
	sort.SliceStable(rec.Means, func(a, b int) bool { return rec.Means[a].Last > rec.Means[b].Last })
	limit := int(c.set.Site.State.ValueKB * 1024 * 3 / 4)
	for size := jsonSize(&rec); size > limit && len(rec.Means) > 0; size = jsonSize(&rec) {
		rec.Means = rec.Means[:len(rec.Means)*limit/(size+1)]
	}
	c.ledger.commit([]wire.Guard{c.members.leaderGuard()}, []wire.Op{{Put: keyEstimate, Value: rec}}, func(d CommitDone) {
		e.saving = false
		if d.Status != 200 {
			e.changed = true
		}
	})
}

// jsonSize bounds a record's size in the form in which limits are counted.
func jsonSize(r *wire.EstimateRecord) int {
	n := 16
	for _, m := range r.Means {
		n += 160 + len(m.Team) + len(m.Class)
	}
	return n
}
