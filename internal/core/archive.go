package core

import (
	"math"

	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// archive keeps what users may still ask of jobs that are over, some eighty bytes a
// job: they are asked about for ever, and at a busy site there are soon a hundred
// thousand of them on every controller.
type archive struct {
	jobs    map[string]ended
	kinds   []wire.Job // what jobs of one kind share, without id and tasks
	kindOf  map[kind]uint32
	reasons []string
	why     map[string]uint32
	rules   fairshare.Rules
	books   fairshare.Accounting // what was served, of each class of each team
}

// ended is a job that is over.
type ended struct {
	version uint64
	at      uint32 // time of day of the submission, in seconds
	over    uint32 // and when it was done, 0: an older version wrote it
	tasks   uint32
	kind    uint32
	reason  uint32
	done    bool // if not, it was cancelled
}

// kind is what of a job's description is kept when it is over.
type kind struct {
	class, team, kind, urgency string
	cpus, gpus, mem            float64
}

func newArchive(rules fairshare.Rules) *archive {
	return &archive{rules: rules, jobs: map[string]ended{}, kindOf: map[kind]uint32{}, why: map[string]uint32{}}
}

// put takes the record of a job that is over.
func (a *archive) put(rec *wire.JobRecord, version uint64) {
	s := &rec.Spec
	k := kind{s.Class, s.Team, s.Kind, s.Urgency, s.CPUs, s.GPUs, s.MemoryGB}
	n, ok := a.kindOf[k]
	if !ok {
		n = uint32(len(a.kinds))
		a.kindOf[k] = n
		a.kinds = append(a.kinds, wire.Job{Class: s.Class, Team: s.Team, Kind: s.Kind, Urgency: s.Urgency,
			CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB})
	}
	w, ok := a.why[rec.Bad]
	if !ok {
		w = uint32(len(a.reasons))
		a.why[rec.Bad] = w
		a.reasons = append(a.reasons, rec.Bad)
	}
	if was, known := a.jobs[s.ID]; rec.State == wire.JobDone && !(known && was.done) {
		a.books.RecordCompleted(fairshare.Account{Team: s.Team, Class: s.Class}, rec.At, &a.rules)
	}
	a.jobs[s.ID] = ended{version: version, at: seconds32(rec.At), over: seconds32(rec.Over), tasks: uint32(s.Tasks),
		kind: n, reason: w, done: rec.State == wire.JobDone}
}

func seconds32(x float64) uint32 { return uint32(min(max(x, 0), math.MaxUint32)) }

// get returns a job that is over as the mirror would hold it, nil if it has none of
// that name. Each call makes a new one: a job that is over no longer changes.
func (a *archive) get(id string) *job {
	e, ok := a.jobs[id]
	if !ok {
		return nil
	}
	j := &job{version: e.version, key: e.version}
	j.rec = wire.JobRecord{Spec: a.kinds[e.kind], State: wire.JobCancelled, At: float64(e.at), Bad: a.reasons[e.reason]}
	j.rec.Spec.ID, j.rec.Spec.Tasks = id, int(e.tasks)
	if e.done {
		j.rec.State, j.doneN = wire.JobDone, int(e.tasks)
	}
	return j
}
