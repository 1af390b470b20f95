package core

import (
	"iter"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// maxLoggedUnseen is how many of the machines that a failover waits for are named in a log
// line.
const maxLoggedUnseen = 5

// machineView is what the leader knows of a machine, by the registry and by the shard that
// owns it.
type machineView struct {
	state       peerproto.MachineState // as it was published last, without its lists
	shard       string                 // the member that published it
	listedEpoch uint64                 // the epoch in which its shard has listed it, 0: it no longer does
	machineType *protocol.MachineType  // nil while it is not known
	registered  bool                   // in the machine registry
	images      map[string]bool        // in its cache

	attempts       map[string]*inflightAttempt // that it claims, by task name
	used           usage                       // by these
	roundCandidate candidateMachine            // scratch space of the scheduling round

	terminating   bool // being scaled in, or gone
	unschedulable bool // not counted on for new tasks
	cordoned      bool // its shard was ordered to place nothing there
	cordonedAt    time.Duration
	unhealthy     bool                     // tasks of several jobs failed on it
	failedJobs    map[string]bool          // that failed here since the last success
	backoffUntil  map[string]time.Duration // by job: its shard places no task of it here before

	emptySince      time.Duration
	lastClaimedAt   time.Duration
	upSince         time.Duration // when it first was up, -1: never
	incompleteSince time.Duration // since when its list is not complete, if it is not
}

// listComplete reports whether no task but those that it lists can be on the machine.
func (v *machineView) listComplete() bool { return v.state.TasksComplete || v.state.TasksBounded }

// acceptsTasks reports whether the machine may be given tasks, unschedulable or not.
func (v *machineView) acceptsTasks() bool {
	state := &v.state
	return state.AcceptsTasks && state.TasksComplete && !state.InterruptionNotice && !state.Draining &&
		v.machineType != nil && v.registered && !v.unhealthy && !v.terminating
}

// free is what the attempts on the machine leave of it.
func (v *machineView) free() protocol.MachineType {
	return protocol.MachineType{
		CPUs:     v.machineType.CPUs - v.used.cpus,
		GPUs:     v.machineType.GPUs - v.used.gpus,
		MemoryGB: v.machineType.MemoryGB - v.used.memoryGB,
	}
}

// claim notes that the machine may have an attempt, in place of any other of the same task.
func (v *machineView) claim(task string, attempt *inflightAttempt, now time.Duration) {
	if v.attempts[task] != attempt {
		v.unclaim(task)
		v.lastClaimedAt = now
		v.attempts[task] = attempt
		v.used.add(&attempt.job.entry.record.Spec, 1)
	}
}

// unclaim notes that the machine has no attempt of a task.
func (v *machineView) unclaim(task string) {
	if attempt := v.attempts[task]; attempt != nil {
		delete(v.attempts, task)
		v.used.add(&attempt.job.entry.record.Spec, -1)
	}
	if len(v.attempts) == 0 {
		v.used = usage{} // no rounding error is carried on
	}
}

// ensureMachine is the view of a machine, made from the registry if there is none yet.
func (s *scheduler) ensureMachine(name string) *machineView {
	if view := s.machines.Get(name); view != nil {
		return view
	}
	now := s.core.now.Monotonic
	view := &machineView{
		attempts:        map[string]*inflightAttempt{},
		failedJobs:      map[string]bool{},
		backoffUntil:    map[string]time.Duration{},
		emptySince:      now,
		lastClaimedAt:   now,
		upSince:         -1,
		incompleteSince: now,
		terminating:     s.core.fleet.isReturning(name),
	}
	if record := s.core.records.machineRecords.Get(name); record != nil {
		view.registered = true
		view.state = peerproto.MachineState{Name: name, Addr: record.Addr, Type: record.Type, Zone: record.Zone, Spot: record.Spot}
		view.machineType = s.core.machineTypes()[record.Type]
	}
	s.machines.Set(name, view)
	return view
}

// setRegistered follows the registry: whether a machine may be given work.
func (s *scheduler) setRegistered(name string, registered bool) {
	if view := s.machines.Get(name); view != nil {
		view.registered = registered
	} else if registered && s.epoch > 0 {
		s.ensureMachine(name) // until its shard has published it, it may run anything
	}
}

// removeTerminatedMachines drops the views of machines that are surely gone, and completes those of
// the others. A machine that was published before its type was known, and had no news since,
// would get no work for ever.
func (s *scheduler) removeTerminatedMachines() {
	for name, view := range s.machines.All() {
		if view.machineType == nil {
			view.machineType = s.core.machineTypes()[view.state.Type]
		}
		s.quarantineIfUnhealthy(view) // jobs that failed here may have shown since that they work
		if s.isTerminated(name, view) {
			for _, task := range sortedKeys(view.attempts) {
				s.releaseClaim(task, view.attempts[task], view)
			}
			s.machines.Delete(name)
		}
	}
}

// isTerminated reports whether a machine and its tasks are gone: the cloud says that it is deleted,
// or no shard lists it and it is out of the registry, so that an earlier leader deleted it.
//
// Guards against waiting for ever for tasks that such a machine was thought to run. The delay
// lets the mirror catch up with the registry.
func (s *scheduler) isTerminated(name string, view *machineView) bool {
	forgotten := view.listedEpoch != s.epoch && !view.registered && s.core.now.Monotonic-s.epochEnteredAt > 2*s.core.intervals.maxStaleness
	return forgotten || view.terminating && s.core.fleet.wasDeleted(name)
}

// unseenMachines walks over the registered machines that may hold tasks that this leader does
// not know of.
func (s *scheduler) unseenMachines() iter.Seq2[string, *records.Machine] {
	return func(yield func(string, *records.Machine) bool) {
		for name, record := range s.core.records.machineRecords.All() {
			if s.isUnseen(name) && !yield(name, record) {
				return
			}
		}
	}
}

// isUnseen reports whether a machine may hold tasks that this leader does not know of.
func (s *scheduler) isUnseen(name string) bool {
	view := s.machines.Get(name)
	return (view == nil || !view.listComplete()) && !s.core.fleet.wasDeleted(name)
}

// anyUnseen reports whether there is such a machine. The search begins at the one that was
// found last: looking at all of them for each message of a shard took most of a failover's
// processor time, and grew with the square of the fleet.
func (s *scheduler) anyUnseen() bool {
	names := s.core.records.machineRecords.Keys()
	first, _ := slices.BinarySearch(names, s.lastUnseen)
	for n := range names {
		if name := names[(first+n)%len(names)]; s.isUnseen(name) {
			s.lastUnseen = name
			return true
		}
	}
	return false
}

// logUnseen names some of the machines that a failover waits for, once a round.
func (s *scheduler) logUnseen() {
	if s.core.now.Monotonic-s.unseenLoggedAt < s.core.intervals.maintenance {
		return
	}
	s.unseenLoggedAt = s.core.now.Monotonic
	var missing []string
	for name := range s.unseenMachines() {
		missing = append(missing, name)
	}
	s.core.logInfo("machines not seen yet", "count", len(missing), "among them", missing[:min(len(missing), maxLoggedUnseen)])
}
