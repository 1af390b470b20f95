package peer

import (
	"fmt"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// tasksPerMachine is how many tasks each machine in the messages of snapshotOf has.
const tasksPerMachine = 64

// snapshotOf returns a member's full snapshot of the given number of machines, divided into the
// messages that carry it.
func snapshotOf(machines int) []peerproto.Message {
	whole := peerproto.Message{Epoch: 7, Snapshot: true, ReadSeq: 12}
	for i := range machines {
		machine := peerproto.MachineState{
			Name: fmt.Sprintf("n-%07d", i), Addr: "10.0.0.1:8000", Type: "barn", Zone: "a",
			TasksComplete: true, AcceptsTasks: true,
		}
		for k := range tasksPerMachine {
			task := protocol.TaskName("job-100000001", tasksPerMachine*i+k)
			machine.Tasks = append(machine.Tasks, peerproto.TaskState{Task: task, Attempt: 7 << 28, State: protocol.TaskRunning})
		}
		whole.Machines = append(whole.Machines, machine)
	}
	return whole.MemberChunks()
}

// connectedPair is two controllers, a and b, with a session between them over loopback. The tests
// send from a to b.
type connectedPair struct {
	a         *Links
	session   uint64
	postedAtA chan core.Command
	postedAtB chan core.Command
}

func newConnectedPair(t *testing.T, maxQueuedBytes int) *connectedPair {
	t.Helper()
	settings := testSettings("")
	settings.Timeout = 5 * time.Second
	b, postedAtB := newLinks(settings)
	settings.Siblings = map[string]string{"b": serveLinks(t, b)}
	settings.MaxQueuedBytes = maxQueuedBytes
	a, postedAtA := newLinks(settings)
	a.Connect("b")
	t.Cleanup(func() { a.Connect("") })
	session := waitFor[core.PeerConnected](t, postedAtA).Session
	return &connectedPair{a: a, session: session, postedAtA: postedAtA, postedAtB: postedAtB}
}

// A full snapshot is queued at once, in one case followed by a second one as if it had been requested
// meanwhile. All of it arrives over the same link, in order. When the queue was limited by a number
// of messages, each attempt from 3,200 machines on closed the link, mostly before the first line was
// written.
func TestSnapshotOfLargeFleetArrives(t *testing.T) {
	for _, test := range []struct{ machines, snapshots int }{{4000, 1}, {4000, 2}, {8000, 1}} {
		t.Run(fmt.Sprintf("%d machines, %d snapshots", test.machines, test.snapshots), func(t *testing.T) {
			pair := newConnectedPair(t, unreachableQueueLimit)
			chunks := snapshotOf(test.machines)
			for range test.snapshots {
				for _, chunk := range chunks {
					pair.a.Send(core.SendToPeer{Session: pair.session, Message: chunk})
				}
			}
			waitFor[core.PeerConnected](t, pair.postedAtB)
			for n := range test.snapshots * len(chunks) {
				pair.wantChunk(t, n, &chunks[n%len(chunks)])
			}
		})
	}
}

// wantChunk checks that the next message that b receives, number n, is the wanted chunk, and that
// the session stays open.
func (p *connectedPair) wantChunk(t *testing.T, n int, want *peerproto.Message) {
	t.Helper()
	select {
	case command := <-p.postedAtB:
		received, ok := command.(core.PeerReceived)
		if !ok {
			t.Fatalf("b posted %T after %d messages, want another message", command, n)
		}
		got := &received.Message
		if got.Chunk != want.Chunk || got.More != want.More || len(got.Machines) != len(want.Machines) ||
			got.Machines[0].Name != want.Machines[0].Name || len(got.Machines[0].Tasks) != tasksPerMachine {
			t.Fatalf("message %d has the wrong content: got chunk %d", n, got.Chunk)
		}
	case command := <-p.postedAtA:
		t.Fatalf("the sender posted %T after %d messages, want no event", command, n)
	case <-time.After(10 * time.Second):
		t.Fatalf("no further message within 10 s after %d messages", n)
	}
}

// listenWithoutReading accepts connections without ever reading from them, and returns the address.
func listenWithoutReading(t *testing.T) string {
	t.Helper()
	listener := mustListen(t)
	t.Cleanup(func() {
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { closeConn(conn) })
		}
	}()
	return listener.Addr().String()
}

// If a peer reads nothing for the timeout of a link, the link is closed, even if the queue is far
// below its limit.
func TestSessionOfStalledPeerIsClosed(t *testing.T) {
	settings := testSettings(listenWithoutReading(t))
	settings.RetryInterval, settings.Timeout = time.Hour, 300*time.Millisecond
	a, posted := newLinks(settings)
	a.Connect("b")
	defer a.Connect("")
	session := waitFor[core.PeerConnected](t, posted).Session
	begin := time.Now()
	for _, chunk := range snapshotOf(4000) {
		a.Send(core.SendToPeer{Session: session, Message: chunk})
	}
	waitFor[core.PeerDisconnected](t, posted)
	if took := time.Since(begin); took > 4*time.Second {
		t.Fatalf("session was closed after %v, want 4 s at most", took)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queuedBytes != 0 || len(a.sessions) != 0 {
		t.Fatalf("%d bytes are queued and %d sessions exist, want none after the only session was closed", a.queuedBytes, len(a.sessions))
	}
}

// dialAs opens a session, as a peer that reads or as one that never does, with the controller that
// serves links at an address, and returns the session's id at that controller.
func dialAs(t *testing.T, address string, posted chan core.Command, reads bool) uint64 {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(conn) })
	if _, err := fmt.Fprintln(conn, `{"epoch":7}`); err != nil {
		t.Fatal(err)
	}
	if reads {
		go func() { _, _ = io.Copy(io.Discard, conn) }() // returns when conn is closed
	}
	return waitFor[core.PeerConnected](t, posted).Session
}

// checkQueues checks that the counted total of queued bytes equals the sum over the sessions and does
// not exceed a bound, and returns whether the given session has ended.
func checkQueues(t *testing.T, links *Links, bound int, session uint64) (ended bool) {
	t.Helper()
	links.mu.Lock()
	defer links.mu.Unlock()
	sum := 0
	for _, s := range links.sessions {
		sum += s.queuedBytes
	}
	if links.queuedBytes > bound || sum != links.queuedBytes {
		t.Fatalf("%d bytes are counted as queued, the sessions' sum is %d; want both equal and within the bound", links.queuedBytes, sum)
	}
	s := links.sessions[session]
	return s == nil || s.closed
}

// When the queued messages exceed the limit, the session with the longest queue is closed and the
// others continue. The queued bytes never exceed the limit after a call of Send.
func TestQueuedMemoryIsBounded(t *testing.T) {
	const bound = 8 << 20
	settings := testSettings("")
	settings.Timeout, settings.MaxQueuedBytes = 5*time.Second, bound
	links, posted := newLinks(settings)
	address := serveLinks(t, links)
	stalled, reading := dialAs(t, address, posted, false), dialAs(t, address, posted, true)
	chunks := snapshotOf(4000)
	closed := false
	for i := 0; i < 3*len(chunks) && !closed; i++ {
		links.Send(core.SendToPeer{Session: stalled, Message: chunks[i%len(chunks)]})
		links.Send(core.SendToPeer{Session: reading, Message: peerproto.Message{Epoch: 7}})
		closed = checkQueues(t, links, bound, stalled)
		if checkQueues(t, links, bound, reading) {
			t.Fatal("the session of the peer that reads was closed, want it open")
		}
	}
	if !closed {
		t.Fatal("the session of the peer that does not read is still open, want it closed")
	}
	if down := waitFor[core.PeerDisconnected](t, posted); down.Session != stalled {
		t.Fatalf("session %d was disconnected, want session %d", down.Session, stalled)
	}
}

// memoryBytes counts every list of a message. A list that it left out would not count towards the
// limit on queued memory.
func TestMemoryCountsEveryList(t *testing.T) {
	var message peerproto.Message
	value := reflect.ValueOf(&message).Elem()
	for i := range value.NumField() {
		field := value.Field(i)
		if field.Kind() != reflect.Slice {
			continue
		}
		before := memoryBytes(&message)
		field.Set(reflect.MakeSlice(field.Type(), 100, 100))
		if got, minimum := memoryBytes(&message)-before, 100*int(field.Type().Elem().Size()); got < minimum {
			t.Errorf("field %s with 100 entries adds %d bytes, want at least %d", value.Type().Field(i).Name, got, minimum)
		}
	}
}
