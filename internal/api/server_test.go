package api

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// fakeEngine is an Engine whose replies come from a function of the test.
type fakeEngine struct {
	ready bool
	reply func(core.Command) (core.Reply, bool)
}

func (e *fakeEngine) Ask(newCommand func(core.RequestID) core.Command, _ time.Duration) (core.Reply, bool) {
	return e.reply(newCommand(1))
}
func (e *fakeEngine) Ready() bool { return e.ready }

func newTestClient(t *testing.T, e Engine) *fasthttp.Client {
	ln := fasthttputil.NewInmemoryListener()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = New(e, 100).Serve(ctx, ln) }() // returns after the cleanup has cancelled ctx
	return &fasthttp.Client{Dial: func(string) (net.Conn, error) { return ln.Dial() }}
}

func do(t *testing.T, c *fasthttp.Client, method, path string, body []byte) (int, string) {
	t.Helper()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetMethod(method)
	req.SetRequestURI("http://x" + path)
	req.SetBody(body)
	if err := c.Do(&req, &resp); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode(), string(resp.Header.Peek("Retry-After"))
}

func TestResponseStatusAndRetryAfter(t *testing.T) {
	e := &fakeEngine{reply: func(c core.Command) (core.Reply, bool) {
		switch c := c.(type) {
		case core.QueryJob:
			if c.JobID == "job-1" {
				return core.Reply{Status: 200, Body: protocol.JobResponse{ID: "job-1", State: protocol.JobDone}}, true
			}
			return core.Reply{Status: 503, Body: protocol.ErrorResponse{}, RetryAfter: time.Second}, true
		case core.Heartbeat:
			return core.Reply{Status: 421, Body: protocol.Redirect{ReportTo: "b"}}, true
		}
		return core.Reply{}, false
	}}
	c := newTestClient(t, e)
	for _, tc := range []struct {
		method, path string
		body         []byte
		status       int
		retryAfter   string
	}{
		{"GET", "/ready", nil, 503, "1"},
		{"GET", "/v2/runs/job-1", nil, 200, ""},
		{"GET", "/v2/runs/job-2", nil, 503, "1"},
		{"POST", "/v2/runs/job-1/abort", nil, 503, "1"}, // the engine does not reply
		{"POST", "/v2/runs", []byte("{}"), 400, ""},
		{"POST", "/v1/report", []byte{0xc1}, 400, ""},
		{"POST", "/v1/report", protocol.Encode(protocol.Heartbeat{Machine: "n-1"}), 421, ""},
		{"GET", "/elsewhere", nil, 404, ""},
	} {
		if status, retryAfter := do(t, c, tc.method, tc.path, tc.body); status != tc.status || retryAfter != tc.retryAfter {
			t.Errorf("%s %s: got status %d, Retry-After %q", tc.method, tc.path, status, retryAfter)
		}
	}
	e.ready = true
	if status, _ := do(t, c, "GET", "/ready", nil); status != 200 {
		t.Errorf("GET /ready of a ready controller: status %d, want 200", status)
	}
	// A body that is too long is rejected because of the Content-Length header. The body itself is
	// not sent here: the server may respond and close the connection before all of it is sent, and
	// the client would then see a write error at times.
	conn, err := c.Dial("")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", protocol.MaxBody+1); err != nil {
		t.Fatal(err)
	}
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(conn)); err != nil || resp.StatusCode() != 400 {
		t.Errorf("POST with a Content-Length over the limit: status %d, want 400; error %v", resp.StatusCode(), err)
	}
}

// Guards against queries that take the capacity of the other kinds of request: with a quarter of the
// connections blocked by queries, one more query is rejected at once with 503 and Retry-After, and
// a heartbeat is still served.
func TestExcessQueriesAreRejectedAndHeartbeatsServed(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 100)
	e := &fakeEngine{reply: func(c core.Command) (core.Reply, bool) {
		if _, ok := c.(core.QueryJob); ok {
			started <- struct{}{}
			<-release
		}
		return core.Reply{Status: 200, Body: protocol.HeartbeatResponse{}}, true
	}}
	c := newTestClient(t, e)
	for range 25 { // a quarter of the 100 connections of newTestClient's server
		go func() {
			var req fasthttp.Request
			var resp fasthttp.Response
			req.SetRequestURI("http://x/v2/runs/job-1")
			_ = c.Do(&req, &resp) // returns when release is closed
		}()
	}
	for range 25 {
		<-started
	}
	if status, retryAfter := do(t, c, "GET", "/v2/runs/job-2", nil); status != 503 || retryAfter != "1" {
		t.Errorf("query over the limit: got status %d, Retry-After %q; want 503, \"1\"", status, retryAfter)
	}
	if status, _ := do(t, c, "POST", "/v1/report", protocol.Encode(protocol.Heartbeat{Machine: "n-1"})); status != 200 {
		t.Errorf("heartbeat while queries are blocked: status %d, want 200", status)
	}
	close(release)
}
