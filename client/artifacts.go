package client

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// artifactReadFailure is the text of a failure to read from the artifact server.
const artifactReadFailure = "the depot does not answer"

// uploadDescription uploads a description until the artifact server takes or refuses it.
func (c *Client) uploadDescription(ctx context.Context, d *protocol.JobDescription) error {
	if err := d.Validate(); err != nil {
		return &Error{Kind: ErrMalformed, Text: err.Error()}
	}
	for end := time.Now().Add(c.retryBudget); ; {
		resp := c.call(ctx, fasthttp.MethodPut, c.artifacts, "/jobs/"+d.Job.ID, d, submitTimeout)
		switch resp.status {
		case statusOK:
			return nil
		case fasthttp.StatusBadRequest, fasthttp.StatusConflict:
			return &Error{Kind: ErrMalformed, Status: resp.status, Text: resp.errorText()}
		}
		if time.Now().Add(c.retryDelay).After(end) {
			return &Error{Kind: ErrNotNow, Status: resp.status, Text: "the depot at " + c.artifacts + " does not take the job's description"}
		}
		if err := sleep(ctx, c.retryDelay); err != nil {
			return err
		}
	}
}

// ListedJob is a job whose description was uploaded.
type ListedJob struct {
	ID    string    `json:"id"`
	Team  string    `json:"team"`
	Tasks int       `json:"tasks"`
	At    time.Time `json:"submitted"`
}

// Jobs lists the jobs whose descriptions were uploaded, the newest first, without the first
// skip of them; more says that there are others beyond these.
func (c *Client) Jobs(ctx context.Context, skip int) (jobs []ListedJob, more bool, err error) {
	var list protocol.UploadedJobs
	if err := c.readArtifact(ctx, fmt.Sprintf("/jobs?Skip=%d", skip), &list); err != nil {
		return nil, false, err
	}
	for _, j := range list.Jobs {
		uploadedAt := time.UnixMilli(int64(j.UploadedAt * 1000)) // from seconds
		jobs = append(jobs, ListedJob{ID: j.ID, Team: j.Team, Tasks: j.Tasks, At: uploadedAt})
	}
	return jobs, list.More, nil
}

// Output is an attempt that has output.
type Output struct {
	Task    int    `json:"task"`
	Attempt uint64 `json:"attempt"`
	Bytes   int64  `json:"bytes"`
}

// Outputs lists a job's attempts that have output.
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

// ReadOutput is the end of an attempt's output, at most 1 MiB.
func (c *Client) ReadOutput(ctx context.Context, id string, o Output) ([]byte, error) {
	resp := c.call(ctx, fasthttp.MethodGet, c.artifacts, fmt.Sprintf("/jobs/%s/output/%d/%d", id, o.Task, o.Attempt), nil, submitTimeout)
	if resp.status != statusOK {
		return nil, &Error{Kind: ErrNotNow, Status: resp.status, Text: resp.errorText()}
	}
	return resp.body, nil
}
