package cclog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueBytes bounds the buffered lines. It holds one second of logs at 5,000
	// lines per second.
	queueBytes = 1 << 20
	// writeBytes bounds one write. A pipe accepts up to 4 KiB atomically, so lines of
	// processes that share a pipe aren't interleaved, and log collectors read at most
	// 8 KiB of a write.
	writeBytes = 4096
	// flushInterval is how long lines are batched before they are written.
	flushInterval = 50 * time.Millisecond
	// closeTimeout bounds how long close waits when the reader of the output has
	// stopped reading.
	closeTimeout = 200 * time.Millisecond
)

// queue buffers lines without blocking and writes them from its own goroutine.
type queue struct {
	out      io.Writer
	mu       sync.Mutex // Guards buffer and closed.
	buffer   []byte
	closed   bool
	wake     chan struct{}
	done     chan struct{}
	dropped  atomic.Uint64
	reported uint64 // Dropped lines that a line in the log has reported.
}

func newQueue(out io.Writer) *queue {
	q := &queue{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write adds a line to the buffer, or drops and counts it if the buffer is full or
// closed. It never fails and never waits for the output.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.buffer)+len(line) > queueBytes {
		q.dropped.Add(1)
		return len(line), nil
	}
	q.buffer = append(q.buffer, line...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync does nothing, because the goroutine writes the buffered lines.
func (q *queue) Sync() error { return nil }

func (q *queue) run() {
	defer close(q.done)
	var spare []byte
	for range q.wake {
		q.mu.Lock()
		closing := q.closed
		q.mu.Unlock()
		if !closing {
			time.Sleep(flushInterval)
		}
		q.mu.Lock()
		lines := q.buffer
		q.buffer = spare[:0]
		closing = q.closed
		q.mu.Unlock()
		if dropped := q.dropped.Load(); dropped > q.reported {
			lines = fmt.Appendf(lines, "{\"level\":\"error\",\"ts\":%q,\"msg\":\"Log lines were dropped, the reader is slow.\",\"count\":%d}\n", time.Now().Format(time.RFC3339Nano), dropped-q.reported)
			q.reported = dropped
		}
		q.writeOut(lines)
		spare = lines
		if closing {
			return
		}
	}
}

// writeOut writes lines in chunks of whole lines of at most writeBytes, so that each
// chunk reaches the reader unsplit. A longer line is a chunk of its own.
func (q *queue) writeOut(lines []byte) {
	for len(lines) > 0 {
		n := len(lines)
		if n > writeBytes {
			n = bytes.LastIndexByte(lines[:writeBytes], '\n') + 1
			if n == 0 {
				// The first line is longer than writeBytes.
				n = bytes.IndexByte(lines, '\n') + 1
			}
		}
		// A write error is ignored: there is no other output to report it to.
		_, _ = q.out.Write(lines[:n])
		lines = lines[n:]
	}
}

func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case <-q.done:
	case <-time.After(closeTimeout):
	}
}
