package core

import (
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// A machine is cordoned during a clear surplus of machines if it is among those to be returned
// first (see sortForReturn). It gets no new tasks and is returned once its last task has ended.

// evictionReason is the reason shown to a job's user when its tasks are moved.
const evictionReason = "tasks moved off a machine that is no longer needed"

// publishCordons informs the shards which of their machines have become cordoned or uncordoned.
//
// Without this, the shards kept filling these machines: long after a burst, twice the number of
// machines that were needed remained, each with a few tasks.
func (f *fleet) publishCordons() {
	c := f.core
	for name, view := range c.scheduler.machines.All() {
		cordoned := f.cordoned[name]
		shard := c.scheduler.shards[view.shard]
		if view.cordoned == cordoned || shard == nil || shard.session == 0 || shard.syncedEpoch != c.scheduler.epoch {
			continue
		}
		view.cordoned, shard.outboxDue = cordoned, true
		if cordoned {
			view.cordonedAt = c.now.Monotonic
			shard.outbox.Cordon = append(shard.outbox.Cordon, name)
		} else {
			shard.outbox.Uncordon = append(shard.outbox.Uncordon, name)
		}
	}
}

// evictFromCordoned stops the last tasks on cordoned machines if all of them save checkpoints and
// there is free capacity for them elsewhere. Otherwise a machine of dozens of CPUs is paid for as
// long as its longest task runs, while moving a task costs only a checkpoint and an image pull.
func (f *fleet) evictFromCordoned(running []*instance) {
	c := f.core
	freeCPUs := f.freeCPUs(running)
	for _, inst := range running {
		view := c.scheduler.machines.Get(inst.name)
		shard := c.scheduler.shards[view.shard]
		// The wait lets short tasks end by themselves, and leaves the machine unchanged if the load
		// returns soon.
		waited := view.cordoned && c.now.Monotonic-view.cordonedAt >= c.intervals.workerLease
		if !waited || shard == nil || shard.session == 0 || view.used.cpus > freeCPUs || !canEvictAll(view) {
			continue
		}
		freeCPUs -= view.used.cpus
		f.evictAll(shard, view, inst.name)
	}
}

// freeCPUs adds up the free CPUs of the machines that may be given tasks.
func (f *fleet) freeCPUs(running []*instance) float64 {
	free := 0.0
	for _, inst := range running {
		view := f.core.scheduler.machines.Get(inst.name)
		if !view.cordoned && !view.unschedulable && inst.returnReason == "" && !view.state.InterruptionNotice && !view.unhealthy {
			free += f.core.machineTypes()[inst.typeName].CPUs - view.used.cpus
		}
	}
	return free
}

func (f *fleet) evictAll(shard *shardView, view *machineView, machine string) {
	for _, task := range sortedKeys(view.attempts) {
		if attempt := view.attempts[task]; !attempt.stopRequested {
			stop := peerproto.StopTask{Task: task, Machine: machine, Reason: evictionReason}
			f.core.scheduler.requestStop(shard, attempt, stop, lowestUrgency)
		}
	}
}

// canEvictAll reports whether there are tasks on a machine, and each of them runs, or is being
// stopped, and can resume elsewhere from a checkpoint.
func canEvictAll(view *machineView) bool {
	for _, attempt := range view.attempts {
		spec := &attempt.job.entry.record.Spec
		checkpoints := spec.Kind == protocol.KindArray && spec.CheckpointS > 0
		if !checkpoints || attempt.taskState != protocol.TaskRunning && !attempt.stopRequested {
			return false
		}
	}
	return len(view.attempts) > 0
}
