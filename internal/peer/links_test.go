package peer

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// generousQueueBytes is a bound on what waits that no test reaches.
const generousQueueBytes = 1 << 30

// Two nodes on loopback: lines arrive, a broken link comes back as a new one,
// and a browser gets the status page from the same port.
func TestLinkReconnectsAndServesStatusPage(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan core.Command, 16)
	page := func() ([]byte, bool) { return []byte(`{"label":"b"}`), true }
	b := New(nil, 10*time.Millisecond, time.Second, generousQueueBytes, func(c core.Command) { got <- c }, page)
	go b.Serve(ctx, ln)

	sent := make(chan core.Command, 16)
	a := New(map[string]string{"b": ln.Addr().String()}, 10*time.Millisecond, time.Second, generousQueueBytes, func(c core.Command) { sent <- c }, page)
	a.Connect("b")
	up := waitFor[core.PeerConnected](t, sent)
	a.Send(core.SendToPeer{Session: up.Session, Message: peerproto.Message{Hello: &peerproto.Hello{Label: "a", BootID: "1"}}})
	there := waitFor[core.PeerConnected](t, got)
	line := waitFor[core.PeerReceived](t, got)
	if line.Session != there.Session || line.Message.Hello.Label != "a" {
		t.Fatalf("%+v", line)
	}
	b.CloseSession(there.Session)
	waitFor[core.PeerDisconnected](t, sent)
	if again := waitFor[core.PeerConnected](t, sent); again.Session == up.Session {
		t.Fatal("a new link has the number of the old one")
	}

	conn, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
	body, _ := io.ReadAll(conn)
	if !strings.HasSuffix(string(body), `{"label":"b"}`) {
		t.Fatalf("status page: %q", body)
	}
}

func waitFor[T core.Command](t *testing.T, ch chan core.Command) T {
	t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		select {
		case c := <-ch:
			if x, ok := c.(T); ok {
				return x
			}
		case <-timeout:
			t.Fatalf("no %T came", *new(T))
		}
	}
}
