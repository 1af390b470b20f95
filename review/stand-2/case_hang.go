package main

import (
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

func init() { cases["4"] = startsAfterLease }

// children returns the processes of this machine by their parents.
func children() map[int][]int {
	byParent := map[int][]int{}
	stats, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, path := range stats {
		b, err := os.ReadFile(path)
		if err != nil {
			continue // it has ended
		}
		fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
		pid, _ := strconv.Atoi(filepath.Base(filepath.Dir(path)))
		if parent, err := strconv.Atoi(fields[1]); err == nil {
			byParent[parent] = append(byParent[parent], pid)
		}
	}
	return byParent
}

// tree returns a process and all its descendants.
func tree(root int) []int {
	byParent, all := children(), []int{root}
	for i := 0; i < len(all); i++ {
		all = append(all, byParent[all[i]]...)
	}
	return all
}

// hang stops an agent with all its descendants, as a machine that hangs does, and returns them.
func hang(agent int) []int {
	stopped := []int{agent}
	_ = syscall.Kill(agent, syscall.SIGSTOP)
	for range 5 { // a shim that is not stopped yet may start its command meanwhile
		for _, pid := range tree(agent) {
			if !slices.Contains(stopped, pid) && syscall.Kill(pid, syscall.SIGSTOP) == nil {
				stopped = append(stopped, pid)
			}
		}
	}
	return stopped
}

// line is what a task writes when it begins or ends.
type line struct{ what, task, attempt, machine string }

func readLines(path string) (lines []line) {
	b, _ := os.ReadFile(path) // without a file no task has begun
	for text := range strings.Lines(string(b)) {
		if f := strings.Fields(text); len(f) == 4 {
			lines = append(lines, line{f[0], f[1], f[2], f[3]})
		}
	}
	return lines
}

// agents returns the processes of the machines' agents.
func (s *ownSite) agents() []int { return children()[s.cloud.cmd.Process.Pid] }

const (
	hangTasks = 48
	hangTime  = 20 * time.Second
)

// startsAfterLease has a machine hang while it starts the tasks of a job, for longer than its lease.
func startsAfterLease(r *run) {
	s := newOwnSite(r, 64)
	defer s.stop()
	list := r.path("list")
	script := `echo "begins $CHALK_TASK $CHALK_ATTEMPT $CHALK_MACHINE" >> ` + list + `
sleep 16
echo "ends $CHALK_TASK $CHALK_ATTEMPT $CHALK_MACHINE" >> ` + list
	id := s.submit("--team", "mesaordenes", "--class", "orderchecks", "-n", strconv.Itoa(hangTasks), "--cpus", "1", "--memory", "2",
		"--spot", "--estimate", "16s", "--", "sh", "-c", script)
	if !eventually(30*time.Second, func() bool { return len(s.agents()) == 1 }) {
		giveUp("there is not one machine")
	}
	agent := s.agents()[0]
	var begun []line
	for end := time.Now().Add(30 * time.Second); len(begun) == 0; begun = readLines(list) {
		if time.Now().After(end) {
			giveUp("no task began")
		}
		time.Sleep(time.Millisecond)
	}
	var stopped []int
	if r.trouble {
		stopped = hang(agent)
	}
	goOn := func() {
		for _, pid := range stopped {
			_ = syscall.Kill(pid, syscall.SIGCONT)
		}
	}
	r.atEnd(goOn)
	machine, hungAt := begun[0].machine, time.Now()
	r.log("machine %s hangs: %v, %d processes, %d of %d tasks have begun", machine, r.trouble, len(stopped), len(readLines(list)), hangTasks)
	time.Sleep(time.Until(hungAt.Add(hangTime)))
	before := len(readLines(list))
	goOn()
	r.log("machine %s goes on after %.1f s, %d lines are written", machine, time.Since(hungAt).Seconds(), before)
	_, _ = s.ctl("wait", "--timeout", "40s", id) // the rule is checked however the job ends
	checkLines(r, readLines(list))
}

// checkLines checks that no attempt of a task begins on one machine between the begin and the end of a
// newer attempt on another machine. An attempt that writes no end doesn't count: it may have been killed.
func checkLines(r *run, lines []line) {
	on := map[string]line{} // by task: the newest attempt that has begun and not ended
	for i, l := range lines {
		r.log("line %d: task %s %s, attempt %s on %s", i, l.task, l.what, l.attempt, l.machine)
		other, running := on[l.task]
		switch {
		case l.what == "ends":
			delete(on, l.task)
		case running && other.machine != l.machine && olderAttempt(l.attempt, other.attempt) && ends(lines[i:], other):
			r.violate("ran_twice", "task %s starts on %s as attempt %s while attempt %s is on %s", l.task, l.machine, l.attempt, other.attempt, other.machine)
		default:
			on[l.task] = l
		}
	}
}

// ends reports whether an attempt writes its end later.
func ends(later []line, begun line) bool {
	begun.what = "ends"
	return slices.Contains(later, begun)
}

// olderAttempt reports whether an attempt was given out before another one.
func olderAttempt(a, b string) bool {
	x, errX := strconv.ParseUint(a, 10, 64)
	y, errY := strconv.ParseUint(b, 10, 64)
	return errX == nil && errY == nil && x < y
}
