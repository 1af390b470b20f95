package client

import (
	"cmp"
	"crypto/rand"
	"fmt"
	"math/big"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Kind is the kind of a job.
type Kind string

// Kinds of job: the tasks of an array run to completion, those of a service until it is cancelled.
const (
	Array   Kind = protocol.KindArray
	Service Kind = protocol.KindService
)

// Urgency is the urgency of a job.
type Urgency string

// Urgencies, from the most to the least urgent.
const (
	Production Urgency = protocol.UrgencyProduction
	High       Urgency = protocol.UrgencyHigh
	Normal     Urgency = protocol.UrgencyNormal
	Low        Urgency = protocol.UrgencyLow
)

// Defaults for fields of a job that are empty or 0.
const (
	defaultClass = "default"
	defaultImage = "none"
	defaultTasks = 1
)

// Job is a job as its user submits it. CPUs, GPUs, MemoryGB and Estimate are those of one task.
type Job struct {
	ID       string // empty: NewID chooses one
	Class    string // empty: "default"
	Team     string
	Kind     Kind    // empty: Array
	Urgency  Urgency // empty: Normal
	Tasks    int     // 0: 1
	CPUs     float64
	GPUs     float64
	MemoryGB float64
	Image    string // empty: "none"
	ImageGB  float64
	Types    []string      // allowed machine types, empty: any
	Zone     string        // the only allowed zone, empty: any
	OneZone  bool          // all tasks must run in the same zone
	Spread   bool          // at most half of the tasks may be in one zone
	Spot     bool          // spot machines, which may be preempted, are allowed
	Estimate time.Duration // the user's estimate of a task's run time
	// Checkpoint is the run time between two checkpoints that a task saves without being asked; 0
	// means that it saves none. Save is the time that the task needs to save one checkpoint.
	Checkpoint, Save time.Duration
	Deadline         time.Duration // counted from the submission, 0: none
	// After has the ids of the jobs that must be done before any task of this job starts. If one of
	// them is cancelled, this job is cancelled as well.
	After []string

	// What a task runs: a command with its environment, or only a simulated run time.
	Command  []string
	Env      map[string]string
	Folder   string // working directory, empty: a new one for each attempt
	Simulate time.Duration
}

// protocolJob converts the job to the protocol's form, with the defaults filled in.
func (j *Job) protocolJob() protocol.Job {
	job := protocol.Job{
		ID:           j.ID,
		Class:        cmp.Or(j.Class, defaultClass),
		Team:         j.Team,
		Kind:         string(cmp.Or(j.Kind, Array)),
		Urgency:      string(cmp.Or(j.Urgency, Normal)),
		Tasks:        cmp.Or(j.Tasks, defaultTasks),
		CPUs:         j.CPUs,
		GPUs:         j.GPUs,
		MemoryGB:     j.MemoryGB,
		Image:        cmp.Or(j.Image, defaultImage),
		ImageGB:      j.ImageGB,
		MachineTypes: j.Types,
		Zone:         j.Zone,
		OneZone:      j.OneZone,
		Spread:       j.Spread,
		AllowSpot:    j.Spot,
		EstimateS:    j.Estimate.Seconds(),
		CheckpointS:  j.Checkpoint.Seconds(),
		SaveS:        j.Save.Seconds(),
		DeadlineS:    j.Deadline.Seconds(),
		Dependencies: j.After,
	}
	if job.Kind == protocol.KindService {
		job.EstimateS = 0 // the protocol allows no estimate for a service, which never ends by itself
	}
	return job
}

// description returns the description of the job that the artifact server stores.
func (j *Job) description(job protocol.Job) *protocol.JobDescription {
	return &protocol.JobDescription{
		Job:        job,
		Command:    j.Command,
		Env:        j.Env,
		Folder:     j.Folder,
		SimulatedS: j.Simulate.Seconds(),
	}
}

// submissionFields returns all fields that the protocol requires of a submission, also those that the
// encoding of protocol.Job omits because they are zero.
func submissionFields(job *protocol.Job) map[string]any {
	var fields map[string]any
	if err := protocol.Decode(protocol.Encode(job), &fields); err != nil {
		panic(fmt.Sprintf("client: decode an encoded job: %v", err))
	}
	for field, zero := range protocol.JobDefaults() {
		if _, ok := fields[field]; !ok {
			fields[field] = zero
		}
	}
	return fields
}

// idSpace is the number of ids that NewID chooses from, those of 17 digits. With so many, the
// probability that two users get the same id is negligible.
const idSpace = 1e17

// NewID returns a new job id, "job-" and 17 random digits. It returns an error if the system's source
// of random numbers fails.
func NewID() (string, error) {
	n, err := rand.Int(rand.Reader, big.NewInt(idSpace))
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("job-%017d", n), nil
}

// Status is the state of a job as a controller reports it. Done and Running count tasks.
type Status struct {
	ID      string `json:"id"`
	State   string `json:"state"` // queued, running, done or aborted
	Tasks   int    `json:"tasks,omitempty"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
	Reason  string `json:"reason,omitempty"` // why tasks wait or were stopped
}

// Final reports whether the job is over, that is, done or aborted.
func (s *Status) Final() bool {
	return s.State == protocol.JobDone || s.State == protocol.JobCancelled
}

func decodeStatus(body []byte) (*Status, error) {
	var r protocol.JobResponse
	if err := protocol.Decode(body, &r); err != nil {
		return nil, &Error{Kind: ErrNotNow, Status: statusOK, Text: err.Error()}
	}
	return &Status{ID: r.ID, State: r.State, Done: r.Done, Running: r.Running, Reason: r.Reason}, nil
}
