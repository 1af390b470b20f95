package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
)

// maxClockDriftRatio is how far two monotonic clocks may part, as a share of the span measured.
const maxClockDriftRatio = 0.0005

// intervals are the spans that the rules rest on. They are ratios to the site's settings, so
// that a site with other leases keeps the same order between them.
type intervals struct {
	workerLease        time.Duration // how long a worker runs its tasks without an answer
	heartbeat          time.Duration // how often workers report
	memberLease        time.Duration // this controller's own lease in the state service
	maxStaleness       time.Duration // how long a renewal, or the mirror, counts as fresh
	machineLeaseExpiry time.Duration // silence after which a worker has surely dropped its tasks
	reservationExpiry  time.Duration // after which capacity that nobody was given is for whoever waits
	machineBackoff     time.Duration // how long a machine gets no more of a job that has failed there
	maintenance        time.Duration // the leader's slow round: fleet, views, what could not be placed
	scheduling         time.Duration // the leader's quick round: rank and dispatch
	readSpacing        time.Duration // the shortest time between two barriers, and between two watches
	pageSpacing        time.Duration // the shortest time between two pages of a load
}

// maintenancePeriod is the length of the leader's slow round.
const maintenancePeriod = time.Second

// maxRetryPause bounds how long work that has failed waits for its next try, however long the site's
// leases: the users' rule is that no job waits for 90 s while a machine that fits has room, once all
// faults are over, and nobody tells us that they are. A third of that is left for the try itself.
const maxRetryPause = time.Minute

// newIntervals derives the spans from the settings.
func newIntervals(settings *config.Settings) intervals {
	site := &settings.Site
	lease, heartbeat := config.Seconds(site.Workers.LeaseS), config.Seconds(site.Workers.HeartbeatS)
	// A member that dies keeps its key for memberLease, so this bounds a failover; one that is
	// cut off from the state service answers workers only for maxStaleness, which must end
	// before memberLease does. maxStaleness + workerLease stays below cancel_s.
	memberLease := min(lease*2/5, (config.Seconds(site.Workers.CancelS)-lease)*4/5)
	maxStaleness := memberLease * 17 / 20
	// A worker counts its lease on its own clock, from an answer that may be maxStaleness old.
	driftMargin := time.Duration(4 * maxClockDriftRatio * float64(lease+maxStaleness))
	// All nodes' watches and barriers together take at most half of the requests.
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
		pageSpacing:        readSpacing / 3, // if all nodes load at once, three quarters
	}
}

// scaleDuration multiplies a span by a factor.
func scaleDuration(span time.Duration, factor float64) time.Duration {
	return time.Duration(float64(span) * factor)
}
