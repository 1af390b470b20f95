package shim

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-json"
)

// TestMain runs the shim instead of the tests if CHALK_TEST_SHIM is set, so that tests can start this
// program as a shim process.
func TestMain(m *testing.M) {
	if os.Getenv("CHALK_TEST_SHIM") == "" {
		os.Exit(m.Run())
	}
	if err := Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

type shimProcess struct {
	t          *testing.T
	cmd        *exec.Cmd
	in         io.WriteCloser
	out        *bufio.Scanner
	outputPath string
}

func startShim(t *testing.T, script string, leaseDuration time.Duration) *shimProcess {
	t.Helper()
	sp := &shimProcess{t: t, cmd: exec.Command(os.Args[0]), outputPath: filepath.Join(t.TempDir(), "output")}
	sp.cmd.Env = append(os.Environ(), "CHALK_TEST_SHIM=1")
	sp.cmd.Stderr = os.Stderr
	var err error
	if sp.in, err = sp.cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	out, err := sp.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := sp.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = sp.cmd.Process.Kill(), sp.cmd.Wait() }) // the shim may have exited already
	sp.out = bufio.NewScanner(out)
	sp.send(Spec{Command: []string{"sh", "-c", script}, Env: []string{"PATH=" + os.Getenv("PATH")}, Dir: filepath.Dir(sp.outputPath), OutputPath: sp.outputPath, LeaseUntil: int64(Clock() + leaseDuration)})
	if status := sp.readStatus(); status.PID == 0 {
		t.Fatalf("the command has not started: %+v", status)
	}
	return sp
}

func (sp *shimProcess) send(v any) {
	sp.t.Helper()
	b, err := json.Marshal(v)
	if err == nil {
		_, err = sp.in.Write(append(b, '\n'))
	}
	if err != nil {
		sp.t.Fatal(err)
	}
}

func (sp *shimProcess) readStatus() (status Status) {
	sp.t.Helper()
	if !sp.out.Scan() {
		sp.t.Fatal("the shim closed its output without another status")
	}
	if err := json.Unmarshal(sp.out.Bytes(), &status); err != nil {
		sp.t.Fatal(err)
	}
	return status
}

// waitForOutputPIDs waits until the command has written at least n process ids to its output, and
// returns them.
func (sp *shimProcess) waitForOutputPIDs(n int) (pids []int) {
	sp.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		b, _ := os.ReadFile(sp.outputPath)
		if fields := strings.Fields(string(b)); len(fields) >= n {
			for _, field := range fields {
				pid, err := strconv.Atoi(field)
				if err != nil {
					sp.t.Fatalf("the command wrote %q, want only process ids", b)
				}
				pids = append(pids, pid)
			}
			return pids
		}
	}
	sp.t.Fatal("the command has not written its process ids within 10 s")
	return nil
}

func (sp *shimProcess) requireExited(pids []int) {
	sp.t.Helper()
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); err != syscall.ESRCH {
			sp.t.Fatalf("process %d still exists: kill returned %v, want ESRCH", pid, err)
		}
	}
}

// escapingScript starts a child and a grandchild that leave the command's process group and session.
// The command ignores SIGTERM, its child also SIGHUP and SIGINT. Each writes its process id and
// keeps running.
const escapingScript = `trap '' TERM; echo $$; setsid sh -c 'trap "" TERM HUP INT; echo $$; (setsid sh -c "echo \$\$; sleep 300") & sleep 300' & sleep 300`

// Guards against descendants that outlive the command because they have left its process group and
// session. For each way in which the shim ends a command, no process may exist any more when the
// shim reports Exited.
func TestNoDescendantSurvivesEndOfCommand(t *testing.T) {
	for name, endCommand := range map[string]func(*shimProcess){
		"kill order":                      func(sp *shimProcess) { sp.send(Order{Kill: true}) },
		"agent closes the pipe":           func(sp *shimProcess) { _ = sp.in.Close() },
		"lease expires without a renewal": func(sp *shimProcess) { sp.send(Order{LeaseUntil: int64(Clock() + 300*time.Millisecond)}) },
		"lease end set in the past":       func(sp *shimProcess) { sp.send(Order{LeaseUntil: int64(Clock() - time.Second)}) },
	} {
		t.Run(name, func(t *testing.T) {
			sp := startShim(t, escapingScript, time.Hour)
			pids := sp.waitForOutputPIDs(3)
			endCommand(sp)
			status := sp.readStatus()
			if !status.Exited || status.ExitCode != -1 || status.LeaseExpired != strings.Contains(name, "lease") {
				t.Fatalf("status %+v, want Exited with code -1, and LeaseExpired only if the lease ended", status)
			}
			sp.requireExited(pids)
			if err := sp.cmd.Wait(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// A command that exits after SIGTERM keeps its own exit code. When a command exits by itself, the shim
// kills the descendants that it left behind.
func TestExitCodeReportedAndDescendantsKilledAfterExit(t *testing.T) {
	sp := startShim(t, `trap 'exit 75' TERM; echo $$; while :; do sleep 0.05; done`, time.Hour)
	sp.waitForOutputPIDs(1)
	sp.send(Order{Terminate: true})
	if status := sp.readStatus(); !status.Exited || status.ExitCode != 75 {
		t.Fatalf("status after SIGTERM %+v, want Exited with code 75", status)
	}
	sp = startShim(t, `setsid sh -c 'echo $$; sleep 300' & while [ ! -s output ]; do sleep 0.01; done; exit 0`, time.Hour)
	pids := sp.waitForOutputPIDs(1)
	if status := sp.readStatus(); !status.Exited || status.ExitCode != 0 {
		t.Fatalf("status %+v, want Exited with code 0", status)
	}
	sp.requireExited(pids)
}

// Guards against a command that outlives its lease because the shim itself was stopped (SIGSTOP) when
// the lease expired: once continued, the shim must kill the command.
func TestPausedShimKillsAfterLeaseExpiry(t *testing.T) {
	sp := startShim(t, escapingScript, 400*time.Millisecond)
	pids := sp.waitForOutputPIDs(3)
	if err := sp.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(700 * time.Millisecond)
	if err := sp.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if status := sp.readStatus(); !status.Exited || !status.LeaseExpired {
		t.Fatalf("status %+v, want Exited and LeaseExpired", status)
	}
	sp.requireExited(pids)
}
