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
	"github.com/chalkhub/chalkhub/internal/mirror"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Instant is a moment: the steady clock measures spans, the time of day only dates.
type Instant struct {
	Monotonic time.Duration
	Wall      float64 // seconds
}

// clockDrift is how far two steady clocks may part, as a share of the span.
const clockDrift = 0.0005

// Core is the state of one controller.
type Core struct {
	settings         *config.Settings
	storeLimits      config.State // the limits of the state service that we keep to
	throttled        bool         // it has refused a change for its rate
	policy           config.Policy
	bootID           string
	intervals        intervals
	debug            bool
	fairShareRules   fairshare.Rules
	bestEffortTeams  map[string]bool // teams without a guarantee where others have one
	controllerLabels []string        // of all controllers of the site, this one first

	now         Instant
	effects     []Effect
	timers      timerHeap
	lastTimerID uint64
	loopback    []func() // messages to this node's own other half

	mirror       *mirror.Mirror
	records      *storedRecords
	transactions transactions
	admission    *admission
	cancellation *cancellation
	queries      *jobQueries
	garbage      *garbageCollector
	membership   *membership
	shard        *shard
	scheduler    *scheduler
	estimator    *estimator
	fleet        *fleet
	registry     *machineRegistry
	degraded     *degradedMode
}

// intervals are the spans the rules rest on, as ratios to the settings.
type intervals struct {
	workerLease        time.Duration // what a worker's lease is
	heartbeat          time.Duration // how often workers report
	memberLease        time.Duration // our own lease in the state service
	maxStaleness       time.Duration // how long a renewal or a mirror counts as fresh
	machineLeaseExpiry time.Duration // silence after which a worker has dropped its tasks
	reservationExpiry  time.Duration // after which room that nobody was given is for whoever waits
	machineBackoff     time.Duration // how long a machine gets no more of a job that has failed there
	maintenance        time.Duration // the leader's slow round: fleet, views, what could not be placed
	scheduling         time.Duration // the leader's quick round: rank and dispatch
	readSpacing        time.Duration // the shortest time between two barriers, and between two watches
	pageSpacing        time.Duration // the shortest time between two pages of a load
}

func newIntervals(s *config.Settings) intervals {
	var t intervals
	t.workerLease = config.Seconds(s.Site.Workers.LeaseS)
	t.heartbeat = config.Seconds(s.Site.Workers.ReportS)
	// A member that dies keeps its key for ttl, so ttl bounds a take-over; one
	// that is cut off from the state service answers workers only for fresh,
	// which must end before ttl does. fresh + lease stays below cancel_s.
	t.memberLease = min(t.workerLease*2/5, (config.Seconds(s.Site.Workers.CancelS)-t.workerLease)*4/5)
	t.maxStaleness = t.memberLease * 17 / 20
	t.machineLeaseExpiry = t.workerLease + time.Duration(4*clockDrift*float64(t.workerLease+t.maxStaleness)) + t.heartbeat/8
	t.machineBackoff = 4 * t.workerLease
	t.reservationExpiry = 2 * t.workerLease
	t.maintenance = time.Second
	t.scheduling = min(t.heartbeat/6, t.maintenance)
	// All nodes' watches and barriers together take at most half of the requests.
	t.readSpacing = time.Duration(4 * float64(len(s.Siblings)+1) / s.Site.State.Least().RPS * float64(time.Second))
	// And if all of them load at once, three quarters.
	t.pageSpacing = t.readSpacing / 3
	return t
}

// maxTxnOps is how many keys one transaction may change: what the settings allow, and
// half of a second's changes, since a larger one would never pass the limit while
// others write too.
func (c *Core) maxTxnOps() int {
	return max(min(c.storeLimits.TxnOps, int(c.storeLimits.WriteRPS/2)), 1)
}

// writeRate is the rate of changes that this node paces itself by: the present one until the
// state service refuses a change for its rate, then the smaller of that and the one to come,
// for good. Our own pace may have been the reason; then nothing is lost but some of it.
func (c *Core) writeRate() float64 {
	if c.throttled {
		return c.storeLimits.WriteRPS
	}
	return c.settings.Site.State.WriteRPS
}

// maxValueBytes is how many bytes a value may have, in the form in which limits are counted.
func (c *Core) maxValueBytes() int { return int(c.storeLimits.ValueKB * 1024) }

// New makes the core of a controller. boot must differ in every process.
func New(set *config.Settings, policy config.Policy, boot string, debug bool) *Core {
	c := &Core{settings: set, policy: policy, bootID: boot, debug: debug, intervals: newIntervals(set), bestEffortTeams: bestEffortTeams(set.Site.Teams)}
	c.storeLimits = set.Site.State.Least()
	c.controllerLabels = []string{set.Label}
	for _, s := range set.Siblings {
		c.controllerLabels = append(c.controllerLabels, s.Label)
	}
	c.fairShareRules = c.newFairShareRules()
	c.garbage = newGarbageCollector(c)
	c.records = newStoredRecords(c)
	c.mirror = newMirror(c)
	c.transactions.pending = map[uint64]func(CommitResult){}
	c.admission = newAdmission(c)
	c.cancellation = newCancellation(c)
	c.queries = &jobQueries{c}
	c.membership = newMembership(c)
	c.shard = newShard(c)
	c.estimator = newEstimator(c)
	c.fleet = newFleet(c)
	c.registry = &machineRegistry{core: c}
	c.scheduler = newScheduler(c)
	c.degraded = newDegradedMode(c)
	return c
}

// Apply works through a batch of commands and returns what is to be done. The
// returned slice is valid until the next call.
func (c *Core) Apply(now Instant, commands []Command) []Effect {
	c.now = now
	c.effects = c.effects[:0]
	for _, cmd := range commands {
		c.handle(cmd)
	}
	c.runTimers()
	c.membership.reconcile()
	c.degraded.react()
	c.scheduler.reconcile()
	c.fleet.reconcile()
	c.shard.reconcile()
	for len(c.loopback) > 0 {
		f := c.loopback[0]
		c.loopback = c.loopback[1:]
		f()
		if len(c.loopback) == 0 {
			c.shard.reconcile()
		}
	}
	return c.effects
}

func (c *Core) handle(cmd Command) {
	switch cmd := cmd.(type) {
	case Tick:
	case SubmitJob:
		c.admission.submit(cmd.ID, cmd.Spec)
	case QueryJob:
		c.queries.query(cmd.ID, cmd.JobID)
	case CancelJob:
		c.cancellation.cancel(cmd.ID, cmd.JobID)
	case Heartbeat:
		c.shard.handleHeartbeat(cmd.ID, &cmd.Report)
	case GetStatus:
		c.emit(Reply{ID: cmd.ID, Status: ReplyOK, Body: c.status()})
	case CommitResult:
		c.handleCommit(cmd)
	case LoadResult:
		c.handlePage(cmd)
	case WatchResult:
		c.handleChanges(cmd)
	case LeaseResult:
		c.membership.handleLeaseResult(cmd)
	case CallWorkerResult:
		c.shard.handleCallResult(&cmd)
	case ProbeResult:
		c.shard.handleProbeResult(cmd)
	case MachineTypesResult:
		c.fleet.handleMachineTypes(cmd)
	case ListInstancesResult:
		c.fleet.handleList(cmd)
	case CreateInstancesResult:
		c.fleet.handleCreate(cmd)
	case DeleteInstancesResult:
		c.fleet.handleDelete(cmd)
	case PeerConnected:
		c.peerConnected(cmd)
	case PeerDisconnected:
		c.peerDisconnected(cmd)
	case PeerReceived:
		c.peerReceived(cmd)
	default:
		panic("core: unknown command")
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) logInfo(text string, args ...any) {
	c.emit(Log{Level: LevelInfo, Text: text, Args: args})
}

func (c *Core) logDebug(text string, args ...any) {
	if c.debug {
		c.emit(Log{Level: LevelDebug, Text: text, Args: args})
	}
}

// peerConnected and its kin tell a link we dialled (to the leader) from one a member
// dialled (we may be its leader).
func (c *Core) peerConnected(p PeerConnected) {
	if p.Label != "" {
		c.shard.leaderLinkUp(p.Session)
	} else {
		c.scheduler.memberLinkUp(p.Session)
	}
}

func (c *Core) peerDisconnected(p PeerDisconnected) {
	c.shard.leaderLinkDown(p.Session)
	c.scheduler.memberLinkDown(p.Session)
}

func (c *Core) peerReceived(p PeerReceived) {
	m := &p.Message
	switch {
	case p.Session == c.shard.leaderLink && m.Round != nil:
		c.shard.leaderHeardAt = c.now.Monotonic
		c.degraded.handleRound(m.Epoch, m.Round)
	case p.Session == c.shard.leaderLink:
		c.shard.handleLeaderMessage(m)
	case m.Vote != nil:
		c.scheduler.handleVote(p.Session, m.Vote)
	default:
		c.scheduler.handleShardMessage(p.Session, m)
	}
}

// afterFunc runs f once d has passed.
func (c *Core) afterFunc(d time.Duration, f func()) {
	c.lastTimerID++
	heap.Push(&c.timers, timer{deadline: c.now.Monotonic + d, sequence: c.lastTimerID, run: f})
}

func (c *Core) runTimers() {
	for len(c.timers) > 0 && c.timers[0].deadline <= c.now.Monotonic {
		heap.Pop(&c.timers).(timer).run()
	}
}

// NextDeadline is when the core wants to be called even if nothing happens.
func (c *Core) NextDeadline() time.Duration {
	next := c.now.Monotonic + min(c.intervals.maintenance/4, c.intervals.scheduling)
	if len(c.timers) > 0 && c.timers[0].deadline < next {
		next = c.timers[0].deadline
	}
	return next
}

type timer struct {
	deadline time.Duration
	sequence uint64
	run      func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].deadline < h[j].deadline || h[i].deadline == h[j].deadline && h[i].sequence < h[j].sequence
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

// scaleDuration turns a span into one that holds on every clock.
func scaleDuration(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

func (c *Core) team(name string) *config.Team {
	for i := range c.settings.Site.Teams {
		if c.settings.Site.Teams[i].Name == name {
			return &c.settings.Site.Teams[i]
		}
	}
	return nil
}

func (c *Core) machineTypes() map[string]*protocol.MachineType { return c.records.machineTypes }
