package simulation

import (
	"fmt"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
)

const (
	// maxClockDrift is the largest deviation of a simulated clock's rate from real time,
	// as of an ordinary quartz.
	maxClockDrift = 0.00025
	// wallClockOffset is the wall time, in Unix seconds, at which the simulation starts.
	wallClockOffset = 1e9
	// minWakeInterval bounds how often a core without commands is called.
	minWakeInterval = 5 * time.Millisecond
)

// Node is a controller process: a real core whose effects the simulation carries out.
type Node struct {
	cluster         *Cluster
	Label           string
	Zone            string
	Core            *core.Core // nil while the process is down
	Ready           bool       // what the core said last of its readiness for users' requests
	PreviousVersion bool       // runs the previous version from its next start on

	runsPreviousVersion bool
	clockRate           float64 // of its monotonic clock, 1: exact
	incarnation         int     // counts starts and crashes, to drop callbacks of an ended process
	startedAt           time.Duration

	commands      []core.Command // not yet applied
	wakeScheduled bool
	wakeAt        time.Duration

	lastRequestID   core.RequestID
	pendingRequests map[core.RequestID]func(core.Reply)
	peerTarget      string // the peer that the core wants to be connected to

	paused         bool
	pendingEffects []core.Effect // decided just before the pause, performed after it
}

// newNode makes the node of a sibling without starting it. It draws the rate of its clock.
func newNode(cluster *Cluster, label, zone string) *Node {
	return &Node{cluster: cluster, Label: label, Zone: zone, clockRate: cluster.drawClockRate()}
}

// drawClockRate draws the rate of a clock that drifts.
func (c *Cluster) drawClockRate() float64 { return 1 + (c.Rand.Float64()*2-1)*maxClockDrift }

// Start starts the process.
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

// processName tells this process from those that ran on the node before.
func (n *Node) processName() string { return fmt.Sprintf("%s.%d", n.Label, n.incarnation) }

// Alive reports whether the process runs.
func (n *Node) Alive() bool { return n.Core != nil }

// clock is the process's monotonic clock, which drifts.
func (n *Node) clock() time.Duration {
	return time.Duration(float64(n.cluster.Now-n.startedAt) * n.clockRate)
}

// ifSameProcess wraps callback so that it does nothing if the process has ended meanwhile.
func (n *Node) ifSameProcess(callback func()) func() {
	incarnation := n.incarnation
	return func() {
		if n.incarnation == incarnation && n.Core != nil {
			callback()
		}
	}
}

// Post hands a command to the core.
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

// Request posts a request of a user or worker and passes its reply to onReply.
func (n *Node) Request(build func(core.RequestID) core.Command, onReply func(core.Reply)) {
	if n.Core == nil {
		return
	}
	n.lastRequestID++
	n.pendingRequests[n.lastRequestID] = onReply
	n.Post(build(n.lastRequestID))
}

// wake calls the core after delay; an earlier call replaces a later one.
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

// step applies the commands that have come to the core and performs its effects.
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
