package kvclient

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// serve runs an HTTP server with a handler until the test ends, and returns its address.
func serve(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // returns when the listener is closed
	t.Cleanup(func() {
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// While the state service takes a fifth of a second to respond, all requests that a large site may
// send in that time must be in flight at once. The site's sockets and requests per second are those of
// a site of 1,454 machines, 2,885 sockets and 250 requests per second, scaled up in proportion.
func TestRequestsOfLargeSiteAreInFlightAtOnce(t *testing.T) {
	for _, machines := range []int{4000, 8000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			sockets := 2885 * machines / 1454
			requests := 250 * machines / 1454 / 5
			var inFlight atomic.Int64
			allInFlight := make(chan struct{})
			address := serve(t, func(ctx *fasthttp.RequestCtx) {
				if inFlight.Add(1) == int64(requests) {
					close(allInFlight)
				}
				select {
				case <-allInFlight:
				case <-time.After(5 * time.Second):
				}
				ctx.Response.SetBodyRaw(protocol.Encode(protocol.TransactionResult{Revision: 1}))
			})
			client := New(address, 4*time.Second, sockets, func() time.Duration { return 0 })
			outcomes := make(chan core.CommitOutcome, requests)
			for range requests {
				go func() { outcomes <- client.Commit(core.Commit{}).Outcome }()
			}
			committed := 0
			for range requests {
				if <-outcomes == core.Committed {
					committed++
				}
			}
			if committed < requests {
				t.Fatalf("%d of %d requests reached the service, %d were committed, want all", inFlight.Load(), requests, committed)
			}
		})
	}
}

// Each request has the method, path and body that the protocol specifies, and its response is
// decoded into the result.
func TestRequestsFollowTheProtocol(t *testing.T) {
	type sent struct{ method, uri, body string }
	now := 7 * time.Second
	events := protocol.WatchResponse{Revision: 9, Events: []protocol.WatchEvent{{Put: "c/a", Version: 9}}}
	page := protocol.KeyPage{Items: []protocol.KeyValue{{Key: "c/a", Value: protocol.Encode(1), Version: 3}}, More: true, Revision: 9}
	for _, test := range []struct {
		name       string
		call       func(*Client) any
		response   any
		want       sent
		wantResult any
	}{
		{
			"commit", func(c *Client) any { return c.Commit(core.Commit{ID: 5}) },
			protocol.TransactionResult{Revision: 9},
			sent{"POST", "/commit", string(protocol.Encode(protocol.Transaction{If: []protocol.Guard{}}))},
			core.CommitResult{ID: 5, Outcome: core.Committed, Response: protocol.TransactionResult{Revision: 9}},
		},
		{
			"first page", func(c *Client) any { return c.LoadPage(core.LoadPage{}) },
			page, sent{"GET", "/store?Starts=c%2F&Page=1000", ""},
			core.LoadResult{OK: true, SentAt: now, Items: page.Items, More: true, Revision: 9},
		},
		{
			"next page", func(c *Client) any { return c.LoadPage(core.LoadPage{After: "c/a b"}) },
			page, sent{"GET", "/store?Starts=c%2F&Page=1000&Since=c%2Fa+b", ""},
			core.LoadResult{OK: true, SentAt: now, Items: page.Items, More: true, Revision: 9},
		},
		{
			"watch", func(c *Client) any { return c.Watch(core.Watch{Since: 8, Hold: 2 * time.Second, Barrier: true}) },
			events, sent{"GET", "/follow?Starts=c%2F&Since=8&HoldMs=2000", ""},
			core.WatchResult{Barrier: true, SentAt: now, Outcome: core.WatchServed, Response: events},
		},
		{
			"grant lease", func(c *Client) any { return c.RenewLease(core.RenewLease{TTL: 3 * time.Second}) },
			protocol.LeaseResponse{Lease: 4},
			sent{"POST", "/holds", string(protocol.Encode(protocol.LeaseRequest{TTLMillis: 3000}))},
			core.LeaseResult{SentAt: now, LeaseID: 4, Outcome: core.LeaseGranted},
		},
		{
			"renew lease", func(c *Client) any { return c.RenewLease(core.RenewLease{LeaseID: 4, TTL: 3 * time.Second}) },
			struct{}{}, sent{"POST", "/holds/4/extend", ""},
			core.LeaseResult{SentAt: now, LeaseID: 4, Outcome: core.LeaseGranted},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var got sent
			address := serve(t, func(ctx *fasthttp.RequestCtx) {
				got = sent{string(ctx.Method()), string(ctx.RequestURI()), string(ctx.PostBody())}
				ctx.Response.SetBodyRaw(protocol.Encode(test.response))
			})
			client := New(address, 4*time.Second, 0, func() time.Duration { return now })
			result := test.call(client)
			if got != test.want {
				t.Errorf("request was %q, want %q", got, test.want)
			}
			if fmt.Sprintf("%+v", result) != fmt.Sprintf("%+v", test.wantResult) {
				t.Errorf("result is %+v, want %+v", result, test.wantResult)
			}
		})
	}
}
