package local

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"time"
)

const (
	// Delays before a process is started again, doubled from the first to the last: a
	// killed one is back at once, one that can't start doesn't fill the log.
	firstRestartDelay = 250 * time.Millisecond
	maxRestartDelay   = 5 * time.Second

	// stableAfter is how long a process must have run for its next delay to be the first.
	stableAfter = 10 * time.Second

	// terminationGrace is the time from SIGTERM to SIGKILL when the cluster ends.
	terminationGrace = 10 * time.Second
)

// supervisedProcess is a process of the cluster. pid and exits are guarded by Cluster.mu.
type supervisedProcess struct {
	name  string
	args  []string
	pid   int // 0: it does not run
	exits int
}

// supervise runs a process again and again until the cluster ends.
func (c *Cluster) supervise(p *supervisedProcess) error {
	// The process is killed when the thread that started it ends, so this goroutine has
	// one of its own.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	delay := firstRestartDelay
	for {
		startedAt := time.Now()
		err := c.runOnce(p)
		if c.ctx.Err() != nil {
			return c.ctx.Err()
		}
		if time.Since(startedAt) > stableAfter {
			delay = firstRestartDelay
		}
		c.options.Logger.Warn("process exited, restarting it", "name", p.name, "error", err, "delay", delay)
		select {
		case <-c.ctx.Done():
			return c.ctx.Err()
		case <-time.After(delay):
		}
		delay = min(2*delay, maxRestartDelay)
	}
}

// runOnce runs a process until it exits. When the cluster ends, the process is asked to
// exit, and killed if it doesn't.
func (c *Cluster) runOnce(p *supervisedProcess) error {
	log, err := os.OpenFile(c.logPath(p.name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a copy
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	// Out of reach of the terminal's interrupt: the cluster is taken down in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.recordStart(p, cmd.Process.Pid)
	defer c.recordExit(p)
	cancelTerminate := context.AfterFunc(c.ctx, func() { _ = cmd.Process.Signal(syscall.SIGTERM) })
	cancelKill := context.AfterFunc(c.ctx, func() {
		time.Sleep(terminationGrace)
		_ = cmd.Process.Kill() // it may have exited meanwhile
	})
	err = cmd.Wait()
	cancelTerminate()
	cancelKill()
	return err
}

func (c *Cluster) recordStart(p *supervisedProcess, pid int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.pid = pid
}

func (c *Cluster) recordExit(p *supervisedProcess) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.pid = 0
	p.exits++
}

func (c *Cluster) logPath(process string) string { return c.path("logs", process+".log") }

// lastLogLine is the last line that a process wrote, empty if there is none.
func lastLogLine(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }() // it was only read
	last := ""
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if line := strings.TrimSpace(lines.Text()); line != "" {
			last = line
		}
	}
	return last, nil
}

// startFailure says in a sentence why a process isn't ready.
func (c *Cluster) startFailure(name string) error {
	path := c.logPath(name)
	last, err := lastLogLine(path)
	if err != nil {
		return fmt.Errorf("%s does not start: %w", name, err)
	}
	if last == "" {
		last = "it says nothing"
	}
	return fmt.Errorf("%s does not get ready: %s (more in %s)", name, last, path)
}
