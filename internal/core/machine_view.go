package core

import (
	"iter"
	"slices"
	"time"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// maxLoggedUnseen is the maximum number of unseen machines that are named in one log line.
const maxLoggedUnseen = 5

// machineView is the leader's knowledge of a machine, from the machine registry and from the shard that
// owns the machine.
type machineView struct {
	state       peerproto.MachineState // as its shard published it last, without the lists
	shard       string                 // the member that published it
	listedEpoch uint64                 // the epoch in which its shard last listed it, 0: no shard lists it
	machineType *protocol.MachineType  // nil while the type is not known
	registered  bool                   // the machine is in the machine registry
	images      map[string]bool        // images cached on the machine

	attempts       map[string]*inflightAttempt // attempts that the machine claims, by task name
	used           usage                       // resources occupied by attempts
	roundCandidate candidateMachine            // the machine's entry in the scheduling round, reused by each round

	terminating   bool // being drained and returned, or already deleted
	unschedulable bool // scale-in no longer needs it: no new tasks are dispatched to it
	cordoned      bool // its shard was instructed to place no tasks on it
	cordonedAt    time.Duration
	unhealthy     bool                     // quarantined: tasks of several jobs failed on it
	failedJobs    map[string]bool          // jobs with a task that failed here since a task last completed here
	backoffUntil  map[string]time.Duration // by job: none of its tasks is placed here before this time

	emptySince      time.Duration // when it last had attempts, came up or was first known, whichever is latest
	lastClaimedAt   time.Duration // when it last claimed a further attempt; initially when it was first known
	upSince         time.Duration // when it first accepted tasks, -1: never
	incompleteSince time.Duration // since when its task list is incomplete; meaningless while the list is complete
}

// listComplete reports whether only the listed tasks can be on the machine.
func (v *machineView) listComplete() bool { return v.state.TasksComplete || v.state.TasksBounded }

// acceptsTasks reports whether the machine can be given tasks. It does not consider unschedulable.
func (v *machineView) acceptsTasks() bool {
	state := &v.state
	return state.AcceptsTasks && state.TasksComplete && !state.InterruptionNotice && !state.Draining &&
		v.machineType != nil && v.registered && !v.unhealthy && !v.terminating
}

// free returns the resources that the attempts on the machine do not occupy. The machine's type must be
// known.
func (v *machineView) free() protocol.MachineType {
	return protocol.MachineType{
		CPUs:     v.machineType.CPUs - v.used.cpus,
		GPUs:     v.machineType.GPUs - v.used.gpus,
		MemoryGB: v.machineType.MemoryGB - v.used.memoryGB,
	}
}

// claim records that an attempt may be on the machine. It replaces any other attempt of the same task.
func (v *machineView) claim(task string, attempt *inflightAttempt, now time.Duration) {
	if v.attempts[task] != attempt {
		v.unclaim(task)
		v.lastClaimedAt = now
		v.attempts[task] = attempt
		v.used.add(&attempt.job.entry.record.Spec, 1)
	}
}

// unclaim records that no attempt of a task is on the machine.
func (v *machineView) unclaim(task string) {
	if attempt := v.attempts[task]; attempt != nil {
		delete(v.attempts, task)
		v.used.add(&attempt.job.entry.record.Spec, -1)
	}
	if len(v.attempts) == 0 {
		v.used = usage{} // discard accumulated rounding errors
	}
}

// ensureMachine returns the view of a machine. If there is none, it creates one from the machine's
// record in the registry, if any.
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

// setRegistered updates whether a machine is in the registry, without which it is given no tasks.
func (s *scheduler) setRegistered(name string, registered bool) {
	if view := s.machines.Get(name); view != nil {
		view.registered = registered
	} else if registered && s.epoch > 0 {
		s.ensureMachine(name) // it may run unknown tasks until its shard has published it
	}
}

// removeTerminatedMachines removes the views of terminated machines and releases their claims. It also
// fills in missing machine types: a machine that was published before its type was known, and has not
// changed since, would otherwise never be given tasks.
func (s *scheduler) removeTerminatedMachines() {
	for name, view := range s.machines.All() {
		if view.machineType == nil {
			view.machineType = s.core.machineTypes()[view.state.Type]
		}
		s.quarantineIfUnhealthy(view) // jobs that failed here may since have run successfully elsewhere
		if s.isTerminated(name, view) {
			for _, task := range sortedKeys(view.attempts) {
				s.releaseClaim(task, view.attempts[task], view)
			}
			s.machines.Delete(name)
		}
	}
}

// isTerminated reports whether a machine no longer exists, and therefore none of its tasks: the cloud
// reports it as deleted, or no shard lists it and it is not in the registry, which means that an earlier
// leader deleted it.
//
// Without the second case, the leader would wait forever for tasks that it believes to be on such a
// machine. The delay of twice maxStaleness after entering the epoch lets the mirror catch up with the
// registry.
func (s *scheduler) isTerminated(name string, view *machineView) bool {
	deletedEarlier := view.listedEpoch != s.epoch && !view.registered && s.core.now.Monotonic-s.epochEnteredAt > 2*s.core.intervals.maxStaleness
	return deletedEarlier || view.terminating && s.core.fleet.wasDeleted(name)
}

// unseenMachines iterates over the registered machines that may hold tasks unknown to this leader.
func (s *scheduler) unseenMachines() iter.Seq2[string, *records.Machine] {
	return func(yield func(string, *records.Machine) bool) {
		for name, record := range s.core.records.machineRecords.All() {
			if s.isUnseen(name) && !yield(name, record) {
				return
			}
		}
	}
}

// isUnseen reports whether a machine may hold tasks unknown to this leader.
func (s *scheduler) isUnseen(name string) bool {
	view := s.machines.Get(name)
	return (view == nil || !view.listComplete()) && !s.core.fleet.wasDeleted(name)
}

// anyUnseen reports whether any registered machine is unseen. The search begins at the machine found by
// the previous search: searching all machines for each message of a shard took most of a failover's
// processor time, which grew with the square of the number of machines.
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

// logUnseen logs some of the unseen machines that a failover waits for, at most once per maintenance
// interval.
func (s *scheduler) logUnseen() {
	if s.core.now.Monotonic-s.unseenLoggedAt < s.core.intervals.maintenance {
		return
	}
	s.unseenLoggedAt = s.core.now.Monotonic
	var unseen []string
	for name := range s.unseenMachines() {
		unseen = append(unseen, name)
	}
	s.core.logInfo("waiting for machines not seen yet", "count", len(unseen), "among them", unseen[:min(len(unseen), maxLoggedUnseen)])
}
