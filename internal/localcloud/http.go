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
	// maxPage is the most machines that the protocol lists on a page.
	maxPage = 500

	// burstSeconds is how many seconds' worth of requests may come at once.
	burstSeconds = 2
)

// rateLimit is a leaky bucket of requests.
type rateLimit struct {
	perSecond float64
	level     float64   // how full the bucket is
	updatedAt time.Time // when that was
}

// allow reports whether one more request may come now, and counts it if so.
func (r *rateLimit) allow(now time.Time) bool {
	r.level = max(r.level-now.Sub(r.updatedAt).Seconds()*r.perSecond, 0)
	r.updatedAt = now
	if r.level+1 > burstSeconds*r.perSecond {
		return false
	}
	r.level++
	return true
}

// Serve serves requests until ctx ends; then it deletes all machines.
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
		// For `chalkhubctl local` and its tests.
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
