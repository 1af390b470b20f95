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

// List reads every page of the list.
func (c *Client) List() core.ListDone {
	var d core.ListDone
	since := ""
	for {
		var l wire.MachineList
		q := "/machines?Page=500"
		if since != "" {
			q += "&Since=" + url.QueryEscape(since)
		}
		if d.Status = c.rpc.Call("GET", c.addr, q, nil, &l, timeout, 200); d.Status != 200 {
			return d
		}
		d.Machines = append(d.Machines, l.Machines...)
		if !l.More || len(l.Machines) == 0 {
			return d
		}
		since = l.Machines[len(l.Machines)-1].Name
	}
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
