package agentd

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

// ArtifactsClient is the client of a depot. Its methods block.
type ArtifactsClient struct {
	rpc  *rpc.Client
	addr string
	raw  *fasthttp.Client
}

// callTimeout bounds a call to the depot.
const callTimeout = 5 * time.Second

// NewArtifactsClient makes a client of the depot at an address.
func NewArtifactsClient(addr string) *ArtifactsClient {
	return &ArtifactsClient{rpc: rpc.New(16, callTimeout), addr: addr, raw: &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}}
}

// Describe reads a task's job and whether its result is kept; ok is false if the depot
// gave no answer.
func (d *ArtifactsClient) Describe(job string, task int) (what protocol.JobDescription, found, done, ok bool) {
	switch d.rpc.Call("GET", d.addr, "/jobs/"+job, nil, &what, callTimeout, 200) {
	case 404:
		return what, false, false, true
	case 200:
		var r protocol.ResultStatus
		s := d.rpc.Call("GET", d.addr, "/jobs/"+job+"/results/"+strconv.Itoa(task), nil, &r, callTimeout, 200)
		return what, true, r.Done, s == 200
	}
	return what, false, false, false
}

// StoreResult keeps a task's result and reports whether that is durable.
func (d *ArtifactsClient) StoreResult(job string, task int) bool {
	return d.rpc.Call("PUT", d.addr, "/jobs/"+job+"/results/"+strconv.Itoa(task), struct{}{}, nil, callTimeout) == 200
}

// UploadOutput sends an attempt's output.
func (d *ArtifactsClient) UploadOutput(job string, task int, try uint64, b []byte) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod("PUT")
	req.SetRequestURI("http://" + d.addr + "/jobs/" + job + "/output/" + strconv.Itoa(task) + "/" + strconv.FormatUint(try, 10))
	req.SetBodyRaw(b)
	return d.raw.DoTimeout(req, resp, callTimeout) == nil && resp.StatusCode() == 200
}
