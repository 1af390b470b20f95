package kvserver

import (
	"sync"
	"time"
)

// limiter limits the rates of requests and of writes, each with bursts of up to one second's worth.
// Any goroutine may use it.
type limiter struct {
	requestsPerSecond float64
	writesPerSecond   float64

	mu        sync.Mutex
	requests  leakyBucket
	writes    leakyBucket
	throttled int64
}

// admit reports whether a request with the given number of writes is within both limits. Only
// admitted requests count towards the limits, so a refused request does not reduce how many later
// ones are admitted.
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

// throttledCount returns the number of requests refused since the start.
func (l *limiter) throttledCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.throttled
}

// leakyBucket limits a rate per second and allows bursts of up to one second's worth.
type leakyBucket struct {
	level     float64 // amount in the bucket at updatedAt
	updatedAt time.Duration
}

// fits lowers the level by what has leaked since the last update, at the given rate per second, and
// reports whether the amount fits into the bucket. It doesn't add the amount.
func (b *leakyBucket) fits(now time.Duration, amount, rate float64) bool {
	b.level = max(b.level-(now-b.updatedAt).Seconds()*rate, 0)
	b.updatedAt = now
	return b.level+amount <= rate
}
