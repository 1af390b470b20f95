// Package peerproto holds the messages of the links between controllers, one line of JSON
// each. Controllers of older versions read and write them too: fields are only added, and
// the absence of one means that the sender does not know it.
package peerproto

import "github.com/chalkhub/chalkhub/internal/degraded"

// Message is one line of the peer link. A member dials the leader, says
// Hello, sends its whole picture and then what changes; the leader sends
// dispatches. Each message carries the epoch it belongs to: one from another
// epoch is void.
type Message struct {
	Epoch       uint64         `json:"epoch"`
	Seq         uint64         `json:"seq,omitempty"`  // counts the leader's messages over a link
	ReadSeq     uint64         `json:"read,omitempty"` // with Full: the last of them that the picture takes account of
	Hello       *Hello         `json:"hello,omitempty"`
	Snapshot    bool           `json:"full,omitempty"`  // Machines and Assigned are complete
	Chunk       int            `json:"piece,omitempty"` // with Full: the how manyth of its messages, from 0
	More        bool           `json:"more,omitempty"`  // with Full: the next message goes on with them
	Machines    []MachineState `json:"machines,omitempty"`
	Assigned    []TaskAttempt  `json:"assigned,omitempty"` // dispatched, not placed yet
	Returned    []TaskAttempt  `json:"returned,omitempty"` // could not be placed
	Released    []string       `json:"dropped,omitempty"`  // machines it no longer looks after
	Unreachable bool           `json:"unfit,omitempty"`    // reaches no worker
	Vote        *degraded.Vote `json:"word,omitempty"`     // alone in its message
	// Cancelled names jobs of which a user is told now that they are, so that nothing more of
	// them is started before the mirrors say so. No rule rests on its arrival.
	Cancelled []string `json:"cancelled,omitempty"`

	Dispatch    []TaskAttempt   `json:"dispatch,omitempty"`
	Stop        []StopTask      `json:"stop,omitempty"`
	StartHeld   []TaskAttempt   `json:"release,omitempty"` // start what is held
	ReleaseHeld []TaskAttempt   `json:"drop,omitempty"`    // let go what is held
	Drain       []string        `json:"drain,omitempty"`
	Cordon      []string        `json:"close,omitempty"`  // machines that get no new tasks
	Uncordon    []string        `json:"reopen,omitempty"` // machines that get them again
	Views       []JobView       `json:"views,omitempty"`
	Resync      bool            `json:"resync,omitempty"` // the whole picture again, please
	Round       *degraded.Round `json:"ask,omitempty"`    // alone in its message
}

// MaxLineBytes is how many bytes one line of a peer link may have, in this version and in
// all before it: a receiver closes a link that brings a longer one.
const MaxLineBytes = 16 << 20

// maxListBytes is how many bytes of names and texts one message lists, counted before they
// are encoded, but for a single entry with more. JSON writes a byte as six at the most, so
// an eighth leaves room for the rest of the line.
const maxListBytes = MaxLineBytes / 8

// maxChunkEntries is how many machines and tasks one message tells of, at the most, but for
// a single machine with more: some dozens of KB of text.
const maxChunkEntries = 256

// MemberChunks divides a member's message into several that tell the same one after the
// other, so that no line of a link grows with the fleet. Only Dropped and Cancelled stay
// whole: a leader must read all that is dropped before the machines.
//
// Guards against a whole picture longer than a link takes: with ten thousand machines
// of sixty tasks each it would have been, and the link closed at every try.
func (m *Message) MemberChunks() []Message {
	var out []Message
	next := *m
	machines, assigned, returned := m.Machines, m.Assigned, m.Returned
	for {
		size, k := 0, 0
		for ; k < len(machines); k++ {
			size += 1 + len(machines[k].Tasks) + len(machines[k].RemovedTasks)
			if k > 0 && size > maxChunkEntries {
				break
			}
		}
		next.Machines, machines = machines[:k], machines[k:]
		room := maxListBytes
		next.Assigned = takeFront(&assigned, &room, taskAttemptBytes)
		next.Returned = takeFront(&returned, &room, taskAttemptBytes)
		left := len(machines) > 0 || len(assigned) > 0 || len(returned) > 0
		next.More = m.Snapshot && left
		out = append(out, next)
		if !left {
			return out
		}
		next = Message{Epoch: m.Epoch, Unreachable: m.Unreachable, Snapshot: m.Snapshot}
		if m.Snapshot {
			next.Chunk = len(out)
		}
	}
}

// LeaderChunks divides a leader's message into several that tell the same one after the
// other, so that no line of a link grows with the fleet. A receiver works through the lists
// of a message in the order in which they are divided here.
//
// All but the last carry the Seq of the message before: a whole picture made in between
// must not count what is still on its way as read, or it would be taken for lost and
// started twice.
func (m *Message) LeaderChunks() []Message {
	var out []Message
	left := *m
	for {
		room := maxListBytes
		next := Message{Epoch: m.Epoch, Seq: m.Seq, Resync: m.Resync, Round: m.Round}
		next.Views = takeFront(&left.Views, &room, func(v *JobView) int { return len(v.Job) + len(v.Reason) })
		next.Cancelled = takeFront(&left.Cancelled, &room, nameBytes)
		next.Dispatch = takeFront(&left.Dispatch, &room, taskAttemptBytes)
		next.StartHeld = takeFront(&left.StartHeld, &room, taskAttemptBytes)
		next.ReleaseHeld = takeFront(&left.ReleaseHeld, &room, taskAttemptBytes)
		next.Stop = takeFront(&left.Stop, &room, func(s *StopTask) int { return len(s.Task) + len(s.Machine) + len(s.Reason) })
		next.Cordon = takeFront(&left.Cordon, &room, nameBytes)
		next.Uncordon = takeFront(&left.Uncordon, &room, nameBytes)
		next.Drain = takeFront(&left.Drain, &room, nameBytes)
		if left.entryCount() == 0 {
			return append(out, next)
		}
		next.Seq, next.Resync, next.Round = m.Seq-1, false, nil
		out = append(out, next)
	}
}

// entryCount is how many entries the lists of a leader's message have.
func (m *Message) entryCount() int {
	return len(m.Views) + len(m.Cancelled) + len(m.Dispatch) + len(m.StartHeld) + len(m.ReleaseHeld) +
		len(m.Stop) + len(m.Cordon) + len(m.Uncordon) + len(m.Drain)
}

// entryBytes is what an entry of a list takes on a line beside its names and texts, or a few
// more.
const entryBytes = 96

func taskAttemptBytes(t *TaskAttempt) int { return len(t.Task) + len(t.Machine) }

func nameBytes(name *string) int { return len(*name) }

// takeFront cuts from the front of a list what there is room for, and takes that from the
// room. A message without anything else takes one entry of any size, so a division ends.
func takeFront[T any](list *[]T, room *int, textBytes func(*T) int) []T {
	k := 0
	for ; k < len(*list); k++ {
		size := entryBytes + textBytes(&(*list)[k])
		if size > *room && *room < maxListBytes {
			*room = 0 // what follows in the order of reading comes later, too
			break
		}
		*room -= size
	}
	front := (*list)[:k:k]
	*list = (*list)[k:]
	if k == 0 {
		return nil
	}
	return front
}

// Hello opens a peer link.
type Hello struct {
	Label  string `json:"label"`
	BootID string `json:"boot"`
}

// StateHeld is the state of a task that has its room and waits for Release: the
// tasks of a gang start only once all of them are held.
const StateHeld = "held"

// TaskAttempt names one attempt of a task. In a dispatch with a machine, that
// machine holds room for the task.
type TaskAttempt struct {
	Task    string `json:"task"`
	Attempt uint64 `json:"try"`
	Machine string `json:"machine,omitempty"`
	// Version is that of the job's own key that a dispatch rests on, for a job whose zones
	// matter; 0: it rests on none.
	Version uint64 `json:"version,omitempty"`
}

// StopTask asks a part to stop a task.
type StopTask struct {
	Task        string `json:"task"`
	Machine     string `json:"machine"`
	Reason      string `json:"why"`
	Immediately bool   `json:"now,omitempty"` // without time to save
}

// MachineState is a part's picture of one machine. Sure means that no task but
// the listed ones can be on the machine; Kept means the same of one that has yet to
// show its new token, while the listed ones may be gone; Up that it can be given work. A partial
// picture has only the tasks that changed since the last one, those that are left
// no longer on the machine, and none of what never changes.
type MachineState struct {
	Name               string      `json:"name"`
	Addr               string      `json:"addr,omitempty"`
	Type               string      `json:"type,omitempty"`
	Zone               string      `json:"zone,omitempty"`
	Spot               bool        `json:"spot,omitempty"`
	TasksComplete      bool        `json:"sure,omitempty"`
	TasksBounded       bool        `json:"kept,omitempty"`
	AcceptsTasks       bool        `json:"up,omitempty"`
	InterruptionNotice bool        `json:"notice,omitempty"`
	Draining           bool        `json:"draining,omitempty"`
	Silent             bool        `json:"silent,omitempty"` // not heard for half a lease, by report or /do
	Images             []string    `json:"images,omitempty"`
	Tasks              []TaskState `json:"tasks,omitempty"`
	Partial            bool        `json:"partial,omitempty"`
	RemovedTasks       []string    `json:"left,omitempty"`
}

// TaskState is a task in a part's picture.
type TaskState struct {
	Task       string  `json:"task"`
	Attempt    uint64  `json:"try"`
	State      string  `json:"state,omitempty"`
	ExitReason string  `json:"why,omitempty"`
	RanSeconds float64 `json:"ran,omitempty"` // how long the part has seen it run
}

// JobView is what the leader lets every node tell about a job.
type JobView struct {
	Job     string `json:"job"`
	Running int    `json:"running"`
	Reason  string `json:"reason,omitempty"`
}
