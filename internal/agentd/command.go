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

// outputInterval is the interval between uploads of an attempt's output, if it has changed.
const outputInterval = 2 * time.Second

// errNoShimStatus reports that a shim exited without writing the final status, which has the
// command's exit code.
var errNoShimStatus = errors.New("the shim exited without reporting the command's exit code")

// attemptPaths are an attempt's files and directories.
type attemptPaths struct {
	workDir    string
	ownWorkDir bool   // workDir was created for this attempt, and is removed when the attempt has ended
	output     string // file with the command's output, whose end is uploaded; removed when the attempt has ended
	checkpoint string // directory that the task's attempts share; kept when the attempt has ended
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
	_ = os.Remove(p.output) // the file may not exist
	if p.ownWorkDir {
		_ = os.RemoveAll(p.workDir) // files that can't be removed are harmless: no other attempt uses this path
	}
}

// environment returns the environment variables of an attempt's command; docs/agent.md lists
// them.
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

// runCommand runs an attempt's command in a shim until none of its processes is left, and
// returns its exit code. When ctx is cancelled, the command is killed.
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

// shimProcess is a running shim with its standard input and output.
type shimProcess struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out io.Reader
}

func (d *Daemon) startShim() (*shimProcess, error) {
	cmd := exec.Command(d.settings.ShimCommand[0], d.settings.ShimCommand[1:]...)
	// A shim is idle most of the time. By default each would use a thread per CPU, which
	// would be many threads on a large machine with many shims.
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	cmd.Stderr = os.Stderr
	cmd.ExtraFiles = []*os.File{d.lock}
	if d.settings.LivenessFile != nil {
		cmd.ExtraFiles = append(cmd.ExtraFiles, d.settings.LivenessFile)
	}
	// The shim gets its own process group, so that a signal to the agent's group doesn't reach
	// the shim and its task.
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

// awaitExit reads a shim's status lines until it exits, and returns the command's exit code.
// The error is set if the command could not be started or the shim failed.
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
	_ = s.in.Close() // the shim has exited, so no process reads this pipe
	if waitErr := s.cmd.Wait(); waitErr != nil && err == nil {
		err = waitErr
	}
	return code, err
}

// writeOrders writes a shim's spec and then its orders, until done is closed. Once ctx is
// cancelled, it writes the order to kill the command and returns.
func writeOrders(ctx context.Context, p *process, in io.Writer, done <-chan struct{}, spec shim.Spec) {
	write := func(line any) {
		if b, err := json.Marshal(line); err == nil {
			_, _ = in.Write(append(b, '\n')) // a write fails if the shim has exited, which awaitExit reports
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

// uploadOutput uploads an attempt's output at each interval if it has changed, and a last time
// once done is closed.
func (d *Daemon) uploadOutput(p *process, path string, done <-chan struct{}) {
	var uploaded int64 = -1 // size of the file at the last upload; -1, so that an empty file is uploaded too
	for last := false; !last; {
		select {
		case <-done:
			last = true
		case <-time.After(outputInterval):
		}
		uploaded = d.uploadGrowth(p, path, uploaded)
	}
}

// uploadGrowth uploads the last artifacts.MaxOutputBytes bytes of an output file if its size
// differs from the uploaded one, and returns the size that is uploaded now. If the upload fails, it
// returns the old size, so that the next call tries again.
func (d *Daemon) uploadGrowth(p *process, path string, uploaded int64) int64 {
	f, err := os.Open(path)
	if err != nil {
		return uploaded // the shim has not created the file yet
	}
	defer func() { _ = f.Close() }() // the file was only read, so no write can be lost
	stat, err := f.Stat()
	if err != nil || stat.Size() == uploaded {
		return uploaded
	}
	b := make([]byte, min(stat.Size(), artifacts.MaxOutputBytes))
	n, _ := f.ReadAt(b, stat.Size()-int64(len(b))) // if the file shrank since Stat, less is uploaded
	if d.artifacts.UploadOutput(p.job, p.index, p.key.Attempt, b[:n]) != nil {
		return uploaded
	}
	return stat.Size()
}
