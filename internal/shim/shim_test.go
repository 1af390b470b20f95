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

// TestMain lets this program be the shim.
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

func startShim(t *testing.T, script string, until time.Duration) *shimProcess {
	t.Helper()
	r := &shimProcess{t: t, cmd: exec.Command(os.Args[0]), outputPath: filepath.Join(t.TempDir(), "output")}
	r.cmd.Env = append(os.Environ(), "CHALK_TEST_SHIM=1")
	r.cmd.Stderr = os.Stderr
	var err error
	if r.in, err = r.cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := r.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = r.cmd.Process.Kill(), r.cmd.Wait() }) // it may have ended
	r.out = bufio.NewScanner(out)
	r.send(Spec{Command: []string{"sh", "-c", script}, Env: []string{"PATH=" + os.Getenv("PATH")}, Dir: filepath.Dir(r.outputPath), OutputPath: r.outputPath, LeaseUntil: int64(Clock() + until)})
	if w := r.readStatus(); w.PID == 0 {
		t.Fatalf("it does not start: %+v", w)
	}
	return r
}

func (r *shimProcess) send(v any) {
	r.t.Helper()
	b, err := json.Marshal(v)
	if err == nil {
		_, err = r.in.Write(append(b, '\n'))
	}
	if err != nil {
		r.t.Fatal(err)
	}
}

func (r *shimProcess) readStatus() (w Status) {
	r.t.Helper()
	if !r.out.Scan() {
		r.t.Fatal("the shim is silent")
	}
	if err := json.Unmarshal(r.out.Bytes(), &w); err != nil {
		r.t.Fatal(err)
	}
	return w
}

// waitForOutputPIDs waits until the command has written so many process numbers.
func (r *shimProcess) waitForOutputPIDs(n int) (out []int) {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		b, _ := os.ReadFile(r.outputPath)
		if f := strings.Fields(string(b)); len(f) >= n {
			for _, s := range f {
				p, err := strconv.Atoi(s)
				if err != nil {
					r.t.Fatalf("the command wrote %q", b)
				}
				out = append(out, p)
			}
			return out
		}
	}
	r.t.Fatal("the command has written nothing")
	return nil
}

func (r *shimProcess) requireExited(pids []int) {
	r.t.Helper()
	for _, p := range pids {
		if err := syscall.Kill(p, 0); err != syscall.ESRCH {
			r.t.Fatalf("process %d is left: %v", p, err)
		}
	}
}

// escapingScript starts a child and a grandchild that leave the command's group and its session
// and stop listening to anybody, then stays.
const escapingScript = `trap '' TERM; echo $$; setsid sh -c 'trap "" TERM HUP INT; echo $$; (setsid sh -c "echo \$\$; sleep 300") & sleep 300' & sleep 300`

// Whoever tells the shim to end the command, nothing of it is left once that is said,
// descendants that ran away included.
func TestNoDescendantSurvivesEndOfCommand(t *testing.T) {
	for name, end := range map[string]func(*shimProcess){
		"an order":                        func(r *shimProcess) { r.send(Order{Kill: true}) },
		"the agent is gone":               func(r *shimProcess) { _ = r.in.Close() },
		"the lease ends, no agent awake":  func(r *shimProcess) { r.send(Order{LeaseUntil: int64(Clock() + 300*time.Millisecond)}) },
		"the lease ended before an order": func(r *shimProcess) { r.send(Order{LeaseUntil: int64(Clock() - time.Second)}) },
	} {
		t.Run(name, func(t *testing.T) {
			r := startShim(t, escapingScript, time.Hour)
			pids := r.waitForOutputPIDs(3)
			end(r)
			w := r.readStatus()
			if !w.Exited || w.ExitCode != -1 || w.LeaseExpired != strings.Contains(name, "lease") {
				t.Fatalf("%+v", w)
			}
			r.requireExited(pids)
			if err := r.cmd.Wait(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// A command that was asked to save ends with its own code; one that ends by itself takes
// what it left behind with it.
func TestExitCodeReportedAndDescendantsKilledAfterExit(t *testing.T) {
	r := startShim(t, `trap 'exit 75' TERM; echo $$; while :; do sleep 0.05; done`, time.Hour)
	r.waitForOutputPIDs(1)
	r.send(Order{Terminate: true})
	if w := r.readStatus(); !w.Exited || w.ExitCode != 75 {
		t.Fatalf("%+v", w)
	}
	r = startShim(t, `setsid sh -c 'echo $$; sleep 300' & while [ ! -s output ]; do sleep 0.01; done; exit 0`, time.Hour)
	pids := r.waitForOutputPIDs(1)
	if w := r.readStatus(); !w.Exited || w.ExitCode != 0 {
		t.Fatalf("%+v", w)
	}
	r.requireExited(pids)
}

// A shim that was stopped beyond the lease ends the command as soon as it goes on.
func TestPausedShimKillsAfterLeaseExpiry(t *testing.T) {
	r := startShim(t, escapingScript, 400*time.Millisecond)
	pids := r.waitForOutputPIDs(3)
	if err := r.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(700 * time.Millisecond)
	if err := r.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if w := r.readStatus(); !w.Exited || !w.LeaseExpired {
		t.Fatalf("%+v", w)
	}
	r.requireExited(pids)
}
