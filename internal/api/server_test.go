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

// fakeEngine answers as the engine would.
type fakeEngine struct {
	ready bool
	reply func(core.Command) (core.Reply, bool)
}

func (s *fakeEngine) Ask(build func(core.RequestID) core.Command, _ time.Duration) (core.Reply, bool) {
	return s.reply(build(1))
}
func (s *fakeEngine) Ready() bool { return s.ready }

func newTestClient(t *testing.T, e Engine) *fasthttp.Client {
	ln := fasthttputil.NewInmemoryListener()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = New(e, 100).Serve(ctx, ln) }() // it ends with the cleanup
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
	for _, x := range []struct {
		method, path string
		body         []byte
		status       int
		retry        string
	}{
		{"GET", "/ready", nil, 503, "1"},
		{"GET", "/v2/runs/job-1", nil, 200, ""},
		{"GET", "/v2/runs/job-2", nil, 503, "1"},
		{"POST", "/v2/runs/job-1/abort", nil, 503, "1"}, // the engine is busy
		{"POST", "/v2/runs", []byte("{}"), 400, ""},
		{"POST", "/v1/report", []byte{0xc1}, 400, ""},
		{"POST", "/v1/report", protocol.Encode(protocol.Heartbeat{Machine: "n-1"}), 421, ""},
		{"GET", "/elsewhere", nil, 404, ""},
	} {
		if status, retry := do(t, c, x.method, x.path, x.body); status != x.status || retry != x.retry {
			t.Errorf("%s %s: %d, Retry-After %q", x.method, x.path, status, retry)
		}
	}
	e.ready = true
	if status, _ := do(t, c, "GET", "/ready", nil); status != 200 {
		t.Errorf("ready: %d", status)
	}
	// A body that is too long is refused by what its header says. It is not sent here: the
	// answer may overtake it and close the connection, as a client sees it at times.
	conn, err := c.Dial("")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", protocol.MaxBody+1); err != nil {
		t.Fatal(err)
	}
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(conn)); err != nil || resp.StatusCode() != 400 {
		t.Errorf("a body that is too long: %d, %v", resp.StatusCode(), err)
	}
}

// However many polls are under way, a report and a submission still come in, and the
// polls that find no room are answered at once.
func TestExcessQueriesAreRejectedAndHeartbeatsServed(t *testing.T) {
	held := make(chan struct{})
	started := make(chan struct{}, 100)
	e := &fakeEngine{reply: func(c core.Command) (core.Reply, bool) {
		if _, ok := c.(core.QueryJob); ok {
			started <- struct{}{}
			<-held
		}
		return core.Reply{Status: 200, Body: protocol.HeartbeatResponse{}}, true
	}}
	c := newTestClient(t, e)
	for range 25 { // a quarter of the connections that serve allows
		go func() {
			var req fasthttp.Request
			var resp fasthttp.Response
			req.SetRequestURI("http://x/v2/runs/job-1")
			_ = c.Do(&req, &resp) // ends with the story
		}()
	}
	for range 25 {
		<-started
	}
	if status, retry := do(t, c, "GET", "/v2/runs/job-2", nil); status != 503 || retry != "1" {
		t.Errorf("a poll too many: %d, Retry-After %q", status, retry)
	}
	if status, _ := do(t, c, "POST", "/v1/report", protocol.Encode(protocol.Heartbeat{Machine: "n-1"})); status != 200 {
		t.Errorf("a report: %d", status)
	}
	close(held)
}
