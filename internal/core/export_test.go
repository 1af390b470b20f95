package core

import (
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// ForceSchedulingRound makes the leader run a scheduling round and its maintenance with its next batch of
// commands, however short the time since the last ones is.
func (c *Core) ForceSchedulingRound() {
	c.scheduler.lastScheduling, c.scheduler.lastMaintenance = 0, -c.intervals.maintenance
}

// FullSnapshot returns the full snapshot that this member would publish to a leader over a new link. It
// does not change what the member publishes next.
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

// ApplySnapshot makes the leader handle a full snapshot of the member with the given label. It does
// nothing if the leader does not know the member.
func (c *Core) ApplySnapshot(label string, snapshot peerproto.Message) {
	if member := c.scheduler.shards[label]; member != nil {
		c.scheduler.handleShardMessage(member.session, &snapshot)
	}
}

// QueueForShard adds dispatches and stop requests to the leader's next message to the member with the
// given label, which is sent with the leader's next batch of commands.
func (c *Core) QueueForShard(label string, dispatch []peerproto.TaskAttempt, stop []peerproto.StopTask) {
	outbox := &c.scheduler.shards[label].outbox
	outbox.Dispatch, outbox.Stop = append(outbox.Dispatch, dispatch...), append(outbox.Stop, stop...)
	c.scheduler.shards[label].outboxDue = true
}
