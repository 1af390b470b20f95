// Package local runs a whole cluster on one machine: the state service with the artifact
// server, the cloud with its agents, and the controllers, as processes that are restarted
// when they exit.
//
// It owns the processes, their settings and one directory with everything that they write.
// It may not know what the processes say to each other: it reads only their readiness,
// status pages and logs.
//
// Invariants:
//   - One cluster runs in a directory: it holds the directory's lock.
//   - The cluster's processes end with this one, however that ends.
//   - ClusterFile is there as long as the cluster takes requests.
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
	// defaultReadyTimeout is many times what a cluster takes on a busy machine.
	defaultReadyTimeout = 30 * time.Second

	// readyPollInterval is how often a controller is asked whether it is ready.
	readyPollInterval = 20 * time.Millisecond

	// A process that has exited so often, so long after the start, won't get ready; the
	// first exits may come from ports or files of a cluster that is just ending.
	crashLoopExits = 4
	crashLoopGrace = 3 * time.Second

	// callTimeout bounds a call to a process of the cluster for its state.
	callTimeout = time.Second

	// statusTimeout bounds the reading of a status page, which is larger.
	statusTimeout = 2 * time.Second
)

// Options of a cluster.
type Options struct {
	Dir               string
	Settings          Settings
	CtlCommand        []string // chalkhubctl, with the arguments before its subcommand
	ControllerProgram string
	PolicyFile        string // the operators' script for the controllers, empty: none
	Logger            *slog.Logger
	ReadyTimeout      time.Duration // 0: defaultReadyTimeout
	MaxBatch          int           // most commands that share a write of the state file, 0: defaultMaxBatch
}

// Cluster is a cluster that runs.
type Cluster struct {
	Addresses
	options Options
	lock    *os.File
	cancel  context.CancelFunc
	group   *errgroup.Group
	ctx     context.Context // of the processes

	mu        sync.Mutex
	processes map[string]*supervisedProcess
}

// Start starts a cluster and waits until its controllers take requests. Its processes
// end with this one, however that ends.
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
		_ = c.lock.Close() // nothing was written
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
			return fmt.Errorf("the folder cannot be used: %w", err)
		}
	}
	return nil
}

func (c *Cluster) acquireLock() error {
	lock, err := os.OpenFile(c.path("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("the folder cannot be used: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was written
		return fmt.Errorf("another cluster is running in %s: stop it, or choose another --folder", c.options.Dir)
	}
	c.lock = lock
	return nil
}

// startProcesses starts the services and the controllers. Close waits for them.
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

// PID is the process ID of a process of the cluster, 0 if it does not run now.
func (c *Cluster) PID(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.processes[name]; p != nil {
		return p.pid
	}
	return 0
}

// Kill kills a process of the cluster with SIGKILL. It is restarted.
func (c *Cluster) Kill(name string) error {
	pid := c.PID(name)
	if pid == 0 {
		return fmt.Errorf("%s does not run", name)
	}
	return syscall.Kill(pid, syscall.SIGKILL)
}

// AgentPIDs are the process IDs of the agents by machine; none if the cloud is down.
func (c *Cluster) AgentPIDs() map[string]int {
	pids := map[string]int{}
	rpc.New(1, callTimeout).Call(fasthttp.MethodGet, c.Cloud, "/processes", nil, &pids, callTimeout, fasthttp.StatusOK)
	return pids
}

// WaitReady waits until every controller takes requests.
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

// crashLoopingProcess is one that exits again and again, empty if there is none.
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

// Close takes the cluster down: controllers, machines and services, in any order, and
// waits until they are gone.
func (c *Cluster) Close() error {
	c.cancel()
	err := c.group.Wait()
	_ = os.Remove(c.path(ClusterFile)) // a command that finds none says how to start one
	_ = c.lock.Close()                 // nothing was written
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}

// Wait returns when the cluster's context ends.
func (c *Cluster) Wait() { <-c.ctx.Done() }

// Dir is where the cluster writes.
func (c *Cluster) Dir() string { return c.options.Dir }

// Leader is the controller that leads, as any of them has it; empty if none knows.
func (c *Cluster) Leader() string {
	for _, controller := range c.Controllers {
		var status core.Status
		if ReadStatus(controller.StatusAddr, &status) == nil && status.Leader != "" {
			return status.Leader
		}
	}
	return ""
}

// ReadStatus reads a controller's status page.
func ReadStatus(addr string, out *core.Status) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/status")
	if err := fasthttp.DoTimeout(req, resp, statusTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("the status page answers %d", resp.StatusCode())
	}
	return json.Unmarshal(resp.Body(), out)
}
