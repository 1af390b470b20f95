// Package client hands jobs to a chalkhub cluster, asks about them and cancels them. It
// keeps the PROTOCOL's rules for users: a try waits 5 s, tries are at least 1 s apart or
// as long as Retry-After says (up to 30 s), 60 s in all, and always with the same id.
package client

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"math/big"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Spans of the PROTOCOL, "POST /v2/runs" and "GET /v2/runs/{id}".
const (
	tryWait   = 5 * time.Second
	pollWait  = 2 * time.Second
	leastGap  = time.Second
	mostGap   = 30 * time.Second
	patience  = 60 * time.Second
	pollEvery = 5 * time.Second
)

// Kinds of failure, for errors.Is.
var (
	// ErrMalformed: the request can never be understood. It was not retried.
	ErrMalformed = errors.New("the request is malformed")
	// ErrImpossible: the cluster can never run this job. It was not retried.
	ErrImpossible = errors.New("the job can never run here")
	// ErrNotNow: no controller took the request in time. It may have been taken all the
	// same; the same id can be used again.
	ErrNotNow = errors.New("no controller takes the request now")
	// ErrUnknown: nobody submitted a job with this id.
	ErrUnknown = errors.New("no such job")
)

// Error is a failure with what the controller said about it.
type Error struct {
	Kind   error // one of the above
	Status int   // of the last answer, 0: there was none
	Text   string
	Tries  int
}

// Error gives the kind and what the controller said.
func (e *Error) Error() string {
	s := e.Kind.Error()
	if e.Text != "" {
		s += ": " + e.Text
	}
	if errors.Is(e.Kind, ErrNotNow) {
		s += fmt.Sprintf(" (%d tries)", e.Tries)
	}
	return s
}

// Unwrap gives the kind.
func (e *Error) Unwrap() error { return e.Kind }

// Kind of job.
type Kind string

// Kinds of job: an array's tasks run to completion, a service's until it is cancelled.
const (
	Array   Kind = protocol.KindArray
	Service Kind = protocol.KindService
)

// Urgency of a job.
type Urgency string

// Urgencies, the most urgent first.
const (
	Production Urgency = protocol.UrgencyProduction
	High       Urgency = protocol.UrgencyHigh
	Normal     Urgency = protocol.UrgencyNormal
	Low        Urgency = protocol.UrgencyLow
)

// Job is what a user asks for. Spans are how long a task runs, not the job.
type Job struct {
	ID       string // empty: NewID chooses one
	Class    string // empty: "default"
	Team     string
	Kind     Kind    // empty: Array
	Urgency  Urgency // empty: Normal
	Tasks    int     // 0: 1
	CPUs     float64 // of each task
	GPUs     float64
	MemoryGB float64
	Image    string // empty: "none"
	ImageGB  float64
	Types    []string // allowed machine types, none: any
	Zone     string   // the only allowed zone, empty: any
	OneZone  bool     // all tasks in one zone, whichever
	Spread   bool     // at most half of them in one zone
	Spot     bool     // cheap machines that may be taken back are allowed
	Estimate time.Duration
	// Checkpoint is the span of progress after which a task saves by itself, and Save
	// the time that it needs to; 0: it never saves.
	Checkpoint, Save time.Duration
	Deadline         time.Duration // from the submission on, 0: none
	// After names jobs that must be done before any task of this one starts. If one of
	// them is cancelled, so is this.
	After []string

	// What a task does: a command, or a simulated run time.
	Command  []string
	Env      map[string]string
	Folder   string // working folder, empty: a new one for each attempt
	Simulate time.Duration
}

func (j *Job) wire() protocol.Job {
	w := protocol.Job{ID: j.ID, Class: j.Class, Team: j.Team, Kind: string(j.Kind), Urgency: string(j.Urgency), Tasks: j.Tasks,
		CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB, Image: j.Image, ImageGB: j.ImageGB, MachineTypes: j.Types, Zone: j.Zone,
		OneZone: j.OneZone, Spread: j.Spread, AllowSpot: j.Spot, EstimateS: j.Estimate.Seconds(), CheckpointS: j.Checkpoint.Seconds(),
		SaveS: j.Save.Seconds(), DeadlineS: j.Deadline.Seconds(), Dependencies: j.After}
	or := func(s *string, other string) {
		if *s == "" {
			*s = other
		}
	}
	or(&w.Class, "default")
	or(&w.Kind, protocol.KindArray)
	or(&w.Urgency, protocol.UrgencyNormal)
	or(&w.Image, "none")
	if w.Tasks == 0 {
		w.Tasks = 1
	}
	if w.Kind == protocol.KindService {
		w.EstimateS = 0
	}
	return w
}

// NewID chooses an id that nobody else chooses: 17 random digits.
func NewID() (string, error) {
	n, err := rand.Int(rand.Reader, big.NewInt(1e17))
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("job-%017d", n), nil
}

// Status is what a controller says about a job.
type Status struct {
	ID      string `json:"id"`
	State   string `json:"state"` // queued, running, done or aborted
	Tasks   int    `json:"tasks,omitempty"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
	Reason  string `json:"reason,omitempty"` // why tasks wait or were stopped
}

// Final reports whether the job is over.
func (s *Status) Final() bool { return s.State == protocol.JobDone || s.State == protocol.JobCancelled }

// Client talks to a cluster. Its methods may be called from any goroutine.
type Client struct {
	addrs []string
	depot string
	http  *fasthttp.Client
	gap   time.Duration // leastGap, shorter in tests
	give  time.Duration // patience

	mu sync.Mutex
	at int // the controller that answered last
}

// New makes a client of the controllers' addresses and the depot's, which may be empty
// if jobs' descriptions are uploaded elsewhere.
func New(controllers []string, depot string) (*Client, error) {
	if len(controllers) == 0 {
		return nil, errors.New("a client needs the address of at least one controller")
	}
	return &Client{addrs: controllers, depot: depot, gap: leastGap, give: patience,
		http: &fasthttp.Client{MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			NoDefaultUserAgentHeader: true, MaxIdleConnDuration: 20 * time.Second}}, nil
}

// call sends one request to a host. Status 0: no answer.
func (c *Client) call(ctx context.Context, method, host, path string, body any, wait time.Duration) (status int, b []byte, retry time.Duration) {
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
		wait = min(wait, time.Until(end))
	}
	if wait <= 0 || c.http.DoTimeout(req, resp, wait) != nil {
		return 0, nil, 0
	}
	var s int
	if n, err := fmt.Sscan(string(resp.Header.Peek("Retry-After")), &s); n == 1 && err == nil && s > 0 {
		retry = min(time.Duration(s)*time.Second, mostGap)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), retry
}

// host is the controller to ask, next the one after it.
func (c *Client) host(next bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next {
		c.at++
	}
	return c.addrs[c.at%len(c.addrs)]
}

func text(b []byte) string {
	var e protocol.ErrorResponse
	if protocol.Decode(b, &e) != nil {
		return ""
	}
	return e.Error
}

// request repeats a request until it is answered for good. Answers in ok end it; so do
// 400, 404 and 422.
func (c *Client) request(ctx context.Context, method, path string, body any, wait, give time.Duration, ok ...int) ([]byte, error) {
	end := time.Now().Add(give)
	last := &Error{Kind: ErrNotNow}
	for host := c.host(false); ; host = c.host(true) {
		status, b, retry := c.call(ctx, method, host, path, body, wait)
		last.Tries++
		for _, s := range ok {
			if s == status {
				return b, nil
			}
		}
		last.Status, last.Text = status, text(b)
		switch status {
		case 400:
			last.Kind = ErrMalformed
		case 404:
			last.Kind = ErrUnknown
		case 422:
			last.Kind = ErrImpossible
		}
		if !errors.Is(last.Kind, ErrNotNow) {
			return nil, last
		}
		gap := max(c.gap, retry)
		if time.Now().Add(gap).After(end) {
			return nil, last
		}
		select {
		case <-ctx.Done():
			return nil, errors.Join(ctx.Err(), last)
		case <-time.After(gap):
		}
	}
}

// Submit uploads what a job's tasks do and hands the job in. The same job may be
// submitted again, also after ErrNotNow. j.ID is set if it was empty.
func (c *Client) Submit(ctx context.Context, j *Job) (*Status, error) {
	if j.ID == "" {
		id, err := NewID()
		if err != nil {
			return nil, err
		}
		j.ID = id
	}
	w := j.wire()
	if c.depot != "" {
		d := protocol.JobDescription{Job: w, Command: j.Command, Env: j.Env, Folder: j.Folder, SimulatedS: j.Simulate.Seconds()}
		if err := d.Validate(); err != nil {
			return nil, &Error{Kind: ErrMalformed, Text: err.Error()}
		}
		if err := c.upload(ctx, &d); err != nil {
			return nil, err
		}
	}
	b, err := c.request(ctx, "POST", "/v2/runs", submission(&w), tryWait, c.give, 200, 201)
	if err != nil {
		return nil, err
	}
	s, err := status(b)
	if s != nil {
		s.Tasks = w.Tasks
	}
	return s, err
}

// submission has every field that the PROTOCOL wants, also those that are zero.
func submission(w *protocol.Job) map[string]any {
	var m map[string]any
	if err := protocol.Decode(protocol.Encode(w), &m); err != nil {
		panic(fmt.Sprintf("client: a job does not decode: %v", err))
	}
	for field, zero := range protocol.JobDefaults() {
		if _, ok := m[field]; !ok {
			m[field] = zero
		}
	}
	return m
}

func (c *Client) upload(ctx context.Context, d *protocol.JobDescription) error {
	end := time.Now().Add(c.give)
	for {
		s, b, _ := c.call(ctx, "PUT", c.depot, "/jobs/"+d.Job.ID, d, tryWait)
		switch s {
		case 200:
			return nil
		case 400, 409:
			return &Error{Kind: ErrMalformed, Status: s, Text: text(b)}
		}
		if time.Now().Add(c.gap).After(end) {
			return &Error{Kind: ErrNotNow, Status: s, Text: "the depot at " + c.depot + " does not take the job's description"}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(c.gap):
		}
	}
}

func status(b []byte) (*Status, error) {
	var a protocol.JobResponse
	if err := protocol.Decode(b, &a); err != nil {
		return nil, &Error{Kind: ErrNotNow, Status: 200, Text: err.Error()}
	}
	return &Status{ID: a.ID, State: a.State, Done: a.Done, Running: a.Running, Reason: a.Reason}, nil
}

// Query asks about a job, each controller at most twice. ErrNotNow means that none
// knows at the moment.
func (c *Client) Query(ctx context.Context, id string) (*Status, error) {
	if !protocol.ValidJobID(id) {
		return nil, &Error{Kind: ErrMalformed, Text: fmt.Sprintf("%q is not a job id", id)}
	}
	b, err := c.request(ctx, "GET", "/v2/runs/"+id, nil, pollWait, time.Duration(2*len(c.addrs))*(pollWait+c.gap), 200)
	if err != nil {
		return nil, err
	}
	return status(b)
}

// Abort cancels a job. The state may be done: then it was over already.
func (c *Client) Abort(ctx context.Context, id string) (*Status, error) {
	if !protocol.ValidJobID(id) {
		return nil, &Error{Kind: ErrMalformed, Text: fmt.Sprintf("%q is not a job id", id)}
	}
	b, err := c.request(ctx, "POST", "/v2/runs/"+id+"/abort", nil, tryWait, c.give, 200)
	if err != nil {
		return nil, err
	}
	return status(b)
}

// Wait polls until a job is over or ctx ends. see, if there is one, is told each answer,
// and each failure to get one; failures do not end the waiting, but an unknown job does.
func (c *Client) Wait(ctx context.Context, id string, every time.Duration, see func(*Status, error)) (*Status, error) {
	if every <= 0 {
		every = pollEvery
	}
	for {
		s, err := c.Query(ctx, id)
		if see != nil {
			see(s, err)
		}
		switch {
		case err == nil && s.Final():
			return s, nil
		case errors.Is(err, ErrUnknown), errors.Is(err, ErrMalformed):
			return nil, err
		}
		select {
		case <-ctx.Done():
			return s, ctx.Err()
		case <-time.After(every):
		}
	}
}

// Listed is a job in the depot's list.
type Listed struct {
	ID    string    `json:"id"`
	Team  string    `json:"team"`
	Tasks int       `json:"tasks"`
	At    time.Time `json:"submitted"`
}

// Jobs lists the jobs whose descriptions were uploaded, the newest first; more says that
// there are others beyond skip.
func (c *Client) Jobs(ctx context.Context, skip int) (jobs []Listed, more bool, err error) {
	s, b, _ := c.call(ctx, "GET", c.depot, fmt.Sprintf("/jobs?Skip=%d", skip), nil, tryWait)
	var l protocol.UploadedJobs
	if s != 200 || protocol.Decode(b, &l) != nil {
		return nil, false, &Error{Kind: ErrNotNow, Status: s, Text: "the depot does not answer"}
	}
	for _, j := range l.Jobs {
		jobs = append(jobs, Listed{ID: j.ID, Team: j.Team, Tasks: j.Tasks, At: time.UnixMilli(int64(j.UploadedAt * 1000))})
	}
	return jobs, l.More, nil
}

// Output is an attempt that has output.
type Output struct {
	Task    int    `json:"task"`
	Attempt uint64 `json:"attempt"`
	Bytes   int64  `json:"bytes"`
}

// Outputs lists a job's attempts that have output.
func (c *Client) Outputs(ctx context.Context, id string) ([]Output, error) {
	s, b, _ := c.call(ctx, "GET", c.depot, "/jobs/"+id+"/output", nil, tryWait)
	var l protocol.OutputList
	if s != 200 || protocol.Decode(b, &l) != nil {
		return nil, &Error{Kind: ErrNotNow, Status: s, Text: "the depot does not answer"}
	}
	var out []Output
	for _, o := range l.Attempts {
		out = append(out, Output(o))
	}
	return out, nil
}

// Read is the end of an attempt's output, at most 1 MiB.
func (c *Client) Read(ctx context.Context, id string, o Output) ([]byte, error) {
	s, b, _ := c.call(ctx, "GET", c.depot, fmt.Sprintf("/jobs/%s/output/%d/%d", id, o.Task, o.Attempt), nil, tryWait)
	if s != 200 {
		return nil, &Error{Kind: ErrNotNow, Status: s, Text: text(b)}
	}
	return b, nil
}
