package core

import (
	"fmt"
	"iter"
	"math"
	"sort"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// hiring is a rental request under way.
type hiring struct {
	req   wire.Hire
	tries int
}

func (h *hiring) pool() pool { return pool{h.req.Type, h.req.Zone, h.req.Spot} }

// pool is a type, zone and kind: capacity is refused for one of these alone.
type pool struct {
	typ, zone string
	spot      bool
}

// offer is a pool with what a unit of work costs there.
type offer struct {
	pool
	mt   *wire.MachineType
	cost float64
}

// pools walks over those that could serve a job and have not refused lately.
func (f *fleet) pools(s *wire.Job) iter.Seq2[pool, *wire.MachineType] {
	return func(yield func(pool, *wire.MachineType) bool) {
		for _, name := range sortedKeys(f.c.types()) {
			mt := f.c.types()[name]
			if !holds(mt, s) {
				continue
			}
			for _, z := range mt.Zones {
				for _, spot := range []bool{true, false} {
					p := pool{name, z, spot}
					if mayUse(s, name, z, spot) && !(spot && mt.SpotPrice <= 0) && f.closed[p] <= f.c.now.Steady && !yield(p, mt) {
						return
					}
				}
			}
		}
	}
}

// offers lists the pools that could serve a job, cheapest first. A machine's
// boot and first fetch are paid too, so they are spread over a usual stay.
func (f *fleet) offers(s *wire.Job, ordinaryOnly bool) []offer {
	c := f.c
	stay := 6 * c.times.lease.Seconds()
	inZone := map[string]int{}
	for p, n := range f.count {
		inZone[p.zone] += n
	}
	var out []offer
	for p, mt := range f.pools(s) {
		if p.spot && ordinaryOnly {
			continue
		}
		price := mt.Price
		if p.spot {
			price = mt.SpotPrice
		}
		warm := 1 + (mt.BootS+s.ImageGB/max(mt.FetchGBps, 0.01))/stay
		out = append(out, offer{pool: p, mt: mt, cost: price / slotsOf(mt, s) * warm})
	}
	sort.SliceStable(out, func(a, b int) bool {
		if out[a].cost != out[b].cost {
			return out[a].cost < out[b].cost
		}
		return inZone[out[a].zone] < inZone[out[b].zone]
	})
	return out
}

// mayHire waits after a take-over until the list shows what the last leader
// rented, or it would be rented twice.
func (f *fleet) mayHire() bool {
	c := f.c
	return c.orch.epochAtStart == 0 || f.lists > 0 && c.now.Steady-c.members.ledSince > f.lag()*3/2
}

func (f *fleet) hire(jobs []*queued, d need, have, spot float64) {
	if len(jobs) == 0 || !f.mayHire() {
		return
	}
	c := f.c
	lackSoon, lackFirm := d.soon-have, d.firm-(have-spot)
	most := 0.0
	for _, need := range d.rush {
		most = max(most, need)
	}
	hired := 0.0
	for _, q := range jobs {
		s := &q.j.rec.Spec
		strandedIn, own := f.stranded(q)
		for _, o := range f.offers(s, lackFirm > max(lackSoon, most-have-hired, 0)) {
			if own > 0 && strandedIn != "" && o.zone != strandedIn {
				continue
			}
			short := d.rush[o.typ] - have - hired
			if o.spot {
				short = lackSoon
			} else {
				short = max(short, lackFirm)
			}
			if short < o.mt.CPUs/2 && own <= 0 {
				continue
			}
			n := max(int(math.Ceil(max(short, own)/o.mt.CPUs)), 1)
			// Spread over the zones: none gets more than its share at once.
			if strandedIn == "" {
				n = (n + len(o.mt.Zones) - 1) / len(o.mt.Zones)
			}
			n = min(n, wire.MaxHire)
			if f.pending(o.pool) || !f.call() {
				continue
			}
			f.counter++
			req := wire.Hire{
				Request: fmt.Sprintf("h-%s-%d-%d", c.boot, c.orch.epoch, f.counter),
				Type:    o.typ, Zone: o.zone, Spot: o.spot, Count: n,
			}
			f.hirings[req.Request] = &hiring{req: req}
			c.emit(Hire{Request: req})
			c.debugf("hiring", "request", req.Request, "type", o.typ, "zone", o.zone, "spot", o.spot, "count", n, "short", short)
			cpus := float64(n) * o.mt.CPUs
			own -= cpus
			lackSoon -= cpus
			hired += cpus
			if !o.spot {
				lackFirm -= cpus
			}
		}
	}
}

// stranded says in which zone (empty: any) a job lacks machines that may take its
// tasks, however many there are for others, and how many CPUs it lacks there.
func (f *fleet) stranded(q *queued) (zone string, lack float64) {
	s := &q.j.rec.Spec
	zones := []string{s.Zone}
	if len(q.j.rec.Zones) > 0 {
		zones = q.j.rec.Zones
	}
	tasks := math.Ceil(float64(q.waiting()+len(q.flights)) / float64(len(zones)))
	if s.Kind == wire.KindArray {
		few := math.Ceil(tasks * q.pred / max(f.soonest(s), q.pred, 1))
		if len(s.Types) == 0 && zones[0] == "" && s.Spot {
			few = 1 // any machine will do: it takes part in the common demand
		}
		tasks = min(tasks, few)
	}
	for _, z := range zones {
		have := 0.0
		slots := func(typ, zone string, spot bool) float64 {
			mt := f.c.types()[typ]
			if mt == nil || !holds(mt, s) || !allows(s, typ) || z != "" && z != zone || spot && !s.Spot {
				return 0
			}
			return slotsOf(mt, s)
		}
		for p, n := range f.all() {
			have += slots(p.typ, p.zone, p.spot) * float64(n)
		}
		if have < tasks {
			return z, (tasks - have) * max(s.CPUs, slack)
		}
	}
	return "", 0
}

// slotsOf is how many tasks of a job an empty machine holds.
func slotsOf(mt *wire.MachineType, s *wire.Job) float64 {
	slots := math.Inf(1)
	for _, x := range [][2]float64{{mt.CPUs, s.CPUs}, {mt.GPUs, s.GPUs}, {mt.MemoryGB, s.MemoryGB}} {
		if x[1] > 0 {
			slots = min(slots, math.Floor(x[0]/x[1]+slack))
		}
	}
	if math.IsInf(slots, 1) {
		return 1
	}
	return slots
}

func (f *fleet) pending(p pool) bool {
	for _, h := range f.hirings {
		if h.pool() == p {
			return true
		}
	}
	return false
}

func (f *fleet) hired(d HireDone) {
	c := f.c
	h := f.hirings[d.Request]
	if h == nil {
		return
	}
	p := h.pool()
	switch d.Outcome {
	case CloudDone:
		delete(f.hirings, d.Request)
		for _, n := range d.Names {
			if f.holds.get(n) == nil && !f.gone[n] {
				f.adopt(n, p.typ, p.zone, p.spot).state = wire.MachineBooting
			}
		}
		if len(d.Names) > 0 {
			c.info("hired", "machines", len(d.Names), "of", h.req.Count, "type", p.typ, "zone", p.zone, "spot", p.spot)
			f.strikes[p] = 0
		}
		if len(d.Names) < h.req.Count {
			f.close(p)
		}
	case CloudUnavailable:
		delete(f.hirings, d.Request)
		f.close(p)
	case CloudRejected:
		delete(f.hirings, d.Request)
		c.emit(Log{Level: LevelError, Text: "the cloud calls a rental request malformed", Args: []any{"request", d.Request}})
		f.close(p)
	default:
		// No answer, or too many calls: the same name may be sent again and
		// rents nothing twice.
		h.tries++
		if h.tries > 5 {
			delete(f.hirings, d.Request) // what it rented shows up in the list
			return
		}
		c.after(c.times.round, func() {
			if f.hirings[d.Request] == h {
				c.emit(Hire{Request: h.req})
			}
		})
	}
}

// close leaves a pool alone for a while after it refused.
func (f *fleet) close(p pool) {
	f.strikes[p]++
	wait := 5 * f.c.times.round << min(f.strikes[p]-1, 3)
	f.closed[p] = f.c.now.Steady + wait
	f.c.debugf("capacity refused", "type", p.typ, "zone", p.zone, "spot", p.spot, "wait", wait)
}

// refused says which capacity a job waits for, if every pool has refused.
func (f *fleet) refused(s *wire.Job) string {
	for range f.pools(s) {
		return ""
	}
	return "the cloud has no machine of the allowed types to give"
}
