// Package cloud is the controllers' client of the cloud's API: it executes the core's requests over
// HTTP and converts the responses into typed results.
//
// The package owns the connections to the cloud and the encoding of the requests. It does not know
// which machines are needed. Each request is sent once, and only the core retries.
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
	// timeout limits the duration of a call. No user request waits for a call to the cloud.
	timeout = 5 * time.Second
	// maxConnections is far more than needed for the few requests that the core has in flight.
	maxConnections = 8
	// listPageMachines is the maximum number of machines on one page of the list.
	listPageMachines = 500
)

// Client calls the cloud. Its methods block until the response arrives, for timeout at most, and
// report a failure as the result's Outcome, which is core.CloudUnknown if there was no response. It is
// safe for concurrent use.
type Client struct {
	rpc     *rpc.Client
	address string
}

// New returns a client for the cloud at an address. It opens no connection yet.
func New(address string) *Client {
	return &Client{rpc: rpc.New(maxConnections, timeout), address: address}
}

// ListMachineTypes requests the machine types that the cloud offers.
func (c *Client) ListMachineTypes() core.MachineTypesResult {
	var result core.MachineTypesResult
	status := c.rpc.Call(fasthttp.MethodGet, c.address, "/machine_types", nil, &result.Response, timeout, fasthttp.StatusOK)
	result.Outcome = engine.CloudOutcome(status)
	return result
}

// ListInstances reads one page of the rented machines, beginning after request.After.
func (c *Client) ListInstances(request core.ListInstances) core.ListInstancesResult {
	path := "/machines?Page=" + strconv.Itoa(listPageMachines)
	if request.After != "" {
		path += "&Since=" + url.QueryEscape(request.After)
	}
	var page protocol.InstanceList
	status := c.rpc.Call(fasthttp.MethodGet, c.address, path, nil, &page, timeout, fasthttp.StatusOK)
	return core.ListInstancesResult{Outcome: engine.CloudOutcome(status), Machines: page.Machines, More: page.More}
}

// CreateInstances rents machines. The result has their names.
func (c *Client) CreateInstances(request core.CreateInstances) core.CreateInstancesResult {
	var names protocol.MachineNames
	status := c.rpc.Call(fasthttp.MethodPost, c.address, "/machines", request.Request, &names, timeout, fasthttp.StatusOK)
	return core.CreateInstancesResult{Request: request.Request.RequestID, Outcome: engine.CloudOutcome(status), Names: names.Machines}
}

// DeleteInstances returns rented machines to the cloud.
func (c *Client) DeleteInstances(request core.DeleteInstances) core.DeleteInstancesResult {
	names := protocol.MachineNames{Machines: request.Names}
	status := c.rpc.Call(fasthttp.MethodPost, c.address, "/machines/delete", names, nil, timeout)
	return core.DeleteInstancesResult{Names: request.Names, Outcome: engine.CloudOutcome(status)}
}
