package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
)

// maxClockDriftRatio is the largest difference between two monotonic clocks over a measured
// duration, as a fraction of that duration.
const maxClockDriftRatio = 0.0005

// intervals are the timeouts and periods of the core. They are derived from the site's settings by
// fixed ratios, so that they keep the same order on a site with other leases.
type intervals struct {
	workerLease        time.Duration // how long a worker runs its tasks without a response to a heartbeat
	heartbeat          time.Duration // period of the workers' heartbeats
	memberLease        time.Duration // this controller's own lease in the state service
	maxStaleness       time.Duration // how long a lease renewal or the mirror counts as fresh
	machineLeaseExpiry time.Duration // time without a renewal after which a worker has certainly ended its tasks
	reservationExpiry  time.Duration // time without new tasks after which a machine's idle capacity is open to best-effort teams too
	machineBackoff     time.Duration // how long no task of a job is placed on a machine after one has failed there
	maintenance        time.Duration // period of the leader's slow round: fleet, job views, attempts that could not be placed
	scheduling         time.Duration // period of the leader's quick round: rank and dispatch
	readSpacing        time.Duration // shortest time between two read barriers, and between two watches
	pageSpacing        time.Duration // shortest time between two pages of a load
}

// maintenancePeriod is the time between two slow rounds of the leader.
const maintenancePeriod = time.Second

// maxRetryPause limits how long failed work waits for its retry, whatever the site's leases. The
// users require that no job waits for 90 s while a suitable machine has capacity, once all faults
// are over, and the controllers cannot observe when that is. A third of the 90 s is left for the
// retry itself.
const maxRetryPause = time.Minute

func newIntervals(settings *config.Settings) intervals {
	site := &settings.Site
	lease, heartbeat := config.Seconds(site.Workers.LeaseS), config.Seconds(site.Workers.HeartbeatS)
	// The keys of a member that dies exist for memberLease, so this bounds the time of a failover.
	// A member that is partitioned from the state service serves workers only for maxStaleness,
	// which must end before memberLease does. maxStaleness + workerLease stays below cancel_s.
	memberLease := min(lease*2/5, (config.Seconds(site.Workers.CancelS)-lease)*4/5)
	maxStaleness := memberLease * 17 / 20
	// A former owner may renew the worker's lease for maxStaleness on its own clock, and the worker
	// then measures the lease on a third clock. The margin covers the drift between these clocks.
	driftMargin := time.Duration(4 * maxClockDriftRatio * float64(lease+maxStaleness))
	// The watches and barriers of all controllers together use at most half of the state service's
	// request rate.
	nodes := float64(len(settings.Siblings) + 1)
	readSpacing := time.Duration(4 * nodes / site.Store.Lowest().RPS * float64(time.Second))
	return intervals{
		workerLease:        lease,
		heartbeat:          heartbeat,
		memberLease:        memberLease,
		maxStaleness:       maxStaleness,
		machineLeaseExpiry: lease + driftMargin + heartbeat/8,
		reservationExpiry:  2 * lease,
		machineBackoff:     min(4*lease, maxRetryPause),
		maintenance:        maintenancePeriod,
		scheduling:         min(heartbeat/6, maintenancePeriod),
		readSpacing:        readSpacing,
		pageSpacing:        readSpacing / 3, // three quarters of the request rate if all controllers load at once
	}
}

func scaleDuration(span time.Duration, factor float64) time.Duration {
	return time.Duration(float64(span) * factor)
}
