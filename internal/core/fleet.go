package core

import (
	"fmt"
	"iter"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// instance is a machine that is rented, as far as the leader knows.
type instance struct {
	name, typeName, zone string
	spot                 bool
	cloudState           string
	createdAt            time.Duration // rented, by the list's word or ours
	wasListed            bool
	missedLists          int // lists in a row that lacked it after it was listed
	returnReason         string
	cpuShare             float64 // share of its CPUs that is taken
	forced               bool    // deleted without waiting for its tasks to end
	deleteInFlight       bool
}

// fleet rents, adopts and returns machines. Only the leader's acts.
type fleet struct {
	core               *Core
	instances          *orderedMap[*instance]
	createRequests     map[string]*createRequest
	deletedNames       map[string]bool          // deleted, by the cloud's word
	cordoned           map[string]bool          // those of them that get none while there is clearly too much
	silentZones        map[string]time.Duration // zones most of which is silent, since when
	recoveredZones     map[string]time.Duration // zones that were, when they came back
	reachableByZone    map[string]int           // machines by zone that are heard and up,
	machinesByZone     map[string]int           // of so many
	usableByPool       map[pool]int             // machines that are or will be of use
	poolBackoffUntil   map[pool]time.Duration
	poolRefusals       map[pool]int
	failedBoots        map[string]int // by type: boots given up since one was up
	requestCounter     int
	listInFlight       bool
	nextListAt         time.Duration
	listAfter          string          // the last machine of the pages read so far, empty: none yet
	listedNames        map[string]bool // what they held
	listsCompleted     int
	typesRequested     bool // for machine types
	typesWriteInFlight bool
	cloudTypes         *protocol.MachineTypes
	callDeferred       bool // a call was due that the budget did not allow
	callsSinceList     int  // to rent or delete, since the last for the list
	callTokens         float64
	callTokensAt       time.Duration
	desiredCPUs        float64
	inflowByUrgency    map[int]float64 // CPUs of work that comes in, by urgency
	guaranteedInflow   float64         // the same, of teams that are no guests
	decayedAt          time.Duration
	burstAt            time.Duration
	burstReserve       float64 // CPUs to keep free for jobs that must not wait
}

func newFleet(c *Core) *fleet {
	f := &fleet{core: c}
	f.reset()
	return f
}

// reset begins a leader's work without any memory of an earlier one.
func (f *fleet) reset() {
	f.instances = newOrderedMap[*instance]()
	f.createRequests = map[string]*createRequest{}
	f.deletedNames = map[string]bool{}
	f.silentZones, f.recoveredZones = map[string]time.Duration{}, map[string]time.Duration{}
	f.inflowByUrgency = map[int]float64{}
	f.burstReserve = 0
	f.poolBackoffUntil = map[pool]time.Duration{}
	f.poolRefusals = map[pool]int{}
	f.failedBoots = map[string]int{}
	f.listsCompleted, f.nextListAt = 0, 0
	f.listAfter, f.listedNames = "", map[string]bool{}
	f.desiredCPUs = 0
	f.cloudTypes = nil
}

func (f *fleet) listLag() time.Duration { return config.Seconds(f.core.settings.Site.Cloud.ListLagS) }

// takeCallToken takes one call from the cloud's budget.
func (f *fleet) takeCallToken() bool {
	rate := f.core.settings.Site.Cloud.RPS * 3 / 5
	// At least one, or a cloud that takes a call a second would never get any.
	f.callTokens = min(f.callTokens+(f.core.now.Monotonic-f.callTokensAt).Seconds()*rate, max(rate, 1))
	f.callTokensAt = f.core.now.Monotonic
	if f.callTokens < 1 {
		return false
	}
	f.callTokens--
	return true
}

// takeScalingCall takes a call for renting or deleting machines, or notes that one was due. The
// list then lets two of them pass.
//
// Guards against a list that took every call that a slow cloud allows, just before the
// round that had a machine to rent.
func (f *fleet) takeScalingCall() bool {
	if !f.takeCallToken() {
		f.callDeferred = true
		return false
	}
	f.callsSinceList++
	return true
}

func (f *fleet) reconcile() {
	c := f.core
	if !c.membership.leading || !c.membership.mayServe() {
		return
	}
	f.storeMachineTypes()
	if len(c.records.machineTypes) == 0 || c.scheduler.epoch == 0 {
		return
	}
	if !f.listInFlight && c.now.Monotonic >= f.nextListAt && (!f.callDeferred || f.callsSinceList >= 2) && f.takeCallToken() {
		f.listInFlight, f.callsSinceList = true, 0
		c.emit(ListInstances{After: f.listAfter})
	}
}

// storeMachineTypes learns the machine types once and keeps them in the state service,
// so that every node can judge submissions even while the cloud is out. There are
// sites with more of them than one value holds.
func (f *fleet) storeMachineTypes() {
	c := f.core
	if len(c.records.machineTypes) > 0 || f.typesWriteInFlight {
		return
	}
	if f.cloudTypes == nil {
		if !f.typesRequested && f.takeCallToken() {
			f.typesRequested = true
			c.emit(ListMachineTypes{})
		}
		return
	}
	guards := []protocol.Guard{c.membership.leaderGuard()}
	var ops []protocol.Operation
	for key, rec := range paginateTypes(f.cloudTypes.Types, c.maxValueBytes()/2) {
		if c.mirror.Version(key) == 0 && len(ops) < c.registry.maxPagesPerWrite() {
			ops = append(ops, protocol.Operation{Put: key, Value: rec})
		}
	}
	if len(ops) == 0 {
		return
	}
	f.typesWriteInFlight = true
	c.commit(guards, ops, func(d CommitResult) {
		c.mirror.AwaitOutcome(d.Outcome.Decided(), c.intervals.maintenance/4, func() { f.typesWriteInFlight = false })
	})
}

// paginateTypes divides machine types over keys, each value at most limit bytes by a
// generous size of a type's description.
func paginateTypes(types []protocol.MachineType, limit int) iter.Seq2[string, protocol.MachineTypes] {
	return func(yield func(string, protocol.MachineTypes) bool) {
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
			key := keyMachineTypes
			if n > 0 {
				key = fmt.Sprintf("%s/%04d", keyMachineTypes, n)
			}
			if !yield(key, protocol.MachineTypes{Types: types[:k], Total: total}) {
				return
			}
			types = types[k:]
		}
	}
}

// applyMachineTypes takes one key of the machine types into the mirror. They are of use once
// all are there: a job was else refused for a type that was still to be read.
func (l *storedRecords) applyMachineTypes(rec *protocol.MachineTypes) {
	for i := range rec.Types {
		l.partialTypes[rec.Types[i].Name] = &rec.Types[i]
	}
	if len(l.partialTypes) >= rec.Total {
		l.machineTypes = l.partialTypes
	}
}

func (f *fleet) handleMachineTypes(d MachineTypesResult) {
	if d.Outcome == CloudDone && len(d.Answer.Types) > 0 {
		f.typesRequested = false
		f.cloudTypes = &d.Answer
		return
	}
	f.core.afterFunc(f.core.intervals.maintenance, func() { f.typesRequested = false })
}

func (f *fleet) wasDeleted(name string) bool { return f.deletedNames[name] }

func (f *fleet) isReturning(name string) bool {
	h := f.instances.get(name)
	return f.deletedNames[name] || h != nil && h.returnReason != ""
}

// handleList takes a page of the list. Each page is a call of its own: a list of twenty
// pages asked for at once went beyond the cloud's limit and never came to an end.
func (f *fleet) handleList(d ListInstancesResult) {
	c := f.core
	f.listInFlight = false
	if d.Outcome != CloudDone {
		f.nextListAt = c.now.Monotonic + 2*c.intervals.maintenance // the same page again
		return
	}
	if !c.membership.leading {
		return
	}
	for i := range d.Machines {
		m := &d.Machines[i]
		f.listedNames[m.Name] = true
		if f.deletedNames[m.Name] {
			continue
		}
		h := f.instances.get(m.Name)
		if h == nil {
			h = f.adopt(m.Name, m.Type, m.Zone, m.Spot)
			h.createdAt = c.now.Monotonic - config.Seconds(m.AgeS) - f.listLag()
		}
		h.wasListed, h.cloudState, h.missedLists = true, m.State, 0
	}
	if d.More && len(d.Machines) > 0 {
		f.listAfter, f.nextListAt = d.Machines[len(d.Machines)-1].Name, c.now.Monotonic
		return
	}
	f.listsCompleted++
	f.nextListAt = c.now.Monotonic + max(f.listLag()/2, 2*c.intervals.maintenance)
	for name, h := range f.instances.all() {
		// One that we know from the register alone would be listed by now if it were there.
		// Guards against waiting for ever for machines that died before this leader came: their
		// owners heard none of them, and left the map in turn before any could lapse.
		if !f.listedNames[name] && (h.wasListed || c.now.Monotonic-h.createdAt > 4*f.listLag()) {
			h.missedLists++
		}
	}
	f.listAfter, f.listedNames = "", map[string]bool{}
}

func (f *fleet) adopt(name, typ, zone string, spot bool) *instance {
	h := &instance{name: name, typeName: typ, zone: zone, spot: spot, createdAt: f.core.now.Monotonic}
	f.instances.set(name, h)
	return h
}

// isUsable reports whether a machine is or will be of use.
func (f *fleet) isUsable(h *instance) bool {
	if h.returnReason != "" || h.cloudState == protocol.MachineFailed || h.missedLists >= 2 {
		return false
	}
	if v := f.core.scheduler.machines.get(h.name); v != nil {
		if f.isLost(v) && !f.isZonePartitioned(h.zone) {
			return false
		}
		return !v.state.InterruptionNotice && !v.unhealthy
	}
	return true
}

// autoscale compares the work that is queued with the machines there are, after each
// round; ranked is every unfinished job and waiting those that had tasks to
// dispatch, both in rank order.
func (f *fleet) autoscale(ranked, waiting []*queuedJob) {
	c := f.core
	for name, v := range c.scheduler.machines.all() {
		if f.instances.get(name) == nil && !f.deletedNames[name] && (v.state.AcceptsTasks || c.records.machineRecords.get(name) != nil) {
			h := f.adopt(name, v.state.Type, v.state.Zone, v.state.Spot)
			h.cloudState = protocol.MachineRunning
		}
	}
	f.callDeferred = false
	f.decayInflow()
	f.trackZones()
	f.usableByPool = map[pool]int{}
	for _, h := range f.instances.all() {
		if f.isUsable(h) {
			f.usableByPool[pool{h.typeName, h.zone, h.spot}]++
		}
	}
	var have, spot float64
	for p, n := range f.plannedByPool() {
		if mt := c.machineTypes()[p.typeName]; mt != nil {
			have += mt.CPUs * float64(n)
			if p.spot {
				spot += mt.CPUs * float64(n)
			}
		}
	}
	d := f.computeDemand(ranked)
	f.desiredCPUs = d.total
	c.logDebug("demand", "soon", d.total, "due", d.onTime, "firm", d.onTimeOnDemand, "have", have, "spot", spot, "inflow", f.inflowByUrgency)
	f.scaleOut(waiting, d, have, spot)
	f.scaleIn(d, waiting)
	f.returnInstances()
}

// plannedByPool walks over the pools and their machines, and then over those being hired.
func (f *fleet) plannedByPool() iter.Seq2[pool, int] {
	return func(yield func(pool, int) bool) {
		for p, n := range f.usableByPool {
			if !yield(p, n) {
				return
			}
		}
		for _, h := range f.createRequests {
			if !yield(h.pool(), h.request.Count) {
				return
			}
		}
	}
}
