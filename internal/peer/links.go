// Package peer is the links between controllers: JSON lines over TCP. A member keeps one
// link, to the leader; the same port shows the status page to a browser.
//
// It owns the connections, the messages that wait on them, and the goroutines that read,
// write and dial. It does not know who leads, what a message means, or when one is due.
//
// Invariants:
//   - Messages of a session arrive in the order in which they were sent, or the session
//     ends: none is left out. What the next session needs, the core sends again.
//   - What waits on all sessions together takes at most MaxQueuedBytes of memory.
//   - Each session is posted as connected once, before its messages, and as disconnected
//     once, after them.
package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/chalkhub/chalkhub/internal/core"
)

const (
	// readBufferBytes takes most messages whole.
	readBufferBytes = 16 << 10
	// idleTimeouts is after how many timeouts without a message a session is taken to be
	// broken.
	idleTimeouts = 4
)

// Settings of a node's links.
type Settings struct {
	Siblings       map[string]string // addresses by label
	RetryInterval  time.Duration     // from a link that broke to the next attempt
	Timeout        time.Duration     // of a connection's making, and of a write
	MaxQueuedBytes int               // memory of what waits to be written, on all links together
}

// Links are the links of a node. Any goroutine may call their methods.
type Links struct {
	settings   Settings
	post       func(core.Command)
	statusPage func() (body []byte, ok bool)

	mu          sync.Mutex
	ctx         context.Context // ends the links; that of Serve once it runs
	lastID      uint64
	sessions    map[uint64]*session
	queuedBytes int    // of what waits on all sessions
	dialTarget  string // the label of the sibling to keep a link to, empty: none
	stopDialing context.CancelFunc
}

// New makes the links of a node. post takes what comes over them and may wait; statusPage
// renders the status page.
func New(settings Settings, post func(core.Command), statusPage func() ([]byte, bool)) *Links {
	return &Links{
		settings:   settings,
		post:       post,
		statusPage: statusPage,
		ctx:        context.Background(),
		sessions:   map[uint64]*session{},
	}
}

// Serve accepts links on a listener, which it closes, until ctx ends; that ends all links.
func (l *Links) Serve(ctx context.Context, listener net.Listener) error {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	// Closing is what ends Accept; whether it was closed before does not matter.
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err == nil {
			go l.handleAccepted(conn)
			continue
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(l.settings.RetryInterval) // no descriptor is free, say
	}
}

// handleAccepted runs the session of a connection, or shows a browser the status page.
func (l *Links) handleAccepted(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	if err := conn.SetReadDeadline(time.Now().Add(l.settings.Timeout)); err != nil {
		closeConn(conn)
		return
	}
	isBrowser, err := peekBrowserRequest(reader)
	switch {
	case err != nil:
		closeConn(conn)
	case isBrowser:
		l.serveStatusPage(conn)
	default:
		l.runSession(conn, reader, "")
	}
}

// Connect names the sibling to keep a link to; an earlier link that this node has made is
// closed. An empty label stands for none.
func (l *Links) Connect(label string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialTarget == label && label != "" {
		return
	}
	l.dialTarget = label
	if l.stopDialing != nil {
		l.stopDialing()
		l.stopDialing = nil
	}
	address := l.settings.Siblings[label]
	if address == "" {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	l.stopDialing = cancel
	go l.keepConnected(ctx, label, address)
}

// keepConnected dials a sibling, again whenever the link breaks, until ctx ends.
func (l *Links) keepConnected(ctx context.Context, label, address string) {
	dialer := net.Dialer{Timeout: l.settings.Timeout}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp4", address)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { closeConn(conn) })
			l.runSession(conn, bufio.NewReaderSize(conn, readBufferBytes), label)
			stop()
		}
		select {
		case <-ctx.Done():
		case <-time.After(l.settings.RetryInterval):
		}
	}
}

// Send puts a message on its way. It does not wait: each session is written at its own
// pace. While more waits on all of them than may, the one with the most is closed: the next
// one starts with a whole snapshot.
//
// Guards against a bound by count: a whole snapshot of 3,200 machines with 64 tasks each is
// more than the 1,024 messages that a link once queued, and closed it at every try.
func (l *Links) Send(effect core.SendToPeer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessions[effect.Session]
	if s == nil || s.closed {
		return
	}
	l.enqueue(s, effect.Message)
	for l.queuedBytes > l.settings.MaxQueuedBytes {
		l.discardSession(l.longestQueue())
	}
}

// longestQueue is the session with the longest queue, by bytes. The lock is held.
func (l *Links) longestQueue() (longest *session) {
	for _, s := range l.sessions {
		if longest == nil || s.queuedBytes > longest.queuedBytes || s.queuedBytes == longest.queuedBytes && s.id < longest.id {
			longest = s
		}
	}
	return longest
}

// CloseSession ends a session.
func (l *Links) CloseSession(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.sessions[id]; s != nil {
		closeConn(s.conn) // its reader does the rest
	}
}

// closeConn closes a connection. What was written may be lost all the same, and one that is
// closed already is no fault, so there is nothing to do about an error.
func closeConn(conn net.Conn) { _ = conn.Close() }
