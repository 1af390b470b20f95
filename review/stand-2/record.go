package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, and of the broken rules.
type record struct {
	mu       sync.Mutex
	file     *os.File
	start    time.Time
	broken   []string
	lastLine string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastLine = fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, r.lastLine) // the verdict doesn't depend on the file
}

// violate records a broken rule.
func (r *record) violate(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
	r.log("BROKEN %s", text)
}

func (r *record) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

func (r *record) verdict() int {
	n := r.violations()
	if n == 0 {
		r.log("verdict: held")
		return exitHeld
	}
	r.log("verdict: broken, %d times, first %s", n, r.broken[0])
	return exitBroken
}

func (r *record) last() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastLine
}

func (r *record) close() { _ = r.file.Close() }
