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

// simulateFlapping simulates an hour in which a link is cut and restored in turn, for a period
// each, and counts the step-downs. Whichever controller takes over has the same fault and loses
// leadership at once.
func simulateFlapping(tracker *Tracker, period time.Duration) (stepDowns int) {
	leading := true
	for now := time.Duration(0); now < time.Hour; now += step {
		if !leading {
			leading = !tracker.ShouldAbstain(now, true, 0, takeoverTime)
			continue
		}
		cannotServe := now/period%2 == 0
		if tracker.ShouldStepDown(now, cannotServe, gracePeriod) {
			tracker.SteppedDown(now)
			stepDowns++
			leading = false
		}
	}
	return stepDowns
}

func TestStepDownsPerHourAreBounded(t *testing.T) {
	for _, test := range []struct {
		period   time.Duration // between two changes of the link
		stepDown bool          // a step-down is expected: the link is cut for longer than gracePeriod
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
				t.Errorf("%d step-downs in an hour, want at most %d, and none only if the link is cut for less than gracePeriod", stepDowns, tracker.MaxStepDownsPerHour())
			}
			checkVacantLeadershipIsTaken(t, tracker)
			checkBackoffIsReset(t, tracker)
		})
	}
}

// checkVacantLeadershipIsTaken checks that a controller does not abstain when no other controller takes
// over leadership.
func checkVacantLeadershipIsTaken(t *testing.T, tracker *Tracker) {
	t.Helper()
	if tracker.ShouldAbstain(time.Hour, false, 0, takeoverTime) {
		t.Error("the controller abstains although no other controller is alive")
	}
	if tracker.ShouldAbstain(time.Hour, true, takeoverTime+time.Second, takeoverTime) {
		t.Error("the controller abstains although no other controller took over leadership in time")
	}
}

// checkBackoffIsReset checks that the backoff is BaseBackoff again after the controller has led for
// hours while able to serve.
func checkBackoffIsReset(t *testing.T, tracker *Tracker) {
	t.Helper()
	const later = 4 * time.Hour
	tracker.ShouldStepDown(time.Hour, false, gracePeriod)
	tracker.ShouldStepDown(later, false, gracePeriod)
	tracker.SteppedDown(later)
	if !tracker.ShouldAbstain(later+baseBackoff-time.Second, true, 0, takeoverTime) {
		t.Error("the controller takes over leadership before its backoff has ended")
	}
	if tracker.ShouldAbstain(later+baseBackoff+time.Second, true, 0, takeoverTime) {
		t.Error("the backoff still counts step-downs from hours before")
	}
}
