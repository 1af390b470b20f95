package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/chalkhub/chalkhub/internal/local"
	"github.com/chalkhub/chalkhub/internal/logging"
)

type localCmd struct {
	Folder   string `default:"chalk-data" help:"Folder that takes all that the cluster writes."`
	Settings string `placeholder:"FILE" help:"Settings (YAML): controllers, zones, teams, machine types; see docs/local.md."`
	Policy   string `placeholder:"FILE" help:"Operators' policy script for the controllers (Starlark)."`
	Chalkhub string `placeholder:"FILE" help:"The controller's program; found beside this one or in target, else built."`
	Keep     bool   `help:"Leave the folder for a second run on the same data; without it the folder must be new, and is removed at the end."`
	Demo     bool   `help:"Run a small array of real commands, end the leader in the middle of it, then leave nothing behind."`
}

// controllerBuildPath is where the controller program is built, relative to the root of the source
// tree.
const controllerBuildPath = "target/chalkhub"

// Reasons why there is no controller program and none can be built.
var (
	errControllerNotFound = errors.New("controller program not found: name it with --chalkhub, or run this command in the root of the source tree")
	errGoNotFound         = errors.New("the controller must be built first, which needs Go: install Go, or name a built program with --chalkhub")
)

// findController returns the path of the controller program: the one named with --chalkhub, the
// one next to this program, or the one in the source tree, which it builds if it is missing.
func (c *localCmd) findController(ctx context.Context) (string, error) {
	if c.Chalkhub != "" {
		return filepath.Abs(c.Chalkhub)
	}
	var candidates []string
	if self, err := os.Executable(); err == nil {
		candidates = append(candidates, filepath.Join(filepath.Dir(self), "chalkhub"))
	}
	candidates = append(candidates, controllerBuildPath)
	for _, path := range candidates {
		if stat, err := os.Stat(path); err == nil && !stat.IsDir() {
			return filepath.Abs(path)
		}
	}
	if err := checkBuildable(); err != nil {
		return "", err
	}
	return buildController(ctx)
}

// checkBuildable returns an error that names what is missing to build the controller program, or
// nil if it can be built.
func checkBuildable() error {
	if _, err := os.Stat("cmd/chalkhub/main.go"); err != nil {
		return errControllerNotFound
	}
	if _, err := exec.LookPath("go"); err != nil {
		return errGoNotFound
	}
	compiler := cmp.Or(os.Getenv("CC"), "gcc")
	if _, err := exec.LookPath(compiler); err != nil {
		return fmt.Errorf("the controller must be built first, which needs a C compiler and %s is not in PATH: install it, or name a built program with --chalkhub", compiler)
	}
	return nil
}

func buildController(ctx context.Context) (string, error) {
	fmt.Fprintln(os.Stderr, "building "+controllerBuildPath)
	cmd := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", controllerBuildPath, "./cmd/chalkhub")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the controller failed: %s", strings.TrimSpace(string(out)))
	}
	return filepath.Abs(controllerBuildPath)
}

// chooseDir returns the absolute path of the cluster's directory. For the demonstration this is a
// new temporary directory. Otherwise it is the one named with --folder, which must be missing or
// empty unless --keep is given.
func (c *localCmd) chooseDir() (string, error) {
	if c.Demo {
		dir, err := os.MkdirTemp("", "chalk-demo-")
		if err != nil {
			return "", err
		}
		return filepath.Abs(dir)
	}
	if entries, _ := os.ReadDir(c.Folder); len(entries) > 0 && !c.Keep {
		return "", fmt.Errorf("%s is not empty: use --keep to continue with the data in it, or choose another --folder", c.Folder)
	}
	return filepath.Abs(c.Folder)
}

// Run runs a cluster until ctx ends, or the demonstration until it is over. Without --keep it
// removes the cluster's directory at the end.
func (c *localCmd) Run(ctx context.Context) (err error) {
	startedAt := time.Now()
	options := local.Options{PolicyFile: c.Policy, Logger: logging.New(os.Stderr)}
	if c.Demo {
		options.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	if options.Settings, err = local.Read(c.Settings); err != nil {
		return err
	}
	if options.Dir, err = c.chooseDir(); err != nil {
		return err
	}
	if options.ControllerProgram, err = c.findController(ctx); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	options.CtlCommand = []string{self}
	cluster, err := local.Start(ctx, options)
	if err != nil {
		return err
	}
	defer func() {
		err = errors.Join(err, cluster.Close())
		if !c.Keep {
			err = errors.Join(err, os.RemoveAll(options.Dir))
		}
	}()
	if c.Demo {
		return runDemo(ctx, cluster, startedAt)
	}
	fmt.Printf("%d controllers are ready, in %s\n", len(cluster.Controllers), options.Dir)
	fmt.Printf("  chalkhubctl --cluster %s submit -- echo hello\n  chalkhubctl --cluster %s top\nPress Ctrl-C to stop the cluster.\n", options.Dir, options.Dir)
	cluster.Wait()
	return nil
}
