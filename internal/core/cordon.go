package core

import (
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// A machine is closing while there is clearly more than the work needs and it is
// the dearest or the emptiest: it gets no new tasks and is returned once its last
// one has ended.

// publishCordons lets the parts know which of their machines are closing.
//
// Only the leader knew it once, and parts went on filling them: long after a burst
// twice the machines that were needed stayed, each with a few tasks.
func (f *fleet) publishCordons() {
	c := f.core
	for name, v := range c.scheduler.machines.all() {
		is := f.cordoned[name]
		p := c.scheduler.shards[v.shard]
		if v.cordoned == is || p == nil || p.session == 0 || p.syncedEpoch != c.scheduler.epoch {
			continue
		}
		v.cordoned, p.outboxDue = is, true
		if is {
			v.cordonedAt = c.now.Monotonic
			p.outbox.Cordon = append(p.outbox.Cordon, name)
		} else {
			p.outbox.Uncordon = append(p.outbox.Uncordon, name)
		}
	}
}

// evictFromCordoned stops the last tasks on closing machines if all of them save their
// progress and there is room for them elsewhere: a machine of dozens of CPUs is
// paid for as long as its longest task runs, and moving costs a save and a fetch.
func (f *fleet) evictFromCordoned(up []*instance) {
	c := f.core
	room := 0.0
	for _, h := range up {
		if v := c.scheduler.machines.get(h.name); !v.cordoned && !v.unschedulable && h.returnReason == "" && !v.state.InterruptionNotice && !v.unhealthy {
			room += c.machineTypes()[h.typeName].CPUs - v.used.cpus
		}
	}
	for _, h := range up {
		v := c.scheduler.machines.get(h.name)
		p := c.scheduler.shards[v.shard]
		// The wait lets short tasks end by themselves, and a load that comes back
		// finds the machine as it was.
		if !v.cordoned || c.now.Monotonic-v.cordonedAt < c.intervals.workerLease || p == nil || p.session == 0 || v.used.cpus > room || !canEvictAll(v) {
			continue
		}
		room -= v.used.cpus
		for _, name := range sortedKeys(v.attempts) {
			if t := v.attempts[name]; !t.stopRequested {
				c.scheduler.requestStop(p, t, peerproto.StopTask{Task: name, Machine: h.name, Reason: "tasks moved off a machine that is no longer needed"}, lowestUrgency)
			}
		}
	}
}

// canEvictAll reports whether every task on a machine can be stopped without loss.
func canEvictAll(v *machineView) bool {
	for _, t := range v.attempts {
		s := &t.job.entry.record.Spec
		if s.Kind != protocol.KindArray || s.CheckpointS <= 0 || t.taskState != protocol.TaskRunning && !t.stopRequested {
			return false
		}
	}
	return len(v.attempts) > 0
}
