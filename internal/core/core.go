// Package core decides everything and touches nothing: commands go in, effects
// come out. It has no clock, no sockets and no goroutines of its own.
//
// Each part of it owns one thing: ledger the mirror of the state service,
// membership the lease, the leader key and the map, part the machines of this
// member, orchestrator the shared queue, estimator the history of durations and
// fleet the machines that are rented.
package core

import (
	"container/heap"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// Now is a moment: the steady clock measures spans, the time of day only dates.
type Now struct {
	Steady time.Duration
	Wall   float64 // seconds
}

// drift is how far two steady clocks may part, as a share of the span.
const drift = 0.0005

// Core is the state of one controller.
type Core struct {
	set    *config.Settings
	state  config.State // the limits of the state service that we keep to
	fell   bool         // it has refused a change for its rate
	policy config.Policy
	boot   string
	times  times
	debug  bool
	floors fairshare.Rules
	guests map[string]bool // teams without a guarantee where others have one
	labels []string        // of all controllers of the site, this one first

	now     Now
	out     []Effect
	timers  timerHeap
	timerID uint64
	loop    []func() // messages to this node's own other half

	ledger   *ledger
	members  *membership
	part     *part
	orch     *orchestrator
	est      *estimator
	fleet    *fleet
	register *register
	outage   *outage
}

// times are the spans the rules rest on, as ratios to the settings.
type times struct {
	lease  time.Duration // what a worker's lease is
	report time.Duration // how often workers report
	ttl    time.Duration // our own lease in the state service
	fresh  time.Duration // how long a renewal or a mirror counts as fresh
	gone   time.Duration // silence after which a worker has dropped its tasks
	idle   time.Duration // after which room that nobody was given is for whoever waits
	shun   time.Duration // how long a machine gets no more of a job that has failed there
	round  time.Duration // the leader's slow round: fleet, views, what could not be placed
	sort   time.Duration // the leader's quick round: rank and dispatch
	read   time.Duration // the shortest time between two barriers, and between two watches
	page   time.Duration // the shortest time between two pages of a load
}

func newTimes(s *config.Settings) times {
	var t times
	t.lease = config.Seconds(s.Site.Workers.LeaseS)
	t.report = config.Seconds(s.Site.Workers.ReportS)
	// A member that dies keeps its key for ttl, so ttl bounds a take-over; one
	// that is cut off from the state service answers workers only for fresh,
	// which must end before ttl does. fresh + lease stays below cancel_s.
	t.ttl = min(t.lease*2/5, (config.Seconds(s.Site.Workers.CancelS)-t.lease)*4/5)
	t.fresh = t.ttl * 17 / 20
	t.gone = t.lease + time.Duration(4*drift*float64(t.lease+t.fresh)) + t.report/8
	t.shun = 4 * t.lease
	t.idle = 2 * t.lease
	t.round = time.Second
	t.sort = min(t.report/6, t.round)
	// All nodes' watches and barriers together take at most half of the requests.
	t.read = time.Duration(4 * float64(len(s.Siblings)+1) / s.Site.State.Least().RPS * float64(time.Second))
	// And if all of them load at once, three quarters.
	t.page = t.read / 3
	return t
}

// txnOps is how many keys one transaction may change: what the settings allow, and
// half of a second's changes, since a larger one would never pass the limit while
// others write too.
func (c *Core) txnOps() int {
	return max(min(c.state.TxnOps, int(c.state.WriteRPS/2)), 1)
}

// writeRPS is the rate of changes that this node paces itself by: the present one until the
// state service refuses a change for its rate, then the smaller of that and the one to come,
// for good. Our own pace may have been the reason; then nothing is lost but some of it.
func (c *Core) writeRPS() float64 {
	if c.fell {
		return c.state.WriteRPS
	}
	return c.set.Site.State.WriteRPS
}

// valueSize is how many bytes a value may have, in the form in which limits are counted.
func (c *Core) valueSize() int { return int(c.state.ValueKB * 1024) }

// New makes the core of a controller. boot must differ in every process.
func New(set *config.Settings, policy config.Policy, boot string, debug bool) *Core {
	c := &Core{set: set, policy: policy, boot: boot, debug: debug, times: newTimes(set), guests: guestTeams(set.Site.Teams)}
	c.state = set.Site.State.Least()
	c.labels = []string{set.Label}
	for _, s := range set.Siblings {
		c.labels = append(c.labels, s.Label)
	}
	c.floors = c.floorRules()
	c.ledger = newLedger(c)
	c.members = newMembership(c)
	c.part = newPart(c)
	c.est = newEstimator(c)
	c.fleet = newFleet(c)
	c.register = &register{c: c}
	c.orch = newOrchestrator(c)
	c.outage = newOutage(c)
	return c
}

// Apply works through a batch of commands and returns what is to be done. The
// returned slice is valid until the next call.
func (c *Core) Apply(now Now, commands []Command) []Effect {
	c.now = now
	c.out = c.out[:0]
	for _, cmd := range commands {
		c.apply(cmd)
	}
	c.runTimers()
	c.members.react()
	c.outage.react()
	c.orch.react()
	c.fleet.react()
	c.part.react()
	for len(c.loop) > 0 {
		f := c.loop[0]
		c.loop = c.loop[1:]
		f()
		if len(c.loop) == 0 {
			c.part.react()
		}
	}
	return c.out
}

func (c *Core) apply(cmd Command) {
	switch cmd := cmd.(type) {
	case Tick:
	case Submit:
		c.ledger.submit(cmd.ID, cmd.Job)
	case Query:
		c.ledger.query(cmd.ID, cmd.Job)
	case Abort:
		c.ledger.abort(cmd.ID, cmd.Job, 0)
	case WorkerReport:
		c.part.report(cmd.ID, &cmd.Report)
	case StatusPage:
		c.emit(Reply{ID: cmd.ID, Status: ReplyOK, Body: c.status()})
	case CommitDone:
		c.ledger.committed(cmd)
	case LoadDone:
		c.ledger.loaded(cmd)
	case FollowDone:
		c.ledger.followed(cmd)
	case LeaseDone:
		c.members.leased(cmd)
	case DoDone:
		c.part.didDo(&cmd)
	case InspectDone:
		c.part.inspected(cmd)
	case TypesDone:
		c.fleet.gotTypes(cmd)
	case ListDone:
		c.fleet.listed(cmd)
	case HireDone:
		c.fleet.hired(cmd)
	case DeleteDone:
		c.fleet.deleted(cmd)
	case PeerUp:
		c.peerUp(cmd)
	case PeerDown:
		c.peerDown(cmd)
	case PeerLine:
		c.peerLine(cmd)
	default:
		panic("core: unknown command")
	}
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) info(text string, args ...any) {
	c.emit(Log{Level: LevelInfo, Text: text, Args: args})
}

func (c *Core) debugf(text string, args ...any) {
	if c.debug {
		c.emit(Log{Level: LevelDebug, Text: text, Args: args})
	}
}

// peerUp and its kin tell a link we dialled (to the leader) from one a member
// dialled (we may be its leader).
func (c *Core) peerUp(p PeerUp) {
	if p.Label != "" {
		c.part.linkUp(p.Session)
	} else {
		c.orch.linkUp(p.Session)
	}
}

func (c *Core) peerDown(p PeerDown) {
	c.part.linkDown(p.Session)
	c.orch.linkDown(p.Session)
}

func (c *Core) peerLine(p PeerLine) {
	m := &p.Message
	switch {
	case p.Session == c.part.link && m.Ask != nil:
		c.part.lastRead = c.now.Steady
		c.outage.asked(m.Epoch, m.Ask)
	case p.Session == c.part.link:
		c.part.fromLeader(m)
	case m.Word != nil:
		c.orch.word(p.Session, m.Word)
	default:
		c.orch.fromPart(p.Session, m)
	}
}

// after runs f once d has passed.
func (c *Core) after(d time.Duration, f func()) {
	c.timerID++
	heap.Push(&c.timers, timer{at: c.now.Steady + d, id: c.timerID, f: f})
}

func (c *Core) runTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now.Steady {
		heap.Pop(&c.timers).(timer).f()
	}
}

// Next is when the core wants to be called even if nothing happens.
func (c *Core) Next() time.Duration {
	next := c.now.Steady + min(c.times.round/4, c.times.sort)
	if len(c.timers) > 0 && c.timers[0].at < next {
		next = c.timers[0].at
	}
	return next
}

type timer struct {
	at time.Duration
	id uint64
	f  func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].id < h[j].id
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return x
}

// scaled turns a span into one that holds on every clock.
func scaled(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

func (c *Core) team(name string) *config.Team {
	for i := range c.set.Site.Teams {
		if c.set.Site.Teams[i].Name == name {
			return &c.set.Site.Teams[i]
		}
	}
	return nil
}

func (c *Core) types() map[string]*wire.MachineType { return c.ledger.types }
