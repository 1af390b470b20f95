package core

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// queuedJob is a job in the leader's queue.
type queuedJob struct {
	entry              *jobEntry
	id                 string
	inflight           map[int]*inflightAttempt
	unsavedTasks       map[int]bool // completed, not durable yet
	firstWaiting       int          // no task below it waits
	unlocated          bool         // from before this leader: its tasks may be on unseen machines
	retryAt            map[int]time.Duration
	failures           failureRecord
	longestRunning     time.Duration         // how long one of its tasks has been running, at the most
	finalizing         bool                  // the final state is being written
	choosingZones      bool                  // its zones are being written
	zoneFullSince      map[int]time.Duration // since when the tasks of each of them have found no room
	saveDueAt          time.Duration
	savingProgress     bool
	reason             string
	publishedView      peerproto.JobView
	predictedSeconds   float64
	durations          runningMean     // of its own completed tasks that this leader has seen
	rankBand           int             // its place in the order: first the band,
	rankInBand         float64         // then the size
	withinGuarantee    bool            // within its team's guarantee
	boost              fairshare.Boost // its class's turn, whatever its urgency
	protected          bool            // its class is short, or it has only just begun: its tasks are not stopped for others
	startsEarly        bool            // it is to begin by now: its first task goes before its rank
	effectiveUrgency   int             // its urgency, or that of the most urgent job that needs it
	dependentsDeadline float64         // time of day by which it is to be done for those to be in time, +Inf: no matter
	reservedAt         time.Duration   // since when its limit or machines are kept for it, 0: they are not
	stoppedTasks       map[int]bool    // tasks that were stopped: what is left of them says nothing of their duration
	stopCount          int
	stopReason         string
	gangReleased       bool // a gang's tasks were told to start
	gangHeldAt         time.Duration
}

func newQueuedJob(j *jobEntry) *queuedJob {
	return &queuedJob{
		entry: j, id: j.record.Spec.ID, effectiveUrgency: urgencyLevel(j.record.Spec.Urgency), dependentsDeadline: math.Inf(1), inflight: map[int]*inflightAttempt{}, unsavedTasks: map[int]bool{},
		retryAt: map[int]time.Duration{}, failures: failureRecord{machines: map[string]bool{}}, stoppedTasks: map[int]bool{},
	}
}

func (q *queuedJob) waitingTasks() int {
	return q.entry.record.Spec.Tasks - q.entry.doneCount - len(q.unsavedTasks) - len(q.inflight)
}

// complete reports whether every task has completed, durably or not.
func (q *queuedJob) complete() bool {
	return q.entry.record.Spec.Kind != protocol.KindService && q.entry.doneCount+len(q.unsavedTasks) >= q.entry.record.Spec.Tasks
}

// nextWaiting is the first task from i on that is neither over nor dispatched.
func (q *queuedJob) nextWaiting(i int) int {
	for i < q.entry.record.Spec.Tasks && (q.inflight[i] != nil || q.taskDone(i)) {
		i++
	}
	return i
}

func (q *queuedJob) taskDone(i int) bool { return q.unsavedTasks[i] || q.entry.isTaskDone(i) }

// scheduler is the leader's shared queue.
type scheduler struct {
	core                *Core
	leading             bool
	epoch               uint64 // the epoch this leader acts in, 0: none yet
	epochAtElection     uint64
	epochEnteredAt      time.Duration // when this leader entered the epoch
	electionRevision    uint64        // jobs newer than this were never dispatched before us
	reloadRevision      uint64        // the mirror's when it was last read anew while we led
	dependencyWeightsAt time.Duration // when the weights of pipelines were last worked out
	shards              map[string]*shardView
	shardLabels         map[uint64]string // session -> label, "" before hello
	machines            *orderedMap[*machineView]
	queue               *orderedMap[*queuedJob]
	attempts            map[string]*inflightAttempt
	unplacedAttempts    map[string]*inflightAttempt // those that may be open, and a few that no longer are
	stopRequests        map[string]*inflightAttempt // the same of those that are asked to stop
	teamUsage           map[string]*usage           // by team, what its tasks may be taking
	unsavedJobs         map[string]*queuedJob       // have completed tasks that are not durable
	hasUnlocated        bool                        // some job or task is in limbo
	lastUnseen          string                      // a machine that was not seen yet when last looked at
	unseenLoggedAt      time.Duration               // when the machines that are waited for were last named
	attemptCounter      uint64
	lastMaintenance     time.Duration
	lastScheduling      time.Duration
	progressWriteTokens float64 // tokens for progress writes
	progressTokensAt    time.Duration
	progressSaveDue     bool
	nextProgressSave    time.Duration
	fairShareStates     []fairshare.AccountState   // how each class of each team stands, in this round
	startLatencies      [4]*hdrhistogram.Histogram // ms from submission to running, by urgency
}

// maxStartLatencyMillis is the longest wait told apart, in ms.
const maxStartLatencyMillis = 3_600_000

func newScheduler(c *Core) *scheduler {
	o := &scheduler{core: c, shardLabels: map[uint64]string{}, shards: map[string]*shardView{}}
	o.reset()
	for i := range o.startLatencies {
		o.startLatencies[i] = hdrhistogram.New(1, maxStartLatencyMillis, 2)
	}
	return o
}

func (o *scheduler) leadershipChanged(on bool) {
	o.leading = on
	o.epoch = 0
	o.epochAtElection = o.core.membership.epoch()
	// Guards against a leader that had to read everything anew: what came after its own
	// key was written it may have dispatched itself, before its books were gone.
	o.electionRevision = max(o.core.mirror.Version(keyLeader), o.reloadRevision)
	o.dependencyWeightsAt = 0
	o.reset()
	o.lastMaintenance = 0
	o.progressTokensAt = o.core.now.Monotonic
	o.progressWriteTokens = o.core.writeRate() / 4
	if on {
		o.core.estimator.load()
		for _, id := range sortedKeys(o.core.records.jobs) {
			j := o.core.records.jobs[id]
			j.readyThisTerm = false // so it was to a leader before us, ourselves perhaps
			o.jobChanged(j)
		}
		o.core.fleet.reset()
		o.core.fleet.restoreInflow()
	}
}

func (o *scheduler) reset() {
	o.machines, o.queue = newOrderedMap[*machineView](), newOrderedMap[*queuedJob]()
	o.unplacedAttempts, o.stopRequests = map[string]*inflightAttempt{}, map[string]*inflightAttempt{}
	o.attempts, o.teamUsage, o.unsavedJobs = map[string]*inflightAttempt{}, map[string]*usage{}, map[string]*queuedJob{}
	o.hasUnlocated = false
}

// jobChanged follows the mirror.
func (o *scheduler) jobChanged(j *jobEntry) {
	if !o.leading || j.version == 0 {
		return
	}
	id := j.record.Spec.ID
	if o.core.records.dependencies.IsWaiting(id) {
		return // it holds nothing, and comes again once it is ready
	}
	q := o.queue.get(id)
	if j.isFinal() {
		delete(o.unsavedJobs, id)
		// Its flights stay until they are surely gone: they hold quota.
		if q != nil && len(q.inflight) == 0 {
			o.queue.delete(id)
		}
		return
	}
	if q == nil {
		q = newQueuedJob(j)
		q.unlocated = j.version <= o.electionRevision && !j.readyThisTerm
		o.hasUnlocated = o.hasUnlocated || q.unlocated
		o.queue.set(id, q)
		o.core.estimator.jobArrived(&j.record.Spec)
		if s := &j.record.Spec; o.core.debug {
			o.core.logDebug("queued", "job", id, "at", j.record.SubmittedAt, "team", s.Team, "class", s.Class, "tasks", s.Tasks, "cpus", s.CPUs, "guess_s", s.EstimateS)
		}
		if !q.unlocated {
			o.core.fleet.jobArrived(q)
		}
		if q.complete() {
			o.unsavedJobs[id] = q // its last leader did not get to say so
		}
	}
}

// progressSaved follows the mirror: what is durable is no longer ours to save.
func (o *scheduler) progressSaved(id string) {
	q := o.queue.get(id)
	if q == nil {
		return
	}
	for i := range q.unsavedTasks {
		if q.entry.isTaskDone(i) {
			delete(q.unsavedTasks, i)
		}
	}
}

// enterEpoch enters the epoch of the map in force if it is ours.
func (o *scheduler) enterEpoch() {
	rec := o.core.records.shardMap
	if rec == nil || rec.Leader != o.core.settings.Label || rec.Epoch <= o.epochAtElection || rec.Epoch == o.epoch {
		return
	}
	first := o.epoch == 0
	o.epoch, o.epochEnteredAt = rec.Epoch, o.core.now.Monotonic
	o.attemptCounter = 0
	for _, v := range o.machines.all() {
		v.state.TasksComplete, v.state.TasksBounded, v.state.AcceptsTasks, v.unsureSince = false, false, false, o.core.now.Monotonic
		v.cordoned = false
	}
	for name := range o.core.records.machineRecords.all() {
		o.ensureMachine(name)
	}
	o.markDispatchedUnlocated()
	for _, p := range o.shards {
		// A part may have entered this epoch, and told all, before we did.
		p.syncedEpoch, p.snapshotTasks = 0, nil
		p.outbox, p.outboxDue = peerproto.Message{Resync: true}, true
	}
	if first {
		o.core.logDebug("taking over", "machines", o.machines.len(), "jobs", o.queue.len())
	}
}

func (o *scheduler) reconcile() {
	if !o.leading || !o.core.membership.mayServe() {
		return
	}
	o.enterEpoch()
	if o.epoch == 0 || o.epoch != o.core.membership.epoch() {
		return
	}
	if o.progressSaveDue || o.core.now.Monotonic >= o.nextProgressSave {
		o.progressSaveDue, o.nextProgressSave = false, o.core.now.Monotonic+o.core.intervals.maintenance/4
		o.saveProgress()
	}
	if o.lastScheduling == 0 || o.core.now.Monotonic-o.lastScheduling >= o.core.intervals.scheduling {
		o.lastScheduling = o.core.now.Monotonic
		o.removeGoneMachines()
		o.core.registry.reconcile()
		o.resolveUnlocated()
		ranked, waiting := o.runRound()
		if o.core.now.Monotonic-o.lastMaintenance >= o.core.intervals.maintenance {
			o.lastMaintenance = o.core.now.Monotonic
			o.core.fleet.autoscale(ranked, waiting)
			o.core.estimator.save()
			o.core.garbage.collect()
			o.publishJobViews()
		}
	}
	for _, label := range sortedKeys(o.shards) {
		if p := o.shards[label]; p.outboxDue && p.session != 0 {
			m := p.outbox
			p.messagesSent++
			m.Epoch, m.Seq = o.epoch, p.messagesSent
			p.outbox, p.outboxDue = peerproto.Message{}, false
			if p.session == loopbackLink {
				o.core.loopback = append(o.core.loopback, func() { o.core.shard.handleLeaderMessage(&m) })
				continue
			}
			for _, piece := range m.LeaderChunks() {
				o.core.emit(SendToPeer{Session: p.session, Message: piece})
			}
		}
	}
}

// runRound ranks what waits and dispatches what fits.
func (o *scheduler) runRound() (ranked, waiting []*queuedJob) {
	ranked = o.rankJobs()
	p := o.newRound()
	p.smallestTaskCPUs = math.Inf(1)
	for _, q := range ranked {
		if q.waitingTasks() > 0 && !o.core.degraded.isCancelled(q.id) {
			waiting = append(waiting, q)
			p.smallestTaskCPUs = min(p.smallestTaskCPUs, q.entry.record.Spec.CPUs)
		}
	}
	for _, q := range waiting {
		if q.entry.record.Spec.Kind == protocol.KindGang {
			o.dispatchGang(q, p)
		} else {
			o.dispatch(q, p)
		}
	}
	o.releaseGangs()
	return ranked, waiting
}
