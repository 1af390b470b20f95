package localcloud

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/goccy/go-json"
	"golang.org/x/sys/unix"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// Boot times and notices vary as they do in real clouds: boot times from 0.6 to 1.5 times
	// the type's BootS, notices from 0.5 to 1.5 times the setting NoticeS.
	minBootFactor    = 0.6
	bootFactorSpan   = 0.9
	minNoticeFactor  = 0.5
	noticeFactorSpan = 1.0

	// orphanPollInterval is the interval of the checks whether a machine that an earlier
	// process of the cloud created still has processes.
	orphanPollInterval = 50 * time.Millisecond
)

// instance is a machine. Cloud.mu guards its fields, except for those that are only set before
// other goroutines can access it.
type instance struct {
	protocol.Instance
	createdAt time.Time
	deletedAt time.Time // zero if not deleted
	cancel    context.CancelFunc
	exited    chan struct{} // closed when all its processes have exited
	pid       int           // process ID of its agent; 0 before the agent starts
}

func (m *instance) existedAt(t time.Time) bool {
	return !m.createdAt.After(t) && (m.deletedAt.IsZero() || !m.deletedAt.Before(t))
}

// agentProcess is the running agent of a machine.
type agentProcess struct {
	cmd   *exec.Cmd
	stdin io.Writer
	// livenessPipe is the read end of a pipe. It reaches EOF when the agent and its shims, and so
	// all its tasks, have exited.
	livenessPipe *os.File
}

// runMachine boots a machine, starts its agent and waits until all its processes have exited. When
// ctx ends, it kills the agent.
func (c *Cloud) runMachine(ctx context.Context, m *instance, t MachineType, l net.Listener) {
	defer close(m.exited)
	defer func() { _ = l.Close() }() // the agent has its own copy of the listener
	if !sleep(ctx, config.Seconds(t.BootS*(minBootFactor+bootFactorSpan*rand.Float64()))) {
		return
	}
	agent, err := c.launchAgent(m.Instance, t, l.(*net.TCPListener))
	if err != nil {
		c.markFailed(m, err)
		return
	}
	defer func() { _ = agent.livenessPipe.Close() }() // nothing was written to it
	c.markRunning(m, agent.cmd.Process.Pid)
	if m.Spot && c.settings.SpotLifeS > 0 {
		go c.preemptSpot(ctx, m, agent.stdin) // ends when it has preempted the machine, or with ctx
	}
	defer func() { _ = os.RemoveAll(agent.cmd.Dir) }() // the directory belongs to this machine alone
	defer context.AfterFunc(ctx, func() { _ = agent.cmd.Process.Kill() })()
	_, _ = io.Copy(io.Discard, agent.livenessPipe) // no data arrives; returns at EOF
	_ = agent.cmd.Wait()                           // the exit status is in cmd.ProcessState
	if ctx.Err() == nil {
		c.markFailed(m, fmt.Errorf("agent process exited: %v", agent.cmd.ProcessState))
	}
}

// launchAgent starts a machine's agent, which takes over the listener. It closes l, unless it fails
// before it has called startAgent.
func (c *Cloud) launchAgent(m protocol.Instance, t MachineType, l *net.TCPListener) (*agentProcess, error) {
	listener, err := l.File()
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }() // the agent has its own copy
	read, write, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer func() { _ = write.Close() }() // the agent has its own copy
	var stdin io.Writer
	cmd, err := c.startAgent(m, t, listener, write)
	if err == nil {
		stdin, err = cmd.StdinPipe()
	}
	if err == nil {
		// The agent gets its own process group, so that an interrupt from the terminal reaches
		// only the cloud, which terminates its agents itself.
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		err = cmd.Start()
	}
	_ = l.Close() // only the agent's copy may accept connections from now on
	if err != nil {
		_ = read.Close()
		return nil, err
	}
	return &agentProcess{cmd: cmd, stdin: stdin, livenessPipe: read}, nil
}

// markRunning marks a machine as running and records its agent's process ID in the journal, so that
// a later process of the cloud can kill the agent.
func (c *Cloud) markRunning(m *instance, pid int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.State, m.pid = protocol.MachineRunning, pid
	if err := c.appendRecord(journalRecord{Machines: []string{m.Name}, PID: pid}); err != nil {
		c.logger.Error("agent process could not be recorded", "machine", m.Name, "error", err)
	}
}

func (c *Cloud) markFailed(m *instance, err error) {
	c.logger.Error("machine failed", "machine", m.Name, "error", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	m.State = protocol.MachineFailed
}

// preemptSpot deletes a spot machine after a random time, and sends its agent a notice before if
// NoticeS is set.
func (c *Cloud) preemptSpot(ctx context.Context, m *instance, agent io.Writer) {
	if !sleep(ctx, config.Seconds(rand.ExpFloat64()*c.settings.SpotLifeS)) {
		return
	}
	if c.settings.NoticeS > 0 {
		noticeS := c.settings.NoticeS * (minNoticeFactor + noticeFactorSpan*rand.Float64())
		b, _ := json.Marshal(AgentMessage{NoticeS: noticeS}) // encoding a finite number can't fail
		_, _ = agent.Write(append(b, '\n'))                  // fails only if the agent has exited
		if !sleep(ctx, config.Seconds(noticeS)) {
			return
		}
	}
	if err := c.delete([]string{m.Name}); err != nil {
		c.logger.Error("spot machine could not be preempted", "machine", m.Name, "error", err)
	}
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// awaitOrphan kills the agent of a machine that an earlier process of the cloud created, waits until
// all processes of the machine have exited, and removes its directory. The agent and its shims hold
// a lock on a file in dir until they exit.
//
// Without the wait, a machine could be reported as deleted while its tasks still run: an agent exits
// when its cloud does, but not while it is stopped (SIGSTOP), and its shims let the tasks run until
// it exits or the worker's lease expires.
func awaitOrphan(m *instance, dir string) {
	defer close(m.exited)
	for lockHeld(filepath.Join(dir, "lock")) {
		killOrphan(m.pid, dir)
		time.Sleep(orphanPollInterval)
	}
	_ = os.RemoveAll(dir) // a leftover directory does no harm
}

// lockHeld reports whether a process holds the lock on a file. No process does if the file does not
// exist: the agent never started, or its directory was removed after it had exited.
func lockHeld(path string) bool {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }() // this also releases the lock
	return unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil
}

// killOrphan kills an agent if the command line of the process contains the machine's directory. The
// operating system may have given the PID to another process, but no other process has this directory
// in its command line.
func killOrphan(pid int, dir string) {
	if pid == 0 {
		return
	}
	commandLine, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
	if err == nil && strings.Contains(string(commandLine), dir+string(filepath.Separator)) {
		_ = unix.Kill(pid, unix.SIGKILL) // the agent may have exited meanwhile
	}
}
