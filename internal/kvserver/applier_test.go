package kvserver

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chalkhub/chalkhub/internal/kvfile"
	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// memoryStorage is a Storage in memory whose writes can be made to fail.
type memoryStorage struct {
	contents            kvstore.Contents
	writeError          error
	loseAcknowledgement bool // writes are carried out although they return writeError
}

func newMemoryStorage() *memoryStorage {
	return &memoryStorage{contents: kvstore.Contents{Entries: map[string]kvstore.Entry{}, LeaseTTLs: map[uint64]int64{}}}
}

func (m *memoryStorage) Write(batch *kvstore.Batch, next *kvstore.State) error {
	if m.writeError != nil && !m.loseAcknowledgement {
		return m.writeError
	}
	for _, write := range batch.EntryWrites {
		if write.Delete {
			delete(m.contents.Entries, write.Key)
		} else {
			m.contents.Entries[write.Key] = write.Entry
		}
	}
	for _, lease := range batch.LeaseWrites {
		if lease.TTLMillis == 0 {
			delete(m.contents.LeaseTTLs, lease.ID)
		} else {
			m.contents.LeaseTTLs[lease.ID] = lease.TTLMillis
		}
	}
	m.contents.Events = next.Events() // events are never modified in place
	m.contents.Revision = next.Revision
	m.contents.LastLeaseID = next.LastLeaseID
	m.contents.CompactRevision = next.CompactRevision()
	return m.writeError
}

// restore returns the state that a restarted service reads.
func (m *memoryStorage) restore() (*kvstore.State, error) {
	contents := m.contents
	contents.Entries = maps.Clone(contents.Entries)
	contents.LeaseTTLs = maps.Clone(contents.LeaseTTLs)
	contents.Events = append([]protocol.WatchEvent(nil), contents.Events...)
	return kvstore.Restore(contents)
}

// values returns the stored values, still encoded, by key.
func (m *memoryStorage) values() map[string]string {
	values := map[string]string{}
	for key, entry := range m.contents.Entries {
		values[key] = string(entry.Value)
	}
	return values
}

func putOp(key string, value int, leaseID uint64) kvstore.Op {
	return kvstore.Op{Put: key, Value: protocol.Encode(value), LeaseID: leaseID}
}

func txnOf(ops ...kvstore.Op) commitTxn { return commitTxn{txn: &kvstore.Txn{Then: ops}} }

// durabilityTest applies random transactions to an applier whose storage fails at random, and
// to a model of what the store must hold.
type durabilityTest struct {
	*rapid.T
	storage *memoryStorage
	applier *applier
	now     time.Duration
	model   map[string]string // the encoded values that the store must hold, by key
}

// restart replaces the applier by one that reads the storage, as after a crash.
func (d *durabilityTest) restart() {
	state, err := d.storage.restore()
	if err != nil {
		d.Fatal(err)
	}
	d.applier = newApplier(state, d.storage, d.now, time.Second)
}

// check compares the store with the model.
func (d *durabilityTest) check() {
	got := map[string]string{}
	for key, entry := range d.applier.committedState().All() {
		got[key] = string(entry.Value)
	}
	if !maps.Equal(got, d.model) {
		d.Fatalf("the store holds %v, want %v", got, d.model)
	}
}

// drawFailure draws whether and how the next write to the storage fails.
func (d *durabilityTest) drawFailure() {
	d.storage.writeError, d.storage.loseAcknowledgement = nil, false
	switch rapid.IntRange(0, 7).Draw(d.T, "storage failure") {
	case 0:
		d.storage.writeError = kvfile.ErrNoSpace
	case 1:
		d.storage.writeError = errors.New("input/output error")
		d.storage.loseAcknowledgement = rapid.Bool().Draw(d.T, "lost acknowledgement")
	}
}

func (d *durabilityTest) drawTxn() commitTxn {
	txn := &kvstore.Txn{}
	keys := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c/d", "c/e"}), 1, 3, rapid.ID).Draw(d.T, "keys")
	for _, key := range keys {
		if rapid.IntRange(0, 3).Draw(d.T, "op") == 0 {
			txn.Then = append(txn.Then, kvstore.Op{Delete: key})
		} else {
			txn.Then = append(txn.Then, putOp(key, rapid.IntRange(0, 99).Draw(d.T, "value"), 0))
		}
	}
	if rapid.Bool().Draw(d.T, "guarded") {
		entry, _ := d.applier.committedState().Get("a")
		txn.If = []protocol.Guard{{Key: "a", Version: entry.Version}}
	}
	return commitTxn{txn: txn}
}

// modelAfter returns the model with the changes of all transactions whose outcome is done or
// unknown.
func (d *durabilityTest) modelAfter(commands []command, replies []reply) map[string]string {
	after := maps.Clone(d.model)
	for i, r := range replies {
		if r.outcome != outcomeDone && r.outcome != outcomeUnknown {
			continue
		}
		for _, op := range commands[i].(commitTxn).txn.Then {
			if op.Delete != "" {
				delete(after, op.Delete)
			} else {
				after[op.Put] = string(op.Value)
			}
		}
	}
	return after
}

// runRound applies up to four transactions, and restarts if the applier returns an error.
func (d *durabilityTest) runRound() {
	d.now += time.Duration(rapid.IntRange(1, 400).Draw(d.T, "ms")) * time.Millisecond
	d.drawFailure()
	var commands []command
	for range rapid.IntRange(0, 4).Draw(d.T, "commands") {
		commands = append(commands, d.drawTxn())
	}
	replies, err := d.applier.apply(d.now, commands)
	after := d.modelAfter(commands, replies)
	switch {
	case err == nil:
		d.model = after
	case d.storage.loseAcknowledgement:
		// Replies with an unknown outcome do not report which guards failed, so the model
		// takes over what the storage holds. A single transaction must have been written
		// completely or not at all.
		got := d.storage.values()
		if len(commands) == 1 && !maps.Equal(got, after) && !maps.Equal(got, d.model) {
			d.Fatalf("transaction written partially: the storage holds %v, want %v or %v", got, d.model, after)
		}
		d.model = got
	}
	if err != nil {
		d.restart()
	}
	d.check()
}

// However a write to the storage fails, after the next restart the store holds every
// acknowledged change and no change that was refused as unavailable. A transaction with an
// unknown outcome was applied completely or not at all.
func TestAcknowledgedWritesSurviveRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &durabilityTest{T: t, storage: newMemoryStorage(), model: map[string]string{}}
		d.restart()
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			d.runRound()
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				d.restart()
				d.check()
			}
		}
	})
}

// mustApply applies a command and fails the test unless its outcome is done.
func mustApply(t *testing.T, a *applier, now time.Duration, c command) reply {
	t.Helper()
	replies, err := a.apply(now, []command{c})
	if err != nil || len(replies) != 1 || replies[0].outcome != outcomeDone {
		t.Fatalf("apply returned %+v, %v; want one reply with outcomeDone", replies, err)
	}
	return replies[0]
}

// leaseTest has an applier with one lease of two seconds, to which attachedKey is attached.
type leaseTest struct {
	*testing.T
	storage *memoryStorage
	applier *applier
	leaseID uint64
}

const attachedKey = "c/node"

// newLeaseTest grants the lease at time 0 and attaches the key to it.
func newLeaseTest(t *testing.T) *leaseTest {
	t.Helper()
	l := &leaseTest{T: t, storage: newMemoryStorage()}
	l.applier = newApplier(kvstore.NewState(), l.storage, 0, time.Second)
	l.leaseID = mustApply(t, l.applier, 0, grantLease{ttlMillis: 2000}).leaseID
	mustApply(t, l.applier, 10*time.Millisecond, txnOf(putOp(attachedKey, 1, l.leaseID)))
	return l
}

// tick calls apply without commands at each of the given times in milliseconds, so that leases
// that are due expire.
func (l *leaseTest) tick(millis ...int) {
	l.Helper()
	for _, ms := range millis {
		if _, err := l.applier.apply(time.Duration(ms)*time.Millisecond, nil); err != nil {
			l.Fatal(err)
		}
	}
}

// wantKeyPresent checks that the key that is attached to the lease is still there.
func (l *leaseTest) wantKeyPresent(failureMessage string) {
	l.Helper()
	if _, ok := l.applier.committedState().Get(attachedKey); !ok {
		l.Fatal(failureMessage)
	}
}

// wantExpiry checks that the lease expires at the given time in milliseconds: its key is
// deleted, and the revision rises by one.
func (l *leaseTest) wantExpiry(millis int) {
	l.Helper()
	revision := l.applier.committedState().Revision
	l.tick(millis)
	state := l.applier.committedState()
	if _, ok := state.Get(attachedKey); ok || state.Revision != revision+1 {
		l.Fatal("the lease did not expire, or its keys were not deleted in exactly one revision")
	}
}

// A lease that expires deletes its keys, and no lease expires before its TTL has passed. After a
// restart, a full disk and a stall of the process, a lease gets its full TTL again: its holder
// could not renew it meanwhile.
func TestLeaseExpiresOnlyAfterFullTTL(t *testing.T) {
	const ms = time.Millisecond
	l := newLeaseTest(t)
	l.tick(100, 500, 900, 1300, 1700)
	mustApply(t, l.applier, 1990*ms, renewLease{leaseID: l.leaseID})
	l.tick(2500, 2900, 3300, 3700)
	l.wantKeyPresent("the lease expired early")
	// A restart gives the lease its full TTL again.
	state, err := l.storage.restore()
	if err != nil {
		t.Fatal(err)
	}
	l.applier = newApplier(state, l.storage, 4*time.Second, time.Second)
	l.tick(4900, 5800)
	// A stall of the process for ten seconds gives the lease its full TTL again.
	l.tick(15800, 16700)
	l.wantKeyPresent("the lease expired while nobody could renew it")
	// While the disk is full no lease expires, and afterwards the lease has its full TTL again.
	write := txnOf(putOp("x", 1, 0))
	l.storage.writeError = kvfile.ErrNoSpace
	for now := 17500 * ms; now < 30*time.Second; now += 500 * ms {
		if replies, err := l.applier.apply(now, []command{write}); err != nil || replies[0].outcome != outcomeUnavailable {
			t.Fatalf("a write to a full disk returned %+v, %v; want outcomeUnavailable", replies[0], err)
		}
	}
	l.storage.writeError = nil
	mustApply(t, l.applier, 30*time.Second, write)
	l.tick(30900, 31800)
	l.wantKeyPresent("the lease expired as soon as the disk had space again")
	l.wantExpiry(32050)
	replies, err := l.applier.apply(32060*ms, []command{txnOf(putOp(attachedKey, 1, l.leaseID)), renewLease{leaseID: l.leaseID}})
	if err != nil || replies[0].outcome != outcomeInvalid || replies[1].outcome != outcomeNotFound {
		t.Fatalf("a put with an expired lease and a renewal of it returned %+v, %v; want outcomeInvalid and outcomeNotFound", replies, err)
	}
}

// EventsSince returns each change with the prefix once. It returns ErrCompacted for a revision
// older than the retained events. Both also hold after a restart.
func TestWatchBehindRetainedEventsIsRefused(t *testing.T) {
	storage := newMemoryStorage()
	a := newApplier(kvstore.NewState(), storage, 0, time.Hour)
	for i := range kvstore.RetainedEvents/2 + 10 {
		// Each transaction makes two changes in one revision.
		mustApply(t, a, time.Duration(i), txnOf(putOp(fmt.Sprintf("c/%d", i), i, 0), putOp("d", i, 0)))
	}
	for range 2 {
		state := a.committedState()
		if _, err := state.EventsSince("c/", 9); !errors.Is(err, kvstore.ErrCompacted) {
			t.Fatalf("events since a compacted revision: got error %v, want ErrCompacted", err)
		}
		found, err := state.EventsSince("c/", state.CompactRevision())
		if err != nil || len(found.Events) != kvstore.RetainedEvents/2 || found.Events[0].Put != "c/10" || found.Revision != state.Revision {
			t.Fatalf("retained events: got error %v, %d events at revision %d", err, len(found.Events), found.Revision)
		}
		restored, err := storage.restore()
		if err != nil {
			t.Fatal(err)
		}
		a = newApplier(restored, storage, 0, time.Hour)
	}
}
