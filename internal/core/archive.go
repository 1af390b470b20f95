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
	shapes      []protocol.Job // what jobs of one shape share, without id and tasks
	shapeIndex  map[jobShape]uint32
	reasons     []string // why jobs were cancelled, empty for those that are done
	reasonIndex map[string]uint32
	rules       fairshare.Rules
	served      fairshare.Accounting // what was served, of each class of each team
}

// archivedJob is a job that is over.
type archivedJob struct {
	version     uint64
	submittedAt uint32 // time of day, in seconds
	doneAt      uint32 // the same, 0: it was cancelled, or an older version wrote it
	tasks       uint32
	shape       uint32 // index into shapes
	reason      uint32 // index into reasons
	done        bool   // if not, it was cancelled
}

// jobShape is what of a job's description is kept when it is over.
type jobShape struct {
	class, team, kind, urgency string
	cpus, gpus, memoryGB       float64
}

func newJobArchive(rules fairshare.Rules) *jobArchive {
	return &jobArchive{rules: rules, jobs: map[string]archivedJob{}, shapeIndex: map[jobShape]uint32{}, reasonIndex: map[string]uint32{}}
}

// add takes the record of a job that is over. It may come again, in a newer version.
func (a *jobArchive) add(record *records.Job, version uint64) {
	spec, done := &record.Spec, record.State == protocol.JobDone
	if previous, known := a.jobs[spec.ID]; done && (!known || !previous.done) {
		a.served.RecordCompleted(fairshare.Account{Team: spec.Team, Class: spec.Class}, record.SubmittedAt, &a.rules)
	}
	a.jobs[spec.ID] = archivedJob{
		version: version, submittedAt: seconds32(record.SubmittedAt), doneAt: seconds32(record.DoneAt),
		tasks: uint32(spec.Tasks), shape: a.internShape(spec), reason: a.internReason(record.StopReason), done: done,
	}
}

// internShape returns the index of a job's shape.
func (a *jobArchive) internShape(spec *protocol.Job) uint32 {
	shape := jobShape{spec.Class, spec.Team, spec.Kind, spec.Urgency, spec.CPUs, spec.GPUs, spec.MemoryGB}
	index, ok := a.shapeIndex[shape]
	if !ok {
		index = uint32(len(a.shapes))
		a.shapeIndex[shape] = index
		a.shapes = append(a.shapes, protocol.Job{Class: spec.Class, Team: spec.Team, Kind: spec.Kind, Urgency: spec.Urgency,
			CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB})
	}
	return index
}

// internReason returns the index of a reason.
func (a *jobArchive) internReason(reason string) uint32 {
	index, ok := a.reasonIndex[reason]
	if !ok {
		index = uint32(len(a.reasons))
		a.reasonIndex[reason] = index
		a.reasons = append(a.reasons, reason)
	}
	return index
}

// seconds32 rounds a time of day down to whole seconds.
func seconds32(seconds float64) uint32 { return uint32(min(max(seconds, 0), math.MaxUint32)) }

// get returns a job that is over as the mirror would hold it, nil if it has none of
// that name. Each call makes a new one: a job that is over no longer changes.
func (a *jobArchive) get(id string) *jobEntry {
	archived, ok := a.jobs[id]
	if !ok {
		return nil
	}
	j := &jobEntry{version: archived.version, recordVersion: archived.version}
	j.record = records.Job{Spec: a.shapes[archived.shape], State: protocol.JobCancelled, SubmittedAt: float64(archived.submittedAt), StopReason: a.reasons[archived.reason]}
	j.record.Spec.ID, j.record.Spec.Tasks = id, int(archived.tasks)
	if archived.done {
		j.record.State, j.doneCount = protocol.JobDone, int(archived.tasks)
	}
	return j
}
