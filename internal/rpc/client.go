// Package rpc calls the outside systems: MessagePack bodies over HTTP, each
// request sent once and never repeated behind the caller's back.
package rpc

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Client calls any number of hosts.
type Client struct {
	http      *fasthttp.Client
	maxOpen   int64 // connections that may be open before the idle ones are closed, 0: any
	openCount atomic.Int64
}

// countedConn is a connection that is counted.
type countedConn struct {
	net.Conn
	once      sync.Once
	openCount *atomic.Int64
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.openCount.Add(-1) })
	return c.Conn.Close()
}

// New makes a client with at most conns connections to one host, for calls to few hosts.
func New(conns int, dial time.Duration) *Client { return NewMany(conns, 0, dial) }

// NewMany makes a client for calls to many hosts: once most connections are open, idle
// ones are closed before another is opened.
//
// Guards the process's sockets: a connection is kept to each worker that was called
// lately, and with a few thousand of them no user or worker could connect any more.
func NewMany(conns, most int, dial time.Duration) *Client {
	d := &net.Dialer{Timeout: dial}
	c := &Client{maxOpen: int64(most)}
	c.http = &fasthttp.Client{
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
		Dial: func(addr string) (net.Conn, error) {
			if c.maxOpen > 0 && c.openCount.Load() >= c.maxOpen {
				c.http.CloseIdleConnections()
			}
			x, err := d.Dial("tcp4", addr)
			if err != nil {
				return nil, err
			}
			c.openCount.Add(1)
			return &countedConn{Conn: x, openCount: &c.openCount}, nil
		},
	}
	return c
}

// OpenConnections is how many connections are open.
func (c *Client) OpenConnections() int64 { return c.openCount.Load() }

// Call sends one request. Status 0 means that no whole answer came. The answer
// is decoded into out if the status is among ok.
func (c *Client) Call(method, host, path string, body, out any, timeout time.Duration, ok ...int) int {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + host + path)
	if body != nil {
		req.Header.SetContentType(protocol.ContentType)
		req.SetBodyRaw(protocol.Encode(body))
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return 0
	}
	status := resp.StatusCode()
	for _, s := range ok {
		if s == status && out != nil {
			if err := protocol.Decode(resp.Body(), out); err != nil {
				return 0
			}
		}
	}
	return status
}
