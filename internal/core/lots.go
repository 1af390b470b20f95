package core

import (
	"fmt"
	"slices"
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
	id  RequestID
	rec wire.JobRecord
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
	return x.c.set.Site.State.WriteRPS * (1 - x.c.policy.ProgressShare) / float64(len(x.c.set.Siblings)+1)
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
func (x *lots) add(id RequestID, rec wire.JobRecord) {
	x.waiting = append(x.waiting, submission{id, rec})
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
	// Half a value, and half of the conditions that a transaction may have.
	set := &x.c.set.Site.State
	k, size := 0, 0
	for k < len(x.waiting) && k < 2*set.TxnOps {
		if size += jobSize(&x.waiting[k].rec.Spec); k > 0 && size > int(min(set.ValueKB, 32)*1024)/2 {
			break
		}
		k++
	}
	batch := slices.Clone(x.waiting[:k])
	x.waiting = slices.Delete(x.waiting, 0, k)
	x.write(batch)
	x.flush()
}

func (x *lots) write(batch []submission) {
	l := x.c.ledger
	x.n++
	key := fmt.Sprintf("%s%s-%d", keyLot, x.c.boot, x.n)
	guards := []wire.Guard{{Key: key}}
	var rec wire.LotRecord
	for i := range batch {
		own := wire.Guard{Key: keyJob + batch[i].rec.Spec.ID}
		if slices.Contains(guards, own) {
			continue // the same submission twice
		}
		guards = append(guards, own)
		rec.Jobs = append(rec.Jobs, batch[i].rec)
	}
	l.commit(guards, []wire.Op{{Put: key, Value: rec}}, func(d CommitDone) {
		switch d.Status {
		case 200:
			for i := range batch {
				l.welcome(batch[i].id, &batch[i].rec.Spec)
			}
		case 409:
			// Some have been accepted, and more, elsewhere: the others go on.
			for _, s := range batch {
				if slices.Contains(d.Answer.Failed, keyJob+s.rec.Spec.ID) {
					l.known(s.id, s.rec.Spec.ID)
				} else {
					x.waiting = append(x.waiting, s)
				}
			}
			x.flush()
		case 0:
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

// jobSize is a generous size of a job's record in the form in which limits are counted.
func jobSize(s *wire.Job) int {
	n := 500 + len(s.ID) + len(s.Class) + len(s.Team) + len(s.Image) + len(s.Zone)
	for _, t := range s.Types {
		n += len(t) + 3
	}
	return n
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
			j.rec, j.version = rec.Jobs[i], version
			x.c.orch.jobChanged(j)
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
			return j != nil && j.key == 0
		})
		if needed || c.orch.writes < 1 {
			continue
		}
		c.orch.writes--
		x.busy = true
		guards := []wire.Guard{c.members.leaderGuard(), {Key: key, Version: in.version}}
		c.ledger.commit(guards, []wire.Op{{Delete: key}}, func(d CommitDone) {
			c.ledger.lookAgain(d.Status == 200 || d.Status == 409, c.times.round, func() { x.busy = false })
		})
		return
	}
}
