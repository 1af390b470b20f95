// Package simulation stands in for everything outside a controller: the state
// service, the cloud, the workers, the network and the clock, all in memory and
// in simulated time. Given the same seed, a story always goes the same way.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Debug has the nodes of all worlds log at that level.
var Debug bool

// World is a whole deployment.
type World struct {
	Now     time.Duration
	Rand    *rand.Rand
	Set     config.Settings
	Policy  config.Policy
	State   *State
	Cloud   *Cloud
	Nodes   []*Node
	Workers map[string]*Worker
	Users   *Users
	Broken  []string      // rules that were broken, and how
	Latency time.Duration // one way
	// PeerLatency is added to every message between controllers, as by a busy
	// node that is slow to read.
	PeerLatency time.Duration
	// PeersRefuse makes controllers refuse one another's new connections.
	PeersRefuse bool
	// Loss is the share of calls whose request or answer is lost.
	Loss float64
	// Copies is the share of requests of which a copy arrives once more, up to CopyBy
	// after the request itself.
	Copies float64
	CopyBy time.Duration
	// Logs keeps the nodes' log lines, for a story that asks for them.
	Logs []string
	// Applied is told what each batch of commands took of a node, in real time, if
	// it is set.
	Applied func(n *Node, cmds []core.Command, took time.Duration)

	// KeepReports has a copy kept of a report of each machine, the first from then on, for
	// the moment at which somebody else begins to lead: all controllers get it then.
	KeepReports        bool
	retainedHeartbeats map[string]protocol.Heartbeat
	lastLeader         string // the process that led when that was looked at last

	links       map[endpoints]*Link
	heldPackets []heldPacket
	events      eventHeap
	eventSeq    uint64
	peerLinks   map[uint64]*peerLink
	lastLinkID  uint64
}

// Settings describes a small deployment with n controllers.
func Settings(n int) config.Settings {
	var s config.Settings
	s.Site = config.Site{
		InitialSize: n, Zones: []string{"a", "b"},
		Teams:     []config.Team{{Name: "red", CPUs: 8, CPUsMax: 24}, {Name: "blue", CPUs: 8}, {Name: "guest"}},
		Workers:   config.Workers{ReportS: 2, LeaseS: 16, GangWaitS: 20, GangPeerS: 5, CancelS: 45},
		State:     config.State{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 16},
		Cloud:     config.Cloud{RPS: 8, ListLagS: 4},
		Resources: config.Resources{Cores: 0.2, RAMMB: 128, MaxSockets: 1000},
	}
	for i := range n {
		s.Siblings = append(s.Siblings, config.Sibling{Label: label(i), Address: fmt.Sprintf("10.0.0.%d:1", i+1)})
	}
	return s
}

func label(i int) string { return fmt.Sprintf("node-%d", i) }

// Types is what the fake cloud rents.
func Types() []protocol.MachineType {
	return []protocol.MachineType{
		{Name: "box", CPUs: 4, MemoryGB: 16, CacheGB: 40, FetchGBps: 0.5, Price: 0.2, SpotPrice: 0.05, BootS: 10, Zones: []string{"a", "b"}},
		{Name: "barn", CPUs: 16, GPUs: 2, MemoryGB: 64, CacheGB: 40, FetchGBps: 1, Price: 0.7, SpotPrice: 0.2, BootS: 10, Zones: []string{"a"}},
	}
}

// New makes a world with n controllers and starts them.
func New(seed uint64, n int) *World { return Build(seed, Settings(n), Types()) }

// Build makes a world of the given settings, with a controller for each sibling that
// they name, and starts them.
func Build(seed uint64, set config.Settings, types []protocol.MachineType) *World {
	w := &World{
		Rand: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), Set: set, Policy: config.DefaultPolicy(),
		Workers: map[string]*Worker{}, Latency: 2 * time.Millisecond,
		retainedHeartbeats: map[string]protocol.Heartbeat{}, links: map[endpoints]*Link{}, peerLinks: map[uint64]*peerLink{},
	}
	w.State = newStore(w)
	w.Cloud = newCloud(w, types)
	w.Users = newUsers(w)
	for _, s := range set.Siblings {
		nd := &Node{cluster: w, Label: s.Label, Zone: s.Zone, clockRate: 1 + (w.Rand.Float64()*2-1)*0.00025}
		w.Nodes = append(w.Nodes, nd)
		nd.Start()
	}
	return w
}
