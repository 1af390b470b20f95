package peerproto

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

// MemberChunks divides a member's message into several that mean the same one after the other, so
// that no line of a link grows with the fleet. Only Released and Cancelled stay whole: a leader
// must read all that is released before the machines.
//
// Guards against a snapshot longer than a link takes: with ten thousand machines of sixty tasks
// each it would have been, and the link closed at every try.
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

// LeaderChunks divides a leader's message into several that mean the same one after the other, so that no line of a link grows with the fleet. A receiver works through the lists
// of a message in the order in which they are divided here.
//
// All but the last carry the Seq of the message before: a snapshot made in between must not count
// what is still on its way as read, or it would be taken for lost and started twice.
func (m *Message) LeaderChunks() []Message {
	var out []Message
	rest := *m
	for {
		budget := maxListBytes
		next := Message{Epoch: m.Epoch, Seq: m.Seq, Resync: m.Resync, Round: m.Round}
		next.Views = takeFront(&rest.Views, &budget, func(v *JobView) int { return len(v.Job) + len(v.Reason) })
		next.Cancelled = takeFront(&rest.Cancelled, &budget, nameBytes)
		next.Dispatch = takeFront(&rest.Dispatch, &budget, taskAttemptBytes)
		next.StartHeld = takeFront(&rest.StartHeld, &budget, taskAttemptBytes)
		next.ReleaseHeld = takeFront(&rest.ReleaseHeld, &budget, taskAttemptBytes)
		next.Stop = takeFront(&rest.Stop, &budget, func(s *StopTask) int { return len(s.Task) + len(s.Machine) + len(s.Reason) })
		next.Cordon = takeFront(&rest.Cordon, &budget, nameBytes)
		next.Uncordon = takeFront(&rest.Uncordon, &budget, nameBytes)
		next.Drain = takeFront(&rest.Drain, &budget, nameBytes)
		if rest.entryCount() == 0 {
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
func takeFront[T any](list *[]T, budget *int, textBytes func(*T) int) []T {
	k := 0
	for ; k < len(*list); k++ {
		size := entryBytes + textBytes(&(*list)[k])
		if size > *budget && *budget < maxListBytes {
			*budget = 0 // what follows in the order of reading comes later, too
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
