// Package client submits jobs to a chalkhub cluster, queries their state and cancels them.
//
// It owns its connections and the protocol's rules for users. Each try of a submission waits 5 s for a
// response. The delay between tries is at least 1 s, or as long as Retry-After asks for (up to 30 s),
// and no try starts later than 60 s after the first. All tries use the same job id. The package may
// not know which controller is the leader: it tries the controllers one after another.
//
// Invariants:
//   - A job keeps its id over all tries.
//   - A request that can never succeed is not retried.
//   - A failure of the cluster is an *Error of one Kind.
package client

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Timeouts and delays that the protocol sets for "POST /v2/runs" and "GET /v2/runs/{id}".
const (
	submitTimeout       = 5 * time.Second
	queryTimeout        = 2 * time.Second
	minRetryDelay       = time.Second
	maxRetryAfter       = 30 * time.Second
	retryBudget         = 60 * time.Second
	defaultPollInterval = 5 * time.Second

	// queriesPerController is how many times a query can be sent to each controller within its time
	// budget if every try takes the whole timeout.
	queriesPerController = 2
)

// maxIdleConnDuration is how long the client keeps an idle connection. The servers' idle timeouts are
// at least a minute, so the client closes an idle connection first: a request that is sent while the
// server closes the connection would fail.
const maxIdleConnDuration = 20 * time.Second

// Client sends requests to a cluster. Its methods may be called concurrently.
type Client struct {
	controllers []string
	artifacts   string // the artifact server's address
	http        *fasthttp.Client
	retryDelay  time.Duration // minRetryDelay, shorter in tests
	retryBudget time.Duration // retryBudget, shorter in tests

	mu              sync.Mutex
	controllerIndex int // index of the controller to ask next, modulo their number
}

// New returns a client for the controllers and the artifact server at the given addresses
// ("host:port"). It returns an error if there is no controller. The artifact server's address may be
// empty if the descriptions of jobs are uploaded by other means.
func New(controllers []string, artifacts string) (*Client, error) {
	if len(controllers) == 0 {
		return nil, errors.New("a client needs the address of at least one controller")
	}
	return &Client{
		controllers: controllers,
		artifacts:   artifacts,
		retryDelay:  minRetryDelay,
		retryBudget: retryBudget,
		http: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1, // send does the retries itself
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader:  true,
			MaxIdleConnDuration:       maxIdleConnDuration,
		},
	}, nil
}

// Submit uploads the description of what a job's tasks run and submits the job. It sets j.ID if that is
// empty. Submitting the same job again is idempotent, also after ErrNotNow. Submit blocks while it
// retries, until ctx ends.
func (c *Client) Submit(ctx context.Context, j *Job) (*Status, error) {
	if j.ID == "" {
		id, err := NewID()
		if err != nil {
			return nil, err
		}
		j.ID = id
	}
	job := j.protocolJob()
	if c.artifacts != "" {
		if err := c.uploadDescription(ctx, j.description(job)); err != nil {
			return nil, err
		}
	}
	body, err := c.send(ctx, request{
		method:   fasthttp.MethodPost,
		path:     "/v2/runs",
		body:     submissionFields(&job),
		timeout:  submitTimeout,
		budget:   c.retryBudget,
		accepted: []int{statusOK, fasthttp.StatusCreated},
	})
	if err != nil {
		return nil, err
	}
	status, err := decodeStatus(body)
	if err != nil {
		return nil, err
	}
	status.Tasks = job.Tasks
	return status, nil
}

// Query returns a job's status. It tries the controllers one after another, at most for as long as it
// takes to try each of them twice without getting a response. ErrNotNow means that no controller
// could report the status in that time, ErrUnknown that no such job was submitted, and ErrMalformed
// that id isn't a valid job id.
func (c *Client) Query(ctx context.Context, id string) (*Status, error) {
	return c.sendJobRequest(ctx, id, request{
		method:   fasthttp.MethodGet,
		path:     "/v2/runs/" + id,
		timeout:  queryTimeout,
		budget:   time.Duration(queriesPerController*len(c.controllers)) * (queryTimeout + c.retryDelay),
		accepted: []int{statusOK},
	})
}

// Abort cancels a job and returns its status. If the job had already finished, the state is done.
func (c *Client) Abort(ctx context.Context, id string) (*Status, error) {
	return c.sendJobRequest(ctx, id, request{
		method:   fasthttp.MethodPost,
		path:     "/v2/runs/" + id + "/abort",
		timeout:  submitTimeout,
		budget:   c.retryBudget,
		accepted: []int{statusOK},
	})
}

func (c *Client) sendJobRequest(ctx context.Context, id string, r request) (*Status, error) {
	if !protocol.ValidJobID(id) {
		return nil, &Error{Kind: ErrMalformed, Text: fmt.Sprintf("%q is not a job id", id)}
	}
	body, err := c.send(ctx, r)
	if err != nil {
		return nil, err
	}
	return decodeStatus(body)
}

// Wait queries a job at each interval until it is over or ctx ends. An interval of 0 or less means 5 s.
// observe, unless nil, is called with the result of each query. Failed queries don't end the wait,
// except those for an unknown job (ErrUnknown) or with a malformed id (ErrMalformed). If ctx ends,
// Wait returns its error and the result of the last query, nil if that failed.
func (c *Client) Wait(ctx context.Context, id string, interval time.Duration, observe func(*Status, error)) (*Status, error) {
	if interval <= 0 {
		interval = defaultPollInterval
	}
	for {
		status, err := c.Query(ctx, id)
		if observe != nil {
			observe(status, err)
		}
		switch {
		case err == nil && status.Final():
			return status, nil
		case errors.Is(err, ErrUnknown), errors.Is(err, ErrMalformed):
			return nil, err
		}
		if err := sleep(ctx, interval); err != nil {
			return status, err
		}
	}
}
