package degraded

import (
	"slices"
	"time"
)

// Coordinator opens rounds and counts their votes; the leader has one for each epoch. The
// zero value is ready.
type Coordinator struct {
	round     uint64          // number of the round that is open, or was last
	startedAt time.Duration   // when it was opened
	votes     map[string]Vote // by controller's label
	complete  bool            // all votes of the round have arrived

	agreedRound    uint64   // the last round in which all agreed, 0: none
	cancelledJobs  []string // that its votes listed, sorted
	cancelledSince uint64   // revision that every mirror had reached in the last complete round
	serveUntil     time.Duration
}

// NextRound returns the round to be asked now, if one is due: interval has passed since the
// last one was opened and all have voted in it, or a window has passed and some never will.
func (c *Coordinator) NextRound(now, interval, window time.Duration) (Round, bool) {
	first := c.round == 0
	switch {
	case first, c.complete && now-c.startedAt >= interval:
		c.round++
	case !c.complete && now-c.startedAt >= window:
		// A controller that has not voted by now may never have been asked, so nothing may
		// rest on the round just before the next one: that number is left out.
		c.round += 2
	default:
		return Round{}, false
	}
	c.startedAt, c.complete, c.votes = now, false, map[string]Vote{}
	return Round{
		Number:             c.round,
		CancelledSince:     c.cancelledSince,
		AgreedRound:        c.agreedRound,
		Cancelled:          c.cancelledJobs,
		VotesIncludeMirror: true,
	}, true
}

// ReceiveVote takes one controller's vote. epoch is the leader's own; labels name all
// controllers of the site, the leader among them. The last vote that is missing decides the
// round.
func (c *Coordinator) ReceiveVote(label string, vote Vote, epoch uint64, window time.Duration, labels []string) {
	if vote.Round != c.round || c.complete {
		return
	}
	c.votes[label] = vote
	if !c.hasVotesOf(labels) {
		return
	}
	c.complete = true
	c.decide(epoch, window, labels)
}

func (c *Coordinator) hasVotesOf(labels []string) bool {
	for _, label := range labels {
		if _, voted := c.votes[label]; !voted {
			return false
		}
	}
	return true
}

// decide evaluates a complete round.
func (c *Coordinator) decide(epoch uint64, window time.Duration, labels []string) {
	permitted := true
	knownToAll := ^uint64(0)  // every mirror holds all up to this revision
	unlistedUpTo := uint64(0) // up to here, acknowledged cancellations may be in no vote
	var cancelledJobs []string
	for _, label := range labels {
		vote := c.votes[label]
		permitted = permitted && vote.permits(epoch)
		knownToAll = min(knownToAll, vote.MirrorRevision)
		unlistedUpTo = max(unlistedUpTo, vote.LoadedRevision, vote.CancelledSince)
		cancelledJobs = append(cancelledJobs, vote.Cancelled...)
	}
	c.cancelledSince = knownToAll
	if !permitted || knownToAll < unlistedUpTo {
		return // some controller may have acknowledged a cancellation that another does not know
	}
	slices.Sort(cancelledJobs)
	c.agreedRound, c.cancelledJobs = c.round, slices.Compact(cancelledJobs)
	c.serveUntil = c.startedAt + window
}

// CancelledJobs lists the jobs of the last round that agreed whose tasks must be stopped on
// the leader's own machines, too.
func (c *Coordinator) CancelledJobs() []string { return c.cancelledJobs }

// MayServeUntil is the time until which the leader itself may serve its agents; 0 if it may
// not.
func (c *Coordinator) MayServeUntil() time.Duration { return c.serveUntil }
