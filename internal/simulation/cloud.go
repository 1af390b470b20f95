package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// machinePrefix is the prefix of the names of all machines.
	machinePrefix = "n-"
	// cloudPageSize is the maximum number of instances in one page of the list of instances.
	cloudPageSize = 500
	// cloudBurstSeconds is the burst that the limit of calls a second allows, in seconds' worth of
	// calls.
	cloudBurstSeconds = 2
	// minBootFactor and bootFactorSpread bound how long a boot takes, as a share of the machine type's
	// boot time: from minBootFactor to minBootFactor + bootFactorSpread.
	minBootFactor    = 0.6
	bootFactorSpread = 0.9
	// maxInstantBoot is the upper bound of a boot's duration if CloudFaults.InstantBoot is set.
	maxInstantBoot = 2 * time.Second
)

// Cloud is the simulated cloud, which rents machines. Its list of instances lags behind their
// actual state by the setting list_lag_s.
type Cloud struct {
	CloudFaults

	Created   int // machines created on request
	Deleted   int // machines deleted, on request of a controller or by the cloud itself
	Throttled int // calls refused because they were above the limit

	cluster           *Cluster
	types             []protocol.MachineType
	machines          map[string]*machine // by name, including deleted ones
	namesByRequest    map[string][]string // names of the machines created for a request, by its ID
	lastMachineNumber int                 // number in the name of the machine created last
	callBucket        leakyBucket
}

// machine is an instance with the times of its creation and deletion.
type machine struct {
	protocol.Instance
	createdAt time.Duration
	deletedAt time.Duration // 0: not deleted
}

func newCloud(cluster *Cluster, types []protocol.MachineType) *Cloud {
	return &Cloud{
		CloudFaults: CloudFaults{Capacity: map[string]int{}},
		cluster:     cluster, types: types, machines: map[string]*machine{}, namesByRequest: map[string][]string{},
	}
}

// Type returns the machine type of the given name, or nil if there is none.
func (c *Cloud) Type(name string) *protocol.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}

// AddRunning creates a machine that runs at once, without a request of a controller, and returns its
// name.
func (c *Cloud) AddRunning(machineType, zone string, spot bool) string {
	name := c.addBooting(machineType, zone, spot)
	c.finishBoot(name)
	return name
}

func (c *Cloud) addBooting(machineType, zone string, spot bool) string {
	c.lastMachineNumber++
	name := fmt.Sprintf("%s%06d", machinePrefix, c.lastMachineNumber)
	c.machines[name] = &machine{createdAt: c.cluster.Now, Instance: protocol.Instance{
		Name: name, Addr: name + ":9000", Type: machineType, Zone: zone, Spot: spot, State: protocol.MachineBooting}}
	return name
}

func (c *Cloud) finishBoot(name string) {
	booted := c.machines[name]
	if booted == nil || booted.deletedAt > 0 {
		return
	}
	booted.State = protocol.MachineRunning
	c.cluster.Workers[name] = newWorker(c.cluster, booted.Instance)
}

// createInstances creates the machines of a request, or fewer if the capacity is not sufficient. It
// is idempotent: a repeated request that created machines gets their names again.
func (c *Cloud) createInstances(request protocol.CreateMachinesRequest) ([]string, core.CloudOutcome) {
	if names := c.namesByRequest[request.RequestID]; names != nil {
		return names, core.CloudDone
	}
	if outcome := c.admit(); outcome != core.CloudDone {
		return nil, outcome
	}
	count := c.availableCount(request)
	if count <= 0 {
		return nil, core.CloudUnavailable
	}
	var names []string
	for range count {
		name := c.addBooting(request.Type, request.Zone, request.Spot)
		names = append(names, name)
		c.Created++
		if c.StuckBoots > 0 {
			c.StuckBoots--
			continue
		}
		c.cluster.After(c.drawBootDuration(request.Type), func() { c.finishBoot(name) })
	}
	c.namesByRequest[request.RequestID] = names
	return names, core.CloudDone
}

// availableCount returns how many of the requested machines can be created within the capacity of
// their type and zone. The result is not positive if none can.
func (c *Cloud) availableCount(request protocol.CreateMachinesRequest) int {
	count := request.Count
	for _, pool := range []string{request.Type, request.Type + " " + request.Zone} {
		limit, limited := c.Capacity[pool]
		if !limited {
			continue
		}
		used := 0
		for _, existing := range c.machines {
			if existing.deletedAt == 0 && (pool == existing.Type || pool == existing.Type+" "+existing.Zone) {
				used++
			}
		}
		count = min(count, limit-used)
	}
	return count
}

// drawBootDuration draws at random how long a machine of the given type boots.
func (c *Cloud) drawBootDuration(machineType string) time.Duration {
	factor := minBootFactor + bootFactorSpread*c.cluster.Rand.Float64()
	boot := config.Seconds(c.Type(machineType).BootS * factor * max(c.BootFactor, 1))
	if c.InstantBoot {
		boot = time.Duration(c.cluster.Rand.Int64N(int64(maxInstantBoot)))
	}
	return boot
}

// Remove deletes machines at once, without notice to their workers. It ignores names of machines
// that do not exist.
func (c *Cloud) Remove(names ...string) {
	for _, name := range names {
		removed := c.machines[name]
		if removed == nil || removed.deletedAt > 0 {
			continue
		}
		removed.deletedAt = c.cluster.Now
		c.Deleted++
		if worker := c.cluster.Workers[name]; worker != nil {
			worker.remove()
		}
	}
}

func (c *Cloud) deleteInstances(names []string) core.DeleteInstancesResult {
	outcome := c.admit()
	if outcome == core.CloudDone {
		c.Remove(names...)
	}
	return core.DeleteInstancesResult{Names: names, Outcome: outcome}
}

// admit decides whether a call is served. It returns CloudUnavailable in an outage, CloudThrottled
// if the call is above the limit, and CloudDone if it is served.
func (c *Cloud) admit() core.CloudOutcome {
	if c.Down {
		return core.CloudUnavailable
	}
	rate := c.cluster.Settings.Site.Cloud.RPS
	if !c.callBucket.allow(c.cluster.Now, 1, rate, cloudBurstSeconds) {
		c.Throttled++
		return core.CloudThrottled
	}
	return core.CloudDone
}

func (c *Cloud) listTypes() core.MachineTypesResult {
	outcome := c.admit()
	if outcome != core.CloudDone {
		return core.MachineTypesResult{Outcome: outcome}
	}
	return core.MachineTypesResult{Outcome: core.CloudDone, Response: protocol.MachineTypes{Types: c.types}}
}

// list returns a page of the instances whose names sort after the given one. The list shows which
// instances existed list_lag_s ago.
func (c *Cloud) list(after string) core.ListInstancesResult {
	if outcome := c.admit(); outcome != core.CloudDone {
		return core.ListInstancesResult{Outcome: outcome}
	}
	listedAsOf := c.cluster.Now - config.Seconds(c.cluster.Settings.Site.Cloud.ListLagS)
	var instances []protocol.Instance
	for _, candidate := range c.machines {
		if candidate.Name <= after || candidate.createdAt > listedAsOf || candidate.deletedAt > 0 && candidate.deletedAt <= listedAsOf {
			continue
		}
		instance := candidate.Instance
		instance.AgeS = (listedAsOf - candidate.createdAt).Seconds()
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(a, b protocol.Instance) int { return cmp.Compare(a.Name, b.Name) })
	page := instances[:min(len(instances), cloudPageSize)]
	return core.ListInstancesResult{Outcome: core.CloudDone, Machines: page, More: len(page) < len(instances)}
}
