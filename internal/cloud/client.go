// Package cloud is the client of the cloud.
package cloud

import (
	"net/url"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/rpc"
	"github.com/chalkhub/chalkhub/internal/wire"
)

// timeout bounds a call.
const timeout = 5 * time.Second

// Client talks to the cloud. Its methods block.
type Client struct {
	rpc  *rpc.Client
	addr string
}

// New makes a client.
func New(addr string) *Client { return &Client{rpc: rpc.New(8, timeout), addr: addr} }

// Types asks for the machine types.
func (c *Client) Types() core.TypesDone {
	var d core.TypesDone
	d.Status = c.rpc.Call("GET", c.addr, "/machine_types", nil, &d.Answer, timeout, 200)
	return d
}

// List reads a page of the list.
func (c *Client) List(e core.List) core.ListDone {
	q := "/machines?Page=500"
	if e.Since != "" {
		q += "&Since=" + url.QueryEscape(e.Since)
	}
	var l wire.MachineList
	status := c.rpc.Call("GET", c.addr, q, nil, &l, timeout, 200)
	return core.ListDone{Status: status, Machines: l.Machines, More: l.More}
}

// Hire rents machines.
func (c *Client) Hire(e core.Hire) core.HireDone {
	var n wire.Names
	s := c.rpc.Call("POST", c.addr, "/machines", e.Request, &n, timeout, 200)
	return core.HireDone{Request: e.Request.Request, Status: s, Names: n.Machines}
}

// Delete returns machines.
func (c *Client) Delete(e core.Delete) core.DeleteDone {
	s := c.rpc.Call("POST", c.addr, "/machines/delete", wire.Names{Machines: e.Names}, nil, timeout)
	return core.DeleteDone{Names: e.Names, Status: s}
}
