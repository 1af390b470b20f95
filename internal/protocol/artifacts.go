package protocol

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// JobDescription specifies what a job's tasks run. Users upload it to the artifact store before
// they submit the job, and agents fetch it from there (PROTOCOL, POST /v1/report, "start").
type JobDescription struct {
	Job        Job               `msgpack:"Job"`
	Command    []string          `msgpack:"Command,omitempty"` // program and arguments; empty for a simulated task
	Env        map[string]string `msgpack:"Env,omitempty"`
	Folder     string            `msgpack:"Folder,omitempty"`    // working directory; empty: a new one for each attempt
	SimulatedS float64           `msgpack:"SimulateS,omitempty"` // run time of a simulated task, in seconds
}

// Validate returns an error that describes the first problem of a description, or nil. The artifact
// store sends its text to clients.
func (d *JobDescription) Validate() error {
	if !ValidJobID(d.Job.ID) {
		return errors.New("the job has no valid id")
	}
	if d.Job.Tasks < 1 || d.Job.Tasks > MaxTasks {
		return fmt.Errorf("a job has 1 to %d tasks", MaxTasks)
	}
	if len(d.Command) > 0 && d.Command[0] == "" {
		return errors.New("the command has no program")
	}
	if len(d.Command) == 0 && !(d.SimulatedS > 0) {
		return errors.New("there is neither a command nor a time to simulate")
	}
	for k, v := range d.Env {
		if k == "" || strings.ContainsAny(k, "=\x00") || strings.Contains(v, "\x00") {
			return fmt.Errorf("%q cannot be an environment variable", k)
		}
	}
	if slices.ContainsFunc(d.Command, func(s string) bool { return strings.Contains(s, "\x00") }) {
		return errors.New("an argument holds a zero byte")
	}
	return nil
}

// ResultStatus is the artifact store's response to whether it has a task's result.
type ResultStatus struct {
	Done bool `msgpack:"Done"`
}

// UploadedJobs is a page of the artifact store's jobs, most recent uploads first.
type UploadedJobs struct {
	Jobs []UploadedJob `msgpack:"Jobs"`
	More bool          `msgpack:"More"`
}

// UploadedJob is an entry of UploadedJobs.
type UploadedJob struct {
	ID         string  `msgpack:"Ref"`
	Team       string  `msgpack:"Desk"`
	Tasks      int     `msgpack:"Lots"`
	UploadedAt float64 `msgpack:"At"` // time of the upload, in seconds since the Unix epoch
}

// OutputList lists the attempts of a job that have output.
type OutputList struct {
	Attempts []OutputFile `msgpack:"Attempts"`
}

// OutputFile describes the output file of one attempt.
type OutputFile struct {
	Task    int    `msgpack:"Task"`
	Attempt uint64 `msgpack:"Try"`
	Bytes   int64  `msgpack:"Bytes"`
}
