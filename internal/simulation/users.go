package simulation

import (
	"fmt"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// userTimeout is how long a user waits for a response.
	userTimeout = 5 * time.Second
	// userRetryInterval is the pause before a user repeats a request that was not served.
	userRetryInterval = time.Second
	// firstPollDelay is the time from a job's acceptance to the first query of its state.
	firstPollDelay = time.Second
	// pollInterval is the pause after the response to a query, or its timeout, until the next query
	// of the job's state.
	pollInterval = 3 * time.Second

	// readEverywhereRounds is how often ReadEverywhere queries all nodes, and readEverywhereInterval
	// is the time from one such round to the next.
	readEverywhereRounds   = 3
	readEverywhereInterval = 4 * time.Millisecond
)

// HTTP statuses that servers and load balancers reply with, in addition to those of the core.
const (
	statusBadRequest      core.ReplyStatus = 400
	statusTooManyRequests core.ReplyStatus = 429
	statusServerError     core.ReplyStatus = 500
)

// Users simulates the users, who submit, query and cancel jobs. It passes every response that they
// get, and every start and end of a task on a machine, to the checker.
type Users struct {
	cluster       *Cluster
	checker       *checker
	jobs          map[string]*Job
	lastJobNumber int // number of the job submitted last, part of its ID if it had none

	runningTasks int                // number of tasks on machines
	cpus         map[string]float64 // CPUs that tasks on machines use, by team
	gpus         map[string]float64 // GPUs that tasks on machines use, by team

	Starts                int // starts of a task on a machine
	RepeatedStarts        int // those of them whose task had completed before
	Requests              int // requests that may go to any ready node, also while none was ready; requests to a given node are not counted
	Served                int // those of them with a response other than a server error or statusTooManyRequests
	TimedOut              int // those of them that got no response within userTimeout or whose connection broke
	ReadEverywhereReplies int // requests of ReadEverywhere that got a response about the job
	// StartsAfterCancel counts the attempts that a machine took on after the user had got the
	// confirmation that the job is cancelled.
	StartsAfterCancel int

	// OnlyNode is the only node that requests go to. While it is not ready, they fail. If it is nil,
	// they go to any node that is ready. Requests to a given node, such as those of ReadEverywhere,
	// are not affected.
	OnlyNode *Node
	// FaultsOverAt is the simulated time at which all faults are over, 0: not known. Some invariants
	// are checked only from then on.
	FaultsOverAt time.Duration
	// CheckReadYourWrites makes users call ReadEverywhere right after a job was accepted, after its
	// last task completed, and after it was first reported as done or cancelled.
	CheckReadYourWrites bool
	// CancelAtEndShare is the share of jobs that are cancelled at the moment at which their last task
	// completes.
	CancelAtEndShare float64
}

// Job is a job as its user sees it.
type Job struct {
	Spec            protocol.Job
	RunS            float64   // how long its tasks run, in seconds
	TaskRunS        []float64 // how long each task runs, in seconds, by index; empty: RunS for all
	FailsEverywhere bool      // its tasks fail on every machine
	MustBeRejected  bool      // it cannot run or lacks a field, so no node may accept it

	Accepted          bool
	Rejected          core.ReplyStatus     // status of its final rejection, 0: none
	LastState         string               // state last reported to its user; a final one stays
	LastResponse      protocol.JobResponse // the latest response that reported it
	CancelConfirmedAt time.Duration        // when its user got the confirmation that it is cancelled, 0: not yet

	submittedAt     time.Duration
	cancelRequested bool
	completed       map[int]bool          // completed tasks, by index
	savedRun        map[int]time.Duration // progress of each task that a retry need not repeat, by index
	machines        map[string]string     // machine that each of its tasks is on, by task name

	// Fields that only the checker uses.
	finalAt        time.Duration            // when it was first reported as done or cancelled
	lastResponseAt time.Duration            // when the last response about it arrived
	lastStartAt    time.Duration            // when a machine last took on one of its tasks
	idleSince      map[string]time.Duration // see checker.idleMachines
}

func newUsers(cluster *Cluster) *Users {
	return &Users{cluster: cluster, checker: cluster.checker, jobs: map[string]*Job{}, cpus: map[string]float64{}, gpus: map[string]float64{}}
}

// Array returns the description of an array job of team blue whose tasks use one CPU and 1 GB of
// memory each. It has no ID; Submit assigns one.
func Array(tasks int) protocol.Job {
	return protocol.Job{Class: "photos", Team: "blue", Kind: protocol.KindArray, Urgency: protocol.UrgencyNormal, Tasks: tasks,
		CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 0.5, AllowSpot: true, EstimateS: 10}
}

func jobID(number int) string { return fmt.Sprintf("job-%06d", number) }

// Submit submits a job whose tasks run for runS seconds, and repeats the request until the job is
// accepted or finally rejected. A job without an ID gets one made from its number.
func (u *Users) Submit(spec protocol.Job, runS float64) *Job {
	u.lastJobNumber++
	if spec.ID == "" {
		spec.ID = jobID(u.lastJobNumber)
	}
	job := &Job{
		Spec: spec, RunS: runS, submittedAt: u.cluster.Now,
		completed: map[int]bool{}, savedRun: map[int]time.Duration{}, machines: map[string]string{},
	}
	u.jobs[spec.ID] = job
	u.submit(job)
	return job
}

// Resubmit submits the same job once more, and repeats the request until it is accepted or finally
// rejected.
func (u *Users) Resubmit(job *Job) { u.submit(job) }

func submitCommand(job *Job) func(core.RequestID) core.Command {
	return func(id core.RequestID) core.Command { return core.SubmitJob{ID: id, Spec: job.Spec} }
}

func queryCommand(jobID string) func(core.RequestID) core.Command {
	return func(id core.RequestID) core.Command { return core.QueryJob{ID: id, JobID: jobID} }
}

func cancelCommand(job *Job) func(core.RequestID) core.Command {
	return func(id core.RequestID) core.Command { return core.CancelJob{ID: id, JobID: job.Spec.ID} }
}

// request sends a request to some ready node, as a load balancer would. onReply gets the zero Reply
// if no response arrives within userTimeout or the connection breaks, and after userRetryInterval if
// no node is ready.
func (u *Users) request(build func(core.RequestID) core.Command, onReply func(core.Reply)) {
	cluster := u.cluster
	u.Requests++
	count := func(reply core.Reply) {
		if reply.Status > 0 && reply.Status < statusServerError && reply.Status != statusTooManyRequests {
			u.Served++
		}
		onReply(reply)
	}
	first := cluster.Rand.IntN(len(cluster.Nodes))
	for i := range cluster.Nodes {
		node := cluster.Nodes[(first+i)%len(cluster.Nodes)]
		if node.Alive() && node.Ready && (u.OnlyNode == nil || u.OnlyNode == node) {
			u.requestFrom(node, build, count, func() {
				u.TimedOut++
				count(core.Reply{})
			})
			return
		}
	}
	cluster.After(userRetryInterval, func() { count(core.Reply{}) })
}

// requestFrom sends a request to the given node. Exactly one of onReply and onTimeout is called;
// onTimeout also if the connection breaks.
func (u *Users) requestFrom(node *Node, build func(core.RequestID) core.Command, onReply func(core.Reply), onTimeout func()) {
	call(u.cluster, endpointUsers, node.Label, userTimeout, func(reply func(core.Reply)) { node.Request(build, reply) }, onReply, onTimeout)
}

func (u *Users) submit(job *Job) {
	sentAt := u.cluster.Now
	u.request(submitCommand(job), func(reply core.Reply) {
		switch reply.Status {
		case core.ReplyOK, core.ReplyAccepted:
			u.checker.checkAcceptance(job, reply)
			u.accepted(job, reply.Body.(protocol.JobResponse), sentAt)
		case statusBadRequest, core.ReplyInvalid:
			u.checker.checkFinalRejection(job, reply)
			job.Rejected = reply.Status
		default:
			u.cluster.After(userRetryInterval, func() { u.submit(job) })
		}
	})
}

// accepted handles the response that accepts a job. When the first one arrives, the user begins to
// poll the job.
func (u *Users) accepted(job *Job, response protocol.JobResponse, sentAt time.Duration) {
	first := !job.Accepted
	job.Accepted = true
	u.recordResponse(job, response, sentAt)
	if first {
		u.cluster.After(firstPollDelay, func() { u.poll(job) })
		u.readEverywhereIfEnabled(job)
	}
}

func (u *Users) poll(job *Job) {
	sentAt := u.cluster.Now
	u.checker.checkLastResponse(job)
	u.checker.checkWaiting(job)
	u.request(queryCommand(job.Spec.ID), func(reply core.Reply) {
		switch reply.Status {
		case core.ReplyOK:
			u.recordResponse(job, reply.Body.(protocol.JobResponse), sentAt)
		case core.ReplyNotFound:
			u.checker.recordLostJob(job.Spec.ID, reply)
		}
		u.cluster.After(pollInterval, func() { u.poll(job) })
	})
}

// PollAny queries once a random job ID, of a submitted job or one that was never used.
func (u *Users) PollAny() {
	id := jobID(u.cluster.Rand.IntN(u.lastJobNumber + 1))
	job, sentAt := u.jobs[id], u.cluster.Now
	known := job != nil && job.Accepted
	u.request(queryCommand(id), func(reply core.Reply) {
		switch {
		case reply.Status == core.ReplyOK && job == nil:
			u.checker.recordViolation(violationUnknownJobServed, "job %s was never submitted, but a query got status %d", id, reply.Status)
		case reply.Status == core.ReplyOK && known:
			u.recordResponse(job, reply.Body.(protocol.JobResponse), sentAt)
		case reply.Status == core.ReplyNotFound && known:
			u.checker.recordLostJob(id, reply)
		}
	})
}

// SubmitInvalid submits a job that cannot run, to all nodes. Each node must reject it finally or
// make the user retry, even if the node has not loaded its state yet.
func (u *Users) SubmitInvalid(spec protocol.Job) *Job {
	job := u.Submit(spec, 1)
	job.MustBeRejected = true
	for _, node := range u.cluster.Nodes {
		u.requestFrom(node, submitCommand(job), func(reply core.Reply) { u.checker.checkInvalidJobReply(job, node, reply) }, func() {})
	}
	return job
}

// Cancel cancels a job and repeats the request until a node responds with the job's state.
func (u *Users) Cancel(job *Job) {
	job.cancelRequested = true
	sentAt := u.cluster.Now
	u.request(cancelCommand(job), func(reply core.Reply) {
		if reply.Status != core.ReplyOK {
			u.cluster.After(userRetryInterval, func() { u.Cancel(job) })
			return
		}
		u.recordResponse(job, reply.Body.(protocol.JobResponse), sentAt)
	})
}

// NoteCancelRequested records that the job's user has requested its cancellation, without sending a
// request. Tests that send the request themselves call it.
func (u *Users) NoteCancelRequested(job *Job) { job.cancelRequested = true }

// readEverywhereIfEnabled calls ReadEverywhere if CheckReadYourWrites is set.
func (u *Users) readEverywhereIfEnabled(job *Job) {
	if u.CheckReadYourWrites {
		u.ReadEverywhere(job)
	}
}

// ReadEverywhere makes a job's user query all nodes, and submit the job again to one of them, three
// times within some milliseconds. The checker then verifies that every node knows what any node
// has confirmed.
func (u *Users) ReadEverywhere(job *Job) {
	for round := range readEverywhereRounds {
		u.cluster.After(time.Duration(round)*readEverywhereInterval, func() {
			for i, node := range u.cluster.Nodes {
				u.readAt(node, job, queryCommand(job.Spec.ID))
				if i == round%len(u.cluster.Nodes) {
					u.readAt(node, job, submitCommand(job))
				}
			}
		})
	}
}

// readAt sends a query or submission of a job to the given node and checks the reply.
func (u *Users) readAt(node *Node, job *Job, build func(core.RequestID) core.Command) {
	sentAt, known := u.cluster.Now, job.Accepted
	u.requestFrom(node, build, func(reply core.Reply) {
		switch reply.Status {
		case core.ReplyOK, core.ReplyAccepted:
			u.ReadEverywhereReplies++
			u.recordResponse(job, reply.Body.(protocol.JobResponse), sentAt)
		case core.ReplyNotFound, statusBadRequest, core.ReplyInvalid:
			if known {
				u.checker.recordViolation(violationJobLost, "accepted job %s got status %d from %s", job.Spec.ID, reply.Status, node.Label)
			}
		}
	}, func() {})
}

// isFinal reports whether a job in the given state never changes its state again.
func isFinal(state string) bool {
	return state == protocol.JobDone || state == protocol.JobCancelled
}

// recordResponse checks and records a node's response about a job to a request that was sent at sentAt.
func (u *Users) recordResponse(job *Job, response protocol.JobResponse, sentAt time.Duration) {
	u.checker.checkResponse(job, response, sentAt)
	job.lastResponseAt = u.cluster.Now
	if isFinal(job.LastState) { // the first final state counts; a different one is a violation
		if response.State == job.LastState {
			job.LastResponse = response
		}
		return
	}
	if response.State == protocol.JobCancelled {
		job.CancelConfirmedAt = u.cluster.Now
		u.cluster.After(u.checker.cancelDeadline(), func() { u.checker.checkNoTaskRuns(job) })
	}
	job.LastState, job.LastResponse = response.State, response
	if isFinal(response.State) {
		job.finalAt = u.cluster.Now
		u.readEverywhereIfEnabled(job)
	}
}

// taskStarted checks and records that a task is on a machine from now on.
func (u *Users) taskStarted(worker *Worker, task *Task) {
	job := task.job
	u.checker.checkStart(worker, task)
	if _, ok := job.machines[task.Name]; !ok {
		u.addUsage(job, 1)
	}
	u.Starts++
	if job.completed[task.index] {
		u.RepeatedStarts++
	}
	job.machines[task.Name] = worker.Info.Name
	u.checker.checkPlacement(worker, task)
	u.checker.checkQuota(job.Spec.Team)
}

// taskRemoved records that a task is no longer on its machine.
func (u *Users) taskRemoved(worker *Worker, task *Task) {
	if task.job != nil && task.occupiesMachine() && task.job.machines[task.Name] == worker.Info.Name {
		delete(task.job.machines, task.Name)
		u.addUsage(task.job, -1)
	}
}

// taskCompleted records that a task has completed. It may have completed before, in another attempt.
func (u *Users) taskCompleted(task *Task) {
	job := task.job
	if job.completed[task.index] {
		return
	}
	job.completed[task.index] = true
	if len(job.completed) == job.Spec.Tasks {
		u.jobCompleted(job)
	}
}

// jobCompleted is called when the last task of a job completes.
func (u *Users) jobCompleted(job *Job) {
	if u.CancelAtEndShare > 0 && u.cluster.Rand.Float64() < u.CancelAtEndShare {
		u.Cancel(job)
	}
	u.readEverywhereIfEnabled(job)
}

// addUsage adds what the given number of a job's tasks uses to the usage of its team. A negative
// number subtracts it.
func (u *Users) addUsage(job *Job, tasks int) {
	u.runningTasks += tasks
	u.cpus[job.Spec.Team] += float64(tasks) * job.Spec.CPUs
	u.gpus[job.Spec.Team] += float64(tasks) * job.Spec.GPUs
}

// AllFinal reports whether every job that was not rejected has been reported as done or cancelled.
func (u *Users) AllFinal() bool {
	for _, job := range u.jobs {
		if job.Rejected == 0 && !isFinal(job.LastState) {
			return false
		}
	}
	return true
}

// CompletedTasks returns how many tasks of the given jobs have completed.
func (u *Users) CompletedTasks(jobs ...*Job) (tasks int) {
	for _, job := range jobs {
		tasks += len(job.completed)
	}
	return tasks
}

// RunningTasks returns how many tasks of all jobs are on machines.
func (u *Users) RunningTasks() int { return u.runningTasks }

// LastReasons returns the reasons in the last responses about all jobs, as far as these give one, in
// no particular order.
func (u *Users) LastReasons() []string {
	var reasons []string
	for _, job := range u.jobs {
		if job.LastResponse.Reason != "" {
			reasons = append(reasons, job.LastResponse.Reason)
		}
	}
	return reasons
}

// MachineOf returns the name of the machine that a task is on, or an empty string.
func (j *Job) MachineOf(index int) string { return j.machines[protocol.TaskName(j.Spec.ID, index)] }

// RunningTasks returns how many of the job's tasks are on machines.
func (j *Job) RunningTasks() int { return len(j.machines) }
