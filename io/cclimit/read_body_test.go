package cclimit_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	corelimit "camphorcroft/core/cclimit"
	"camphorcroft/io/cclimit"
)

// Guards against bodies that are cut or joined, and against reading that takes more memory than
// what is reserved for it.
func TestReadBody(t *testing.T) {
	const most = 300_000
	var tooLarge *http.MaxBytesError
	for _, size := range []int{0, 1, 100, 4096, 4097, 262_144, most} {
		body := bytes.Repeat([]byte("x"), size)
		for name, length := range map[string]int64{"known": int64(size), "unknown": -1} {
			t.Run(fmt.Sprint(size, " ", name), func(t *testing.T) {
				data, allocated, err := readBody(body, length, most)
				if err != nil || !bytes.Equal(data, body) {
					t.Errorf("%d bytes, error %v", len(data), err)
				}
				if bound := uint64(size*corelimit.BytesFactor + 4<<10); allocated > bound {
					t.Errorf("%d bytes were allocated, and at most %d are reserved", allocated, bound)
				}
			})
		}
	}
	if _, _, err := readBody(make([]byte, most+1), -1, most); !errors.As(err, &tooLarge) {
		t.Errorf("a body that is too large: error %v", err)
	}
	if _, allocated, err := readBody(make([]byte, 1000), 1<<40, most); err == nil || allocated > 4<<10 {
		t.Errorf("a length without a body: error %v, %d bytes", err, allocated)
	}
}

// brokenEnd is a body that ends before its length, as net/http reports it.
type brokenEnd struct{ io.Reader }

func (b brokenEnd) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (b brokenEnd) Close() error { return nil }

// readBody reads a body of a given length and returns how many bytes that allocated.
func readBody(body []byte, length, most int64) ([]byte, uint64, error) {
	request := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body))
	request.ContentLength = length
	if length > int64(len(body)) {
		request.Body = brokenEnd{bytes.NewReader(body)}
	}
	w := httptest.NewRecorder()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	data, err := cclimit.ReadBody(w, request, most)
	runtime.ReadMemStats(&after)
	return data, after.TotalAlloc - before.TotalAlloc, err
}
