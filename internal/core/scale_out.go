package core

import (
	"fmt"
	"iter"
	"math"
	"sort"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// createRequest is a rental request under way.
type createRequest struct {
	request  protocol.CreateMachinesRequest
	attempts int
}

func (h *createRequest) pool() pool { return pool{h.request.Type, h.request.Zone, h.request.Spot} }

// pool is a type, zone and kind: capacity is refused for one of these alone.
type pool struct {
	typeName, zone string
	spot           bool
}

// offer is a pool with what a unit of work costs there.
type offer struct {
	pool
	machineType *protocol.MachineType
	cost        float64
}

// eligiblePools walks over those that could serve a job and have not refused lately.
func (f *fleet) eligiblePools(s *protocol.Job) iter.Seq2[pool, *protocol.MachineType] {
	return func(yield func(pool, *protocol.MachineType) bool) {
		for _, name := range sortedKeys(f.core.machineTypes()) {
			mt := f.core.machineTypes()[name]
			if !binpacking.FitsMachineType(mt, s) {
				continue
			}
			for _, z := range mt.Zones {
				for _, spot := range []bool{true, false} {
					p := pool{name, z, spot}
					if binpacking.AllowsMachine(s, name, z, spot) && !(spot && mt.SpotPrice <= 0) && f.poolBackoffUntil[p] <= f.core.now.Monotonic && !yield(p, mt) {
						return
					}
				}
			}
		}
	}
}

// offers lists the pools that could serve a job, cheapest first. A machine's
// boot and first fetch are paid too, so they are spread over a usual stay.
func (f *fleet) offers(s *protocol.Job, ordinaryOnly bool) []offer {
	c := f.core
	stay := 6 * c.intervals.workerLease.Seconds()
	inZone := map[string]int{}
	for p, n := range f.usableByPool {
		inZone[p.zone] += n
	}
	var out []offer
	for p, mt := range f.eligiblePools(s) {
		if p.spot && ordinaryOnly {
			continue
		}
		price := mt.Price
		if p.spot {
			price = mt.SpotPrice
		}
		warm := 1 + (mt.BootS+s.ImageGB/max(mt.FetchGBps, 0.01))/stay
		out = append(out, offer{pool: p, machineType: mt, cost: price / tasksPerMachine(mt, s) * warm})
	}
	sort.SliceStable(out, func(a, b int) bool {
		if out[a].cost != out[b].cost {
			return out[a].cost < out[b].cost
		}
		return inZone[out[a].zone] < inZone[out[b].zone]
	})
	return out
}

// mayScaleOut waits after a take-over until the list shows what the last leader
// rented, or it would be rented twice.
func (f *fleet) mayScaleOut() bool {
	c := f.core
	return c.scheduler.epochAtElection == 0 || f.listsCompleted > 0 && c.now.Monotonic-c.membership.leaderSince > f.listLag()*3/2
}

func (f *fleet) scaleOut(jobs []*queuedJob, d capacityDemand, have, spot float64) {
	if len(jobs) == 0 || !f.mayScaleOut() {
		return
	}
	c := f.core
	lackSoon, lackFirm := d.total-have, d.onTimeOnDemand-(have-spot)
	most := 0.0
	for _, need := range d.onTimeByType {
		most = max(most, need)
	}
	hired := 0.0
	for _, q := range jobs {
		s := &q.entry.record.Spec
		strandedIn, own := f.missingCapacity(q)
		for _, o := range f.offers(s, lackFirm > max(lackSoon, most-have-hired, 0)) {
			if own > 0 && strandedIn != "" && o.zone != strandedIn {
				continue
			}
			short := d.onTimeByType[o.typeName] - have - hired
			if o.spot {
				short = lackSoon
			} else {
				short = max(short, lackFirm)
			}
			if short < o.machineType.CPUs/2 && own <= 0 {
				continue
			}
			n := max(int(math.Ceil(max(short, own)/o.machineType.CPUs)), 1)
			// Spread over the zones: none gets more than its share at once.
			if strandedIn == "" {
				n = (n + len(o.machineType.Zones) - 1) / len(o.machineType.Zones)
			}
			n = min(n, protocol.MaxCreate)
			if f.requestPending(o.pool) || !f.takeScalingCall() {
				continue
			}
			f.requestCounter++
			req := protocol.CreateMachinesRequest{
				Request: fmt.Sprintf("h-%s-%d-%d", c.bootID, c.scheduler.epoch, f.requestCounter),
				Type:    o.typeName, Zone: o.zone, Spot: o.spot, Count: n,
			}
			f.createRequests[req.Request] = &createRequest{request: req}
			c.emit(CreateInstances{Request: req})
			c.logDebug("hiring", "request", req.Request, "type", o.typeName, "zone", o.zone, "spot", o.spot, "count", n, "short", short)
			cpus := float64(n) * o.machineType.CPUs
			own -= cpus
			lackSoon -= cpus
			hired += cpus
			if !o.spot {
				lackFirm -= cpus
			}
		}
	}
}

// missingCapacity says in which zone (empty: any) a job lacks machines that may take its
// tasks, however many there are for others, and how many CPUs it lacks there.
func (f *fleet) missingCapacity(q *queuedJob) (zone string, lack float64) {
	s := &q.entry.record.Spec
	zones := []string{s.Zone}
	if len(q.entry.record.Zones) > 0 {
		zones = q.entry.record.Zones
	}
	tasks := math.Ceil(float64(q.waitingTasks()+len(q.inflight)) / float64(len(zones)))
	if s.Kind == protocol.KindArray {
		few := math.Ceil(tasks * q.predictedSeconds / max(f.minUsefulSeconds(s), q.predictedSeconds, 1))
		if len(s.MachineTypes) == 0 && zones[0] == "" && s.AllowSpot {
			few = 1 // any machine will do: it takes part in the common demand
		}
		tasks = min(tasks, few)
	}
	for _, z := range zones {
		have := 0.0
		slots := func(typ, zone string, spot bool) float64 {
			mt := f.core.machineTypes()[typ]
			if mt == nil || !binpacking.FitsMachineType(mt, s) || !binpacking.AllowsType(s, typ) || z != "" && z != zone || spot && !s.AllowSpot {
				return 0
			}
			return tasksPerMachine(mt, s)
		}
		for p, n := range f.plannedByPool() {
			have += slots(p.typeName, p.zone, p.spot) * float64(n)
		}
		if have < tasks {
			return z, (tasks - have) * max(s.CPUs, binpacking.RoundingSlack)
		}
	}
	return "", 0
}

// tasksPerMachine is how many tasks of a job an empty machine holds.
func tasksPerMachine(mt *protocol.MachineType, s *protocol.Job) float64 {
	slots := math.Inf(1)
	for _, x := range [][2]float64{{mt.CPUs, s.CPUs}, {mt.GPUs, s.GPUs}, {mt.MemoryGB, s.MemoryGB}} {
		if x[1] > 0 {
			slots = min(slots, math.Floor(x[0]/x[1]+binpacking.RoundingSlack))
		}
	}
	if math.IsInf(slots, 1) {
		return 1
	}
	return slots
}

func (f *fleet) requestPending(p pool) bool {
	for _, h := range f.createRequests {
		if h.pool() == p {
			return true
		}
	}
	return false
}

func (f *fleet) handleCreate(d CreateInstancesResult) {
	c := f.core
	h := f.createRequests[d.Request]
	if h == nil {
		return
	}
	p := h.pool()
	switch d.Outcome {
	case CloudDone:
		delete(f.createRequests, d.Request)
		for _, n := range d.Names {
			if f.instances.get(n) == nil && !f.deletedNames[n] {
				f.adopt(n, p.typeName, p.zone, p.spot).cloudState = protocol.MachineBooting
			}
		}
		if len(d.Names) > 0 {
			c.logInfo("hired", "machines", len(d.Names), "of", h.request.Count, "type", p.typeName, "zone", p.zone, "spot", p.spot)
			f.poolRefusals[p] = 0
		}
		if len(d.Names) < h.request.Count {
			f.backOffPool(p)
		}
	case CloudUnavailable:
		delete(f.createRequests, d.Request)
		f.backOffPool(p)
	case CloudRejected:
		delete(f.createRequests, d.Request)
		c.emit(Log{Level: LevelError, Text: "the cloud calls a rental request malformed", Args: []any{"request", d.Request}})
		f.backOffPool(p)
	default:
		// No answer, or too many calls: the same name may be sent again and
		// rents nothing twice.
		h.attempts++
		if h.attempts > 5 {
			delete(f.createRequests, d.Request) // what it rented shows up in the list
			return
		}
		c.afterFunc(c.intervals.maintenance, func() {
			if f.createRequests[d.Request] == h {
				c.emit(CreateInstances{Request: h.request})
			}
		})
	}
}

// backOffPool leaves a pool alone for a while after it refused.
func (f *fleet) backOffPool(p pool) {
	f.poolRefusals[p]++
	wait := 5 * f.core.intervals.maintenance << min(f.poolRefusals[p]-1, 3)
	f.poolBackoffUntil[p] = f.core.now.Monotonic + wait
	f.core.logDebug("capacity refused", "type", p.typeName, "zone", p.zone, "spot", p.spot, "wait", wait)
}

// noCapacityReason says which capacity a job waits for, if every pool has refused.
func (f *fleet) noCapacityReason(s *protocol.Job) string {
	for range f.eligiblePools(s) {
		return ""
	}
	return "the cloud has no machine of the allowed types to give"
}
