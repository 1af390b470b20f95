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

// memory is a disk that keeps what was synced and loses the rest when it crashes.
type memory struct {
	keys    map[string]kvstore.Entry
	leases  map[uint64]int64
	log     []protocol.WatchEvent
	rev, id uint64
	first   uint64
	fail    error
	lose    bool // the next write is done, but nobody hears of it
}

func newMemory() *memory {
	return &memory{keys: map[string]kvstore.Entry{}, leases: map[uint64]int64{}}
}

func (m *memory) Write(b *kvstore.Batch, next *kvstore.State) error {
	if m.fail != nil && !m.lose {
		return m.fail
	}
	for _, w := range b.Writes {
		if w.Delete {
			delete(m.keys, w.Key)
		} else {
			m.keys[w.Key] = w.Entry
		}
	}
	for _, l := range b.Leases {
		if l.LifeMS == 0 {
			delete(m.leases, l.ID)
		} else {
			m.leases[l.ID] = l.LifeMS
		}
	}
	m.log = next.Log() // what lies within it is never written again
	m.rev, m.id, m.first = next.Revision, next.NextID, next.First()
	return m.fail
}

func (m *memory) read() (*kvstore.State, error) {
	return kvstore.Restore(m.rev, m.id, m.first, maps.Clone(m.keys), maps.Clone(m.leases), append([]protocol.WatchEvent(nil), m.log...))
}

func set(key string, v int, lease uint64) kvstore.Op {
	return kvstore.Op{Put: key, Value: protocol.Encode(v), Lease: lease}
}

// Whatever the disk does, an answered change is there after the next start, a change
// answered 503 is not, and one without an answer is there whole or not at all.
func TestAnsweredChangesSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := newMemory()
		now := time.Duration(0)
		start := func() *Keeper {
			s, err := disk.read()
			if err != nil {
				t.Fatal(err)
			}
			return NewKeeper(s, disk, now, time.Second)
		}
		k := start()
		model := map[string]string{} // what must be there
		check := func() {
			got := map[string]string{}
			k.State().Each(func(key string, e kvstore.Entry) bool {
				got[key] = string(e.Value)
				return true
			})
			if !maps.Equal(got, model) {
				t.Fatalf("the store holds %v, it should hold %v", got, model)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "turns") {
			now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
			disk.fail, disk.lose = nil, false
			switch rapid.IntRange(0, 7).Draw(t, "disk") {
			case 0:
				disk.fail = kvfile.ErrFull
			case 1:
				disk.fail = errors.New("input/output error")
				disk.lose = rapid.Bool().Draw(t, "lost answer")
			}
			var cmds []Command
			for range rapid.IntRange(0, 4).Draw(t, "commands") {
				txn := &kvstore.Txn{}
				for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c/d", "c/e"}), 1, 3, rapid.ID).Draw(t, "keys") {
					if rapid.IntRange(0, 3).Draw(t, "op") == 0 {
						txn.Then = append(txn.Then, kvstore.Op{Delete: key})
					} else {
						txn.Then = append(txn.Then, set(key, rapid.IntRange(0, 99).Draw(t, "value"), 0))
					}
				}
				if rapid.Bool().Draw(t, "guarded") {
					e, _ := k.State().Get("a")
					txn.If = []protocol.Guard{{Key: "a", Version: e.Version}}
				}
				cmds = append(cmds, Command{Commit: txn})
			}
			answers, err := k.Turn(now, cmds)
			with := maps.Clone(model)
			for i, a := range answers {
				if a.Status == 200 || a.Status == 0 {
					for _, o := range cmds[i].Commit.Then {
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
				if disk.lose {
					// Guards that failed on the way are not told; take what the disk has,
					// but only if it is a whole turn.
					got := map[string]string{}
					for key, e := range disk.keys {
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

func ok(t *testing.T, a []Answer, err error) Answer {
	t.Helper()
	if err != nil || len(a) != 1 || a[0].Status != 200 {
		t.Fatalf("%+v, %v", a, err)
	}
	return a[0]
}

func one(t *testing.T, k *Keeper, now time.Duration, c Command) Answer {
	t.Helper()
	a, err := k.Turn(now, []Command{c})
	return ok(t, a, err)
}

// A lease takes its keys with it when it ends, has its full time after a restart, after
// an outage and after the process stood still, and never ends early.
func TestLeases(t *testing.T) {
	disk := newMemory()
	k := NewKeeper(kvstore.Empty(), disk, 0, time.Second)
	ms := time.Millisecond
	idle := func(now time.Duration) {
		if _, err := k.Turn(now, nil); err != nil {
			t.Fatal(err)
		}
	}
	there := func() bool { _, ok := k.State().Get("c/node"); return ok }
	id := one(t, k, 0, Command{Grant: 2000}).Lease
	one(t, k, 10*ms, Command{Commit: &kvstore.Txn{Then: []kvstore.Op{set("c/node", 1, id)}}})
	for now := 100 * ms; now < 1990*ms; now += 400 * ms {
		idle(now)
	}
	one(t, k, 1990*ms, Command{Extend: id})
	for now := 2500 * ms; now < 3990*ms; now += 400 * ms {
		idle(now)
	}
	if !there() {
		t.Fatal("the lease ended early")
	}
	// A restart: full time again.
	s, err := disk.read()
	if err != nil {
		t.Fatal(err)
	}
	k = NewKeeper(s, disk, 4*time.Second, time.Second)
	idle(4900 * ms)
	idle(5800 * ms)
	// The process stands still for ten seconds: full time again.
	idle(15800 * ms)
	idle(16700 * ms)
	if !there() {
		t.Fatal("the lease ended while nobody could renew it")
	}
	// The disk is full: nothing ends, and afterwards it has its full time.
	disk.fail = kvfile.ErrFull
	for now := 17500 * ms; now < 30*time.Second; now += 500 * ms {
		if a, _ := k.Turn(now, []Command{{Commit: &kvstore.Txn{Then: []kvstore.Op{set("x", 1, 0)}}}}); a[0].Status != 503 {
			t.Fatalf("a full disk answers %d", a[0].Status)
		}
	}
	disk.fail = nil
	one(t, k, 30*time.Second, Command{Commit: &kvstore.Txn{Then: []kvstore.Op{set("x", 1, 0)}}})
	idle(30900 * ms)
	idle(31800 * ms)
	if !there() {
		t.Fatal("the lease ended with the outage")
	}
	rev := k.State().Revision
	idle(32050 * ms)
	if there() || k.State().Revision != rev+1 {
		t.Fatal("the lease did not end, or its keys went without a revision")
	}
	if a, _ := k.Turn(32060*ms, []Command{{Commit: &kvstore.Txn{Then: []kvstore.Op{set("c/node", 1, id)}}}, {Extend: id}}); a[0].Status != 400 || a[1].Status != 404 {
		t.Fatalf("a lease that has ended: %+v", a)
	}
}

// A follower sees each change once, with its prefix, and hears 410 when it is more than
// the kept changes behind, also across a restart.
func TestFollowersFarBehind(t *testing.T) {
	disk := newMemory()
	k := NewKeeper(kvstore.Empty(), disk, 0, time.Hour)
	for i := range kvstore.Kept/2 + 10 {
		// Two changes of one revision.
		one(t, k, time.Duration(i), Command{Commit: &kvstore.Txn{Then: []kvstore.Op{set(fmt.Sprintf("c/%d", i), i, 0), set("d", i, 0)}}})
	}
	for range 2 {
		s := k.State()
		if _, fine := s.Since("c/", 9); fine {
			t.Fatal("changes that are gone are given")
		}
		e, fine := s.Since("c/", s.First())
		if !fine || len(e.Events) != kvstore.Kept/2 || e.Events[0].Put != "c/10" || e.Revision != s.Revision {
			t.Fatalf("%v, %d changes from %v", fine, len(e.Events), e.Events[0])
		}
		again, err := disk.read()
		if err != nil {
			t.Fatal(err)
		}
		k = NewKeeper(again, disk, 0, time.Hour)
	}
}

func TestPages(t *testing.T) {
	k := NewKeeper(kvstore.Empty(), newMemory(), 0, time.Hour)
	big := make([]byte, 20<<10)
	for i := range 60 {
		one(t, k, time.Duration(i), Command{Commit: &kvstore.Txn{Then: []kvstore.Op{{Put: fmt.Sprintf("c/%02d", i), Value: protocol.Encode(string(big))}, set(fmt.Sprintf("d/%02d", i), i, 0)}}})
	}
	seen, since := 0, ""
	for {
		p := k.State().Range("c/", since, 0)
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
	if p := k.State().Range("d/", "", 7); len(p.Items) != 7 || !p.More {
		t.Fatalf("%d items, more %v", len(p.Items), p.More)
	}
}
