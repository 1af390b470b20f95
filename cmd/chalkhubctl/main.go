// Command chalkhubctl is the command line tool for users and operators of chalkhub. It submits and
// shows jobs, and it runs the services that a cluster needs besides its controllers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"github.com/chalkhub/chalkhub/client"
	"github.com/chalkhub/chalkhub/internal/local"
)

// version is set by the linker in releases.
var version = "devel"

type cli struct {
	Cluster     string   `env:"CHALK_CLUSTER" default:"chalk-data" placeholder:"FOLDER" help:"Folder of a local cluster, or a file that tells where a cluster listens."`
	Controllers []string `env:"CHALK_CONTROLLERS" placeholder:"HOST:PORT" help:"Controllers' addresses; then --cluster is not read."`
	Depot       string   `env:"CHALK_DEPOT" placeholder:"HOST:PORT" help:"The depot's address, with --controllers."`
	Output      string   `enum:"table,json" default:"table" help:"table for people, json for programs."`

	Submit submitCmd `cmd:"" help:"Hand in a job."`
	Status statusCmd `cmd:"" help:"Show a job, and first of all why it waits."`
	Wait   waitCmd   `cmd:"" help:"Wait until jobs are over. Exit 0: all done, 4: one was cancelled, 5: not in time."`
	Abort  abortCmd  `cmd:"" help:"Cancel a job."`
	Logs   logsCmd   `cmd:"" help:"Show what a job's tasks wrote."`
	Jobs   jobsCmd   `cmd:"" help:"List the newest jobs."`
	Top    topCmd    `cmd:"" help:"Watch the cluster."`

	Local   localCmd   `cmd:"" help:"Run a whole cluster on this machine."`
	State   stateCmd   `cmd:"" help:"The state service: run it, take, check and restore snapshots."`
	Agent   agentCmd   `cmd:"" help:"Run the agent of a machine."`
	Cloud   cloudCmd   `cmd:"" hidden:"" help:"Rent processes of this machine as machines."`
	Shim    shimCmd    `cmd:"" hidden:"" help:"Run one task's command for an agent."`
	Metrics metricsCmd `cmd:"" help:"Serve the controllers' figures to a monitoring system."`

	Completion completionCmd    `cmd:"" help:"Print a script for a shell that completes this command."`
	Version    kong.VersionFlag `help:"Print the version."`
}

// Exit codes for use in scripts. All other errors of the commands exit with 1.
const (
	exitMalformed  = 2
	exitImpossible = 3
	exitCancelled  = 4
	exitTimeout    = 5
	exitNotFound   = 6
)

// exitError is an error that sets the exit code of the process.
type exitError struct {
	code int
	error
}

func exitCode(err error) int {
	var e exitError
	switch {
	case errors.As(err, &e):
		return e.code
	case errors.Is(err, client.ErrMalformed):
		return exitMalformed
	case errors.Is(err, client.ErrImpossible):
		return exitImpossible
	case errors.Is(err, client.ErrNotNow):
		return exitTimeout
	case errors.Is(err, client.ErrUnknown):
		return exitNotFound
	}
	return 1
}

// addresses returns the addresses given with --controllers and --depot. Without --controllers, it
// returns those of the cluster named with --cluster.
func (c *cli) addresses() (*local.Addresses, error) {
	if len(c.Controllers) == 0 {
		return local.ReadAddresses(c.Cluster)
	}
	a := &local.Addresses{Artifacts: c.Depot}
	for _, h := range c.Controllers {
		a.Controllers = append(a.Controllers, local.Controller{Label: h, ServeAddr: h})
	}
	return a, nil
}

func (c *cli) client() (*client.Client, error) {
	a, err := c.addresses()
	if err != nil {
		return nil, err
	}
	return a.Client()
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("chalkhubctl"), kong.Description("Jobs and clusters of chalkhub."), kong.Vars{"version": version},
		kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true, Summary: true}))
	kongplete.Complete(parser) // exits the process if a shell asks for completions
	k, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	k.BindTo(ctx, (*context.Context)(nil))
	err = k.Run(&c)
	stop()
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(os.Stderr, "chalkhubctl: "+text)
	}
	os.Exit(exitCode(err))
}
