package core

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/orderedmap"
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// scheduler is the leader's shared queue: it ranks the unfinished jobs and dispatches their tasks
// to the shards, and keeps account of which task is on which machine. Only a leader's acts, and
// only in an epoch whose shard map is its own.
type scheduler struct {
	core    *Core
	leading bool

	// The term as leader, and the epoch in force.
	epoch            uint64 // the epoch this leader acts in, 0: none yet
	epochAtElection  uint64
	epochEnteredAt   time.Duration
	electionRevision uint64 // jobs newer than this were never dispatched by an earlier leader
	reloadRevision   uint64 // the mirror's when it was last reloaded while this controller led

	// What the members tell of their shards.
	shards      map[string]*shardView // by label
	shardLabels map[uint64]string     // by session, "" before its hello
	machines    *orderedmap.Map[*machineView]

	// The queue, and the attempts that may be on a machine.
	queue            *orderedmap.Map[*queuedJob]
	attempts         map[string]*inflightAttempt // by task name
	unplacedAttempts map[string]*inflightAttempt // all that await placement, and a few that no longer do
	stopRequests     map[string]*inflightAttempt // all that are asked to stop, and a few that have stopped
	teamUsage        map[string]*usage           // by team, what its tasks may be taking
	attemptCounter   uint64                      // of this epoch

	// Jobs and tasks of earlier leaders that may be on machines not seen yet.
	hasUnlocated   bool
	lastUnseen     string        // a machine that was not seen yet when last looked at
	unseenLoggedAt time.Duration // when such machines were last named

	// Completed tasks that are not durable yet.
	unsavedJobs         map[string]*queuedJob
	progressWriteTokens float64
	progressTokensAt    time.Duration
	progressSaveDue     bool
	nextProgressSave    time.Duration

	// Rounds.
	lastScheduling      time.Duration // the quick round: rank and dispatch; 0: one is due
	lastMaintenance     time.Duration // the slow round: fleet, garbage, what the members are told
	dependencyWeightsAt time.Duration // when the priorities of dependencies were last worked out
	fairShareStates     []fairshare.AccountState
	startLatencies      [numUrgencyLevels]*hdrhistogram.Histogram // ms from submission to running
}

const (
	// maxStartLatencyMillis is the longest start latency told apart: an hour.
	maxStartLatencyMillis = 3_600_000

	// startLatencyDigits is how many digits of a start latency are told apart.
	startLatencyDigits = 2
)

func newScheduler(c *Core) *scheduler {
	s := &scheduler{core: c, shardLabels: map[uint64]string{}, shards: map[string]*shardView{}}
	s.reset()
	for i := range s.startLatencies {
		s.startLatencies[i] = hdrhistogram.New(1, maxStartLatencyMillis, startLatencyDigits)
	}
	return s
}

// reset drops all that an earlier term as leader knew of jobs and machines.
func (s *scheduler) reset() {
	s.machines, s.queue = orderedmap.New[*machineView](), orderedmap.New[*queuedJob]()
	s.attempts = map[string]*inflightAttempt{}
	s.unplacedAttempts, s.stopRequests = map[string]*inflightAttempt{}, map[string]*inflightAttempt{}
	s.teamUsage, s.unsavedJobs = map[string]*usage{}, map[string]*queuedJob{}
	s.hasUnlocated = false
}

// leadershipChanged begins a term as leader, or ends it.
func (s *scheduler) leadershipChanged(leading bool) {
	s.leading = leading
	s.epoch = 0
	s.epochAtElection = s.core.membership.epoch()
	// Guards against a leader that had to reload its mirror: what came after its own key was
	// written it may have dispatched itself, before it forgot.
	s.electionRevision = max(s.core.mirror.Version(keyLeader), s.reloadRevision)
	s.dependencyWeightsAt = 0
	s.reset()
	s.lastMaintenance = 0
	s.progressTokensAt = s.core.now.Monotonic
	s.progressWriteTokens = s.core.writeRate() / 4
	if leading {
		s.beginTerm()
	}
}

// beginTerm takes over the history and the unfinished jobs from the mirror.
func (s *scheduler) beginTerm() {
	s.core.estimator.load()
	for _, id := range sortedKeys(s.core.records.jobs) {
		entry := s.core.records.jobs[id]
		entry.readyThisTerm = false // an earlier leader, perhaps this one, may have dispatched it
		s.jobChanged(entry)
	}
	s.core.fleet.reset()
	s.core.fleet.restoreInflow()
}

// jobChanged follows the mirror.
func (s *scheduler) jobChanged(entry *jobEntry) {
	if !s.leading || entry.version == 0 {
		return
	}
	id := entry.record.Spec.ID
	if s.core.records.dependencies.IsWaiting(id) {
		return // it holds nothing, and comes again once it is ready
	}
	q := s.queue.Get(id)
	switch {
	case entry.isFinal():
		delete(s.unsavedJobs, id)
		// Attempts stay until their tasks are surely gone: they count against the quota.
		if q != nil && len(q.inflight) == 0 {
			s.queue.Delete(id)
		}
	case q == nil:
		s.enqueue(id, entry)
	}
}

// enqueue takes a job into the queue.
func (s *scheduler) enqueue(id string, entry *jobEntry) {
	q := newQueuedJob(entry)
	q.unlocated = entry.version <= s.electionRevision && !entry.readyThisTerm
	s.hasUnlocated = s.hasUnlocated || q.unlocated
	s.queue.Set(id, q)
	spec := q.spec()
	s.core.estimator.JobArrived(spec)
	if s.core.debug {
		s.core.logDebug("queued",
			"job", id, "at", entry.record.SubmittedAt, "team", spec.Team, "class", spec.Class,
			"tasks", spec.Tasks, "cpus", spec.CPUs, "guess_s", spec.EstimateS)
	}
	if !q.unlocated {
		s.core.fleet.jobArrived(q)
	}
	if q.complete() {
		s.unsavedJobs[id] = q // its last leader ended before it wrote that
	}
}

// progressSaved follows the mirror: completed tasks that are durable need not be saved.
func (s *scheduler) progressSaved(id string) {
	q := s.queue.Get(id)
	if q == nil {
		return
	}
	for index := range q.unsavedTasks {
		if q.entry.isTaskDone(index) {
			delete(q.unsavedTasks, index)
		}
	}
}

// enterEpoch enters the epoch of the shard map in force if this leader wrote it.
func (s *scheduler) enterEpoch() {
	shardMap := s.core.records.shardMap
	if shardMap == nil || shardMap.Leader != s.core.settings.Label {
		return
	}
	if shardMap.Epoch <= s.epochAtElection || shardMap.Epoch == s.epoch {
		return
	}
	first := s.epoch == 0
	s.epoch, s.epochEnteredAt = shardMap.Epoch, s.core.now.Monotonic
	s.attemptCounter = 0
	s.invalidateMachineStates()
	s.markDispatchedUnlocated()
	for _, member := range s.shards {
		// It may have entered this epoch, and sent its snapshot, before we did.
		member.syncedEpoch, member.snapshotTasks = 0, nil
		member.outbox, member.outboxDue = peerproto.Message{Resync: true}, true
	}
	if first {
		s.core.logDebug("entered first epoch as leader", "machines", s.machines.Len(), "jobs", s.queue.Len())
	}
}

// invalidateMachineStates forgets what the shards of the last epoch told: a machine may have another
// owner now. Those of the registry that no shard has told of count as not seen yet.
func (s *scheduler) invalidateMachineStates() {
	for _, view := range s.machines.All() {
		view.state.TasksComplete, view.state.TasksBounded, view.state.AcceptsTasks = false, false, false
		view.incompleteSince = s.core.now.Monotonic
		view.cordoned = false
	}
	for name := range s.core.records.machineRecords.All() {
		s.ensureMachine(name)
	}
}

// reconcile does what is due for a leader whose epoch is in force, and sends the members what has
// gathered for them.
func (s *scheduler) reconcile() {
	if !s.leading || !s.core.membership.mayServe() {
		return
	}
	s.enterEpoch()
	if s.epoch == 0 || s.epoch != s.core.membership.epoch() {
		return
	}
	now, intervals := s.core.now.Monotonic, &s.core.intervals
	if s.progressSaveDue || now >= s.nextProgressSave {
		s.progressSaveDue, s.nextProgressSave = false, now+intervals.maintenance/4
		s.saveProgress()
	}
	if s.lastScheduling == 0 || now-s.lastScheduling >= intervals.scheduling {
		s.schedule()
	}
	s.flushOutboxes()
}

// schedule is the quick round, and the slow one if that is due.
func (s *scheduler) schedule() {
	s.lastScheduling = s.core.now.Monotonic
	s.removeTerminatedMachines()
	s.core.registry.reconcile()
	s.resolveUnlocated()
	ranked, waiting := s.runRound()
	if s.core.now.Monotonic-s.lastMaintenance >= s.core.intervals.maintenance {
		s.lastMaintenance = s.core.now.Monotonic
		s.maintain(ranked, waiting)
	}
}

// maintain is the slow round. ranked is every unfinished job and waiting those with tasks to
// dispatch, both in rank order.
func (s *scheduler) maintain(ranked, waiting []*queuedJob) {
	s.core.fleet.autoscale(ranked, waiting)
	s.core.estimator.save()
	s.core.garbage.collect()
	s.publishJobViews()
}

// flushOutboxes sends each member what has gathered for it.
func (s *scheduler) flushOutboxes() {
	for _, label := range sortedKeys(s.shards) {
		member := s.shards[label]
		if !member.outboxDue || member.session == 0 {
			continue
		}
		message := member.outbox
		member.messagesSent++
		message.Epoch, message.Seq = s.epoch, member.messagesSent
		member.outbox, member.outboxDue = peerproto.Message{}, false
		if member.session == loopbackLink {
			s.core.loopback = append(s.core.loopback, func() { s.core.shard.handleLeaderMessage(&message) })
			continue
		}
		for _, chunk := range message.LeaderChunks() {
			s.core.emit(SendToPeer{Session: member.session, Message: chunk})
		}
	}
}
