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
	// defaultMaxBatch is how many commands share a write of the state file: with more, one
	// write takes longer than the sync that they share.
	defaultMaxBatch = 256

	// A snapshot every ten minutes and six of them are an hour to go back to.
	snapshotEveryS = 600
	snapshotsKept  = 6

	// Addresses that a cluster needs beside its controllers', which need two each.
	serviceAddrs       = 3
	addrsPerController = 2
)

// configure chooses addresses and writes the settings of every process.
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
		return fmt.Errorf("no port is free: %w", err)
	}
	c.State, c.Artifacts, c.Cloud = addrs[0], addrs[1], addrs[2]
	for i := range s.Controllers {
		own := addrs[serviceAddrs+addrsPerController*i:]
		c.Controllers = append(c.Controllers, Controller{
			Label:      fmt.Sprintf("ctl-%d", i),
			Zone:       s.Zones[i%len(s.Zones)],
			ServeAddr:  own[0],
			StatusAddr: own[1],
		})
	}
	return nil
}

// freeAddrs finds addresses that nobody listens on. All are held until the last is found,
// so that no two are the same.
func freeAddrs(count int) ([]string, error) {
	var addrs []string
	for range count {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // nobody connected
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

// writeControllerSettings writes a controller's settings, once the controller's own parser
// takes them.
func (c *Cluster) writeControllerSettings(index int, site config.Site) error {
	own := c.Controllers[index]
	settings := config.Settings{
		Label:      own.Label,
		Zone:       own.Zone,
		Listen:     own.ServeAddr,
		PeerListen: own.StatusAddr,
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
	return errors.Join(err, writeJSON(c.settingsPath(own.Label), &settings))
}
