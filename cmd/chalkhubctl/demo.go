package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/client"
	"github.com/chalkhub/chalkhub/internal/local"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// demoTasks is enough to have some done, some running and some waiting when the leader
	// is killed.
	demoTasks = 12

	// demoPollInterval is short against a task of the demonstration.
	demoPollInterval = 200 * time.Millisecond
)

// demo is the demonstration of a cluster.
type demo struct {
	cluster   *local.Cluster
	client    *client.Client
	startedAt time.Time
}

// printf prints a line with the time since the start.
func (d *demo) printf(format string, args ...any) {
	fmt.Printf("%5.1f s  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// runDemo runs a small array of real commands and kills the leader in the middle.
func runDemo(ctx context.Context, cluster *local.Cluster, startedAt time.Time) error {
	d := &demo{cluster: cluster, startedAt: startedAt}
	d.printf("%d controllers, a state service and a cloud are up", len(cluster.Controllers))
	var err error
	if d.client, err = cluster.Client(); err != nil {
		return err
	}
	if err := d.runHello(ctx); err != nil {
		return err
	}
	return d.runArray(ctx)
}

// runHello runs one task and prints its output.
func (d *demo) runHello(ctx context.Context) error {
	job := client.Job{
		Team: "main", CPUs: 1, MemoryGB: 1, Estimate: time.Second,
		Command: []string{"sh", "-c", "echo hello from task $CHALK_TASK on $CHALK_MACHINE"},
	}
	if _, err := d.client.Submit(ctx, &job); err != nil {
		return err
	}
	d.printf("%s: one task that says hello", job.ID)
	if err := d.followJob(ctx, job.ID); err != nil {
		return err
	}
	return d.printOutput(ctx, job.ID)
}

// runArray runs an array whose tasks each write a line, and kills the leader meanwhile.
func (d *demo) runArray(ctx context.Context) error {
	lines := filepath.Join(d.cluster.Dir(), "lines")
	job := client.Job{
		Team: "main", Tasks: demoTasks, CPUs: 1, MemoryGB: 1, Estimate: 3 * time.Second,
		Env:     map[string]string{"LINES": lines},
		Command: []string{"sh", "-c", `sleep 3; echo "$CHALK_TASK" >> "$LINES"`},
	}
	if _, err := d.client.Submit(ctx, &job); err != nil {
		return err
	}
	d.printf("%s: %d tasks that sleep and then write a line", job.ID, demoTasks)
	leader, err := d.waitHalfRunning(ctx, job.ID)
	if err != nil {
		return err
	}
	if err := d.cluster.Kill(leader); err != nil {
		return err
	}
	d.printf("%s, the leader, was killed in the middle of it", leader)
	if err := d.followJob(ctx, job.ID); err != nil {
		return err
	}
	return d.checkLines(lines)
}

// waitHalfRunning waits until half of the array's tasks run, and returns the leader.
func (d *demo) waitHalfRunning(ctx context.Context, id string) (string, error) {
	for {
		status, err := d.client.Query(ctx, id)
		if err != nil {
			return "", err
		}
		if status.Running >= demoTasks/2 {
			if leader := d.cluster.Leader(); leader != "" {
				return leader, nil
			}
		}
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case <-time.After(demoPollInterval / 2):
		}
	}
}

// checkLines checks that every task of the array has written a line.
func (d *demo) checkLines(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	lines := strings.Fields(string(b))
	tasks := map[string]bool{}
	for _, task := range lines {
		tasks[task] = true
	}
	if len(tasks) != demoTasks {
		return fmt.Errorf("%d of %d tasks have written their line", len(tasks), demoTasks)
	}
	d.printf("%d tasks wrote %d lines; a task that was lost with the leader would have run again", len(tasks), len(lines))
	return nil
}

// followJob says what becomes of a job until it is done.
func (d *demo) followJob(ctx context.Context, id string) error {
	last := ""
	status, err := d.client.Wait(ctx, id, demoPollInterval, func(s *client.Status, err error) {
		if now := describeStatus(s, err); now != last {
			d.printf("  %s", now)
			last = now
		}
	})
	if err == nil && status.State != protocol.JobDone {
		err = fmt.Errorf("%s was %s", id, status.State)
	}
	return err
}

func describeStatus(s *client.Status, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case s.Reason != "" && !s.Final():
		return fmt.Sprintf("%s, %d done: %s", s.State, s.Done, s.Reason)
	}
	return s.State
}

func (d *demo) printOutput(ctx context.Context, id string) error {
	outputs, err := d.client.Outputs(ctx, id)
	if err != nil {
		return err
	}
	for _, o := range outputs {
		text, err := d.client.ReadOutput(ctx, id, o)
		if err != nil {
			return err
		}
		d.printf("  it wrote: %s", strings.TrimSpace(string(text)))
	}
	return nil
}
