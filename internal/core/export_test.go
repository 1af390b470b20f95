package core

import "github.com/chalkhub/chalkhub/internal/wire"

// RoundIsDue has the leader's next batch of commands rank, dispatch and look after
// the fleet, however little time has passed since it last did.
func (c *Core) RoundIsDue() { c.orch.lastSort, c.orch.lastRound = 0, -c.times.round }

// WholePicture is what this member would tell a leader over a new link.
func (c *Core) WholePicture() wire.PeerMessage {
	m := wire.PeerMessage{Epoch: c.part.epoch, Full: true}
	for _, r := range c.part.rigs.all() {
		whole, left := r.whole, r.left
		r.whole = true
		m.Machines = append(m.Machines, c.part.picture(r))
		r.whole, r.left = whole, left
	}
	return m
}

// TakePicture has the leader take a member's whole picture.
func (c *Core) TakePicture(label string, m wire.PeerMessage) {
	if p := c.orch.parts[label]; p != nil {
		c.orch.fromPart(p.session, &m)
	}
}

// AskOf has the leader dispatch tasks to a member, and ask it to stop some, with its next
// batch of commands.
func (c *Core) AskOf(label string, dispatch []wire.TaskTry, stop []wire.TaskStop) {
	p := c.orch.parts[label]
	p.outbox.Dispatch, p.outbox.Stop, p.dirty = append(p.outbox.Dispatch, dispatch...), append(p.outbox.Stop, stop...), true
}
