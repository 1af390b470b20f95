// Command review-second runs one case of the second review: it starts the project's own programs as
// separate processes on loopback addresses, plays users, workers and the cloud, and checks a rule.
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by the number of their folder.
var cases = map[string]func(*run){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-second CASE RECORD, from the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// run is one run of a case.
type run struct {
	*record
	root    string // of the repository
	dir     string // temporary folder
	trouble bool

	mu      sync.Mutex
	endings []func()
}

// atEnd has a function called if the run is interrupted by a signal; the newest one comes first.
func (r *run) atEnd(end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endings = append(r.endings, end)
}

// endOnSignal ends what the run has started, and this process, on SIGINT and SIGTERM.
func (r *run) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		r.log("interrupted by %v", <-signals)
		r.mu.Lock()
		endings := slices.Clone(r.endings)
		r.mu.Unlock()
		for _, end := range slices.Backward(endings) {
			end()
		}
		_ = os.RemoveAll(r.dir)
		os.Exit(exitNotRun)
	}()
}

// notRun is the value with which a case panics if it can't run.
type notRun struct{ reason string }

// giveUp ends the case because it can't run.
func giveUp(format string, args ...any) { panic(notRun{fmt.Sprintf(format, args...)}) }

func play(body func(*run), recordPath string) (code int) {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-second-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	r := &run{record: rec, root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	r.endOnSignal()
	rec.log("case starts, trouble %v", r.trouble)
	defer func() {
		switch reason := recover().(type) {
		case nil:
			code = rec.verdict()
		case notRun:
			rec.log("the case couldn't run: %s", reason.reason)
			code = exitNotRun
		default:
			panic(reason)
		}
		fmt.Println(rec.last())
	}()
	body(r)
	return exitNotRun
}

func (r *run) path(parts ...string) string {
	return filepath.Join(append([]string{r.dir}, parts...)...)
}

// eventually waits until a condition holds, and reports whether it did so in time.
func eventually(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
