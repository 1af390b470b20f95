package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/goccy/go-json"
	"golang.org/x/sync/errgroup"

	"github.com/chalkhub/chalkhub/internal/agent"
	"github.com/chalkhub/chalkhub/internal/agentd"
	"github.com/chalkhub/chalkhub/internal/artifacts"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/kvfile"
	"github.com/chalkhub/chalkhub/internal/kvserver"
	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/local"
	"github.com/chalkhub/chalkhub/internal/localcloud"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/shim"
)

func readJSON(path string, out any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("cannot listen on %s, another program may be using it: %w", addr, err)
	}
	return l, nil
}

type stateCmd struct {
	Run      stateRunCmd      `cmd:"" help:"Run the service."`
	Snapshot stateSnapshotCmd `cmd:"" help:"Ask a running service for a snapshot."`
	Restore  stateRestoreCmd  `cmd:"" help:"Put a snapshot in the place of the state file; the service must not run."`
	Verify   stateVerifyCmd   `cmd:"" help:"Read a state file or snapshot and check every record."`
}

type stateRunCmd struct {
	Config string `required:"" placeholder:"FILE" help:"Settings (JSON), see docs/state.md."`
}

func (c *stateRunCmd) check(f *local.StateFile) error {
	switch {
	case f.Listen == "" || f.File == "":
		return fmt.Errorf("%s: listen and file must be set", c.Config)
	case !(f.Limits.RPS > 0 && f.Limits.WriteRPS > 0 && f.Limits.ValueKB > 0 && f.Limits.MaxTxnOps > 0):
		return fmt.Errorf("%s: all limits must be above 0", c.Config)
	case f.ArtifactsListen != "" && f.ArtifactsDir == "":
		return fmt.Errorf("%s: depot_folder must be set with depot_listen", c.Config)
	case (f.SnapshotEveryS > 0) != (f.SnapshotsKept > 0) || f.SnapshotEveryS > 0 && f.Snapshots == "":
		return fmt.Errorf("%s: snapshot_every_s, snapshots_kept and snapshots must be set together", c.Config)
	}
	return nil
}

// Run runs the state service, and the depot beside it if it has an address.
func (c *stateRunCmd) Run(ctx context.Context) error {
	var f local.StateFile
	if err := readJSON(c.Config, &f); err != nil {
		return err
	}
	if err := c.check(&f); err != nil {
		return err
	}
	log := logger()
	began := time.Now()
	v, s, err := kvfile.Open(f.File)
	if errors.Is(err, kvfile.ErrCorrupt) {
		hint := "there is no snapshot that can be read"
		if last, state := kvfile.NewestValidSnapshot(f.Snapshots); last != "" {
			hint = fmt.Sprintf("the last good snapshot is %s (revision %d): see `chalkhubctl state restore`, docs/state.md", last, state.Revision)
		}
		return fmt.Errorf("%w; %s", err, hint)
	}
	if err != nil {
		return err
	}
	defer func() { _ = v.Close() }() // each write was durable when it was answered
	l, err := listen(f.Listen)
	if err != nil {
		return err
	}
	log.Info("state loaded", "file", f.File, "revision", s.Revision, "keys", s.Len(), "took", time.Since(began))
	srv := kvserver.New(kvserver.Settings{Limits: kvstore.Limits{MaxValueKiB: f.Limits.ValueKB, MaxTxnOps: f.Limits.MaxTxnOps},
		RequestsPerSecond: f.Limits.RPS, WritesPerSecond: f.Limits.WriteRPS, MaxBatch: f.MaxBatch}, s, v)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return srv.Serve(ctx, l) })
	if f.ArtifactsListen != "" {
		d, err := artifacts.Open(f.ArtifactsDir)
		if err != nil {
			return err
		}
		dl, err := listen(f.ArtifactsListen)
		if err != nil {
			return err
		}
		g.Go(func() error { return d.Serve(ctx, dl) })
	}
	if f.Snapshots != "" {
		g.Go(func() error { return takeSnapshots(ctx, &f, v, srv, log) })
	}
	return g.Wait()
}

// snapshotRequestPath is a file whose appearance asks for a snapshot. A file needs no port and no
// rights but those of the folder.
func snapshotRequestPath(dir string) string { return filepath.Join(dir, ".wanted") }

// takeSnapshots takes a snapshot now and then, and whenever one is asked for.
func takeSnapshots(ctx context.Context, f *local.StateFile, v *kvfile.File, srv *kvserver.Server, log *slog.Logger) error {
	last, at := uint64(0), time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(500 * time.Millisecond):
		}
		_, err := os.Stat(snapshotRequestPath(f.Snapshots))
		asked := err == nil
		due := f.SnapshotEveryS > 0 && time.Since(at) > config.Seconds(f.SnapshotEveryS) && srv.State().Revision != last
		if !asked && !due {
			continue
		}
		at = time.Now()
		path, s, err := v.TakeSnapshot(f.Snapshots)
		if err != nil {
			log.Error("snapshot failed", "error", err)
			continue
		}
		last = s.Revision
		if f.SnapshotsKept > 0 {
			if err := kvfile.PruneSnapshots(f.Snapshots, f.SnapshotsKept); err != nil {
				log.Error("pruning snapshots failed", "error", err)
			}
		}
		if asked {
			_ = os.Remove(snapshotRequestPath(f.Snapshots)) // one that stays asks for another snapshot
		}
		log.Info("snapshot taken", "file", path, "revision", s.Revision, "keys", s.Len(), "took", time.Since(at), "metrics", srv.Metrics())
	}
}

type stateSnapshotCmd struct {
	Folder  string        `arg:"" help:"The service's folder of snapshots."`
	Timeout time.Duration `default:"30s" help:"How long to wait for it."`
}

// Run asks the service for a snapshot and waits for it.
func (c *stateSnapshotCmd) Run(ctx context.Context) error {
	if err := os.WriteFile(snapshotRequestPath(c.Folder), nil, 0o600); err != nil {
		return err
	}
	for end := time.Now().Add(c.Timeout); time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
		if _, err := os.Stat(snapshotRequestPath(c.Folder)); os.IsNotExist(err) {
			if list := kvfile.ListSnapshots(c.Folder); len(list) > 0 {
				fmt.Println(list[0])
				return nil
			}
		}
	}
	_ = os.Remove(snapshotRequestPath(c.Folder)) // whether it was there or not
	return exitError{exitNotNow, fmt.Errorf("no snapshot came within %v: no service may be using %s", c.Timeout, c.Folder)}
}

type stateRestoreCmd struct {
	Snapshot string `arg:"" help:"The snapshot."`
	File     string `arg:"" help:"The state file."`
}

// Run restores a snapshot.
func (c *stateRestoreCmd) Run() error {
	kept, s, err := kvfile.RestoreSnapshot(c.Snapshot, c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s is at revision %d with %d keys\n", c.File, s.Revision, s.Len())
	if kept != "" {
		fmt.Println("the file that was there is now", kept)
	}
	return nil
}

type stateVerifyCmd struct {
	File string `arg:"" help:"A state file that no service uses, or a snapshot."`
}

// Run verifies a file.
func (c *stateVerifyCmd) Run() error {
	s, err := kvfile.Verify(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("sound: revision %d, %d keys, %d leases, %d changes kept\n", s.Revision, s.Len(), len(s.LeaseTTLs()), len(s.Events()))
	return nil
}

type agentCmd struct {
	Config string `required:"" placeholder:"FILE" help:"Settings (JSON), see docs/agent.md."`
	// Inherit is how the local cloud starts agents: descriptor 3 is the listener, 4 an end
	// of a pipe that stays open while anything of the machine is left, and standard input
	// ends with the cloud.
	Inherit bool `hidden:""`
}

func (c *agentCmd) check(f *local.AgentFile) error {
	if f.Machine == "" || f.Artifacts == "" || f.Dir == "" || f.CheckpointDir == "" || len(f.Controllers) == 0 || !(f.CPUs > 0 && f.Workers.HeartbeatS > 0 && f.Workers.LeaseS > 0) {
		return fmt.Errorf("%s: machine, cpus, controllers, depot, folder, saves, report_s and lease_s must be set", c.Config)
	}
	return nil
}

// Run runs an agent.
func (c *agentCmd) Run(ctx context.Context) error {
	var f local.AgentFile
	if err := readJSON(c.Config, &f); err != nil {
		return err
	}
	if err := c.check(&f); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	set := agentd.Settings{ArtifactsAddr: f.Artifacts, Dir: f.Dir, CheckpointDir: f.CheckpointDir, ShimCommand: []string{self, "shim"}, Logger: logger().With("machine", f.Machine)}
	set.Agent = agent.Settings{Machine: f.Machine, Type: f.Type, Zone: f.Zone, Spot: f.Spot, CPUs: f.CPUs, GPUs: f.GPUs, MemoryGB: f.MemoryGB,
		CacheGB: f.CacheGB, FetchGBps: f.FetchGBps, Workers: f.Workers}
	for _, x := range f.Controllers {
		set.Agent.Controllers = append(set.Agent.Controllers, protocol.Redirect{ReportTo: x.Label})
		set.ControllerAddrs = append(set.ControllerAddrs, x.Serve)
	}
	var l net.Listener
	if c.Inherit {
		l, err = net.FileListener(os.NewFile(3, "listener"))
		set.LivenessFile = os.NewFile(4, "alive")
	} else {
		l, err = listen(f.Listen)
	}
	if err != nil {
		return err
	}
	set.Agent.Addr = l.Addr().String()
	d, err := agentd.New(set)
	if err != nil {
		return err
	}
	if c.Inherit {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		go func() {
			for s := bufio.NewScanner(os.Stdin); s.Scan(); {
				var line localcloud.AgentMessage
				if json.Unmarshal(s.Bytes(), &line) == nil && line.NoticeS > 0 {
					d.NotifyPreemption(config.Seconds(line.NoticeS))
				}
			}
			cancel() // the cloud is gone, and its machines with it
		}()
	}
	return d.Serve(ctx, l)
}

type shimCmd struct{}

// Run runs a shim.
func (c *shimCmd) Run() error { return shim.Run(os.Stdin, os.Stdout) }

type cloudCmd struct {
	Config string `required:"" placeholder:"FILE" help:"Settings (JSON)."`
}

// Run runs the local cloud.
func (c *cloudCmd) Run(ctx context.Context) error {
	var f local.CloudFile
	if err := readJSON(c.Config, &f); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	start := func(m protocol.Instance, t localcloud.MachineType, listener, alive *os.File) (*exec.Cmd, error) {
		dir := filepath.Join(f.Dir, "machines", m.Name)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, err
		}
		path := filepath.Join(dir, "agent.json")
		b, err := json.Marshal(&local.AgentFile{Machine: m.Name, Type: m.Type, Zone: m.Zone, Spot: m.Spot, CPUs: t.CPUs, GPUs: t.GPUs,
			MemoryGB: t.MemoryGB, CacheGB: t.CacheGB, FetchGBps: t.FetchGBps, Controllers: f.Cluster.Controllers, Artifacts: f.Cluster.Artifacts,
			Dir: dir, CheckpointDir: filepath.Join(f.Dir, "saves"), Workers: f.Workers})
		if err == nil {
			err = os.WriteFile(path, b, 0o600)
		}
		if err != nil {
			return nil, err
		}
		log, err := os.OpenFile(filepath.Join(f.Dir, "logs", "agents.log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
		if err != nil {
			return nil, err
		}
		cmd := exec.Command(self, "agent", "--config", path, "--inherit")
		cmd.Dir, cmd.Stderr = dir, log
		cmd.ExtraFiles = []*os.File{listener, alive}
		return cmd, nil
	}
	l, err := listen(f.Listen)
	if err != nil {
		return err
	}
	cloud, err := localcloud.Open(f.Cloud, filepath.Join(f.Dir, "cloud.jsonl"), filepath.Join(f.Dir, "machines"), start, logger())
	if err != nil {
		return err
	}
	return cloud.Serve(ctx, l)
}
