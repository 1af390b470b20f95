// Package worker is the controllers' client of the workers' direct commands: it carries out
// the core's requests over HTTP and turns the answers into typed results.
//
// It owns the connections to the workers and their number. It does not know which worker is
// due for what; each request is sent once, and repeated by nobody but the core.
package worker

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/engine"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

const (
	// maxConnsPerWorker leaves room for a probe beside a command.
	maxConnsPerWorker = 2
	// dialTimeoutDivisor is the share of a call's time that a connection may take, one in so many. A
	// machine that is there takes a connection within milliseconds; one that is dead leaves
	// it hanging, whatever the call's own timeout.
	dialTimeoutDivisor = 4
	// queryTimeoutDivisor is the share of a call's time that a call without commands may take, one
	// in so many: it is only a question, which may be asked again.
	queryTimeoutDivisor = 4
)

// Client calls workers. Its methods block until the answer is there or the time for it is
// over; any goroutine may call them.
type Client struct {
	rpc     *rpc.Client
	timeout time.Duration
}

// New makes a client that keeps about as many connections open, to all workers together;
// timeout bounds a call.
func New(maxOpen int, timeout time.Duration) *Client {
	return &Client{rpc: rpc.NewMany(maxConnsPerWorker, maxOpen, timeout/dialTimeoutDivisor), timeout: timeout}
}

// Probe asks a worker whether it is there.
func (c *Client) Probe(request core.ProbeWorker) core.ProbeResult {
	status := c.rpc.Call(fasthttp.MethodGet, request.Addr, "/inspect", nil, nil, c.timeout)
	return core.ProbeResult{Machine: request.Machine, OK: status == fasthttp.StatusOK}
}

// Call sends commands to a worker.
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
