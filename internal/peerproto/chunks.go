package peerproto

// MaxLineBytes is the maximum length of one line of a peer link, in this version and in all earlier
// ones. A receiver closes a link that delivers a longer line.
const MaxLineBytes = 16 << 20

// maxListBytes limits the bytes that the list entries of one message take before they are encoded,
// except for a single larger entry. JSON encodes a byte as six bytes at most, so an eighth of a line
// leaves space for the rest of the line.
const maxListBytes = MaxLineBytes / 8

// maxChunkEntries limits the number of machines and tasks that one message describes, except for a
// single machine with more tasks. That many take some dozens of KB of text.
const maxChunkEntries = 256

// MemberChunks divides a member's message into several that together mean the same when they are
// read in order, so that the length of a line does not grow with the fleet. Only Released and
// Cancelled are not divided: a leader must read all released machines before the listed ones.
//
// An undivided full snapshot can exceed the length limit of a line: with ten thousand machines of
// sixty tasks each it would, and each attempt to send it would close the link.
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
		budget := maxListBytes
		next.Assigned = takeFront(&assigned, &budget, taskAttemptBytes)
		next.Returned = takeFront(&returned, &budget, taskAttemptBytes)
		remaining := len(machines) > 0 || len(assigned) > 0 || len(returned) > 0
		next.More = m.Snapshot && remaining
		out = append(out, next)
		if !remaining {
			return out
		}
		next = Message{Epoch: m.Epoch, Unreachable: m.Unreachable, Snapshot: m.Snapshot}
		if m.Snapshot {
			next.Chunk = len(out)
		}
	}
}

// LeaderChunks divides a leader's message into several that together mean the same when they are
// read in order, so that the length of a line does not grow with the fleet. A receiver processes the
// lists of a message in the order in which they are divided here.
//
// All chunks but the last carry the Seq of the previous message. A member that sends a snapshot
// between two chunks would otherwise report the whole message as read, and the leader would treat
// the dispatches in the chunks still in transit as lost and start their tasks twice.
func (m *Message) LeaderChunks() []Message {
	var out []Message
	remaining := *m
	for {
		budget := maxListBytes
		next := Message{Epoch: m.Epoch, Seq: m.Seq, Resync: m.Resync, Round: m.Round}
		next.Views = takeFront(&remaining.Views, &budget, func(v *JobView) int { return len(v.Job) + len(v.Reason) })
		next.Cancelled = takeFront(&remaining.Cancelled, &budget, nameBytes)
		next.Dispatch = takeFront(&remaining.Dispatch, &budget, taskAttemptBytes)
		next.StartHeld = takeFront(&remaining.StartHeld, &budget, taskAttemptBytes)
		next.ReleaseHeld = takeFront(&remaining.ReleaseHeld, &budget, taskAttemptBytes)
		next.Stop = takeFront(&remaining.Stop, &budget, func(s *StopTask) int { return len(s.Task) + len(s.Machine) + len(s.Reason) })
		next.Cordon = takeFront(&remaining.Cordon, &budget, nameBytes)
		next.Uncordon = takeFront(&remaining.Uncordon, &budget, nameBytes)
		next.Drain = takeFront(&remaining.Drain, &budget, nameBytes)
		if remaining.entryCount() == 0 {
			return append(out, next)
		}
		next.Seq, next.Resync, next.Round = m.Seq-1, false, nil
		out = append(out, next)
	}
}

// entryCount returns the total number of entries in the lists of a leader's message.
func (m *Message) entryCount() int {
	return len(m.Views) + len(m.Cancelled) + len(m.Dispatch) + len(m.StartHeld) + len(m.ReleaseHeld) +
		len(m.Stop) + len(m.Cordon) + len(m.Uncordon) + len(m.Drain)
}

// entryBytes is an upper bound of what a list entry takes on a line in addition to its names and
// texts.
const entryBytes = 96

func taskAttemptBytes(t *TaskAttempt) int { return len(t.Task) + len(t.Machine) }

func nameBytes(name *string) int { return len(*name) }

// takeFront removes as many entries from the front of a list as fit into the budget, in bytes,
// subtracts their size from the budget, and returns them. If nothing was subtracted from the budget yet, the
// first entry is taken whatever its size, so that dividing a message always ends.
func takeFront[T any](list *[]T, budget *int, textBytes func(*T) int) []T {
	k := 0
	for ; k < len(*list); k++ {
		size := entryBytes + textBytes(&(*list)[k])
		if size > *budget && *budget < maxListBytes {
			*budget = 0 // keeps the order: the lists that are read after this one go into later chunks, too
			break
		}
		*budget -= size
	}
	front := (*list)[:k:k]
	*list = (*list)[k:]
	if k == 0 {
		return nil
	}
	return front
}
