package core

import (
	"slices"
	"sort"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// giveBack returns machines that are not needed. An ordinary machine that the
// work due does not need is parked: it gets no new tasks, and goes when its last
// one ends. A cheap one is parked when there is clearly too much, and goes when
// it has been idle for a while.
//
// Only machines that are up count: parking for the sake of those that still
// boot left a full queue and empty machines.
func (f *fleet) giveBack(d need, waiting []*queued) {
	c := f.c
	f.closing = map[string]bool{}
	for _, v := range c.orch.rigs.all() {
		v.parked = false
	}
	var up []*hold
	var have, spot float64
	for name, h := range f.holds.all() {
		v := c.orch.rigs.get(name)
		if h.leaving == "" && v != nil && v.state.Up && v.upAt >= 0 && c.types()[h.typ] != nil {
			up = append(up, h)
			if f.counts(h) {
				have += c.types()[h.typ].CPUs
				if h.spot {
					spot += c.types()[h.typ].CPUs
				}
			}
		}
	}
	for _, h := range up {
		h.load = c.orch.rigs.get(h.name).taken.cpus / c.types()[h.typ].CPUs
	}
	sort.SliceStable(up, func(a, b int) bool {
		if up[a].spot != up[b].spot {
			return up[b].spot
		}
		return up[a].load < up[b].load
	})
	enough := max(d.soon, d.busy)
	waiting = slices.DeleteFunc(slices.Clone(waiting), func(q *queued) bool { return !f.picky(q) })
	for _, h := range up {
		if f.claimed(h, waiting) {
			continue
		}
		v, mt := c.orch.rigs.get(h.name), c.types()[h.typ]
		// A cheap machine serves none of the work that may not run on one.
		want := have-mt.CPUs < enough && (d.solid == 0 || spot-mt.CPUs < enough-d.solid)
		if h.spot && want || !h.spot && (have-mt.CPUs < d.due || have-spot-mt.CPUs < d.firm) {
			continue
		}
		idle := len(v.tasks) == 0
		surplus := have-mt.CPUs >= enough*5/4
		if h.spot {
			keep := config.Seconds(mt.BootS * c.policy.IdleBoots)
			idle = idle && (surplus || c.now.Steady-v.emptyAt >= keep)
		}
		v.parked = surplus || !h.spot
		f.closing[h.name] = surplus
		have -= mt.CPUs
		if h.spot {
			spot -= mt.CPUs
		}
		if idle && c.now.Steady-h.since >= 55*time.Second {
			f.retire(h, "idle")
		}
	}
	f.tellClosing()
	f.moveOff(up)
}

// picky reports whether few machines can serve a job, or it needs many at once, or no
// cheap one can: the ordinary machine that was hired for a job without an aim was parked,
// and returned for a new one, for ever, where nothing is rented cheap.
func (f *fleet) picky(q *queued) bool {
	s := &q.j.rec.Spec
	return len(s.Types) > 0 || s.Zone != "" || s.OneZone || s.Spread || !s.Spot || s.Kind == wire.KindGang || !f.cheap(s)
}

// cheap reports whether a machine type that holds a task is rented cheap.
func (f *fleet) cheap(s *wire.Job) bool {
	for _, mt := range f.c.types() {
		if mt.SpotPrice > 0 && allows(s, mt.Name) && holds(mt, s) {
			return true
		}
	}
	return false
}

// claimed reports whether a waiting job that few machines can serve, or that
// needs many at once, could use a machine: however much room there is elsewhere,
// it is not given back.
func (f *fleet) claimed(h *hold, waiting []*queued) bool {
	for _, q := range waiting {
		s := &q.j.rec.Spec
		zone := s.Zone == "" || s.Zone == h.zone
		if len(q.j.rec.Zones) > 0 {
			zone = slices.Contains(q.j.rec.Zones, h.zone)
		}
		if mt := f.c.types()[h.typ]; zone && mt != nil && holds(mt, s) && allows(s, h.typ) && (!h.spot || s.Spot) {
			return true
		}
	}
	return false
}

// retire drains a machine and then returns it.
func (f *fleet) retire(h *hold, why string) {
	if h.leaving != "" {
		return
	}
	h.leaving = why
	if v := f.c.orch.rigs.get(h.name); v != nil {
		v.leaving = true
	}
	f.c.info("returning machine", "machine", h.name, "type", h.typ, "zone", h.zone, "spot", h.spot, "why", why)
}

// drop gives up machines that never came up, failed, vanished or are faulty, and
// deletes those that are empty.
func (f *fleet) drop() {
	c := f.c
	var names []string
	for name, h := range f.holds.all() {
		v := c.orch.rigs.get(name)
		mt := c.types()[h.typ]
		up := v != nil && v.state.Up
		age := c.now.Steady - h.since
		switch {
		case h.leaving != "":
		case h.state == wire.MachineFailed:
			f.retire(h, "failed")
		case h.missing >= 2 && !up && age > 4*f.lag():
			f.retire(h, "taken back")
			h.force = true // the cloud's answer says that its tasks are gone
		case v != nil && v.sick:
			f.retire(h, "faulty")
		case mt != nil && v == nil && age > f.bootPatience(mt) && age > time.Minute:
			f.given[h.typ]++
			f.retire(h, "did not come up")
		case v != nil && !up && v.state.Sure && c.now.Steady-v.emptyAt > f.silence(h.zone):
			f.retire(h, "silent")
		case v != nil && v.state.Silent && v.upAt >= 0 && f.seenElsewhere(v):
			// Waiting for its lease to end would hold its tasks up for as long
			// again; once the cloud has deleted it they are surely gone.
			f.retire(h, "dead")
			h.force = true
		case v != nil && !v.state.Sure && v.state.Silent && c.now.Steady-v.doubtAt > max(c.times.report, c.times.lease/5) && f.seenElsewhere(v):
			// After a change of the map, the last machines that do not answer
			// hold up everything that may be running on them. Each has its own
			// time to answer: counted from the change of the map alone, a quarter
			// of the machines that came up later were deleted at their first word.
			// Among a thousand cheap machines there nearly always is one that was
			// taken without a word: three report periods were 15 to 18 s in which
			// no earlier job started anything, at each change of leader.
			f.retire(h, "does not answer")
			h.force = true
		}
		if h.leaving == "" || h.deleting {
			continue
		}
		if up && !v.state.Draining && c.ledger.machines.get(name) != nil {
			if p := c.orch.parts[v.part]; p != nil {
				p.outbox.Drain = append(p.outbox.Drain, name)
				p.dirty = true
			}
			if !h.force && !v.sick {
				continue
			}
		}
		if v != nil && len(v.tasks) > 0 && !h.force && h.leaving != "faulty" && h.state != wire.MachineFailed {
			continue
		}
		if f.withdraws(name) && c.ledger.machines.get(name) != nil {
			continue // out of the register first
		}
		if len(names) < wire.MaxDelete {
			names = append(names, name)
		}
	}
	if len(names) == 0 || !f.call() {
		return
	}
	for _, n := range names {
		f.holds.get(n).deleting = true
	}
	c.emit(Delete{Names: names})
}

// bootPatience is how long a machine may boot. It doubles with each that is given up while
// none of its type comes up, up to four times as long.
//
// Guards against giving up every machine just before it is up where all boots take several
// times as long as usual, one after another for twenty minutes.
func (f *fleet) bootPatience(mt *wire.MachineType) time.Duration {
	return config.Seconds(mt.BootS * f.c.policy.BootPatience * float64(int(1)<<min(f.given[mt.Name], 2)))
}

// withdraws reports whether a machine that is returned is empty, and its part has
// said that it gives it nothing more: then it can leave the register before it is
// deleted. A new leader once waited 13 s for 35 machines that the last one had
// returned just before it ended.
func (f *fleet) withdraws(name string) bool {
	h, v := f.holds.get(name), f.c.orch.rigs.get(name)
	return h != nil && h.leaving != "" && !h.force && v != nil && v.listed == f.c.orch.epoch &&
		v.state.Sure && v.state.Up && v.state.Draining && len(v.tasks) == 0
}

func (f *fleet) deleted(d DeleteDone) {
	if d.Outcome != CloudDone {
		for _, n := range d.Names {
			if h := f.holds.get(n); h != nil {
				h.deleting = false
			}
		}
		return
	}
	for _, n := range d.Names {
		f.holds.delete(n)
		f.gone[n] = true
		if v := f.c.orch.rigs.get(n); v != nil {
			v.leaving = true
		}
	}
}
