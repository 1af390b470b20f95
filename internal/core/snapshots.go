package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/degraded"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// What the shards publish to the leader of their machines, and what it lets them know.

// progressSavesPerLease paces the writes of which tasks of a job have completed.
const progressSavesPerLease = 4

// shardView is a member and its shard as the leader hears them.
type shardView struct {
	label, bootID string
	session       uint64 // of the link, 0: none
	lastHeardAt   time.Duration
	unreachable   bool // it reports that it reaches no machine

	syncedEpoch     uint64          // the epoch of the last full snapshot
	snapshotTasks   map[string]bool // named by the chunks of a snapshot so far, nil: none is under way
	snapshotChunk   int             // the last of them
	snapshotReadSeq uint64          // the last of our messages that the snapshot takes account of

	messagesSent uint64 // over the session
	outbox       peerproto.Message
	outboxDue    bool
}

// memberLinkUp begins a link that a member has made; its hello will name the member.
func (s *scheduler) memberLinkUp(session uint64) {
	s.shardLabels[session] = ""
	if session == loopbackLink {
		s.handleHello(session, &peerproto.Hello{Label: s.core.settings.Label, BootID: s.core.bootID})
	}
}

// memberLinkDown ends a member's link.
func (s *scheduler) memberLinkDown(session uint64) {
	label, ok := s.shardLabels[session]
	if !ok {
		return
	}
	delete(s.shardLabels, session)
	if member := s.shards[label]; member != nil && member.session == session {
		member.session = 0
		member.syncedEpoch, member.snapshotTasks = 0, nil
	}
}

// handleHello takes a member's first message over a link, which replaces any earlier link.
func (s *scheduler) handleHello(session uint64, hello *peerproto.Hello) {
	s.shardLabels[session] = hello.Label
	member := s.shards[hello.Label]
	if member == nil {
		member = &shardView{label: hello.Label}
		s.shards[hello.Label] = member
	}
	if member.session != 0 && member.session != session && member.session != loopbackLink {
		s.core.emit(ClosePeer{Session: member.session})
		delete(s.shardLabels, member.session)
	}
	member.bootID, member.session, member.lastHeardAt = hello.BootID, session, s.core.now.Monotonic
	member.syncedEpoch, member.snapshotTasks = 0, nil
	member.messagesSent, member.outbox, member.outboxDue = 0, peerproto.Message{}, false
	for _, view := range s.machines.All() {
		view.cordoned = view.cordoned && view.shard != member.label
	}
	for _, job := range s.queue.All() {
		job.publishedView = peerproto.JobView{} // a new listener knows nothing yet
	}
}

// reportsReachable reports whether a member's link is alive and the member reaches its machines.
func (s *scheduler) reportsReachable(label, boot string) bool {
	member := s.shards[label]
	return member.alive(s.core, boot) && !member.unreachable
}

// reportsUnreachable reports whether a controller is heard and says that it reaches no machine.
func (s *scheduler) reportsUnreachable(label, boot string) bool {
	member := s.shards[label]
	return member.alive(s.core, boot) && member.unreachable
}

// alive reports whether the link of this very process of a member was heard lately.
func (p *shardView) alive(c *Core, boot string) bool {
	return p != nil && p.session != 0 && p.bootID == boot && c.now.Monotonic-p.lastHeardAt < c.peerTimeout()
}

// handleVote takes a controller's vote in a round of the degraded mode.
func (s *scheduler) handleVote(session uint64, vote *degraded.Vote) {
	label := s.shardLabels[session]
	member := s.shards[label]
	if member == nil || member.session != session || !s.leading {
		return
	}
	member.lastHeardAt = s.core.now.Monotonic
	s.core.degraded.handleVote(label, *vote)
}

// handleShardMessage takes a message of a member.
func (s *scheduler) handleShardMessage(session uint64, message *peerproto.Message) {
	label, ok := s.shardLabels[session]
	if !ok {
		return
	}
	if message.Hello != nil {
		s.handleHello(session, message.Hello)
		s.shards[message.Hello.Label].unreachable = message.Unreachable
		return
	}
	member := s.shards[label]
	if member == nil || member.session != session {
		return
	}
	member.lastHeardAt = s.core.now.Monotonic
	member.unreachable = message.Unreachable
	if !s.leading {
		return
	}
	if len(message.Cancelled) > 0 {
		s.core.degraded.cancelJobs(message.Cancelled)
		s.relayCancellations(message.Cancelled, label)
	}
	s.enterEpoch()
	if s.epoch == 0 || message.Epoch != s.epoch || s.core.membership.labelHeldByOther(label, member.bootID) {
		return
	}
	if message.Snapshot && !s.applySnapshot(member, message) || member.syncedEpoch != s.epoch && !message.Snapshot {
		return // the full snapshot is still to come
	}
	s.applyChanges(member, message)
}

// relayCancellations lets all members but one know of jobs that are cancelled.
func (s *scheduler) relayCancellations(jobs []string, except string) {
	for label, member := range s.shards {
		if label != except && label != s.core.settings.Label && member.session != 0 {
			member.outbox.Cancelled, member.outboxDue = append(member.outbox.Cancelled, jobs...), true
		}
	}
}

// applySnapshot takes a chunk of a shard's full snapshot, and reports whether it is the first
// or follows the chunk before. Once it has all chunks it compares the snapshot with what was
// dispatched to the shard: what is neither on one of its machines nor waits there for
// capacity was lost with an earlier link and will never be read.
//
// Guards against taking a dispatch for lost that is still on its way: a snapshot made before
// the shard had read it once had hundreds of tasks started twice.
func (s *scheduler) applySnapshot(member *shardView, message *peerproto.Message) bool {
	if message.Chunk > 0 && (member.snapshotTasks == nil || message.Chunk != member.snapshotChunk+1) {
		return false // its first chunks came before we were in this epoch: it is asked again
	}
	member.snapshotChunk = message.Chunk
	if message.Chunk == 0 {
		s.beginSnapshot(member, message)
	}
	for _, dispatched := range message.Assigned {
		member.snapshotTasks[dispatched.Task] = true
	}
	for i := range message.Machines {
		for _, task := range message.Machines[i].Tasks {
			member.snapshotTasks[task.Task] = true
		}
	}
	if !message.More {
		s.endSnapshot(member)
	}
	return true
}

// beginSnapshot prepares for the chunks of a full snapshot.
func (s *scheduler) beginSnapshot(member *shardView, message *peerproto.Message) {
	member.snapshotTasks, member.snapshotReadSeq = map[string]bool{}, message.ReadSeq
	for _, view := range s.machines.All() {
		if view.shard == member.label {
			view.listedEpoch = 0
		}
	}
}

// endSnapshot drops the dispatches that a full snapshot shows to be lost.
func (s *scheduler) endSnapshot(member *shardView) {
	for _, task := range sortedKeys(s.unplacedAttempts) {
		attempt := s.unplacedAttempts[task]
		if attempt.shard != member.label || attempt.location != locationDispatched || member.snapshotTasks[task] {
			continue
		}
		if attempt.dispatchSession != member.session || attempt.dispatchSeq <= member.snapshotReadSeq {
			s.handleNotPlaced(task, attempt)
		}
	}
	member.snapshotTasks = nil
	member.syncedEpoch = s.epoch
	s.lastScheduling = 0 // its machines are waiting for work
}

// applyChanges takes what a message says of a shard's machines, full snapshot or not.
func (s *scheduler) applyChanges(member *shardView, message *peerproto.Message) {
	for _, name := range message.Released {
		if view := s.machines.Get(name); view != nil && view.shard == member.label {
			view.listedEpoch = 0
		}
	}
	for i := range message.Machines {
		s.applyMachineState(member, &message.Machines[i])
	}
	for _, returned := range message.Returned {
		attempt := s.attempts[returned.Task]
		if attempt != nil && attempt.number == returned.Attempt && attempt.location == locationDispatched {
			s.handleNotPlaced(returned.Task, attempt)
		}
	}
	s.resolveUnlocated()
}

// applyMachineState takes a shard's state of one machine.
func (s *scheduler) applyMachineState(member *shardView, state *peerproto.MachineState) {
	if s.core.fleet.wasDeleted(state.Name) {
		return // the shard has yet to hear of it
	}
	view := s.ensureMachine(state.Name)
	view.listedEpoch = s.epoch
	if state.Partial {
		s.completePartial(member, view, state)
	}
	// Only now: a partial state names no type, and a machine that was first published before
	// the types were known got no work for ever.
	if view.machineType == nil {
		view.machineType = s.core.machineTypes()[state.Type]
	}
	s.applyImages(view, state)
	if view.state.TasksComplete && !state.TasksComplete {
		view.incompleteSince = s.core.now.Monotonic
	}
	wasUp, tasks := view.state.AcceptsTasks, state.Tasks
	view.state, view.shard = *state, member.label
	view.state.Tasks, view.state.RemovedTasks, view.state.Images = nil, nil, nil
	if state.AcceptsTasks && !wasUp && view.upSince < 0 {
		s.machineCameUp(view, state.Type)
	}
	for i := range tasks {
		s.applyTaskState(member, view, state, &tasks[i])
	}
	if view.listComplete() {
		s.releaseUnlisted(view, state)
	}
	if len(view.attempts) > 0 {
		view.emptySince = s.core.now.Monotonic
	}
}

// completePartial fills in what a partial state leaves out because it never changes.
func (s *scheduler) completePartial(member *shardView, view *machineView, state *peerproto.MachineState) {
	known := &view.state
	state.Addr, state.Type, state.Zone, state.Spot = known.Addr, known.Type, known.Zone, known.Spot
	if state.Type == "" {
		// We have no full state of the machine, and would never be sent one again: it would
		// be up and get no work for ever.
		member.outbox.Resync, member.outboxDue = true, true
	}
}

// applyImages takes which images a machine has, if the state tells.
func (s *scheduler) applyImages(view *machineView, state *peerproto.MachineState) {
	if state.Images == nil && state.Partial {
		return
	}
	view.images = map[string]bool{}
	for _, image := range state.Images {
		view.images[image] = true
	}
}

// machineCameUp notes that a machine is up for the first time.
func (s *scheduler) machineCameUp(view *machineView, typeName string) {
	view.upSince = s.core.now.Monotonic
	delete(s.core.fleet.failedBoots, typeName)
	view.emptySince = s.core.now.Monotonic
}

// releaseUnlisted takes back the claims of a machine, whose list is complete, on tasks that
// it no longer has.
func (s *scheduler) releaseUnlisted(view *machineView, state *peerproto.MachineState) {
	if state.Partial {
		for _, task := range state.RemovedTasks {
			if attempt := view.attempts[task]; attempt != nil {
				s.releaseClaim(task, attempt, view)
			}
		}
		return
	}
	listed := map[string]bool{}
	for i := range state.Tasks {
		if state.Tasks[i].State != protocol.TaskExited {
			listed[state.Tasks[i].Task] = true
		}
	}
	for _, task := range sortedKeys(view.attempts) {
		if !listed[task] {
			s.releaseClaim(task, view.attempts[task], view)
		}
	}
}

// applyTaskState takes the state of one task on a machine.
func (s *scheduler) applyTaskState(member *shardView, view *machineView, machine *peerproto.MachineState, task *peerproto.TaskState) {
	jobID, taskIndex, err := protocol.ParseTaskName(task.Task)
	if err != nil {
		return
	}
	job := s.core.records.acceptedJob(jobID)
	if job == nil {
		// The shard's mirror is ahead of ours. It publishes a task once, so it must be
		// asked again.
		member.outbox.Resync, member.outboxDue = true, true
		return
	}
	attempt := s.attempts[task.Task]
	if task.State == protocol.TaskExited {
		if view.listComplete() {
			s.taskExited(view, job, taskIndex, task, attempt)
		}
		return
	}
	if attempt == nil {
		if attempt = s.discoverAttempt(job, taskIndex, task); attempt == nil {
			return
		}
	}
	// Whatever lists a task holds it, even if another machine is thought to have it: an old
	// list of a dead machine once hid the machine that really ran it, and the task was
	// started again when the dead one was deleted.
	attempt.claimants[machine.Name] = true
	view.claim(task.Task, attempt, s.core.now.Monotonic)
	if attempt.number != task.Attempt && !s.supersedes(machine, attempt) {
		return
	}
	attempt.machine, attempt.shard, attempt.location = machine.Name, member.label, locationClaimed
	attempt.number, attempt.taskState = task.Attempt, task.State
	if task.State == protocol.TaskRunning && attempt.runningSince == 0 {
		attempt.runningSince = s.core.now.Monotonic
		s.recordStartLatency(job)
	}
}

// discoverAttempt begins to keep an attempt that a machine lists and this leader did not know.
// It returns nil for a job that is neither queued nor over.
func (s *scheduler) discoverAttempt(job *jobEntry, taskIndex int, task *peerproto.TaskState) *inflightAttempt {
	jobID := job.record.Spec.ID
	queued := s.queue.Get(jobID)
	if queued == nil {
		if !job.isFinal() {
			return nil
		}
		queued = newQueuedJob(job)
		s.queue.Set(jobID, queued)
	}
	attempt := &inflightAttempt{job: queued, taskIndex: taskIndex, number: task.Attempt, claimants: map[string]bool{}}
	s.trackAttempt(task.Task, attempt)
	return attempt
}

// supersedes reports whether a machine's list counts for more than what is known of an attempt,
// although it names another number of it.
func (s *scheduler) supersedes(machine *peerproto.MachineState, attempt *inflightAttempt) bool {
	if attempt.location == locationDispatched || !machine.TasksComplete {
		return false
	}
	other := s.machines.Get(attempt.machine)
	return other == nil || !other.state.TasksComplete || attempt.machine == machine.Name
}

// recordStartLatency notes how long a job has waited for a task that is now running.
func (s *scheduler) recordStartLatency(job *jobEntry) {
	millis := int64((s.core.now.Wall - job.waitingSince()) * 1000)
	latencies := s.startLatencies[urgencyLevel(job.record.Spec.Urgency)]
	_ = latencies.RecordValue(min(max(millis, 1), maxStartLatencyMillis)) // within bounds
}

// taskExited takes a task that has ended on its machine.
func (s *scheduler) taskExited(view *machineView, job *jobEntry, taskIndex int, task *peerproto.TaskState, attempt *inflightAttempt) {
	queued := s.queue.Get(job.record.Spec.ID)
	if queued == nil || job.isFinal() {
		return
	}
	switch task.ExitReason {
	case protocol.ExitDone:
		if job.record.Spec.Kind == protocol.KindService || queued.taskDone(taskIndex) {
			return
		}
		s.taskCompleted(view, queued, taskIndex, task)
	case protocol.ExitStopped:
		queued.stoppedTasks[taskIndex] = true
	case protocol.ExitFailed:
		// Not if this is what remains of an earlier attempt.
		if attempt != nil && attempt.number == task.Attempt {
			s.taskFailed(view, queued, taskIndex)
		}
	}
	if causesBackoff(task.ExitReason) {
		view.backoffUntil[queued.id] = s.core.now.Monotonic + s.core.intervals.machineBackoff
	}
}

// taskCompleted takes a task that has completed and has yet to be made durable.
func (s *scheduler) taskCompleted(view *machineView, job *queuedJob, taskIndex int, task *peerproto.TaskState) {
	job.unsavedTasks[taskIndex] = true
	s.unsavedJobs[job.id] = job
	s.progressSaveDue = s.progressSaveDue || job.complete()
	if job.saveDueAt == 0 {
		job.saveDueAt = s.core.now.Monotonic + s.core.intervals.workerLease/progressSavesPerLease
	}
	if task.RanSeconds > 0 && !job.stoppedTasks[taskIndex] {
		s.core.estimator.taskCompleted(job, task.RanSeconds)
	}
	view.failedJobs = map[string]bool{}
}

// publishJobViews lets every node know what to tell users of the jobs that have changed.
func (s *scheduler) publishJobViews() {
	var views []peerproto.JobView
	for _, job := range s.queue.All() {
		view := s.jobView(job)
		if view != job.publishedView {
			job.publishedView = view
			views = append(views, view)
		}
	}
	for _, member := range s.shards {
		if member.session != 0 {
			member.outbox.Views = append(member.outbox.Views, views...)
			member.outboxDue = true // also tells the shard that its leader lives
		}
	}
}

// jobView is what users are told of a job. It notes how long its longest task has run.
func (s *scheduler) jobView(job *queuedJob) peerproto.JobView {
	view := peerproto.JobView{Job: job.id, Reason: job.reason}
	job.longestRunning = 0
	for _, attempt := range job.inflight {
		if attempt.runningSince > 0 {
			job.longestRunning = max(job.longestRunning, s.core.now.Monotonic-attempt.runningSince)
		}
		if attempt.taskState == protocol.TaskRunning || attempt.taskState == protocol.TaskSaving {
			view.Running++
		}
	}
	return view
}
