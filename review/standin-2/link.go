package main

import (
	"io"
	"net"
	"sync"
)

// link is the way from a machine to the store. While it is cut, its channels are reset.
type link struct {
	to string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newLink(at, to string) (*link, error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	l := &link{to: to, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l, nil
}

// add keeps a channel for a later cut. It reports false while the link is cut.
func (l *link) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		reset(conn)
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *link) forward(conn net.Conn) {
	if !l.add(conn) {
		return
	}
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		reset(conn)
		return
	}
	if !l.add(far) {
		reset(conn)
		return
	}
	go func() {
		_, _ = io.Copy(far, conn)
		_ = far.Close()
	}()
	_, _ = io.Copy(conn, far)
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	delete(l.conns, far)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// setCut cuts or heals the link.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for conn := range l.conns {
			reset(conn)
		}
		l.conns = map[net.Conn]bool{}
	}
}
