package degraded

import (
	"slices"
	"time"
)

// Coordinator opens rounds and collects their votes; the leader has one for each epoch. The
// zero value is ready to use. It is not safe for concurrent use.
type Coordinator struct {
	round     uint64          // number of the open round, or of the last one
	startedAt time.Duration   // when the round was opened
	votes     map[string]Vote // by the controller's label
	complete  bool            // all votes of the round have arrived

	agreedRound    uint64        // the last round in which all votes agreed; 0 if there is none
	cancelledJobs  []string      // jobs that the votes of agreedRound listed, sorted
	cancelledSince uint64        // revision that every mirror had reached in the last complete round
	serveUntil     time.Duration // the leader may serve until then; 0 if it may not
}

// NextRound returns the round that the leader must send to all controllers now, if one is due.
// The first is due at once. A later one is due when interval has passed since the last one was
// opened and all its votes have arrived, or when a window has passed and votes are missing.
func (c *Coordinator) NextRound(now, interval, window time.Duration) (Round, bool) {
	first := c.round == 0
	switch {
	case first, c.complete && now-c.startedAt >= interval:
		c.round++
	case !c.complete && now-c.startedAt >= window:
		// A controller whose vote is missing may never have received this round, so voters
		// must not rely on it as the predecessor of the next round. Leaving one number out
		// makes the two rounds not consecutive.
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

// ReceiveVote records one controller's vote in the open round, and decides the round once all
// votes have arrived. epoch is the leader's own; labels name all controllers of the site,
// including the leader. Votes of other rounds are ignored.
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
	knownToAll := ^uint64(0)  // every mirror has every change up to this revision
	unlistedUpTo := uint64(0) // acknowledged cancellations up to this revision may be in no vote
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

// CancelledJobs returns the cancelled jobs that the votes of the last agreed round listed, sorted
// and without duplicates. Their tasks must be stopped on the leader's own machines, too.
func (c *Coordinator) CancelledJobs() []string { return c.cancelledJobs }

// MayServeUntil returns the time until which the leader itself may serve its workers; 0 if it
// may not.
func (c *Coordinator) MayServeUntil() time.Duration { return c.serveUntil }
