package client

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// scriptedController is a controller that responds to each request with the next of its statuses, and
// repeats the last one. Status 0 closes the connection without a response.
type scriptedController struct {
	mu         sync.Mutex
	statuses   []int
	retryAfter string
	bodies     [][]byte
	receivedAt []time.Time
}

func (s *scriptedController) serve(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.bodies = append(s.bodies, append([]byte(nil), ctx.PostBody()...))
		s.receivedAt = append(s.receivedAt, time.Now())
		status := s.statuses[0]
		if len(s.statuses) > 1 {
			s.statuses = s.statuses[1:]
		}
		if status == 0 {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) { _ = c.Close() })
			return
		}
		ctx.SetStatusCode(status)
		if status == 503 && s.retryAfter != "" {
			ctx.Response.Header.Set("Retry-After", s.retryAfter)
		}
		if status < 300 {
			ctx.Response.SetBodyRaw(protocol.Encode(protocol.JobResponse{ID: "job-1", State: protocol.JobQueued, Reason: "waits"}))
		} else {
			ctx.Response.SetBodyRaw(protocol.Encode(protocol.ErrorResponse{Error: "because"}))
		}
	}}
	go func() { _ = srv.Serve(l) }() // returns when the cleanup shuts the server down
	t.Cleanup(func() { _ = srv.Shutdown() })
	return l.Addr().String()
}

// received returns the bodies of the requests and when they came. It takes the lock because the receipt
// of a response doesn't synchronize the test with the server's goroutine: without the lock, reading
// what that goroutine wrote before it responded would be a data race.
func (s *scriptedController) received() ([][]byte, []time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies, s.receivedAt
}

func newTestClient(t *testing.T, hosts ...string) *Client {
	c, err := New(hosts, "")
	if err != nil {
		t.Fatal(err)
	}
	c.retryDelay = 20 * time.Millisecond
	return c
}

// A submission is retried with the next controller, always with the same id, until one accepts it. The
// delay that Retry-After asks for is kept, and each controller can decode the request's body.
func TestSubmitRetriesWithOneID(t *testing.T) {
	down, broken, busy, up := &scriptedController{statuses: []int{0}}, &scriptedController{statuses: []int{500}}, &scriptedController{statuses: []int{503}, retryAfter: "1"}, &scriptedController{statuses: []int{201}}
	c := newTestClient(t, "127.0.0.1:1", down.serve(t), broken.serve(t), busy.serve(t), up.serve(t))
	j := &Job{Team: "main", CPUs: 1, MemoryGB: 1, Estimate: time.Second, Command: []string{"true"}}
	s, err := c.Submit(context.Background(), j)
	if err != nil || s.State != protocol.JobQueued || s.Reason != "waits" {
		t.Fatalf("submission got status %+v, error %v; want a queued job that waits", s, err)
	}
	for _, controller := range []*scriptedController{down, broken, busy, up} {
		bodies, _ := controller.received()
		job, err := protocol.DecodeJob(bodies[0])
		if err != nil || job.ID != j.ID || job.Tasks != 1 || job.Urgency != protocol.UrgencyNormal {
			t.Fatalf("a controller decoded %+v, error %v; want the job with the defaults", job, err)
		}
	}
	_, busyTimes := busy.received()
	_, acceptedTimes := up.received()
	if d := acceptedTimes[0].Sub(busyTimes[0]); d < 990*time.Millisecond {
		t.Fatalf("retried %v after the response with Retry-After: 1, want at least 990 ms", d)
	}
}

// Each response status maps to an error kind of its own. Only ErrNotNow is retried, and only until the
// retry budget is used up or the caller's context ends.
func TestStatusSetsErrorKindAndOnlyErrNotNowIsRetried(t *testing.T) {
	for status, kind := range map[int]error{400: ErrMalformed, 422: ErrImpossible, 404: ErrUnknown, 503: ErrNotNow} {
		controller := &scriptedController{statuses: []int{status}}
		c := newTestClient(t, controller.serve(t))
		c.retryBudget = 2 * time.Second
		_, err := c.Submit(context.Background(), &Job{Team: "main", CPUs: 1, Command: []string{"true"}})
		var e *Error
		if !errors.Is(err, kind) || !errors.As(err, &e) || e.Text != "because" || e.Status != status {
			t.Errorf("submission with response status %d: unexpected error %v", status, err)
		}
		_, times := controller.received()
		if retried := len(times) > 1; retried != errors.Is(kind, ErrNotNow) {
			t.Errorf("request with response status %d was sent %d times, want more than once only for ErrNotNow", status, len(times))
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer stop()
	controller := &scriptedController{statuses: []int{503}, retryAfter: "30"}
	if _, err := newTestClient(t, controller.serve(t)).Abort(ctx, "job-1"); !errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, ErrNotNow) {
		t.Errorf("Abort whose context ended: got error %v, want DeadlineExceeded and ErrNotNow", err)
	}
	if _, err := newTestClient(t, "127.0.0.1:1").Query(context.Background(), "job-x"); !errors.Is(err, ErrMalformed) {
		t.Errorf("Query with a malformed id: got error %v, want ErrMalformed", err)
	}
}

func TestNewIDsAreValidAndUnique(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		id, err := NewID()
		if err != nil || !protocol.ValidJobID(id) || seen[id] {
			t.Fatalf("NewID returned %s, error %v; want a valid id that was not returned before", id, err)
		}
		seen[id] = true
	}
}
