// Package shim is the small process between an agent and one attempt's command. It ends
// the command and all its descendants when the agent says so, when the agent is gone,
// and when the worker's lease is over, whether or not the agent is able to notice that.
//
// It owns the command's process, its group, and all descendants, whose reaper it is. It may
// not know of jobs, tokens, controllers or the network: agent and shim speak JSON lines
// over the shim's standard input and output.
//
// Invariants:
//   - When Run returns, no process of the command is left.
//   - The command doesn't outlive the lease as the shim knows it, the agent stopped or not.
//   - Status.Exited is written once, as the last line.
package shim

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/goccy/go-json"
	"golang.org/x/sys/unix"
)

const (
	// checkInterval is how often the clock is looked at, and how often killing is repeated.
	// The kernel counts timers without the time asleep, so no timer alone ends the lease.
	checkInterval = 250 * time.Millisecond

	// Bounds of a line from the agent: a spec holds the command and its environment.
	initialLineBytes = 64 << 10
	maxLineBytes     = 4 << 20

	// Descriptors that the agent may hand down, beside standard input, output and error.
	firstInheritedFD = 3
	lastInheritedFD  = 9

	// exitCodeNotStarted stands for the exit code of a command that did not start.
	exitCodeNotStarted = -1
)

// errNoCommand and errNoSpec are mistakes of the agent.
var (
	errNoCommand = errors.New("there is no command")
	errNoSpec    = errors.New("no order from the agent")
)

// Spec is the first line that a shim reads.
type Spec struct {
	Command    []string `json:"command"`
	Env        []string `json:"env"`
	Dir        string   `json:"folder"`
	OutputPath string   `json:"output"` // takes standard output and error
	LeaseUntil int64    `json:"until"`  // when the lease ends, as Clock counts
}

// Order is a later line that a shim reads. One field is set.
type Order struct {
	LeaseUntil int64 `json:"until,omitempty"` // the lease now ends then
	Terminate  bool  `json:"term,omitempty"`  // ask the command to save and exit
	Kill       bool  `json:"kill,omitempty"`  // end it at once
}

// Status is a line that the shim writes.
type Status struct {
	PID          int    `json:"started,omitempty"` // the command's process, once it has started
	Exited       bool   `json:"over,omitempty"`    // nothing of the command is left
	ExitCode     int    `json:"code"`              // -1 if a signal ended it
	LeaseExpired bool   `json:"lease,omitempty"`   // it was killed because the lease was over
	Error        string `json:"error,omitempty"`   // it could not be started
}

// Clock is a steady clock that all processes of this machine share, and that also runs
// while the machine sleeps.
func Clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("shim: this system has no boot time clock: %v", err))
	}
	return time.Duration(t.Nano())
}

// Run is the whole life of a shim process. It returns once nothing of the command is
// left.
func Run(in io.Reader, out io.Writer) error {
	if err := isolate(); err != nil {
		return err
	}
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, initialLineBytes), maxLineBytes)
	spec, err := readSpec(lines)
	if err != nil {
		return err
	}
	cmd, err := startCommand(spec)
	if err != nil {
		writeStatus(out, Status{Exited: true, ExitCode: exitCodeNotStarted, Error: err.Error()})
		return nil
	}
	writeStatus(out, Status{PID: cmd.Process.Pid})
	s := &supervisor{cmd: cmd, leaseUntil: time.Duration(spec.LeaseUntil)}
	writeStatus(out, s.run(readOrders(lines)))
	return nil
}

// isolate makes this process the reaper of its descendants and keeps the agent's signals
// and descriptors from the command.
func isolate() error {
	// Signals to the agent's terminal are the agent's to pass on. They are taken and
	// dropped: ignored ones would be ignored by the command too, which then could not be
	// asked to save.
	signal.Notify(make(chan os.Signal, 1), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGPIPE)
	// A descendant whose parent exits becomes ours, so that none can escape by starting a
	// session of its own.
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("become the command's reaper: %w", err)
	}
	// What the agent hands down is for this process: as long as it is open, something of
	// the machine is left.
	for fd := firstInheritedFD; fd <= lastInheritedFD; fd++ {
		unix.CloseOnExec(fd)
	}
	return nil
}

func readSpec(lines *bufio.Scanner) (*Spec, error) {
	if !lines.Scan() {
		return nil, errNoSpec
	}
	var spec Spec
	if err := json.Unmarshal(lines.Bytes(), &spec); err != nil {
		return nil, fmt.Errorf("order from the agent: %w", err)
	}
	return &spec, nil
}

// readOrders reads orders until the agent is gone, which closes the channel. Its goroutine
// ends with the agent's end of the pipe, at the latest with this process.
func readOrders(lines *bufio.Scanner) <-chan Order {
	orders := make(chan Order)
	go func() {
		defer close(orders)
		for lines.Scan() {
			var order Order
			if json.Unmarshal(lines.Bytes(), &order) == nil {
				orders <- order
			}
		}
	}()
	return orders
}

func writeStatus(out io.Writer, status Status) {
	if b, err := json.Marshal(&status); err == nil {
		_, _ = out.Write(append(b, '\n')) // an agent that is gone reads nothing
	}
}

func startCommand(spec *Spec) (*exec.Cmd, error) {
	if len(spec.Command) == 0 {
		return nil, errNoCommand
	}
	output, err := os.OpenFile(spec.OutputPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = output.Close() }() // the command has a copy
	cmd := exec.Command(spec.Command[0], spec.Command[1:]...)
	cmd.Env, cmd.Dir, cmd.Stdout, cmd.Stderr = spec.Env, spec.Dir, output, output
	// The command dies with the thread that started it; that one is this process's main
	// thread for good.
	runtime.LockOSThread()
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return cmd, cmd.Start()
}
