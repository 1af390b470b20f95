package simulation

import "time"

// leakyBucket is a rate limiter that allows bursts. Its zero value is ready for use.
type leakyBucket struct {
	used      float64 // requests that were counted and have not leaked yet
	updatedAt time.Duration
}

// allow reports whether a number of requests is allowed by a limit of rate requests per second,
// with bursts of up to rate*burstSeconds requests, and counts them if they are allowed.
func (b *leakyBucket) allow(now time.Duration, requests, rate, burstSeconds float64) bool {
	b.used = max(b.used-(now-b.updatedAt).Seconds()*rate, 0)
	b.updatedAt = now
	if b.used+requests > burstSeconds*rate {
		return false
	}
	b.used += requests
	return true
}
