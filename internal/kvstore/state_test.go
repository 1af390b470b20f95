package kvstore

import (
	"errors"
	"fmt"
	"testing"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

func put(key string, value any, leaseID uint64) Op {
	return Op{Put: key, Value: protocol.Encode(value), LeaseID: leaseID}
}

// mustCommit returns the state after one transaction with the operations.
func mustCommit(t *testing.T, state *State, ops ...Op) *State {
	t.Helper()
	batch := state.Begin()
	if result, err := batch.Commit(&Txn{Then: ops}); err != nil || !result.Committed() {
		t.Fatalf("commit: %+v, %v", result, err)
	}
	return batch.Next()
}

func TestRangeLimitsPagesBySizeAndItemCount(t *testing.T) {
	state := NewState()
	large := string(make([]byte, 20<<10))
	for i := range 60 {
		state = mustCommit(t, state, put(fmt.Sprintf("c/%02d", i), large, 0), put(fmt.Sprintf("d/%02d", i), i, 0))
	}
	seen, after := 0, ""
	for {
		page := state.Range("c/", after, 0)
		for _, item := range page.Items {
			if item.Key <= after {
				t.Fatalf("got key %s after key %s, want ascending order", item.Key, after)
			}
			after = item.Key
			seen++
		}
		if !page.More {
			break
		}
		if len(page.Items) > 26 {
			t.Fatalf("page has %d items of 20 KiB, which exceeds the limit of 512 KiB", len(page.Items))
		}
	}
	if seen != 60 {
		t.Fatalf("pages held %d keys, want 60", seen)
	}
	if page := state.Range("d/", "", 7); len(page.Items) != 7 || !page.More {
		t.Fatalf("page with limit 7 has %d items, more = %v; want 7 items and more", len(page.Items), page.More)
	}
}

// Two batches start from one base, and the state of the first one is abandoned. Its changes
// must appear neither in the base nor in the state and the events of the second batch.
func TestAbandonedBatchChangesNeitherBaseNorNextBatch(t *testing.T) {
	base := mustCommit(t, NewState(), put("a", 1, 0))
	mustCommit(t, base, put("a", "abandoned", 0), put("b", 1, 0))
	next := mustCommit(t, base, put("c", 1, 0))
	if _, ok := next.Get("b"); ok || base.Len() != 1 || next.Len() != 2 {
		t.Errorf("base has %d keys, want 1; next state has %d, want 2 without key b", base.Len(), next.Len())
	}
	events, err := next.EventsSince("", base.Revision)
	if err != nil || len(events.Events) != 1 || events.Events[0].Put != "c" {
		t.Errorf("got events %+v, error %v; want one put of key c", events, err)
	}
}

// A transaction with a failed guard changes nothing, and one without operations does not
// raise the revision.
func TestCommitAppliesChangesOnlyIfAllGuardsHold(t *testing.T) {
	state := mustCommit(t, NewState(), put("a", 1, 0))
	for _, test := range []struct {
		name         string
		txn          Txn
		wantFailed   []string
		wantRevision uint64
		wantErr      error
	}{
		{"version matches", Txn{If: []protocol.Guard{{Key: "a", Version: 1}}, Then: []Op{put("a", 2, 0)}}, nil, 2, nil},
		{"key does not exist", Txn{If: []protocol.Guard{{Key: "b"}}, Then: []Op{put("b", 2, 0)}}, nil, 2, nil},
		{"some guards fail", Txn{If: []protocol.Guard{{Key: "a"}, {Key: "a", Version: 1}, {Key: "b", Version: 1}}, Then: []Op{put("a", 2, 0)}}, []string{"a", "b"}, 1, nil},
		{"no changes", Txn{If: []protocol.Guard{{Key: "a", Version: 1}}}, nil, 1, nil},
		{"unknown lease", Txn{Then: []Op{put("a", 2, 7)}}, nil, 0, ErrLeaseNotFound},
	} {
		t.Run(test.name, func(t *testing.T) {
			batch := state.Begin()
			result, err := batch.Commit(&test.txn)
			if !errors.Is(err, test.wantErr) || fmt.Sprint(result.FailedKeys) != fmt.Sprint(test.wantFailed) || result.Revision != test.wantRevision {
				t.Fatalf("Commit returned the wrong result or error: %+v, %v", result, err)
			}
			if changed := !batch.IsEmpty(); changed != (err == nil && result.Committed() && len(test.txn.Then) > 0) {
				t.Fatalf("batch has the wrong writes: %v", batch.EntryWrites)
			}
		})
	}
}

func TestRevokeLeaseDeletesItsKeysInOneRevision(t *testing.T) {
	batch := NewState().Begin()
	keptLease, err := batch.GrantLease(5000)
	if err != nil {
		t.Fatal(err)
	}
	revoked, err := batch.GrantLease(5000)
	if err != nil {
		t.Fatal(err)
	}
	state := mustCommit(t, batch.Next(), put("a", 1, revoked), put("b", 1, revoked), put("c", 1, keptLease), put("d", 1, revoked))
	state = mustCommit(t, state, put("d", 2, 0)) // detaches d from its lease
	batch = state.Begin()
	if err := batch.RevokeLease(revoked); err != nil {
		t.Fatal(err)
	}
	if err := batch.RevokeLease(revoked); !errors.Is(err, ErrLeaseNotFound) {
		t.Fatalf("revoking an ended lease: got error %v, want ErrLeaseNotFound", err)
	}
	next := batch.Next()
	if _, ok := next.LeaseTTL(revoked); ok || next.Len() != 2 || next.Revision != state.Revision+1 {
		t.Fatalf("%d keys at revision %d after revision %d, want 2 keys one revision later and no lease", next.Len(), next.Revision, state.Revision)
	}
	for _, ttl := range []int64{99, 600_001} {
		if _, err := next.Begin().GrantLease(ttl); !errors.Is(err, ErrLeaseTTL) {
			t.Errorf("granting a lease of %d ms: got error %v, want ErrLeaseTTL", ttl, err)
		}
	}
}

func TestRestoreRejectsInconsistentContents(t *testing.T) {
	valid := func() Contents {
		return Contents{
			Revision: 9, LastLeaseID: 2, CompactRevision: 5,
			Entries:   map[string]Entry{"a": {Version: 9, LeaseID: 1}},
			LeaseTTLs: map[uint64]int64{1: 5000},
			Events:    []protocol.WatchEvent{{Put: "b", Version: 6}, {Put: "a", Version: 9}},
		}
	}
	if _, err := Restore(valid()); err != nil {
		t.Fatal(err)
	}
	for name, corrupt := range map[string]func(*Contents){
		"lease ID above the last granted": func(c *Contents) { c.LeaseTTLs[3] = 5000 },
		"lease ID 0":                      func(c *Contents) { c.LeaseTTLs[0] = 5000 },
		"entry without a version":         func(c *Contents) { c.Entries["b"] = Entry{} },
		"entry above the revision":        func(c *Contents) { c.Entries["b"] = Entry{Version: 10} },
		"entry of an unknown lease":       func(c *Contents) { c.Entries["b"] = Entry{Version: 9, LeaseID: 2} },
		"event above the revision":        func(c *Contents) { c.Events[1].Version = 10 },
		"event of a compacted revision":   func(c *Contents) { c.Events[0].Version = 5 },
		"events out of order":             func(c *Contents) { c.Events[0], c.Events[1] = c.Events[1], c.Events[0] },
	} {
		t.Run(name, func(t *testing.T) {
			contents := valid()
			corrupt(&contents)
			if _, err := Restore(contents); !errors.Is(err, ErrInconsistent) {
				t.Fatalf("got error %v, want ErrInconsistent", err)
			}
		})
	}
}
