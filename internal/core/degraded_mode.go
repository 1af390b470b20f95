package core

import (
	"maps"
	"time"

	"github.com/chalkhub/chalkhub/internal/degraded"
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// degradedMode keeps the workers' leases alive through an outage of the state service that all
// controllers see; package degraded says when that is safe. While it lasts nothing is
// started, hired or returned, and no user is told anything new: workers are answered, and
// tasks that may not run any more are stopped.
//
// Without it an outage longer than a worker's lease ended every task of a site.
type degradedMode struct {
	core           *Core
	renewalRefused bool // the lease was not renewed last time
	leader         degraded.Coordinator
	member         degraded.Voter
	epoch          uint64                   // that leader and member speak of
	cancelledJobs  map[string]time.Duration // jobs that somebody was told are cancelled, and when we last learnt of it
	loggedActive   bool                     // what was last logged
}

func newDegradedMode(c *Core) *degradedMode {
	return &degradedMode{core: c, cancelledJobs: map[string]time.Duration{}}
}

// isStoreUnavailable reports whether the state service does not serve this node.
func (d *degradedMode) isStoreUnavailable() bool {
	return d.renewalRefused || d.core.mirror.IsUnavailable()
}

// isIsolated reports whether neither renewals nor watches are served here. Nothing that users ask
// can be answered then; others may be served.
//
// Guards against users being sent here for as long as this node is still entitled to answer
// workers: each of their requests waited, and was refused in the end.
func (d *degradedMode) isIsolated() bool {
	return d.renewalRefused && d.core.mirror.IsUnavailable()
}

// isActive reports whether workers may be answered although this node is not entitled.
func (d *degradedMode) isActive() bool {
	return d.core.mirror.IsReady() && d.epoch > 0 && d.epoch == d.core.membership.epoch() && d.core.now.Monotonic < d.activeUntil()
}

func (d *degradedMode) activeUntil() time.Duration {
	if d.core.membership.leading {
		return d.leader.MayServeUntil()
	}
	return d.member.MayServeUntil()
}

// reconcile asks the next round, on the leader, and notes when an outage is over.
func (d *degradedMode) reconcile() {
	c := d.core
	if !c.mirror.IsReady() {
		return
	}
	d.followEpoch()
	// Guards against forgetting them while this node is entitled by a mirror from before.
	maps.DeleteFunc(d.cancelledJobs, func(_ string, learntAt time.Duration) bool { return learntAt < c.mirror.FreshAt() })
	d.logTransition()
	if c.membership.leading && d.isStoreUnavailable() && d.epoch != 0 && d.epoch == c.scheduler.epoch {
		d.startRound()
	}
}

// followEpoch begins anew in each epoch: votes of another one say nothing.
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

// startRound asks all controllers for their votes, if the next round is due. It takes all of them:
// one that can't be asked may be served by the state service.
func (d *degradedMode) startRound() {
	c := d.core
	others := c.controllerLabels[1:]
	for _, label := range others {
		if p := c.scheduler.shards[label]; p == nil || p.session == 0 {
			return
		}
	}
	round, due := d.leader.NextRound(c.now.Monotonic, c.intervals.maxStaleness/8, c.intervals.maxStaleness)
	if !due {
		return
	}
	for _, label := range others {
		c.emit(SendToPeer{Session: c.scheduler.shards[label].session, Message: peerproto.Message{Epoch: d.epoch, Round: &round}})
	}
	d.handleVote(c.settings.Label, d.castVote(&round))
}

// handleRound answers the leader's question.
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

// castVote is what this node says in a round.
func (d *degradedMode) castVote(round *degraded.Round) degraded.Vote {
	m := d.core.mirror
	vote := degraded.Vote{Round: round.Number, Epoch: d.epoch, StoreDown: d.isStoreUnavailable(), MirrorRevision: m.Revision(), LoadedRevision: m.LoadRevision(), IncludesMirror: true}
	vote.CancelledSince, vote.Cancelled = d.core.cancellation.log.Since(round.CancelledSince)
	return vote
}

// handleVote takes a controller's vote.
func (d *degradedMode) handleVote(label string, vote degraded.Vote) {
	d.leader.ReceiveVote(label, vote, d.epoch, d.core.intervals.maxStaleness, d.core.controllerLabels)
	d.cancelJobs(d.leader.CancelledJobs())
}

// isCancelled reports whether a job is cancelled by another controller's word.
func (d *degradedMode) isCancelled(jobID string) bool {
	_, ok := d.cancelledJobs[jobID]
	return ok
}

// cancelJobs has the tasks of jobs stopped that are cancelled for sure.
func (d *degradedMode) cancelJobs(jobIDs []string) {
	for _, jobID := range jobIDs {
		if !d.isCancelled(jobID) {
			d.core.logDebug("job cancelled, as another controller reported", "job", jobID)
			d.core.shard.expediteJob(jobID)
		}
		d.cancelledJobs[jobID] = d.core.now.Monotonic
	}
}

// cancellationConfirmed passes on that a user is told now that a job is cancelled: a member to its
// leader, the leader to all members.
//
// Guards against starts that a machine takes after its user was told, for as long as another
// controller's watch takes to bring the cancellation. The rules of degraded mode rest on the
// mirrors.
func (d *degradedMode) cancellationConfirmed(jobID string) {
	d.cancelJobs([]string{jobID})
	if d.core.membership.leading {
		d.core.scheduler.relayCancellations([]string{jobID}, "")
	} else {
		d.core.shard.confirmedCancellations = append(d.core.shard.confirmedCancellations, jobID)
	}
}
