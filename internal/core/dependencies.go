package core

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/chalkhub/chalkhub/internal/dag"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// Jobs that need others: how they are accepted, and what the graph of package pipeline
// says of them to the mirror and the leader.

// submitDependent accepts a job that names others. looked: the mirror holds all that was
// accepted before the request came.
func (l *storeMirror) submitDependent(id RequestID, rec records.Job, looked bool) {
	if l.replyIfUpgrading(id, "jobs that need others") {
		return
	}
	var open []string
	cancelled := ""
	for _, name := range rec.Spec.Dependencies {
		j := l.acceptedJob(name)
		switch {
		case j == nil && !looked:
			l.barrier(func(ok bool) {
				switch {
				case !ok:
					l.replyRetry(id, "the state service does not answer")
				case l.acceptedJob(rec.Spec.ID) != nil:
					l.replyCurrent(id, rec.Spec.ID)
				default:
					l.submitDependent(id, rec, true)
				}
			})
			return
		case j == nil:
			l.core.emit(Reply{ID: id, Status: ReplyInvalid, Body: protocol.ErrorResponse{Error: "it needs " + name + ", which was never accepted: submit that one first"}})
			return
		case j.record.Spec.Kind == protocol.KindService:
			l.core.emit(Reply{ID: id, Status: ReplyInvalid, Body: protocol.ErrorResponse{Error: "it needs " + name + ", which is a service and is never done"}})
			return
		case j.record.State == protocol.JobCancelled:
			cancelled = name
		case j.record.State != protocol.JobDone:
			open = append(open, name)
		}
	}
	rec.Spec.Dependencies = open // what is done stays done
	if cancelled != "" {
		rec = finalRecord(&jobEntry{record: rec}, protocol.JobCancelled, dependencyCancelled(cancelled))
	}
	l.admit(id, rec, true)
}

// replyIfUpgrading has a user come again with what only this version knows, if a controller lives
// that says that it is older.
//
// Guards against a job in the hands of a version that would not even find it, since it
// passes its key over, and call it unknown.
func (l *storeMirror) replyIfUpgrading(id RequestID, what string) bool {
	label := l.olderController()
	if label != "" {
		l.replyRetry(id, "controller "+label+" still runs a version that does not know "+what+": repeat this when all are upgraded")
	}
	return label != ""
}

// olderController is a live controller that says that its version is older, empty: there is none.
func (l *storeMirror) olderController() string {
	for _, label := range sortedKeys(l.nodes) {
		if l.nodes[label].Level < records.FormatLevel {
			return label
		}
	}
	return ""
}

func dependencyCancelled(cause string) string { return "it needs " + cause + ", which was cancelled" }

// maxNamedDependencies is how many of the jobs that one waits for are named to its user.
const maxNamedDependencies = 5

func (l *storeMirror) dependencyReason(id string) string {
	names, more := l.dependencies.UnmetDependencies(id, maxNamedDependencies)
	slices.Sort(names)
	why := "waits for " + strings.Join(names, ", ")
	if more > 0 {
		why += fmt.Sprintf(" and %d more", more)
	}
	return why
}

// jobUpdated tells the graph and the leader of a record of a job.
func (l *storeMirror) jobUpdated(j *jobEntry) {
	if !j.isFinal() {
		if s := &j.record.Spec; len(s.Dependencies) > 0 {
			l.dependencies.AddJob(s.ID, s.Dependencies, l.dependencyState)
		} else {
			l.dependencies.MarkOpen(s.ID)
		}
	}
	l.core.scheduler.jobChanged(j)
}

// dependencyState says how a job stands, for the graph.
func (l *storeMirror) dependencyState(id string) (dag.State, float64) {
	if e, ok := l.archive.jobs[id]; ok {
		if e.done {
			return dag.Done, float64(e.doneAt)
		}
		return dag.Aborted, 0
	}
	if j := l.jobs[id]; j != nil && j.version > 0 {
		return dag.Open, 0
	}
	return dag.Unknown, 0
}

// applyDependencyChanges takes what the graph has found out since: jobs that are ready, and those that
// are aborted because of another one.
func (l *storeMirror) applyDependencyChanges() {
	for _, v := range l.dependencies.TakeEvents() {
		j := l.jobs[v.Job]
		if j == nil {
			continue
		}
		if !v.Aborted {
			j.readyAt, j.readyThisTerm = v.ReadyAt, l.core.membership.leading
			if l.core.membership.leading {
				l.core.logDebug("ready", "job", v.Job, "class", j.record.Spec.Class, "needed", j.record.Spec.Dependencies)
			}
			l.core.scheduler.jobChanged(j)
			l.core.scheduler.lastScheduling = 0 // its first tasks start at once
			continue
		}
		// It never had a task, so there is nothing to stop, and its own record need not
		// say so: whoever reads that of the cause comes to this again.
		j.record = finalRecord(j, protocol.JobCancelled, dependencyCancelled(v.Cause))
		l.core.scheduler.jobChanged(j)
		l.derivedAborts[v.Job] = j.recordVersion == 0
		l.archiveJob(j)
	}
}

// updateDependencyWeights has the graph work out anew how urgent jobs are for the sake of those behind them.
func (o *scheduler) updateDependencyWeights() {
	c := o.core
	if o.dependencyWeightsAt > 0 && c.now.Monotonic-o.dependencyWeightsAt < c.intervals.maintenance {
		return
	}
	o.dependencyWeightsAt = c.now.Monotonic
	c.mirror.dependencies.UpdatePriorities(func(id string) dag.Priority {
		w := dag.Priority{Urgency: lowestUrgency, LatestFinish: math.Inf(1)}
		j := c.mirror.jobs[id]
		if j == nil || j.version == 0 {
			return w
		}
		s := &j.record.Spec
		w.Urgency = urgencyLevel(s.Urgency)
		if s.DeadlineS > 0 {
			w.LatestFinish = j.record.SubmittedAt + s.DeadlineS
		}
		w.Duration = c.estimator.predict(s) + c.fleet.imagePullSeconds(s)
		if q := o.queue.get(id); q != nil && q.waitingTasks() == 0 {
			w.Duration /= 2 // all that is left of it is under way
		}
		return w
	})
}

// hasDeadline reports whether a job of a pipeline has a deadline, or one that needs it has.
func (q *queuedJob) hasDeadline() bool { return !math.IsInf(q.dependentsDeadline, 1) }

// imagePullSeconds is how many seconds a job's image takes on the machine type that is the fastest
// at that.
func (f *fleet) imagePullSeconds(s *protocol.Job) float64 {
	rate := 0.0
	for _, t := range f.core.machineTypes() {
		if allowsType(s, t.Name) && fitsEmptyMachine(t, s) {
			rate = max(rate, t.FetchGBps)
		}
	}
	if rate == 0 {
		return 0
	}
	return s.ImageGB / rate
}
