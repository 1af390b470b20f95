package degraded

import "time"

// Voter keeps track of the rounds that a controller has voted in; every controller but the
// leader has one for each epoch. The zero value is ready.
type Voter struct {
	lastRound       uint64 // the last round voted in, 0: none
	lastVotedAt     time.Duration
	previousRound   uint64 // the one before
	previousVotedAt time.Duration
	serveUntil      time.Duration
}

// HandleRound records that the vote on a round is sent now, and learns from the round how
// earlier ones ended.
//
// Only the round voted in last counts, and only if the voter voted in the one just before it,
// too: the window then starts at that earlier vote, which was sent before any vote of the
// agreed round was cast (see the package comment).
func (v *Voter) HandleRound(now, window time.Duration, round Round) {
	if round.Number <= v.lastRound {
		return // a duplicate or late message: the vote on it was sent before, if ever
	}
	consecutive := v.previousRound+1 == v.lastRound
	if round.VotesIncludeMirror && round.AgreedRound > 0 && round.AgreedRound == v.lastRound && consecutive {
		v.serveUntil = max(v.serveUntil, v.previousVotedAt+window)
	}
	v.previousRound, v.previousVotedAt = v.lastRound, v.lastVotedAt
	v.lastRound, v.lastVotedAt = round.Number, now
}

// MayServeUntil is the time until which this controller may serve its agents; 0 if it may not.
func (v *Voter) MayServeUntil() time.Duration { return v.serveUntil }
