package core

// maxTxnOps returns how many keys one transaction may change, at least 1: the limit in the settings,
// or the number of changes that the store accepts in half a second if that is smaller. A larger
// transaction would never pass the rate limit while other clients write too.
func (c *Core) maxTxnOps() int {
	return max(min(c.storeLimits.MaxTxnOps, int(c.storeLimits.WriteRPS/2)), 1)
}

// writeRate returns the number of changes a second that this controller limits itself to. It is the
// store's present limit until the store first refuses a change because of its rate. From then on it
// is the smaller of the present and the announced future limit, for the lifetime of the process. If
// the refusal had another cause than the announced change, the only cost is a lower write rate.
func (c *Core) writeRate() float64 {
	if c.throttled {
		return c.storeLimits.WriteRPS
	}
	return c.settings.Site.Store.WriteRPS
}

// maxValueBytes returns how many bytes a value may have as JSON, in which the store counts its
// limits.
func (c *Core) maxValueBytes() int { return int(c.storeLimits.ValueKB * 1024) }
