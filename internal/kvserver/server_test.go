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

// unthrottledSettings limit nothing that a test does.
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

// call returns the status of an answer and decodes it into answer if that is 200.
func (c *testClient) call(method, path string, body, answer any) int {
	return c.rpc.Call(method, c.address, path, body, answer, time.Second, 200)
}

// watch waits for events with a prefix after a revision, at most for five seconds.
func (c *testClient) watch(prefix string, since uint64) protocol.WatchResponse {
	var events protocol.WatchResponse
	path := fmt.Sprintf("/follow?Starts=%s&Since=%d&HoldMs=5000", prefix, since)
	c.rpc.Call("GET", c.address, path, nil, &events, 8*time.Second, 200)
	return events
}

// startServer serves a new state file until the test ends.
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
			t.Errorf("the server ended with %v", err)
		}
		if err := file.Close(); err != nil {
			t.Error(err)
		}
	})
	return server, listener.Addr().String()
}

// msgpackMap is a MessagePack map as a client may send it.
type msgpackMap map[string]any

// unguardedTxn is a transaction of one change without conditions.
func unguardedTxn(op msgpackMap) msgpackMap { return msgpackMap{"Then": []any{op}} }

// The service speaks the PROTOCOL, as the controllers' client and a few malformed
// requests see it.
func TestHTTPStatusCodesAndWatchEvents(t *testing.T) {
	server, address := startServer(t, unthrottledSettings())
	client := newTestClient(address, 8)
	var lease protocol.LeaseResponse
	if client.call("POST", "/holds", protocol.LeaseRequest{TTLMillis: 3000}, &lease) != 200 || lease.Lease == 0 {
		t.Fatal("no lease")
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
		{"failed condition", "POST", "/commit", msgpackMap{"Guards": []any{msgpackMap{"Key": "x/y", "Stamp": 0}}, "Then": []any{msgpackMap{"Set": "x/y", "Data": 1}}}, 409},
		{"condition alone", "POST", "/commit", msgpackMap{"Guards": []any{msgpackMap{"Key": "x/y", "Stamp": 1}}}, 200},
		{"key with a space", "POST", "/commit", unguardedTxn(msgpackMap{"Set": "c/a b", "Data": 1}), 400},
		{"unknown lease", "POST", "/commit", unguardedTxn(msgpackMap{"Set": "x", "Data": 1, "Permit": 77}), 400},
		{"no transaction", "POST", "/commit", "text", 400},
		{"large value", "POST", "/commit", unguardedTxn(msgpackMap{"Set": "c/n", "Data": strings.Repeat("v", 17<<10)}), 400},
		{"put with a lease", "POST", "/commit", unguardedTxn(msgpackMap{"Set": "c/n", "Data": 1, "Permit": lease.Lease}), 200},
		{"get", "GET", "/store/c/n", nil, 200},
		{"get a key that is not there", "GET", "/store/c/m", nil, 404},
		{"renew", "POST", fmt.Sprintf("/holds/%d/extend", lease.Lease), nil, 200},
		{"renew an unknown lease", "POST", "/holds/99/extend", nil, 404},
		{"short lease", "POST", "/holds", protocol.LeaseRequest{TTLMillis: 99}, 400},
		{"long watch", "GET", "/follow?HoldMs=60001", nil, 400},
		{"revoke an unknown lease", "DELETE", "/holds/99", nil, 404},
		{"wrong method", "PUT", "/store/x", nil, 404},
	} {
		if got := client.call(test.method, test.path, test.body, nil); got != test.want {
			t.Errorf("%s: %s %s %v: %d, want %d", test.name, test.method, test.path, test.body, got, test.want)
		}
	}
	if events := <-watched; len(events.Events) != 1 || events.Events[0].Put != "c/n" {
		t.Errorf("the watch saw %+v", events)
	}
	// The lease expires by itself and is seen as a deletion.
	if events := client.watch("c/", server.State().Revision); len(events.Events) != 1 || events.Events[0].Delete != "c/n" {
		t.Errorf("the expiry of the lease is seen as %+v", events)
	}
}

// Writes above the limit are refused with 429 and counted. The transaction alone is above
// it: how fast the disk is does not matter. TestLimiter has the rates.
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
		t.Errorf("three writes: %d, want 429", got)
	}
	if got := client.call("POST", "/commit", put("a", "b"), nil); got != 200 {
		t.Errorf("two writes: %d, want 200", got)
	}
	if metrics := server.Metrics(); metrics.Throttled != 1 || metrics.Keys != 2 {
		t.Errorf("metrics %+v", metrics)
	}
}
