package localcloud

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/httpserver"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// maxPage is the maximum number of machines per page of a list in the protocol.
	maxPage = 500

	// burstSeconds is the size of the largest burst of requests, in seconds at the rate limit.
	burstSeconds = 2
)

// rateLimit limits the rate of requests as a leaky bucket. Cloud.mu guards it.
type rateLimit struct {
	perSecond float64
	level     float64 // number of requests in the bucket at updatedAt
	updatedAt time.Time
}

// allow reports whether one more request is within the limit, and counts it if so.
func (r *rateLimit) allow(now time.Time) bool {
	r.level = max(r.level-now.Sub(r.updatedAt).Seconds()*r.perSecond, 0)
	r.updatedAt = now
	if r.level+1 > burstSeconds*r.perSecond {
		return false
	}
	r.level++
	return true
}

// Serve serves requests on l, which it closes, until ctx ends. Then it deletes all machines and closes
// the journal. After ctx has ended, the returned error wraps ctx's error. Serve may be called only
// once.
func (c *Cloud) Serve(ctx context.Context, l net.Listener) error {
	srv := &fasthttp.Server{
		Handler:               c.handleRequest,
		Name:                  "chalk-cloud",
		MaxRequestBodySize:    protocol.MaxBody,
		IdleTimeout:           time.Minute,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
	}
	err := httpserver.Serve(ctx, srv, l)
	return errors.Join(err, c.delete(c.machineNames()), c.journal.Close())
}

func (c *Cloud) machineNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.machines))
	for name := range c.machines {
		names = append(names, name)
	}
	return names
}

func (c *Cloud) allowRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rateLimit.allow(time.Now())
}

func (c *Cloud) handleRequest(ctx *fasthttp.RequestCtx) {
	if !c.allowRequest() {
		replyError(ctx, fasthttp.StatusTooManyRequests, "above the limit of requests a second")
		return
	}
	switch string(ctx.Method()) + " " + string(ctx.Path()) {
	case "GET /machine_types":
		httpserver.Reply(ctx, fasthttp.StatusOK, c.machineTypes())
	case "POST /machines":
		c.handleCreate(ctx)
	case "GET /machines":
		c.handleList(ctx)
	case "POST /machines/delete":
		c.handleDelete(ctx)
	case "GET /processes":
		// This path serves `chalkhubctl local` and its tests.
		httpserver.Reply(ctx, fasthttp.StatusOK, c.processIDs())
	default:
		replyError(ctx, fasthttp.StatusNotFound, "no such page")
	}
}

func (c *Cloud) handleCreate(ctx *fasthttp.RequestCtx) {
	var r protocol.CreateMachinesRequest
	if err := protocol.Decode(ctx.PostBody(), &r); err != nil {
		replyError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	names, err := c.create(r)
	switch {
	case errors.Is(err, errInvalidCreate):
		replyError(ctx, fasthttp.StatusBadRequest, err.Error())
	case err != nil:
		replyError(ctx, fasthttp.StatusServiceUnavailable, err.Error())
	default:
		httpserver.Reply(ctx, fasthttp.StatusOK, protocol.MachineNames{Machines: names})
	}
}

func (c *Cloud) handleList(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	pageSize, err := strconv.Atoi(string(args.Peek("Page")))
	if err != nil || pageSize < 1 || pageSize > maxPage {
		pageSize = maxPage
	}
	httpserver.Reply(ctx, fasthttp.StatusOK, c.list(string(args.Peek("Since")), pageSize))
}

func (c *Cloud) handleDelete(ctx *fasthttp.RequestCtx) {
	var r protocol.MachineNames
	if err := protocol.Decode(ctx.PostBody(), &r); err != nil || len(r.Machines) > protocol.MaxDelete {
		replyError(ctx, fasthttp.StatusBadRequest, "malformed list of machines")
		return
	}
	if err := c.delete(r.Machines); err != nil {
		replyError(ctx, fasthttp.StatusServiceUnavailable, err.Error())
		return
	}
	httpserver.Reply(ctx, fasthttp.StatusOK, struct{}{})
}

func replyError(ctx *fasthttp.RequestCtx, status int, text string) {
	httpserver.Reply(ctx, status, protocol.ErrorResponse{Error: text})
}
