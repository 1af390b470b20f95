package core

import (
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// ForceSchedulingRound has the leader rank, dispatch and do its maintenance with its next batch of
// commands, however little time has passed since it last did.
func (c *Core) ForceSchedulingRound() {
	c.scheduler.lastScheduling, c.scheduler.lastMaintenance = 0, -c.intervals.maintenance
}

// FullSnapshot is what this member would publish to a leader over a new link. What it still has
// to publish stays due.
func (c *Core) FullSnapshot() peerproto.Message {
	snapshot := peerproto.Message{Epoch: c.shard.epoch, Snapshot: true}
	for _, m := range c.shard.machines.All() {
		fullStateDue, droppedTasks := m.fullStateDue, m.droppedTasks
		m.fullStateDue = true
		snapshot.Machines = append(snapshot.Machines, c.shard.machineState(m))
		m.fullStateDue, m.droppedTasks = fullStateDue, droppedTasks
	}
	return snapshot
}

// ApplySnapshot has the leader take a member's full snapshot.
func (c *Core) ApplySnapshot(label string, snapshot peerproto.Message) {
	if member := c.scheduler.shards[label]; member != nil {
		c.scheduler.handleShardMessage(member.session, &snapshot)
	}
}

// QueueForShard has the leader dispatch tasks to a member, and ask it to stop some, with its next batch
// of commands.
func (c *Core) QueueForShard(label string, dispatch []peerproto.TaskAttempt, stop []peerproto.StopTask) {
	outbox := &c.scheduler.shards[label].outbox
	outbox.Dispatch, outbox.Stop = append(outbox.Dispatch, dispatch...), append(outbox.Stop, stop...)
	c.scheduler.shards[label].outboxDue = true
}
