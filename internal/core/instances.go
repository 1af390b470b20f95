package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// pool is where machines are rented: capacity is refused for one type, zone and kind alone.
type pool struct {
	typeName, zone string
	spot           bool
}

// instance is a machine that is rented, as far as the leader knows.
type instance struct {
	pool
	name           string
	cloudState     string        // as the list has it: booting, running or failed
	createdAt      time.Duration // by the list's word or our own request
	wasListed      bool
	missedLists    int          // lists in a row that lacked it after it was listed
	cpuUtilization float64      // share of its CPUs that is taken
	returnReason   returnReason // empty: it is not being returned
	forceDelete    bool         // to be deleted without waiting for its tasks to end
	deleteInFlight bool
}

// missedListsUntilLost is how many lists in a row must lack a machine before it counts as gone.
const missedListsUntilLost = 2

// instanceListing is the progress through the pages of the cloud's list.
type instanceListing struct {
	inFlight  bool
	nextAt    time.Duration
	after     string          // the last machine of the pages read so far, empty: none yet
	names     map[string]bool // the machines of these pages
	completed int             // whole lists read in this term
}

// restart forgets what was listed; a call that is under way stays so.
func (l *instanceListing) restart() {
	l.nextAt, l.completed = 0, 0
	l.after, l.names = "", map[string]bool{}
}

func (f *fleet) wasDeleted(name string) bool { return f.deletedNames[name] }

// isReturning reports whether a machine is being drained and returned, or is gone.
func (f *fleet) isReturning(name string) bool {
	inst := f.instances.Get(name)
	return f.deletedNames[name] || inst != nil && inst.returnReason != ""
}

// isUsable reports whether a machine is or will be of use.
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

// adopt takes a machine among the rented ones.
func (f *fleet) adopt(name string, p pool) *instance {
	inst := &instance{pool: p, name: name, createdAt: f.core.now.Monotonic}
	f.instances.Set(name, inst)
	return inst
}

// listLag is how far the cloud's list may be behind.
func (f *fleet) listLag() time.Duration { return config.Seconds(f.core.settings.Site.Cloud.ListLagS) }

// requestList asks for the next page of the list once it is due.
//
// Guards against a list of twenty pages asked for at once, which went beyond the cloud's limit
// and never came to an end: each page is a call of its own.
func (f *fleet) requestList() {
	if f.listing.inFlight || f.core.now.Monotonic < f.listing.nextAt || !f.takeListCall() {
		return
	}
	f.listing.inFlight = true
	f.core.emit(ListInstances{After: f.listing.after})
}

// handleList takes a page of the list, and ends the list with the last one.
func (f *fleet) handleList(result ListInstancesResult) {
	c := f.core
	f.listing.inFlight = false
	if result.Outcome != CloudDone {
		f.listing.nextAt = c.now.Monotonic + 2*c.intervals.maintenance // the same page again
		return
	}
	if !c.membership.leading {
		return
	}
	for i := range result.Machines {
		f.handleListed(&result.Machines[i])
	}
	if result.More && len(result.Machines) > 0 {
		f.listing.after, f.listing.nextAt = result.Machines[len(result.Machines)-1].Name, c.now.Monotonic
		return
	}
	f.listing.completed++
	f.listing.nextAt = c.now.Monotonic + max(f.listLag()/2, 2*c.intervals.maintenance)
	f.countMissed()
	f.listing.after, f.listing.names = "", map[string]bool{}
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

// countMissed notes which machines a whole list lacked.
//
// Guards against waiting for ever for machines that died before this leader came: their owners
// heard none of them, and left the shard map in turn before any lease could expire. One that is
// known from the registry alone would be listed by now if it were there.
func (f *fleet) countMissed() {
	for name, inst := range f.instances.All() {
		if !f.listing.names[name] && (inst.wasListed || f.core.now.Monotonic-inst.createdAt > 4*f.listLag()) {
			inst.missedLists++
		}
	}
}
