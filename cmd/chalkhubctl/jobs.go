package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-json"
	"github.com/jedib0t/go-pretty/v6/progress"
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/chalkhub/chalkhub/client"
	"github.com/chalkhub/chalkhub/internal/schema"
)

//go:embed job.schema.json
var jobSchema []byte

// jobFile is a job as a file has it.
type jobFile struct {
	ID         string            `yaml:"id"`
	Class      string            `yaml:"class"`
	Team       string            `yaml:"team"`
	Kind       string            `yaml:"kind"`
	Urgency    string            `yaml:"urgency"`
	Tasks      int               `yaml:"tasks"`
	CPUs       float64           `yaml:"cpus"`
	GPUs       float64           `yaml:"gpus"`
	MemoryGB   float64           `yaml:"memory_gb"`
	Image      string            `yaml:"image"`
	ImageGB    float64           `yaml:"image_gb"`
	Types      []string          `yaml:"types"`
	Zone       string            `yaml:"zone"`
	OneZone    bool              `yaml:"one_zone"`
	Spread     bool              `yaml:"spread"`
	Spot       bool              `yaml:"spot"`
	Estimate   time.Duration     `yaml:"estimate"`
	Checkpoint time.Duration     `yaml:"checkpoint"`
	Save       time.Duration     `yaml:"save"`
	Deadline   time.Duration     `yaml:"deadline"`
	After      []string          `yaml:"after"`
	Command    []string          `yaml:"command"`
	Env        map[string]string `yaml:"env"`
	Folder     string            `yaml:"folder"`
	Simulate   time.Duration     `yaml:"simulate"`
}

var kinds = map[string]client.Kind{"array": client.Array, "service": client.Service}

var urgencies = map[string]client.Urgency{"production": client.Production, "high": client.High, "normal": client.Normal, "low": client.Low}

func (f *jobFile) job() *client.Job {
	return &client.Job{ID: f.ID, Class: f.Class, Team: f.Team, Kind: kinds[f.Kind], Urgency: urgencies[f.Urgency], Tasks: f.Tasks, CPUs: f.CPUs,
		GPUs: f.GPUs, MemoryGB: f.MemoryGB, Image: f.Image, ImageGB: f.ImageGB, Types: f.Types, Zone: f.Zone, OneZone: f.OneZone, Spread: f.Spread,
		Spot: f.Spot, Estimate: f.Estimate, Checkpoint: f.Checkpoint, Save: f.Save, Deadline: f.Deadline, After: f.After, Command: f.Command, Env: f.Env,
		Folder: f.Folder, Simulate: f.Simulate}
}

// readJob reads a job file; - is standard input.
func readJob(path string, defaults jobFile) (*jobFile, error) {
	var b []byte
	var err error
	if path == "-" {
		path = "standard input"
		b, err = io.ReadAll(io.LimitReader(os.Stdin, 1<<20))
	} else {
		b, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, err
	}
	f := defaults
	if err := schema.Compile("job.schema.json", jobSchema).Read(path, b, &f); err != nil {
		return nil, exit{exitMalformed, err}
	}
	return &f, nil
}

type submitCmd struct {
	File       string            `short:"f" placeholder:"FILE" help:"Job file (YAML or JSON); - reads standard input. Other flags are not used then."`
	ID         string            `help:"Job id, job- and up to 18 digits; chosen if empty. The same id is the same job."`
	Class      string            `default:"default" help:"Class of jobs that it belongs to; run times are predicted from it."`
	Team       string            `default:"main" help:"Team whose guarantee and limit apply."`
	Service    bool              `help:"Tasks run until the job is cancelled."`
	Urgency    string            `enum:"production,high,normal,low" default:"normal" help:"production, high, normal or low."`
	Tasks      int               `short:"n" default:"1" help:"Number of tasks; $CHALK_TASK tells them apart."`
	CPUs       float64           `name:"cpus" default:"1" help:"CPUs of each task."`
	GPUs       float64           `name:"gpus" help:"GPUs of each task."`
	Memory     float64           `default:"1" help:"Memory of each task in GB."`
	Types      []string          `help:"Allowed machine types."`
	Zone       string            `help:"The only allowed zone."`
	OneZone    bool              `help:"All tasks in one zone."`
	Spread     bool              `help:"At most half of the tasks in one zone."`
	Spot       bool              `help:"Allow machines that may be taken back."`
	Estimate   time.Duration     `default:"1m" help:"Guess of a task's run time."`
	Checkpoint time.Duration     `help:"Span of progress after which a task saves."`
	Save       time.Duration     `help:"Time that a task needs to save when it is stopped."`
	Deadline   time.Duration     `help:"When the job should be done, from now on."`
	After      []string          `placeholder:"JOB" help:"Jobs that must be done before this one starts; if one of them is cancelled, so is this."`
	Env        map[string]string `help:"Environment of the command."`
	Folder     string            `help:"Working folder; a new one for each attempt if empty."`
	Simulate   time.Duration     `help:"Run nothing for so long, in place of a command."`
	Wait       bool              `short:"w" help:"Wait until the job is over, with the exit code of chalkhubctl wait."`
	Command    []string          `arg:"" optional:"" passthrough:"" help:"Program and arguments."`
}

func (c *submitCmd) job() (*client.Job, error) {
	if c.File != "" {
		f, err := readJob(c.File, jobFile{Team: c.Team, CPUs: 1, MemoryGB: 1, Estimate: time.Minute})
		if err != nil {
			return nil, err
		}
		return f.job(), nil
	}
	command := c.Command
	if len(command) > 0 && command[0] == "--" {
		command = command[1:]
	}
	if len(command) == 0 && c.Simulate == 0 {
		return nil, exit{exitMalformed, errors.New("name a command to run, for example: chalkhubctl submit -- echo hello")}
	}
	kind := client.Array
	if c.Service {
		kind = client.Service
	}
	return &client.Job{ID: c.ID, Class: c.Class, Team: c.Team, Kind: kind, Urgency: urgencies[c.Urgency], Tasks: c.Tasks, CPUs: c.CPUs, GPUs: c.GPUs,
		MemoryGB: c.Memory, Types: c.Types, Zone: c.Zone, OneZone: c.OneZone, Spread: c.Spread, Spot: c.Spot, Estimate: c.Estimate,
		Checkpoint: c.Checkpoint, Save: c.Save, Deadline: c.Deadline, After: c.After, Env: c.Env, Folder: c.Folder, Simulate: c.Simulate, Command: command}, nil
}

// Run submits the job.
func (c *submitCmd) Run(ctx context.Context, top *cli) error {
	j, err := c.job()
	if err != nil {
		return err
	}
	cl, err := top.client()
	if err != nil {
		return err
	}
	s, err := cl.Submit(ctx, j)
	if err != nil {
		if errors.Is(err, client.ErrNotNow) {
			return fmt.Errorf("%w; it may have been taken: submit it again as --id %s", err, j.ID)
		}
		return err
	}
	if !c.Wait {
		return top.show(s, func() { fmt.Println(s.ID) })
	}
	return waitFor(ctx, top, cl, []string{s.ID}, 0, time.Second)
}

// show prints a value as JSON, or as f does for people.
func (c *cli) show(v any, f func()) error {
	if c.Output != "json" {
		f()
		return nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		_, err = fmt.Println(string(b))
	}
	return err
}

// columns begins a table in the project's look.
func columns(names ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(os.Stdout)
	t.SetStyle(table.StyleLight)
	t.Style().Options.SeparateColumns = false
	t.Style().Options.DrawBorder = false
	t.AppendHeader(table.Row(names))
	return t
}

type statusCmd struct {
	Job string `arg:"" help:"Job id."`
}

// Run shows a job.
func (c *statusCmd) Run(ctx context.Context, top *cli) error {
	cl, err := top.client()
	if err != nil {
		return err
	}
	s, err := cl.Query(ctx, c.Job)
	if err != nil {
		return err
	}
	return top.show(s, func() {
		if s.Reason != "" {
			fmt.Println(s.Reason)
		}
		fmt.Printf("%s is %s: %d tasks done, %d running\n", s.ID, s.State, s.Done, s.Running)
	})
}

type waitCmd struct {
	Jobs    []string      `arg:"" help:"Job ids."`
	Timeout time.Duration `help:"Give up after this long; 0: never."`
	Every   time.Duration `default:"1s" help:"How often to ask."`
}

// Run waits for jobs.
func (c *waitCmd) Run(ctx context.Context, top *cli) error {
	cl, err := top.client()
	if err != nil {
		return err
	}
	return waitFor(ctx, top, cl, c.Jobs, c.Timeout, c.Every)
}

func terminal(f *os.File) bool {
	st, err := f.Stat()
	return err == nil && st.Mode()&os.ModeCharDevice != 0
}

// waitFor waits for jobs one after another; progress goes to standard error where a
// person looks.
func waitFor(ctx context.Context, top *cli, cl *client.Client, ids []string, timeout, every time.Duration) error {
	if timeout > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, timeout)
		defer stop()
	}
	var bars progress.Writer
	if terminal(os.Stderr) && top.Output != "json" {
		bars = progress.NewWriter()
		bars.SetOutputWriter(os.Stderr)
		bars.SetUpdateFrequency(200 * time.Millisecond)
		bars.SetAutoStop(false)
		go bars.Render()
		defer func() { time.Sleep(250 * time.Millisecond); bars.Stop() }()
	}
	var all []*client.Status
	cancelled := 0
	for _, id := range ids {
		var bar *progress.Tracker
		if bars != nil {
			bar = &progress.Tracker{Message: id}
			bars.AppendTracker(bar)
		}
		s, err := cl.Wait(ctx, id, every, func(s *client.Status, err error) {
			if bar == nil {
				return
			}
			switch {
			case err != nil:
				bar.UpdateMessage(id + ": " + err.Error())
			case s.Reason != "" && !s.Final():
				bar.UpdateMessage(id + ": " + s.Reason)
			default:
				bar.UpdateMessage(id + ": " + s.State)
			}
			if s != nil {
				bar.UpdateTotal(int64(max(s.Done+s.Running, 1)))
				bar.SetValue(int64(s.Done))
			}
		})
		if err != nil {
			if errors.Is(err, context.DeadlineExceeded) {
				return exit{exitNotNow, fmt.Errorf("%s is not over within %v", id, timeout)}
			}
			return err
		}
		if bar != nil {
			bar.MarkAsDone()
		}
		if s.State == "aborted" {
			cancelled++
		}
		all = append(all, s)
	}
	if err := top.show(all, func() {
		for _, s := range all {
			fmt.Printf("%s %s, %d tasks done\n", s.ID, s.State, s.Done)
		}
	}); err != nil {
		return err
	}
	if cancelled > 0 {
		return exit{exitCancelled, errors.New("")}
	}
	return nil
}

type abortCmd struct {
	Jobs []string `arg:"" help:"Job ids."`
}

// Run cancels jobs.
func (c *abortCmd) Run(ctx context.Context, top *cli) error {
	cl, err := top.client()
	if err != nil {
		return err
	}
	var all []*client.Status
	for _, id := range c.Jobs {
		s, err := cl.Abort(ctx, id)
		if err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
		all = append(all, s)
	}
	return top.show(all, func() {
		for _, s := range all {
			fmt.Println(s.ID, s.State)
		}
	})
}

type logsCmd struct {
	Job     string `arg:"" help:"Job id."`
	Task    int    `default:"-1" help:"Only this task."`
	Attempt uint64 `help:"Only this attempt."`
	All     bool   `short:"a" help:"Every attempt, not only the newest of each task."`
}

// Run prints output, with a heading for each attempt if there are several.
func (c *logsCmd) Run(ctx context.Context, top *cli) error {
	cl, err := top.client()
	if err != nil {
		return err
	}
	list, err := cl.Outputs(ctx, c.Job)
	if err != nil {
		return err
	}
	var chosen []client.Output
	for i, o := range list {
		newest := i+1 == len(list) || list[i+1].Task != o.Task
		if (c.Task < 0 || o.Task == c.Task) && (c.Attempt == 0 || o.Attempt == c.Attempt) && (c.All || c.Attempt != 0 || newest) {
			chosen = append(chosen, o)
		}
	}
	if len(chosen) == 0 {
		return exit{exitUnknown, fmt.Errorf("%s has written nothing yet", c.Job)}
	}
	if top.Output == "json" {
		return top.show(chosen, nil)
	}
	for _, o := range chosen {
		b, err := cl.Read(ctx, c.Job, o)
		if err != nil {
			return err
		}
		if len(chosen) > 1 {
			fmt.Printf("== task %d, attempt %d\n", o.Task, o.Attempt)
		}
		_, _ = os.Stdout.Write(b) // as fmt.Print
		if len(b) > 0 && b[len(b)-1] != '\n' {
			fmt.Println()
		}
	}
	return nil
}

type jobsCmd struct {
	Most int    `short:"n" default:"20" help:"How many to show."`
	Team string `help:"Only this team's."`
}

// Run lists jobs with their states.
func (c *jobsCmd) Run(ctx context.Context, top *cli) error {
	cl, err := top.client()
	if err != nil {
		return err
	}
	var rows []map[string]any
	t := columns("job", "team", "submitted", "state", "done", "running", "tasks", "why it waits")
	for skip, more := 0, true; more && len(rows) < c.Most; {
		var list []client.Listed
		if list, more, err = cl.Jobs(ctx, skip); err != nil {
			return err
		}
		skip += len(list)
		for _, l := range list {
			if c.Team != "" && l.Team != c.Team || len(rows) == c.Most {
				continue
			}
			s, err := cl.Query(ctx, l.ID)
			switch {
			case errors.Is(err, client.ErrUnknown):
				s = &client.Status{State: "not accepted"} // described, then never submitted
			case err != nil:
				return err
			}
			rows = append(rows, map[string]any{"id": l.ID, "team": l.Team, "submitted": l.At, "tasks": l.Tasks, "state": s.State, "done": s.Done, "running": s.Running, "reason": s.Reason})
			reason := s.Reason
			if len(reason) > 50 {
				reason = strings.TrimSpace(reason[:49]) + "…"
			}
			t.AppendRow(table.Row{l.ID, l.Team, l.At.Format("01-02 15:04:05"), s.State, s.Done, s.Running, l.Tasks, reason})
		}
	}
	return top.show(rows, func() { t.Render() })
}
