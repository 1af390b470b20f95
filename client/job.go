package client

import (
	"cmp"
	"crypto/rand"
	"fmt"
	"math/big"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

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

// What a job has when it says nothing.
const (
	defaultClass = "default"
	defaultImage = "none"
	defaultTasks = 1
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
	Spot     bool     // spot machines, which may be preempted, are allowed
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
	Folder   string // working directory, empty: a new one for each attempt
	Simulate time.Duration
}

// protocolJob is the job as the protocol has it, with the defaults filled in.
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
		job.EstimateS = 0 // the protocol allows none: it never ends by itself
	}
	return job
}

// description is what the artifact server stores of the job.
func (j *Job) description(job protocol.Job) *protocol.JobDescription {
	return &protocol.JobDescription{
		Job:        job,
		Command:    j.Command,
		Env:        j.Env,
		Folder:     j.Folder,
		SimulatedS: j.Simulate.Seconds(),
	}
}

// submissionFields has every field that the protocol wants, also those that are zero.
func submissionFields(job *protocol.Job) map[string]any {
	var fields map[string]any
	if err := protocol.Decode(protocol.Encode(job), &fields); err != nil {
		panic(fmt.Sprintf("client: a job does not decode: %v", err))
	}
	for field, zero := range protocol.JobDefaults() {
		if _, ok := fields[field]; !ok {
			fields[field] = zero
		}
	}
	return fields
}

// idSpace is the number of ids to choose from, those of 17 digits: two users choose the
// same one about as often as never.
const idSpace = 1e17

// NewID chooses an id that nobody else chooses: 17 random digits.
func NewID() (string, error) {
	n, err := rand.Int(rand.Reader, big.NewInt(idSpace))
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
