package cclimit_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"

	corelimit "camphorcroft/core/cclimit"
	"camphorcroft/io/cclimit"
)

// Guards against answers that nobody reads and that take more memory than the share, and against
// callers who get no answer beside them.
func TestUnreadAnswersAreBounded(t *testing.T) {
	const (
		share = 8 << 20
		size  = 4 << 20
		// other is what the test's clients and a server without answers take.
		other   = 16 << 20
		clients = 40
	)
	limits := corelimit.Derive(corelimit.Host{Memory: corelimit.MinMemory, Descriptors: 1024})
	limits.Shares[corelimit.ClassRequests].Bytes = share
	gate := cclimit.NewGate(cclimit.Config{Limits: limits, Log: logr.Discard()})
	t.Cleanup(gate.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), size))
	})}
	t.Cleanup(func() { _ = server.Close() })
	limited := gate.HTTP(listener, server, corelimit.ClassRequests, nil)
	go func() { _ = server.Serve(limited) }()
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range clients {
		socket, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = socket.Close() })
		_ = socket.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = fmt.Fprint(socket, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	client := &http.Client{Timeout: testTimeout}
	read := 0
	for deadline := time.Now().Add(testTimeout); read != size && time.Now().Before(deadline); {
		if response, err := client.Get("http://" + listener.Addr().String() + "/b"); err == nil {
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			read = len(body)
		}
	}
	if read != size {
		t.Errorf("an answer that is read has %d bytes", read)
	}
	runtime.GC()
	runtime.ReadMemStats(&now)
	if grown := int64(now.HeapAlloc) - int64(before.HeapAlloc); grown > share+other {
		t.Errorf("%d MB are in use, and at most %d may be", grown>>20, (share+other)>>20)
	}
}
