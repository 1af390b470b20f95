package core

import (
	"fmt"
	"iter"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// hold is a machine that is rented, as far as the leader knows.
type hold struct {
	name, typ, zone string
	spot            bool
	state           string
	since           time.Duration // rented, by the list's word or ours
	listed          bool
	missing         int // lists in a row that lacked it after it was listed
	leaving         string
	load            float64 // share of its CPUs that is taken
	force           bool    // deleted without waiting for its tasks to end
	deleting        bool
}

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

// fleet rents, adopts and returns machines. Only the leader's acts.
type fleet struct {
	c         *Core
	holds     *index[*hold]
	hirings   map[string]*hiring
	gone      map[string]bool          // deleted, by the cloud's word
	parked    map[string]bool          // not counted on for new tasks, to be returned when empty
	closing   map[string]bool          // those of them that get none while there is clearly too much
	cuts      map[string]time.Duration // zones most of which is silent, since when
	heard     map[string]int           // machines by zone that are heard and up,
	known     map[string]int           // of so many
	count     map[pool]int             // machines that are or will be of use
	closed    map[pool]time.Duration
	strikes   map[pool]int
	counter   int
	listing   bool
	listAt    time.Duration
	lists     int
	asked     bool // for machine types
	writing   bool
	typesSeen *wire.MachineTypes
	budget    float64
	budgetAt  time.Duration
	desired   float64
	coming    map[int]float64 // CPUs of work that comes in, by urgency
	fadedAt   time.Duration
	burstAt   time.Duration
	burst     float64 // CPUs to keep free for jobs that must not wait
}

func newFleet(c *Core) *fleet {
	f := &fleet{c: c}
	f.start()
	return f
}

// start begins a leader's work without any memory of an earlier one.
func (f *fleet) start() {
	f.holds = newIndex[*hold]()
	f.hirings = map[string]*hiring{}
	f.gone = map[string]bool{}
	f.parked = map[string]bool{}
	f.cuts = map[string]time.Duration{}
	f.coming = map[int]float64{}
	f.burst = 0
	f.closed = map[pool]time.Duration{}
	f.strikes = map[pool]int{}
	f.lists, f.listAt = 0, 0
	f.desired = 0
	f.typesSeen = nil
}

func (f *fleet) lag() time.Duration { return config.Seconds(f.c.set.Site.Cloud.ListLagS) }

// spend takes one call from the cloud's budget.
func (f *fleet) spend() bool {
	rate := f.c.set.Site.Cloud.RPS * 3 / 5
	f.budget = min(f.budget+(f.c.now.Steady-f.budgetAt).Seconds()*rate, rate)
	f.budgetAt = f.c.now.Steady
	if f.budget < 1 {
		return false
	}
	f.budget--
	return true
}

func (f *fleet) react() {
	c := f.c
	if !c.members.leading || !c.members.entitled() {
		return
	}
	f.keepTypes()
	if len(c.ledger.types) == 0 || c.orch.epoch == 0 {
		return
	}
	if !f.listing && c.now.Steady >= f.listAt && f.spend() {
		f.listing = true
		c.emit(List{})
	}
}

// keepTypes learns the machine types once and keeps them in the state service,
// so that every node can judge submissions even while the cloud is out.
func (f *fleet) keepTypes() {
	c := f.c
	if len(c.ledger.types) > 0 || f.writing {
		return
	}
	if f.typesSeen == nil {
		if !f.asked && f.spend() {
			f.asked = true
			c.emit(Types{})
		}
		return
	}
	f.writing = true
	c.ledger.commit([]wire.Guard{c.members.leaderGuard()}, []wire.Op{{Put: keyTypes, Value: f.typesSeen}}, func(CommitDone) {
		c.ledger.barrier(func(bool) { f.writing = false })
	})
}

func (f *fleet) gotTypes(d TypesDone) {
	if d.Status == 200 && len(d.Answer.Types) > 0 {
		f.asked = false
		f.typesSeen = &d.Answer
		return
	}
	f.c.after(f.c.times.round, func() { f.asked = false })
}

func (f *fleet) wasDeleted(name string) bool { return f.gone[name] }

func (f *fleet) leaving(name string) bool {
	h := f.holds.get(name)
	return f.gone[name] || h != nil && h.leaving != ""
}

func (f *fleet) listed(d ListDone) {
	c := f.c
	f.listing = false
	f.listAt = c.now.Steady + max(f.lag()/2, 2*c.times.round)
	if d.Status != 200 {
		f.listAt = c.now.Steady + 2*c.times.round
		return
	}
	if !c.members.leading {
		return
	}
	f.lists++
	seen := map[string]bool{}
	for i := range d.Machines {
		m := &d.Machines[i]
		seen[m.Name] = true
		if f.gone[m.Name] {
			continue
		}
		h := f.holds.get(m.Name)
		if h == nil {
			h = f.adopt(m.Name, m.Type, m.Zone, m.Spot)
			h.since = c.now.Steady - config.Seconds(m.AgeS) - f.lag()
		}
		h.listed, h.state, h.missing = true, m.State, 0
	}
	for name, h := range f.holds.all() {
		if !seen[name] && h.listed {
			h.missing++
		}
	}
}

func (f *fleet) adopt(name, typ, zone string, spot bool) *hold {
	h := &hold{name: name, typ: typ, zone: zone, spot: spot, since: f.c.now.Steady}
	f.holds.set(name, h)
	return h
}

// counts reports whether a machine is or will be of use.
func (f *fleet) counts(h *hold) bool {
	if h.leaving != "" || h.state == wire.MachineFailed || h.missing >= 2 {
		return false
	}
	if v := f.c.orch.rigs.get(h.name); v != nil {
		if f.lost(v) && !f.cutOff(h.zone) {
			return false
		}
		return !v.state.Notice && !v.sick
	}
	return true
}

// lost reports whether a machine is neither heard nor able to do work.
func (f *fleet) lost(v *rigView) bool { return v.state.Silent || v.state.Sure && !v.state.Up }

// cutOff reports whether most of a zone went silent a short while ago: then it is
// the network that fails, and machines hired instead would boot for longer than
// most cuts last.
func (f *fleet) cutOff(zone string) bool {
	since, ok := f.cuts[zone]
	return ok && f.c.now.Steady-since < 4*f.c.times.lease
}

// watchZones follows which zones are cut off.
func (f *fleet) watchZones() {
	lost, all := map[string]int{}, map[string]int{}
	f.heard, f.known = map[string]int{}, map[string]int{}
	for _, v := range f.c.orch.rigs.all() {
		f.known[v.state.Zone]++
		if v.state.Sure && v.state.Up && !v.state.Silent {
			f.heard[v.state.Zone]++
		}
		if v.state.Type == "" || v.upAt < 0 {
			continue
		}
		all[v.state.Zone]++
		if f.lost(v) {
			lost[v.state.Zone]++
		}
	}
	for zone, n := range all {
		_, was := f.cuts[zone]
		switch is := n >= 2 && lost[zone]*2 > n; {
		case is && !was:
			f.cuts[zone] = f.c.now.Steady
			f.c.info("most of a zone is silent", "zone", zone, "silent", lost[zone], "machines", n)
		case was && lost[zone]*4 < n:
			delete(f.cuts, zone)
		}
	}
}

// seenElsewhere reports whether most of a machine's zone is heard, so that its
// own silence means that it is dead and not that the network is.
func (f *fleet) seenElsewhere(v *rigView) bool {
	seen, all := f.heard[v.state.Zone], f.known[v.state.Zone]-1
	if v.state.Sure && v.state.Up && !v.state.Silent {
		seen--
	}
	return seen > 0 && seen*2 >= all
}

// want compares the work that is queued with the machines there are, after each
// round; ranked is every unfinished job and waiting those that had tasks to
// dispatch, both in rank order.
func (f *fleet) want(ranked, waiting []*queued) {
	c := f.c
	for name, v := range c.orch.rigs.all() {
		if f.holds.get(name) == nil && !f.gone[name] && (v.state.Up || c.ledger.machines.get(name) != nil) {
			h := f.adopt(name, v.state.Type, v.state.Zone, v.state.Spot)
			h.state = wire.MachineRunning
		}
	}
	f.fade()
	f.watchZones()
	f.count = map[pool]int{}
	for _, h := range f.holds.all() {
		if f.counts(h) {
			f.count[pool{h.typ, h.zone, h.spot}]++
		}
	}
	var have, spot float64
	for p, n := range f.all() {
		if mt := c.types()[p.typ]; mt != nil {
			have += mt.CPUs * float64(n)
			if p.spot {
				spot += mt.CPUs * float64(n)
			}
		}
	}
	d := f.demand(ranked)
	f.desired = d.soon
	c.debugf("demand", "soon", d.soon, "due", d.due, "firm", d.firm, "have", have, "spot", spot, "inflow", f.coming)
	f.hire(waiting, d, have, spot)
	f.giveBack(d, waiting)
	f.drop()
}

// all walks over the pools and their machines, and then over those being hired.
func (f *fleet) all() iter.Seq2[pool, int] {
	return func(yield func(pool, int) bool) {
		for p, n := range f.count {
			if !yield(p, n) {
				return
			}
		}
		for _, h := range f.hirings {
			if !yield(h.pool(), h.req.Count) {
				return
			}
		}
	}
}

// need is how many CPUs the unfinished work should have. soon is for work to be
// done as soon as a cheap machine pays; due for it to be done in time, which is
// worth an ordinary machine; firm is the share of due that may not run on cheap
// machines at all. rush is what to hire ordinary machines up to.
// busy is what tasks take now.
type need struct{ soon, due, firm, rush, busy float64 }

// demand adds up what each unfinished job needs. Work is done in rank order, so
// what a job waits for is all that ranks before it, and what of that kind is
// still to come while it waits: due is the capacity at which the worst-off job
// is just in time.
func (f *fleet) demand(ranked []*queued) need {
	c := f.c
	var d need
	soon := map[string]float64{}
	var ahead, firm float64
	for _, q := range ranked {
		s := &q.j.rec.Spec
		waiting := float64(max(q.waiting(), 0))
		flying := float64(len(q.flights))
		pred := q.pred
		cpus := (waiting + flying) * s.CPUs
		d.busy += flying * s.CPUs
		work := (waiting*pred + flying*pred/2) * s.CPUs
		if s.Kind == wire.KindArray {
			if len(q.failedOn) >= 3 && q.j.doneN+len(q.finished) == 0 {
				waiting = min(waiting, 1) // fails wherever it runs: worth no machines
				work = waiting * pred * s.CPUs
			}
			cpus = min(waiting+flying, math.Ceil(work/s.CPUs/max(f.soonest(s), pred, 1))) * s.CPUs
		}
		if t := c.team(s.Team); t != nil && t.CPUsMax > 0 {
			cpus = max(min(cpus, t.CPUsMax-soon[s.Team]), 0)
			soon[s.Team] += cpus
		}
		d.soon += cpus
		if s.Kind != wire.KindArray {
			d.due += cpus // replicas run for ever: their room is never free
			if !s.Spot {
				firm += cpus
			}
			continue
		}
		ahead += work
		if !s.Spot {
			firm += min(cpus, work/f.horizon(q, pred))
		}
		if waiting > 0 {
			left := f.horizon(q, pred)
			need := ahead/left + f.inflow(q)
			d.due = max(d.due, need)
			// A machine hired now helps only once it has booted.
			if left >= f.soonest(s)*f.c.policy.RushBoots {
				d.rush = max(d.rush, need)
			}
		}
	}
	d.soon += f.burst
	d.due = min(d.due, d.soon)
	d.rush = min(d.rush, d.soon)
	d.firm = firm + (d.due-firm)*(1-c.policy.SpotShare)
	return d
}

// inflow is how many CPUs the work that keeps coming in, and ranks before a job,
// takes.
func (f *fleet) inflow(q *queued) float64 {
	u := urgency(q.j.rec.Spec.Urgency)
	var sum float64
	for v, x := range f.coming {
		if v < u {
			sum += x
		}
	}
	return sum
}

// arrived counts a new job's work into the inflow of its urgency.
func (f *fleet) arrived(q *queued) {
	s := &q.j.rec.Spec
	span := 8 * f.c.times.lease.Seconds()
	for _, a := range f.c.set.Site.Objectives {
		if a.Kind == "wait" && a.Class == s.Class {
			f.burst = max(f.burst, float64(s.Tasks)*s.CPUs)
			f.burstAt = f.c.now.Steady
		}
	}
	f.coming[urgency(s.Urgency)] += float64(s.Tasks) * s.CPUs * f.c.est.predict(s) / span
}

// fade lets the inflow fall with the time since it came.
func (f *fleet) fade() {
	span := 8 * f.c.times.lease.Seconds()
	dt := (f.c.now.Steady - f.fadedAt).Seconds()
	f.fadedAt = f.c.now.Steady
	f.burst *= math.Exp(-dt / span)
	if f.c.now.Steady-f.burstAt > 3*f.c.times.lease {
		f.burst = 0
	}
	for u, x := range f.coming {
		f.coming[u] = x * math.Exp(-dt/span)
	}
}

// soonest is the shortest time in which queued work is worth a cheap machine:
// its boot is paid as well.
func (f *fleet) soonest(s *wire.Job) float64 {
	boot := math.Inf(1)
	for _, t := range f.c.types() {
		if allows(s, t.Name) && holds(t, s) {
			boot = min(boot, t.BootS)
		}
	}
	if math.IsInf(boot, 1) {
		return 0
	}
	return boot * f.c.policy.SoonBoots
}

// horizon is the time in which a job's queued work must be done to be in time.
// Once it is too late for that, a cheap machine is all that it is worth.
func (f *fleet) horizon(q *queued, pred float64) float64 {
	s := &q.j.rec.Spec
	age := max(f.c.now.Wall-q.j.rec.At, 0)
	patient := 10 * f.c.times.lease.Seconds()
	h := math.Inf(1)
	for _, a := range f.c.set.Site.Objectives {
		if a.Kind == "guarantee" && q.in {
			// Guaranteed work that waits will start late whatever is hired; it
			// should not wait much longer than a boot.
			h = min(h, 2*f.soonest(s))
		}
		if a.Class != s.Class {
			continue
		}
		left := math.Inf(1)
		switch a.Kind {
		case "finished":
			left = a.WithinS - age
		case "deadline":
			if s.DeadlineS > 0 {
				left = s.DeadlineS*max(a.Times, 1) - age
			}
		case "wait":
			left = pred
		}
		// An aim that allows more misses is worth less haste.
		if left > 0 {
			h = min(h, left*min(f.c.policy.HorizonShare+haste*(1-a.Share), 1))
		}
	}
	if math.IsInf(h, 1) {
		h = patient
	}
	return max(h, f.soonest(s))
}

// haste is how much of a job's time one miss in a hundred gives back.
const haste = 6

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
	lackSoon, lackDue, lackFirm := d.soon-have, d.rush-have, d.firm-(have-spot)
	for _, q := range jobs {
		s := &q.j.rec.Spec
		strandedIn, own := f.stranded(q)
		for _, o := range f.offers(s, lackFirm > max(lackSoon, lackDue, 0)) {
			if own > 0 && strandedIn != "" && o.zone != strandedIn {
				continue
			}
			short := lackDue
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
			if f.pending(o.pool) || !f.spend() {
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
			lackDue -= cpus
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
	switch d.Status {
	case 200:
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
	case 503:
		delete(f.hirings, d.Request)
		f.close(p)
	case 400:
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

// giveBack returns machines that are not needed. An ordinary machine that the
// work due does not need is parked: it gets no new tasks, and goes when its last
// one ends. A cheap one is parked when there is clearly too much, and goes when
// it has been idle for a while.
//
// Only machines that are up count: parking for the sake of those that still
// boot left a full queue and empty machines.
func (f *fleet) giveBack(d need, waiting []*queued) {
	c := f.c
	f.parked, f.closing = map[string]bool{}, map[string]bool{}
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
	waiting = slices.DeleteFunc(slices.Clone(waiting), func(q *queued) bool { return !picky(q) })
	for _, h := range up {
		if f.claimed(h, waiting) {
			continue
		}
		v, mt := c.orch.rigs.get(h.name), c.types()[h.typ]
		if h.spot && have-mt.CPUs < enough || !h.spot && (have-mt.CPUs < d.due || have-spot-mt.CPUs < d.firm) {
			continue
		}
		idle := len(v.tasks) == 0
		surplus := have-mt.CPUs >= enough*5/4
		if h.spot {
			keep := config.Seconds(mt.BootS * c.policy.IdleBoots)
			idle = idle && (surplus || c.now.Steady-v.emptyAt >= keep)
		}
		f.parked[h.name] = surplus || !h.spot
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

// picky reports whether few machines can serve a job, or it needs many at once.
func picky(q *queued) bool {
	s := &q.j.rec.Spec
	return len(s.Types) > 0 || s.Zone != "" || s.OneZone || s.Spread || !s.Spot || s.Kind == wire.KindGang
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
		case v != nil && v.sick:
			f.retire(h, "faulty")
		case mt != nil && v == nil && age > config.Seconds(mt.BootS*c.policy.BootPatience) && age > time.Minute:
			f.retire(h, "did not come up")
		case v != nil && !up && v.state.Sure && c.now.Steady-v.emptyAt > 3*c.times.gone:
			f.retire(h, "silent")
		case v != nil && v.state.Silent && v.upAt >= 0 && f.seenElsewhere(v):
			// Waiting for its lease to end would hold its tasks up for as long
			// again; once the cloud has deleted it they are surely gone.
			f.retire(h, "dead")
			h.force = true
		case v != nil && !v.state.Sure && v.state.Silent && c.now.Steady-v.doubtAt > 3*c.times.report && f.seenElsewhere(v):
			// After a change of the map, the last machines that do not answer
			// hold up everything that may be running on them. Each has its own
			// time to answer: counted from the change of the map alone, a quarter
			// of the machines that came up later were deleted at their first word.
			f.retire(h, "does not answer")
			h.force = true
		}
		if h.leaving == "" || h.deleting {
			continue
		}
		if up && !v.state.Draining {
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
		if len(names) < wire.MaxDelete {
			names = append(names, name)
		}
	}
	if len(names) == 0 || !f.spend() {
		return
	}
	for _, n := range names {
		f.holds.get(n).deleting = true
	}
	c.emit(Delete{Names: names})
}

func (f *fleet) deleted(d DeleteDone) {
	if d.Status != 200 {
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
	}
}
