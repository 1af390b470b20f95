package rpc

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// startHosts starts servers that respond to every request with status 200, and returns their addresses.
func startHosts(t *testing.T, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := listener.Close(); err != nil {
				t.Error(err)
			}
		})
		// Serve returns when its listener is closed.
		go func() { _ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(200) }) }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// Timeouts for tests that do not check timing. They are long because a process on a machine that is
// busy with builds can be paused for over two seconds, which is no fault of the client.
const (
	dialTimeout = 10 * time.Second
	callTimeout = 20 * time.Second
)

// Calls to 40 hosts never have more than 10 connections open, and each call gets its response.
func TestIdleConnectionsAreClosedForNewOnes(t *testing.T) {
	const maxOpen = 10
	hosts := startHosts(t, 40)
	client := NewMany(2, maxOpen, dialTimeout)
	for round := range 3 {
		for _, host := range hosts {
			if status := client.Call("GET", host, "/inspect", nil, nil, callTimeout); status != 200 {
				t.Fatalf("round %d: status %d, want 200", round, status)
			}
			if open := client.OpenConnections(); open > maxOpen {
				t.Fatalf("round %d: %d connections are open, want 10 at most", round, open)
			}
		}
	}
}
