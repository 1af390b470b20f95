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

// session is one connection. What it queues is guarded by the lock of its Links.
type session struct {
	id          uint64
	conn        net.Conn
	queue       []queuedMessage
	queuedBytes int
	changed     *sync.Cond // the queue has grown, or the session is closed
	closed      bool
}

// queuedMessage waits to be written.
type queuedMessage struct {
	message peerproto.Message
	bytes   int // of memory
}

// runSession reads a connection until it breaks, and writes what is queued meanwhile. The
// label is that of the sibling that was dialled, empty if the other side has dialled.
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

// discardSession closes a session and lets go what it has queued; its reader removes it. The
// lock is held.
func (l *Links) discardSession(s *session) {
	closeConn(s.conn)
	s.closed = true
	l.queuedBytes -= s.queuedBytes
	s.queue, s.queuedBytes = nil, 0
	s.changed.Signal()
}

// readMessages posts what comes over a connection until that breaks or something else than
// a message comes.
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

// errLineTooLong refuses a line that no controller sends.
var errLineTooLong = errors.New("a line is longer than a message may be")

// readLine reads a line of any length that a message may have.
func readLine(reader *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
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

// writeQueue writes what a session has queued until it is closed. A peer that does not read
// for the timeout of a link gets it closed.
func (l *Links) writeQueue(s *session) {
	for {
		message, ok := l.nextMessage(s)
		if !ok {
			return
		}
		if err := l.writeMessage(s.conn, &message); err != nil {
			closeConn(s.conn) // its reader does the rest
			return
		}
		l.dequeue(s)
	}
}

func (l *Links) writeMessage(conn net.Conn, message *peerproto.Message) error {
	line, err := json.Marshal(message)
	if err != nil {
		// A message is plain data; only a field of another kind could lead here.
		panic(fmt.Sprintf("peer: encode: %v", err))
	}
	if err := conn.SetWriteDeadline(time.Now().Add(l.settings.Timeout)); err != nil {
		return err
	}
	_, err = conn.Write(append(line, '\n'))
	return err
}

// enqueue adds a message to a session's queue. The lock is held.
func (l *Links) enqueue(s *session, message peerproto.Message) {
	bytes := memoryBytes(&message)
	s.queue = append(s.queue, queuedMessage{message, bytes})
	s.queuedBytes += bytes
	l.queuedBytes += bytes
	s.changed.Signal()
}

// nextMessage waits for the message that a session is to write next; it stays queued until
// it is written. ok is false once the session is closed.
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

// dequeue takes the first message of a session, which is written, out of its queue.
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
