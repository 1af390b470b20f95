package core

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// lots accepts many jobs with one write. A job of its own key costs a write when it is
// accepted; when more come in a moment than the state service takes changes, those that
// would have to wait share a key.
//
// Guards against seconds of 503 for the hundreds who submit in the first moment of a day
// or after an outage, at a service of some dozens of changes a second.
//
// A job's first own change (its zones, or its end) writes its own key, which must not be
// there yet; what its lot says of it is void from then on. Two nodes may accept the same
// submission in two lots: it is the same job, and the first counts.
type lots struct {
	c       *Core
	tokens  float64 // writes that submissions may take now
	at      time.Duration
	waiting []submission
	due     bool // a flush is on its way
	n       int
	known   map[string]*lot
	sweepAt time.Duration
	busy    bool // a lot is being deleted
}

// submission is a job that waits to be accepted with others.
type submission struct {
	id    RequestID
	rec   wire.JobRecord
	needy bool // its user named jobs that it needs
	size  int  // of the record, as text
}

// lot is a key that holds several jobs.
type lot struct {
	version uint64
	jobs    []string
}

func newLots(c *Core) *lots { return &lots{c: c, known: map[string]*lot{}} }

// rate is how many writes a second this node's submissions may take: its share of what
// progress leaves.
func (x *lots) rate() float64 {
	return x.c.writeRPS() * (1 - x.c.policy.ProgressShare) / float64(len(x.c.set.Siblings)+1)
}

// spend takes a write, and says how long until one may be taken if there is none.
func (x *lots) spend() (wait time.Duration) {
	rate := x.rate()
	x.tokens = min(x.tokens+(x.c.now.Steady-x.at).Seconds()*rate, max(rate/2, 1))
	x.at = x.c.now.Steady
	if x.tokens < 1 {
		return time.Duration((1 - x.tokens) / rate * float64(time.Second))
	}
	x.tokens--
	return 0
}

// alone reports whether a job may have a write of its own now.
func (x *lots) alone() bool { return len(x.waiting) == 0 && x.spend() == 0 }

// add has a job accepted with the next lot.
func (x *lots) add(s submission) {
	x.waiting = append(x.waiting, s)
	x.flush()
}

// flush writes what waits as soon as a write may be taken.
func (x *lots) flush() {
	if x.due || len(x.waiting) == 0 {
		return
	}
	if wait := x.spend(); wait > 0 {
		x.due = true
		x.c.after(wait, func() { x.due = false; x.flush() })
		return
	}
	// What fits into a value, with ", " between two jobs, and half of the conditions that a transaction may have.
	// Jobs that need others go into lots of their own, which older versions do not read.
	var batch, rest []submission
	size, guards := 16, 1
	for i := range x.waiting {
		s := &x.waiting[i]
		if len(batch) > 0 && (s.prefix() != batch[0].prefix() || size+s.size+2 > min(x.c.valueSize(), 32<<10) || guards+s.guards() > 2*x.c.state.TxnOps) {
			rest = append(rest, *s)
			continue
		}
		batch = append(batch, *s)
		size, guards = size+s.size+2, guards+s.guards()
	}
	x.waiting = rest
	x.write(batch)
	x.flush()
}

// prefix is where a submission's lot goes.
func (s *submission) prefix() string {
	if len(s.rec.Spec.Needs) > 0 {
		return keyRunLot
	}
	return keyLot
}

func (s *submission) guards() int {
	if s.needy {
		return 2
	}
	return 1
}

func (x *lots) write(batch []submission) {
	l := x.c.ledger
	x.n++
	key := fmt.Sprintf("%s%s-%d", batch[0].prefix(), x.c.boot, x.n)
	guards := []wire.Guard{{Key: key}}
	var rec wire.LotRecord
	for i := range batch {
		own := freeGuards(batch[i].rec.Spec.ID, batch[i].needy)
		if slices.Contains(guards, own[0]) {
			continue // the same submission twice
		}
		guards = append(guards, own...)
		rec.Jobs = append(rec.Jobs, batch[i].rec)
	}
	l.commit(guards, []wire.Op{{Put: key, Value: rec}}, func(d CommitDone) {
		switch d.Outcome {
		case Committed:
			for i := range batch {
				l.welcome(batch[i].id, &batch[i].rec)
			}
		case CommitConflict:
			// Some have been accepted, and more, elsewhere: the others go on.
			for _, s := range batch {
				if id := s.rec.Spec.ID; slices.Contains(d.Answer.Failed, keyJob+id) || slices.Contains(d.Answer.Failed, keyRun+id) {
					l.known(s.id, s.rec.Spec.ID)
				} else {
					x.waiting = append(x.waiting, s)
				}
			}
			x.flush()
		case CommitUnknown:
			l.barrier(func(ok bool) {
				for _, s := range batch {
					l.uncertain(s.id, s.rec.Spec.ID, ok)
				}
			})
		default:
			for _, s := range batch {
				l.later(s.id, "the state service is busy")
			}
		}
	})
}

// put takes a lot into the mirror.
func (x *lots) put(key string, value wire.Raw, version uint64) error {
	var rec wire.LotRecord
	if err := wire.Decode(value, &rec); err != nil {
		return err
	}
	l, in := x.c.ledger, &lot{version: version}
	for i := range rec.Jobs {
		id := rec.Jobs[i].Spec.ID
		in.jobs = append(in.jobs, id)
		if _, over := l.ended.jobs[id]; over {
			continue
		}
		if j := l.job(id); j.version == 0 {
			j.rec, j.version, j.run = rec.Jobs[i], version, strings.HasPrefix(key, keyRunLot)
			l.met(j)
		}
	}
	x.known[key] = in
	return nil
}

// sweep deletes, on the leader, a lot all of whose jobs have keys of their own.
func (x *lots) sweep() {
	c := x.c
	if x.busy || c.now.Steady < x.sweepAt {
		return
	}
	x.sweepAt = c.now.Steady + c.times.round
	for _, key := range sortedKeys(x.known) {
		in := x.known[key]
		needed := slices.ContainsFunc(in.jobs, func(id string) bool {
			j := c.ledger.jobs[id]
			return j != nil && j.key == 0 || c.ledger.derived[id]
		})
		if needed || c.orch.writes < 1 {
			continue
		}
		c.orch.writes--
		x.busy = true
		guards := []wire.Guard{c.members.leaderGuard(), {Key: key, Version: in.version}}
		c.ledger.commit(guards, []wire.Op{{Delete: key}}, func(d CommitDone) {
			c.ledger.lookAgain(d.Outcome.Decided(), c.times.round, func() { x.busy = false })
		})
		return
	}
}
