// Package localcloud is a cloud on one machine: what it rents are agents, processes of this
// machine. It keeps the PROTOCOL's "Controller nodes -> cloud" with types, zones, spot
// prices and notices from its settings. It stands in for a provider; what is deleted is
// gone by the time the answer says so.
package localcloud

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-json"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/httpserver"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// MachineType is a machine type with how many there are.
type MachineType struct {
	Name       string   `json:"name"`
	CPUs       float64  `json:"cpus"`
	GPUs       float64  `json:"gpus"`
	MemoryGB   float64  `json:"memory_gb"`
	CacheGB    float64  `json:"cache_gb"`
	FetchGBps  float64  `json:"fetch_gb_per_s"`
	Price      float64  `json:"price"`
	SpotPrice  float64  `json:"spot_price"`
	BootS      float64  `json:"boot_s"`
	Zones      []string `json:"zones"`
	MaxPerZone int      `json:"most"` // in each zone, 0: any number
}

// Settings of a cloud.
type Settings struct {
	Types    []MachineType `json:"types"`
	RPS      float64       `json:"rps"`
	ListLagS float64       `json:"list_lag_s"`
	// SpotLifeS is the mean time after which a spot machine is taken back, 0: never.
	SpotLifeS float64 `json:"spot_life_s"`
	NoticeS   float64 `json:"notice_s"` // given before, 0: none
}

// StartAgent starts the agent of a machine. Its standard input stays open for as long as the
// cloud lives and takes Lines; extra files are its listener and the end of a pipe that
// it and all its tasks hold open.
type StartAgent func(m protocol.Instance, t MachineType, listener, alive *os.File) (*exec.Cmd, error)

// AgentMessage is what the cloud tells an agent, as a JSON line.
type AgentMessage struct {
	NoticeS float64 `json:"notice_s"`
}

// Cloud rents machines.
type Cloud struct {
	settings   Settings
	startAgent StartAgent
	logger     *slog.Logger
	journal    *os.File

	mu           sync.Mutex
	lastNumber   int
	machines     map[string]*instance
	created      map[string][]string
	requestsUsed float64 // requests of the last moment
	requestsAt   time.Time
	startedAt    time.Time
}

type instance struct {
	protocol.Instance
	createdAt time.Time
	deletedAt time.Time // zero: there
	cancel    context.CancelFunc
	exited    chan struct{} // closed when nothing of it is left
	in        io.WriteCloser
	pid       int
}

// journalRecord is a line of the cloud's file.
type journalRecord struct {
	Request    string   `json:"request,omitempty"`
	Machines   []string `json:"names,omitempty"`
	Type       string   `json:"type,omitempty"`
	Zone       string   `json:"zone,omitempty"`
	Spot       bool     `json:"spot,omitempty"`
	Deleted    []string `json:"gone,omitempty"`
	PID        int      `json:"pid,omitempty"` // of the agent of the one machine that is named
	LastNumber int      `json:"next"`
}

// Open opens the cloud that keeps its books in a file. Machines of an earlier process end
// with it and are listed as failed; each has a folder below the given one.
func Open(set Settings, path, folders string, start StartAgent, log *slog.Logger) (*Cloud, error) {
	c := &Cloud{settings: set, startAgent: start, logger: log, machines: map[string]*instance{}, created: map[string][]string{}, requestsAt: time.Now(), startedAt: time.Now()}
	if f, err := os.Open(path); err == nil {
		for s := bufio.NewScanner(f); s.Scan(); {
			var r journalRecord
			if json.Unmarshal(s.Bytes(), &r) != nil {
				break // the last line, cut short: it was never answered
			}
			c.lastNumber = max(c.lastNumber, r.LastNumber)
			if r.PID != 0 {
				if m := c.machines[r.Machines[0]]; m != nil {
					m.pid = r.PID
				}
				continue
			}
			if r.Request != "" {
				c.created[r.Request] = r.Machines
			}
			for _, n := range r.Machines {
				c.machines[n] = &instance{Instance: protocol.Instance{Name: n, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Addr: "127.0.0.1:1", State: protocol.MachineFailed}, exited: make(chan struct{}), cancel: func() {}}
			}
			for _, n := range r.Deleted {
				delete(c.machines, n)
			}
		}
		_ = f.Close() // it was only read
	}
	for _, m := range c.machines {
		go awaitOrphan(m, filepath.Join(folders, m.Name))
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	c.journal = f
	return c, nil
}

// awaitOrphan waits until nothing is left of a machine that an earlier cloud rented, by the lock
// that its agent and all its shims hold.
//
// Guards against a machine that is said to be deleted while its tasks go on: an agent
// ends with its cloud, but not while it is stopped, and its shims wait for it.
func awaitOrphan(m *instance, folder string) {
	defer close(m.exited)
	for {
		f, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_RDWR, 0)
		if err != nil {
			break // it never started, or its folder was removed when it was gone
		}
		err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		_ = f.Close()
		if err == nil {
			break
		}
		// Process numbers come again; a command line with this folder does not.
		line, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", m.pid))
		if m.pid != 0 && err == nil && strings.Contains(string(line), folder+string(filepath.Separator)) {
			_ = unix.Kill(m.pid, unix.SIGKILL) // once more if it is still there
		}
		time.Sleep(50 * time.Millisecond)
	}
	_ = os.RemoveAll(folder) // it is of no more use
}

func (c *Cloud) appendRecord(r journalRecord) error {
	r.LastNumber = c.lastNumber
	b, err := json.Marshal(&r)
	if err != nil {
		return err
	}
	if _, err = c.journal.Write(append(b, '\n')); err != nil {
		return err
	}
	return c.journal.Sync()
}

func (c *Cloud) machineType(name string) *MachineType {
	for i := range c.settings.Types {
		if c.settings.Types[i].Name == name {
			return &c.settings.Types[i]
		}
	}
	return nil
}

// create rents up to the number of machines that are left.
func (c *Cloud) create(h protocol.CreateMachinesRequest) (int, any) {
	t := c.machineType(h.Type)
	if t == nil || !slices.Contains(t.Zones, h.Zone) || h.Count < 1 || h.Count > protocol.MaxCreate || h.Request == "" {
		return 400, protocol.ErrorResponse{Error: "no such type or zone, or a wrong number"}
	}
	if names, ok := c.created[h.Request]; ok {
		return 200, protocol.MachineNames{Machines: names}
	}
	n := h.Count
	if t.MaxPerZone > 0 {
		have := 0
		for _, m := range c.machines {
			if m.deletedAt.IsZero() && m.Type == h.Type && m.Zone == h.Zone && m.State != protocol.MachineFailed {
				have++
			}
		}
		n = min(n, t.MaxPerZone-have)
	}
	if n <= 0 {
		return 503, protocol.ErrorResponse{Error: "no capacity"}
	}
	var names []string
	for range n {
		c.lastNumber++
		names = append(names, fmt.Sprintf("n-%06d", c.lastNumber))
	}
	if err := c.appendRecord(journalRecord{Request: h.Request, Machines: names, Type: h.Type, Zone: h.Zone, Spot: h.Spot}); err != nil {
		return 503, protocol.ErrorResponse{Error: err.Error()}
	}
	c.created[h.Request] = names
	for _, name := range names {
		m := &instance{Instance: protocol.Instance{Name: name, Type: h.Type, Zone: h.Zone, Spot: h.Spot, State: protocol.MachineBooting}, createdAt: time.Now(), exited: make(chan struct{})}
		ctx, stop := context.WithCancel(context.Background())
		m.cancel = stop
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			m.State = protocol.MachineFailed
			close(m.exited)
		} else {
			m.Addr = l.Addr().String()
			go c.runMachine(ctx, m, *t, l)
		}
		c.machines[name] = m
	}
	return 200, protocol.MachineNames{Machines: names}
}

// runMachine is a machine's whole life.
func (c *Cloud) runMachine(ctx context.Context, m *instance, t MachineType, l net.Listener) {
	defer close(m.exited)
	defer func() { _ = l.Close() }() // the agent has a copy
	fail := func(err error) {
		c.logger.Error("machine failed", "machine", m.Name, "error", err)
		c.mu.Lock()
		m.State = protocol.MachineFailed
		c.mu.Unlock()
	}
	select {
	case <-ctx.Done():
		return
	case <-time.After(config.Seconds(t.BootS * (0.6 + 0.9*rand.Float64()))):
	}
	file, err := l.(*net.TCPListener).File()
	if err != nil {
		fail(err)
		return
	}
	read, write, err := os.Pipe()
	if err != nil {
		_ = file.Close()
		fail(err)
		return
	}
	defer func() { _ = read.Close() }()
	cmd, err := c.startAgent(m.Instance, t, file, write)
	if err == nil {
		m.in, err = cmd.StdinPipe()
	}
	if err == nil {
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		err = cmd.Start()
	}
	for _, ours := range []io.Closer{file, write, l} {
		_ = ours.Close() // the agent has copies
	}
	if err != nil {
		fail(err)
		return
	}
	c.mu.Lock()
	m.State, m.pid = protocol.MachineRunning, cmd.Process.Pid
	err = c.appendRecord(journalRecord{Machines: []string{m.Name}, PID: m.pid})
	c.mu.Unlock()
	if err != nil {
		c.logger.Error("a later cloud will not know this agent", "machine", m.Name, "error", err)
	}
	if m.Spot && c.settings.SpotLifeS > 0 {
		go c.preemptSpot(ctx, m)
	}
	defer func() { _ = os.RemoveAll(cmd.Dir) }() // the machine's own folder
	defer context.AfterFunc(ctx, func() { _ = cmd.Process.Kill() })()
	// The pipe ends when the agent, its shims and so all its tasks have ended.
	_, _ = io.Copy(io.Discard, read)
	_ = cmd.Wait() // the process state says how it ended
	if ctx.Err() == nil {
		fail(fmt.Errorf("its agent ended: %v", cmd.ProcessState))
	}
}

// preemptSpot takes a spot machine after a while, with a notice if there is one.
func (c *Cloud) preemptSpot(ctx context.Context, m *instance) {
	sleep := func(s float64) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(config.Seconds(s)):
			return true
		}
	}
	if !sleep(rand.ExpFloat64() * c.settings.SpotLifeS) {
		return
	}
	if c.settings.NoticeS > 0 {
		notice := c.settings.NoticeS * (0.5 + rand.Float64())
		b, _ := json.Marshal(AgentMessage{NoticeS: notice}) // a number always encodes
		_, _ = m.in.Write(append(b, '\n'))                  // an agent that has ended needs none
		if !sleep(notice) {
			return
		}
	}
	if err := c.delete([]string{m.Name}); err != nil {
		c.logger.Error("machine could not be taken back", "machine", m.Name, "error", err)
	}
}

// delete ends machines and waits until nothing of them is left.
func (c *Cloud) delete(names []string) error {
	c.mu.Lock()
	var gone []*instance
	var known []string
	for _, n := range names {
		if m := c.machines[n]; m != nil && m.deletedAt.IsZero() {
			gone = append(gone, m)
			known = append(known, n)
			m.cancel()
		}
	}
	c.mu.Unlock()
	for _, m := range gone {
		<-m.exited
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range gone {
		m.deletedAt = time.Now()
	}
	if known == nil {
		return nil
	}
	return c.appendRecord(journalRecord{Deleted: known})
}

// list shows a page of the machines as they were a while ago.
func (c *Cloud) list(since string, page int) protocol.InstanceList {
	lag := config.Seconds(c.settings.ListLagS)
	then := time.Now().Add(-lag)
	out := protocol.InstanceList{Machines: []protocol.Instance{}}
	for n, m := range c.machines {
		if n <= since || m.createdAt.After(then) || !m.deletedAt.IsZero() && m.deletedAt.Before(then) {
			continue
		}
		x := m.Instance
		x.AgeS = max(then.Sub(m.createdAt).Seconds(), 0)
		out.Machines = append(out.Machines, x)
	}
	for n, m := range c.machines {
		if !m.deletedAt.IsZero() && m.deletedAt.Before(then.Add(-time.Minute)) {
			delete(c.machines, n)
		}
	}
	slices.SortFunc(out.Machines, func(a, b protocol.Instance) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	if len(out.Machines) > page {
		out.Machines, out.More = out.Machines[:page], true
	}
	return out
}

// price moves by up to a third in half an hour, each type by its own wave.
func (c *Cloud) machineTypes() protocol.MachineTypes {
	var out protocol.MachineTypes
	for i, t := range c.settings.Types {
		phase := time.Since(c.startedAt).Seconds()/1800 + float64(i)/7
		wave := 2*(phase-float64(int(phase))) - 1 // from -1 to 1
		out.Types = append(out.Types, protocol.MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB, CacheGB: t.CacheGB,
			FetchGBps: t.FetchGBps, Price: t.Price, SpotPrice: t.SpotPrice * (1 + wave/3), BootS: t.BootS, Zones: t.Zones})
	}
	return out
}

// Serve answers until ctx ends; then all machines are ended.
func (c *Cloud) Serve(ctx context.Context, l net.Listener) error {
	srv := &fasthttp.Server{Handler: c.handleRequest, Name: "chalk-cloud", MaxRequestBodySize: protocol.MaxBody, IdleTimeout: time.Minute,
		NoDefaultServerHeader: true, NoDefaultDate: true}
	err := httpserver.Serve(ctx, srv, l)
	c.mu.Lock()
	names := make([]string, 0, len(c.machines))
	for n := range c.machines {
		names = append(names, n)
	}
	c.mu.Unlock()
	return errors.Join(err, c.delete(names), c.journal.Close())
}

func (c *Cloud) handleRequest(ctx *fasthttp.RequestCtx) {
	reply := func(status int, body any) { httpserver.Reply(ctx, status, body) }
	c.mu.Lock()
	now := time.Now()
	c.requestsUsed = max(c.requestsUsed-now.Sub(c.requestsAt).Seconds()*c.settings.RPS, 0)
	c.requestsAt = now
	if c.requestsUsed+1 > 2*c.settings.RPS {
		c.mu.Unlock()
		reply(429, protocol.ErrorResponse{Error: "above the limit of requests a second"})
		return
	}
	c.requestsUsed++
	locked := true
	unlock := func() {
		if locked {
			locked = false
			c.mu.Unlock()
		}
	}
	defer unlock()
	switch path, args := string(ctx.Path()), ctx.QueryArgs(); {
	case path == "/machine_types" && ctx.IsGet():
		reply(200, c.machineTypes())
	case path == "/machines" && ctx.IsPost():
		var h protocol.CreateMachinesRequest
		if err := protocol.Decode(ctx.PostBody(), &h); err != nil {
			reply(400, protocol.ErrorResponse{Error: err.Error()})
			return
		}
		reply(c.create(h))
	case path == "/machines" && ctx.IsGet():
		page, err := strconv.Atoi(string(args.Peek("Page")))
		if err != nil || page < 1 || page > 500 {
			page = 500
		}
		reply(200, c.list(string(args.Peek("Since")), page))
	case path == "/machines/delete" && ctx.IsPost():
		unlock()
		var n protocol.MachineNames
		if err := protocol.Decode(ctx.PostBody(), &n); err != nil || len(n.Machines) > protocol.MaxDelete {
			reply(400, protocol.ErrorResponse{Error: "malformed list of machines"})
			return
		}
		if err := c.delete(n.Machines); err != nil {
			reply(503, protocol.ErrorResponse{Error: err.Error()})
			return
		}
		reply(200, struct{}{})
	case path == "/processes" && ctx.IsGet():
		// For `chalkhubctl local` and its tests: which process is which machine's agent.
		pids := map[string]int{}
		for n, m := range c.machines {
			if m.State == protocol.MachineRunning && m.deletedAt.IsZero() {
				pids[n] = m.pid
			}
		}
		reply(200, pids)
	default:
		reply(404, protocol.ErrorResponse{Error: "no such page"})
	}
}
