package core

import (
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// transactions are the compare-and-swap transactions that wait for their result.
type transactions struct {
	lastID  uint64
	pending map[uint64]func(CommitResult)
}

// commit runs a transaction: the operations are applied together if all guards hold. done gets the
// result.
func (c *Core) commit(guards []protocol.Guard, ops []protocol.Operation, done func(CommitResult)) {
	c.transactions.lastID++
	c.transactions.pending[c.transactions.lastID] = done
	c.emit(Commit{ID: c.transactions.lastID, Txn: protocol.Transaction{If: guards, Then: ops}})
}

// handleCommit passes on the result of a transaction. A node whose transaction was throttled paces
// itself by the smaller rate from then on.
func (c *Core) handleCommit(result CommitResult) {
	done := c.transactions.pending[result.ID]
	delete(c.transactions.pending, result.ID)
	if result.Outcome == CommitThrottled && !c.throttled {
		c.throttled = true
		c.logDebug("throttled by the state service", "writes per second from now on", c.writeRate())
	}
	if done != nil {
		done(result)
	}
}
