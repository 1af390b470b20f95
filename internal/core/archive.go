package core

import (
	"math"

	"github.com/chalkhub/chalkhub/internal/fairshare"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// jobArchive keeps what users may still query about finished jobs, in some eighty bytes a job.
// Finished jobs can be queried for ever, and on a busy site every controller soon holds a hundred
// thousand of them.
type jobArchive struct {
	jobs        map[string]archivedJob
	shapes      []protocol.Job // one for each jobShape, without id and number of tasks
	shapeIndex  map[jobShape]uint32
	reasons     []string // why jobs were cancelled; "" for jobs that are done
	reasonIndex map[string]uint32
	rules       fairshare.Rules
	served      fairshare.Accounting // completed jobs of each class of each team
}

// archivedJob is a finished job.
type archivedJob struct {
	version     uint64 // version of the record that it was read from
	submittedAt uint32 // time of day, in seconds
	doneAt      uint32 // time of day, in seconds; 0: it was cancelled, or an older version of the controller wrote it
	tasks       uint32
	shape       uint32 // index into shapes
	reason      uint32 // index into reasons
	done        bool   // false: it was cancelled
}

// jobShape is the part of a finished job's description that is kept, except its id and number of
// tasks. Jobs with equal values share one shape.
type jobShape struct {
	class, team, kind, urgency string
	cpus, gpus, memoryGB       float64
}

func newJobArchive(rules fairshare.Rules) *jobArchive {
	return &jobArchive{rules: rules, jobs: map[string]archivedJob{}, shapeIndex: map[jobShape]uint32{}, reasonIndex: map[string]uint32{}}
}

// add stores the record of a finished job. It replaces an older version of the same record.
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

// internShape returns the index of a job's shape, and adds the shape if it is new.
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

// internReason returns the index of a reason, and adds the reason if it is new.
func (a *jobArchive) internReason(reason string) uint32 {
	index, ok := a.reasonIndex[reason]
	if !ok {
		index = uint32(len(a.reasons))
		a.reasonIndex[reason] = index
		a.reasons = append(a.reasons, reason)
	}
	return index
}

// seconds32 rounds a time of day, in seconds, down to whole seconds and limits it to 32 bits.
func seconds32(seconds float64) uint32 { return uint32(min(max(seconds, 0), math.MaxUint32)) }

// get returns the entry of a finished job, or nil if the archive has no job with this id. Each call
// returns a new entry; that is safe because a finished job no longer changes.
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
