// Package shim implements the small process that runs between an agent and the command of one
// attempt. It kills the command and all its descendants when the agent orders it, when the agent
// has exited, and when the worker's lease expires, even if the agent is stopped and cannot notice.
//
// It owns the command's process, its process group and all descendants, and it is their reaper. It
// may not know of jobs, tokens, controllers or the network: the agent and the shim exchange lines
// of JSON over the shim's standard input and output.
//
// Invariants:
//   - When Run returns, no process of the command is left.
//   - The command doesn't outlive the latest lease that the agent sent, whether the agent still
//     runs or not.
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
	// checkInterval is how often the lease is compared with Clock, and how often the kill is
	// repeated until the command has exited. The kernel's timers don't advance while the machine is
	// suspended, so a timer alone could fire long after the lease has expired.
	checkInterval = 250 * time.Millisecond

	// Initial and maximum size of the buffer for a line from the agent. The longest line is the
	// Spec, which contains the command and its environment.
	initialLineBytes = 64 << 10
	maxLineBytes     = 4 << 20

	// The first and the last of the file descriptors that the agent may pass down, besides standard
	// input, output and error.
	firstInheritedFD = 3
	lastInheritedFD  = 9

	// exitCodeNotStarted is reported as the exit code of a command that could not be started.
	exitCodeNotStarted = -1
)

// Faults of the agent: errNoCommand is returned for a Spec without a command, errNoSpec if standard
// input ends before the Spec.
var (
	errNoCommand = errors.New("there is no command")
	errNoSpec    = errors.New("standard input ended before the agent sent a spec")
)

// Spec is the first line that the agent writes to a shim: what to run, and until when.
type Spec struct {
	Command    []string `json:"command"`
	Env        []string `json:"env"`
	Dir        string   `json:"folder"`
	OutputPath string   `json:"output"` // file to which standard output and error are appended
	LeaseUntil int64    `json:"until"`  // end of the lease, as a value of Clock in nanoseconds
}

// Order is a line that the agent writes to a shim after the Spec. Exactly one field is set.
type Order struct {
	LeaseUntil int64 `json:"until,omitempty"` // new end of the lease, as in Spec
	Terminate  bool  `json:"term,omitempty"`  // send SIGTERM to the command's group, so that it can save and exit
	Kill       bool  `json:"kill,omitempty"`  // send SIGKILL to the command and all its descendants
}

// Status is a line that the shim writes to the agent: one when the command has started and one when
// it has ended.
type Status struct {
	PID          int    `json:"started,omitempty"` // process id of the command, once it has started
	Exited       bool   `json:"over,omitempty"`    // the command and all its descendants have exited
	ExitCode     int    `json:"code"`              // -1 if a signal ended the command or it could not be started
	LeaseExpired bool   `json:"lease,omitempty"`   // the lease expired before the command had exited
	Error        string `json:"error,omitempty"`   // why the command could not be started
}

// Clock returns the time since the machine booted, including time in suspend. It is monotonic and the
// same for all processes of the machine, so that they can exchange its values. It panics if the
// system has no such clock.
func Clock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("shim: read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(t.Nano())
}

// Run reads a Spec from in, runs its command, obeys the Orders that follow and writes each Status to
// out. It returns once the command and all its descendants have exited. A command that cannot be
// started is reported in Status.Error; Run returns an error only if the process cannot be set up or
// in yields no valid Spec. Run changes the signal handling of the process and kills all children of
// the process, so it must be called only once, in a process of its own.
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

// isolate makes this process the reaper of its descendants, and keeps the agent's signals and file
// descriptors from the command.
func isolate() error {
	// Only the agent decides, by an Order, when the command gets a signal, so signals that reach the
	// shim itself (for example from the agent's terminal) are caught and dropped. They must not be
	// ignored with SIG_IGN: the command would inherit that, and then ignore the SIGTERM that asks it
	// to save its state.
	signal.Notify(make(chan os.Signal, 1), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGPIPE)
	// As the subreaper, this process becomes the parent of each descendant whose parent exits, so
	// that none can escape by starting a session of its own.
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("set this process as child subreaper: %w", err)
	}
	// The descriptors that the agent passes down (such as its lock) show by being open that a process
	// of the machine still runs. The shim keeps them open and the command must not inherit them.
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
		return nil, fmt.Errorf("decode the spec from the agent: %w", err)
	}
	return &spec, nil
}

// readOrders sends the agent's orders to the channel that it returns, and closes the channel when the
// agent has closed its end of the pipe or exited. Lines that cannot be decoded are skipped. The
// goroutine ends with the agent's end of the pipe, at the latest with this process.
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
		_, _ = out.Write(append(b, '\n')) // an agent that has exited cannot read it
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
	defer func() { _ = output.Close() }() // the command has its own copy of the descriptor
	cmd := exec.Command(spec.Command[0], spec.Command[1:]...)
	cmd.Env, cmd.Dir, cmd.Stdout, cmd.Stderr = spec.Env, spec.Dir, output, output
	// Pdeathsig kills the command as soon as the thread that started it exits, not only when the
	// process does. The lock keeps this goroutine, and so the command, on a thread that lasts until
	// the shim exits.
	runtime.LockOSThread()
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return cmd, cmd.Start()
}
