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
	"github.com/chalkhub/chalkhub/internal/logging"
	"github.com/chalkhub/chalkhub/internal/peer"
	"github.com/chalkhub/chalkhub/internal/worker"
)

// version is set by the linker in releases.
var version = "devel"

// peerQueueMemoryShare is the share of the process's memory that may wait to be sent to other
// controllers. A task takes about 90 bytes in a snapshot that waits and over 200 in the core
// of the machine's owner, so a fleet that fits into the memory is told of before this binds.
const peerQueueMemoryShare = 0.25

type cli struct {
	Run     runCmd           `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Check   checkCmd         `cmd:"" help:"Check a settings file and a policy script, and say what is wrong."`
	Version kong.VersionFlag `help:"Print the version."`
}

type settingsFiles struct {
	Config string `required:"" placeholder:"FILE" help:"Settings file that the platform hands over (JSON)."`
	Policy string `placeholder:"FILE" help:"Operators' policy script (Starlark)."`
}

func (f *settingsFiles) load() (*config.Settings, config.Policy, error) {
	policy := config.DefaultPolicy()
	set, err := config.Load(f.Config)
	if err == nil && f.Policy != "" {
		policy, err = config.LoadPolicy(f.Policy)
	}
	return set, policy, err
}

type checkCmd struct{ settingsFiles }

func (c *checkCmd) Run() error {
	if _, _, err := c.load(); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

type runCmd struct{ settingsFiles }

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

// Shares of what the process may use.
const (
	// memoryLimitShare of its memory may be taken before the collector works harder: over all of
	// it the process is killed.
	memoryLimitShare = 0.7
	// gcPercent lets the collector run seldom, since the heap is small beside that limit: at its
	// usual pace it took a tenth of the share of the processor.
	gcPercent = 400
	// userSocketShare of its sockets are for users and workers, workerSocketShare for calls to
	// workers; the rest is for the outside systems and other controllers.
	userSocketShare   = 3.0 / 5
	workerSocketShare = 1.0 / 4
)

// Bounds of calls.
const (
	storeTimeout  = time.Second
	statusTimeout = time.Second
	// redialsPerHeartbeat is how often a lost link is dialled again within a heartbeat interval.
	redialsPerHeartbeat = 10
)

// limitResources keeps the process to what the settings give it.
func limitResources(resources config.Resources) {
	runtime.GOMAXPROCS(1) // one core at a time is ours
	debug.SetMemoryLimit(int64(resources.RAMMB * memoryLimitShare * (1 << 20)))
	debug.SetGCPercent(gcPercent)
}

// newBootID names this process: it differs in every one.
func newBootID() (string, error) {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(id[:]), nil
}

// controller is the engine with the servers that bring its commands.
type controller struct {
	engine *engine.Engine
	api    *api.Server
	links  *peer.Links
}

// newController connects a core to its servers and clients.
func newController(settings *config.Settings, policy config.Policy, bootID string, log *slog.Logger) *controller {
	site, sockets := &settings.Site, settings.Site.Resources.MaxSockets
	c := &controller{engine: engine.New(core.New(settings, policy, bootID, logging.Level() <= slog.LevelDebug), log)}
	c.api = api.New(c.engine, int(float64(sockets)*userSocketShare))
	heartbeat := config.Seconds(site.Workers.HeartbeatS)
	c.links = peer.New(peer.Settings{
		Siblings: siblingAddresses(settings), RetryInterval: heartbeat / redialsPerHeartbeat, Timeout: heartbeat,
		MaxQueuedBytes: int(site.Resources.RAMMB * peerQueueMemoryShare * (1 << 20)),
	}, c.engine.Post, c.statusPage)
	c.engine.Connect(engine.Clients{
		Store:   kvclient.New(settings.External.Store, storeTimeout, sockets, c.engine.Clock),
		Cloud:   cloud.New(settings.External.Cloud),
		Workers: worker.New(int(float64(sockets)*workerSocketShare), heartbeat),
		Peers:   c.links,
	})
	return c
}

func siblingAddresses(settings *config.Settings) map[string]string {
	addresses := map[string]string{}
	for _, sibling := range settings.Siblings {
		addresses[sibling.Label] = sibling.Address
	}
	return addresses
}

// statusPage is the operators' page as JSON; ok is false if the core does not answer in time.
func (c *controller) statusPage() (page []byte, ok bool) {
	status, ok := c.engine.Status(statusTimeout)
	if !ok {
		return nil, false
	}
	status.RejectedRequests = c.api.Rejected()
	page, err := json.Marshal(status)
	return page, err == nil
}

// serve works until ctx ends or a part fails.
func (c *controller) serve(ctx context.Context, users, peers net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.engine.Run(ctx) })
	group.Go(func() error { return c.api.Serve(ctx, users) })
	group.Go(func() error { return c.links.Serve(ctx, peers) })
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func run(settings *config.Settings, policy config.Policy) error {
	limitResources(settings.Site.Resources)
	log := logging.New(os.Stderr).With("node", settings.Label)
	bootID, err := newBootID()
	if err != nil {
		return err
	}
	controller := newController(settings, policy, bootID, log)
	users, err := net.Listen("tcp4", settings.Listen)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp4", settings.PeerListen)
	if err != nil {
		return err
	}
	log.Info("started", "version", version, "serve_on", settings.Listen, "peer_listen", settings.PeerListen)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := controller.serve(ctx, users, peers); err != nil {
		return err
	}
	log.Info("stopped")
	return nil
}
