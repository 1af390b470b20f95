// Package worker is the client of the workers' direct commands.
package worker

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/engine"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

// Client talks to workers. Its methods block.
type Client struct {
	rpc     *rpc.Client
	timeout time.Duration
}

// New makes a client that keeps about as many connections open, to all workers together;
// timeout bounds a call.
func New(conns int, timeout time.Duration) *Client {
	// A machine that is there takes a connection within milliseconds; one that is dead
	// leaves it hanging, whatever the call's own timeout.
	return &Client{rpc: rpc.NewMany(2, conns, timeout/4), timeout: timeout}
}

// Probe asks a worker for its report.
func (c *Client) Probe(e core.ProbeWorker) core.ProbeResult {
	status := c.rpc.Call("GET", e.Addr, "/inspect", nil, nil, c.timeout)
	return core.ProbeResult{Machine: e.Machine, OK: status == fasthttp.StatusOK}
}

// Call sends commands to a worker.
func (c *Client) Call(e core.CallWorker) core.CallWorkerResult {
	d := core.CallWorkerResult{Machine: e.Machine, CallID: e.CallID}
	timeout := c.timeout
	if len(e.Body.Commands) == 0 {
		timeout /= 4 // only a question, which may be asked again
	}
	d.Outcome = engine.DirectOutcome(c.rpc.Call("POST", e.Addr, "/do", e.Body, &d.Report, timeout, fasthttp.StatusOK, fasthttp.StatusConflict))
	return d
}
