// Package simulation runs a whole cluster in memory and in simulated time, for tests of the
// core. It has three parts:
//
//   - The simulation models everything outside a controller: the store and the cloud, the
//     workers and their tasks, the users, the network and the clocks. Each node runs a real
//     core, and the simulation executes the effects of that core.
//   - Fault injection (faults.go, and the links of network.go) holds the faults that a test
//     switches on and off: crashes, pauses, partitions, lost messages, delayed commits, outages.
//   - The checker (invariants.go, invariant_waiting.go) verifies from outside the controllers
//     that the rules of the protocol hold, and records violations.
//
// The package uses the core only through its commands, effects and queries, and never reads its
// internal state.
//
// Invariants: a run is deterministic, that is, the same seed and the same calls give the same
// run. Code that draws a random number or schedules an event must therefore do so in a fixed
// order, never in the iteration order of a map, and no decision may depend on a real clock. The
// checker must not influence the run.
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
	// defaultLatency is the average one-way latency of the network.
	defaultLatency = 2 * time.Millisecond
	// secondSeedMask is XORed with the seed to derive the second seed of the random number
	// generator. Its value is the fractional part of the golden ratio in 64 bits.
	secondSeedMask = 0x9e3779b97f4a7c15
)

// Debug makes the nodes of all clusters log at debug level. It takes effect when a node starts.
var Debug bool

// Cluster is a simulated cluster: the controllers and all systems that they communicate with.
// It is not safe for concurrent use.
type Cluster struct {
	NetworkFaults

	Now      time.Duration // simulated time since the start of the simulation
	Rand     *rand.Rand
	Settings config.Settings
	Policy   config.Policy
	Store    *Store
	Cloud    *Cloud
	Nodes    []*Node
	Workers  map[string]*Worker // by machine name
	Users    *Users
	// Violations lists the violations of the protocol's rules that the checker has found.
	Violations []string
	// Logs holds the log lines of all nodes, for tests that search them.
	Logs []string
	// OnApplied, if set, is called after a node has applied a batch of commands, with the real
	// time that this took.
	OnApplied func(node *Node, commands []core.Command, took time.Duration)
	// RetainHeartbeats makes the cluster keep a copy of one heartbeat of each machine, the first
	// one sent while the flag is set, and deliver the copies to all controllers after another
	// process has become the leader.
	RetainHeartbeats bool

	checker            *checker
	retainedHeartbeats map[string]protocol.Heartbeat // by machine name
	leaderAtRetention  string                        // process name of the leader when the first heartbeat was retained

	links       map[endpoints]*Link
	heldPackets []heldPacket         // in the order in which they were sent
	peerLinks   map[uint64]*peerLink // by session ID
	lastLinkID  uint64

	events   eventHeap
	eventSeq uint64
}

// Settings returns the settings of a small deployment with the given number of controllers.
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

// MachineTypes returns the default machine types of the simulated cloud.
func MachineTypes() []protocol.MachineType {
	return []protocol.MachineType{
		{Name: "box", CPUs: 4, MemoryGB: 16, CacheGB: 40, FetchGBps: 0.5, Price: 0.2, SpotPrice: 0.05, BootS: 10, Zones: []string{"a", "b"}},
		{Name: "barn", CPUs: 16, GPUs: 2, MemoryGB: 64, CacheGB: 40, FetchGBps: 1, Price: 0.7, SpotPrice: 0.2, BootS: 10, Zones: []string{"a"}},
	}
}

// New creates a cluster with the given number of controllers and starts them. The cluster has the
// defaults of Settings and MachineTypes.
func New(seed uint64, nodes int) *Cluster {
	return NewWithSettings(seed, Settings(nodes), MachineTypes())
}

// NewWithSettings creates a cluster with the given settings and machine types, with one controller
// for each entry of settings.Siblings, and starts the controllers.
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

// RandomWorkers returns count distinct workers drawn at random, or all workers if there are fewer.
func (c *Cluster) RandomWorkers(count int) []*Worker {
	names := slices.Sorted(maps.Keys(c.Workers))
	c.Rand.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	var workers []*Worker
	for _, name := range names[:min(count, len(names))] {
		workers = append(workers, c.Workers[name])
	}
	return workers
}

// currentLeader returns the process name of the first node whose core considers itself the leader,
// or an empty string if there is none.
func (c *Cluster) currentLeader() string {
	for _, node := range c.Nodes {
		if node.Alive() && node.Core.IsLeader() {
			return node.processName()
		}
	}
	return ""
}
