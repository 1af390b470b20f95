// Package api implements a controller's HTTP server for users, workers and the load balancer's health
// checks. It decodes requests, limits how many of each kind are in flight, and forwards them to the
// engine. It holds no other state and decides nothing about jobs.
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

// Engine is what the server needs of the controller's engine. Its methods must be safe for concurrent
// use. Ask hands the engine a command built for a new request id and waits for the reply, at most for
// the given time; it returns false if the engine's queue is full or no reply came in time. Ready
// reports whether the controller can serve requests.
type Engine interface {
	Ask(func(core.RequestID) core.Command, time.Duration) (core.Reply, bool)
	Ready() bool
}

// Server is the HTTP server of a controller.
type Server struct {
	engine  Engine
	http    *fasthttp.Server
	timeout time.Duration
	limits  map[string]*concurrencyLimit // by kind of request
}

// concurrencyLimit limits how many requests of one kind are in flight.
//
// Guards against users who poll many times as often as usual: their queries must not take the
// capacity that heartbeats, submissions and cancellations need.
type concurrencyLimit struct {
	maxInFlight int64
	inFlight    atomic.Int64
	rejected    atomic.Int64
}

// acquire reports whether one more request may be served. If so, the caller must call release after it.
func (l *concurrencyLimit) acquire() bool {
	if l.inFlight.Add(1) > l.maxInFlight {
		l.inFlight.Add(-1)
		l.rejected.Add(1)
		return false
	}
	return true
}

func (l *concurrencyLimit) release() { l.inFlight.Add(-1) }

// Kinds of request. Each has a limit of its own.
const (
	kindHeartbeat = "report"
	kindSubmit    = "submit"
	kindQuery     = "query"
	kindCancel    = "abort"
)

// Rejected returns, by kind, how many requests were rejected because too many of the kind were in
// flight, the engine's queue was full, or the engine did not reply in time.
func (s *Server) Rejected() map[string]int64 {
	out := map[string]int64{}
	for kind, limit := range s.limits {
		out[kind] = limit.rejected.Load()
	}
	return out
}

// userConnectionDivisor is the number by which the number of connections is divided for the limit of
// each kind of user request.
const userConnectionDivisor = 4

// replyTimeout is how long the engine may take to reply to a request. It is below the 2 s that a
// client waits for the response to a query, so that the client still receives the 503 that asks it
// to retry.
const replyTimeout = 1800 * time.Millisecond

// New returns a server that serves at most maxConns connections at a time.
func New(engine Engine, maxConns int) *Server {
	s := &Server{engine: engine, timeout: replyTimeout, limits: map[string]*concurrencyLimit{}}
	// Each kind of user request may use a quarter of the connections, heartbeats may use all of them.
	for kind, limit := range map[string]int{kindHeartbeat: maxConns, kindSubmit: maxConns / userConnectionDivisor, kindQuery: maxConns / userConnectionDivisor, kindCancel: maxConns / userConnectionDivisor} {
		s.limits[kind] = &concurrencyLimit{maxInFlight: int64(max(limit, 1))}
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          replyMalformed,
		Name:                  "chalkhub",
		Concurrency:           maxConns,
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

// Serve handles requests on a listener until ctx ends, and then returns ctx's error. It closes the
// listener.
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
	text := "malformed request"
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		text = "the body is over 64 KiB"
	}
	writeReply(ctx, fasthttp.StatusBadRequest, protocol.ErrorResponse{Error: text}, 0)
}

func writeReply(ctx *fasthttp.RequestCtx, status int, body any, retryAfter time.Duration) {
	ctx.Response.ResetBody()
	ctx.SetStatusCode(status)
	ctx.SetContentType(protocol.ContentType)
	if retryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
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
		jobID, action, _ := strings.Cut(path[len(runsPath)+1:], "/")
		switch {
		case action == "" && ctx.IsGet():
			s.forward(ctx, kindQuery, func(id core.RequestID) core.Command { return core.QueryJob{ID: id, JobID: jobID} })
		case action == "abort" && ctx.IsPost():
			s.forward(ctx, kindCancel, func(id core.RequestID) core.Command { return core.CancelJob{ID: id, JobID: jobID} })
		default:
			writeReply(ctx, fasthttp.StatusNotFound, protocol.ErrorResponse{Error: "no such page"}, 0)
		}
	default:
		writeReply(ctx, fasthttp.StatusNotFound, protocol.ErrorResponse{Error: "no such page"}, 0)
	}
}

func (s *Server) handleHeartbeat(ctx *fasthttp.RequestCtx) {
	var heartbeat protocol.Heartbeat
	if err := protocol.Decode(ctx.PostBody(), &heartbeat); err != nil || heartbeat.Machine == "" {
		writeReply(ctx, fasthttp.StatusBadRequest, protocol.ErrorResponse{Error: "malformed report"}, 0)
		return
	}
	s.forward(ctx, kindHeartbeat, func(id core.RequestID) core.Command { return core.Heartbeat{ID: id, Report: heartbeat} })
	if ctx.Response.StatusCode() == fasthttp.StatusMisdirectedRequest {
		ctx.SetConnectionClose()
	}
}

func (s *Server) forward(ctx *fasthttp.RequestCtx, kind string, newCommand func(core.RequestID) core.Command) {
	limit := s.limits[kind]
	if !limit.acquire() {
		writeReply(ctx, fasthttp.StatusServiceUnavailable, protocol.ErrorResponse{Error: "too many requests of this kind"}, time.Second)
		return
	}
	defer limit.release()
	reply, ok := s.engine.Ask(newCommand, s.timeout)
	if !ok {
		limit.rejected.Add(1)
		writeReply(ctx, fasthttp.StatusServiceUnavailable, protocol.ErrorResponse{Error: "busy"}, time.Second)
		return
	}
	writeReply(ctx, int(reply.Status), reply.Body, reply.RetryAfter)
}
