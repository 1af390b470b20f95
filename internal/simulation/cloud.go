package simulation

import (
	"fmt"
	"sort"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Cloud rents machines.
type Cloud struct {
	cluster      *World
	types        []protocol.MachineType
	machines     map[string]*machine
	responses    map[string][]string
	lastInstance int
	// Capacity is how many machines there are of a type, or of a type in a zone
	// ("box a"); absent: any.
	Capacity map[string]int
	// NeverUp makes the next machines that are rented stay booting.
	NeverUp    int
	Hired      int
	Deleted    int
	Refused    int     // calls above the limit
	Out        bool    // an outage
	Boots      float64 // boots take so many times as long, 0: once
	AtOnce     bool    // machines are up within two seconds
	callBucket tokenBucket
}

type machine struct {
	protocol.Instance
	createdAt time.Duration
	deletedAt time.Duration // 0: there
}

func newCloud(w *World, types []protocol.MachineType) *Cloud {
	return &Cloud{cluster: w, types: types, machines: map[string]*machine{}, responses: map[string][]string{}, Capacity: map[string]int{}}
}

// Type is one of the types.
func (c *Cloud) Type(name string) *protocol.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}

// Add puts up a running machine that nobody asked for.
func (c *Cloud) Add(typ, zone string, spot bool) string {
	name := c.addBooting(typ, zone, spot)
	c.finishBoot(name)
	return name
}

func (c *Cloud) addBooting(typ, zone string, spot bool) string {
	c.lastInstance++
	name := fmt.Sprintf("n-%06d", c.lastInstance)
	c.machines[name] = &machine{createdAt: c.cluster.Now, Instance: protocol.Instance{
		Name: name, Addr: name + ":9000", Type: typ, Zone: zone, Spot: spot, State: protocol.MachineBooting}}
	return name
}

func (c *Cloud) finishBoot(name string) {
	m := c.machines[name]
	if m == nil || m.deletedAt > 0 {
		return
	}
	m.State = protocol.MachineRunning
	c.cluster.Workers[name] = newWorker(c.cluster, m.Instance)
}

func (c *Cloud) createInstances(h protocol.CreateMachinesRequest) ([]string, core.CloudOutcome) {
	if names := c.responses[h.Request]; names != nil {
		return names, core.CloudDone
	}
	if outcome := c.refuses(); outcome != core.CloudDone {
		return nil, outcome
	}
	n := h.Count
	for _, pool := range []string{h.Type, h.Type + " " + h.Zone} {
		most, ok := c.Capacity[pool]
		if !ok {
			continue
		}
		have := 0
		for _, m := range c.machines {
			if m.deletedAt == 0 && (pool == m.Type || pool == m.Type+" "+m.Zone) {
				have++
			}
		}
		n = min(n, most-have)
	}
	if n <= 0 {
		return nil, core.CloudUnavailable
	}
	var names []string
	for range n {
		name := c.addBooting(h.Type, h.Zone, h.Spot)
		names = append(names, name)
		c.Hired++
		if c.NeverUp > 0 {
			c.NeverUp--
			continue
		}
		boot := config.Seconds(c.Type(h.Type).BootS * (0.6 + 0.9*c.cluster.Rand.Float64()) * max(c.Boots, 1))
		if c.AtOnce {
			boot = time.Duration(c.cluster.Rand.Int64N(int64(2 * time.Second)))
		}
		c.cluster.After(boot, func() { c.finishBoot(name) })
	}
	c.responses[h.Request] = names
	return names, core.CloudDone
}

// Remove takes machines away, by deletion or without a word.
func (c *Cloud) Remove(names ...string) {
	for _, n := range names {
		if m := c.machines[n]; m != nil && m.deletedAt == 0 {
			m.deletedAt = c.cluster.Now
			c.Deleted++
			if k := c.cluster.Workers[n]; k != nil {
				k.remove()
			}
		}
	}
}

// refuses gives the outcome of a call that is not served, CloudDone if it is: in an outage, and
// above the limit, bursts of two seconds' worth allowed.
func (c *Cloud) refuses() core.CloudOutcome {
	if c.Out {
		return core.CloudUnavailable
	}
	rps := c.cluster.Set.Site.Cloud.RPS
	c.callBucket.used = max(c.callBucket.used-(c.cluster.Now-c.callBucket.updatedAt).Seconds()*rps, 0)
	c.callBucket.updatedAt = c.cluster.Now
	if c.callBucket.used+1 > 2*rps {
		c.Refused++
		return core.CloudThrottled
	}
	c.callBucket.used++
	return core.CloudDone
}

// list shows a page of the machines as they were a while ago.
func (c *Cloud) list(since string) core.ListInstancesResult {
	if outcome := c.refuses(); outcome != core.CloudDone {
		return core.ListInstancesResult{Outcome: outcome}
	}
	lag := config.Seconds(c.cluster.Set.Site.Cloud.ListLagS)
	var out []protocol.Instance
	for _, m := range c.machines {
		if m.Name <= since || m.createdAt+lag > c.cluster.Now || m.deletedAt > 0 && m.deletedAt+lag <= c.cluster.Now {
			continue
		}
		x := m.Instance
		x.AgeS = (c.cluster.Now - lag - m.createdAt).Seconds()
		out = append(out, x)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	n := min(len(out), 500)
	return core.ListInstancesResult{Outcome: core.CloudDone, Machines: out[:n], More: n < len(out)}
}
