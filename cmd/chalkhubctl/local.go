package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/client"
	"github.com/chalkhub/chalkhub/internal/local"
)

type localCmd struct {
	Folder   string `default:"chalk-data" help:"Folder that takes all that the cluster writes."`
	Settings string `placeholder:"FILE" help:"Settings (YAML): controllers, zones, teams, machine types; see docs/local.md."`
	Policy   string `placeholder:"FILE" help:"Operators' policy script for the controllers (Starlark)."`
	Chalkhub string `placeholder:"FILE" help:"The controller's program; found beside this one or in target, else built."`
	Keep     bool   `help:"Leave the folder for a second run on the same data; without it the folder must be new, and is removed at the end."`
	Demo     bool   `help:"Run a small array of real commands, end the leader in the middle of it, then leave nothing behind."`
}

// findController finds the controller's program, or builds it in a tree of the sources.
func (c *localCmd) findController(ctx context.Context) (string, error) {
	if c.Chalkhub != "" {
		return filepath.Abs(c.Chalkhub)
	}
	var places []string
	if self, err := os.Executable(); err == nil {
		places = append(places, filepath.Join(filepath.Dir(self), "chalkhub"))
	}
	places = append(places, "target/chalkhub")
	for _, p := range places {
		if st, err := os.Stat(p); err == nil && !st.IsDir() {
			return filepath.Abs(p)
		}
	}
	if _, err := os.Stat("cmd/chalkhub/main.go"); err != nil {
		return "", errors.New("the controller's program is not found: name it with --chalkhub, or run this in the folder of the sources")
	}
	if _, err := exec.LookPath("go"); err != nil {
		return "", errors.New("the controller must be built first, which needs Go: install it, or name a built program with --chalkhub")
	}
	cc := os.Getenv("CC")
	if cc == "" {
		cc = "gcc"
	}
	if _, err := exec.LookPath(cc); err != nil {
		return "", fmt.Errorf("the controller must be built first, which needs a C compiler and %s is not there: install it, or name a built program with --chalkhub", cc)
	}
	fmt.Fprintln(os.Stderr, "building target/chalkhub")
	cmd := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", "target/chalkhub", "./cmd/chalkhub")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("the controller does not build: %s", strings.TrimSpace(string(out)))
	}
	return filepath.Abs("target/chalkhub")
}

// Run runs a cluster until it is interrupted, or the demonstration.
func (c *localCmd) Run(ctx context.Context) (err error) {
	began := time.Now()
	set, err := local.Read(c.Settings)
	if err != nil {
		return err
	}
	if c.Demo {
		if c.Folder, err = os.MkdirTemp("", "chalk-demo-"); err != nil {
			return err
		}
	} else if entries, _ := os.ReadDir(c.Folder); len(entries) > 0 && !c.Keep {
		return fmt.Errorf("%s is not empty: go on with what is in it with --keep, or choose another --folder", c.Folder)
	}
	if c.Folder, err = filepath.Abs(c.Folder); err != nil {
		return err
	}
	hub, err := c.findController(ctx)
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	log := logger()
	if c.Demo {
		log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	cluster, err := local.Start(ctx, local.Options{Dir: c.Folder, Settings: set, CtlCommand: []string{self}, ControllerProgram: hub, PolicyFile: c.Policy, Logger: log})
	if err != nil {
		return err
	}
	defer func() {
		err = errors.Join(err, cluster.Close())
		if !c.Keep {
			err = errors.Join(err, os.RemoveAll(c.Folder))
		}
	}()
	if c.Demo {
		return runDemo(ctx, cluster, began)
	}
	fmt.Printf("%d controllers are ready, in %s\n", len(cluster.Controllers), c.Folder)
	fmt.Printf("  chalkhubctl --cluster %s submit -- echo hello\n  chalkhubctl --cluster %s top\nInterrupt to end it.\n", c.Folder, c.Folder)
	cluster.Wait()
	return nil
}

// runDemo runs a small array of real commands and ends the leader in the middle.
func runDemo(ctx context.Context, cluster *local.Cluster, began time.Time) error {
	say := func(format string, args ...any) {
		fmt.Printf("%5.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	say("%d controllers, a state service and a cloud are up", len(cluster.Controllers))
	cl, err := cluster.Client()
	if err != nil {
		return err
	}
	first := client.Job{Team: "main", CPUs: 1, MemoryGB: 1, Estimate: time.Second, Command: []string{"sh", "-c", "echo hello from task $CHALK_TASK on $CHALK_MACHINE"}}
	if _, err := cl.Submit(ctx, &first); err != nil {
		return err
	}
	say("%s: one task that says hello", first.ID)
	if err := followJob(ctx, cl, first.ID, say); err != nil {
		return err
	}
	if err := printOutput(ctx, cl, first.ID, say); err != nil {
		return err
	}
	file := filepath.Join(cluster.Dir(), "lines")
	const tasks = 12
	array := client.Job{Team: "main", Tasks: tasks, CPUs: 1, MemoryGB: 1, Estimate: 3 * time.Second, Env: map[string]string{"LINES": file},
		Command: []string{"sh", "-c", `sleep 3; echo "$CHALK_TASK" >> "$LINES"`}}
	if _, err := cl.Submit(ctx, &array); err != nil {
		return err
	}
	say("%s: %d tasks that sleep and then write a line", array.ID, tasks)
	leader := ""
	for leader == "" {
		s, err := cl.Query(ctx, array.ID)
		if err != nil {
			return err
		}
		if s.Running >= tasks/2 {
			leader = cluster.Leader()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
	if err := cluster.Kill(leader); err != nil {
		return err
	}
	say("%s, the leader, was killed in the middle of it", leader)
	if err := followJob(ctx, cl, array.ID, say); err != nil {
		return err
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	seen := map[string]int{}
	for _, l := range strings.Fields(string(b)) {
		seen[l]++
	}
	if len(seen) != tasks {
		return fmt.Errorf("%d of %d tasks have written their line", len(seen), tasks)
	}
	say("%d tasks wrote %d lines; a task that was lost with the leader would have run again", len(seen), len(strings.Fields(string(b))))
	return nil
}

// followJob says what becomes of a job until it is done.
func followJob(ctx context.Context, cl *client.Client, id string, say func(string, ...any)) error {
	last := ""
	s, err := cl.Wait(ctx, id, 200*time.Millisecond, func(s *client.Status, err error) {
		now := ""
		switch {
		case err != nil:
			now = err.Error()
		case s.Reason != "" && !s.Final():
			now = fmt.Sprintf("%s, %d done: %s", s.State, s.Done, s.Reason)
		default:
			now = s.State
		}
		if now != last {
			say("  %s", now)
			last = now
		}
	})
	if err == nil && s.State != "done" {
		err = fmt.Errorf("%s was %s", id, s.State)
	}
	return err
}

func printOutput(ctx context.Context, cl *client.Client, id string, say func(string, ...any)) error {
	list, err := cl.Outputs(ctx, id)
	if err != nil {
		return err
	}
	for _, o := range list {
		b, err := cl.ReadOutput(ctx, id, o)
		if err != nil {
			return err
		}
		say("  it wrote: %s", strings.TrimSpace(string(b)))
	}
	return nil
}
