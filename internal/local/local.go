// Package local runs a whole cluster on one machine: the state service with the depot,
// the cloud with its agents, and the controllers, as processes that are started again
// when they end. Everything it writes is in one folder.
package local

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/chalkhub/chalkhub/client"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/localcloud"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

// ClusterFile is the file in a cluster's folder that tells where it listens.
const ClusterFile = "cluster.json"

// Addresses is where a cluster listens.
type Addresses struct {
	Controllers []Controller  `json:"controllers"`
	State       string        `json:"state"`
	Depot       string        `json:"depot"`
	Cloud       string        `json:"cloud,omitempty"`
	Teams       []config.Team `json:"teams,omitempty"`
}

// Controller is one controller.
type Controller struct {
	Label  string `json:"label"`
	Zone   string `json:"zone"`
	Serve  string `json:"serve_on"`
	Status string `json:"status"` // its status page, the address that other controllers use
}

// Client is a client of the cluster.
func (a *Addresses) Client() (*client.Client, error) {
	var hosts []string
	for _, c := range a.Controllers {
		hosts = append(hosts, c.Serve)
	}
	return client.New(hosts, a.Depot)
}

// ReadAddresses reads a cluster's file, given its folder or the file.
func ReadAddresses(path string) (*Addresses, error) {
	if st, err := os.Stat(path); err == nil && st.IsDir() {
		path = filepath.Join(path, ClusterFile)
	}
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("no cluster runs in %s: start one with `chalkhubctl local --folder %s`, or name another folder with --cluster", filepath.Dir(path), filepath.Dir(path))
	}
	if err != nil {
		return nil, err
	}
	var a Addresses
	if err := json.Unmarshal(b, &a); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &a, nil
}

// Options of a cluster.
type Options struct {
	Folder      string
	Settings    Settings
	Chalkhubctl []string // program and arguments before the subcommand
	Chalkhub    string   // the controller's program
	Policy      string   // the operators' script for the controllers, empty: none
	Log         *slog.Logger
	StartWait   time.Duration // 0: 30 s
	Batch       int           // most commands that share a write of the state file, 0: 256
}

// Cluster is a cluster that runs.
type Cluster struct {
	Addresses
	opt    Options
	lock   *os.File
	cancel context.CancelFunc
	group  *errgroup.Group
	ctx    context.Context

	mu       sync.Mutex
	children map[string]*child
}

type child struct {
	name string
	args []string
	pid  int
	ends int // how often it has ended
}

// Start starts a cluster and waits until its controllers take requests. Its processes
// end with this one, however that ends.
func Start(ctx context.Context, opt Options) (*Cluster, error) {
	c := &Cluster{opt: opt, children: map[string]*child{}}
	for _, dir := range []string{"", "logs", "settings", "depot", "machines", "saves", "snapshots"} {
		if err := os.MkdirAll(filepath.Join(opt.Folder, dir), 0o700); err != nil {
			return nil, fmt.Errorf("the folder cannot be used: %w", err)
		}
	}
	lock, err := os.OpenFile(c.path("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("the folder cannot be used: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("another cluster is running in %s: stop it, or choose another --folder", opt.Folder)
	}
	c.lock = lock
	if err := c.configure(); err != nil {
		_ = lock.Close()
		return nil, err
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	c.group, c.ctx = errgroup.WithContext(c.ctx)
	begin := func(name string, args ...string) {
		ch := &child{name: name, args: args}
		c.children[name] = ch
		c.group.Go(func() error { return c.keep(ch) })
	}
	c.mu.Lock()
	begin("state", append(append([]string{}, opt.Chalkhubctl...), "state", "run", "--config", c.path("settings", "state.json"))...)
	begin("cloud", append(append([]string{}, opt.Chalkhubctl...), "cloud", "--config", c.path("settings", "cloud.json"))...)
	for _, x := range c.Controllers {
		args := []string{opt.Chalkhub, "--config", c.path("settings", x.Label+".json")}
		if opt.Policy != "" {
			args = append(args, "--policy", opt.Policy)
		}
		begin(x.Label, args...)
	}
	c.mu.Unlock()
	wait := opt.StartWait
	if wait == 0 {
		wait = 30 * time.Second
	}
	if err := c.Ready(c.ctx, wait); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	if err := writeJSON(c.path(ClusterFile), &c.Addresses); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

func (c *Cluster) path(parts ...string) string {
	return filepath.Join(append([]string{c.opt.Folder}, parts...)...)
}

func writeJSON(path string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o600)
}

// free finds ports that nobody listens on. All are held until the last is found, so that
// no two are the same.
func free(n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// StateFile is the settings of `chalkhubctl state run`.
type StateFile struct {
	Listen    string       `json:"listen"`
	Depot     string       `json:"depot_listen"` // empty: no depot
	File      string       `json:"file"`
	Folder    string       `json:"depot_folder"`
	Snapshots string       `json:"snapshots"`
	EveryS    float64      `json:"snapshot_every_s"` // 0: none by itself
	Keep      int          `json:"snapshots_kept"`
	Limits    config.State `json:"limits"`
	Batch     int          `json:"batch"`
}

// CloudFile is the settings of `chalkhubctl cloud`.
type CloudFile struct {
	Listen  string              `json:"listen"`
	Folder  string              `json:"folder"`
	Rent    localcloud.Settings `json:"rent"`
	Cluster Addresses           `json:"cluster"`
	Workers config.Workers      `json:"workers"`
}

// AgentFile is the settings of `chalkhubctl agent`.
type AgentFile struct {
	Machine     string         `json:"machine"`
	Listen      string         `json:"listen"`
	Type        string         `json:"type"`
	Zone        string         `json:"zone"`
	Spot        bool           `json:"spot"`
	CPUs        float64        `json:"cpus"`
	GPUs        float64        `json:"gpus"`
	MemoryGB    float64        `json:"memory_gb"`
	CacheGB     float64        `json:"cache_gb"`
	FetchGBps   float64        `json:"fetch_gb_per_s"`
	Controllers []Controller   `json:"controllers"`
	Depot       string         `json:"depot"`
	Folder      string         `json:"folder"`
	Saves       string         `json:"saves"`
	Workers     config.Workers `json:"workers"`
}

// configure chooses ports and writes everybody's settings.
func (c *Cluster) configure() error {
	s := &c.opt.Settings
	ports, err := free(3 + 2*s.Controllers)
	if err != nil {
		return fmt.Errorf("no port is free: %w", err)
	}
	c.State, c.Depot, c.Cloud = ports[0], ports[1], ports[2]
	for i := range s.Controllers {
		c.Controllers = append(c.Controllers, Controller{Label: fmt.Sprintf("ctl-%d", i), Zone: s.Zones[i%len(s.Zones)], Serve: ports[3+2*i], Status: ports[4+2*i]})
	}
	site := s.site()
	c.Teams = site.Teams
	errs := []error{
		writeJSON(c.path("settings", "state.json"), &StateFile{Listen: c.State, Depot: c.Depot, File: c.path("state.db"), Folder: c.path("depot"),
			Snapshots: c.path("snapshots"), EveryS: 600, Keep: 6, Limits: site.State, Batch: cmp.Or(c.opt.Batch, 256)}),
		writeJSON(c.path("settings", "cloud.json"), &CloudFile{Listen: c.Cloud, Folder: c.opt.Folder, Rent: s.rent(), Cluster: c.Addresses, Workers: site.Workers}),
	}
	for i, x := range c.Controllers {
		set := config.Settings{Label: x.Label, Zone: x.Zone, Listen: x.Serve, PeerListen: x.Status,
			External: config.External{Cloud: c.Cloud, State: c.State}, Site: site}
		for k, y := range c.Controllers {
			if k != i {
				set.Siblings = append(set.Siblings, config.Sibling{Label: y.Label, Zone: y.Zone, Address: y.Status})
			}
		}
		b, err := json.Marshal(&set)
		if err == nil {
			_, err = config.Parse(b)
		}
		errs = append(errs, err, writeJSON(c.path("settings", x.Label+".json"), &set))
	}
	return errors.Join(errs...)
}

// keep runs a child again and again until the cluster ends, each time after a longer
// pause; one that was up for a while starts from the shortest again.
func (c *Cluster) keep(ch *child) error {
	// The child is killed when the thread that started it ends, so this goroutine has
	// one of its own.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	pause := 250 * time.Millisecond
	for {
		began := time.Now()
		err := c.run(ch)
		if c.ctx.Err() != nil {
			return c.ctx.Err()
		}
		if time.Since(began) > 10*time.Second {
			pause = 250 * time.Millisecond
		}
		c.opt.Log.Warn("process ended, starting it again", "name", ch.name, "how", err, "in", pause)
		select {
		case <-c.ctx.Done():
			return c.ctx.Err()
		case <-time.After(pause):
		}
		pause = min(2*pause, 5*time.Second)
	}
}

func (c *Cluster) run(ch *child) error {
	f, err := os.OpenFile(c.path("logs", ch.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // the child writes by itself
	cmd := exec.Command(ch.args[0], ch.args[1:]...)
	cmd.Stdout, cmd.Stderr = f, f
	// Out of reach of the terminal's interrupt: the cluster is taken down in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	ch.pid = cmd.Process.Pid
	c.mu.Unlock()
	stop := context.AfterFunc(c.ctx, func() { _ = cmd.Process.Signal(syscall.SIGTERM) })
	hard := context.AfterFunc(c.ctx, func() {
		time.Sleep(10 * time.Second)
		_ = cmd.Process.Kill() // it may have ended meanwhile
	})
	err = cmd.Wait()
	stop()
	hard()
	c.mu.Lock()
	ch.pid = 0
	ch.ends++
	c.mu.Unlock()
	return err
}

// Pid is the process of a child now, 0: none.
func (c *Cluster) Pid(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch := c.children[name]; ch != nil {
		return ch.pid
	}
	return 0
}

// Kill kills a child without a word. It starts again by itself, unless held back.
func (c *Cluster) Kill(name string) error {
	pid := c.Pid(name)
	if pid == 0 {
		return fmt.Errorf("%s does not run", name)
	}
	return syscall.Kill(pid, syscall.SIGKILL)
}

// Agents are the processes of the agents by machine.
func (c *Cluster) Agents() map[string]int {
	out := map[string]int{}
	rpc.New(1, time.Second).Call("GET", c.Cloud, "/processes", nil, &out, time.Second, 200) // none if the cloud is away
	return out
}

// Ready waits until every controller takes requests.
func (c *Cluster) Ready(ctx context.Context, wait time.Duration) error {
	call := rpc.New(1, time.Second)
	end := time.Now().Add(wait)
	for _, x := range c.Controllers {
		for call.Call("GET", x.Serve, "/ready", nil, nil, time.Second) != 200 {
			if time.Now().After(end) {
				return c.late(x.Label)
			}
			c.mu.Lock()
			for name, ch := range c.children {
				if ch.ends >= 4 && time.Now().After(end.Add(-wait+3*time.Second)) {
					c.mu.Unlock()
					return c.late(name)
				}
			}
			c.mu.Unlock()
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// late says in a sentence why a child is not there.
func (c *Cluster) late(name string) error {
	path := c.path("logs", name+".log")
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("%s does not start: %w", name, err)
	}
	defer func() { _ = f.Close() }()
	last := ""
	for s := bufio.NewScanner(f); s.Scan(); {
		if line := strings.TrimSpace(s.Text()); line != "" {
			last = line
		}
	}
	if last == "" {
		last = "it says nothing"
	}
	return fmt.Errorf("%s does not get ready: %s (more in %s)", name, last, path)
}

// Close takes the cluster down: controllers, machines and services, in any order, and
// waits until they are gone.
func (c *Cluster) Close() error {
	c.cancel()
	err := c.group.Wait()
	_ = os.Remove(c.path(ClusterFile)) // a command that finds none says how to start one
	_ = c.lock.Close()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}

// Wait returns when the cluster's context ends.
func (c *Cluster) Wait() { <-c.ctx.Done() }

// Page reads a controller's status page.
func Page(addr string, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + "/status")
	if err := fasthttp.DoTimeout(req, resp, 2*time.Second); err != nil {
		return err
	}
	if resp.StatusCode() != 200 {
		return fmt.Errorf("the status page answers %d", resp.StatusCode())
	}
	return json.Unmarshal(resp.Body(), out)
}

// Folder is where the cluster writes.
func (c *Cluster) Folder() string { return c.opt.Folder }

// Leader is the controller that leads, as any of them has it; empty if none knows.
func (c *Cluster) Leader() string {
	for _, x := range c.Controllers {
		var s core.Status
		if Page(x.Status, &s) == nil && s.Leader != "" {
			return s.Leader
		}
	}
	return ""
}
