package wire

import "github.com/chalkhub/chalkhub/internal/degraded"

// PeerMessage is one line of the peer link. A member dials the leader, says
// Hello, sends its whole picture and then what changes; the leader sends
// dispatches. Each message carries the epoch it belongs to: one from another
// epoch is void.
type PeerMessage struct {
	Epoch    uint64         `json:"epoch"`
	Seq      uint64         `json:"seq,omitempty"`  // counts the leader's messages over a link
	Read     uint64         `json:"read,omitempty"` // with Full: the last of them that the picture takes account of
	Hello    *Hello         `json:"hello,omitempty"`
	Full     bool           `json:"full,omitempty"`  // Machines and Assigned are complete
	Piece    int            `json:"piece,omitempty"` // with Full: the how manyth of its messages, from 0
	More     bool           `json:"more,omitempty"`  // with Full: the next message goes on with them
	Machines []MachineState `json:"machines,omitempty"`
	Assigned []TaskTry      `json:"assigned,omitempty"` // dispatched, not placed yet
	Returned []TaskTry      `json:"returned,omitempty"` // could not be placed
	Dropped  []string       `json:"dropped,omitempty"`  // machines it no longer looks after
	Unfit    bool           `json:"unfit,omitempty"`    // reaches no worker
	Word     *degraded.Vote `json:"word,omitempty"`     // alone in its message
	// Cancelled names jobs of which a user is told now that they are, so that nothing more of
	// them is started before the mirrors say so. No rule rests on its arrival.
	Cancelled []string `json:"cancelled,omitempty"`

	Dispatch []TaskTry       `json:"dispatch,omitempty"`
	Stop     []TaskStop      `json:"stop,omitempty"`
	Release  []TaskTry       `json:"release,omitempty"` // start what is held
	Drop     []TaskTry       `json:"drop,omitempty"`    // let go what is held
	Drain    []string        `json:"drain,omitempty"`
	Close    []string        `json:"close,omitempty"`  // machines that get no new tasks
	Reopen   []string        `json:"reopen,omitempty"` // machines that get them again
	Views    []JobView       `json:"views,omitempty"`
	Resync   bool            `json:"resync,omitempty"` // the whole picture again, please
	Ask      *degraded.Round `json:"ask,omitempty"`    // alone in its message
}

// pieceSize is how many machines and tasks one message tells of, at the most, but for
// a single machine with more: some dozens of KB of text.
const pieceSize = 256

// Pieces divides a member's message into several that tell the same one after the
// other, so that no line of a link grows with the fleet.
//
// Guards against a whole picture longer than a link takes: with ten thousand machines
// of sixty tasks each it would have been, and the link closed at every try.
func (m *PeerMessage) Pieces() []PeerMessage {
	var out []PeerMessage
	next := *m
	rest := m.Machines
	for {
		size, k := 0, 0
		for ; k < len(rest); k++ {
			size += 1 + len(rest[k].Tasks) + len(rest[k].Left)
			if k > 0 && size > pieceSize {
				break
			}
		}
		next.Machines, rest = rest[:k], rest[k:]
		next.More = m.Full && len(rest) > 0
		out = append(out, next)
		if len(rest) == 0 {
			return out
		}
		next = PeerMessage{Epoch: m.Epoch, Unfit: m.Unfit, Full: m.Full}
		if m.Full {
			next.Piece = len(out)
		}
	}
}

// Hello opens a peer link.
type Hello struct {
	Label string `json:"label"`
	Boot  string `json:"boot"`
}

// StateHeld is the state of a task that has its room and waits for Release: the
// tasks of a gang start only once all of them are held.
const StateHeld = "held"

// TaskTry names one attempt of a task. In a dispatch with a machine, that
// machine holds room for the task.
type TaskTry struct {
	Task    string `json:"task"`
	Attempt uint64 `json:"try"`
	Machine string `json:"machine,omitempty"`
	// Version is that of the job's own key that a dispatch rests on, for a job whose zones
	// matter; 0: it rests on none.
	Version uint64 `json:"version,omitempty"`
}

// TaskStop asks a part to stop a task.
type TaskStop struct {
	Task    string `json:"task"`
	Machine string `json:"machine"`
	Why     string `json:"why"`
	Now     bool   `json:"now,omitempty"` // without time to save
}

// MachineState is a part's picture of one machine. Sure means that no task but
// the listed ones can be on the machine; Kept means the same of one that has yet to
// show its new token, while the listed ones may be gone; Up that it can be given work. A partial
// picture has only the tasks that changed since the last one, those that are left
// no longer on the machine, and none of what never changes.
type MachineState struct {
	Name     string      `json:"name"`
	Addr     string      `json:"addr,omitempty"`
	Type     string      `json:"type,omitempty"`
	Zone     string      `json:"zone,omitempty"`
	Spot     bool        `json:"spot,omitempty"`
	Sure     bool        `json:"sure,omitempty"`
	Kept     bool        `json:"kept,omitempty"`
	Up       bool        `json:"up,omitempty"`
	Notice   bool        `json:"notice,omitempty"`
	Draining bool        `json:"draining,omitempty"`
	Silent   bool        `json:"silent,omitempty"` // not heard for half a lease, by report or /do
	Images   []string    `json:"images,omitempty"`
	Tasks    []TaskState `json:"tasks,omitempty"`
	Partial  bool        `json:"partial,omitempty"`
	Left     []string    `json:"left,omitempty"`
}

// TaskState is a task in a part's picture.
type TaskState struct {
	Task    string  `json:"task"`
	Attempt uint64  `json:"try"`
	State   string  `json:"state,omitempty"`
	Why     string  `json:"why,omitempty"`
	RanS    float64 `json:"ran,omitempty"` // how long the part has seen it run
}

// JobView is what the leader lets every node tell about a job.
type JobView struct {
	Job     string `json:"job"`
	Running int    `json:"running"`
	Reason  string `json:"reason,omitempty"`
}
