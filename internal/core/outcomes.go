package core

// The outcomes of calls to external systems. Package engine decodes the status codes of these
// systems; nothing in this package knows them. In each type the zero value stands for a call that
// got no complete response, so that it is unknown whether the call was executed.

// CommitOutcome is the outcome of a Commit.
type CommitOutcome int

// Outcomes of a Commit.
const (
	CommitUnknown     CommitOutcome = iota // no response: it may have been applied, or may still be applied
	Committed                              // all guards held, all changes are durable
	CommitConflict                         // a guard failed; nothing was changed
	CommitRejected                         // malformed, or names a lease that has expired; nothing was changed
	CommitThrottled                        // above the rate limit; nothing was changed
	CommitUnavailable                      // refused for any other reason
)

// Decided reports whether the store evaluated the transaction's guards. If so, a read barrier shows
// at once whether the transaction was applied; if not, the transaction may still arrive, and the
// caller should pause before it reads.
func (o CommitOutcome) Decided() bool { return o == Committed || o == CommitConflict }

// LeaseOutcome is the outcome of a RenewLease.
type LeaseOutcome int

// Outcomes of a RenewLease.
const (
	LeaseUnknown LeaseOutcome = iota // no response: it may have been granted or renewed
	LeaseGranted                     // granted or renewed
	LeaseExpired                     // the lease no longer exists
	LeaseRefused                     // refused for any other reason
)

// WatchOutcome is the outcome of a Watch, with or without Barrier.
type WatchOutcome int

// Outcomes of a Watch.
const (
	WatchUnknown     WatchOutcome = iota // no response
	WatchServed                          // the events are complete up to the response's revision
	WatchCompacted                       // the store no longer keeps the events since the requested revision
	WatchThrottled                       // above the rate limit
	WatchUnavailable                     // refused for any other reason
)

// String returns the name of the outcome in log lines.
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

// DirectOutcome is the outcome of a CallWorker.
type DirectOutcome int

// Outcomes of a CallWorker.
const (
	DirectUnknown  DirectOutcome = iota // no response: the commands may have been executed, or may still be executed
	DirectExecuted                      // executed; the result carries a report
	DirectFenced                        // token or session did not match: nothing was executed; the result carries a report
	DirectRefused                       // any other response: not one of a worker that accepted the commands
)

// CloudOutcome is the outcome of a call to the cloud.
type CloudOutcome int

// Outcomes of calls to the cloud.
const (
	CloudUnknown     CloudOutcome = iota // no response: it may have been executed
	CloudDone                            // executed
	CloudRejected                        // the call is malformed
	CloudUnavailable                     // no capacity, or an outage
	CloudThrottled                       // above the rate limit, or any other response: retry
)

// ReplyStatus is the result of a request of a user or a worker. The values are the HTTP status codes of
// the response, so that a server passes them on unchanged.
type ReplyStatus int

// Statuses of a Reply.
const (
	ReplyOK          ReplyStatus = 200
	ReplyAccepted    ReplyStatus = 201 // this request, and no earlier one, made the job accepted
	ReplyNotFound    ReplyStatus = 404 // no job of this ID exists
	ReplyMisdirected ReplyStatus = 421 // another controller owns the machine
	ReplyInvalid     ReplyStatus = 422 // the job can never run
	ReplyUnavailable ReplyStatus = 503 // the request had no confirmed effect; the client is to repeat it
)
