package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
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
		Txn protocol.Transaction
	}
	// LoadPage reads a page of all keys, those after Since.
	LoadPage struct{ After string }
	// Watch waits for changes. A barrier does not wait.
	Watch struct {
		Since   uint64
		Hold    time.Duration
		Barrier bool
	}
	// RenewLease renews the lease, or asks for a new one if Lease is 0.
	RenewLease struct {
		LeaseID uint64
		TTL     time.Duration
	}
)

// Calls to workers, answered by DoDone and InspectDone.
type (
	// CallWorker sends commands straight to a worker.
	CallWorker struct {
		Machine string
		CallID  uint64
		Addr    string
		Body    protocol.DirectCommands
	}
	// ProbeWorker asks a worker for its report, only to know that it can be reached.
	ProbeWorker struct {
		Machine string
		Addr    string
	}
)

// Calls to the cloud, answered by TypesDone, ListDone, HireDone and DeleteDone.
type (
	// ListMachineTypes asks the cloud for its machine types.
	ListMachineTypes struct{}
	// ListInstances asks the cloud for a page of its machines, those after Since.
	ListInstances struct{ After string }
	// CreateInstances rents machines.
	CreateInstances struct {
		Request protocol.CreateMachinesRequest
	}
	// DeleteInstances returns machines.
	DeleteInstances struct{ Names []string }
)

// The link to the sibling controllers.
type (
	// ConnectPeer names the sibling to keep a link to; empty for none.
	ConnectPeer struct{ Label string }
	// SendToPeer sends a message over a link.
	SendToPeer struct {
		Session uint64
		Message peerproto.Message
	}
	// ClosePeer ends a link.
	ClosePeer struct{ Session uint64 }
)

// What the process does for its operators.
type (
	// SetReady says whether the node can take requests.
	SetReady struct{ Ready bool }
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

func (Reply) effect()            {}
func (Commit) effect()           {}
func (LoadPage) effect()         {}
func (Watch) effect()            {}
func (RenewLease) effect()       {}
func (CallWorker) effect()       {}
func (ProbeWorker) effect()      {}
func (ListMachineTypes) effect() {}
func (ListInstances) effect()    {}
func (CreateInstances) effect()  {}
func (DeleteInstances) effect()  {}
func (ConnectPeer) effect()      {}
func (SendToPeer) effect()       {}
func (ClosePeer) effect()        {}
func (SetReady) effect()         {}
func (Log) effect()              {}
