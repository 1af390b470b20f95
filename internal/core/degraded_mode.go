package core

import (
	"maps"
	"time"

	"github.com/chalkhub/chalkhub/internal/degraded"
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// degradedMode keeps the workers' leases alive during an outage of the state service that affects
// all controllers; package degraded decides when that is safe. In degraded mode controllers respond
// to heartbeats and stop tasks that must not run any more. They start no tasks, create and return
// no instances, and confirm nothing new to users.
//
// Without it, an outage longer than a worker's lease ended every task of a site.
type degradedMode struct {
	core          *Core
	renewalFailed bool                 // the last lease renewal failed
	leader        degraded.Coordinator // used while this controller leads
	member        degraded.Voter       // used while it does not
	epoch         uint64               // the epoch of leader and member
	// cancelledJobs holds jobs whose cancellation a controller may have confirmed to a user, and
	// when this controller last learnt of the cancellation.
	cancelledJobs map[string]time.Duration
	loggedActive  bool // whether degraded mode was active when that was last logged
}

func newDegradedMode(c *Core) *degradedMode {
	return &degradedMode{core: c, cancelledJobs: map[string]time.Duration{}}
}

// isStoreUnavailable reports whether the state service does not serve this controller: the last
// lease renewal, or the last watch or read barrier, failed.
func (d *degradedMode) isStoreUnavailable() bool {
	return d.renewalFailed || d.core.mirror.IsUnavailable()
}

// isIsolated reports whether both lease renewals and watches of this controller fail. It can then
// serve no request of a user, although other controllers may be able to.
//
// This guards against reporting ready for as long as this controller is still entitled to serve workers:
// each user request that the load balancer sent here waited and was refused in the end.
func (d *degradedMode) isIsolated() bool {
	return d.renewalFailed && d.core.mirror.IsUnavailable()
}

// isActive reports whether degraded mode allows responses to workers although this controller is
// not entitled to serve by its lease and mirror.
func (d *degradedMode) isActive() bool {
	return d.core.mirror.IsReady() && d.epoch > 0 && d.epoch == d.core.membership.epoch() && d.core.now.Monotonic < d.activeUntil()
}

func (d *degradedMode) activeUntil() time.Duration {
	if d.core.membership.leading {
		return d.leader.MayServeUntil()
	}
	return d.member.MayServeUntil()
}

// reconcile starts the next round on the leader, logs when degraded mode begins or ends, and forgets
// cancellations that the mirror has.
func (d *degradedMode) reconcile() {
	c := d.core
	if !c.mirror.IsReady() {
		return
	}
	d.followEpoch()
	// A cancellation is kept until the mirror was confirmed by a request that was sent after it
	// was learnt of. This guards against forgetting it while this controller is entitled to serve by
	// a mirror that is older than the cancellation.
	maps.DeleteFunc(d.cancelledJobs, func(_ string, learntAt time.Duration) bool { return learntAt < c.mirror.FreshAt() })
	d.logTransition()
	if c.membership.leading && d.isStoreUnavailable() && d.epoch != 0 && d.epoch == c.scheduler.epoch {
		d.startRound()
	}
}

// followEpoch resets the votes in each new epoch, since votes of another epoch are not counted.
func (d *degradedMode) followEpoch() {
	if epoch := d.core.membership.epoch(); epoch != d.epoch {
		d.epoch, d.leader, d.member = epoch, degraded.Coordinator{}, degraded.Voter{}
	}
}

func (d *degradedMode) logTransition() {
	c := d.core
	active := d.isActive() && !c.membership.mayServe()
	if active == d.loggedActive {
		return
	}
	d.loggedActive = active
	if active {
		c.logInfo("degraded mode: the state service serves no controller, workers are kept alive", "epoch", d.epoch)
	} else {
		c.logInfo("degraded mode has ended", "entitled", c.membership.mayServe())
	}
}

// startRound asks all controllers for their votes, if the next round is due. It asks none unless
// all are connected, since a controller without a link may be served by the state service.
func (d *degradedMode) startRound() {
	c := d.core
	siblingLabels := c.controllerLabels[1:]
	for _, label := range siblingLabels {
		if member := c.scheduler.shards[label]; member == nil || member.session == 0 {
			return
		}
	}
	round, due := d.leader.NextRound(c.now.Monotonic, c.intervals.maxStaleness/8, c.intervals.maxStaleness)
	if !due {
		return
	}
	for _, label := range siblingLabels {
		c.emit(SendToPeer{Session: c.scheduler.shards[label].session, Message: peerproto.Message{Epoch: d.epoch, Round: &round}})
	}
	d.handleVote(c.settings.Label, d.castVote(&round))
}

// handleRound votes in a round that the leader has started.
func (d *degradedMode) handleRound(epoch uint64, round *degraded.Round) {
	c := d.core
	if !c.mirror.IsReady() || epoch != d.epoch || epoch != c.membership.epoch() {
		return
	}
	vote := d.castVote(round)
	d.member.HandleRound(c.now.Monotonic, c.intervals.maxStaleness, *round)
	d.cancelJobs(round.Cancelled)
	c.emit(SendToPeer{Session: c.shard.leaderLink, Message: peerproto.Message{Epoch: epoch, Vote: &vote}})
}

// castVote returns this controller's vote in a round.
func (d *degradedMode) castVote(round *degraded.Round) degraded.Vote {
	m := d.core.mirror
	vote := degraded.Vote{Round: round.Number, Epoch: d.epoch, StoreDown: d.isStoreUnavailable(), MirrorRevision: m.Revision(), LoadedRevision: m.LoadRevision(), IncludesMirror: true}
	vote.CancelledSince, vote.Cancelled = d.core.cancellation.log.Since(round.CancelledSince)
	return vote
}

// handleVote counts a controller's vote, and stops the jobs that the last agreed round lists as
// cancelled.
func (d *degradedMode) handleVote(label string, vote degraded.Vote) {
	d.leader.ReceiveVote(label, vote, d.epoch, d.core.intervals.maxStaleness, d.core.controllerLabels)
	d.cancelJobs(d.leader.CancelledJobs())
}

// isCancelled reports whether a job is known to be cancelled although the mirror may not show it yet.
func (d *degradedMode) isCancelled(jobID string) bool {
	_, ok := d.cancelledJobs[jobID]
	return ok
}

// cancelJobs causes the tasks of jobs whose cancellation is certain to be stopped.
func (d *degradedMode) cancelJobs(jobIDs []string) {
	for _, jobID := range jobIDs {
		if !d.isCancelled(jobID) {
			d.core.logDebug("job cancelled, stopping its tasks", "job", jobID)
			d.core.shard.expediteJob(jobID)
		}
		d.cancelledJobs[jobID] = d.core.now.Monotonic
	}
}

// cancellationConfirmed relays that the cancellation of a job is being confirmed to its user: a
// member sends it to the leader, and the leader to all members.
//
// This guards against starting tasks of the job after the confirmation, in the time until the watch of
// another controller delivers the cancellation. The rules of degraded mode do not rely on this
// relay, but on the mirrors.
func (d *degradedMode) cancellationConfirmed(jobID string) {
	d.cancelJobs([]string{jobID})
	if d.core.membership.leading {
		d.core.scheduler.relayCancellations([]string{jobID}, "")
	} else {
		d.core.shard.confirmedCancellations = append(d.core.shard.confirmedCancellations, jobID)
	}
}
