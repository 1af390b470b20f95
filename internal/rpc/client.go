// Package rpc calls the outside systems: MessagePack bodies over HTTP.
//
// It owns the connections and their number. It does not know what is called, what a status
// means, or whether a call may be repeated: each request is sent once and never repeated
// behind the caller's back.
package rpc

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// maxIdleTime is how long a connection is kept without a call.
	maxIdleTime = 20 * time.Second
	// bufferBytes is enough for the header of any message.
	bufferBytes = 4096
)

// NoResponse stands for the status of a call that got no whole answer.
const NoResponse = 0

// Client calls any number of hosts. Any goroutine may use it.
type Client struct {
	http      *fasthttp.Client
	dialer    net.Dialer
	maxOpen   int64 // connections that may be open before the idle ones are closed, 0: any
	openCount atomic.Int64
}

// countedConn is a connection that counts until it is closed for the first time.
type countedConn struct {
	net.Conn
	once      sync.Once
	openCount *atomic.Int64
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.openCount.Add(-1) })
	return c.Conn.Close()
}

// New makes a client with at most so many connections to each host, for calls to few hosts.
func New(connsPerHost int, dialTimeout time.Duration) *Client {
	return NewMany(connsPerHost, 0, dialTimeout)
}

// NewMany makes a client for calls to many hosts: once maxOpen connections are open, idle
// ones are closed before another is opened.
//
// Guards the process's sockets: a connection is kept to each worker that was called
// lately, and with a few thousand of them no user or worker could connect any more.
func NewMany(connsPerHost, maxOpen int, dialTimeout time.Duration) *Client {
	c := &Client{dialer: net.Dialer{Timeout: dialTimeout}, maxOpen: int64(maxOpen)}
	c.http = &fasthttp.Client{
		Name:                          "chalkhub",
		Dial:                          c.dial,
		MaxConnsPerHost:               connsPerHost,
		MaxIdleConnDuration:           maxIdleTime,
		MaxConnWaitTimeout:            dialTimeout,
		ReadBufferSize:                bufferBytes,
		WriteBufferSize:               bufferBytes,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
		// A repeated start or transaction would have an outcome nobody waits
		// for, so a broken connection is an open outcome, not another try.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	return c
}

func (c *Client) dial(address string) (net.Conn, error) {
	if c.maxOpen > 0 && c.openCount.Load() >= c.maxOpen {
		c.http.CloseIdleConnections()
	}
	conn, err := c.dialer.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	c.openCount.Add(1)
	return &countedConn{Conn: conn, openCount: &c.openCount}, nil
}

// OpenConnections is how many connections are open.
func (c *Client) OpenConnections() int64 { return c.openCount.Load() }

// Call sends one request with a body, if that is not nil, and returns the status of its
// answer, or NoAnswer. The answer is decoded if its status is among decoded.
func (c *Client) Call(method, host, path string, body, answer any, timeout time.Duration, decoded ...int) int {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + host + path)
	if body != nil {
		request.Header.SetContentType(protocol.ContentType)
		request.SetBodyRaw(protocol.Encode(body))
	}
	if err := c.http.DoTimeout(request, response, timeout); err != nil {
		return NoResponse
	}
	status := response.StatusCode()
	if answer == nil || !slices.Contains(decoded, status) {
		return status
	}
	if err := protocol.Decode(response.Body(), answer); err != nil {
		return NoResponse
	}
	return status
}
