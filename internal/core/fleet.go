package core

import (
	"iter"
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

// fleet rents, adopts and returns machines. Only the leader's acts.
type fleet struct {
	c         *Core
	holds     *index[*hold]
	hirings   map[string]*hiring
	gone      map[string]bool          // deleted, by the cloud's word
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
	hosts     float64         // the same, of teams that are no guests
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
