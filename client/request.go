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

// response is the response to one request; without one the status is 0.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration // 0: the server didn't say
}

// errorText is what the server said about a failure, empty if nothing.
func (r *response) errorText() string {
	var e protocol.ErrorResponse
	if protocol.Decode(r.body, &e) != nil {
		return ""
	}
	return e.Error
}

// request is a request that may be sent several times.
type request struct {
	method, path string
	body         any
	timeout      time.Duration // of one try
	budget       time.Duration // of all tries
	accepted     []int         // statuses that end it successfully
}

// errorKind is the kind of failure that a status means.
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

// send sends a request to one host after another until a response is final.
func (c *Client) send(ctx context.Context, r request) ([]byte, error) {
	end := time.Now().Add(r.budget)
	for tries, host := 1, c.currentController(); ; tries, host = tries+1, c.nextController() {
		resp := c.call(ctx, r.method, host, r.path, r.body, r.timeout)
		if slices.Contains(r.accepted, resp.status) {
			return resp.body, nil
		}
		failure := &Error{Kind: errorKind(resp.status), Status: resp.status, Text: resp.errorText(), Tries: tries}
		delay := max(c.retryDelay, resp.retryAfter)
		if !errors.Is(failure, ErrNotNow) || time.Now().Add(delay).After(end) {
			return nil, failure
		}
		if err := sleep(ctx, delay); err != nil {
			return nil, errors.Join(err, failure)
		}
	}
}

// sleep waits for d; its error is that of ctx, if it ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// call sends one request to a host, once.
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
	if end, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(end))
	}
	if timeout <= 0 || c.http.DoTimeout(req, resp, timeout) != nil {
		return response{}
	}
	return response{
		status:     resp.StatusCode(),
		body:       append([]byte(nil), resp.Body()...), // resp is released
		retryAfter: parseRetryAfter(resp.Header.Peek("Retry-After")),
	}
}

// parseRetryAfter reads a Retry-After header in seconds; 0 if there is none.
func parseRetryAfter(header []byte) time.Duration {
	var seconds int
	if n, err := fmt.Sscan(string(header), &seconds); n != 1 || err != nil || seconds <= 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// currentController is the controller to ask: the one that answered last.
func (c *Client) currentController() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controllers[c.controllerIndex%len(c.controllers)]
}

// nextController is the controller to ask after one that gave no final response.
func (c *Client) nextController() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.controllerIndex++
	return c.controllers[c.controllerIndex%len(c.controllers)]
}
