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
	// Boot times and notices vary as those of real clouds do: boots from 0.6 to 1.5 of the
	// type's time, notices from 0.5 to 1.5 of the setting.
	minBootFactor    = 0.6
	bootFactorSpan   = 0.9
	minNoticeFactor  = 0.5
	noticeFactorSpan = 1.0

	// orphanPollInterval is how often an earlier cloud's machine is looked at.
	orphanPollInterval = 50 * time.Millisecond
)

// instance is a machine. Its fields are guarded by Cloud.mu, but for those that are set
// before it is shared.
type instance struct {
	protocol.Instance
	createdAt time.Time
	deletedAt time.Time // zero: not deleted
	cancel    context.CancelFunc
	exited    chan struct{} // closed when nothing of it is left
	pid       int           // of its agent
}

func (m *instance) existedAt(t time.Time) bool {
	return !m.createdAt.After(t) && (m.deletedAt.IsZero() || !m.deletedAt.Before(t))
}

// agentProcess is a machine's agent.
type agentProcess struct {
	cmd          *exec.Cmd
	stdin        io.Writer
	livenessPipe *os.File // ends when the agent, its shims and so all its tasks have exited
}

// runMachine is a machine's whole life. It ends when ctx does.
func (c *Cloud) runMachine(ctx context.Context, m *instance, t MachineType, l net.Listener) {
	defer close(m.exited)
	defer func() { _ = l.Close() }() // the agent has a copy
	if !sleep(ctx, config.Seconds(t.BootS*(minBootFactor+bootFactorSpan*rand.Float64()))) {
		return
	}
	agent, err := c.launchAgent(m.Instance, t, l.(*net.TCPListener))
	if err != nil {
		c.markFailed(m, err)
		return
	}
	defer func() { _ = agent.livenessPipe.Close() }() // it was only read
	c.markRunning(m, agent.cmd.Process.Pid)
	if m.Spot && c.settings.SpotLifeS > 0 {
		go c.preemptSpot(ctx, m, agent.stdin) // ends with ctx, or with the machine
	}
	defer func() { _ = os.RemoveAll(agent.cmd.Dir) }() // the machine's own
	defer context.AfterFunc(ctx, func() { _ = agent.cmd.Process.Kill() })()
	_, _ = io.Copy(io.Discard, agent.livenessPipe) // nothing is written, it only ends
	_ = agent.cmd.Wait()                           // the process state says how it ended
	if ctx.Err() == nil {
		c.markFailed(m, fmt.Errorf("its agent ended: %v", agent.cmd.ProcessState))
	}
}

// launchAgent starts a machine's agent, which takes over the listener.
func (c *Cloud) launchAgent(m protocol.Instance, t MachineType, l *net.TCPListener) (*agentProcess, error) {
	listener, err := l.File()
	if err != nil {
		return nil, err
	}
	defer func() { _ = listener.Close() }() // the agent has a copy
	read, write, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer func() { _ = write.Close() }() // the agent has a copy
	var stdin io.Writer
	cmd, err := c.startAgent(m, t, listener, write)
	if err == nil {
		stdin, err = cmd.StdinPipe()
	}
	if err == nil {
		// A group of its own: the terminal's interrupt is the cloud's to pass on.
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		err = cmd.Start()
	}
	_ = l.Close() // the agent has a copy, and from now on it alone accepts connections
	if err != nil {
		_ = read.Close()
		return nil, err
	}
	return &agentProcess{cmd: cmd, stdin: stdin, livenessPipe: read}, nil
}

// markRunning makes a machine running and its agent known to a later cloud.
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

// preemptSpot takes a spot machine back after a random time, with a notice if there is one.
func (c *Cloud) preemptSpot(ctx context.Context, m *instance, agent io.Writer) {
	if !sleep(ctx, config.Seconds(rand.ExpFloat64()*c.settings.SpotLifeS)) {
		return
	}
	if c.settings.NoticeS > 0 {
		noticeS := c.settings.NoticeS * (minNoticeFactor + noticeFactorSpan*rand.Float64())
		b, _ := json.Marshal(AgentMessage{NoticeS: noticeS}) // a number always encodes
		_, _ = agent.Write(append(b, '\n'))                  // an agent that has exited needs none
		if !sleep(ctx, config.Seconds(noticeS)) {
			return
		}
	}
	if err := c.delete([]string{m.Name}); err != nil {
		c.logger.Error("spot machine could not be preempted", "machine", m.Name, "error", err)
	}
}

// sleep waits for d; it returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// awaitOrphan waits until nothing is left of a machine that an earlier cloud created, by
// the lock that its agent and all its shims hold.
//
// Guards against a machine that is said to be deleted while its tasks go on: an agent
// ends with its cloud, but not while it is stopped, and its shims wait for it.
func awaitOrphan(m *instance, dir string) {
	defer close(m.exited)
	for lockHeld(filepath.Join(dir, "lock")) {
		killOrphan(m.pid, dir)
		time.Sleep(orphanPollInterval)
	}
	_ = os.RemoveAll(dir) // it is of no more use
}

// lockHeld reports whether a process holds the lock. Without a file none does: the agent
// never started, or its directory was removed when it was gone.
func lockHeld(path string) bool {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }() // gives the lock back
	return unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil
}

// killOrphan kills an agent if the process is still that of the machine's directory: PIDs
// are reused, a command line with this directory is not.
func killOrphan(pid int, dir string) {
	if pid == 0 {
		return
	}
	commandLine, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
	if err == nil && strings.Contains(string(commandLine), dir+string(filepath.Separator)) {
		_ = unix.Kill(pid, unix.SIGKILL) // it may have exited meanwhile
	}
}
