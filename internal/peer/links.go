// Package peer implements the links between controllers, which carry lines of JSON over TCP. A
// member keeps one link, to the leader. The same port serves the status page to browsers.
//
// The package owns the connections, the queues of messages to be written, and the goroutines that
// read, write and dial. It knows neither which controller leads, nor what a message means, nor when
// one is due.
//
// A session is one connection of a link.
//
// Invariants:
//   - Messages of a session arrive in the order in which they were sent, and none is skipped. If a
//     message is lost, the session ends; the core sends again what the next session needs.
//   - The queued messages of all sessions together take at most MaxQueuedBytes of memory.
//   - For each session, the core receives PeerConnected once, before the session's messages, and
//     PeerDisconnected once, after them.
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
	// readBufferBytes is enough to hold most messages completely.
	readBufferBytes = 16 << 10
	// idleTimeouts is how many timeouts may pass without a message until a session is
	// considered broken.
	idleTimeouts = 4
)

// Settings configures the links of a controller.
type Settings struct {
	Siblings       map[string]string // addresses of the other controllers, by label
	RetryInterval  time.Duration     // delay between the end of a connection and the next dial
	Timeout        time.Duration     // for dialing, for each write, and for the first bytes of an accepted connection
	MaxQueuedBytes int               // limit on the memory of all messages to be written, on all links together
}

// Links holds the links of a controller. Its methods are safe for concurrent use.
type Links struct {
	settings   Settings
	post       func(core.Command)
	statusPage func() (body []byte, ok bool)

	mu          sync.Mutex
	ctx         context.Context // its end closes the dialed links; the context of Serve once that runs
	lastID      uint64
	sessions    map[uint64]*session
	queuedBytes int    // memory of the queued messages of all sessions
	dialTarget  string // label of the sibling to keep a link to, empty: none
	stopDialing context.CancelFunc
}

// New returns the links of a controller. It opens no connection yet. post receives the events and
// messages of the links, is called from several goroutines, and may block; statusPage renders the
// status page and reports whether there is one.
func New(settings Settings, post func(core.Command), statusPage func() ([]byte, bool)) *Links {
	return &Links{
		settings:   settings,
		post:       post,
		statusPage: statusPage,
		ctx:        context.Background(),
		sessions:   map[uint64]*session{},
	}
}

// Serve accepts links on a listener until ctx ends, and then returns the context's error. The end
// of ctx closes the listener and each link that Connect dials after Serve was called. Accepted
// connections stay open until they break or are closed by CloseSession or Send.
func (l *Links) Serve(ctx context.Context, listener net.Listener) error {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	// Closing the listener makes Accept return. The error can be ignored: it only means that the
	// listener was already closed.
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
		time.Sleep(l.settings.RetryInterval) // Accept may fail repeatedly, for example while the process has no free file descriptor
	}
}

// handleAccepted runs the session of an accepted connection, or serves the status page if it comes
// from a browser.
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

// Connect sets the sibling to keep a link to, by label; an empty label means none. It returns
// without waiting for the connection. A link that this controller dialed to another sibling is
// closed.
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

// keepConnected dials a sibling, and dials it again whenever the link breaks, until ctx ends.
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

// Send queues a message for a session and does not block. A message for a session that has ended is
// dropped. While the queues of all sessions together exceed MaxQueuedBytes, the session with the
// longest queue is closed; the session that replaces it starts with a full snapshot.
//
// The limit is in bytes and not a number of messages: a full snapshot of 3,200 machines with 64
// tasks each is more than the 1,024 messages that a link once could queue, so that each attempt to
// send it closed the link.
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

// longestQueue returns the session whose queue takes the most memory. The caller holds the lock.
func (l *Links) longestQueue() (longest *session) {
	for _, s := range l.sessions {
		if longest == nil || s.queuedBytes > longest.queuedBytes || s.queuedBytes == longest.queuedBytes && s.id < longest.id {
			longest = s
		}
	}
	return longest
}

// CloseSession closes the connection of a session. PeerDisconnected is posted for it later, unless
// the session has already ended.
func (l *Links) CloseSession(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.sessions[id]; s != nil {
		closeConn(s.conn) // its reader then fails and removes the session
	}
}

// closeConn closes a connection. It ignores the error: the connection may already be closed, and
// data that was written may be lost even if there is no error.
func closeConn(conn net.Conn) { _ = conn.Close() }
