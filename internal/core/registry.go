package core

import (
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
	"github.com/chalkhub/chalkhub/internal/registry"
)

const (
	// maxPageBytes bounds a page where values may be large: the whole of it is written
	// whenever one of its machines comes or goes.
	maxPageBytes = 8 << 10

	// maxTransactionBytes bounds what one transaction writes: three quarters of the 64 KiB
	// that it may have.
	maxTransactionBytes = 48 << 10
)

// machineRegistry is the leader's list, in the state service, of the machines that may have
// been given tasks: only those are given work, so that a failover knows which machines it must
// see. Package registry lays it out on pages.
type machineRegistry struct {
	core          *Core
	writeInFlight bool
	nextRemovalAt time.Duration // when machines that are gone may be taken out again
}

// reconcile writes the machines that have come up since, and takes out those that are gone.
func (r *machineRegistry) reconcile() {
	c := r.core
	if r.writeInFlight {
		return
	}
	added := r.unregistered()
	if len(added) == 0 && c.now.Monotonic < r.nextRemovalAt {
		return
	}
	r.nextRemovalAt = c.now.Monotonic + c.intervals.maintenance
	pages := c.records.registryPages
	changed := registry.Plan(registry.Registry{
		Pages: pages.All(), Page: pages.Get, PageCount: pages.Len(),
		Record: r.record, Removed: r.shouldRemove,
	}, added, r.limits())
	if len(changed) > 0 {
		r.commitPages(changed)
	}
}

// unregistered lists the machines that are up and not in the registry.
func (r *machineRegistry) unregistered() (names []string) {
	for name, view := range r.core.scheduler.machines.All() {
		if view.state.AcceptsTasks && !view.registered && !view.leaving {
			names = append(names, name)
		}
	}
	return names
}

// shouldRemove reports whether a machine is to be taken out of the registry.
func (r *machineRegistry) shouldRemove(name string) bool {
	return r.core.fleet.wasDeleted(name) || r.core.fleet.mayDeregister(name)
}

// record is a machine's record: the one in the registry, or that of a machine to be added.
func (r *machineRegistry) record(name string) records.Machine {
	if record := r.core.records.machineRecords.Get(name); record != nil {
		return *record
	}
	state := &r.core.scheduler.machines.Get(name).state
	return records.Machine{Addr: state.Addr, Type: state.Type, Zone: state.Zone, Spot: state.Spot}
}

// limits are what the settings allow now.
func (r *machineRegistry) limits() registry.Limits {
	return registry.Limits{ValueBytes: r.core.maxValueBytes(), PageBytes: r.pageLimit(), PagesPerPlan: r.maxPagesPerWrite()}
}

// pageLimit is up to how many bytes a page is filled.
func (r *machineRegistry) pageLimit() int { return min(r.core.maxValueBytes()*3/4, maxPageBytes) }

// maxPagesPerWrite is how many pages one transaction may change.
func (r *machineRegistry) maxPagesPerWrite() int {
	return max(min(r.core.maxTxnOps(), maxTransactionBytes/r.pageLimit()), 1)
}

// commitPages writes pages. Each key is guarded by its version: a transaction that is applied
// late must not take a machine out that was written since. The shard map's version guards too:
// the shard keeps a machine that is taken out empty in this epoch, and whoever owns it in a
// later one has seen that it is out.
func (r *machineRegistry) commitPages(changed map[string]*registry.Page) {
	c := r.core
	guards := []protocol.Guard{c.membership.leaderGuard(), c.mirror.Guard(keyShardMap)}
	var ops []protocol.Operation
	for _, page := range sortedKeys(changed) {
		key, machines := keyRegistryPage+page, changed[page].Machines
		guards = append(guards, c.mirror.Guard(key))
		if len(machines) == 0 {
			ops = append(ops, protocol.Operation{Delete: key})
		} else {
			ops = append(ops, protocol.Operation{Put: key, Value: records.RegistryPage{Machines: machines}})
		}
	}
	r.writeInFlight = true
	c.commit(guards, ops, func(result CommitResult) {
		c.mirror.AwaitOutcome(result.Outcome == Committed, c.intervals.maintenance/4, func() { r.writeInFlight = false })
	})
}

// putRegistryPage takes a page of the registry into the mirror.
func (r *storedRecords) putRegistryPage(page string, record *records.RegistryPage) {
	before := r.registryPages.Get(page)
	names := sortedKeys(record.Machines)
	r.registryPages.Set(page, names)
	for _, name := range names {
		machine := record.Machines[name]
		r.machineRecords.Set(name, &machine)
		r.core.shard.adoptRegistered(name, &machine)
		r.core.scheduler.setRegistered(name, true)
	}
	// Most of a page's machines stay on it: only the others are looked for elsewhere.
	r.removeUnregistered(slices.DeleteFunc(slices.Clone(before), func(name string) bool {
		_, stays := slices.BinarySearch(names, name)
		return stays
	}))
}

// removeRegistryPage takes a page that was deleted out of the mirror.
func (r *storedRecords) removeRegistryPage(page string) {
	before := r.registryPages.Get(page)
	r.registryPages.Delete(page)
	r.removeUnregistered(before)
}

// removeUnregistered drops those machines that no page of the registry holds any more.
func (r *storedRecords) removeUnregistered(names []string) {
	for _, name := range names {
		if r.isRegistered(name) {
			continue
		}
		r.machineRecords.Delete(name)
		r.core.shard.nextCheckAt = 0
		r.core.scheduler.setRegistered(name, false)
	}
}

// isRegistered reports whether any page of the registry holds a machine.
func (r *storedRecords) isRegistered(name string) bool {
	for _, names := range r.registryPages.All() {
		if _, listed := slices.BinarySearch(names, name); listed {
			return true
		}
	}
	return false
}
