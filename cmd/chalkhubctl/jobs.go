package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/chalkhub/chalkhub/client"
)

// maxReasonBytes is the length in bytes above which the list of jobs truncates a reason.
const maxReasonBytes = 50

// stateNotAccepted is the state shown for a job whose description was uploaded but that no
// controller knows.
const stateNotAccepted = "not accepted"

type statusCmd struct {
	Job string `arg:"" help:"Job id."`
}

// Run shows a job's status, with the reason why it waits in the first line.
func (c *statusCmd) Run(ctx context.Context, root *cli) error {
	cluster, err := root.client()
	if err != nil {
		return err
	}
	s, err := cluster.Query(ctx, c.Job)
	if err != nil {
		return err
	}
	return root.print(s, func() {
		if s.Reason != "" {
			fmt.Println(s.Reason)
		}
		fmt.Printf("%s is %s: %d tasks done, %d running\n", s.ID, s.State, s.Done, s.Running)
	})
}

type abortCmd struct {
	Jobs []string `arg:"" help:"Job ids."`
}

// Run cancels jobs one after another and stops at the first error.
func (c *abortCmd) Run(ctx context.Context, root *cli) error {
	cluster, err := root.client()
	if err != nil {
		return err
	}
	var statuses []*client.Status
	for _, id := range c.Jobs {
		s, err := cluster.Abort(ctx, id)
		if err != nil {
			return fmt.Errorf("cannot cancel %s: %w", id, err)
		}
		statuses = append(statuses, s)
	}
	return root.print(statuses, func() {
		for _, s := range statuses {
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

// selectOutputs selects the attempts to show. The outputs must be sorted by task and then by
// attempt.
func (c *logsCmd) selectOutputs(outputs []client.Output) []client.Output {
	var selected []client.Output
	for i, o := range outputs {
		newest := i+1 == len(outputs) || outputs[i+1].Task != o.Task
		taskMatches := c.Task < 0 || o.Task == c.Task
		attemptMatches := c.Attempt == 0 || o.Attempt == c.Attempt
		if taskMatches && attemptMatches && (c.All || c.Attempt != 0 || newest) {
			selected = append(selected, o)
		}
	}
	return selected
}

// Run prints the output of the selected attempts, with a heading for each if there are several.
func (c *logsCmd) Run(ctx context.Context, root *cli) error {
	cluster, err := root.client()
	if err != nil {
		return err
	}
	outputs, err := cluster.Outputs(ctx, c.Job)
	if err != nil {
		return err
	}
	selected := c.selectOutputs(outputs)
	if len(selected) == 0 {
		return exitError{exitNotFound, fmt.Errorf("%s has no output yet of the selected tasks and attempts", c.Job)}
	}
	if root.Output == "json" {
		return root.print(selected, nil)
	}
	for _, o := range selected {
		text, err := cluster.ReadOutput(ctx, c.Job, o)
		if err != nil {
			return err
		}
		if len(selected) > 1 {
			fmt.Printf("== task %d, attempt %d\n", o.Task, o.Attempt)
		}
		_, _ = os.Stdout.Write(text) // the error is ignored, as with fmt.Print
		if len(text) > 0 && text[len(text)-1] != '\n' {
			fmt.Println()
		}
	}
	return nil
}

type jobsCmd struct {
	Most int    `short:"n" default:"20" help:"How many to show."`
	Team string `help:"Only this team's."`
}

// jobRow is a job in the list. It is part of the JSON output that programs read; its fields are in
// alphabetical order of their keys.
type jobRow struct {
	Done      int       `json:"done"`
	ID        string    `json:"id"`
	Reason    string    `json:"reason"`
	Running   int       `json:"running"`
	State     string    `json:"state"`
	Submitted time.Time `json:"submitted"`
	Tasks     int       `json:"tasks"`
	Team      string    `json:"team"`
}

// Run lists the newest jobs with their states.
func (c *jobsCmd) Run(ctx context.Context, root *cli) error {
	cluster, err := root.client()
	if err != nil {
		return err
	}
	rows, err := c.list(ctx, cluster)
	if err != nil {
		return err
	}
	return root.print(rows, func() { printJobs(rows) })
}

// list reads pages of jobs, newest first, until it has c.Most jobs that match or there are no more.
func (c *jobsCmd) list(ctx context.Context, cluster *client.Client) ([]jobRow, error) {
	var rows []jobRow
	for skip, more := 0, true; more && len(rows) < c.Most; {
		var page []client.ListedJob
		var err error
		if page, more, err = cluster.Jobs(ctx, skip); err != nil {
			return nil, err
		}
		skip += len(page)
		for _, job := range page {
			if c.Team != "" && job.Team != c.Team || len(rows) == c.Most {
				continue
			}
			row, err := newJobRow(ctx, cluster, job)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func newJobRow(ctx context.Context, cluster *client.Client, job client.ListedJob) (jobRow, error) {
	status, err := cluster.Query(ctx, job.ID)
	if errors.Is(err, client.ErrUnknown) {
		status, err = &client.Status{State: stateNotAccepted}, nil
	}
	if err != nil {
		return jobRow{}, err
	}
	return jobRow{
		Done:      status.Done,
		ID:        job.ID,
		Reason:    status.Reason,
		Running:   status.Running,
		State:     status.State,
		Submitted: job.At,
		Tasks:     job.Tasks,
		Team:      job.Team,
	}, nil
}

func printJobs(rows []jobRow) {
	t := newTable("job", "team", "submitted", "state", "done", "running", "tasks", "why it waits")
	for _, r := range rows {
		reason := r.Reason
		if len(reason) > maxReasonBytes {
			reason = strings.TrimSpace(reason[:maxReasonBytes-1]) + "…"
		}
		t.AppendRow(table.Row{r.ID, r.Team, r.Submitted.Format("01-02 15:04:05"), r.State, r.Done, r.Running, r.Tasks, reason})
	}
	t.Render()
}
