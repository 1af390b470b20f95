package client

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// artifactReadFailure is the text of an Error for a failed read from the artifact server. Users know
// that server as the depot, after the setting of its address.
const artifactReadFailure = "the depot did not return the requested data"

// uploadDescription uploads a description. It retries until the artifact server has accepted or rejected
// it, the retry budget is used up or ctx ends.
func (c *Client) uploadDescription(ctx context.Context, d *protocol.JobDescription) error {
	if err := d.Validate(); err != nil {
		return &Error{Kind: ErrMalformed, Text: err.Error()}
	}
	for deadline := time.Now().Add(c.retryBudget); ; {
		resp := c.call(ctx, fasthttp.MethodPut, c.artifacts, "/jobs/"+d.Job.ID, d, submitTimeout)
		switch resp.status {
		case statusOK:
			return nil
		case fasthttp.StatusBadRequest, fasthttp.StatusConflict:
			return &Error{Kind: ErrMalformed, Status: resp.status, Text: resp.errorText()}
		}
		if time.Now().Add(c.retryDelay).After(deadline) {
			return &Error{Kind: ErrNotNow, Status: resp.status, Text: "the depot at " + c.artifacts + " did not accept the job's description"}
		}
		if err := sleep(ctx, c.retryDelay); err != nil {
			return err
		}
	}
}

// ListedJob is an entry of the list of jobs whose descriptions were uploaded.
type ListedJob struct {
	ID    string    `json:"id"`
	Team  string    `json:"team"`
	Tasks int       `json:"tasks"`
	At    time.Time `json:"submitted"`
}

// Jobs returns a page of the jobs whose descriptions were uploaded, newest first, after skipping the
// skip newest. more reports whether older jobs follow the page. The artifact server is asked once;
// if that fails, the error is an *Error of the kind ErrNotNow.
func (c *Client) Jobs(ctx context.Context, skip int) (jobs []ListedJob, more bool, err error) {
	var list protocol.UploadedJobs
	if err := c.readArtifact(ctx, fmt.Sprintf("/jobs?Skip=%d", skip), &list); err != nil {
		return nil, false, err
	}
	for _, j := range list.Jobs {
		uploadedAt := time.UnixMilli(int64(j.UploadedAt * 1000)) // UploadedAt is in seconds
		jobs = append(jobs, ListedJob{ID: j.ID, Team: j.Team, Tasks: j.Tasks, At: uploadedAt})
	}
	return jobs, list.More, nil
}

// Output identifies the stored output of an attempt and gives its size in bytes.
type Output struct {
	Task    int    `json:"task"`
	Attempt uint64 `json:"attempt"`
	Bytes   int64  `json:"bytes"`
}

// Outputs lists the attempts of a job that have stored output, sorted by task and attempt. The
// artifact server is asked once; if that fails, the error is an *Error of the kind ErrNotNow.
func (c *Client) Outputs(ctx context.Context, id string) ([]Output, error) {
	var list protocol.OutputList
	if err := c.readArtifact(ctx, "/jobs/"+id+"/output", &list); err != nil {
		return nil, err
	}
	var outputs []Output
	for _, file := range list.Attempts {
		outputs = append(outputs, Output(file))
	}
	return outputs, nil
}

func (c *Client) readArtifact(ctx context.Context, path string, out any) error {
	resp := c.call(ctx, fasthttp.MethodGet, c.artifacts, path, nil, submitTimeout)
	if resp.status != statusOK || protocol.Decode(resp.body, out) != nil {
		return &Error{Kind: ErrNotNow, Status: resp.status, Text: artifactReadFailure}
	}
	return nil
}

// ReadOutput returns the end of an attempt's output, at most 1 MiB. The artifact server is asked once;
// if that fails, the error is an *Error of the kind ErrNotNow.
func (c *Client) ReadOutput(ctx context.Context, id string, o Output) ([]byte, error) {
	resp := c.call(ctx, fasthttp.MethodGet, c.artifacts, fmt.Sprintf("/jobs/%s/output/%d/%d", id, o.Task, o.Attempt), nil, submitTimeout)
	if resp.status != statusOK {
		return nil, &Error{Kind: ErrNotNow, Status: resp.status, Text: resp.errorText()}
	}
	return resp.body, nil
}
