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
	w        *World
	types    []protocol.MachineType
	machines map[string]*machine
	answers  map[string][]string
	next     int
	// Capacity is how many machines there are of a type, or of a type in a zone
	// ("box a"); absent: any.
	Capacity map[string]int
	// NeverUp makes the next machines that are rented stay booting.
	NeverUp int
	Hired   int
	Deleted int
	Refused int     // calls above the limit
	Out     bool    // an outage
	Boots   float64 // boots take so many times as long, 0: once
	AtOnce  bool    // machines are up within two seconds
	calls   bucket
}

type machine struct {
	protocol.Instance
	since time.Duration
	gone  time.Duration // 0: there
}

func newCloud(w *World, types []protocol.MachineType) *Cloud {
	return &Cloud{w: w, types: types, machines: map[string]*machine{}, answers: map[string][]string{}, Capacity: map[string]int{}}
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
	name := c.add(typ, zone, spot)
	c.up(name)
	return name
}

func (c *Cloud) add(typ, zone string, spot bool) string {
	c.next++
	name := fmt.Sprintf("n-%06d", c.next)
	c.machines[name] = &machine{since: c.w.Now, Instance: protocol.Instance{
		Name: name, Addr: name + ":9000", Type: typ, Zone: zone, Spot: spot, State: protocol.MachineBooting}}
	return name
}

func (c *Cloud) up(name string) {
	m := c.machines[name]
	if m == nil || m.gone > 0 {
		return
	}
	m.State = protocol.MachineRunning
	c.w.Workers[name] = newWorker(c.w, m.Instance)
}

func (c *Cloud) hire(h protocol.CreateMachinesRequest) ([]string, core.CloudOutcome) {
	if names := c.answers[h.Request]; names != nil {
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
			if m.gone == 0 && (pool == m.Type || pool == m.Type+" "+m.Zone) {
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
		name := c.add(h.Type, h.Zone, h.Spot)
		names = append(names, name)
		c.Hired++
		if c.NeverUp > 0 {
			c.NeverUp--
			continue
		}
		boot := config.Seconds(c.Type(h.Type).BootS * (0.6 + 0.9*c.w.Rand.Float64()) * max(c.Boots, 1))
		if c.AtOnce {
			boot = time.Duration(c.w.Rand.Int64N(int64(2 * time.Second)))
		}
		c.w.After(boot, func() { c.up(name) })
	}
	c.answers[h.Request] = names
	return names, core.CloudDone
}

// Remove takes machines away, by deletion or without a word.
func (c *Cloud) Remove(names ...string) {
	for _, n := range names {
		if m := c.machines[n]; m != nil && m.gone == 0 {
			m.gone = c.w.Now
			c.Deleted++
			if k := c.w.Workers[n]; k != nil {
				k.die()
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
	rps := c.w.Set.Site.Cloud.RPS
	c.calls.used = max(c.calls.used-(c.w.Now-c.calls.at).Seconds()*rps, 0)
	c.calls.at = c.w.Now
	if c.calls.used+1 > 2*rps {
		c.Refused++
		return core.CloudThrottled
	}
	c.calls.used++
	return core.CloudDone
}

// list shows a page of the machines as they were a while ago.
func (c *Cloud) list(since string) core.ListInstancesResult {
	if outcome := c.refuses(); outcome != core.CloudDone {
		return core.ListInstancesResult{Outcome: outcome}
	}
	lag := config.Seconds(c.w.Set.Site.Cloud.ListLagS)
	var out []protocol.Instance
	for _, m := range c.machines {
		if m.Name <= since || m.since+lag > c.w.Now || m.gone > 0 && m.gone+lag <= c.w.Now {
			continue
		}
		x := m.Instance
		x.AgeS = (c.w.Now - lag - m.since).Seconds()
		out = append(out, x)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	n := min(len(out), 500)
	return core.ListInstancesResult{Outcome: core.CloudDone, Machines: out[:n], More: n < len(out)}
}
