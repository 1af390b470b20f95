package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// pool identifies where machines are rented: a refusal concerns one type, zone and kind only.
type pool struct {
	typeName, zone string
	spot           bool
}

// instance is the leader's record of a rented machine.
type instance struct {
	pool
	name           string
	cloudState     string        // in the cloud's last list that had it: booting, running or failed
	createdAt      time.Duration // computed from its age in the list, or when the leader first knew of it
	wasListed      bool
	missedLists    int          // consecutive lists without it, if it was listed or should be by now
	cpuUtilization float64      // share of its CPUs that tasks use, 0 to 1
	returnReason   returnReason // empty while it is not being returned
	forceDelete    bool         // delete it without waiting for its tasks to end
	deleteInFlight bool
}

// missedListsUntilLost is how many consecutive lists must lack a machine before it counts as lost.
const missedListsUntilLost = 2

// instanceListing is the progress through the pages of the cloud's list.
type instanceListing struct {
	inFlight  bool
	nextAt    time.Duration
	lastName  string          // last machine on the pages read so far, empty: none read
	names     map[string]bool // machines on these pages
	completed int             // complete lists read in this term
}

// restart discards what was listed. A call that is in flight remains in flight.
func (l *instanceListing) restart() {
	l.nextAt, l.completed = 0, 0
	l.lastName, l.names = "", map[string]bool{}
}

func (f *fleet) wasDeleted(name string) bool { return f.deletedNames[name] }

// isReturning reports whether a machine is being drained and returned, or was deleted.
func (f *fleet) isReturning(name string) bool {
	inst := f.instances.Get(name)
	return f.deletedNames[name] || inst != nil && inst.returnReason != ""
}

// isUsable reports whether a machine is, or will be, able to run tasks.
func (f *fleet) isUsable(inst *instance) bool {
	if inst.returnReason != "" || inst.cloudState == protocol.MachineFailed || inst.missedLists >= missedListsUntilLost {
		return false
	}
	view := f.core.scheduler.machines.Get(inst.name)
	if view == nil {
		return true
	}
	if f.isLost(view) && !f.isZonePartitioned(inst.zone) {
		return false
	}
	return !view.state.InterruptionNotice && !view.unhealthy
}

// adopt adds a machine to the rented ones.
func (f *fleet) adopt(name string, p pool) *instance {
	inst := &instance{pool: p, name: name, createdAt: f.core.now.Monotonic}
	f.instances.Set(name, inst)
	return inst
}

// listLag is the longest time by which the cloud's list may be out of date.
func (f *fleet) listLag() time.Duration { return config.Seconds(f.core.settings.Site.Cloud.ListLagS) }

// requestList requests the next page of the list once it is due.
//
// Each page is a call of its own. When a list of twenty pages was requested at once, it exceeded
// the cloud's rate limit and was never completed.
func (f *fleet) requestList() {
	if f.listing.inFlight || f.core.now.Monotonic < f.listing.nextAt || !f.takeListCall() {
		return
	}
	f.listing.inFlight = true
	f.core.emit(ListInstances{After: f.listing.lastName})
}

// handleList handles a page of the list, and completes the list with the last page.
func (f *fleet) handleList(result ListInstancesResult) {
	c := f.core
	f.listing.inFlight = false
	if result.Outcome != CloudDone {
		f.listing.nextAt = c.now.Monotonic + 2*c.intervals.maintenance // the same page is requested again
		return
	}
	if !c.membership.leading {
		return
	}
	for i := range result.Machines {
		f.handleListed(&result.Machines[i])
	}
	if result.More && len(result.Machines) > 0 {
		f.listing.lastName, f.listing.nextAt = result.Machines[len(result.Machines)-1].Name, c.now.Monotonic
		return
	}
	f.listing.completed++
	f.listing.nextAt = c.now.Monotonic + max(f.listLag()/2, 2*c.intervals.maintenance)
	f.countMissed()
	f.listing.lastName, f.listing.names = "", map[string]bool{}
}

func (f *fleet) handleListed(machine *protocol.Instance) {
	f.listing.names[machine.Name] = true
	if f.deletedNames[machine.Name] {
		return
	}
	inst := f.instances.Get(machine.Name)
	if inst == nil {
		inst = f.adopt(machine.Name, pool{machine.Type, machine.Zone, machine.Spot})
		inst.createdAt = f.core.now.Monotonic - config.Seconds(machine.AgeS) - f.listLag()
	}
	inst.wasListed, inst.cloudState, inst.missedLists = true, machine.State, 0
}

// countMissed counts, for each machine, the consecutive complete lists that lack it.
//
// This prevents the leader from waiting forever for machines that died before its term: the
// controllers that owned them never heard from them, and left the shard map one after another
// before any lease could expire. A machine that is known from the registry alone would be listed by
// now if it existed.
func (f *fleet) countMissed() {
	for name, inst := range f.instances.All() {
		if !f.listing.names[name] && (inst.wasListed || f.core.now.Monotonic-inst.createdAt > 4*f.listLag()) {
			inst.missedLists++
		}
	}
}
