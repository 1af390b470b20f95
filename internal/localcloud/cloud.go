// Package localcloud simulates a cloud provider on one host: each of its machines is an agent
// process on that host. It implements the section "Controller nodes -> cloud" of the protocol. The
// machine types, zones, spot prices and preemption notices come from its settings.
//
// It owns the agents' processes, the journal of the machines created and deleted, and the
// machines' directories. It may not know of jobs, tasks, leases or controllers, nor how an agent is
// started, which its caller implements (StartAgent).
//
// Invariants:
//   - A machine is in the journal before the response that names it is sent, and a repeated
//     request gets the same names as the first.
//   - A machine counts as deleted only once all its processes have exited.
//   - When Serve returns, all machines are deleted.
package localcloud

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// deletedRetention is how long a deleted machine is kept in memory beyond the lag of the
	// list, so that the remaining pages of a list begun before the deletion still contain it.
	deletedRetention = time.Minute

	// The spot price of a type rises linearly from below its set price to above it within
	// pricePeriod and then drops again, so that a controller sees low and high prices within an
	// hour. It differs from the set price by at most one part in priceWaveDivisor.
	pricePeriod      = 30 * time.Minute
	priceWaveDivisor = 3

	// pricePhases shifts the price curve of each type by one part in pricePhases of the period
	// against that of the type before, so that the prices don't move together.
	pricePhases = 7

	// unreachableAddr is the address of a machine that has no agent; nothing listens on it.
	unreachableAddr = "127.0.0.1:1"
)

// Reasons for refusing to create a machine. Their texts are sent to controllers.
var (
	errInvalidCreate = errors.New("no such type or zone, or a wrong number")
	errNoCapacity    = errors.New("no capacity")
)

// MachineType is a machine type that the cloud offers, with the maximum number of machines per zone.
// Prices are per hour.
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
	MaxPerZone int      `json:"most"` // 0 means no limit
}

// Settings of a cloud. RPS limits the requests per second. ListLagS is the age of the lists of
// machines in seconds.
type Settings struct {
	Types    []MachineType `json:"types"`
	RPS      float64       `json:"rps"`
	ListLagS float64       `json:"list_lag_s"`
	// SpotLifeS is the mean time in seconds after which a spot machine is preempted; 0 means never.
	SpotLifeS float64 `json:"spot_life_s"`
	NoticeS   float64 `json:"notice_s"` // mean seconds between notice and preemption; 0 means no notice
}

// StartAgent returns the command of a machine's agent, which the cloud then starts. The standard
// input of the agent stays open as long as the cloud's process runs and delivers AgentMessages. The
// files to pass to it are its listener and the write end of a pipe, which the agent and the shims of
// its tasks (package shim) keep open until they exit.
type StartAgent func(m protocol.Instance, t MachineType, listener, livenessPipe *os.File) (*exec.Cmd, error)

// AgentMessage is a message from the cloud to an agent, sent as one line of JSON.
type AgentMessage struct {
	NoticeS float64 `json:"notice_s"` // seconds until the machine is preempted
}

// Cloud creates, lists and deletes machines. Use Open to create one.
type Cloud struct {
	settings   Settings
	startAgent StartAgent
	logger     *slog.Logger
	startedAt  time.Time

	mu             sync.Mutex
	journal        *os.File
	lastNumber     int // highest number used in a machine's name
	machines       map[string]*instance
	namesByRequest map[string][]string
	rateLimit      rateLimit
}

// Open returns a cloud that keeps its journal in the file at path. Machines that an earlier process
// of the cloud created end with that process and are listed as failed. Each machine has a directory
// below machinesDir.
func Open(settings Settings, path, machinesDir string, startAgent StartAgent, logger *slog.Logger) (*Cloud, error) {
	now := time.Now()
	c := &Cloud{
		settings:       settings,
		startAgent:     startAgent,
		logger:         logger,
		startedAt:      now,
		machines:       map[string]*instance{},
		namesByRequest: map[string][]string{},
		rateLimit:      rateLimit{perSecond: settings.RPS, updatedAt: now},
	}
	c.replay(path)
	for _, m := range c.machines {
		go awaitOrphan(m, filepath.Join(machinesDir, m.Name)) // ends once no process of the machine is left; Serve waits for that
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	c.journal = f
	return c, nil
}

func (c *Cloud) machineType(name string) *MachineType {
	for i := range c.settings.Types {
		if c.settings.Types[i].Name == name {
			return &c.settings.Types[i]
		}
	}
	return nil
}

// create creates the requested machines, or as many of them as the zone has capacity for, and
// returns their names. A repeated request creates none and gets the names of the first.
func (c *Cloud) create(r protocol.CreateMachinesRequest) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.machineType(r.Type)
	if t == nil || !slices.Contains(t.Zones, r.Zone) || r.Count < 1 || r.Count > protocol.MaxCreate || r.RequestID == "" {
		return nil, errInvalidCreate
	}
	if names, ok := c.namesByRequest[r.RequestID]; ok {
		return names, nil
	}
	count := min(r.Count, c.availableCapacity(t, r.Zone, r.Count))
	if count <= 0 {
		return nil, errNoCapacity
	}
	var names []string
	for range count {
		c.lastNumber++
		names = append(names, fmt.Sprintf("n-%06d", c.lastNumber))
	}
	record := journalRecord{Request: r.RequestID, Machines: names, Type: r.Type, Zone: r.Zone, Spot: r.Spot}
	if err := c.appendRecord(record); err != nil {
		return nil, err
	}
	c.namesByRequest[r.RequestID] = names
	for _, name := range names {
		instance := protocol.Instance{Name: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, State: protocol.MachineBooting}
		c.machines[name] = c.boot(instance, *t)
	}
	return names, nil
}

// availableCapacity returns how many more machines of a type can be created in a zone, or wanted if
// the type has no limit.
func (c *Cloud) availableCapacity(t *MachineType, zone string, wanted int) int {
	if t.MaxPerZone <= 0 {
		return wanted
	}
	used := 0
	for _, m := range c.machines {
		if m.deletedAt.IsZero() && m.Type == t.Name && m.Zone == zone && m.State != protocol.MachineFailed {
			used++
		}
	}
	return t.MaxPerZone - used
}

// boot returns a machine and starts to boot it. If no listener can be opened for it, the returned
// machine is in the state failed.
func (c *Cloud) boot(i protocol.Instance, t MachineType) *instance {
	ctx, cancel := context.WithCancel(context.Background())
	m := &instance{Instance: i, createdAt: time.Now(), cancel: cancel, exited: make(chan struct{})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		m.State = protocol.MachineFailed
		close(m.exited)
		return m
	}
	m.Addr = l.Addr().String()
	go c.runMachine(ctx, m, t, l) // ends with the machine's processes; delete cancels ctx and waits for it
	return m
}

// delete terminates machines, waits until all their processes have exited, and records the deletion.
// It skips names that are unknown or already deleted.
func (c *Cloud) delete(names []string) error {
	machines := c.cancelMachines(names)
	for _, m := range machines {
		<-m.exited
	}
	if len(machines) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var deleted []string
	for _, m := range machines {
		m.deletedAt = time.Now()
		deleted = append(deleted, m.Name)
	}
	return c.appendRecord(journalRecord{Deleted: deleted})
}

func (c *Cloud) cancelMachines(names []string) []*instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	var machines []*instance
	for _, name := range names {
		if m := c.machines[name]; m != nil && m.deletedAt.IsZero() {
			machines = append(machines, m)
			m.cancel()
		}
	}
	return machines
}

// list returns a page of the machines that existed ListLagS ago and whose names sort after the name
// after. Their states are the current ones.
func (c *Cloud) list(after string, pageSize int) protocol.InstanceList {
	c.mu.Lock()
	defer c.mu.Unlock()
	asOf := time.Now().Add(-config.Seconds(c.settings.ListLagS))
	page := protocol.InstanceList{Machines: []protocol.Instance{}}
	for name, m := range c.machines {
		if name <= after || !m.existedAt(asOf) {
			continue
		}
		i := m.Instance
		i.AgeS = max(asOf.Sub(m.createdAt).Seconds(), 0)
		page.Machines = append(page.Machines, i)
	}
	c.removeDeleted(asOf.Add(-deletedRetention))
	slices.SortFunc(page.Machines, func(a, b protocol.Instance) int { return cmp.Compare(a.Name, b.Name) })
	if len(page.Machines) > pageSize {
		page.Machines, page.More = page.Machines[:pageSize], true
	}
	return page
}

func (c *Cloud) removeDeleted(before time.Time) {
	for name, m := range c.machines {
		if !m.deletedAt.IsZero() && m.deletedAt.Before(before) {
			delete(c.machines, name)
		}
	}
}

// machineTypes returns the types with their current prices. Only the spot prices change with time.
func (c *Cloud) machineTypes() protocol.MachineTypes {
	var list protocol.MachineTypes
	for i, t := range c.settings.Types {
		phase := time.Since(c.startedAt).Seconds()/pricePeriod.Seconds() + float64(i)/pricePhases
		wave := 2*(phase-float64(int(phase))) - 1 // from -1 to 1
		list.Types = append(list.Types, protocol.MachineType{
			Name:      t.Name,
			CPUs:      t.CPUs,
			GPUs:      t.GPUs,
			MemoryGB:  t.MemoryGB,
			CacheGB:   t.CacheGB,
			FetchGBps: t.FetchGBps,
			Price:     t.Price,
			SpotPrice: t.SpotPrice * (1 + wave/priceWaveDivisor),
			BootS:     t.BootS,
			Zones:     t.Zones,
		})
	}
	return list
}

// processIDs returns the process IDs of the running machines' agents by machine name.
func (c *Cloud) processIDs() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	pids := map[string]int{}
	for name, m := range c.machines {
		if m.State == protocol.MachineRunning && m.deletedAt.IsZero() {
			pids[name] = m.pid
		}
	}
	return pids
}
