// Package local runs a whole cluster on one machine: the state service with the artifact
// server, the cloud with its agents, and the controllers, as processes that are restarted
// when they exit.
//
// It owns the processes, their settings and one directory with everything that they write.
// It may not know the protocols between the processes: it reads only their readiness, status
// pages and logs.
//
// Invariants:
//   - At most one cluster runs in a directory: it holds the directory's lock.
//   - The cluster's processes end when this process ends, even if it is killed.
//   - ClusterFile is written when the cluster is ready; Close removes it after all processes have
//     exited.
package local

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

const (
	// defaultReadyTimeout is many times as long as a cluster needs to start on a busy machine.
	defaultReadyTimeout = 30 * time.Second

	// readyPollInterval is the time between two readiness checks of a controller.
	readyPollInterval = 20 * time.Millisecond

	// The start of a cluster fails before its timeout if a process has exited at least
	// crashLoopExits times and crashLoopGrace has passed since the start: that process won't
	// become ready. Fewer or earlier exits are tolerated, since a previous cluster that is still
	// ending may hold ports or files.
	crashLoopExits = 4
	crashLoopGrace = 3 * time.Second

	// callTimeout bounds a request for the readiness of a controller or the agents' processes.
	callTimeout = time.Second

	// statusTimeout bounds a read of a status page, whose response is larger.
	statusTimeout = 2 * time.Second
)

// Options are the parameters of Start.
type Options struct {
	Dir               string
	Settings          Settings
	CtlCommand        []string // runs chalkhubctl: the program and the arguments before the subcommand
	ControllerProgram string
	PolicyFile        string // the operators' policy script for the controllers, empty: none
	Logger            *slog.Logger
	ReadyTimeout      time.Duration // 0: defaultReadyTimeout
	MaxBatch          int           // maximum number of commands that share a write of the state file, 0: defaultMaxBatch
}

// Cluster is a running cluster. Its methods are safe for concurrent use, except that Close must be
// called only once.
type Cluster struct {
	Addresses
	options Options
	lock    *os.File
	cancel  context.CancelFunc
	group   *errgroup.Group
	ctx     context.Context // canceled when the processes have to end

	mu        sync.Mutex
	processes map[string]*supervisedProcess
}

// Start starts a cluster and waits until its controllers accept requests. The cluster's processes
// end when ctx ends or when this process ends, even if it is killed. The caller closes the cluster;
// if Start returns an error, no process is left running.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	if options.ReadyTimeout == 0 {
		options.ReadyTimeout = defaultReadyTimeout
	}
	c := &Cluster{options: options, processes: map[string]*supervisedProcess{}}
	if err := c.makeDirs(); err != nil {
		return nil, err
	}
	if err := c.acquireLock(); err != nil {
		return nil, err
	}
	if err := c.configure(); err != nil {
		_ = c.lock.Close() // nothing was written to the lock file
		return nil, err
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.group, c.ctx = errgroup.WithContext(c.ctx)
	c.startProcesses()
	if err := c.WaitReady(c.ctx, options.ReadyTimeout); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	if err := writeJSON(c.path(ClusterFile), &c.Addresses); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

func (c *Cluster) path(parts ...string) string {
	return filepath.Join(append([]string{c.options.Dir}, parts...)...)
}

func (c *Cluster) makeDirs() error {
	for _, dir := range []string{"", "logs", "settings", "depot", "machines", "saves", "snapshots"} {
		if err := os.MkdirAll(c.path(dir), 0o700); err != nil {
			return fmt.Errorf("cannot create the cluster folder: %w", err)
		}
	}
	return nil
}

func (c *Cluster) acquireLock() error {
	lock, err := os.OpenFile(c.path("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("cannot open the lock file of the cluster folder: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was written to the lock file
		return fmt.Errorf("another cluster is running in %s: stop it, or choose another --folder", c.options.Dir)
	}
	c.lock = lock
	return nil
}

// startProcesses starts the services and the controllers. Close waits until they have exited.
func (c *Cluster) startProcesses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctl := slices.Clip(c.options.CtlCommand) // so that each append makes a copy
	c.startProcess("state", append(ctl, "state", "run", "--config", c.settingsPath("state")))
	c.startProcess("cloud", append(ctl, "cloud", "--config", c.settingsPath("cloud")))
	for _, controller := range c.Controllers {
		args := []string{c.options.ControllerProgram, "--config", c.settingsPath(controller.Label)}
		if c.options.PolicyFile != "" {
			args = append(args, "--policy", c.options.PolicyFile)
		}
		c.startProcess(controller.Label, args)
	}
}

func (c *Cluster) startProcess(name string, args []string) {
	p := &supervisedProcess{name: name, args: args}
	c.processes[name] = p
	c.group.Go(func() error { return c.supervise(p) })
}

// PID returns the process ID of the named process of the cluster, such as "state", "cloud" or a
// controller's label. It returns 0 if that process does not exist or is not running.
func (c *Cluster) PID(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.processes[name]; p != nil {
		return p.pid
	}
	return 0
}

// Kill sends SIGKILL to the named process of the cluster, which is then restarted. It returns an
// error if the process is not running.
func (c *Cluster) Kill(name string) error {
	pid := c.PID(name)
	if pid == 0 {
		return fmt.Errorf("cannot kill %s: it is not running", name)
	}
	return syscall.Kill(pid, syscall.SIGKILL)
}

// AgentPIDs returns the process IDs of the agents by machine. The map is empty if the cloud does
// not respond.
func (c *Cluster) AgentPIDs() map[string]int {
	pids := map[string]int{}
	rpc.New(1, callTimeout).Call(fasthttp.MethodGet, c.Cloud, "/processes", nil, &pids, callTimeout, fasthttp.StatusOK)
	return pids
}

// WaitReady waits until every controller accepts requests. It returns an error if that takes longer
// than the timeout, if a process of the cluster keeps exiting, or if ctx ends.
func (c *Cluster) WaitReady(ctx context.Context, timeout time.Duration) error {
	client := rpc.New(1, callTimeout)
	start := time.Now()
	for _, controller := range c.Controllers {
		for client.Call(fasthttp.MethodGet, controller.ServeAddr, "/ready", nil, nil, callTimeout) != fasthttp.StatusOK {
			waited := time.Since(start)
			if waited > timeout {
				return c.startFailure(controller.Label)
			}
			if name := c.crashLoopingProcess(); name != "" && waited > crashLoopGrace {
				return c.startFailure(name)
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// crashLoopingProcess returns the name of a process that has exited at least crashLoopExits times,
// or an empty string if there is none.
func (c *Cluster) crashLoopingProcess() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.processes {
		if p.exits >= crashLoopExits {
			return name
		}
	}
	return ""
}

// Close stops controllers, machines and services, in any order, and waits until they have exited.
// It must be called only once.
func (c *Cluster) Close() error {
	c.cancel()
	err := c.group.Wait()
	_ = os.Remove(c.path(ClusterFile)) // without the file, commands report how to start a cluster
	_ = c.lock.Close()                 // nothing was written to the lock file
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}

// Wait blocks until the context that was passed to Start ends, or until Close is called.
func (c *Cluster) Wait() { <-c.ctx.Done() }

// Dir returns the directory that the cluster writes to.
func (c *Cluster) Dir() string { return c.options.Dir }

// Leader returns the label of the leader according to the first controller that knows one, or an
// empty string if no controller does.
func (c *Cluster) Leader() string {
	for _, controller := range c.Controllers {
		var status core.Status
		if ReadStatus(controller.StatusAddr, &status) == nil && status.Leader != "" {
			return status.Leader
		}
	}
	return ""
}

// ReadStatus reads the status page of the controller at addr into out. It fails if the response
// takes more than two seconds or has an HTTP status other than 200.
func ReadStatus(addr string, out *core.Status) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/status")
	if err := fasthttp.DoTimeout(req, resp, statusTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("the status page responded with HTTP status %d", resp.StatusCode())
	}
	return json.Unmarshal(resp.Body(), out)
}
