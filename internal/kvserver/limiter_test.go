package kvserver

import (
	"testing"
	"time"
)

// A second's worth may come at once; after that requests and writes are admitted as fast
// as their rates allow, and what is refused takes nothing.
func TestLimiterAdmitsOneSecondBurstThenRate(t *testing.T) {
	for _, test := range []struct {
		name         string
		requests     float64 // per second
		writes       float64 // per second
		writesOfEach int     // of each request
		wantAdmitted int
	}{
		{"burst of requests", 40, 1000, 1, 40},
		{"burst of writes", 1000, 40, 1, 40},
		{"burst of larger writes", 1000, 40, 16, 2},
		{"more writes than a second's worth", 1000, 15, 16, 0},
		{"reads are no writes", 100, 0, 0, 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := limiter{requestsPerSecond: test.requests, writesPerSecond: test.writes}
			const tries = 200
			admit := func(now time.Duration) (admitted int) {
				for range tries {
					if l.admit(now, test.writesOfEach) {
						admitted++
					}
				}
				return admitted
			}
			if got := admit(0); got != test.wantAdmitted {
				t.Errorf("%d admitted at first, want %d", got, test.wantAdmitted)
			}
			if got := admit(500 * time.Millisecond); got != test.wantAdmitted/2 {
				t.Errorf("%d admitted after half a second, want %d", got, test.wantAdmitted/2)
			}
			if got, want := l.throttledCount(), int64(2*tries-test.wantAdmitted-test.wantAdmitted/2); got != want {
				t.Errorf("%d throttled, want %d", got, want)
			}
		})
	}
}
