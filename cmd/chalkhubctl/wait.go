package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/progress"

	"github.com/chalkhub/chalkhub/client"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// defaultWaitInterval is the poll interval of submit --wait. It equals the default of
	// wait --every.
	defaultWaitInterval = time.Second

	// progressInterval is how often the progress bars are drawn. progressLinger is longer, so that
	// the final state is drawn before the bars stop.
	progressInterval = 200 * time.Millisecond
	progressLinger   = 250 * time.Millisecond
)

type waitCmd struct {
	Jobs    []string      `arg:"" help:"Job ids."`
	Timeout time.Duration `help:"Give up after this long; 0: never."`
	Every   time.Duration `default:"1s" help:"How often to ask."`
}

// Run waits until all given jobs are over. The exit code shows whether one was cancelled or the
// timeout expired first.
func (c *waitCmd) Run(ctx context.Context, root *cli) error {
	cluster, err := root.client()
	if err != nil {
		return err
	}
	return waitForJobs(ctx, root, cluster, waitOptions{jobs: c.Jobs, timeout: c.Timeout, interval: c.Every})
}

type waitOptions struct {
	jobs     []string
	timeout  time.Duration // 0 if not limited
	interval time.Duration
}

// waitForJobs waits for jobs one after another. It shows progress bars on standard error if that is
// a terminal and the output format is not JSON.
func waitForJobs(ctx context.Context, root *cli, cluster *client.Client, options waitOptions) error {
	if options.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, options.timeout)
		defer cancel()
	}
	var bars progressBars
	if isTerminal(os.Stderr) && root.Output != "json" {
		bars.start()
		defer bars.stop()
	}
	var statuses []*client.Status
	cancelled := false
	for _, id := range options.jobs {
		bar := bars.add(id)
		status, err := cluster.Wait(ctx, id, options.interval, bar.update)
		if errors.Is(err, context.DeadlineExceeded) {
			return exitError{exitTimeout, fmt.Errorf("%s did not finish within %v", id, options.timeout)}
		}
		if err != nil {
			return err
		}
		bar.done()
		cancelled = cancelled || status.State == protocol.JobCancelled
		statuses = append(statuses, status)
	}
	err := root.print(statuses, func() {
		for _, s := range statuses {
			fmt.Printf("%s %s, %d tasks done\n", s.ID, s.State, s.Done)
		}
	})
	if err == nil && cancelled {
		return exitError{exitCancelled, errors.New("")} // no text: the printed statuses show which jobs were cancelled
	}
	return err
}

// progressBars draws progress bars on standard error, one for each job. It draws nothing unless
// start was called.
type progressBars struct{ writer progress.Writer }

func (b *progressBars) start() {
	b.writer = progress.NewWriter()
	b.writer.SetOutputWriter(os.Stderr)
	b.writer.SetUpdateFrequency(progressInterval)
	b.writer.SetAutoStop(false)
	go b.writer.Render() // returns after stop
}

func (b *progressBars) stop() {
	time.Sleep(progressLinger)
	b.writer.Stop()
}

func (b *progressBars) add(job string) *progressBar {
	bar := &progressBar{job: job}
	if b.writer != nil {
		bar.tracker = &progress.Tracker{Message: job}
		b.writer.AppendTracker(bar.tracker)
	}
	return bar
}

// progressBar is the progress bar of one job.
type progressBar struct {
	job     string
	tracker *progress.Tracker // nil if nothing is drawn
}

func (b *progressBar) update(s *client.Status, err error) {
	if b.tracker == nil {
		return
	}
	switch {
	case err != nil:
		b.tracker.UpdateMessage(b.job + ": " + err.Error())
	case s.Reason != "" && !s.Final():
		b.tracker.UpdateMessage(b.job + ": " + s.Reason)
	default:
		b.tracker.UpdateMessage(b.job + ": " + s.State)
	}
	if s != nil {
		b.tracker.UpdateTotal(int64(max(s.Done+s.Running, 1)))
		b.tracker.SetValue(int64(s.Done))
	}
}

func (b *progressBar) done() {
	if b.tracker != nil {
		b.tracker.MarkAsDone()
	}
}
