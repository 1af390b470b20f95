package local

import (
	"cmp"
	"errors"
	"fmt"
	"net"

	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/internal/config"
)

const (
	// defaultMaxBatch is the maximum number of commands that share one write and sync of the
	// state file. With more commands, the write takes longer than the sync that they share.
	defaultMaxBatch = 256

	// With a snapshot every ten minutes and six snapshots kept, the state can be restored to any
	// of the snapshots of the last hour.
	snapshotEveryS = 600
	snapshotsKept  = 6

	// A cluster needs three addresses for its services (state service, artifact server and cloud)
	// and two for each controller (requests and status page).
	serviceAddrs       = 3
	addrsPerController = 2
)

// configure chooses the addresses of the cluster and writes the settings file of every process.
func (c *Cluster) configure() error {
	if err := c.chooseAddresses(); err != nil {
		return err
	}
	site := c.options.Settings.siteSettings()
	c.Teams = site.Teams
	errs := []error{
		writeJSON(c.settingsPath("state"), c.stateFile(&site)),
		writeJSON(c.settingsPath("cloud"), &CloudFile{
			Listen:  c.Cloud,
			Dir:     c.options.Dir,
			Cloud:   c.options.Settings.cloudSettings(),
			Cluster: c.Addresses,
			Workers: site.Workers,
		}),
	}
	for i := range c.Controllers {
		errs = append(errs, c.writeControllerSettings(i, site))
	}
	return errors.Join(errs...)
}

func (c *Cluster) settingsPath(process string) string { return c.path("settings", process+".json") }

func (c *Cluster) chooseAddresses() error {
	s := &c.options.Settings
	addrs, err := freeAddrs(serviceAddrs + addrsPerController*s.Controllers)
	if err != nil {
		return fmt.Errorf("cannot find free local ports: %w", err)
	}
	c.State, c.Artifacts, c.Cloud = addrs[0], addrs[1], addrs[2]
	for i := range s.Controllers {
		controllerAddrs := addrs[serviceAddrs+addrsPerController*i:]
		c.Controllers = append(c.Controllers, Controller{
			Label:      fmt.Sprintf("ctl-%d", i),
			Zone:       s.Zones[i%len(s.Zones)],
			ServeAddr:  controllerAddrs[0],
			StatusAddr: controllerAddrs[1],
		})
	}
	return nil
}

// freeAddrs returns loopback addresses that no process listens on. It keeps every listener open
// until it has found the last address, so that no two addresses are the same.
func freeAddrs(count int) ([]string, error) {
	var addrs []string
	for range count {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // no client has connected
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

func (c *Cluster) stateFile(site *config.Site) *StateFile {
	return &StateFile{
		Listen:          c.State,
		ArtifactsListen: c.Artifacts,
		File:            c.path("state.db"),
		ArtifactsDir:    c.path("depot"),
		Snapshots:       c.path("snapshots"),
		SnapshotEveryS:  snapshotEveryS,
		SnapshotsKept:   snapshotsKept,
		Limits:          site.Store,
		MaxBatch:        cmp.Or(c.options.MaxBatch, defaultMaxBatch),
	}
}

// writeControllerSettings writes a controller's settings file. It returns an error if the parser
// that the controller uses rejects the settings; the file is written even then.
func (c *Cluster) writeControllerSettings(index int, site config.Site) error {
	controller := c.Controllers[index]
	settings := config.Settings{
		Label:      controller.Label,
		Zone:       controller.Zone,
		Listen:     controller.ServeAddr,
		PeerListen: controller.StatusAddr,
		External:   config.External{Cloud: c.Cloud, Store: c.State},
		Site:       site,
	}
	for i, other := range c.Controllers {
		if i != index {
			settings.Siblings = append(settings.Siblings, config.Sibling{Label: other.Label, Zone: other.Zone, Address: other.StatusAddr})
		}
	}
	b, err := json.Marshal(&settings)
	if err == nil {
		_, err = config.Parse(b)
	}
	return errors.Join(err, writeJSON(c.settingsPath(controller.Label), &settings))
}
