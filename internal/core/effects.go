package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Effect is an output of the core that package engine executes: a reply, a call, a message to a
// peer. Only the types of this file implement it. Every call results in exactly one command, also
// if no response arrived.
type Effect interface{ effect() }

// Reply is the response to a request. The type of Body depends on the request and the status; the
// server encodes it.
type Reply struct {
	ID         RequestID
	Status     ReplyStatus
	Body       any
	RetryAfter time.Duration // how long the client is to wait before it repeats the request, 0: not specified
}

// Calls to the state service.
type (
	// Commit runs a transaction; CommitResult is its result.
	Commit struct {
		ID  uint64
		Txn protocol.Transaction
	}
	// LoadPage reads a page of all keys, beginning after the key After; LoadResult is its result.
	LoadPage struct{ After string }
	// Watch waits for changes since the revision Since, at most for Hold; WatchResult is its
	// result. With Barrier set it does not wait, but returns all changes up to now.
	Watch struct {
		Since   uint64
		Hold    time.Duration
		Barrier bool
	}
	// RenewLease renews a lease, or requests a new one if LeaseID is 0; LeaseResult is its result.
	RenewLease struct {
		LeaseID uint64
		TTL     time.Duration
	}
)

// Calls to workers.
type (
	// CallWorker sends commands directly to a worker, without waiting for its next heartbeat;
	// CallWorkerResult is its result.
	CallWorker struct {
		Machine string
		CallID  uint64
		Addr    string
		Body    protocol.DirectCommands
	}
	// ProbeWorker checks whether a worker is reachable; ProbeResult is its result.
	ProbeWorker struct {
		Machine string
		Addr    string
	}
)

// Calls to the cloud.
type (
	// ListMachineTypes lists the machine types that can be rented; MachineTypesResult is its
	// result.
	ListMachineTypes struct{}
	// ListInstances reads a page of the rented machines, beginning after the name After;
	// ListInstancesResult is its result.
	ListInstances struct{ After string }
	// CreateInstances rents machines; CreateInstancesResult is its result. It is idempotent: a
	// repeated call with the same request name creates no further instances.
	CreateInstances struct {
		Request protocol.CreateMachinesRequest
	}
	// DeleteInstances terminates rented machines; DeleteInstancesResult is its result.
	DeleteInstances struct{ Names []string }
)

// Operations on the links between this controller and its siblings.
type (
	// ConnectPeer sets the label of the sibling to keep a link to; an empty label means none.
	ConnectPeer struct{ Label string }
	// SendToPeer sends a message over a link.
	SendToPeer struct {
		Session uint64
		Message peerproto.Message
	}
	// ClosePeer closes a link.
	ClosePeer struct{ Session uint64 }
)

// SetReady publishes whether this controller accepts requests.
type SetReady struct{ Ready bool }

// Log writes a log line for the operators.
type Log struct {
	Level Level
	Text  string
	Args  []any // alternating keys and values
}

// Level is the level of a log line.
type Level int

// Levels, with the values of log/slog.
const (
	LevelDebug Level = -4
	LevelInfo  Level = 0
	LevelError Level = 8
)

func (Reply) effect() {}

func (Commit) effect()     {}
func (LoadPage) effect()   {}
func (Watch) effect()      {}
func (RenewLease) effect() {}

func (CallWorker) effect()  {}
func (ProbeWorker) effect() {}

func (ListMachineTypes) effect() {}
func (ListInstances) effect()    {}
func (CreateInstances) effect()  {}
func (DeleteInstances) effect()  {}

func (ConnectPeer) effect() {}
func (SendToPeer) effect()  {}
func (ClosePeer) effect()   {}

func (SetReady) effect() {}
func (Log) effect()      {}
