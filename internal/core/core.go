// Package core is the deterministic state machine of one controller: it takes commands and
// returns effects.
//
// It owns every decision and all state of a controller, in one component for each concern:
//   - mirror is a local replica of the state service, storedRecords the decoded content of its keys.
//   - admission, cancellation and jobQueries handle users' requests.
//   - membership holds the lease, the leader key and the shard map.
//   - shard holds the machines that this controller owns as a member of the shard map.
//   - scheduler holds the leader's job queue.
//   - estimator holds the history of run times.
//   - fleet holds the rented machines, machineRegistry the stored list of machines.
//   - degradedMode keeps workers alive while the state service is down for all controllers.
//   - garbageCollector deletes keys that are no longer needed.
//
// It must not use clocks, sockets, files or goroutines, and must not know the status codes of any
// protocol: package engine passes the time with each batch of commands, executes the effects and
// decodes the responses.
//
// Invariants:
//   - The same batches at the same times give the same effects, so that a run can be replayed from
//     its seed.
//   - Replies to users confirm only what is durable in the state service, or agreed on in degraded
//     mode.
//   - Every write of a leader is guarded by the leader key.
package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/mirror"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Instant is a point in time on two clocks. Timeouts and periods are measured on the monotonic clock.
// The wall clock gives times of day, such as those of submissions and deadlines.
type Instant struct {
	Monotonic time.Duration
	Wall      float64 // seconds since 1970
}

// Core is the state of one controller. It is not safe for concurrent use.
type Core struct {
	settings         *config.Settings
	storeLimits      config.StoreLimits // the lowest of the state service's present and announced limits
	throttled        bool               // the state service has refused a write because of its rate limit
	policy           config.Policy
	bootID           string
	intervals        intervals
	debug            bool
	fairShareRules   fairshare.Rules
	bestEffortTeams  map[string]bool // teams without a guarantee on a site where others have one
	controllerLabels []string        // labels of all controllers of the site, this one first

	now         Instant
	effects     []Effect
	timers      timerHeap
	lastTimerID uint64
	loopback    []func() // pending deliveries between this controller's scheduler and its shard

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

// New makes the core of a controller. bootID identifies this process: it must be different in
// every process, also in successive ones of the same controller.
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

// Apply handles a batch of commands and returns the effects to execute, in order. The returned
// slice is valid until the next call.
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

// reconcile lets each component act on the changes of the batch. The order matters: each component
// relies on the state of those before it.
func (c *Core) reconcile() {
	c.membership.reconcile()
	c.degraded.reconcile()
	c.scheduler.reconcile()
	c.fleet.reconcile()
	c.shard.reconcile()
}

// deliverLoopback delivers the messages between this controller's scheduler and its own shard,
// including those sent in response, as a peer link does between two controllers.
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

// handle dispatches a command to the component that it concerns.
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

// peerConnected assigns a new link to the shard or the scheduler: a link that this controller
// dialled goes to the leader; one that a member dialled comes to this controller as the leader.
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

// peerReceived routes a message. One over the link to the leader is for the shard, or asks for a
// vote of degraded mode. One over any other link was sent by a member to the leader.
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

// team returns the team of this name, or nil if the site has no such team.
func (c *Core) team(name string) *config.Team {
	for i := range c.settings.Site.Teams {
		if c.settings.Site.Teams[i].Name == name {
			return &c.settings.Site.Teams[i]
		}
	}
	return nil
}

func (c *Core) machineTypes() map[string]*protocol.MachineType { return c.records.machineTypes }
