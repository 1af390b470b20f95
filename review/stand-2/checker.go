package main

import (
	"slices"
	"sync"
	"time"
)

// checker checks the rules of the protocol by what users, workers and the cloud see.
type checker struct {
	site *site
	done chan struct{}

	mu   sync.Mutex
	jobs map[string]*job
	on   map[string]map[*worker]*lot // by task: the machines that it is on
	over map[string]bool             // tasks that have completed
}

func newChecker(s *site) *checker {
	c := &checker{site: s, done: make(chan struct{}), jobs: map[string]*job{}, on: map[string]map[*worker]*lot{}, over: map[string]bool{}}
	go c.watch()
	return c
}

func (c *checker) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.done:
	default:
		close(c.done)
	}
}

func (c *checker) stopped() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func (c *checker) job(id string) *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

func (c *checker) isTaskDone(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.over[task]
}

func (c *checker) taskBegan(m *worker, l *lot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped() {
		return
	}
	c.site.log("%s attempt %x starts on %s", l.Task, l.Attempt, m.name)
	for other := range c.on[l.Task] {
		if other != m {
			c.site.violate("ran_twice", "%s starts on %s while it is on %s", l.Task, m.name, other.name)
		}
	}
	c.checkPlace(m, l)
	if c.on[l.Task] == nil {
		c.on[l.Task] = map[*worker]*lot{}
	}
	c.on[l.Task][m] = l
	c.checkQuota(l.job.team)
	if at := l.job.abortedAt; !at.IsZero() && time.Since(at) > c.cancelTime() {
		c.site.violate("ran_cancelled", "%s starts %.1f s after the confirmation", l.Task, time.Since(at).Seconds())
	}
}

func (c *checker) cancelTime() time.Duration {
	return time.Duration(c.site.settings.cancelS * float64(time.Second))
}

// checkPlace checks that a task may start on a machine. The caller holds the lock.
func (c *checker) checkPlace(m *worker, l *lot) {
	j := l.job
	if j.zone != "" && j.zone != m.zone || m.spot && !j.loaner {
		c.site.violate("wrong_place", "%s starts on %s in %s, spot %v", l.Task, m.name, m.zone, m.spot)
	}
	if len(j.types) > 0 && !slices.Contains(j.types, m.typ.name) {
		c.site.violate("wrong_place", "%s starts on %s, a %s, and its job allows only %v", l.Task, m.name, m.typ.name, j.types)
	}
	inZone := 1
	for task, machines := range c.on {
		for other, running := range machines {
			if running.job != j || task == l.Task {
				continue
			}
			if other.zone == m.zone {
				inZone++
			} else if j.together {
				c.site.violate("wrong_place", "%s starts in %s while %s is in %s", l.Task, m.zone, task, other.zone)
			}
		}
	}
	if j.apart && inZone > (j.tasks+1)/2 {
		c.site.violate("wrong_place", "%s starts in %s as number %d of %d", l.Task, m.zone, inZone, j.tasks)
	}
}

func (c *checker) checkQuota(name string) {
	for _, t := range c.site.settings.teams {
		if t.Name != name || t.CPUsMax == 0 {
			continue
		}
		used := 0.0
		for _, machines := range c.on {
			for _, l := range machines {
				if l.job.team == name {
					used += l.job.cpus
				}
			}
		}
		if used > t.CPUsMax+1e-6 {
			c.site.violate("quota", "team %s uses %.1f of %.1f CPUs", name, used, t.CPUsMax)
		}
	}
}

func (c *checker) taskLeft(m *worker, l *lot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped() {
		return
	}
	delete(c.on[l.Task], m)
	c.site.log("%s attempt %x leaves %s", l.Task, l.Attempt, m.name)
}

func (c *checker) taskDone(l *lot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over[l.Task] = true
}

// watch looks for tasks of cancelled jobs that stay on a machine.
func (c *checker) watch() {
	reported := map[string]bool{}
	for {
		select {
		case <-c.done:
			return
		case <-time.After(200 * time.Millisecond):
		}
		c.mu.Lock()
		for task, machines := range c.on {
			for m, l := range machines {
				at := l.job.abortedAt
				if !at.IsZero() && time.Since(at) > c.cancelTime() && !reported[task] {
					reported[task] = true
					c.site.violate("ran_cancelled", "%s is on %s %.1f s after the confirmation", task, m.name, time.Since(at).Seconds())
				}
			}
		}
		c.mu.Unlock()
	}
}
