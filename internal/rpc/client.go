// Package rpc sends requests to external systems, with MessagePack bodies over HTTP.
//
// The package owns the connections and limits their number. It does not know what is called, what a
// status means, or whether a call may be retried: each request is sent once and never retried
// without the caller's knowledge.
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
	// maxIdleTime is how long an idle connection is kept open.
	maxIdleTime = 20 * time.Second
	// bufferBytes is enough for the header of any request or response.
	bufferBytes = 4096
)

// NoResponse is returned in place of a status by a call that got no complete response. Whether the
// request was processed is then unknown.
const NoResponse = 0

// Client calls any number of hosts. It is safe for concurrent use.
type Client struct {
	http      *fasthttp.Client
	dialer    net.Dialer
	maxOpen   int64 // number of open connections from which on idle ones are closed before a dial, 0: no limit
	openCount atomic.Int64
}

// countedConn is a connection that is counted as open until Close is first called.
type countedConn struct {
	net.Conn
	once      sync.Once
	openCount *atomic.Int64
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.openCount.Add(-1) })
	return c.Conn.Close()
}

// New returns a client for calls to few hosts, with at most connsPerHost connections to each of them.
// dialTimeout limits the time to open a connection, and the time that a call waits for one while all
// of a host's connections are in use.
func New(connsPerHost int, dialTimeout time.Duration) *Client {
	return NewMany(connsPerHost, 0, dialTimeout)
}

// NewMany returns a client for calls to many hosts. Its parameters are those of New, and in addition
// maxOpen: once that many connections are open, idle ones are closed before another is opened.
//
// Without this limit, a connection stays open to each worker that was called recently. With a few
// thousand of them the process runs out of sockets, and no user or worker can connect any more.
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
		// No caller would wait for the outcome of a transaction or a start of a task that is sent
		// again after its call has ended. So there is no retry: if the connection breaks, the
		// outcome is unknown to the caller.
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

// OpenConnections returns how many connections are open.
func (c *Client) OpenConnections() int64 { return c.openCount.Load() }

// Call sends one request, with a body unless that is nil, and waits for the response until the timeout.
// It returns the response's status, or NoResponse if there is no complete response in time or its body
// can't be decoded. The body of the response is decoded into result if its status is one of
// decodeStatuses and result is not nil.
func (c *Client) Call(method, host, path string, body, result any, timeout time.Duration, decodeStatuses ...int) int {
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
	if result == nil || !slices.Contains(decodeStatuses, status) {
		return status
	}
	if err := protocol.Decode(response.Body(), result); err != nil {
		return NoResponse
	}
	return status
}
