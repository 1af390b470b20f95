package degraded

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// takeoverSimulation tests the argument "Why no machine is served by two owners" of the package
// comment: controllers enter a later epoch at any time, while messages are delayed or lost.
type takeoverSimulation struct {
	t           *rapid.T
	labels      []string
	entersAt    map[string]time.Duration // when each controller enters the later epoch
	coordinator Coordinator
	voters      map[string]*Voter
	network     []message
}

// message is a round in flight to a voter or, if from is set, a vote in flight to the leader.
type message struct {
	arrives time.Duration
	to      string
	round   Round
	from    string
	vote    Vote
}

func (m *message) equal(other *message) bool {
	return m.arrives == other.arrives && m.to == other.to && m.round.Number == other.round.Number &&
		m.from == other.from && m.vote.Round == other.vote.Round
}

func newTakeoverSimulation(t *rapid.T) *takeoverSimulation {
	s := &takeoverSimulation{t: t, labels: drawLabels(t), entersAt: map[string]time.Duration{}, voters: map[string]*Voter{}}
	for _, label := range s.labels {
		s.entersAt[label] = time.Hour // never, within the test
		if rapid.IntRange(0, 2).Draw(t, "enters") == 1 {
			s.entersAt[label] = s.drawDelay("entry time", 4000)
		}
	}
	for _, label := range s.labels[1:] {
		s.voters[label] = &Voter{}
	}
	return s
}

func (s *takeoverSimulation) drawDelay(drawName string, maxMillis int) time.Duration {
	return time.Duration(rapid.IntRange(0, maxMillis).Draw(s.t, drawName)) * time.Millisecond
}

func (s *takeoverSimulation) drawLost() bool { return rapid.IntRange(0, 19).Draw(s.t, "lost") == 7 }

func (s *takeoverSimulation) voteOf(label string, now time.Duration, round uint64) Vote {
	vote := permittingVote(round, 40)
	if now >= s.entersAt[label] {
		vote.Epoch = laterEpoch
	}
	return vote
}

func (s *takeoverSimulation) step(now time.Duration) {
	if round, due := s.coordinator.NextRound(now, interval, window); due {
		s.openRound(now, round)
	}
	for _, m := range slices.Clone(s.network) {
		if m.arrives <= now {
			s.network = slices.DeleteFunc(s.network, func(other message) bool { return other.equal(&m) })
			s.deliver(now, &m)
		}
	}
}

func (s *takeoverSimulation) openRound(now time.Duration, round Round) {
	leader := s.labels[0]
	s.coordinator.ReceiveVote(leader, s.voteOf(leader, now, round.Number), leaderEpoch, window, s.labels)
	for _, label := range s.labels[1:] {
		if !s.drawLost() {
			s.network = append(s.network, message{arrives: now + s.drawDelay("delay of a round", 1600), to: label, round: round})
		}
	}
}

func (s *takeoverSimulation) deliver(now time.Duration, m *message) {
	if m.from != "" {
		s.coordinator.ReceiveVote(m.from, m.vote, leaderEpoch, window, s.labels)
		return
	}
	s.voters[m.to].HandleRound(now, window, m.round)
	if !s.drawLost() {
		vote := s.voteOf(m.to, now, m.round.Number)
		s.network = append(s.network, message{arrives: now + s.drawDelay("delay of a vote", 300), from: m.to, vote: vote})
	}
}

// firstEntry returns when the first controller enters the later epoch.
func (s *takeoverSimulation) firstEntry() time.Duration {
	first := s.entersAt[s.labels[0]]
	for _, entered := range s.entersAt {
		first = min(first, entered)
	}
	return first
}

func TestNoControllerServesPastANewOwnersWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTakeoverSimulation(t)
		for now := time.Duration(0); now < 6*time.Second; now += 10 * time.Millisecond {
			s.step(now)
		}
		first := s.firstEntry()
		if until := s.coordinator.MayServeUntil(); until > first+window {
			t.Fatalf("the leader may serve until %v, more than a window after a new owner enters the epoch at %v", until, first)
		}
		for label, voter := range s.voters {
			if until := voter.MayServeUntil(); until > first+window {
				t.Fatalf("%s may serve until %v, more than a window after a new owner enters the epoch at %v", label, until, first)
			}
		}
	})
}
