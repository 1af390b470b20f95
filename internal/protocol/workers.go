package protocol

import (
	"fmt"
	"strconv"
	"strings"
)

// States of a task on its machine.
const (
	TaskFetching = "fetching" // its image is being pulled
	TaskWaiting  = "waiting"  // a gang's task waits for the other tasks of the gang
	TaskRunning  = "running"
	TaskSaving   = "saving" // it was asked to stop and saves a checkpoint
	TaskExited   = "ended"
)

// Reasons why a task exited.
const (
	ExitDone           = "done"
	ExitStopped        = "halted"
	ExitFailed         = "error"
	ExitNoCapacity     = "no_room"
	ExitDuplicate      = "busy"       // the machine already runs an attempt of the task
	ExitUnknownTask    = "no_such"    // the worker does not know the task
	ExitGangPeerLost   = "peers"      // another task of the gang was missing for too long while this one ran
	ExitGangIncomplete = "incomplete" // the tasks of the gang were not all ready in time
)

// Kinds of commands to a worker.
const (
	CommandStart  = "start"
	CommandStop   = "kill"
	CommandForget = "clear" // drop an exited attempt whose exit the controller has recorded
)

// TaskStatus is the state of one attempt of a task in a worker's heartbeat. Saved says that the
// attempt saved a checkpoint when it was stopped.
type TaskStatus struct {
	Task       string `msgpack:"Lot"`
	Attempt    uint64 `msgpack:"Try"`
	State      string `msgpack:"Status"`
	ExitReason string `msgpack:"Cause,omitempty"`
	Saved      bool   `msgpack:"Stored,omitempty"`
}

// Heartbeat is a worker's periodic report on itself and its tasks.
//
// Session increases whenever the worker restarts or its lease has expired, and Seq with each
// heartbeat. Token is the highest fencing token that the worker has received. NoticeS is the time in
// seconds until the cloud preempts the machine, or nil if no preemption is announced.
type Heartbeat struct {
	Machine string       `msgpack:"Rig"`
	Addr    string       `msgpack:"Addr"`
	Type    string       `msgpack:"Rigtype"`
	Zone    string       `msgpack:"Yard"`
	Spot    bool         `msgpack:"Loaner"`
	Session uint64       `msgpack:"Shift"`
	Seq     uint64       `msgpack:"Tally"`
	Token   uint64       `msgpack:"Baton"`
	NoticeS *float64     `msgpack:"RecallS"`
	Tasks   []TaskStatus `msgpack:"Lots"`
}

// Newer reports whether h was created after the heartbeat with the given session and sequence
// number.
func (h *Heartbeat) Newer(session, seq uint64) bool {
	return h.Session > session || h.Session == session && h.Seq > seq
}

// Command instructs a worker to start, stop or forget an attempt of a task. GraceS is the time in
// seconds that a stopped task has to save a checkpoint.
type Command struct {
	Kind    string  `msgpack:"Verb"`
	Task    string  `msgpack:"Lot"`
	Attempt uint64  `msgpack:"Try"`
	GraceS  float64 `msgpack:"MercyS"`
}

// HeartbeatResponse is the response to a heartbeat with status 200. Token is the controller's fencing
// token.
type HeartbeatResponse struct {
	Token    uint64    `msgpack:"Baton"`
	Commands []Command `msgpack:"Orders"`
}

// Redirect is the response to a heartbeat with status 421: the worker should send its heartbeats to
// the controller with the label ReportTo, or to any other one if ReportTo is empty.
type Redirect struct {
	ReportTo string `msgpack:"Auctioneer,omitempty"`
}

// HeartbeatReply holds the fields of both responses to a heartbeat, so that a worker can decode either.
type HeartbeatReply struct {
	HeartbeatResponse
	Redirect
}

// DirectCommands is a request by which a controller sends commands to a worker without waiting for its
// next heartbeat. The worker rejects it if Token is stale or Session is not its own session.
type DirectCommands struct {
	Token    uint64    `msgpack:"Baton"`
	Session  uint64    `msgpack:"Shift"`
	Commands []Command `msgpack:"Orders"`
}

// TaskName returns the name of task i of a job: its id, a slash and i.
func TaskName(job string, i int) string { return job + "/" + strconv.Itoa(i) }

// ParseTaskName splits a task's name into its job's id and its index in the job. It accepts only names
// that TaskName returns for a valid job id and an index below MaxTasks.
func ParseTaskName(name string) (string, int, error) {
	job, num, ok := strings.Cut(name, "/")
	if !ok || !ValidJobID(job) {
		return "", 0, fmt.Errorf("malformed task name %q: want job id/index", name)
	}
	i, err := strconv.Atoi(num)
	if err != nil || i < 0 || i >= MaxTasks || strconv.Itoa(i) != num {
		return "", 0, fmt.Errorf("malformed task name %q: want job id/index", name)
	}
	return job, i, nil
}
