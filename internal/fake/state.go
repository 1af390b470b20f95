package fake

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// State is the state service.
type State struct {
	w       *World
	rev     uint64
	keys    map[string]*entry
	sorted  []string // their names, nil: to be sorted anew
	log     []wire.Event
	leases  map[uint64]*lease
	nextID  uint64
	Out     bool            // an outage: every node gets 503
	Refuses map[string]bool // nodes that alone get 503
	// LateShare is the share of transactions that get no answer and are applied
	// up to LateBy afterwards.
	LateShare float64
	LateBy    time.Duration
	Slow      time.Duration // is added to every answer
	Writes    int
	Refused   int // requests above the limits
	watches   []*watch
	requests  bucket
	writes    bucket
}

// bucket is a limit by the second that allows bursts of one second's worth.
type bucket struct {
	used float64
	at   time.Duration
}

func (b *bucket) take(now time.Duration, n, rate float64) bool {
	b.used = max(b.used-(now-b.at).Seconds()*rate, 0)
	b.at = now
	if b.used+n > rate {
		return false
	}
	b.used += n
	return true
}

// limited reports whether a request with so many writes is above the limits.
func (s *State) limited(writes int) bool {
	set := s.w.Set.Site.State
	if s.requests.take(s.w.Now, 1, set.RPS) && s.writes.take(s.w.Now, float64(writes), set.WriteRPS) {
		return false
	}
	s.Refused++
	return true
}

type entry struct {
	value wire.Raw
	rev   uint64
	lease uint64
}

type lease struct {
	ttl  time.Duration
	ends time.Duration
}

type watch struct {
	node  string
	since uint64
	done  func(int, wire.Events)
	over  bool
}

func newState(w *World) *State {
	return &State{w: w, keys: map[string]*entry{}, leases: map[uint64]*lease{}, Refuses: map[string]bool{}}
}

// Outage makes the service refuse everybody for a while; leases are frozen and
// have their full time afterwards.
func (s *State) Outage(d time.Duration) {
	s.Out = true
	s.w.After(d, func() {
		s.Out = false
		for _, id := range s.leaseIDs() {
			s.arm(id)
		}
		s.wake()
	})
}

func (s *State) leaseIDs() []uint64 {
	var ids []uint64
	for id := range s.leases {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	return ids
}

func (s *State) refuses(node string) bool { return s.Out || s.Refuses[node] }

func (s *State) arm(id uint64) {
	l := s.leases[id]
	l.ends = s.w.Now + l.ttl
	ends := l.ends
	s.w.At(ends, func() {
		if s.leases[id] != l || l.ends != ends || s.Out {
			return
		}
		delete(s.leases, id)
		var gone []string
		for k, e := range s.keys {
			if e.lease == id {
				gone = append(gone, k)
			}
		}
		sort.Strings(gone)
		if len(gone) > 0 {
			s.rev++
		}
		for _, k := range gone {
			s.sorted = nil
			delete(s.keys, k)
			s.log = append(s.log, wire.Event{Delete: k, Version: s.rev})
		}
		s.wake()
	})
}

func (s *State) lease(node string, e core.Lease) (uint64, int) {
	if s.refuses(node) {
		return e.Lease, 503
	}
	if s.limited(0) {
		return e.Lease, 429
	}
	if e.Lease != 0 {
		if s.leases[e.Lease] == nil {
			return e.Lease, 404
		}
		s.arm(e.Lease)
		return e.Lease, 200
	}
	s.nextID++
	s.leases[s.nextID] = &lease{ttl: e.TTL}
	s.arm(s.nextID)
	return s.nextID, 200
}

// Commit runs a transaction. Status 0 stands for an answer that never comes.
func (s *State) Commit(node string, t wire.Txn) (int, wire.TxnAnswer) {
	if s.refuses(node) {
		return 503, wire.TxnAnswer{}
	}
	if s.limited(len(t.Then)) {
		return 429, wire.TxnAnswer{}
	}
	if why := s.malformed(t); why != "" {
		s.w.broke("malformed", "%s sends the state service %s", node, why)
		return 400, wire.TxnAnswer{}
	}
	if s.LateShare > 0 && s.w.Rand.Float64() < s.LateShare {
		s.w.After(time.Duration(s.w.Rand.Int64N(int64(s.LateBy)+1)), func() { s.apply(t) })
		return 0, wire.TxnAnswer{}
	}
	return s.apply(t)
}

func (s *State) apply(t wire.Txn) (int, wire.TxnAnswer) {
	s.Writes += len(t.Then)
	for _, op := range t.Then {
		if op.Put != "" && op.Lease != 0 && s.leases[op.Lease] == nil {
			return 400, wire.TxnAnswer{}
		}
	}
	var failed []string
	for _, g := range t.If {
		var v uint64
		if e := s.keys[g.Key]; e != nil {
			v = e.rev
		}
		if v != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return 409, wire.TxnAnswer{Failed: failed, Revision: s.rev}
	}
	if len(t.Then) > 0 {
		s.rev++
	}
	if len(t.Then) > 0 {
		s.sorted = nil
	}
	for _, op := range t.Then {
		if op.Put != "" {
			raw := wire.Raw(wire.Encode(op.Value))
			s.keys[op.Put] = &entry{value: raw, rev: s.rev, lease: op.Lease}
			s.log = append(s.log, wire.Event{Put: op.Put, Value: raw, Version: s.rev})
		} else if s.keys[op.Delete] != nil {
			delete(s.keys, op.Delete)
			s.log = append(s.log, wire.Event{Delete: op.Delete, Version: s.rev})
		}
	}
	s.wake()
	return 200, wire.TxnAnswer{Revision: s.rev}
}

// load answers with a page of keys.
func (s *State) load(node string, since string, sent time.Duration) core.LoadDone {
	d := core.LoadDone{Sent: sent, Revision: s.rev}
	if s.refuses(node) || s.limited(0) {
		return d
	}
	d.OK = true
	if s.sorted == nil {
		for k := range s.keys {
			if strings.HasPrefix(k, core.KeyPrefix) {
				s.sorted = append(s.sorted, k)
			}
		}
		sort.Strings(s.sorted)
	}
	from := sort.SearchStrings(s.sorted, since+"\x00")
	if since == "" {
		from = 0
	}
	size := 0
	for i := from; i < len(s.sorted) && !d.More; i++ {
		e := s.keys[s.sorted[i]]
		d.Items = append(d.Items, wire.Item{Key: s.sorted[i], Value: e.value, Version: e.rev})
		size += jsonSize(e.value)
		d.More = i+1 < len(s.sorted) && (len(d.Items) == 1000 || size > 500<<10)
	}
	return d
}

// jsonSize is about how long a value is as text.
func jsonSize(v wire.Raw) int { return len(v) * 5 / 4 }

func (s *State) since(rev uint64) wire.Events {
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > rev })
	return wire.Events{Revision: s.rev, Events: append([]wire.Event(nil), s.log[i:]...)}
}

func (s *State) follow(node string, e core.Follow, done func(int, wire.Events)) {
	if s.refuses(node) {
		if e.Hold == 0 {
			done(503, wire.Events{})
		}
		return // open watches stay open
	}
	if s.limited(0) {
		done(429, wire.Events{})
		return
	}
	if e.Hold == 0 || s.rev > e.Since {
		done(200, s.since(e.Since))
		return
	}
	x := &watch{node: node, since: e.Since, done: done}
	s.watches = append(s.watches, x)
	s.w.After(e.Hold, func() { s.finish(x) })
}

func (s *State) finish(x *watch) {
	if !x.over && !s.refuses(x.node) {
		x.over = true
		x.done(200, s.since(x.since))
	}
}

func (s *State) wake() {
	open := s.watches
	s.watches = nil
	for _, x := range open {
		if !x.over && s.rev > x.since {
			s.finish(x)
		}
		if !x.over {
			s.watches = append(s.watches, x)
		}
	}
}

// Ended puts n jobs into the store that were done or cancelled long ago.
func (s *State) Ended(n int) {
	s.rev++
	s.sorted = nil
	for i := range n {
		id := fmt.Sprintf("job-9%08d", i)
		spec := Array(1 + i%40)
		spec.ID = id
		rec := wire.JobRecord{Spec: spec, State: wire.JobDone, At: 9e8 + float64(i)}
		if i%50 == 0 {
			rec.State, rec.Bad = wire.JobCancelled, "cancelled by its user"
		}
		s.keys["c/job/"+id] = &entry{value: wire.Encode(rec), rev: s.rev}
	}
}

// malformed says what is wrong with a transaction: it is over a limit of the
// settings. A service that sends one would send it for ever.
func (s *State) malformed(t wire.Txn) string {
	set := s.w.Set.Site.State
	if n := len(t.Then); n > set.TxnOps {
		return fmt.Sprintf("%d changes in one transaction", n)
	}
	if n := len(t.If); n > 4*set.TxnOps {
		return fmt.Sprintf("%d conditions in one transaction", n)
	}
	total := 0
	for _, op := range t.Then {
		size := jsonSize(wire.Encode(op.Value))
		if total += size; float64(size) > set.ValueKB*1024 {
			return fmt.Sprintf("a value of %d bytes for %s", size, op.Put)
		}
	}
	if total > 64<<10 {
		return fmt.Sprintf("a transaction of %d bytes", total)
	}
	return ""
}

// Forget removes a key behind everybody's back.
func (s *State) Forget(key string) {
	s.rev++
	s.sorted = nil
	delete(s.keys, key)
	s.log = append(s.log, wire.Event{Delete: key, Version: s.rev})
	s.wake()
}

// Count counts the keys with a prefix.
func (s *State) Count(prefix string) (n int) {
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}
