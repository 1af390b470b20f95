package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// Command is something that happened: a request, an answer, a tick.
type Command any

// Effect is something to be done outside: an answer, a call, a line to a peer.
type Effect any

// RequestID names a request that waits for its Reply.
type RequestID uint64

// Commands from users and workers.
type (
	// Submit asks to accept a job.
	Submit struct {
		ID  RequestID
		Job wire.Job
	}
	// Query asks for a job's state.
	Query struct {
		ID  RequestID
		Job string
	}
	// Abort asks to cancel a job.
	Abort struct {
		ID  RequestID
		Job string
	}
	// WorkerReport is a worker's report.
	WorkerReport struct {
		ID     RequestID
		Report wire.Report
	}
	// StatusPage asks for the operators' picture.
	StatusPage struct {
		ID RequestID
	}
)

// Answers of the outside systems.
type (
	// Tick says that time has passed.
	Tick struct{}
	// CommitDone answers Commit. Status 0: no answer, the outcome is open.
	CommitDone struct {
		ID     uint64
		Status int
		Answer wire.TxnAnswer
	}
	// LoadDone answers Load.
	LoadDone struct {
		OK       bool
		Sent     time.Duration
		Items    []wire.Item
		More     bool
		Revision uint64
	}
	// FollowDone answers Follow. Sent is when the request left.
	FollowDone struct {
		Barrier bool
		Sent    time.Duration
		Status  int
		Answer  wire.Events
	}
	// LeaseDone answers Lease. Status 0: no answer.
	LeaseDone struct {
		Sent   time.Duration
		Lease  uint64
		Status int
	}
	// DoDone answers Do. Status 0: no answer; a report is there with 200 and 409.
	DoDone struct {
		Machine string
		ID      uint64
		Status  int
		Report  wire.Report
	}
	// InspectDone answers Inspect.
	InspectDone struct {
		Machine string
		OK      bool
	}
	// TypesDone answers Types.
	TypesDone struct {
		Status int
		Answer wire.MachineTypes
	}
	// ListDone answers List with a page.
	ListDone struct {
		Status   int
		Machines []wire.Machine
		More     bool
	}
	// HireDone answers Hire.
	HireDone struct {
		Request string
		Status  int
		Names   []string
	}
	// DeleteDone answers Delete.
	DeleteDone struct {
		Names  []string
		Status int
	}
)

// What the peer link says.
type (
	// PeerUp says that a link stands. Label is known only of links we dialled.
	PeerUp struct {
		Session uint64
		Label   string
	}
	// PeerDown says that a link is gone.
	PeerDown struct{ Session uint64 }
	// PeerLine is a message that came over a link.
	PeerLine struct {
		Session uint64
		Message wire.PeerMessage
	}
)

// Effects.
type (
	// Reply answers a request. Body is encoded by the caller's interface.
	Reply struct {
		ID         RequestID
		Status     int
		Body       any
		RetryAfter time.Duration
	}
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
	// Types asks the cloud for its machine types.
	Types struct{}
	// List asks the cloud for a page of its machines, those after Since.
	List struct{ Since string }
	// Hire rents machines.
	Hire struct{ Request wire.Hire }
	// Delete returns machines.
	Delete struct{ Names []string }
	// PeerTarget names the sibling to keep a link to; empty for none.
	PeerTarget struct{ Label string }
	// PeerSend sends a message over a link.
	PeerSend struct {
		Session uint64
		Message wire.PeerMessage
	}
	// PeerClose ends a link.
	PeerClose struct{ Session uint64 }
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
