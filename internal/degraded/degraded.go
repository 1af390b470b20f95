// Package degraded decides when controllers may go on serving their workers although the state
// service serves no controller at all.
//
// A controller whose lease or mirror of the state service is too old must stop serving, because
// other controllers may have taken over its machines. In an outage that affects every controller
// no takeover is possible, and stopping would lose all tasks for nothing once the workers' leases
// expire. So the leader, as Coordinator, asks every controller, as Voter, in numbered rounds:
// are you still in the same epoch, does the state service not serve you either, and which
// cancellations may you have acknowledged that others do not know of?
//
// # Scope
//
// The package owns the rounds, the votes, and the time until which the caller may serve. It is
// pure: it has no clock, input or output. Callers pass in times, rounds and votes, and get the next
// round and the deadlines. It must not know how messages travel, what a machine or a task is, or
// how a lease is renewed while the state service responds.
//
// All times are of one controller's monotonic clock; they are never compared between
// controllers. The window is how long a controller may serve on the last information that it
// received. A new owner of a machine waits for the same time before it assumes that the former
// owner has stopped serving.
//
// # Why no machine is served by two owners
//
// A controller that takes over a machine in a later epoch first waits until the machine's former
// owner can no longer serve it: for one window after the controller entered that epoch. A
// permission to serve rests on some round k in which every controller, the new owner included,
// voted that it had not entered the later epoch. A voter sends its own vote of round k-1 before
// the leader opens round k, and so before any vote of round k is sent. Its window is counted from
// its vote of round k-1 and so ends before the new owner's wait does. The leader's window is
// counted from the opening of round k, which also precedes every vote of that round.
//
// The vote of every controller of the site is needed, whether or not the shard map names it, so
// there is no quorum. If one vote is missing, all controllers stop serving as they would without
// this package.
//
// # Why no task of a cancelled job is kept running
//
// A controller acknowledges a cancellation to a user if its mirror has it, whoever wrote it, or
// if the controller wrote it itself; its CancellationLog lists both kinds. A cancellation that a
// controller acknowledged before its vote is in that vote or in the mirror of every controller
// that serves, and the job's tasks are stopped when the outcome of the round arrives. A
// cancellation that it acknowledges after its vote is safe because all permissions to serve that
// rest on the vote end within one window, counted from before the vote, unless a later round lists
// the cancellation.
package degraded

// Vote is a controller's response to a round.
type Vote struct {
	Round     uint64 `json:"round"` // number of the round
	Epoch     uint64 `json:"epoch"` // epoch in which the controller acts
	StoreDown bool   `json:"out"`   // the state service does not serve the controller

	// MirrorRevision is the revision up to which the controller's mirror has every change;
	// 0 if nothing is loaded yet.
	MirrorRevision uint64 `json:"revision"`

	// LoadedRevision is the revision at which the controller's mirror was loaded. Any
	// cancellation that it acknowledged before it was restarted is no newer than that.
	LoadedRevision uint64 `json:"loaded"`

	// Cancelled lists every job whose cancellation the controller may have acknowledged, for
	// cancellations that are newer than the revision CancelledSince.
	CancelledSince uint64   `json:"since"`
	Cancelled      []string `json:"cancelled,omitempty"`

	// IncludesMirror reports that Cancelled includes the cancellations that the mirror delivered.
	// A controller of an older version does not set it: it lists only its own confirmed
	// writes, so its vote does not permit serving.
	IncludesMirror bool `json:"mirrored,omitempty"`
}

// permits reports whether the vote permits the site's controllers to serve in the leader's epoch.
func (v *Vote) permits(epoch uint64) bool {
	return v.StoreDown && v.Epoch == epoch && v.MirrorRevision > 0 && v.IncludesMirror
}

// Round is the request for a vote that the leader sends to all controllers, with the outcome of
// earlier rounds.
type Round struct {
	Number         uint64 `json:"round"`
	CancelledSince uint64 `json:"since"` // votes must list the cancellations newer than this revision

	// AgreedRound is the number of the last round in which all votes agreed, 0 if there is
	// none. Cancelled lists the jobs whose cancellation some controller may have acknowledged,
	// by the votes of that round.
	AgreedRound uint64   `json:"agreed,omitempty"`
	Cancelled   []string `json:"void,omitempty"`

	// VotesIncludeMirror reports that all votes of AgreedRound had IncludesMirror set.
	VotesIncludeMirror bool `json:"mirrored,omitempty"`
}
