package simulation

import "time"

// leakyBucket is a rate limit that allows bursts.
type leakyBucket struct {
	used      float64 // what was taken and has not leaked yet
	updatedAt time.Duration
}

// take takes so many requests out of a limit of rate a second, with bursts of so many
// seconds' worth, and reports whether they are allowed. Requests that are not allowed count
// for nothing.
func (b *leakyBucket) take(now time.Duration, requests, rate, burstSeconds float64) bool {
	b.used = max(b.used-(now-b.updatedAt).Seconds()*rate, 0)
	b.updatedAt = now
	if b.used+requests > burstSeconds*rate {
		return false
	}
	b.used += requests
	return true
}
