package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// unreachableQueueLimit is a bound on what waits that no test reaches.
const unreachableQueueLimit = 1 << 30

// testSettings retry at once and have the sibling b, if an address is given.
func testSettings(addressOfB string) Settings {
	settings := Settings{RetryInterval: 10 * time.Millisecond, Timeout: time.Second, MaxQueuedBytes: unreachableQueueLimit}
	if addressOfB != "" {
		settings.Siblings = map[string]string{"b": addressOfB}
	}
	return settings
}

// newLinks makes links that post to a channel.
func newLinks(settings Settings) (*Links, chan core.Command) {
	posted := make(chan core.Command, 64)
	statusPage := func() ([]byte, bool) { return []byte(`{"label":"b"}`), true }
	return New(settings, func(command core.Command) { posted <- command }, statusPage), posted
}

func mustListen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// serveLinks serves links until the test ends, and returns their address.
func serveLinks(t *testing.T, links *Links) string {
	t.Helper()
	listener := mustListen(t)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- links.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-stopped; !errors.Is(err, context.Canceled) {
			t.Errorf("the links ended with %v", err)
		}
	})
	return listener.Addr().String()
}

// waitFor waits for a command of a type.
func waitFor[T core.Command](t *testing.T, posted chan core.Command) T {
	t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		select {
		case command := <-posted:
			if wanted, ok := command.(T); ok {
				return wanted
			}
		case <-timeout:
			t.Fatalf("no %T came", *new(T))
		}
	}
}

// Two nodes on loopback: messages arrive, a broken link comes back as a new session, and a
// browser gets the status page from the same port.
func TestLinkReconnectsAndServesStatusPage(t *testing.T) {
	b, postedAtB := newLinks(testSettings(""))
	addressOfB := serveLinks(t, b)
	a, postedAtA := newLinks(testSettings(addressOfB))
	a.Connect("b")
	defer a.Connect("")
	atA := waitFor[core.PeerConnected](t, postedAtA)
	a.Send(core.SendToPeer{Session: atA.Session, Message: peerproto.Message{Hello: &peerproto.Hello{Label: "a", BootID: "1"}}})
	atB := waitFor[core.PeerConnected](t, postedAtB)
	received := waitFor[core.PeerReceived](t, postedAtB)
	if received.Session != atB.Session || received.Message.Hello.Label != "a" {
		t.Fatalf("%+v", received)
	}
	b.CloseSession(atB.Session)
	waitFor[core.PeerDisconnected](t, postedAtA)
	if again := waitFor[core.PeerConnected](t, postedAtA); again.Session == atA.Session {
		t.Fatal("a new session has the number of the old one")
	}
	if page := getStatusPage(t, addressOfB); !strings.HasSuffix(page, `{"label":"b"}`) {
		t.Fatalf("status page: %q", page)
	}
}

// getStatusPage is the whole answer to a browser.
func getStatusPage(t *testing.T, address string) string {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer closeConn(conn)
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	// The server closes with the rest of the request unread, which may reset the connection
	// after the answer.
	if err != nil && len(answer) == 0 {
		t.Fatal(err)
	}
	return string(answer)
}
