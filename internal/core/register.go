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

// shelfMost bounds a shelf where values may be large: the whole of it is written whenever
// one of its machines comes or goes.
const shelfMost = 8 << 10

// shelfSize is how many bytes of machines' records one key holds, by recordSize.
func (g *register) shelfSize() int { return min(g.c.valueSize()*3/4, shelfMost) }

// recordSize is how many bytes a machine takes on its shelf, in the form in which limits
// are counted, or a few more.
func recordSize(name string, m *wire.MachineRecord) int {
	return 64 + len(name) + len(m.Addr) + len(m.Type) + len(m.Zone)
}

// filled is how many bytes a shelf of the mirror takes.
func (g *register) filled(shelf string) (n int) {
	l := g.c.ledger
	for _, name := range l.shelves.get(shelf) {
		n += recordSize(name, l.machines.get(name))
	}
	return n
}

// shelves is how many keys one transaction may change: what the settings allow, and
// three quarters of the 64 KiB that a transaction may have.
func (g *register) shelves() int {
	return max(min(g.c.txnOps(), 48<<10/g.shelfSize()), 1)
}

// edition is a shelf as it is to be written.
type edition struct {
	machines map[string]wire.MachineRecord
	size     int
}

// step writes what has come up since, and takes out what is gone.
//
// A shelf that is larger than a value may be by now can't be written any more. Its machines
// are put on others, where they stand twice for a while, and then it is deleted whole.
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
	record := func(name string) wire.MachineRecord {
		if m := c.ledger.machines.get(name); m != nil {
			return *m
		}
		s := c.orch.rigs.get(name).state
		return wire.MachineRecord{Addr: s.Addr, Type: s.Type, Zone: s.Zone, Spot: s.Spot}
	}
	goes := func(name string) bool { return c.fleet.wasDeleted(name) || c.fleet.withdraws(name) }
	filled, large := map[string]int{}, map[string]bool{}
	for shelf := range c.ledger.shelves.all() {
		filled[shelf] = g.filled(shelf)
		large[shelf] = filled[shelf] > c.valueSize()
	}
	changed := map[string]*edition{}
	edit := func(shelf string) *edition {
		if changed[shelf] == nil {
			changed[shelf] = &edition{machines: map[string]wire.MachineRecord{}, size: filled[shelf]}
			for _, name := range c.ledger.shelves.get(shelf) {
				changed[shelf].machines[name] = record(name)
			}
		}
		return changed[shelf]
	}
	elsewhere := g.elsewhere(large)
	for shelf, names := range c.ledger.shelves.all() {
		left := 0
		for _, name := range names {
			switch {
			case large[shelf] && !goes(name) && !elsewhere[name]:
				left++
				come = append(come, name)
			case large[shelf]:
			case goes(name) && (changed[shelf] != nil || len(changed) < g.shelves()):
				e, m := edit(shelf), record(name)
				e.size -= recordSize(name, &m)
				delete(e.machines, name)
			}
		}
		if large[shelf] && left == 0 && len(changed) < g.shelves() {
			changed[shelf] = &edition{}
		}
	}
	for n := 0; len(come) > 0; n++ {
		shelf, next := shelfKey(n), record(come[0])
		full := filled[shelf] > 0 && filled[shelf]+recordSize(come[0], &next) > g.shelfSize()
		if changed[shelf] == nil && (len(changed) >= g.shelves() || full) {
			if len(changed) >= g.shelves() && n > c.ledger.shelves.len()+len(changed) {
				break // the rest goes with the next transaction
			}
			continue
		}
		if large[shelf] {
			continue
		}
		for e := edit(shelf); len(come) > 0; come = come[1:] {
			m := record(come[0])
			size := recordSize(come[0], &m)
			if e.size+size > g.shelfSize() && len(e.machines) > 0 {
				break
			}
			e.machines[come[0]] = m
			e.size += size
		}
	}
	if len(changed) > 0 {
		g.write(changed)
	}
}

// elsewhere names the machines of large shelves that stand on another one as well.
func (g *register) elsewhere(large map[string]bool) map[string]bool {
	out := map[string]bool{}
	for shelf, names := range g.c.ledger.shelves.all() {
		if large[shelf] {
			for _, name := range names {
				out[name] = false
			}
		}
	}
	if len(out) > 0 {
		for shelf, names := range g.c.ledger.shelves.all() {
			for _, name := range names {
				if _, on := out[name]; on && !large[shelf] {
					out[name] = true
				}
			}
		}
	}
	return out
}

// write guards each key by its version: a transaction that is applied late must
// not take a machine out that was written since.
func (g *register) write(changed map[string]*edition) {
	c := g.c
	// The map's version too: its part keeps a machine that is withdrawn empty in this
	// epoch, and whoever owns it in a later one has seen that it is out.
	guards := []wire.Guard{c.members.leaderGuard(), c.ledger.guard(keyMap)}
	var ops []wire.Op
	for _, shelf := range sortedKeys(changed) {
		guards = append(guards, c.ledger.guard(keyMachines+shelf))
		op := wire.Op{Put: keyMachines + shelf, Value: wire.MachinesRecord{Machines: changed[shelf].machines}}
		if len(changed[shelf].machines) == 0 {
			op = wire.Op{Delete: keyMachines + shelf}
		}
		ops = append(ops, op)
	}
	g.writing = true
	c.ledger.commit(guards, ops, func(d CommitDone) {
		c.ledger.lookAgain(d.Outcome == Committed, c.times.round/4, func() { g.writing = false })
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
