package ccsession

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/go-logr/logr"

	corelimit "camphorcroft/core/cclimit"
	"camphorcroft/core/ccwire"
	"camphorcroft/io/cclimit"
	"camphorcroft/io/ccmetric"
)

// silentHandler ignores all messages.
type silentHandler struct{}

func (silentHandler) Received(*Conn, ccwire.MessageKind, []byte) {}
func (silentHandler) Closed(*Conn)                               {}

// inUse returns the memory of the heap and of stacks after a collection.
func inUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// reservedBytes returns what a gate has reserved for sessions.
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
	return vars.LimitUse["sessions"].Bytes
}

// Guards against strangers who connect, send the begin of a message and make the process keep more
// than is reckoned with for a connection and reserved for its message.
func TestStrangersTakeLittle(t *testing.T) {
	const (
		strangers = 400
		// client is what a connection takes at the stranger's end, which is in this process.
		client = 1 << 10
	)
	for _, size := range []uint32{1000, 16_000} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			limits := corelimit.Derive(corelimit.Host{Memory: 256 << 20, Descriptors: 4096})
			gate := cclimit.NewGate(cclimit.Config{Limits: limits, Log: logr.Discard()})
			t.Cleanup(gate.Close)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = listener.Close() })
			go Serve(gate.Streams(listener), silentHandler{})
			before := inUse()
			begin := append(binary.BigEndian.AppendUint32(nil, size), byte(ccwire.MessageReport))
			for range strangers {
				socket, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = socket.Close() })
				if _, err := socket.Write(begin); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(200 * time.Millisecond) // What was sent last is read a moment later.
			each, reserved := (inUse()-before)/strangers, reservedBytes(t, gate)/strangers
			t.Logf("a stranger takes %d bytes, %d are reserved", each, reserved)
			if each > corelimit.ConnMemory+client+reserved {
				t.Errorf("a stranger takes %d bytes, %d are reckoned with, and %d reserved", each, corelimit.ConnMemory, reserved)
			}
		})
	}
}
