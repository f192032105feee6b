package cclimit

import "net"

// listenerOf is a listener whose connections are counted.
type listenerOf struct {
	net.Listener
	// accept returns the counted connection, or nil if it has closed the socket.
	accept func(socket net.Conn) net.Conn
}

// Accept waits for the next connection that is not refused.
func (l *listenerOf) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.accept(socket); c != nil {
			return c, nil
		}
	}
}
