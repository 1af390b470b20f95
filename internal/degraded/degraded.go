// Package degraded decides when controllers may go on answering their workers although the
// state service serves none of them. It is pure: times and words go in, verdicts come
// out.
//
// A controller whose lease or mirror is too old must fall silent, since the others may
// have given its machines away. In an outage that all of them see nobody can have done
// that, and every task would be lost for nothing once the workers' leases end. So the
// leader asks all controllers in rounds whether they are still in the same epoch, are
// not served either, and which cancellations they may have told of that the others do not
// know.
//
// Why that is safe. A controller that takes a machine over in a later epoch waits until
// the former owner can have answered no more: span after it entered that epoch. Whoever
// enters it has said in some round k, before, that it had not. A member's own word of
// round k-1 was sent before the leader asked round k, so before anybody's word of round
// k: counted from there, span ends before the new owner's wait does. It takes the word of
// every controller of the site, in the map or not, so no quorum is counted: where one is
// missing, all fall silent as they always did.
//
// Why no task of a cancelled job is kept by it. A controller tells of a cancellation that
// its mirror holds, whoever wrote it, or of one that it wrote itself: its Log lists both. What
// was told before a controller's word is in that word, or in the mirror of whoever answers,
// and is stopped with each answer; what is told after it finds all answers over within span,
// since span counts from before the word, unless a later round lists it.
package degraded

import (
	"slices"
	"time"
)

// Vote is what one controller says in a round.
type Vote struct {
	Round          uint64   `json:"round"`
	Epoch          uint64   `json:"epoch"`               // that it acts in
	StoreDown      bool     `json:"out"`                 // the state service does not serve it
	MirrorRevision uint64   `json:"revision"`            // its mirror holds all up to here, 0: it has none
	LoadedRevision uint64   `json:"loaded"`              // what it told before it was restarted is no newer
	CancelledSince uint64   `json:"since"`               // Cancelled lists all it may have told of since this revision
	Cancelled      []string `json:"cancelled,omitempty"` // jobs
	// IncludesMirror says that Cancelled holds what the mirror brought too. An older version lists
	// only what it wrote itself and was answered: its word is not enough.
	IncludesMirror bool `json:"mirrored,omitempty"`
}

// Round is the leader's question of a round, with the outcome of the earlier ones.
type Round struct {
	Number         uint64   `json:"round"`
	CancelledSince uint64   `json:"since"`            // list the cancellations told since this revision
	AgreedRound    uint64   `json:"agreed,omitempty"` // the last round in which all agreed, 0: none
	Cancelled      []string `json:"void,omitempty"`   // jobs of which somebody was told that they are
	// VotesIncludeMirror says that Agreed rests on words that were.
	VotesIncludeMirror bool `json:"mirrored,omitempty"`
}

// Coordinator asks the rounds. The zero value is ready.
type Coordinator struct {
	round          uint64
	startedAt      time.Duration
	votes          map[string]Vote
	complete       bool // all words of the round are in
	agreedRound    uint64
	cancelledSince uint64
	cancelledJobs  []string
	serveUntil     time.Duration
}

// NextRound is the question to be asked now, if one is due: every has passed since the last,
// and all have answered that or never will.
func (l *Coordinator) NextRound(now, every, span time.Duration) (Round, bool) {
	switch {
	case l.round == 0 || l.complete && now-l.startedAt >= every:
		l.round++
	case !l.complete && now-l.startedAt >= span:
		// Who has not answered by now may never have been asked: nothing may rest on
		// the round before the next one, so that gets no number.
		l.round += 2
	default:
		return Round{}, false
	}
	l.startedAt, l.complete, l.votes = now, false, map[string]Vote{}
	return Round{Number: l.round, CancelledSince: l.cancelledSince, AgreedRound: l.agreedRound, Cancelled: l.cancelledJobs, VotesIncludeMirror: true}, true
}

// ReceiveVote takes a controller's word. epoch is the leader's own; labels are all controllers,
// the leader too.
func (l *Coordinator) ReceiveVote(label string, w Vote, epoch uint64, span time.Duration, labels []string) {
	if w.Round != l.round || l.complete {
		return
	}
	l.votes[label] = w
	for _, x := range labels {
		if _, ok := l.votes[x]; !ok {
			return
		}
	}
	l.complete = true
	least, most := ^uint64(0), uint64(0)
	agreed := true
	var cancelled []string
	for _, x := range labels {
		w := l.votes[x]
		agreed = agreed && w.StoreDown && w.Epoch == epoch && w.MirrorRevision > 0 && w.IncludesMirror
		least = min(least, w.MirrorRevision)
		most = max(most, w.LoadedRevision, w.CancelledSince)
		cancelled = append(cancelled, w.Cancelled...)
	}
	l.cancelledSince = least
	if !agreed || least < most {
		return // somebody may have told of a cancellation that another does not know
	}
	slices.Sort(cancelled)
	l.agreedRound, l.cancelledJobs = l.round, slices.Compact(cancelled)
	l.serveUntil = l.startedAt + span
}

// CancelledJobs lists the jobs that the leader's own tasks must be stopped of, too.
func (l *Coordinator) CancelledJobs() []string { return l.cancelledJobs }

// MayServeUntil is until when the leader itself may go on.
func (l *Coordinator) MayServeUntil() time.Duration { return l.serveUntil }

// Voter answers the rounds. The zero value is ready.
type Voter struct {
	lastRound, previousRound uint64 // the rounds answered last, and when
	lastVotedAt              time.Duration
	previousVotedAt          time.Duration
	serveUntil               time.Duration
}

// HandleRound notes that the word on a question leaves now, and takes what it tells of earlier
// rounds.
func (m *Voter) HandleRound(now, span time.Duration, a Round) {
	if a.Number <= m.lastRound {
		return // an old question: its answer is not the first
	}
	if a.VotesIncludeMirror && a.AgreedRound > 0 && a.AgreedRound == m.lastRound && m.previousRound+1 == m.lastRound {
		m.serveUntil = max(m.serveUntil, m.previousVotedAt+span)
	}
	m.previousRound, m.previousVotedAt = m.lastRound, m.lastVotedAt
	m.lastRound, m.lastVotedAt = a.Number, now
}

// MayServeUntil is until when this member may go on.
func (m *Voter) MayServeUntil() time.Duration { return m.serveUntil }
