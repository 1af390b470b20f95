// Command chalkhub runs a controller of a cluster of machines. Several controllers share the work.
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

// peerQueueMemoryShare is the fraction of the process's memory that messages queued for other
// controllers may take. A task takes about 90 bytes in a queued snapshot and over 200 bytes in the
// core of the controller that owns its machine, so the state of a cluster that fits into memory
// can be sent without reaching this limit.
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
	settings, err := config.Load(f.Config)
	if err == nil && f.Policy != "" {
		policy, err = config.LoadPolicy(f.Policy)
	}
	return settings, policy, err
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
	settings, policy, err := c.load()
	if err != nil {
		return err
	}
	return run(settings, policy)
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("chalkhub"), kong.Description("Cluster scheduler."), kong.Vars{"version": version})
	k.FatalIfErrorf(k.Run())
}

// Shares of the process's memory and sockets, and the setting of the garbage collector.
const (
	// memoryLimitShare is the fraction of the process's memory at which the Go runtime collects
	// garbage more often. A process that uses more than its whole memory is killed.
	memoryLimitShare = 0.7
	// gcPercent makes garbage collections rare, since the heap is small compared with the memory
	// limit. At Go's default of 100 the collector took a tenth of the process's share of the CPU.
	gcPercent = 400
	// userSocketShare is the fraction of the process's sockets for connections from users and
	// workers, workerSocketShare that for calls to workers. The rest is for the state service, the
	// cloud and other controllers.
	userSocketShare   = 3.0 / 5
	workerSocketShare = 1.0 / 4
)

// Timeouts and retries of calls.
const (
	storeTimeout  = time.Second
	statusTimeout = time.Second
	// redialsPerHeartbeat is how many times a lost link to another controller is dialed again within
	// a heartbeat interval.
	redialsPerHeartbeat = 10
)

// limitResources limits the process to one CPU core, sets the Go runtime's memory limit to a share
// of the memory in the settings, and sets how often garbage is collected.
func limitResources(resources config.Resources) {
	runtime.GOMAXPROCS(1) // the process may use one core
	debug.SetMemoryLimit(int64(resources.RAMMB * memoryLimitShare * (1 << 20)))
	debug.SetGCPercent(gcPercent)
}

// newBootID returns a random ID of this process, which tells it from earlier processes of the same
// controller.
func newBootID() (string, error) {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(id[:]), nil
}

// controller is the engine together with the servers that post commands to it.
type controller struct {
	engine *engine.Engine
	api    *api.Server
	links  *peer.Links
}

// newController creates a core with its engine and connects it to its servers and clients.
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

// statusPage returns the operators' status page as JSON. It returns false if the core does not
// respond within statusTimeout or the status cannot be encoded.
func (c *controller) statusPage() (page []byte, ok bool) {
	status, ok := c.engine.Status(statusTimeout)
	if !ok {
		return nil, false
	}
	status.RejectedRequests = c.api.Rejected()
	page, err := json.Marshal(status)
	return page, err == nil
}

// serve runs the engine and the servers until ctx ends or one of them fails. It returns nil if ctx
// ended.
func (c *controller) serve(ctx context.Context, userListener, peerListener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.engine.Run(ctx) })
	group.Go(func() error { return c.api.Serve(ctx, userListener) })
	group.Go(func() error { return c.links.Serve(ctx, peerListener) })
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
	userListener, err := net.Listen("tcp4", settings.Listen)
	if err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp4", settings.PeerListen)
	if err != nil {
		return err
	}
	log.Info("controller started", "version", version, "serve_on", settings.Listen, "peer_listen", settings.PeerListen)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := controller.serve(ctx, userListener, peerListener); err != nil {
		return err
	}
	log.Info("controller stopped")
	return nil
}
