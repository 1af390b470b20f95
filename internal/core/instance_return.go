package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// returnReason is why a machine is drained and returned.
type returnReason string

// Reasons to return a machine.
const (
	returnIdle         returnReason = "idle"
	returnFailed       returnReason = "failed"          // the cloud reports that it failed
	returnUnlisted     returnReason = "taken back"      // the cloud's list no longer has it
	returnUnhealthy    returnReason = "faulty"          // jobs fail there that run elsewhere
	returnBootTimeout  returnReason = "did not come up" // its boot timed out
	returnSilent       returnReason = "silent"          // silent for long after its tasks were dropped
	returnDead         returnReason = "dead"            // silent although most of its zone is reachable
	returnUnresponsive returnReason = "does not answer" // no response since the shard map changed
)

// beginReturn starts to drain a machine. It is deleted once it is drained.
func (f *fleet) beginReturn(inst *instance, reason returnReason) {
	if inst.returnReason != "" {
		return
	}
	inst.returnReason = reason
	if view := f.core.scheduler.machines.Get(inst.name); view != nil {
		view.terminating = true
	}
	f.core.logInfo("draining instance", "machine", inst.name, "type", inst.typeName, "zone", inst.zone,
		"spot", inst.spot, "why", string(reason))
}

// returnInstances begins to return machines that can't be used any more, and deletes those that are
// drained.
func (f *fleet) returnInstances() {
	var names []string
	for name, inst := range f.instances.All() {
		f.returnIfUnusable(inst)
		if inst.returnReason == "" || inst.deleteInFlight {
			continue
		}
		if f.isDrained(inst) && len(names) < protocol.MaxDelete {
			names = append(names, name)
		}
	}
	if len(names) == 0 || !f.takeScalingCall() {
		return
	}
	for _, name := range names {
		f.instances.Get(name).deleteInFlight = true
	}
	f.core.emit(DeleteInstances{Names: names})
}

// returnIfUnusable begins to return a machine that can't be used: see unusableReason.
func (f *fleet) returnIfUnusable(inst *instance) {
	if inst.returnReason != "" {
		return
	}
	reason, force := f.unusableReason(inst)
	if reason == "" {
		return
	}
	if reason == returnBootTimeout {
		f.failedBoots[inst.typeName]++
	}
	f.beginReturn(inst, reason)
	inst.forceDelete = force
}

// unusableReason returns why a machine can't be used any more, or an empty reason if it can, and
// whether it is to be deleted without waiting for its tasks to end.
func (f *fleet) unusableReason(inst *instance) (reason returnReason, forced bool) {
	c := f.core
	view, machineType := c.scheduler.machines.Get(inst.name), c.machineTypes()[inst.typeName]
	up := view != nil && view.state.AcceptsTasks
	age := c.now.Monotonic - inst.createdAt
	switch {
	case inst.cloudState == protocol.MachineFailed:
		return returnFailed, false
	case inst.missedLists >= missedListsUntilLost && !up && age > 4*f.listLag():
		return returnUnlisted, true // by the cloud's list it no longer exists, so its tasks have ended
	case view != nil && view.unhealthy:
		return returnUnhealthy, false
	case view == nil:
		if machineType != nil && age > max(f.bootTimeout(machineType), minBootTimeout) {
			return returnBootTimeout, false
		}
		return "", false
	case !up && view.state.TasksComplete && c.now.Monotonic-view.emptySince > f.silenceBeforeReturn(inst.zone):
		return returnSilent, false
	case view.state.Silent && view.upSince >= 0 && f.isZoneReachable(view):
		// Waiting for its lease to expire would delay its tasks for as long again. Once the cloud
		// has deleted it, its tasks have certainly ended.
		return returnDead, true
	case f.isUnresponsive(view) && f.isZoneReachable(view):
		return returnUnresponsive, true
	}
	return "", false
}

// isUnresponsive reports whether a machine has not responded since the shard map changed. It is
// then unknown which tasks run on it, which blocks all tasks that may be running there. The timeout
// of each machine begins when its own task list became incomplete.
//
// Two other timeouts caused faults. When the timeout was counted from the change of the shard map, a
// quarter of the machines that came up later were deleted at their first heartbeat. When it was three
// heartbeats, 15 to 18 s, no job that was submitted before a failover started a task for that long,
// since among a thousand spot machines there nearly always is one that was reclaimed without notice.
func (f *fleet) isUnresponsive(view *machineView) bool {
	c := f.core
	timeout := max(c.intervals.heartbeat, c.intervals.workerLease/5)
	return !view.state.TasksComplete && view.state.Silent && c.now.Monotonic-view.incompleteSince > timeout
}

// minBootTimeout is how long any machine may boot, however fast its type usually boots.
const minBootTimeout = time.Minute

// maxBootDoublings bounds how often failed boots double the boot timeout.
const maxBootDoublings = 2

// bootTimeout is how long a machine of a type may boot. It doubles with each boot that times out
// while no machine of the type comes up, up to four times the original timeout.
//
// If all boots take several times as long as usual, a fixed timeout would give up each machine just
// before it is up. This went on for twenty minutes, one machine after another.
func (f *fleet) bootTimeout(machineType *protocol.MachineType) time.Duration {
	factor := float64(int(1) << min(f.failedBoots[machineType.Name], maxBootDoublings))
	return config.Seconds(machineType.BootS * f.core.policy.BootTimeoutFactor * factor)
}

// isDrained reports whether a machine that is being returned may be deleted. If the machine's shard
// is not draining it yet, isDrained requests that from the shard.
func (f *fleet) isDrained(inst *instance) bool {
	c := f.core
	view, registered := c.scheduler.machines.Get(inst.name), c.records.machineRecords.Get(inst.name) != nil
	if view != nil && view.state.AcceptsTasks && !view.state.Draining && registered {
		f.requestDrain(view, inst.name)
		if !inst.forceDelete && !view.unhealthy {
			return false
		}
	}
	awaitsTasks := !inst.forceDelete && inst.returnReason != returnUnhealthy && inst.cloudState != protocol.MachineFailed
	if awaitsTasks && view != nil && len(view.attempts) > 0 {
		return false
	}
	return !f.mayDeregister(inst.name) || !registered // it must leave the registry first
}

func (f *fleet) requestDrain(view *machineView, name string) {
	if s := f.core.scheduler.shards[view.shard]; s != nil {
		s.outbox.Drain = append(s.outbox.Drain, name)
		s.outboxDue = true
	}
}

// mayDeregister reports whether a machine that is being returned is empty and its shard has
// confirmed that it places nothing more there. Such a machine can leave the registry before it is
// deleted.
//
// If such a machine stayed registered, a new leader would wait for it: one waited 13 s for 35
// machines that the last leader had returned just before it ended.
func (f *fleet) mayDeregister(name string) bool {
	inst, view := f.instances.Get(name), f.core.scheduler.machines.Get(name)
	return inst != nil && inst.returnReason != "" && !inst.forceDelete &&
		view != nil && view.listedEpoch == f.core.scheduler.epoch &&
		view.state.TasksComplete && view.state.AcceptsTasks && view.state.Draining && len(view.attempts) == 0
}

// handleDelete handles the result of deleting machines. Deletions that failed are repeated in the
// next round.
func (f *fleet) handleDelete(result DeleteInstancesResult) {
	for _, name := range result.Names {
		if result.Outcome != CloudDone {
			if inst := f.instances.Get(name); inst != nil {
				inst.deleteInFlight = false
			}
			continue
		}
		f.instances.Delete(name)
		f.deletedNames[name] = true
		if view := f.core.scheduler.machines.Get(name); view != nil {
			view.terminating = true
		}
	}
}
