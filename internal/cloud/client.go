// Package cloud is the client of the cloud.
package cloud

import (
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/engine"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/rpc"
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

// ListMachineTypes asks for the machine types.
func (c *Client) ListMachineTypes() core.MachineTypesResult {
	var d core.MachineTypesResult
	d.Outcome = engine.CloudOutcome(c.rpc.Call("GET", c.addr, "/machine_types", nil, &d.Answer, timeout, fasthttp.StatusOK))
	return d
}

// ListInstances reads a page of the list.
func (c *Client) ListInstances(e core.ListInstances) core.ListInstancesResult {
	q := "/machines?Page=500"
	if e.After != "" {
		q += "&Since=" + url.QueryEscape(e.After)
	}
	var l protocol.InstanceList
	status := c.rpc.Call("GET", c.addr, q, nil, &l, timeout, fasthttp.StatusOK)
	return core.ListInstancesResult{Outcome: engine.CloudOutcome(status), Machines: l.Machines, More: l.More}
}

// CreateInstances rents machines.
func (c *Client) CreateInstances(e core.CreateInstances) core.CreateInstancesResult {
	var n protocol.MachineNames
	status := c.rpc.Call("POST", c.addr, "/machines", e.Request, &n, timeout, fasthttp.StatusOK)
	return core.CreateInstancesResult{Request: e.Request.Request, Outcome: engine.CloudOutcome(status), Names: n.Machines}
}

// DeleteInstances returns machines.
func (c *Client) DeleteInstances(e core.DeleteInstances) core.DeleteInstancesResult {
	status := c.rpc.Call("POST", c.addr, "/machines/delete", protocol.MachineNames{Machines: e.Names}, nil, timeout)
	return core.DeleteInstancesResult{Names: e.Names, Outcome: engine.CloudOutcome(status)}
}
