package kvserver

import (
	"sync"
	"time"
)

// limiter admits requests up to so many requests and writes a second. Any goroutine may
// use it.
type limiter struct {
	requestsPerSecond float64
	writesPerSecond   float64

	mu        sync.Mutex
	requests  leakyBucket
	writes    leakyBucket
	throttled int64
}

// admit reports whether a request with so many writes is within the limits. Counted is
// what is admitted: a request that is refused takes nothing of the second's worth.
func (l *limiter) admit(now time.Duration, writes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requests.fits(now, 1, l.requestsPerSecond) && l.writes.fits(now, float64(writes), l.writesPerSecond) {
		l.requests.level++
		l.writes.level += float64(writes)
		return true
	}
	l.throttled++
	return false
}

// throttledCount is how many requests were refused.
func (l *limiter) throttledCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.throttled
}

// leakyBucket is a limit by the second that allows bursts of one second's worth.
type leakyBucket struct {
	level     float64
	updatedAt time.Duration
}

// fits lets out what has leaked until now, at a rate by the second, and reports whether
// the amount would fit in.
func (b *leakyBucket) fits(now time.Duration, amount, rate float64) bool {
	b.level = max(b.level-(now-b.updatedAt).Seconds()*rate, 0)
	b.updatedAt = now
	return b.level+amount <= rate
}
