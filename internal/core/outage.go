package core

import (
	"maps"
	"time"

	"github.com/chalkhub/chalkhub/internal/vigil"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// outage keeps the workers' leases alive through an outage of the state service that all
// controllers see; package vigil says when that is safe. While it lasts nothing is
// started, hired or returned, and no user is told anything new: workers are answered, and
// tasks that may not run any more are stopped.
//
// Without it an outage longer than a worker's lease ended every task of a site.
type outage struct {
	c       *Core
	refused bool // the lease was not renewed last time
	leader  vigil.Leader
	member  vigil.Member
	epoch   uint64                   // that these speak of
	learnt  map[string]time.Duration // jobs that somebody was told are cancelled, and when we last learnt of it
	holding bool                     // as was last said
}

func newOutage(c *Core) *outage { return &outage{c: c, learnt: map[string]time.Duration{}} }

// cancelsPerLease is how many jobs can be cancelled, a change each, while a mirror falls behind
// by a worker's lease: longer than any that a vigil takes account of. The limit in force is
// the larger one.
func (c *Core) cancelsPerLease() int {
	return int(c.set.Site.State.WriteRPS * c.times.lease.Seconds())
}

// out reports whether the state service does not serve this node.
func (u *outage) out() bool { return u.refused || u.c.ledger.lost }

// alone reports whether neither renewals nor watches are served here. Nothing that users ask
// can be answered then; others may be served.
//
// Guards against users being sent here for as long as this node is still entitled to answer
// workers: each of their requests waited, and was refused in the end.
func (u *outage) alone() bool { return u.refused && u.c.ledger.lost }

// holds reports whether workers may be answered although this node is not entitled.
func (u *outage) holds() bool {
	return u.c.ledger.ready && u.epoch > 0 && u.epoch == u.c.members.epoch() && u.c.now.Steady < u.till()
}

func (u *outage) till() time.Duration {
	if u.c.members.leading {
		return u.leader.Till()
	}
	return u.member.Till()
}

// react asks the next round, on the leader, and notes when an outage is over.
func (u *outage) react() {
	c := u.c
	if !c.ledger.ready {
		return
	}
	if e := c.members.epoch(); e != u.epoch {
		u.epoch, u.leader, u.member = e, vigil.Leader{}, vigil.Member{}
	}
	// Guards against forgetting them while this node is entitled by a mirror from before.
	maps.DeleteFunc(u.learnt, func(_ string, learnt time.Duration) bool { return learnt < c.ledger.freshAt })
	if now := u.holds() && !c.members.entitled(); now != u.holding {
		u.holding = now
		if now {
			c.info("the state service serves no controller, workers are kept alive", "epoch", u.epoch)
		} else {
			c.info("workers are no longer kept alive without the state service", "entitled", c.members.entitled())
		}
	}
	if !c.members.leading || !u.out() || u.epoch == 0 || u.epoch != c.orch.epoch {
		return
	}
	others := c.labels[1:]
	for _, label := range others {
		if p := c.orch.parts[label]; p == nil || p.session == 0 {
			return // without all of them there is no vigil
		}
	}
	ask, due := u.leader.Next(c.now.Steady, c.times.fresh/8, c.times.fresh)
	if !due {
		return
	}
	for _, label := range others {
		c.emit(PeerSend{Session: c.orch.parts[label].session, Message: wire.PeerMessage{Epoch: u.epoch, Ask: &ask}})
	}
	u.heard(c.set.Label, u.word(&ask))
}

// asked answers the leader's question.
func (u *outage) asked(epoch uint64, a *vigil.Ask) {
	c := u.c
	if !c.ledger.ready || epoch != u.epoch || epoch != c.members.epoch() {
		return
	}
	w := u.word(a)
	u.member.Answer(c.now.Steady, c.times.fresh, *a)
	u.cancel(a.Cancelled)
	c.emit(PeerSend{Session: c.part.link, Message: wire.PeerMessage{Epoch: epoch, Word: &w}})
}

// word is what this node says in a round.
func (u *outage) word(a *vigil.Ask) vigil.Word {
	l := u.c.ledger
	w := vigil.Word{Round: a.Round, Epoch: u.epoch, Out: u.out(), Revision: l.revision, Loaded: l.loadRev, Mirrored: true}
	w.Since, w.Cancelled = l.cancelled.Since(a.Since)
	return w
}

// heard takes a controller's word.
func (u *outage) heard(label string, w vigil.Word) {
	u.leader.Hear(label, w, u.epoch, u.c.times.fresh, u.c.labels)
	u.cancel(u.leader.Cancelled())
}

// cancelled reports whether a job is cancelled by another controller's word.
func (u *outage) cancelled(ref string) bool { _, ok := u.learnt[ref]; return ok }

// cancel has the tasks of jobs stopped that are cancelled for sure.
func (u *outage) cancel(jobs []string) {
	for _, ref := range jobs {
		if _, known := u.learnt[ref]; !known {
			u.c.debugf("cancelled, as was told", "job", ref)
			u.c.part.hurryJob(ref)
		}
		u.learnt[ref] = u.c.now.Steady
	}
}

// confirmed passes on that a user is told now that a job is cancelled: a member to its leader,
// the leader to all members.
//
// Guards against starts that a machine takes after its user was told, for as long as another
// controller's watch takes to bring the word. The rules rest on the mirrors.
func (u *outage) confirmed(ref string) {
	u.cancel([]string{ref})
	if u.c.members.leading {
		u.c.orch.passOn([]string{ref}, "")
	} else {
		u.c.part.confirmed = append(u.c.part.confirmed, ref)
	}
}
