// Package artifacts keeps what lies beside a job: its description, which users upload, its
// tasks' results and their output, which agents upload. It is a folder with HTTP round
// it; every answered upload is durable.
package artifacts

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/httpserver"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// MaxOutput is how much of an attempt's output is kept, the end of it, in bytes.
const MaxOutput = 1 << 20

// pageJobs is the most jobs that one answer lists.
const pageJobs = 200

// Folder is a depot's folder. Its methods may be called from any goroutine.
type Folder struct {
	root string

	mu   sync.Mutex
	jobs []protocol.UploadedJob // in the order of their uploads
}

// Open opens a depot's folder, or makes it.
func Open(root string) (*Folder, error) {
	if err := os.MkdirAll(filepath.Join(root, "jobs"), 0o700); err != nil {
		return nil, err
	}
	f := &Folder{root: root}
	entries, err := os.ReadDir(filepath.Join(root, "jobs"))
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		path := filepath.Join(root, "jobs", e.Name(), "job")
		b, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue // its upload was never answered
		}
		var d protocol.JobDescription
		if err == nil {
			err = protocol.Decode(b, &d)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		st, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		f.jobs = append(f.jobs, listed(&d, st.ModTime()))
	}
	slices.SortStableFunc(f.jobs, func(a, b protocol.UploadedJob) int {
		switch {
		case a.UploadedAt < b.UploadedAt:
			return -1
		case a.UploadedAt > b.UploadedAt:
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return f, nil
}

func listed(d *protocol.JobDescription, at time.Time) protocol.UploadedJob {
	return protocol.UploadedJob{ID: d.Job.ID, Team: d.Job.Team, Tasks: d.Job.Tasks, UploadedAt: float64(at.UnixMilli()) / 1000}
}

func (f *Folder) job(id string, more ...string) string {
	return filepath.Join(append([]string{f.root, "jobs", id}, more...)...)
}

// Write makes a file durable under its name, whole or not at all; so many folders above
// it may be new.
func Write(path string, b []byte, above int) error {
	dir := filepath.Dir(path)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	t, err := os.CreateTemp(dir, ".new-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(t.Name()) }() // it is gone once it has its name
	_, err = t.Write(b)
	if err = errors.Join(err, t.Sync(), t.Close()); err != nil {
		return err
	}
	if err := os.Rename(t.Name(), path); err != nil {
		return err
	}
	// The name, and those of the folders above it that may be new, must survive too.
	for i := range above + 1 {
		d, err := os.Open(dir)
		if i > 0 && errors.Is(err, fs.ErrPermission) {
			return nil // not ours, and so not new
		}
		if err != nil {
			return err
		}
		if err := errors.Join(d.Sync(), d.Close()); err != nil {
			return err
		}
		dir = filepath.Dir(dir)
	}
	return nil
}

// ErrOther is returned when a job's id is taken by another description.
var ErrOther = errors.New("this job id belongs to another description")

// PutJob keeps a description. The same one may be put again.
func (f *Folder) PutJob(d *protocol.JobDescription) error {
	b := protocol.Encode(d)
	f.mu.Lock()
	defer f.mu.Unlock()
	path := f.job(d.Job.ID, "job")
	if old, err := os.ReadFile(path); err == nil {
		var o protocol.JobDescription
		if err := protocol.Decode(old, &o); err != nil {
			return err
		}
		// Maps have no order, so descriptions are compared by what they say.
		if !same(&o, d) {
			return ErrOther
		}
		return nil
	}
	if err := Write(path, b, 1); err != nil {
		return err
	}
	f.jobs = append(f.jobs, listed(d, time.Now()))
	return nil
}

func same(a, b *protocol.JobDescription) bool {
	if len(a.Env) != len(b.Env) {
		return false
	}
	for k, v := range a.Env {
		if w, ok := b.Env[k]; !ok || v != w {
			return false
		}
	}
	x, y := *a, *b
	x.Env, y.Env = nil, nil
	return bytes.Equal(protocol.Encode(x), protocol.Encode(y))
}

// Job is a description; fs.ErrNotExist if nobody uploaded it.
func (f *Folder) Job(id string) (*protocol.JobDescription, error) {
	b, err := os.ReadFile(f.job(id, "job"))
	if err != nil {
		return nil, err
	}
	var d protocol.JobDescription
	return &d, protocol.Decode(b, &d)
}

// Jobs is a page of the newest jobs, after those that were uploaded since.
func (f *Folder) Jobs(skip int) protocol.UploadedJobs {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := protocol.UploadedJobs{Jobs: []protocol.UploadedJob{}}
	for i := len(f.jobs) - 1 - skip; i >= 0; i-- {
		if len(out.Jobs) == pageJobs {
			out.More = true
			break
		}
		out.Jobs = append(out.Jobs, f.jobs[i])
	}
	return out
}

// PutResult keeps that a task is done.
func (f *Folder) PutResult(job string, task int) error {
	path := f.job(job, "results", strconv.Itoa(task))
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	return Write(path, nil, 2)
}

// Done reports whether a task's result is kept.
func (f *Folder) Done(job string, task int) bool {
	_, err := os.Stat(f.job(job, "results", strconv.Itoa(task)))
	return err == nil
}

// PutOutput keeps an attempt's output, which an agent sends anew as it grows.
func (f *Folder) PutOutput(job string, task int, try uint64, b []byte) error {
	return Write(f.job(job, "output", fmt.Sprintf("%d.%d", task, try)), b, 2)
}

// Output is an attempt's output.
func (f *Folder) Output(job string, task int, try uint64) ([]byte, error) {
	return os.ReadFile(f.job(job, "output", fmt.Sprintf("%d.%d", task, try)))
}

// Outputs lists a job's attempts that have output, by task and attempt.
func (f *Folder) Outputs(job string) protocol.OutputList {
	out := protocol.OutputList{Attempts: []protocol.OutputFile{}}
	entries, _ := os.ReadDir(f.job(job, "output")) // no folder: no output yet
	for _, e := range entries {
		var o protocol.OutputFile
		if n, err := fmt.Sscanf(e.Name(), "%d.%d", &o.Task, &o.Attempt); n != 2 || err != nil {
			continue
		}
		if st, err := e.Info(); err == nil {
			o.Bytes = st.Size()
		}
		out.Attempts = append(out.Attempts, o)
	}
	slices.SortFunc(out.Attempts, func(a, b protocol.OutputFile) int {
		if a.Task != b.Task {
			return a.Task - b.Task
		}
		if a.Attempt < b.Attempt {
			return -1
		}
		return 1
	})
	return out
}

// Serve answers until ctx ends.
func (f *Folder) Serve(ctx context.Context, l net.Listener) error {
	srv := &fasthttp.Server{Handler: f.handle, Name: "chalk-depot", MaxRequestBodySize: MaxOutput + 4096,
		IdleTimeout: 2 * time.Minute, ReadTimeout: 2 * time.Minute, WriteTimeout: 10 * time.Second, NoDefaultServerHeader: true, NoDefaultDate: true}
	return httpserver.Until(ctx, srv, l)
}

func (f *Folder) handle(ctx *fasthttp.RequestCtx) {
	reply := func(status int, body any) { httpserver.Reply(ctx, status, body) }
	fail := func(err error) {
		switch {
		case errors.Is(err, fs.ErrNotExist):
			reply(404, protocol.ErrorResponse{Error: "not there"})
		case errors.Is(err, ErrOther):
			reply(409, protocol.ErrorResponse{Error: err.Error()})
		default:
			reply(503, protocol.ErrorResponse{Error: err.Error()})
		}
	}
	finish := func(body any, err error) {
		if err != nil {
			fail(err)
			return
		}
		reply(200, body)
	}
	parts := strings.Split(strings.Trim(string(ctx.Path()), "/"), "/")
	// Names become paths, so nothing but a job's id and numbers may pass.
	if parts[0] != "jobs" || len(parts) > 1 && !protocol.ValidJobID(parts[1]) {
		reply(404, protocol.ErrorResponse{Error: "no such page"})
		return
	}
	nums := make([]uint64, 0, 2)
	for _, p := range parts[min(3, len(parts)):] {
		n, err := strconv.ParseUint(p, 10, 63)
		if err != nil || len(nums) == 2 {
			reply(404, protocol.ErrorResponse{Error: "no such page"})
			return
		}
		nums = append(nums, n)
	}
	what := string(ctx.Method())
	if len(parts) > 2 {
		what += " " + parts[2]
	}
	switch what = fmt.Sprintf("%s %d", what, len(parts)); what {
	case "GET 1":
		skip, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("Skip"))) // none: from the newest on
		reply(200, f.Jobs(max(skip, 0)))
	case "PUT 2":
		var d protocol.JobDescription
		err := protocol.Decode(ctx.PostBody(), &d)
		if err == nil {
			err = d.Validate()
		}
		if err == nil && d.Job.ID != parts[1] {
			err = errors.New("the description is of another job")
		}
		if err != nil {
			reply(400, protocol.ErrorResponse{Error: err.Error()})
			return
		}
		finish(struct{}{}, f.PutJob(&d))
	case "GET 2":
		d, err := f.Job(parts[1])
		finish(d, err)
	case "PUT results 4":
		finish(struct{}{}, f.PutResult(parts[1], int(nums[0])))
	case "GET results 4":
		reply(200, protocol.ResultStatus{Done: f.Done(parts[1], int(nums[0]))})
	case "GET output 3":
		reply(200, f.Outputs(parts[1]))
	case "PUT output 5":
		finish(struct{}{}, f.PutOutput(parts[1], int(nums[0]), nums[1], ctx.PostBody()))
	case "GET output 5":
		b, err := f.Output(parts[1], int(nums[0]), nums[1])
		if err != nil {
			fail(err)
			return
		}
		ctx.SetContentType("text/plain; charset=utf-8")
		ctx.Response.SetBodyRaw(b)
	default:
		reply(404, protocol.ErrorResponse{Error: "no such page"})
	}
}
