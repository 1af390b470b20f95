package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Command is an input of the core: a request, the result of a call, or an event of a link. Only
// the types of this file implement it.
type Command interface{ command() }

// Tick carries no information except that time has passed.
type Tick struct{}

// RequestID identifies a request that waits for its Reply.
type RequestID uint64

// Requests of users, workers and operators. Each gets exactly one Reply.
type (
	// SubmitJob asks to accept a job. For a job that was accepted before, the reply is that of
	// QueryJob.
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
	// Heartbeat is a worker's report of itself and its tasks.
	Heartbeat struct {
		ID     RequestID
		Report protocol.Heartbeat
	}
	// GetStatus asks for the Status of this controller.
	GetStatus struct {
		ID RequestID
	}
)

// Results of calls to the state service.
type (
	// CommitResult is the result of a Commit.
	CommitResult struct {
		ID       uint64
		Outcome  CommitOutcome
		Response protocol.TransactionResult
	}
	// LoadResult is the result of a LoadPage. Unless OK is set, the other fields mean nothing.
	LoadResult struct {
		OK       bool
		SentAt   time.Duration
		Items    []protocol.KeyValue
		More     bool
		Revision uint64
	}
	// WatchResult is the result of a Watch. SentAt is when the request was sent: the response
	// shows the state of that time or a later one.
	WatchResult struct {
		Barrier  bool
		SentAt   time.Duration
		Outcome  WatchOutcome
		Response protocol.WatchResponse
	}
	// LeaseResult is the result of a RenewLease. SentAt is when the request was sent: the lease
	// lasts at least until SentAt plus its TTL.
	LeaseResult struct {
		SentAt  time.Duration
		LeaseID uint64
		Outcome LeaseOutcome
	}
)

// Results of calls to workers.
type (
	// CallWorkerResult is the result of a CallWorker. Report is set for the outcomes
	// DirectExecuted and DirectFenced.
	CallWorkerResult struct {
		Machine string
		CallID  uint64
		Outcome DirectOutcome
		Report  protocol.Heartbeat
	}
	// ProbeResult is the result of a ProbeWorker.
	ProbeResult struct {
		Machine string
		OK      bool
	}
)

// Results of calls to the cloud.
type (
	// MachineTypesResult is the result of a ListMachineTypes.
	MachineTypesResult struct {
		Outcome  CloudOutcome
		Response protocol.MachineTypes
	}
	// ListInstancesResult is the result of a ListInstances: one page.
	ListInstancesResult struct {
		Outcome  CloudOutcome
		Machines []protocol.Instance
		More     bool
	}
	// CreateInstancesResult is the result of a CreateInstances. The cloud may have created fewer
	// instances than requested.
	CreateInstancesResult struct {
		Request string
		Outcome CloudOutcome
		Names   []string
	}
	// DeleteInstancesResult is the result of a DeleteInstances.
	DeleteInstancesResult struct {
		Names   []string
		Outcome CloudOutcome
	}
)

// Events of the links between this controller and its siblings.
type (
	// PeerConnected reports that a link is up. Label, of the controller at the other end, is set
	// only for a link that this controller dialled.
	PeerConnected struct {
		Session uint64
		Label   string
	}
	// PeerDisconnected reports that a link is down.
	PeerDisconnected struct{ Session uint64 }
	// PeerReceived is a message received over a link.
	PeerReceived struct {
		Session uint64
		Message peerproto.Message
	}
)

func (Tick) command() {}

func (SubmitJob) command() {}
func (QueryJob) command()  {}
func (CancelJob) command() {}
func (Heartbeat) command() {}
func (GetStatus) command() {}

func (CommitResult) command() {}
func (LoadResult) command()   {}
func (WatchResult) command()  {}
func (LeaseResult) command()  {}

func (CallWorkerResult) command() {}
func (ProbeResult) command()      {}

func (MachineTypesResult) command()    {}
func (ListInstancesResult) command()   {}
func (CreateInstancesResult) command() {}
func (DeleteInstancesResult) command() {}

func (PeerConnected) command()    {}
func (PeerDisconnected) command() {}
func (PeerReceived) command()     {}
