// Package stand holds what the cases of the review share: it starts the project's own programs as
// separate processes on loopback addresses, keeps the record of a run, and has stand-ins for the
// cloud, for workers and for users that follow the protocol's page.
package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Results of a run, as exit codes.
const (
	RuleHeld   = 0
	RuleBroken = 1
	NotRun     = 2
)

// Run is one run of a case: its temporary folder, its record and the processes that it started.
type Run struct {
	Dir     string // temporary folder, removed at the end
	Trouble bool   // whether the disruption takes place

	root      string // of the repository
	startedAt time.Time

	mu        sync.Mutex
	record    *os.File
	processes map[string]*exec.Cmd
	ended     map[string]chan struct{}
}

// Main runs a case and ends the process with its result. run returns the result; it is given up as
// not run after limit. folder is the case's folder, in which record.txt is written.
func Main(folder string, limit time.Duration, run func(*Run) int) {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	r := &Run{
		Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", root: root, startedAt: time.Now(), record: record,
		processes: map[string]*exec.Cmd{}, ended: map[string]chan struct{}{},
	}
	r.Log("run begins, disruption: %v", r.Trouble)
	result := make(chan int, 1)
	go func() { result <- run(r) }()
	code := NotRun
	select {
	case code = <-result:
	case <-time.After(limit):
		r.Log("given up after %v", limit)
	}
	r.killAll()
	if code == NotRun {
		r.quoteLogs()
	}
	r.Log("result: %d (0: the rule held, 1: it was broken, 2: the case could not run)", code)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// Log writes a line to the record, with the seconds since the run began.
func (r *Run) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// Path returns a path in the temporary folder.
func (r *Run) Path(name string) string { return filepath.Join(r.Dir, name) }

// WriteJSON writes a settings file into the temporary folder and returns its path.
func (r *Run) WriteJSON(name string, value any) string {
	b, err := json.MarshalIndent(value, "", "  ")
	if err == nil {
		err = os.WriteFile(r.Path(name), b, 0o600)
	}
	if err != nil {
		panic(err)
	}
	return r.Path(name)
}

// Start starts a program of target/ under a name. Its output goes to NAME.log in the temporary
// folder.
func (r *Run) Start(name, program string, args ...string) {
	log, err := os.OpenFile(r.Path(name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		panic(err)
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command(filepath.Join(r.root, "target", program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "LOG_LEVEL=debug")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := r.startLocked(cmd); err != nil {
		panic(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	r.mu.Lock()
	r.processes[name], r.ended[name] = cmd, ended
	r.mu.Unlock()
	r.Log("started %s, process %d", name, cmd.Process.Pid)
}

// Output runs a program of target/ to its end and returns what it printed.
func (r *Run) Output(program string, args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(r.root, "target", program), args...).CombinedOutput()
	return string(out), err
}

// startLocked starts a command from a thread that lasts as long as this process, since the kernel
// sends the signal of Pdeathsig when the thread ends.
func (r *Run) startLocked(cmd *exec.Cmd) error {
	starterOnce.Do(func() { go serveStarts() })
	request := startRequest{cmd, make(chan error)}
	starts <- request
	return <-request.result
}

// Signal sends a signal to a process that Start started.
func (r *Run) Signal(name string, signal syscall.Signal) {
	r.mu.Lock()
	cmd := r.processes[name]
	r.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(signal) // it may have exited
		r.Log("sent %v to %s", signal, name)
	}
}

// Kill ends a process that Start started, and waits until it has exited.
func (r *Run) Kill(name string) {
	r.Signal(name, syscall.SIGKILL)
	r.mu.Lock()
	ended := r.ended[name]
	r.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (r *Run) killAll() {
	r.mu.Lock()
	names := make([]string, 0, len(r.processes))
	for name := range r.processes {
		names = append(names, name)
	}
	r.mu.Unlock()
	for _, name := range names {
		r.mu.Lock()
		cmd, ended := r.processes[name], r.ended[name]
		r.mu.Unlock()
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
		}
	}
	time.Sleep(500 * time.Millisecond) // the shims of ended agents end their commands
}

// quoteLogs copies the last lines of each process's log to the record.
func (r *Run) quoteLogs() {
	paths, _ := filepath.Glob(r.Path("*.log"))
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		r.Log("end of %s:\n%s", filepath.Base(path), b[max(0, len(b)-2000):])
	}
}

// FreeAddress returns a loopback address with a port that is free now.
func FreeAddress() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
