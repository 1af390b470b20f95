package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["explore"] = explore }

// look asks all controllers for a job at the same time.
func (s *site) look(j *job) {
	var wg sync.WaitGroup
	for _, c := range s.controllers {
		for range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				s.check.mu.Lock()
				accepted, state := j.accepted, j.state
				s.check.mu.Unlock()
				status, answer, _ := s.ask(c, "GET", "/v2/runs/"+j.id, nil, 2*time.Second)
				if status == http.StatusNotFound && accepted {
					s.violate("forgotten", "%s", j.id)
				}
				if status == 200 && state != "" && answer.State != state {
					s.violate("went_back", "%s was %s is %s at %s", j.id, state, answer.State, c.label)
				}
				if status == 200 {
					s.told(j, status, answer, false)
				}
			}()
		}
	}
	wg.Wait()
}

// explore plays 75 seconds of random faults at the controllers, their links, the state service and the
// machines, and lets users look at all controllers after each answer. It is no case: the report names
// what it showed.
func explore(r *run) {
	set := valparaiso()
	set.teams = []team{{Name: "mesaordenes", CPUsMax: 60}, {Name: "b", CPUsMax: 40, CPUs: 20}}
	s := newSite(r, set)
	defer s.stop()
	s.cloud.boot = 2 * time.Second
	var all []*job
	stopAt := time.Now().Add(75 * time.Second)
	for time.Now().Before(stopAt) {
		j := newJob([]string{"mesaordenes", "b"}[rand.IntN(2)])
		j.tasks, j.runS = 1+rand.IntN(12), 0.5+rand.Float64()*6
		switch rand.IntN(6) {
		case 0:
			j.together = true
		case 1:
			j.apart = true
		case 2:
			j.loaner = false
		}
		if len(all) > 3 && rand.IntN(5) == 0 {
			j.awaits = []string{all[len(all)-1].id}
		}
		all = append(all, j)
		go func() {
			if !s.submit(j) {
				return
			}
			s.look(j)
			if rand.IntN(4) == 0 {
				time.Sleep(time.Duration(rand.IntN(9000)) * time.Millisecond)
				s.cancel(j)
				s.look(j)
				if j.state == "done" || j.state == "aborted" {
					st, a, _ := s.ask(s.healthy(), "POST", "/v2/runs", j.body(), 5*time.Second)
					s.told(j, st, a, true)
				}
			}
			s.follow(j, 700*time.Millisecond, 100*time.Second)
			s.look(j)
		}()
		time.Sleep(time.Duration(200+rand.IntN(500)) * time.Millisecond)
		if r.trouble && rand.IntN(6) == 0 {
			c := s.controllers[rand.IntN(3)]
			d := time.Duration(300+rand.IntN(6000)) * time.Millisecond
			switch rand.IntN(9) {
			case 0:
				if c.ready() {
					s.crash(c)
				}
			case 1:
				c.pause()
				time.AfterFunc(d, c.resume)
			case 2, 3, 4:
				mode := []proxyMode{hold, dropReplies, dropRequests, reset}[rand.IntN(4)]
				r.log("state link of %s mode %v for %v", c.label, mode, d)
				c.toState.set(mode)
				time.AfterFunc(d, func() { c.toState.set(pass) })
			case 5:
				mode := []proxyMode{hold, dropReplies, dropRequests, reset}[rand.IntN(4)]
				r.log("worker link of %s mode %v for %v", c.label, mode, d)
				c.fromWorkers.set(mode)
				time.AfterFunc(d, func() { c.fromWorkers.set(pass) })
			case 6:
				r.log("state pauses %v", d)
				s.state.pause()
				time.AfterFunc(d, s.state.resume)
			case 7:
				for _, p := range c.toPeers {
					p.set(hold)
					time.AfterFunc(d, func() { p.set(pass) })
				}
			case 8:
				if ms := s.cloud.running(); len(ms) > 0 {
					m := ms[rand.IntN(len(ms))]
					switch rand.IntN(4) {
					case 0:
						m.set(func(m *worker) { m.hung = true })
						time.AfterFunc(2*d, func() { m.set(func(m *worker) { m.hung = false }) })
					case 1:
						m.set(func(m *worker) { m.deaf = true })
						time.AfterFunc(2*d, func() { m.set(func(m *worker) { m.deaf = false }) })
					case 2:
						m.set(func(m *worker) { m.doDelay = 2*time.Second + d })
						time.AfterFunc(2*d, func() { m.set(func(m *worker) { m.doDelay = 0 }) })
					case 3:
						m.set(func(m *worker) { m.mute = true })
						time.AfterFunc(3*d, func() { m.set(func(m *worker) { m.mute = false }) })
					}
				}
			}
		}
	}
	time.Sleep(30 * time.Second)
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
