package core

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
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
)

// KeyPrefix is what the state client watches.
const KeyPrefix = keyPrefix

// progressBlock is how many tasks one progress key covers: a full block is
// under 3 KB of text, so it fits the smallest value limit with room to spare.
const progressBlock = 16384

// job is a job in the mirror.
type job struct {
	rec     wire.JobRecord
	version uint64         // of what the mirror holds of it, 0: it is not accepted
	key     uint64         // of its own key, 0: there is none yet
	done    []wire.TaskSet // by block
	doneN   int
	blocks  map[int]uint64 // versions of the progress keys
	view    wire.JobView   // what the leader says
}

func (j *job) final() bool { return j.rec.State != wire.JobQueued }

func (j *job) isDone(i int) bool {
	b := i / progressBlock
	return b < len(j.done) && j.done[b].Has(i%progressBlock)
}

// ledger mirrors the state service and takes submissions and cancellations.
type ledger struct {
	c        *Core
	loading  bool
	ready    bool // the mirror holds everything up to revision
	revision uint64
	freshAt  time.Duration // when the newest answered watch left
	watching bool
	lost     bool // the state service did not answer last time

	loadFrom string        // the last key of the load that is under way, empty: none yet
	loadRev  uint64        // its revision, that of its first page
	loadSent time.Duration // when that left
	loadAt   time.Duration // when the next page may be asked for

	told     []toldJob // cancellations that this node has told of
	toldFrom uint64    // all since this revision

	versions map[string]uint64 // of keys other than jobs
	jobs     map[string]*job   // that are not over
	ended    *archive
	lots     *lots
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
	l := &ledger{c: c, commits: map[uint64]func(CommitDone){}, lots: newLots(c)}
	l.reset() // a worker's report may come before the first page
	return l
}

func (l *ledger) reset() {
	l.versions = map[string]uint64{}
	l.jobs, l.ended = map[string]*job{}, newArchive(l.c.floors)
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
		var rec wire.JobRecord
		if err = wire.Decode(value, &rec); err == nil {
			id := key[len(keyJob):]
			if e, ok := l.ended.jobs[id]; ok {
				if version > e.version && rec.State != wire.JobQueued {
					l.ended.put(&rec, version)
				}
				return
			}
			j := l.job(id)
			if j.version > version {
				return
			}
			over := !j.final() && rec.State != wire.JobQueued
			j.rec, j.version, j.key = rec, version, version
			if j.final() {
				if rec.State == wire.JobDone {
					j.doneN = rec.Spec.Tasks
				}
				j.done = nil
			}
			l.c.orch.jobChanged(j)
			if over {
				l.c.part.jobOver(j)
				l.ended.put(&rec, version)
				delete(l.jobs, id)
			}
		}
		l.report(key, err)
		return
	case strings.HasPrefix(key, keyLot):
		err = l.lots.put(key, value, version)
	case strings.HasPrefix(key, keyProgress):
		err = l.putProgress(key[len(keyProgress):], value, version)
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

func (l *ledger) report(key string, err error) {
	if err != nil {
		l.c.emit(Log{Level: LevelError, Text: "cannot read a key of the state service", Args: []any{"key", key, "error", err}})
	}
}

func (l *ledger) putProgress(name string, value wire.Raw, version uint64) error {
	id, num, _ := strings.Cut(name, "/")
	block, err := strconv.Atoi(num)
	if err != nil || block < 0 || block > wire.MaxTasks/progressBlock {
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
	if _, over := l.ended.jobs[id]; over {
		return nil
	}
	j := l.job(id)
	if j.blocks == nil {
		j.blocks = map[int]uint64{}
	}
	j.blocks[block] = version
	for block >= len(j.done) {
		j.done = append(j.done, nil)
	}
	j.doneN += set.Len() - j.done[block].Len()
	j.done[block] = set
	l.c.orch.progressed(id)
	return nil
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
	case strings.HasPrefix(key, keyLot):
		delete(l.lots.known, key)
	case strings.HasPrefix(key, keyMachines):
		l.removeMachines(key[len(keyMachines):])
	case strings.HasPrefix(key, keyProgress):
		id, num, _ := strings.Cut(key[len(keyProgress):], "/")
		if b, err := strconv.Atoi(num); err == nil && l.jobs[id] != nil {
			delete(l.jobs[id].blocks, b)
		}
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
		l.c.emit(Reply{ID: id, Status: 422, Body: wire.ErrorAnswer{Error: why}})
		return
	}
	key := keyJob + spec.ID
	rec := wire.JobRecord{Spec: spec, State: wire.JobQueued, At: l.c.now.Wall}
	if !l.lots.alone() {
		l.lots.add(id, rec)
		return
	}
	l.commit([]wire.Guard{{Key: key}}, []wire.Op{{Put: key, Value: rec}}, func(d CommitDone) {
		switch d.Status {
		case 200:
			l.welcome(id, &spec)
		case 409:
			l.known(id, spec.ID) // another node was first, or an earlier try of ours
		case 0:
			// The transaction may have been applied, or may be later. If it has
			// been, say so; if not, 503 promises nothing either way.
			l.barrier(func(ok bool) { l.uncertain(id, spec.ID, ok) })
		case 429:
			l.lots.tokens = 0
			l.lots.add(id, rec) // once more, with others
		default:
			l.later(id, "the state service is busy")
		}
	})
}

// welcome tells a user that a job is accepted.
func (l *ledger) welcome(id RequestID, s *wire.Job) {
	l.c.debugf("accepted", "job", s.ID, "class", s.Class, "team", s.Team, "urgency", s.Urgency,
		"tasks", s.Tasks, "cpus", s.CPUs, "estimate", s.EstimateS, "checkpoint", s.CheckpointS)
	l.c.emit(Reply{ID: id, Status: 201, Body: wire.JobAnswer{ID: s.ID, State: wire.JobQueued}})
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
		guards := []wire.Guard{{Key: keyJob + ref, Version: j.key}}
		l.commit(guards, l.finalOps(j, rec), func(d CommitDone) {
			switch {
			case d.Status == 200:
				l.tell(ref, d.Answer.Revision)
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

// finalOps writes a job's final state and drops its progress, as far as one
// transaction goes.
func (l *ledger) finalOps(j *job, rec wire.JobRecord) []wire.Op {
	ops := []wire.Op{{Put: keyJob + rec.Spec.ID, Value: rec}}
	for b := 0; b <= wire.MaxTasks/progressBlock; b++ {
		if j.blocks[b] > 0 && len(ops) < l.c.txnOps() {
			ops = append(ops, wire.Op{Delete: progressKey(rec.Spec.ID, b)})
		}
	}
	return ops
}

func progressKey(id string, block int) string { return keyProgress + id + "/" + strconv.Itoa(block) }
