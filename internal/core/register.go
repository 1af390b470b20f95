package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// register is the leader's list, in the state service, of the machines that may
// have been given tasks: only those are given work, so a take-over knows which
// machines it must see.
//
// One key holds many machines. With a key for each, a wave of machines that came
// up took the write budget of several seconds, and submissions waited behind it.
type register struct {
	c       *Core
	writing bool
	sweepAt time.Duration // when what is gone may be taken out again
}

// shelfSize is how many machines one key holds: half of what a value may, by a
// generous size of a machine's record.
func (g *register) shelfSize() int {
	const record = 160
	return max(int(g.c.set.Site.State.ValueKB*1024)/2/record, 1)
}

// shelves is how many keys one transaction may change: half of the 64 KiB that a
// transaction may have, and what the settings allow.
func (g *register) shelves() int {
	return max(min(g.c.txnOps(), int(64/g.c.set.Site.State.ValueKB)), 1)
}

// step writes what has come up since, and takes out what is gone.
func (g *register) step() {
	c := g.c
	if g.writing {
		return
	}
	var come []string
	for name, v := range c.orch.rigs.all() {
		if v.state.Up && !v.registered && !v.leaving {
			come = append(come, name)
		}
	}
	sweep := c.now.Steady >= g.sweepAt
	if len(come) == 0 && !sweep {
		return
	}
	g.sweepAt = c.now.Steady + c.times.round
	changed := map[string]map[string]wire.MachineRecord{}
	edit := func(shelf string) map[string]wire.MachineRecord {
		if changed[shelf] == nil {
			changed[shelf] = map[string]wire.MachineRecord{}
			for _, name := range c.ledger.shelves.get(shelf) {
				changed[shelf][name] = *c.ledger.machines.get(name)
			}
		}
		return changed[shelf]
	}
	for shelf, names := range c.ledger.shelves.all() {
		for _, name := range names {
			if (c.fleet.wasDeleted(name) || c.fleet.withdraws(name)) && (changed[shelf] != nil || len(changed) < g.shelves()) {
				delete(edit(shelf), name)
			}
		}
	}
	for n := 0; len(come) > 0; n++ {
		shelf := shelfKey(n)
		if changed[shelf] == nil && (len(changed) >= g.shelves() || len(c.ledger.shelves.get(shelf)) >= g.shelfSize()) {
			if len(changed) >= g.shelves() && n > c.ledger.shelves.len()+len(changed) {
				break // the rest goes with the next transaction
			}
			continue
		}
		for list := edit(shelf); len(come) > 0 && len(list) < g.shelfSize(); come = come[1:] {
			s := c.orch.rigs.get(come[0]).state
			list[come[0]] = wire.MachineRecord{Addr: s.Addr, Type: s.Type, Zone: s.Zone, Spot: s.Spot}
		}
	}
	if len(changed) > 0 {
		g.write(changed)
	}
}

// write guards each key by its version: a transaction that is applied late must
// not take a machine out that was written since.
func (g *register) write(changed map[string]map[string]wire.MachineRecord) {
	c := g.c
	// The map's version too: its part keeps a machine that is withdrawn empty in this
	// epoch, and whoever owns it in a later one has seen that it is out.
	guards := []wire.Guard{c.members.leaderGuard(), c.ledger.guard(keyMap)}
	var ops []wire.Op
	for _, shelf := range sortedKeys(changed) {
		guards = append(guards, c.ledger.guard(keyMachines+shelf))
		op := wire.Op{Put: keyMachines + shelf, Value: wire.MachinesRecord{Machines: changed[shelf]}}
		if len(changed[shelf]) == 0 {
			op = wire.Op{Delete: keyMachines + shelf}
		}
		ops = append(ops, op)
	}
	g.writing = true
	c.ledger.commit(guards, ops, func(d CommitDone) {
		c.ledger.lookAgain(d.Status == 200, c.times.round/4, func() { g.writing = false })
	})
}

func shelfKey(n int) string { return fmt.Sprintf("%04d", n) }

// putMachines takes a key of the register into the mirror.
func (l *ledger) putMachines(shelf string, rec *wire.MachinesRecord) {
	was := l.shelves.get(shelf)
	names := sortedKeys(rec.Machines)
	l.shelves.set(shelf, names)
	for _, name := range names {
		m := rec.Machines[name]
		l.machines.set(name, &m)
		l.c.part.machineKnown(name, &m)
		l.c.orch.inRegister(name, true)
	}
	// Most of a key's machines stay on it: only the others are looked for elsewhere.
	l.takeOut(slices.DeleteFunc(slices.Clone(was), func(name string) bool {
		_, stays := slices.BinarySearch(names, name)
		return stays
	}))
}

func (l *ledger) removeMachines(shelf string) {
	was := l.shelves.get(shelf)
	l.shelves.delete(shelf)
	l.takeOut(was)
}

// takeOut drops those machines that no key of the register holds any more.
func (l *ledger) takeOut(names []string) {
	for _, name := range names {
		held := false
		for _, list := range l.shelves.all() {
			_, there := slices.BinarySearch(list, name)
			held = held || there
		}
		if !held {
			l.machines.delete(name)
			l.c.part.tendAt = 0
			l.c.orch.inRegister(name, false)
		}
	}
}
