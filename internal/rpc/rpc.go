// Package rpc calls the outside systems: MessagePack bodies over HTTP, each
// request sent once and never repeated behind the caller's back.
package rpc

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/wire"
)

// Client calls any number of hosts.
type Client struct {
	http *fasthttp.Client
}

// New makes a client with at most conns connections to one host.
func New(conns int, dial time.Duration) *Client {
	d := &net.Dialer{Timeout: dial}
	return &Client{http: &fasthttp.Client{
		Name:                          "chalkhub",
		MaxConnsPerHost:               conns,
		MaxIdleConnDuration:           20 * time.Second,
		MaxConnWaitTimeout:            dial,
		ReadBufferSize:                4096,
		WriteBufferSize:               4096,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
		// A repeated start or transaction would have an outcome nobody waits
		// for, so a broken connection is an open outcome, not another try.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      func(addr string) (net.Conn, error) { return d.Dial("tcp4", addr) },
	}}
}

// Call sends one request. Status 0 means that no whole answer came. The answer
// is decoded into out if the status is among ok.
func (c *Client) Call(method, host, path string, body, out any, timeout time.Duration, ok ...int) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + host + path)
	if body != nil {
		req.Header.SetContentType(wire.ContentType)
		req.SetBodyRaw(wire.Encode(body))
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return 0
	}
	status := resp.StatusCode()
	for _, s := range ok {
		if s == status && out != nil {
			if err := wire.Decode(resp.Body(), out); err != nil {
				return 0
			}
		}
	}
	return status
}
