// Package peerproto holds the messages of the links between controllers, one line of JSON
// each. Controllers of older versions read and write them too: fields are only added, and
// the absence of one means that the sender does not know it.
package peerproto

import "github.com/chalkhub/chalkhub/internal/degraded"

// Message is one line of a peer link. A member dials the leader, says Hello, and sends a snapshot
// of its shard and then what changes; the leader sends dispatches. Each message carries the epoch
// that it belongs to: one from another epoch is void. The first block of fields is for members,
// the second for leaders; Cancelled is for both.
type Message struct {
	Epoch       uint64         `json:"epoch"`
	Seq         uint64         `json:"seq,omitempty"`  // counts the leader's messages over a link
	ReadSeq     uint64         `json:"read,omitempty"` // with Snapshot: the last leader's message that it takes account of
	Hello       *Hello         `json:"hello,omitempty"`
	Snapshot    bool           `json:"full,omitempty"`  // Machines and Assigned are complete, over all chunks
	Chunk       int            `json:"piece,omitempty"` // with Snapshot: the number of this chunk, from 0
	More        bool           `json:"more,omitempty"`  // with Snapshot: another chunk follows
	Machines    []MachineState `json:"machines,omitempty"`
	Assigned    []TaskAttempt  `json:"assigned,omitempty"` // dispatched to this member, not placed yet
	Returned    []TaskAttempt  `json:"returned,omitempty"` // could not be placed
	Released    []string       `json:"dropped,omitempty"`  // machines that it owns no longer
	Unreachable bool           `json:"unfit,omitempty"`    // reaches no worker
	Vote        *degraded.Vote `json:"word,omitempty"`     // alone in its message
	// Cancelled names jobs whose cancellation is being confirmed to a user, so that nothing more
	// of them is started before the replicas have it. No rule rests on its arrival.
	Cancelled []string `json:"cancelled,omitempty"`

	Dispatch    []TaskAttempt   `json:"dispatch,omitempty"`
	Stop        []StopTask      `json:"stop,omitempty"`
	StartHeld   []TaskAttempt   `json:"release,omitempty"` // gang tasks that are held, to be started
	ReleaseHeld []TaskAttempt   `json:"drop,omitempty"`    // gang tasks that are held, to be given up
	Drain       []string        `json:"drain,omitempty"`
	Cordon      []string        `json:"close,omitempty"`  // machines that get no new tasks
	Uncordon    []string        `json:"reopen,omitempty"` // machines that get them again
	Views       []JobView       `json:"views,omitempty"`
	Resync      bool            `json:"resync,omitempty"` // a new snapshot is wanted
	Round       *degraded.Round `json:"ask,omitempty"`    // alone in its message
}

// Hello opens a peer link.
type Hello struct {
	Label  string `json:"label"`
	BootID string `json:"boot"`
}

// StateHeld is the state of a task whose capacity is reserved and that waits for StartHeld: the
// tasks of a gang start only once all of them are held.
const StateHeld = "held"

// TaskAttempt names one attempt of a task. A dispatch with a machine reserves capacity for it on
// that machine.
type TaskAttempt struct {
	Task    string `json:"task"`
	Attempt uint64 `json:"try"`
	Machine string `json:"machine,omitempty"`
	// Version is the version of the job's record that a dispatch rests on, for a job with zone
	// constraints; 0: it rests on none.
	Version uint64 `json:"version,omitempty"`
}

// StopTask asks a shard to stop a task.
type StopTask struct {
	Task        string `json:"task"`
	Machine     string `json:"machine"`
	Reason      string `json:"why"`
	Immediately bool   `json:"now,omitempty"` // without time to save
}

// MachineState is what a shard knows of one of its machines. A partial one has only the tasks that
// have changed since the one before, the removed tasks, and none of what never changes.
type MachineState struct {
	Name               string      `json:"name"`
	Addr               string      `json:"addr,omitempty"`
	Type               string      `json:"type,omitempty"`
	Zone               string      `json:"zone,omitempty"`
	Spot               bool        `json:"spot,omitempty"`
	TasksComplete      bool        `json:"sure,omitempty"` // no task but the listed ones can be on it
	TasksBounded       bool        `json:"kept,omitempty"` // the same, but it has yet to show its new token: the listed ones may be gone
	AcceptsTasks       bool        `json:"up,omitempty"`   // it can be given tasks
	InterruptionNotice bool        `json:"notice,omitempty"`
	Draining           bool        `json:"draining,omitempty"`
	Silent             bool        `json:"silent,omitempty"` // not heard for half a lease, by heartbeat or direct call
	Images             []string    `json:"images,omitempty"`
	Tasks              []TaskState `json:"tasks,omitempty"`
	Partial            bool        `json:"partial,omitempty"`
	RemovedTasks       []string    `json:"left,omitempty"` // with Partial: they are on it no longer
}

// TaskState is a task on a machine.
type TaskState struct {
	Task       string  `json:"task"`
	Attempt    uint64  `json:"try"`
	State      string  `json:"state,omitempty"`
	ExitReason string  `json:"why,omitempty"`
	RanSeconds float64 `json:"ran,omitempty"` // how long the shard has seen it run
}

// JobView is what the leader lets every controller answer about a job.
type JobView struct {
	Job     string `json:"job"`
	Running int    `json:"running"`
	Reason  string `json:"reason,omitempty"`
}
