package simulation

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// minHeartbeatInterval is the least pause between two heartbeats, also if something
	// changes on the machine in between.
	minHeartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is how long a worker waits for the answer to a heartbeat, and how old
	// an answer may be for the worker to act on it.
	heartbeatTimeout = 4 * time.Second
	// heartbeatRetryInterval is the pause before a worker turns to the next controller.
	heartbeatRetryInterval = time.Second
	// maxRedirectDelay bounds the drawn pause before a worker follows a redirect, which
	// spreads the load of many that are redirected at once.
	maxRedirectDelay = 500 * time.Millisecond
	// hungPollInterval is how often something that a hung machine has to do is tried again.
	hungPollInterval = time.Second
	// hungReplyPollInterval is how often a hung machine's unread answer is tried again.
	hungReplyPollInterval = 100 * time.Millisecond
	// leaseCheckInterval is how often a worker checks its lease.
	leaseCheckInterval = 100 * time.Millisecond
)

// Worker is the agent on a machine.
type Worker struct {
	WorkerFaults

	cluster *Cluster
	Info    protocol.Instance
	Tasks   []*Task

	removed     bool
	clockRate   float64 // of its clock, 1: exact
	session     uint64  // counts the times that its lease expired
	reportSeq   uint64
	leaderToken uint64 // fencing token, the highest that it has seen
	images      map[string]bool

	nodeIndex            int  // the controller that it reports to
	heartbeatInFlight    bool // no answer has come yet
	changedWhileInFlight bool // something changed meanwhile
	leaseRenewedAt       time.Duration
	lastHeartbeatAt      time.Duration
	heartbeatTimerID     uint64 // the newest timer; older ones do nothing

	// Records for the checker.
	lastTaskStartedAt time.Duration // when it took a task last
	hardwareFailed    bool          // a task has failed here that would not have elsewhere
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

// Controller is the controller that it sends its heartbeats to.
func (w *Worker) Controller() *Node { return w.cluster.Nodes[w.nodeIndex] }

// remove ends the worker together with its machine.
func (w *Worker) remove() {
	w.removed = true
	w.dropTasks()
	delete(w.cluster.Workers, w.Info.Name)
}

// dropTasks ends all tasks at once; the worker does not report them any more.
func (w *Worker) dropTasks() {
	for _, task := range w.Tasks {
		w.cluster.Users.taskLeft(w, task)
	}
	w.Tasks = nil
}

// localDuration is the span of simulated time in which the worker's clock advances by d.
func (w *Worker) localDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.clockRate)
}

func (w *Worker) leaseDuration() time.Duration {
	return w.localDuration(config.Seconds(w.cluster.Settings.Site.Workers.LeaseS))
}

// checkLease ends all tasks whenever the lease expires. That goes for a hung machine too: it
// may resume within its lease, not after it.
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

// heartbeat is the worker's report, as of now.
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

// statusChanged has the worker report soon.
func (w *Worker) statusChanged() {
	if w.heartbeatInFlight {
		w.changedWhileInFlight = true
		return
	}
	w.scheduleHeartbeat(w.untilHeartbeatAllowed())
}

// untilHeartbeatAllowed is how long the worker must wait before its next heartbeat.
func (w *Worker) untilHeartbeatAllowed() time.Duration {
	return max(w.lastHeartbeatAt+minHeartbeatInterval-w.cluster.Now, 0)
}

// scheduleHeartbeat replaces the time of the next heartbeat.
func (w *Worker) scheduleHeartbeat(delay time.Duration) {
	w.heartbeatTimerID++
	timer := w.heartbeatTimerID
	w.cluster.After(delay, func() {
		if timer == w.heartbeatTimerID && !w.removed {
			w.sendHeartbeat()
		}
	})
}

// sentHeartbeat is a heartbeat whose answer the worker waits for.
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

// finishHeartbeat schedules the next heartbeat, earlier if something changed meanwhile.
func (w *Worker) finishHeartbeat(delay time.Duration) {
	w.heartbeatInFlight = false
	if w.changedWhileInFlight {
		delay = w.untilHeartbeatAllowed()
	}
	w.scheduleHeartbeat(delay)
}

// tryNextNode gives a heartbeat up and turns to the next controller.
func (w *Worker) tryNextNode() {
	w.nodeIndex = (w.nodeIndex + 1) % len(w.cluster.Nodes)
	w.finishHeartbeat(heartbeatRetryInterval)
}

func (w *Worker) handleHeartbeatReply(sent sentHeartbeat, reply core.Reply) {
	if w.removed {
		return
	}
	fresh := w.cluster.Now-sent.sentAt < heartbeatTimeout
	if w.Hung && fresh { // it is read once the machine resumes
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

// acceptResponse renews the lease and executes the commands of an answer.
func (w *Worker) acceptResponse(sent sentHeartbeat, body protocol.HeartbeatResponse) {
	newLeader := body.Token > w.leaderToken
	w.leaderToken = body.Token
	w.leaseRenewedAt = max(w.leaseRenewedAt, sent.sentAt)
	if w.execute(body.Commands) || newLeader {
		w.changedWhileInFlight = true
	}
}

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

// handleDirectCommands serves a call of a controller. Commands of an older leader, or meant for an
// earlier session, are not executed.
func (w *Worker) handleDirectCommands(commands protocol.DirectCommands, answer func(core.DirectOutcome, protocol.Heartbeat)) {
	if w.removed {
		return
	}
	if w.Hung {
		w.cluster.After(hungPollInterval, func() { w.handleDirectCommands(commands, answer) })
		return
	}
	if commands.Token < w.leaderToken || commands.Session != w.session {
		w.leaderToken = max(w.leaderToken, commands.Token)
		answer(core.DirectFenced, w.heartbeat())
		return
	}
	w.leaderToken = commands.Token
	if w.execute(commands.Commands) {
		w.statusChanged()
	}
	answer(core.DirectExecuted, w.heartbeat())
}
