package ccagent

import (
	"net"
	"sync"
)

// listener remembers its open connections, so that all can be closed at once.
type listener struct {
	net.Listener
	mu     sync.Mutex
	conns  map[*trackedConn]struct{}
	closed bool
}

// trackedConn tells its listener when it closes.
type trackedConn struct {
	net.Conn
	owner *listener
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, owner: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	if l.conns == nil {
		l.conns = make(map[*trackedConn]struct{})
	}
	l.conns[tracked] = struct{}{}
	return tracked, nil
}

// Close ends the connection.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// closeAll closes the listener and every connection.
func (l *listener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for conn := range l.conns {
		_ = conn.Conn.Close()
	}
}
