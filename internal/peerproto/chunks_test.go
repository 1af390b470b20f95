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

// The chunks of a member's message contain the same as the message, and none exceeds
// maxChunkEntries unless it describes a single machine.
func TestMemberChunksPreserveMessage(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
		m := Message{Epoch: 7, Snapshot: snapshot, ReadSeq: 3, Assigned: []TaskAttempt{{Task: "job-1/0"}}, Released: []string{"n-9"}}
		for i := range 900 {
			machine := MachineState{Name: fmt.Sprint("n-", i)}
			for k := range i % 5 * 100 {
				machine.Tasks = append(machine.Tasks, TaskState{Task: fmt.Sprintf("job-1/%d", k)})
			}
			m.Machines = append(m.Machines, machine)
		}
		chunks := m.MemberChunks()
		got := chunks[0]
		got.Machines, got.More = nil, false
		for i, chunk := range chunks {
			size := 0
			for _, machine := range chunk.Machines {
				size += 1 + len(machine.Tasks)
			}
			if size > maxChunkEntries && len(chunk.Machines) > 1 {
				t.Fatalf("chunk %d has %d machines and tasks, more than the limit", i, size)
			}
			if chunk.Epoch != 7 || chunk.Snapshot != snapshot || snapshot && (chunk.Chunk != i || chunk.More != (i+1 < len(chunks))) {
				t.Fatalf("chunk %d of %d has a wrong epoch, Snapshot, Chunk or More: %+v", i, len(chunks), chunk)
			}
			got.Machines = append(got.Machines, chunk.Machines...)
		}
		if len(chunks) < 100 || !reflect.DeepEqual(got, m) {
			t.Fatalf("%d chunks, want at least 100 that together equal the message", len(chunks))
		}
	}
	if empty := (&Message{Epoch: 1}).MemberChunks(); len(empty) != 1 {
		t.Fatalf("an empty message is divided into %d chunks, want 1", len(empty))
	}
}

// A member's message lists 64 returned attempts, and in a snapshot also 64 assigned ones, for each
// machine of a large fleet. Each line is short enough for a link, no attempt is lost, and in a snapshot
// all chunks but the last have More set.
func TestMemberChunksFitLinesWithManyAssignedAndReturned(t *testing.T) {
	for _, machines := range []int{4000, 8000} {
		for _, snapshot := range []bool{false, true} {
			m := Message{Epoch: 7, Snapshot: snapshot}
			for i := range machines * 64 {
				m.Returned = append(m.Returned, TaskAttempt{Task: protocol.TaskName("job-100000001", i), Attempt: 7<<testAttemptBits | uint64(i)})
				if snapshot {
					m.Assigned = append(m.Assigned, TaskAttempt{Task: protocol.TaskName("job-100000002", i), Attempt: 7<<testAttemptBits | uint64(i)})
				}
			}
			var assigned, returned []TaskAttempt
			chunks := m.MemberChunks()
			for i, chunk := range chunks {
				checkLineLength(t, chunk)
				if chunk.More != (snapshot && i+1 < len(chunks)) || snapshot && chunk.Chunk != i {
					t.Fatalf("chunk %d of %d has Chunk %d and More %v", i, len(chunks), chunk.Chunk, chunk.More)
				}
				assigned, returned = append(assigned, chunk.Assigned...), append(returned, chunk.Returned...)
			}
			if !reflect.DeepEqual(assigned, m.Assigned) || !reflect.DeepEqual(returned, m.Returned) {
				t.Fatalf("%d machines, snapshot %v: the chunks' %d assigned and %d returned attempts differ from the message's", machines, snapshot, len(assigned), len(returned))
			}
		}
	}
}

// The chunks of a leader's message contain the same entries in the same order, and each line is short
// enough for a link. Only the last chunk has the message's Seq, so a member that has read only some of
// them does not report the message as read.
func TestLeaderChunksPreserveEntriesAndOrder(t *testing.T) {
	for _, test := range []struct {
		machines int
		text     string
	}{{0, ""}, {1, "for somebody else"}, {4000, strings.Repeat("<", 20)}, {8000, ""}} {
		m := leaderMessage(test.machines, test.text)
		chunks := m.LeaderChunks()
		var got []listEntry
		for i, chunk := range chunks {
			checkLineLength(t, chunk)
			last := i+1 == len(chunks)
			if chunk.Epoch != m.Epoch || chunk.Resync != last || last != (chunk.Seq == m.Seq) || !last && chunk.Seq != m.Seq-1 {
				t.Fatalf("chunk %d of %d has wrong fields: epoch %d, seq %d, resync %v", i, len(chunks), chunk.Epoch, chunk.Seq, chunk.Resync)
			}
			got = append(got, listEntries(chunk)...)
		}
		if !slices.Equal(got, listEntries(m)) {
			t.Fatalf("%d machines: the entries of the %d chunks differ from the message's, or their order does", test.machines, len(chunks))
		}
		if test.machines <= 1 && (len(chunks) != 1 || !reflect.DeepEqual(chunks[0], m)) {
			t.Fatalf("a small message is divided into %d chunks, want only itself: %+v", len(chunks), chunks[0])
		}
	}
}

// Entries whose text alone takes maxListBytes are sent in chunks that still fit into a line, and none
// is lost.
func TestLeaderChunksKeepOversizedEntry(t *testing.T) {
	m := leaderMessage(1, strings.Repeat("x", maxListBytes))
	var got []listEntry
	for _, chunk := range m.LeaderChunks() {
		checkLineLength(t, chunk)
		got = append(got, listEntries(chunk)...)
	}
	if !slices.Equal(got, listEntries(m)) {
		t.Fatalf("the chunks' %d entries differ from the message's", len(got))
	}
}

// testAttemptBits is the number of bits by which an epoch is shifted in an attempt number, so that the
// numbers of the tests have as many digits as real ones.
const testAttemptBits = 32

// leaderMessage returns a leader's message with entries in every list, for the given number of
// machines with 64 tasks each.
func leaderMessage(machines int, text string) Message {
	m := Message{Epoch: 7, Seq: 12, Resync: true}
	for i := range machines {
		name := fmt.Sprintf("n-%07d", i)
		m.Views = append(m.Views, JobView{Job: fmt.Sprint("job-", i), Running: i, Reason: text})
		m.Cancelled = append(m.Cancelled, fmt.Sprint("job-", i))
		m.Cordon, m.Uncordon, m.Drain = append(m.Cordon, name), append(m.Uncordon, name), append(m.Drain, name)
		for k := range 64 {
			attempt := TaskAttempt{Task: protocol.TaskName("job-100000001", 64*i+k), Attempt: 7<<testAttemptBits | uint64(k), Machine: name}
			m.Dispatch, m.StartHeld, m.ReleaseHeld = append(m.Dispatch, attempt), append(m.StartHeld, attempt), append(m.ReleaseHeld, attempt)
			m.Stop = append(m.Stop, StopTask{Task: attempt.Task, Machine: name, Reason: text})
		}
	}
	return m
}

// listEntry is one entry of a list in a leader's message.
type listEntry struct {
	list  string
	entry any
}

// listEntries returns the entries of all lists of a leader's message, in the order in which a member
// processes them.
func listEntries(m Message) (out []listEntry) {
	add := func(list string, n int, entry func(int) any) {
		for i := range n {
			out = append(out, listEntry{list, entry(i)})
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

// checkLineLength fails the test unless an encoded message is shorter than MaxLineBytes.
func checkLineLength(t *testing.T, m Message) {
	t.Helper()
	line, err := json.Marshal(&m)
	if err != nil {
		t.Fatal(err)
	}
	if len(line) >= MaxLineBytes {
		t.Fatalf("an encoded chunk has %d bytes, want fewer than MaxLineBytes", len(line))
	}
}
