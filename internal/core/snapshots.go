package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/degraded"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// This file holds the leader's side of the links to the members: it applies what the shards publish about
// their machines and publishes the views of jobs to the members.

// progressSavesPerLease limits how often a job's progress, the set of its completed tasks, is written:
// this many times per worker lease.
const progressSavesPerLease = 4

// shardView is the leader's state of one member, its link and its shard.
type shardView struct {
	label, bootID string
	session       uint64 // of the link to the member, 0: not connected
	lastHeardAt   time.Duration
	unreachable   bool // the member reports that it reaches no machine

	syncedEpoch     uint64          // the epoch of its last full snapshot, 0: none on this link in the current epoch
	snapshotTasks   map[string]bool // tasks named by the chunks received so far, nil: no snapshot is in progress
	snapshotChunk   int             // number of the last chunk received
	snapshotReadSeq uint64          // sequence number of the last leader message read before the snapshot

	messagesSent uint64 // number of messages sent over the link
	outbox       peerproto.Message
	outboxDue    bool
}

// memberLinkUp registers a link that a member has opened. The member's label is known only once its
// hello has arrived.
func (s *scheduler) memberLinkUp(session uint64) {
	s.shardLabels[session] = ""
	if session == loopbackLink {
		s.handleHello(session, &peerproto.Hello{Label: s.core.settings.Label, BootID: s.core.bootID})
	}
}

// memberLinkDown removes a link that has closed. Its member has to send a new snapshot.
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

// handleHello handles a member's first message over a link. The new link replaces any earlier one.
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
		job.publishedView = peerproto.JobView{} // the new link's member has no views yet, so all are sent again
	}
}

// reportsReachable reports whether a controller's link is alive and its last report does not say that
// it is unable to reach any machine.
func (s *scheduler) reportsReachable(label, bootID string) bool {
	member := s.shards[label]
	return member.alive(s.core, bootID) && !member.unreachable
}

// reportsUnreachable reports whether a controller's link is alive and its last report says that it is
// unable to reach any machine.
func (s *scheduler) reportsUnreachable(label, bootID string) bool {
	member := s.shards[label]
	return member.alive(s.core, bootID) && member.unreachable
}

// alive reports whether the member's link belongs to the process with the given boot ID and has received
// a message within the peer timeout. The receiver may be nil.
func (member *shardView) alive(c *Core, bootID string) bool {
	return member != nil && member.session != 0 && member.bootID == bootID && c.now.Monotonic-member.lastHeardAt < c.peerTimeout()
}

// handleVote handles a controller's vote in a round of the degraded mode.
func (s *scheduler) handleVote(session uint64, vote *degraded.Vote) {
	label := s.shardLabels[session]
	member := s.shards[label]
	if member == nil || member.session != session || !s.leading {
		return
	}
	member.lastHeardAt = s.core.now.Monotonic
	s.core.degraded.handleVote(label, *vote)
}

// handleShardMessage handles a message from a member. A hello and a member's reachability are recorded
// in any case, cancellations while this controller leads. Everything else is ignored unless the message
// is of the leader's current epoch and belongs to or follows a full snapshot.
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
		return // wait for a full snapshot from its first chunk on
	}
	s.applyChanges(member, message)
}

// relayCancellations forwards the IDs of cancelled jobs to every connected member other than this
// controller itself and the given one, usually the member that reported the cancellations.
func (s *scheduler) relayCancellations(jobs []string, except string) {
	for label, member := range s.shards {
		if label != except && label != s.core.settings.Label && member.session != 0 {
			member.outbox.Cancelled, member.outboxDue = append(member.outbox.Cancelled, jobs...), true
		}
	}
}

// applySnapshot applies a chunk of a shard's full snapshot. It reports false for a chunk that is not the
// first and does not follow the last one received. After the last chunk, the snapshot is compared with
// the dispatches to the shard: a task that is neither on one of the shard's machines nor waits in the
// shard for capacity was lost with an earlier link, and the shard will never read its dispatch.
//
// A dispatch that the shard had not yet read when it made the snapshot must not count as lost: when
// such dispatches did, hundreds of tasks were started twice.
func (s *scheduler) applySnapshot(member *shardView, message *peerproto.Message) bool {
	if message.Chunk > 0 && (member.snapshotTasks == nil || message.Chunk != member.snapshotChunk+1) {
		// The first chunks arrived before this leader entered the epoch. It requests a new snapshot
		// when it enters.
		return false
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

// beginSnapshot prepares for the chunks of a full snapshot: the member's machines count as unlisted until
// a chunk lists them.
func (s *scheduler) beginSnapshot(member *shardView, message *peerproto.Message) {
	member.snapshotTasks, member.snapshotReadSeq = map[string]bool{}, message.ReadSeq
	for _, view := range s.machines.All() {
		if view.shard == member.label {
			view.listedEpoch = 0
		}
	}
}

// endSnapshot drops the dispatches that a complete snapshot shows to be lost, and marks the member as
// synced.
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
	s.lastScheduling = 0 // run a scheduling round now, as tasks can be dispatched to its machines
}

// applyChanges applies the changes in a message: released machines, machine states and returned tasks.
// This holds for a delta as well as for a chunk of a full snapshot.
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

// applyMachineState applies the state of one machine as published by its shard.
func (s *scheduler) applyMachineState(member *shardView, state *peerproto.MachineState) {
	if s.core.fleet.wasDeleted(state.Name) {
		return // the shard has not learned of the deletion yet
	}
	view := s.ensureMachine(state.Name)
	view.listedEpoch = s.epoch
	if state.Partial {
		s.completePartial(member, view, state)
	}
	// This must follow completePartial, because a partial state does not name the type. Otherwise a
	// machine that was first published before the types were known would never be given tasks.
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

// completePartial fills in the fields that a partial state omits because they never change.
func (s *scheduler) completePartial(member *shardView, view *machineView, state *peerproto.MachineState) {
	known := &view.state
	state.Addr, state.Type, state.Zone, state.Spot = known.Addr, known.Type, known.Zone, known.Spot
	if state.Type == "" {
		// This leader has no full state of the machine, and without a request the shard would not
		// send it again: the machine would be up but never be given tasks.
		member.outbox.Resync, member.outboxDue = true, true
	}
}

// applyImages updates the images cached on a machine. A partial state without images leaves them
// unchanged.
func (s *scheduler) applyImages(view *machineView, state *peerproto.MachineState) {
	if state.Images == nil && state.Partial {
		return
	}
	view.images = map[string]bool{}
	for _, image := range state.Images {
		view.images[image] = true
	}
}

// machineCameUp handles a machine that accepts tasks for the first time.
func (s *scheduler) machineCameUp(view *machineView, typeName string) {
	view.upSince = s.core.now.Monotonic
	delete(s.core.fleet.failedBoots, typeName)
	view.emptySince = s.core.now.Monotonic
}

// releaseUnlisted releases a machine's claims on tasks that it no longer has. The machine's task list
// must be complete.
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

// applyTaskState applies the state of one task on a machine.
func (s *scheduler) applyTaskState(member *shardView, view *machineView, machine *peerproto.MachineState, task *peerproto.TaskState) {
	jobID, taskIndex, err := protocol.ParseTaskName(task.Task)
	if err != nil {
		return
	}
	job := s.core.records.acceptedJob(jobID)
	if job == nil {
		// The shard's mirror is ahead of this leader's. The shard publishes a task only once, so
		// it must be asked for a new snapshot.
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
	// Every machine that lists a task claims it, even if the task is believed to be on another
	// machine. An outdated list of a dead machine once hid the machine that actually ran the task, and
	// the task was started again when the dead machine was deleted.
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

// discoverAttempt starts tracking an attempt that a machine lists but that this leader did not know. It
// returns nil if the job is unfinished but not in the queue.
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

// supersedes reports whether a machine's list of a task replaces what is known of an attempt of it,
// although the list names a different attempt number. It does so if the list is complete, the attempt
// is not awaiting placement, and no other machine with a complete list is believed to have it.
func (s *scheduler) supersedes(machine *peerproto.MachineState, attempt *inflightAttempt) bool {
	if attempt.location == locationDispatched || !machine.TasksComplete {
		return false
	}
	believedMachine := s.machines.Get(attempt.machine)
	return believedMachine == nil || !believedMachine.state.TasksComplete || attempt.machine == machine.Name
}

// recordStartLatency records how long a job had waited when one of its tasks began to run.
func (s *scheduler) recordStartLatency(job *jobEntry) {
	millis := int64((s.core.now.Wall - job.waitingSince()) * 1000)
	latencies := s.startLatencies[urgencyLevel(job.record.Spec.Urgency)]
	_ = latencies.RecordValue(min(max(millis, 1), maxStartLatencyMillis)) // fails only for values out of range
}

// taskExited handles a task that has ended on its machine, unless its job is already finished.
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
		// An earlier attempt of the task may still be listed; its failure is not counted.
		if attempt != nil && attempt.number == task.Attempt {
			s.taskFailed(view, queued, taskIndex)
		}
	}
	if causesBackoff(task.ExitReason) {
		view.backoffUntil[queued.id] = s.core.now.Monotonic + s.core.intervals.machineBackoff
	}
}

// taskCompleted handles a completed task: it schedules the write that makes the completion durable and
// updates the duration estimate and the machine's failure record.
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

// publishJobViews sends every connected controller the views of the jobs that have changed, from which
// the controllers respond to users.
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
			member.outboxDue = true // also sent without views, to confirm that the leader is alive
		}
	}
}

// jobView returns the part of a job's status that only the leader knows. As a side effect it updates the
// job's longestRunning.
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
