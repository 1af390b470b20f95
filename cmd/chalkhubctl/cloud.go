package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/internal/local"
	"github.com/chalkhub/chalkhub/internal/localcloud"
	"github.com/chalkhub/chalkhub/internal/logging"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

type cloudCmd struct {
	Config string `required:"" placeholder:"FILE" help:"Settings (JSON)."`
}

// Run runs the local cloud, whose machines are processes on this host, until ctx ends or the
// cloud fails.
func (c *cloudCmd) Run(ctx context.Context) error {
	var f local.CloudFile
	if err := readJSON(c.Config, &f); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	l, err := listen(f.Listen)
	if err != nil {
		return err
	}
	start := func(m protocol.Instance, t localcloud.MachineType, listener, liveness *os.File) (*exec.Cmd, error) {
		return agentCommand(self, &f, m, t, []*os.File{listener, liveness})
	}
	cloud, err := localcloud.Open(f.Cloud, filepath.Join(f.Dir, "cloud.jsonl"), filepath.Join(f.Dir, "machines"), start, logging.New(os.Stderr))
	if err != nil {
		return err
	}
	return cloud.Serve(ctx, l)
}

// agentCommand writes the settings file of a machine's agent and returns the command that starts
// the agent. The agent inherits the given files as descriptors 3 and up.
func agentCommand(self string, f *local.CloudFile, m protocol.Instance, t localcloud.MachineType, inherited []*os.File) (*exec.Cmd, error) {
	dir := filepath.Join(f.Dir, "machines", m.Name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "agent.json")
	b, err := json.Marshal(agentFile(f, m, t, dir))
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
	cmd.ExtraFiles = inherited
	return cmd, nil
}

func agentFile(f *local.CloudFile, m protocol.Instance, t localcloud.MachineType, dir string) *local.AgentFile {
	return &local.AgentFile{
		Machine:       m.Name,
		Type:          m.Type,
		Zone:          m.Zone,
		Spot:          m.Spot,
		CPUs:          t.CPUs,
		GPUs:          t.GPUs,
		MemoryGB:      t.MemoryGB,
		CacheGB:       t.CacheGB,
		FetchGBps:     t.FetchGBps,
		Controllers:   f.Cluster.Controllers,
		Artifacts:     f.Cluster.Artifacts,
		Dir:           dir,
		CheckpointDir: filepath.Join(f.Dir, "saves"),
		Workers:       f.Workers,
	}
}
