package client

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

const statusOK = fasthttp.StatusOK

// response is the response to one request. If there was none, its status is 0.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration // 0: the response has no valid Retry-After header
}

// errorText returns the server's message about a failure, or "" if the body has none.
func (r *response) errorText() string {
	var e protocol.ErrorResponse
	if protocol.Decode(r.body, &e) != nil {
		return ""
	}
	return e.Error
}

// request is a request that send may try several times.
type request struct {
	method, path string
	body         any
	timeout      time.Duration // limit on the duration of each try
	budget       time.Duration // no retry starts later than this after the first try
	accepted     []int         // response statuses that mean success
}

// errorKind returns the kind of error for a response status that isn't a success.
func errorKind(status int) error {
	switch status {
	case fasthttp.StatusBadRequest:
		return ErrMalformed
	case fasthttp.StatusNotFound:
		return ErrUnknown
	case fasthttp.StatusUnprocessableEntity:
		return ErrImpossible
	}
	return ErrNotNow
}

// send sends a request to one controller after another until a response is final, that is, a success
// or a failure that a retry can't change, or until the request's budget is used up. It returns the
// body of a successful response.
func (c *Client) send(ctx context.Context, r request) ([]byte, error) {
	deadline := time.Now().Add(r.budget)
	for tries, host := 1, c.currentController(); ; tries, host = tries+1, c.nextController() {
		resp := c.call(ctx, r.method, host, r.path, r.body, r.timeout)
		if slices.Contains(r.accepted, resp.status) {
			return resp.body, nil
		}
		failure := &Error{Kind: errorKind(resp.status), Status: resp.status, Text: resp.errorText(), Tries: tries}
		delay := max(c.retryDelay, resp.retryAfter)
		if !errors.Is(failure, ErrNotNow) || time.Now().Add(delay).After(deadline) {
			return nil, failure
		}
		if err := sleep(ctx, delay); err != nil {
			return nil, errors.Join(err, failure)
		}
	}
}

// sleep waits for d. If ctx ends first, it returns ctx's error.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// call sends a request to a host once, without retries. If no response comes within timeout or before
// ctx's deadline, the response's status is 0.
func (c *Client) call(ctx context.Context, method, host, path string, body any, timeout time.Duration) response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + host + path)
	if body != nil {
		req.Header.SetContentType(protocol.ContentType)
		req.SetBodyRaw(protocol.Encode(body))
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if timeout <= 0 || c.http.DoTimeout(req, resp, timeout) != nil {
		return response{}
	}
	return response{
		status:     resp.StatusCode(),
		body:       append([]byte(nil), resp.Body()...), // copied, because resp is released
		retryAfter: parseRetryAfter(resp.Header.Peek("Retry-After")),
	}
}

// parseRetryAfter parses a Retry-After header in seconds and limits it to maxRetryAfter. It returns 0 if
// the header is missing or isn't a positive number of seconds.
func parseRetryAfter(header []byte) time.Duration {
	var seconds int
	if n, err := fmt.Sscan(string(header), &seconds); n != 1 || err != nil || seconds <= 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// currentController returns the address of the controller to ask first. This is the controller that
// was asked last; normally it gave the last final response.
func (c *Client) currentController() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controllers[c.controllerIndex%len(c.controllers)]
}

// nextController switches to the next controller and returns its address. It is called after a
// controller that gave no final response.
func (c *Client) nextController() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controllerIndex++
	return c.controllers[c.controllerIndex%len(c.controllers)]
}
