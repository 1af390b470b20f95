// Package localcloud is a cloud on one machine: its machines are agents, processes of this
// machine. It stands in for a provider and follows the protocol's "Controller nodes ->
// cloud", with types, zones, spot prices and preemption notices from its settings.
//
// It owns the agents' processes, the journal of what was created and deleted, and the
// machines' directories. It may not know of jobs, tasks, leases or controllers; how an
// agent is started is its caller's (StartAgent).
//
// Invariants:
//   - A machine is in the journal before the response that names it, and a repeated request
//     gets the names of the first.
//   - A machine is deleted only once no process of it is left.
//   - When Serve returns, no machine is left.
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
	// deletedRetention is how long a deleted machine is kept beyond the list's lag, for
	// pages of a list that was begun before.
	deletedRetention = time.Minute

	// pricePeriod and priceParts shape the spot prices: a wave, by up to one part of the
	// price, so that a controller sees both cheap and dear times within an hour.
	pricePeriod      = 30 * time.Minute
	priceWaveDivisor = 3

	// pricePhases spreads the types' waves, so that their prices don't move together.
	pricePhases = 7

	// unreachableAddr stands for the address of a machine that no agent listens for.
	unreachableAddr = "127.0.0.1:1"
)

// Reasons to refuse a machine; controllers see their texts.
var (
	errInvalidCreate = errors.New("no such type or zone, or a wrong number")
	errNoCapacity    = errors.New("no capacity")
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
	MaxPerZone int      `json:"most"` // 0: any number
}

// Settings of a cloud.
type Settings struct {
	Types    []MachineType `json:"types"`
	RPS      float64       `json:"rps"`
	ListLagS float64       `json:"list_lag_s"`
	// SpotLifeS is the mean time after which a spot machine is preempted, 0: never.
	SpotLifeS float64 `json:"spot_life_s"`
	NoticeS   float64 `json:"notice_s"` // given before, 0: none
}

// StartAgent prepares the command of a machine's agent. Its standard input stays open for
// as long as the cloud lives and takes AgentMessages; extra files are its listener and the
// end of a pipe that it and all its tasks hold open.
type StartAgent func(m protocol.Instance, t MachineType, listener, alive *os.File) (*exec.Cmd, error)

// AgentMessage is what the cloud tells an agent, as a JSON line.
type AgentMessage struct {
	NoticeS float64 `json:"notice_s"` // until the machine is preempted
}

// Cloud runs machines.
type Cloud struct {
	settings   Settings
	startAgent StartAgent
	logger     *slog.Logger
	startedAt  time.Time

	mu             sync.Mutex
	journal        *os.File
	lastNumber     int // in machines' names
	machines       map[string]*instance
	namesByRequest map[string][]string
	rateLimit      rateLimit
}

// Open opens the cloud that keeps a journal in the file at path. Machines of an earlier
// process end with it and are listed as failed. Each machine has a directory below dirs.
func Open(settings Settings, path, dirs string, startAgent StartAgent, logger *slog.Logger) (*Cloud, error) {
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
		go awaitOrphan(m, filepath.Join(dirs, m.Name)) // Serve's delete waits for it
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

// create creates as many of the machines as there is room for, and returns their names.
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

// availableCapacity is how many machines of a type a zone still takes, or wanted if any number.
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

// boot starts a machine's life.
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
	go c.runMachine(ctx, m, t, l) // delete cancels it and waits
	return m
}

// delete ends machines and waits until nothing of them is left. Names that are unknown or
// deleted already are skipped.
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

// list is a page of the machines with names above after, as they were ListLagS ago.
func (c *Cloud) list(after string, pageSize int) protocol.InstanceList {
	c.mu.Lock()
	defer c.mu.Unlock()
	then := time.Now().Add(-config.Seconds(c.settings.ListLagS))
	page := protocol.InstanceList{Machines: []protocol.Instance{}}
	for name, m := range c.machines {
		if name <= after || !m.existedAt(then) {
			continue
		}
		i := m.Instance
		i.AgeS = max(then.Sub(m.createdAt).Seconds(), 0)
		page.Machines = append(page.Machines, i)
	}
	c.removeDeleted(then.Add(-deletedRetention))
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

// machineTypes lists the types with their prices of now. Each spot price moves by a wave
// of its own.
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

// processIDs is which process is which running machine's agent.
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
