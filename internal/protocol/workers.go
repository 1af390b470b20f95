package protocol

import (
	"fmt"
	"strconv"
	"strings"
)

// States of a task on its machine.
const (
	TaskFetching = "fetching"
	TaskWaiting  = "waiting"
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskExited   = "ended"
)

// Why a task exited.
const (
	ExitDone           = "done"
	ExitStopped        = "halted"
	ExitFailed         = "error"
	ExitNoCapacity     = "no_room"
	ExitDuplicate      = "busy"
	ExitUnknownTask    = "no_such"
	ExitGangPeerLost   = "peers"
	ExitGangIncomplete = "incomplete"
)

// Commands to a worker.
const (
	CommandStart  = "start"
	CommandStop   = "kill"
	CommandForget = "clear"
)

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task       string `msgpack:"Lot"`
	Attempt    uint64 `msgpack:"Try"`
	State      string `msgpack:"Status"`
	ExitReason string `msgpack:"Cause,omitempty"`
	Saved      bool   `msgpack:"Stored,omitempty"`
}

// Heartbeat is what a worker says about itself.
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

// Newer reports whether r was made after a report with the given session and
// sequence number.
func (h *Heartbeat) Newer(session, seq uint64) bool {
	return h.Session > session || h.Session == session && h.Seq > seq
}

// Command is one order to a worker.
type Command struct {
	Kind    string  `msgpack:"Verb"`
	Task    string  `msgpack:"Lot"`
	Attempt uint64  `msgpack:"Try"`
	GraceS  float64 `msgpack:"MercyS"`
}

// HeartbeatResponse answers a report with 200.
type HeartbeatResponse struct {
	Token    uint64    `msgpack:"Baton"`
	Commands []Command `msgpack:"Orders"`
}

// Redirect answers a report with 421.
type Redirect struct {
	ReportTo string `msgpack:"Auctioneer,omitempty"`
}

// HeartbeatReply is either answer to a report, as the worker reads it.
type HeartbeatReply struct {
	HeartbeatResponse
	Redirect
}

// DirectCommands is a direct command to a worker.
type DirectCommands struct {
	Token    uint64    `msgpack:"Baton"`
	Session  uint64    `msgpack:"Shift"`
	Commands []Command `msgpack:"Orders"`
}

// TaskName is the name of task i of a job.
func TaskName(job string, i int) string { return job + "/" + strconv.Itoa(i) }

// ParseTaskName splits a task's name into its job and number.
func ParseTaskName(name string) (string, int, error) {
	job, num, ok := strings.Cut(name, "/")
	if !ok || !ValidJobID(job) {
		return "", 0, fmt.Errorf("task name %q", name)
	}
	i, err := strconv.Atoi(num)
	if err != nil || i < 0 || i >= MaxTasks || strconv.Itoa(i) != num {
		return "", 0, fmt.Errorf("task name %q", name)
	}
	return job, i, nil
}
