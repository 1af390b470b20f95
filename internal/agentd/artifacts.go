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
	// callTimeout is the timeout of a call to the artifact server, which syncs each upload
	// to disk before it responds.
	callTimeout = 5 * time.Second

	// artifactsConns is the maximum number of connections for job descriptions and results.
	// The attempts of a machine seldom all start or end at the same time.
	artifactsConns = 16

	// Delays between retries of a call; the delay doubles with each retry. The first delay is
	// short since a restart of the server takes little time; the maximum keeps the retries of
	// many machines from overloading the server after a long outage.
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
)

// ErrArtifactsUnavailable reports that the artifact server didn't respond, or responded with an
// unexpected status.
var ErrArtifactsUnavailable = errors.New("the artifact server is unavailable")

// ArtifactsClient calls an artifact server. Its methods block until the response or a timeout
// and don't retry. Their errors wrap ErrArtifactsUnavailable. It is safe for concurrent use.
type ArtifactsClient struct {
	rpc  *rpc.Client
	addr string
	raw  *fasthttp.Client // for output, which is not encoded as MessagePack
}

// JobLookup is what the artifact server stores of a job and of one task's result. Found is
// false if the job's description was never uploaded; the other fields are then zero.
type JobLookup struct {
	Found        bool
	Description  protocol.JobDescription
	ResultStored bool
}

// NewArtifactsClient returns a client for the artifact server at an address (host:port). It
// opens no connection yet.
func NewArtifactsClient(addr string) *ArtifactsClient {
	raw := &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true}
	return &ArtifactsClient{rpc: rpc.New(artifactsConns, callTimeout), addr: addr, raw: raw}
}

// Describe reads the description of a job and whether the result of one of its tasks, given by
// its index, is stored.
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

// StoreResult stores that a task is done. If it returns nil, this is durable. If it returns an
// error, it may have been stored or not.
func (c *ArtifactsClient) StoreResult(job string, task int) error {
	status := c.rpc.Call(fasthttp.MethodPut, c.addr, resultPath(job, task), struct{}{}, nil, callTimeout)
	if status != fasthttp.StatusOK {
		return unavailable(status)
	}
	return nil
}

// UploadOutput replaces the stored output of an attempt.
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

// describeJob retries the read of a job's description until the artifact server responds, and
// posts the outcome. If the attempt has been dropped by then, the agent ignores the event.
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
		return // the daemon shuts down
	}
	d.post(agent.JobDescribed{
		AttemptKey:   key,
		Found:        lookup.Found,
		Description:  lookup.Description,
		ResultStored: lookup.ResultStored,
	})
}

// retry repeats a call with increasing delays until it succeeds. It fails only with ctx's
// error, once ctx is cancelled.
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
