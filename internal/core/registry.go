package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// machineRegistry is the leader's list, in the state service, of the machines that may
// have been given tasks: only those are given work, so a take-over knows which
// machines it must see.
//
// One key holds many machines. With a key for each, a wave of machines that came
// up took the write budget of several seconds, and submissions waited behind it.
type machineRegistry struct {
	core             *Core
	writeInFlight    bool
	nextCollectionAt time.Duration // when what is gone may be taken out again
}

// maxPageBytes bounds a shelf where values may be large: the whole of it is written whenever
// one of its machines comes or goes.
const maxPageBytes = 8 << 10

// pageLimit is how many bytes of machines' records one key holds, by recordSize.
func (g *machineRegistry) pageLimit() int { return min(g.core.maxValueBytes()*3/4, maxPageBytes) }

// recordSize is how many bytes a machine takes on its shelf, in the form in which limits
// are counted, or a few more.
func recordSize(name string, m *records.Machine) int {
	return 64 + len(name) + len(m.Addr) + len(m.Type) + len(m.Zone)
}

// pageBytes is how many bytes a shelf of the mirror takes.
func (g *machineRegistry) pageBytes(shelf string) (n int) {
	l := g.core.records
	for _, name := range l.registryPages.get(shelf) {
		n += recordSize(name, l.machineRecords.get(name))
	}
	return n
}

// maxPagesPerWrite is how many keys one transaction may change: what the settings allow, and
// three quarters of the 64 KiB that a transaction may have.
func (g *machineRegistry) maxPagesPerWrite() int {
	return max(min(g.core.maxTxnOps(), 48<<10/g.pageLimit()), 1)
}

// pageUpdate is a shelf as it is to be written.
type pageUpdate struct {
	machines map[string]records.Machine
	bytes    int
}

// reconcile writes what has come up since, and takes out what is gone.
//
// A shelf that is larger than a value may be by now can't be written any more. Its machines
// are put on others, where they stand twice for a while, and then it is deleted whole.
func (g *machineRegistry) reconcile() {
	c := g.core
	if g.writeInFlight {
		return
	}
	var come []string
	for name, v := range c.scheduler.machines.all() {
		if v.state.AcceptsTasks && !v.registered && !v.leaving {
			come = append(come, name)
		}
	}
	sweep := c.now.Monotonic >= g.nextCollectionAt
	if len(come) == 0 && !sweep {
		return
	}
	g.nextCollectionAt = c.now.Monotonic + c.intervals.maintenance
	record := func(name string) records.Machine {
		if m := c.records.machineRecords.get(name); m != nil {
			return *m
		}
		s := c.scheduler.machines.get(name).state
		return records.Machine{Addr: s.Addr, Type: s.Type, Zone: s.Zone, Spot: s.Spot}
	}
	goes := func(name string) bool { return c.fleet.wasDeleted(name) || c.fleet.mayDeregister(name) }
	filled, large := map[string]int{}, map[string]bool{}
	for shelf := range c.records.registryPages.all() {
		filled[shelf] = g.pageBytes(shelf)
		large[shelf] = filled[shelf] > c.maxValueBytes()
	}
	changed := map[string]*pageUpdate{}
	edit := func(shelf string) *pageUpdate {
		if changed[shelf] == nil {
			changed[shelf] = &pageUpdate{machines: map[string]records.Machine{}, bytes: filled[shelf]}
			for _, name := range c.records.registryPages.get(shelf) {
				changed[shelf].machines[name] = record(name)
			}
		}
		return changed[shelf]
	}
	elsewhere := g.onOtherPages(large)
	for shelf, names := range c.records.registryPages.all() {
		left := 0
		for _, name := range names {
			switch {
			case large[shelf] && !goes(name) && !elsewhere[name]:
				left++
				come = append(come, name)
			case large[shelf]:
			case goes(name) && (changed[shelf] != nil || len(changed) < g.maxPagesPerWrite()):
				e, m := edit(shelf), record(name)
				e.bytes -= recordSize(name, &m)
				delete(e.machines, name)
			}
		}
		if large[shelf] && left == 0 && len(changed) < g.maxPagesPerWrite() {
			changed[shelf] = &pageUpdate{}
		}
	}
	for n := 0; len(come) > 0; n++ {
		shelf, next := pageKey(n), record(come[0])
		full := filled[shelf] > 0 && filled[shelf]+recordSize(come[0], &next) > g.pageLimit()
		if changed[shelf] == nil && (len(changed) >= g.maxPagesPerWrite() || full) {
			if len(changed) >= g.maxPagesPerWrite() && n > c.records.registryPages.len()+len(changed) {
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
			if e.bytes+size > g.pageLimit() && len(e.machines) > 0 {
				break
			}
			e.machines[come[0]] = m
			e.bytes += size
		}
	}
	if len(changed) > 0 {
		g.commitPages(changed)
	}
}

// onOtherPages names the machines of large shelves that stand on another one as well.
func (g *machineRegistry) onOtherPages(large map[string]bool) map[string]bool {
	out := map[string]bool{}
	for shelf, names := range g.core.records.registryPages.all() {
		if large[shelf] {
			for _, name := range names {
				out[name] = false
			}
		}
	}
	if len(out) > 0 {
		for shelf, names := range g.core.records.registryPages.all() {
			for _, name := range names {
				if _, on := out[name]; on && !large[shelf] {
					out[name] = true
				}
			}
		}
	}
	return out
}

// commitPages guards each key by its version: a transaction that is applied late must
// not take a machine out that was written since.
func (g *machineRegistry) commitPages(changed map[string]*pageUpdate) {
	c := g.core
	// The map's version too: its part keeps a machine that is withdrawn empty in this
	// epoch, and whoever owns it in a later one has seen that it is out.
	guards := []protocol.Guard{c.membership.leaderGuard(), c.mirror.Guard(keyShardMap)}
	var ops []protocol.Operation
	for _, shelf := range sortedKeys(changed) {
		guards = append(guards, c.mirror.Guard(keyRegistryPage+shelf))
		op := protocol.Operation{Put: keyRegistryPage + shelf, Value: records.RegistryPage{Machines: changed[shelf].machines}}
		if len(changed[shelf].machines) == 0 {
			op = protocol.Operation{Delete: keyRegistryPage + shelf}
		}
		ops = append(ops, op)
	}
	g.writeInFlight = true
	c.commit(guards, ops, func(d CommitResult) {
		c.mirror.AwaitOutcome(d.Outcome == Committed, c.intervals.maintenance/4, func() { g.writeInFlight = false })
	})
}

func pageKey(n int) string { return fmt.Sprintf("%04d", n) }

// putRegistryPage takes a key of the register into the mirror.
func (l *storedRecords) putRegistryPage(shelf string, rec *records.RegistryPage) {
	was := l.registryPages.get(shelf)
	names := sortedKeys(rec.Machines)
	l.registryPages.set(shelf, names)
	for _, name := range names {
		m := rec.Machines[name]
		l.machineRecords.set(name, &m)
		l.core.shard.adoptRegistered(name, &m)
		l.core.scheduler.setRegistered(name, true)
	}
	// Most of a key's machines stay on it: only the others are looked for elsewhere.
	l.removeUnlisted(slices.DeleteFunc(slices.Clone(was), func(name string) bool {
		_, stays := slices.BinarySearch(names, name)
		return stays
	}))
}

func (l *storedRecords) removeRegistryPage(shelf string) {
	was := l.registryPages.get(shelf)
	l.registryPages.delete(shelf)
	l.removeUnlisted(was)
}

// removeUnlisted drops those machines that no key of the register holds any more.
func (l *storedRecords) removeUnlisted(names []string) {
	for _, name := range names {
		held := false
		for _, list := range l.registryPages.all() {
			_, there := slices.BinarySearch(list, name)
			held = held || there
		}
		if !held {
			l.machineRecords.delete(name)
			l.core.shard.nextCheckAt = 0
			l.core.scheduler.setRegistered(name, false)
		}
	}
}
