package core

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/dag"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// Jobs that need others: how they are accepted, and what the graph of package dag
// says of them to the stored records and the leader.

// dependencyCheck is what the mirror says of the jobs that a submission names.
type dependencyCheck struct {
	// unmet are those that are not done. What is done stays done. A cancelled one is unmet: that the
	// job is aborted follows from that one's record on every node, and its own acceptance says no
	// more than any other of it would.
	unmet   []string
	unknown string // one that was not accepted, as far as the mirror goes, empty: none
	service string // one that is a service, which is never done, empty: none
}

// checkDependencies looks the named jobs up.
func (r *storedRecords) checkDependencies(names []string) (check dependencyCheck) {
	for _, name := range names {
		j := r.acceptedJob(name)
		switch {
		case j == nil:
			check.unknown = name
		case j.record.Spec.Kind == protocol.KindService:
			check.service = name
		case j.record.State != protocol.JobDone:
			check.unmet = append(check.unmet, name)
		}
	}
	return check
}

// submitDependent accepts a job that names others. If the mirror does not hold all of them it looks
// again once it holds what was accepted before the request came.
func (a *admission) submitDependent(id RequestID, record records.Job) {
	check := a.core.records.checkDependencies(record.Spec.Dependencies)
	if check.unknown != "" {
		a.submitAfterBarrier(id, record)
		return
	}
	a.decideDependent(id, record, check)
}

// decideDependent accepts or rejects a job by what is known of those that it names.
func (a *admission) decideDependent(id RequestID, record records.Job, check dependencyCheck) {
	switch {
	case a.replyIfUpgrading(id, "jobs that need others"):
	case check.unknown != "":
		a.reject(id, record.Spec.ID, "it needs "+check.unknown+", which was never accepted: submit that one first")
	case check.service != "":
		a.reject(id, record.Spec.ID, "it needs "+check.service+", which is a service and is never done")
	default:
		record.Spec.Dependencies = check.unmet
		a.admit(submission{requestID: id, record: record, namesDependencies: true})
	}
}

// submitAfterBarrier looks again for the jobs that one needs once the mirror holds all that was
// accepted before the request came.
func (a *admission) submitAfterBarrier(id RequestID, record records.Job) {
	c := a.core
	c.mirror.Barrier(func(ok bool) {
		switch {
		case !ok:
			c.queries.replyRetry(id, reasonStoreDown)
		case c.records.acceptedJob(record.Spec.ID) != nil:
			c.queries.replyCurrent(id, record.Spec.ID)
		default:
			a.decideDependent(id, record, c.records.checkDependencies(record.Spec.Dependencies))
		}
	})
}

// replyIfUpgrading has a user come again with what only this version knows, if a controller lives
// that says that it is older. It reports whether it did.
//
// Guards against a job in the hands of a version that would not even find it, since it
// passes its key over, and call it unknown.
func (a *admission) replyIfUpgrading(id RequestID, what string) bool {
	label := a.core.records.olderController()
	if label != "" {
		a.core.queries.replyRetry(id, "controller "+label+" still runs a version that does not know "+what+": repeat this when all are upgraded")
	}
	return label != ""
}

func dependencyCancelledReason(dependency string) string {
	return "it needs " + dependency + ", which was cancelled"
}

// maxNamedDependencies is how many of the jobs that one waits for are named to its user.
const maxNamedDependencies = 5

// dependencyReason says for its user what a job waits for.
func (r *storedRecords) dependencyReason(id string) string {
	names, more := r.dependencies.UnmetDependencies(id, maxNamedDependencies)
	slices.Sort(names)
	reason := "waits for " + strings.Join(names, ", ")
	if more > 0 {
		reason += fmt.Sprintf(" and %d more", more)
	}
	return reason
}

// jobUpdated passes a job's new record on to the graph and the leader.
func (r *storedRecords) jobUpdated(j *jobEntry) {
	if !j.isFinal() {
		r.addToGraph(j)
	}
	r.core.scheduler.jobChanged(j)
}

// addToGraph adds an unfinished job to the graph; during a load, once all records are read, since
// an earlier acceptance of the job may be among those that are to come.
func (r *storedRecords) addToGraph(j *jobEntry) {
	spec := &j.record.Spec
	switch {
	case len(spec.Dependencies) == 0:
		r.dependencies.MarkOpen(spec.ID)
	case r.core.mirror.IsReady():
		r.dependencies.AddJob(spec.ID, spec.Dependencies, r.dependencyState)
	default:
		r.loadedDependents = append(r.loadedDependents, spec.ID)
	}
}

// addLoadedDependents adds to the graph the jobs with dependencies that a load has read.
func (r *storedRecords) addLoadedDependents() {
	for _, id := range r.loadedDependents {
		if j := r.jobs[id]; j != nil && len(j.record.Spec.Dependencies) > 0 {
			r.dependencies.AddJob(id, j.record.Spec.Dependencies, r.dependencyState)
		}
	}
	r.loadedDependents = nil
}

// dependencyState says how a job stands, for the graph, and if it is done since when.
func (r *storedRecords) dependencyState(id string) (dag.State, float64) {
	if archived, ok := r.archive.jobs[id]; ok {
		if archived.done {
			return dag.Done, float64(archived.doneAt)
		}
		return dag.Aborted, 0
	}
	if j := r.jobs[id]; j != nil && j.version > 0 {
		return dag.Open, 0
	}
	return dag.Unknown, 0
}

// applyDependencyChanges takes what the graph has found out since: jobs that are ready, and those
// that are aborted because of another one.
func (r *storedRecords) applyDependencyChanges() {
	for _, news := range r.dependencies.TakeEvents() {
		j := r.jobs[news.Job]
		switch {
		case j == nil:
		case news.Aborted:
			r.abortDependent(j, news.Cause)
		default:
			r.dependentReady(j, news.ReadyAt)
		}
	}
}

// dependentReady has a job scheduled whose dependencies are done since a time of day.
func (r *storedRecords) dependentReady(j *jobEntry, since float64) {
	c := r.core
	j.readyAt, j.readyThisTerm = since, c.membership.leading
	if c.membership.leading {
		c.logDebug("job ready", "job", j.record.Spec.ID, "class", j.record.Spec.Class, "dependencies", j.record.Spec.Dependencies)
	}
	c.scheduler.jobChanged(j)
	c.scheduler.lastScheduling = 0 // its first tasks start at once
}

// abortDependent ends a job that needs one that was cancelled. It never had a task, so there is
// nothing to stop, and its own record need not say so: whoever reads that of the cause comes to
// this again.
func (r *storedRecords) abortDependent(j *jobEntry, cause string) {
	j.record = finalRecord(j, protocol.JobCancelled, dependencyCancelledReason(cause))
	r.core.scheduler.jobChanged(j)
	r.derivedAborts[j.record.Spec.ID] = !j.hasOwnRecord()
	r.archiveJob(j)
}

// updateDependencyWeights has the graph work out anew how urgent jobs are for the sake of those
// that need them.
func (s *scheduler) updateDependencyWeights() {
	c := s.core
	if s.dependencyWeightsAt > 0 && c.now.Monotonic-s.dependencyWeightsAt < c.intervals.maintenance {
		return
	}
	s.dependencyWeightsAt = c.now.Monotonic
	c.records.dependencies.UpdatePriorities(s.dependencyWeight)
}

// dependencyWeight is a job's own part in the urgency of those that it needs.
func (s *scheduler) dependencyWeight(id string) dag.Priority {
	weight := dag.Priority{Urgency: lowestUrgency, LatestFinish: math.Inf(1)}
	j := s.core.records.jobs[id]
	if j == nil || j.version == 0 {
		return weight
	}
	spec := &j.record.Spec
	weight.Urgency = urgencyLevel(spec.Urgency)
	if spec.DeadlineS > 0 {
		weight.LatestFinish = j.record.SubmittedAt + spec.DeadlineS
	}
	weight.Duration = s.core.estimator.Predict(spec) + s.core.fleet.imagePullSeconds(spec)
	if q := s.queue.Get(id); q != nil && q.waitingTasks() == 0 {
		weight.Duration /= 2 // all that is left of it is under way
	}
	return weight
}

// hasDeadline reports whether a job of a dependency graph has a deadline, or one that needs it has.
func (q *queuedJob) hasDeadline() bool { return !math.IsInf(q.dependentsDeadline, 1) }

// imagePullSeconds is how many seconds a job's image takes on the machine type that is the fastest
// at that.
func (f *fleet) imagePullSeconds(spec *protocol.Job) float64 {
	rate := 0.0
	for _, machineType := range f.core.machineTypes() {
		if binpacking.AllowsType(spec, machineType.Name) && binpacking.FitsMachineType(machineType, spec) {
			rate = max(rate, machineType.FetchGBps)
		}
	}
	if rate == 0 {
		return 0
	}
	return spec.ImageGB / rate
}
