package engine

import (
	"testing"

	"github.com/chalkhub/chalkhub/internal/core"
)

// outcomes lists the expected outcome of every status of one kind of call: that in byStatus or, for
// all other statuses, otherwise.
type outcomes[T comparable] struct {
	decode    func(status int) T
	byStatus  map[int]T
	otherwise T
}

// check decodes every status that a response can have, and further numbers that it cannot have.
func (o outcomes[T]) check(t *testing.T) {
	for status := range 1000 {
		want, ok := o.byStatus[status]
		if !ok {
			want = o.otherwise
		}
		if got := o.decode(status); got != want {
			t.Errorf("status %d was decoded to %v, want %v", status, got, want)
		}
	}
}

func TestCommitOutcomeOfEachStatus(t *testing.T) {
	outcomes[core.CommitOutcome]{CommitOutcome, map[int]core.CommitOutcome{
		0: core.CommitUnknown, 200: core.Committed, 409: core.CommitConflict, 400: core.CommitRejected, 429: core.CommitThrottled,
	}, core.CommitUnavailable}.check(t)
}

func TestCommitDecidedByTwoOutcomesOnly(t *testing.T) {
	for status := range 1000 {
		if got, want := CommitOutcome(status).Decided(), status == 200 || status == 409; got != want {
			t.Errorf("a transaction with status %d counts as decided: %v, want the opposite", status, got)
		}
	}
}

func TestLeaseOutcomeOfEachStatus(t *testing.T) {
	outcomes[core.LeaseOutcome]{LeaseOutcome, map[int]core.LeaseOutcome{
		0: core.LeaseUnknown, 200: core.LeaseGranted, 404: core.LeaseExpired,
	}, core.LeaseRefused}.check(t)
}

func TestWatchOutcomeOfEachStatus(t *testing.T) {
	outcomes[core.WatchOutcome]{WatchOutcome, map[int]core.WatchOutcome{
		0: core.WatchUnknown, 200: core.WatchServed, 410: core.WatchCompacted, 429: core.WatchThrottled,
	}, core.WatchUnavailable}.check(t)
}

func TestDirectOutcomeOfEachStatus(t *testing.T) {
	outcomes[core.DirectOutcome]{DirectOutcome, map[int]core.DirectOutcome{
		0: core.DirectUnknown, 200: core.DirectExecuted, 409: core.DirectFenced,
	}, core.DirectRefused}.check(t)
}

func TestCloudOutcomeOfEachStatus(t *testing.T) {
	outcomes[core.CloudOutcome]{CloudOutcome, map[int]core.CloudOutcome{
		0: core.CloudUnknown, 200: core.CloudDone, 400: core.CloudRejected, 503: core.CloudUnavailable,
	}, core.CloudThrottled}.check(t)
}

// A result whose outcome is not set must mean that there was no response. The outcome of NoResponse
// must therefore be the zero value of each outcome type.
func TestNoResponseIsTheZeroOutcome(t *testing.T) {
	if CommitOutcome(NoResponse) != 0 || LeaseOutcome(NoResponse) != 0 || WatchOutcome(NoResponse) != 0 ||
		DirectOutcome(NoResponse) != 0 || CloudOutcome(NoResponse) != 0 {
		t.Error("NoResponse is decoded to another outcome than the zero value")
	}
}
