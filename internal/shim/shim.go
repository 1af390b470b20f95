// Package shim is the small process between an agent and one task's command. It ends
// the command and all its descendants when the agent says so, when the agent is gone,
// and when the worker's lease is over, whether or not the agent is able to notice that.
//
// Agent and shim speak JSON lines over the shim's standard input and output.
package shim

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/goccy/go-json"
	"golang.org/x/sys/unix"
)

// Spec is the first line that a shim reads.
type Spec struct {
	Command []string `json:"command"`
	Env     []string `json:"env"`
	Folder  string   `json:"folder"`
	Output  string   `json:"output"` // file that takes standard output and error
	Until   int64    `json:"until"`  // when the lease ends, as Clock counts
}

// Order is a later line.
type Order struct {
	Until int64 `json:"until,omitempty"` // the lease now ends then
	Term  bool  `json:"term,omitempty"`  // ask the command to save and end
	Kill  bool  `json:"kill,omitempty"`  // end it at once
}

// Word is a line that the shim writes.
type Word struct {
	Started int    `json:"started,omitempty"` // the command's process
	Over    bool   `json:"over,omitempty"`    // nothing of the command is left
	Code    int    `json:"code"`              // its exit code, -1 if a signal ended it
	Lease   bool   `json:"lease,omitempty"`   // it was ended because the lease was over
	Error   string `json:"error,omitempty"`   // it could not be started
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
	// Signals to the agent's terminal are the agent's to pass on. They are taken and
	// dropped: ignored ones would be ignored by the command too, which then could not be
	// asked to save.
	signal.Notify(make(chan os.Signal, 1), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGPIPE)
	// A descendant whose parent ends becomes ours, so that none can slip away by
	// starting a session of its own.
	if err := unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("become the command's reaper: %w", err)
	}
	// What the agent hands down is for this process: as long as it is open, something of
	// the machine is left.
	for fd := 3; fd < 10; fd++ {
		unix.CloseOnExec(fd)
	}
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 64<<10), 4<<20)
	if !lines.Scan() {
		return errors.New("no order from the agent")
	}
	var spec Spec
	if err := json.Unmarshal(lines.Bytes(), &spec); err != nil {
		return fmt.Errorf("order from the agent: %w", err)
	}
	say := func(w Word) {
		if b, err := json.Marshal(&w); err == nil {
			_, _ = out.Write(append(b, '\n')) // an agent that is gone hears nothing
		}
	}
	cmd, err := start(&spec)
	if err != nil {
		say(Word{Over: true, Code: -1, Error: err.Error()})
		return nil
	}
	say(Word{Started: cmd.Process.Pid})
	orders := make(chan Order)
	go func() {
		defer close(orders)
		for lines.Scan() {
			var o Order
			if json.Unmarshal(lines.Bytes(), &o) == nil {
				orders <- o
			}
		}
	}()
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_ = cmd.Wait() // the process state says how it ended
	}()
	until := time.Duration(spec.Until)
	// The kernel counts timers without the time asleep, so the clock is looked at again
	// at least every quarter of a second.
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	over := Word{Over: true, Code: -1}
	killed := false
	kill := func() {
		killed = true
		// The group, and whoever left it; repeated, since they may fork meanwhile.
		_ = unix.Kill(-cmd.Process.Pid, unix.SIGKILL)
		for _, p := range descendants() {
			_ = unix.Kill(p, unix.SIGKILL) // it may have ended by itself
		}
	}
	for {
		select {
		case o, ok := <-orders:
			switch {
			case !ok: // the agent is gone
				orders = nil
				kill()
			case o.Kill:
				kill()
			case o.Term:
				_ = unix.Kill(-cmd.Process.Pid, unix.SIGTERM)
			case o.Until != 0:
				until = time.Duration(o.Until)
			}
		case <-tick.C:
			if Clock() > until {
				over.Lease = true
				kill()
			} else if killed {
				kill()
			}
		case <-time.After(max(until-Clock(), 0)):
			over.Lease = true
			kill()
			until += time.Hour // said once; the ticks repeat the killing
		case <-exited:
			over.Code = cmd.ProcessState.ExitCode()
			clean()
			say(over)
			return nil
		}
	}
}

func start(s *Spec) (*exec.Cmd, error) {
	if len(s.Command) == 0 {
		return nil, errors.New("there is no command")
	}
	f, err := os.OpenFile(s.Output, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // the command has a copy
	cmd := exec.Command(s.Command[0], s.Command[1:]...)
	cmd.Env, cmd.Dir, cmd.Stdout, cmd.Stderr = s.Env, s.Folder, f, f
	// The command dies with the thread that started it; that one is this process's main
	// thread for good.
	runtime.LockOSThread()
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return cmd, cmd.Start()
}

// clean ends what the command left behind and waits until it is gone.
func clean() {
	for {
		left := descendants()
		if len(left) == 0 {
			return
		}
		for _, p := range left {
			_ = unix.Kill(p, unix.SIGKILL) // it may have ended by itself
		}
		var ws unix.WaitStatus
		for {
			if pid, err := unix.Wait4(-1, &ws, unix.WNOHANG, nil); pid <= 0 || err != nil {
				break
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// descendants are all processes below this one.
func descendants() []int {
	var out []int
	for next := []int{os.Getpid()}; len(next) > 0; next = next[1:] {
		kids, err := children(next[0])
		if err != nil {
			return byParents()
		}
		out = append(out, kids...)
		next = append(next, kids...)
	}
	return out
}

// children asks the kernel for a process's children. The error says that this kernel
// does not tell; a process that has ended has none.
func children(pid int) (out []int, err error) {
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return nil, nil
	}
	for _, t := range tasks {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/children", pid, t.Name()))
		if err != nil {
			if pid == os.Getpid() {
				return nil, err
			}
			continue
		}
		for _, f := range strings.Fields(string(b)) {
			if p, err := strconv.Atoi(f); err == nil {
				out = append(out, p)
			}
		}
	}
	return out, nil
}

// byParents finds the descendants by the parents of all processes.
func byParents() []int {
	children := map[int][]int{}
	stats, _ := filepath.Glob("/proc/[0-9]*/stat") // a bad pattern is the only error
	for _, p := range stats {
		b, err := os.ReadFile(p)
		if err != nil {
			continue // it has ended meanwhile
		}
		// pid (name) state parent ...; the name may hold spaces and brackets.
		f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
		pid, err := strconv.Atoi(strings.Split(p, "/")[2])
		if err != nil || len(f) < 2 {
			continue
		}
		if parent, err := strconv.Atoi(f[1]); err == nil {
			children[parent] = append(children[parent], pid)
		}
	}
	var out []int
	for next := []int{os.Getpid()}; len(next) > 0; {
		kids := children[next[0]]
		next = append(next[1:], kids...)
		out = append(out, kids...)
	}
	return out
}
