package mirror

import "time"

// pacer sends requests of one kind at least an interval apart.
//
// This keeps the controllers within the state service's rate limit. When many small jobs run at
// the same time, every change completes the watch of every controller, and every poll requests a
// barrier. Without the interval, the next watch or barrier was sent as soon as a response arrived, until lease renewals
// and submissions were refused with status 429.
type pacer struct {
	nextAt time.Duration // the earliest time for the next request
}

// send calls request: at once, or when an interval has passed since the previous request.
func (p *pacer) send(host Host, interval time.Duration, request func()) {
	now := host.Now()
	sendAt := max(p.nextAt, now)
	p.nextAt = sendAt + interval // set first, because request may call send
	if sendAt == now {
		request()
	} else {
		host.After(sendAt-now, request)
	}
}
