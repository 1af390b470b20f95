package core

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/pipeline"
	"github.com/chalkhub/chalkhub/internal/vigil"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// Keys in the state service. All share one prefix, so one watch sees them all.
const (
	keyPrefix   = "c/"
	keyEstimate = "c/est"
	keyJob      = "c/job/"
	keyLeader   = "c/leader"
	keyLot      = "c/accepted/" // read before the jobs' own keys
	keyMap      = "c/map"
	keyNode     = "c/node/"
	keyProgress = "c/prog/"
	keyMachines = "c/rigs/"
	keyTypes    = "c/types"

	// Versions before Level 1 pass these over.
	keyRun    = "c/run/"      // jobs that need others
	keyRunLot = "c/admitted/" // several of them, accepted in one moment
	keyFine   = "c/fine/"     // progress in smaller blocks
	keyLong   = "c/long/"     // pieces of jobs' records that are larger than a value
	keyZones  = "c/zones/"    // zones of jobs whose records can't be written again
)

// KeyPrefix is what the state client watches.
const KeyPrefix = keyPrefix

// progressBlock is how many tasks one progress key covers: a full block is
// under 3 KB of text, so it fits the smallest value limit with room to spare.
const progressBlock = 16384

// fineBlock is how many tasks a key covers where values are smaller than that: some 350
// bytes of text. What both say is done.
const fineBlock = 2048

// job is a job in the mirror.
type job struct {
	rec     wire.JobRecord
	version uint64         // of what the mirror holds of it, 0: it is not accepted
	key     uint64         // of its own key, 0: there is none yet
	done    []wire.TaskSet // by block
	doneN   int
	kept    []string     // keys that go with it when it is over: progress, pieces, zones
	view    wire.JobView // what the leader says
	run     bool         // its own key is below keyRun
	late    bool         // became ready while this node led: no leader before gave it a task
	ready   float64      // time of day when the last job that it needs was done, in seconds
}

// ownKey is where a job's own record is, or will be.
func (j *job) ownKey() string {
	if j.run {
		return keyRun + j.rec.Spec.ID
	}
	return keyJob + j.rec.Spec.ID
}

// ownGuard ties a write to what the mirror holds of the job's own record.
func (j *job) ownGuard() wire.Guard { return wire.Guard{Key: j.ownKey(), Version: j.key} }

// since is the time of day, in seconds, from which a job's waiting counts: its submission,
// or when the last job that it needs was done.
func (j *job) since() float64 { return max(j.rec.At, j.ready) }

func (j *job) final() bool { return j.rec.State != wire.JobQueued }

func (j *job) isDone(i int) bool {
	b := i / progressBlock
	return b < len(j.done) && j.done[b].Has(i%progressBlock)
}

// ledger mirrors the state service and takes submissions and cancellations.
type ledger struct {
	c        *Core
	loading  bool
	sweeping bool // what jobs have left behind is being deleted
	ready    bool // the mirror holds everything up to revision
	revision uint64
	freshAt  time.Duration // when the newest answered watch left
	watching bool
	lost     bool // the state service did not answer last time

	loadFrom string        // the last key of the load that is under way, empty: none yet
	loadRev  uint64        // its revision, that of its first page
	loadSent time.Duration // when that left
	loadAt   time.Duration // when the next page may be asked for

	cancelled vigil.Log // of which this node may have told

	versions map[string]uint64 // of keys other than jobs
	jobs     map[string]*job   // that are not over
	ended    *archive
	lots     *lots
	pipes    *pipeline.Graph
	derived  map[string]bool              // aborted because of another one, known from a lot alone
	leavings map[string]bool              // keys of jobs that are over, to be deleted
	pieces   map[string]map[string]string // of long records, by job and key
	long     *longs
	nodes    map[string]wire.NodeRecord
	leader   *wire.LeaderRecord
	mapRec   *wire.MapRecord
	machines *index[*wire.MachineRecord]
	shelves  *index[[]string]             // the register's keys, and the machines that each holds
	types    map[string]*wire.MachineType // empty until all are known
	shown    map[string]*wire.MachineType // those that have been read so far
	estimate *wire.EstimateRecord

	watchAt     time.Duration // when the next watch may be opened
	barrierAt   time.Duration // when the next barrier may leave
	barrierNow  []func(ok bool)
	barrierNext []func(ok bool)

	commits  map[uint64]func(CommitDone)
	commitID uint64
}

func newLedger(c *Core) *ledger {
	l := &ledger{c: c, commits: map[uint64]func(CommitDone){}, lots: newLots(c), long: &longs{c: c}, cancelled: vigil.NewLog(c.cancelsPerLease())}
	l.reset() // a worker's report may come before the first page
	return l
}

func (l *ledger) reset() {
	l.versions = map[string]uint64{}
	l.jobs, l.ended = map[string]*job{}, newArchive(l.c.floors)
	l.pipes, l.derived = pipeline.New(), map[string]bool{}
	l.leavings, l.pieces = map[string]bool{}, map[string]map[string]string{}
	clear(l.lots.known)
	l.nodes = map[string]wire.NodeRecord{}
	l.leader, l.mapRec, l.estimate = nil, nil, nil
	l.machines, l.shelves = newIndex[*wire.MachineRecord](), newIndex[[]string]()
	l.types, l.shown = map[string]*wire.MachineType{}, map[string]*wire.MachineType{}
}

// fresh reports whether the mirror is young enough to act on.
func (l *ledger) fresh() bool {
	return l.ready && l.c.now.Steady-l.freshAt < l.c.times.fresh
}

// step keeps the mirror loaded and a watch open.
func (l *ledger) step() {
	if !l.ready {
		if !l.loading {
			l.loading = true
			l.c.emit(Load{Since: l.loadFrom})
		}
		return
	}
	if !l.watching {
		l.watching = true
		l.watchAt = l.paced(l.watchAt, func() {
			l.c.emit(Follow{Since: l.revision, Hold: l.c.times.fresh / 8})
		})
	}
}

// paced sends a read of the state service, at once unless the last one of its
// kind left only just now, and returns when the next may leave.
//
// Guards the state service's limit: with a wave of small jobs every change ended
// the watch of every node and every poll asked for a barrier, one after the other
// as fast as they were answered, until renewals and submissions got a 429.
func (l *ledger) paced(at time.Duration, send func()) time.Duration {
	return l.pacedBy(l.c.times.read, at, send)
}

func (l *ledger) pacedBy(pace, at time.Duration, send func()) time.Duration {
	now := l.c.now.Steady
	if at <= now {
		send()
	} else {
		l.c.after(at-now, send)
	}
	return max(at, now) + pace
}

// loaded takes a page of the keys and asks for the next. What changes meanwhile
// comes again through the watch, which goes on from the first page's revision.
//
// Guards the state service's limit, and a load of a hundred thousand jobs against
// beginning anew whenever one of its pages is refused.
func (l *ledger) loaded(d LoadDone) {
	again := func() { l.c.emit(Load{Since: l.loadFrom}) }
	if !d.OK {
		l.c.after(l.c.times.fresh/16, again)
		return
	}
	if l.loadFrom == "" {
		l.reset()
		l.loadRev, l.loadSent = d.Revision, d.Sent
	}
	for _, it := range d.Items {
		l.put(it.Key, it.Value, it.Version)
	}
	l.settle()
	if d.More && len(d.Items) > 0 {
		l.loadFrom = d.Items[len(d.Items)-1].Key
		l.loadAt = l.pacedBy(l.c.times.page, l.loadAt, again)
		return
	}
	// The leader's books rest on the job records of the mirror that is gone: it begins
	// anew, in an epoch of its own.
	if l.c.members.leading {
		l.c.members.leading = false
		l.c.orch.againRev = l.loadRev
		l.c.orch.leadership(false)
	}
	l.loading, l.loadFrom = false, ""
	l.ready, l.revision, l.freshAt = true, l.loadRev, l.loadSent
	l.c.info("state loaded", "keys", len(l.versions)+len(l.jobs)+len(l.ended.jobs), "ended jobs", len(l.ended.jobs), "revision", l.revision)
}

func (l *ledger) followed(d FollowDone) {
	if !d.Barrier {
		l.watching = false
	}
	switch d.Status {
	case 200:
		if l.lost {
			l.lost = false
			l.c.info("state service is back")
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
				l.put(e.Put, e.Value, e.Version)
			} else {
				l.remove(e.Delete, e.Version)
			}
		}
		l.settle()
		l.revision = max(l.revision, d.Answer.Revision)
		l.freshAt = max(l.freshAt, d.Sent)
	case 410:
		l.ready = false // too far behind: read everything again
	default:
		if !l.lost {
			l.lost = true
			l.c.info("state service does not answer", "status", d.Status)
		}
		if !d.Barrier {
			l.watching = true
			l.c.after(l.c.times.fresh/16, func() { l.watching = false; l.step() })
		}
	}
	if d.Barrier {
		done := l.barrierNow
		l.barrierNow = nil
		for _, f := range done {
			f(d.Status == 200 && l.ready)
		}
		l.startBarrier()
	}
}

// barrier calls f once the mirror holds everything that any node can have said
// before now. Queries that come while one is under way share the next.
func (l *ledger) barrier(f func(ok bool)) {
	if !l.ready {
		f(false)
		return
	}
	l.barrierNext = append(l.barrierNext, f)
	if l.barrierNow == nil {
		l.startBarrier()
	}
}

func (l *ledger) startBarrier() {
	if len(l.barrierNext) == 0 {
		return
	}
	// Whoever asks before it leaves is served by it too.
	l.barrierNow = []func(bool){}
	l.barrierAt = l.paced(l.barrierAt, func() {
		l.barrierNow, l.barrierNext = l.barrierNext, nil
		l.c.emit(Follow{Since: l.revision, Barrier: true})
	})
}

// commit runs a transaction; f gets the outcome.
func (l *ledger) commit(guards []wire.Guard, ops []wire.Op, f func(CommitDone)) {
	l.commitID++
	l.commits[l.commitID] = f
	l.c.emit(Commit{ID: l.commitID, Txn: wire.Txn{If: guards, Then: ops}})
}

// lookAgain calls f once the mirror holds what became of a write: at once if the
// write was answered for good, after a pause if not.
func (l *ledger) lookAgain(answered bool, pause time.Duration, f func()) {
	look := func() { l.barrier(func(bool) { f() }) }
	if answered {
		look()
	} else {
		l.c.after(pause, look)
	}
}

func (l *ledger) committed(d CommitDone) {
	f := l.commits[d.ID]
	delete(l.commits, d.ID)
	if d.Status == 429 && !l.c.fell {
		l.c.fell = true
		l.c.debugf("a change was refused for its rate", "changes a second from now on", l.c.writeRPS())
	}
	if f != nil {
		f(d)
	}
}

func (l *ledger) guard(key string) wire.Guard { return wire.Guard{Key: key, Version: l.versions[key]} }

func (l *ledger) put(key string, value wire.Raw, version uint64) {
	if l.versions[key] > version {
		return
	}
	var err error
	switch {
	case strings.HasPrefix(key, keyJob):
		l.report(key, l.putJob(key[len(keyJob):], false, value, version))
		return
	case strings.HasPrefix(key, keyRun):
		l.report(key, l.putJob(key[len(keyRun):], true, value, version))
		return
	case strings.HasPrefix(key, keyLot), strings.HasPrefix(key, keyRunLot):
		err = l.lots.put(key, value, version)
	case strings.HasPrefix(key, keyProgress):
		err = l.putProgress(key, key[len(keyProgress):], progressBlock, value)
	case strings.HasPrefix(key, keyFine):
		err = l.putProgress(key, key[len(keyFine):], fineBlock, value)
	case strings.HasPrefix(key, keyLong):
		err = l.putPiece(key, value)
	case strings.HasPrefix(key, keyZones):
		err = l.putZones(key, value)
	case strings.HasPrefix(key, keyNode):
		var rec wire.NodeRecord
		if err = wire.Decode(value, &rec); err == nil {
			l.nodes[key[len(keyNode):]] = rec
		}
	case strings.HasPrefix(key, keyMachines):
		rec := &wire.MachinesRecord{}
		if err = wire.Decode(value, rec); err == nil {
			l.putMachines(key[len(keyMachines):], rec)
		}
	case key == keyLeader:
		rec := &wire.LeaderRecord{}
		if err = wire.Decode(value, rec); err == nil {
			l.leader = rec
		}
	case key == keyMap:
		rec := &wire.MapRecord{}
		if err = wire.Decode(value, rec); err == nil {
			l.mapRec = rec
		}
	case strings.HasPrefix(key, keyTypes):
		var rec wire.MachineTypes
		if err = wire.Decode(value, &rec); err == nil {
			l.putTypes(&rec)
		}
	case key == keyEstimate:
		rec := &wire.EstimateRecord{}
		if err = wire.Decode(value, rec); err == nil {
			l.estimate = rec
		}
	}
	l.report(key, err)
	l.versions[key] = version
}

// putJob takes a job's own record into the mirror.
func (l *ledger) putJob(id string, run bool, value wire.Raw, version uint64) error {
	var rec wire.JobRecord
	if err := wire.Decode(value, &rec); err != nil {
		return err
	}
	if rec.State == wire.JobCancelled && version > l.loadRev {
		l.cancelled.Note(id, version) // what was loaded is told by loadRev
	}
	if e, ok := l.ended.jobs[id]; ok {
		if version > e.version && rec.State != wire.JobQueued {
			l.ended.put(&rec, version)
			delete(l.derived, id)
		}
		return nil
	}
	j := l.job(id)
	if j.version > version || j.key == version {
		return nil // nothing new: the pieces of a long record are read once
	}
	if rec.Pieces > 0 {
		if err := l.join(&rec); err != nil {
			return err
		}
	}
	if len(rec.Zones) == 0 {
		rec.Zones = j.rec.Zones // they may have a key of their own
	}
	over := !j.final() && rec.State != wire.JobQueued
	j.rec, j.version, j.key, j.run = rec, version, version, run
	if j.final() {
		if rec.State == wire.JobDone {
			j.doneN = rec.Spec.Tasks
		}
		j.done = nil
	}
	l.met(j)
	if over {
		l.over(j)
	}
	return nil
}

// over moves a job that has ended to the archive.
func (l *ledger) over(j *job) {
	id := j.rec.Spec.ID
	for _, key := range j.kept {
		l.leavings[key] = true
	}
	if l.c.members.leading {
		l.c.debugf("over", "job", id, "state", j.rec.State, "why", j.rec.Bad)
	}
	l.c.part.jobOver(j)
	l.ended.put(&j.rec, j.version)
	delete(l.jobs, id)
	l.pipes.Over(id, j.rec.State == wire.JobDone, j.rec.Over)
}

func (l *ledger) report(key string, err error) {
	if err != nil {
		l.c.emit(Log{Level: LevelError, Text: "cannot read a key of the state service", Args: []any{"key", key, "error", err}})
	}
}

// putProgress takes a block of a job's completed tasks, so many to a block.
func (l *ledger) putProgress(key, name string, tasks int, value wire.Raw) error {
	id, num, _ := strings.Cut(name, "/")
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 || n > wire.MaxTasks/tasks {
		return fmt.Errorf("progress key %q", name)
	}
	var rec wire.ProgressRecord
	if err := wire.Decode(value, &rec); err != nil {
		return err
	}
	set, err := wire.ParseTaskSet(rec.Bits)
	if err != nil {
		return err
	}
	j := l.keeps(id, key)
	if j == nil {
		return nil
	}
	block, first := n*tasks/progressBlock, n*tasks%progressBlock
	for block >= len(j.done) {
		j.done = append(j.done, nil)
	}
	// A task that was done stays so, whichever key says it.
	j.doneN += j.done[block].Join(set, first/8)
	l.c.orch.progressed(id)
	return nil
}

// keeps notes a key that goes with a job when it is over; nil: it is already.
func (l *ledger) keeps(id, key string) *job {
	if _, over := l.ended.jobs[id]; over {
		l.leavings[key] = true
		return nil
	}
	j := l.job(id)
	if !slices.Contains(j.kept, key) {
		j.kept = append(j.kept, key)
	}
	return j
}

func (l *ledger) job(id string) *job {
	j := l.jobs[id]
	if j == nil {
		j = &job{}
		j.rec.State = wire.JobQueued
		l.jobs[id] = j
	}
	return j
}

func (l *ledger) remove(key string, version uint64) {
	if l.versions[key] > version {
		return // a page of a load was newer
	}
	delete(l.versions, key)
	switch {
	case strings.HasPrefix(key, keyNode):
		delete(l.nodes, key[len(keyNode):])
	case strings.HasPrefix(key, keyLot), strings.HasPrefix(key, keyRunLot):
		delete(l.lots.known, key)
	case strings.HasPrefix(key, keyMachines):
		l.removeMachines(key[len(keyMachines):])
	case strings.HasPrefix(key, keyProgress), strings.HasPrefix(key, keyFine), strings.HasPrefix(key, keyZones):
		delete(l.leavings, key)
	case strings.HasPrefix(key, keyLong):
		delete(l.leavings, key)
		l.dropPiece(key)
	case key == keyLeader:
		l.leader = nil
	}
}

// accepted returns the job if the state service holds it.
func (l *ledger) accepted(id string) *job {
	if j := l.jobs[id]; j != nil {
		if j.version == 0 {
			return nil
		}
		return j
	}
	return l.ended.get(id)
}

// later answers that the request must be repeated, at once and with a time.
func (l *ledger) later(id RequestID, why string) {
	l.c.emit(Reply{ID: id, Status: 503, Body: wire.ErrorAnswer{Error: why}, RetryAfter: time.Second})
}

func (l *ledger) unknown(id RequestID) {
	l.c.emit(Reply{ID: id, Status: 404, Body: wire.ErrorAnswer{Error: "no such job"}})
}

func (l *ledger) answer(id RequestID, status int, j *job) {
	a := wire.JobAnswer{ID: j.rec.Spec.ID, State: j.rec.State, Done: j.doneN, Reason: j.rec.Bad}
	if !j.final() {
		a.Running = j.view.Running
		a.Reason = j.view.Reason
		if l.pipes.Waits(a.ID) {
			a.Reason = l.waitsFor(a.ID)
		}
		if a.Running > 0 {
			a.State = wire.JobRunning
		}
		if a.Reason == "" && a.Running == 0 {
			a.Reason = "waits for the scheduler's next round"
		}
	}
	l.c.emit(Reply{ID: id, Status: status, Body: a})
}

// known answers for a job once nothing newer can have been said elsewhere.
func (l *ledger) known(id RequestID, ref string) {
	if j := l.accepted(ref); j != nil && j.final() {
		l.answer(id, 200, j) // a final state never changes
		return
	}
	l.barrier(func(ok bool) {
		j := l.accepted(ref)
		switch {
		case !ok:
			l.later(id, "the state service does not answer")
		case j == nil:
			l.unknown(id)
		default:
			l.answer(id, 200, j)
		}
	})
}

func (l *ledger) query(id RequestID, ref string) {
	if !wire.ValidJobID(ref) {
		l.unknown(id)
		return
	}
	l.known(id, ref)
}

func (l *ledger) submit(id RequestID, spec wire.Job) {
	if l.accepted(spec.ID) != nil {
		l.known(id, spec.ID)
		return
	}
	if !l.fresh() || len(l.types) == 0 {
		l.later(id, "this node cannot decide yet")
		return
	}
	if why := l.impossible(&spec); why != "" {
		l.refuse(id, spec.ID, why)
		return
	}
	rec := wire.JobRecord{Spec: spec, State: wire.JobQueued, At: l.c.now.Wall}
	if len(spec.Needs) > 0 {
		l.submitBehind(id, rec, false)
		return
	}
	l.accept(id, rec, false)
}

// refuse answers that a job can never run, once no node can have accepted one of its name.
//
// Guards against a refusal of what another node has accepted, by a mirror that is older.
func (l *ledger) refuse(id RequestID, ref, why string) {
	l.barrier(func(ok bool) {
		switch {
		case !ok:
			l.later(id, "the state service does not answer")
		case l.accepted(ref) != nil:
			l.answer(id, 200, l.accepted(ref))
		default:
			l.c.emit(Reply{ID: id, Status: 422, Body: wire.ErrorAnswer{Error: why}})
		}
	})
}

// freeGuards hold as long as nobody has accepted a job. Whoever names jobs that it needs
// may be kept below either prefix, as those were over or not when it was looked at.
func freeGuards(id string, needy bool) []wire.Guard {
	guards := []wire.Guard{{Key: keyJob + id}}
	if needy {
		guards = append(guards, wire.Guard{Key: keyRun + id})
	}
	return guards
}

// accept writes a submission; needy: its user named jobs that it needs.
func (l *ledger) accept(id RequestID, rec wire.JobRecord, needy bool) {
	spec := rec.Spec
	size := wire.TextSize(rec)
	if size > l.c.valueSize()-lotSize {
		l.long.accept(id, rec)
		return
	}
	if !l.lots.alone() {
		l.lots.add(submission{id, rec, needy, size})
		return
	}
	key := (&job{rec: rec, run: len(spec.Needs) > 0}).ownKey()
	l.commit(freeGuards(spec.ID, needy), []wire.Op{{Put: key, Value: rec}}, func(d CommitDone) {
		switch d.Status {
		case 200:
			l.welcome(id, &rec)
		case 409:
			l.known(id, spec.ID) // another node was first, or an earlier try of ours
		case 0:
			// The transaction may have been applied, or may be later. If it has
			// been, say so; if not, 503 promises nothing either way.
			l.barrier(func(ok bool) { l.uncertain(id, spec.ID, ok) })
		case 429:
			l.lots.tokens = 0
			l.lots.add(submission{id, rec, needy, size}) // once more, with others
		default:
			l.later(id, "the state service is busy")
		}
	})
}

// welcome tells a user that a job is accepted.
func (l *ledger) welcome(id RequestID, rec *wire.JobRecord) {
	s := &rec.Spec
	l.c.debugf("accepted", "job", s.ID, "class", s.Class, "team", s.Team, "urgency", s.Urgency,
		"tasks", s.Tasks, "cpus", s.CPUs, "estimate", s.EstimateS, "checkpoint", s.CheckpointS)
	l.c.emit(Reply{ID: id, Status: 201, Body: wire.JobAnswer{ID: s.ID, State: rec.State, Reason: rec.Bad}})
}

// uncertain answers a submission whose write had no answer, once the mirror has been read.
func (l *ledger) uncertain(id RequestID, ref string, ok bool) {
	if j := l.accepted(ref); ok && j != nil {
		l.answer(id, 200, j)
	} else {
		l.later(id, "the state service does not answer")
	}
}

// impossible says why a job can never run, if so.
func (l *ledger) impossible(j *wire.Job) string {
	team := l.c.team(j.Team)
	if team == nil {
		if len(l.c.set.Site.Teams) > 0 {
			return "unknown team " + j.Team
		}
		team = &config.Team{} // a site that names no team limits none
	}
	zones := map[string]bool{}
	for _, t := range l.types {
		if allows(j, t.Name) && holds(t, j) {
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
	if j.Kind == wire.KindGang && j.Spread && j.Tasks > 1 && len(zones) == 1 {
		return "its tasks run together, and there is no second zone to spread them over"
	}
	n := 1.0
	if j.Kind != wire.KindArray {
		n = float64(j.Tasks)
	}
	if team.CPUsMax > 0 && n*j.CPUs > team.CPUsMax+slack || team.GPUsMax > 0 && n*j.GPUs > team.GPUsMax+slack {
		return "the job needs more than the limit of team " + j.Team
	}
	return ""
}

func (l *ledger) abort(id RequestID, ref string, tries int) {
	if !wire.ValidJobID(ref) {
		l.unknown(id)
		return
	}
	l.barrier(func(ok bool) {
		j := l.accepted(ref)
		switch {
		case !ok:
			l.later(id, "the state service does not answer")
			return
		case j == nil:
			l.unknown(id)
			return
		case j.final():
			l.answer(id, 200, j)
			return
		}
		rec := finalRecord(j, wire.JobCancelled, "cancelled by its user")
		l.commit([]wire.Guard{j.ownGuard()}, l.finalOps(j, rec), func(d CommitDone) {
			switch {
			case d.Status == 200:
				l.cancelled.Note(ref, d.Answer.Revision)
				l.c.outage.confirmed(ref)
				l.c.emit(Reply{ID: id, Status: 200, Body: wire.JobAnswer{ID: ref, State: wire.JobCancelled, Done: j.doneN}})
			case (d.Status == 409 || d.Status == 0) && tries < 3:
				l.abort(id, ref, tries+1) // done came first, or the outcome is open: look again
			default:
				l.later(id, "the state service does not answer")
			}
		})
	})
}

// finalRecord is what is kept of a job that is over.
func finalRecord(j *job, state, why string) wire.JobRecord {
	s := j.rec.Spec
	return wire.JobRecord{
		Spec: wire.Job{ID: s.ID, Class: s.Class, Team: s.Team, Kind: s.Kind, Urgency: s.Urgency, Tasks: s.Tasks,
			CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB},
		State: state, At: j.rec.At, Bad: why,
	}
}

// finalOps writes a job's final state and drops what else is kept of it, as far as one
// transaction goes.
func (l *ledger) finalOps(j *job, rec wire.JobRecord) []wire.Op {
	ops := []wire.Op{{Put: j.ownKey(), Value: rec}}
	for _, key := range j.kept[:min(len(j.kept), l.c.txnOps()-1)] {
		ops = append(ops, wire.Op{Delete: key})
	}
	return ops
}

// sweep deletes, on the leader, what jobs that are over have left behind.
func (l *ledger) sweep() {
	c := l.c
	if l.sweeping || len(l.leavings) == 0 {
		return
	}
	guards := []wire.Guard{c.members.leaderGuard()}
	var ops []wire.Op
	for _, key := range sortedKeys(l.leavings) {
		if l.versions[key] == 0 {
			delete(l.leavings, key)
			continue
		}
		if len(ops) == c.txnOps() || c.orch.writes < 1 {
			break
		}
		c.orch.writes--
		guards = append(guards, l.guard(key))
		ops = append(ops, wire.Op{Delete: key})
	}
	if len(ops) == 0 {
		return
	}
	l.sweeping = true
	l.commit(guards, ops, func(d CommitDone) {
		l.lookAgain(d.Status == 200 || d.Status == 409, c.times.round, func() { l.sweeping = false })
	})
}
