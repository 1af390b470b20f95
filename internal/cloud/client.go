// Package cloud is the controllers' client of the cloud: it carries out the core's requests
// over HTTP and turns the answers into typed results.
//
// It owns the connections to the cloud and the form of the requests. It does not know which
// machines are wanted; each request is sent once, and repeated by nobody but the core.
package cloud

import (
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/engine"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

const (
	// timeout bounds a call. No user waits for one.
	timeout = 5 * time.Second
	// maxConnections is far more than the core's few requests at a time take.
	maxConnections = 8
	// listPageMachines is how many machines are read at once.
	listPageMachines = 500
)

// Client calls the cloud. Its methods block until the answer is there or the time for it is
// over; any goroutine may call them.
type Client struct {
	rpc     *rpc.Client
	address string
}

// New makes a client.
func New(address string) *Client {
	return &Client{rpc: rpc.New(maxConnections, timeout), address: address}
}

// ListMachineTypes asks for the machine types.
func (c *Client) ListMachineTypes() core.MachineTypesResult {
	var result core.MachineTypesResult
	status := c.rpc.Call(fasthttp.MethodGet, c.address, "/machine_types", nil, &result.Response, timeout, fasthttp.StatusOK)
	result.Outcome = engine.CloudOutcome(status)
	return result
}

// ListInstances reads a page of the machines that are rented.
func (c *Client) ListInstances(request core.ListInstances) core.ListInstancesResult {
	path := "/machines?Page=" + strconv.Itoa(listPageMachines)
	if request.After != "" {
		path += "&Since=" + url.QueryEscape(request.After)
	}
	var page protocol.InstanceList
	status := c.rpc.Call(fasthttp.MethodGet, c.address, path, nil, &page, timeout, fasthttp.StatusOK)
	return core.ListInstancesResult{Outcome: engine.CloudOutcome(status), Machines: page.Machines, More: page.More}
}

// CreateInstances rents machines.
func (c *Client) CreateInstances(request core.CreateInstances) core.CreateInstancesResult {
	var names protocol.MachineNames
	status := c.rpc.Call(fasthttp.MethodPost, c.address, "/machines", request.Request, &names, timeout, fasthttp.StatusOK)
	return core.CreateInstancesResult{Request: request.Request.RequestID, Outcome: engine.CloudOutcome(status), Names: names.Machines}
}

// DeleteInstances returns machines.
func (c *Client) DeleteInstances(request core.DeleteInstances) core.DeleteInstancesResult {
	names := protocol.MachineNames{Machines: request.Names}
	status := c.rpc.Call(fasthttp.MethodPost, c.address, "/machines/delete", names, nil, timeout)
	return core.DeleteInstancesResult{Names: request.Names, Outcome: engine.CloudOutcome(status)}
}
