package degraded

import (
	"flag"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "600", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const (
	window   = 1000 * time.Millisecond
	interval = 100 * time.Millisecond

	leaderEpoch = 5
	laterEpoch  = 6
)

// controllerLabels names the controllers of the largest site in the tests; the first one leads.
var controllerLabels = []string{"a", "b", "c", "d"}

// drawLabels draws a site of two to four controllers.
func drawLabels(t *rapid.T) []string {
	return controllerLabels[:rapid.IntRange(2, 4).Draw(t, "controllers")]
}

// permittingVote returns a vote that permits serving.
func permittingVote(round, mirrorRevision uint64) Vote {
	return Vote{Round: round, Epoch: leaderEpoch, StoreDown: true, MirrorRevision: mirrorRevision, IncludesMirror: true}
}

// runRounds runs rounds among the leader, a voter that always permits serving, and a third
// controller whose votes thirdVote returns.
func runRounds(rounds int, thirdVote func(round uint64) Vote) (coordinator Coordinator, voter Voter) {
	labels := controllerLabels[:3]
	for now := time.Duration(0); rounds > 0; now += interval {
		round, due := coordinator.NextRound(now, interval, window)
		if !due {
			continue
		}
		rounds--
		coordinator.ReceiveVote("a", permittingVote(round.Number, 40), leaderEpoch, window, labels)
		voter.HandleRound(now, window, round)
		coordinator.ReceiveVote("b", permittingVote(round.Number, 40), leaderEpoch, window, labels)
		coordinator.ReceiveVote("c", thirdVote(round.Number), leaderEpoch, window, labels)
	}
	return coordinator, voter
}

func TestServingContinuesWhenAllVotesAgree(t *testing.T) {
	coordinator, voter := runRounds(4, func(round uint64) Vote { return permittingVote(round, 50) })
	if got, want := coordinator.MayServeUntil(), 300*time.Millisecond+window; got != want {
		t.Errorf("the leader may serve until %v, want %v", got, want)
	}
	if got, want := voter.MayServeUntil(), 100*time.Millisecond+window; got != want {
		t.Errorf("the voter may serve until %v, want %v", got, want)
	}
}

func TestOneDissentingVoteStopsServing(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Vote)
	}{
		{"state service serves the controller", func(v *Vote) { v.StoreDown = false }},
		{"controller is in a later epoch", func(v *Vote) { v.Epoch = laterEpoch }},
		{"mirror is not loaded", func(v *Vote) { v.MirrorRevision = 0 }},
		{"controller may have acknowledged newer cancellations before a restart", func(v *Vote) { v.LoadedRevision = 41 }},
		{"log has dropped newer cancellations", func(v *Vote) { v.CancelledSince = 41 }},
		{"vote is for an older round", func(v *Vote) { v.Round-- }},
		{"vote lists only own writes", func(v *Vote) { v.IncludesMirror = false }},
	} {
		t.Run(test.name, func(t *testing.T) {
			coordinator, voter := runRounds(4, func(round uint64) Vote {
				vote := permittingVote(round, 50)
				test.change(&vote)
				return vote
			})
			if coordinator.MayServeUntil() != 0 || voter.MayServeUntil() != 0 {
				t.Errorf("the leader may serve until %v, the voter until %v, want 0 for both", coordinator.MayServeUntil(), voter.MayServeUntil())
			}
		})
	}
}

// A leader of an older version does not require that votes include the cancellations of the
// mirrors, and leaves VotesIncludeMirror unset.
func TestVoterIgnoresOutcomeOfOlderLeader(t *testing.T) {
	var voter Voter
	for number := uint64(1); number < 5; number++ {
		voter.HandleRound(time.Duration(number)*interval, window, Round{Number: number, AgreedRound: number - 1})
	}
	if voter.MayServeUntil() != 0 {
		t.Fatal(voter.MayServeUntil())
	}
}

func TestCancelledJobsOfVotesAreSortedAndUnique(t *testing.T) {
	coordinator, _ := runRounds(3, func(round uint64) Vote {
		vote := permittingVote(round, 50)
		vote.CancelledSince, vote.Cancelled = 40, []string{"job-2", "job-1", "job-2"}
		return vote
	})
	if !slices.Equal(coordinator.CancelledJobs(), []string{"job-1", "job-2"}) {
		t.Fatal(coordinator.CancelledJobs())
	}
}
