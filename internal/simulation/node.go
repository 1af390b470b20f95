package simulation

import (
	"fmt"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Node is a controller: a real core whose effects the world carries out.
type Node struct {
	cluster             *World
	Label               string
	Zone                string
	Core                *core.Core
	Ready               bool
	Old                 bool    // runs the version before level 1, from its next start on
	runsPreviousVersion bool    // does so now
	clockRate           float64 // of its steady clock
	incarnation         int
	startedAt           time.Duration
	commands            []core.Command
	wakeScheduled       bool
	wakeAt              time.Duration
	lastRequestID       core.RequestID
	pendingRequests     map[core.RequestID]func(core.Reply)
	peerTarget          string
	paused              bool
	pendingEffects      []core.Effect // what it was about to do when it stood still
}

// Start starts the process.
func (n *Node) Start() {
	n.incarnation++
	set := n.cluster.Set
	set.Label = n.Label
	set.Siblings = nil
	for _, s := range n.cluster.Set.Siblings {
		if s.Label != n.Label {
			set.Siblings = append(set.Siblings, s)
		}
	}
	if n.runsPreviousVersion = n.Old; n.runsPreviousVersion {
		set.Site.State.Next = nil
	}
	n.Core = core.New(&set, n.cluster.Policy, fmt.Sprintf("%s.%d", n.Label, n.incarnation), Debug)
	n.startedAt = n.cluster.Now
	n.pendingRequests = map[core.RequestID]func(core.Reply){}
	n.commands, n.wakeScheduled, n.peerTarget = nil, false, ""
	n.paused, n.pendingEffects = false, nil
	n.wake(0)
}

// Alive reports whether the process runs.
func (n *Node) Alive() bool { return n.Core != nil }

func (n *Node) clock() time.Duration {
	return time.Duration(float64(n.cluster.Now-n.startedAt) * n.clockRate)
}

// ifSameProcess wraps f so that it is lost if the process has ended meanwhile.
func (n *Node) ifSameProcess(f func()) func() {
	life := n.incarnation
	return func() {
		if n.incarnation == life && n.Core != nil {
			f()
		}
	}
}

// Post hands a command to the core.
func (n *Node) Post(c core.Command) {
	if n.Core == nil {
		return
	}
	if n.runsPreviousVersion {
		c = previousVersionReceives(c)
	}
	n.commands = append(n.commands, c)
	n.wake(0)
}

// wake calls the core after d; an earlier call replaces a later one.
func (n *Node) wake(d time.Duration) {
	if at := n.cluster.Now + d; !n.wakeScheduled || at < n.wakeAt {
		n.wakeScheduled, n.wakeAt = true, at
		n.cluster.At(at, n.ifSameProcess(func() {
			if n.wakeScheduled && n.wakeAt == at {
				n.step()
			}
		}))
	}
}

func (n *Node) step() {
	n.wakeScheduled = false
	if n.paused && n.pendingEffects != nil {
		return
	}
	cmds := n.commands
	n.commands = nil
	now := core.Instant{Monotonic: n.clock(), Wall: 1e9 + n.cluster.Now.Seconds()}
	begin := time.Now()
	effects := append([]core.Effect(nil), n.Core.Apply(now, cmds)...)
	if n.cluster.Applied != nil {
		n.cluster.Applied(n, cmds, time.Since(begin))
	}
	if n.paused {
		n.pendingEffects = effects // decided, and not done before it wakes
		return
	}
	for _, e := range effects {
		n.perform(e)
	}
	n.wake(max(n.Core.NextDeadline()-n.clock(), 5*time.Millisecond))
}

// Ask posts a request and calls back with its reply.
func (n *Node) Ask(build func(core.RequestID) core.Command, got func(core.Reply)) {
	if n.Core == nil {
		return
	}
	n.lastRequestID++
	n.pendingRequests[n.lastRequestID] = got
	n.Post(build(n.lastRequestID))
}

func (n *Node) perform(e core.Effect) {
	w := n.cluster
	post := func(c core.Command) { n.Post(c) }
	sent := n.clock()
	life := n.incarnation
	mine := func(f func()) func() {
		return func() {
			if n.incarnation == life && n.Core != nil {
				f()
			}
		}
	}
	const timeout = time.Second
	switch e := e.(type) {
	case core.Reply:
		if f := n.pendingRequests[e.ID]; f != nil {
			delete(n.pendingRequests, e.ID)
			f(e)
		}
	case core.Log:
		w.Logs = append(w.Logs, fmt.Sprintf("%.3f %s %s %v", w.Now.Seconds(), n.Label, e.Text, e.Args))
	case core.SetReady:
		n.Ready = e.Ready
	case core.Commit:
		old := n.runsPreviousVersion
		if old {
			e.Txn = previousVersionWrites(e.Txn)
		}
		call(w, n.Label, "state", timeout, func(reply func(core.CommitResult)) {
			if outcome, ans := w.State.Commit(n.Label, old, e.Txn); outcome != core.CommitUnknown {
				reply(core.CommitResult{ID: e.ID, Outcome: outcome, Answer: ans})
			}
		}, func(d core.CommitResult) { mine(func() { post(d) })() }, mine(func() { post(core.CommitResult{ID: e.ID}) }))
	case core.LoadPage:
		call(w, n.Label, "state", timeout, func(reply func(core.LoadResult)) {
			reply(w.State.loadPage(n.Label, e.After, sent))
		}, func(d core.LoadResult) { mine(func() { post(d) })() }, mine(func() { post(core.LoadResult{}) }))
	case core.Watch:
		call(w, n.Label, "state", timeout+e.Hold, func(reply func(core.WatchResult)) {
			w.State.handleWatch(n.Label, e, func(outcome core.WatchOutcome, ev protocol.WatchResponse) {
				reply(core.WatchResult{Barrier: e.Barrier, SentAt: sent, Outcome: outcome, Answer: ev})
			})
		}, func(d core.WatchResult) { mine(func() { post(d) })() }, mine(func() { post(core.WatchResult{Barrier: e.Barrier, SentAt: sent}) }))
	case core.RenewLease:
		call(w, n.Label, "state", timeout, func(reply func(core.LeaseResult)) {
			id, outcome := w.State.handleLease(n.Label, e)
			reply(core.LeaseResult{SentAt: sent, LeaseID: id, Outcome: outcome})
		}, func(d core.LeaseResult) { mine(func() { post(d) })() }, mine(func() { post(core.LeaseResult{SentAt: sent}) }))
	case core.CallWorker:
		patience := config.Seconds(w.Set.Site.Workers.ReportS)
		if len(e.Body.Commands) == 0 {
			patience /= 4
		}
		call(w, n.Label, e.Machine, patience, func(reply func(core.CallWorkerResult)) {
			if k := w.Workers[e.Machine]; k != nil {
				k.handleDirect(e.Body, func(outcome core.DirectOutcome, r protocol.Heartbeat) {
					reply(core.CallWorkerResult{Machine: e.Machine, CallID: e.CallID, Outcome: outcome, Report: r})
				})
			}
		}, func(d core.CallWorkerResult) { mine(func() { post(d) })() }, mine(func() { post(core.CallWorkerResult{Machine: e.Machine, CallID: e.CallID}) }))
	case core.ProbeWorker:
		call(w, n.Label, e.Machine, config.Seconds(w.Set.Site.Workers.ReportS), func(reply func(core.ProbeResult)) {
			if k := w.Workers[e.Machine]; k != nil && !k.Hung {
				reply(core.ProbeResult{Machine: e.Machine, OK: true})
			}
		}, func(d core.ProbeResult) { mine(func() { post(d) })() }, mine(func() { post(core.ProbeResult{Machine: e.Machine}) }))
	case core.ListMachineTypes:
		call(w, n.Label, "cloud", timeout, func(reply func(core.MachineTypesResult)) {
			if outcome := w.Cloud.refuses(); outcome != core.CloudDone {
				reply(core.MachineTypesResult{Outcome: outcome})
				return
			}
			reply(core.MachineTypesResult{Outcome: core.CloudDone, Answer: protocol.MachineTypes{Types: w.Cloud.types}})
		}, func(d core.MachineTypesResult) { mine(func() { post(d) })() }, mine(func() { post(core.MachineTypesResult{}) }))
	case core.ListInstances:
		call(w, n.Label, "cloud", timeout, func(reply func(core.ListInstancesResult)) {
			reply(w.Cloud.list(e.After))
		}, func(d core.ListInstancesResult) { mine(func() { post(d) })() }, mine(func() { post(core.ListInstancesResult{}) }))
	case core.CreateInstances:
		call(w, n.Label, "cloud", timeout, func(reply func(core.CreateInstancesResult)) {
			names, outcome := w.Cloud.createInstances(e.Request)
			reply(core.CreateInstancesResult{Request: e.Request.Request, Outcome: outcome, Names: names})
		}, func(d core.CreateInstancesResult) { mine(func() { post(d) })() }, mine(func() { post(core.CreateInstancesResult{Request: e.Request.Request}) }))
	case core.DeleteInstances:
		call(w, n.Label, "cloud", timeout, func(reply func(core.DeleteInstancesResult)) {
			if outcome := w.Cloud.refuses(); outcome != core.CloudDone {
				reply(core.DeleteInstancesResult{Names: e.Names, Outcome: outcome})
				return
			}
			w.Cloud.Remove(e.Names...)
			reply(core.DeleteInstancesResult{Names: e.Names, Outcome: core.CloudDone})
		}, func(d core.DeleteInstancesResult) { mine(func() { post(d) })() }, mine(func() { post(core.DeleteInstancesResult{Names: e.Names}) }))
	case core.ConnectPeer:
		n.peerTarget = e.Label
		for _, l := range w.sortedPeerLinks() {
			if l.dialer == n && l.acceptor.Label != e.Label {
				l.close()
			}
		}
		n.dialPeer()
	case core.SendToPeer:
		if n.runsPreviousVersion {
			e.Message = previousVersionSends(e.Message)
		}
		if l := w.peerLinks[e.Session]; l != nil {
			l.send(n, e.Message)
		}
	case core.ClosePeer:
		if l := w.peerLinks[e.Session]; l != nil {
			l.close()
		}
	default:
		panic(fmt.Sprintf("fake: effect %T", e))
	}
}
