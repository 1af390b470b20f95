// Package kvclient is the client of the state service.
package kvclient

import (
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/engine"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

// loadPageKeys is how many keys are read at once: the most that the service gives.
const loadPageKeys = 1000

// Client talks to the state service. Its methods block.
type Client struct {
	rpc     *rpc.Client
	address string
	timeout time.Duration
	clock   func() time.Duration
}

// minConnections is how many connections a client may open at the least.
const minConnections = 64

// socketsPerConnection of a process's sockets, one in so many, may go to the state service: what a site of
// 1,454 machines, with 2,885 sockets and 250 requests a second, has at the least, and a larger
// site in proportion. While the service answers slowly, requests under way are as many as its
// requests a second times the seconds that it takes.
const socketsPerConnection = 48

// New makes a client of a process that may open maxSockets; timeout bounds each call beyond
// what a watch holds.
func New(addr string, timeout time.Duration, maxSockets int, clock func() time.Duration) *Client {
	conns := max(maxSockets/socketsPerConnection, minConnections)
	return &Client{rpc: rpc.New(conns, timeout), address: addr, timeout: timeout, clock: clock}
}

// Commit runs a transaction.
func (c *Client) Commit(e core.Commit) core.CommitResult {
	d := core.CommitResult{ID: e.ID}
	if e.Txn.If == nil {
		e.Txn.If = []protocol.Guard{}
	}
	d.Outcome = engine.CommitOutcome(c.rpc.Call("POST", c.address, "/commit", e.Txn, &d.Answer, c.timeout, fasthttp.StatusOK, fasthttp.StatusConflict))
	return d
}

// LoadPage reads a page of our keys.
func (c *Client) LoadPage(e core.LoadPage) core.LoadResult {
	d := core.LoadResult{SentAt: c.clock()}
	q := "/store?Starts=" + url.QueryEscape(core.KeyPrefix) + "&Page=" + strconv.Itoa(loadPageKeys)
	if e.After != "" {
		q += "&Since=" + url.QueryEscape(e.After)
	}
	var items protocol.KeyPage
	if c.rpc.Call("GET", c.address, q, nil, &items, c.timeout, fasthttp.StatusOK) == fasthttp.StatusOK {
		d.OK, d.Items, d.More, d.Revision = true, items.Items, items.More, items.Revision
	}
	return d
}

// Watch waits for changes.
func (c *Client) Watch(e core.Watch) core.WatchResult {
	d := core.WatchResult{Barrier: e.Barrier, SentAt: c.clock()}
	q := "/follow?Starts=" + url.QueryEscape(core.KeyPrefix) + "&Since=" + strconv.FormatUint(e.Since, 10) +
		"&HoldMs=" + strconv.FormatInt(e.Hold.Milliseconds(), 10)
	d.Outcome = engine.WatchOutcome(c.rpc.Call("GET", c.address, q, nil, &d.Answer, c.timeout+e.Hold, fasthttp.StatusOK))
	return d
}

// RenewLease renews a lease, or asks for one.
func (c *Client) RenewLease(e core.RenewLease) core.LeaseResult {
	d := core.LeaseResult{SentAt: c.clock(), LeaseID: e.LeaseID}
	if e.LeaseID != 0 {
		d.Outcome = engine.LeaseOutcome(c.rpc.Call("POST", c.address, "/holds/"+strconv.FormatUint(e.LeaseID, 10)+"/extend", nil, nil, c.timeout))
		return d
	}
	var a protocol.LeaseResponse
	d.Outcome = engine.LeaseOutcome(c.rpc.Call("POST", c.address, "/holds", protocol.LeaseRequest{TTLMillis: e.TTL.Milliseconds()}, &a, c.timeout, fasthttp.StatusOK))
	d.LeaseID = a.Lease
	return d
}
