// Package state is the client of the state service.
package state

import (
	"net/url"
	"strconv"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/rpc"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// page is how many keys are read at once: the most that the service gives.
const page = 1000

// Client talks to the state service. Its methods block.
type Client struct {
	rpc     *rpc.Client
	addr    string
	timeout time.Duration
	clock   func() time.Duration
}

// leastConns is how many connections a client may open at the least.
const leastConns = 64

// connShare of a process's sockets, one in so many, may go to the state service: what a site of
// 1,454 machines, with 2,885 sockets and 250 requests a second, has at the least, and a larger
// site in proportion. While the service answers slowly, requests under way are as many as its
// requests a second times the seconds that it takes.
const connShare = 48

// New makes a client of a process that may open maxSockets; timeout bounds each call beyond
// what a watch holds.
func New(addr string, timeout time.Duration, maxSockets int, clock func() time.Duration) *Client {
	conns := max(maxSockets/connShare, leastConns)
	return &Client{rpc: rpc.New(conns, timeout), addr: addr, timeout: timeout, clock: clock}
}

// Commit runs a transaction.
func (c *Client) Commit(e core.Commit) core.CommitDone {
	d := core.CommitDone{ID: e.ID}
	if e.Txn.If == nil {
		e.Txn.If = []wire.Guard{}
	}
	d.Status = c.rpc.Call("POST", c.addr, "/commit", e.Txn, &d.Answer, c.timeout, 200, 409)
	return d
}

// Load reads a page of our keys.
func (c *Client) Load(e core.Load) core.LoadDone {
	d := core.LoadDone{Sent: c.clock()}
	q := "/store?Starts=" + url.QueryEscape(core.KeyPrefix) + "&Page=" + strconv.Itoa(page)
	if e.Since != "" {
		q += "&Since=" + url.QueryEscape(e.Since)
	}
	var items wire.Items
	if c.rpc.Call("GET", c.addr, q, nil, &items, c.timeout, 200) == 200 {
		d.OK, d.Items, d.More, d.Revision = true, items.Items, items.More, items.Revision
	}
	return d
}

// Follow waits for changes.
func (c *Client) Follow(e core.Follow) core.FollowDone {
	d := core.FollowDone{Barrier: e.Barrier, Sent: c.clock()}
	q := "/follow?Starts=" + url.QueryEscape(core.KeyPrefix) + "&Since=" + strconv.FormatUint(e.Since, 10) +
		"&HoldMs=" + strconv.FormatInt(e.Hold.Milliseconds(), 10)
	d.Status = c.rpc.Call("GET", c.addr, q, nil, &d.Answer, c.timeout+e.Hold, 200)
	return d
}

// Lease renews a lease, or asks for one.
func (c *Client) Lease(e core.Lease) core.LeaseDone {
	d := core.LeaseDone{Sent: c.clock(), Lease: e.Lease}
	if e.Lease != 0 {
		d.Status = c.rpc.Call("POST", c.addr, "/holds/"+strconv.FormatUint(e.Lease, 10)+"/extend", nil, nil, c.timeout)
		return d
	}
	var a wire.LeaseAnswer
	d.Status = c.rpc.Call("POST", c.addr, "/holds", wire.LeaseRequest{TTLms: e.TTL.Milliseconds()}, &a, c.timeout, 200)
	d.Lease = a.Lease
	return d
}
