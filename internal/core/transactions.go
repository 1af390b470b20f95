package core

import (
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// transactions holds the compare-and-swap transactions that wait for their result.
type transactions struct {
	lastID  uint64
	pending map[uint64]func(CommitResult) // callbacks by transaction id
}

// commit sends a transaction to the state service, which applies all operations together if all
// guards hold, and none otherwise. done is called with the result.
func (c *Core) commit(guards []protocol.Guard, ops []protocol.Operation, done func(CommitResult)) {
	c.transactions.lastID++
	c.transactions.pending[c.transactions.lastID] = done
	c.emit(Commit{ID: c.transactions.lastID, Txn: protocol.Transaction{If: guards, Then: ops}})
}

// handleCommit passes the result of a transaction to its callback. Once a transaction has been
// throttled, the controller limits itself to the lower write rate (see writeRate).
func (c *Core) handleCommit(result CommitResult) {
	done := c.transactions.pending[result.ID]
	delete(c.transactions.pending, result.ID)
	if result.Outcome == CommitThrottled && !c.throttled {
		c.throttled = true
		c.logDebug("state service throttled a write", "writes per second from now on", c.writeRate())
	}
	if done != nil {
		done(result)
	}
}
