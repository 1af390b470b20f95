// Command chalkhub is the controller of a cluster of machines.
package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/goccy/go-json"
	"golang.org/x/sync/errgroup"

	"github.com/chalkhub/chalkhub/internal/api"
	"github.com/chalkhub/chalkhub/internal/cloud"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/engine"
	"github.com/chalkhub/chalkhub/internal/kvclient"
	"github.com/chalkhub/chalkhub/internal/peer"
	"github.com/chalkhub/chalkhub/internal/worker"
)

// version is set by the linker in releases.
var version = "devel"

// peerQueueShare is the share of the process's memory that may wait to be sent to other
// controllers. A task takes about 90 bytes in a whole picture that waits and over 200 in the core
// of the machine's owner, so a fleet that fits into the memory is told of before this binds.
const peerQueueShare = 0.25

type cli struct {
	Run     runCmd           `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Check   checkCmd         `cmd:"" help:"Check a settings file and a policy script, and say what is wrong."`
	Version kong.VersionFlag `help:"Print the version."`
}

type files struct {
	Config string `required:"" placeholder:"FILE" help:"Settings file that the platform hands over (JSON)."`
	Policy string `placeholder:"FILE" help:"Operators' policy script (Starlark)."`
}

func (f *files) load() (*config.Settings, config.Policy, error) {
	policy := config.DefaultPolicy()
	set, err := config.Load(f.Config)
	if err == nil && f.Policy != "" {
		policy, err = config.LoadPolicy(f.Policy)
	}
	return set, policy, err
}

type checkCmd struct{ files }

func (c *checkCmd) Run() error {
	if _, _, err := c.load(); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

type runCmd struct{ files }

func (c *runCmd) Run() error {
	set, policy, err := c.load()
	if err != nil {
		return err
	}
	return run(set, policy)
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("chalkhub"), kong.Description("Cluster scheduler."), kong.Vars{"version": version})
	k.FatalIfErrorf(k.Run())
}

func logger() (*slog.Logger, slog.Level) {
	level := slog.LevelInfo
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), level
}

func run(set *config.Settings, policy config.Policy) error {
	// One core at a time is ours, and memory over the limit ends the process.
	runtime.GOMAXPROCS(1)
	// The heap is small beside that limit, so the collector may run seldom: at its
	// usual pace it took a tenth of our share of the processor.
	debug.SetMemoryLimit(int64(set.Site.Resources.RAMMB * 0.7 * (1 << 20)))
	debug.SetGCPercent(400)
	log, level := logger()
	log = log.With("node", set.Label)

	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return err
	}
	c := core.New(set, policy, hex.EncodeToString(id[:]), level <= slog.LevelDebug)
	e := engine.New(c, log)

	span := func(s float64) time.Duration { return config.Seconds(s) }
	report := span(set.Site.Workers.ReportS)
	siblings := map[string]string{}
	for _, s := range set.Siblings {
		siblings[s.Label] = s.Address
	}
	server := api.New(e, set.Site.Resources.MaxSockets*3/5)
	status := func() ([]byte, bool) {
		s, ok := e.Status(time.Second)
		if !ok {
			return nil, false
		}
		s.RejectedRequests = server.Rejected()
		b, err := json.Marshal(s)
		return b, err == nil
	}
	maxQueued := int(set.Site.Resources.RAMMB * peerQueueShare * (1 << 20))
	links := peer.New(siblings, report/10, report, maxQueued, e.Post, status)
	out := engine.Outside{
		State:  kvclient.New(set.External.State, time.Second, set.Site.Resources.MaxSockets, e.Clock),
		Cloud:  cloud.New(set.External.Cloud),
		Worker: worker.New(set.Site.Resources.MaxSockets/4, report),
		Peer:   links,
	}
	e.Connect(out)

	users, err := net.Listen("tcp4", set.Listen)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp4", set.PeerListen)
	if err != nil {
		return err
	}
	log.Info("started", "version", version, "serve_on", set.Listen, "peer_listen", set.PeerListen)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return e.Run(ctx) })
	g.Go(func() error { return server.Serve(ctx, users) })
	g.Go(func() error { return links.Serve(ctx, peers) })
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	log.Info("stopped")
	return nil
}
