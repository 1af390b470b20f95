package core

import (
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// ForceRound has the leader's next batch of commands rank, dispatch and look after
// the fleet, however little time has passed since it last did.
func (c *Core) ForceRound() {
	c.scheduler.lastScheduling, c.scheduler.lastMaintenance = 0, -c.intervals.maintenance
}

// FullSnapshot is what this member would tell a leader over a new link.
func (c *Core) FullSnapshot() peerproto.Message {
	m := peerproto.Message{Epoch: c.shard.epoch, Snapshot: true}
	for _, r := range c.shard.machines.all() {
		whole, left := r.fullStateDue, r.droppedTasks
		r.fullStateDue = true
		m.Machines = append(m.Machines, c.shard.machineState(r))
		r.fullStateDue, r.droppedTasks = whole, left
	}
	return m
}

// ApplySnapshot has the leader take a member's whole picture.
func (c *Core) ApplySnapshot(label string, m peerproto.Message) {
	if p := c.scheduler.shards[label]; p != nil {
		c.scheduler.handleShardMessage(p.session, &m)
	}
}

// AskOf has the leader dispatch tasks to a member, and ask it to stop some, with its next
// batch of commands.
func (c *Core) AskOf(label string, dispatch []peerproto.TaskAttempt, stop []peerproto.StopTask) {
	p := c.scheduler.shards[label]
	p.outbox.Dispatch, p.outbox.Stop, p.outboxDue = append(p.outbox.Dispatch, dispatch...), append(p.outbox.Stop, stop...), true
}
