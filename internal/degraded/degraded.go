// Package degraded decides when controllers may go on serving their agents although the
// key-value store serves no controller at all.
//
// A controller whose lease or mirror of the store is too old must stop serving, because the
// others may have given its machines away. In an outage that every controller sees, nobody
// can have done that, and all tasks would be lost for nothing once the agents' leases
// expire. So the leader, as Coordinator, asks every controller, as Voter, in numbered rounds:
// are you still in the same epoch, does the store not serve you either, and which
// cancellations may you have acknowledged that others do not know of?
//
// # What it owns
//
// The rounds, the votes, and the time until which the caller may serve. The package is
// pure: it has no clock, input or output. Times, rounds and votes go in; the next round and
// deadlines come out. It must not know how messages travel, what a machine or a task is, or
// how a lease is renewed while the store answers.
//
// All times are of one controller's monotonic clock; they are never compared between
// controllers. The window is how long a controller may serve on what it was last told: the
// same span after which a new owner of a machine may rely on the former owner's silence.
//
// # Why no machine is served by two owners
//
// A controller that takes a machine over in a later epoch first waits until its former owner
// can serve no more: for one window after it entered that epoch. Whoever enters the later
// epoch had voted before, in some round k, that it had not. A voter sends its own vote of
// round k-1 before the leader opens round k, so before any vote of round k is cast: counted
// from that moment, its window ends before the new owner's wait does. The leader counts from
// the moment it opened round k, which precedes every vote of that round too.
//
// The vote of every controller of the site is needed, whether the shard map names it or not,
// so no quorum is counted. Where one vote is missing, all controllers stop serving as they
// would without this package.
//
// # Why no task of a cancelled job is kept running
//
// A controller acknowledges a cancellation to a user if its mirror holds it, whoever wrote
// it, or if it wrote it itself: its CancellationLog lists both kinds. What was acknowledged
// before a controller's vote is in that vote, or in the mirror of whoever serves, and is
// stopped when the outcome of the round arrives. What is acknowledged after the vote is safe
// because all permissions that rest on it end within one window, which is counted from before
// the vote, unless a later round lists the cancellation.
package degraded

// Vote is what one controller answers in a round.
type Vote struct {
	Round     uint64 `json:"round"` // number of the round that it answers
	Epoch     uint64 `json:"epoch"` // epoch in which the controller acts
	StoreDown bool   `json:"out"`   // the store does not serve the controller

	// MirrorRevision is the revision up to which the controller's mirror holds everything;
	// 0 if it has loaded nothing yet.
	MirrorRevision uint64 `json:"revision"`

	// LoadedRevision is the revision that the controller's mirror was loaded at. Whatever it
	// acknowledged before it was restarted is no newer than that.
	LoadedRevision uint64 `json:"loaded"`

	// Cancelled lists every job whose cancellation, newer than CancelledSince, the controller
	// may have acknowledged.
	CancelledSince uint64   `json:"since"`
	Cancelled      []string `json:"cancelled,omitempty"`

	// IncludesMirror says that Cancelled holds what the mirror brought, too. An older version
	// lists only what it wrote itself and had confirmed: its vote is not enough.
	IncludesMirror bool `json:"mirrored,omitempty"`
}

// permits reports whether the vote lets others serve in the leader's epoch.
func (v *Vote) permits(epoch uint64) bool {
	return v.StoreDown && v.Epoch == epoch && v.MirrorRevision > 0 && v.IncludesMirror
}

// Round is the question that the leader asks all controllers, with the outcome of earlier
// rounds.
type Round struct {
	Number         uint64 `json:"round"`
	CancelledSince uint64 `json:"since"` // list cancellations that are newer than this revision

	// AgreedRound is the number of the last round in which all votes agreed, 0 if there is
	// none, and Cancelled the jobs of which some controller then acknowledged a cancellation.
	AgreedRound uint64   `json:"agreed,omitempty"`
	Cancelled   []string `json:"void,omitempty"`

	// VotesIncludeMirror says that AgreedRound rests on votes whose IncludesMirror was set.
	VotesIncludeMirror bool `json:"mirrored,omitempty"`
}
