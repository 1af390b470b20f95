package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Command is something that happened: a request, an answer, a tick. The set is closed: only
// the types of this file are commands.
type Command interface{ command() }

// RequestID names a request that waits for its Reply.
type RequestID uint64

// Commands from users and workers.
type (
	// SubmitJob asks to accept a job.
	SubmitJob struct {
		ID   RequestID
		Spec protocol.Job
	}
	// QueryJob asks for a job's state.
	QueryJob struct {
		ID    RequestID
		JobID string
	}
	// CancelJob asks to cancel a job.
	CancelJob struct {
		ID    RequestID
		JobID string
	}
	// Heartbeat is a worker's report.
	Heartbeat struct {
		ID     RequestID
		Report protocol.Heartbeat
	}
	// GetStatus asks for the operators' picture.
	GetStatus struct {
		ID RequestID
	}
)

// Answers of the outside systems.
type (
	// Tick says that time has passed.
	Tick struct{}
	// CommitResult answers Commit.
	CommitResult struct {
		ID      uint64
		Outcome CommitOutcome
		Answer  protocol.TransactionResult
	}
	// LoadResult answers Load.
	LoadResult struct {
		OK       bool
		SentAt   time.Duration
		Items    []protocol.KeyValue
		More     bool
		Revision uint64
	}
	// WatchResult answers Follow. Sent is when the request left.
	WatchResult struct {
		Barrier bool
		SentAt  time.Duration
		Outcome WatchOutcome
		Answer  protocol.WatchResponse
	}
	// LeaseResult answers Lease.
	LeaseResult struct {
		SentAt  time.Duration
		LeaseID uint64
		Outcome LeaseOutcome
	}
	// CallWorkerResult answers Do. A report is there if the outcome is DirectExecuted or DirectFenced.
	CallWorkerResult struct {
		Machine string
		CallID  uint64
		Outcome DirectOutcome
		Report  protocol.Heartbeat
	}
	// ProbeResult answers Inspect.
	ProbeResult struct {
		Machine string
		OK      bool
	}
	// MachineTypesResult answers Types.
	MachineTypesResult struct {
		Outcome CloudOutcome
		Answer  protocol.MachineTypes
	}
	// ListInstancesResult answers List with a page.
	ListInstancesResult struct {
		Outcome  CloudOutcome
		Machines []protocol.Instance
		More     bool
	}
	// CreateInstancesResult answers Hire.
	CreateInstancesResult struct {
		Request string
		Outcome CloudOutcome
		Names   []string
	}
	// DeleteInstancesResult answers Delete.
	DeleteInstancesResult struct {
		Names   []string
		Outcome CloudOutcome
	}
)

// What the peer link says.
type (
	// PeerConnected says that a link stands. Label is known only of links we dialled.
	PeerConnected struct {
		Session uint64
		Label   string
	}
	// PeerDisconnected says that a link is gone.
	PeerDisconnected struct{ Session uint64 }
	// PeerReceived is a message that came over a link.
	PeerReceived struct {
		Session uint64
		Message peerproto.Message
	}
)

func (SubmitJob) command()             {}
func (QueryJob) command()              {}
func (CancelJob) command()             {}
func (Heartbeat) command()             {}
func (GetStatus) command()             {}
func (Tick) command()                  {}
func (CommitResult) command()          {}
func (LoadResult) command()            {}
func (WatchResult) command()           {}
func (LeaseResult) command()           {}
func (CallWorkerResult) command()      {}
func (ProbeResult) command()           {}
func (MachineTypesResult) command()    {}
func (ListInstancesResult) command()   {}
func (CreateInstancesResult) command() {}
func (DeleteInstancesResult) command() {}
func (PeerConnected) command()         {}
func (PeerDisconnected) command()      {}
func (PeerReceived) command()          {}
