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
	// machinePrefix begins the names of all machines.
	machinePrefix = "n-"
	// cloudPageSize is the largest number of instances in one page of a list.
	cloudPageSize = 500
	// cloudBurstSeconds is how many seconds' worth of calls may come at once.
	cloudBurstSeconds = 2
	// minBootFactor and bootFactorSpread bound how long a boot takes, as a share of what the
	// machine type says.
	minBootFactor    = 0.6
	bootFactorSpread = 0.9
	// maxInstantBoot is how long a boot takes at most if boots are switched to be instant.
	maxInstantBoot = 2 * time.Second
)

// Cloud rents machines. What it lists lags behind.
type Cloud struct {
	CloudFaults

	Created   int // machines created on request
	Deleted   int // machines deleted, on request or by the cloud itself
	Throttled int // calls above the limit

	cluster           *Cluster
	types             []protocol.MachineType
	machines          map[string]*machine // by name, deleted ones too
	namesByRequest    map[string][]string // names of the machines created, by the request's id
	lastMachineNumber int                 // number of the machine created last
	callBucket        leakyBucket
}

// machine is an instance and its lifetime.
type machine struct {
	protocol.Instance
	createdAt time.Duration
	deletedAt time.Duration // 0: it exists
}

func newCloud(cluster *Cluster, types []protocol.MachineType) *Cloud {
	return &Cloud{
		CloudFaults: CloudFaults{Capacity: map[string]int{}},
		cluster:     cluster, types: types, machines: map[string]*machine{}, namesByRequest: map[string][]string{},
	}
}

// Type is the machine type of that name, nil: there is none.
func (c *Cloud) Type(name string) *protocol.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}

// AddRunning creates a running machine that nobody asked for, and returns its name.
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

// createInstances creates the machines of a request, fewer if there are not enough. The same
// request gets the same answer again.
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

// availableCount is how many of the machines of a request there are.
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

// drawBootDuration draws how long a machine boots.
func (c *Cloud) drawBootDuration(machineType string) time.Duration {
	factor := minBootFactor + bootFactorSpread*c.cluster.Rand.Float64()
	boot := config.Seconds(c.Type(machineType).BootS * factor * max(c.BootFactor, 1))
	if c.InstantBoot {
		boot = time.Duration(c.cluster.Rand.Int64N(int64(maxInstantBoot)))
	}
	return boot
}

// Remove deletes machines without a notice.
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

// admit gives the outcome of a call that is not served, in an outage or above the limit, and
// CloudDone if it is served.
func (c *Cloud) admit() core.CloudOutcome {
	if c.Down {
		return core.CloudUnavailable
	}
	rate := c.cluster.Settings.Site.Cloud.RPS
	if !c.callBucket.take(c.cluster.Now, 1, rate, cloudBurstSeconds) {
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

// list gives a page of the machines, those with names after the given one, as they were a
// while ago.
func (c *Cloud) list(after string) core.ListInstancesResult {
	if outcome := c.admit(); outcome != core.CloudDone {
		return core.ListInstancesResult{Outcome: outcome}
	}
	seenAt := c.cluster.Now - config.Seconds(c.cluster.Settings.Site.Cloud.ListLagS)
	var instances []protocol.Instance
	for _, listed := range c.machines {
		if listed.Name <= after || listed.createdAt > seenAt || listed.deletedAt > 0 && listed.deletedAt <= seenAt {
			continue
		}
		instance := listed.Instance
		instance.AgeS = (seenAt - listed.createdAt).Seconds()
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(a, b protocol.Instance) int { return cmp.Compare(a.Name, b.Name) })
	page := instances[:min(len(instances), cloudPageSize)]
	return core.ListInstancesResult{Outcome: core.CloudDone, Machines: page, More: len(page) < len(instances)}
}
