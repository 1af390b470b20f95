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

// maxRequestBytes is the size limit of a request: the largest output, with a margin of 4096 bytes for
// the headers of an output or a description.
const maxRequestBytes = MaxOutputBytes + 4096

// errJobIDMismatch rejects a description that is uploaded to the path of another job's id.
var errJobIDMismatch = errors.New("the description is of another job")

// Serve handles requests on a listener until ctx ends, and then returns ctx's error. It closes the
// listener.
func (s *Store) Serve(ctx context.Context, l net.Listener) error {
	srv := &fasthttp.Server{
		Handler:               s.handleRequest,
		Name:                  "chalk-depot",
		MaxRequestBodySize:    maxRequestBytes,
		IdleTimeout:           2 * time.Minute,
		ReadTimeout:           2 * time.Minute, // allows for an upload over a slow link
		WriteTimeout:          10 * time.Second,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	return httpserver.Serve(ctx, srv, l)
}

// route is a parsed request line: the pattern that it matches, and the values of the pattern's
// placeholders.
type route struct {
	pattern string
	job     string
	task    int
	attempt uint64
}

// parseRoute parses a request's method and path. The values of the placeholders become file names, so
// only a valid job id and numbers are accepted; everything else could lead out of the store's
// directory.
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
		skip, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("Skip"))) // missing or malformed: 0, the page of the newest jobs
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

// reply responds with status 200 and a body, or with the error if it isn't nil.
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
