package core

import (
	"fmt"
	"math"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// createRequest is a call to create instances that is in flight.
type createRequest struct {
	body     protocol.CreateMachinesRequest
	attempts int // attempts that got no response or were above the cloud's rate limit
}

func (r *createRequest) pool() pool { return pool{r.body.Type, r.body.Zone, r.body.Spot} }

// maxCreateAttempts is the number of attempts without a result after which a request is abandoned.
// Instances that it created nevertheless show up in the cloud's list.
const maxCreateAttempts = 5

// mayScaleOut reports whether the leader knows all rented machines. After a failover it must wait
// until the list shows what the last leader rented, or the same capacity would be rented twice.
func (f *fleet) mayScaleOut() bool {
	c := f.core
	return c.scheduler.epochAtElection == 0 || f.listing.completed > 0 && c.now.Monotonic-c.membership.leaderSince > f.listLag()*3/2
}

// shortage is the number of CPUs that are missing. It is updated while machines are created for one
// job after another.
type shortage struct {
	demand    *capacityDemand
	planned   cpuCapacity // planned capacity at the start of this round
	created   float64     // CPUs of instances created in this round, spot and on-demand
	total     float64     // missing for all work
	onDemand  float64     // missing for work that must not depend on spot machines
	maxOnTime float64     // the largest value of demand.onTimeByType
}

func newShortage(demand *capacityDemand, planned cpuCapacity) *shortage {
	s := &shortage{
		demand: demand, planned: planned,
		total:    demand.total - planned.total,
		onDemand: demand.onTimeOnDemand - planned.onDemand(),
	}
	for _, cpus := range demand.onTimeByType {
		s.maxOnTime = max(s.maxOnTime, cpus)
	}
	return s
}

// onDemandOnly reports whether the largest shortage is of capacity that must not depend on spot
// machines.
func (s *shortage) onDemandOnly() bool {
	return s.onDemand > max(s.total, s.maxOnTime-s.planned.total-s.created, 0)
}

// forOffer is how many of the missing CPUs are worth renting in machines of an offer.
func (s *shortage) forOffer(o *offer) float64 {
	if o.spot {
		return s.total
	}
	return max(s.demand.onTimeByType[o.typeName]-s.planned.total-s.created, s.onDemand)
}

// reduce deducts machines that are being created.
func (s *shortage) reduce(cpus float64, spot bool) {
	s.total -= cpus
	s.created += cpus
	if !spot {
		s.onDemand -= cpus
	}
}

// scaleOut creates instances for the waiting jobs, in rank order, until the planned capacity meets
// the demand.
func (f *fleet) scaleOut(waiting []*queuedJob, demand capacityDemand, planned cpuCapacity) {
	if len(waiting) == 0 || !f.mayScaleOut() {
		return
	}
	missing := newShortage(&demand, planned)
	for _, job := range waiting {
		f.scaleOutFor(job, missing)
	}
}

// scaleOutFor creates instances that a job may use: for the overall demand, and for what the job
// itself lacks if few machines can serve it.
func (f *fleet) scaleOutFor(job *queuedJob, missing *shortage) {
	zone, jobMissing := f.missingCapacity(job)
	offers := f.offers(&job.entry.record.Spec, missing.onDemandOnly())
	for i := range offers {
		o := &offers[i]
		if jobMissing > 0 && zone != "" && o.zone != zone {
			continue
		}
		cpusMissing := missing.forOffer(o)
		if cpusMissing < o.machineType.CPUs/2 && jobMissing <= 0 {
			continue
		}
		if f.requestPending(o.pool) || !f.takeScalingCall() {
			continue
		}
		count := machinesFor(o.machineType, max(cpusMissing, jobMissing), zone == "")
		f.createInstances(o.pool, count, cpusMissing)
		cpus := float64(count) * o.machineType.CPUs
		jobMissing -= cpus
		missing.reduce(cpus, o.spot)
	}
}

// machinesFor is the number of machines of a type to request in one zone. With spread, the CPUs are
// divided evenly over all zones of the type.
func machinesFor(machineType *protocol.MachineType, cpus float64, spread bool) int {
	count := max(int(math.Ceil(cpus/machineType.CPUs)), 1)
	if zones := len(machineType.Zones); spread {
		count = (count + zones - 1) / zones
	}
	return min(count, protocol.MaxCreate)
}

// createInstances requests machines from the cloud, under a request name that is never used twice.
func (f *fleet) createInstances(p pool, count int, cpusMissing float64) {
	c := f.core
	f.requestCounter++
	body := protocol.CreateMachinesRequest{
		RequestID: fmt.Sprintf("h-%s-%d-%d", c.bootID, c.scheduler.epoch, f.requestCounter),
		Type:      p.typeName, Zone: p.zone, Spot: p.spot, Count: count,
	}
	f.createRequests[body.RequestID] = &createRequest{body: body}
	c.emit(CreateInstances{Request: body})
	c.logDebug("creating instances", "request", body.RequestID, "type", p.typeName, "zone", p.zone, "spot", p.spot,
		"count", count, "cpus_missing", cpusMissing)
}

func (f *fleet) requestPending(p pool) bool {
	for _, request := range f.createRequests {
		if request.pool() == p {
			return true
		}
	}
	return false
}

// missingCapacity returns the first zone (empty: any zone) in which too few planned machines may
// take the job's tasks, and the CPUs that are missing there. It does not consider that other
// jobs use these machines too. It returns 0 CPUs if the job lacks none.
func (f *fleet) missingCapacity(job *queuedJob) (zone string, cpus float64) {
	spec := &job.entry.record.Spec
	zones := []string{spec.Zone}
	if len(job.entry.record.Zones) > 0 {
		zones = job.entry.record.Zones
	}
	wantedSlots := f.slotsWanted(job, zones)
	for _, zone := range zones {
		if slots := f.plannedSlots(spec, zone); slots < wantedSlots {
			return zone, (wantedSlots - slots) * max(spec.CPUs, binpacking.RoundingSlack)
		}
	}
	return "", 0
}

// slotsWanted is the number of a job's tasks that should fit into each of its zones.
func (f *fleet) slotsWanted(job *queuedJob, zones []string) float64 {
	spec := &job.entry.record.Spec
	tasks := math.Ceil(float64(job.waitingTasks()+len(job.inflight)) / float64(len(zones)))
	if spec.Kind != protocol.KindArray {
		return tasks // they all run at once
	}
	slots := math.Ceil(tasks * job.predictedSeconds / max(f.minUsefulSeconds(spec), job.predictedSeconds, 1))
	if len(spec.MachineTypes) == 0 && zones[0] == "" && spec.AllowSpot {
		slots = 1 // any machine can serve the job, so the overall demand covers it
	}
	return min(tasks, slots)
}

// plannedSlots is how many tasks of a job fit on the planned machines of a zone (empty: of all
// zones) when these are empty.
func (f *fleet) plannedSlots(spec *protocol.Job, zone string) float64 {
	total := 0.0
	for p, count := range f.plannedByPool() {
		machineType := f.core.machineTypes()[p.typeName]
		if machineType == nil || !binpacking.FitsMachineType(machineType, spec) || !binpacking.AllowsType(spec, p.typeName) ||
			zone != "" && zone != p.zone || p.spot && !spec.AllowSpot {
			continue
		}
		total += tasksPerMachine(machineType, spec) * float64(count)
	}
	return total
}

// handleCreate handles the result of a create request.
func (f *fleet) handleCreate(result CreateInstancesResult) {
	request := f.createRequests[result.Request]
	if request == nil {
		return
	}
	switch result.Outcome {
	case CloudDone:
		delete(f.createRequests, result.Request)
		f.adoptCreated(request, result.Names)
	case CloudUnavailable:
		delete(f.createRequests, result.Request)
		f.backOffPool(request.pool())
	case CloudRejected:
		delete(f.createRequests, result.Request)
		f.core.logError("the cloud rejected a create request as malformed", "request", result.Request)
		f.backOffPool(request.pool())
	default:
		f.retryCreate(request)
	}
}

// adoptCreated adds the machines that a request has created. If there are fewer than requested, the
// cloud has refused the others.
func (f *fleet) adoptCreated(request *createRequest, names []string) {
	p := request.pool()
	for _, name := range names {
		if f.instances.Get(name) == nil && !f.deletedNames[name] {
			f.adopt(name, p).cloudState = protocol.MachineBooting
		}
	}
	if len(names) > 0 {
		f.core.logInfo("instances created", "machines", len(names), "of", request.body.Count,
			"type", p.typeName, "zone", p.zone, "spot", p.spot)
		f.poolRefusals[p] = 0
	}
	if len(names) < request.body.Count {
		f.backOffPool(p)
	}
}

// retryCreate repeats a request that got no response or was above the cloud's rate limit. The
// request keeps its name, so nothing is created twice.
func (f *fleet) retryCreate(request *createRequest) {
	c := f.core
	name := request.body.RequestID
	request.attempts++
	if request.attempts > maxCreateAttempts {
		delete(f.createRequests, name)
		return
	}
	c.afterFunc(c.intervals.maintenance, func() {
		if f.createRequests[name] == request {
			c.emit(CreateInstances{Request: request.body})
		}
	})
}
