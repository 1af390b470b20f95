package main

import (
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does with connections.
type proxyMode int

const (
	pass         proxyMode = iota
	hold                   // nothing is forwarded until the mode changes
	reset                  // connections are reset
	dropReplies            // what the target sends is dropped
	dropRequests           // what the client sends is dropped
)

// proxy forwards connections to a target, and is the link that a case cuts.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	delay time.Duration // of everything that the target sends
	conns map[net.Conn]bool
}

func newProxy(target string) *proxy {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		giveUp("listen: %v", err)
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.serve()
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == reset {
		for conn := range p.conns {
			abort(conn)
		}
	}
}

func (p *proxy) state() (proxyMode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

// abort closes a connection with a reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *proxy) track(conn net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[conn] = true
	} else {
		delete(p.conns, conn)
	}
}

func (p *proxy) forward(client net.Conn) {
	if mode, _ := p.state(); mode == reset {
		abort(client)
		return
	}
	p.track(client, true)
	defer p.track(client, false)
	defer func() { _ = client.Close() }()
	server, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		abort(client)
		return
	}
	p.track(server, true)
	defer p.track(server, false)
	defer func() { _ = server.Close() }()
	done := make(chan struct{}, 2)
	go func() { p.copy(server, client, dropRequests); done <- struct{}{} }()
	go func() { p.copy(client, server, dropReplies); done <- struct{}{} }()
	<-done
	abort(client)
	abort(server)
	<-done
}

func (p *proxy) copy(to, from net.Conn, dropped proxyMode) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			mode, delay := p.state()
			for ; mode == hold; mode, _ = p.state() {
				time.Sleep(5 * time.Millisecond)
			}
			if delay > 0 && dropped == dropReplies {
				time.Sleep(delay)
			}
			if mode != dropped {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}
