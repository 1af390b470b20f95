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

// Limits of a link.
const (
	maxLine  = 16 << 20
	maxQueue = 1024
)

// Link keeps the links of a node.
type Link struct {
	siblings map[string]string // label -> address
	post     func(core.Command)
	status   func() ([]byte, bool)
	retry    time.Duration
	timeout  time.Duration

	mu      sync.Mutex
	ctx     context.Context
	next    uint64
	links   map[uint64]*session
	target  string
	stopOut context.CancelFunc
}

type session struct {
	id   uint64
	conn net.Conn
	out  chan peerproto.Message
	once sync.Once
}

func (s *session) close() {
	s.once.Do(func() { s.conn.Close(); close(s.out) })
}

// New makes the links of a node. status renders the status page.
func New(siblings map[string]string, retry, timeout time.Duration, post func(core.Command), status func() ([]byte, bool)) *Link {
	return &Link{siblings: siblings, retry: retry, timeout: timeout, post: post, status: status,
		links: map[uint64]*session{}, ctx: context.Background()}
}

// Serve accepts links until ctx ends.
func (l *Link) Serve(ctx context.Context, ln net.Listener) error {
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
			time.Sleep(l.retry)
			continue
		}
		go l.accepted(conn)
	}
}

func (l *Link) accepted(conn net.Conn) {
	r := bufio.NewReaderSize(conn, 16<<10)
	conn.SetReadDeadline(time.Now().Add(l.timeout))
	if head, err := r.Peek(4); err != nil {
		conn.Close()
		return
	} else if string(head) == "GET " {
		l.page(conn)
		return
	}
	l.run(conn, r, "")
}

// page answers a browser with the status page, whatever path it asks for.
func (l *Link) page(conn net.Conn) {
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

// Target names the sibling to keep a link to; an earlier link is closed.
func (l *Link) Target(label string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.target == label && label != "" {
		return
	}
	l.target = label
	if l.stopOut != nil {
		l.stopOut()
		l.stopOut = nil
	}
	addr := l.siblings[label]
	if addr == "" {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	l.stopOut = cancel
	go l.dial(ctx, label, addr)
}

func (l *Link) dial(ctx context.Context, label, addr string) {
	d := net.Dialer{Timeout: l.timeout}
	for ctx.Err() == nil {
		conn, err := d.DialContext(ctx, "tcp4", addr)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { conn.Close() })
			l.run(conn, bufio.NewReaderSize(conn, 16<<10), label)
			stop()
		}
		select {
		case <-ctx.Done():
		case <-time.After(l.retry):
		}
	}
}

// run reads a link until it breaks.
func (l *Link) run(conn net.Conn, r *bufio.Reader, label string) {
	l.mu.Lock()
	l.next++
	s := &session{id: l.next, conn: conn, out: make(chan peerproto.Message, maxQueue)}
	l.links[s.id] = s
	l.mu.Unlock()
	l.post(core.PeerConnected{Session: s.id, Label: label})
	go l.write(s)
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
	l.drop(s)
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
		if err != bufio.ErrBufferFull || len(line) > maxLine {
			return nil, err
		}
	}
}

func (l *Link) drop(s *session) {
	l.mu.Lock()
	delete(l.links, s.id)
	s.close()
	l.mu.Unlock()
}

func (l *Link) write(s *session) {
	for m := range s.out {
		b, err := json.Marshal(&m)
		if err != nil {
			panic(fmt.Sprintf("peer: encode: %v", err))
		}
		s.conn.SetWriteDeadline(time.Now().Add(l.timeout))
		if _, err := s.conn.Write(append(b, '\n')); err != nil {
			s.conn.Close()
			return
		}
	}
}

// Send puts a message on its way. A link that can't keep up is closed: the next
// one starts with the whole picture.
func (l *Link) Send(e core.SendToPeer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.links[e.Session]
	if s == nil {
		return
	}
	select {
	case s.out <- e.Message:
	default:
		s.conn.Close()
	}
}

// Close ends a link.
func (l *Link) Close(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.links[id]; s != nil {
		s.conn.Close()
	}
}
