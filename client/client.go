// Package client submits jobs to a chalkhub cluster, asks about them and cancels them.
//
// It owns its connections and the protocol's rules for users: a try waits 5 s, tries are at
// least 1 s apart or as long as Retry-After says (up to 30 s), 60 s in all, and always with
// the same id. It may not know which controller leads: it asks one after another.
//
// Invariants: a job keeps its id over all tries; what can never succeed is not repeated; a
// cluster's failure is an *Error of one Kind.
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

// Time spans of the protocol, "POST /v2/runs" and "GET /v2/runs/{id}".
const (
	submitTimeout       = 5 * time.Second
	queryTimeout        = 2 * time.Second
	minRetryDelay       = time.Second
	maxRetryAfter       = 30 * time.Second
	retryBudget         = 60 * time.Second
	defaultPollInterval = 5 * time.Second

	// queriesPerController is how often a query asks each controller.
	queriesPerController = 2
)

// maxIdleConnDuration closes idle connections before the servers do, which is a minute.
const maxIdleConnDuration = 20 * time.Second

// Client talks to a cluster. Its methods may be called from any goroutine.
type Client struct {
	controllers []string
	artifacts   string // the artifact server's address
	http        *fasthttp.Client
	retryDelay  time.Duration // minRetryDelay, shorter in tests
	retryBudget time.Duration // retryBudget, shorter in tests

	mu              sync.Mutex
	controllerIndex int // counts controllers that were asked, modulo their number
}

// New makes a client of the controllers' addresses and the artifact server's, which may be
// empty if jobs' descriptions are uploaded elsewhere.
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
			MaxIdemponentCallAttempts: 1, // tries are counted by send
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader:  true,
			MaxIdleConnDuration:       maxIdleConnDuration,
		},
	}, nil
}

// Submit uploads what a job's tasks do and submits the job. The same job may be submitted
// again, also after ErrNotNow. j.ID is set if it was empty.
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

// Query asks about a job, each controller at most twice. ErrNotNow means that none
// knows at the moment.
func (c *Client) Query(ctx context.Context, id string) (*Status, error) {
	return c.sendJobRequest(ctx, id, request{
		method:   fasthttp.MethodGet,
		path:     "/v2/runs/" + id,
		timeout:  queryTimeout,
		budget:   time.Duration(queriesPerController*len(c.controllers)) * (queryTimeout + c.retryDelay),
		accepted: []int{statusOK},
	})
}

// Abort cancels a job. The state may be done: then it was over already.
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

// Wait polls until a job is over or ctx ends. observe, if there is one, gets each status,
// and each failure to get one; failures do not end the waiting, but an unknown job does.
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
