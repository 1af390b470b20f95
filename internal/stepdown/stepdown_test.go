package stepdown

import (
	"testing"
	"time"
)

const (
	baseBackoff  = 16 * time.Second
	gracePeriod  = 4 * time.Second
	takeoverTime = 4 * time.Second
	step         = time.Second / 4
)

// simulateFlapping plays an hour of a link that changes every period, and counts the step-downs.
// Whoever takes the lead is as badly off and loses it at once.
func simulateFlapping(tracker *Tracker, period time.Duration) (stepDowns int) {
	leads := true
	for now := time.Duration(0); now < time.Hour; now += step {
		if !leads {
			leads = !tracker.ShouldAbstain(now, true, 0, takeoverTime)
			continue
		}
		unable := now/period%2 == 0
		if tracker.ShouldStepDown(now, unable, gracePeriod) {
			tracker.SteppedDown(now)
			stepDowns++
			leads = false
		}
	}
	return stepDowns
}

func TestStepDownsPerHourAreBounded(t *testing.T) {
	for _, test := range []struct {
		period   time.Duration // in which a link changes
		stepDown bool          // it is cut for longer than the patience
	}{
		{3 * time.Second, false},
		{5 * time.Second, true},
		{20 * time.Second, true},
		{300 * time.Second, true},
	} {
		t.Run(test.period.String(), func(t *testing.T) {
			tracker := &Tracker{BaseBackoff: baseBackoff}
			stepDowns := simulateFlapping(tracker, test.period)
			if stepDowns > tracker.MaxStepDownsPerHour() || (stepDowns > 0) != test.stepDown {
				t.Errorf("%d step-downs in an hour, bound %d", stepDowns, tracker.MaxStepDownsPerHour())
			}
			checkVacantLeadIsTaken(t, tracker)
			checkBackoffIsReset(t, tracker)
		})
	}
}

// checkVacantLeadIsTaken checks that a controller takes the lead when nobody else does.
func checkVacantLeadIsTaken(t *testing.T, tracker *Tracker) {
	t.Helper()
	if tracker.ShouldAbstain(time.Hour, false, 0, takeoverTime) {
		t.Error("it abstains although no other controller lives")
	}
	if tracker.ShouldAbstain(time.Hour, true, takeoverTime+time.Second, takeoverTime) {
		t.Error("it abstains although no other controller took the lead")
	}
}

// checkBackoffIsReset checks that the back-off is the first again after hours of leading well.
func checkBackoffIsReset(t *testing.T, tracker *Tracker) {
	t.Helper()
	const later = 4 * time.Hour
	tracker.ShouldStepDown(time.Hour, false, gracePeriod)
	tracker.ShouldStepDown(later, false, gracePeriod)
	tracker.SteppedDown(later)
	if !tracker.ShouldAbstain(later+baseBackoff-time.Second, true, 0, takeoverTime) {
		t.Error("it takes the lead back before its back-off is over")
	}
	if tracker.ShouldAbstain(later+baseBackoff+time.Second, true, 0, takeoverTime) {
		t.Error("its back-off still counts step-downs from hours before")
	}
}
