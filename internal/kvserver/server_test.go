package kvserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/kvfile"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

// unthrottledSettings returns settings whose rate limits no test reaches.
func unthrottledSettings() Settings {
	settings := Settings{RequestsPerSecond: 1e6, WritesPerSecond: 1e6, MaxBatch: 256}
	settings.MaxValueKiB, settings.MaxTxnOps = 16, 16
	return settings
}

// testClient calls one server.
type testClient struct {
	rpc     *rpc.Client
	address string
}

func newTestClient(address string, connections int) *testClient {
	return &testClient{rpc: rpc.New(connections, time.Second), address: address}
}

// call sends a request and returns its status. If that is 200, it decodes the body into response.
func (c *testClient) call(method, path string, body, response any) int {
	return c.rpc.Call(method, c.address, path, body, response, time.Second, 200)
}

// watch returns the events with a prefix after a revision; it waits for one for at most five seconds.
func (c *testClient) watch(prefix string, since uint64) protocol.WatchResponse {
	var events protocol.WatchResponse
	path := fmt.Sprintf("/follow?Starts=%s&Since=%d&HoldMs=5000", prefix, since)
	c.rpc.Call("GET", c.address, path, nil, &events, 8*time.Second, 200)
	return events
}

// startServer serves a new state file until the test ends, and returns the server and its address.
func startServer(t *testing.T, settings Settings) (*Server, string) {
	t.Helper()
	file, state, err := kvfile.Open(filepath.Join(t.TempDir(), "state.db"))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(settings, state, file)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		if err := <-stopped; !errors.Is(err, context.Canceled) {
			t.Errorf("Serve returned %v, want context.Canceled", err)
		}
		if err := file.Close(); err != nil {
			t.Error(err)
		}
	})
	return server, listener.Addr().String()
}

// msgpackMap is a request body, which may be one that protocol's types can't express.
type msgpackMap map[string]any

// unguardedTxn returns a transaction with one operation and no guards.
func unguardedTxn(op msgpackMap) msgpackMap { return msgpackMap{"Then": []any{op}} }

// The service responds with the statuses and watch events that the PROTOCOL specifies, to the
// requests that controllers send and to some malformed ones.
func TestHTTPStatusCodesAndWatchEvents(t *testing.T) {
	server, address := startServer(t, unthrottledSettings())
	client := newTestClient(address, 8)
	var lease protocol.LeaseResponse
	if client.call("POST", "/holds", protocol.LeaseRequest{TTLMillis: 3000}, &lease) != 200 || lease.Lease == 0 {
		t.Fatal("the request for a lease did not return one")
	}
	watched := make(chan protocol.WatchResponse, 1)
	go func() { watched <- client.watch("c/", 0) }()
	for _, test := range []struct {
		name         string
		method, path string
		body         any
		want         int
	}{
		{"put", "POST", "/commit", msgpackMap{"Guards": []any{}, "Then": []any{msgpackMap{"Set": "x/y", "Data": 1}}}, 200},
		{"failed guard", "POST", "/commit", msgpackMap{"Guards": []any{msgpackMap{"Key": "x/y", "Stamp": 0}}, "Then": []any{msgpackMap{"Set": "x/y", "Data": 1}}}, 409},
		{"guard without operations", "POST", "/commit", msgpackMap{"Guards": []any{msgpackMap{"Key": "x/y", "Stamp": 1}}}, 200},
		{"key with a space", "POST", "/commit", unguardedTxn(msgpackMap{"Set": "c/a b", "Data": 1}), 400},
		{"unknown lease", "POST", "/commit", unguardedTxn(msgpackMap{"Set": "x", "Data": 1, "Permit": 77}), 400},
		{"body that is not a transaction", "POST", "/commit", "text", 400},
		{"value above the size limit", "POST", "/commit", unguardedTxn(msgpackMap{"Set": "c/n", "Data": strings.Repeat("v", 17<<10)}), 400},
		{"put with a lease", "POST", "/commit", unguardedTxn(msgpackMap{"Set": "c/n", "Data": 1, "Permit": lease.Lease}), 200},
		{"get", "GET", "/store/c/n", nil, 200},
		{"get a missing key", "GET", "/store/c/m", nil, 404},
		{"renew", "POST", fmt.Sprintf("/holds/%d/extend", lease.Lease), nil, 200},
		{"renew an unknown lease", "POST", "/holds/99/extend", nil, 404},
		{"lease with a TTL below the minimum", "POST", "/holds", protocol.LeaseRequest{TTLMillis: 99}, 400},
		{"watch with a timeout above the maximum", "GET", "/follow?HoldMs=60001", nil, 400},
		{"revoke an unknown lease", "DELETE", "/holds/99", nil, 404},
		{"wrong method", "PUT", "/store/x", nil, 404},
	} {
		if got := client.call(test.method, test.path, test.body, nil); got != test.want {
			t.Errorf("%s: %s %s %v: got status %d, want %d", test.name, test.method, test.path, test.body, got, test.want)
		}
	}
	if events := <-watched; len(events.Events) != 1 || events.Events[0].Put != "c/n" {
		t.Errorf("the watch returned %+v, want one event, the put of c/n", events)
	}
	// When the lease expires, a watch returns the deletion of the key attached to it.
	if events := client.watch("c/", server.State().Revision); len(events.Events) != 1 || events.Events[0].Delete != "c/n" {
		t.Errorf("after the expiry of the lease the watch returned %+v, want one event, the deletion of c/n", events)
	}
}

// Writes above the limit are refused with status 429 and counted. The first transaction alone has
// more writes than the limit, so the result does not depend on the speed of the disk.
// TestLimiterAdmitsOneSecondBurstThenRate covers the rates.
func TestWritesAboveLimitAreThrottled(t *testing.T) {
	settings := unthrottledSettings()
	settings.WritesPerSecond = 2
	server, address := startServer(t, settings)
	client := newTestClient(address, 1)
	put := func(keys ...string) msgpackMap {
		var ops []any
		for _, key := range keys {
			ops = append(ops, msgpackMap{"Set": key, "Data": 1})
		}
		return msgpackMap{"Then": ops}
	}
	if got := client.call("POST", "/commit", put("a", "b", "c"), nil); got != 429 {
		t.Errorf("three writes: got status %d, want 429", got)
	}
	if got := client.call("POST", "/commit", put("a", "b"), nil); got != 200 {
		t.Errorf("two writes: got status %d, want 200", got)
	}
	if metrics := server.Metrics(); metrics.Throttled != 1 || metrics.Keys != 2 {
		t.Errorf("metrics: got %+v, want 1 throttled request and 2 keys", metrics)
	}
}
