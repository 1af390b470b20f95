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

// maxReasonBytes is how much of a reason fits the list of jobs, in bytes.
const maxReasonBytes = 50

// stateNotAccepted is the state of a job that was described and that no controller has.
const stateNotAccepted = "not accepted"

type statusCmd struct {
	Job string `arg:"" help:"Job id."`
}

// Run shows a job.
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

// Run cancels jobs.
func (c *abortCmd) Run(ctx context.Context, root *cli) error {
	cluster, err := root.client()
	if err != nil {
		return err
	}
	var statuses []*client.Status
	for _, id := range c.Jobs {
		s, err := cluster.Abort(ctx, id)
		if err != nil {
			return fmt.Errorf("%s: %w", id, err)
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

// selectOutputs picks the attempts to show from those of a job, by task and attempt.
func (c *logsCmd) selectOutputs(outputs []client.Output) []client.Output {
	var chosen []client.Output
	for i, o := range outputs {
		newest := i+1 == len(outputs) || outputs[i+1].Task != o.Task
		taskFits := c.Task < 0 || o.Task == c.Task
		attemptFits := c.Attempt == 0 || o.Attempt == c.Attempt
		if taskFits && attemptFits && (c.All || c.Attempt != 0 || newest) {
			chosen = append(chosen, o)
		}
	}
	return chosen
}

// Run prints output, with a heading for each attempt if there are several.
func (c *logsCmd) Run(ctx context.Context, root *cli) error {
	cluster, err := root.client()
	if err != nil {
		return err
	}
	outputs, err := cluster.Outputs(ctx, c.Job)
	if err != nil {
		return err
	}
	chosen := c.selectOutputs(outputs)
	if len(chosen) == 0 {
		return exitError{exitNotFound, fmt.Errorf("%s has written nothing yet", c.Job)}
	}
	if root.Output == "json" {
		return root.print(chosen, nil)
	}
	for _, o := range chosen {
		text, err := cluster.ReadOutput(ctx, c.Job, o)
		if err != nil {
			return err
		}
		if len(chosen) > 1 {
			fmt.Printf("== task %d, attempt %d\n", o.Task, o.Attempt)
		}
		_, _ = os.Stdout.Write(text) // as fmt.Print
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

// jobRow is a job in the list. Programs read it: its fields are in the order of their keys.
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

// Run lists jobs with their states.
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

// list reads pages of jobs until there are enough of them.
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
