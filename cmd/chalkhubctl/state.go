package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chalkhub/chalkhub/internal/artifacts"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/kvfile"
	"github.com/chalkhub/chalkhub/internal/kvserver"
	"github.com/chalkhub/chalkhub/internal/kvstore"
	"github.com/chalkhub/chalkhub/internal/local"
	"github.com/chalkhub/chalkhub/internal/logging"
)

const (
	// snapshotCheckInterval is how often the service checks whether a snapshot is requested or due.
	snapshotCheckInterval = 500 * time.Millisecond

	// snapshotPollInterval is how often the snapshot command checks whether the snapshot it
	// requested has been taken.
	snapshotPollInterval = 100 * time.Millisecond
)

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
		return fmt.Errorf("%s: limits rps, write_rps, value_kb and txn_ops must all be above 0", c.Config)
	case f.ArtifactsListen != "" && f.ArtifactsDir == "":
		return fmt.Errorf("%s: depot_folder must be set with depot_listen", c.Config)
	case (f.SnapshotEveryS > 0) != (f.SnapshotsKept > 0) || f.SnapshotEveryS > 0 && f.Snapshots == "":
		return fmt.Errorf("%s: snapshot_every_s, snapshots_kept and snapshots must be set together", c.Config)
	}
	return nil
}

// Run runs the state service until ctx ends or a server fails. It also runs the artifact server if
// an address is set for it, and takes snapshots if a directory is set for them.
func (c *stateRunCmd) Run(ctx context.Context) error {
	var f local.StateFile
	if err := readJSON(c.Config, &f); err != nil {
		return err
	}
	if err := c.check(&f); err != nil {
		return err
	}
	log := logging.New(os.Stderr)
	startedAt := time.Now()
	file, state, err := openStateFile(&f)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // every write was durable before its response was sent
	l, err := listen(f.Listen)
	if err != nil {
		return err
	}
	log.Info("state loaded", "file", f.File, "revision", state.Revision, "keys", state.Len(), "took", time.Since(startedAt))
	srv := kvserver.New(kvserver.Settings{
		Limits:            kvstore.Limits{MaxValueKiB: f.Limits.ValueKB, MaxTxnOps: f.Limits.MaxTxnOps},
		RequestsPerSecond: f.Limits.RPS,
		WritesPerSecond:   f.Limits.WriteRPS,
		MaxBatch:          f.MaxBatch,
	}, state, file)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return srv.Serve(ctx, l) })
	if f.ArtifactsListen != "" {
		if err := serveArtifacts(ctx, g, &f); err != nil {
			return err
		}
	}
	if f.Snapshots != "" {
		s := &snapshotter{settings: &f, file: file, server: srv, log: log, lastAt: time.Now()}
		g.Go(func() error { return s.run(ctx) })
	}
	return g.Wait()
}

// openStateFile opens the state file. If the file is corrupt, the error names the newest valid
// snapshot.
func openStateFile(f *local.StateFile) (*kvfile.File, *kvstore.State, error) {
	file, state, err := kvfile.Open(f.File)
	if errors.Is(err, kvfile.ErrCorrupt) {
		hint := "there is no valid snapshot"
		if path, last := kvfile.NewestValidSnapshot(f.Snapshots); path != "" {
			hint = fmt.Sprintf("the last good snapshot is %s (revision %d): see `chalkhubctl state restore`, docs/state.md", path, last.Revision)
		}
		return nil, nil, fmt.Errorf("%w; %s", err, hint)
	}
	return file, state, err
}

func serveArtifacts(ctx context.Context, g *errgroup.Group, f *local.StateFile) error {
	store, err := artifacts.Open(f.ArtifactsDir)
	if err != nil {
		return err
	}
	l, err := listen(f.ArtifactsListen)
	if err != nil {
		return err
	}
	g.Go(func() error { return store.Serve(ctx, l) })
	return nil
}

// snapshotRequestPath returns the path of the file that requests a snapshot by its existence. A
// file needs no port, and no permissions besides those on the directory.
func snapshotRequestPath(dir string) string { return filepath.Join(dir, ".wanted") }

// snapshotter takes snapshots at the interval in the settings, and whenever one is requested.
type snapshotter struct {
	settings     *local.StateFile
	file         *kvfile.File
	server       *kvserver.Server
	log          *slog.Logger
	lastAt       time.Time // when the last snapshot was attempted
	lastRevision uint64    // revision of the last snapshot
}

func (s *snapshotter) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(snapshotCheckInterval):
		}
		requested := s.requested()
		if requested || s.due() {
			s.takeSnapshot(requested)
		}
	}
}

func (s *snapshotter) requested() bool {
	_, err := os.Stat(snapshotRequestPath(s.settings.Snapshots))
	return err == nil
}

// due reports whether the interval has passed and the state has changed since the last snapshot.
func (s *snapshotter) due() bool {
	interval := config.Seconds(s.settings.SnapshotEveryS)
	return interval > 0 && time.Since(s.lastAt) > interval && s.server.State().Revision != s.lastRevision
}

// takeSnapshot takes a snapshot. After a failure it is attempted again once the next one is due, or
// at the next check if it is still requested.
func (s *snapshotter) takeSnapshot(requested bool) {
	s.lastAt = time.Now()
	path, state, err := s.file.TakeSnapshot(s.settings.Snapshots)
	if err != nil {
		s.log.Error("snapshot failed", "error", err)
		return
	}
	s.lastRevision = state.Revision
	if s.settings.SnapshotsKept > 0 {
		if err := kvfile.PruneSnapshots(s.settings.Snapshots, s.settings.SnapshotsKept); err != nil {
			s.log.Error("pruning snapshots failed", "error", err)
		}
	}
	if requested {
		_ = os.Remove(snapshotRequestPath(s.settings.Snapshots)) // if this fails, the file requests another snapshot
	}
	s.log.Info("snapshot taken", "file", path, "revision", state.Revision, "keys", state.Len(), "took", time.Since(s.lastAt), "metrics", s.server.Metrics())
}

type stateSnapshotCmd struct {
	Folder  string        `arg:"" help:"The service's folder of snapshots."`
	Timeout time.Duration `default:"30s" help:"How long to wait for it."`
}

// Run requests a snapshot from the service, waits until it is taken, and prints its path.
func (c *stateSnapshotCmd) Run(ctx context.Context) error {
	if err := os.WriteFile(snapshotRequestPath(c.Folder), nil, 0o600); err != nil {
		return err
	}
	for deadline := time.Now().Add(c.Timeout); time.Now().Before(deadline); {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(snapshotPollInterval):
		}
		if _, err := os.Stat(snapshotRequestPath(c.Folder)); os.IsNotExist(err) {
			if list := kvfile.ListSnapshots(c.Folder); len(list) > 0 {
				fmt.Println(list[0])
				return nil
			}
		}
	}
	_ = os.Remove(snapshotRequestPath(c.Folder)) // withdraws the request; the file may be missing
	return exitError{exitTimeout, fmt.Errorf("no snapshot was taken within %v: perhaps no state service uses %s as its snapshot directory", c.Timeout, c.Folder)}
}

type stateRestoreCmd struct {
	Snapshot string `arg:"" help:"The snapshot."`
	File     string `arg:"" help:"The state file."`
}

// Run replaces the state file with a snapshot and prints where the previous file was moved.
func (c *stateRestoreCmd) Run() error {
	backup, s, err := kvfile.RestoreSnapshot(c.Snapshot, c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s is at revision %d with %d keys\n", c.File, s.Revision, s.Len())
	if backup != "" {
		fmt.Println("the previous state file is now", backup)
	}
	return nil
}

type stateVerifyCmd struct {
	File string `arg:"" help:"A state file that no service uses, or a snapshot."`
}

// Run verifies every record of a state file or snapshot and prints a summary.
func (c *stateVerifyCmd) Run() error {
	s, err := kvfile.Verify(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("valid: revision %d, %d keys, %d leases, %d events retained\n", s.Revision, s.Len(), len(s.LeaseTTLs()), len(s.Events()))
	return nil
}
