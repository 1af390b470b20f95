package mirror

import "time"

// pacer keeps reads of one kind an interval apart.
//
// Guards the state service's rate limit: with a wave of small jobs every change ended the
// watch of every controller and every poll asked for a barrier, one after the other as fast
// as they were answered, until lease renewals and submissions got a 429.
type pacer struct {
	nextAt time.Duration
}

// send sends a read, at once unless the last one left less than an interval ago.
func (p *pacer) send(host Host, interval time.Duration, request func()) {
	now := host.Now()
	sendAt := max(p.nextAt, now)
	p.nextAt = sendAt + interval // before the request, which may send another
	if sendAt == now {
		request()
	} else {
		host.After(sendAt-now, request)
	}
}
