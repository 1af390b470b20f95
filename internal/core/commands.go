package core

import (
	"time"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// Command is something that happened: a request, an answer, a tick. The set is closed: only
// the types of this file are commands.
type Command interface{ command() }

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
	// CommitDone answers Commit.
	CommitDone struct {
		ID      uint64
		Outcome CommitOutcome
		Answer  wire.TxnAnswer
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
		Outcome WatchOutcome
		Answer  wire.Events
	}
	// LeaseDone answers Lease.
	LeaseDone struct {
		Sent    time.Duration
		Lease   uint64
		Outcome LeaseOutcome
	}
	// DoDone answers Do. A report is there if the outcome is DirectExecuted or DirectFenced.
	DoDone struct {
		Machine string
		ID      uint64
		Outcome DirectOutcome
		Report  wire.Report
	}
	// InspectDone answers Inspect.
	InspectDone struct {
		Machine string
		OK      bool
	}
	// TypesDone answers Types.
	TypesDone struct {
		Outcome CloudOutcome
		Answer  wire.MachineTypes
	}
	// ListDone answers List with a page.
	ListDone struct {
		Outcome  CloudOutcome
		Machines []wire.Machine
		More     bool
	}
	// HireDone answers Hire.
	HireDone struct {
		Request string
		Outcome CloudOutcome
		Names   []string
	}
	// DeleteDone answers Delete.
	DeleteDone struct {
		Names   []string
		Outcome CloudOutcome
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

func (Submit) command()       {}
func (Query) command()        {}
func (Abort) command()        {}
func (WorkerReport) command() {}
func (StatusPage) command()   {}
func (Tick) command()         {}
func (CommitDone) command()   {}
func (LoadDone) command()     {}
func (FollowDone) command()   {}
func (LeaseDone) command()    {}
func (DoDone) command()       {}
func (InspectDone) command()  {}
func (TypesDone) command()    {}
func (ListDone) command()     {}
func (HireDone) command()     {}
func (DeleteDone) command()   {}
func (PeerUp) command()       {}
func (PeerDown) command()     {}
func (PeerLine) command()     {}
