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

// reapPollInterval is the pause between two looks at what is left after a SIGKILL, which the
// kernel carries out within milliseconds.
const reapPollInterval = 2 * time.Millisecond

// reapDescendants kills what the command left behind and waits until it is gone.
func reapDescendants() {
	for {
		left := descendants()
		if len(left) == 0 {
			return
		}
		killAll(left)
		reapZombies()
		time.Sleep(reapPollInterval)
	}
}

// reapZombies collects the children that have exited.
func reapZombies() {
	var status unix.WaitStatus
	for {
		if pid, err := unix.Wait4(-1, &status, unix.WNOHANG, nil); pid <= 0 || err != nil {
			return
		}
	}
}

// descendants are all processes below this one.
func descendants() []int {
	var found []int
	for next := []int{os.Getpid()}; len(next) > 0; next = next[1:] {
		children, err := childrenOf(next[0])
		if err != nil {
			return descendantsByScan()
		}
		found = append(found, children...)
		next = append(next, children...)
	}
	return found
}

// childrenOf asks the kernel for a process's children. The error says that this kernel
// does not list them; a process that has exited has none.
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

// descendantsByScan finds the descendants by the parents of all processes.
func descendantsByScan() []int {
	children := scanChildren()
	var found []int
	for next := []int{os.Getpid()}; len(next) > 0; {
		direct := children[next[0]]
		next = append(next[1:], direct...)
		found = append(found, direct...)
	}
	return found
}

// scanChildren lists the children of each process.
func scanChildren() map[int][]int {
	children := map[int][]int{}
	stats, _ := filepath.Glob("/proc/[0-9]*/stat") // a bad pattern is the only error
	for _, path := range stats {
		b, err := os.ReadFile(path)
		if err != nil {
			continue // it has exited meanwhile
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

// parsePPID reads the parent from a process's stat line: "pid (name) state parent ...",
// where the name may hold spaces and brackets.
func parsePPID(stat string) (int, bool) {
	afterName := stat[strings.LastIndexByte(stat, ')')+1:]
	fields := strings.Fields(afterName)
	if len(fields) < 2 {
		return 0, false
	}
	parent, err := strconv.Atoi(fields[1])
	return parent, err == nil
}
