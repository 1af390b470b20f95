package local

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/client"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/localcloud"
)

// ClusterFile is the name of the file in a cluster's directory that lists the cluster's addresses.
const ClusterFile = "cluster.json"

// Addresses is the content of ClusterFile: the addresses that a cluster listens on, as host:port,
// and its teams.
type Addresses struct {
	Controllers []Controller  `json:"controllers"`
	State       string        `json:"state"`
	Artifacts   string        `json:"depot"`
	Cloud       string        `json:"cloud,omitempty"`
	Teams       []config.Team `json:"teams,omitempty"`
}

// Controller is the name, zone and addresses of a controller.
type Controller struct {
	Label      string `json:"label"`
	Zone       string `json:"zone"`
	ServeAddr  string `json:"serve_on"`
	StatusAddr string `json:"status"` // serves the status page and the other controllers
}

// Client returns a new client of the cluster.
func (a *Addresses) Client() (*client.Client, error) {
	var controllers []string
	for _, c := range a.Controllers {
		controllers = append(controllers, c.ServeAddr)
	}
	return client.New(controllers, a.Artifacts)
}

// ReadAddresses reads the addresses of a cluster. The path is that of the cluster's directory or of
// its ClusterFile. If the file is missing, the error says how to start a cluster.
func ReadAddresses(path string) (*Addresses, error) {
	if stat, err := os.Stat(path); err == nil && stat.IsDir() {
		path = filepath.Join(path, ClusterFile)
	}
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		dir := filepath.Dir(path)
		return nil, fmt.Errorf("no cluster runs in %s: start one with `chalkhubctl local --folder %s`, or name another folder with --cluster", dir, dir)
	}
	if err != nil {
		return nil, err
	}
	var a Addresses
	if err := json.Unmarshal(b, &a); err != nil {
		return nil, fmt.Errorf("cannot parse the cluster's addresses in %s: %w", path, err)
	}
	return &a, nil
}

// StateFile is the settings file of `chalkhubctl state run`.
type StateFile struct {
	Listen          string             `json:"listen"`
	ArtifactsListen string             `json:"depot_listen"` // empty: no artifact server
	File            string             `json:"file"`
	ArtifactsDir    string             `json:"depot_folder"`
	Snapshots       string             `json:"snapshots"`
	SnapshotEveryS  float64            `json:"snapshot_every_s"` // 0: snapshots are taken only on request
	SnapshotsKept   int                `json:"snapshots_kept"`
	Limits          config.StoreLimits `json:"limits"`
	MaxBatch        int                `json:"batch"`
}

// CloudFile is the settings file of `chalkhubctl cloud`.
type CloudFile struct {
	Listen  string              `json:"listen"`
	Dir     string              `json:"folder"`
	Cloud   localcloud.Settings `json:"rent"`
	Cluster Addresses           `json:"cluster"`
	Workers config.WorkerTiming `json:"workers"`
}

// AgentFile is the settings file of `chalkhubctl agent`.
type AgentFile struct {
	Machine       string              `json:"machine"`
	Listen        string              `json:"listen"`
	Type          string              `json:"type"`
	Zone          string              `json:"zone"`
	Spot          bool                `json:"spot"`
	CPUs          float64             `json:"cpus"`
	GPUs          float64             `json:"gpus"`
	MemoryGB      float64             `json:"memory_gb"`
	CacheGB       float64             `json:"cache_gb"`
	FetchGBps     float64             `json:"fetch_gb_per_s"`
	Controllers   []Controller        `json:"controllers"`
	Artifacts     string              `json:"depot"`
	Dir           string              `json:"folder"`
	CheckpointDir string              `json:"saves"`
	Workers       config.WorkerTiming `json:"workers"`
}

func writeJSON(path string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o600)
}
