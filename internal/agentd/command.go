package agentd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/internal/artifacts"
	"github.com/chalkhub/chalkhub/internal/protocol"
	"github.com/chalkhub/chalkhub/internal/shim"
)

// outputInterval is how often output that has grown is uploaded.
const outputInterval = 2 * time.Second

// errNoShimStatus says that a shim exited without the status that ends its life.
var errNoShimStatus = errors.New("the shim ended without a word")

// attemptPaths are an attempt's places on disk.
type attemptPaths struct {
	workDir    string
	ownWorkDir bool   // made for this attempt, and removed after it
	output     string // removed after the attempt: what is kept of it is uploaded
	checkpoint string // kept for the task's next attempt
}

func (d *Daemon) makePaths(p *process, description *protocol.JobDescription) (attemptPaths, error) {
	name := fmt.Sprintf("%s.%d.%d", p.job, p.index, p.key.Attempt)
	paths := attemptPaths{
		workDir:    description.Folder,
		output:     filepath.Join(d.settings.Dir, "output", name),
		checkpoint: filepath.Join(d.settings.CheckpointDir, p.job, strconv.Itoa(p.index)),
	}
	if paths.workDir == "" {
		paths.workDir, paths.ownWorkDir = filepath.Join(d.settings.Dir, "work", name), true
	}
	for _, dir := range []string{paths.workDir, filepath.Dir(paths.output), paths.checkpoint} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return paths, err
		}
	}
	return paths, nil
}

func (p attemptPaths) remove() {
	_ = os.Remove(p.output) // it may not have been written
	if p.ownWorkDir {
		_ = os.RemoveAll(p.workDir) // what can't be removed is in nobody's way
	}
}

// environment is what an attempt's command sees; docs/agent.md lists it.
func (d *Daemon) environment(p *process, description *protocol.JobDescription, paths attemptPaths) []string {
	env := []string{
		"PATH=" + os.Getenv("PATH"),
		"HOME=" + os.Getenv("HOME"),
		"LANG=" + os.Getenv("LANG"),
		"CHALK_JOB=" + p.job,
		"CHALK_TASK=" + strconv.Itoa(p.index),
		"CHALK_TASKS=" + strconv.Itoa(description.Job.Tasks),
		"CHALK_ATTEMPT=" + strconv.FormatUint(p.key.Attempt, 10),
		"CHALK_SAVES=" + paths.checkpoint,
		"CHALK_MACHINE=" + d.settings.Agent.Machine,
	}
	for k, v := range description.Env {
		env = append(env, k+"="+v)
	}
	return env
}

// runCommand runs an attempt's command in a shim until nothing of it is left, and returns
// its exit code.
func (d *Daemon) runCommand(ctx context.Context, p *process, description *protocol.JobDescription, leaseUntil time.Duration) (int, error) {
	paths, err := d.makePaths(p, description)
	defer paths.remove()
	if err != nil {
		return exitKilled, err
	}
	s, err := d.startShim()
	if err != nil {
		return exitKilled, err
	}
	spec := shim.Spec{
		Command:    description.Command,
		Env:        d.environment(p, description, paths),
		Dir:        paths.workDir,
		OutputPath: paths.output,
		LeaseUntil: int64(leaseUntil),
	}
	done := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { writeOrders(ctx, p, s.in, done, spec) })
	background.Go(func() { d.uploadOutput(p, paths.output, done) })
	code, err := d.awaitExit(p, s)
	close(done)
	background.Wait()
	return code, err
}

// shimProcess is a shim that runs.
type shimProcess struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out io.Reader
}

func (d *Daemon) startShim() (*shimProcess, error) {
	cmd := exec.Command(d.settings.ShimCommand[0], d.settings.ShimCommand[1:]...)
	// A shim mostly waits; on a large machine, more threads each would add up.
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	cmd.Stderr = os.Stderr
	cmd.ExtraFiles = []*os.File{d.lock}
	if d.settings.LivenessFile != nil {
		cmd.ExtraFiles = append(cmd.ExtraFiles, d.settings.LivenessFile)
	}
	// A group of its own: a signal to the agent's group is no order to its tasks.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start the shim: %w", err)
	}
	return &shimProcess{cmd: cmd, in: in, out: out}, nil
}

// awaitExit reads a shim's statuses until it exits, and returns the command's exit code.
func (d *Daemon) awaitExit(p *process, s *shimProcess) (int, error) {
	code, err := exitKilled, errNoShimStatus
	for lines := bufio.NewScanner(s.out); lines.Scan(); {
		var status shim.Status
		if json.Unmarshal(lines.Bytes(), &status) != nil || !status.Exited {
			continue
		}
		code, err = status.ExitCode, nil
		if status.Error != "" {
			err = errors.New(status.Error)
		}
		if status.LeaseExpired {
			d.settings.Logger.Warn("task killed at lease expiry", "task", p.key.Task, "attempt", p.key.Attempt)
		}
	}
	_ = s.in.Close() // a shim that has exited has closed it
	if waitErr := s.cmd.Wait(); waitErr != nil && err == nil {
		err = waitErr
	}
	return code, err
}

// writeOrders writes a shim's spec and orders. Once ctx ends, the order to kill is all that
// follows.
func writeOrders(ctx context.Context, p *process, in io.Writer, done <-chan struct{}, spec shim.Spec) {
	write := func(line any) {
		if b, err := json.Marshal(line); err == nil {
			_, _ = in.Write(append(b, '\n')) // awaitExit finds out that a shim has exited
		}
	}
	write(spec)
	for {
		select {
		case order := <-p.orders:
			write(order)
		case <-ctx.Done():
			write(shim.Order{Kill: true})
			return
		case <-done:
			return
		}
	}
}

// uploadOutput uploads an attempt's output as it grows, and the last of it at the end.
func (d *Daemon) uploadOutput(p *process, path string, done <-chan struct{}) {
	var uploaded int64 = -1 // size of the file at the last upload; an empty one counts
	for last := false; !last; {
		select {
		case <-done:
			last = true
		case <-time.After(outputInterval):
		}
		uploaded = d.uploadGrowth(p, path, uploaded)
	}
}

// uploadGrowth uploads the end of an output file whose size has changed, and returns the
// size that is uploaded now. What failed is tried again at the next interval.
func (d *Daemon) uploadGrowth(p *process, path string, uploaded int64) int64 {
	f, err := os.Open(path)
	if err != nil {
		return uploaded // nothing is written yet
	}
	defer func() { _ = f.Close() }() // it was only read
	stat, err := f.Stat()
	if err != nil || stat.Size() == uploaded {
		return uploaded
	}
	b := make([]byte, min(stat.Size(), artifacts.MaxOutputBytes))
	n, _ := f.ReadAt(b, stat.Size()-int64(len(b))) // a file that shrank is uploaded shorter
	if d.artifacts.UploadOutput(p.job, p.index, p.key.Attempt, b[:n]) != nil {
		return uploaded
	}
	return stat.Size()
}
