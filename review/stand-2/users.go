package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// job is a job as its user knows it.
type job struct {
	id, team, class, genre, urgency, image, zone string
	tasks                                        int
	cpus, memoryGB, imageGB                      float64
	guessS, bookmarkS, stashS, gavelS            float64
	together, apart, loaner, failing             bool
	awaits                                       []string
	types                                        []string // allowed machine types, nil: any
	runS                                         float64
	runOf                                        map[int]float64 // by task, instead of runS

	// Guarded by the lock of the checker.
	accepted  bool
	rejected  int
	state     string // the last final state that a user was told
	abortedAt time.Time
	asked     bool // its user has asked to cancel it
}

func (j *job) runTime(index int) time.Duration {
	seconds := j.runS
	if own, ok := j.runOf[index]; ok {
		seconds = own
	}
	return time.Duration(seconds * float64(time.Second))
}

var (
	nextJobMu sync.Mutex
	nextJob   int
)

// newJob returns an array of one-CPU tasks of a second's length.
func newJob(team string) *job {
	nextJobMu.Lock()
	defer nextJobMu.Unlock()
	nextJob++
	return &job{id: fmt.Sprintf("job-%06d", nextJob), team: team, class: "orderchecks", genre: "array", urgency: "standard", image: "img-01",
		tasks: 1, cpus: 1, memoryGB: 1, imageGB: 0.1, guessS: 5, runS: 5, loaner: true}
}

func (j *job) body() map[string]any {
	b := map[string]any{"Ref": j.id, "Lotclass": j.class, "Desk": j.team, "Genre": j.genre, "Urgency": j.urgency, "Lots": j.tasks,
		"Cpus": j.cpus, "Gpus": 0.0, "MemoryGb": j.memoryGB, "Kit": j.image, "ImageGb": j.imageGB, "Rigtypes": nil, "Yard": nil,
		"Together": j.together, "Apart": j.apart, "Loaner": j.loaner, "GuessS": j.guessS, "BookmarkS": j.bookmarkS, "StashS": j.stashS, "GavelS": nil}
	if j.zone != "" {
		b["Yard"] = j.zone
	}
	if j.gavelS > 0 {
		b["GavelS"] = j.gavelS
	}
	if len(j.types) > 0 {
		b["Rigtypes"] = j.types
	}
	if len(j.awaits) > 0 {
		b["Awaits"] = j.awaits
	}
	return b
}

var userClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// ask sends a user's request to a controller. Status 0 means that there was no answer.
func (s *site) ask(c *controller, method, path string, body any, timeout time.Duration) (status int, answer protocol.JobResponse, retryAfter time.Duration) {
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(protocol.Encode(body))
	}
	req, err := http.NewRequest(method, "http://"+c.fromUsers.addr()+path, content)
	if err != nil {
		giveUp("%v", err)
	}
	client := *userClient
	client.Timeout = timeout
	begin := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		s.log("%s %s at %s: no answer after %.3f s", method, path, c.label, time.Since(begin).Seconds())
		return 0, answer, 0
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, answer, 0
	}
	if resp.StatusCode < 300 && protocol.Decode(b, &answer) != nil {
		return 0, answer, 0
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		retryAfter = min(time.Duration(seconds)*time.Second, 30*time.Second)
	}
	s.log("%s %s at %s: %d %s done %d running %d, %.3f s", method, path, c.label, resp.StatusCode, answer.State, answer.Done, answer.Running, time.Since(begin).Seconds())
	return resp.StatusCode, answer, retryAfter
}

// healthy picks a controller as the load balancer would.
func (s *site) healthy() *controller {
	order := rand.Perm(len(s.controllers))
	for _, i := range order {
		if s.controllers[i].ready() {
			return s.controllers[i]
		}
	}
	return s.controllers[order[0]]
}

// add makes a job known to the workers and the checker.
func (s *site) add(j *job) {
	s.check.mu.Lock()
	defer s.check.mu.Unlock()
	s.check.jobs[j.id] = j
}

// told checks an answer about a job.
func (s *site) told(j *job, status int, answer protocol.JobResponse, submission bool) {
	s.check.mu.Lock()
	defer s.check.mu.Unlock()
	switch {
	case status == http.StatusNotFound && j.accepted:
		s.violate("forgotten", "%s was accepted and is answered 404", j.id)
	case submission && j.accepted && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity):
		s.violate("forgotten", "%s was accepted and its submission is answered %d", j.id, status)
	case status == http.StatusOK || status == http.StatusCreated:
		j.accepted = true
		s.toldState(j, answer.State)
	}
}

func (s *site) toldState(j *job, state string) {
	if j.state != "" && state != j.state {
		s.violate("went_back", "%s was called %s and is now called %s", j.id, j.state, state)
	}
	switch state {
	case protocol.JobDone:
		j.state = state
		for i := range j.tasks {
			if !s.check.over[protocol.TaskName(j.id, i)] {
				s.violate("not_done", "%s is called done, and task %d is not", j.id, i)
				return
			}
		}
	case protocol.JobCancelled:
		if !j.asked && len(j.awaits) == 0 {
			s.violate("went_back", "%s is called cancelled, and its user has not asked for it", j.id)
		}
		if j.state == "" {
			j.abortedAt = time.Now()
		}
		j.state = state
	}
}

// submit submits a job as a user does, for up to a minute, and reports whether it was accepted.
func (s *site) submit(j *job) bool {
	s.add(j)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && !s.check.stopped(); {
		status, answer, wait := s.ask(s.healthy(), "POST", "/v2/runs", j.body(), 5*time.Second)
		s.told(j, status, answer, true)
		switch status {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			j.rejected = status
			return false
		}
		time.Sleep(max(wait, time.Second))
	}
	return false
}

// cancel cancels a job as a user does.
func (s *site) cancel(j *job) string {
	s.check.mu.Lock()
	j.asked = true
	s.check.mu.Unlock()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && !s.check.stopped(); {
		status, answer, wait := s.ask(s.healthy(), "POST", "/v2/runs/"+j.id+"/abort", nil, 5*time.Second)
		s.told(j, status, answer, false)
		if status == http.StatusOK {
			return answer.State
		}
		time.Sleep(max(wait, time.Second))
	}
	return ""
}

// poll asks for a job's state once.
func (s *site) poll(j *job, c *controller) (int, string) {
	status, answer, _ := s.ask(c, "GET", "/v2/runs/"+j.id, nil, 2*time.Second)
	s.told(j, status, answer, false)
	return status, answer.State
}

// follow polls a job until it is over, or the time has passed, and reports whether it is over.
func (s *site) follow(j *job, every, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end) && !s.check.stopped(); time.Sleep(every) {
		if status, state := s.poll(j, s.healthy()); status == http.StatusOK && (state == protocol.JobDone || state == protocol.JobCancelled) {
			return true
		}
	}
	return false
}
