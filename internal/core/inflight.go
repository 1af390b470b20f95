package core

import (
	"iter"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// The leader's book-keeping of what has been dispatched: which machine holds which
// task, surely or perhaps, and when a task is surely on none.

// inflightAttempt is a task that has been dispatched and may be on a machine.
type inflightAttempt struct {
	job               *queuedJob
	taskIndex         int
	number            uint64
	machine           string          // where it is, as far as is known
	claimants         map[string]bool // every machine that lists it, surely or perhaps
	awaitingPlacement bool            // dispatched, the part has not told where to
	recordVersion     uint64          // of the job's record that its dispatch rests on
	plannedMachine    string          // where the plan saw room for it
	shard             string
	dispatchSession   uint64 // the link that its dispatch went over
	dispatchSeq       uint64 // and the message that carried it
	unlocated         bool   // its part is gone and it may be on any machine not seen yet
	taskState         string
	runningSince      time.Duration // when it was first seen running, 0: not yet
	stopRequested     bool          // to stop,
	stopUrgency       int           // for work as urgent as this
}

// machineView is the leader's picture of a machine.
type machineView struct {
	state         peerproto.MachineState
	shard         string
	machineType   *protocol.MachineType
	attempts      map[string]*inflightAttempt
	used          usage // by them
	images        map[string]bool
	plan          candidateMachine // what the round that is under way makes of it
	registered    bool             // in the register
	leaving       bool             // being returned, or gone
	unschedulable bool             // not counted on for new tasks
	cordoned      bool             // as its part was told
	cordonedAt    time.Duration
	emptySince    time.Duration
	lastClaimedAt time.Duration // when it was given a task last
	upSince       time.Duration
	unsureSince   time.Duration            // since when its list is not to be trusted, if it is not
	failedJobs    map[string]bool          // jobs that failed here since the last success
	backoffUntil  map[string]time.Duration // jobs that its part puts none of here, until when
	unhealthy     bool
	listedEpoch   uint64 // the epoch in which its part has listed it, 0: it no longer does
}

// listComplete reports whether no task but those that it lists can be on a machine.
func (v *machineView) listComplete() bool { return v.state.TasksComplete || v.state.TasksBounded }

// acceptsTasks reports whether a machine may be given tasks, parked or not.
func (v *machineView) acceptsTasks() bool {
	s := &v.state
	return s.AcceptsTasks && s.TasksComplete && !s.InterruptionNotice && !s.Draining && !v.unhealthy && v.machineType != nil && v.registered && !v.leaving
}

// free is what its tasks leave of a machine.
func (v *machineView) free() protocol.MachineType {
	return protocol.MachineType{CPUs: v.machineType.CPUs - v.used.cpus, GPUs: v.machineType.GPUs - v.used.gpus, MemoryGB: v.machineType.MemoryGB - v.used.memoryGB}
}

// claim and give follow which flights a machine has a claim on.
func (v *machineView) claim(name string, f *inflightAttempt, now time.Duration) {
	if v.attempts[name] != f {
		v.unclaim(name)
		v.lastClaimedAt = now
		v.attempts[name] = f
		v.used.add(&f.job.entry.record.Spec, 1)
	}
}

func (v *machineView) unclaim(name string) {
	if f := v.attempts[name]; f != nil {
		delete(v.attempts, name)
		v.used.add(&f.job.entry.record.Spec, -1)
	}
	if len(v.attempts) == 0 {
		v.used = usage{} // no rounding is carried on
	}
}

func (o *scheduler) ensureMachine(name string) *machineView {
	v := o.machines.get(name)
	if v == nil {
		v = &machineView{attempts: map[string]*inflightAttempt{}, failedJobs: map[string]bool{}, backoffUntil: map[string]time.Duration{}, emptySince: o.core.now.Monotonic, lastClaimedAt: o.core.now.Monotonic, upSince: -1, unsureSince: o.core.now.Monotonic}
		v.leaving = o.core.fleet.isReturning(name)
		if rec := o.core.records.machineRecords.get(name); rec != nil {
			v.registered = true
			v.state = peerproto.MachineState{Name: name, Addr: rec.Addr, Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}
			v.machineType = o.core.machineTypes()[rec.Type]
		}
		o.machines.set(name, v)
	}
	return v
}

// setRegistered follows the mirror: whether a machine may be given work.
func (o *scheduler) setRegistered(name string, is bool) {
	if v := o.machines.get(name); v != nil {
		v.registered = is
	} else if is && o.epoch > 0 {
		o.ensureMachine(name) // until its part has told of it, it may hold anything
	}
}

// releaseClaim takes back a machine's claim on a task: it surely is not there.
func (o *scheduler) releaseClaim(name string, f *inflightAttempt, v *machineView) {
	v.unclaim(name)
	delete(f.claimants, v.state.Name)
	if f.machine == v.state.Name {
		f.machine, f.taskState = "", ""
		for _, m := range sortedKeys(f.claimants) {
			f.machine = m
		}
	}
	o.retireIfGone(name, f)
}

// trackAttempt counts a flight against its team's limit.
func (o *scheduler) trackAttempt(name string, f *inflightAttempt) {
	o.attempts[name] = f
	f.job.inflight[f.taskIndex] = f
	s := &f.job.entry.record.Spec
	u := o.teamUsage[s.Team]
	if u == nil {
		u = &usage{}
		o.teamUsage[s.Team] = u
	}
	u.add(s, 1)
}

// retireIfGone credits a flight if its task is surely on no machine and on its way to
// none.
func (o *scheduler) retireIfGone(name string, f *inflightAttempt) {
	if f.awaitingPlacement || f.unlocated || len(f.claimants) > 0 {
		return
	}
	q := f.job
	if o.attempts[name] == f {
		delete(o.attempts, name)
		o.teamUsage[q.entry.record.Spec.Team].add(&q.entry.record.Spec, -1)
	}
	if q.inflight[f.taskIndex] == f {
		delete(q.inflight, f.taskIndex)
		q.firstWaiting = min(q.firstWaiting, f.taskIndex)
	}
	if q.entry.isFinal() && len(q.inflight) == 0 {
		o.queue.delete(q.id)
	}
}

// unseenMachines walks over the machines that may hold tasks this leader does not know.
func (o *scheduler) unseenMachines() iter.Seq2[string, *records.Machine] {
	return func(yield func(string, *records.Machine) bool) {
		for name, rec := range o.core.records.machineRecords.all() {
			if o.isUnseen(name) && !yield(name, rec) {
				return
			}
		}
	}
}

func (o *scheduler) isUnseen(name string) bool {
	v := o.machines.get(name)
	return (v == nil || !v.listComplete()) && !o.core.fleet.wasDeleted(name)
}

// anyUnseen reports whether there is such a machine. It looks on from the one it
// found last: looking at all of them for each word of a part took most of a
// take-over's processor time, and grew with the square of the fleet.
func (o *scheduler) anyUnseen() bool {
	names := o.core.records.machineRecords.sortedNames()
	at, _ := slices.BinarySearch(names, o.lastUnseen)
	for n := range names {
		if name := names[(at+n)%len(names)]; o.isUnseen(name) {
			o.lastUnseen = name
			return true
		}
	}
	return false
}

// resolveUnlocated frees what was in doubt once every machine has been seen.
func (o *scheduler) resolveUnlocated() {
	if !o.hasUnlocated {
		return
	}
	if o.anyUnseen() {
		if o.core.now.Monotonic-o.unseenLoggedAt >= o.core.intervals.maintenance {
			o.unseenLoggedAt = o.core.now.Monotonic
			var missing []string
			for name := range o.unseenMachines() {
				missing = append(missing, name)
			}
			o.core.logInfo("machines not seen yet", "count", len(missing), "among them", missing[:min(len(missing), 5)])
		}
		return
	}
	o.hasUnlocated = false
	for _, q := range o.queue.all() {
		q.unlocated = false
	}
	for _, name := range sortedKeys(o.attempts) {
		if f := o.attempts[name]; f.unlocated {
			f.unlocated = false
			o.retireIfGone(name, f)
		}
	}
	o.lastScheduling = 0
	o.core.logInfo("every machine has been seen")
}

// removeGoneMachines drops the machines that are surely gone, and sees to it that of the others the
// type is known: one that was told of before the types were, and had no news since, got
// no work for ever.
func (o *scheduler) removeGoneMachines() {
	for name, v := range o.machines.all() {
		if v.machineType == nil {
			v.machineType = o.core.machineTypes()[v.state.Type]
		}
		o.quarantineIfFaulty(v) // jobs that failed here may have shown since that they work
		// A machine that no part lists and that is out of the register was
		// deleted by an earlier leader; what it was thought to run once held two
		// tasks back for ever. The wait lets the mirror catch up.
		forgotten := v.listedEpoch != o.epoch && !v.registered && o.core.now.Monotonic-o.epochEnteredAt > 2*o.core.intervals.maxStaleness
		if forgotten || v.leaving && o.core.fleet.wasDeleted(name) {
			// Deleted by the cloud's word: it and its tasks are gone.
			for _, t := range sortedKeys(v.attempts) {
				o.releaseClaim(t, v.attempts[t], v)
			}
			o.machines.delete(name)
		}
	}
}
