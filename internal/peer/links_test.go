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

// unreachableQueueLimit is a value of MaxQueuedBytes that no test reaches.
const unreachableQueueLimit = 1 << 30

// testSettings returns settings with a short retry interval, and with the sibling b if an address
// is given.
func testSettings(addressOfB string) Settings {
	settings := Settings{RetryInterval: 10 * time.Millisecond, Timeout: time.Second, MaxQueuedBytes: unreachableQueueLimit}
	if addressOfB != "" {
		settings.Siblings = map[string]string{"b": addressOfB}
	}
	return settings
}

// newLinks returns links that post to the returned channel.
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
			t.Errorf("Serve returned %v, want context.Canceled", err)
		}
	})
	return listener.Addr().String()
}

// waitFor returns the next posted command of type T and drops commands of other types before it. It
// fails the test after 5 s.
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
			t.Fatalf("no %T was posted within 5 s", *new(T))
		}
	}
}

// Two controllers are connected over loopback. Messages arrive, a link that breaks is dialed again
// and becomes a new session, and a browser gets the status page from the same port.
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
		t.Fatalf("b received %+v, want the hello of a over the session that b has posted", received)
	}
	b.CloseSession(atB.Session)
	waitFor[core.PeerDisconnected](t, postedAtA)
	if second := waitFor[core.PeerConnected](t, postedAtA); second.Session == atA.Session {
		t.Fatal("the new session has the same id as the old one")
	}
	if page := getStatusPage(t, addressOfB); !strings.HasSuffix(page, `{"label":"b"}`) {
		t.Fatalf("response to the browser: %q, want one that ends with the status page", page)
	}
}

// getStatusPage returns the complete response to a browser's request, with its header.
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
	response, err := io.ReadAll(conn)
	// The server closes the connection without reading the whole request, which may reset the
	// connection after the response.
	if err != nil && len(response) == 0 {
		t.Fatal(err)
	}
	return string(response)
}
