package cclimit_test

import (
	"fmt"
	"io"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	corelimit "camphorcroft/core/cclimit"
)

// Guards against requests that are given up or answered, and begun again, faster than the
// garbage collector frees them: here it frees nothing unless it is asked to.
func TestGarbageIsBounded(t *testing.T) {
	const (
		share = 8 << 20
		size  = 500_000
		// other is what the test itself allocates, and a server without bodies.
		other = 16 << 20
	)
	for name, sent := range map[string]int{"given up": size - 1, "answered": size} {
		t.Run(name, func(t *testing.T) {
			addr, gate := serve(t, func(l *corelimit.Limits) { l.Shares[corelimit.ClassRequests].Bytes = share })
			runtime.GC()
			var before, now runtime.MemStats
			runtime.ReadMemStats(&before)
			defer debug.SetGCPercent(debug.SetGCPercent(-1))
			defer debug.SetMemoryLimit(debug.SetMemoryLimit(math.MaxInt64))
			request := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", sent))
			peak := uint64(0)
			for range 100 {
				socket, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				_ = socket.SetDeadline(time.Now().Add(testTimeout))
				_, _ = io.WriteString(socket, request)
				_ = socket.(*net.TCPConn).CloseWrite()
				_, _ = io.ReadFull(socket, make([]byte, 1))
				_ = socket.Close()
				runtime.ReadMemStats(&now)
				peak = max(peak, now.HeapAlloc)
			}
			if grown := int64(peak) - int64(before.HeapAlloc); grown > share+other {
				t.Errorf("the heap grew by %d MB, and must not by more than %d", grown>>20, (share+other)>>20)
			}
			waitUse(t, gate, 0)
		})
	}
}
