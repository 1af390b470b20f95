package artifacts

import (
	"context"
	"errors"
	"io/fs"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/httpserver"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// maxRequestBytes leaves room for a description's or an output's headers.
const maxRequestBytes = MaxOutputBytes + 4096

// errJobIDMismatch says that a description was put under another job's id.
var errJobIDMismatch = errors.New("the description is of another job")

// Serve answers requests until ctx ends.
func (s *Store) Serve(ctx context.Context, l net.Listener) error {
	srv := &fasthttp.Server{
		Handler:               s.handleRequest,
		Name:                  "chalk-depot",
		MaxRequestBodySize:    maxRequestBytes,
		IdleTimeout:           2 * time.Minute,
		ReadTimeout:           2 * time.Minute, // an upload over a slow link
		WriteTimeout:          10 * time.Second,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	return httpserver.Serve(ctx, srv, l)
}

// route is what a request asks for: its pattern and the values in the pattern's braces.
type route struct {
	pattern string
	job     string
	task    int
	attempt uint64
}

// parseRoute reads a request's method and path. Names in paths become file names, so
// nothing but a job's id and numbers may pass.
func parseRoute(ctx *fasthttp.RequestCtx) (r route, ok bool) {
	parts := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	if parts[0] != "jobs" || len(parts) > 5 {
		return r, false
	}
	r.pattern = string(ctx.Method()) + " /jobs"
	if len(parts) > 1 {
		r.pattern += "/{job}"
		r.job = parts[1]
		if !protocol.ValidJobID(r.job) {
			return r, false
		}
	}
	if len(parts) > 2 {
		r.pattern += "/" + parts[2]
	}
	if len(parts) > 3 {
		r.pattern += "/{task}"
		task, err := strconv.ParseUint(parts[3], 10, 63)
		if err != nil {
			return r, false
		}
		r.task = int(task)
	}
	if len(parts) > 4 {
		r.pattern += "/{attempt}"
		attempt, err := strconv.ParseUint(parts[4], 10, 63)
		if err != nil {
			return r, false
		}
		r.attempt = attempt
	}
	return r, true
}

func (s *Store) handleRequest(ctx *fasthttp.RequestCtx) {
	r, ok := parseRoute(ctx)
	if !ok {
		replyNotFound(ctx)
		return
	}
	switch r.pattern {
	case "GET /jobs":
		skip, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("Skip"))) // none: from the newest on
		httpserver.Reply(ctx, fasthttp.StatusOK, s.Jobs(max(skip, 0)))
	case "PUT /jobs/{job}":
		s.handlePutJob(ctx, r.job)
	case "GET /jobs/{job}":
		description, err := s.Job(r.job)
		reply(ctx, description, err)
	case "PUT /jobs/{job}/results/{task}":
		reply(ctx, struct{}{}, s.PutResult(r.job, r.task))
	case "GET /jobs/{job}/results/{task}":
		httpserver.Reply(ctx, fasthttp.StatusOK, protocol.ResultStatus{Done: s.Done(r.job, r.task)})
	case "GET /jobs/{job}/output":
		httpserver.Reply(ctx, fasthttp.StatusOK, s.Outputs(r.job))
	case "PUT /jobs/{job}/output/{task}/{attempt}":
		reply(ctx, struct{}{}, s.PutOutput(r.job, r.task, r.attempt, ctx.PostBody()))
	case "GET /jobs/{job}/output/{task}/{attempt}":
		s.handleGetOutput(ctx, r)
	default:
		replyNotFound(ctx)
	}
}

func (s *Store) handlePutJob(ctx *fasthttp.RequestCtx, job string) {
	var description protocol.JobDescription
	err := protocol.Decode(ctx.PostBody(), &description)
	if err == nil {
		err = description.Validate()
	}
	if err == nil && description.Job.ID != job {
		err = errJobIDMismatch
	}
	if err != nil {
		httpserver.Reply(ctx, fasthttp.StatusBadRequest, protocol.ErrorResponse{Error: err.Error()})
		return
	}
	reply(ctx, struct{}{}, s.PutJob(&description))
}

func (s *Store) handleGetOutput(ctx *fasthttp.RequestCtx, r route) {
	output, err := s.Output(r.job, r.task, r.attempt)
	if err != nil {
		replyError(ctx, err)
		return
	}
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.Response.SetBodyRaw(output)
}

// reply answers with a body, or with the error if there is one.
func reply(ctx *fasthttp.RequestCtx, body any, err error) {
	if err != nil {
		replyError(ctx, err)
		return
	}
	httpserver.Reply(ctx, fasthttp.StatusOK, body)
}

func replyError(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, fs.ErrNotExist):
		httpserver.Reply(ctx, fasthttp.StatusNotFound, protocol.ErrorResponse{Error: "not there"})
	case errors.Is(err, ErrConflict):
		httpserver.Reply(ctx, fasthttp.StatusConflict, protocol.ErrorResponse{Error: err.Error()})
	default:
		httpserver.Reply(ctx, fasthttp.StatusServiceUnavailable, protocol.ErrorResponse{Error: err.Error()})
	}
}

func replyNotFound(ctx *fasthttp.RequestCtx) {
	httpserver.Reply(ctx, fasthttp.StatusNotFound, protocol.ErrorResponse{Error: "no such page"})
}
