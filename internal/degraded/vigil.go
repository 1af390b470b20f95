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

// Word is what one controller says in a round.
type Word struct {
	Round     uint64   `json:"round"`
	Epoch     uint64   `json:"epoch"`               // that it acts in
	Out       bool     `json:"out"`                 // the state service does not serve it
	Revision  uint64   `json:"revision"`            // its mirror holds all up to here, 0: it has none
	Loaded    uint64   `json:"loaded"`              // what it told before it was restarted is no newer
	Since     uint64   `json:"since"`               // Cancelled lists all it may have told of since this revision
	Cancelled []string `json:"cancelled,omitempty"` // jobs
	// Mirrored says that Cancelled holds what the mirror brought too. An older version lists
	// only what it wrote itself and was answered: its word is not enough.
	Mirrored bool `json:"mirrored,omitempty"`
}

// Ask is the leader's question of a round, with the outcome of the earlier ones.
type Ask struct {
	Round     uint64   `json:"round"`
	Since     uint64   `json:"since"`            // list the cancellations told since this revision
	Agreed    uint64   `json:"agreed,omitempty"` // the last round in which all agreed, 0: none
	Cancelled []string `json:"void,omitempty"`   // jobs of which somebody was told that they are
	// Mirrored says that Agreed rests on words that were.
	Mirrored bool `json:"mirrored,omitempty"`
}

// Leader asks the rounds. The zero value is ready.
type Leader struct {
	round     uint64
	asked     time.Duration
	words     map[string]Word
	done      bool // all words of the round are in
	agreed    uint64
	since     uint64
	cancelled []string
	till      time.Duration
}

// Next is the question to be asked now, if one is due: every has passed since the last,
// and all have answered that or never will.
func (l *Leader) Next(now, every, span time.Duration) (Ask, bool) {
	switch {
	case l.round == 0 || l.done && now-l.asked >= every:
		l.round++
	case !l.done && now-l.asked >= span:
		// Who has not answered by now may never have been asked: nothing may rest on
		// the round before the next one, so that gets no number.
		l.round += 2
	default:
		return Ask{}, false
	}
	l.asked, l.done, l.words = now, false, map[string]Word{}
	return Ask{Round: l.round, Since: l.since, Agreed: l.agreed, Cancelled: l.cancelled, Mirrored: true}, true
}

// Hear takes a controller's word. epoch is the leader's own; labels are all controllers,
// the leader too.
func (l *Leader) Hear(label string, w Word, epoch uint64, span time.Duration, labels []string) {
	if w.Round != l.round || l.done {
		return
	}
	l.words[label] = w
	for _, x := range labels {
		if _, ok := l.words[x]; !ok {
			return
		}
	}
	l.done = true
	least, most := ^uint64(0), uint64(0)
	agreed := true
	var cancelled []string
	for _, x := range labels {
		w := l.words[x]
		agreed = agreed && w.Out && w.Epoch == epoch && w.Revision > 0 && w.Mirrored
		least = min(least, w.Revision)
		most = max(most, w.Loaded, w.Since)
		cancelled = append(cancelled, w.Cancelled...)
	}
	l.since = least
	if !agreed || least < most {
		return // somebody may have told of a cancellation that another does not know
	}
	slices.Sort(cancelled)
	l.agreed, l.cancelled = l.round, slices.Compact(cancelled)
	l.till = l.asked + span
}

// Cancelled lists the jobs that the leader's own tasks must be stopped of, too.
func (l *Leader) Cancelled() []string { return l.cancelled }

// Till is until when the leader itself may go on.
func (l *Leader) Till() time.Duration { return l.till }

// Member answers the rounds. The zero value is ready.
type Member struct {
	last, before uint64 // the rounds answered last, and when
	lastAt       time.Duration
	beforeAt     time.Duration
	till         time.Duration
}

// Answer notes that the word on a question leaves now, and takes what it tells of earlier
// rounds.
func (m *Member) Answer(now, span time.Duration, a Ask) {
	if a.Round <= m.last {
		return // an old question: its answer is not the first
	}
	if a.Mirrored && a.Agreed > 0 && a.Agreed == m.last && m.before+1 == m.last {
		m.till = max(m.till, m.beforeAt+span)
	}
	m.before, m.beforeAt = m.last, m.lastAt
	m.last, m.lastAt = a.Round, now
}

// Till is until when this member may go on.
func (m *Member) Till() time.Duration { return m.till }
