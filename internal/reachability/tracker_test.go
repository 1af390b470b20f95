package reachability

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const second = time.Second

// fleet is a Fleet of as many machines as are known, all of them owned and registered.
type fleet struct {
	known     []string
	heard     bool
	confirmed bool
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for i := range n {
		f.known = append(f.known, fmt.Sprintf("n-%03d", i))
	}
	return f
}

func (f *fleet) KnownCount() int      { return len(f.known) }
func (f *fleet) KnownNames() []string { return f.known }
func (f *fleet) OwnedCount() int      { return len(f.known) }
func (f *fleet) RegisteredCount() int { return len(f.known) }
func (f *fleet) HeardWithin(time.Duration) (heard, confirmed bool) {
	return f.heard, f.confirmed
}

func newTracker() *Tracker { return &Tracker{Lease: 12 * second, Heartbeat: 2 * second} }

// runChecks checks four times a second from one moment to another, and returns when the
// tracker left the map or rejoined it, 0: never.
func runChecks(t *Tracker, f *fleet, from, to time.Duration, member bool, each func(now time.Duration, v Verdict)) (left, rejoined time.Duration) {
	for now := from; now < to; now += second / 4 {
		v := t.Check(View{Now: now, IsMember: member, Fleet: f})
		if each != nil {
			each(now, v)
		}
		if v.Left && left == 0 {
			left = now
		}
		if v.Rejoined && rejoined == 0 {
			rejoined = now
		}
	}
	return left, rejoined
}

func TestSilentMemberProbesBeforeItLeaves(t *testing.T) {
	tracker, f, probed := newTracker(), newFleet(20), 0
	f.heard = true // within a third of a lease, which is longer
	tracker.Contact(10 * second)
	left, _ := runChecks(tracker, f, 10*second, 30*second, true, func(_ time.Duration, v Verdict) {
		if !tracker.Unreachable() {
			probed += len(v.Probe)
		}
	})
	if left < 12*second || left > 14*second {
		t.Errorf("left after %v of silence, want 2 s to 4 s", left-10*second)
	}
	if probed != probesPerRound {
		t.Errorf("%d machines were probed before, want %d", probed, probesPerRound)
	}
}

// The same silence with and without an answer to the probes, until heartbeats come again.
func TestOnlyProbeReplyKeepsSilentMember(t *testing.T) {
	for _, answered := range []bool{true, false} {
		tracker, f := newTracker(), newFleet(20)
		f.heard = true
		tracker.Contact(10 * second)
		left, _ := runChecks(tracker, f, 10*second, 60*second, true, func(now time.Duration, v Verdict) {
			for range v.Probe {
				tracker.ProbeEnded(now, answered)
			}
			if now >= 14*second {
				tracker.Contact(now)
			}
		})
		if stayed := left == 0; stayed != answered {
			t.Errorf("stayed %v with probes answered %v", stayed, answered)
		}
	}
}

func TestSilenceOfSingleMachineIsIgnored(t *testing.T) {
	tracker, f := newTracker(), newFleet(1)
	if left, _ := runChecks(tracker, f, 10*second, 100*second, true, nil); left != 0 {
		t.Errorf("left at %v for the silence of one machine", left)
	}
}

func TestMemberLeavesAfterLostCallsDespiteHeartbeats(t *testing.T) {
	tracker, f := newTracker(), newFleet(20)
	f.heard, f.confirmed = true, true
	left, _ := runChecks(tracker, f, 10*second, 30*second, true, func(now time.Duration, v Verdict) {
		tracker.Contact(now)
		if now%second == 0 {
			tracker.CallEnded(now, false)
		}
	})
	if left == 0 || left > 18*second {
		t.Errorf("left at %v, want within 8 s of the first lost call", left)
	}
}

func TestRejoinNeedsProbeReplyAndFullAbsence(t *testing.T) {
	tracker, f := newTracker(), newFleet(20)
	tracker.Contact(10 * second)
	left, _ := runChecks(tracker, f, 10*second, 20*second, true, nil)
	if _, rejoined := runChecks(tracker, f, 20*second, 60*second, false, nil); rejoined != 0 {
		t.Fatalf("rejoined at %v without an answer", rejoined)
	}
	_, rejoined := runChecks(tracker, f, 60*second, 80*second, false, func(now time.Duration, v Verdict) {
		for range v.Probe {
			tracker.ProbeEnded(now, true)
		}
	})
	if rejoined < left+tracker.Lease || rejoined > 65*second {
		t.Errorf("rejoined at %v, having left at %v", rejoined, left)
	}
}

func TestRepeatedLeavesDoubleAbsence(t *testing.T) {
	tracker, f := newTracker(), newFleet(20)
	var away []time.Duration
	member, left := true, time.Duration(0)
	for now := 10 * second; now < 600*second; now += second / 4 {
		v := tracker.Check(View{Now: now, IsMember: member, MemberSince: now - 20*second, Fleet: f})
		switch {
		case v.Left:
			member, left = false, now
		case v.Rejoined:
			member, away = true, append(away, now-left)
		}
		for range v.Probe {
			if !member {
				tracker.ProbeEnded(now, true) // answers calls, and is never heard as a member
			}
		}
	}
	if len(away) < 3 || !slices.IsSorted(away) || away[1] < 2*away[0]-5*second {
		t.Errorf("was away for %v, want each about twice as long as the one before", away)
	}
}

func TestSuccessiveProbesCoverAllMachines(t *testing.T) {
	tracker, f, asked := newTracker(), newFleet(9), map[string]int{}
	runChecks(tracker, f, 100*second, 130*second, false, func(_ time.Duration, v Verdict) {
		for _, name := range v.Probe {
			asked[name]++
		}
	})
	if len(asked) != 9 {
		t.Errorf("%d of 9 machines were asked", len(asked))
	}
}
