package core

import (
	"math"

	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// jobArchive keeps what users may still ask of jobs that are over, some eighty bytes a
// job: they are asked about for ever, and at a busy site there are soon a hundred
// thousand of them on every controller.
type jobArchive struct {
	jobs        map[string]archivedJob
	shapes      []protocol.Job // what jobs of one kind share, without id and tasks
	shapeIndex  map[jobShape]uint32
	reasons     []string
	reasonIndex map[string]uint32
	rules       fairshare.Rules
	served      fairshare.Accounting // what was served, of each class of each team
}

// archivedJob is a job that is over.
type archivedJob struct {
	version     uint64
	submittedAt uint32 // time of day of the submission, in seconds
	doneAt      uint32 // and when it was done, 0: an older version wrote it
	tasks       uint32
	shape       uint32
	reason      uint32
	done        bool // if not, it was cancelled
}

// jobShape is what of a job's description is kept when it is over.
type jobShape struct {
	class, team, kind, urgency string
	cpus, gpus, memoryGB       float64
}

func newJobArchive(rules fairshare.Rules) *jobArchive {
	return &jobArchive{rules: rules, jobs: map[string]archivedJob{}, shapeIndex: map[jobShape]uint32{}, reasonIndex: map[string]uint32{}}
}

// add takes the record of a job that is over.
func (a *jobArchive) add(rec *records.Job, version uint64) {
	s := &rec.Spec
	k := jobShape{s.Class, s.Team, s.Kind, s.Urgency, s.CPUs, s.GPUs, s.MemoryGB}
	n, ok := a.shapeIndex[k]
	if !ok {
		n = uint32(len(a.shapes))
		a.shapeIndex[k] = n
		a.shapes = append(a.shapes, protocol.Job{Class: s.Class, Team: s.Team, Kind: s.Kind, Urgency: s.Urgency,
			CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB})
	}
	w, ok := a.reasonIndex[rec.StopReason]
	if !ok {
		w = uint32(len(a.reasons))
		a.reasonIndex[rec.StopReason] = w
		a.reasons = append(a.reasons, rec.StopReason)
	}
	if was, known := a.jobs[s.ID]; rec.State == protocol.JobDone && !(known && was.done) {
		a.served.RecordCompleted(fairshare.Account{Team: s.Team, Class: s.Class}, rec.SubmittedAt, &a.rules)
	}
	a.jobs[s.ID] = archivedJob{version: version, submittedAt: seconds32(rec.SubmittedAt), doneAt: seconds32(rec.DoneAt), tasks: uint32(s.Tasks),
		shape: n, reason: w, done: rec.State == protocol.JobDone}
}

func seconds32(x float64) uint32 { return uint32(min(max(x, 0), math.MaxUint32)) }

// get returns a job that is over as the mirror would hold it, nil if it has none of
// that name. Each call makes a new one: a job that is over no longer changes.
func (a *jobArchive) get(id string) *jobEntry {
	e, ok := a.jobs[id]
	if !ok {
		return nil
	}
	j := &jobEntry{version: e.version, recordVersion: e.version}
	j.record = records.Job{Spec: a.shapes[e.shape], State: protocol.JobCancelled, SubmittedAt: float64(e.submittedAt), StopReason: a.reasons[e.reason]}
	j.record.Spec.ID, j.record.Spec.Tasks = id, int(e.tasks)
	if e.done {
		j.record.State, j.doneCount = protocol.JobDone, int(e.tasks)
	}
	return j
}
