package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// Effect is something to be done outside: an answer, a call, a line to a peer. The set is
// closed: only the types of this file are effects.
type Effect interface{ effect() }

// Answers to users and workers.
type (
	// Reply answers a request. Body is encoded by the caller's interface.
	Reply struct {
		ID         RequestID
		Status     ReplyStatus
		Body       any
		RetryAfter time.Duration
	}
)

// Calls to the state service, answered by CommitDone, LoadDone, FollowDone and LeaseDone.
type (
	// Commit runs a transaction.
	Commit struct {
		ID  uint64
		Txn wire.Txn
	}
	// Load reads a page of all keys, those after Since.
	Load struct{ Since string }
	// Follow waits for changes. A barrier does not wait.
	Follow struct {
		Since   uint64
		Hold    time.Duration
		Barrier bool
	}
	// Lease renews the lease, or asks for a new one if Lease is 0.
	Lease struct {
		Lease uint64
		TTL   time.Duration
	}
)

// Calls to workers, answered by DoDone and InspectDone.
type (
	// Do sends commands straight to a worker.
	Do struct {
		Machine string
		ID      uint64
		Addr    string
		Body    wire.Do
	}
	// Inspect asks a worker for its report, only to know that it can be reached.
	Inspect struct {
		Machine string
		Addr    string
	}
)

// Calls to the cloud, answered by TypesDone, ListDone, HireDone and DeleteDone.
type (
	// Types asks the cloud for its machine types.
	Types struct{}
	// List asks the cloud for a page of its machines, those after Since.
	List struct{ Since string }
	// Hire rents machines.
	Hire struct{ Request wire.Hire }
	// Delete returns machines.
	Delete struct{ Names []string }
)

// The link to the sibling controllers.
type (
	// PeerTarget names the sibling to keep a link to; empty for none.
	PeerTarget struct{ Label string }
	// PeerSend sends a message over a link.
	PeerSend struct {
		Session uint64
		Message wire.PeerMessage
	}
	// PeerClose ends a link.
	PeerClose struct{ Session uint64 }
)

// What the process does for its operators.
type (
	// Ready says whether the node can take requests.
	Ready struct{ Yes bool }
	// Log is a line for the operators.
	Log struct {
		Level Level
		Text  string
		Args  []any
	}
)

// Level of a log line.
type Level int

// Levels, as in log/slog.
const (
	LevelDebug Level = -4
	LevelInfo  Level = 0
	LevelError Level = 8
)

func (Reply) effect()      {}
func (Commit) effect()     {}
func (Load) effect()       {}
func (Follow) effect()     {}
func (Lease) effect()      {}
func (Do) effect()         {}
func (Inspect) effect()    {}
func (Types) effect()      {}
func (List) effect()       {}
func (Hire) effect()       {}
func (Delete) effect()     {}
func (PeerTarget) effect() {}
func (PeerSend) effect()   {}
func (PeerClose) effect()  {}
func (Ready) effect()      {}
func (Log) effect()        {}
