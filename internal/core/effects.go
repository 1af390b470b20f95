package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Effect is something to be done outside: an answer, a call, a message to a peer. The set is
// closed: only the types of this file are effects. Every call is answered by exactly one
// command, also if nothing came back.
type Effect interface{ effect() }

// Reply answers a request. The type of Body goes with the request and the status; it is encoded
// by the server.
type Reply struct {
	ID         RequestID
	Status     ReplyStatus
	Body       any
	RetryAfter time.Duration // how long to wait before the request is repeated, 0: no matter
}

// Calls to the state service.
type (
	// Commit runs a transaction; CommitResult answers it.
	Commit struct {
		ID  uint64
		Txn protocol.Transaction
	}
	// LoadPage reads a page of all keys, those after After; LoadResult answers it.
	LoadPage struct{ After string }
	// Watch waits for changes since a revision, at most for Hold; WatchResult answers it. A
	// barrier does not wait: it asks what has changed up to now.
	Watch struct {
		Since   uint64
		Hold    time.Duration
		Barrier bool
	}
	// RenewLease renews a lease, or asks for a new one if LeaseID is 0; LeaseResult answers it.
	RenewLease struct {
		LeaseID uint64
		TTL     time.Duration
	}
)

// Calls to workers.
type (
	// CallWorker sends commands straight to a worker; CallWorkerResult answers it.
	CallWorker struct {
		Machine string
		CallID  uint64
		Addr    string
		Body    protocol.DirectCommands
	}
	// ProbeWorker asks whether a worker can be reached; ProbeResult answers it.
	ProbeWorker struct {
		Machine string
		Addr    string
	}
)

// Calls to the cloud.
type (
	// ListMachineTypes asks what can be rented; MachineTypesResult answers it.
	ListMachineTypes struct{}
	// ListInstances asks for a page of the rented machines, those after After;
	// ListInstancesResult answers it.
	ListInstances struct{ After string }
	// CreateInstances rents machines; CreateInstancesResult answers it. It is idempotent by the
	// name of the request.
	CreateInstances struct {
		Request protocol.CreateMachinesRequest
	}
	// DeleteInstances returns machines; DeleteInstancesResult answers it.
	DeleteInstances struct{ Names []string }
)

// What is asked of the links to the sibling controllers.
type (
	// ConnectPeer names the sibling to keep a link to, empty for none.
	ConnectPeer struct{ Label string }
	// SendToPeer sends a message over a link.
	SendToPeer struct {
		Session uint64
		Message peerproto.Message
	}
	// ClosePeer ends a link.
	ClosePeer struct{ Session uint64 }
)

// SetReady says whether the node can take requests.
type SetReady struct{ Ready bool }

// Log is a line for the operators.
type Log struct {
	Level Level
	Text  string
	Args  []any // keys and values in turn
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
