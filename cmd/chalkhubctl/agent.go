package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/internal/agent"
	"github.com/chalkhub/chalkhub/internal/agentd"
	"github.com/chalkhub/chalkhub/internal/config"
	"github.com/chalkhub/chalkhub/internal/local"
	"github.com/chalkhub/chalkhub/internal/localcloud"
	"github.com/chalkhub/chalkhub/internal/logging"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/shim"
)

// File descriptors that an agent inherits from the local cloud.
const (
	listenerFD = 3
	livenessFD = 4
)

type agentCmd struct {
	Config string `required:"" placeholder:"FILE" help:"Settings (JSON), see docs/agent.md."`
	// Inherit is set by the local cloud when it starts an agent. File descriptor 3 is then the
	// agent's listener. Descriptor 4 is the write end of a pipe, which the agent and its shims hold
	// open until the last of them exits: the cloud detects that by end-of-file on the read end.
	// Standard input carries a localcloud.AgentMessage in each line and ends when the cloud exits.
	Inherit bool `hidden:""`
}

func (c *agentCmd) check(f *local.AgentFile) error {
	textsSet := f.Machine != "" && f.Artifacts != "" && f.Dir != "" && f.CheckpointDir != ""
	if !textsSet || len(f.Controllers) == 0 || !(f.CPUs > 0 && f.Workers.HeartbeatS > 0 && f.Workers.LeaseS > 0) {
		return fmt.Errorf("%s: machine, cpus, controllers, depot, folder, saves, report_s and lease_s must be set", c.Config)
	}
	return nil
}

// Run runs an agent until ctx ends or the daemon fails. With --inherit it also ends when the
// local cloud that started the agent exits.
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
	settings := agentSettings(&f, []string{self, "shim"})
	var l net.Listener
	if c.Inherit {
		l, err = net.FileListener(os.NewFile(listenerFD, "listener"))
		settings.LivenessFile = os.NewFile(livenessFD, "alive")
	} else {
		l, err = listen(f.Listen)
	}
	if err != nil {
		return err
	}
	settings.Agent.Addr = l.Addr().String()
	daemon, err := agentd.New(settings)
	if err != nil {
		return err
	}
	if c.Inherit {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		go func() { // returns when standard input ends or this process exits
			defer cancel() // the cloud has exited, so its machines must stop too
			readNotices(os.Stdin, daemon)
		}()
	}
	return daemon.Serve(ctx, l)
}

// agentSettings converts a settings file to the settings of the agent's daemon.
func agentSettings(f *local.AgentFile, shimCommand []string) agentd.Settings {
	settings := agentd.Settings{
		ArtifactsAddr: f.Artifacts,
		Dir:           f.Dir,
		CheckpointDir: f.CheckpointDir,
		ShimCommand:   shimCommand,
		Logger:        logging.New(os.Stderr).With("machine", f.Machine),
		Agent: agent.Settings{
			Machine:   f.Machine,
			Type:      f.Type,
			Zone:      f.Zone,
			Spot:      f.Spot,
			CPUs:      f.CPUs,
			GPUs:      f.GPUs,
			MemoryGB:  f.MemoryGB,
			CacheGB:   f.CacheGB,
			FetchGBps: f.FetchGBps,
			Workers:   f.Workers,
		},
	}
	for _, c := range f.Controllers {
		settings.Agent.Controllers = append(settings.Agent.Controllers, protocol.Redirect{ReportTo: c.Label})
		settings.ControllerAddrs = append(settings.ControllerAddrs, c.ServeAddr)
	}
	return settings
}

// readNotices forwards the cloud's preemption notices to the daemon until the stream ends. It
// ignores lines that it cannot parse.
func readNotices(cloud io.Reader, daemon *agentd.Daemon) {
	for lines := bufio.NewScanner(cloud); lines.Scan(); {
		var message localcloud.AgentMessage
		if json.Unmarshal(lines.Bytes(), &message) == nil && message.NoticeS > 0 {
			daemon.NotifyPreemption(config.Seconds(message.NoticeS))
		}
	}
}

type shimCmd struct{}

// Run runs a shim, which exchanges messages with its agent over standard input and output.
func (c *shimCmd) Run() error { return shim.Run(os.Stdin, os.Stdout) }
