package core

import (
	"github.com/chalkhub/chalkhub/internal/binpacking"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// admission accepts users' jobs. A submission is an idempotent request: whoever repeats one, at
// any controller, is told of the job that was accepted first.
//
// A job is accepted once its record is durable: as a key of its own, as part of an admission
// batch, or as chunks that its own key names.
type admission struct {
	core    *Core
	batches *admissionBatches
	chunked *chunkedRecords
}

func newAdmission(c *Core) *admission {
	return &admission{core: c, batches: &admissionBatches{core: c}, chunked: &chunkedRecords{core: c}}
}

// submission is a job that its user asks to accept.
type submission struct {
	requestID         RequestID
	record            records.Job
	namesDependencies bool // its user named jobs that it needs, even if all of those are over
	jsonSize          int  // of the record, as text
}

// Reasons of a refusal that asks the user to come again.
const (
	reasonStoreBusy     = "the state service is busy"
	reasonStoreDown     = "the state service does not answer"
	reasonCannotDecide  = "this node cannot decide yet"
	reasonRecordPending = "its description is long and is being stored: repeat this in a moment"
)

// submit decides on a user's job.
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

// reject answers that a job can never run, once no node can have accepted one of its name.
//
// Guards against a refusal of what another node has accepted, by a mirror that is older.
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

// admit writes a submission that is to be accepted.
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

// writeIndividually writes a submission as a key of its own.
func (a *admission) writeIndividually(s submission) {
	c, jobID := a.core, s.record.Spec.ID
	key := (&jobEntry{record: s.record, dependent: len(s.record.Spec.Dependencies) > 0}).recordKey()
	c.commit(notAcceptedGuards(jobID), []protocol.Operation{{Put: key, Value: s.record}}, func(result CommitResult) {
		switch result.Outcome {
		case Committed:
			a.replyCommitted(&s, result.Response.Revision)
		case CommitConflict:
			c.queries.replyCurrent(s.requestID, jobID) // another node was first, or an earlier try of ours
		case CommitUnknown:
			// The transaction may have been applied, or may be later. If it has
			// been, say so; if not, 503 promises nothing either way.
			c.queries.replyAfterCommit(s.requestID, jobID, unknownRevision)
		case CommitThrottled:
			a.batches.writeTokens = 0
			a.batches.enqueue(s) // once more, with others
		default:
			c.queries.replyRetry(s.requestID, reasonStoreBusy)
		}
	})
}

// replyCommitted answers a submission whose record was written at a revision.
//
// The write may have come second, after a batch of another node (see acceptance). Of a job that
// names no others nothing can have been said that contradicts "queued": it is over only with a
// record of its own key, and the write is guarded by that key's absence. A dependent is over as soon
// as one that it needs is cancelled, without a record of its own, so its first acceptance may have
// been answered with "aborted" before this one was written. It is answered from the mirror, once
// that has everything up to here.
func (a *admission) replyCommitted(s *submission, revision uint64) {
	if s.namesDependencies {
		a.core.queries.replyAfterCommit(s.requestID, s.record.Spec.ID, revision)
	} else {
		a.core.queries.replyAccepted(s.requestID, &s.record)
	}
}

// guardsPerJob is how many notAcceptedGuards a job has.
const guardsPerJob = 2

// notAcceptedGuards hold as long as the job has no key of its own, below either prefix: it depends
// on the submission, and on which of the jobs that it names are over, below which it is kept.
//
// Guards against two keys of one job, whose changes would not exclude each other.
func notAcceptedGuards(id string) []protocol.Guard {
	return []protocol.Guard{{Key: keyJob + id}, {Key: keyDependentJob + id}}
}

// infeasibleReason says why a job can never run, empty if it may.
func (a *admission) infeasibleReason(spec *protocol.Job) string {
	team := a.core.team(spec.Team)
	if team == nil {
		if len(a.core.settings.Site.Teams) > 0 {
			return "unknown team " + spec.Team
		}
		team = &config.Team{} // a site that names no team limits none
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

// feasibleZones are the zones of the machine types on which a job's tasks could run.
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

// exceedsLimit reports whether the tasks of a job that must run at the same time need more than
// their team may use at all: those of an array may run one by one.
func exceedsLimit(team *config.Team, spec *protocol.Job) bool {
	tasks := 1.0
	if spec.Kind != protocol.KindArray {
		tasks = float64(spec.Tasks)
	}
	return team.CPUsMax > 0 && tasks*spec.CPUs > team.CPUsMax+binpacking.RoundingSlack ||
		team.GPUsMax > 0 && tasks*spec.GPUs > team.GPUsMax+binpacking.RoundingSlack
}
