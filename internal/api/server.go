// Package api is the HTTP server of a controller for users, workers and the load balancer's
// health checks. It decodes requests, bounds how many of a kind are in flight, and passes
// them to the engine; it holds no other state and decides nothing about jobs.
package api

import (
	"context"
	"errors"
	"math"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Engine is the engine as the server sees it.
type Engine interface {
	Ask(func(core.RequestID) core.Command, time.Duration) (core.Reply, bool)
	Ready() bool
}

// Server answers HTTP requests.
type Server struct {
	engine  Engine
	http    *fasthttp.Server
	timeout time.Duration
	limits  map[string]*concurrencyLimit // by kind of request
}

// concurrencyLimit bounds how many requests of one kind are under way at once.
//
// Guards against users who poll many times as often as usual: their queries must not
// keep heartbeats, submissions and cancellations out.
type concurrencyLimit struct {
	maxInFlight int64
	inFlight    atomic.Int64
	rejected    atomic.Int64
}

// acquire reports whether one more request may be served; release must follow if so.
func (l *concurrencyLimit) acquire() bool {
	if l.inFlight.Add(1) > l.maxInFlight {
		l.inFlight.Add(-1)
		l.rejected.Add(1)
		return false
	}
	return true
}

func (l *concurrencyLimit) release() { l.inFlight.Add(-1) }

// Kinds of request that a server takes.
const (
	kindHeartbeat = "report"
	kindSubmit    = "submit"
	kindQuery     = "query"
	kindCancel    = "abort"
)

// Rejected counts the requests of each kind that found too many of it in flight, or the
// engine's queue full.
func (s *Server) Rejected() map[string]int64 {
	out := map[string]int64{}
	for kind, limit := range s.limits {
		out[kind] = limit.rejected.Load()
	}
	return out
}

// userConnectionDivisor is the part of the connections, one in so many, that each kind of user request
// may take.
const userConnectionDivisor = 4

// replyTimeout is how long a user's request may take: below the 2 s that a poll
// waits, so that the answer to repeat it still arrives.
const replyTimeout = 1800 * time.Millisecond

// New makes a server that holds at most conns connections.
func New(engine Engine, conns int) *Server {
	s := &Server{engine: engine, timeout: replyTimeout, limits: map[string]*concurrencyLimit{}}
	// Each kind of user request may take a quarter of the connections, heartbeats all of them.
	for kind, limit := range map[string]int{kindHeartbeat: conns, kindSubmit: conns / userConnectionDivisor, kindQuery: conns / userConnectionDivisor, kindCancel: conns / userConnectionDivisor} {
		s.limits[kind] = &concurrencyLimit{maxInFlight: int64(max(limit, 1))}
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          replyMalformed,
		Name:                  "chalkhub",
		Concurrency:           conns,
		MaxRequestBodySize:    protocol.MaxBody,
		ReadBufferSize:        4096,
		WriteBufferSize:       4096,
		IdleTimeout:           2 * time.Minute,
		ReadTimeout:           2 * time.Minute,
		WriteTimeout:          10 * time.Second,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
	}
	return s
}

// Serve answers until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	err := s.http.Serve(l)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func replyMalformed(ctx *fasthttp.RequestCtx, err error) {
	why := "malformed request"
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		why = "the body is over 64 KiB"
	}
	writeReply(ctx, fasthttp.StatusBadRequest, protocol.ErrorResponse{Error: why}, 0)
}

func writeReply(ctx *fasthttp.RequestCtx, status int, body any, retry time.Duration) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType(protocol.ContentType)
	if retry > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
	}
	ctx.Response.SetBodyRaw(protocol.Encode(body))
}

const runsPath = "/v2/runs"

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/v1/report" && ctx.IsPost():
		s.handleHeartbeat(ctx)
	case path == runsPath && ctx.IsPost():
		job, err := protocol.DecodeJob(ctx.PostBody())
		if err != nil {
			writeReply(ctx, fasthttp.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()}, 0)
			return
		}
		s.forward(ctx, kindSubmit, func(id core.RequestID) core.Command { return core.SubmitJob{ID: id, Spec: job} })
	case path == "/ready" && ctx.IsGet():
		if s.engine.Ready() {
			ctx.SetStatusCode(fasthttp.StatusOK)
		} else {
			writeReply(ctx, fasthttp.StatusServiceUnavailable, protocol.ErrorResponse{Error: "not ready"}, time.Second)
		}
	case strings.HasPrefix(path, runsPath+"/"):
		ref, verb, _ := strings.Cut(path[len(runsPath)+1:], "/")
		switch {
		case verb == "" && ctx.IsGet():
			s.forward(ctx, kindQuery, func(id core.RequestID) core.Command { return core.QueryJob{ID: id, JobID: ref} })
		case verb == "abort" && ctx.IsPost():
			s.forward(ctx, kindCancel, func(id core.RequestID) core.Command { return core.CancelJob{ID: id, JobID: ref} })
		default:
			writeReply(ctx, fasthttp.StatusNotFound, protocol.ErrorResponse{Error: "no such page"}, 0)
		}
	default:
		writeReply(ctx, fasthttp.StatusNotFound, protocol.ErrorResponse{Error: "no such page"}, 0)
	}
}

func (s *Server) handleHeartbeat(ctx *fasthttp.RequestCtx) {
	var rep protocol.Heartbeat
	if err := protocol.Decode(ctx.PostBody(), &rep); err != nil || rep.Machine == "" {
		writeReply(ctx, fasthttp.StatusBadRequest, protocol.ErrorResponse{Error: "malformed report"}, 0)
		return
	}
	s.forward(ctx, kindHeartbeat, func(id core.RequestID) core.Command { return core.Heartbeat{ID: id, Report: rep} })
	if ctx.Response.StatusCode() == fasthttp.StatusMisdirectedRequest {
		ctx.SetConnectionClose()
	}
}

func (s *Server) forward(ctx *fasthttp.RequestCtx, kind string, build func(core.RequestID) core.Command) {
	limit := s.limits[kind]
	if !limit.acquire() {
		writeReply(ctx, fasthttp.StatusServiceUnavailable, protocol.ErrorResponse{Error: "too many requests of this kind"}, time.Second)
		return
	}
	defer limit.release()
	r, ok := s.engine.Ask(build, s.timeout)
	if !ok {
		limit.rejected.Add(1)
		writeReply(ctx, fasthttp.StatusServiceUnavailable, protocol.ErrorResponse{Error: "busy"}, time.Second)
		return
	}
	writeReply(ctx, int(r.Status), r.Body, r.RetryAfter)
}
