// Package kvclient is the controllers' client of the state service: it executes the core's requests
// over HTTP and converts the responses into typed results.
//
// The package owns the connections to the service and the encoding of the requests. It caches nothing
// and does not know when a request is due or what follows from a result: each request is sent once,
// and only the core retries.
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
	// loadPageKeys is how many keys are read at once, the maximum that the service returns.
	loadPageKeys = 1000
	// minConnections is the least value of the limit on a client's connections.
	minConnections = 64
	// socketsPerConnection is for how many of a process's sockets one connection to the state
	// service is allowed. Larger sites need more connections: while the service responds slowly,
	// the number of requests in flight is the number of requests per second times the response
	// time in seconds. With this ratio, a site of 1,454 machines with 2,885 sockets and 250
	// requests per second gets about minConnections, and a larger site more in proportion.
	socketsPerConnection = 48
)

// Client calls the state service. Its methods block until the response arrives or the timeout
// passes. It is safe for concurrent use.
type Client struct {
	rpc     *rpc.Client
	address string
	timeout time.Duration
	clock   func() time.Duration
}

// New returns a client for the state service at an address, in a process that may open maxSockets
// sockets. The timeout applies to each call; a watch may in addition take the time for which the
// service may delay its response. clock is the core's monotonic clock, which the results' SentAt uses.
func New(address string, timeout time.Duration, maxSockets int, clock func() time.Duration) *Client {
	connections := max(maxSockets/socketsPerConnection, minConnections)
	return &Client{rpc: rpc.New(connections, timeout), address: address, timeout: timeout, clock: clock}
}

// Commit sends a transaction. The result's Outcome is core.CommitUnknown if there is no response.
func (c *Client) Commit(request core.Commit) core.CommitResult {
	txn := request.Txn
	if txn.If == nil {
		txn.If = []protocol.Guard{} // the protocol requires a list
	}
	result := core.CommitResult{ID: request.ID}
	status := c.rpc.Call(fasthttp.MethodPost, c.address, "/commit", txn, &result.Response, c.timeout,
		fasthttp.StatusOK, fasthttp.StatusConflict)
	result.Outcome = engine.CommitOutcome(status)
	return result
}

// LoadPage reads one page of the controllers' keys, beginning after request.After. If that fails, the
// result has OK false.
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

// Watch requests the changes of the controllers' keys since a revision. The service delays its
// response until there is a change, for request.Hold at most.
func (c *Client) Watch(request core.Watch) core.WatchResult {
	result := core.WatchResult{Barrier: request.Barrier, SentAt: c.clock()}
	path := "/follow?Starts=" + url.QueryEscape(core.KeyPrefix) +
		"&Since=" + strconv.FormatUint(request.Since, 10) +
		"&HoldMs=" + strconv.FormatInt(request.Hold.Milliseconds(), 10)
	status := c.get(path, &result.Response, c.timeout+request.Hold)
	result.Outcome = engine.WatchOutcome(status)
	return result
}

// RenewLease renews a lease, or requests a new one if the request's LeaseID is 0.
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

// get requests a path and returns the status of the response, whose body is decoded into result if the
// status is 200.
func (c *Client) get(path string, result any, timeout time.Duration) int {
	return c.rpc.Call(fasthttp.MethodGet, c.address, path, nil, result, timeout, fasthttp.StatusOK)
}
