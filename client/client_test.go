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

// scriptedController is a controller that answers with one status after another, the last one for
// ever; 0 closes the connection.
type scriptedController struct {
	mu         sync.Mutex
	statuses   []int
	retry      string
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
		if status == 503 && s.retry != "" {
			ctx.Response.Header.Set("Retry-After", s.retry)
		}
		if status < 300 {
			ctx.Response.SetBodyRaw(protocol.Encode(protocol.JobResponse{ID: "job-1", State: protocol.JobQueued, Reason: "waits"}))
		} else {
			ctx.Response.SetBodyRaw(protocol.Encode(protocol.ErrorResponse{Error: "because"}))
		}
	}}
	go func() { _ = srv.Serve(l) }() // it ends with the cleanup
	t.Cleanup(func() { _ = srv.Shutdown() })
	return l.Addr().String()
}

// received are the bodies that came and when. They are read under the lock: an answer that the
// client has read does not order what the server's goroutine wrote before it.
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

// A job goes from controller to controller with one id until one takes it, and what is
// sent is what a controller reads.
func TestSubmitRetriesWithOneID(t *testing.T) {
	down, broken, busy, up := &scriptedController{statuses: []int{0}}, &scriptedController{statuses: []int{500}}, &scriptedController{statuses: []int{503}, retry: "1"}, &scriptedController{statuses: []int{201}}
	c := newTestClient(t, "127.0.0.1:1", down.serve(t), broken.serve(t), busy.serve(t), up.serve(t))
	j := &Job{Team: "main", CPUs: 1, MemoryGB: 1, Estimate: time.Second, Command: []string{"true"}}
	s, err := c.Submit(context.Background(), j)
	if err != nil || s.State != protocol.JobQueued || s.Reason != "waits" {
		t.Fatalf("%+v, %v", s, err)
	}
	for _, x := range []*scriptedController{down, broken, busy, up} {
		bodies, _ := x.received()
		w, err := protocol.DecodeJob(bodies[0])
		if err != nil || w.ID != j.ID || w.Tasks != 1 || w.Urgency != protocol.UrgencyNormal {
			t.Fatalf("%+v, %v", w, err)
		}
	}
	_, asked := busy.received()
	_, taken := up.received()
	if d := taken[0].Sub(asked[0]); d < 990*time.Millisecond {
		t.Fatalf("Retry-After was kept for %v only", d)
	}
}

// What can never succeed is not repeated; what may is given up in time; and the kinds can
// be told apart.
func TestStatusSetsErrorKindAndOnlyErrNotNowIsRetried(t *testing.T) {
	for status, kind := range map[int]error{400: ErrMalformed, 422: ErrImpossible, 404: ErrUnknown, 503: ErrNotNow} {
		x := &scriptedController{statuses: []int{status}}
		c := newTestClient(t, x.serve(t))
		c.retryBudget = 2 * time.Second
		_, err := c.Submit(context.Background(), &Job{Team: "main", CPUs: 1, Command: []string{"true"}})
		var e *Error
		if !errors.Is(err, kind) || !errors.As(err, &e) || e.Text != "because" || e.Status != status {
			t.Errorf("%d: %v", status, err)
		}
		_, at := x.received()
		if again := len(at) > 1; again != errors.Is(kind, ErrNotNow) {
			t.Errorf("%d was sent %d times", status, len(at))
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer stop()
	x := &scriptedController{statuses: []int{503}, retry: "30"}
	if _, err := newTestClient(t, x.serve(t)).Abort(ctx, "job-1"); !errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, ErrNotNow) {
		t.Errorf("given up by its caller: %v", err)
	}
	if _, err := newTestClient(t, "127.0.0.1:1").Query(context.Background(), "job-x"); !errors.Is(err, ErrMalformed) {
		t.Errorf("a wrong id: %v", err)
	}
}

func TestNewIDsAreValidAndUnique(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		id, err := NewID()
		if err != nil || !protocol.ValidJobID(id) || seen[id] {
			t.Fatalf("%s, %v", id, err)
		}
		seen[id] = true
	}
}
