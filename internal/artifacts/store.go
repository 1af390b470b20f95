// Package artifacts stores what lies beside a job: its description, which users upload, its
// tasks' results and their output, which agents upload.
//
// It owns a directory and the HTTP server round it. It may not know of controllers, leases
// or attempts that run: it stores what it is given under the name it is given.
//
// Invariants:
//   - Every upload that was answered is durable, and a file is there whole or not at all.
//   - A job's id belongs to one description for good; a result never goes away.
//   - No request reads or writes outside the directory.
package artifacts

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// MaxOutputBytes is how much of an attempt's output is stored, the end of it, in bytes: what
	// a person reads of it, times the attempts of large jobs, must fit a disk.
	MaxOutputBytes = 1 << 20

	// maxJobsPerPage keeps a list of jobs to a few dozen kilobytes.
	maxJobsPerPage = 200
)

// Files are synced together with the directories above that their first upload makes.
const (
	newJobParents    = 1 // the directory of all jobs
	newResultParents = 2 // and the job's
	newOutputParents = 2
)

// ErrConflict is returned when a job's id is taken by another description.
var ErrConflict = errors.New("this job id belongs to another description")

// Store is an artifact directory. Its methods may be called from any goroutine.
type Store struct {
	root string

	mu   sync.Mutex
	jobs []protocol.UploadedJob // in the order of their uploads
}

// Open opens an artifact directory, or makes it.
func Open(root string) (*Store, error) {
	jobsDir := filepath.Join(root, "jobs")
	if err := os.MkdirAll(jobsDir, 0o700); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(jobsDir)
	if err != nil {
		return nil, err
	}
	s := &Store{root: root}
	for _, entry := range entries {
		job, err := s.readUploadedJob(entry.Name())
		if errors.Is(err, fs.ErrNotExist) {
			continue // its upload was never answered
		}
		if err != nil {
			return nil, err
		}
		s.jobs = append(s.jobs, job)
	}
	slices.SortStableFunc(s.jobs, func(a, b protocol.UploadedJob) int {
		return cmp.Or(cmp.Compare(a.UploadedAt, b.UploadedAt), cmp.Compare(a.ID, b.ID))
	})
	return s, nil
}

// readUploadedJob reads a job's entry in the list; its upload is as old as its file.
func (s *Store) readUploadedJob(id string) (protocol.UploadedJob, error) {
	path := s.descriptionPath(id)
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return protocol.UploadedJob{}, err
	}
	var description protocol.JobDescription
	if err == nil {
		err = protocol.Decode(b, &description)
	}
	if err != nil {
		return protocol.UploadedJob{}, fmt.Errorf("%s: %w", path, err)
	}
	stat, err := os.Stat(path)
	if err != nil {
		return protocol.UploadedJob{}, err
	}
	return uploadedJob(&description, stat.ModTime()), nil
}

func uploadedJob(d *protocol.JobDescription, at time.Time) protocol.UploadedJob {
	return protocol.UploadedJob{
		ID:         d.Job.ID,
		Team:       d.Job.Team,
		Tasks:      d.Job.Tasks,
		UploadedAt: float64(at.UnixMilli()) / 1000, // seconds
	}
}

func (s *Store) path(job string, below ...string) string {
	return filepath.Join(append([]string{s.root, "jobs", job}, below...)...)
}

func (s *Store) descriptionPath(job string) string { return s.path(job, "job") }

func (s *Store) resultPath(job string, task int) string {
	return s.path(job, "results", strconv.Itoa(task))
}

// outputNameFormat is the format of an output file's name: task and attempt.
const outputNameFormat = "%d.%d"

func (s *Store) outputPath(job string, task int, attempt uint64) string {
	return s.path(job, "output", fmt.Sprintf(outputNameFormat, task, attempt))
}

// PutJob stores a description. The same one may be put again; another one with its id is
// an ErrConflict.
func (s *Store) PutJob(d *protocol.JobDescription) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	path := s.descriptionPath(d.Job.ID)
	if b, err := os.ReadFile(path); err == nil {
		var stored protocol.JobDescription
		if err := protocol.Decode(b, &stored); err != nil {
			return err
		}
		if !sameDescription(&stored, d) {
			return ErrConflict
		}
		return nil
	}
	if err := WriteFile(path, protocol.Encode(d), newJobParents); err != nil {
		return err
	}
	s.jobs = append(s.jobs, uploadedJob(d, time.Now()))
	return nil
}

// sameDescription compares descriptions by what they say: encoded maps have no order.
func sameDescription(a, b *protocol.JobDescription) bool {
	if !maps.Equal(a.Env, b.Env) {
		return false
	}
	x, y := *a, *b
	x.Env, y.Env = nil, nil
	return bytes.Equal(protocol.Encode(x), protocol.Encode(y))
}

// Job is a description; fs.ErrNotExist if nobody uploaded it.
func (s *Store) Job(id string) (*protocol.JobDescription, error) {
	b, err := os.ReadFile(s.descriptionPath(id))
	if err != nil {
		return nil, err
	}
	var d protocol.JobDescription
	return &d, protocol.Decode(b, &d)
}

// Jobs is a page of the newest jobs without the first skip of them.
func (s *Store) Jobs(skip int) protocol.UploadedJobs {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := protocol.UploadedJobs{Jobs: []protocol.UploadedJob{}}
	for i := len(s.jobs) - 1 - skip; i >= 0; i-- {
		if len(page.Jobs) == maxJobsPerPage {
			page.More = true
			break
		}
		page.Jobs = append(page.Jobs, s.jobs[i])
	}
	return page
}

// PutResult stores that a task is done.
func (s *Store) PutResult(job string, task int) error {
	if s.Done(job, task) {
		return nil
	}
	return WriteFile(s.resultPath(job, task), nil, newResultParents)
}

// Done reports whether a task's result is stored.
func (s *Store) Done(job string, task int) bool {
	_, err := os.Stat(s.resultPath(job, task))
	return err == nil
}

// PutOutput replaces an attempt's output, which an agent sends anew as it grows.
func (s *Store) PutOutput(job string, task int, attempt uint64, output []byte) error {
	return WriteFile(s.outputPath(job, task, attempt), output, newOutputParents)
}

// Output is an attempt's output; fs.ErrNotExist if there is none.
func (s *Store) Output(job string, task int, attempt uint64) ([]byte, error) {
	return os.ReadFile(s.outputPath(job, task, attempt))
}

// Outputs lists a job's attempts that have output, by task and attempt.
func (s *Store) Outputs(job string) protocol.OutputList {
	list := protocol.OutputList{Attempts: []protocol.OutputFile{}}
	entries, _ := os.ReadDir(s.path(job, "output")) // no directory: no output yet
	for _, entry := range entries {
		var file protocol.OutputFile
		if n, err := fmt.Sscanf(entry.Name(), outputNameFormat, &file.Task, &file.Attempt); n != 2 || err != nil {
			continue // a file that is being written
		}
		if stat, err := entry.Info(); err == nil {
			file.Bytes = stat.Size()
		}
		list.Attempts = append(list.Attempts, file)
	}
	slices.SortFunc(list.Attempts, func(a, b protocol.OutputFile) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	return list
}
