package ccreplay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	corereplay "camphorcroft/core/ccreplay"
	"camphorcroft/io/cccaller"
	"camphorcroft/io/ccreplay"
)

// lateListener accepts connections that are read only once read is closed, as by a process
// that has no processor time.
type lateListener struct {
	net.Listener
	read chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateConn{TCPConn: conn.(*net.TCPConn), read: l.read}, nil
}

type lateConn struct {
	*net.TCPConn
	read chan struct{}
}

func (c lateConn) Read(p []byte) (int, error) {
	<-c.read
	return c.TCPConn.Read(p)
}

// Guards against a task that runs at two workers at once: a caller whose connection is reset
// before the entry has read its request sends it again at once, to another entry. What was
// received of a connection before its reset can still be read.
func TestResetRequestRunsOnce(t *testing.T) {
	var entries []*ccreplay.Entry
	var workers []*instantWorker
	for n := range 2 {
		// With a store in common each agent would use both entries.
		store := newMemoryStore()
		putPlan(t, store)
		addr, worker := freeAddr(t), &instantWorker{hold: true}
		entry := startEntry(t, fmt.Sprintf("entry-%d", n), addr, 1, store)
		defer entry.Close()
		startAgent(t, worker, addr)
		waitFor(t, "the entry is ready", ready(entry))
		entries, workers = append(entries, entry), append(workers, worker)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	late := lateListener{Listener: listener, read: make(chan struct{})}
	states := make(chan corereplay.State, 1)
	server := &http.Server{
		ReadHeaderTimeout: waitLimit, ConnContext: cccaller.ConnContext,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			states <- entries[0].Submit(r.Context(), job(strings.Trim(r.URL.Path, "/"))).State
		}),
	}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(late) }()

	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprint(caller, "POST /j1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // The request arrives before the reset.
	_ = caller.(*net.TCPConn).SetLinger(0)
	_ = caller.Close()
	go entries[1].Submit(t.Context(), job("j1"))
	waitFor(t, "the second entry runs the job", func() bool { return workers[1].alive() == 3 })
	close(late.read)
	if state := <-states; state != corereplay.StateUnknown {
		t.Errorf("state: got %s, want %s", state, corereplay.StateUnknown)
	}
	time.Sleep(50 * time.Millisecond)
	workers[0].mu.Lock()
	defer workers[0].mu.Unlock()
	if workers[0].starts > 0 {
		t.Errorf("%d tasks of the reset request were started beside those of the second one", workers[0].starts)
	}
}
