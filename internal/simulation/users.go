package simulation

import (
	"fmt"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

const (
	// userTimeout is how long a user waits for an answer.
	userTimeout = 5 * time.Second
	// userRetryInterval is the pause before a request is repeated that was not served.
	userRetryInterval = time.Second
	// firstPollDelay is the time from a job's acceptance to the first question about it.
	firstPollDelay = time.Second
	// pollInterval is the pause between questions about a job.
	pollInterval = 3 * time.Second

	// readEverywhereRounds and readRoundInterval say how often, and how fast after one another, a
	// job's user asks at all nodes when it reads everywhere.
	readEverywhereRounds   = 3
	readEverywhereInterval = 4 * time.Millisecond
)

// Statuses of replies beside those that the core gives: servers and balancers give these.
const (
	statusBadRequest      core.ReplyStatus = 400
	statusTooManyRequests core.ReplyStatus = 429
	statusServerError     core.ReplyStatus = 500
)

// Users submit, poll and cancel jobs. Whatever they are told, and whatever happens to a task
// on a machine, passes through here to the checker.
type Users struct {
	cluster       *Cluster
	checker       *checker
	jobs          map[string]*Job
	lastJobNumber int // number of the job submitted last

	runningTasks int                // on machines
	cpus         map[string]float64 // that they take, by team
	gpus         map[string]float64

	Starts                int // tasks that started on a machine
	RepeatedStarts        int // those of them that had been completed before
	Requests              int // requests
	Served                int // requests that got an answer other than to come again later
	TimedOut              int // requests that got no answer in time
	ReadEverywhereReplies int // questions of ReadEverywhere that were answered
	// StartsAfterCancel counts the starts that a machine took after the user was told that the job
	// is cancelled.
	StartsAfterCancel int

	// OnlyNode is the node that all requests go to, nil: to any that is ready.
	OnlyNode *Node
	// FaultsOverAt is when all faults are over, 0: not known. Some rules hold from then on only.
	FaultsOverAt time.Duration
	// CheckReadYourWrites has users ask at all nodes again and again within milliseconds, and repeat
	// the submission, right after a job was accepted, ended or called cancelled.
	CheckReadYourWrites bool
	// CancelAtEndShare is the share of jobs that are cancelled at the moment at which they end.
	CancelAtEndShare float64
}

// Job is a job as its user sees it.
type Job struct {
	Spec            protocol.Job
	RunS            float64   // how long its tasks run
	TaskRunS        []float64 // by task, if they differ
	FailsEverywhere bool      // its tasks fail wherever they run
	MustBeRejected  bool      // it can't run or lacks a field: it must not be accepted

	Accepted          bool
	Rejected          core.ReplyStatus     // the status of its final rejection, 0: none
	LastState         string               // the state that its user was told last
	LastResponse      protocol.JobResponse // in which that was
	CancelConfirmedAt time.Duration        // when its user was told that it is cancelled

	submittedAt     time.Duration
	cancelRequested bool
	completed       map[int]bool          // tasks, by index
	savedRun        map[int]time.Duration // how much of its run a task has saved, by index
	machines        map[string]string     // where its tasks are, by name

	// Records of the checker.
	finalAt        time.Duration            // when the first word came that it is done or cancelled
	lastResponseAt time.Duration            // when a question about it was answered last
	lastStartAt    time.Duration            // when a machine took one of its tasks last
	idleSince      map[string]time.Duration // machines that could take a task of it, and since when
}

func newUsers(cluster *Cluster) *Users {
	return &Users{cluster: cluster, checker: cluster.checker, jobs: map[string]*Job{}, cpus: map[string]float64{}, gpus: map[string]float64{}}
}

// Array describes an array job with one CPU for each task, for team blue.
func Array(tasks int) protocol.Job {
	return protocol.Job{Class: "photos", Team: "blue", Kind: protocol.KindArray, Urgency: protocol.UrgencyNormal, Tasks: tasks,
		CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 0.5, AllowSpot: true, EstimateS: 10}
}

func jobID(number int) string { return fmt.Sprintf("job-%06d", number) }

// Submit hands in a job whose tasks run for runS seconds, again and again until it is
// answered for good.
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

// Resubmit hands the same job in once more.
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

// request sends a request to some ready node, as a load balancer would. onReply gets the zero
// Reply if no answer comes.
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

// requestFrom sends a request to one node.
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

// accepted begins to poll a job once it is accepted.
func (u *Users) accepted(job *Job, answer protocol.JobResponse, sentAt time.Duration) {
	first := !job.Accepted
	job.Accepted = true
	u.observe(job, answer, sentAt)
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
			u.observe(job, reply.Body.(protocol.JobResponse), sentAt)
		case core.ReplyNotFound:
			u.checker.recordLostJob(job.Spec.ID, reply)
		}
		u.cluster.After(pollInterval, func() { u.poll(job) })
	})
}

// PollAny asks once about some job that was handed in, or about one that never was.
func (u *Users) PollAny() {
	id := jobID(u.cluster.Rand.IntN(u.lastJobNumber + 1))
	job, sentAt := u.jobs[id], u.cluster.Now
	known := job != nil && job.Accepted
	u.request(queryCommand(id), func(reply core.Reply) {
		switch {
		case reply.Status == core.ReplyOK && job == nil:
			u.checker.recordViolation(violationUnknownJobServed, "%s is answered %d", id, reply.Status)
		case reply.Status == core.ReplyOK && known:
			u.observe(job, reply.Body.(protocol.JobResponse), sentAt)
		case reply.Status == core.ReplyNotFound && known:
			u.checker.recordLostJob(id, reply)
		}
	})
}

// SubmitInvalid hands in, at all nodes, a job that can't run: each node must reject it for good, or
// have its user come again, however little it knows yet.
func (u *Users) SubmitInvalid(spec protocol.Job) *Job {
	job := u.Submit(spec, 1)
	job.MustBeRejected = true
	for _, node := range u.cluster.Nodes {
		u.requestFrom(node, submitCommand(job), func(reply core.Reply) { u.checker.checkInvalidJobReply(job, node, reply) }, func() {})
	}
	return job
}

// Cancel cancels a job, again and again until that is confirmed.
func (u *Users) Cancel(job *Job) {
	job.cancelRequested = true
	sentAt := u.cluster.Now
	u.request(cancelCommand(job), func(reply core.Reply) {
		if reply.Status != core.ReplyOK {
			u.cluster.After(userRetryInterval, func() { u.Cancel(job) })
			return
		}
		u.observe(job, reply.Body.(protocol.JobResponse), sentAt)
	})
}

// NoteCancelRequested notes that a job's user wants it cancelled, whoever is asked and whatever comes of it.
func (u *Users) NoteCancelRequested(job *Job) { job.cancelRequested = true }

// readEverywhereIfEnabled reads a job at all nodes if CheckReadYourWrites is set.
func (u *Users) readEverywhereIfEnabled(job *Job) {
	if u.CheckReadYourWrites {
		u.ReadEverywhere(job)
	}
}

// ReadEverywhere has a job's user ask at all nodes, and submit it again at one of them, three times
// within some milliseconds: every node must know what any node has confirmed.
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

// readAt asks one node about a job and checks its answer.
func (u *Users) readAt(node *Node, job *Job, build func(core.RequestID) core.Command) {
	sentAt, known := u.cluster.Now, job.Accepted
	u.requestFrom(node, build, func(reply core.Reply) {
		switch reply.Status {
		case core.ReplyOK, core.ReplyAccepted:
			u.ReadEverywhereReplies++
			u.observe(job, reply.Body.(protocol.JobResponse), sentAt)
		case core.ReplyNotFound, statusBadRequest, core.ReplyInvalid:
			if known {
				u.checker.recordViolation(violationJobLost, "%s is answered %d by %s", job.Spec.ID, reply.Status, node.Label)
			}
		}
	}, func() {})
}

// isFinal reports whether a job's state never changes again.
func isFinal(state string) bool {
	return state == protocol.JobDone || state == protocol.JobCancelled
}

// observe takes what a node says of a job in answer to a question that left at sentAt.
func (u *Users) observe(job *Job, answer protocol.JobResponse, sentAt time.Duration) {
	u.checker.checkResponse(job, answer, sentAt)
	job.lastResponseAt = u.cluster.Now
	if isFinal(job.LastState) { // the first such word is the one that counts
		if answer.State == job.LastState {
			job.LastResponse = answer
		}
		return
	}
	if answer.State == protocol.JobCancelled {
		job.CancelConfirmedAt = u.cluster.Now
		u.cluster.After(u.checker.cancelDeadline(), func() { u.checker.checkNoTaskRuns(job) })
	}
	job.LastState, job.LastResponse = answer.State, answer
	if isFinal(answer.State) {
		job.finalAt = u.cluster.Now
		u.readEverywhereIfEnabled(job)
	}
}

// taskStarted notes that a task is on a machine from now on.
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

// taskLeft notes that a task is no longer on its machine.
func (u *Users) taskLeft(worker *Worker, task *Task) {
	if task.job != nil && task.occupiesMachine() && task.job.machines[task.Name] == worker.Info.Name {
		delete(task.job.machines, task.Name)
		u.addUsage(task.job, -1)
	}
}

// taskCompleted notes that a task has done its work; it may have done so before.
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

// addUsage adds the usage of tasks of a job, or takes it away, to that of its team.
func (u *Users) addUsage(job *Job, tasks int) {
	u.runningTasks += tasks
	u.cpus[job.Spec.Team] += float64(tasks) * job.Spec.CPUs
	u.gpus[job.Spec.Team] += float64(tasks) * job.Spec.GPUs
}

// AllFinal reports whether the user of every job that was not rejected knows that it is over.
func (u *Users) AllFinal() bool {
	for _, job := range u.jobs {
		if job.Rejected == 0 && !isFinal(job.LastState) {
			return false
		}
	}
	return true
}

// CompletedTasks is how many tasks of jobs have completed.
func (u *Users) CompletedTasks(jobs ...*Job) (tasks int) {
	for _, job := range jobs {
		tasks += len(job.completed)
	}
	return tasks
}

// RunningTasks is how many tasks of all jobs are on machines.
func (u *Users) RunningTasks() int { return u.runningTasks }

// LastReasons lists what the users of the jobs that are not over were told last.
func (u *Users) LastReasons() []string {
	var reasons []string
	for _, job := range u.jobs {
		if job.LastResponse.Reason != "" {
			reasons = append(reasons, job.LastResponse.Reason)
		}
	}
	return reasons
}

// MachineOf is the machine that a task is on, or empty.
func (j *Job) MachineOf(index int) string { return j.machines[protocol.TaskName(j.Spec.ID, index)] }

// RunningTasks is how many of its tasks are on machines.
func (j *Job) RunningTasks() int { return len(j.machines) }
