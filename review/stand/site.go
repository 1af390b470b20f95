package stand

import (
	"fmt"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/rpc"
)

// Site is a small deployment: controllers, the state service with the depot, and the stand-in for
// the cloud.
type Site struct {
	Run         *Run
	Settings    config.Site
	Controllers []config.Settings
	State       string // address of the state service
	Depot       string // address of the depot
	Cloud       *Cloud
}

// NewSite chooses the addresses of a site with a number of controllers, and starts its cloud.
func NewSite(r *Run, controllers int, settings config.Site, cloud *Cloud) *Site {
	s := &Site{Run: r, Settings: settings, State: FreeAddress(), Depot: FreeAddress(), Cloud: cloud}
	s.Settings.InitialControllers = controllers
	s.Cloud.start(r)
	external := config.External{Cloud: s.Cloud.Address, Store: s.State}
	for i := range controllers {
		s.Controllers = append(s.Controllers, config.Settings{
			Label: fmt.Sprintf("rig-%d", i), Zone: settings.Zones[i%len(settings.Zones)],
			Listen: FreeAddress(), PeerListen: FreeAddress(), External: external, Site: s.Settings,
		})
	}
	for i := range s.Controllers {
		for j := range s.Controllers {
			if i != j {
				other := &s.Controllers[j]
				s.Controllers[i].Siblings = append(s.Controllers[i].Siblings,
					config.Sibling{Label: other.Label, Zone: other.Zone, Address: other.PeerListen})
			}
		}
	}
	return s
}

// StartState starts the state service with the depot, as deploy/state.json has it.
func (s *Site) StartState() {
	if err := os.MkdirAll(s.Run.Path("snapshots"), 0o700); err != nil {
		panic(err)
	}
	path := s.Run.WriteJSON("state.json", map[string]any{
		"listen": s.State, "depot_listen": s.Depot,
		"file": s.Run.Path("state.db"), "depot_folder": s.Run.Path("depot"),
		"snapshots": s.Run.Path("snapshots"), "snapshot_every_s": 600, "snapshots_kept": 24,
		"limits": s.Settings.Store, "batch": 256,
	})
	s.Run.Start("state", "chalkhubctl", "state", "run", "--config", path)
}

// StartController starts a controller, as deploy/service.toml has it.
func (s *Site) StartController(i int) {
	c := &s.Controllers[i]
	path := s.Run.WriteJSON(c.Label+".json", c)
	s.Run.Start(c.Label, "chalkhub", "--config", path)
}

// StartAgent starts the project's agent of a machine, as deploy/agent.json has it.
func (s *Site) StartAgent(m Machine, t MachineType) {
	var controllers []map[string]string
	for i := range s.Controllers {
		c := &s.Controllers[i]
		controllers = append(controllers, map[string]string{"label": c.Label, "zone": c.Zone, "serve_on": c.Listen})
	}
	path := s.Run.WriteJSON(m.Name+".json", map[string]any{
		"machine": m.Name, "listen": m.Addr, "type": m.Type, "zone": m.Zone, "spot": m.Spot,
		"cpus": t.CPUs, "memory_gb": t.MemoryGB, "cache_gb": t.CacheGB, "fetch_gb_per_s": t.FetchGBps,
		"controllers": controllers, "depot": s.Depot,
		"folder": s.Run.Path("agent-" + m.Name), "saves": s.Run.Path("saves"), "workers": s.Settings.Workers,
	})
	s.Run.Start(m.Name, "chalkhubctl", "agent", "--config", path)
}

// WaitReady waits until every controller takes requests. It reports false after a limit.
func (s *Site) WaitReady(limit time.Duration) bool {
	client := rpc.New(1, time.Second)
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i := range s.Controllers {
			if client.Call(fasthttp.MethodGet, s.Controllers[i].Listen, "/ready", nil, nil, time.Second) == fasthttp.StatusOK {
				ready++
			}
		}
		if ready == len(s.Controllers) {
			s.Run.Log("all controllers are ready")
			return true
		}
	}
	return false
}

// Addresses returns the controllers' addresses for users.
func (s *Site) Addresses() []string {
	var addresses []string
	for i := range s.Controllers {
		addresses = append(addresses, s.Controllers[i].Listen)
	}
	return addresses
}
