// Package worker is the controllers' client for commands sent directly to workers, in contrast to
// those in the responses to heartbeats: it executes the core's requests over HTTP and converts the
// responses into typed results.
//
// The package owns the connections to the workers and limits their number. It does not know which
// worker is due for a request. Each request is sent once, and only the core retries.
package worker

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/engine"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

const (
	// maxConnsPerWorker allows a probe at the same time as a command.
	maxConnsPerWorker = 2
	// dialTimeoutDivisor divides a call's timeout to give the timeout for opening a connection. A
	// machine that runs accepts a connection within milliseconds. If the machine has failed, the
	// attempt stays pending until the timeout for opening a connection, whatever the call's own timeout.
	dialTimeoutDivisor = 4
	// queryTimeoutDivisor divides the timeout of a call without commands. Such a call only queries
	// the worker's state and can be repeated without harm.
	queryTimeoutDivisor = 4
)

// Client calls workers. Its methods block until the response arrives or the timeout passes. It is
// safe for concurrent use.
type Client struct {
	rpc     *rpc.Client
	timeout time.Duration
}

// New returns a client that keeps about maxOpen connections open at most, to all workers together.
// timeout limits the duration of a call.
func New(maxOpen int, timeout time.Duration) *Client {
	return &Client{rpc: rpc.NewMany(maxConnsPerWorker, maxOpen, timeout/dialTimeoutDivisor), timeout: timeout}
}

// Probe checks whether a worker responds.
func (c *Client) Probe(request core.ProbeWorker) core.ProbeResult {
	status := c.rpc.Call(fasthttp.MethodGet, request.Addr, "/inspect", nil, nil, c.timeout)
	return core.ProbeResult{Machine: request.Machine, OK: status == fasthttp.StatusOK}
}

// Call sends commands to a worker. The result's Outcome is core.DirectUnknown if there is no response;
// the worker may have executed the commands all the same.
func (c *Client) Call(request core.CallWorker) core.CallWorkerResult {
	timeout := c.timeout
	if len(request.Body.Commands) == 0 {
		timeout /= queryTimeoutDivisor
	}
	result := core.CallWorkerResult{Machine: request.Machine, CallID: request.CallID}
	status := c.rpc.Call(fasthttp.MethodPost, request.Addr, "/do", request.Body, &result.Report, timeout,
		fasthttp.StatusOK, fasthttp.StatusConflict)
	result.Outcome = engine.DirectOutcome(status)
	return result
}
