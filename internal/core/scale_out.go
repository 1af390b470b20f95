package core

import (
	"fmt"
	"math"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// createRequest is a call to create instances that is under way.
type createRequest struct {
	body     protocol.CreateMachinesRequest
	attempts int // that had no answer, or were above the cloud's limit
}

func (r *createRequest) pool() pool { return pool{r.body.Type, r.body.Zone, r.body.Spot} }

// maxCreateAttempts is after how many attempts without a result a request is given up. What it
// has created all the same shows up in the list.
const maxCreateAttempts = 5

// mayScaleOut reports whether the leader knows what it has: after a failover not until the list
// shows what the last leader rented, or it would be rented twice.
func (f *fleet) mayScaleOut() bool {
	c := f.core
	return c.scheduler.epochAtElection == 0 || f.listing.completed > 0 && c.now.Monotonic-c.membership.leaderSince > f.listLag()*3/2
}

// shortage is how many CPUs are missing while machines are being created for one job after
// another.
type shortage struct {
	demand    *capacityDemand
	planned   cpuCapacity // before this round
	created   float64     // in this round, spot or not
	total     float64     // missing for all work
	onDemand  float64     // missing for work that must not rest on spot machines
	maxOnTime float64     // the largest need of any type that is to be on time
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

// onDemandOnly reports whether what is missing most must not rest on spot machines.
func (s *shortage) onDemandOnly() bool {
	return s.onDemand > max(s.total, s.maxOnTime-s.planned.total-s.created, 0)
}

// forOffer is how many CPUs are missing that machines of an offer would be worth renting for.
func (s *shortage) forOffer(o *offer) float64 {
	if o.spot {
		return s.total
	}
	return max(s.demand.onTimeByType[o.typeName]-s.planned.total-s.created, s.onDemand)
}

// reduce counts machines that are being created.
func (s *shortage) reduce(cpus float64, spot bool) {
	s.total -= cpus
	s.created += cpus
	if !spot {
		s.onDemand -= cpus
	}
}

// scaleOut creates instances for the waiting jobs, in rank order, as far as the demand exceeds
// what is planned.
func (f *fleet) scaleOut(waiting []*queuedJob, demand capacityDemand, planned cpuCapacity) {
	if len(waiting) == 0 || !f.mayScaleOut() {
		return
	}
	missing := newShortage(&demand, planned)
	for _, job := range waiting {
		f.scaleOutFor(job, missing)
	}
}

// scaleOutFor creates instances that a job may use: for the common demand, and for what the job
// itself lacks where few machines can serve it.
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

// machinesFor is how many machines of a type to ask for in one zone. Spread over the zones, none
// gets more than its share at once.
func machinesFor(machineType *protocol.MachineType, cpus float64, spread bool) int {
	count := max(int(math.Ceil(cpus/machineType.CPUs)), 1)
	if zones := len(machineType.Zones); spread {
		count = (count + zones - 1) / zones
	}
	return min(count, protocol.MaxCreate)
}

// createInstances asks the cloud for machines, under a name that no other request has.
func (f *fleet) createInstances(p pool, count int, cpusMissing float64) {
	c := f.core
	f.requestCounter++
	body := protocol.CreateMachinesRequest{
		Request: fmt.Sprintf("h-%s-%d-%d", c.bootID, c.scheduler.epoch, f.requestCounter),
		Type:    p.typeName, Zone: p.zone, Spot: p.spot, Count: count,
	}
	f.createRequests[body.Request] = &createRequest{body: body}
	c.emit(CreateInstances{Request: body})
	c.logDebug("creating instances", "request", body.Request, "type", p.typeName, "zone", p.zone, "spot", p.spot,
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

// missingCapacity says in which zone (empty: any) a job lacks machines that may take its tasks,
// however many there are for others, and how many CPUs it lacks there.
func (f *fleet) missingCapacity(job *queuedJob) (zone string, cpus float64) {
	spec := &job.entry.record.Spec
	zones := []string{spec.Zone}
	if len(job.entry.record.Zones) > 0 {
		zones = job.entry.record.Zones
	}
	wanted := f.slotsWanted(job, zones)
	for _, zone := range zones {
		if slots := f.plannedSlots(spec, zone); slots < wanted {
			return zone, (wanted - slots) * max(spec.CPUs, binpacking.RoundingSlack)
		}
	}
	return "", 0
}

// slotsWanted is for how many tasks of a job there should be room in each of its zones.
func (f *fleet) slotsWanted(job *queuedJob, zones []string) float64 {
	spec := &job.entry.record.Spec
	tasks := math.Ceil(float64(job.waitingTasks()+len(job.inflight)) / float64(len(zones)))
	if spec.Kind != protocol.KindArray {
		return tasks // they all run at once
	}
	slots := math.Ceil(tasks * job.predictedSeconds / max(f.minUsefulSeconds(spec), job.predictedSeconds, 1))
	if len(spec.MachineTypes) == 0 && zones[0] == "" && spec.AllowSpot {
		slots = 1 // any machine will do: it takes part in the common demand
	}
	return min(tasks, slots)
}

// plannedSlots is how many tasks of a job the planned machines of a zone (empty: of all) hold
// when they are empty.
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

// handleCreate takes the result of a create request.
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

// adoptCreated takes the machines that a request has created. Fewer than were asked for are a
// refusal of the rest.
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

// retryCreate sends a request again that had no answer or was above the cloud's limit. It has
// the same name and creates nothing twice.
func (f *fleet) retryCreate(request *createRequest) {
	c := f.core
	name := request.body.Request
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
