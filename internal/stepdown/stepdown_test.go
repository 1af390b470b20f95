package stepdown

import (
	"testing"
	"time"
)

// However its links flap, a controller hands over a bounded number of times in an hour; it
// takes the place back when nobody else does; and a day of peace makes it new.
func TestStepDownsPerHourAreBounded(t *testing.T) {
	const second = time.Second
	for _, period := range []time.Duration{3 * second, 5 * second, 20 * second, 300 * second} {
		h := &Tracker{BaseBackoff: 16 * second}
		handed, leads := 0, true
		for now := time.Duration(0); now < time.Hour; now += second / 4 {
			if !leads { // the one who took it is as badly off
				leads = !h.ShouldAbstain(now, true, 0, 4*second)
				continue
			}
			if h.ShouldStepDown(now, now/period%2 == 0, 4*second) {
				h.SteppedDown(now)
				handed, leads = handed+1, false
			}
		}
		if period == 3*second && handed > 0 || handed > h.MaxStepDownsPerHour() || period > 4*second && handed == 0 {
			t.Errorf("a link that flaps every %v: %d times in an hour, bound %d", period, handed, h.MaxStepDownsPerHour())
		}
		if h.ShouldAbstain(time.Hour, false, 0, 4*second) || h.ShouldAbstain(time.Hour, true, 5*second, 4*second) {
			t.Error("it stays back although nobody else can lead")
		}
		later := 4 * time.Hour
		h.ShouldStepDown(time.Hour, false, 4*second)
		h.ShouldStepDown(later, false, 4*second)
		h.SteppedDown(later)
		if !h.ShouldAbstain(later+15*second, true, 0, 4*second) || h.ShouldAbstain(later+17*second, true, 0, 4*second) {
			t.Error("after hours of leading well it is held against it how often it handed over before")
		}
	}
}
