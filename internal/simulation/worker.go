package simulation

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// minHeartbeatInterval is the minimum time between two heartbeats of a worker, even if
	// something changes on the machine in between.
	minHeartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is how long a worker waits for the response to a heartbeat. The worker
	// ignores a response that it reads later than this after sending the heartbeat.
	heartbeatTimeout = 4 * time.Second
	// heartbeatRetryInterval is the time after a failed heartbeat at which the worker tries the
	// next controller.
	heartbeatRetryInterval = time.Second
	// maxRedirectDelay is the upper bound of the random delay before a worker follows a redirect.
	// The delay spreads the load if many workers are redirected at once.
	maxRedirectDelay = 500 * time.Millisecond
	// hungPollInterval is the interval at which the simulation checks whether a hung machine has
	// resumed, to carry out an action that was due in the meantime.
	hungPollInterval = time.Second
	// hungReplyPollInterval is the same interval for reading a response to a heartbeat.
	hungReplyPollInterval = 100 * time.Millisecond
	// leaseCheckInterval is how often a worker checks its lease.
	leaseCheckInterval = 100 * time.Millisecond
)

// Worker simulates the agent on a machine.
type Worker struct {
	WorkerFaults

	cluster *Cluster
	Info    protocol.Instance
	Tasks   []*Task

	removed     bool
	clockRate   float64         // rate of the worker's clock relative to simulated time, 1: exact
	session     uint64          // begins at 1 and is incremented each time the lease expires
	reportSeq   uint64          // sequence number of the latest report
	leaderToken uint64          // the highest fencing token that the worker has received
	images      map[string]bool // cached images, by name

	nodeIndex            int  // index of the controller that the worker reports to
	heartbeatInFlight    bool // a heartbeat was sent, and its response has not been handled
	changedWhileInFlight bool // something changed on the machine while the heartbeat was in flight
	leaseRenewedAt       time.Duration
	lastHeartbeatAt      time.Duration
	heartbeatTimerID     uint64 // the current timer of the next heartbeat; earlier timers have no effect

	// Records for the checker.
	lastTaskStartedAt time.Duration // when the worker last accepted a task
	hardwareFailed    bool          // a task has failed because of the machine, not because of its job
}

func newWorker(cluster *Cluster, instance protocol.Instance) *Worker {
	w := &Worker{
		cluster: cluster, Info: instance, session: 1, images: map[string]bool{},
		leaseRenewedAt: cluster.Now, lastHeartbeatAt: -time.Hour,
		clockRate: cluster.drawClockRate(), nodeIndex: cluster.Rand.IntN(len(cluster.Nodes)),
	}
	w.sendHeartbeat()
	w.checkLease()
	return w
}

// Controller returns the node that the worker sends its heartbeats to.
func (w *Worker) Controller() *Node { return w.cluster.Nodes[w.nodeIndex] }

// remove ends the worker and its tasks when its machine is terminated.
func (w *Worker) remove() {
	w.removed = true
	w.dropTasks()
	delete(w.cluster.Workers, w.Info.Name)
}

// dropTasks ends all tasks at once and forgets them, so that later heartbeats do not report them.
func (w *Worker) dropTasks() {
	for _, task := range w.Tasks {
		w.cluster.Users.taskRemoved(w, task)
	}
	w.Tasks = nil
}

// localDuration returns the simulated time in which the worker's clock advances by d.
func (w *Worker) localDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.clockRate)
}

func (w *Worker) leaseDuration() time.Duration {
	return w.localDuration(config.Seconds(w.cluster.Settings.Site.Workers.LeaseS))
}

// checkLease ends all tasks and begins a new session if the lease has expired, and schedules the
// next check. It does so for a hung machine too: tasks on it may resume within the lease, but not
// after its expiry.
func (w *Worker) checkLease() {
	if w.removed {
		return
	}
	if w.cluster.Now-w.leaseRenewedAt > w.leaseDuration() {
		w.dropTasks()
		w.session++
		w.leaseRenewedAt = w.cluster.Now
		w.statusChanged()
	}
	w.cluster.After(leaseCheckInterval, w.checkLease)
}

// heartbeat returns a report of the worker's current state, with a new sequence number.
func (w *Worker) heartbeat() protocol.Heartbeat {
	w.reportSeq++
	report := protocol.Heartbeat{
		Machine: w.Info.Name, Addr: w.Info.Addr, Type: w.Info.Type, Zone: w.Info.Zone, Spot: w.Info.Spot,
		Session: w.session, Seq: w.reportSeq, Token: w.leaderToken, NoticeS: w.NoticeS, Tasks: []protocol.TaskStatus{},
	}
	for _, task := range w.Tasks {
		report.Tasks = append(report.Tasks, protocol.TaskStatus{
			Task: task.Name, Attempt: task.Attempt, State: task.State, ExitReason: task.ExitReason, Saved: task.Saved})
	}
	return report
}

// statusChanged schedules a heartbeat for the earliest time that minHeartbeatInterval allows. If a
// heartbeat is in flight, the next one is scheduled once that is finished.
func (w *Worker) statusChanged() {
	if w.heartbeatInFlight {
		w.changedWhileInFlight = true
		return
	}
	w.scheduleHeartbeat(w.untilHeartbeatAllowed())
}

// untilHeartbeatAllowed returns how long the worker must wait before its next heartbeat.
func (w *Worker) untilHeartbeatAllowed() time.Duration {
	return max(w.lastHeartbeatAt+minHeartbeatInterval-w.cluster.Now, 0)
}

// scheduleHeartbeat schedules the next heartbeat after delay, in place of one scheduled before.
func (w *Worker) scheduleHeartbeat(delay time.Duration) {
	w.heartbeatTimerID++
	timerID := w.heartbeatTimerID
	w.cluster.After(delay, func() {
		if timerID == w.heartbeatTimerID && !w.removed {
			w.sendHeartbeat()
		}
	})
}

// sentHeartbeat records when and in which session a heartbeat was sent.
type sentHeartbeat struct {
	sentAt  time.Duration
	session uint64
}

func (w *Worker) sendHeartbeat() {
	if w.removed || w.heartbeatInFlight {
		return
	}
	if w.Hung {
		w.scheduleHeartbeat(hungPollInterval)
		return
	}
	w.heartbeatInFlight, w.changedWhileInFlight = true, false
	w.lastHeartbeatAt = w.cluster.Now
	sent := sentHeartbeat{sentAt: w.cluster.Now, session: w.session}
	report := w.heartbeat()
	node := w.Controller()
	if w.OutboundBlocked {
		w.tryNextNode()
		return
	}
	w.cluster.retainHeartbeat(report)
	call(w.cluster, w.Info.Name, node.Label, heartbeatTimeout, func(reply func(core.Reply)) {
		node.Request(func(id core.RequestID) core.Command { return core.Heartbeat{ID: id, Report: report} }, reply)
	}, func(reply core.Reply) { w.handleHeartbeatReply(sent, reply) }, w.tryNextNode)
}

// finishHeartbeat ends the heartbeat in flight and schedules the next one after delay, or as soon
// as allowed if something changed while it was in flight.
func (w *Worker) finishHeartbeat(delay time.Duration) {
	w.heartbeatInFlight = false
	if w.changedWhileInFlight {
		delay = w.untilHeartbeatAllowed()
	}
	w.scheduleHeartbeat(delay)
}

// tryNextNode ends the heartbeat in flight as failed and schedules the next one to another
// controller.
func (w *Worker) tryNextNode() {
	w.nodeIndex = (w.nodeIndex + 1) % len(w.cluster.Nodes)
	w.finishHeartbeat(heartbeatRetryInterval)
}

func (w *Worker) handleHeartbeatReply(sent sentHeartbeat, reply core.Reply) {
	if w.removed {
		return
	}
	fresh := w.cluster.Now-sent.sentAt < heartbeatTimeout
	if w.Hung && fresh { // the response is read once the machine resumes
		w.cluster.After(hungReplyPollInterval, func() { w.handleHeartbeatReply(sent, reply) })
		return
	}
	if w.Hung {
		w.tryNextNode()
		return
	}
	switch body := reply.Body.(type) {
	case protocol.HeartbeatResponse:
		if fresh && sent.session == w.session && body.Token >= w.leaderToken {
			w.acceptResponse(sent, body)
		}
		interval := float64(config.Seconds(w.cluster.Settings.Site.Workers.HeartbeatS))
		jitter := 0.75 + w.cluster.Rand.Float64()/2
		w.finishHeartbeat(w.localDuration(time.Duration(interval * jitter)))
	case protocol.Redirect:
		w.followRedirect(body)
	default:
		w.tryNextNode()
	}
}

// acceptResponse renews the lease from the time at which the heartbeat was sent, and executes the
// commands of its response.
func (w *Worker) acceptResponse(sent sentHeartbeat, body protocol.HeartbeatResponse) {
	newLeader := body.Token > w.leaderToken
	w.leaderToken = body.Token
	w.leaseRenewedAt = max(w.leaseRenewedAt, sent.sentAt)
	if w.execute(body.Commands) || newLeader {
		w.changedWhileInFlight = true
	}
}

// followRedirect sends the next heartbeat to the controller that a redirect names, or to the next
// controller if the redirect names an unknown one or the one that sent it.
func (w *Worker) followRedirect(redirect protocol.Redirect) {
	for i, node := range w.cluster.Nodes {
		if node.Label == redirect.ReportTo && i != w.nodeIndex {
			w.nodeIndex = i
			w.finishHeartbeat(time.Duration(w.cluster.Rand.Int64N(int64(maxRedirectDelay))))
			return
		}
	}
	w.tryNextNode()
}

// handleDirectCommands handles a call of a controller, once the machine is not hung. It does not
// execute commands with a fencing token lower than the worker's, or for another session.
func (w *Worker) handleDirectCommands(commands protocol.DirectCommands, reply func(core.DirectOutcome, protocol.Heartbeat)) {
	if w.removed {
		return
	}
	if w.Hung {
		w.cluster.After(hungPollInterval, func() { w.handleDirectCommands(commands, reply) })
		return
	}
	if commands.Token < w.leaderToken || commands.Session != w.session {
		w.leaderToken = max(w.leaderToken, commands.Token)
		reply(core.DirectFenced, w.heartbeat())
		return
	}
	w.leaderToken = commands.Token
	if w.execute(commands.Commands) {
		w.statusChanged()
	}
	reply(core.DirectExecuted, w.heartbeat())
}
