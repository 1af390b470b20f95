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
	RequestsPerSecond float64 // requests a second
	WritesPerSecond   float64 // puts and deletes a second
	MaxBatch          int     // most commands that share a write to the disk; 1: no batches
}

// Server serves a Keeper.
type Server struct {
	settings  Settings
	applier   *applier
	queue     chan pendingCommand
	startedAt time.Time
	published atomic.Pointer[publishedState]
	http      *fasthttp.Server
	stopped   chan struct{}

	mu           sync.Mutex
	requestLimit rateLimit
	writeLimit   rateLimit
	batchSizes   *hdrhistogram.Histogram // commands per write
	writeMicros  *hdrhistogram.Histogram // µs per turn
	throttled    int64
}

type pendingCommand struct {
	command
	answer chan reply
}

// publishedState is the durable state, which anybody may read, and a channel that is closed when
// there is a newer one.
type publishedState struct {
	*kvstore.State
	superseded chan struct{}
}

// rateLimit is a limit by the second that allows bursts of one second's worth.
type rateLimit struct {
	used      float64
	updatedAt time.Duration
}

func (b *rateLimit) allows(now time.Duration, n, rate float64) bool {
	b.used = max(b.used-(now-b.updatedAt).Seconds()*rate, 0)
	b.updatedAt = now
	return b.used+n <= rate
}

// stallThreshold is how long a silence of our own must last to count as an outage; leases
// are looked at with every tick, since they may end 100 ms late.
const (
	stallThreshold     = time.Second
	leaseCheckInterval = 50 * time.Millisecond // leases may end 100 ms late
)

// New makes a server of a state that was just read from its disk.
func New(set Settings, s *kvstore.State, disk Storage) *Server {
	v := &Server{settings: set, queue: make(chan pendingCommand, 4*max(set.MaxBatch, 256)), startedAt: time.Now(), stopped: make(chan struct{}),
		batchSizes: hdrhistogram.New(1, 1<<20, 2), writeMicros: hdrhistogram.New(1, 60_000_000, 2)}
	v.applier = newApplier(s, disk, 0, stallThreshold)
	v.published.Store(&publishedState{State: s, superseded: make(chan struct{})})
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

func (v *Server) clock() time.Duration { return time.Since(v.startedAt) }

// State is what is durable.
func (v *Server) State() *kvstore.State { return v.published.Load().State }

// Serve answers until ctx ends or the disk is in doubt.
func (v *Server) Serve(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		defer close(v.stopped)
		return v.applyLoop(ctx)
	})
	g.Go(func() error { return httpserver.Until(ctx, v.http, l) })
	return g.Wait()
}

// applyLoop is the goroutine that owns the store.
func (v *Server) applyLoop(ctx context.Context) error {
	t := time.NewTicker(leaseCheckInterval)
	defer t.Stop()
	var cmds []command
	var to []chan reply
	for {
		cmds, to = cmds[:0], to[:0]
		add := func(a pendingCommand) { cmds, to = append(cmds, a.command), append(to, a.answer) }
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		case a := <-v.queue:
			add(a)
		fill:
			for len(cmds) < max(v.settings.MaxBatch, 1) {
				select {
				case a := <-v.queue:
					add(a)
				default:
					break fill
				}
			}
		}
		before := v.applier.committedState()
		began := time.Now()
		answers, err := v.applier.apply(v.clock(), cmds)
		if after := v.applier.committedState(); after != before {
			old := v.published.Swap(&publishedState{State: after, superseded: make(chan struct{})})
			close(old.superseded)
			v.mu.Lock()
			_ = v.batchSizes.RecordValue(int64(max(len(cmds), 1)))
			_ = v.writeMicros.RecordValue(min(max(time.Since(began).Microseconds(), 1), 60_000_000))
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

func replyError(ctx *fasthttp.RequestCtx, status int, why string) {
	httpserver.Reply(ctx, status, protocol.ErrorResponse{Error: why})
}

// throttle answers 429 if a request with so many writes is above the limits. Counted is
// what is served: a refused request takes nothing of the second's worth.
func (v *Server) throttle(ctx *fasthttp.RequestCtx, writes int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock()
	if v.requestLimit.allows(now, 1, v.settings.RequestsPerSecond) && v.writeLimit.allows(now, float64(writes), v.settings.WritesPerSecond) {
		v.requestLimit.used++
		v.writeLimit.used += float64(writes)
		return false
	}
	v.throttled++
	replyError(ctx, 429, "above the limit of requests or writes a second")
	return true
}

func (v *Server) submit(ctx *fasthttp.RequestCtx, c command) (reply, bool) {
	a := pendingCommand{command: c, answer: make(chan reply, 1)}
	select {
	case v.queue <- a:
	default:
		replyError(ctx, 503, "the queue is full")
		return reply{}, false
	}
	select {
	case r := <-a.answer:
		if r.status == 0 {
			abortConnection(ctx)
			return reply{}, false
		}
		if r.status != 200 && r.status != 409 {
			replyError(ctx, r.status, r.reason)
			return reply{}, false
		}
		return r, true
	case <-v.stopped:
		abortConnection(ctx)
		return reply{}, false
	}
}

// abortConnection closes the connection without an answer: whether the request was executed is
// open, and any status would say something about it.
func abortConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { c.Close() })
}

func (v *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/commit" && ctx.IsPost():
		v.handleCommit(ctx)
	case path == "/store" && ctx.IsGet():
		args := ctx.QueryArgs()
		page, err := parseCount(args.Peek("Page"))
		if err != nil {
			replyError(ctx, 400, "Page "+err.Error())
			return
		}
		if !v.throttle(ctx, 0) {
			httpserver.Reply(ctx, 200, v.State().Range(string(args.Peek("Starts")), string(args.Peek("Since")), int(min(page, 1<<20))))
		}
	case strings.HasPrefix(path, "/store/") && ctx.IsGet():
		if v.throttle(ctx, 0) {
			return
		}
		// Slashes are not escaped, so the key is the path as it was sent; Path would
		// make "a//b" into "a/b".
		key, err := url.PathUnescape(strings.TrimPrefix(string(ctx.URI().PathOriginal()), "/store/"))
		if err != nil {
			replyError(ctx, 400, "the key is not well escaped")
			return
		}
		s := v.State()
		if e, ok := s.Get(key); ok {
			httpserver.Reply(ctx, 200, struct {
				Key     string       `msgpack:"Key"`
				Value   protocol.Raw `msgpack:"Data"`
				Version uint64       `msgpack:"Stamp"`
				Lease   uint64       `msgpack:"Permit,omitempty"`
			}{key, e.Value, e.Version, e.LeaseID})
			return
		}
		httpserver.Reply(ctx, 404, protocol.TransactionResult{Revision: s.Revision})
	case path == "/holds" && ctx.IsPost():
		var q protocol.LeaseRequest
		if err := protocol.Decode(ctx.PostBody(), &q); err != nil || q.TTLMillis == 0 {
			replyError(ctx, 400, "malformed lease")
			return
		}
		if v.throttle(ctx, 0) {
			return
		}
		if a, ok := v.submit(ctx, command{grantTTLMillis: q.TTLMillis}); ok {
			httpserver.Reply(ctx, 200, protocol.LeaseResponse{Lease: a.leaseID})
		}
	case strings.HasPrefix(path, "/holds/"):
		rest, extend := strings.CutSuffix(strings.TrimPrefix(path, "/holds/"), "/extend")
		id, err := strconv.ParseUint(rest, 10, 64)
		if err != nil || id == 0 || !(extend && ctx.IsPost() || !extend && ctx.IsDelete()) {
			replyError(ctx, 400, "malformed lease")
			return
		}
		if v.throttle(ctx, 0) {
			return
		}
		c := command{revokeLeaseID: id}
		if extend {
			c = command{renewLeaseID: id}
		}
		if _, ok := v.submit(ctx, c); ok {
			httpserver.Reply(ctx, 200, struct{}{})
		}
	case path == "/follow" && ctx.IsGet():
		v.handleWatch(ctx)
	default:
		replyError(ctx, 404, "no such page")
	}
}

func (v *Server) handleCommit(ctx *fasthttp.RequestCtx) {
	var t kvstore.Txn
	if err := protocol.Decode(ctx.PostBody(), &t); err != nil {
		replyError(ctx, 400, err.Error())
		return
	}
	if why := t.Validate(v.settings.Limits); why != "" {
		replyError(ctx, 400, why)
		return
	}
	if v.throttle(ctx, len(t.Then)) {
		return
	}
	if a, ok := v.submit(ctx, command{commit: &t}); ok {
		httpserver.Reply(ctx, a.status, a.txn)
	}
}

func (v *Server) handleWatch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	since, err := parseCount(args.Peek("Since"))
	hold, err2 := parseCount(args.Peek("HoldMs"))
	if err = errors.Join(err, err2); err != nil || hold > 60_000 {
		replyError(ctx, 400, "Since and HoldMs must be whole numbers, HoldMs at most 60000")
		return
	}
	if v.throttle(ctx, 0) {
		return
	}
	prefix := string(args.Peek("Starts"))
	until := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer until.Stop()
	over := hold == 0
	for {
		s := v.published.Load()
		e, ok := s.EventsSince(prefix, since)
		if !ok {
			replyError(ctx, 410, "Since is too old")
			return
		}
		if len(e.Events) > 0 || over {
			httpserver.Reply(ctx, 200, e)
			return
		}
		select {
		case <-s.superseded:
		case <-until.C:
			over = true
		case <-v.stopped:
			abortConnection(ctx)
			return
		}
	}
}

func parseCount(b []byte) (uint64, error) {
	if len(b) == 0 {
		return 0, nil
	}
	n, err := strconv.ParseUint(string(b), 10, 63)
	if err != nil {
		return 0, errors.New("must be a whole number")
	}
	return n, nil
}

// Metrics are what the service counts.
type Metrics struct {
	Revision       uint64 `json:"revision"`
	Keys           int    `json:"keys"`
	Throttled      int64  `json:"refused"`
	Writes         int64  `json:"disk_writes"`
	BatchP50       int64  `json:"batch_p50"`
	BatchMax       int64  `json:"batch_max"`
	WriteP50Micros int64  `json:"sync_p50_us"`
	WriteP99Micros int64  `json:"sync_p99_us"`
}

// Metrics sums up what was served since the start.
func (v *Server) Metrics() Metrics {
	s := v.State()
	v.mu.Lock()
	defer v.mu.Unlock()
	return Metrics{Revision: s.Revision, Keys: s.Len(), Throttled: v.throttled, Writes: v.writeMicros.TotalCount(),
		BatchP50: v.batchSizes.ValueAtQuantile(50), BatchMax: v.batchSizes.Max(),
		WriteP50Micros: v.writeMicros.ValueAtQuantile(50), WriteP99Micros: v.writeMicros.ValueAtQuantile(99)}
}
