package core

import (
	"iter"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// The leader's book-keeping of what has been dispatched: which machine holds which
// task, surely or perhaps, and when a task is surely on none.

// flight is a task that has been dispatched and may be on a machine.
type flight struct {
	job      *queued
	index    int
	attempt  uint64
	machine  string          // where it is, as far as is known
	claims   map[string]bool // every machine that lists it, surely or perhaps
	open     bool            // dispatched, the part has not told where to
	version  uint64          // of the job's record that its dispatch rests on
	guess    string          // where the plan saw room for it
	part     string
	session  uint64 // the link that its dispatch went over
	seq      uint64 // and the message that carried it
	limbo    bool   // its part is gone and it may be on any machine not seen yet
	state    string
	runAt    time.Duration // when it was first seen running, 0: not yet
	asked    bool          // to stop,
	askedFor int           // for work as urgent as this
}

// rigView is the leader's picture of a machine.
type rigView struct {
	state      wire.MachineState
	part       string
	mt         *wire.MachineType
	tasks      map[string]*flight
	taken      usage // by them
	images     map[string]bool
	plan       planned // what the round that is under way makes of it
	registered bool    // in the register
	leaving    bool    // being returned, or gone
	parked     bool    // not counted on for new tasks
	closing    bool    // as its part was told
	closingAt  time.Duration
	emptyAt    time.Duration
	takenAt    time.Duration // when it was given a task last
	upAt       time.Duration
	doubtAt    time.Duration            // since when its list is not to be trusted, if it is not
	errors     map[string]bool          // jobs that failed here since the last success
	avoid      map[string]time.Duration // jobs that its part puts none of here, until when
	sick       bool
	listed     uint64 // the epoch in which its part has listed it, 0: it no longer does
}

// known reports whether no task but those that it lists can be on a machine.
func (v *rigView) known() bool { return v.state.Sure || v.state.Kept }

// takesWork reports whether a machine may be given tasks, parked or not.
func (v *rigView) takesWork() bool {
	s := &v.state
	return s.Up && s.Sure && !s.Notice && !s.Draining && !v.sick && v.mt != nil && v.registered && !v.leaving
}

// left is what its tasks leave of a machine.
func (v *rigView) left() wire.MachineType {
	return wire.MachineType{CPUs: v.mt.CPUs - v.taken.cpus, GPUs: v.mt.GPUs - v.taken.gpus, MemoryGB: v.mt.MemoryGB - v.taken.mem}
}

// take and give follow which flights a machine has a claim on.
func (v *rigView) take(name string, f *flight, now time.Duration) {
	if v.tasks[name] != f {
		v.give(name)
		v.takenAt = now
		v.tasks[name] = f
		v.taken.add(&f.job.j.rec.Spec, 1)
	}
}

func (v *rigView) give(name string) {
	if f := v.tasks[name]; f != nil {
		delete(v.tasks, name)
		v.taken.add(&f.job.j.rec.Spec, -1)
	}
	if len(v.tasks) == 0 {
		v.taken = usage{} // no rounding is carried on
	}
}

func (o *orchestrator) view(name string) *rigView {
	v := o.rigs.get(name)
	if v == nil {
		v = &rigView{tasks: map[string]*flight{}, errors: map[string]bool{}, avoid: map[string]time.Duration{}, emptyAt: o.c.now.Steady, takenAt: o.c.now.Steady, upAt: -1, doubtAt: o.c.now.Steady}
		v.leaving = o.c.fleet.leaving(name)
		if rec := o.c.ledger.machines.get(name); rec != nil {
			v.registered = true
			v.state = wire.MachineState{Name: name, Addr: rec.Addr, Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}
			v.mt = o.c.types()[rec.Type]
		}
		o.rigs.set(name, v)
	}
	return v
}

// inRegister follows the mirror: whether a machine may be given work.
func (o *orchestrator) inRegister(name string, is bool) {
	if v := o.rigs.get(name); v != nil {
		v.registered = is
	} else if is && o.epoch > 0 {
		o.view(name) // until its part has told of it, it may hold anything
	}
}

// release takes back a machine's claim on a task: it surely is not there.
func (o *orchestrator) release(name string, f *flight, v *rigView) {
	v.give(name)
	delete(f.claims, v.state.Name)
	if f.machine == v.state.Name {
		f.machine, f.state = "", ""
		for _, m := range sortedKeys(f.claims) {
			f.machine = m
		}
	}
	o.land(name, f)
}

// debit counts a flight against its team's limit.
func (o *orchestrator) debit(name string, f *flight) {
	o.tasks[name] = f
	f.job.flights[f.index] = f
	s := &f.job.j.rec.Spec
	u := o.used[s.Team]
	if u == nil {
		u = &usage{}
		o.used[s.Team] = u
	}
	u.add(s, 1)
}

// land credits a flight if its task is surely on no machine and on its way to
// none.
func (o *orchestrator) land(name string, f *flight) {
	if f.open || f.limbo || len(f.claims) > 0 {
		return
	}
	q := f.job
	if o.tasks[name] == f {
		delete(o.tasks, name)
		o.used[q.j.rec.Spec.Team].add(&q.j.rec.Spec, -1)
	}
	if q.flights[f.index] == f {
		delete(q.flights, f.index)
		q.low = min(q.low, f.index)
	}
	if q.j.final() && len(q.flights) == 0 {
		o.queue.delete(q.id)
	}
}

// unseen walks over the machines that may hold tasks this leader does not know.
func (o *orchestrator) unseen() iter.Seq2[string, *wire.MachineRecord] {
	return func(yield func(string, *wire.MachineRecord) bool) {
		for name, rec := range o.c.ledger.machines.all() {
			if o.isUnseen(name) && !yield(name, rec) {
				return
			}
		}
	}
}

func (o *orchestrator) isUnseen(name string) bool {
	v := o.rigs.get(name)
	return (v == nil || !v.known()) && !o.c.fleet.wasDeleted(name)
}

// anyUnseen reports whether there is such a machine. It looks on from the one it
// found last: looking at all of them for each word of a part took most of a
// take-over's processor time, and grew with the square of the fleet.
func (o *orchestrator) anyUnseen() bool {
	names := o.c.ledger.machines.sorted()
	at, _ := slices.BinarySearch(names, o.dark)
	for n := range names {
		if name := names[(at+n)%len(names)]; o.isUnseen(name) {
			o.dark = name
			return true
		}
	}
	return false
}

// settle frees what was in doubt once every machine has been seen.
func (o *orchestrator) settle() {
	if !o.doubt {
		return
	}
	if o.anyUnseen() {
		if o.c.now.Steady-o.saidAt >= o.c.times.round {
			o.saidAt = o.c.now.Steady
			var missing []string
			for name := range o.unseen() {
				missing = append(missing, name)
			}
			o.c.info("machines not seen yet", "count", len(missing), "among them", missing[:min(len(missing), 5)])
		}
		return
	}
	o.doubt = false
	for _, q := range o.queue.all() {
		q.limbo = false
	}
	for _, name := range sortedKeys(o.tasks) {
		if f := o.tasks[name]; f.limbo {
			f.limbo = false
			o.land(name, f)
		}
	}
	o.lastSort = 0
	o.c.info("every machine has been seen")
}

// forget drops the machines that are surely gone, and sees to it that of the others the
// type is known: one that was told of before the types were, and had no news since, got
// no work for ever.
func (o *orchestrator) forget() {
	for name, v := range o.rigs.all() {
		if v.mt == nil {
			v.mt = o.c.types()[v.state.Type]
		}
		o.judge(v) // jobs that failed here may have shown since that they work
		// A machine that no part lists and that is out of the register was
		// deleted by an earlier leader; what it was thought to run once held two
		// tasks back for ever. The wait lets the mirror catch up.
		forgotten := v.listed != o.epoch && !v.registered && o.c.now.Steady-o.epochAt > 2*o.c.times.fresh
		if forgotten || v.leaving && o.c.fleet.wasDeleted(name) {
			// Deleted by the cloud's word: it and its tasks are gone.
			for _, t := range sortedKeys(v.tasks) {
				o.release(t, v.tasks[t], v)
			}
			o.rigs.delete(name)
		}
	}
}
