package kvserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/chalkhub/chalkhub/internal/httpserver"
	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Settings of a service.
type Settings struct {
	kvstore.Limits
	RPS      float64 // requests a second
	WriteRPS float64 // puts and deletes a second
	Batch    int     // most commands that share a write to the disk; 1: no batches
}

// Server serves a Keeper.
type Server struct {
	set   Settings
	keep  *Keeper
	queue chan asked
	begin time.Time
	shown atomic.Pointer[shown]
	http  *fasthttp.Server
	done  chan struct{}

	mu       sync.Mutex
	requests bucket
	writes   bucket
	batches  *hdrhistogram.Histogram // commands per write
	syncs    *hdrhistogram.Histogram // µs per turn
	refused  int64
}

type asked struct {
	Command
	answer chan Answer
}

// shown is the durable state, which anybody may read, and a channel that is closed when
// there is a newer one.
type shown struct {
	*kvstore.State
	newer chan struct{}
}

// bucket is a limit by the second that allows bursts of one second's worth.
type bucket struct {
	used float64
	at   time.Duration
}

func (b *bucket) fits(now time.Duration, n, rate float64) bool {
	b.used = max(b.used-(now-b.at).Seconds()*rate, 0)
	b.at = now
	return b.used+n <= rate
}

// standStill is how long a silence of our own must last to count as an outage; leases
// are looked at with every tick, since they may end 100 ms late.
const (
	standStill = time.Second
	tick       = 50 * time.Millisecond // leases may end 100 ms late
)

// New makes a server of a state that was just read from its disk.
func New(set Settings, s *kvstore.State, disk Disk) *Server {
	v := &Server{set: set, queue: make(chan asked, 4*max(set.Batch, 256)), begin: time.Now(), done: make(chan struct{}),
		batches: hdrhistogram.New(1, 1<<20, 2), syncs: hdrhistogram.New(1, 60_000_000, 2)}
	v.keep = NewKeeper(s, disk, 0, standStill)
	v.shown.Store(&shown{State: s, newer: make(chan struct{})})
	v.http = &fasthttp.Server{
		Handler: v.handle,
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			httpserver.Reply(ctx, 400, protocol.ErrorResponse{Error: "malformed request"})
		},
		Name: "chalk-state", MaxRequestBodySize: protocol.MaxBody, IdleTimeout: 2 * time.Minute, ReadTimeout: 2 * time.Minute,
		// A follower that does not read its answer holds a connection, not the store.
		WriteTimeout: 10 * time.Second, NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true,
	}
	return v
}

func (v *Server) clock() time.Duration { return time.Since(v.begin) }

// State is what is durable.
func (v *Server) State() *kvstore.State { return v.shown.Load().State }

// Serve answers until ctx ends or the disk is in doubt.
func (v *Server) Serve(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer close(v.done)
		return v.own(ctx)
	})
	g.Go(func() error { return httpserver.Until(ctx, v.http, l) })
	return g.Wait()
}

// own is the goroutine that owns the store.
func (v *Server) own(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	var cmds []Command
	var to []chan Answer
	for {
		cmds, to = cmds[:0], to[:0]
		add := func(a asked) { cmds, to = append(cmds, a.Command), append(to, a.answer) }
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case a := <-v.queue:
			add(a)
		fill:
			for len(cmds) < max(v.set.Batch, 1) {
				select {
				case a := <-v.queue:
					add(a)
				default:
					break fill
				}
			}
		}
		before := v.keep.State()
		began := time.Now()
		answers, err := v.keep.Turn(v.clock(), cmds)
		if after := v.keep.State(); after != before {
			old := v.shown.Swap(&shown{State: after, newer: make(chan struct{})})
			close(old.newer)
			v.mu.Lock()
			_ = v.batches.RecordValue(int64(max(len(cmds), 1)))
			_ = v.syncs.RecordValue(min(max(time.Since(began).Microseconds(), 1), 60_000_000))
			v.mu.Unlock()
		}
		for i, a := range answers {
			to[i] <- a
		}
		if err != nil {
			return fmt.Errorf("the state file may not hold the last write, start again to read it anew: %w", err)
		}
	}
}

func refuse(ctx *fasthttp.RequestCtx, status int, why string) {
	httpserver.Reply(ctx, status, protocol.ErrorResponse{Error: why})
}

// limited answers 429 if a request with so many writes is above the limits. Counted is
// what is served: a refused request takes nothing of the second's worth.
func (v *Server) limited(ctx *fasthttp.RequestCtx, writes int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock()
	if v.requests.fits(now, 1, v.set.RPS) && v.writes.fits(now, float64(writes), v.set.WriteRPS) {
		v.requests.used++
		v.writes.used += float64(writes)
		return false
	}
	v.refused++
	refuse(ctx, 429, "above the limit of requests or writes a second")
	return true
}

func (v *Server) ask(ctx *fasthttp.RequestCtx, c Command) (Answer, bool) {
	a := asked{Command: c, answer: make(chan Answer, 1)}
	select {
	case v.queue <- a:
	default:
		refuse(ctx, 503, "the queue is full")
		return Answer{}, false
	}
	select {
	case r := <-a.answer:
		if r.Status == 0 {
			hangUp(ctx)
			return Answer{}, false
		}
		if r.Status != 200 && r.Status != 409 {
			refuse(ctx, r.Status, r.Why)
			return Answer{}, false
		}
		return r, true
	case <-v.done:
		hangUp(ctx)
		return Answer{}, false
	}
}

// hangUp closes the connection without an answer: whether the request was executed is
// open, and any status would say something about it.
func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { c.Close() })
}

func (v *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/commit" && ctx.IsPost():
		v.commit(ctx)
	case path == "/store" && ctx.IsGet():
		args := ctx.QueryArgs()
		page, err := count(args.Peek("Page"))
		if err != nil {
			refuse(ctx, 400, "Page "+err.Error())
			return
		}
		if !v.limited(ctx, 0) {
			httpserver.Reply(ctx, 200, v.State().Range(string(args.Peek("Starts")), string(args.Peek("Since")), int(min(page, 1<<20))))
		}
	case strings.HasPrefix(path, "/store/") && ctx.IsGet():
		if v.limited(ctx, 0) {
			return
		}
		// Slashes are not escaped, so the key is the path as it was sent; Path would
		// make "a//b" into "a/b".
		key, err := url.PathUnescape(strings.TrimPrefix(string(ctx.URI().PathOriginal()), "/store/"))
		if err != nil {
			refuse(ctx, 400, "the key is not well escaped")
			return
		}
		s := v.State()
		if e, ok := s.Get(key); ok {
			httpserver.Reply(ctx, 200, struct {
				Key     string       `msgpack:"Key"`
				Value   protocol.Raw `msgpack:"Data"`
				Version uint64       `msgpack:"Stamp"`
				Lease   uint64       `msgpack:"Permit,omitempty"`
			}{key, e.Value, e.Version, e.Lease})
			return
		}
		httpserver.Reply(ctx, 404, protocol.TransactionResult{Revision: s.Revision})
	case path == "/holds" && ctx.IsPost():
		var q protocol.LeaseRequest
		if err := protocol.Decode(ctx.PostBody(), &q); err != nil || q.TTLMillis == 0 {
			refuse(ctx, 400, "malformed lease")
			return
		}
		if v.limited(ctx, 0) {
			return
		}
		if a, ok := v.ask(ctx, Command{Grant: q.TTLMillis}); ok {
			httpserver.Reply(ctx, 200, protocol.LeaseResponse{Lease: a.Lease})
		}
	case strings.HasPrefix(path, "/holds/"):
		rest, extend := strings.CutSuffix(strings.TrimPrefix(path, "/holds/"), "/extend")
		id, err := strconv.ParseUint(rest, 10, 64)
		if err != nil || id == 0 || !(extend && ctx.IsPost() || !extend && ctx.IsDelete()) {
			refuse(ctx, 400, "malformed lease")
			return
		}
		if v.limited(ctx, 0) {
			return
		}
		c := Command{Drop: id}
		if extend {
			c = Command{Extend: id}
		}
		if _, ok := v.ask(ctx, c); ok {
			httpserver.Reply(ctx, 200, struct{}{})
		}
	case path == "/follow" && ctx.IsGet():
		v.follow(ctx)
	default:
		refuse(ctx, 404, "no such page")
	}
}

func (v *Server) commit(ctx *fasthttp.RequestCtx) {
	var t kvstore.Txn
	if err := protocol.Decode(ctx.PostBody(), &t); err != nil {
		refuse(ctx, 400, err.Error())
		return
	}
	if why := t.Check(v.set.Limits); why != "" {
		refuse(ctx, 400, why)
		return
	}
	if v.limited(ctx, len(t.Then)) {
		return
	}
	if a, ok := v.ask(ctx, Command{Commit: &t}); ok {
		httpserver.Reply(ctx, a.Status, a.Txn)
	}
}

func (v *Server) follow(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	since, err := count(args.Peek("Since"))
	hold, err2 := count(args.Peek("HoldMs"))
	if err = errors.Join(err, err2); err != nil || hold > 60_000 {
		refuse(ctx, 400, "Since and HoldMs must be whole numbers, HoldMs at most 60000")
		return
	}
	if v.limited(ctx, 0) {
		return
	}
	prefix := string(args.Peek("Starts"))
	until := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer until.Stop()
	over := hold == 0
	for {
		s := v.shown.Load()
		e, ok := s.Since(prefix, since)
		if !ok {
			refuse(ctx, 410, "Since is too old")
			return
		}
		if len(e.Events) > 0 || over {
			httpserver.Reply(ctx, 200, e)
			return
		}
		select {
		case <-s.newer:
		case <-until.C:
			over = true
		case <-v.done:
			hangUp(ctx)
			return
		}
	}
}

func count(b []byte) (uint64, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, err := strconv.ParseUint(string(b), 10, 63)
	if err != nil {
		return 0, errors.New("must be a whole number")
	}
	return n, nil
}

// Figures are what the service counts.
type Figures struct {
	Revision  uint64 `json:"revision"`
	Keys      int    `json:"keys"`
	Refused   int64  `json:"refused"`
	Writes    int64  `json:"disk_writes"`
	BatchP50  int64  `json:"batch_p50"`
	BatchMax  int64  `json:"batch_max"`
	SyncP50us int64  `json:"sync_p50_us"`
	SyncP99us int64  `json:"sync_p99_us"`
}

// Figures sums up what was served since the start.
func (v *Server) Figures() Figures {
	s := v.State()
	v.mu.Lock()
	defer v.mu.Unlock()
	return Figures{Revision: s.Revision, Keys: s.Len(), Refused: v.refused, Writes: v.syncs.TotalCount(),
		BatchP50: v.batches.ValueAtQuantile(50), BatchMax: v.batches.Max(),
		SyncP50us: v.syncs.ValueAtQuantile(50), SyncP99us: v.syncs.ValueAtQuantile(99)}
}
