package degraded

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// outageBegins is when the state service stops serving all controllers.
	outageBegins = 800 * time.Millisecond
	outageEnds   = 4 * time.Second
)

// simulatedController is one controller of a cancellationSimulation. The leader is labelled "a".
type simulatedController struct {
	log            CancellationLog
	mirrorRevision uint64                   // its mirror has every change up to this revision
	learned        map[string]bool          // cancelled jobs that a round's outcome listed
	acknowledgedAt map[string]time.Duration // when it first acknowledged a job's cancellation to a user
}

func (c *simulatedController) acknowledge(job string, now time.Duration) {
	if _, before := c.acknowledgedAt[job]; !before {
		c.acknowledgedAt[job] = now
	}
}

func (c *simulatedController) learn(jobs []string) {
	for _, job := range jobs {
		c.learned[job] = true
	}
}

// cancellationSimulation tests the argument "Why no task of a cancelled job is kept running" of
// the package comment. Users cancel jobs at any controller before an outage. Some writes get no
// response, responses to writes and watches from before the outage still arrive during it, and
// controllers acknowledge every cancellation that they know of.
type cancellationSimulation struct {
	t               *rapid.T
	labels          []string
	controllers     map[string]*simulatedController
	voters          map[string]*Voter
	coordinator     Coordinator
	now             time.Duration
	events          []event
	jobs            []string      // cancelled jobs; the one cancelled in revision r is jobs[r-1]
	leaderRefusedAt time.Duration // when the state service stops serving the leader
}

type event struct {
	at  time.Duration
	run func()
}

func newCancellationSimulation(t *rapid.T) *cancellationSimulation {
	s := &cancellationSimulation{t: t, labels: drawLabels(t), controllers: map[string]*simulatedController{}, voters: map[string]*Voter{}}
	for _, label := range s.labels {
		s.controllers[label] = &simulatedController{learned: map[string]bool{}, acknowledgedAt: map[string]time.Duration{}}
		s.voters[label] = &Voter{}
	}
	s.leaderRefusedAt = time.Duration(rapid.IntRange(0, 800).Draw(t, "the leader is refused at")) * time.Millisecond
	return s
}

// oneIn draws true with a probability of about one in n.
func (s *cancellationSimulation) oneIn(n int, drawName string) bool {
	return rapid.IntRange(0, n-1).Draw(s.t, drawName) == 0
}

// schedule calls run after a drawn delay of 1 to maxMillis milliseconds.
func (s *cancellationSimulation) schedule(maxMillis int, run func()) {
	delay := time.Duration(rapid.IntRange(1, maxMillis).Draw(s.t, "ms")) * time.Millisecond
	s.events = append(s.events, event{s.now + delay, run})
}

// isServed reports whether the state service serves a controller.
func (s *cancellationSimulation) isServed(label string) bool {
	return s.now < outageBegins && (label != "a" || s.now < s.leaderRefusedAt)
}

func (s *cancellationSimulation) mayServe(label string) bool {
	if label == "a" {
		return s.now < s.coordinator.MayServeUntil()
	}
	return s.now < s.voters[label].MayServeUntil()
}

func (s *cancellationSimulation) step() {
	s.runDueEvents()
	for _, label := range s.labels {
		s.stepController(label)
	}
	if round, due := s.coordinator.NextRound(s.now, interval, window); due {
		s.openRound(round)
	}
	s.controllers["a"].learn(s.coordinator.CancelledJobs())
}

func (s *cancellationSimulation) runDueEvents() {
	for n := 0; n < len(s.events); n++ {
		if due := s.events[n]; due.at <= s.now {
			s.events = slices.Delete(s.events, n, n+1)
			n--
			due.run()
		}
	}
}

// stepController lets a controller write a cancellation and open a watch while the state service
// serves it, and acknowledge a cancellation of its mirror at any time, also during the outage.
func (s *cancellationSimulation) stepController(label string) {
	controller := s.controllers[label]
	if s.isServed(label) && s.oneIn(12, "cancels") {
		s.writeCancellation(controller)
	}
	if s.isServed(label) && s.oneIn(4, "reads") {
		revision := uint64(len(s.jobs))
		s.schedule(300, func() { s.readWatch(controller, revision) })
	}
	if controller.mirrorRevision > 0 && s.oneIn(4, "acknowledges") {
		index := rapid.IntRange(0, int(controller.mirrorRevision)-1).Draw(s.t, "acknowledged job")
		controller.acknowledge(s.jobs[index], s.now)
	}
}

func (s *cancellationSimulation) writeCancellation(controller *simulatedController) {
	job, revision := fmt.Sprint("job-", len(s.jobs)), uint64(len(s.jobs)+1)
	s.jobs = append(s.jobs, job)
	if s.oneIn(3, "no response") {
		return
	}
	s.schedule(300, func() {
		controller.log.Record(job, revision)
		controller.acknowledge(job, s.now)
	})
}

func (s *cancellationSimulation) readWatch(controller *simulatedController, revision uint64) {
	for ; controller.mirrorRevision < revision; controller.mirrorRevision++ {
		controller.log.Record(s.jobs[controller.mirrorRevision], controller.mirrorRevision+1)
	}
}

func (s *cancellationSimulation) openRound(round Round) {
	s.coordinator.ReceiveVote("a", s.voteOf("a", round), leaderEpoch, window, s.labels)
	for _, label := range s.labels[1:] {
		s.schedule(60, func() {
			vote := s.voteOf(label, round)
			s.voters[label].HandleRound(s.now, window, round)
			s.controllers[label].learn(round.Cancelled)
			s.schedule(60, func() { s.coordinator.ReceiveVote(label, vote, leaderEpoch, window, s.labels) })
		})
	}
}

// voteOf returns a controller's vote. Revisions in votes are one more than in the simulation:
// revision 0 in a vote means that nothing is loaded, so a mirror without changes votes with
// revision 1.
func (s *cancellationSimulation) voteOf(label string, round Round) Vote {
	controller := s.controllers[label]
	vote := permittingVote(round.Number, controller.mirrorRevision+1)
	vote.StoreDown = !s.isServed(label)
	vote.CancelledSince, vote.Cancelled = controller.log.Since(max(round.CancelledSince, 1) - 1)
	vote.CancelledSince++
	return vote
}

// checkServing fails the test if a controller serves and does not know of a cancellation that was
// acknowledged to a user more than a window ago. It returns how many controllers serve.
func (s *cancellationSimulation) checkServing() (serving int) {
	for _, label := range s.labels {
		if !s.mayServe(label) {
			continue
		}
		serving++
		for _, other := range s.controllers {
			for job, at := range other.acknowledgedAt {
				if s.now-at > window && !s.knows(label, job) {
					s.t.Fatalf("%s serves at %v and does not know of %s, acknowledged at %v", label, s.now, job, at)
				}
			}
		}
	}
	return serving
}

func (s *cancellationSimulation) knows(label, job string) bool {
	controller := s.controllers[label]
	return controller.learned[job] || slices.Contains(s.jobs[:controller.mirrorRevision], job)
}

func TestServingControllersKnowAcknowledgedCancellations(t *testing.T) {
	servingSteps := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newCancellationSimulation(t)
		for ; s.now < outageEnds; s.now += 20 * time.Millisecond {
			s.step()
			servingSteps += s.checkServing()
		}
	})
	if servingSteps == 0 {
		t.Fatal("no controller ever served in degraded mode, so the test checked nothing")
	}
}
