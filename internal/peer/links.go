// Package peer is the link between controllers: JSON lines over TCP. A member
// keeps one link, to the leader; the same port shows the status page to a
// browser.
package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// Links keeps the links of a node.
type Links struct {
	siblings      map[string]string // label -> address
	post          func(core.Command)
	status        func() ([]byte, bool)
	retryInterval time.Duration
	timeout       time.Duration
	// maxQueuedBytes is how many bytes of memory may wait to be written, on all links together.
	maxQueuedBytes int

	mu          sync.Mutex
	ctx         context.Context
	lastID      uint64
	sessions    map[uint64]*session
	queuedBytes int // bytes that wait on all links
	target      string
	stopDialing context.CancelFunc
}

// session is one connection. What it queues is guarded by the lock of its Link.
type session struct {
	id          uint64
	conn        net.Conn
	queue       []queuedMessage
	queuedBytes int        // bytes of the queue
	changed     *sync.Cond // the queue has grown, or the session is closed
	closed      bool
}

// queuedMessage waits to be written.
type queuedMessage struct {
	message peerproto.Message
	bytes   int
}

// New makes the links of a node. status renders the status page. What waits to be written
// takes at most maxQueued bytes of memory.
func New(siblings map[string]string, retry, timeout time.Duration, maxQueued int, post func(core.Command), status func() ([]byte, bool)) *Links {
	return &Links{siblings: siblings, retryInterval: retry, timeout: timeout, maxQueuedBytes: maxQueued, post: post, status: status,
		sessions: map[uint64]*session{}, ctx: context.Background()}
}

// Serve accepts links until ctx ends.
func (l *Links) Serve(ctx context.Context, ln net.Listener) error {
	l.mu.Lock()
	l.ctx = ctx
	l.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(l.retryInterval)
			continue
		}
		go l.handleAccepted(conn)
	}
}

func (l *Links) handleAccepted(conn net.Conn) {
	r := bufio.NewReaderSize(conn, 16<<10)
	conn.SetReadDeadline(time.Now().Add(l.timeout))
	if head, err := r.Peek(4); err != nil {
		conn.Close()
		return
	} else if string(head) == "GET " {
		l.serveStatusPage(conn)
		return
	}
	l.runSession(conn, r, "")
}

// serveStatusPage answers a browser with the status page, whatever path it asks for.
func (l *Links) serveStatusPage(conn net.Conn) {
	defer conn.Close()
	body, ok := l.status()
	status := "200 OK"
	if !ok {
		status, body = "503 Service Unavailable", []byte("{}")
	}
	conn.SetWriteDeadline(time.Now().Add(l.timeout))
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", status, len(body))
	conn.Write(body)
}

// Connect names the sibling to keep a link to; an earlier link is closed.
func (l *Links) Connect(label string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.target == label && label != "" {
		return
	}
	l.target = label
	if l.stopDialing != nil {
		l.stopDialing()
		l.stopDialing = nil
	}
	addr := l.siblings[label]
	if addr == "" {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	l.stopDialing = cancel
	go l.dial(ctx, label, addr)
}

func (l *Links) dial(ctx context.Context, label, addr string) {
	d := net.Dialer{Timeout: l.timeout}
	for ctx.Err() == nil {
		conn, err := d.DialContext(ctx, "tcp4", addr)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			l.runSession(conn, bufio.NewReaderSize(conn, 16<<10), label)
			stop()
		}
		select {
		case <-ctx.Done():
		case <-time.After(l.retryInterval):
		}
	}
}

// runSession reads a link until it breaks.
func (l *Links) runSession(conn net.Conn, r *bufio.Reader, label string) {
	l.mu.Lock()
	l.lastID++
	s := &session{id: l.lastID, conn: conn, changed: sync.NewCond(&l.mu)}
	l.sessions[s.id] = s
	l.mu.Unlock()
	l.post(core.PeerConnected{Session: s.id, Label: label})
	go l.writeQueue(s)
	for {
		conn.SetReadDeadline(time.Now().Add(4 * l.timeout))
		line, err := readLine(r)
		if err != nil {
			break
		}
		var m peerproto.Message
		if err := json.Unmarshal(line, &m); err != nil {
			break
		}
		l.post(core.PeerReceived{Session: s.id, Message: m})
	}
	l.removeSession(s)
	l.post(core.PeerDisconnected{Session: s.id})
}

func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err == nil {
			return line, nil
		}
		if err != bufio.ErrBufferFull || len(line) > peerproto.MaxLineBytes {
			return nil, err
		}
	}
}

func (l *Links) removeSession(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, s.id)
	l.closeSession(s)
}

// closeSession closes a session and lets go what it has queued; its reader drops it. The lock is held.
func (l *Links) closeSession(s *session) {
	s.conn.Close()
	s.closed = true
	l.queuedBytes -= s.queuedBytes
	s.queue, s.queuedBytes = nil, 0
	s.changed.Signal()
}

// writeQueue sends what a session has queued until it is closed. A peer that does not read for
// the timeout of a link gets it closed.
func (l *Links) writeQueue(s *session) {
	for {
		m, ok := l.nextMessage(s)
		if !ok {
			return
		}
		b, err := json.Marshal(&m)
		if err != nil {
			panic(fmt.Sprintf("peer: encode: %v", err))
		}
		s.conn.SetWriteDeadline(time.Now().Add(l.timeout))
		if _, err := s.conn.Write(append(b, '\n')); err != nil {
			s.conn.Close()
			return
		}
		l.dequeue(s)
	}
}

// nextMessage waits for the message that a session is to write next; it stays queued until it is
// written. ok is false once the session is closed.
func (l *Links) nextMessage(s *session) (m peerproto.Message, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(s.queue) == 0 && !s.closed {
		s.changed.Wait()
	}
	if s.closed {
		return m, false
	}
	return s.queue[0].message, true
}

// dequeue takes the first message of a session out of its queue.
func (l *Links) dequeue(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.closed {
		return
	}
	l.queuedBytes -= s.queue[0].bytes
	s.queuedBytes -= s.queue[0].bytes
	s.queue[0] = queuedMessage{} // its memory goes now, the list's when that grows
	if s.queue = s.queue[1:]; len(s.queue) == 0 {
		s.queue = nil
	}
}

// Send puts a message on its way. It does not wait: each link is written at its own pace.
// While more waits on all of them than may, the one with the most is closed: the next one
// starts with the whole snapshot.
//
// Guards against a bound by count: a whole snapshot of 3,200 machines with 64 tasks each is
// more than the 1,024 messages that a link once queued, and closed it at every try.
func (l *Links) Send(e core.SendToPeer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessions[e.Session]
	if s == nil || s.closed {
		return
	}
	bytes := memoryBytes(&e.Message)
	s.queue = append(s.queue, queuedMessage{e.Message, bytes})
	s.queuedBytes += bytes
	l.queuedBytes += bytes
	s.changed.Signal()
	for l.queuedBytes > l.maxQueuedBytes {
		l.closeSession(l.longestQueue())
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

// CloseSession ends a link.
func (l *Links) CloseSession(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.sessions[id]; s != nil {
		s.conn.Close()
	}
}
