package peerproto

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/internal/protocol"
)

// The pieces of a member's message tell the same as the message, each in bounds.
func TestMemberChunksPreserveMessage(t *testing.T) {
	for _, full := range []bool{false, true} {
		m := Message{Epoch: 7, Snapshot: full, ReadSeq: 3, Assigned: []TaskAttempt{{Task: "job-1/0"}}, Released: []string{"n-9"}}
		for i := range 900 {
			s := MachineState{Name: fmt.Sprint("n-", i)}
			for k := range i % 5 * 100 {
				s.Tasks = append(s.Tasks, TaskState{Task: fmt.Sprintf("job-1/%d", k)})
			}
			m.Machines = append(m.Machines, s)
		}
		pieces := m.MemberChunks()
		got := pieces[0]
		got.Machines, got.More = nil, false
		for i, p := range pieces {
			size := 0
			for _, s := range p.Machines {
				size += 1 + len(s.Tasks)
			}
			if size > maxChunkEntries && len(p.Machines) > 1 {
				t.Fatalf("piece %d tells of %d", i, size)
			}
			if p.Epoch != 7 || p.Snapshot != full || full && (p.Chunk != i || p.More != (i+1 < len(pieces))) {
				t.Fatalf("piece %d of %d: %+v", i, len(pieces), p)
			}
			got.Machines = append(got.Machines, p.Machines...)
		}
		if len(pieces) < 100 || !reflect.DeepEqual(got, m) {
			t.Fatalf("%d pieces do not add up", len(pieces))
		}
	}
	if empty := (&Message{Epoch: 1}).MemberChunks(); len(empty) != 1 {
		t.Fatalf("an empty message becomes %d", len(empty))
	}
}

// A member that has work of a whole fleet assigned, and gives as much back, tells so in lines
// that a link takes, and the last piece alone says that it was the last.
func TestMemberChunksFitLinesWithManyAssignedAndReturned(t *testing.T) {
	for _, machines := range []int{4000, 8000} {
		for _, full := range []bool{false, true} {
			m := Message{Epoch: 7, Snapshot: full}
			for i := range machines * 64 {
				m.Returned = append(m.Returned, TaskAttempt{Task: protocol.TaskName("job-100000001", i), Attempt: 7<<testAttemptBits | uint64(i)})
				if full {
					m.Assigned = append(m.Assigned, TaskAttempt{Task: protocol.TaskName("job-100000002", i), Attempt: 7<<testAttemptBits | uint64(i)})
				}
			}
			var assigned, returned []TaskAttempt
			pieces := m.MemberChunks()
			for i, p := range pieces {
				checkLineLength(t, p)
				if p.More != (full && i+1 < len(pieces)) || full && p.Chunk != i {
					t.Fatalf("piece %d of %d: piece %d, more %v", i, len(pieces), p.Chunk, p.More)
				}
				assigned, returned = append(assigned, p.Assigned...), append(returned, p.Returned...)
			}
			if !reflect.DeepEqual(assigned, m.Assigned) || !reflect.DeepEqual(returned, m.Returned) {
				t.Fatalf("%d machines, full %v: %d assigned and %d returned", machines, full, len(assigned), len(returned))
			}
		}
	}
}

// The pieces of a leader's message ask for the same in the same order, each in bounds, and
// none but the last counts as a message that was read.
func TestLeaderChunksPreserveEntriesAndOrder(t *testing.T) {
	for _, of := range []struct {
		machines int
		text     string
	}{{0, ""}, {1, "for somebody else"}, {4000, strings.Repeat("<", 20)}, {8000, ""}} {
		m := leaderMessage(of.machines, of.text)
		pieces := m.LeaderChunks()
		var got []listEntry
		for i, p := range pieces {
			checkLineLength(t, p)
			last := i+1 == len(pieces)
			if p.Epoch != m.Epoch || p.Resync != last || last != (p.Seq == m.Seq) || !last && p.Seq != m.Seq-1 {
				t.Fatalf("piece %d of %d: epoch %d, seq %d, resync %v", i, len(pieces), p.Epoch, p.Seq, p.Resync)
			}
			got = append(got, listEntries(p)...)
		}
		if !slices.Equal(got, listEntries(m)) {
			t.Fatalf("%d machines: the %d pieces ask for something else, or in another order", of.machines, len(pieces))
		}
		if of.machines <= 1 && (len(pieces) != 1 || !reflect.DeepEqual(pieces[0], m)) {
			t.Fatalf("a small message becomes %d: %+v", len(pieces), pieces[0])
		}
	}
}

// An entry that is larger than a piece goes alone.
func TestLeaderChunksKeepOversizedEntry(t *testing.T) {
	m := leaderMessage(1, strings.Repeat("x", maxListBytes))
	var got []listEntry
	for _, p := range m.LeaderChunks() {
		checkLineLength(t, p)
		got = append(got, listEntries(p)...)
	}
	if !slices.Equal(got, listEntries(m)) {
		t.Fatalf("%d orders", len(got))
	}
}

// testAttemptBits makes attempts as long as those of a real epoch.
const testAttemptBits = 32

// leaderMessage asks for all that a leader can, of machines with 64 tasks each.
func leaderMessage(machines int, text string) Message {
	m := Message{Epoch: 7, Seq: 12, Resync: true}
	for i := range machines {
		name := fmt.Sprintf("n-%07d", i)
		m.Views = append(m.Views, JobView{Job: fmt.Sprint("job-", i), Running: i, Reason: text})
		m.Cancelled = append(m.Cancelled, fmt.Sprint("job-", i))
		m.Cordon, m.Uncordon, m.Drain = append(m.Cordon, name), append(m.Uncordon, name), append(m.Drain, name)
		for k := range 64 {
			try := TaskAttempt{Task: protocol.TaskName("job-100000001", 64*i+k), Attempt: 7<<testAttemptBits | uint64(k), Machine: name}
			m.Dispatch, m.StartHeld, m.ReleaseHeld = append(m.Dispatch, try), append(m.StartHeld, try), append(m.ReleaseHeld, try)
			m.Stop = append(m.Stop, StopTask{Task: try.Task, Machine: name, Reason: text})
		}
	}
	return m
}

// listEntry is one entry of a list of a leader's message.
type listEntry struct {
	list  string
	entry any
}

// listEntries lists what a member does for a message of its leader, in that order.
func listEntries(m Message) (out []listEntry) {
	add := func(what string, n int, entry func(int) any) {
		for i := range n {
			out = append(out, listEntry{what, entry(i)})
		}
	}
	add("view", len(m.Views), func(i int) any { return m.Views[i] })
	add("cancelled", len(m.Cancelled), func(i int) any { return m.Cancelled[i] })
	add("dispatch", len(m.Dispatch), func(i int) any { return m.Dispatch[i] })
	add("release", len(m.StartHeld), func(i int) any { return m.StartHeld[i] })
	add("drop", len(m.ReleaseHeld), func(i int) any { return m.ReleaseHeld[i] })
	add("stop", len(m.Stop), func(i int) any { return m.Stop[i] })
	add("close", len(m.Cordon), func(i int) any { return m.Cordon[i] })
	add("reopen", len(m.Uncordon), func(i int) any { return m.Uncordon[i] })
	add("drain", len(m.Drain), func(i int) any { return m.Drain[i] })
	return out
}

// checkLineLength fails the test if a message is longer than a line of a link may be.
func checkLineLength(t *testing.T, m Message) {
	t.Helper()
	line, err := json.Marshal(&m)
	if err != nil {
		t.Fatal(err)
	}
	if len(line) >= MaxLineBytes {
		t.Fatalf("a line of %d bytes", len(line))
	}
}
