package core

import (
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
	"github.com/chalkhub/chalkhub/internal/registry"
)

const (
	// maxPageBytes bounds a page if values may be large, because a whole page is rewritten whenever
	// one of its machines is added or removed.
	maxPageBytes = 8 << 10

	// maxTransactionBytes limits the number of bytes that one transaction writes, to three quarters
	// of the 64 KiB that a transaction may have.
	maxTransactionBytes = 48 << 10
)

// machineRegistry is the leader's list of the machines that may have been given tasks. It is kept
// in the state service. Only registered machines are given work, so that after a failover the new
// leader knows on which machines there may be tasks that it has yet to learn of. Package registry
// divides the list into pages.
type machineRegistry struct {
	core          *Core
	writeInFlight bool
	nextRemovalAt time.Duration // when deleted or drained machines may next be removed
}

// reconcile adds the machines that have come up, and removes those that were deleted or drained.
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

// unregistered lists the machines that are up, not in the registry and not being returned.
func (r *machineRegistry) unregistered() (names []string) {
	for name, view := range r.core.scheduler.machines.All() {
		if view.state.AcceptsTasks && !view.registered && !view.terminating {
			names = append(names, name)
		}
	}
	return names
}

// shouldRemove reports whether a machine is to be removed from the registry: because it was deleted,
// or because it is being returned and is certain to stay empty.
func (r *machineRegistry) shouldRemove(name string) bool {
	return r.core.fleet.wasDeleted(name) || r.core.fleet.mayDeregister(name)
}

// record returns a machine's record: the registered one, or a new one for a machine to be added.
func (r *machineRegistry) record(name string) records.Machine {
	if record := r.core.records.machineRecords.Get(name); record != nil {
		return *record
	}
	state := &r.core.scheduler.machines.Get(name).state
	return records.Machine{Addr: state.Addr, Type: state.Type, Zone: state.Zone, Spot: state.Spot}
}

// limits returns the limits that follow from the present settings.
func (r *machineRegistry) limits() registry.Limits {
	return registry.Limits{ValueBytes: r.core.maxValueBytes(), PageBytes: r.pageLimit(), PagesPerPlan: r.maxPagesPerWrite()}
}

// pageLimit is the maximum number of bytes on a page.
func (r *machineRegistry) pageLimit() int { return min(r.core.maxValueBytes()*3/4, maxPageBytes) }

// maxPagesPerWrite is the maximum number of pages that one transaction changes.
func (r *machineRegistry) maxPagesPerWrite() int {
	return max(min(r.core.maxTxnOps(), maxTransactionBytes/r.pageLimit()), 1)
}

// commitPages writes pages. Each key is guarded by its version, because a transaction that is
// applied late must not remove a machine that was added since. The version of the shard map is a
// guard, too: a machine that is removed stays empty in this epoch, since its shard places nothing
// on it, and its owner in a later epoch has seen that it was removed.
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

// putRegistryPage applies a registry page to the records of the mirror.
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
	// Most machines of a page stay on it. Only the others must be looked up on the other pages.
	r.removeUnregistered(slices.DeleteFunc(slices.Clone(before), func(name string) bool {
		_, remainsOnPage := slices.BinarySearch(names, name)
		return remainsOnPage
	}))
}

// removeRegistryPage removes a deleted page from the records of the mirror.
func (r *storedRecords) removeRegistryPage(page string) {
	before := r.registryPages.Get(page)
	r.registryPages.Delete(page)
	r.removeUnregistered(before)
}

// removeUnregistered removes those of the machines that are no longer on any page of the registry.
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

// isRegistered reports whether any page of the registry contains a machine.
func (r *storedRecords) isRegistered(name string) bool {
	for _, names := range r.registryPages.All() {
		if _, listed := slices.BinarySearch(names, name); listed {
			return true
		}
	}
	return false
}
