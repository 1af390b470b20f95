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

// Jobs with dependencies: how they are accepted, and how events of the dependency graph (package
// dag) reach the stored records and the leader's scheduler.

// dependencyCheck is the state, according to the mirror, of the dependencies that a submission
// names.
type dependencyCheck struct {
	// unmet are the dependencies that are not done. The others need not be stored, since a job that
	// is done stays done. A cancelled dependency counts as unmet: every controller derives from its
	// record that the new job is aborted, so the acceptance of the new job does not state that, and
	// two acceptances of it by different controllers cannot contradict each other.
	unmet   []string
	unknown string // a dependency that the mirror does not have as accepted; "" if there is none
	service string // a dependency that is a service, which is never done; "" if there is none
}

// checkDependencies looks up the named jobs in the mirror.
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

// submitDependent accepts or rejects a job that names dependencies. If the mirror does not hold all
// of them, it decides after a read barrier.
func (a *admission) submitDependent(id RequestID, record records.Job) {
	check := a.core.records.checkDependencies(record.Spec.Dependencies)
	if check.unknown != "" {
		a.submitAfterBarrier(id, record)
		return
	}
	a.decideDependent(id, record, check)
}

// decideDependent accepts or rejects a job according to the state of its dependencies.
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

// submitAfterBarrier looks up the dependencies of a job again after a read barrier, when the mirror
// holds every job that was accepted before the request arrived.
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

// replyIfUpgrading asks the user to repeat a submission later if it needs a feature that a live
// controller of an older version lacks. feature names it in the response. It reports whether it
// responded.
//
// A controller of an older version ignores the keys of such jobs, so it would respond to queries
// that the job does not exist, and as leader it would not run it.
func (a *admission) replyIfUpgrading(id RequestID, feature string) bool {
	label := a.core.records.olderController()
	if label != "" {
		a.core.queries.replyRetry(id, "controller "+label+" still runs a version that does not know "+feature+": repeat this when all are upgraded")
	}
	return label != ""
}

func dependencyCancelledReason(dependency string) string {
	return "it needs " + dependency + ", which was cancelled"
}

// maxNamedDependencies is the number of unmet dependencies that the reason shown to users names.
const maxNamedDependencies = 5

// dependencyReason returns the text shown to users that names the dependencies a job waits for.
func (r *storedRecords) dependencyReason(id string) string {
	names, omittedCount := r.dependencies.UnmetDependencies(id, maxNamedDependencies)
	slices.Sort(names)
	reason := "waits for " + strings.Join(names, ", ")
	if omittedCount > 0 {
		reason += fmt.Sprintf(" and %d more", omittedCount)
	}
	return reason
}

// jobUpdated passes a job's new record on to the dependency graph and the scheduler.
func (r *storedRecords) jobUpdated(j *jobEntry) {
	if !j.isFinal() {
		r.addToGraph(j)
	}
	r.core.scheduler.jobChanged(j)
}

// addToGraph adds an unfinished job to the dependency graph. During a load, jobs with dependencies
// are added only after all records are read, because an earlier acceptance of the job, with other
// dependencies, may be read later, and the graph never changes the dependencies of a job.
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

// addLoadedDependents adds the jobs with dependencies that a load has read to the graph.
func (r *storedRecords) addLoadedDependents() {
	for _, id := range r.loadedDependents {
		if j := r.jobs[id]; j != nil && len(j.record.Spec.Dependencies) > 0 {
			r.dependencies.AddJob(id, j.record.Spec.Dependencies, r.dependencyState)
		}
	}
	r.loadedDependents = nil
}

// dependencyState returns a job's state for the graph. If the job is done it also returns the time
// of day, in seconds, when it was done.
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

// applyDependencyChanges handles the graph's events since the last call: jobs that are ready, and
// jobs that are aborted because one of their dependencies was cancelled or aborted.
func (r *storedRecords) applyDependencyChanges() {
	for _, event := range r.dependencies.TakeEvents() {
		j := r.jobs[event.Job]
		switch {
		case j == nil:
		case event.Aborted:
			r.abortDependent(j, event.Cause)
		default:
			r.dependentReady(j, event.ReadyAt)
		}
	}
}

// dependentReady lets the scheduler run a job whose dependencies are all done. readyAt is the time of
// day, in seconds, when the last of them was done.
func (r *storedRecords) dependentReady(j *jobEntry, readyAt float64) {
	c := r.core
	j.readyAt, j.readyThisTerm = readyAt, c.membership.leading
	if c.membership.leading {
		c.logDebug("job ready, all its dependencies are done", "job", j.record.Spec.ID, "class", j.record.Spec.Class, "dependencies", j.record.Spec.Dependencies)
	}
	c.scheduler.jobChanged(j)
	c.scheduler.lastScheduling = 0 // makes a scheduling round due now, to dispatch its first tasks
}

// abortDependent ends a job because cause, a direct or indirect dependency of it, was cancelled or
// aborted. The job never had a task, so there is nothing to stop. Its stored record does not change:
// every controller that reads the record of the cancelled job derives the same abort.
func (r *storedRecords) abortDependent(j *jobEntry, cause string) {
	j.record = finalRecord(j, protocol.JobCancelled, dependencyCancelledReason(cause))
	r.core.scheduler.jobChanged(j)
	r.derivedAborts[j.record.Spec.ID] = !j.hasOwnRecord()
	r.archiveJob(j)
}

// updateDependencyWeights lets the graph recompute the priorities that jobs inherit from the jobs
// that depend on them, at most once per maintenance interval.
func (s *scheduler) updateDependencyWeights() {
	c := s.core
	if s.dependencyWeightsAt > 0 && c.now.Monotonic-s.dependencyWeightsAt < c.intervals.maintenance {
		return
	}
	s.dependencyWeightsAt = c.now.Monotonic
	c.records.dependencies.UpdatePriorities(s.dependencyWeight)
}

// dependencyWeight returns the priority of a job by itself, which its dependencies inherit.
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
		weight.Duration /= 2 // all its remaining tasks are in flight, so part of the predicted time has passed
	}
	return weight
}

// hasDeadline reports whether a job in the dependency graph has a deadline itself or is needed by a
// job that has one.
func (q *queuedJob) hasDeadline() bool { return !math.IsInf(q.dependentsDeadline, 1) }

// imagePullSeconds returns how many seconds it takes to fetch a job's image on the fastest machine
// type that the job can run on.
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
