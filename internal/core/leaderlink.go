package core

import (
	"slices"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// The link of a shard to the leader: the leader's commands, and what the shard publishes.

// loopbackLink is the session of the link between the shard and the scheduler of one controller.
const loopbackLink = ^uint64(0)

// peerTimeout is how long a link between controllers may carry no message before the other end
// counts as unreachable. Both ends send a message in every maintenance round.
func (c *Core) peerTimeout() time.Duration {
	return 2*c.intervals.heartbeat + c.intervals.maintenance
}

// leaderLinkUp handles a new link to the leader. The shard publishes a full snapshot over it;
// messages of earlier links are no longer read.
func (s *shard) leaderLinkUp(session uint64) {
	s.leaderLink, s.fullSnapshotDue, s.lastLeaderSeq = session, true, 0
	for _, m := range s.machines.All() {
		if m.cordoned {
			m.cordoned = false // the new leader cordons it again if necessary
			s.markCapacityChanged(m)
		}
	}
	s.leaderHeardAt = s.core.now.Monotonic
	hello := peerproto.Hello{Label: s.core.settings.Label, BootID: s.core.bootID}
	s.core.emit(SendToPeer{Session: session, Message: peerproto.Message{Hello: &hello, Unreachable: s.reachability.Unreachable()}})
}

// leaderLinkDown handles the end of a link, if it is the one to the leader.
func (s *shard) leaderLinkDown(session uint64) {
	if s.leaderLink == session {
		s.leaderLink = 0
	}
}

// handleLeaderMessage applies a message of the leader. Its commands have no effect if they are of
// another epoch.
func (s *shard) handleLeaderMessage(message *peerproto.Message) {
	c := s.core
	s.leaderHeardAt, s.lastLeaderSeq = c.now.Monotonic, message.Seq
	for _, view := range message.Views {
		if job := c.records.acceptedJob(view.Job); job != nil {
			job.leaderView = view
		}
	}
	c.degraded.cancelJobs(message.Cancelled)
	if message.Epoch != s.epoch || !s.isMember {
		return
	}
	s.fullSnapshotDue = s.fullSnapshotDue || message.Resync
	for i := range message.Dispatch {
		s.handleDispatch(&message.Dispatch[i])
	}
	s.resolveHeld(message.StartHeld, func(m *machine, a *taskAttempt) bool {
		a.phase, a.state, a.published = phaseQueued, "", false
		s.expedite(m)
		return true
	})
	s.resolveHeld(message.ReleaseHeld, func(*machine, *taskAttempt) bool { return false })
	for i := range message.Stop {
		s.handleStop(&message.Stop[i])
	}
	s.setCordoned(message.Cordon, true)
	s.setCordoned(message.Uncordon, false)
	s.drain(message.Drain)
}

// handleDispatch accepts an attempt that the leader dispatches: for any machine of the shard or, if
// its job is a gang, for the machine that the dispatch names. It returns an attempt that must not
// run, and one of a gang if that machine cannot take it.
func (s *shard) handleDispatch(dispatch *peerproto.TaskAttempt) {
	c := s.core
	jobID, taskIndex, err := protocol.ParseTaskName(dispatch.Task)
	job := c.records.acceptedJob(jobID)
	if err != nil || s.mustNotRun(jobID, job) || job.isTaskDone(taskIndex) {
		s.returned = append(s.returned, peerproto.TaskAttempt{Task: dispatch.Task, Attempt: dispatch.Attempt})
		return
	}
	a := &taskAttempt{
		task: dispatch.Task, jobID: jobID, taskIndex: taskIndex, number: dispatch.Attempt,
		recordVersion: dispatch.Version, spec: &job.record.Spec,
	}
	switch {
	case dispatch.Machine == "":
		a.unplacedSince = c.now.Monotonic
		s.unplaced = append(s.unplaced, a)
		s.placementDue = true
	case !s.holdForGang(dispatch.Machine, a, job):
		s.returnTask(a)
	}
}

// handleStop requests the stop of a task that the leader preempts.
func (s *shard) handleStop(stop *peerproto.StopTask) {
	m := s.machines.Get(stop.Machine)
	if m == nil {
		return
	}
	for _, a := range m.attempts {
		if a.task == stop.Task && a.live() {
			a.stopRequested, a.stopNow = true, stop.Immediately
			s.expedite(m)
			s.core.logDebug("stopping task at the leader's request", "task", a.task, "machine", m.name, "why", stop.Reason)
		}
	}
}

// setCordoned cordons machines, so that no new tasks are placed on them, or uncordons them.
func (s *shard) setCordoned(names []string, cordoned bool) {
	for _, name := range names {
		if m := s.machines.Get(name); m != nil {
			m.cordoned = cordoned
			s.markCapacityChanged(m)
		}
	}
}

// drain marks machines so that no new tasks are placed on them for the rest of this epoch.
func (s *shard) drain(names []string) {
	for _, name := range names {
		if m := s.machines.Get(name); m != nil && !m.draining {
			m.draining = true
			s.markChanged(m)
		}
	}
}

// publish sends changes to the leader. Without changes it sends an empty message once in each
// maintenance period, as a keepalive.
func (s *shard) publish() {
	c := s.core
	if s.leaderLink == 0 {
		s.confirmedCancellations = nil // without a leader they cannot be relayed
		return
	}
	if s.closeSilentLink() {
		return
	}
	// A leader of an older version accepts every full snapshot of this label as the member's, also
	// if the shard map names another process. Therefore this process sends none in that case.
	full := s.fullSnapshotDue && !c.membership.labelHeldByOther(c.settings.Label, c.bootID)
	message := s.nextMessage(full)
	if !full && !hasChanges(&message) && c.now.Monotonic-s.lastPublishedAt < c.intervals.maintenance {
		return
	}
	s.fullSnapshotDue = s.fullSnapshotDue && !full
	s.returned, s.confirmedCancellations = nil, nil
	s.lastPublishedAt = c.now.Monotonic
	if s.leaderLink == loopbackLink {
		c.loopback = append(c.loopback, func() { c.scheduler.handleShardMessage(loopbackLink, &message) })
		return
	}
	for _, chunk := range message.MemberChunks() {
		c.emit(SendToPeer{Session: s.leaderLink, Message: chunk})
	}
}

// closeSilentLink closes the link to a leader that has sent nothing for longer than peerTimeout, and
// reports whether it does so.
func (s *shard) closeSilentLink() bool {
	c := s.core
	if s.leaderLink == loopbackLink || c.now.Monotonic-s.leaderHeardAt <= c.peerTimeout() {
		return false
	}
	c.logInfo("no message from the leader within the peer timeout, reconnecting")
	c.emit(ClosePeer{Session: s.leaderLink})
	s.leaderLink = 0
	return true
}

// nextMessage returns the message to publish, with the changes or a full snapshot, and marks its
// content as published.
func (s *shard) nextMessage(full bool) peerproto.Message {
	message := peerproto.Message{
		Epoch: s.epoch, Unreachable: s.reachability.Unreachable(),
		Returned: s.returned, Cancelled: s.confirmedCancellations,
	}
	machines := s.unpublished
	if full {
		message.Snapshot, message.ReadSeq = true, s.lastLeaderSeq
		for _, a := range s.unplaced {
			message.Assigned = append(message.Assigned, peerproto.TaskAttempt{Task: a.task, Attempt: a.number})
		}
		machines = machines[:0]
		for _, m := range s.machines.All() {
			machines = append(machines, m)
		}
	} else {
		message.Released = s.releasedMachines
		slices.SortFunc(machines, func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	}
	message.Machines = make([]peerproto.MachineState, 0, len(machines))
	for _, m := range machines {
		m.unpublished = false
		m.fullStateDue = m.fullStateDue || full
		if s.owns(m) {
			message.Machines = append(message.Machines, s.machineState(m))
		}
	}
	s.unpublished, s.releasedMachines = s.unpublished[:0], nil
	return message
}

// hasChanges reports whether a message is more than a keepalive.
func hasChanges(message *peerproto.Message) bool {
	return len(message.Cancelled) > 0 || len(message.Machines) > 0 || len(message.Returned) > 0 || len(message.Released) > 0
}

// machineState returns the state of a machine to publish, complete or only with what has changed,
// and marks it as published.
func (s *shard) machineState(m *machine) peerproto.MachineState {
	state := peerproto.MachineState{
		Name:               m.name,
		TasksComplete:      m.trust != listUnconfirmed,
		TasksBounded:       m.ownedSinceConfirmed,
		AcceptsTasks:       m.isTrusted() && m.machineType != nil,
		InterruptionNotice: m.interruptionNotice,
		Draining:           m.draining,
		Silent:             m.silent,
		Partial:            !m.fullStateDue,
	}
	if m.fullStateDue {
		state.Addr, state.Type, state.Zone, state.Spot = m.addr, m.typeName, m.zone, m.spot
	}
	if m.fullStateDue || m.imagesChanged {
		state.Images = slices.Clone(m.images.Images())
	}
	state.Tasks = m.publishTasks()
	if !m.fullStateDue {
		state.RemovedTasks = m.removedTasks()
	}
	m.fullStateDue, m.imagesChanged, m.droppedTasks = false, false, nil
	return state
}

// publishTasks returns the machine's attempts, or only those that have changed, and marks them as
// published. An attempt that has ended is recorded as dropped, since its task may run elsewhere.
func (m *machine) publishTasks() []peerproto.TaskState {
	var tasks []peerproto.TaskState
	for _, a := range m.attempts {
		if a.published && !m.fullStateDue {
			continue
		}
		a.published = true
		tasks = append(tasks, peerproto.TaskState{
			Task: a.task, Attempt: a.number, State: a.state, ExitReason: a.exitReason, RanSeconds: a.runSeconds,
		})
		if !a.live() {
			m.droppedTasks = append(m.droppedTasks, a.task)
		}
	}
	return tasks
}

// removedTasks returns the dropped tasks of which the machine has no other live attempt.
func (m *machine) removedTasks() []string {
	var removed []string
	for _, task := range m.droppedTasks {
		isLive := func(a *taskAttempt) bool { return a.task == task && a.live() }
		if !slices.ContainsFunc(m.attempts, isLive) {
			removed = append(removed, task)
		}
	}
	return removed
}
