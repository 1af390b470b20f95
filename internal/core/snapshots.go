package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/degraded"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// What the parts tell the leader of their machines, and what it lets them know.

// shardView is a member as the leader hears it.
type shardView struct {
	label, boot     string
	session         uint64
	lastHeardAt     time.Duration
	syncedEpoch     uint64          // epoch of the last whole picture
	snapshotTasks   map[string]bool // tasks that the pieces of one have named so far, nil: none is under way
	snapshotChunk   int             // the last of them
	snapshotReadSeq uint64          // the last of our messages that it takes account of
	unreachable     bool
	messagesSent    uint64 // messages sent over the session
	outbox          peerproto.Message
	outboxDue       bool
}

func (o *scheduler) memberLinkUp(session uint64) {
	o.shardLabels[session] = ""
	if session == loopbackLink {
		o.handleHello(session, &peerproto.Hello{Label: o.core.settings.Label, BootID: o.core.bootID})
	}
}

func (o *scheduler) memberLinkDown(session uint64) {
	label, ok := o.shardLabels[session]
	if !ok {
		return
	}
	delete(o.shardLabels, session)
	if p := o.shards[label]; p != nil && p.session == session {
		p.session = 0
		p.syncedEpoch, p.snapshotTasks = 0, nil
	}
}

func (o *scheduler) handleHello(session uint64, h *peerproto.Hello) {
	o.shardLabels[session] = h.Label
	p := o.shards[h.Label]
	if p == nil {
		p = &shardView{label: h.Label}
		o.shards[h.Label] = p
	}
	if p.session != 0 && p.session != session && p.session != loopbackLink {
		o.core.emit(ClosePeer{Session: p.session})
		delete(o.shardLabels, p.session)
	}
	p.boot, p.session, p.lastHeardAt, p.syncedEpoch, p.messagesSent, p.snapshotTasks = h.BootID, session, o.core.now.Monotonic, 0, 0, nil
	p.outbox, p.outboxDue = peerproto.Message{}, false
	for _, v := range o.machines.all() {
		v.cordoned = v.cordoned && v.shard != p.label
	}
	for _, q := range o.queue.all() {
		q.publishedView = peerproto.JobView{} // a new listener knows nothing yet
	}
}

// hearsMember reports whether a member's link stands and is alive.
func (o *scheduler) hearsMember(label, boot string) bool {
	p := o.shards[label]
	return p.alive(o.core, boot) && !p.unreachable
}

// reportsUnreachable reports whether a controller is heard and says that it reaches no machine.
func (o *scheduler) reportsUnreachable(label, boot string) bool {
	p := o.shards[label]
	return p.alive(o.core, boot) && p.unreachable
}

func (p *shardView) alive(c *Core, boot string) bool {
	return p != nil && p.session != 0 && p.boot == boot && c.now.Monotonic-p.lastHeardAt < 2*c.intervals.heartbeat+c.intervals.maintenance
}

// handleVote takes what a controller says in a round of the vigil.
func (o *scheduler) handleVote(session uint64, w *degraded.Vote) {
	label := o.shardLabels[session]
	p := o.shards[label]
	if p == nil || p.session != session || !o.leading {
		return
	}
	p.lastHeardAt = o.core.now.Monotonic
	o.core.degraded.handleVote(label, *w)
}

func (o *scheduler) handleShardMessage(session uint64, m *peerproto.Message) {
	label, ok := o.shardLabels[session]
	if !ok {
		return
	}
	if m.Hello != nil {
		o.handleHello(session, m.Hello)
		o.shards[m.Hello.Label].unreachable = m.Unreachable
		return
	}
	p := o.shards[label]
	if p == nil || p.session != session {
		return
	}
	p.lastHeardAt = o.core.now.Monotonic
	p.unreachable = m.Unreachable
	if !o.leading {
		return
	}
	if len(m.Cancelled) > 0 {
		o.core.degraded.cancelJobs(m.Cancelled)
		o.relayCancellations(m.Cancelled, label)
	}
	o.enterEpoch()
	if o.epoch == 0 || m.Epoch != o.epoch || o.core.membership.labelHeldByOther(label, p.boot) {
		return
	}
	switch {
	case m.Snapshot:
		if m.Chunk > 0 && (p.snapshotTasks == nil || m.Chunk != p.snapshotChunk+1) {
			return // its first pieces came before we were in this epoch: it is asked again
		}
		o.applySnapshot(p, m)
	case p.syncedEpoch != o.epoch:
		return // its whole picture is still to come
	}
	for _, name := range m.Released {
		if v := o.machines.get(name); v != nil && v.shard == p.label {
			v.listedEpoch = 0
		}
	}
	for i := range m.Machines {
		o.applyMachineState(p, &m.Machines[i])
	}
	for _, t := range m.Returned {
		if f := o.attempts[t.Task]; f != nil && f.number == t.Attempt && f.awaitingPlacement {
			f.awaitingPlacement = false
			o.retireIfGone(t.Task, f)
		}
	}
	o.resolveUnlocated()
}

// relayCancellations lets all members but one know of jobs that are cancelled.
func (o *scheduler) relayCancellations(jobs []string, but string) {
	for label, p := range o.shards {
		if label != but && label != o.core.settings.Label && p.session != 0 {
			p.outbox.Cancelled, p.outboxDue = append(p.outbox.Cancelled, jobs...), true
		}
	}
}

// applySnapshot takes a piece of a part's whole picture. Once it has all of them it compares
// the picture with what was dispatched to the part: what is neither on one of its
// machines nor assigned there was lost with an earlier link and will never be read.
//
// Guards against taking a dispatch for lost that is still on its way: a picture
// made before the part had read it once had hundreds of tasks started twice.
func (o *scheduler) applySnapshot(p *shardView, m *peerproto.Message) {
	p.snapshotChunk = m.Chunk
	if m.Chunk == 0 {
		p.snapshotTasks, p.snapshotReadSeq = map[string]bool{}, m.ReadSeq
		for _, v := range o.machines.all() {
			if v.shard == p.label {
				v.listedEpoch = 0
			}
		}
	}
	for _, t := range m.Assigned {
		p.snapshotTasks[t.Task] = true
	}
	for i := range m.Machines {
		for _, t := range m.Machines[i].Tasks {
			p.snapshotTasks[t.Task] = true
		}
	}
	if m.More {
		return
	}
	for _, name := range sortedKeys(o.unplacedAttempts) {
		if f := o.unplacedAttempts[name]; f.shard == p.label && f.awaitingPlacement && !p.snapshotTasks[name] && (f.dispatchSession != p.session || f.dispatchSeq <= p.snapshotReadSeq) {
			f.awaitingPlacement = false
			o.retireIfGone(name, f)
		}
	}
	p.snapshotTasks = nil
	p.syncedEpoch = o.epoch
	o.lastScheduling = 0 // its machines are waiting for work
}

// applyMachineState takes a part's picture of one machine.
func (o *scheduler) applyMachineState(p *shardView, s *peerproto.MachineState) {
	if o.core.fleet.wasDeleted(s.Name) {
		return // the part has yet to hear of it
	}
	v := o.ensureMachine(s.Name)
	v.listedEpoch = o.epoch
	wasUp := v.state.AcceptsTasks
	if s.Partial {
		old := &v.state
		s.Addr, s.Type, s.Zone, s.Spot = old.Addr, old.Type, old.Zone, old.Spot
		if s.Type == "" {
			// We have no whole picture of it, and it would never be told again: the
			// machine was up and got no work for ever.
			p.outbox.Resync, p.outboxDue = true, true
		}
	}
	// Only now: a partial picture names no type, and a machine that was first told of
	// before the types were known got no work for ever.
	if v.machineType == nil {
		v.machineType = o.core.machineTypes()[s.Type]
	}
	if s.Images != nil || !s.Partial {
		v.images = map[string]bool{}
		for _, image := range s.Images {
			v.images[image] = true
		}
	}
	if v.state.TasksComplete && !s.TasksComplete {
		v.unsureSince = o.core.now.Monotonic
	}
	tasks := s.Tasks
	v.state, v.shard = *s, p.label
	v.state.Tasks, v.state.RemovedTasks, v.state.Images = nil, nil, nil
	if s.AcceptsTasks && !wasUp && v.upSince < 0 {
		v.upSince = o.core.now.Monotonic
		delete(o.core.fleet.failedBoots, s.Type)
		v.emptySince = o.core.now.Monotonic
	}
	for i := range tasks {
		o.applyTaskState(p, v, s, &tasks[i])
	}
	switch {
	case !v.listComplete():
	case s.Partial:
		for _, name := range s.RemovedTasks {
			if f := v.attempts[name]; f != nil {
				o.releaseClaim(name, f, v)
			}
		}
	default:
		listed := map[string]bool{}
		for i := range tasks {
			if tasks[i].State != protocol.TaskExited {
				listed[tasks[i].Task] = true
			}
		}
		for _, name := range sortedKeys(v.attempts) {
			if !listed[name] {
				o.releaseClaim(name, v.attempts[name], v)
			}
		}
	}
	if len(v.attempts) > 0 {
		v.emptySince = o.core.now.Monotonic
	}
}

func (o *scheduler) applyTaskState(p *shardView, v *machineView, s *peerproto.MachineState, t *peerproto.TaskState) {
	ref, index, err := protocol.ParseTaskName(t.Task)
	if err != nil {
		return
	}
	j := o.core.records.acceptedJob(ref)
	if j == nil {
		// The part's mirror is ahead of ours. It tells a task once, so it must
		// be asked again.
		p.outbox.Resync, p.outboxDue = true, true
		return
	}
	f := o.attempts[t.Task]
	if t.State == protocol.TaskExited {
		if f != nil && f.number != t.Attempt && f.machine != "" {
			f = nil // the remains of an earlier attempt
		}
		if v.listComplete() {
			o.taskExited(v, j, index, t, f)
		}
		return
	}
	if f == nil {
		q := o.queue.get(ref)
		if q == nil {
			if j.isFinal() {
				q = newQueuedJob(j)
				o.queue.set(ref, q)
			} else {
				return
			}
		}
		f = &inflightAttempt{job: q, taskIndex: index, number: t.Attempt, claimants: map[string]bool{}}
		o.trackAttempt(t.Task, f)
	}
	// Whatever lists a task holds it, even if another machine is thought to have
	// it: an old list of a dead machine once hid the machine that really ran it,
	// and the task was started again when the dead one was deleted.
	f.claimants[s.Name] = true
	v.claim(t.Task, f, o.core.now.Monotonic)
	if f.number != t.Attempt {
		if other := o.machines.get(f.machine); f.awaitingPlacement || !s.TasksComplete || other != nil && other.state.TasksComplete && f.machine != s.Name {
			return
		}
	}
	f.machine, f.shard, f.unlocated, f.awaitingPlacement, f.number, f.taskState = s.Name, p.label, false, false, t.Attempt, t.State
	if t.State == protocol.TaskRunning && f.runningSince == 0 {
		f.runningSince = o.core.now.Monotonic
		wait := (o.core.now.Wall - j.waitingSince()) * 1000
		_ = o.startLatencies[urgencyLevel(j.record.Spec.Urgency)].RecordValue(min(max(int64(wait), 1), maxStartLatencyMillis)) // within bounds
	}
}

// taskExited takes a task that has ended on its machine.
func (o *scheduler) taskExited(v *machineView, j *jobEntry, index int, t *peerproto.TaskState, f *inflightAttempt) {
	q := o.queue.get(j.record.Spec.ID)
	if q == nil || j.isFinal() {
		return
	}
	switch t.ExitReason {
	case protocol.ExitDone:
		if j.record.Spec.Kind == protocol.KindService || q.taskDone(index) {
			return
		}
		q.unsavedTasks[index] = true
		o.unsavedJobs[q.id] = q
		o.progressSaveDue = o.progressSaveDue || q.complete()
		if q.saveDueAt == 0 {
			q.saveDueAt = o.core.now.Monotonic + o.core.intervals.workerLease/4
		}
		if t.RanSeconds > 0 && !q.stoppedTasks[index] {
			o.core.estimator.taskCompleted(q, t.RanSeconds)
		}
		v.failedJobs = map[string]bool{}
	case protocol.ExitStopped:
		q.stoppedTasks[index] = true
	case protocol.ExitFailed:
		if f != nil && f.number == t.Attempt {
			o.taskFailed(v, q, index)
		}
	}
	if causesBackoff(t.ExitReason) {
		v.backoffUntil[q.id] = o.core.now.Monotonic + o.core.intervals.machineBackoff
	}
}

// publishJobViews lets every node know what to say about the jobs.
func (o *scheduler) publishJobViews() {
	var views []peerproto.JobView
	for id, q := range o.queue.all() {
		v := peerproto.JobView{Job: id, Reason: q.reason}
		q.longestRunning = 0
		for _, f := range q.inflight {
			if f.runningSince > 0 {
				q.longestRunning = max(q.longestRunning, o.core.now.Monotonic-f.runningSince)
			}
			if f.taskState == protocol.TaskRunning || f.taskState == protocol.TaskSaving {
				v.Running++
			}
		}
		if v != q.publishedView {
			q.publishedView = v
			views = append(views, v)
		}
	}
	for _, p := range o.shards {
		if p.session != 0 {
			p.outbox.Views = append(p.outbox.Views, views...)
			p.outboxDue = true // also tells the part that its leader lives
		}
	}
}
