// Package api serves users, workers and health checks.
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

// Asker is the engine as the server sees it.
type Asker interface {
	Ask(func(core.RequestID) core.Command, time.Duration) (core.Reply, bool)
	Ready() bool
}

// Server answers HTTP requests.
type Server struct {
	engine  Asker
	http    *fasthttp.Server
	timeout time.Duration
	gates   map[string]*gate // by kind of request
}

// gate bounds how many requests of one kind are under way at once.
//
// Guards against users who ask many times as often as usual: their polls must not
// keep workers' reports, submissions and cancellations out.
type gate struct {
	limit   int64
	inside  atomic.Int64
	refused atomic.Int64
}

// enter reports whether one more request may come in; leave must follow if so.
func (g *gate) enter() bool {
	if g.inside.Add(1) > g.limit {
		g.inside.Add(-1)
		g.refused.Add(1)
		return false
	}
	return true
}

func (g *gate) leave() { g.inside.Add(-1) }

// Kinds of request that a server takes.
const (
	kindReport = "report"
	kindSubmit = "submit"
	kindQuery  = "query"
	kindAbort  = "abort"
)

// Refused tells how many requests of each kind found too many of it under way, or
// the queue full.
func (s *Server) Refused() map[string]int64 {
	out := map[string]int64{}
	for kind, g := range s.gates {
		out[kind] = g.refused.Load()
	}
	return out
}

// patience is how long a user's request may take: below the 2 s that a poll
// waits, so that the answer to repeat it still arrives.
const patience = 1800 * time.Millisecond

// New makes a server that holds at most conns connections.
func New(engine Asker, conns int) *Server {
	s := &Server{engine: engine, timeout: patience, gates: map[string]*gate{}}
	// A quarter for each kind of user's request; reports may fill the rest.
	for kind, limit := range map[string]int{kindReport: conns, kindSubmit: conns / 4, kindQuery: conns / 4, kindAbort: conns / 4} {
		s.gates[kind] = &gate{limit: int64(max(limit, 1))}
	}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          broken,
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
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	err := s.http.Serve(l)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func broken(ctx *fasthttp.RequestCtx, err error) {
	why := "malformed request"
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		why = "the body is over 64 KiB"
	}
	write(ctx, 400, protocol.ErrorResponse{Error: why}, 0)
}

func write(ctx *fasthttp.RequestCtx, status int, body any, retry time.Duration) {
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
		s.report(ctx)
	case path == runsPath && ctx.IsPost():
		job, err := protocol.DecodeJob(ctx.PostBody())
		if err != nil {
			write(ctx, 400, protocol.ErrorResponse{Error: err.Error()}, 0)
			return
		}
		s.ask(ctx, kindSubmit, func(id core.RequestID) core.Command { return core.SubmitJob{ID: id, Spec: job} })
	case path == "/ready" && ctx.IsGet():
		if s.engine.Ready() {
			ctx.SetStatusCode(200)
		} else {
			write(ctx, 503, protocol.ErrorResponse{Error: "not ready"}, time.Second)
		}
	case strings.HasPrefix(path, runsPath+"/"):
		ref, verb, _ := strings.Cut(path[len(runsPath)+1:], "/")
		switch {
		case verb == "" && ctx.IsGet():
			s.ask(ctx, kindQuery, func(id core.RequestID) core.Command { return core.QueryJob{ID: id, JobID: ref} })
		case verb == "abort" && ctx.IsPost():
			s.ask(ctx, kindAbort, func(id core.RequestID) core.Command { return core.CancelJob{ID: id, JobID: ref} })
		default:
			write(ctx, 404, protocol.ErrorResponse{Error: "no such page"}, 0)
		}
	default:
		write(ctx, 404, protocol.ErrorResponse{Error: "no such page"}, 0)
	}
}

func (s *Server) report(ctx *fasthttp.RequestCtx) {
	var rep protocol.Heartbeat
	if err := protocol.Decode(ctx.PostBody(), &rep); err != nil || rep.Machine == "" {
		write(ctx, 400, protocol.ErrorResponse{Error: "malformed report"}, 0)
		return
	}
	s.ask(ctx, kindReport, func(id core.RequestID) core.Command { return core.Heartbeat{ID: id, Report: rep} })
	if ctx.Response.StatusCode() == 421 {
		ctx.SetConnectionClose()
	}
}

func (s *Server) ask(ctx *fasthttp.RequestCtx, kind string, build func(core.RequestID) core.Command) {
	g := s.gates[kind]
	if !g.enter() {
		write(ctx, 503, protocol.ErrorResponse{Error: "too many requests of this kind"}, time.Second)
		return
	}
	defer g.leave()
	r, ok := s.engine.Ask(build, s.timeout)
	if !ok {
		g.refused.Add(1)
		write(ctx, 503, protocol.ErrorResponse{Error: "busy"}, time.Second)
		return
	}
	write(ctx, int(r.Status), r.Body, r.RetryAfter)
}
