package artifacts

import (
	"context"
	"errors"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

func testJob(id string, command ...string) *protocol.JobDescription {
	return &protocol.JobDescription{Job: protocol.Job{ID: id, Tasks: 3, Team: "main"}, Command: command, Env: map[string]string{"A": "1", "B": "2"}}
}

// fileTimeStep is longer than the step by which file systems advance modification times: one tick of
// the kernel's clock, at most 10 ms.
const fileTimeStep = 20 * time.Millisecond

// Uploads survive a restart of the store, and a job id accepts only one description. The directory of
// job-3, which an interrupted upload left without a description, must not make Open fail.
func TestArtifactsSurviveRestart(t *testing.T) {
	dir := t.TempDir()
	store, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"job-2", "job-1"} {
		if err := store.PutJob(testJob(id, "true")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(fileTimeStep) // the order after a restart is that of the files' modification times
	}
	if err := errors.Join(store.PutJob(testJob("job-1", "true")), store.PutResult("job-1", 2), store.PutOutput("job-1", 2, 9, []byte("x")), store.PutOutput("job-1", 2, 9, []byte("xy"))); err != nil {
		t.Fatal(err)
	}
	if err := store.PutJob(testJob("job-1", "false")); !errors.Is(err, ErrConflict) {
		t.Fatalf("storing another description with the same id: got %v, want ErrConflict", err)
	}
	if err := os.MkdirAll(filepath.Join(dir, "jobs", "job-3"), 0o700); err != nil {
		t.Fatal(err)
	}
	if store, err = Open(dir); err != nil {
		t.Fatal(err)
	}
	if page := store.Jobs(0); len(page.Jobs) != 2 || page.Jobs[0].ID != "job-1" || page.More {
		t.Fatalf("jobs after the restart: %+v, want job-1 as the newest of 2", page)
	}
	if outputs := store.Outputs("job-1"); len(outputs.Attempts) != 1 || outputs.Attempts[0] != (protocol.OutputFile{Task: 2, Attempt: 9, Bytes: 2}) {
		t.Fatalf("outputs after the restart: %+v, want 2 bytes of task 2, attempt 9", outputs)
	}
	if !store.Done("job-1", 2) || store.Done("job-1", 1) || store.Done("job-2", 2) {
		t.Fatal("the stored results after the restart are not just that of task 2 of job-1")
	}
	if _, err := store.Job("job-3"); !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("reading a job without a description: got %v, want fs.ErrNotExist", err)
	}
}

// Guards against path traversal: job ids in a request's path become file names, and an encoded ".."
// must not give access to files outside the store's directory.
func TestRequestsCannotLeaveRoot(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "secret"), []byte("s"), 0o600); err != nil {
		t.Fatal(err)
	}
	store, err := Open(filepath.Join(dir, "depot"))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- store.Serve(ctx, l) }()
	defer func() {
		stop()
		if err := <-served; !errors.Is(err, context.Canceled) {
			t.Errorf("Serve returned %v, want context.Canceled", err)
		}
	}()
	client := rpc.New(1, time.Second)
	for path, want := range map[string]int{
		"/jobs": 200, "/jobs/..%2f..%2fsecret": 404, "/jobs/job-1/output/..%2f..%2f..%2fsecret/1": 404, "/jobs/job-1%2f..": 200, // normalized to /jobs, which is the list of jobs
		"/jobs/job-1": 404, "/jobs/job-1/output": 200, "/jobs/job-1/output/1": 404, "/": 404, "/jobs/job-1/results/x": 404,
	} {
		if status := client.Call("GET", l.Addr().String(), path, nil, nil, time.Second); status != want {
			t.Errorf("GET %s: status %d, want %d", path, status, want)
		}
	}
	if status := client.Call("PUT", l.Addr().String(), "/jobs/job-1", testJob("job-2", "true"), nil, time.Second); status != 400 {
		t.Errorf("PUT of a description with another job id: status %d, want 400", status)
	}
}
