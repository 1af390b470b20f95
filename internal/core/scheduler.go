package core

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/orderedmap"
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// scheduler holds the job queue of the whole cluster. It ranks the unfinished jobs, dispatches their
// tasks to the shards and tracks which task is on which machine. Every controller has one, but it
// acts only while its controller is the leader, and only in an epoch whose shard map that leader
// has written.
type scheduler struct {
	core    *Core
	leading bool

	// The current term as leader, and its epoch.
	epoch            uint64 // the epoch in which this leader acts, 0: none yet
	epochAtElection  uint64
	epochEnteredAt   time.Duration
	electionRevision uint64 // no earlier leader has dispatched a job whose version is newer than this
	reloadRevision   uint64 // revision of the mirror at its last reload while this controller led

	// What the members report about their shards.
	shards      map[string]*shardView // by label of the member
	shardLabels map[uint64]string     // by link session, "" until the hello arrives
	machines    *orderedmap.Map[*machineView]

	// The queue, and the attempts that may be on a machine.
	queue            *orderedmap.Map[*queuedJob]
	attempts         map[string]*inflightAttempt // by task name
	unplacedAttempts map[string]*inflightAttempt // every attempt that awaits placement, and possibly some that no longer do
	stopRequests     map[string]*inflightAttempt // every attempt that was asked to stop, and possibly some that have stopped
	teamUsage        map[string]*usage           // by team: resources of its tracked attempts, which may be in use
	attemptCounter   uint64                      // attempt numbers drawn in this epoch

	// Unlocated jobs and attempts: those whose tasks may be on machines that this leader has not seen
	// yet, that is, machines whose complete task list it has not received.
	hasUnlocated   bool          // there may be unlocated jobs or attempts
	lastUnseen     string        // an unseen machine found by the last search
	unseenLoggedAt time.Duration // when unseen machines were last logged

	// Completed tasks that are not yet stored durably.
	unsavedJobs         map[string]*queuedJob
	progressWriteTokens float64
	progressTokensAt    time.Duration
	progressSaveDue     bool
	nextProgressSave    time.Duration

	// Scheduling and maintenance rounds.
	lastScheduling      time.Duration // last scheduling round (rank and dispatch), 0: run one now
	lastMaintenance     time.Duration // last maintenance round (autoscaling, garbage collection, job views)
	dependencyWeightsAt time.Duration // when the priorities inherited from dependent jobs were last computed
	fairShareStates     []fairshare.AccountState
	startLatencies      [numUrgencyLevels]*hdrhistogram.Histogram // milliseconds from submission to running
}

const (
	// maxStartLatencyMillis is the upper bound of the start latency histograms: one hour. Longer
	// latencies are recorded as this value.
	maxStartLatencyMillis = 3_600_000

	// startLatencyDigits is the precision of the start latency histograms in significant digits.
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

// reset discards the state of jobs and machines that belongs to an earlier term as leader.
func (s *scheduler) reset() {
	s.machines, s.queue = orderedmap.New[*machineView](), orderedmap.New[*queuedJob]()
	s.attempts = map[string]*inflightAttempt{}
	s.unplacedAttempts, s.stopRequests = map[string]*inflightAttempt{}, map[string]*inflightAttempt{}
	s.teamUsage, s.unsavedJobs = map[string]*usage{}, map[string]*queuedJob{}
	s.hasUnlocated = false
}

// leadershipChanged begins or ends a term as leader.
func (s *scheduler) leadershipChanged(leading bool) {
	s.leading = leading
	s.epoch = 0
	s.epochAtElection = s.core.membership.epoch()
	// A leader that has to reload its mirror loses its scheduling state and starts a new term.
	// Before that it may itself have dispatched jobs that are newer than its leader key, so all
	// jobs up to the reload count as possibly dispatched.
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

// beginTerm loads the run-time history and the unfinished jobs from the mirror.
func (s *scheduler) beginTerm() {
	s.core.estimator.load()
	for _, id := range sortedKeys(s.core.records.jobs) {
		entry := s.core.records.jobs[id]
		entry.readyThisTerm = false // it may have been dispatched in an earlier term, of this or another leader
		s.jobChanged(entry)
	}
	s.core.fleet.reset()
	s.core.fleet.restoreInflow()
}

// jobChanged updates the queue after a job's entry in the mirror has changed.
func (s *scheduler) jobChanged(entry *jobEntry) {
	if !s.leading || entry.version == 0 {
		return
	}
	id := entry.record.Spec.ID
	if s.core.records.dependencies.IsWaiting(id) {
		return // it has no tasks in flight; jobChanged is called again once its dependencies are done
	}
	q := s.queue.Get(id)
	switch {
	case entry.isFinal():
		delete(s.unsavedJobs, id)
		// A job with attempts in flight stays in the queue, because these count against the quota until
		// their tasks are known to have ended.
		if q != nil && len(q.inflight) == 0 {
			s.queue.Delete(id)
		}
	case q == nil:
		s.enqueue(id, entry)
	}
}

// enqueue adds a job to the queue and registers it with the estimator. The autoscaler counts it into its
// inflow only if no earlier leader can have dispatched it.
func (s *scheduler) enqueue(id string, entry *jobEntry) {
	q := newQueuedJob(entry)
	q.unlocated = entry.version <= s.electionRevision && !entry.readyThisTerm
	s.hasUnlocated = s.hasUnlocated || q.unlocated
	s.queue.Set(id, q)
	spec := q.spec()
	s.core.estimator.JobArrived(spec)
	if s.core.debug {
		s.core.logDebug("job added to the queue",
			"job", id, "at", entry.record.SubmittedAt, "team", spec.Team, "class", spec.Class,
			"tasks", spec.Tasks, "cpus", spec.CPUs, "guess_s", spec.EstimateS)
	}
	if !q.unlocated {
		s.core.fleet.jobArrived(q)
	}
	if q.complete() {
		s.unsavedJobs[id] = q // an earlier leader stopped before it wrote the completion
	}
}

// progressSaved drops the tasks from a job's unsavedTasks whose completion the mirror now shows as
// durable.
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

// enterEpoch enters the epoch of the current shard map if this leader wrote that map in its current
// term. It marks all machine states as outdated and requests a full snapshot from every member.
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
		// The member may have entered this epoch and sent its snapshot before this leader did.
		member.syncedEpoch, member.snapshotTasks = 0, nil
		member.outbox, member.outboxDue = peerproto.Message{Resync: true}, true
	}
	if first {
		s.core.logDebug("entered first epoch as leader", "machines", s.machines.Len(), "jobs", s.queue.Len())
	}
}

// invalidateMachineStates marks all machine states of the previous epoch as incomplete, because a
// machine may have another owner now. Registered machines that no shard has reported get a view too,
// and count as not seen yet.
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

// reconcile runs the work that is due and sends the members their pending messages. It does nothing
// unless this controller leads and its epoch is the current one.
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

// schedule runs a scheduling round, followed by a maintenance round if one is due.
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

// maintain runs a maintenance round. ranked holds every unfinished job, waiting those that had tasks
// to dispatch; both are in rank order.
func (s *scheduler) maintain(ranked, waiting []*queuedJob) {
	s.core.fleet.autoscale(ranked, waiting)
	s.core.estimator.save()
	s.core.garbage.collect()
	s.publishJobViews()
}

// flushOutboxes sends each connected member its pending message.
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
