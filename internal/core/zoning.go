package core

import (
	"slices"
	"sort"
	"time"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// chooseZones writes down where the tasks of a job tied to a zone may run,
// before the first of them starts, so that every later leader keeps to it.
func (o *orchestrator) chooseZones(q *queued, rooms []*planned) {
	if q.choosing || q.ending || q.writing {
		return
	}
	s := &q.j.rec.Spec
	free := map[string]float64{}
	for _, t := range o.c.types() {
		if allows(s, t.Name) && holds(t, s) {
			for _, z := range t.Zones {
				if s.Zone == "" || s.Zone == z {
					free[z] += 0
				}
			}
		}
	}
	for _, m := range rooms {
		if _, ok := free[m.zone]; ok && allows(s, m.typ) && m.fits(s) {
			free[m.zone] += m.cpus
		}
	}
	zones := sortedKeys(free)
	sort.SliceStable(zones, func(a, b int) bool { return free[zones[a]] > free[zones[b]] })
	if len(zones) == 0 {
		return
	}
	need := 1
	if s.Spread && s.Tasks > 1 {
		need = min(2, len(zones)) // with one zone it runs by halves
	}
	o.writeZones(q, zones[:need])
}

// writeZones writes a job's zones; the mirror says when they hold.
func (o *orchestrator) writeZones(q *queued, zones []string) {
	rec := q.j.rec
	rec.Zones = zones
	q.choosing = true
	guards := []wire.Guard{o.c.members.leaderGuard(), q.j.ownGuard()}
	op := wire.Op{Put: q.j.ownKey(), Value: rec}
	if wire.TextSize(rec) > o.c.valueSize() {
		// It was written when values could be larger, or in pieces.
		op = wire.Op{Put: keyZones + q.id, Value: wire.JobRecord{Zones: rec.Zones}}
		guards = append(guards, o.c.ledger.guard(op.Put))
	}
	o.c.ledger.commit(guards, []wire.Op{op}, func(CommitDone) {
		o.c.ledger.barrier(func(bool) { q.choosing = false })
	})
}

// slot is which of its job's zones a task is tied to.
func slot(q *queued, i int) int { return i % max(len(q.j.rec.Zones), 1) }

// usable tells for which machines' type, zone and kind a job has a waiting task.
//
// Guards against room that is made, or kept, where the job's zones don't let it be used: the
// task of a gang was stopped every three seconds for an urgent job of another zone, and then
// its machine was kept for that one for minutes.
func (q *queued) usable() func(typ, zone string, spot bool) bool {
	s := &q.j.rec.Spec
	if !s.OneZone && !s.Spread {
		return func(typ, zone string, spot bool) bool { return mayUse(s, typ, zone, spot) }
	}
	zones := map[string]bool{}
	for i := q.next(q.low); i < s.Tasks && len(zones) < len(q.j.rec.Zones); i = q.next(i + 1) {
		zones[q.j.rec.Zones[slot(q, i)]] = true
	}
	return func(typ, zone string, spot bool) bool { return zones[zone] && mayUse(s, typ, zone, spot) }
}

// together reports whether no task of a job of one zone can be in another than its record names.
//
// Guards against a move that is carried out late: the job's tasks ran in the former zone again,
// and the next ones were started in the new one.
func (o *orchestrator) together(q *queued) bool {
	if !q.j.rec.Spec.OneZone || len(q.j.rec.Zones) != 1 {
		return true
	}
	for _, f := range q.flights {
		if f.open && f.version != q.j.key {
			return false
		}
		for m := range f.claims {
			if v := o.rigs.get(m); v == nil || v.state.Zone != q.j.rec.Zones[0] {
				return false
			}
		}
	}
	return true
}

// rezone ties the tasks that share a zone with task i to another one, once they have found no
// room for a lease and another has some, or could get machines while theirs can't. It waits
// until none of them can break the job's rule there: for a job of one zone until no task of it
// can be anywhere, for a spread one until none of the other half can be in the new zone.
//
// Guards against waiting for ever for a zone without machines, beside machines that stand idle.
// What is dispatched names the version of the record that it rests on, and parts place nothing by
// another one; a version before Level 1 does not look at that, and nothing moves beside it. The
// write may be carried out late, when tasks run in the former zone again: see together.
func (o *orchestrator) rezone(q *queued, i int) {
	c, s, n := o.c, &q.j.rec.Spec, slot(q, i)
	if len(q.j.rec.Zones) == 0 || s.Zone != "" || q.choosing || q.ending || q.writing || o.doubt {
		return
	}
	if q.dry == nil {
		q.dry = map[int]time.Duration{}
	}
	since, dry := q.dry[n]
	if !dry {
		q.dry[n] = c.now.Steady
	}
	if !dry || c.now.Steady-since < c.times.lease {
		return
	}
	if c.ledger.older() != "" || wire.TextSize(q.j.rec) > c.valueSize()-lotSize {
		return
	}
	for _, z := range o.zonesFor(q, n) {
		if z != q.j.rec.Zones[n] && o.mayMove(q, n, z) {
			next := slices.Clone(q.j.rec.Zones)
			next[n] = z
			c.info("a job's tasks move to another zone, theirs has no room", "job", q.id, "from", q.j.rec.Zones[n], "to", z)
			delete(q.dry, n)
			o.writeZones(q, next)
			return
		}
	}
}

// zonesFor lists where a job's tasks might go: the zones whose machines have room for the next
// of them, or for all of a gang, the roomiest first; then, if its n-th zone can get no
// machines, those that can.
func (o *orchestrator) zonesFor(q *queued, n int) []string {
	s := &q.j.rec.Spec
	free, fits := map[string]float64{}, map[string]float64{}
	for _, v := range o.rigs.all() { // parked ones too: nobody could use them as it was
		x := &v.state
		if !v.takesWork() || !mayUse(s, x.Type, x.Zone, x.Spot) {
			continue
		}
		m := v.left()
		if holds(&m, s) {
			free[x.Zone] += m.CPUs
			fits[x.Zone] += slotsOf(&m, s)
		}
	}
	zones := slices.DeleteFunc(sortedKeys(free), func(z string) bool {
		return s.Kind == wire.KindGang && fits[z] < float64(q.waiting())
	})
	sort.SliceStable(zones, func(a, b int) bool { return free[zones[a]] > free[zones[b]] })
	rents := map[string]bool{}
	for x := range o.c.fleet.pools(s) {
		rents[x.zone] = true
	}
	if !rents[q.j.rec.Zones[n]] {
		zones = append(zones, sortedKeys(rents)...)
	}
	return zones
}

// mayMove reports whether the n-th of a job's zones may be another one from now on.
func (o *orchestrator) mayMove(q *queued, n int, zone string) bool {
	if len(q.j.rec.Zones) == 1 {
		return len(q.flights) == 0
	}
	waits := false // some other task
	for i := range q.j.rec.Spec.Tasks {
		waits = waits || slot(q, i) != n && !q.j.isDone(i) // durably, or a crash may start it again
	}
	if waits && slices.Contains(q.j.rec.Zones, zone) {
		return false
	}
	for i, f := range q.flights {
		if slot(q, i) == n {
			continue
		}
		if f.open || f.limbo {
			return false
		}
		for m := range f.claims {
			if v := o.rigs.get(m); v == nil || v.state.Zone == zone || v.state.Zone == "" {
				return false
			}
		}
	}
	return true
}
