package agentd

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

// Depot is the client of a depot. Its methods block.
type Depot struct {
	rpc  *rpc.Client
	addr string
	raw  *fasthttp.Client
}

// wait bounds a call to the depot.
const wait = 5 * time.Second

// NewDepot makes a client of the depot at an address.
func NewDepot(addr string) *Depot {
	return &Depot{rpc: rpc.New(16, wait), addr: addr, raw: &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}}
}

// Describe reads a task's job and whether its result is kept; ok is false if the depot
// gave no answer.
func (d *Depot) Describe(job string, task int) (what protocol.JobDescription, found, done, ok bool) {
	switch d.rpc.Call("GET", d.addr, "/jobs/"+job, nil, &what, wait, 200) {
	case 404:
		return what, false, false, true
	case 200:
		var r protocol.ResultStatus
		s := d.rpc.Call("GET", d.addr, "/jobs/"+job+"/results/"+strconv.Itoa(task), nil, &r, wait, 200)
		return what, true, r.Done, s == 200
	}
	return what, false, false, false
}

// Keep keeps a task's result and reports whether that is durable.
func (d *Depot) Keep(job string, task int) bool {
	return d.rpc.Call("PUT", d.addr, "/jobs/"+job+"/results/"+strconv.Itoa(task), struct{}{}, nil, wait) == 200
}

// Upload sends an attempt's output.
func (d *Depot) Upload(job string, task int, try uint64, b []byte) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod("PUT")
	req.SetRequestURI("http://" + d.addr + "/jobs/" + job + "/output/" + strconv.Itoa(task) + "/" + strconv.FormatUint(try, 10))
	req.SetBodyRaw(b)
	return d.raw.DoTimeout(req, resp, wait) == nil && resp.StatusCode() == 200
}
