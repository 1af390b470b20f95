package main

import (
	"math/rand/v2"
	"time"
)

func init() { cases["explore"] = explore }

// explore plays seventy seconds of random faults: controllers that crash or stand still, that lose the
// state service or the workers, and machines that hang. It is no case; the report names its results.
func explore(r *run) {
	s := newSite(r, valparaiso())
	defer s.stop()
	s.cloud.boot = 3 * time.Second
	var all []*job
	stopAt := time.Now().Add(70 * time.Second)
	for time.Now().Before(stopAt) {
		j := newJob("mesaordenes")
		j.tasks, j.runS = 1+rand.IntN(30), 1+rand.Float64()*10
		all = append(all, j)
		go func() {
			if s.submit(j) {
				if rand.IntN(5) == 0 {
					time.Sleep(time.Duration(rand.IntN(8000)) * time.Millisecond)
					s.cancel(j)
				}
				s.follow(j, time.Second, 100*time.Second)
			}
		}()
		time.Sleep(time.Duration(500+rand.IntN(1500)) * time.Millisecond)
		if r.trouble && rand.IntN(4) == 0 {
			c := s.controllers[rand.IntN(3)]
			switch rand.IntN(5) {
			case 0:
				if c.endedByItself() == 0 && c.ready() {
					s.crash(c)
				}
			case 1:
				c.pause()
				time.AfterFunc(time.Duration(500+rand.IntN(9000))*time.Millisecond, c.resume)
			case 2:
				c.toState.set(hold)
				time.AfterFunc(time.Duration(500+rand.IntN(9000))*time.Millisecond, func() { c.toState.set(pass) })
			case 3:
				c.fromWorkers.set(hold)
				time.AfterFunc(time.Duration(500+rand.IntN(9000))*time.Millisecond, func() { c.fromWorkers.set(pass) })
			case 4:
				if ms := s.cloud.running(); len(ms) > 0 {
					m := ms[rand.IntN(len(ms))]
					m.set(func(m *worker) { m.hung = true })
					time.AfterFunc(time.Duration(500+rand.IntN(15000))*time.Millisecond, func() { m.set(func(m *worker) { m.hung = false }) })
				}
			}
		}
	}
	for _, c := range s.controllers {
		c.toState.set(pass)
		c.fromWorkers.set(pass)
	}
	time.Sleep(35 * time.Second)
	open := 0
	for _, j := range all {
		s.check.mu.Lock()
		if j.accepted && j.state == "" {
			open++
			s.log("not over: %s of %d tasks", j.id, j.tasks)
		}
		s.check.mu.Unlock()
	}
	s.log("%d jobs, %d not over", len(all), open)
	for _, c := range s.controllers {
		if c.endedByItself() > 0 {
			s.violate("ended", "%s", c.label)
		}
	}
}
