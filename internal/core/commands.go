package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Command is something that has happened: a request, the result of a call, news of a link. The
// set is closed: only the types of this file are commands.
type Command interface{ command() }

// Tick says only that time has passed.
type Tick struct{}

// RequestID names a request that waits for its Reply.
type RequestID uint64

// Requests of users, workers and operators, each answered by one Reply.
type (
	// SubmitJob asks to accept a job. A job that was accepted before is answered as by QueryJob.
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
	// GetStatus asks for the Status of this node.
	GetStatus struct {
		ID RequestID
	}
)

// Results of calls to the state service.
type (
	// CommitResult answers Commit.
	CommitResult struct {
		ID       uint64
		Outcome  CommitOutcome
		Response protocol.TransactionResult
	}
	// LoadResult answers LoadPage. Without OK the rest means nothing.
	LoadResult struct {
		OK       bool
		SentAt   time.Duration
		Items    []protocol.KeyValue
		More     bool
		Revision uint64
	}
	// WatchResult answers Watch. SentAt is when the request left: the answer is at least as new.
	WatchResult struct {
		Barrier  bool
		SentAt   time.Duration
		Outcome  WatchOutcome
		Response protocol.WatchResponse
	}
	// LeaseResult answers RenewLease. The lease runs from SentAt at the least.
	LeaseResult struct {
		SentAt  time.Duration
		LeaseID uint64
		Outcome LeaseOutcome
	}
)

// Results of calls to workers.
type (
	// CallWorkerResult answers CallWorker. The outcomes DirectExecuted and DirectFenced carry a
	// report.
	CallWorkerResult struct {
		Machine string
		CallID  uint64
		Outcome DirectOutcome
		Report  protocol.Heartbeat
	}
	// ProbeResult answers ProbeWorker.
	ProbeResult struct {
		Machine string
		OK      bool
	}
)

// Results of calls to the cloud.
type (
	// MachineTypesResult answers ListMachineTypes.
	MachineTypesResult struct {
		Outcome  CloudOutcome
		Response protocol.MachineTypes
	}
	// ListInstancesResult answers ListInstances with a page.
	ListInstancesResult struct {
		Outcome  CloudOutcome
		Machines []protocol.Instance
		More     bool
	}
	// CreateInstancesResult answers CreateInstances. There may be fewer names than were asked for.
	CreateInstancesResult struct {
		Request string
		Outcome CloudOutcome
		Names   []string
	}
	// DeleteInstancesResult answers DeleteInstances.
	DeleteInstancesResult struct {
		Names   []string
		Outcome CloudOutcome
	}
)

// News of the links to the sibling controllers.
type (
	// PeerConnected says that a link is up. Label is set only for links that we dialled.
	PeerConnected struct {
		Session uint64
		Label   string
	}
	// PeerDisconnected says that a link is down.
	PeerDisconnected struct{ Session uint64 }
	// PeerReceived is a message that came over a link.
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
