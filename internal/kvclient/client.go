// Package kvclient is the controllers' client of the state service: it carries out the
// core's requests over HTTP and turns the answers into typed results.
//
// It owns the connections to the service and the form of the requests. It keeps nothing
// of what it reads and does not know when a request is due, or what follows from a result:
// each one is sent once, and repeated by nobody but the core.
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

const (
	// loadPageKeys is how many keys are read at once: the most that the service gives.
	loadPageKeys = 1000
	// minConnections is how many connections a client may open at the least.
	minConnections = 64
	// socketsPerConnection is how many of a process's sockets allow one connection to the
	// state service: what a site of 1,454 machines, with 2,885 sockets and 250 requests a
	// second, has at the least, and a larger site in proportion. While the service answers
	// slowly, requests in flight are as many as its requests a second times the seconds
	// that it takes.
	socketsPerConnection = 48
)

// Client calls the state service. Its methods block until the answer is there or the time
// for it is over; any goroutine may call them.
type Client struct {
	rpc     *rpc.Client
	address string
	timeout time.Duration
	clock   func() time.Duration
}

// New makes a client of a process that may open maxSockets. A call may take the timeout,
// a watch that and the time for which the service holds its answer back. The clock is the
// core's.
func New(address string, timeout time.Duration, maxSockets int, clock func() time.Duration) *Client {
	connections := max(maxSockets/socketsPerConnection, minConnections)
	return &Client{rpc: rpc.New(connections, timeout), address: address, timeout: timeout, clock: clock}
}

// Commit runs a transaction.
func (c *Client) Commit(request core.Commit) core.CommitResult {
	txn := request.Txn
	if txn.If == nil {
		txn.If = []protocol.Guard{} // the protocol wants a list
	}
	result := core.CommitResult{ID: request.ID}
	status := c.rpc.Call(fasthttp.MethodPost, c.address, "/commit", txn, &result.Response, c.timeout,
		fasthttp.StatusOK, fasthttp.StatusConflict)
	result.Outcome = engine.CommitOutcome(status)
	return result
}

// LoadPage reads a page of the controllers' keys.
func (c *Client) LoadPage(request core.LoadPage) core.LoadResult {
	result := core.LoadResult{SentAt: c.clock()}
	path := "/store?Starts=" + url.QueryEscape(core.KeyPrefix) + "&Page=" + strconv.Itoa(loadPageKeys)
	if request.After != "" {
		path += "&Since=" + url.QueryEscape(request.After)
	}
	var page protocol.KeyPage
	if c.get(path, &page, c.timeout) != fasthttp.StatusOK {
		return result
	}
	result.OK = true
	result.Items = page.Items
	result.More = page.More
	result.Revision = page.Revision
	return result
}

// Watch waits for changes of the controllers' keys.
func (c *Client) Watch(request core.Watch) core.WatchResult {
	result := core.WatchResult{Barrier: request.Barrier, SentAt: c.clock()}
	path := "/follow?Starts=" + url.QueryEscape(core.KeyPrefix) +
		"&Since=" + strconv.FormatUint(request.Since, 10) +
		"&HoldMs=" + strconv.FormatInt(request.Hold.Milliseconds(), 10)
	status := c.get(path, &result.Response, c.timeout+request.Hold)
	result.Outcome = engine.WatchOutcome(status)
	return result
}

// RenewLease renews a lease, or asks for one if the request names none.
func (c *Client) RenewLease(request core.RenewLease) core.LeaseResult {
	if request.LeaseID == 0 {
		return c.grantLease(request.TTL)
	}
	result := core.LeaseResult{SentAt: c.clock(), LeaseID: request.LeaseID}
	path := "/holds/" + strconv.FormatUint(request.LeaseID, 10) + "/extend"
	status := c.rpc.Call(fasthttp.MethodPost, c.address, path, nil, nil, c.timeout)
	result.Outcome = engine.LeaseOutcome(status)
	return result
}

func (c *Client) grantLease(ttl time.Duration) core.LeaseResult {
	result := core.LeaseResult{SentAt: c.clock()}
	request := protocol.LeaseRequest{TTLMillis: ttl.Milliseconds()}
	var lease protocol.LeaseResponse
	status := c.rpc.Call(fasthttp.MethodPost, c.address, "/holds", request, &lease, c.timeout, fasthttp.StatusOK)
	result.Outcome = engine.LeaseOutcome(status)
	result.LeaseID = lease.Lease
	return result
}

// get reads a path and returns the status of the answer, which is decoded if that is 200.
func (c *Client) get(path string, result any, timeout time.Duration) int {
	return c.rpc.Call(fasthttp.MethodGet, c.address, path, nil, result, timeout, fasthttp.StatusOK)
}
