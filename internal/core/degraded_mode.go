package core

import (
	"maps"
	"time"

	"github.com/chalkhub/chalkhub/internal/degraded"
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// degradedMode keeps the workers' leases alive through an outage of the state service that all
// controllers see; package vigil says when that is safe. While it lasts nothing is
// started, hired or returned, and no user is told anything new: workers are answered, and
// tasks that may not run any more are stopped.
//
// Without it an outage longer than a worker's lease ended every task of a site.
type degradedMode struct {
	core           *Core
	renewalRefused bool // the lease was not renewed last time
	leader         degraded.Coordinator
	member         degraded.Voter
	epoch          uint64                   // that these speak of
	cancelledJobs  map[string]time.Duration // jobs that somebody was told are cancelled, and when we last learnt of it
	loggedActive   bool                     // as was last said
}

func newDegradedMode(c *Core) *degradedMode {
	return &degradedMode{core: c, cancelledJobs: map[string]time.Duration{}}
}

// cancelsPerLease is how many jobs can be cancelled, a change each, while a mirror falls behind
// by a worker's lease: longer than any that degraded mode takes account of. The limit in force
// is the larger one.
func (c *Core) cancelsPerLease() int {
	return int(c.settings.Site.State.WriteRPS * c.intervals.workerLease.Seconds())
}

// isStoreUnavailable reports whether the state service does not serve this node.
func (u *degradedMode) isStoreUnavailable() bool {
	return u.renewalRefused || u.core.mirror.unavailable
}

// isIsolated reports whether neither renewals nor watches are served here. Nothing that users ask
// can be answered then; others may be served.
//
// Guards against users being sent here for as long as this node is still entitled to answer
// workers: each of their requests waited, and was refused in the end.
func (u *degradedMode) isIsolated() bool { return u.renewalRefused && u.core.mirror.unavailable }

// isActive reports whether workers may be answered although this node is not entitled.
func (u *degradedMode) isActive() bool {
	return u.core.mirror.ready && u.epoch > 0 && u.epoch == u.core.membership.epoch() && u.core.now.Monotonic < u.activeUntil()
}

func (u *degradedMode) activeUntil() time.Duration {
	if u.core.membership.leading {
		return u.leader.MayServeUntil()
	}
	return u.member.MayServeUntil()
}

// react asks the next round, on the leader, and notes when an outage is over.
func (u *degradedMode) react() {
	c := u.core
	if !c.mirror.ready {
		return
	}
	if e := c.membership.epoch(); e != u.epoch {
		u.epoch, u.leader, u.member = e, degraded.Coordinator{}, degraded.Voter{}
	}
	// Guards against forgetting them while this node is entitled by a mirror from before.
	maps.DeleteFunc(u.cancelledJobs, func(_ string, learnt time.Duration) bool { return learnt < c.mirror.freshAt })
	if now := u.isActive() && !c.membership.mayServe(); now != u.loggedActive {
		u.loggedActive = now
		if now {
			c.logInfo("the state service serves no controller, workers are kept alive", "epoch", u.epoch)
		} else {
			c.logInfo("workers are no longer kept alive without the state service", "entitled", c.membership.mayServe())
		}
	}
	if !c.membership.leading || !u.isStoreUnavailable() || u.epoch == 0 || u.epoch != c.scheduler.epoch {
		return
	}
	others := c.controllerLabels[1:]
	for _, label := range others {
		if p := c.scheduler.shards[label]; p == nil || p.session == 0 {
			return // without all of them there is no vigil
		}
	}
	ask, due := u.leader.NextRound(c.now.Monotonic, c.intervals.maxStaleness/8, c.intervals.maxStaleness)
	if !due {
		return
	}
	for _, label := range others {
		c.emit(SendToPeer{Session: c.scheduler.shards[label].session, Message: peerproto.Message{Epoch: u.epoch, Round: &ask}})
	}
	u.handleVote(c.settings.Label, u.vote(&ask))
}

// handleRound answers the leader's question.
func (u *degradedMode) handleRound(epoch uint64, a *degraded.Round) {
	c := u.core
	if !c.mirror.ready || epoch != u.epoch || epoch != c.membership.epoch() {
		return
	}
	w := u.vote(a)
	u.member.HandleRound(c.now.Monotonic, c.intervals.maxStaleness, *a)
	u.cancelJobs(a.Cancelled)
	c.emit(SendToPeer{Session: c.shard.leaderLink, Message: peerproto.Message{Epoch: epoch, Vote: &w}})
}

// vote is what this node says in a round.
func (u *degradedMode) vote(a *degraded.Round) degraded.Vote {
	l := u.core.mirror
	w := degraded.Vote{Round: a.Number, Epoch: u.epoch, StoreDown: u.isStoreUnavailable(), MirrorRevision: l.revision, LoadedRevision: l.loadRevision, IncludesMirror: true}
	w.CancelledSince, w.Cancelled = l.cancellations.Since(a.CancelledSince)
	return w
}

// handleVote takes a controller's word.
func (u *degradedMode) handleVote(label string, w degraded.Vote) {
	u.leader.ReceiveVote(label, w, u.epoch, u.core.intervals.maxStaleness, u.core.controllerLabels)
	u.cancelJobs(u.leader.CancelledJobs())
}

// isCancelled reports whether a job is cancelled by another controller's word.
func (u *degradedMode) isCancelled(ref string) bool { _, ok := u.cancelledJobs[ref]; return ok }

// cancelJobs has the tasks of jobs stopped that are cancelled for sure.
func (u *degradedMode) cancelJobs(jobs []string) {
	for _, ref := range jobs {
		if _, known := u.cancelledJobs[ref]; !known {
			u.core.logDebug("cancelled, as was told", "job", ref)
			u.core.shard.expediteJob(ref)
		}
		u.cancelledJobs[ref] = u.core.now.Monotonic
	}
}

// cancellationConfirmed passes on that a user is told now that a job is cancelled: a member to its leader,
// the leader to all members.
//
// Guards against starts that a machine takes after its user was told, for as long as another
// controller's watch takes to bring the word. The rules rest on the mirrors.
func (u *degradedMode) cancellationConfirmed(ref string) {
	u.cancelJobs([]string{ref})
	if u.core.membership.leading {
		u.core.scheduler.relayCancellations([]string{ref}, "")
	} else {
		u.core.shard.confirmedCancellations = append(u.core.shard.confirmedCancellations, ref)
	}
}
