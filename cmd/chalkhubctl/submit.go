package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/chalkhub/chalkhub/client"
	"github.com/chalkhub/chalkhub/internal/schema"
)

// maxJobFileBytes is the limit in bytes on a job file read from standard input. The artifact server
// accepts no larger job description.
const maxJobFileBytes = 1 << 20

//go:embed job.schema.json
var jobSchema []byte

// errNoCommand is returned for a job that has neither a command nor a time to simulate.
var errNoCommand = errors.New("name a command to run, for example: chalkhubctl submit -- echo hello")

// jobFields describes a job, both as the content of a job file (yaml) and as flags of submit. A
// field that only one of the two has is excluded from the other with the tag "-".
type jobFields struct {
	ID         string            `yaml:"id" help:"Job id, job- and up to 18 digits; chosen if empty. The same id is the same job."`
	Class      string            `yaml:"class" default:"default" help:"Class of jobs that it belongs to; run times are predicted from it."`
	Team       string            `yaml:"team" default:"main" help:"Team whose guarantee and limit apply."`
	Kind       string            `yaml:"kind" kong:"-"`
	Service    bool              `yaml:"-" help:"Tasks run until the job is cancelled."`
	Urgency    string            `yaml:"urgency" enum:"production,high,normal,low" default:"normal" help:"production, high, normal or low."`
	Tasks      int               `yaml:"tasks" short:"n" default:"1" help:"Number of tasks; $CHALK_TASK tells them apart."`
	CPUs       float64           `yaml:"cpus" name:"cpus" default:"1" help:"CPUs of each task."`
	GPUs       float64           `yaml:"gpus" name:"gpus" help:"GPUs of each task."`
	MemoryGB   float64           `yaml:"memory_gb" name:"memory" default:"1" help:"Memory of each task in GB."`
	Image      string            `yaml:"image" kong:"-"`
	ImageGB    float64           `yaml:"image_gb" kong:"-"`
	Types      []string          `yaml:"types" help:"Allowed machine types."`
	Zone       string            `yaml:"zone" help:"The only allowed zone."`
	OneZone    bool              `yaml:"one_zone" help:"All tasks in one zone."`
	Spread     bool              `yaml:"spread" help:"At most half of the tasks in one zone."`
	Spot       bool              `yaml:"spot" help:"Allow machines that may be taken back."`
	Estimate   time.Duration     `yaml:"estimate" default:"1m" help:"Guess of a task's run time."`
	Checkpoint time.Duration     `yaml:"checkpoint" help:"Span of progress after which a task saves."`
	Save       time.Duration     `yaml:"save" help:"Time that a task needs to save when it is stopped."`
	Deadline   time.Duration     `yaml:"deadline" help:"When the job should be done, from now on."`
	After      []string          `yaml:"after" placeholder:"JOB" help:"Jobs that must be done before this one starts; if one of them is cancelled, so is this."`
	Env        map[string]string `yaml:"env" help:"Environment of the command."`
	Folder     string            `yaml:"folder" help:"Working folder; a new one for each attempt if empty."`
	Simulate   time.Duration     `yaml:"simulate" help:"Run nothing for so long, in place of a command."`
	Command    []string          `yaml:"command" kong:"-"`
}

var kinds = map[string]client.Kind{"array": client.Array, "service": client.Service}

var urgencies = map[string]client.Urgency{"production": client.Production, "high": client.High, "normal": client.Normal, "low": client.Low}

func (f *jobFields) job() *client.Job {
	kind := kinds[f.Kind]
	if f.Service {
		kind = client.Service
	}
	return &client.Job{
		ID:         f.ID,
		Class:      f.Class,
		Team:       f.Team,
		Kind:       kind,
		Urgency:    urgencies[f.Urgency],
		Tasks:      f.Tasks,
		CPUs:       f.CPUs,
		GPUs:       f.GPUs,
		MemoryGB:   f.MemoryGB,
		Image:      f.Image,
		ImageGB:    f.ImageGB,
		Types:      f.Types,
		Zone:       f.Zone,
		OneZone:    f.OneZone,
		Spread:     f.Spread,
		Spot:       f.Spot,
		Estimate:   f.Estimate,
		Checkpoint: f.Checkpoint,
		Save:       f.Save,
		Deadline:   f.Deadline,
		After:      f.After,
		Command:    f.Command,
		Env:        f.Env,
		Folder:     f.Folder,
		Simulate:   f.Simulate,
	}
}

// readJob reads a job file, or standard input if path is "-". Fields that the file does not set keep
// their values from defaults.
func readJob(path string, defaults jobFields) (*jobFields, error) {
	var b []byte
	var err error
	if path == "-" {
		path = "standard input"
		b, err = io.ReadAll(io.LimitReader(os.Stdin, maxJobFileBytes))
	} else {
		b, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, err
	}
	fields := defaults
	if err := schema.Compile("job.schema.json", jobSchema).Read(path, b, &fields); err != nil {
		return nil, exitError{exitMalformed, err}
	}
	return &fields, nil
}

type submitCmd struct {
	File string `short:"f" placeholder:"FILE" help:"Job file (YAML or JSON); - reads standard input. Other flags are not used then."`
	jobFields
	Wait        bool     `short:"w" help:"Wait until the job is over, with the exit code of chalkhubctl wait."`
	CommandLine []string `arg:"" name:"command" optional:"" passthrough:"" help:"Program and arguments."`
}

func (c *submitCmd) job() (*client.Job, error) {
	if c.File != "" {
		fields, err := readJob(c.File, jobFields{Team: c.Team, CPUs: 1, MemoryGB: 1, Estimate: time.Minute})
		if err != nil {
			return nil, err
		}
		return fields.job(), nil
	}
	fields := c.jobFields
	fields.Command = c.CommandLine
	if len(fields.Command) > 0 && fields.Command[0] == "--" {
		fields.Command = fields.Command[1:]
	}
	if len(fields.Command) == 0 && fields.Simulate == 0 {
		return nil, exitError{exitMalformed, errNoCommand}
	}
	return fields.job(), nil
}

// Run submits the job. With --wait it waits until the job is over, otherwise it prints the job's id.
func (c *submitCmd) Run(ctx context.Context, root *cli) error {
	job, err := c.job()
	if err != nil {
		return err
	}
	cluster, err := root.client()
	if err != nil {
		return err
	}
	status, err := cluster.Submit(ctx, job)
	if errors.Is(err, client.ErrNotNow) {
		return fmt.Errorf("%w; the job may have been accepted: submit it again with --id %s", err, job.ID)
	}
	if err != nil {
		return err
	}
	if c.Wait {
		return waitForJobs(ctx, root, cluster, waitOptions{jobs: []string{status.ID}, interval: defaultWaitInterval})
	}
	return root.print(status, func() { fmt.Println(status.ID) })
}
