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

// memoryStorage is a disk that keeps what was synced and loses the rest when it crashes.
type memoryStorage struct {
	entries               map[string]kvstore.Entry
	leaseTTLs             map[uint64]int64
	events                []protocol.WatchEvent
	revision, lastLeaseID uint64
	compactRevision       uint64
	writeError            error
	loseAcknowledgement   bool // the next write is done, but nobody hears of it
}

func newMemoryStorage() *memoryStorage {
	return &memoryStorage{entries: map[string]kvstore.Entry{}, leaseTTLs: map[uint64]int64{}}
}

func (m *memoryStorage) Write(b *kvstore.Batch, next *kvstore.State) error {
	if m.writeError != nil && !m.loseAcknowledgement {
		return m.writeError
	}
	for _, w := range b.EntryWrites {
		if w.Delete {
			delete(m.entries, w.Key)
		} else {
			m.entries[w.Key] = w.Entry
		}
	}
	for _, l := range b.LeaseWrites {
		if l.TTLMillis == 0 {
			delete(m.leaseTTLs, l.ID)
		} else {
			m.leaseTTLs[l.ID] = l.TTLMillis
		}
	}
	m.events = next.Events() // what lies within it is never written again
	m.revision, m.lastLeaseID, m.compactRevision = next.Revision, next.LastLeaseID, next.CompactRevision()
	return m.writeError
}

func (m *memoryStorage) restore() (*kvstore.State, error) {
	return kvstore.Restore(m.revision, m.lastLeaseID, m.compactRevision, maps.Clone(m.entries), maps.Clone(m.leaseTTLs), append([]protocol.WatchEvent(nil), m.events...))
}

func putOp(key string, v int, lease uint64) kvstore.Op {
	return kvstore.Op{Put: key, Value: protocol.Encode(v), LeaseID: lease}
}

// Whatever the disk does, an answered change is there after the next start, a change
// answered 503 is not, and one without an answer is there whole or not at all.
func TestAcknowledgedWritesSurviveRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := newMemoryStorage()
		now := time.Duration(0)
		start := func() *applier {
			s, err := disk.restore()
			if err != nil {
				t.Fatal(err)
			}
			return newApplier(s, disk, now, time.Second)
		}
		k := start()
		model := map[string]string{} // what must be there
		check := func() {
			got := map[string]string{}
			k.committedState().Each(func(key string, e kvstore.Entry) bool {
				got[key] = string(e.Value)
				return true
			})
			if !maps.Equal(got, model) {
				t.Fatalf("the store holds %v, it should hold %v", got, model)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "turns") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			disk.writeError, disk.loseAcknowledgement = nil, false
			switch rapid.IntRange(0, 7).Draw(t, "disk") {
			case 0:
				disk.writeError = kvfile.ErrNoSpace
			case 1:
				disk.writeError = errors.New("input/output error")
				disk.loseAcknowledgement = rapid.Bool().Draw(t, "lost answer")
			}
			var cmds []command
			for range rapid.IntRange(0, 4).Draw(t, "commands") {
				txn := &kvstore.Txn{}
				for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c/d", "c/e"}), 1, 3, rapid.ID).Draw(t, "keys") {
					if rapid.IntRange(0, 3).Draw(t, "op") == 0 {
						txn.Then = append(txn.Then, kvstore.Op{Delete: key})
					} else {
						txn.Then = append(txn.Then, putOp(key, rapid.IntRange(0, 99).Draw(t, "value"), 0))
					}
				}
				if rapid.Bool().Draw(t, "guarded") {
					e, _ := k.committedState().Get("a")
					txn.If = []protocol.Guard{{Key: "a", Version: e.Version}}
				}
				cmds = append(cmds, command{commit: txn})
			}
			answers, err := k.apply(now, cmds)
			with := maps.Clone(model)
			for i, a := range answers {
				if a.status == 200 || a.status == 0 {
					for _, o := range cmds[i].commit.Then {
						if o.Delete != "" {
							delete(with, o.Delete)
						} else {
							with[o.Put] = string(o.Value)
						}
					}
				}
			}
			if err != nil { // crash, and start anew
				k = start()
				if disk.loseAcknowledgement {
					// Guards that failed on the way are not told; take what the disk has,
					// but only if it is a whole turn.
					got := map[string]string{}
					for key, e := range disk.entries {
						got[key] = string(e.Value)
					}
					if len(cmds) == 1 && !maps.Equal(got, with) && !maps.Equal(got, model) {
						t.Fatalf("half a transaction: %v, neither %v nor %v", got, model, with)
					}
					with = got
				} else {
					with = model
				}
			}
			model = with
			check()
			if rapid.IntRange(0, 5).Draw(t, "kill") == 0 {
				k = start()
				check()
			}
		}
	})
}

func requireOK(t *testing.T, a []reply, err error) reply {
	t.Helper()
	if err != nil || len(a) != 1 || a[0].status != 200 {
		t.Fatalf("%+v, %v", a, err)
	}
	return a[0]
}

func applyOne(t *testing.T, k *applier, now time.Duration, c command) reply {
	t.Helper()
	a, err := k.apply(now, []command{c})
	return requireOK(t, a, err)
}

// A lease takes its keys with it when it ends, has its full time after a restart, after
// an outage and after the process stood still, and never ends early.
func TestLeaseExpiry(t *testing.T) {
	disk := newMemoryStorage()
	k := newApplier(kvstore.NewState(), disk, 0, time.Second)
	ms := time.Millisecond
	idle := func(now time.Duration) {
		if _, err := k.apply(now, nil); err != nil {
			t.Fatal(err)
		}
	}
	there := func() bool { _, ok := k.committedState().Get("c/node"); return ok }
	id := applyOne(t, k, 0, command{grantTTLMillis: 2000}).leaseID
	applyOne(t, k, 10*ms, command{commit: &kvstore.Txn{Then: []kvstore.Op{putOp("c/node", 1, id)}}})
	for now := 100 * ms; now < 1990*ms; now += 400 * ms {
		idle(now)
	}
	applyOne(t, k, 1990*ms, command{renewLeaseID: id})
	for now := 2500 * ms; now < 3990*ms; now += 400 * ms {
		idle(now)
	}
	if !there() {
		t.Fatal("the lease ended early")
	}
	// A restart: full time again.
	s, err := disk.restore()
	if err != nil {
		t.Fatal(err)
	}
	k = newApplier(s, disk, 4*time.Second, time.Second)
	idle(4900 * ms)
	idle(5800 * ms)
	// The process stands still for ten seconds: full time again.
	idle(15800 * ms)
	idle(16700 * ms)
	if !there() {
		t.Fatal("the lease ended while nobody could renew it")
	}
	// The disk is full: nothing ends, and afterwards it has its full time.
	disk.writeError = kvfile.ErrNoSpace
	for now := 17500 * ms; now < 30*time.Second; now += 500 * ms {
		if a, _ := k.apply(now, []command{{commit: &kvstore.Txn{Then: []kvstore.Op{putOp("x", 1, 0)}}}}); a[0].status != 503 {
			t.Fatalf("a full disk answers %d", a[0].status)
		}
	}
	disk.writeError = nil
	applyOne(t, k, 30*time.Second, command{commit: &kvstore.Txn{Then: []kvstore.Op{putOp("x", 1, 0)}}})
	idle(30900 * ms)
	idle(31800 * ms)
	if !there() {
		t.Fatal("the lease ended with the outage")
	}
	rev := k.committedState().Revision
	idle(32050 * ms)
	if there() || k.committedState().Revision != rev+1 {
		t.Fatal("the lease did not end, or its keys went without a revision")
	}
	if a, _ := k.apply(32060*ms, []command{{commit: &kvstore.Txn{Then: []kvstore.Op{putOp("c/node", 1, id)}}}, {renewLeaseID: id}}); a[0].status != 400 || a[1].status != 404 {
		t.Fatalf("a lease that has ended: %+v", a)
	}
}

// A follower sees each change once, with its prefix, and hears 410 when it is more than
// the kept changes behind, also across a restart.
func TestWatchBehindRetainedEvents(t *testing.T) {
	disk := newMemoryStorage()
	k := newApplier(kvstore.NewState(), disk, 0, time.Hour)
	for i := range kvstore.RetainedEvents/2 + 10 {
		// Two changes of one revision.
		applyOne(t, k, time.Duration(i), command{commit: &kvstore.Txn{Then: []kvstore.Op{putOp(fmt.Sprintf("c/%d", i), i, 0), putOp("d", i, 0)}}})
	}
	for range 2 {
		s := k.committedState()
		if _, fine := s.EventsSince("c/", 9); fine {
			t.Fatal("changes that are gone are given")
		}
		e, fine := s.EventsSince("c/", s.CompactRevision())
		if !fine || len(e.Events) != kvstore.RetainedEvents/2 || e.Events[0].Put != "c/10" || e.Revision != s.Revision {
			t.Fatalf("%v, %d changes from %v", fine, len(e.Events), e.Events[0])
		}
		again, err := disk.restore()
		if err != nil {
			t.Fatal(err)
		}
		k = newApplier(again, disk, 0, time.Hour)
	}
}

func TestRangePages(t *testing.T) {
	k := newApplier(kvstore.NewState(), newMemoryStorage(), 0, time.Hour)
	big := make([]byte, 20<<10)
	for i := range 60 {
		applyOne(t, k, time.Duration(i), command{commit: &kvstore.Txn{Then: []kvstore.Op{{Put: fmt.Sprintf("c/%02d", i), Value: protocol.Encode(string(big))}, putOp(fmt.Sprintf("d/%02d", i), i, 0)}}})
	}
	seen, since := 0, ""
	for {
		p := k.committedState().Range("c/", since, 0)
		for _, it := range p.Items {
			if it.Key <= since {
				t.Fatalf("%s after %s", it.Key, since)
			}
			since = it.Key
			seen++
		}
		if !p.More {
			break
		}
		if len(p.Items) > 26 {
			t.Fatalf("a page of %d items is over 512 KiB", len(p.Items))
		}
	}
	if seen != 60 {
		t.Fatalf("%d keys of 60", seen)
	}
	if p := k.committedState().Range("d/", "", 7); len(p.Items) != 7 || !p.More {
		t.Fatalf("%d items, more %v", len(p.Items), p.More)
	}
}
