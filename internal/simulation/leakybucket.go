package simulation

import "time"

// leakyBucket is a rate limit that allows bursts.
type leakyBucket struct {
	used      float64 // what was taken and has not leaked yet
	updatedAt time.Duration
}

// take reports whether requests are allowed by a limit of rate a second, with bursts of
// burstSeconds' worth, and counts them if they are.
func (b *leakyBucket) take(now time.Duration, requests, rate, burstSeconds float64) bool {
	b.used = max(b.used-(now-b.updatedAt).Seconds()*rate, 0)
	b.updatedAt = now
	if b.used+requests > burstSeconds*rate {
		return false
	}
	b.used += requests
	return true
}
