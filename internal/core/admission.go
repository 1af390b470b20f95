package core

import (
	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// admission accepts users' jobs. A submission is idempotent: if it is repeated, at any controller,
// the response describes the job that was accepted first.
//
// A job is accepted once its record is durable. The record is stored under a key of the job's own,
// in an admission batch together with other jobs, or in chunks that the job's own key refers to.
type admission struct {
	core    *Core
	batches *admissionBatches
	chunked *chunkedRecords
}

func newAdmission(c *Core) *admission {
	return &admission{core: c, batches: &admissionBatches{core: c}, chunked: &chunkedRecords{core: c}}
}

// submission is a job that a user has submitted and that is not stored yet.
type submission struct {
	requestID         RequestID
	record            records.Job
	namesDependencies bool // the user named dependencies, even if all of them are done already
	jsonSize          int  // size of the record in bytes of JSON, the encoding to which the store's limits apply
}

// Reasons given in 503 responses, after which the user is to repeat the request.
const (
	reasonStoreBusy     = "the state service is busy"
	reasonStoreDown     = "the state service does not answer"
	reasonCannotDecide  = "this node cannot decide yet"
	reasonRecordPending = "its description is long and is being stored: repeat this in a moment"
)

// submit accepts or rejects a user's job, or asks the user to repeat the request.
func (a *admission) submit(id RequestID, spec protocol.Job) {
	c := a.core
	if c.records.acceptedJob(spec.ID) != nil {
		c.queries.replyCurrent(id, spec.ID)
		return
	}
	if !c.mirror.IsFresh() || len(c.records.machineTypes) == 0 {
		c.queries.replyRetry(id, reasonCannotDecide)
		return
	}
	if reason := a.infeasibleReason(&spec); reason != "" {
		a.reject(id, spec.ID, reason)
		return
	}
	record := records.Job{Spec: spec, State: protocol.JobQueued, SubmittedAt: c.now.Wall}
	if len(spec.Dependencies) > 0 {
		a.submitDependent(id, record)
		return
	}
	a.admit(submission{requestID: id, record: record})
}

// reject responds that a job can never run, after a read barrier has shown that no controller has
// accepted a job with this id.
//
// Without the barrier a controller whose mirror is stale could reject a job that another controller
// has accepted.
func (a *admission) reject(id RequestID, jobID, reason string) {
	c := a.core
	c.mirror.Barrier(func(ok bool) {
		switch j := c.records.acceptedJob(jobID); {
		case !ok:
			c.queries.replyRetry(id, reasonStoreDown)
		case j != nil:
			c.queries.replyJob(id, j)
		default:
			c.queries.replyError(id, ReplyInvalid, reason)
		}
	})
}

// admit stores a submission that has passed all checks: in chunks if it is too large for one value,
// under its own key if a write token is left, and otherwise with the next batch.
func (a *admission) admit(s submission) {
	s.jsonSize = protocol.JSONSize(s.record)
	if s.jsonSize > a.core.maxValueBytes()-batchOverheadBytes {
		a.chunked.admit(s.requestID, s.record)
		return
	}
	if !a.batches.takeIndividualWrite() {
		a.batches.enqueue(s)
		return
	}
	a.writeIndividually(s)
}

// writeIndividually writes a submission under the job's own key.
func (a *admission) writeIndividually(s submission) {
	c, jobID := a.core, s.record.Spec.ID
	key := (&jobEntry{record: s.record, dependent: len(s.record.Spec.Dependencies) > 0}).recordKey()
	c.commit(notAcceptedGuards(jobID), []protocol.Operation{{Put: key, Value: s.record}}, func(result CommitResult) {
		switch result.Outcome {
		case Committed:
			a.replyCommitted(&s, result.Response.Revision)
		case CommitConflict:
			// Another controller, or an earlier request to this one, has accepted the job.
			c.queries.replyCurrent(s.requestID, jobID)
		case CommitUnknown:
			// The transaction may have been applied already, or may be applied later. If
			// the mirror has the job after a barrier, the response says so. Otherwise it is
			// a 503, which leaves open whether the job is accepted.
			c.queries.replyAfterCommit(s.requestID, jobID, unknownRevision)
		case CommitThrottled:
			a.batches.writeTokens = 0
			a.batches.enqueue(s) // tries again together with other submissions
		default:
			c.queries.replyRetry(s.requestID, reasonStoreBusy)
		}
	})
}

// replyCommitted responds to a submission whose record was written at the given revision.
//
// Another controller may have accepted the same job earlier, in a batch (see acceptance). For a job
// that names no dependencies "queued" is still correct: such a job ends only when a final record is
// written to its own key, and this write was guarded by the absence of that key. A job with
// dependencies ends as soon as one of them is cancelled, without a record of its own, so the
// response to its first acceptance may have been "aborted" before this write. The response to such
// a job therefore comes from the mirror, after a read barrier.
func (a *admission) replyCommitted(s *submission, revision uint64) {
	if s.namesDependencies {
		a.core.queries.replyAfterCommit(s.requestID, s.record.Spec.ID, revision)
	} else {
		a.core.queries.replyAccepted(s.requestID, &s.record)
	}
}

// guardsPerJob is the number of guards that notAcceptedGuards returns.
const guardsPerJob = 2

// notAcceptedGuards returns guards that hold as long as the job has no key of its own under either
// prefix. Which prefix a controller uses depends on the submission and on which of the named
// dependencies are done when it checks them, so two controllers may choose differently.
//
// With a guard on one prefix only, a job could get two keys, and changes to one key would not
// conflict with changes to the other.
func notAcceptedGuards(id string) []protocol.Guard {
	return []protocol.Guard{{Key: keyJob + id}, {Key: keyDependentJob + id}}
}

// infeasibleReason returns the reason why a job can never run, or "" if it can.
func (a *admission) infeasibleReason(spec *protocol.Job) string {
	team := a.core.team(spec.Team)
	if team == nil {
		if len(a.core.settings.Site.Teams) > 0 {
			return "unknown team " + spec.Team
		}
		team = &config.Team{} // a site that configures no teams limits none
	}
	zones := a.feasibleZones(spec)
	if len(zones) == 0 {
		return "a task fits no allowed machine type"
	}
	if spec.Kind == protocol.KindGang && spec.Spread && spec.Tasks > 1 && len(zones) == 1 {
		return "its tasks run together, and there is no second zone to spread them over"
	}
	if exceedsLimit(team, spec) {
		return "the job needs more than the limit of team " + spec.Team
	}
	return ""
}

// feasibleZones returns the zones in which a machine type exists that a job's tasks fit on and may
// use.
func (a *admission) feasibleZones(spec *protocol.Job) map[string]bool {
	zones := map[string]bool{}
	for _, machineType := range a.core.records.machineTypes {
		if !binpacking.AllowsType(spec, machineType.Name) || !binpacking.FitsMachineType(machineType, spec) {
			continue
		}
		for _, zone := range machineType.Zones {
			if spec.Zone == "" || spec.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return zones
}

// exceedsLimit reports whether the tasks of a job that must run at the same time need more than the
// team's quota. Tasks of an array may run one by one, so only one of them counts.
func exceedsLimit(team *config.Team, spec *protocol.Job) bool {
	tasks := 1.0
	if spec.Kind != protocol.KindArray {
		tasks = float64(spec.Tasks)
	}
	return team.CPUsMax > 0 && tasks*spec.CPUs > team.CPUsMax+binpacking.RoundingSlack ||
		team.GPUsMax > 0 && tasks*spec.GPUs > team.GPUsMax+binpacking.RoundingSlack
}
