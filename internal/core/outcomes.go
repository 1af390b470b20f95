package core

// The outcomes of calls to systems outside. The numbers that these systems answer with are
// decoded once, at the edge (package engine); nothing in this package knows them. In each type
// the zero value stands for a call that got no whole answer, so that whether it was carried
// out is unknown.

// CommitOutcome is what became of a Commit.
type CommitOutcome int

// Outcomes of a Commit.
const (
	CommitUnknown     CommitOutcome = iota // no answer: it may have been applied, or may be later
	Committed                              // all guards held, all changes are durable
	CommitConflict                         // a guard failed; nothing was changed
	CommitRejected                         // malformed, or a lease that it names has expired; nothing was changed
	CommitThrottled                        // above the rate limit; nothing was changed
	CommitUnavailable                      // refused for any other reason
)

// Decided reports whether the store evaluated the transaction's guards. A barrier then shows
// what became of it; otherwise it is better to pause before looking.
func (o CommitOutcome) Decided() bool { return o == Committed || o == CommitConflict }

// LeaseOutcome is what became of a RenewLease.
type LeaseOutcome int

// Outcomes of a RenewLease.
const (
	LeaseUnknown LeaseOutcome = iota // no answer: it may have been renewed
	LeaseGranted                     // granted or renewed
	LeaseExpired                     // there is no such lease any more
	LeaseRefused                     // refused for any other reason
)

// WatchOutcome is what became of a Watch, a barrier or not.
type WatchOutcome int

// Outcomes of a Watch.
const (
	WatchUnknown     WatchOutcome = iota // no answer
	WatchServed                          // the events are complete up to the answer's revision
	WatchCompacted                       // the events since the revision asked for are no longer kept
	WatchThrottled                       // above the rate limit
	WatchUnavailable                     // refused for any other reason
)

// String names an outcome in log lines.
func (o WatchOutcome) String() string {
	switch o {
	case WatchUnknown:
		return "no answer"
	case WatchServed:
		return "served"
	case WatchCompacted:
		return "compacted"
	case WatchThrottled:
		return "throttled"
	default:
		return "unavailable"
	}
}

// DirectOutcome is what became of a CallWorker.
type DirectOutcome int

// Outcomes of a CallWorker.
const (
	DirectUnknown  DirectOutcome = iota // no answer: they may have been executed, or may be later
	DirectExecuted                      // executed; a report comes along
	DirectFenced                        // token or session did not match: nothing was executed; a report comes along
	DirectRefused                       // any other answer: not from a worker that took them
)

// CloudOutcome is what became of a call to the cloud.
type CloudOutcome int

// Outcomes of calls to the cloud.
const (
	CloudUnknown     CloudOutcome = iota // no answer: it may have been carried out
	CloudDone                            // carried out
	CloudRejected                        // the call is malformed
	CloudUnavailable                     // no capacity, or an outage
	CloudThrottled                       // above the rate limit, or any other answer: try again
)

// ReplyStatus says how a request of a user or a worker ended. The values are the status codes
// of the protocol that both speak, so that a server passes them on as they are.
type ReplyStatus int

// Statuses of a Reply.
const (
	ReplyOK          ReplyStatus = 200
	ReplyAccepted    ReplyStatus = 201 // a job was accepted by this very request
	ReplyNotFound    ReplyStatus = 404 // there is no such job
	ReplyMisdirected ReplyStatus = 421 // another controller owns the machine
	ReplyInvalid     ReplyStatus = 422 // the job can never run
	ReplyUnavailable ReplyStatus = 503 // nothing is promised: the request is to be repeated
)
