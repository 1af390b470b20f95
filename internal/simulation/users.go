package simulation

import (
	"fmt"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// Users submit, poll and cancel, and keep the rules' checker: whatever happens
// on a machine or is told to a user passes through here.
type Users struct {
	cluster      *World
	jobs         map[string]*Job
	lastJob      int
	runningTasks int                // tasks that are on machines
	cpus         map[string]float64 // that they take, by team
	gpus         map[string]float64
	Starts       int           // tasks that started on a machine
	Again        int           // and those of them that had been completed before
	Asked        int           // requests,
	Served       int           // and those that got another answer than to come again later,
	Late         int           // or none at all in time
	Only         *Node         // whom all requests go to, nil: to any that is ready
	Calm         time.Duration // when all troubles are over, 0: not known
	// CloseLooks has users ask at all nodes again and again within milliseconds, and repeat
	// the submission, right after a job was accepted, ended or called cancelled.
	CloseLooks bool
	// AtEnd is the share of jobs that are called off at the moment at which they end.
	AtEnd float64
	// LateStarts counts the starts that a machine took after the user was told that the job
	// is cancelled.
	LateStarts int
	Looks      int // questions of close looks that were answered with 200
}

// Job is a job as its user sees it.
type Job struct {
	Spec            protocol.Job
	RunS            float64
	RunsS           []float64 // by task, if they differ
	Mistaken        bool      // fails wherever it runs
	Accepted        bool
	Refused         core.ReplyStatus // the final refusal's status
	Never           bool             // can't run or lacks a field: must not be accepted
	Told            string
	finalAt         time.Duration            // when the first word came that it is done or cancelled
	answeredAt      time.Duration            // when a question about it was answered last
	idleSince       map[string]time.Duration // machines that could take it while it waits, and since when
	lastStartAt     time.Duration            // when a machine took one of its tasks last
	submittedAt     time.Duration            // when it was handed in
	Answer          protocol.JobResponse
	cancelRequested bool
	Cancelled       time.Duration // when its user was told
	completed       map[int]bool
	savedRun        map[int]time.Duration // how much of its run a task has saved
	machines        map[string]string     // task -> machine
}

func newUsers(w *World) *Users {
	return &Users{cluster: w, jobs: map[string]*Job{}, cpus: map[string]float64{}, gpus: map[string]float64{}}
}

// Array describes an array job of n tasks with one CPU each, for team blue.
func Array(n int) protocol.Job {
	return protocol.Job{Class: "photos", Team: "blue", Kind: protocol.KindArray, Urgency: protocol.UrgencyNormal, Tasks: n,
		CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 0.5, AllowSpot: true, EstimateS: 10}
}

// Submit hands in a job whose tasks run for runS, again and again until it is
// answered; change may alter it first.
func (u *Users) Submit(spec protocol.Job, runS float64) *Job {
	u.lastJob++
	if spec.ID == "" {
		spec.ID = fmt.Sprintf("job-%06d", u.lastJob)
	}
	j := &Job{Spec: spec, RunS: runS, submittedAt: u.cluster.Now, completed: map[int]bool{}, savedRun: map[int]time.Duration{}, machines: map[string]string{}}
	u.jobs[spec.ID] = j
	u.submit(j)
	return j
}

// request sends a request to some live node, as a load balancer would.
func (u *Users) request(build func(core.RequestID) core.Command, got func(core.Reply)) {
	w := u.cluster
	u.Asked++
	answer := got
	got = func(r core.Reply) {
		if r.Status > 0 && r.Status < 500 && r.Status != 429 {
			u.Served++
		}
		answer(r)
	}
	start := w.Rand.IntN(len(w.Nodes))
	for i := range w.Nodes {
		n := w.Nodes[(start+i)%len(w.Nodes)]
		if n.Alive() && n.Ready && (u.Only == nil || u.Only == n) {
			call(w, "users", n.Label, 5*time.Second, func(reply func(core.Reply)) { n.Ask(build, reply) }, got,
				func() {
					u.Late++
					got(core.Reply{})
				})
			return
		}
	}
	w.After(time.Second, func() { got(core.Reply{}) })
}

func (u *Users) submit(j *Job) {
	sent := u.cluster.Now
	u.request(func(id core.RequestID) core.Command { return core.SubmitJob{ID: id, Spec: j.Spec} }, func(r core.Reply) {
		switch r.Status {
		case 200, 201:
			if j.Never {
				u.cluster.recordViolation("wrongly_accepted", "%s is answered %d", j.Spec.ID, r.Status)
			}
			first := !j.Accepted
			j.Accepted = true
			u.observe(j, r.Body.(protocol.JobResponse), sent)
			if first {
				u.cluster.After(time.Second, func() { u.poll(j) })
				u.readEverywhereIfEnabled(j)
			}
		case 400, 422:
			if j.Accepted {
				u.cluster.recordViolation("forgotten", "%s was accepted and then refused with %d", j.Spec.ID, r.Status)
			}
			j.Refused = r.Status
		default:
			u.cluster.After(time.Second, func() { u.submit(j) })
		}
	})
}

// Resubmit hands the same job in once more.
func (u *Users) Resubmit(j *Job) { u.submit(j) }

// readEverywhereIfEnabled is a close look at a job, if users take them.
func (u *Users) readEverywhereIfEnabled(j *Job) {
	if u.CloseLooks {
		u.Look(j)
	}
}

// Look has a job's user ask at all nodes, and hand it in again at one of them, three times
// within some milliseconds.
func (u *Users) Look(j *Job) {
	w := u.cluster
	at := func(n *Node, build func(core.RequestID) core.Command) {
		sent, known := w.Now, j.Accepted
		call(w, "users", n.Label, 5*time.Second, func(reply func(core.Reply)) { n.Ask(build, reply) }, func(r core.Reply) {
			switch {
			case r.Status == 200 || r.Status == 201:
				u.Looks++
				u.observe(j, r.Body.(protocol.JobResponse), sent)
			case known && (r.Status == 404 || r.Status == 400 || r.Status == 422):
				w.recordViolation("forgotten", "%s is answered %d by %s", j.Spec.ID, r.Status, n.Label)
			}
		}, func() {})
	}
	for k := range 3 {
		w.After(time.Duration(k)*4*time.Millisecond, func() {
			for i, n := range w.Nodes {
				at(n, func(id core.RequestID) core.Command { return core.QueryJob{ID: id, JobID: j.Spec.ID} })
				if i == k%len(w.Nodes) {
					at(n, func(id core.RequestID) core.Command { return core.SubmitJob{ID: id, Spec: j.Spec} })
				}
			}
		})
	}
}

// jobCompleted is told of the moment at which the last task of a job completes.
func (u *Users) jobCompleted(j *Job) {
	if u.AtEnd > 0 && u.cluster.Rand.Float64() < u.AtEnd {
		u.Abort(j)
	}
	u.readEverywhereIfEnabled(j)
}

func (u *Users) poll(j *Job) {
	sent := u.cluster.Now
	if u.Calm > 0 && u.cluster.Now-max(j.answeredAt, u.Calm) > maxUnansweredWait {
		u.cluster.recordViolation("forgotten", "no question about %s has been answered since %.3f", j.Spec.ID, j.answeredAt.Seconds())
		j.answeredAt = u.cluster.Now // said once
	}
	u.checkWaiting(j)
	u.request(func(id core.RequestID) core.Command { return core.QueryJob{ID: id, JobID: j.Spec.ID} }, func(r core.Reply) {
		switch r.Status {
		case 200:
			u.observe(j, r.Body.(protocol.JobResponse), sent)
		case 404:
			u.cluster.recordViolation("forgotten", "%s is answered 404", j.Spec.ID)
		}
		u.cluster.After(3*time.Second, func() { u.poll(j) })
	})
}

// PollAny asks once about some job that was handed in, or about one that never was.
func (u *Users) PollAny() {
	n := u.cluster.Rand.IntN(u.lastJob + 1)
	id := fmt.Sprintf("job-%06d", n)
	j, sent := u.jobs[id], u.cluster.Now
	known := j != nil && j.Accepted
	u.request(func(id2 core.RequestID) core.Command { return core.QueryJob{ID: id2, JobID: id} }, func(r core.Reply) {
		switch {
		case r.Status == 200 && j == nil:
			u.cluster.recordViolation("invented", "%s is answered 200", id)
		case r.Status == 200 && known:
			u.observe(j, r.Body.(protocol.JobResponse), sent)
		case r.Status == 404 && known:
			u.cluster.recordViolation("forgotten", "%s is answered 404", id)
		}
	})
}

// Never hands in, at all nodes, a job that can't run: each refuses it for good, or has its
// user come again, however little it knows yet.
func (u *Users) Never(spec protocol.Job) *Job {
	j := u.Submit(spec, 1)
	j.Never = true
	for _, n := range u.cluster.Nodes {
		call(u.cluster, "users", n.Label, 5*time.Second, func(reply func(core.Reply)) {
			n.Ask(func(id core.RequestID) core.Command { return core.SubmitJob{ID: id, Spec: j.Spec} }, reply)
		}, func(r core.Reply) {
			if r.Status != 422 && r.Status != 400 && r.Status != 503 {
				u.cluster.recordViolation("wrongly_accepted", "%s is answered %d by %s", j.Spec.ID, r.Status, n.Label)
			}
		}, func() {})
	}
	return j
}

// Abort cancels a job, again and again until that is confirmed.
func (u *Users) Abort(j *Job) {
	j.cancelRequested = true
	sent := u.cluster.Now
	u.request(func(id core.RequestID) core.Command { return core.CancelJob{ID: id, JobID: j.Spec.ID} }, func(r core.Reply) {
		if r.Status != 200 {
			u.cluster.After(time.Second, func() { u.Abort(j) })
			return
		}
		u.observe(j, r.Body.(protocol.JobResponse), sent)
	})
}

// Wants notes that a job's user wants it cancelled, whoever is asked and whatever comes of it.
func (u *Users) Wants(j *Job) { j.cancelRequested = true }

// AllTold reports whether every accepted job's user knows that it is over.
func (u *Users) AllTold() bool {
	for _, j := range u.jobs {
		if j.Refused == 0 && j.Told != protocol.JobDone && j.Told != protocol.JobCancelled {
			return false
		}
	}
	return true
}

// On is the machine that a task is on, or empty.
func (j *Job) On(i int) string { return j.machines[protocol.TaskName(j.Spec.ID, i)] }

// Done is how many tasks of jobs have completed.
func (u *Users) Done(jobs ...*Job) (n int) {
	for _, j := range jobs {
		n += len(j.completed)
	}
	return n
}

// Running is how many tasks are on machines.
func (j *Job) Running() int { return len(j.machines) }

// Running is how many tasks of all jobs are on machines.
func (u *Users) Running() int { return u.runningTasks }
