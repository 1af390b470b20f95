package core

import (
	"fmt"
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
	back      map[string]time.Duration // zones that were, when they came back
	heard     map[string]int           // machines by zone that are heard and up,
	known     map[string]int           // of so many
	count     map[pool]int             // machines that are or will be of use
	closed    map[pool]time.Duration
	strikes   map[pool]int
	given     map[string]int // by type: boots given up since one was up
	counter   int
	listing   bool
	listAt    time.Duration
	listFrom  string          // the last machine of the pages read so far, empty: none yet
	listSeen  map[string]bool // what they held
	lists     int
	asked     bool // for machine types
	writing   bool
	typesSeen *wire.MachineTypes
	owed      bool // a call was due that the budget did not allow
	calls     int  // to rent or delete, since the last for the list
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
	f.cuts, f.back = map[string]time.Duration{}, map[string]time.Duration{}
	f.coming = map[int]float64{}
	f.burst = 0
	f.closed = map[pool]time.Duration{}
	f.strikes = map[pool]int{}
	f.given = map[string]int{}
	f.lists, f.listAt = 0, 0
	f.listFrom, f.listSeen = "", map[string]bool{}
	f.desired = 0
	f.typesSeen = nil
}

func (f *fleet) lag() time.Duration { return config.Seconds(f.c.set.Site.Cloud.ListLagS) }

// spend takes one call from the cloud's budget.
func (f *fleet) spend() bool {
	rate := f.c.set.Site.Cloud.RPS * 3 / 5
	// At least one, or a cloud that takes a call a second would never get any.
	f.budget = min(f.budget+(f.c.now.Steady-f.budgetAt).Seconds()*rate, max(rate, 1))
	f.budgetAt = f.c.now.Steady
	if f.budget < 1 {
		return false
	}
	f.budget--
	return true
}

// call takes a call for renting or deleting machines, or notes that one was due. The
// list then lets two of them pass.
//
// Guards against a list that took every call that a slow cloud allows, just before the
// round that had a machine to rent.
func (f *fleet) call() bool {
	if !f.spend() {
		f.owed = true
		return false
	}
	f.calls++
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
	if !f.listing && c.now.Steady >= f.listAt && (!f.owed || f.calls >= 2) && f.spend() {
		f.listing, f.calls = true, 0
		c.emit(List{Since: f.listFrom})
	}
}

// keepTypes learns the machine types once and keeps them in the state service,
// so that every node can judge submissions even while the cloud is out. There are
// sites with more of them than one value holds.
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
	guards := []wire.Guard{c.members.leaderGuard()}
	var ops []wire.Op
	for key, rec := range shelveTypes(f.typesSeen.Types, c.valueSize()/2) {
		if _, there := c.ledger.versions[key]; !there && len(ops) < c.register.shelves() {
			ops = append(ops, wire.Op{Put: key, Value: rec})
		}
	}
	if len(ops) == 0 {
		return
	}
	f.writing = true
	c.ledger.commit(guards, ops, func(d CommitDone) {
		c.ledger.lookAgain(d.Outcome.Decided(), c.times.round/4, func() { f.writing = false })
	})
}

// shelveTypes divides machine types over keys, each value at most limit bytes by a
// generous size of a type's description.
func shelveTypes(types []wire.MachineType, limit int) iter.Seq2[string, wire.MachineTypes] {
	return func(yield func(string, wire.MachineTypes) bool) {
		total := len(types)
		for n := 0; len(types) > 0; n++ {
			size, k := 0, 0
			for ; k < len(types); k++ {
				size += 300 + len(types[k].Name)
				for _, z := range types[k].Zones {
					size += len(z) + 4
				}
				if k > 0 && size > limit {
					break
				}
			}
			key := keyTypes
			if n > 0 {
				key = fmt.Sprintf("%s/%04d", keyTypes, n)
			}
			if !yield(key, wire.MachineTypes{Types: types[:k], Total: total}) {
				return
			}
			types = types[k:]
		}
	}
}

// putTypes takes one key of the machine types into the mirror. They are of use once
// all are there: a job was else refused for a type that was still to be read.
func (l *ledger) putTypes(rec *wire.MachineTypes) {
	for i := range rec.Types {
		l.shown[rec.Types[i].Name] = &rec.Types[i]
	}
	if len(l.shown) >= rec.Total {
		l.types = l.shown
	}
}

func (f *fleet) gotTypes(d TypesDone) {
	if d.Outcome == CloudDone && len(d.Answer.Types) > 0 {
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

// listed takes a page of the list. Each page is a call of its own: a list of twenty
// pages asked for at once went beyond the cloud's limit and never came to an end.
func (f *fleet) listed(d ListDone) {
	c := f.c
	f.listing = false
	if d.Outcome != CloudDone {
		f.listAt = c.now.Steady + 2*c.times.round // the same page again
		return
	}
	if !c.members.leading {
		return
	}
	for i := range d.Machines {
		m := &d.Machines[i]
		f.listSeen[m.Name] = true
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
	if d.More && len(d.Machines) > 0 {
		f.listFrom, f.listAt = d.Machines[len(d.Machines)-1].Name, c.now.Steady
		return
	}
	f.lists++
	f.listAt = c.now.Steady + max(f.lag()/2, 2*c.times.round)
	for name, h := range f.holds.all() {
		// One that we know from the register alone would be listed by now if it were there.
		// Guards against waiting for ever for machines that died before this leader came: their
		// owners heard none of them, and left the map in turn before any could lapse.
		if !f.listSeen[name] && (h.listed || c.now.Steady-h.since > 4*f.lag()) {
			h.missing++
		}
	}
	f.listFrom, f.listSeen = "", map[string]bool{}
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
	f.owed = false
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
