package main

import (
	"net"
	"sync"
	"time"
)

// link is a proxy in front of an address. What the address sends back shares a bandwidth, as on the
// link of a machine.
type link struct {
	mu       sync.Mutex
	perSec   float64 // Bytes a second.
	busyTill time.Time
}

// piece is how much is sent at once.
const piece = 1500

// slack is how far the link may make up for what it was late.
const slack = 20 * time.Millisecond

// newLink starts the proxy and returns its address.
func newLink(to string, megabits float64) (string, error) {
	listener, err := net.Listen("tcp", storeIP+":0")
	if err != nil {
		return "", err
	}
	l := &link{perSec: megabits * 1e6 / 8}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn, to)
		}
	}()
	return listener.Addr().String(), nil
}

func (l *link) serve(client net.Conn, to string) {
	server, err := net.Dial("tcp", to)
	if err != nil {
		_ = client.Close()
		return
	}
	go func() {
		copyPieces(server, client, func(int) {})
		_ = server.Close()
	}()
	// The window is small, so that little of an answer that is given up still takes the link.
	_ = server.(*net.TCPConn).SetReadBuffer(16 << 10)
	_ = client.(*net.TCPConn).SetWriteBuffer(16 << 10)
	copyPieces(client, server, l.wait)
	_ = client.Close()
	_ = server.Close()
}

func copyPieces(to, from net.Conn, wait func(n int)) {
	buffer := make([]byte, piece)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			wait(n)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// wait takes the link for n bytes.
func (l *link) wait(n int) {
	l.mu.Lock()
	now := time.Now()
	// A sleep that lasts too long doesn't make the link slower.
	if earliest := now.Add(-slack); l.busyTill.Before(earliest) {
		l.busyTill = earliest
	}
	l.busyTill = l.busyTill.Add(time.Duration(float64(n) / l.perSec * float64(time.Second)))
	till := l.busyTill
	l.mu.Unlock()
	time.Sleep(time.Until(till))
}
