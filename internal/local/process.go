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
	// The delay before a process is restarted doubles from firstRestartDelay to maxRestartDelay: a
	// process that was killed is restarted soon, and one that can't start doesn't fill the log.
	firstRestartDelay = 250 * time.Millisecond
	maxRestartDelay   = 5 * time.Second

	// stableAfter is how long a process must have run for its restart delay to be reset to
	// firstRestartDelay.
	stableAfter = 10 * time.Second

	// terminationGrace is the time between SIGTERM and SIGKILL when the cluster is closed.
	terminationGrace = 10 * time.Second
)

// supervisedProcess is a process of the cluster that is restarted when it exits. Cluster.mu guards
// pid and exits.
type supervisedProcess struct {
	name  string
	args  []string
	pid   int // 0: it is not running
	exits int
}

// supervise runs a process and restarts it whenever it exits, until the cluster is closed.
func (c *Cluster) supervise(p *supervisedProcess) error {
	// The kernel kills the process (Pdeathsig) when the thread that started it exits, so this
	// goroutine keeps a thread of its own.
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

// runOnce runs a process until it exits. When the cluster is closed, the process gets SIGTERM, and
// SIGKILL after terminationGrace if it is still running.
func (c *Cluster) runOnce(p *supervisedProcess) error {
	log, err := os.OpenFile(c.logPath(p.name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	// The process gets its own process group, so that a terminal interrupt doesn't reach it: the
	// cluster stops its processes itself.
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

// lastLogLine returns the last line of a log file that is not blank, or an empty string if there is
// none.
func lastLogLine(path string) (string, error) {
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }() // the file was only read
	last := ""
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if line := strings.TrimSpace(lines.Text()); line != "" {
			last = line
		}
	}
	return last, nil
}

// startFailure returns an error of one line that explains why a process isn't ready. It quotes the
// last line of the process's log.
func (c *Cluster) startFailure(name string) error {
	path := c.logPath(name)
	last, err := lastLogLine(path)
	if err != nil {
		return fmt.Errorf("%s did not start: %w", name, err)
	}
	if last == "" {
		last = "its log is empty"
	}
	return fmt.Errorf("%s did not become ready: %s (more in %s)", name, last, path)
}
