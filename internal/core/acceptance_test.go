package core

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/mirror"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/records"
)

// TestFirstAcceptanceCountsOnEveryController guards against controllers that hold different records of
// one job. Two controllers may accept one submission: the first in an admission batch, the second in
// another batch or under the job's own key. Without the rule that the first acceptance counts, a
// controller that loads the state anew reads the batches in the order of their keys and uses the first
// one that it reads, and a controller that reads the job's own key handles the second acceptance as a
// change of the job. The invariant checker reported this fault in
// TestAllNodesReportDependentOfCancelledJobAsCancelled as "was aborted at 3.100 and is called queued".

// storeHistory simulates the state service's history of one job's records. The test writes only what
// the guards of the writing controllers allow.
type storeHistory struct {
	revision uint64
	events   []protocol.WatchEvent
	values   map[string]protocol.KeyValue

	first  records.Job // the first acceptance, with the changes made to it since
	ownKey string      // the job's own key; empty while nothing is stored under it
}

const acceptedTwiceID = "job-000001"

func (h *storeHistory) put(key string, value any) {
	h.revision++
	raw := protocol.Raw(protocol.Encode(value))
	h.events = append(h.events, protocol.WatchEvent{Put: key, Value: raw, Version: h.revision})
	h.values[key] = protocol.KeyValue{Key: key, Value: raw, Version: h.revision}
}

func (h *storeHistory) remove(key string) {
	h.revision++
	h.events = append(h.events, protocol.WatchEvent{Delete: key, Version: h.revision})
	delete(h.values, key)
}

// accept writes an acceptance: under the job's own key if individually is set, otherwise in an
// admission batch. Each acceptance has its own number of tasks, which identifies it.
func (h *storeHistory) accept(t *rapid.T, individually bool) {
	record := records.Job{Spec: protocol.Job{ID: acceptedTwiceID, Kind: protocol.KindArray, Tasks: int(h.revision) + 1}, State: protocol.JobQueued}
	dependent := rapid.Bool().Draw(t, "dependent")
	if dependent {
		record.Spec.Dependencies = []string{"job-000009"} // the job waits for this dependency, which is never done
	}
	if h.first.Spec.ID == "" {
		h.first = record
	}
	prefix := map[bool]string{false: keyAdmissionBatch, true: keyDependentBatch}[dependent]
	if individually && rapid.Bool().Draw(t, "in chunks") {
		nonce := fmt.Sprint("n-", h.revision)
		h.put(chunkKey(acceptedTwiceID, nonce, 0), records.Chunk{Text: packRecord(record)})
		h.ownKey = keyDependentJob + acceptedTwiceID
		h.put(h.ownKey, records.Job{Spec: protocol.Job{ID: acceptedTwiceID}, State: protocol.JobQueued, Chunks: 1, ChunkNonce: nonce})
		return
	}
	if individually {
		h.ownKey = (&jobEntry{record: record, dependent: dependent}).recordKey()
		h.put(h.ownKey, record)
		return
	}
	name := fmt.Sprintf("%s%02d-%d", prefix, rapid.IntRange(0, 99).Draw(t, "name"), h.revision)
	h.put(name, records.AdmissionBatch{Jobs: []records.Job{record}})
}

// change writes a change of the accepted job, a cancellation or a choice of zones, to the job's own
// key. Every controller that knows the job writes its changes in this way.
func (h *storeHistory) change(t *rapid.T) {
	if h.ownKey == "" {
		h.ownKey = (&jobEntry{record: h.first, dependent: len(h.first.Spec.Dependencies) > 0}).recordKey()
	}
	if rapid.Bool().Draw(t, "cancelled") {
		h.first.State, h.first.StopReason = protocol.JobCancelled, "cancelled by its user"
	} else {
		h.first.Zones = []string{"a"}
	}
	h.put(h.ownKey, h.first)
}

// replica is a controller that mirrors a history.
type replica struct{ *Core }

func newReplica() replica {
	var settings config.Settings
	settings.Site.Store = config.StoreLimits{RPS: 100, WriteRPS: 50, ValueKB: 16, MaxTxnOps: 16}
	settings.Site.Workers = config.WorkerTiming{HeartbeatS: 2, LeaseS: 16, CancelS: 45}
	c := New(&settings, config.DefaultPolicy(), "boot", false)
	c.mirror.Maintain()
	return replica{c}
}

// load reads the present values of all keys, in key order.
func (r replica) load(h *storeHistory) {
	var items []protocol.KeyValue
	for _, item := range h.values {
		items = append(items, item)
	}
	slices.SortFunc(items, func(a, b protocol.KeyValue) int { return cmp.Compare(a.Key, b.Key) })
	r.mirror.HandlePage(mirror.Page{OK: true, Items: items, Revision: h.revision})
}

// follow delivers the events of the whole history, as a watch does.
func (r replica) follow(h *storeHistory) {
	changes := protocol.WatchResponse{Revision: h.revision, Events: h.events}
	r.mirror.HandleChanges(mirror.Changes{Outcome: mirror.Served, Response: changes})
}

// requireFirstAcceptance fails unless the replica holds the first acceptance with its later changes.
// readMode is the text in error messages for how the replica read the history: followed or loaded.
func (r replica) requireFirstAcceptance(t *rapid.T, h *storeHistory, readMode string) {
	j := r.records.acceptedJob(acceptedTwiceID)
	if h.first.Spec.ID == "" {
		if j != nil {
			t.Fatalf("%s: the replica knows a job that no controller accepted", readMode)
		}
		return
	}
	if j == nil {
		t.Fatalf("%s: the replica does not know the accepted job", readMode)
	}
	got, want := &j.record, &h.first
	if got.Spec.Tasks != want.Spec.Tasks || got.State != want.State || !slices.Equal(got.Zones, want.Zones) && want.State == protocol.JobQueued {
		t.Fatalf("%s: the replica has %d tasks, state %s, zones %v; the first acceptance has %d tasks, state %s, zones %v", readMode,
			got.Spec.Tasks, got.State, got.Zones, want.Spec.Tasks, want.State, want.Zones)
	}
	if guard := j.recordGuard(); h.ownKey != "" && want.State == protocol.JobQueued && guard != (protocol.Guard{Key: h.ownKey, Version: h.values[h.ownKey].Version}) {
		t.Fatalf("%s: a change would be guarded by %+v, but the job's own key holds %+v", readMode, guard, h.values[h.ownKey])
	}
	if waits := r.records.dependencies.IsWaiting(acceptedTwiceID); want.State == protocol.JobQueued && waits != (len(want.Spec.Dependencies) > 0) {
		t.Fatalf("%s: the replica reports whether the job waits for a dependency as %v, want the opposite", readMode, waits)
	}
}

// deleteUnneeded deletes the batches that a leader with this replica would delete.
func (r replica) deleteUnneeded(h *storeHistory) {
	for _, key := range sortedKeys(r.records.batches) {
		if !slices.ContainsFunc(r.records.batches[key].jobs, r.records.needsBatch) {
			h.remove(key)
		}
	}
}

// On every controller the first acceptance of a job counts, in whatever order batches, records under
// the job's own key and changes are written, and whether the controller follows the writes or loads
// them later. A batch that is still needed for the first acceptance is not deleted.
func TestFirstAcceptanceCountsOnEveryController(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &storeHistory{values: map[string]protocol.KeyValue{}}
		follower := newReplica()
		follower.load(h)
		for range rapid.IntRange(1, 8).Draw(rt, "writes") {
			switch rapid.SampledFrom([]string{"batch", "batch", "alone", "change", "collect"}).Draw(rt, "write") {
			case "batch":
				if h.ownKey == "" {
					h.accept(rt, false)
				}
			case "alone":
				if h.ownKey == "" {
					h.accept(rt, true)
				}
			case "change":
				if h.first.Spec.ID != "" && h.first.State == protocol.JobQueued {
					h.change(rt)
				}
			default:
				follower.follow(h)
				follower.deleteUnneeded(h)
			}
			if rapid.Bool().Draw(rt, "read") {
				follower.follow(h)
				follower.requireFirstAcceptance(rt, h, "followed")
			}
			late := newReplica()
			late.load(h)
			late.requireFirstAcceptance(rt, h, "loaded")
		}
		follower.follow(h)
		follower.requireFirstAcceptance(rt, h, "followed")
	})
}
