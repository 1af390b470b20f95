package peer

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/peerproto"
	"github.com/chalkhub/chalkhub/internal/protocol"
)

// snapshotOf is a member's whole snapshot of machines with 64 tasks each.
func snapshotOf(machines int) peerproto.Message {
	m := peerproto.Message{Epoch: 7, Snapshot: true, ReadSeq: 12}
	for i := range machines {
		s := peerproto.MachineState{Name: fmt.Sprintf("n-%07d", i), Addr: "10.0.0.1:8000", Type: "barn", Zone: "a", TasksComplete: true, AcceptsTasks: true}
		for k := range 64 {
			s.Tasks = append(s.Tasks, peerproto.TaskState{Task: protocol.TaskName("job-100000001", 64*i+k), Attempt: 7 << 28, State: protocol.TaskRunning})
		}
		m.Machines = append(m.Machines, s)
	}
	return m
}

// connectedPair is two nodes on loopback: what a sends, b gets.
func connectedPair(t *testing.T, maxQueued int) (a *Links, session uint64, sent, got chan core.Command) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sent, got = make(chan core.Command, 64), make(chan core.Command, 64)
	b := New(nil, 10*time.Millisecond, 5*time.Second, generousQueueBytes, func(c core.Command) { got <- c }, nil)
	go b.Serve(ctx, ln)
	a = New(map[string]string{"b": ln.Addr().String()}, 10*time.Millisecond, 5*time.Second, maxQueued, func(c core.Command) { sent <- c }, nil)
	a.Connect("b")
	t.Cleanup(func() { a.Connect("") })
	return a, waitFor[core.PeerConnected](t, sent).Session, sent, got
}

// A whole snapshot goes into a link at once, and a second one that was asked for meanwhile.
// Both arrive over that same link, in order: a count of messages once closed it at every try
// from 3,200 machines on, mostly before the first line.
func TestSnapshotOfLargeFleetArrives(t *testing.T) {
	for _, of := range []struct{ machines, snapshots int }{{4000, 1}, {4000, 2}, {8000, 1}} {
		machines, snapshots := of.machines, of.snapshots
		t.Run(fmt.Sprintf("%d machines, %d snapshots", machines, snapshots), func(t *testing.T) {
			a, session, sent, got := connectedPair(t, generousQueueBytes)
			m := snapshotOf(machines)
			chunks := m.MemberChunks()
			for range snapshots {
				for _, p := range chunks {
					a.Send(core.SendToPeer{Session: session, Message: p})
				}
			}
			waitFor[core.PeerConnected](t, got)
			for n := range snapshots * len(chunks) {
				select {
				case c := <-got:
					line, ok := c.(core.PeerReceived)
					want := &chunks[n%len(chunks)]
					if !ok {
						t.Fatalf("%T after %d of %d messages", c, n, len(chunks))
					}
					if line.Message.Chunk != want.Chunk || line.Message.More != want.More || len(line.Message.Machines) != len(want.Machines) ||
						line.Message.Machines[0].Name != want.Machines[0].Name || len(line.Message.Machines[0].Tasks) != 64 {
						t.Fatalf("message %d of %d is another: piece %d", n, len(chunks), line.Message.Chunk)
					}
				case c := <-sent:
					t.Fatalf("%T at the sender after %d messages", c, n)
				case <-time.After(10 * time.Second):
					t.Fatalf("%d of %d messages came", n, len(chunks))
				}
			}
		})
	}
}

// listenWithoutReading accepts connections and never reads.
func listenWithoutReading(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
		}
	}()
	return ln
}

// A peer that reads nothing for the timeout of a link gets it closed, however little waits.
func TestSessionOfStalledPeerIsClosed(t *testing.T) {
	sent := make(chan core.Command, 64)
	a := New(map[string]string{"b": listenWithoutReading(t).Addr().String()}, time.Hour, 300*time.Millisecond, generousQueueBytes, func(c core.Command) { sent <- c }, nil)
	a.Connect("b")
	defer a.Connect("")
	session := waitFor[core.PeerConnected](t, sent).Session
	begin := time.Now()
	m := snapshotOf(4000)
	for _, p := range m.MemberChunks() {
		a.Send(core.SendToPeer{Session: session, Message: p})
	}
	waitFor[core.PeerDisconnected](t, sent)
	if took := time.Since(begin); took > 4*time.Second {
		t.Fatalf("closed after %v", took)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queuedBytes != 0 || len(a.sessions) != 0 {
		t.Fatalf("%d bytes wait for a closed link, of %d", a.queuedBytes, len(a.sessions))
	}
}

// Where more waits than may, the link with the longest queue is closed, the others go on, and
// what waits never passes the bound.
func TestQueuedMemoryIsBounded(t *testing.T) {
	const bound = 8 << 20
	a, _, sent, _ := connectedPair(t, bound)
	a.Connect("") // as a leader, it is only dialled
	waitFor[core.PeerDisconnected](t, sent)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go a.Serve(ctx, ln)
	dial := func(read bool) uint64 {
		conn, err := net.Dial("tcp4", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		fmt.Fprintln(conn, `{"epoch":7}`)
		if read {
			go func() {
				buf := make([]byte, 64<<10)
				for {
					if _, err := conn.Read(buf); err != nil {
						return
					}
				}
			}()
		}
		return waitFor[core.PeerConnected](t, sent).Session
	}
	unread, reads := dial(false), dial(true)
	m := snapshotOf(4000)
	chunks := m.MemberChunks()
	closed := false
	for i := 0; i < 3*len(chunks) && !closed; i++ {
		a.Send(core.SendToPeer{Session: unread, Message: chunks[i%len(chunks)]})
		a.Send(core.SendToPeer{Session: reads, Message: peerproto.Message{Epoch: 7}})
		a.mu.Lock()
		sum := 0
		for _, s := range a.sessions {
			sum += s.queuedBytes
		}
		if a.queuedBytes > bound || sum != a.queuedBytes {
			t.Fatalf("%d bytes wait, %d on the links", a.queuedBytes, sum)
		}
		closed = a.sessions[unread] == nil || a.sessions[unread].closed
		if s := a.sessions[reads]; s == nil || s.closed {
			t.Fatal("the link that is read is closed")
		}
		a.mu.Unlock()
	}
	if !closed {
		t.Fatal("the link that is not read stays open")
	}
	if down := waitFor[core.PeerDisconnected](t, sent); down.Session != unread {
		t.Fatalf("session %d is down, not %d", down.Session, unread)
	}
}

// No list of a message is left out when what waits is counted.
func TestMemoryCountsEveryList(t *testing.T) {
	var m peerproto.Message
	v := reflect.ValueOf(&m).Elem()
	for i := range v.NumField() {
		f := v.Field(i)
		if f.Kind() != reflect.Slice {
			continue
		}
		before := memoryBytes(&m)
		f.Set(reflect.MakeSlice(f.Type(), 100, 100))
		if got, least := memoryBytes(&m)-before, 100*int(f.Type().Elem().Size()); got < least {
			t.Errorf("%s: %d bytes, at least %d", v.Type().Field(i).Name, got, least)
		}
	}
}
