// Package peerproto defines the messages on the links between controllers, each one line of JSON.
// Controllers of older versions read and write them as well: fields are only added, and the absence
// of a field means that the sender does not know it.
package peerproto

import "github.com/chalkhub/chalkhub/internal/degraded"

// Message is one line of a peer link. A member dials the leader, sends Hello, then a full snapshot
// of its shard and after that the changes (deltas). The leader sends dispatches and other commands.
// Each message carries the epoch that it belongs to; a receiver in another epoch ignores its shard
// states and commands. The first block of fields is set by members, the second by leaders; Epoch and
// Cancelled are set by both, and Seq by leaders.
type Message struct {
	Epoch       uint64         `json:"epoch"`
	Seq         uint64         `json:"seq,omitempty"`  // sequence number of the leader's messages over a link
	ReadSeq     uint64         `json:"read,omitempty"` // with Snapshot: Seq of the last leader message read before the snapshot was taken
	Hello       *Hello         `json:"hello,omitempty"`
	Snapshot    bool           `json:"full,omitempty"`  // a full snapshot: all its chunks together have complete Machines and Assigned
	Chunk       int            `json:"piece,omitempty"` // with Snapshot: the number of this chunk, from 0
	More        bool           `json:"more,omitempty"`  // with Snapshot: another chunk follows
	Machines    []MachineState `json:"machines,omitempty"`
	Assigned    []TaskAttempt  `json:"assigned,omitempty"` // attempts dispatched to this member and not placed on a machine yet
	Returned    []TaskAttempt  `json:"returned,omitempty"` // attempts that the member does not place
	Released    []string       `json:"dropped,omitempty"`  // machines that the member no longer owns
	Unreachable bool           `json:"unfit,omitempty"`    // the member reaches no machine
	Vote        *degraded.Vote `json:"word,omitempty"`     // the only content of its message
	// Cancelled names jobs whose cancellation is being confirmed to a user. Its receivers start no
	// more tasks of these jobs, even before the cancellation reaches their mirrors. Correctness does
	// not depend on its arrival.
	Cancelled []string `json:"cancelled,omitempty"`

	Dispatch    []TaskAttempt   `json:"dispatch,omitempty"`
	Stop        []StopTask      `json:"stop,omitempty"`
	StartHeld   []TaskAttempt   `json:"release,omitempty"` // held attempts of a gang to start
	ReleaseHeld []TaskAttempt   `json:"drop,omitempty"`    // held attempts of a gang to remove, which frees their reserved capacity
	Drain       []string        `json:"drain,omitempty"`   // machines that get no new tasks for the rest of the epoch
	Cordon      []string        `json:"close,omitempty"`   // machines that get no new tasks until Uncordon
	Uncordon    []string        `json:"reopen,omitempty"`  // machines that get new tasks again
	Views       []JobView       `json:"views,omitempty"`
	Resync      bool            `json:"resync,omitempty"` // the leader requests a new full snapshot
	Round       *degraded.Round `json:"ask,omitempty"`    // the only content of its message
}

// Hello is a member's first message over a peer link. It identifies the member.
type Hello struct {
	Label  string `json:"label"`
	BootID string `json:"boot"`
}

// StateHeld is the state of a gang's task for which capacity is reserved and that waits for
// StartHeld. The tasks of a gang start only once all of them are held.
const StateHeld = "held"

// TaskAttempt identifies one attempt of a task. If a dispatch names a machine, capacity for the
// attempt is reserved on that machine.
type TaskAttempt struct {
	Task    string `json:"task"`
	Attempt uint64 `json:"try"`
	Machine string `json:"machine,omitempty"`
	// Version is the version of the job's record that a dispatch is based on, for a job with zone
	// constraints; 0: the dispatch does not depend on a version.
	Version uint64 `json:"version,omitempty"`
}

// StopTask instructs a shard to stop a task.
type StopTask struct {
	Task        string `json:"task"`
	Machine     string `json:"machine"`
	Reason      string `json:"why"`
	Immediately bool   `json:"now,omitempty"` // the task gets no time to save a checkpoint
}

// MachineState is the state of a machine as its shard knows it. A partial state lists only the tasks
// that have changed since the previous state and the removed tasks, and omits the fields that never
// change.
type MachineState struct {
	Name               string      `json:"name"`
	Addr               string      `json:"addr,omitempty"`
	Type               string      `json:"type,omitempty"`
	Zone               string      `json:"zone,omitempty"`
	Spot               bool        `json:"spot,omitempty"`
	TasksComplete      bool        `json:"sure,omitempty"` // no task other than the listed ones can be on the machine
	TasksBounded       bool        `json:"kept,omitempty"` // as TasksComplete, but the machine has not confirmed its new fencing token, so listed tasks may have ended
	AcceptsTasks       bool        `json:"up,omitempty"`   // tasks can be placed on the machine
	InterruptionNotice bool        `json:"notice,omitempty"`
	Draining           bool        `json:"draining,omitempty"`
	Silent             bool        `json:"silent,omitempty"` // neither a heartbeat nor a reply to a direct call for half a lease
	Images             []string    `json:"images,omitempty"`
	Tasks              []TaskState `json:"tasks,omitempty"`
	Partial            bool        `json:"partial,omitempty"`
	RemovedTasks       []string    `json:"left,omitempty"` // with Partial: tasks that are no longer on the machine
}

// TaskState is the state of a task on a machine.
type TaskState struct {
	Task       string  `json:"task"`
	Attempt    uint64  `json:"try"`
	State      string  `json:"state,omitempty"`
	ExitReason string  `json:"why,omitempty"`
	RanSeconds float64 `json:"ran,omitempty"` // how long the shard has seen the task run; 0: unknown
}

// JobView is the leader's view of a job, which every controller uses to respond to queries about the
// job.
type JobView struct {
	Job     string `json:"job"`
	Running int    `json:"running"`
	Reason  string `json:"reason,omitempty"`
}
