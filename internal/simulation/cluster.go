// Package simulation runs a whole cluster in memory and in simulated time, for tests of the
// core. It has three concerns:
//
//   - The simulation is everything outside a controller: the store and the cloud, the workers
//     and their tasks, the users, the network and the clocks. Nodes run a real core, whose
//     effects the simulation carries out.
//   - Fault injection (faults.go, and the links of network.go) is all that a test switches on
//     and off: crashes, pauses, partitions, lost messages, late commits, outages.
//   - The checker (invariants.go, invariant_waiting.go) checks from outside that the rules of
//     the protocol hold, and records violations.
//
// The package knows the core by its commands, effects and queries only, never its inner state.
//
// Its invariants: given the same seed and the same calls a run goes the same way, so whatever
// draws a random number or schedules an event does so in a fixed order, never in that of a
// map's iteration; no real clock decides anything; and the checker influences nothing.
package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// defaultLatency is the usual one-way latency of the network.
	defaultLatency = 2 * time.Millisecond
	// secondSeedMask makes the generator's second seed differ from the first: the golden
	// ratio in 64 bits.
	secondSeedMask = 0x9e3779b97f4a7c15
)

// Debug has the nodes of all clusters log at debug level.
var Debug bool

// Cluster is a whole cluster and its surroundings.
type Cluster struct {
	NetworkFaults

	Now      time.Duration // simulated time since the start
	Rand     *rand.Rand
	Settings config.Settings
	Policy   config.Policy
	Store    *Store
	Cloud    *Cloud
	Nodes    []*Node
	Workers  map[string]*Worker // by machine
	Users    *Users
	// Violations lists the violations of the protocol's rules that the checker has found.
	Violations []string
	// Logs are the nodes' log lines, for a test that looks for some.
	Logs []string
	// OnApplied is called, if it is set, with each batch of commands that a node has applied
	// and the real time that this took.
	OnApplied func(node *Node, commands []core.Command, took time.Duration)
	// RetainHeartbeats retains one heartbeat of each machine, the first from now on, and delivers
	// them late, to all controllers, when another process becomes the leader.
	RetainHeartbeats bool

	checker            *checker
	retainedHeartbeats map[string]protocol.Heartbeat // by machine
	leaderAtRetention  string                        // the process that led when heartbeats were first retained

	links       map[endpoints]*Link
	heldPackets []heldPacket
	peerLinks   map[uint64]*peerLink // by session
	lastLinkID  uint64

	events   eventHeap
	eventSeq uint64
}

// Settings describes a small deployment with the given number of controllers.
func Settings(nodes int) config.Settings {
	var settings config.Settings
	settings.Site = config.Site{
		InitialControllers: nodes, Zones: []string{"a", "b"},
		Teams:     []config.Team{{Name: "red", CPUs: 8, CPUsMax: 24}, {Name: "blue", CPUs: 8}, {Name: "guest"}},
		Workers:   config.WorkerTiming{HeartbeatS: 2, LeaseS: 16, GangWaitS: 20, GangPeerS: 5, CancelS: 45},
		Store:     config.StoreLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, MaxTxnOps: 16},
		Cloud:     config.CloudLimits{RPS: 8, ListLagS: 4},
		Resources: config.Resources{Cores: 0.2, RAMMB: 128, MaxSockets: 1000},
	}
	for i := range nodes {
		settings.Siblings = append(settings.Siblings, config.Sibling{
			Label: fmt.Sprintf("node-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i+1)})
	}
	return settings
}

// MachineTypes are the machine types that the simulated cloud rents.
func MachineTypes() []protocol.MachineType {
	return []protocol.MachineType{
		{Name: "box", CPUs: 4, MemoryGB: 16, CacheGB: 40, FetchGBps: 0.5, Price: 0.2, SpotPrice: 0.05, BootS: 10, Zones: []string{"a", "b"}},
		{Name: "barn", CPUs: 16, GPUs: 2, MemoryGB: 64, CacheGB: 40, FetchGBps: 1, Price: 0.7, SpotPrice: 0.2, BootS: 10, Zones: []string{"a"}},
	}
}

// New makes a cluster with the given number of controllers and starts them.
func New(seed uint64, nodes int) *Cluster {
	return NewWithSettings(seed, Settings(nodes), MachineTypes())
}

// NewWithSettings makes a cluster of the given settings, with a controller for each sibling that they
// name, and starts the controllers.
func NewWithSettings(seed uint64, settings config.Settings, types []protocol.MachineType) *Cluster {
	c := &Cluster{
		NetworkFaults: NetworkFaults{Latency: defaultLatency},
		Rand:          rand.New(rand.NewPCG(seed, seed^secondSeedMask)), Settings: settings, Policy: config.DefaultPolicy(),
		Workers: map[string]*Worker{}, retainedHeartbeats: map[string]protocol.Heartbeat{},
		links: map[endpoints]*Link{}, peerLinks: map[uint64]*peerLink{},
	}
	c.checker = &checker{cluster: c}
	c.Store = newStore(c)
	c.Cloud = newCloud(c, types)
	c.Users = newUsers(c)
	for _, sibling := range settings.Siblings {
		node := newNode(c, sibling.Label, sibling.Zone)
		c.Nodes = append(c.Nodes, node)
		node.Start()
	}
	return c
}

// RandomWorkers draws workers at random, at most count.
func (c *Cluster) RandomWorkers(count int) []*Worker {
	names := slices.Sorted(maps.Keys(c.Workers))
	c.Rand.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	var workers []*Worker
	for _, name := range names[:min(count, len(names))] {
		workers = append(workers, c.Workers[name])
	}
	return workers
}

// currentLeader names the process that leads, empty: none does.
func (c *Cluster) currentLeader() string {
	for _, node := range c.Nodes {
		if node.Alive() && node.Core.IsLeader() {
			return node.processName()
		}
	}
	return ""
}
