package core

import (
	"slices"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// The link of a shard to the leader: what the leader orders, and what the shard publishes.

// loopbackLink is the session of the link between the shard and the scheduler of one node.
const loopbackLink = ^uint64(0)

// peerTimeout is how long nothing may come over a link between controllers until the other end
// counts as gone. Both ends send something in every round of maintenance.
func (c *Core) peerTimeout() time.Duration {
	return 2*c.intervals.heartbeat + c.intervals.maintenance
}

// leaderLinkUp begins a link to the leader. It starts with a full snapshot; nothing that was
// sent over an earlier one is read any more.
func (s *shard) leaderLinkUp(session uint64) {
	s.leaderLink, s.fullSnapshotDue, s.lastLeaderSeq = session, true, 0
	for _, m := range s.machines.All() {
		if m.cordoned {
			m.cordoned = false // until the leader says so again
			s.markCapacityChanged(m)
		}
	}
	s.leaderHeardAt = s.core.now.Monotonic
	hello := peerproto.Hello{Label: s.core.settings.Label, BootID: s.core.bootID}
	s.core.emit(SendToPeer{Session: session, Message: peerproto.Message{Hello: &hello, Unreachable: s.reachability.Unreachable()}})
}

// leaderLinkDown ends a link, if it is the one to the leader.
func (s *shard) leaderLinkDown(session uint64) {
	if s.leaderLink == session {
		s.leaderLink = 0
	}
}

// handleLeaderMessage takes the leader's orders; those of another epoch are void.
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

// handleDispatch takes a task that the leader dispatches, for any machine or, of a gang, for
// the one that is named.
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

// handleStop has a task stopped that the leader preempts.
func (s *shard) handleStop(stop *peerproto.StopTask) {
	m := s.machines.Get(stop.Machine)
	if m == nil {
		return
	}
	for _, a := range m.attempts {
		if a.task == stop.Task && a.live() {
			a.stopRequested, a.stopNow = true, stop.Immediately
			s.expedite(m)
			s.core.logDebug("stopping", "task", a.task, "machine", m.name, "why", stop.Reason)
		}
	}
}

// setCordoned has machines kept from new tasks, or lets them have some again.
func (s *shard) setCordoned(names []string, cordoned bool) {
	for _, name := range names {
		if m := s.machines.Get(name); m != nil {
			m.cordoned = cordoned
			s.markCapacityChanged(m)
		}
	}
}

// drain has machines get no new tasks in this epoch any more.
func (s *shard) drain(names []string) {
	for _, name := range names {
		if m := s.machines.Get(name); m != nil && !m.draining {
			m.draining = true
			s.markChanged(m)
		}
	}
}

// publish sends the leader what has changed, and from time to time that this member lives.
func (s *shard) publish() {
	c := s.core
	if s.leaderLink == 0 {
		s.confirmedCancellations = nil // nobody is there to relay them
		return
	}
	if s.closeSilentLink() {
		return
	}
	// A leader of an older version takes any full snapshot of this label for the member's.
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

// closeSilentLink closes the link to a leader that has not been heard for too long.
func (s *shard) closeSilentLink() bool {
	c := s.core
	if s.leaderLink == loopbackLink || c.now.Monotonic-s.leaderHeardAt <= c.peerTimeout() {
		return false
	}
	c.logInfo("leader heartbeat timed out, reconnecting")
	c.emit(ClosePeer{Session: s.leaderLink})
	s.leaderLink = 0
	return true
}

// nextMessage is what the leader is to be told: the changes, or a full snapshot.
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

// hasChanges reports whether a message holds anything but that its sender lives.
func hasChanges(message *peerproto.Message) bool {
	return len(message.Cancelled) > 0 || len(message.Machines) > 0 || len(message.Returned) > 0 || len(message.Released) > 0
}

// machineState is what the leader is told of a machine: all of it, or what has changed.
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

// publishTasks lists the machine's attempts, or only those that have changed, and notes that
// the leader knows them. An attempt that has ended counts as dropped: it may run elsewhere.
func (m *machine) publishTasks() []peerproto.TaskState {
	var tasks []peerproto.TaskState
	for _, a := range m.attempts {
		if a.published && !m.fullStateDue {
			continue
		}
		a.published = true
		tasks = append(tasks, peerproto.TaskState{
			Task: a.task, Attempt: a.number, State: a.state, ExitReason: a.exitReason, RanSeconds: a.ranSeconds,
		})
		if !a.live() {
			m.droppedTasks = append(m.droppedTasks, a.task)
		}
	}
	return tasks
}

// removedTasks lists the dropped tasks of which the machine has no other live attempt.
func (m *machine) removedTasks() []string {
	var left []string
	for _, task := range m.droppedTasks {
		isLive := func(a *taskAttempt) bool { return a.task == task && a.live() }
		if !slices.ContainsFunc(m.attempts, isLive) {
			left = append(left, task)
		}
	}
	return left
}
