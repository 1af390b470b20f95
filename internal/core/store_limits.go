package core

// maxTxnOps is how many keys one transaction may change: what the settings allow, and half of
// a second's changes, since a larger one would never pass the rate limit while others write too.
func (c *Core) maxTxnOps() int {
	return max(min(c.storeLimits.MaxTxnOps, int(c.storeLimits.WriteRPS/2)), 1)
}

// writeRate is the rate of changes that this node paces itself by: the present one until the
// state service refuses a change for its rate, then the smaller of that and the one to come,
// for good. If our own pace was the reason, nothing but some of that pace is lost.
func (c *Core) writeRate() float64 {
	if c.throttled {
		return c.storeLimits.WriteRPS
	}
	return c.settings.Site.Store.WriteRPS
}

// maxValueBytes is how many bytes a value may have, in the form in which limits are counted.
func (c *Core) maxValueBytes() int { return int(c.storeLimits.ValueKB * 1024) }
