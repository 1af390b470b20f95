package kvserver

import (
	"testing"
	"time"
)

// The limiter admits a burst of one second's worth of requests and writes, and then as many as the
// rates allow. Refused requests count towards neither limit.
func TestLimiterAdmitsOneSecondBurstThenRate(t *testing.T) {
	for _, test := range []struct {
		name         string
		requests     float64 // limit of requests per second
		writes       float64 // limit of writes per second
		writesOfEach int     // number of writes in each request
		wantAdmitted int
	}{
		{"burst of requests", 40, 1000, 1, 40},
		{"burst of writes", 1000, 40, 1, 40},
		{"burst of larger writes", 1000, 40, 16, 2},
		{"request with more writes than the limit per second", 1000, 15, 16, 0},
		{"requests without writes do not count as writes", 100, 0, 0, 100},
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
				t.Errorf("%d requests admitted at first, want %d", got, test.wantAdmitted)
			}
			if got := admit(500 * time.Millisecond); got != test.wantAdmitted/2 {
				t.Errorf("%d requests admitted after half a second, want %d", got, test.wantAdmitted/2)
			}
			if got, want := l.throttledCount(), int64(2*tries-test.wantAdmitted-test.wantAdmitted/2); got != want {
				t.Errorf("%d requests throttled, want %d", got, want)
			}
		})
	}
}
