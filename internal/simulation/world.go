// Package simulation stands in for everything outside a controller: the state
// service, the cloud, the workers, the network and the clock, all in memory and
// in simulated time. Given the same seed, a story always goes the same way.
package simulation

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
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
	KeepReports bool
	kept        map[string]protocol.Heartbeat
	leader      string // the process that led when that was looked at last

	links  map[ends]*Link
	held   []packet
	events eventHeap
	seq    uint64
	peers  map[uint64]*peerLink
	linkID uint64
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
		kept: map[string]protocol.Heartbeat{}, links: map[ends]*Link{}, peers: map[uint64]*peerLink{},
	}
	w.State = newState(w)
	w.Cloud = newCloud(w, types)
	w.Users = newUsers(w)
	for _, s := range set.Siblings {
		nd := &Node{w: w, Label: s.Label, Zone: s.Zone, rate: 1 + (w.Rand.Float64()*2-1)*0.00025}
		w.Nodes = append(w.Nodes, nd)
		nd.Start()
	}
	return w
}

// At runs f at a moment of simulated time.
func (w *World) At(t time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, event{at: max(t, w.Now), seq: w.seq, f: f})
}

// After runs f after a span of simulated time.
func (w *World) After(d time.Duration, f func()) { w.At(w.Now+d, f) }

// Run lets simulated time pass up to t.
func (w *World) Run(t time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= t {
		e := heap.Pop(&w.events).(event)
		w.Now = e.at
		e.f()
	}
	w.Now = t
}

// Until runs until cond holds, at most up to t, and reports whether it does.
func (w *World) Until(t time.Duration, cond func() bool) bool {
	for !cond() {
		if len(w.events) == 0 || w.events[0].at > t {
			return false
		}
		e := heap.Pop(&w.events).(event)
		w.Now = e.at
		e.f()
	}
	return true
}

func (w *World) broke(rule, format string, args ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf("%.3f %s: %s", w.Now.Seconds(), rule, fmt.Sprintf(format, args...)))
}

func (w *World) delay() time.Duration {
	return w.Latency/2 + time.Duration(w.Rand.Int64N(int64(w.Latency)+1))
}

// call carries a request from one end to the other and its answer back. serve
// runs at the far end and gets a function to answer with; fail runs if no
// answer came in time.
func call[T any](w *World, from, to string, timeout time.Duration, serve func(reply func(T)), got func(T), fail func()) {
	over := false
	torn := func() {
		if !over {
			over = true
			fail()
		}
	}
	w.After(timeout, torn)
	if plain := serve; to == "state" && w.State.Slow > 0 {
		serve = func(reply func(T)) { w.After(w.State.Slow, func() { plain(reply) }) }
	}
	if w.Copies > 0 && w.Rand.Float64() < w.Copies {
		w.After(w.Latency*2+time.Duration(w.Rand.Int64N(int64(w.CopyBy)+1)), func() { serve(func(T) {}) })
	}
	w.carry(from, to, func() {
		serve(func(t T) {
			w.carry(to, from, func() {
				if !over {
					over = true
					got(t)
				}
			}, torn)
		})
	}, torn)
}

type event struct {
	at  time.Duration
	seq uint64
	f   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// Node is a controller: a real core whose effects the world carries out.
type Node struct {
	w       *World
	Label   string
	Zone    string
	Core    *core.Core
	Ready   bool
	Old     bool    // runs the version before level 1, from its next start on
	old     bool    // does so now
	rate    float64 // of its steady clock
	life    int
	started time.Duration
	queue   []core.Command
	woken   bool
	wakeAt  time.Duration
	nextReq core.RequestID
	waiting map[core.RequestID]func(core.Reply)
	target  string
	still   bool
	tongue  []core.Effect // what it was about to do when it stood still
}

// StandStill stops the process where it is, without ending it: what it was about
// to say is said when it wakes, and what comes meanwhile piles up.
func (n *Node) StandStill(d time.Duration) {
	n.still = true
	n.w.After(d, n.inLife(func() {
		n.still = false
		said := n.tongue
		n.tongue = nil
		for _, e := range said {
			n.perform(e)
		}
		n.woken = false
		n.wake(0)
	}))
}

// Start starts the process.
func (n *Node) Start() {
	n.life++
	set := n.w.Set
	set.Label = n.Label
	set.Siblings = nil
	for _, s := range n.w.Set.Siblings {
		if s.Label != n.Label {
			set.Siblings = append(set.Siblings, s)
		}
	}
	if n.old = n.Old; n.old {
		set.Site.State.Next = nil
	}
	n.Core = core.New(&set, n.w.Policy, fmt.Sprintf("%s.%d", n.Label, n.life), Debug)
	n.started = n.w.Now
	n.waiting = map[core.RequestID]func(core.Reply){}
	n.queue, n.woken, n.target = nil, false, ""
	n.still, n.tongue = false, nil
	n.wake(0)
}

// Crash ends the process, and starts it again after a while if that is above 0.
func (n *Node) Crash(back time.Duration) {
	n.life++
	n.Core, n.Ready = nil, false
	for _, l := range n.w.siblings() {
		if l.a == n || l.b == n {
			l.close()
		}
	}
	if back > 0 {
		n.w.After(back, n.Start)
	}
}

// Alive reports whether the process runs.
func (n *Node) Alive() bool { return n.Core != nil }

func (n *Node) clock() time.Duration {
	return time.Duration(float64(n.w.Now-n.started) * n.rate)
}

// inLife wraps f so that it is lost if the process has ended meanwhile.
func (n *Node) inLife(f func()) func() {
	life := n.life
	return func() {
		if n.life == life && n.Core != nil {
			f()
		}
	}
}

// Post hands a command to the core.
func (n *Node) Post(c core.Command) {
	if n.Core == nil {
		return
	}
	if n.old {
		c = oldTakes(c)
	}
	n.queue = append(n.queue, c)
	n.wake(0)
}

// wake calls the core after d; an earlier call replaces a later one.
func (n *Node) wake(d time.Duration) {
	if at := n.w.Now + d; !n.woken || at < n.wakeAt {
		n.woken, n.wakeAt = true, at
		n.w.At(at, n.inLife(func() {
			if n.woken && n.wakeAt == at {
				n.step()
			}
		}))
	}
}

func (n *Node) step() {
	n.woken = false
	if n.still && n.tongue != nil {
		return
	}
	cmds := n.queue
	n.queue = nil
	now := core.Instant{Monotonic: n.clock(), Wall: 1e9 + n.w.Now.Seconds()}
	begin := time.Now()
	effects := append([]core.Effect(nil), n.Core.Apply(now, cmds)...)
	if n.w.Applied != nil {
		n.w.Applied(n, cmds, time.Since(begin))
	}
	if n.still {
		n.tongue = effects // decided, and not done before it wakes
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
	n.nextReq++
	n.waiting[n.nextReq] = got
	n.Post(build(n.nextReq))
}

func (n *Node) perform(e core.Effect) {
	w := n.w
	post := func(c core.Command) { n.Post(c) }
	sent := n.clock()
	life := n.life
	mine := func(f func()) func() {
		return func() {
			if n.life == life && n.Core != nil {
				f()
			}
		}
	}
	const timeout = time.Second
	switch e := e.(type) {
	case core.Reply:
		if f := n.waiting[e.ID]; f != nil {
			delete(n.waiting, e.ID)
			f(e)
		}
	case core.Log:
		w.Logs = append(w.Logs, fmt.Sprintf("%.3f %s %s %v", w.Now.Seconds(), n.Label, e.Text, e.Args))
	case core.SetReady:
		n.Ready = e.Ready
	case core.Commit:
		old := n.old
		if old {
			e.Txn = oldWrites(e.Txn)
		}
		call(w, n.Label, "state", timeout, func(reply func(core.CommitResult)) {
			if outcome, ans := w.State.Commit(n.Label, old, e.Txn); outcome != core.CommitUnknown {
				reply(core.CommitResult{ID: e.ID, Outcome: outcome, Answer: ans})
			}
		}, func(d core.CommitResult) { mine(func() { post(d) })() }, mine(func() { post(core.CommitResult{ID: e.ID}) }))
	case core.LoadPage:
		call(w, n.Label, "state", timeout, func(reply func(core.LoadResult)) {
			reply(w.State.load(n.Label, e.After, sent))
		}, func(d core.LoadResult) { mine(func() { post(d) })() }, mine(func() { post(core.LoadResult{}) }))
	case core.Watch:
		call(w, n.Label, "state", timeout+e.Hold, func(reply func(core.WatchResult)) {
			w.State.follow(n.Label, e, func(outcome core.WatchOutcome, ev protocol.WatchResponse) {
				reply(core.WatchResult{Barrier: e.Barrier, SentAt: sent, Outcome: outcome, Answer: ev})
			})
		}, func(d core.WatchResult) { mine(func() { post(d) })() }, mine(func() { post(core.WatchResult{Barrier: e.Barrier, SentAt: sent}) }))
	case core.RenewLease:
		call(w, n.Label, "state", timeout, func(reply func(core.LeaseResult)) {
			id, outcome := w.State.lease(n.Label, e)
			reply(core.LeaseResult{SentAt: sent, LeaseID: id, Outcome: outcome})
		}, func(d core.LeaseResult) { mine(func() { post(d) })() }, mine(func() { post(core.LeaseResult{SentAt: sent}) }))
	case core.CallWorker:
		patience := config.Seconds(w.Set.Site.Workers.ReportS)
		if len(e.Body.Commands) == 0 {
			patience /= 4
		}
		call(w, n.Label, e.Machine, patience, func(reply func(core.CallWorkerResult)) {
			if k := w.Workers[e.Machine]; k != nil {
				k.do(e.Body, func(outcome core.DirectOutcome, r protocol.Heartbeat) {
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
			names, outcome := w.Cloud.hire(e.Request)
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
		n.target = e.Label
		for _, l := range w.siblings() {
			if l.a == n && l.b.Label != e.Label {
				l.close()
			}
		}
		n.dial()
	case core.SendToPeer:
		if n.old {
			e.Message = oldSays(e.Message)
		}
		if l := w.peers[e.Session]; l != nil {
			l.send(n, e.Message)
		}
	case core.ClosePeer:
		if l := w.peers[e.Session]; l != nil {
			l.close()
		}
	default:
		panic(fmt.Sprintf("fake: effect %T", e))
	}
}

// keep takes a copy of a report for the next leader.
func (w *World) keep(r protocol.Heartbeat) {
	if _, ok := w.kept[r.Machine]; !ok && w.KeepReports {
		if len(w.kept) == 0 {
			w.leader = w.leads()
			w.watchLeader()
		}
		w.kept[r.Machine] = r
	}
}

// leads names the process that leads, empty: none does.
func (w *World) leads() string {
	for _, n := range w.Nodes {
		if n.Alive() && n.Core.IsLeader() {
			return fmt.Sprintf("%s.%d", n.Label, n.life)
		}
	}
	return ""
}

// watchLeader hands the kept reports out, in any order, once another process leads, and again
// and again while it takes over: until a map is its own nobody reads a report.
func (w *World) watchLeader() {
	now := w.leads()
	if now == "" || now == w.leader {
		w.After(5*time.Millisecond, w.watchLeader)
		return
	}
	kept := w.kept
	w.kept = map[string]protocol.Heartbeat{}
	for _, name := range slices.Sorted(maps.Keys(kept)) {
		for _, n := range w.Nodes {
			for _, after := range []time.Duration{0, 60, 130, 250, 500, 1000, 2000} {
				w.After(after*time.Millisecond+w.delay(), func() {
					n.Ask(func(id core.RequestID) core.Command { return core.Heartbeat{ID: id, Report: kept[name]} }, func(core.Reply) {})
				})
			}
		}
	}
}

// SomeWorkers draws up to n workers.
func (w *World) SomeWorkers(n int) []*Worker {
	var names []string
	for name := range w.Workers {
		names = append(names, name)
	}
	sort.Strings(names)
	w.Rand.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	var out []*Worker
	for _, name := range names[:min(n, len(names))] {
		out = append(out, w.Workers[name])
	}
	return out
}
