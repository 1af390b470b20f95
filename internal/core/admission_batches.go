package core

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// admissionBatches accepts many jobs with one write. A job of its own key costs a write when it is
// accepted; when more come in a moment than the state service takes changes, those that
// would have to wait share a key.
//
// Guards against seconds of 503 for the hundreds who submit in the first moment of a day
// or after an outage, at a service of some dozens of changes a second.
//
// A job's first own change (its zones, or its end) writes its own key, which must not be
// there yet; what its lot says of it is void from then on. Two nodes may accept the same
// submission in two lots: it is the same job, and the first counts.
type admissionBatches struct {
	core           *Core
	writeTokens    float64 // writes that submissions may take now
	refilledAt     time.Duration
	waiting        []submission
	flushScheduled bool // a flush is on its way
	writeCount     int
	stored         map[string]*admissionBatch
	nextCollectAt  time.Duration
	deleting       bool // a lot is being deleted
}

// submission is a job that waits to be accepted with others.
type submission struct {
	requestID         RequestID
	record            records.Job
	namesDependencies bool // its user named jobs that it needs
	size              int  // of the record, as text
}

// admissionBatch is a key that holds several jobs.
type admissionBatch struct {
	version uint64
	jobs    []string
}

func newAdmissionBatches(c *Core) *admissionBatches {
	return &admissionBatches{core: c, stored: map[string]*admissionBatch{}}
}

// writeRate is how many writes a second this node's submissions may take: its share of what
// progress leaves.
func (x *admissionBatches) writeRate() float64 {
	return x.core.writeRate() * (1 - x.core.policy.ProgressShare) / float64(len(x.core.settings.Siblings)+1)
}

// takeToken takes a write, and says how long until one may be taken if there is none.
func (x *admissionBatches) takeToken() (wait time.Duration) {
	rate := x.writeRate()
	x.writeTokens = min(x.writeTokens+(x.core.now.Monotonic-x.refilledAt).Seconds()*rate, max(rate/2, 1))
	x.refilledAt = x.core.now.Monotonic
	if x.writeTokens < 1 {
		return time.Duration((1 - x.writeTokens) / rate * float64(time.Second))
	}
	x.writeTokens--
	return 0
}

// mayWriteAlone reports whether a job may have a write of its own now.
func (x *admissionBatches) mayWriteAlone() bool { return len(x.waiting) == 0 && x.takeToken() == 0 }

// enqueue has a job accepted with the next lot.
func (x *admissionBatches) enqueue(s submission) {
	x.waiting = append(x.waiting, s)
	x.flush()
}

// flush writes what waits as soon as a write may be taken.
func (x *admissionBatches) flush() {
	if x.flushScheduled || len(x.waiting) == 0 {
		return
	}
	if wait := x.takeToken(); wait > 0 {
		x.flushScheduled = true
		x.core.afterFunc(wait, func() { x.flushScheduled = false; x.flush() })
		return
	}
	// What fits into a value, with ", " between two jobs, and half of the conditions that a transaction may have.
	// Jobs that need others go into lots of their own, which older versions do not read.
	var batch, rest []submission
	size, guards := 16, 1
	for i := range x.waiting {
		s := &x.waiting[i]
		if len(batch) > 0 && (s.batchPrefix() != batch[0].batchPrefix() || size+s.size+2 > min(x.core.maxValueBytes(), 32<<10) || guards+s.guardCount() > 2*x.core.storeLimits.TxnOps) {
			rest = append(rest, *s)
			continue
		}
		batch = append(batch, *s)
		size, guards = size+s.size+2, guards+s.guardCount()
	}
	x.waiting = rest
	x.writeBatch(batch)
	x.flush()
}

// batchPrefix is where a submission's lot goes.
func (s *submission) batchPrefix() string {
	if len(s.record.Spec.Dependencies) > 0 {
		return keyDependentBatch
	}
	return keyBatch
}

func (s *submission) guardCount() int {
	if s.namesDependencies {
		return 2
	}
	return 1
}

func (x *admissionBatches) writeBatch(batch []submission) {
	l := x.core.mirror
	x.writeCount++
	key := fmt.Sprintf("%s%s-%d", batch[0].batchPrefix(), x.core.bootID, x.writeCount)
	guards := []protocol.Guard{{Key: key}}
	var rec records.AdmissionBatch
	for i := range batch {
		own := notAcceptedGuards(batch[i].record.Spec.ID, batch[i].namesDependencies)
		if slices.Contains(guards, own[0]) {
			continue // the same submission twice
		}
		guards = append(guards, own...)
		rec.Jobs = append(rec.Jobs, batch[i].record)
	}
	l.commit(guards, []protocol.Operation{{Put: key, Value: rec}}, func(d CommitResult) {
		switch d.Outcome {
		case Committed:
			for i := range batch {
				l.replyAccepted(batch[i].requestID, &batch[i].record)
			}
		case CommitConflict:
			// Some have been accepted, and more, elsewhere: the others go on.
			for _, s := range batch {
				if id := s.record.Spec.ID; slices.Contains(d.Answer.Failed, keyJob+id) || slices.Contains(d.Answer.Failed, keyDependentJob+id) {
					l.replyCurrent(s.requestID, s.record.Spec.ID)
				} else {
					x.waiting = append(x.waiting, s)
				}
			}
			x.flush()
		case CommitUnknown:
			l.barrier(func(ok bool) {
				for _, s := range batch {
					l.replyUncertain(s.requestID, s.record.Spec.ID, ok)
				}
			})
		default:
			for _, s := range batch {
				l.replyRetry(s.requestID, "the state service is busy")
			}
		}
	})
}

// applyBatch takes a lot into the mirror.
func (x *admissionBatches) applyBatch(key string, value protocol.Raw, version uint64) error {
	var rec records.AdmissionBatch
	if err := protocol.Decode(value, &rec); err != nil {
		return err
	}
	l, in := x.core.mirror, &admissionBatch{version: version}
	for i := range rec.Jobs {
		id := rec.Jobs[i].Spec.ID
		in.jobs = append(in.jobs, id)
		if _, over := l.archive.jobs[id]; over {
			continue
		}
		if j := l.entry(id); j.version == 0 {
			j.record, j.version, j.dependent = rec.Jobs[i], version, strings.HasPrefix(key, keyDependentBatch)
			l.jobUpdated(j)
		}
	}
	x.stored[key] = in
	return nil
}

// collectGarbage deletes, on the leader, a lot all of whose jobs have keys of their own.
func (x *admissionBatches) collectGarbage() {
	c := x.core
	if x.deleting || c.now.Monotonic < x.nextCollectAt {
		return
	}
	x.nextCollectAt = c.now.Monotonic + c.intervals.maintenance
	for _, key := range sortedKeys(x.stored) {
		in := x.stored[key]
		needed := slices.ContainsFunc(in.jobs, func(id string) bool {
			j := c.mirror.jobs[id]
			return j != nil && j.recordVersion == 0 || c.mirror.derivedAborts[id]
		})
		if needed || c.scheduler.progressWriteTokens < 1 {
			continue
		}
		c.scheduler.progressWriteTokens--
		x.deleting = true
		guards := []protocol.Guard{c.membership.leaderGuard(), {Key: key, Version: in.version}}
		c.mirror.commit(guards, []protocol.Operation{{Delete: key}}, func(d CommitResult) {
			c.mirror.awaitOutcome(d.Outcome.Decided(), c.intervals.maintenance, func() { x.deleting = false })
		})
		return
	}
}
