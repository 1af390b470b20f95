package agentd

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/agent"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

const (
	// callTimeout bounds a call to the artifact server, which syncs its disk for each
	// upload.
	callTimeout = 5 * time.Second

	// artifactsConns bounds the connections for descriptions and results: the attempts of
	// a machine seldom start or end all at once.
	artifactsConns = 16

	// Delays between two calls for the same thing, doubled from the first to the last: a
	// restart of the server is short, and a long outage isn't made longer by retries.
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
)

// ErrArtifactsUnavailable says that the artifact server gave no usable response.
var ErrArtifactsUnavailable = errors.New("the artifact server is unavailable")

// ArtifactsClient calls an artifact server. Its methods block; each calls once.
type ArtifactsClient struct {
	rpc  *rpc.Client
	addr string
	raw  *fasthttp.Client // for output, which is no MessagePack
}

// JobLookup is what the artifact server knows of a job and of one task's result. Without
// Found nobody uploaded the job.
type JobLookup struct {
	Found        bool
	Description  protocol.JobDescription
	ResultStored bool
}

// NewArtifactsClient makes a client of the artifact server at an address.
func NewArtifactsClient(addr string) *ArtifactsClient {
	raw := &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}
	return &ArtifactsClient{rpc: rpc.New(artifactsConns, callTimeout), addr: addr, raw: raw}
}

// Describe reads a task's job and whether the task's result is stored.
func (c *ArtifactsClient) Describe(job string, task int) (JobLookup, error) {
	var lookup JobLookup
	status := c.rpc.Call(fasthttp.MethodGet, c.addr, "/jobs/"+job, nil, &lookup.Description, callTimeout, fasthttp.StatusOK)
	if status == fasthttp.StatusNotFound {
		return JobLookup{}, nil
	}
	if status != fasthttp.StatusOK {
		return JobLookup{}, unavailable(status)
	}
	var result protocol.ResultStatus
	status = c.rpc.Call(fasthttp.MethodGet, c.addr, resultPath(job, task), nil, &result, callTimeout, fasthttp.StatusOK)
	if status != fasthttp.StatusOK {
		return JobLookup{}, unavailable(status)
	}
	lookup.Found, lookup.ResultStored = true, result.Done
	return lookup, nil
}

// StoreResult stores that a task is done; without an error that is durable.
func (c *ArtifactsClient) StoreResult(job string, task int) error {
	status := c.rpc.Call(fasthttp.MethodPut, c.addr, resultPath(job, task), struct{}{}, nil, callTimeout)
	if status != fasthttp.StatusOK {
		return unavailable(status)
	}
	return nil
}

// UploadOutput replaces an attempt's stored output.
func (c *ArtifactsClient) UploadOutput(job string, task int, attempt uint64, output []byte) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPut)
	req.SetRequestURI("http://" + c.addr + "/jobs/" + job + "/output/" + strconv.Itoa(task) + "/" + strconv.FormatUint(attempt, 10))
	req.SetBodyRaw(output)
	if err := c.raw.DoTimeout(req, resp, callTimeout); err != nil {
		return fmt.Errorf("%w: %w", ErrArtifactsUnavailable, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return unavailable(resp.StatusCode())
	}
	return nil
}

func resultPath(job string, task int) string {
	return "/jobs/" + job + "/results/" + strconv.Itoa(task)
}

func unavailable(status int) error {
	return fmt.Errorf("%w: status %d", ErrArtifactsUnavailable, status)
}

// describeJob asks the artifact server until it responds, and posts the description. If
// the attempt is gone by then, the agent ignores that.
func (d *Daemon) describeJob(key agent.AttemptKey) {
	job, index, err := protocol.ParseTaskName(key.Task)
	if err != nil {
		return
	}
	var lookup JobLookup
	err = retry(d.ctx, func() (err error) {
		lookup, err = d.artifacts.Describe(job, index)
		return err
	})
	if err != nil {
		return // the daemon ends
	}
	d.post(agent.JobDescribed{
		AttemptKey:   key,
		Found:        lookup.Found,
		Description:  lookup.Description,
		ResultStored: lookup.ResultStored,
	})
}

// retry calls until there is no error. Its own error is that of ctx.
func retry(ctx context.Context, call func() error) error {
	for delay := firstRetryDelay; call() != nil; delay = min(2*delay, maxRetryDelay) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
	}
	return nil
}
