package shim

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// reapPollInterval is the pause between two checks for remaining processes. The kernel carries out
// a SIGKILL within milliseconds.
const reapPollInterval = 2 * time.Millisecond

// reapDescendants kills the processes that the command left behind, and returns once all of them
// have been reaped.
func reapDescendants() {
	for {
		remaining := descendants()
		if len(remaining) == 0 {
			return
		}
		killAll(remaining)
		reapZombies()
		time.Sleep(reapPollInterval)
	}
}

// reapZombies reaps all children that have exited, without blocking.
func reapZombies() {
	var status unix.WaitStatus
	for {
		if pid, err := unix.Wait4(-1, &status, unix.WNOHANG, nil); pid <= 0 || err != nil {
			return
		}
	}
}

// descendants returns the process ids of all direct and indirect children of this process.
func descendants() []int {
	var found []int
	for queue := []int{os.Getpid()}; len(queue) > 0; queue = queue[1:] {
		children, err := childrenOf(queue[0])
		if err != nil {
			return descendantsByScan()
		}
		found = append(found, children...)
		queue = append(queue, children...)
	}
	return found
}

// childrenOf reads the children of a process from /proc. It returns an error only if this kernel
// does not provide lists of children. A process that has exited has no children.
func childrenOf(pid int) ([]int, error) {
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return nil, nil
	}
	var children []int
	for _, thread := range threads {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/children", pid, thread.Name()))
		if err != nil {
			if pid == os.Getpid() {
				return nil, err
			}
			continue // the thread has exited
		}
		for _, field := range strings.Fields(string(b)) {
			if child, err := strconv.Atoi(field); err == nil {
				children = append(children, child)
			}
		}
	}
	return children, nil
}

// descendantsByScan returns the same as descendants, from the parent ids of all processes of the
// machine, for kernels that provide no lists of children.
func descendantsByScan() []int {
	children := scanChildren()
	var found []int
	for queue := []int{os.Getpid()}; len(queue) > 0; {
		direct := children[queue[0]]
		queue = append(queue[1:], direct...)
		found = append(found, direct...)
	}
	return found
}

// scanChildren maps the id of each process that has children to their ids.
func scanChildren() map[int][]int {
	children := map[int][]int{}
	stats, _ := filepath.Glob("/proc/[0-9]*/stat") // a malformed pattern is the only possible error
	for _, path := range stats {
		b, err := os.ReadFile(path)
		if err != nil {
			continue // the process has exited since it was listed
		}
		pid, err := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		if err != nil {
			continue
		}
		if parent, ok := parsePPID(string(b)); ok {
			children[parent] = append(children[parent], pid)
		}
	}
	return children
}

// parsePPID returns the parent's process id from a /proc/PID/stat line, "pid (name) state parent ...".
// The name may contain spaces and parentheses, so fields are counted from the last ')'.
func parsePPID(stat string) (int, bool) {
	afterName := stat[strings.LastIndexByte(stat, ')')+1:]
	fields := strings.Fields(afterName)
	if len(fields) < 2 {
		return 0, false
	}
	parent, err := strconv.Atoi(fields[1])
	return parent, err == nil
}
