// Package core is the deterministic state machine of one controller: commands go in, effects
// come out.
//
// It owns every decision and all state of a node, one part for each concern: the mirror is a
// local replica of the state service and storedRecords what its keys say; admission, cancellation
// and jobQueries answer users; membership holds the lease, the leader key and the shard map; shard
// has the machines that this member owns, scheduler the leader's job queue, estimator the history
// of run times, fleet the rented machines and machineRegistry the stored list of machines;
// degradedMode serves while the state service is down for everybody, and garbageCollector deletes
// keys that nobody needs any more.
//
// It may not know clocks, sockets, files, goroutines or the numbers of any protocol: package
// engine passes the time with each batch of commands, carries out the effects and decodes the
// answers.
//
// Invariants: the same batches at the same times give the same effects, so that a run can be
// played again from its seed; a user is told only what is durable in the state service, or
// agreed on in degraded mode; and whatever a leader writes is guarded by the leader key.
package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/mirror"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Instant is a moment: spans are measured by the monotonic clock, the time of day only dates.
type Instant struct {
	Monotonic time.Duration
	Wall      float64 // seconds since 1970
}

// Core is the state of one controller. It is not safe for concurrent use.
type Core struct {
	settings         *config.Settings
	storeLimits      config.StoreLimits // the limits of the state service that we keep to
	throttled        bool               // the state service has refused a change for its rate
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
	loopback    []func() // deliveries of messages between this node's scheduler and its shard

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
	estimator    *taskEstimator
	fleet        *fleet
	registry     *machineRegistry
	degraded     *degradedMode
}

// New makes the core of a controller. bootID must differ in every process.
func New(settings *config.Settings, policy config.Policy, bootID string, debug bool) *Core {
	c := &Core{
		settings: settings, policy: policy, bootID: bootID, debug: debug,
		intervals:       newIntervals(settings),
		bestEffortTeams: bestEffortTeams(settings.Site.Teams),
		storeLimits:     settings.Site.Store.Lowest(),
	}
	c.controllerLabels = []string{settings.Label}
	for _, sibling := range settings.Siblings {
		c.controllerLabels = append(c.controllerLabels, sibling.Label)
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
	c.estimator = newTaskEstimator(c)
	c.fleet = newFleet(c)
	c.registry = &machineRegistry{core: c}
	c.scheduler = newScheduler(c)
	c.degraded = newDegradedMode(c)
	return c
}

// Apply works through a batch of commands and returns what is to be done. The returned slice
// is valid until the next call.
func (c *Core) Apply(now Instant, commands []Command) []Effect {
	c.now = now
	c.effects = c.effects[:0]
	for _, command := range commands {
		c.handle(command)
	}
	c.runTimers()
	c.reconcile()
	c.deliverLoopback()
	return c.effects
}

// reconcile lets each part act on what the batch has changed. The order matters: each part
// relies on those before it.
func (c *Core) reconcile() {
	c.membership.reconcile()
	c.degraded.reconcile()
	c.scheduler.reconcile()
	c.fleet.reconcile()
	c.shard.reconcile()
}

// deliverLoopback delivers the messages between this node's scheduler and its own shard, and
// those that they cause, as a link would to another node.
func (c *Core) deliverLoopback() {
	for len(c.loopback) > 0 {
		deliver := c.loopback[0]
		c.loopback = c.loopback[1:]
		deliver()
		if len(c.loopback) == 0 {
			c.shard.reconcile()
		}
	}
}

// handle passes a command on to the part that it concerns.
func (c *Core) handle(command Command) {
	switch command := command.(type) {
	case Tick:
	case SubmitJob:
		c.admission.submit(command.ID, command.Spec)
	case QueryJob:
		c.queries.query(command.ID, command.JobID)
	case CancelJob:
		c.cancellation.cancel(command.ID, command.JobID)
	case Heartbeat:
		c.shard.handleHeartbeat(command.ID, &command.Report)
	case GetStatus:
		c.emit(Reply{ID: command.ID, Status: ReplyOK, Body: c.status()})
	case CommitResult:
		c.handleCommit(command)
	case LoadResult:
		c.handlePage(command)
	case WatchResult:
		c.handleChanges(command)
	case LeaseResult:
		c.membership.handleLeaseResult(command)
	case CallWorkerResult:
		c.shard.handleCallResult(&command)
	case ProbeResult:
		c.shard.handleProbeResult(command)
	case MachineTypesResult:
		c.fleet.handleMachineTypes(command)
	case ListInstancesResult:
		c.fleet.handleList(command)
	case CreateInstancesResult:
		c.fleet.handleCreate(command)
	case DeleteInstancesResult:
		c.fleet.handleDelete(command)
	case PeerConnected:
		c.peerConnected(command)
	case PeerDisconnected:
		c.peerDisconnected(command)
	case PeerReceived:
		c.peerReceived(command)
	default:
		panic("core: unknown command")
	}
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) logError(text string, args ...any) {
	c.emit(Log{Level: LevelError, Text: text, Args: args})
}

func (c *Core) logInfo(text string, args ...any) {
	c.emit(Log{Level: LevelInfo, Text: text, Args: args})
}

func (c *Core) logDebug(text string, args ...any) {
	if c.debug {
		c.emit(Log{Level: LevelDebug, Text: text, Args: args})
	}
}

// peerConnected tells a link that we dialled, which leads to the leader, from one that a
// member dialled, whose leader we may be.
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

// peerReceived routes a message: over the link to the leader it is for the shard, or asks for
// a vote; over any other it is from a member, to the leader.
func (c *Core) peerReceived(p PeerReceived) {
	message := &p.Message
	switch {
	case p.Session == c.shard.leaderLink && message.Round != nil:
		c.shard.leaderHeardAt = c.now.Monotonic
		c.degraded.handleRound(message.Epoch, message.Round)
	case p.Session == c.shard.leaderLink:
		c.shard.handleLeaderMessage(message)
	case message.Vote != nil:
		c.scheduler.handleVote(p.Session, message.Vote)
	default:
		c.scheduler.handleShardMessage(p.Session, message)
	}
}

// team is the team of a name, nil if the site has none of it.
func (c *Core) team(name string) *config.Team {
	for i := range c.settings.Site.Teams {
		if c.settings.Site.Teams[i].Name == name {
			return &c.settings.Site.Teams[i]
		}
	}
	return nil
}

func (c *Core) machineTypes() map[string]*protocol.MachineType { return c.records.machineTypes }
