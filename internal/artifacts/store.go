// Package artifacts stores the files that belong to a job: its description, which users upload, and
// its tasks' results and output, which agents upload.
//
// It owns a directory and the HTTP server that gives access to it. It may not know of controllers,
// leases or attempts that run: it stores what it is given under the name it is given.
//
// Invariants:
//   - Every upload that was acknowledged is durable, and each file is either complete or missing.
//   - A job id belongs to one description permanently; a stored result is never deleted.
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
	// MaxOutputBytes is the size limit of an attempt's stored output; of a longer output, agents
	// upload the end. It is enough for a person to read, and the outputs of all attempts of large
	// jobs must fit on a disk.
	MaxOutputBytes = 1 << 20

	// maxJobsPerPage limits a list of jobs to a few dozen kilobytes.
	maxJobsPerPage = 200
)

// Values of newParents for WriteFile: how many directories above a file's own directory the file's
// first upload may create.
const (
	newJobParents    = 1 // the directory of all jobs
	newResultParents = 2 // the job's directory as well
	newOutputParents = 2
)

// ErrConflict is returned by PutJob if the job id already belongs to a different description.
var ErrConflict = errors.New("this job id belongs to another description")

// Store is an artifact directory. Its methods may be called concurrently. Methods that take a job id
// use it as a file name: the caller must have checked it with protocol.ValidJobID.
type Store struct {
	root string

	mu   sync.Mutex
	jobs []protocol.UploadedJob // in the order of their uploads, oldest first
}

// Open opens the artifact directory root, creates it if it is missing, and reads the descriptions of
// all jobs in it. It returns an error if one of them cannot be read or decoded.
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
			continue // its upload was never acknowledged
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

// readUploadedJob reads a job's entry for the list of jobs. The time of its upload is the
// modification time of the description's file.
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
		return protocol.UploadedJob{}, fmt.Errorf("read job description %s: %w", path, err)
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

func (s *Store) path(job string, elements ...string) string {
	return filepath.Join(append([]string{s.root, "jobs", job}, elements...)...)
}

func (s *Store) descriptionPath(job string) string { return s.path(job, "job") }

func (s *Store) resultPath(job string, task int) string {
	return s.path(job, "results", strconv.Itoa(task))
}

// outputNameFormat is the format of an output file's name, from the task's index and the attempt.
const outputNameFormat = "%d.%d"

func (s *Store) outputPath(job string, task int, attempt uint64) string {
	return s.path(job, "output", fmt.Sprintf(outputNameFormat, task, attempt))
}

// PutJob stores a description durably. It is idempotent: the same description may be stored again. It
// returns ErrConflict if a different description with the same job id is stored already.
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

// sameDescription reports whether two descriptions have the same content. Env is compared as a map,
// because the encoding of a map has no fixed order.
func sameDescription(a, b *protocol.JobDescription) bool {
	if !maps.Equal(a.Env, b.Env) {
		return false
	}
	aWithoutEnv, bWithoutEnv := *a, *b
	aWithoutEnv.Env, bWithoutEnv.Env = nil, nil
	return bytes.Equal(protocol.Encode(aWithoutEnv), protocol.Encode(bWithoutEnv))
}

// Job returns a job's description. Its error is fs.ErrNotExist if none was uploaded.
func (s *Store) Job(id string) (*protocol.JobDescription, error) {
	b, err := os.ReadFile(s.descriptionPath(id))
	if err != nil {
		return nil, err
	}
	var d protocol.JobDescription
	return &d, protocol.Decode(b, &d)
}

// Jobs returns a page of the uploaded jobs, newest first, after skipping the skip newest.
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

// PutResult stores durably that a task is done. It is idempotent.
func (s *Store) PutResult(job string, task int) error {
	if s.Done(job, task) {
		return nil
	}
	return WriteFile(s.resultPath(job, task), nil, newResultParents)
}

// Done reports whether a task's result is stored. It returns false as well if the directory cannot
// be read.
func (s *Store) Done(job string, task int) bool {
	_, err := os.Stat(s.resultPath(job, task))
	return err == nil
}

// PutOutput replaces an attempt's stored output. Agents upload the output again as it grows.
func (s *Store) PutOutput(job string, task int, attempt uint64, output []byte) error {
	return WriteFile(s.outputPath(job, task, attempt), output, newOutputParents)
}

// Output returns an attempt's stored output. Its error is fs.ErrNotExist if there is none.
func (s *Store) Output(job string, task int, attempt uint64) ([]byte, error) {
	return os.ReadFile(s.outputPath(job, task, attempt))
}

// Outputs lists a job's attempts that have output, sorted by task and attempt.
func (s *Store) Outputs(job string) protocol.OutputList {
	list := protocol.OutputList{Attempts: []protocol.OutputFile{}}
	entries, _ := os.ReadDir(s.path(job, "output")) // without a directory there is no output yet
	for _, entry := range entries {
		var file protocol.OutputFile
		if n, err := fmt.Sscanf(entry.Name(), outputNameFormat, &file.Task, &file.Attempt); n != 2 || err != nil {
			continue // a temporary file of an upload in progress
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
