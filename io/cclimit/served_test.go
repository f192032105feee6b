package cclimit_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"

	corelimit "camphorcroft/core/cclimit"
	"camphorcroft/io/cclimit"
	"camphorcroft/io/ccmetric"
)

// reservedBytes returns what a gate has reserved for requests.
func reservedBytes(t *testing.T, gate *cclimit.Gate) int64 {
	t.Helper()
	set := ccmetric.NewSet("test")
	gate.Export(set)
	recorder := httptest.NewRecorder()
	set.ServeHTTP(recorder, nil)
	var vars struct {
		LimitUse map[string]corelimit.Use `json:"limitUse"`
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &vars); err != nil {
		t.Fatal(err)
	}
	return vars.LimitUse["requests"].Bytes
}

// inUse returns the memory of the heap and of stacks after a collection.
func inUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// Guards against small requests that are being served and take more than is reckoned with for
// their connections and reserved for them.
func TestServedRequestsAreReserved(t *testing.T) {
	passOverKnownRed(t)
	const (
		clients = 400
		// client is what a connection takes at the client's end, which is in this process.
		client = 1 << 10
	)
	limits := corelimit.Derive(corelimit.Host{Memory: 256 << 20, Descriptors: 4096})
	gate := cclimit.NewGate(cclimit.Config{Limits: limits, Log: logr.Discard()})
	t.Cleanup(gate.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served, end := make(chan struct{}, clients), make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var deep [4 << 10]byte // Decoding and logging take about as much of the stack.
		_, _ = fmt.Fprintf(w, "%x", deep[:len(r.URL.Path)])
		served <- struct{}{}
		<-end
	})}
	t.Cleanup(func() {
		close(end)
		_ = server.Close()
	})
	limited := gate.HTTP(listener, server, corelimit.ClassRequests, nil)
	go func() { _ = server.Serve(limited) }()
	before := inUse()
	for range clients {
		socket, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = socket.Close() })
		_, _ = fmt.Fprint(socket, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		<-served
	}
	each, reserved := (inUse()-before)/clients, reservedBytes(t, gate)/clients
	t.Logf("a request takes %d bytes, %d are reserved", each, reserved)
	if each > corelimit.ConnMemory+client+reserved {
		t.Errorf("a request takes %d bytes, %d are reckoned with, and %d reserved", each, corelimit.ConnMemory, reserved)
	}
}
