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
	WhyDone    = "done"
	WhyStopped = "halted"
	WhyError   = "error"
	WhyNoRoom  = "no_room"
	WhyBusy    = "busy"
	WhyUnknown = "no_such"
	WhyPeers   = "peers"
	WhyAlone   = "incomplete"
)

// Commands to a worker.
const (
	OpStart  = "start"
	OpStop   = "kill"
	OpForget = "clear"
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string `msgpack:"Lot"`
	Attempt uint64 `msgpack:"Try"`
	State   string `msgpack:"Status"`
	Why     string `msgpack:"Cause,omitempty"`
	Saved   bool   `msgpack:"Stored,omitempty"`
}

// Report is what a worker says about itself.
type Report struct {
	Machine string       `msgpack:"Rig"`
	Addr    string       `msgpack:"Addr"`
	Type    string       `msgpack:"Rigtype"`
	Zone    string       `msgpack:"Yard"`
	Spot    bool         `msgpack:"Loaner"`
	Session uint64       `msgpack:"Shift"`
	Seq     uint64       `msgpack:"Tally"`
	Token   uint64       `msgpack:"Baton"`
	NoticeS *float64     `msgpack:"RecallS"`
	Tasks   []TaskReport `msgpack:"Lots"`
}

// Newer reports whether r was made after a report with the given session and
// sequence number.
func (r *Report) Newer(session, seq uint64) bool {
	return r.Session > session || r.Session == session && r.Seq > seq
}

// Command is one order to a worker.
type Command struct {
	Op      string  `msgpack:"Verb"`
	Task    string  `msgpack:"Lot"`
	Attempt uint64  `msgpack:"Try"`
	GraceS  float64 `msgpack:"MercyS"`
}

// ReportAnswer answers a report with 200.
type ReportAnswer struct {
	Token    uint64    `msgpack:"Baton"`
	Commands []Command `msgpack:"Orders"`
}

// Redirect answers a report with 421.
type Redirect struct {
	ReportTo string `msgpack:"Auctioneer,omitempty"`
}

// ReportOutcome is either answer to a report, as the worker reads it.
type ReportOutcome struct {
	ReportAnswer
	Redirect
}

// Do is a direct command to a worker.
type Do struct {
	Token    uint64    `msgpack:"Baton"`
	Session  uint64    `msgpack:"Shift"`
	Commands []Command `msgpack:"Orders"`
}

// TaskName is the name of task i of a job.
func TaskName(job string, i int) string { return job + "/" + strconv.Itoa(i) }

// ParseTask splits a task's name into its job and number.
func ParseTask(name string) (string, int, error) {
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
