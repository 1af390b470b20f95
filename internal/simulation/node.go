package simulation

import (
	"fmt"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
)

const (
	// maxClockDrift is the largest relative deviation of a clock's rate from simulated time,
	// that of an ordinary quartz clock.
	maxClockDrift = 0.00025
	// wallClockOffset is the wall-clock time at the start of the simulation, in Unix seconds.
	wallClockOffset = 1e9
	// minWakeInterval is the minimum time between two calls of a core that has no commands to
	// apply.
	minWakeInterval = 5 * time.Millisecond
)

// Node is a host with a controller process. The process runs a real core, and the simulation
// executes the effects of that core.
type Node struct {
	cluster         *Cluster
	Label           string
	Zone            string
	Core            *core.Core // nil while the process is down
	Ready           bool       // whether the core accepts users' requests, by its latest SetReady effect
	PreviousVersion bool       // the process behaves like the previous version from its next start on

	runsPreviousVersion bool          // the value of PreviousVersion at the latest start
	clockRate           float64       // rate of the monotonic clock relative to simulated time, 1: exact
	incarnation         int           // incremented by each start and crash, so that callbacks of an ended process are dropped
	startedAt           time.Duration // simulated time of the latest start

	commands      []core.Command // not yet applied
	wakeScheduled bool
	wakeAt        time.Duration // valid if wakeScheduled is set

	lastRequestID   core.RequestID
	pendingRequests map[core.RequestID]func(core.Reply) // reply callbacks of unanswered requests
	peerTarget      string                              // label of the peer that the core has asked to be connected to, empty: none

	paused         bool
	pendingEffects []core.Effect // returned by the core after the pause began, performed after its end
}

// newNode creates a node without starting its process. It draws the rate of the node's clock.
func newNode(cluster *Cluster, label, zone string) *Node {
	return &Node{cluster: cluster, Label: label, Zone: zone, clockRate: cluster.drawClockRate()}
}

// drawClockRate draws the rate of a drifting clock, relative to simulated time.
func (c *Cluster) drawClockRate() float64 { return 1 + (c.Rand.Float64()*2-1)*maxClockDrift }

// Start starts a new process with a new core. Commands and requests that the previous process of
// the node has not yet handled are discarded.
func (n *Node) Start() {
	n.incarnation++
	settings := n.cluster.Settings
	settings.Label = n.Label
	settings.Siblings = nil
	for _, sibling := range n.cluster.Settings.Siblings {
		if sibling.Label != n.Label {
			settings.Siblings = append(settings.Siblings, sibling)
		}
	}
	if n.runsPreviousVersion = n.PreviousVersion; n.runsPreviousVersion {
		settings.Site.Store.Next = nil
	}
	n.Core = core.New(&settings, n.cluster.Policy, n.processName(), Debug)
	n.startedAt = n.cluster.Now
	n.pendingRequests = map[core.RequestID]func(core.Reply){}
	n.commands, n.wakeScheduled, n.peerTarget = nil, false, ""
	n.paused, n.pendingEffects = false, nil
	n.wake(0)
}

// processName identifies the current process among all processes of the node, past ones included.
func (n *Node) processName() string { return fmt.Sprintf("%s.%d", n.Label, n.incarnation) }

// Alive reports whether the process is running. A paused process is alive.
func (n *Node) Alive() bool { return n.Core != nil }

// clock returns the reading of the process's monotonic clock: the time since its start, with drift.
func (n *Node) clock() time.Duration {
	return time.Duration(float64(n.cluster.Now-n.startedAt) * n.clockRate)
}

// ifSameProcess wraps callback so that a call of it has no effect once the current process has
// ended.
func (n *Node) ifSameProcess(callback func()) func() {
	incarnation := n.incarnation
	return func() {
		if n.incarnation == incarnation && n.Core != nil {
			callback()
		}
	}
}

// Post queues a command for the core, which applies it at the current simulated time or, if the
// process is paused, possibly only after the pause. It does nothing if the process is down.
func (n *Node) Post(command core.Command) {
	if n.Core == nil {
		return
	}
	if n.runsPreviousVersion {
		command = previousVersionCommand(command)
	}
	n.commands = append(n.commands, command)
	n.wake(0)
}

// Request posts a request of a user or worker, with an ID that it passes to build, and calls
// onReply with the reply. If the process is down, or ends before it replies, onReply is not called.
func (n *Node) Request(build func(core.RequestID) core.Command, onReply func(core.Reply)) {
	if n.Core == nil {
		return
	}
	n.lastRequestID++
	n.pendingRequests[n.lastRequestID] = onReply
	n.Post(build(n.lastRequestID))
}

// wake schedules a call of step after delay. If an earlier call or one at the same time is
// already scheduled, it does nothing; a later one is replaced.
func (n *Node) wake(delay time.Duration) {
	wakeAt := n.cluster.Now + delay
	if n.wakeScheduled && wakeAt >= n.wakeAt {
		return
	}
	n.wakeScheduled, n.wakeAt = true, wakeAt
	n.cluster.At(wakeAt, n.ifSameProcess(func() {
		if n.wakeScheduled && n.wakeAt == wakeAt {
			n.step()
		}
	}))
}

// step has the core apply the queued commands and performs the resulting effects. If the node is
// paused, the effects of the first step that returns any are kept until the pause ends, and from
// then on commands stay queued.
func (n *Node) step() {
	n.wakeScheduled = false
	if n.paused && n.pendingEffects != nil {
		return
	}
	commands := n.commands
	n.commands = nil
	now := core.Instant{Monotonic: n.clock(), Wall: wallClockOffset + n.cluster.Now.Seconds()}
	realStart := time.Now()
	effects := append([]core.Effect(nil), n.Core.Apply(now, commands)...)
	if n.cluster.OnApplied != nil {
		n.cluster.OnApplied(n, commands, time.Since(realStart))
	}
	if n.paused {
		n.pendingEffects = effects
		return
	}
	n.performAll(effects)
	n.wake(max(n.Core.NextDeadline()-n.clock(), minWakeInterval))
}

func (n *Node) performAll(effects []core.Effect) {
	for _, effect := range effects {
		n.perform(effect)
	}
}
