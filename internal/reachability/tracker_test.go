package reachability

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const second = time.Second

// fleet implements Fleet for machines that are all known, owned and registered.
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

// runChecks calls Check four times a second from one time to another and passes each verdict to
// the function each, if there is one. It returns when the tracker first left the shard map and
// when it first rejoined it, 0: never.
func runChecks(t *Tracker, f *fleet, from, to time.Duration, member bool, each func(now time.Duration, v Verdict)) (leftAt, rejoinedAt time.Duration) {
	for now := from; now < to; now += second / 4 {
		v := t.Check(View{Now: now, IsMember: member, Fleet: f})
		if each != nil {
			each(now, v)
		}
		if v.Left && leftAt == 0 {
			leftAt = now
		}
		if v.Rejoined && rejoinedAt == 0 {
			rejoinedAt = now
		}
	}
	return leftAt, rejoinedAt
}

func TestSilentMemberProbesBeforeItLeaves(t *testing.T) {
	tracker, f, probed := newTracker(), newFleet(20), 0
	f.heard = true // within a third of a lease, 4 s, so only the shorter limit of maxSilence applies
	tracker.Contact(10 * second)
	left, _ := runChecks(tracker, f, 10*second, 30*second, true, func(_ time.Duration, v Verdict) {
		if !tracker.Unreachable() {
			probed += len(v.Probe)
		}
	})
	if left < 12*second || left > 14*second {
		t.Errorf("left the shard map after %v of silence, want 2 s to 4 s", left-10*second)
	}
	if probed != probesPerRound {
		t.Errorf("%d machines were probed before leaving, want %d", probed, probesPerRound)
	}
}

// Two members hear no heartbeats for 4 s. The one whose probes get replies stays in the shard map,
// the other one leaves.
func TestOnlyProbeReplyKeepsSilentMember(t *testing.T) {
	for _, replied := range []bool{true, false} {
		tracker, f := newTracker(), newFleet(20)
		f.heard = true
		tracker.Contact(10 * second)
		left, _ := runChecks(tracker, f, 10*second, 60*second, true, func(now time.Duration, v Verdict) {
			for range v.Probe {
				tracker.ProbeEnded(now, replied)
			}
			if now >= 14*second {
				tracker.Contact(now)
			}
		})
		if stayed := left == 0; stayed != replied {
			t.Errorf("stayed in the shard map: %v, with probes answered: %v; want both equal", stayed, replied)
		}
	}
}

func TestSilenceOfSingleMachineIsIgnored(t *testing.T) {
	tracker, f := newTracker(), newFleet(1)
	if left, _ := runChecks(tracker, f, 10*second, 100*second, true, nil); left != 0 {
		t.Errorf("left the shard map at %v because one machine was silent, want never", left)
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
		t.Errorf("left the shard map at %v (0s: never), want within 8 s of the first lost call at 10 s", left)
	}
}

func TestRejoinNeedsProbeReplyAndFullAbsence(t *testing.T) {
	tracker, f := newTracker(), newFleet(20)
	tracker.Contact(10 * second)
	left, _ := runChecks(tracker, f, 10*second, 20*second, true, nil)
	if _, rejoined := runChecks(tracker, f, 20*second, 60*second, false, nil); rejoined != 0 {
		t.Fatalf("rejoined at %v without a reply to a probe, want never", rejoined)
	}
	_, rejoined := runChecks(tracker, f, 60*second, 80*second, false, func(now time.Duration, v Verdict) {
		for range v.Probe {
			tracker.ProbeEnded(now, true)
		}
	})
	if rejoined < left+tracker.Lease || rejoined > 65*second {
		t.Errorf("rejoined at %v after leaving at %v, want at least a lease later and before 65 s", rejoined, left)
	}
}

func TestRepeatedLeavesDoubleAbsence(t *testing.T) {
	tracker, f := newTracker(), newFleet(20)
	var absences []time.Duration
	member, leftAt := true, time.Duration(0)
	for now := 10 * second; now < 600*second; now += second / 4 {
		v := tracker.Check(View{Now: now, IsMember: member, MemberSince: now - 20*second, Fleet: f})
		switch {
		case v.Left:
			member, leftAt = false, now
		case v.Rejoined:
			member, absences = true, append(absences, now-leftAt)
		}
		for range v.Probe {
			if !member {
				tracker.ProbeEnded(now, true) // replies to probes, but no machine is heard while a member
			}
		}
	}
	if len(absences) < 3 || !slices.IsSorted(absences) || absences[1] < 2*absences[0]-5*second {
		t.Errorf("times outside the shard map: %v, want each about twice as long as the one before", absences)
	}
}

func TestSuccessiveProbesCoverAllMachines(t *testing.T) {
	tracker, f, probed := newTracker(), newFleet(9), map[string]int{}
	runChecks(tracker, f, 100*second, 130*second, false, func(_ time.Duration, v Verdict) {
		for _, name := range v.Probe {
			probed[name]++
		}
	})
	if len(probed) != 9 {
		t.Errorf("%d machines were probed, want all 9", len(probed))
	}
}
