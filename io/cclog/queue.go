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
	// queueBytes bounds the lines that wait for the writer: a second of 5,000 lines.
	queueBytes = 1 << 20
	// writeBytes bounds one write: a pipe takes that much in one piece, so that the lines
	// of processes that share it don't mix, and collectors take 8 KiB of a write.
	writeBytes = 4096
	// flushInterval is how long lines are gathered for one write.
	flushInterval = 50 * time.Millisecond
	// closeTimeout is how long a stop waits for a reader who has stopped reading.
	closeTimeout = 200 * time.Millisecond
)

// queue takes lines without waiting and writes them from a goroutine of its own.
type queue struct {
	out     io.Writer
	mu      sync.Mutex // Guards buffer and closed.
	buffer  []byte
	closed  bool
	wake    chan struct{}
	done    chan struct{}
	dropped atomic.Uint64
	reported    uint64
}

func newQueue(out io.Writer) *queue {
	q := &queue{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write takes a line. It never fails and never waits.
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

// Sync does nothing: the goroutine writes what waits.
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

// writeOut writes lines in pieces that the reader gets whole.
func (q *queue) writeOut(lines []byte) {
	for len(lines) > 0 {
		n := len(lines)
		if n > writeBytes {
			n = bytes.LastIndexByte(lines[:writeBytes], '\n') + 1
			if n == 0 {
				// One line is longer than a piece.
				n = bytes.IndexByte(lines, '\n') + 1
			}
		}
		// A writer that fails leaves nobody to tell.
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
