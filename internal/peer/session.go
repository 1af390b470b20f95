package peer

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"github.com/chalkhub/chalkhub/internal/core"
	"github.com/chalkhub/chalkhub/internal/peerproto"
)

// session is one connection to another controller. The lock of its Links guards its queue and
// whether it is closed.
type session struct {
	id          uint64
	conn        net.Conn
	queue       []queuedMessage
	queuedBytes int
	changed     *sync.Cond // signaled when the queue grows and when the session is closed
	closed      bool
}

// queuedMessage is a message that is not completely written yet.
type queuedMessage struct {
	message peerproto.Message
	bytes   int // memory that it takes, see memoryBytes
}

// runSession reads from a connection until it breaks, while another goroutine writes the queued
// messages. The label is that of the sibling that was dialed, empty if the other side has dialed.
func (l *Links) runSession(conn net.Conn, reader *bufio.Reader, label string) {
	s := l.addSession(conn)
	l.post(core.PeerConnected{Session: s.id, Label: label})
	go l.writeQueue(s)
	l.readMessages(s, reader)
	l.removeSession(s)
	l.post(core.PeerDisconnected{Session: s.id})
}

func (l *Links) addSession(conn net.Conn) *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	s := &session{id: l.lastID, conn: conn, changed: sync.NewCond(&l.mu)}
	l.sessions[s.id] = s
	return s
}

func (l *Links) removeSession(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, s.id)
	l.discardSession(s)
}

// discardSession closes a session and drops its queued messages. Its reader then fails and removes
// the session. The caller holds the lock.
func (l *Links) discardSession(s *session) {
	closeConn(s.conn)
	s.closed = true
	l.queuedBytes -= s.queuedBytes
	s.queue, s.queuedBytes = nil, 0
	s.changed.Signal()
}

// readMessages posts each message that arrives over a connection. It returns when the connection
// breaks, stays silent for idleTimeouts timeouts, or delivers something other than a message.
func (l *Links) readMessages(s *session, reader *bufio.Reader) {
	for {
		if err := s.conn.SetReadDeadline(time.Now().Add(idleTimeouts * l.settings.Timeout)); err != nil {
			return
		}
		line, err := readLine(reader)
		if err != nil {
			return
		}
		var message peerproto.Message
		if err := json.Unmarshal(line, &message); err != nil {
			return
		}
		l.post(core.PeerReceived{Session: s.id, Message: message})
	}
}

// errLineTooLong reports a line longer than any that a controller sends.
var errLineTooLong = errors.New("read message from peer: line exceeds the maximum length of a message")

// readLine reads a line and returns it with its line feed. It returns errLineTooLong if it has read
// more than peerproto.MaxLineBytes without finding the end of the line.
func readLine(reader *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		fragment, err := reader.ReadSlice('\n')
		line = append(line, fragment...)
		switch {
		case err == nil:
			return line, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(line) > peerproto.MaxLineBytes:
			return nil, errLineTooLong
		}
	}
}

// writeQueue writes the queued messages of a session until the session is closed. If the peer does
// not read, so that a write takes longer than the timeout, it closes the connection.
func (l *Links) writeQueue(s *session) {
	for {
		message, ok := l.nextMessage(s)
		if !ok {
			return
		}
		if err := l.writeMessage(s.conn, &message); err != nil {
			closeConn(s.conn) // its reader then fails and removes the session
			return
		}
		l.dequeue(s)
	}
}

func (l *Links) writeMessage(conn net.Conn, message *peerproto.Message) error {
	line, err := json.Marshal(message)
	if err != nil {
		// A message consists of plain data, which can always be encoded. An error means that a field
		// was added whose type JSON can't encode.
		panic(fmt.Sprintf("peer: encode message: %v", err))
	}
	if err := conn.SetWriteDeadline(time.Now().Add(l.settings.Timeout)); err != nil {
		return err
	}
	_, err = conn.Write(append(line, '\n'))
	return err
}

// enqueue appends a message to a session's queue. The caller holds the lock.
func (l *Links) enqueue(s *session, message peerproto.Message) {
	bytes := memoryBytes(&message)
	s.queue = append(s.queue, queuedMessage{message, bytes})
	s.queuedBytes += bytes
	l.queuedBytes += bytes
	s.changed.Signal()
}

// nextMessage blocks until a session has a queued message, and returns the first one. The message
// stays queued until it is written. ok is false once the session is closed.
func (l *Links) nextMessage(s *session) (message peerproto.Message, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(s.queue) == 0 && !s.closed {
		s.changed.Wait()
	}
	if s.closed {
		return peerproto.Message{}, false
	}
	return s.queue[0].message, true
}

// dequeue removes the first message from a session's queue, after it has been written.
func (l *Links) dequeue(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.closed {
		return
	}
	l.queuedBytes -= s.queue[0].bytes
	s.queuedBytes -= s.queue[0].bytes
	s.queue[0] = queuedMessage{} // frees the message now; its slot is freed when append reallocates the list
	if s.queue = s.queue[1:]; len(s.queue) == 0 {
		s.queue = nil
	}
}
