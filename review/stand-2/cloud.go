package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

type machineType struct {
	name                                                    string
	cpus, memoryGB, price, spotPrice, cacheGB, fetch, bootS float64
}

// cloud is a stand-in of the cloud, by the protocol. Its machines are workers of this process.
type cloud struct {
	site *site
	addr string

	mu       sync.Mutex
	machines map[string]*worker
	byHire   map[string][]string
	last     int
	boot     time.Duration // of every machine, 0: as the type says
	stopped  bool
}

func newCloud(s *site) *cloud {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		giveUp("listen: %v", err)
	}
	c := &cloud{site: s, addr: listener.Addr().String(), machines: map[string]*worker{}, byHire: map[string][]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machine_types", c.types)
	mux.HandleFunc("POST /machines", c.create)
	mux.HandleFunc("POST /machines/delete", c.delete)
	mux.HandleFunc("GET /machines", c.list)
	go func() { _ = http.Serve(listener, mux) }()
	return c
}

func reply(w http.ResponseWriter, status int, body any) {
	b := protocol.Encode(body)
	w.Header().Set("Content-Type", protocol.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func read(req *http.Request, into any) error {
	b, err := io.ReadAll(req.Body)
	if err != nil {
		return err
	}
	return protocol.Decode(b, into)
}

func (c *cloud) types(w http.ResponseWriter, _ *http.Request) {
	var types []map[string]any
	for _, t := range c.site.settings.types {
		types = append(types, map[string]any{"Label": t.name, "Cpus": t.cpus, "Gpus": 0.0, "MemoryGb": t.memoryGB, "CacheGb": t.cacheGB,
			"FetchGbPerS": t.fetch, "Hourly": t.price, "LowPrice": t.spotPrice, "StartupS": t.bootS, "Yards": c.site.settings.zones})
	}
	reply(w, http.StatusOK, map[string]any{"Rigtypes": types})
}

func (c *cloud) typeOf(name string) *machineType {
	for i := range c.site.settings.types {
		if c.site.settings.types[i].name == name {
			return &c.site.settings.types[i]
		}
	}
	return nil
}

func (c *cloud) create(w http.ResponseWriter, req *http.Request) {
	var hire protocol.CreateMachinesRequest
	if err := read(req, &hire); err != nil || c.typeOf(hire.Type) == nil || hire.Count < 1 || hire.Count > 50 {
		reply(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	c.mu.Lock()
	names, known := c.byHire[hire.RequestID]
	if !known {
		for range hire.Count {
			names = append(names, c.add(placedMachine{hire.Type, hire.Zone, hire.Spot}).name)
		}
		c.byHire[hire.RequestID] = names
	}
	c.mu.Unlock()
	c.site.log("cloud rents out %v as %s %s spot %v", names, hire.Type, hire.Zone, hire.Spot)
	reply(w, http.StatusOK, map[string]any{"Rigs": names})
}

// add creates a machine that boots. The caller holds the lock.
func (c *cloud) add(placed placedMachine) *worker {
	c.last++
	m := newWorker(c.site, fmt.Sprintf("n-%06d", c.last), c.typeOf(placed.typeName), placed.zone, placed.spot)
	c.machines[m.name] = m
	boot := time.Duration(m.typ.bootS * float64(time.Second))
	if c.boot > 0 {
		boot = c.boot
	}
	m.bootTimer = time.AfterFunc(boot, m.up)
	return m
}

// addRunning creates a machine that is up at once.
func (c *cloud) addRunning(placed placedMachine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.add(placed)
	m.bootTimer.Stop()
	m.up()
}

func (c *cloud) delete(w http.ResponseWriter, req *http.Request) {
	var names protocol.MachineNames
	if err := read(req, &names); err != nil || len(names.Machines) > 100 {
		reply(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	for _, name := range names.Machines {
		if m := c.machine(name); m != nil {
			m.remove()
		}
	}
	c.site.log("cloud deletes %v", names.Machines)
	reply(w, http.StatusOK, map[string]any{})
}

func (c *cloud) machine(name string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[name]
}

// running lists the machines that are up, by name.
func (c *cloud) running() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*worker
	for _, m := range c.machines {
		if m.isUp() {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *worker) int { return int(a.number) - int(b.number) })
	return list
}

func (c *cloud) list(w http.ResponseWriter, req *http.Request) {
	page, _ := strconv.Atoi(req.URL.Query().Get("Page"))
	if page < 1 || page > 500 {
		page = 500
	}
	since := req.URL.Query().Get("Since")
	asOf := time.Now().Add(-time.Duration(c.site.settings.listLagS * float64(time.Second)))
	c.mu.Lock()
	var rigs []map[string]any
	for _, m := range c.machines {
		if m.name > since && m.existedAt(asOf) {
			rigs = append(rigs, map[string]any{"Ref": m.name, "Addr": m.addr, "Rigtype": m.typ.name, "Yard": m.zone, "Loaner": m.spot,
				"Status": m.statusAt(asOf), "HeldS": asOf.Sub(m.createdAt).Seconds()})
		}
	}
	c.mu.Unlock()
	sort.Slice(rigs, func(a, b int) bool { return rigs[a]["Ref"].(string) < rigs[b]["Ref"].(string) })
	more := len(rigs) > page
	if more {
		rigs = rigs[:page]
	}
	reply(w, http.StatusOK, map[string]any{"Rigs": rigs, "More": more})
}

func (c *cloud) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for _, m := range c.machines {
		m.remove()
	}
}
