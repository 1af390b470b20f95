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

// While the state service takes a fifth of a second to answer, all that a large site may ask
// of it in that time is under way at once. The site is one of 1,454 machines with 2,885 sockets
// and 250 requests a second, made larger in proportion.
func TestRequestsOfLargeSiteAreInFlightAtOnce(t *testing.T) {
	for _, machines := range []int{4000, 8000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			sockets := 2885 * machines / 1454
			requests := 250 * machines / 1454 / 5
			var under atomic.Int64
			all := make(chan struct{})
			server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
				if under.Add(1) == int64(requests) {
					close(all)
				}
				select {
				case <-all:
				case <-time.After(5 * time.Second):
				}
				ctx.Response.SetBodyRaw(protocol.Encode(protocol.TransactionResult{Revision: 1}))
			}}
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go server.Serve(ln) //nolint:errcheck // ends with its listener
			c := New(ln.Addr().String(), 4*time.Second, sockets, func() time.Duration { return 0 })
			answers := make(chan core.CommitOutcome, requests)
			for range requests {
				go func() { answers <- c.Commit(core.Commit{}).Outcome }()
			}
			answered := 0
			for range requests {
				if <-answers == core.Committed {
					answered++
				}
			}
			if answered < requests {
				t.Fatalf("%d of %d requests were under way at once, %d were answered", under.Load(), requests, answered)
			}
		})
	}
}
