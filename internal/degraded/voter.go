package degraded

import "time"

// Voter keeps track of the rounds that a controller has voted in; every controller except the
// leader has one for each epoch. The zero value is ready to use. It is not safe for concurrent
// use.
type Voter struct {
	lastRound       uint64 // the last round voted in; 0 if there is none
	lastVotedAt     time.Duration
	previousRound   uint64 // the round voted in before lastRound
	previousVotedAt time.Duration
	serveUntil      time.Duration // the controller may serve until then; 0 if it may not
}

// HandleRound records that the vote in a round is sent now. If the round reports that all votes
// of an earlier round agreed, HandleRound extends the time until which the controller may serve.
//
// Only the last round that the controller voted in counts, and only if it also voted in the round
// just before that: the window then starts at that earlier vote, which was sent before any vote of
// the agreed round (see the package comment).
func (v *Voter) HandleRound(now, window time.Duration, round Round) {
	if round.Number <= v.lastRound {
		return // a duplicate or late message: if there is a vote in this round, it was sent before
	}
	consecutive := v.previousRound+1 == v.lastRound
	if round.VotesIncludeMirror && round.AgreedRound > 0 && round.AgreedRound == v.lastRound && consecutive {
		v.serveUntil = max(v.serveUntil, v.previousVotedAt+window)
	}
	v.previousRound, v.previousVotedAt = v.lastRound, v.lastVotedAt
	v.lastRound, v.lastVotedAt = round.Number, now
}

// MayServeUntil returns the time until which this controller may serve its workers; 0 if it may
// not.
func (v *Voter) MayServeUntil() time.Duration { return v.serveUntil }
