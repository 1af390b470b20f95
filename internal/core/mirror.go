package core

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/dag"
	"github.com/chalkhub/chalkhub/internal/degraded"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// Keys in the state service. All share one prefix, so one watch sees them all.
const (
	keyPrefix       = "c/"
	keyEstimate     = "c/est"
	keyJob          = "c/job/"
	keyLeader       = "c/leader"
	keyBatch        = "c/accepted/" // read before the jobs' own keys
	keyShardMap     = "c/map"
	keyNode         = "c/node/"
	keyProgress     = "c/prog/"
	keyRegistryPage = "c/rigs/"
	keyMachineTypes = "c/types"

	// Versions before Level 1 pass these over.
	keyDependentJob   = "c/run/"      // jobs that need others
	keyDependentBatch = "c/admitted/" // several of them, accepted in one moment
	keyFineProgress   = "c/fine/"     // progress in smaller blocks
	keyChunk          = "c/long/"     // pieces of jobs' records that are larger than a value
	keyJobZones       = "c/zones/"    // zones of jobs whose records can't be written again
)

// KeyPrefix is what the state client watches.
const KeyPrefix = keyPrefix

// progressBlockTasks is how many tasks one progress key covers: a full block is
// under 3 KB of text, so it fits the smallest value limit with room to spare.
const progressBlockTasks = 16384

// fineBlockTasks is how many tasks a key covers where values are smaller than that: some 350
// bytes of text. What both say is done.
const fineBlockTasks = 2048

// jobEntry is a job in the mirror.
type jobEntry struct {
	record        records.Job
	version       uint64            // of what the mirror holds of it, 0: it is not accepted
	recordVersion uint64            // of its own key, 0: there is none yet
	doneBlocks    []records.TaskSet // by block
	doneCount     int
	ownedKeys     []string          // keys that go with it when it is over: progress, pieces, zones
	leaderView    peerproto.JobView // what the leader says
	dependent     bool              // its own key is below keyRun
	readyThisTerm bool              // became ready while this node led: no leader before gave it a task
	readyAt       float64           // time of day when the last job that it needs was done, in seconds
}

// recordKey is where a job's own record is, or will be.
func (j *jobEntry) recordKey() string {
	if j.dependent {
		return keyDependentJob + j.record.Spec.ID
	}
	return keyJob + j.record.Spec.ID
}

// recordGuard ties a write to what the mirror holds of the job's own record.
func (j *jobEntry) recordGuard() protocol.Guard {
	return protocol.Guard{Key: j.recordKey(), Version: j.recordVersion}
}

// waitingSince is the time of day, in seconds, from which a job's waiting counts: its submission,
// or when the last job that it needs was done.
func (j *jobEntry) waitingSince() float64 { return max(j.record.SubmittedAt, j.readyAt) }

func (j *jobEntry) isFinal() bool { return j.record.State != protocol.JobQueued }

func (j *jobEntry) isTaskDone(i int) bool {
	b := i / progressBlockTasks
	return b < len(j.doneBlocks) && j.doneBlocks[b].Has(i%progressBlockTasks)
}

// storeMirror mirrors the state service and takes submissions and cancellations.
type storeMirror struct {
	core              *Core
	loading           bool
	collectingGarbage bool // what jobs have left behind is being deleted
	ready             bool // the mirror holds everything up to revision
	revision          uint64
	freshAt           time.Duration // when the newest answered watch left
	watching          bool
	unavailable       bool // the state service did not answer last time

	loadAfter    string        // the last key of the load that is under way, empty: none yet
	loadRevision uint64        // its revision, that of its first page
	loadSentAt   time.Duration // when that left
	nextPageAt   time.Duration // when the next page may be asked for

	cancellations degraded.CancellationLog // of which this node may have told

	versions       map[string]uint64    // of keys other than jobs
	jobs           map[string]*jobEntry // that are not over
	archive        *jobArchive
	batches        *admissionBatches
	dependencies   *dag.Graph
	derivedAborts  map[string]bool              // aborted because of another one, known from a lot alone
	garbage        map[string]bool              // keys of jobs that are over, to be deleted
	chunks         map[string]map[string]string // of long records, by job and key
	chunkedRecords *chunkedRecords
	nodes          map[string]records.Node
	leader         *records.Leader
	shardMap       *records.ShardMap
	machineRecords *orderedMap[*records.Machine]
	registryPages  *orderedMap[[]string]            // the register's keys, and the machines that each holds
	machineTypes   map[string]*protocol.MachineType // empty until all are known
	partialTypes   map[string]*protocol.MachineType // those that have been read so far
	estimates      *records.Estimates

	nextWatchAt    time.Duration // when the next watch may be opened
	nextBarrierAt  time.Duration // when the next barrier may leave
	runningBarrier []func(ok bool)
	queuedBarrier  []func(ok bool)

	pendingCommits map[uint64]func(CommitResult)
	lastCommitID   uint64
}

func newStoreMirror(c *Core) *storeMirror {
	l := &storeMirror{core: c, pendingCommits: map[uint64]func(CommitResult){}, batches: newAdmissionBatches(c), chunkedRecords: &chunkedRecords{core: c}, cancellations: degraded.NewCancellationLog(c.cancelsPerLease())}
	l.reset() // a worker's report may come before the first page
	return l
}

func (l *storeMirror) reset() {
	l.versions = map[string]uint64{}
	l.jobs, l.archive = map[string]*jobEntry{}, newJobArchive(l.core.fairShareRules)
	l.dependencies, l.derivedAborts = dag.New(), map[string]bool{}
	l.garbage, l.chunks = map[string]bool{}, map[string]map[string]string{}
	clear(l.batches.stored)
	l.nodes = map[string]records.Node{}
	l.leader, l.shardMap, l.estimates = nil, nil, nil
	l.machineRecords, l.registryPages = newOrderedMap[*records.Machine](), newOrderedMap[[]string]()
	l.machineTypes, l.partialTypes = map[string]*protocol.MachineType{}, map[string]*protocol.MachineType{}
}

// isFresh reports whether the mirror is young enough to act on.
func (l *storeMirror) isFresh() bool {
	return l.ready && l.core.now.Monotonic-l.freshAt < l.core.intervals.maxStaleness
}

// maintain keeps the mirror loaded and a watch open.
func (l *storeMirror) maintain() {
	if !l.ready {
		if !l.loading {
			l.loading = true
			l.core.emit(LoadPage{After: l.loadAfter})
		}
		return
	}
	if !l.watching {
		l.watching = true
		l.nextWatchAt = l.paced(l.nextWatchAt, func() {
			l.core.emit(Watch{Since: l.revision, Hold: l.core.intervals.maxStaleness / 8})
		})
	}
}

// paced sends a read of the state service, at once unless the last one of its
// kind left only just now, and returns when the next may leave.
//
// Guards the state service's limit: with a wave of small jobs every change ended
// the watch of every node and every poll asked for a barrier, one after the other
// as fast as they were answered, until renewals and submissions got a 429.
func (l *storeMirror) paced(at time.Duration, send func()) time.Duration {
	return l.pacedBy(l.core.intervals.readSpacing, at, send)
}

func (l *storeMirror) pacedBy(pace, at time.Duration, send func()) time.Duration {
	now := l.core.now.Monotonic
	if at <= now {
		send()
	} else {
		l.core.afterFunc(at-now, send)
	}
	return max(at, now) + pace
}

// handleLoad takes a page of the keys and asks for the next. What changes meanwhile
// comes again through the watch, which goes on from the first page's revision.
//
// Guards the state service's limit, and a load of a hundred thousand jobs against
// beginning anew whenever one of its pages is refused.
func (l *storeMirror) handleLoad(d LoadResult) {
	again := func() { l.core.emit(LoadPage{After: l.loadAfter}) }
	if !d.OK {
		l.core.afterFunc(l.core.intervals.maxStaleness/16, again)
		return
	}
	if l.loadAfter == "" {
		l.reset()
		l.loadRevision, l.loadSentAt = d.Revision, d.SentAt
	}
	for _, it := range d.Items {
		l.applyPut(it.Key, it.Value, it.Version)
	}
	l.applyDependencyChanges()
	if d.More && len(d.Items) > 0 {
		l.loadAfter = d.Items[len(d.Items)-1].Key
		l.nextPageAt = l.pacedBy(l.core.intervals.pageSpacing, l.nextPageAt, again)
		return
	}
	// The leader's books rest on the job records of the mirror that is gone: it begins
	// anew, in an epoch of its own.
	if l.core.membership.leading {
		l.core.membership.leading = false
		l.core.scheduler.reloadRevision = l.loadRevision
		l.core.scheduler.leadershipChanged(false)
	}
	l.loading, l.loadAfter = false, ""
	l.ready, l.revision, l.freshAt = true, l.loadRevision, l.loadSentAt
	l.core.logInfo("state loaded", "keys", len(l.versions)+len(l.jobs)+len(l.archive.jobs), "ended jobs", len(l.archive.jobs), "revision", l.revision)
}

func (l *storeMirror) handleWatch(d WatchResult) {
	if !d.Barrier {
		l.watching = false
	}
	switch d.Outcome {
	case WatchServed:
		if l.unavailable {
			l.unavailable = false
			l.core.logInfo("state service is back")
		}
		if !l.ready {
			break // a load is under way, and its own watch will tell
		}
		for _, e := range d.Answer.Events {
			// A watch and a barrier overlap: what an earlier answer brought is
			// not taken again, or the mirror would step back.
			if e.Version <= l.revision {
				continue
			}
			if e.Put != "" {
				l.applyPut(e.Put, e.Value, e.Version)
			} else {
				l.applyDelete(e.Delete, e.Version)
			}
		}
		l.applyDependencyChanges()
		l.revision = max(l.revision, d.Answer.Revision)
		l.freshAt = max(l.freshAt, d.SentAt)
	case WatchCompacted:
		l.ready = false // too far behind: read everything again
	default:
		if !l.unavailable {
			l.unavailable = true
			l.core.logInfo("state service does not answer", "outcome", d.Outcome.String())
		}
		if !d.Barrier {
			l.watching = true
			l.core.afterFunc(l.core.intervals.maxStaleness/16, func() { l.watching = false; l.maintain() })
		}
	}
	if d.Barrier {
		done := l.runningBarrier
		l.runningBarrier = nil
		for _, f := range done {
			f(d.Outcome == WatchServed && l.ready)
		}
		l.startBarrier()
	}
}

// barrier calls f once the mirror holds everything that any node can have said
// before now. Queries that come while one is under way share the next.
func (l *storeMirror) barrier(f func(ok bool)) {
	if !l.ready {
		f(false)
		return
	}
	l.queuedBarrier = append(l.queuedBarrier, f)
	if l.runningBarrier == nil {
		l.startBarrier()
	}
}

func (l *storeMirror) startBarrier() {
	if len(l.queuedBarrier) == 0 {
		return
	}
	// Whoever asks before it leaves is served by it too.
	l.runningBarrier = []func(bool){}
	l.nextBarrierAt = l.paced(l.nextBarrierAt, func() {
		l.runningBarrier, l.queuedBarrier = l.queuedBarrier, nil
		l.core.emit(Watch{Since: l.revision, Barrier: true})
	})
}

// commit runs a transaction; f gets the outcome.
func (l *storeMirror) commit(guards []protocol.Guard, ops []protocol.Operation, f func(CommitResult)) {
	l.lastCommitID++
	l.pendingCommits[l.lastCommitID] = f
	l.core.emit(Commit{ID: l.lastCommitID, Txn: protocol.Transaction{If: guards, Then: ops}})
}

// awaitOutcome calls f once the mirror holds what became of a write: at once if the
// write was answered for good, after a pause if not.
func (l *storeMirror) awaitOutcome(answered bool, pause time.Duration, f func()) {
	look := func() { l.barrier(func(bool) { f() }) }
	if answered {
		look()
	} else {
		l.core.afterFunc(pause, look)
	}
}

func (l *storeMirror) handleCommit(d CommitResult) {
	f := l.pendingCommits[d.ID]
	delete(l.pendingCommits, d.ID)
	if d.Outcome == CommitThrottled && !l.core.throttled {
		l.core.throttled = true
		l.core.logDebug("a change was refused for its rate", "changes a second from now on", l.core.writeRate())
	}
	if f != nil {
		f(d)
	}
}

func (l *storeMirror) guard(key string) protocol.Guard {
	return protocol.Guard{Key: key, Version: l.versions[key]}
}

func (l *storeMirror) applyPut(key string, value protocol.Raw, version uint64) {
	if l.versions[key] > version {
		return
	}
	var err error
	switch {
	case strings.HasPrefix(key, keyJob):
		l.logUnreadable(key, l.applyJob(key[len(keyJob):], false, value, version))
		return
	case strings.HasPrefix(key, keyDependentJob):
		l.logUnreadable(key, l.applyJob(key[len(keyDependentJob):], true, value, version))
		return
	case strings.HasPrefix(key, keyBatch), strings.HasPrefix(key, keyDependentBatch):
		err = l.batches.applyBatch(key, value, version)
	case strings.HasPrefix(key, keyProgress):
		err = l.applyProgress(key, key[len(keyProgress):], progressBlockTasks, value)
	case strings.HasPrefix(key, keyFineProgress):
		err = l.applyProgress(key, key[len(keyFineProgress):], fineBlockTasks, value)
	case strings.HasPrefix(key, keyChunk):
		err = l.applyChunk(key, value)
	case strings.HasPrefix(key, keyJobZones):
		err = l.applyZones(key, value)
	case strings.HasPrefix(key, keyNode):
		var rec records.Node
		if err = protocol.Decode(value, &rec); err == nil {
			l.nodes[key[len(keyNode):]] = rec
		}
	case strings.HasPrefix(key, keyRegistryPage):
		rec := &records.RegistryPage{}
		if err = protocol.Decode(value, rec); err == nil {
			l.putRegistryPage(key[len(keyRegistryPage):], rec)
		}
	case key == keyLeader:
		rec := &records.Leader{}
		if err = protocol.Decode(value, rec); err == nil {
			l.leader = rec
		}
	case key == keyShardMap:
		rec := &records.ShardMap{}
		if err = protocol.Decode(value, rec); err == nil {
			l.shardMap = rec
		}
	case strings.HasPrefix(key, keyMachineTypes):
		var rec protocol.MachineTypes
		if err = protocol.Decode(value, &rec); err == nil {
			l.applyMachineTypes(&rec)
		}
	case key == keyEstimate:
		rec := &records.Estimates{}
		if err = protocol.Decode(value, rec); err == nil {
			l.estimates = rec
		}
	}
	l.logUnreadable(key, err)
	l.versions[key] = version
}

// applyJob takes a job's own record into the mirror.
func (l *storeMirror) applyJob(id string, run bool, value protocol.Raw, version uint64) error {
	var rec records.Job
	if err := protocol.Decode(value, &rec); err != nil {
		return err
	}
	if rec.State == protocol.JobCancelled && version > l.loadRevision {
		l.cancellations.Record(id, version) // what was loaded is told by loadRev
	}
	if e, ok := l.archive.jobs[id]; ok {
		if version > e.version && rec.State != protocol.JobQueued {
			l.archive.add(&rec, version)
			delete(l.derivedAborts, id)
		}
		return nil
	}
	j := l.entry(id)
	if j.version > version || j.recordVersion == version {
		return nil // nothing new: the pieces of a long record are read once
	}
	if rec.Chunks > 0 {
		if err := l.assembleRecord(&rec); err != nil {
			return err
		}
	}
	if len(rec.Zones) == 0 {
		rec.Zones = j.record.Zones // they may have a key of their own
	}
	over := !j.isFinal() && rec.State != protocol.JobQueued
	j.record, j.version, j.recordVersion, j.dependent = rec, version, version, run
	if j.isFinal() {
		if rec.State == protocol.JobDone {
			j.doneCount = rec.Spec.Tasks
		}
		j.doneBlocks = nil
	}
	l.jobUpdated(j)
	if over {
		l.archiveJob(j)
	}
	return nil
}

// archiveJob moves a job that has ended to the archive.
func (l *storeMirror) archiveJob(j *jobEntry) {
	id := j.record.Spec.ID
	for _, key := range j.ownedKeys {
		l.garbage[key] = true
	}
	if l.core.membership.leading {
		l.core.logDebug("over", "job", id, "state", j.record.State, "why", j.record.StopReason)
	}
	l.core.shard.stopJob(j)
	l.archive.add(&j.record, j.version)
	delete(l.jobs, id)
	l.dependencies.MarkFinished(id, j.record.State == protocol.JobDone, j.record.DoneAt)
}

func (l *storeMirror) logUnreadable(key string, err error) {
	if err != nil {
		l.core.emit(Log{Level: LevelError, Text: "cannot read a key of the state service", Args: []any{"key", key, "error", err}})
	}
}

// applyProgress takes a block of a job's completed tasks, so many to a block.
func (l *storeMirror) applyProgress(key, name string, tasks int, value protocol.Raw) error {
	id, num, _ := strings.Cut(name, "/")
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || n > protocol.MaxTasks/tasks {
		return fmt.Errorf("progress key %q", name)
	}
	var rec records.Progress
	if err := protocol.Decode(value, &rec); err != nil {
		return err
	}
	set, err := records.ParseTaskSet(rec.Bits)
	if err != nil {
		return err
	}
	j := l.ownKey(id, key)
	if j == nil {
		return nil
	}
	block, first := n*tasks/progressBlockTasks, n*tasks%progressBlockTasks
	for block >= len(j.doneBlocks) {
		j.doneBlocks = append(j.doneBlocks, nil)
	}
	// A task that was done stays so, whichever key says it.
	j.doneCount += j.doneBlocks[block].Merge(set, first/8)
	l.core.scheduler.progressSaved(id)
	return nil
}

// ownKey notes a key that goes with a job when it is over; nil: it is already.
func (l *storeMirror) ownKey(id, key string) *jobEntry {
	if _, over := l.archive.jobs[id]; over {
		l.garbage[key] = true
		return nil
	}
	j := l.entry(id)
	if !slices.Contains(j.ownedKeys, key) {
		j.ownedKeys = append(j.ownedKeys, key)
	}
	return j
}

func (l *storeMirror) entry(id string) *jobEntry {
	j := l.jobs[id]
	if j == nil {
		j = &jobEntry{}
		j.record.State = protocol.JobQueued
		l.jobs[id] = j
	}
	return j
}

func (l *storeMirror) applyDelete(key string, version uint64) {
	if l.versions[key] > version {
		return // a page of a load was newer
	}
	delete(l.versions, key)
	switch {
	case strings.HasPrefix(key, keyNode):
		delete(l.nodes, key[len(keyNode):])
	case strings.HasPrefix(key, keyBatch), strings.HasPrefix(key, keyDependentBatch):
		delete(l.batches.stored, key)
	case strings.HasPrefix(key, keyRegistryPage):
		l.removeRegistryPage(key[len(keyRegistryPage):])
	case strings.HasPrefix(key, keyProgress), strings.HasPrefix(key, keyFineProgress), strings.HasPrefix(key, keyJobZones):
		delete(l.garbage, key)
	case strings.HasPrefix(key, keyChunk):
		delete(l.garbage, key)
		l.removeChunk(key)
	case key == keyLeader:
		l.leader = nil
	}
}

// acceptedJob returns the job if the state service holds it.
func (l *storeMirror) acceptedJob(id string) *jobEntry {
	if j := l.jobs[id]; j != nil {
		if j.version == 0 {
			return nil
		}
		return j
	}
	return l.archive.get(id)
}

// replyRetry answers that the request must be repeated, at once and with a time.
func (l *storeMirror) replyRetry(id RequestID, why string) {
	l.core.emit(Reply{ID: id, Status: ReplyUnavailable, Body: protocol.ErrorResponse{Error: why}, RetryAfter: time.Second})
}

func (l *storeMirror) replyUnknownJob(id RequestID) {
	l.core.emit(Reply{ID: id, Status: ReplyNotFound, Body: protocol.ErrorResponse{Error: "no such job"}})
}

func (l *storeMirror) replyJob(id RequestID, status ReplyStatus, j *jobEntry) {
	a := protocol.JobResponse{ID: j.record.Spec.ID, State: j.record.State, Done: j.doneCount, Reason: j.record.StopReason}
	if !j.isFinal() {
		a.Running = j.leaderView.Running
		a.Reason = j.leaderView.Reason
		if l.dependencies.IsWaiting(a.ID) {
			a.Reason = l.dependencyReason(a.ID)
		}
		if a.Running > 0 {
			a.State = protocol.JobRunning
		}
		if a.Reason == "" && a.Running == 0 {
			a.Reason = "waits for the scheduler's next round"
		}
	}
	l.core.emit(Reply{ID: id, Status: status, Body: a})
}

// replyCurrent answers for a job once nothing newer can have been said elsewhere.
func (l *storeMirror) replyCurrent(id RequestID, ref string) {
	if j := l.acceptedJob(ref); j != nil && j.isFinal() {
		l.replyJob(id, ReplyOK, j) // a final state never changes
		return
	}
	l.barrier(func(ok bool) {
		j := l.acceptedJob(ref)
		switch {
		case !ok:
			l.replyRetry(id, "the state service does not answer")
		case j == nil:
			l.replyUnknownJob(id)
		default:
			l.replyJob(id, ReplyOK, j)
		}
	})
}

func (l *storeMirror) query(id RequestID, ref string) {
	if !protocol.ValidJobID(ref) {
		l.replyUnknownJob(id)
		return
	}
	l.replyCurrent(id, ref)
}

func (l *storeMirror) submit(id RequestID, spec protocol.Job) {
	if l.acceptedJob(spec.ID) != nil {
		l.replyCurrent(id, spec.ID)
		return
	}
	if !l.isFresh() || len(l.machineTypes) == 0 {
		l.replyRetry(id, "this node cannot decide yet")
		return
	}
	if why := l.infeasible(&spec); why != "" {
		l.reject(id, spec.ID, why)
		return
	}
	rec := records.Job{Spec: spec, State: protocol.JobQueued, SubmittedAt: l.core.now.Wall}
	if len(spec.Dependencies) > 0 {
		l.submitDependent(id, rec, false)
		return
	}
	l.admit(id, rec, false)
}

// reject answers that a job can never run, once no node can have accepted one of its name.
//
// Guards against a refusal of what another node has accepted, by a mirror that is older.
func (l *storeMirror) reject(id RequestID, ref, why string) {
	l.barrier(func(ok bool) {
		switch {
		case !ok:
			l.replyRetry(id, "the state service does not answer")
		case l.acceptedJob(ref) != nil:
			l.replyJob(id, ReplyOK, l.acceptedJob(ref))
		default:
			l.core.emit(Reply{ID: id, Status: ReplyInvalid, Body: protocol.ErrorResponse{Error: why}})
		}
	})
}

// notAcceptedGuards hold as long as nobody has accepted a job. Whoever names jobs that it needs
// may be kept below either prefix, as those were over or not when it was looked at.
func notAcceptedGuards(id string, needy bool) []protocol.Guard {
	guards := []protocol.Guard{{Key: keyJob + id}}
	if needy {
		guards = append(guards, protocol.Guard{Key: keyDependentJob + id})
	}
	return guards
}

// admit writes a submission; needy: its user named jobs that it needs.
func (l *storeMirror) admit(id RequestID, rec records.Job, needy bool) {
	spec := rec.Spec
	size := protocol.JSONSize(rec)
	if size > l.core.maxValueBytes()-batchOverhead {
		l.chunkedRecords.admit(id, rec)
		return
	}
	if !l.batches.mayWriteAlone() {
		l.batches.enqueue(submission{id, rec, needy, size})
		return
	}
	key := (&jobEntry{record: rec, dependent: len(spec.Dependencies) > 0}).recordKey()
	l.commit(notAcceptedGuards(spec.ID, needy), []protocol.Operation{{Put: key, Value: rec}}, func(d CommitResult) {
		switch d.Outcome {
		case Committed:
			l.replyAccepted(id, &rec)
		case CommitConflict:
			l.replyCurrent(id, spec.ID) // another node was first, or an earlier try of ours
		case CommitUnknown:
			// The transaction may have been applied, or may be later. If it has
			// been, say so; if not, 503 promises nothing either way.
			l.barrier(func(ok bool) { l.replyUncertain(id, spec.ID, ok) })
		case CommitThrottled:
			l.batches.writeTokens = 0
			l.batches.enqueue(submission{id, rec, needy, size}) // once more, with others
		default:
			l.replyRetry(id, "the state service is busy")
		}
	})
}

// replyAccepted tells a user that a job is accepted.
func (l *storeMirror) replyAccepted(id RequestID, rec *records.Job) {
	s := &rec.Spec
	l.core.logDebug("accepted", "job", s.ID, "class", s.Class, "team", s.Team, "urgency", s.Urgency,
		"tasks", s.Tasks, "cpus", s.CPUs, "estimate", s.EstimateS, "checkpoint", s.CheckpointS)
	l.core.emit(Reply{ID: id, Status: ReplyAccepted, Body: protocol.JobResponse{ID: s.ID, State: rec.State, Reason: rec.StopReason}})
}

// replyUncertain answers a submission whose write had no answer, once the mirror has been read.
func (l *storeMirror) replyUncertain(id RequestID, ref string, ok bool) {
	if j := l.acceptedJob(ref); ok && j != nil {
		l.replyJob(id, ReplyOK, j)
	} else {
		l.replyRetry(id, "the state service does not answer")
	}
}

// infeasible says why a job can never run, if so.
func (l *storeMirror) infeasible(j *protocol.Job) string {
	team := l.core.team(j.Team)
	if team == nil {
		if len(l.core.settings.Site.Teams) > 0 {
			return "unknown team " + j.Team
		}
		team = &config.Team{} // a site that names no team limits none
	}
	zones := map[string]bool{}
	for _, t := range l.machineTypes {
		if allowsType(j, t.Name) && fitsEmptyMachine(t, j) {
			for _, z := range t.Zones {
				if j.Zone == "" || j.Zone == z {
					zones[z] = true
				}
			}
		}
	}
	if len(zones) == 0 {
		return "a task fits no allowed machine type"
	}
	if j.Kind == protocol.KindGang && j.Spread && j.Tasks > 1 && len(zones) == 1 {
		return "its tasks run together, and there is no second zone to spread them over"
	}
	n := 1.0
	if j.Kind != protocol.KindArray {
		n = float64(j.Tasks)
	}
	if team.CPUsMax > 0 && n*j.CPUs > team.CPUsMax+roundingSlack || team.GPUsMax > 0 && n*j.GPUs > team.GPUsMax+roundingSlack {
		return "the job needs more than the limit of team " + j.Team
	}
	return ""
}

func (l *storeMirror) cancel(id RequestID, ref string, tries int) {
	if !protocol.ValidJobID(ref) {
		l.replyUnknownJob(id)
		return
	}
	l.barrier(func(ok bool) {
		j := l.acceptedJob(ref)
		switch {
		case !ok:
			l.replyRetry(id, "the state service does not answer")
			return
		case j == nil:
			l.replyUnknownJob(id)
			return
		case j.isFinal():
			l.replyJob(id, ReplyOK, j)
			return
		}
		rec := finalRecord(j, protocol.JobCancelled, "cancelled by its user")
		l.commit([]protocol.Guard{j.recordGuard()}, l.finalOps(j, rec), func(d CommitResult) {
			switch {
			case d.Outcome == Committed:
				l.cancellations.Record(ref, d.Answer.Revision)
				l.core.degraded.cancellationConfirmed(ref)
				l.core.emit(Reply{ID: id, Status: ReplyOK, Body: protocol.JobResponse{ID: ref, State: protocol.JobCancelled, Done: j.doneCount}})
			case (d.Outcome == CommitConflict || d.Outcome == CommitUnknown) && tries < 3:
				l.cancel(id, ref, tries+1) // done came first, or the outcome is open: look again
			default:
				l.replyRetry(id, "the state service does not answer")
			}
		})
	})
}

// finalRecord is what is kept of a job that is over.
func finalRecord(j *jobEntry, state, why string) records.Job {
	s := j.record.Spec
	return records.Job{
		Spec: protocol.Job{ID: s.ID, Class: s.Class, Team: s.Team, Kind: s.Kind, Urgency: s.Urgency, Tasks: s.Tasks,
			CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB},
		State: state, SubmittedAt: j.record.SubmittedAt, StopReason: why,
	}
}

// finalOps writes a job's final state and drops what else is kept of it, as far as one
// transaction goes.
func (l *storeMirror) finalOps(j *jobEntry, rec records.Job) []protocol.Operation {
	ops := []protocol.Operation{{Put: j.recordKey(), Value: rec}}
	for _, key := range j.ownedKeys[:min(len(j.ownedKeys), l.core.maxTxnOps()-1)] {
		ops = append(ops, protocol.Operation{Delete: key})
	}
	return ops
}

// collectGarbage deletes, on the leader, what jobs that are over have left behind.
func (l *storeMirror) collectGarbage() {
	c := l.core
	if l.collectingGarbage || len(l.garbage) == 0 {
		return
	}
	guards := []protocol.Guard{c.membership.leaderGuard()}
	var ops []protocol.Operation
	for _, key := range sortedKeys(l.garbage) {
		if l.versions[key] == 0 {
			delete(l.garbage, key)
			continue
		}
		if len(ops) == c.maxTxnOps() || c.scheduler.progressWriteTokens < 1 {
			break
		}
		c.scheduler.progressWriteTokens--
		guards = append(guards, l.guard(key))
		ops = append(ops, protocol.Operation{Delete: key})
	}
	if len(ops) == 0 {
		return
	}
	l.collectingGarbage = true
	l.commit(guards, ops, func(d CommitResult) {
		l.awaitOutcome(d.Outcome.Decided(), c.intervals.maintenance, func() { l.collectingGarbage = false })
	})
}
