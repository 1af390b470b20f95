package local

import (
	_ "embed"
	"fmt"
	"os"
	"slices"

	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/localcloud"
	"github.com/chalkhub/chalkhub/internal/schema"
)

// Defaults of a machine type: a spot machine costs less than half of an on-demand one, as at most
// providers, and images are fetched at about the speed of a fast network.
const (
	defaultSpotFactor = 0.4
	defaultFetchGBps  = 1
)

// The machine of a controller, as the controller's settings describe it: resources sufficient for a
// few dozen agents, and the clock error bound of a machine whose clock all processes share.
const (
	controllerCores      = 1
	controllerRAMMB      = 512
	controllerMaxSockets = 4000
	clockErrorMS         = 100
)

//go:embed settings.schema.json
var schemaText []byte

var settingsSchema = schema.Compile("settings.schema.json", schemaText)

// Settings are the settings of a cluster on one machine, as its owner writes them in YAML. Durations
// such as LeaseS are in seconds, RPS is requests per second.
type Settings struct {
	Controllers int      `yaml:"controllers"`
	Zones       []string `yaml:"zones"`
	Teams       []Team   `yaml:"teams"`
	Workers     struct {
		HeartbeatS float64 `yaml:"report_s"`
		LeaseS     float64 `yaml:"lease_s"`
		CancelS    float64 `yaml:"cancel_s"`
	} `yaml:"workers"`
	State struct {
		RPS      float64 `yaml:"rps"`
		WriteRPS float64 `yaml:"write_rps"`
		ValueKB  float64 `yaml:"value_kb"`
		TxnOps   int     `yaml:"txn_ops"`
	} `yaml:"state"`
	Cloud struct {
		RPS       float64       `yaml:"rps"`
		ListLagS  float64       `yaml:"list_lag_s"`
		SpotLifeS float64       `yaml:"spot_life_s"`
		NoticeS   float64       `yaml:"notice_s"`
		Types     []MachineType `yaml:"types"`
	} `yaml:"cloud"`
}

// Team holds a team's guarantees and quotas (the Max fields); 0 means none.
type Team struct {
	Name    string  `yaml:"name"`
	CPUs    float64 `yaml:"cpus"`
	CPUsMax float64 `yaml:"cpus_max"`
	GPUs    float64 `yaml:"gpus"`
	GPUsMax float64 `yaml:"gpus_max"`
}

// MachineType is a machine type. Its resources are only what the scheduler accounts for: tasks that
// run real commands share the processors of the local machine.
type MachineType struct {
	Name       string   `yaml:"name"`
	CPUs       float64  `yaml:"cpus"`
	GPUs       float64  `yaml:"gpus"`
	MemoryGB   float64  `yaml:"memory_gb"`
	CacheGB    float64  `yaml:"cache_gb"`
	FetchGBps  float64  `yaml:"fetch_gb_per_s"`
	Price      float64  `yaml:"price"`
	SpotPrice  float64  `yaml:"spot_price"`
	BootS      float64  `yaml:"boot_s"`
	Zones      []string `yaml:"zones"`
	MaxPerZone int      `yaml:"most"`
}

// Defaults returns the settings of `chalkhubctl local` without a settings file: three controllers,
// two zones, and small machines that boot in half a second.
func Defaults() Settings {
	var s Settings
	s.Controllers = 3
	s.Zones = []string{"a", "b"}
	s.Teams = []Team{{Name: "main", CPUs: 16}}
	s.Workers.HeartbeatS, s.Workers.LeaseS, s.Workers.CancelS = 1, 6, 14
	s.State.RPS, s.State.WriteRPS, s.State.ValueKB, s.State.TxnOps = 400, 200, 16, 16
	s.Cloud.RPS, s.Cloud.ListLagS = 10, 1
	s.Cloud.Types = []MachineType{{Name: "small", CPUs: 4, MemoryGB: 8, CacheGB: 20, Price: 0.2, BootS: 0.5, MaxPerZone: 8}}
	return s
}

// Read reads a settings file, fills in the defaults and validates the result. With an empty path it
// returns the defaults.
func Read(path string) (Settings, error) {
	s := Defaults()
	if path == "" {
		return s, s.check(path)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	if err := settingsSchema.Read(path, b, &s); err != nil {
		return s, err
	}
	return s, s.check(path)
}

// check validates what the schema cannot express, and fills in the defaults of the machine types.
func (s *Settings) check(path string) error {
	seen := map[string]bool{}
	for i := range s.Cloud.Types {
		t := &s.Cloud.Types[i]
		if seen[t.Name] {
			return fmt.Errorf("%s: machine type %s is defined twice", path, t.Name)
		}
		seen[t.Name] = true
		t.setDefaults(s.Zones)
		for _, zone := range t.Zones {
			if !slices.Contains(s.Zones, zone) {
				return fmt.Errorf("%s: machine type %s is in zone %s, which is not listed under zones", path, t.Name, zone)
			}
		}
	}
	return nil
}

func (t *MachineType) setDefaults(zones []string) {
	if t.Zones == nil {
		t.Zones = zones
	}
	if t.SpotPrice == 0 {
		t.SpotPrice = defaultSpotFactor * t.Price
	}
	if t.FetchGBps == 0 {
		t.FetchGBps = defaultFetchGBps
	}
}

// siteSettings returns the site's settings, which all controllers share.
func (s *Settings) siteSettings() config.Site {
	site := config.Site{
		InitialControllers: s.Controllers,
		Zones:              s.Zones,
		Workers:            s.workerSettings(),
		Store:              config.StoreLimits{RPS: s.State.RPS, WriteRPS: s.State.WriteRPS, ValueKB: s.State.ValueKB, MaxTxnOps: s.State.TxnOps},
		Cloud:              config.CloudLimits{RPS: s.Cloud.RPS, ListLagS: s.Cloud.ListLagS},
		Resources:          config.Resources{Cores: controllerCores, RAMMB: controllerRAMMB, MaxSockets: controllerMaxSockets},
		ClockErrorMS:       clockErrorMS,
	}
	for _, t := range s.Teams {
		site.Teams = append(site.Teams, config.Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax})
	}
	return site
}

func (s *Settings) workerSettings() config.WorkerTiming {
	return config.WorkerTiming{HeartbeatS: s.Workers.HeartbeatS, LeaseS: s.Workers.LeaseS, CancelS: s.Workers.CancelS}
}

// cloudSettings returns the settings of the cloud.
func (s *Settings) cloudSettings() localcloud.Settings {
	settings := localcloud.Settings{RPS: s.Cloud.RPS, ListLagS: s.Cloud.ListLagS, SpotLifeS: s.Cloud.SpotLifeS, NoticeS: s.Cloud.NoticeS}
	for _, t := range s.Cloud.Types {
		settings.Types = append(settings.Types, localcloud.MachineType(t))
	}
	return settings
}
